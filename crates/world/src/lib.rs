//! Simulates a whole site in virtual time. Every node runs the real broker and decision module; members and
//! clients are simulated. Runs are deterministic: the same plan and seed give the same run. The nodes write
//! records into folders as the real program does.
//!
//! A member answers an attempt after 3 to 9 ms, and 15 ms later for each connection that it holds beyond its
//! slots. It answers a probe with its load (connections divided by slots) and its message latency. A client
//! wants a connection from its arrival for an exponentially distributed time, whatever happens meanwhile:
//! after a break, a move or a reject it comes back until that time is over.

mod clients;
pub mod fleet;
mod members;
mod nodes;
mod script;

use hopmoor::broker::{
    ArrivalKind, Broker, ClientRequest, Command, Counters, DriverCommand, FrontEvent, TransactionId,
    site_header,
};
use hopmoor::config::Site as SiteConfig;
use hopmoor::pool::{Member as PoolMember, PoolList};
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

/// Unix time, in milliseconds, at which every run starts.
pub const RUN_START_UNIX_MS: Millis = 1_790_000_000_000.0;
/// Delay until a change of the pool list, or an answer to a request for it, reaches a node.
const LIST_DELAY_MS: Millis = 200.0;
/// Time that a killed member stays on the pool list.
const DEAD_LISTED_MS: Millis = 3_000.0;
/// Time after its start during which a member is cold.
const WARM_UP_MS: Millis = 10_000.0;
/// Time from a client's message until its connection ends because a silent member has not answered.
const UNANSWERED_TIMEOUT_MS: Millis = 4_500.0;
/// Time after which an unanswered probe ends.
const PROBE_TIMEOUT_MS: Millis = 1_000.0;
/// Interval at which a node writes its records. Every tenth write includes the counters.
const RECORD_FLUSH_MS: Millis = 100.0;
/// Time within which a node that shuts down has moved its clients.
const GRACEFUL_SHUTDOWN_MS: Millis = 3_200.0;

/// A simulated event. Acts of the script, members and nodes are given by index, clients by id. An event for a
/// node holds the run that it is meant for, and is dropped in a later one.
#[derive(Clone, Debug)]
enum Event {
    ActBegins(usize),
    ActEnds(usize),
    /// A new client arrives.
    ClientArrives,
    /// A client sends a request, as its first or after a break, a move, a reject or a failure.
    ClientRequests(u64),
    AttemptAnswered {
        node: usize,
        run: u32,
        id: TransactionId,
        flow: u32,
        outcome: Option<Outcome>,
    },
    /// A client no longer wants a connection.
    ClientLeaves(u64),
    /// A message on a connection to a silent member has gone unanswered for too long.
    ConnectionTimesOut {
        client_id: u64,
        request_number: u32,
    },
    ProbeEnds {
        node: usize,
        run: u32,
        member: usize,
        sent: Millis,
    },
    /// A node receives the pool list.
    ListArrives {
        node: usize,
        run: u32,
    },
    /// A killed member leaves the pool list. Holds its index and start count: if it has been started again
    /// since, nothing happens.
    DeadMemberDelisted(usize, u32),
    MemberSilent(usize),
    FlushRecords {
        node: usize,
        run: u32,
    },
    StopNode(usize),
}

#[derive(Debug)]
struct Member {
    name: String,
    slots: u32,
    up: bool,
    draining: bool,
    /// When it was last started; 0 if it has run from the beginning.
    started_at: Millis,
    /// Number of times that it was started, to drop events meant for an earlier process.
    starts: u32,
    silent_until: Millis,
    refuses_until: Millis,
    slow_until: Millis,
    slow_message_ms: Millis,
    /// Connections and accepted attempts that it holds.
    connections: u32,
    listed_phase: Phase,
}

impl Member {
    fn load(&self) -> f64 {
        f64::from(self.connections) / f64::from(self.slots)
    }

    /// Time in which it answers a message: 2 ms, plus 30 ms times the ratio of excess connections to slots;
    /// or a fixed time while it is slow.
    fn message_latency_ms(&self, now: Millis) -> Millis {
        if now < self.slow_until { self.slow_message_ms } else { 2.0 + 30.0 * (self.load() - 1.0).max(0.0) }
    }

    /// Whether it answers messages within `message_aim_ms`.
    fn serves_in_time(&self, now: Millis, message_aim_ms: Millis) -> bool {
        self.up && now >= self.silent_until && self.message_latency_ms(now) <= message_aim_ms
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientState {
    Disconnected,
    /// Its request has no connection yet. `member` holds the current attempt, if a member has accepted it;
    /// `flow` is the number of that attempt.
    Requesting {
        node: usize,
        id: TransactionId,
        member: Option<usize>,
        flow: u32,
    },
    Established {
        node: usize,
        id: TransactionId,
        member: usize,
    },
}

#[derive(Debug)]
struct Client {
    class: usize,
    tenant: usize,
    /// When it stops wanting a connection.
    wants_until: Millis,
    state: ClientState,
    /// Kind of its next request: the first, a retry after a reject or failure, or a return after a break or
    /// move.
    arrival: ArrivalKind,
    /// Number of requests that it has sent, to drop events meant for an earlier connection.
    request_number: u32,
    /// Time up to which its wanted and served seconds are in [`GroundTruth`].
    accounted_until: Millis,
}

struct Node {
    name: String,
    /// Number of times that it was started, to drop events meant for an earlier run.
    run: u32,
    /// `None` while the node is down.
    broker: Option<Broker>,
    writer: Option<Writer>,
    /// Clients by transaction.
    clients: BTreeMap<TransactionId, u64>,
    /// Whether it is shutting down.
    leaving: bool,
    flushes: u32,
    /// Until this time its records are lost, and only their number is recorded.
    records_lost_until: Millis,
    /// Sequence number of the latest pool list.
    list_seq: u64,
}

/// A simulated site.
pub struct Site {
    plan: Plan,
    config: SiteConfig,
    record_folder: Option<PathBuf>,
    rng: ChaCha8Rng,
    now: Millis,
    last_event_id: u64,
    /// Time, in microseconds from the start, and id of each pending event, the earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Pending events by id.
    events: HashMap<u64, Event>,
    members: Vec<Member>,
    nodes: Vec<Node>,
    clients: BTreeMap<u64, Client>,
    last_client: u64,
    /// Factor on the arrival rate of clients; over 1 during a rush.
    arrival_factor: f64,
    /// What has happened so far.
    truth: GroundTruth,
}

/// Runs a plan to its end and returns what really happened. The nodes write records into `folder/NODE` if
/// `folder` is given.
///
/// # Errors
/// If the record folders cannot be created or written to.
pub fn simulate(plan: &Plan, folder: Option<&Path>) -> io::Result<GroundTruth> {
    let mut site = Site::new(plan.clone(), folder)?;
    site.run();
    Ok(site.truth)
}

impl Site {
    /// Starts all nodes and queues the acts of the plan's script.
    ///
    /// # Errors
    /// If the record folders cannot be created or written to.
    pub fn new(plan: Plan, folder: Option<&Path>) -> io::Result<Site> {
        let members = plan.members.iter().map(|member| Member {
            name: member.name.clone(),
            slots: member.slots,
            up: true,
            draining: false,
            started_at: 0.0,
            starts: 0,
            silent_until: 0.0,
            refuses_until: 0.0,
            slow_until: 0.0,
            slow_message_ms: 0.0,
            connections: 0,
            listed_phase: Phase::Serving,
        });
        let mut site = Site {
            config: site_config(&plan),
            record_folder: folder.map(Path::to_owned),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            now: RUN_START_UNIX_MS,
            last_event_id: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            members: members.collect(),
            nodes: Vec::new(),
            clients: BTreeMap::new(),
            last_client: 0,
            arrival_factor: 1.0,
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
                records_lost_until: 0.0,
                list_seq: 1,
            });
        }
        for node in 0..site.nodes.len() {
            site.start_node(node)?;
        }
        for (index, act) in site.plan.script.clone().into_iter().enumerate() {
            site.schedule_event(RUN_START_UNIX_MS + act.at_ms, Event::ActBegins(index));
        }
        site.schedule_event(RUN_START_UNIX_MS, Event::ClientArrives);
        Ok(site)
    }

    /// What really happened so far.
    pub fn truth(&self) -> &GroundTruth {
        &self.truth
    }

    fn schedule_event(&mut self, at: Millis, event: Event) {
        self.last_event_id += 1;
        // The queue needs a total order, which floats lack: whole microseconds from the start.
        let micros = ((at - RUN_START_UNIX_MS).max(0.0) * 1_000.0) as u64;
        self.queue.push(Reverse((micros, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    fn random_between(&mut self, min: f64, max: f64) -> f64 {
        self.rng.random_range(min..max)
    }

    /// Runs the simulation to the end of the plan.
    pub fn run(&mut self) {
        let end = RUN_START_UNIX_MS + self.plan.until_ms;
        loop {
            let next_event_at = self
                .queue
                .peek()
                .map_or(f64::INFINITY, |Reverse((micros, _))| RUN_START_UNIX_MS + *micros as f64 / 1_000.0);
            let brokers = self
                .nodes
                .iter()
                .enumerate()
                .filter_map(|(index, node)| Some((index, node.broker.as_ref()?.next_due()?)));
            let (node, broker_due_at) =
                brokers.min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((0, f64::INFINITY));
            let at = next_event_at.min(broker_due_at);
            if at >= end {
                break;
            }
            self.now = self.now.max(at);
            if broker_due_at < next_event_at {
                self.with_broker(node, |broker, now| broker.tick(now));
            } else if let Some(Reverse((_, event_id))) = self.queue.pop()
                && let Some(event) = self.events.remove(&event_id)
            {
                self.handle_event(event);
            }
        }
        self.now = end;
        let clients: Vec<u64> = self.clients.keys().copied().collect();
        clients.into_iter().for_each(|client_id| self.account(client_id));
        for node in 0..self.nodes.len() {
            if self.nodes[node].broker.is_some() {
                self.stop_node(node);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ActBegins(index) => self.begin_act(index),
            Event::ActEnds(index) => self.end_act(index),
            Event::ClientArrives => self.client_arrives(),
            Event::ClientRequests(client_id) => self.request(client_id),
            Event::ClientLeaves(client_id) => self.client_leaves(client_id),
            Event::AttemptAnswered { node, run, id, flow, outcome } if self.nodes[node].run == run => {
                self.attempt_answered(node, id, flow, outcome);
            }
            Event::ConnectionTimesOut { client_id, request_number } => {
                self.connection_timed_out(client_id, request_number)
            }
            Event::ProbeEnds { node, run, member, sent } if self.nodes[node].run == run => {
                self.probe_ended(node, member, sent);
            }
            Event::ListArrives { node, run } if self.nodes[node].run == run => {
                let list = self.pool_list(node);
                // The broker itself rejects a list that is outdated or empty, so its answer is not needed.
                let _ = self.with_broker(node, |broker, now| broker.listed(now, list, now));
            }
            Event::DeadMemberDelisted(member, starts) => {
                if self.members[member].starts == starts && !self.members[member].up {
                    self.members[member].listed_phase = Phase::Gone;
                    self.publish_list();
                }
            }
            Event::MemberSilent(member) => self.silence_connections(member),
            Event::FlushRecords { node, run }
                if self.nodes[node].run == run && self.nodes[node].broker.is_some() =>
            {
                self.flush(node, false);
                self.schedule_event(self.now + RECORD_FLUSH_MS, Event::FlushRecords { node, run });
            }
            Event::StopNode(node) => self.stop_node(node),
            Event::AttemptAnswered { .. }
            | Event::ProbeEnds { .. }
            | Event::ListArrives { .. }
            | Event::FlushRecords { .. } => {}
        }
    }

    /// Passes a member's answer to an attempt on to the broker. The answer is dropped if the transaction has
    /// ended or its next attempt is under way.
    fn attempt_answered(&mut self, node: usize, id: TransactionId, flow: u32, outcome: Option<Outcome>) {
        let Some(&client_id) = self.nodes[node].clients.get(&id) else { return };
        let Some(ClientState::Requesting { flow: current_flow, member, .. }) =
            self.clients.get(&client_id).map(|client| client.state)
        else {
            return;
        };
        if current_flow != flow {
            return;
        }
        self.on_front_event(node, id, FrontEvent::Connected);
        if outcome != Some(Outcome::Unreachable) {
            self.on_front_event(node, id, FrontEvent::Sent);
        }
        match (outcome, member) {
            (Some(Outcome::Ok), Some(member)) => {
                self.account(client_id);
                if let Some(client) = self.clients.get_mut(&client_id) {
                    client.state = ClientState::Established { node, id, member };
                    let request_number = client.request_number;
                    if self.now < self.members[member].silent_until {
                        self.schedule_event(
                            self.now + UNANSWERED_TIMEOUT_MS,
                            Event::ConnectionTimesOut { client_id, request_number },
                        );
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

    /// Ends a connection to a silent member, as the front does when a message is not answered in time.
    fn connection_timed_out(&mut self, client_id: u64, request_number: u32) {
        let Some(client) =
            self.clients.get(&client_id).filter(|client| client.request_number == request_number)
        else {
            return;
        };
        let ClientState::Established { node, id, member } = client.state else { return };
        if self.now < self.members[member].silent_until {
            self.reconnect_after_break(client_id, 40.0, 160.0);
            self.nodes[node].clients.remove(&id);
            self.on_front_event(node, id, FrontEvent::Ended(Outcome::TimedOut, None));
        }
    }

    /// Schedules the time-outs of the connections to a member that has gone silent. Each sends its next
    /// message, which is not answered, within 2 s.
    fn silence_connections(&mut self, index: usize) {
        let is_at =
            |c: &Client| matches!(c.state, ClientState::Established { member, .. } if member == index);
        let affected: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| is_at(client))
            .map(|(client_id, client)| (*client_id, client.request_number))
            .collect();
        for (client_id, request_number) in affected {
            let next_message_ms = self.random_between(0.0, 2_000.0);
            self.schedule_event(
                self.now + next_message_ms + UNANSWERED_TIMEOUT_MS,
                Event::ConnectionTimesOut { client_id, request_number },
            );
        }
    }

    fn probe_ended(&mut self, node: usize, member: usize, sent: Millis) {
        let target = &self.members[member];
        let silent = sent < target.silent_until;
        let (outcome, report, message) = match (target.up, silent) {
            (false, _) => (Outcome::Unreachable, None, None),
            (true, true) => (Outcome::TimedOut, None, None),
            (true, false) => {
                let report = Report { load_over_capacity: Some(target.load()) };
                (Outcome::Ok, Some(report), Some(target.message_latency_ms(self.now)))
            }
        };
        let name = target.name.clone();
        self.with_broker(node, |broker, now| {
            if let Some(member) = broker.find_member(&name) {
                broker.probed(now, member, outcome, report, message);
            }
        });
    }
}

fn change_subject(name: &str) -> String {
    name.to_owned()
}

/// The configuration of the nodes. Probing is on: probes are cheap at such a site.
fn site_config(plan: &Plan) -> SiteConfig {
    let class = |class: &plan::Class| hopmoor::Class {
        aim_ms: class.aim_ms,
        worth: class.worth,
        message_aim_ms: class.message_aim_ms,
        ..hopmoor::Class::default()
    };
    let slots: f64 = plan.members.iter().map(|member| f64::from(member.slots)).sum();
    let tenant =
        |(_, share): &(String, f64)| Tenant { quota_connections: slots * share, ..Tenant::default() };
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
        warm_up_ms: WARM_UP_MS,
        ..Settings::default()
    };
    SiteConfig {
        settings,
        classes: plan.classes.iter().map(|class| class.name.clone()).collect(),
        tenants: plan.tenants.iter().map(|tenant| tenant.0.clone()).collect(),
        zones: vec!["a".into()],
        keepalive_ms: 5_000.0,
        ..SiteConfig::default()
    }
}
