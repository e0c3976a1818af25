//! A fleet in virtual time: the real `hopmoor-fleet` of every node, and between them a network that is made up here and
//! broken by a schedule. One seed gives one run.

mod agree;

pub use agree::{Drains, drains};

use hopmoor_fleet::{Action, Exchange, Fleet, Id, Millis, NodeInfo, Readiness, State};
use hopmoor_seal::{KEY_BYTES, Keys};
use hopmoor_standin::faults::{Fault, LinkCondition, Schedule};
use hopmoor_standin::history::{History, NodeEvent, NodeEventKind, Observation, ProcessState};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};

/// A datagram on a good link takes this long; and a connection as long for each way.
const WAY_MS: f64 = 0.5;
/// Datagrams that wait at a stopped process; what comes on top is lost, as in a socket's buffer.
const WAITING: usize = 256;
/// The key's number at the start; each rotation brings the next.
const FIRST_KEY: u32 = 1;

/// How a run is watched.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// All views are taken this often; 0 for never.
    pub every_ms: Millis,
    /// The first so many nodes are everybody's seeds.
    pub seeds: usize,
}

impl Default for Watch {
    fn default() -> Self {
        Watch { every_ms: 100, seeds: 2 }
    }
}

#[derive(Debug)]
enum Due {
    Tick(usize),
    Datagram { to: SocketAddr, bytes: Vec<u8> },
    Frame { call: u64, to_caller: bool, bytes: Vec<u8> },
    Step(usize),
    Continue(usize),
    Flood { node: usize, until: Millis, every: f64, at: f64 },
    Keys(Stage),
    Watch,
    Agree(usize),
    Written(usize, agree::Write),
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    Given,
    Sealing,
    Gone,
}

struct Call {
    caller: usize,
    callee: usize,
    mine: Exchange,
    theirs: Option<Exchange>,
    bytes: u64,
}

struct Process {
    node: usize,
    fleet: Fleet,
    address: SocketAddr,
    stopped: bool,
    inbox: Vec<Vec<u8>>,
    ticks_at: Option<Millis>,
    ready: Readiness,
    agreeing: Option<agree::Agreeing>,
}

/// A run under way.
pub struct Run {
    schedule: Schedule,
    watch: Watch,
    now: Millis,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    dues: HashMap<u64, Due>,
    set: u64,
    processes: Vec<Option<Process>>,
    /// By node: its processes, the last one last.
    of: Vec<Vec<usize>>,
    at: HashMap<SocketAddr, usize>,
    calls: HashMap<u64, Call>,
    history: History,
    keys: Keys,
    /// Names of the nodes, to find them in views.
    names: HashMap<String, usize>,
    /// Voters' folders, by node.
    disks: HashMap<usize, agree::Disk>,
    max_concurrent_drains: usize,
    most_out: usize,
    drains: u64,
}

/// A node's name in a run.
pub fn name(node: usize) -> String {
    format!("n-{node:04}")
}

fn address(process: usize) -> SocketAddr {
    let [a, b] = (process as u16).to_be_bytes();
    (Ipv4Addr::new(127, 10, a, b), 7_400).into()
}

fn key(number: u32) -> [u8; KEY_BYTES] {
    [number as u8; KEY_BYTES]
}

fn keys(numbers: &[u32], seal_with: u32) -> Keys {
    let listed: Vec<Keys> = numbers.iter().map(|number| Keys::new(*number, key(*number))).collect();
    Keys::merged(&listed, seal_with).unwrap_or_else(|| Keys::new(seal_with, key(seal_with)))
}

impl Run {
    /// A run at its beginning.
    pub fn new(schedule: Schedule, watch: Watch) -> Run {
        let seed = schedule.seed;
        let history = History { schedule: Some(schedule.clone()), ..History::default() };
        let mut run = Run {
            now: 1_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            dues: HashMap::new(),
            set: 0,
            processes: Vec::new(),
            of: vec![Vec::new(); schedule.nodes],
            at: HashMap::new(),
            calls: HashMap::new(),
            history,
            keys: keys(&[FIRST_KEY], FIRST_KEY),
            names: (0..schedule.nodes).map(|node| (name(node), node)).collect(),
            disks: HashMap::new(),
            max_concurrent_drains: 0,
            most_out: 0,
            drains: 0,
            watch,
            schedule,
        };
        for node in 0..run.schedule.nodes {
            // Addresses of nodes that start later are theirs all the same: seeds name them.
            run.processes.push(None);
            if run.schedule.runs_initially(node) {
                run.start(node, node);
            }
        }
        for (number, step) in run.schedule.steps.clone().iter().enumerate() {
            run.due(run.millis(step.at), Due::Step(number));
        }
        if watch.every_ms > 0 {
            run.due(run.now + watch.every_ms, Due::Watch);
        }
        run
    }

    fn millis(&self, seconds: f64) -> Millis {
        1_000 + (seconds * 1_000.0) as Millis
    }

    fn seconds(&self) -> f64 {
        self.now.saturating_sub(1_000) as f64 / 1_000.0
    }

    fn due(&mut self, at: Millis, due: Due) {
        self.set += 1;
        self.dues.insert(self.set, due);
        self.queue.push(Reverse((at.max(self.now), self.set)));
    }

    fn act(&mut self, node: usize, what: NodeEventKind) {
        let at = self.seconds();
        self.history.acts.push(NodeEvent { at, node, what });
    }

    fn start(&mut self, node: usize, process: usize) {
        let address = address(process);
        let id = Id::new(name(node), self.now, address);
        // As configuration has them at its start: where those nodes are now.
        let now = |seed: usize| self::address(self.of[seed].last().copied().unwrap_or(seed));
        let seeds =
            (0..self.watch.seeds.min(self.of.len())).map(now).filter(|seed| *seed != address).collect();
        let info = NodeInfo {
            zone: format!("z-{}", node % self.schedule.zones.max(1)),
            clients: address.to_string(),
            ready: Readiness::Serving,
            room: 100,
            ..NodeInfo::default()
        };
        let mut seed = [0; 32];
        self.rng.fill(&mut seed);
        let setup = hopmoor_fleet::Setup { id, seeds, keys: self.keys.clone(), seed };
        let fleet = Fleet::new(self.now, setup, info);
        let agreeing = self.agreeing(node);
        let agrees = agreeing.is_some();
        let started = Process {
            agreeing,
            node,
            fleet,
            address,
            stopped: false,
            inbox: Vec::new(),
            ticks_at: None,
            ready: Readiness::Serving,
        };
        if self.processes.len() <= process {
            self.processes.resize_with(process + 1, || None);
        }
        self.processes[process] = Some(started);
        self.at.insert(address, process);
        self.of[node].push(process);
        self.act(node, NodeEventKind::Started);
        self.carry_out(process);
        if agrees {
            self.due(self.now + hopmoor_agree::voter::TICK_MS, Due::Agree(process));
        }
    }

    fn end(&mut self, process: usize) {
        if let Some(ended) = self.processes.get_mut(process).and_then(Option::take) {
            self.at.remove(&ended.address);
            self.of[ended.node].retain(|other| *other != process);
        }
    }

    /// A process's own process, and a fresh place for one that comes again.
    fn fresh(&self) -> usize {
        self.processes.len().max(self.schedule.nodes)
    }

    fn link(&self, from: usize, to: SocketAddr) -> Option<(usize, LinkCondition)> {
        let to = *self.at.get(&to)?;
        let sender = self.processes.get(from)?.as_ref()?.node;
        let receiver = self.processes.get(to)?.as_ref()?.node;
        Some((to, self.schedule.link(self.seconds(), sender, receiver)))
    }

    fn late(&mut self, manner: &LinkCondition) -> Millis {
        let jitter = if manner.jitter_ms > 0.0 { self.rng.random_range(0.0..manner.jitter_ms) } else { 0.0 };
        (WAY_MS + manner.delay_ms + jitter + self.rng.random::<f64>()) as Millis
    }

    /// Does what a process wants done, and sets its next tick.
    fn carry_out(&mut self, process: usize) {
        loop {
            self.take_part(process);
            let Some(Some(of)) = self.processes.get_mut(process) else { return };
            while of.fleet.event().is_some() {}
            let Some(action) = of.fleet.action() else { break };
            match action {
                Action::Send(to, bytes) => {
                    let Some((_, manner)) = self.link(process, to) else { continue };
                    if manner.cut || self.rng.random_bool(manner.loss) {
                        continue;
                    }
                    if self.rng.random_bool(manner.twice) {
                        let at = self.now + self.late(&manner);
                        self.due(at, Due::Datagram { to, bytes: bytes.clone() });
                    }
                    let at = self.now + self.late(&manner);
                    self.due(at, Due::Datagram { to, bytes });
                }
                Action::Call(to) => {
                    let Some((callee, _)) = self.link(process, to) else { continue };
                    let Some(Some(of)) = self.processes.get_mut(process) else { continue };
                    let Some((mine, hello)) = of.fleet.call() else { continue };
                    self.set += 1;
                    let call = self.set;
                    let open = Call { caller: process, callee, mine, theirs: None, bytes: 0 };
                    self.calls.insert(call, open);
                    self.frame_sent(call, false, hello);
                }
            }
        }
        let Some(Some(of)) = self.processes.get_mut(process) else { return };
        // What is overdue comes now: the queue knows no past, and a tick is known by its time.
        if let Some(next) = of.fleet.next_due().map(|next| next.max(self.now))
            && of.ticks_at.is_none_or(|at| next < at)
        {
            of.ticks_at = Some(next);
            self.due(next, Due::Tick(process));
        }
    }

    fn frame_sent(&mut self, call: u64, to_caller: bool, bytes: Vec<u8>) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        open.bytes += bytes.len() as u64;
        let (from, to) = if to_caller { (open.callee, open.caller) } else { (open.caller, open.callee) };
        let sent = open.bytes;
        let there = self.processes.get(to).and_then(Option::as_ref).map(|process| process.address);
        let link = there.and_then(|to| self.link(from, to));
        match link {
            Some((_, manner)) if !manner.cut && (manner.cut_after == 0 || sent <= manner.cut_after) => {
                // A connection loses nothing: what is lost on the way comes later.
                let again = if self.rng.random_bool(manner.loss) { 200 } else { 0 };
                let slow = if manner.bytes_a_second > 0.0 {
                    (bytes.len() as f64 / manner.bytes_a_second * 1_000.0) as Millis
                } else {
                    0
                };
                let at = self.now + self.late(&manner) + again + slow;
                self.due(at, Due::Frame { call, to_caller, bytes });
            }
            _ => drop(self.calls.remove(&call)),
        }
    }

    fn frame_came(&mut self, number: u64, to_caller: bool, bytes: &[u8]) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&number) else { return };
        let to = if to_caller { call.caller } else { call.callee };
        let Some(Some(process)) = self.processes.get_mut(to) else {
            self.calls.remove(&number);
            return;
        };
        if process.stopped {
            // It would be read later; by then its caller has given up.
            self.calls.remove(&number);
            return;
        }
        let answer = if to_caller {
            process.fleet.frame(now, &mut call.mine, bytes)
        } else {
            let theirs = call.theirs.get_or_insert_with(|| process.fleet.answer());
            process.fleet.frame(now, theirs, bytes)
        };
        match answer {
            Ok(Some(answer)) => self.frame_sent(number, !to_caller, answer),
            _ => drop(self.calls.remove(&number)),
        }
        self.carry_out(to);
    }

    fn datagram(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        let Some(&process) = self.at.get(&to) else { return };
        let Some(Some(of)) = self.processes.get_mut(process) else { return };
        if of.stopped {
            if of.inbox.len() < WAITING {
                of.inbox.push(bytes);
            }
            return;
        }
        let _ = of.fleet.datagram(self.now, &bytes);
        self.carry_out(process);
    }

    fn step(&mut self, number: usize) {
        let Some(step) = self.schedule.steps.get(number).cloned() else { return };
        let zones = self.schedule.zones;
        let among = |who: &hopmoor_standin::faults::NodeSet| -> Vec<usize> {
            (0..self.schedule.nodes).filter(|node| who.includes(*node, zones)).collect()
        };
        match step.fault {
            Fault::Start { nodes } => {
                for node in among(&nodes) {
                    if self.of[node].is_empty() {
                        self.start(node, node);
                    }
                }
            }
            Fault::Kill { nodes } => {
                for node in among(&nodes) {
                    self.kill(node);
                }
            }
            Fault::Term { nodes } => {
                for node in among(&nodes) {
                    self.act(node, NodeEventKind::Told);
                    for process in self.of[node].clone() {
                        if let Some(Some(of)) = self.processes.get_mut(process) {
                            of.fleet.leave(self.now);
                        }
                        self.carry_out(process);
                        self.end(process);
                    }
                    self.act(node, NodeEventKind::Ended);
                }
            }
            Fault::Stop { nodes, seconds } => {
                let at = self.millis(step.at + seconds);
                for node in among(&nodes) {
                    for process in self.of[node].clone() {
                        if let Some(Some(of)) = self.processes.get_mut(process) {
                            of.stopped = true;
                        }
                        self.due(at, Due::Continue(process));
                    }
                    self.act(node, NodeEventKind::Stopped);
                }
            }
            Fault::Link { .. } => {}
            Fault::Move { node } => {
                self.kill(node);
                let process = self.fresh();
                self.start(node, process);
            }
            Fault::Twin { node } => {
                let process = self.fresh();
                self.start(node, process);
            }
            Fault::Flood { node, rate, seconds } => {
                let until = self.millis(step.at + seconds);
                let every = 1_000.0 / rate.max(0.001);
                self.due(self.now, Due::Flood { node, until, every, at: self.now as f64 });
            }
            Fault::Drain { nodes, on } => {
                let ready = if on { Readiness::Draining } else { Readiness::Serving };
                for node in among(&nodes) {
                    for process in self.of[node].clone() {
                        if self.schedule.voters > 0 {
                            self.asked(process, on);
                        } else {
                            self.speak(process, ready);
                        }
                        self.carry_out(process);
                    }
                }
            }
            Fault::Back => {
                let drains =
                    |of: &Option<Process>| of.as_ref().is_some_and(|of| of.ready == Readiness::Draining);
                let all: Vec<usize> =
                    (0..self.processes.len()).filter(|process| drains(&self.processes[*process])).collect();
                for process in all {
                    if self.schedule.voters > 0 {
                        self.asked(process, false);
                    } else {
                        self.speak(process, Readiness::Serving);
                    }
                    self.carry_out(process);
                }
            }
            Fault::Rotate { pause } => {
                for (times, stage) in [Stage::Given, Stage::Sealing, Stage::Gone].into_iter().enumerate() {
                    let at = self.millis(step.at + pause * times as f64);
                    self.due(at, Due::Keys(stage));
                }
            }
        }
    }

    fn kill(&mut self, node: usize) {
        for process in self.of[node].clone() {
            self.end(process);
        }
        self.act(node, NodeEventKind::Killed);
    }

    fn rotate(&mut self, stage: Stage) {
        let (old, new) = (FIRST_KEY, FIRST_KEY + 1);
        self.keys = match stage {
            Stage::Given => keys(&[old, new], old),
            Stage::Sealing => keys(&[old, new], new),
            Stage::Gone => keys(&[new], new),
        };
        for process in self.processes.iter_mut().flatten() {
            process.fleet.set_keys(self.keys.clone());
        }
    }

    fn look(&mut self) {
        let at = self.seconds();
        for node in 0..self.schedule.nodes {
            let Some(&process) = self.of[node].first() else { continue };
            let Some(Some(of)) = self.processes.get(process) else { continue };
            if of.stopped {
                continue;
            }
            let view = of.fleet.view(self.now);
            let known = view.members.iter().filter_map(|seen| Some((*self.names.get(&*seen.id.name)?, seen)));
            let states: BTreeMap<usize, String> =
                known.clone().map(|(node, seen)| (node, seen.state.text().to_owned())).collect();
            let ready = known
                .filter(|(_, seen)| seen.state.is_present())
                .filter_map(|(node, seen)| Some((node, seen.info.as_ref()?.ready.text().to_owned())))
                .collect();
            let digest = view.digest[..8].iter().map(|byte| format!("{byte:02x}")).collect();
            let itself_ready = Some(of.ready == Readiness::Serving && view.superseded_by.is_none());
            let sharing = view.sharing;
            let incarnation = view.id.incarnation;
            self.history.seen.push(Observation {
                at,
                node,
                digest,
                states,
                ready,
                itself_ready,
                asked: at,
                drains: of.ready == Readiness::Draining,
                incarnation,
                sharing,
            });
        }
    }

    /// Plays on until so many seconds from the start.
    pub fn until(&mut self, seconds: f64) {
        let end = self.millis(seconds);
        while let Some(&Reverse((at, number))) = self.queue.peek() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let Some(due) = self.dues.remove(&number) else { continue };
            match due {
                Due::Tick(process) => {
                    let Some(Some(of)) = self.processes.get_mut(process) else { continue };
                    if of.ticks_at == Some(at) {
                        of.ticks_at = None;
                    }
                    if !of.stopped {
                        of.fleet.tick(self.now);
                        self.carry_out(process);
                    }
                }
                Due::Datagram { to, bytes } => self.datagram(to, bytes),
                Due::Frame { call, to_caller, bytes } => self.frame_came(call, to_caller, &bytes),
                Due::Step(number) => self.step(number),
                Due::Continue(process) => {
                    let Some(Some(of)) = self.processes.get_mut(process) else { continue };
                    of.stopped = false;
                    let node = of.node;
                    for bytes in std::mem::take(&mut of.inbox) {
                        let _ = of.fleet.datagram(self.now, &bytes);
                    }
                    of.fleet.tick(self.now);
                    self.act(node, NodeEventKind::Continued);
                    self.carry_out(process);
                }
                Due::Flood { node, until, every, at } => {
                    let to = self.of[node].last().map(|process| address(*process));
                    if let Some(to) = to {
                        let mut bytes = vec![b'd'; 100];
                        self.rng.fill(&mut bytes[1..]);
                        self.datagram(to, bytes);
                    }
                    if at + every < until as f64 {
                        let next = Due::Flood { node, until, every, at: at + every };
                        self.due((at + every) as Millis, next);
                    }
                }
                Due::Keys(stage) => self.rotate(stage),
                Due::Agree(process) => self.agree_ticks(process),
                Due::Written(process, write) => self.written(process, write),
                Due::Watch => {
                    self.look();
                    self.due(self.now + self.watch.every_ms, Due::Watch);
                }
            }
        }
        self.now = self.now.max(end);
    }

    /// Plays it all.
    pub fn play(mut self) -> History {
        self.until(self.schedule.seconds);
        self.history
    }

    /// The view of a node's first process, if it runs.
    pub fn fleet(&self, node: usize) -> Option<&Fleet> {
        let process = *self.of.get(node)?.first()?;
        self.processes.get(process)?.as_ref().map(|process| &process.fleet)
    }

    /// Whether all that run have one digest and hold exactly each other to be there.
    pub fn agree(&self) -> bool {
        let up: Vec<&Process> = self.processes.iter().flatten().filter(|process| !process.stopped).collect();
        let digest = up.first().map(|process| process.fleet.digest());
        up.iter().all(|process| {
            let (alive, suspect, _) = process.fleet.counts();
            Some(process.fleet.digest()) == digest && alive + suspect == up.len()
        })
    }

    /// How many hold somebody dead that runs, as pairs.
    pub fn wrongly_dead(&self) -> usize {
        let runs = |id: &Id| {
            self.names.get(&*id.name).is_some_and(|node| {
                let (process_state, _) = self.history.process_state(*node, self.seconds());
                process_state == ProcessState::Up
            })
        };
        let wrong = |process: &Process| {
            let view = process.fleet.view(self.now);
            view.members.iter().filter(|seen| seen.state == State::Dead && runs(&seen.id)).count()
        };
        self.processes.iter().flatten().map(wrong).sum()
    }
}
