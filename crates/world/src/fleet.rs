//! Simulates a fleet in virtual time. Every node runs the real `hopmoor-fleet`; the network between them is
//! simulated, and a schedule injects faults into it. Runs are deterministic: the same schedule and seed give
//! the same run.

mod agree;

pub use agree::{Drains, run_drains};

use hopmoor_fleet::{Action, Exchange, Fleet, Id, Millis, NodeInfo, Readiness, State};
use hopmoor_seal::{KEY_BYTES, Keys};
use hopmoor_standin::faults::{Fault, LinkCondition, Schedule};
use hopmoor_standin::history::{History, NodeEvent, NodeEventKind, Observation, ProcessState};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};

/// One-way delay of a datagram or frame on a link without faults, before random jitter of up to 1 ms.
const ONE_WAY_MS: f64 = 0.5;
/// Datagrams queued for a stopped process. Further ones are lost, as with a full socket buffer.
const MAX_QUEUED_DATAGRAMS: usize = 256;
/// Key id that all nodes start with. A rotation replaces it by the following id.
const FIRST_KEY_ID: u32 = 1;

/// Settings of a run that are not part of its schedule.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Interval at which every node's view is recorded in the history; 0 for never.
    pub sample_interval_ms: Millis,
    /// Every node is configured with the first `seed_nodes` nodes as seeds to join through.
    pub seed_nodes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options { sample_interval_ms: 100, seed_nodes: 2 }
    }
}

/// A simulated event. Processes are given by pid, schedule steps by index.
#[derive(Debug)]
enum Event {
    Tick(usize),
    Datagram {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    Frame {
        connection_id: u64,
        to_caller: bool,
        bytes: Vec<u8>,
    },
    Step(usize),
    /// A stopped process runs again.
    Continue(usize),
    /// The next unsealed datagram of a flood.
    Flood {
        node: usize,
        until: Millis,
        interval_ms: f64,
        at: f64,
    },
    RotateKeys(KeyStage),
    SampleViews,
    AgreementTick(usize),
    WriteSynced(usize, agree::DiskWrite),
}

/// Stages of a key rotation.
#[derive(Clone, Copy, Debug)]
enum KeyStage {
    /// All nodes have the new key and still seal with the old one.
    Distributed,
    SealWithNew,
    OldRemoved,
}

/// A stream connection between two processes, given by pid.
struct Connection {
    caller: usize,
    callee: usize,
    caller_exchange: Exchange,
    /// Created when the first frame arrives.
    callee_exchange: Option<Exchange>,
    /// Bytes sent so far, in both directions.
    bytes: u64,
}

/// A running process of a node. Its index in [`FleetSimulation::processes`] is its pid.
struct Process {
    node: usize,
    fleet: Fleet,
    address: SocketAddr,
    /// Whether it is stopped as by SIGSTOP.
    stopped: bool,
    /// Datagrams that arrived while it was stopped.
    queued_datagrams: Vec<Vec<u8>>,
    next_tick_at: Option<Millis>,
    ready: Readiness,
    /// Its part in the agreement on drains, if the schedule has voters.
    agreement: Option<agree::DrainAgreement>,
}

/// A fleet, its simulated network and the history of the run so far.
pub struct FleetSimulation {
    schedule: Schedule,
    options: Options,
    now: Millis,
    rng: ChaCha8Rng,
    /// Time and id of each pending event, the earliest first.
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    /// Pending events by id.
    events: HashMap<u64, Event>,
    /// The last id given to an event or a connection.
    last_id: u64,
    /// Processes by pid; `None` for those that ended or have not started.
    processes: Vec<Option<Process>>,
    /// Pids of each node's running processes, in the order of their starts.
    pids_by_node: Vec<Vec<usize>>,
    pid_by_address: HashMap<SocketAddr, usize>,
    connections: HashMap<u64, Connection>,
    history: History,
    keys: Keys,
    /// Indices of the nodes by name, to find them in views.
    node_by_name: HashMap<String, usize>,
    /// Voters' stored state by node. It outlives their processes.
    disks: HashMap<usize, agree::VoterDisk>,
    /// The most processes that drained at once.
    max_draining: usize,
    /// The most nodes out of service when a drain began; see [`Drains::out`].
    max_out: usize,
    drains_started: u64,
}

/// The name of the node with this index.
pub fn name(node: usize) -> String {
    format!("n-{node:04}")
}

fn address(pid: usize) -> SocketAddr {
    let [a, b] = (pid as u16).to_be_bytes();
    (Ipv4Addr::new(127, 10, a, b), 7_400).into()
}

fn key_bytes(key_id: u32) -> [u8; KEY_BYTES] {
    [key_id as u8; KEY_BYTES]
}

fn key_ring(key_ids: &[u32], seal_with: u32) -> Keys {
    let keys: Vec<Keys> = key_ids.iter().map(|id| Keys::new(*id, key_bytes(*id))).collect();
    Keys::merged(&keys, seal_with).unwrap_or_else(|| Keys::new(seal_with, key_bytes(seal_with)))
}

impl FleetSimulation {
    /// Starts the nodes that `schedule` does not start later, and queues its steps.
    pub fn new(schedule: Schedule, options: Options) -> FleetSimulation {
        let seed = schedule.seed;
        let history = History { schedule: Some(schedule.clone()), ..History::default() };
        let mut simulation = FleetSimulation {
            now: 1_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_id: 0,
            processes: Vec::new(),
            pids_by_node: vec![Vec::new(); schedule.nodes],
            pid_by_address: HashMap::new(),
            connections: HashMap::new(),
            history,
            keys: key_ring(&[FIRST_KEY_ID], FIRST_KEY_ID),
            node_by_name: (0..schedule.nodes).map(|node| (name(node), node)).collect(),
            disks: HashMap::new(),
            max_draining: 0,
            max_out: 0,
            drains_started: 0,
            options,
            schedule,
        };
        for node in 0..simulation.schedule.nodes {
            // Nodes that start later also get a pid, and so an address: other nodes may have them as seeds.
            simulation.processes.push(None);
            if simulation.schedule.runs_initially(node) {
                simulation.start_process(node, node);
            }
        }
        for (index, step) in simulation.schedule.steps.clone().iter().enumerate() {
            simulation.schedule_event(simulation.millis(step.at), Event::Step(index));
        }
        if options.sample_interval_ms > 0 {
            simulation.schedule_event(simulation.now + options.sample_interval_ms, Event::SampleViews);
        }
        simulation
    }

    /// Converts seconds from the start of the run to virtual time, which starts at 1,000 ms.
    fn millis(&self, seconds: f64) -> Millis {
        1_000 + (seconds * 1_000.0) as Millis
    }

    /// Seconds from the start of the run until now.
    fn seconds(&self) -> f64 {
        self.now.saturating_sub(1_000) as f64 / 1_000.0
    }

    fn schedule_event(&mut self, at: Millis, event: Event) {
        self.last_id += 1;
        self.events.insert(self.last_id, event);
        self.queue.push(Reverse((at.max(self.now), self.last_id)));
    }

    fn record_act(&mut self, node: usize, what: NodeEventKind) {
        let at = self.seconds();
        self.history.acts.push(NodeEvent { at, node, what });
    }

    fn start_process(&mut self, node: usize, pid: usize) {
        let address = address(pid);
        let id = Id::new(name(node), self.now, address);
        // The configuration of a starting process holds the current addresses of the seed nodes.
        let current_address =
            |node: usize| self::address(self.pids_by_node[node].last().copied().unwrap_or(node));
        let seeds = (0..self.options.seed_nodes.min(self.pids_by_node.len()))
            .map(current_address)
            .filter(|seed| *seed != address)
            .collect();
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
        let agreement = self.start_agreement(node);
        let has_agreement = agreement.is_some();
        let process = Process {
            agreement,
            node,
            fleet,
            address,
            stopped: false,
            queued_datagrams: Vec::new(),
            next_tick_at: None,
            ready: Readiness::Serving,
        };
        if self.processes.len() <= pid {
            self.processes.resize_with(pid + 1, || None);
        }
        self.processes[pid] = Some(process);
        self.pid_by_address.insert(address, pid);
        self.pids_by_node[node].push(pid);
        self.record_act(node, NodeEventKind::Started);
        self.run_actions(pid);
        if has_agreement {
            self.schedule_event(self.now + hopmoor_agree::voter::TICK_MS, Event::AgreementTick(pid));
        }
    }

    fn remove_process(&mut self, pid: usize) {
        if let Some(ended) = self.processes.get_mut(pid).and_then(Option::take) {
            self.pid_by_address.remove(&ended.address);
            self.pids_by_node[ended.node].retain(|other| *other != pid);
        }
    }

    /// An unused pid, for a node that moves or a second process of a node. Lower pids belong to the nodes'
    /// first processes.
    fn next_pid(&self) -> usize {
        self.processes.len().max(self.schedule.nodes)
    }

    /// The receiving pid, and the faults on the link to it now. `None` if no process has that address.
    fn link(&self, from: usize, to: SocketAddr) -> Option<(usize, LinkCondition)> {
        let to = *self.pid_by_address.get(&to)?;
        let sender = self.processes.get(from)?.as_ref()?.node;
        let receiver = self.processes.get(to)?.as_ref()?.node;
        Some((to, self.schedule.link(self.seconds(), sender, receiver)))
    }

    fn link_delay_ms(&mut self, manner: &LinkCondition) -> Millis {
        let jitter = if manner.jitter_ms > 0.0 { self.rng.random_range(0.0..manner.jitter_ms) } else { 0.0 };
        (ONE_WAY_MS + manner.delay_ms + jitter + self.rng.random::<f64>()) as Millis
    }

    /// Carries out the pending actions of a process and schedules its next tick.
    fn run_actions(&mut self, pid: usize) {
        loop {
            self.run_agreement_actions(pid);
            let Some(Some(process)) = self.processes.get_mut(pid) else { return };
            while process.fleet.event().is_some() {}
            let Some(action) = process.fleet.action() else { break };
            match action {
                Action::Send(to, bytes) => {
                    let Some((_, manner)) = self.link(pid, to) else { continue };
                    if manner.cut || self.rng.random_bool(manner.loss) {
                        continue;
                    }
                    if self.rng.random_bool(manner.twice) {
                        let at = self.now + self.link_delay_ms(&manner);
                        self.schedule_event(at, Event::Datagram { to, bytes: bytes.clone() });
                    }
                    let at = self.now + self.link_delay_ms(&manner);
                    self.schedule_event(at, Event::Datagram { to, bytes });
                }
                Action::Call(to) => {
                    let Some((callee, _)) = self.link(pid, to) else { continue };
                    let Some(Some(process)) = self.processes.get_mut(pid) else { continue };
                    let Some((caller_exchange, hello)) = process.fleet.call() else { continue };
                    self.last_id += 1;
                    let connection_id = self.last_id;
                    let connection =
                        Connection { caller: pid, callee, caller_exchange, callee_exchange: None, bytes: 0 };
                    self.connections.insert(connection_id, connection);
                    self.send_frame(connection_id, false, hello);
                }
            }
        }
        let Some(Some(process)) = self.processes.get_mut(pid) else { return };
        // An overdue tick comes now. `schedule_event` moves past times to the present, and a tick is
        // recognised by its time, so `next_tick_at` must hold the time in the queue.
        if let Some(next) = process.fleet.next_due().map(|next| next.max(self.now))
            && process.next_tick_at.is_none_or(|at| next < at)
        {
            process.next_tick_at = Some(next);
            self.schedule_event(next, Event::Tick(pid));
        }
    }

    /// Sends a frame over a connection. The connection breaks if the link is cut, or if it has carried more
    /// bytes than the link's `cut_after`.
    fn send_frame(&mut self, connection_id: u64, to_caller: bool, bytes: Vec<u8>) {
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        connection.bytes += bytes.len() as u64;
        let (from, to) = if to_caller {
            (connection.callee, connection.caller)
        } else {
            (connection.caller, connection.callee)
        };
        let sent = connection.bytes;
        let address = self.processes.get(to).and_then(Option::as_ref).map(|process| process.address);
        let link = address.and_then(|to| self.link(from, to));
        match link {
            Some((_, manner)) if !manner.cut && (manner.cut_after == 0 || sent <= manner.cut_after) => {
                // A lost segment of a connection is sent again, so its frame arrives 200 ms later.
                let retransmit_ms = if self.rng.random_bool(manner.loss) { 200 } else { 0 };
                let transfer_ms = if manner.bytes_a_second > 0.0 {
                    (bytes.len() as f64 / manner.bytes_a_second * 1_000.0) as Millis
                } else {
                    0
                };
                let at = self.now + self.link_delay_ms(&manner) + retransmit_ms + transfer_ms;
                self.schedule_event(at, Event::Frame { connection_id, to_caller, bytes });
            }
            _ => drop(self.connections.remove(&connection_id)),
        }
    }

    fn on_frame(&mut self, connection_id: u64, to_caller: bool, bytes: &[u8]) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&connection_id) else { return };
        let to = if to_caller { connection.caller } else { connection.callee };
        let Some(Some(process)) = self.processes.get_mut(to) else {
            self.connections.remove(&connection_id);
            return;
        };
        if process.stopped {
            // A stopped process would read the frame later, when the other side has given up.
            self.connections.remove(&connection_id);
            return;
        }
        let answer = if to_caller {
            process.fleet.frame(now, &mut connection.caller_exchange, bytes)
        } else {
            let callee_exchange = connection.callee_exchange.get_or_insert_with(|| process.fleet.answer());
            process.fleet.frame(now, callee_exchange, bytes)
        };
        match answer {
            Ok(Some(answer)) => self.send_frame(connection_id, !to_caller, answer),
            _ => drop(self.connections.remove(&connection_id)),
        }
        self.run_actions(to);
    }

    fn on_datagram(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        let Some(&pid) = self.pid_by_address.get(&to) else { return };
        let Some(Some(process)) = self.processes.get_mut(pid) else { return };
        if process.stopped {
            if process.queued_datagrams.len() < MAX_QUEUED_DATAGRAMS {
                process.queued_datagrams.push(bytes);
            }
            return;
        }
        let _ = process.fleet.datagram(self.now, &bytes);
        self.run_actions(pid);
    }

    fn apply_step(&mut self, index: usize) {
        let Some(step) = self.schedule.steps.get(index).cloned() else { return };
        let zones = self.schedule.zones;
        let selected = |who: &hopmoor_standin::faults::NodeSet| -> Vec<usize> {
            (0..self.schedule.nodes).filter(|node| who.includes(*node, zones)).collect()
        };
        match step.fault {
            Fault::Start { nodes } => {
                for node in selected(&nodes) {
                    if self.pids_by_node[node].is_empty() {
                        self.start_process(node, node);
                    }
                }
            }
            Fault::Kill { nodes } => {
                for node in selected(&nodes) {
                    self.kill_node(node);
                }
            }
            Fault::Term { nodes } => {
                for node in selected(&nodes) {
                    self.record_act(node, NodeEventKind::Told);
                    for pid in self.pids_by_node[node].clone() {
                        if let Some(Some(process)) = self.processes.get_mut(pid) {
                            process.fleet.leave(self.now);
                        }
                        self.run_actions(pid);
                        self.remove_process(pid);
                    }
                    self.record_act(node, NodeEventKind::Ended);
                }
            }
            Fault::Stop { nodes, seconds } => {
                let at = self.millis(step.at + seconds);
                for node in selected(&nodes) {
                    for pid in self.pids_by_node[node].clone() {
                        if let Some(Some(process)) = self.processes.get_mut(pid) {
                            process.stopped = true;
                        }
                        self.schedule_event(at, Event::Continue(pid));
                    }
                    self.record_act(node, NodeEventKind::Stopped);
                }
            }
            // Looked up for each datagram and frame; see `link`.
            Fault::Link { .. } => {}
            Fault::Move { node } => {
                self.kill_node(node);
                let pid = self.next_pid();
                self.start_process(node, pid);
            }
            Fault::Twin { node } => {
                let pid = self.next_pid();
                self.start_process(node, pid);
            }
            Fault::Flood { node, rate, seconds } => {
                let until = self.millis(step.at + seconds);
                let interval_ms = 1_000.0 / rate.max(0.001);
                self.schedule_event(self.now, Event::Flood { node, until, interval_ms, at: self.now as f64 });
            }
            Fault::Drain { nodes, on } => {
                let ready = if on { Readiness::Draining } else { Readiness::Serving };
                for node in selected(&nodes) {
                    for pid in self.pids_by_node[node].clone() {
                        if self.schedule.voters > 0 {
                            self.request_drain(pid, on);
                        } else {
                            self.set_readiness(pid, ready);
                        }
                        self.run_actions(pid);
                    }
                }
            }
            Fault::Back => {
                let is_draining = |process: &Option<Process>| {
                    process.as_ref().is_some_and(|process| process.ready == Readiness::Draining)
                };
                let draining: Vec<usize> =
                    (0..self.processes.len()).filter(|pid| is_draining(&self.processes[*pid])).collect();
                for pid in draining {
                    if self.schedule.voters > 0 {
                        self.request_drain(pid, false);
                    } else {
                        self.set_readiness(pid, Readiness::Serving);
                    }
                    self.run_actions(pid);
                }
            }
            Fault::Rotate { pause } => {
                for (index, stage) in [KeyStage::Distributed, KeyStage::SealWithNew, KeyStage::OldRemoved]
                    .into_iter()
                    .enumerate()
                {
                    let at = self.millis(step.at + pause * index as f64);
                    self.schedule_event(at, Event::RotateKeys(stage));
                }
            }
        }
    }

    fn kill_node(&mut self, node: usize) {
        for pid in self.pids_by_node[node].clone() {
            self.remove_process(pid);
        }
        self.record_act(node, NodeEventKind::Killed);
    }

    fn rotate_keys(&mut self, stage: KeyStage) {
        let (old, new) = (FIRST_KEY_ID, FIRST_KEY_ID + 1);
        self.keys = match stage {
            KeyStage::Distributed => key_ring(&[old, new], old),
            KeyStage::SealWithNew => key_ring(&[old, new], new),
            KeyStage::OldRemoved => key_ring(&[new], new),
        };
        for process in self.processes.iter_mut().flatten() {
            process.fleet.set_keys(self.keys.clone());
        }
    }

    /// Records the view of each node's first process, unless that is stopped.
    fn sample_views(&mut self) {
        let at = self.seconds();
        for node in 0..self.schedule.nodes {
            let Some(&pid) = self.pids_by_node[node].first() else { continue };
            let Some(Some(process)) = self.processes.get(pid) else { continue };
            if process.stopped {
                continue;
            }
            let view = process.fleet.view(self.now);
            let known =
                view.members.iter().filter_map(|seen| Some((*self.node_by_name.get(&*seen.id.name)?, seen)));
            let states: BTreeMap<usize, String> =
                known.clone().map(|(node, seen)| (node, seen.state.text().to_owned())).collect();
            let ready = known
                .filter(|(_, seen)| seen.state.is_present())
                .filter_map(|(node, seen)| Some((node, seen.info.as_ref()?.ready.text().to_owned())))
                .collect();
            let digest = view.digest[..8].iter().map(|byte| format!("{byte:02x}")).collect();
            let itself_ready = Some(process.ready == Readiness::Serving && view.superseded_by.is_none());
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
                drains: process.ready == Readiness::Draining,
                incarnation,
                sharing,
            });
        }
    }

    /// Runs the events up to `seconds` from the start.
    pub fn run_until(&mut self, seconds: f64) {
        let end = self.millis(seconds);
        while let Some(&Reverse((at, event_id))) = self.queue.peek() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let Some(event) = self.events.remove(&event_id) else { continue };
            match event {
                Event::Tick(pid) => {
                    let Some(Some(process)) = self.processes.get_mut(pid) else { continue };
                    if process.next_tick_at == Some(at) {
                        process.next_tick_at = None;
                    }
                    if !process.stopped {
                        process.fleet.tick(self.now);
                        self.run_actions(pid);
                    }
                }
                Event::Datagram { to, bytes } => self.on_datagram(to, bytes),
                Event::Frame { connection_id, to_caller, bytes } => {
                    self.on_frame(connection_id, to_caller, &bytes)
                }
                Event::Step(index) => self.apply_step(index),
                Event::Continue(pid) => {
                    let Some(Some(process)) = self.processes.get_mut(pid) else { continue };
                    process.stopped = false;
                    let node = process.node;
                    for bytes in std::mem::take(&mut process.queued_datagrams) {
                        let _ = process.fleet.datagram(self.now, &bytes);
                    }
                    process.fleet.tick(self.now);
                    self.record_act(node, NodeEventKind::Continued);
                    self.run_actions(pid);
                }
                Event::Flood { node, until, interval_ms, at } => {
                    let to = self.pids_by_node[node].last().map(|pid| address(*pid));
                    if let Some(to) = to {
                        // Has the tag of a datagram, but random contents that no key has sealed.
                        let mut bytes = vec![b'd'; 100];
                        self.rng.fill(&mut bytes[1..]);
                        self.on_datagram(to, bytes);
                    }
                    if at + interval_ms < until as f64 {
                        let next = Event::Flood { node, until, interval_ms, at: at + interval_ms };
                        self.schedule_event((at + interval_ms) as Millis, next);
                    }
                }
                Event::RotateKeys(stage) => self.rotate_keys(stage),
                Event::AgreementTick(pid) => self.agreement_tick(pid),
                Event::WriteSynced(pid, write) => self.write_synced(pid, write),
                Event::SampleViews => {
                    self.sample_views();
                    self.schedule_event(self.now + self.options.sample_interval_ms, Event::SampleViews);
                }
            }
        }
        self.now = self.now.max(end);
    }

    /// Runs the whole schedule.
    pub fn run_to_end(mut self) -> History {
        self.run_until(self.schedule.seconds);
        self.history
    }

    /// The fleet instance of a node's first process; `None` if the node has no process.
    pub fn fleet(&self, node: usize) -> Option<&Fleet> {
        let pid = *self.pids_by_node.get(node)?.first()?;
        self.processes.get(pid)?.as_ref().map(|process| &process.fleet)
    }

    /// Whether all processes that are not stopped have the same digest, and each counts as many nodes alive
    /// or suspect as there are such processes.
    pub fn views_agree(&self) -> bool {
        let running: Vec<&Process> =
            self.processes.iter().flatten().filter(|process| !process.stopped).collect();
        let digest = running.first().map(|process| process.fleet.digest());
        running.iter().all(|process| {
            let (alive, suspect, _) = process.fleet.counts();
            Some(process.fleet.digest()) == digest && alive + suspect == running.len()
        })
    }

    /// Number of pairs of a process and a running node that the process holds dead.
    pub fn running_but_held_dead(&self) -> usize {
        let is_running = |id: &Id| {
            self.node_by_name.get(&*id.name).is_some_and(|node| {
                let (process_state, _) = self.history.process_state(*node, self.seconds());
                process_state == ProcessState::Up
            })
        };
        let held_dead = |process: &Process| {
            let view = process.fleet.view(self.now);
            view.members.iter().filter(|seen| seen.state == State::Dead && is_running(&seen.id)).count()
        };
        self.processes.iter().flatten().map(held_dead).sum()
    }
}
