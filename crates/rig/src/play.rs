//! Plays a schedule on real processes, samples every node's view of the fleet, and records one history.

use crate::process::{Process, ProcessOptions, call_admin};
use crate::relay::{LinkConditionFn, Relay};
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

/// Number of pool members that the nodes serve.
const MEMBER_COUNT: usize = 2;
/// Number of seed nodes; the nodes with the lowest numbers are every node's seeds.
const SEED_COUNT: usize = 2;
/// The id of each key and the byte that fills it: the initial key, and the key that a rotation introduces.
const KEY_IDS_AND_BYTES: [(u32, u8); 2] = [(1, 0x41), (2, 0x42)];

/// Options for playing a schedule.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the `hopmoor` program.
    pub program: PathBuf,
    /// How often each node's view is sampled.
    pub sample_interval: Duration,
    /// Folder in which each process gets a folder of its own. `None`: a temporary folder that is removed
    /// afterwards.
    pub folder: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            program: crate::process::program(),
            sample_interval: Duration::from_millis(100),
            folder: None,
        }
    }
}

/// A relay and the process behind it, if one runs. A node has a further slot for each move or twin.
struct Slot {
    node: usize,
    relay: Relay,
    process: Option<Process>,
    start_count: usize,
}

struct Rig {
    schedule: Schedule,
    options: Options,
    started_at: Instant,
    folder: PathBuf,
    /// Path of the key file that all processes read.
    keys: PathBuf,
    discovery: String,
    slots: Vec<Slot>,
    /// The node whose process sends from an address.
    node_by_address: Rc<RefCell<HashMap<IpAddr, usize>>>,
    link_condition: Rc<dyn Fn(IpAddr, usize, bool) -> Option<hopmoor_standin::faults::LinkCondition>>,
    history: Rc<RefCell<History>>,
    /// Admin addresses of the running nodes.
    admin_addresses: Rc<RefCell<BTreeMap<usize, SocketAddr>>>,
    /// Tasks that flood nodes with datagrams.
    flood_tasks: JoinSet<()>,
    /// Tasks that wait for terminated processes to exit, or until stopped processes are to continue.
    pending_tasks: JoinSet<()>,
}

/// Plays a schedule and returns its history.
///
/// # Errors
/// If a process does not start, if the machine lacks ports, files or memory for the processes, or if the rig
/// gets SIGTERM or SIGINT.
pub fn play(schedule: &Schedule, options: &Options) -> io::Result<History> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(async {
        let mut term = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        // On SIGTERM or SIGINT the run is dropped, which kills its processes.
        tokio::select! {
            history = run_schedule(schedule.clone(), options.clone()) => history,
            _ = term.recv() => Err(io::ErrorKind::Interrupted.into()),
            _ = interrupt.recv() => Err(io::ErrorKind::Interrupted.into()),
        }
    }))
}

/// Returns the second octet of a network within 127.0.0.0/8. It depends on the process id and a counter, so
/// that rigs that run at the same time do not share addresses.
fn next_network_octet() -> u8 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = std::process::id() as u16;
    (base.wrapping_mul(7).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % 200 + 20) as u8
}

async fn run_schedule(schedule: Schedule, options: Options) -> io::Result<History> {
    let kept_folder = options.folder.clone();
    let temporary = tempfile::tempdir()?;
    let folder = kept_folder.unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&folder)?;
    let standin_runtime = StandInRuntime::new()?;
    let discovery = Discovery::start(&standin_runtime)?;
    let members: Vec<Member> = (0..MEMBER_COUNT)
        .map(|n| Member::start(&standin_runtime, 70 + n as u32))
        .collect::<io::Result<_>>()?;
    for (n, member) in members.iter().enumerate() {
        discovery.set(&format!("s-{}", n + 1), &member.address(), "Ready");
    }
    let keys = folder.join("keys.json");
    std::fs::write(&keys, key_file(&KEY_IDS_AND_BYTES[..1], KEY_IDS_AND_BYTES[0].0))?;
    let node_by_address: Rc<RefCell<HashMap<IpAddr, usize>>> = Rc::default();
    let started_at = Rc::new(RefCell::new(Instant::now()));
    let link_condition = {
        let (schedule, node_by_address, started_at) =
            (schedule.clone(), node_by_address.clone(), started_at.clone());
        move |from: IpAddr, to: usize, reverse: bool| {
            let from = *node_by_address.borrow().get(&from)?;
            let at = started_at.borrow().elapsed().as_secs_f64();
            Some(if reverse { schedule.link(at, to, from) } else { schedule.link(at, from, to) })
        }
    };
    let history = Rc::new(RefCell::new(History { schedule: Some(schedule.clone()), ..History::default() }));
    let mut rig = Rig {
        schedule,
        options,
        started_at: Instant::now(),
        folder,
        keys,
        discovery: discovery.address(),
        slots: Vec::new(),
        node_by_address,
        link_condition: Rc::new(link_condition),
        history,
        admin_addresses: Rc::default(),
        flood_tasks: JoinSet::new(),
        pending_tasks: JoinSet::new(),
    };
    for node in 0..rig.schedule.nodes {
        rig.add_slot(node).await?;
    }
    rig.started_at = Instant::now();
    *started_at.borrow_mut() = rig.started_at;
    let initial_nodes: Vec<usize> =
        (0..rig.schedule.nodes).filter(|node| rig.schedule.runs_initially(*node)).collect();
    rig.start(&initial_nodes).await?;
    // The schedule's time starts once all initial nodes run.
    rig.started_at = Instant::now();
    *started_at.borrow_mut() = rig.started_at;
    for event in &mut rig.history.borrow_mut().acts {
        event.at = 0.0;
    }
    let observer = tokio::task::spawn_local(observe(
        rig.admin_addresses.clone(),
        rig.history.clone(),
        rig.started_at,
        rig.options.sample_interval,
    ));
    for step in rig.schedule.steps.clone() {
        tokio::time::sleep_until((rig.started_at + Duration::from_secs_f64(step.at)).into()).await;
        rig.apply_fault(step.fault, step.at).await?;
    }
    tokio::time::sleep_until((rig.started_at + Duration::from_secs_f64(rig.schedule.seconds)).into()).await;
    observer.abort();
    let _ = observer.await;
    rig.flood_tasks.abort_all();
    rig.pending_tasks.abort_all();
    for slot in rig.slots {
        if let Some(process) = slot.process {
            process.kill().await;
        }
    }
    Ok(rig.history.take())
}

/// Returns the contents of a key file with these keys, of which the one with id `seal_with` seals.
fn key_file(keys: &[(u32, u8)], seal_with: u32) -> String {
    let key_sets: Vec<Keys> = keys.iter().map(|(id, byte)| Keys::new(*id, [*byte; KEY_BYTES])).collect();
    Keys::merged(&key_sets, seal_with).map(|keys| keys.file()).unwrap_or_default()
}

impl Rig {
    /// Adds an event at the current time to the history.
    fn record_event(&self, node: usize, what: NodeEventKind) {
        let at = self.started_at.elapsed().as_secs_f64();
        self.history.borrow_mut().acts.push(NodeEvent { at, node, what });
    }

    /// Adds a slot for a process of a node, with a relay that has no target yet, and returns its index.
    async fn add_slot(&mut self, node: usize) -> io::Result<usize> {
        let link_condition = self.link_condition.clone();
        let slot_link_condition: LinkConditionFn =
            Rc::new(move |from, reverse| link_condition(from, node, reverse));
        let slot_index = self.slots.len();
        let relay = Relay::start(slot_link_condition, self.schedule.seed ^ (slot_index as u64 + 1)).await?;
        self.slots.push(Slot { node, relay, process: None, start_count: 0 });
        Ok(slot_index)
    }

    /// Starts a process in each of these slots concurrently, and waits until all have reported their
    /// addresses.
    async fn start(&mut self, slots: &[usize]) -> io::Result<()> {
        // The seeds' current addresses, as a configuration written at the process's start has them.
        let current_address = |node: usize| {
            let slot = self.slots.iter().rev().find(|slot| slot.node == node)?;
            Some(slot.relay.address())
        };
        let seeds: Vec<SocketAddr> =
            (0..SEED_COUNT.min(self.schedule.nodes)).filter_map(current_address).collect();
        let network_octet = next_network_octet();
        let mut starting = JoinSet::new();
        for &slot_index in slots {
            let slot = &mut self.slots[slot_index];
            slot.start_count += 1;
            // Each process gets its own source address, by which the relays identify the sending node.
            let [high, low] = (slot_index as u16 + 1).to_be_bytes();
            let process_address = IpAddr::V4(Ipv4Addr::new(127, network_octet, high, low));
            self.node_by_address.borrow_mut().insert(process_address, slot.node);
            let process_options = ProcessOptions {
                program: self.options.program.clone(),
                folder: self.folder.join(format!("n-{:04}-{slot_index}-{}", slot.node, slot.start_count)),
                name: format!("n-{:04}", slot.node),
                zone: format!("z-{}", slot.node % self.schedule.zones.max(1)),
                discovery: self.discovery.clone(),
                fleet: SocketAddr::new(process_address, 0),
                advertise: slot.relay.address(),
                seeds: seeds.iter().copied().filter(|seed| *seed != slot.relay.address()).collect(),
                keys: self.keys.clone(),
                voters: (0..self.schedule.voters).map(|node| format!("n-{node:04}")).collect(),
                // Per node, not per process, because the Raft log and vote outlive the process.
                votes: self.folder.join(format!("n-{:04}-votes", slot.node)),
            };
            starting.spawn_local(async move { (slot_index, Process::start(&process_options).await) });
        }
        while let Some(started) = starting.join_next().await {
            let (slot_index, process) = started.map_err(io::Error::other)?;
            let process = process?;
            let slot = &mut self.slots[slot_index];
            slot.relay.set_target(Some(process.fleet));
            self.admin_addresses.borrow_mut().entry(slot.node).or_insert(process.admin);
            let node = slot.node;
            slot.process = Some(process);
            self.record_event(node, NodeEventKind::Started);
        }
        Ok(())
    }

    fn matching_nodes(&self, node_set: &NodeSet) -> Vec<usize> {
        (0..self.schedule.nodes).filter(|node| node_set.includes(*node, self.schedule.zones)).collect()
    }

    fn running_slots(&self, node: usize) -> Vec<usize> {
        let slots = self.slots.iter().enumerate();
        slots.filter(|(_, slot)| slot.node == node && slot.process.is_some()).map(|(n, _)| n).collect()
    }

    fn signal(&self, node: usize, signal: Signal) {
        for slot in self.running_slots(node) {
            if let Some(process) = &self.slots[slot].process {
                process.signal(signal);
            }
        }
    }

    async fn kill(&mut self, node: usize) {
        self.admin_addresses.borrow_mut().remove(&node);
        for slot in self.running_slots(node) {
            self.slots[slot].relay.set_target(None);
            if let Some(process) = self.slots[slot].process.take() {
                process.kill().await;
            }
        }
        self.record_event(node, NodeEventKind::Killed);
    }

    async fn apply_fault(&mut self, fault: Fault, at: f64) -> io::Result<()> {
        match fault {
            Fault::Start { nodes } => {
                let nodes = self
                    .matching_nodes(&nodes)
                    .into_iter()
                    .filter(|node| self.running_slots(*node).is_empty());
                let nodes: Vec<usize> = nodes.collect();
                self.start(&nodes).await?;
            }
            Fault::Kill { nodes } => {
                // Signals all nodes before waiting for any, so that they die at the same time.
                for node in self.matching_nodes(&nodes) {
                    self.signal(node, Signal::KILL);
                }
                for node in self.matching_nodes(&nodes) {
                    self.kill(node).await;
                }
            }
            Fault::Term { nodes } => {
                for node in self.matching_nodes(&nodes) {
                    self.record_event(node, NodeEventKind::Told);
                    for slot in self.running_slots(node) {
                        let Some(process) = self.slots[slot].process.take() else { continue };
                        let (history, started_at) = (self.history.clone(), self.started_at);
                        let admin_addresses = self.admin_addresses.clone();
                        self.pending_tasks.spawn_local(async move {
                            process.term().await;
                            admin_addresses.borrow_mut().remove(&node);
                            let at = started_at.elapsed().as_secs_f64();
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
                let until = self.started_at + Duration::from_secs_f64(at + seconds);
                for node in self.matching_nodes(&nodes) {
                    self.signal(node, Signal::STOP);
                    self.record_event(node, NodeEventKind::Stopped);
                    for slot in self.running_slots(node) {
                        let Some(process) = &self.slots[slot].process else { continue };
                        let id = rustix::process::Pid::from_raw(process.id());
                        let (history, started_at) = (self.history.clone(), self.started_at);
                        self.pending_tasks.spawn_local(async move {
                            tokio::time::sleep_until(until.into()).await;
                            if let Some(id) = id {
                                let _ = rustix::process::kill_process(id, Signal::CONT);
                            }
                            let at = started_at.elapsed().as_secs_f64();
                            history.borrow_mut().acts.push(NodeEvent {
                                at,
                                node,
                                what: NodeEventKind::Continued,
                            });
                        });
                    }
                }
            }
            // The relays look up link conditions in the schedule themselves.
            Fault::Link { .. } => {}
            Fault::Move { node } => {
                self.kill(node).await;
                let slot = self.add_slot(node).await?;
                self.start(&[slot]).await?;
            }
            Fault::Twin { node } => {
                let slot = self.add_slot(node).await?;
                self.start(&[slot]).await?;
            }
            Fault::Flood { node, rate, seconds } => {
                let to = self.running_slots(node).first().map(|slot| self.slots[*slot].process.as_ref());
                if let Some(Some(process)) = to {
                    self.flood_tasks.spawn_local(flood(process.fleet, rate, seconds, self.schedule.seed));
                }
            }
            Fault::Drain { nodes, on } => {
                let path = if on { "/-/drain" } else { "/-/resume" };
                for node in self.matching_nodes(&nodes) {
                    for slot in self.running_slots(node) {
                        if let Some(process) = &self.slots[slot].process {
                            call_admin(process.admin, "PUT", path).await?;
                        }
                    }
                }
            }
            Fault::Back => {
                for process in self.slots.iter().filter_map(|slot| slot.process.as_ref()) {
                    // A node that does not answer now is asked again when the schedule repeats this step.
                    let Ok((_, body)) = call_admin(process.admin, "GET", "/-/ready").await else { continue };
                    if body.trim_end().ends_with("draining") {
                        call_admin(process.admin, "PUT", "/-/resume").await?;
                    }
                }
            }
            Fault::Rotate { pause } => {
                let [old, new] = KEY_IDS_AND_BYTES;
                let files = [
                    key_file(&KEY_IDS_AND_BYTES, old.0),
                    key_file(&KEY_IDS_AND_BYTES, new.0),
                    key_file(&[new], new.0),
                ];
                for (phase, file) in files.into_iter().enumerate() {
                    let until = self.started_at + Duration::from_secs_f64(at + pause * phase as f64);
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

/// Samples the fleet view and readiness of every running node at an interval, until the task is aborted.
async fn observe(
    admin_addresses: Rc<RefCell<BTreeMap<usize, SocketAddr>>>,
    history: Rc<RefCell<History>>,
    started_at: Instant,
    sample_interval: Duration,
) {
    let mut ticks = tokio::time::interval(sample_interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut requests = JoinSet::new();
        for (node, admin) in admin_addresses.borrow().clone() {
            requests.spawn_local(async move {
                let asked = started_at.elapsed().as_secs_f64();
                let fleet = call_admin(admin, "GET", "/-/fleet").await;
                let ready = call_admin(admin, "GET", "/-/ready").await;
                (node, asked, fleet, ready)
            });
        }
        while let Some(Ok((node, asked, fleet, ready))) = requests.join_next().await {
            let Ok((200, body)) = fleet else { continue };
            let at = started_at.elapsed().as_secs_f64();
            if let Some(observation) = parse_observation(at, node, &body, ready.ok()) {
                history.borrow_mut().seen.push(Observation { asked, ..observation });
            }
        }
    }
}

/// Builds an observation from the answers of `/-/fleet` and `/-/ready`; `None` if the fleet view is not as
/// expected.
fn parse_observation(at: f64, node: usize, body: &str, ready: Option<(u16, String)>) -> Option<Observation> {
    let view: Value = serde_json::from_str(body).ok()?;
    let members = view["members"].as_array()?;
    let node_number = |member: &Value| member["name"].as_str()?.strip_prefix("n-")?.parse::<usize>().ok();
    let by_node = |field: &str| -> BTreeMap<usize, String> {
        members.iter().filter_map(|m| Some((node_number(m)?, m[field].as_str()?.to_owned()))).collect()
    };
    let states = by_node("state");
    let digest = view["digest"].as_str()?.get(..16)?.to_owned();
    let sharing = view["sharing"].as_u64().map(|nodes| nodes as u32);
    let incarnation = view["incarnation"].as_u64()?;
    let itself_ready = ready.as_ref().map(|(status, _)| *status == 200);
    let drains = ready.is_some_and(|(_, reason)| reason.trim_end().ends_with("draining"));
    let ready = by_node("ready");
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

/// Sends datagrams that are not sealed with any key, `rate` per second, to a node.
async fn flood(to: SocketAddr, rate: f64, seconds: f64, seed: u64) {
    let Ok(udp) = tokio::net::UdpSocket::bind("127.0.0.1:0").await else { return };
    let mut rng = StdRng::seed_from_u64(seed);
    let started_at = Instant::now();
    let mut sent = 0.0;
    let mut bytes = [0; 120];
    while started_at.elapsed().as_secs_f64() < seconds {
        let due = started_at.elapsed().as_secs_f64() * rate;
        while sent < due {
            rng.fill_bytes(&mut bytes);
            // Half of them have the header of a fleet datagram under key 1, which can't be told apart without
            // the key.
            if rng.random_bool(0.5) {
                bytes[..5].copy_from_slice(&[b'd', 1, 0, 0, 0]);
            }
            let _ = udp.try_send_to(&bytes, to);
            sent += 1.0;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
