//! A whole site in virtual time: the real broker and decision module of each node, with members and clients that are
//! made up here. One seed gives one run. The nodes record into folders as the real program does.
//!
//! A member answers an attempt after 3 to 9 ms, or 15 ms a connection more once it holds more than its slots; a probe
//! is answered with its load (connections over slots) and how long a message takes. A client wants its connection
//! from its arrival on for an exponential time, whatever happens to it, and comes again after a break, a move or a
//! reject until that time is over.

mod clients;
pub mod fleet;
mod members;
mod nodes;
mod script;

use hopmoor::broker::{
    ArrivalKind, Broker, ClientRequest, Command, Counters, DriverCommand, FrontEvent, TransactionId,
    site_header,
};
use hopmoor::config::Site as Settled;
use hopmoor::pool::{Member as Listed, PoolList};
use hopmoor::{ClassId, Millis, Outcome, Phase, Report, Settings, Tenant, TenantId};
use hopmoor_record::{Header, RealDisk, Retention, Writer};
use hopmoor_standin::plan::{self, Plan, ScriptAction, ScriptEntry};
use hopmoor_standin::truth::{Condition, ConditionChange, GroundTruth};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::io;
use std::path::{Path, PathBuf};

/// Runs begin at this Unix time, in milliseconds.
pub const RUN_START_UNIX_MS: Millis = 1_790_000_000_000.0;
/// The list tells of a change so much later.
const LIST_MS: Millis = 200.0;
/// A dead process stays on the list for so long.
const DEAD_LISTED_MS: Millis = 3_000.0;
/// A member is cold for so long after its start.
const COLD_MS: Millis = 10_000.0;
/// A mute connection ends after this.
const MUTE_MS: Millis = 4_500.0;
/// A probe without an answer ends after this.
const PROBE_MS: Millis = 1_000.0;
/// Records are written this often, and counters every tenth time.
const FLUSH_MS: Millis = 100.0;
/// A node that ends moves its clients within this.
const LEAVE_MS: Millis = 3_200.0;

#[derive(Clone, Debug)]
enum Due {
    ScriptEntry(usize),
    Over(usize),
    Arrive,
    ClientRequest(u64),
    Answer { node: usize, run: u32, id: TransactionId, flow: u32, outcome: Option<Outcome> },
    Leave(u64),
    Mute { client: u64, epoch: u32 },
    Probe { node: usize, run: u32, member: usize, sent: Millis },
    List { node: usize, run: u32 },
    Gone(usize, u32),
    Silence(usize),
    Flush { node: usize, run: u32 },
    Stop(usize),
}

#[derive(Debug)]
struct Member {
    name: String,
    slots: u32,
    up: bool,
    draining: bool,
    born: Millis,
    /// Counts its starts, so that what was meant for its predecessor is told apart.
    start: u32,
    silent_until: Millis,
    refuses_until: Millis,
    slow_until: Millis,
    slow_ms: Millis,
    held: u32,
    listed: Phase,
}

impl Member {
    fn load(&self) -> f64 {
        f64::from(self.held) / f64::from(self.slots)
    }

    /// How long a message takes there.
    fn message_ms(&self, now: Millis) -> Millis {
        if now < self.slow_until { self.slow_ms } else { 2.0 + 30.0 * (self.load() - 1.0).max(0.0) }
    }

    fn serves(&self, now: Millis, message_aim_ms: Millis) -> bool {
        self.up && now >= self.silent_until && self.message_ms(now) <= message_aim_ms
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Away,
    Asking { node: usize, id: TransactionId, member: Option<usize>, flow: u32 },
    Standing { node: usize, id: TransactionId, member: usize },
}

#[derive(Debug)]
struct Client {
    class: usize,
    tenant: usize,
    until: Millis,
    at: At,
    /// Whether and how it has been here before.
    coming: ArrivalKind,
    /// Counts its connections.
    epoch: u32,
    /// When its account was last settled.
    settled: Millis,
}

struct Node {
    name: String,
    run: u32,
    broker: Option<Broker>,
    writer: Option<Writer>,
    clients: BTreeMap<TransactionId, u64>,
    leaving: bool,
    flushes: u32,
    deaf_until: Millis,
    seq: u64,
}

/// A site at work.
pub struct Site {
    plan: Plan,
    settled: Settled,
    folder: Option<PathBuf>,
    rng: ChaCha8Rng,
    now: Millis,
    order: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    due: HashMap<u64, Due>,
    members: Vec<Member>,
    nodes: Vec<Node>,
    clients: BTreeMap<u64, Client>,
    next_client: u64,
    rush: f64,
    truth: GroundTruth,
}

/// Plays a plan to its end. The nodes record into `folder/NODE` if one is given.
///
/// # Errors
/// If the folders can't be made or written to.
pub fn simulate(plan: &Plan, folder: Option<&Path>) -> io::Result<GroundTruth> {
    let mut site = Site::new(plan.clone(), folder)?;
    site.run();
    Ok(site.truth)
}

impl Site {
    /// The site at its start.
    ///
    /// # Errors
    /// If the folders can't be made or written to.
    pub fn new(plan: Plan, folder: Option<&Path>) -> io::Result<Site> {
        let members = plan.members.iter().map(|member| Member {
            name: member.name.clone(),
            slots: member.slots,
            up: true,
            draining: false,
            born: 0.0,
            start: 0,
            silent_until: 0.0,
            refuses_until: 0.0,
            slow_until: 0.0,
            slow_ms: 0.0,
            held: 0,
            listed: Phase::Serving,
        });
        let mut site = Site {
            settled: settle(&plan),
            folder: folder.map(Path::to_owned),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            now: RUN_START_UNIX_MS,
            order: 0,
            heap: BinaryHeap::new(),
            due: HashMap::new(),
            members: members.collect(),
            nodes: Vec::new(),
            clients: BTreeMap::new(),
            next_client: 0,
            rush: 1.0,
            truth: GroundTruth { began: RUN_START_UNIX_MS, ..GroundTruth::default() },
            plan,
        };
        for name in site.plan.nodes.clone() {
            site.nodes.push(Node {
                name,
                run: 0,
                broker: None,
                writer: None,
                clients: BTreeMap::new(),
                leaving: false,
                flushes: 0,
                deaf_until: 0.0,
                seq: 1,
            });
        }
        for node in 0..site.nodes.len() {
            site.start_node(node)?;
        }
        for (at, act) in site.plan.script.clone().into_iter().enumerate() {
            site.set(RUN_START_UNIX_MS + act.at_ms, Due::ScriptEntry(at));
        }
        site.set(RUN_START_UNIX_MS, Due::Arrive);
        Ok(site)
    }

    /// What has really happened so far.
    pub fn truth(&self) -> &GroundTruth {
        &self.truth
    }

    fn set(&mut self, at: Millis, due: Due) {
        self.order += 1;
        // Whole microseconds sort as numbers.
        let at = ((at - RUN_START_UNIX_MS).max(0.0) * 1_000.0) as u64;
        self.heap.push(Reverse((at, self.order)));
        self.due.insert(self.order, due);
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        self.rng.random_range(least..most)
    }

    /// Plays on to the end of the plan.
    pub fn run(&mut self) {
        let end = RUN_START_UNIX_MS + self.plan.until_ms;
        loop {
            let next = self
                .heap
                .peek()
                .map_or(f64::INFINITY, |Reverse((at, _))| RUN_START_UNIX_MS + *at as f64 / 1_000.0);
            let node = self
                .nodes
                .iter()
                .enumerate()
                .filter_map(|(at, node)| Some((at, node.broker.as_ref()?.next_due()?)));
            let (node, broker_due) = node.min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((0, f64::INFINITY));
            let at = next.min(broker_due);
            if at >= end {
                break;
            }
            self.now = self.now.max(at);
            if broker_due < next {
                self.with(node, |broker, now| broker.tick(now));
            } else if let Some(Reverse((_, order))) = self.heap.pop()
                && let Some(due) = self.due.remove(&order)
            {
                self.fall_due(due);
            }
        }
        self.now = end;
        let clients: Vec<u64> = self.clients.keys().copied().collect();
        clients.into_iter().for_each(|client| self.settle(client));
        for node in 0..self.nodes.len() {
            if self.nodes[node].broker.is_some() {
                self.stop_node(node);
            }
        }
    }

    // ---- What falls due ----

    fn fall_due(&mut self, due: Due) {
        match due {
            Due::ScriptEntry(at) => self.act(at),
            Due::Over(at) => self.act_over(at),
            Due::Arrive => self.arrive(),
            Due::ClientRequest(client) => self.ask(client),
            Due::Leave(client) => self.leave(client),
            Due::Answer { node, run, id, flow, outcome } if self.nodes[node].run == run => {
                self.answered(node, id, flow, outcome);
            }
            Due::Mute { client, epoch } => self.mute(client, epoch),
            Due::Probe { node, run, member, sent } if self.nodes[node].run == run => {
                self.probed(node, member, sent);
            }
            Due::List { node, run } if self.nodes[node].run == run => {
                let list = self.list(node);
                // One that is older or names nobody is not taken: the node's own business.
                let _ = self.with(node, |broker, now| broker.listed(now, list, now));
            }
            Due::Gone(member, start) => {
                if self.members[member].start == start && !self.members[member].up {
                    self.members[member].listed = Phase::Gone;
                    self.relist();
                }
            }
            Due::Silence(member) => self.mute_all(member),
            Due::Flush { node, run } if self.nodes[node].run == run && self.nodes[node].broker.is_some() => {
                self.flush(node, false);
                self.set(self.now + FLUSH_MS, Due::Flush { node, run });
            }
            Due::Stop(node) => self.stop_node(node),
            Due::Answer { .. } | Due::Probe { .. } | Due::List { .. } | Due::Flush { .. } => {}
        }
    }

    fn answered(&mut self, node: usize, id: TransactionId, flow: u32, outcome: Option<Outcome>) {
        let Some(&client) = self.nodes[node].clients.get(&id) else { return };
        let Some(At::Asking { flow: now_out, member, .. }) = self.clients.get(&client).map(|of| of.at) else {
            return;
        };
        if now_out != flow {
            return;
        }
        self.on_front_event(node, id, FrontEvent::Connected);
        if outcome != Some(Outcome::Unreachable) {
            self.on_front_event(node, id, FrontEvent::Sent);
        }
        match (outcome, member) {
            (Some(Outcome::Ok), Some(member)) => {
                self.settle(client);
                if let Some(of) = self.clients.get_mut(&client) {
                    of.at = At::Standing { node, id, member };
                    let epoch = of.epoch;
                    if self.now < self.members[member].silent_until {
                        self.set(self.now + MUTE_MS, Due::Mute { client, epoch });
                    }
                }
                self.on_front_event(node, id, FrontEvent::Up);
            }
            (Some(Outcome::Ok), None) | (None, _) => {}
            (Some(outcome), _) => {
                let load = None;
                self.on_front_event(
                    node,
                    id,
                    FrontEvent::Ended(outcome, Some(Report { load_over_capacity: load })),
                );
            }
        }
    }

    /// A connection on which nothing is answered ends, as the front sees to it.
    fn mute(&mut self, client: u64, epoch: u32) {
        let Some(of) = self.clients.get(&client).filter(|of| of.epoch == epoch) else { return };
        let At::Standing { node, id, member } = of.at else { return };
        if self.now < self.members[member].silent_until {
            self.broken(client, 40.0, 160.0);
            self.nodes[node].clients.remove(&id);
            self.on_front_event(node, id, FrontEvent::Ended(Outcome::TimedOut, None));
        }
    }

    /// A member has gone silent: each connection there hears nothing from its next line on, which comes within 2 s.
    fn mute_all(&mut self, which: usize) {
        let there = |of: &Client| matches!(of.at, At::Standing { member, .. } if member == which);
        let hit: Vec<_> =
            self.clients.iter().filter(|(_, of)| there(of)).map(|(client, of)| (*client, of.epoch)).collect();
        for (client, epoch) in hit {
            let line = self.between(0.0, 2_000.0);
            self.set(self.now + line + MUTE_MS, Due::Mute { client, epoch });
        }
    }

    fn probed(&mut self, node: usize, member: usize, sent: Millis) {
        let there = &self.members[member];
        let silent = sent < there.silent_until;
        let (outcome, report, message) = match (there.up, silent) {
            (false, _) => (Outcome::Unreachable, None, None),
            (true, true) => (Outcome::TimedOut, None, None),
            (true, false) => {
                let report = Report { load_over_capacity: Some(there.load()) };
                (Outcome::Ok, Some(report), Some(there.message_ms(self.now)))
            }
        };
        let name = there.name.clone();
        self.with(node, |broker, now| {
            if let Some(member) = broker.find_member(&name) {
                broker.probed(now, member, outcome, report, message);
            }
        });
    }
}

fn at_node(name: &str) -> String {
    name.to_owned()
}

/// The settings of a node at such a site: probes are cheap there.
fn settle(plan: &Plan) -> Settled {
    let class = |class: &plan::Class| hopmoor::Class {
        aim_ms: class.aim_ms,
        worth: class.worth,
        message_aim_ms: class.message_aim_ms,
        ..hopmoor::Class::default()
    };
    let slots: f64 = plan.members.iter().map(|member| f64::from(member.slots)).sum();
    let tenant = |(_, part): &(String, f64)| Tenant { quota_connections: slots * part, ..Tenant::default() };
    let settings = Settings {
        balancers: plan.nodes.len().max(1) as u32,
        classes: plan.classes.iter().map(class).collect(),
        tenants: plan.tenants.iter().map(tenant).collect(),
        probing: true,
        reports: true,
        reports_message_delay: true,
        cancel: true,
        discovery_on_request: true,
        max_attempts: 6,
        max_retry_after_ms: 1_000.0,
        warm_up_ms: COLD_MS,
        ..Settings::default()
    };
    Settled {
        settings,
        classes: plan.classes.iter().map(|class| class.name.clone()).collect(),
        tenants: plan.tenants.iter().map(|tenant| tenant.0.clone()).collect(),
        zones: vec!["a".into()],
        keepalive_ms: 5_000.0,
        ..Settled::default()
    }
}
