//! Plays a schedule on real processes, samples what every node says of the fleet, and writes one history.

use crate::process::{Process, Start, call};
use crate::relay::{Relay, Rule};
use hopmoor_seal::{KEY_BYTES, Keys};
use hopmoor_standin::faults::{Fault, NodeSet, Schedule};
use hopmoor_standin::history::{History, NodeEvent, NodeEventKind, Observation};
use hopmoor_standin::sockets::{Discovery, Member, StandInRuntime};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{JoinSet, LocalSet};

/// Pool members that the nodes stand round.
const MEMBERS: usize = 2;
/// The first so many nodes are everybody's seeds.
const SEEDS: usize = 2;
/// Keys by number: the one at the start, and the one that a rotation brings.
const KEYS: [(u32, u8); 2] = [(1, 0x41), (2, 0x42)];

/// How a schedule is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program whose processes are started.
    pub program: PathBuf,
    /// Every node is asked this often.
    pub every: Duration,
    /// Where the processes' folders are made; none: in a temporary one that is removed.
    pub folder: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Options { program: crate::process::program(), every: Duration::from_millis(100), folder: None }
    }
}

/// A place: a process, or one to come, with its relay.
struct Place {
    node: usize,
    relay: Relay,
    process: Option<Process>,
    runs: usize,
}

struct Rig {
    schedule: Schedule,
    options: Options,
    began: Instant,
    folder: PathBuf,
    keys: PathBuf,
    discovery: String,
    places: Vec<Place>,
    /// Which node's process has which address.
    senders: Rc<RefCell<HashMap<IpAddr, usize>>>,
    rule: Rc<dyn Fn(IpAddr, usize, bool) -> Option<hopmoor_standin::faults::LinkCondition>>,
    history: Rc<RefCell<History>>,
    /// Where running nodes are asked.
    asked: Rc<RefCell<BTreeMap<usize, SocketAddr>>>,
    floods: JoinSet<()>,
    ending: JoinSet<()>,
}

/// Plays a schedule.
///
/// # Errors
/// If a process does not start, or the machine has no room for them.
pub fn play(schedule: &Schedule, options: &Options) -> io::Result<History> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(async {
        let mut term = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        // Told to end, it ends its processes first.
        tokio::select! {
            history = run(schedule.clone(), options.clone()) => history,
            _ = term.recv() => Err(io::ErrorKind::Interrupted.into()),
            _ = interrupt.recv() => Err(io::ErrorKind::Interrupted.into()),
        }
    }))
}

/// A network of addresses of this rig's own within 127.0.0.0/8, so that rigs beside each other don't meet.
fn network() -> u8 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = std::process::id() as u16;
    (base.wrapping_mul(7).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % 200 + 20) as u8
}

async fn run(schedule: Schedule, options: Options) -> io::Result<History> {
    let kept = options.folder.clone();
    let temporary = tempfile::tempdir()?;
    let folder = kept.unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&folder)?;
    let stage = StandInRuntime::new()?;
    let discovery = Discovery::start(&stage)?;
    let members: Vec<Member> =
        (0..MEMBERS).map(|n| Member::start(&stage, 70 + n as u32)).collect::<io::Result<_>>()?;
    for (n, member) in members.iter().enumerate() {
        discovery.set(&format!("s-{}", n + 1), &member.address(), "Ready");
    }
    let keys = folder.join("keys.json");
    std::fs::write(&keys, file_of(&KEYS[..1], KEYS[0].0))?;
    let senders: Rc<RefCell<HashMap<IpAddr, usize>>> = Rc::default();
    let began = Rc::new(RefCell::new(Instant::now()));
    let rule = {
        let (schedule, senders, began) = (schedule.clone(), senders.clone(), began.clone());
        move |from: IpAddr, to: usize, back: bool| {
            let from = *senders.borrow().get(&from)?;
            let at = began.borrow().elapsed().as_secs_f64();
            Some(if back { schedule.link(at, to, from) } else { schedule.link(at, from, to) })
        }
    };
    let history = Rc::new(RefCell::new(History { schedule: Some(schedule.clone()), ..History::default() }));
    let mut rig = Rig {
        schedule,
        options,
        began: Instant::now(),
        folder,
        keys,
        discovery: discovery.address(),
        places: Vec::new(),
        senders,
        rule: Rc::new(rule),
        history,
        asked: Rc::default(),
        floods: JoinSet::new(),
        ending: JoinSet::new(),
    };
    for node in 0..rig.schedule.nodes {
        rig.place(node).await?;
    }
    rig.began = Instant::now();
    *began.borrow_mut() = rig.began;
    let first: Vec<usize> =
        (0..rig.schedule.nodes).filter(|node| rig.schedule.runs_initially(*node)).collect();
    rig.start(&first).await?;
    // Time counts from when all run.
    rig.began = Instant::now();
    *began.borrow_mut() = rig.began;
    for act in &mut rig.history.borrow_mut().acts {
        act.at = 0.0;
    }
    let observer = tokio::task::spawn_local(observe(
        rig.asked.clone(),
        rig.history.clone(),
        rig.began,
        rig.options.every,
    ));
    for step in rig.schedule.steps.clone() {
        tokio::time::sleep_until((rig.began + Duration::from_secs_f64(step.at)).into()).await;
        rig.step(step.fault, step.at).await?;
    }
    tokio::time::sleep_until((rig.began + Duration::from_secs_f64(rig.schedule.seconds)).into()).await;
    observer.abort();
    let _ = observer.await;
    rig.floods.abort_all();
    rig.ending.abort_all();
    for place in rig.places {
        if let Some(process) = place.process {
            process.kill().await;
        }
    }
    Ok(rig.history.take())
}

fn file_of(keys: &[(u32, u8)], seal_with: u32) -> String {
    let several: Vec<Keys> = keys.iter().map(|(id, byte)| Keys::new(*id, [*byte; KEY_BYTES])).collect();
    Keys::merged(&several, seal_with).map(|keys| keys.file()).unwrap_or_default()
}

impl Rig {
    fn act(&self, node: usize, what: NodeEventKind) {
        let at = self.began.elapsed().as_secs_f64();
        self.history.borrow_mut().acts.push(NodeEvent { at, node, what });
    }

    /// A new place for a process of a node; its number.
    async fn place(&mut self, node: usize) -> io::Result<usize> {
        let rule = self.rule.clone();
        let relayed: Rule = Rc::new(move |from, back| rule(from, node, back));
        let number = self.places.len();
        let relay = Relay::start(relayed, self.schedule.seed ^ (number as u64 + 1)).await?;
        self.places.push(Place { node, relay, process: None, runs: 0 });
        Ok(number)
    }

    /// Starts processes at these places, together.
    async fn start(&mut self, places: &[usize]) -> io::Result<()> {
        // As configuration has them at a process's start: where those nodes are now.
        let now = |node: usize| {
            let place = self.places.iter().rev().find(|place| place.node == node)?;
            Some(place.relay.address())
        };
        let seeds: Vec<SocketAddr> = (0..SEEDS.min(self.schedule.nodes)).filter_map(now).collect();
        let network = network();
        let mut starting = JoinSet::new();
        for &number in places {
            let place = &mut self.places[number];
            place.runs += 1;
            // Each process has an address of its own, so that relays tell senders apart.
            let [high, low] = (number as u16 + 1).to_be_bytes();
            let own = IpAddr::V4(Ipv4Addr::new(127, network, high, low));
            self.senders.borrow_mut().insert(own, place.node);
            let start = Start {
                program: self.options.program.clone(),
                folder: self.folder.join(format!("n-{:04}-{number}-{}", place.node, place.runs)),
                name: format!("n-{:04}", place.node),
                zone: format!("z-{}", place.node % self.schedule.zones.max(1)),
                discovery: self.discovery.clone(),
                fleet: SocketAddr::new(own, 0),
                advertise: place.relay.address(),
                seeds: seeds.iter().copied().filter(|seed| *seed != place.relay.address()).collect(),
                keys: self.keys.clone(),
                voters: (0..self.schedule.voters).map(|node| format!("n-{node:04}")).collect(),
                // It outlives its processes.
                votes: self.folder.join(format!("n-{:04}-votes", place.node)),
            };
            starting.spawn_local(async move { (number, Process::start(&start).await) });
        }
        while let Some(started) = starting.join_next().await {
            let (number, process) = started.map_err(io::Error::other)?;
            let process = process?;
            let place = &mut self.places[number];
            place.relay.goes_to(Some(process.fleet));
            self.asked.borrow_mut().entry(place.node).or_insert(process.admin);
            let node = place.node;
            place.process = Some(process);
            self.act(node, NodeEventKind::Started);
        }
        Ok(())
    }

    fn among(&self, who: &NodeSet) -> Vec<usize> {
        (0..self.schedule.nodes).filter(|node| who.includes(*node, self.schedule.zones)).collect()
    }

    fn running(&self, node: usize) -> Vec<usize> {
        let places = self.places.iter().enumerate();
        places.filter(|(_, place)| place.node == node && place.process.is_some()).map(|(n, _)| n).collect()
    }

    fn signal(&self, node: usize, signal: Signal) {
        for place in self.running(node) {
            if let Some(process) = &self.places[place].process {
                process.signal(signal);
            }
        }
    }

    async fn kill(&mut self, node: usize) {
        self.asked.borrow_mut().remove(&node);
        for place in self.running(node) {
            self.places[place].relay.goes_to(None);
            if let Some(process) = self.places[place].process.take() {
                process.kill().await;
            }
        }
        self.act(node, NodeEventKind::Killed);
    }

    async fn step(&mut self, fault: Fault, at: f64) -> io::Result<()> {
        match fault {
            Fault::Start { nodes } => {
                let nodes = self.among(&nodes).into_iter().filter(|node| self.running(*node).is_empty());
                let nodes: Vec<usize> = nodes.collect();
                self.start(&nodes).await?;
            }
            Fault::Kill { nodes } => {
                // All signals first: they are to die together.
                for node in self.among(&nodes) {
                    self.signal(node, Signal::KILL);
                }
                for node in self.among(&nodes) {
                    self.kill(node).await;
                }
            }
            Fault::Term { nodes } => {
                for node in self.among(&nodes) {
                    self.act(node, NodeEventKind::Told);
                    for place in self.running(node) {
                        let Some(process) = self.places[place].process.take() else { continue };
                        let (history, began) = (self.history.clone(), self.began);
                        let asked = self.asked.clone();
                        self.ending.spawn_local(async move {
                            process.term().await;
                            asked.borrow_mut().remove(&node);
                            let at = began.elapsed().as_secs_f64();
                            history.borrow_mut().acts.push(NodeEvent {
                                at,
                                node,
                                what: NodeEventKind::Ended,
                            });
                        });
                    }
                }
            }
            Fault::Stop { nodes, seconds } => {
                let until = self.began + Duration::from_secs_f64(at + seconds);
                for node in self.among(&nodes) {
                    self.signal(node, Signal::STOP);
                    self.act(node, NodeEventKind::Stopped);
                    for place in self.running(node) {
                        let Some(process) = &self.places[place].process else { continue };
                        let id = rustix::process::Pid::from_raw(process.id());
                        let (history, began) = (self.history.clone(), self.began);
                        self.ending.spawn_local(async move {
                            tokio::time::sleep_until(until.into()).await;
                            if let Some(id) = id {
                                let _ = rustix::process::kill_process(id, Signal::CONT);
                            }
                            let at = began.elapsed().as_secs_f64();
                            history.borrow_mut().acts.push(NodeEvent {
                                at,
                                node,
                                what: NodeEventKind::Continued,
                            });
                        });
                    }
                }
            }
            // Relays ask the schedule.
            Fault::Link { .. } => {}
            Fault::Move { node } => {
                self.kill(node).await;
                let place = self.place(node).await?;
                self.start(&[place]).await?;
            }
            Fault::Twin { node } => {
                let place = self.place(node).await?;
                self.start(&[place]).await?;
            }
            Fault::Flood { node, rate, seconds } => {
                let to = self.running(node).first().map(|place| self.places[*place].process.as_ref());
                if let Some(Some(process)) = to {
                    self.floods.spawn_local(flood(process.fleet, rate, seconds, self.schedule.seed));
                }
            }
            Fault::Drain { nodes, on } => {
                let place = if on { "/-/drain" } else { "/-/resume" };
                for node in self.among(&nodes) {
                    for running in self.running(node) {
                        if let Some(process) = &self.places[running].process {
                            call(process.admin, "PUT", place).await?;
                        }
                    }
                }
            }
            Fault::Back => {
                for process in self.places.iter().filter_map(|place| place.process.as_ref()) {
                    // One that does not answer just now is asked again by the next step.
                    let Ok((_, why)) = call(process.admin, "GET", "/-/ready").await else { continue };
                    if why.trim_end().ends_with("draining") {
                        call(process.admin, "PUT", "/-/resume").await?;
                    }
                }
            }
            Fault::Rotate { pause } => {
                let [old, new] = KEYS;
                let files = [file_of(&KEYS, old.0), file_of(&KEYS, new.0), file_of(&[new], new.0)];
                for (times, file) in files.into_iter().enumerate() {
                    let until = self.began + Duration::from_secs_f64(at + pause * times as f64);
                    tokio::time::sleep_until(until.into()).await;
                    std::fs::write(&self.keys, file)?;
                    for node in 0..self.schedule.nodes {
                        self.signal(node, Signal::HUP);
                    }
                }
            }
        }
        Ok(())
    }
}

/// Asks all that run, again and again.
async fn observe(
    asked: Rc<RefCell<BTreeMap<usize, SocketAddr>>>,
    history: Rc<RefCell<History>>,
    began: Instant,
    every: Duration,
) {
    let mut rounds = tokio::time::interval(every);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        let mut asking = JoinSet::new();
        for (node, admin) in asked.borrow().clone() {
            asking.spawn_local(async move {
                let asked = began.elapsed().as_secs_f64();
                let fleet = call(admin, "GET", "/-/fleet").await;
                let ready = call(admin, "GET", "/-/ready").await;
                (node, asked, fleet, ready)
            });
        }
        while let Some(Ok((node, asked, fleet, ready))) = asking.join_next().await {
            let Ok((200, body)) = fleet else { continue };
            let at = began.elapsed().as_secs_f64();
            if let Some(seen) = seen(at, node, &body, ready.ok()) {
                history.borrow_mut().seen.push(Observation { asked, ..seen });
            }
        }
    }
}

fn seen(at: f64, node: usize, body: &str, ready: Option<(u16, String)>) -> Option<Observation> {
    let view: Value = serde_json::from_str(body).ok()?;
    let members = view["members"].as_array()?;
    let named = |member: &Value| member["name"].as_str()?.strip_prefix("n-")?.parse::<usize>().ok();
    let by = |field: &str| -> BTreeMap<usize, String> {
        members.iter().filter_map(|m| Some((named(m)?, m[field].as_str()?.to_owned()))).collect()
    };
    let states = by("state");
    let digest = view["digest"].as_str()?.get(..16)?.to_owned();
    let sharing = view["sharing"].as_u64().map(|nodes| nodes as u32);
    let incarnation = view["incarnation"].as_u64()?;
    let itself_ready = ready.as_ref().map(|(status, _)| *status == 200);
    let drains = ready.is_some_and(|(_, why)| why.trim_end().ends_with("draining"));
    let ready = by("ready");
    Some(Observation {
        at,
        asked: at,
        node,
        digest,
        states,
        ready,
        itself_ready,
        drains,
        incarnation,
        sharing,
    })
}

/// Datagrams that nobody sealed.
async fn flood(to: SocketAddr, rate: f64, seconds: f64, seed: u64) {
    let Ok(udp) = tokio::net::UdpSocket::bind("127.0.0.1:0").await else { return };
    let mut draws = StdRng::seed_from_u64(seed);
    let began = Instant::now();
    let mut sent = 0.0;
    let mut bytes = [0; 120];
    while began.elapsed().as_secs_f64() < seconds {
        let due = began.elapsed().as_secs_f64() * rate;
        while sent < due {
            draws.fill_bytes(&mut bytes);
            // Half of them look like ours as far as that can be seen without a key.
            if draws.random_bool(0.5) {
                bytes[..5].copy_from_slice(&[b'd', 1, 0, 0, 0]);
            }
            let _ = udp.try_send_to(&bytes, to);
            sent += 1.0;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
