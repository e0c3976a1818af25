//! The core of a node: transactions, their server-side flows, the pool and every deadline.
//!
//! The broker does no I/O, parses no protocol and reads no clock. A front reports what a client or a pool
//! member did ([`FrontEvent`]). The broker feeds the decision module the same events as the simulator and
//! turns the module's actions into [`DriverCommand`]s for the driver. It enforces the rules that hold for all
//! fronts: exactly one final answer per transaction and in time, at most one flow at a time, and nothing new
//! to a member that drains or is gone.

mod adoption;
mod counters;
mod delay;
mod flows;
mod leaving;
mod messages;
mod moves;
mod permit;
mod pool;
mod probing;
mod recent_names;
mod recorder;
mod requests;
mod timers;

pub use counters::{ClassCounts, Counters, Stats};
pub use messages::*;
pub use recorder::{RecordBatch, site as site_header};

use crate::api::*;
use crate::config::Site;
use crate::freshness::{CallFailure, Lease};
use crate::pool::PoolList;
use adoption::Adoption;
use counters::{ClassCounters, count_client_error};
use delay::MessageDelays;
use hopmoor_record as record;
pub use leaving::Unready;
use leaving::{Leaving, MoveSchedule, ShutdownTimes};
pub use pool::ListError;
use pool::Pool;
use probing::Probing;
use recent_names::RecentNames;
use recorder::Recorder;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use timers::Timers;

/// Upper bound of attempts per transaction, whatever the settings say.
const MAX_FLOWS: u32 = 6;

/// A list that changes more members than this is logged in one line instead of one line per member.
const MAX_MEMBER_LOG_LINES: usize = 128;

/// Delay of a timer that the decision module sets to a time that is not a number.
const INVALID_TIMER_DELAY_MS: Millis = 100.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// No flow is open.
    Waiting,
    /// A flow is open and waits for its connection or for its answer.
    InFlight { connected: bool },
    /// The member serves the client's connection.
    Established,
}

#[derive(Debug)]
struct Transaction {
    name: Option<Box<str>>,
    request: Request,
    stage: Stage,
    /// Flows opened so far.
    flows: u32,
    member: Option<BackendId>,
    member_name: String,
    asked_at: Millis,
    attempt_started_at: Millis,
    deadline: Millis,
    /// Set for a connection from before the process start, unless its member is gone and it was placed like a
    /// new request.
    adoption: Option<Adoption>,
    /// Attempts whose request was written completely.
    attempts: u32,
    /// Flows that do not count as attempts: flows of an adoption, to the member that held the connection, on
    /// which the request was not written completely.
    uncounted_flows: u32,
    negotiates: bool,
    /// Output of the member has reached the client, so no other member can take over.
    committed: bool,
    /// Whether the decision module knows of the transaction. It learns of a connection from before the
    /// process start only once that is adopted, or placed like a new request.
    known_to_module: bool,
    /// The current flow's request is written completely.
    written: bool,
    /// An earlier attempt may have run at its member.
    may_have_run: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Due {
    Module(TimerId),
    ConnectTimeout(TransactionId, u32),
    FlowTimeout(TransactionId, u32),
    AnswerOverdue(TransactionId),
    RetryAdoption(TransactionId),
    ProbeRound,
    LeaveStep,
    DrainStep(BackendId, MoveSchedule),
    RecordViews,
    /// A parked attempt has waited for its whole timeout.
    ParkedTimeout(TransactionId),
}

/// The core of a node. See the module documentation.
pub struct Broker {
    balancer: crate::Balancer,
    connect_ms: Millis,
    max_flows: u32,
    next: u64,
    transactions: BTreeMap<TransactionId, Transaction>,
    /// Client-chosen names of the open transactions.
    open_names: BTreeSet<Box<str>>,
    /// Names of ended transactions whose requests must not run again.
    recent_names: RecentNames,
    /// Readiness checks that wait until the node is ready.
    readiness_checks: Vec<TransactionId>,
    pool: Pool,
    /// Lease on the current list of members.
    lease: Lease,
    /// Time of the latest answer of discovery; negative infinity before the first.
    last_discovery_answer: Millis,
    /// Attempts that wait for a valid lease, with the member chosen for each.
    parked: BTreeMap<TransactionId, BackendId>,
    /// Adoptions whose member is not listed yet.
    awaiting_list: BTreeSet<TransactionId>,
    delays: MessageDelays,
    probing: Probing,
    timers: Timers<Due>,
    /// Timers that have fallen due and are not handled yet.
    due: VecDeque<Due>,
    events: VecDeque<Event>,
    /// An event is being passed to the decision module; further ones are queued.
    dispatching: bool,
    watching: bool,
    ready: bool,
    leaving: Leaving,
    shutdown_times: ShutdownTimes,
    /// A newer process runs under this node's name.
    superseded: bool,
    /// A part of the node without which clients are not served keeps failing.
    failing: bool,
    /// The next `LeaveStep` timer is set.
    step_scheduled: bool,
    driver_commands: VecDeque<DriverCommand>,
    counters: Counters,
    classes: ClassCounters,
    recorder: Recorder,
}

impl Broker {
    /// Creates a broker that starts with the last known list of members.
    pub fn new(now: Millis, site: &Site, seed: u64, known: PoolList) -> Self {
        let settings = site.settings.clone();
        let delays = MessageDelays::new(settings.reports_message_delay, settings.shortest_message_aim());
        let mut broker = Broker {
            connect_ms: settings.connect_timeout_ms,
            max_flows: settings.max_attempts.clamp(1, MAX_FLOWS),
            delays,
            probing: Probing::new(now, &settings, seed),
            balancer: crate::Balancer::new(settings, seed),
            next: 0,
            transactions: BTreeMap::new(),
            open_names: BTreeSet::new(),
            recent_names: RecentNames::default(),
            readiness_checks: Vec::new(),
            pool: Pool::default(),
            lease: Lease::unlimited(),
            last_discovery_answer: f64::NEG_INFINITY,
            parked: BTreeMap::new(),
            awaiting_list: BTreeSet::new(),
            timers: Timers::default(),
            due: VecDeque::new(),
            events: VecDeque::new(),
            dispatching: false,
            watching: false,
            ready: false,
            leaving: Leaving::No,
            shutdown_times: ShutdownTimes::new(site.longest_deadline_ms),
            superseded: false,
            failing: false,
            step_scheduled: false,
            driver_commands: VecDeque::new(),
            counters: Counters::default(),
            classes: ClassCounters::new(site.classes.len()),
            recorder: Recorder::default(),
        };
        broker.apply_list(now, known, ListScope::Stale);
        if broker.delays.is_enabled() && site.settings.probing {
            broker.timers.set(now, Due::ProbeRound);
        }
        broker
    }

    /// Subjects the list to a lease, for pools that come from discovery: no new request is sent once the list
    /// may be outdated. See `src/freshness.rs`.
    pub fn enable_list_lease(&mut self, stop_sending_ms: Millis) {
        self.lease = Lease::none(stop_sending_ms);
    }

    /// Whether the lease on the current list is valid.
    pub fn list_lease_valid(&self, now: Millis) -> bool {
        self.lease.is_valid(now)
    }

    /// Handles an answer of discovery that nothing changed. `as_of` is the time at which this was so, which
    /// for a slow answer is earlier than its arrival.
    pub fn list_confirmed(&mut self, now: Millis, as_of: Millis) {
        self.lease.renew(as_of);
        self.last_discovery_answer = self.last_discovery_answer.max(as_of);
        self.unpark(now);
        self.retry_awaiting_adoptions(now);
    }

    /// Handles an answer of discovery that began at `began` and can't be parsed, or has stalled.
    pub fn discovery_answer_invalid(&mut self, began: Millis) {
        self.counters.answers_spoilt += 1;
        self.lease.answer_invalid(began);
    }

    /// Counts a failed call to discovery that is retried at once.
    pub fn discovery_call_retried(&mut self) {
        self.counters.discovery_failures += 1;
    }

    /// Updates the lease after a failed call to discovery.
    pub fn discovery_call_failed(&mut self, now: Millis, failure: CallFailure) {
        self.lease.discovery_call_failed(now, failure);
        if self.lease.is_valid(now) {
            self.unpark(now);
        }
    }

    /// Returns the counters and gauges.
    pub fn counters(&self) -> Counters {
        let open = self.transactions.values().filter(|t| t.stage == Stage::Established).count() as u64;
        Counters {
            served: self.classes.sum(|class| class.served),
            rejected: self.classes.sum(|class| class.refused),
            failed: self.classes.sum(|class| class.failed),
            attempts: self.classes.sum(|class| class.attempts),
            open,
            held: self.transactions.len() as u64 - open,
            ..self.counters.clone()
        }
    }

    /// Returns a snapshot of the node's counts and gauges for its metrics.
    pub fn stats(&self, now: Millis) -> Stats {
        let avoided: BTreeSet<_> = self
            .balancer
            .member_views(now)
            .filter(|view| view.avoided_ms > 0.0)
            .map(|view| view.member)
            .collect();
        let excluded = |id: &BackendId| !self.pool.serving(*id) || avoided.contains(id);
        Stats {
            classes: self.classes.all().to_vec(),
            in_flight: self.transactions.len(),
            hosts_known: self.pool.members().count(),
            hosts_excluded: self.pool.members().filter(|(id, _)| excluded(id)).count(),
        }
    }

    /// Counts clients without a first line that were closed to free descriptors for others.
    pub fn clients_evicted(&mut self, clients: u64) {
        self.counters.bad_crowded_out += clients;
    }

    /// Counts a client that was turned away because no descriptor was left. `asked` is the class of its
    /// request, if it had sent one.
    pub fn descriptors_exhausted(&mut self, asked: Option<ClassId>) {
        self.counters.no_room += 1;
        if let Some(class) = asked {
            self.counters.asks += 1;
            self.classes.of(class).refused += 1;
        }
    }

    /// Allocates the number of a new client connection.
    pub fn next_id(&mut self) -> TransactionId {
        self.next += 1;
        self.counters.connections += 1;
        RequestId(self.next)
    }

    /// Takes the next command for the driver, first in, first out.
    pub fn driver_command(&mut self) -> Option<DriverCommand> {
        self.driver_commands.pop_front()
    }

    /// Time at which [`Broker::tick`] is due.
    pub fn next_due(&self) -> Option<Millis> {
        if self.due.is_empty() { self.timers.next() } else { Some(Millis::NEG_INFINITY) }
    }

    /// Version of the current list.
    pub fn pool_seq(&self) -> u64 {
        self.pool.seq
    }

    /// Returns the number of a listed member.
    pub fn find_member(&self, name: &str) -> Option<BackendId> {
        self.pool.find(name)
    }

    /// Number of open transactions.
    pub fn transactions(&self) -> usize {
        self.transactions.len()
    }

    /// Marks the node ready and answers the readiness checks that wait for it. Called once discovery has
    /// answered, is not configured or has been waited for long enough.
    pub fn set_ready(&mut self) {
        if !std::mem::replace(&mut self.ready, true) {
            self.driver_commands.push_back(DriverCommand::Opened);
        }
        for id in std::mem::take(&mut self.readiness_checks) {
            self.driver_commands.push_back(DriverCommand::Front(id, Command::Ready));
        }
    }

    /// Whether the node would serve a new client now: a list is in use, and the node neither drains nor shuts
    /// down.
    pub fn readiness(&self) -> Result<(), Unready> {
        match self.leaving {
            Leaving::No if self.failing => Err(Unready::Failing),
            Leaving::No if self.superseded => Err(Unready::Superseded),
            Leaving::No if !self.ready => Err(Unready::NoList),
            Leaving::No if self.pool.members().next().is_none() => Err(Unready::NoMember),
            Leaving::No => Ok(()),
            Leaving::Drain(_) => Err(Unready::Draining),
            Leaving::End { .. } => Err(Unready::Ending),
        }
    }

    /// Sets whether a newer process runs under this node's name. While one does, no front may send clients
    /// here.
    pub fn set_superseded(&mut self, superseded: bool) {
        self.superseded = superseded;
    }

    /// Sets whether a part of the node without which clients are not served keeps failing. While one does,
    /// no front may send clients here.
    pub fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }

    /// Counts a panic of a part of the node; `failing` as for [`Broker::set_failing`].
    pub fn part_panicked(&mut self, failing: bool) {
        self.counters.panics += 1;
        self.failing = failing;
    }

    /// Counts a panic of a client's session and ends its transaction: the client is cut off.
    pub fn session_panicked(&mut self, now: Millis, id: TransactionId) {
        self.counters.panics += 1;
        self.on_client_left(now, id);
    }

    /// Makes the broker fit for the next call after one has panicked. Events and timers that it had not
    /// handled yet are handled then.
    pub fn recover_from_panic(&mut self) {
        self.dispatching = false;
    }

    // ---- Pool ----

    /// Applies a list or patch from discovery that was current at `as_of`.
    ///
    /// # Errors
    /// If the list is rejected; the current one stays in use.
    pub fn listed(&mut self, now: Millis, list: PoolList, as_of: Millis) -> Result<(), ListError> {
        self.pool.check(&list)?;
        self.counters.lists += 1;
        self.log(LogLine::List { seq: list.seq, whole: list.whole });
        let scope = if list.whole { ListScope::Whole } else { ListScope::Patch };
        self.apply_list(now, list, scope);
        self.list_confirmed(now, as_of);
        self.set_ready();
        Ok(())
    }

    fn apply_list(&mut self, now: Millis, list: PoolList, scope: ListScope) {
        let (entries, changed) = self.pool.merge(list, scope != ListScope::Patch);
        let many = changed.len() > MAX_MEMBER_LOG_LINES;
        if many {
            self.log(LogLine::Members { changed: changed.len(), listed: self.pool.members().count() });
        }
        for (id, name, phase) in changed {
            self.record_member(now, id, &name, phase);
            if !many {
                self.log(LogLine::Member(name, phase));
            }
            self.begin_drain(now, id, phase);
        }
        let pool = &self.pool;
        self.delays.keep(|member| pool.listed(member));
        self.feed(now, Event::Backends { scope, entries });
        self.abort_attempts_at_leaving_members(now);
    }

    /// Counts and records a reload of the configuration or the inventory, accepted or rejected.
    pub fn reloaded(&mut self, now: Millis, taken: bool) {
        self.recorder.append(now, || record::Reloaded { taken }.into());
        let counter = if taken { &mut self.counters.reloads } else { &mut self.counters.reloads_refused };
        *counter += 1;
    }

    /// Watches another discovery service from now on, also if none was watched so far.
    pub fn discovery_replaced(&mut self, now: Millis) {
        self.lease.discovery_changed(now);
        self.pool.reset_numbering();
        self.watching = true;
        self.driver_commands.push_back(DriverCommand::Watch(true));
    }

    /// Handles a failed call to discovery, or a broken watch.
    pub fn discovery_failed(&mut self, now: Millis) {
        self.counters.discovery_failures += 1;
        self.recorder.append(now, || record::Blind {}.into());
        self.watching = false;
        self.feed(now, Event::DiscoveryFailed);
    }

    /// Sets the number of nodes that share the pool, this one included, as its view of the fleet shows.
    pub fn set_node_count(&mut self, now: Millis, nodes: u32) {
        self.probing.set_node_count(nodes);
        self.feed(now, Event::NodeCount(nodes));
    }

    // ---- Input from fronts ----

    /// Handles what a front reports of a transaction.
    pub fn on_front_event(&mut self, now: Millis, id: TransactionId, front_event: FrontEvent) {
        match front_event {
            FrontEvent::ClientRequest(client_request) => self.on_client_request(now, id, client_request),
            FrontEvent::Ping if self.superseded || self.failing || !self.leaving.takes_clients() => {
                self.driver_commands.push_back(DriverCommand::Front(id, Command::Unready))
            }
            FrontEvent::Ping if self.ready => {
                self.driver_commands.push_back(DriverCommand::Front(id, Command::Ready))
            }
            FrontEvent::Ping => self.readiness_checks.push(id),
            FrontEvent::ClientError(error) => count_client_error(&mut self.counters, error),
            FrontEvent::Connected => {
                if let Some(t) = self.transactions.get_mut(&id)
                    && matches!(t.stage, Stage::InFlight { .. })
                {
                    t.stage = Stage::InFlight { connected: true };
                }
            }
            FrontEvent::Sent => {
                if let Some(t) = self.transactions.get_mut(&id)
                    && matches!(t.stage, Stage::InFlight { .. })
                    && !std::mem::replace(&mut t.written, true)
                {
                    t.attempts += 1;
                    self.classes.of(t.request.class).attempts += 1;
                }
            }
            FrontEvent::Committed => {
                if let Some(t) = self.transactions.get_mut(&id) {
                    t.committed = true;
                }
            }
            FrontEvent::Up => self.on_established(now, id),
            FrontEvent::Ended(outcome, report) => self.flow_ended(now, id, outcome, report),
            FrontEvent::MovedByMember => self.on_moved_by_member(now, id),
            FrontEvent::Left => self.on_client_left(now, id),
            FrontEvent::Message(took_ms) => {
                let established = self.transactions.get(&id).filter(|t| t.stage == Stage::Established);
                let Some(member) = established.and_then(|t| t.member) else { return };
                let delay_ms = self.delays.measured(now, member, took_ms);
                self.notify_delay(now, member, delay_ms);
            }
            FrontEvent::Load(load) => self.feed(now, Event::LoadChanged { id, load }),
        }
    }

    // ---- Decision module ----

    /// Passes an event to the decision module and executes its actions. Events that the actions cause are
    /// queued and passed on in order.
    fn feed(&mut self, now: Millis, event: Event) {
        self.events.push_back(event);
        if std::mem::replace(&mut self.dispatching, true) {
            return;
        }
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(now, action);
            }
        }
        self.dispatching = false;
    }

    fn execute(&mut self, now: Millis, action: Action) {
        match action {
            Action::Attempt { id, backend, timeout_ms } => self.attempt(now, id, backend, timeout_ms),
            Action::CancelAttempt { id, .. } => {
                if matches!(self.transactions.get(&id), Some(t) if matches!(t.stage, Stage::InFlight { .. }))
                {
                    self.driver_commands.push_back(DriverCommand::Front(id, Command::Abandon));
                    self.flow_ended(now, id, Outcome::Cancelled, None);
                }
            }
            Action::Move { id } => {
                if matches!(self.transactions.get(&id), Some(t) if t.stage == Stage::Established) {
                    self.move_client(now, id, record::MoveReason::Relief);
                }
            }
            Action::Refuse { id, retry_after_ms } => self.answer(now, id, Command::Reject(retry_after_ms)),
            Action::Fail { id } => self.answer(now, id, Command::Fail(Failure::GivenUp)),
            Action::Probe { backend } => self.probe_for_module(backend),
            Action::Subscribe { on } => {
                if on != std::mem::replace(&mut self.watching, on) {
                    self.driver_commands.push_back(DriverCommand::Watch(on));
                }
            }
            Action::FetchList => self.driver_commands.push_back(DriverCommand::Fetch),
            // Flows are never reused and nodes do not talk to each other here: no idle flow to close, no peer
            // to tell.
            Action::CloseIdle { .. } | Action::SendToPeer { .. } => {}
            Action::Log(what) => self.log(LogLine::Module(what)),
            Action::Fault(what) => self.module_fault(now, what),
            Action::SetTimer { at, id } if at.is_nan() => {
                self.module_fault(now, format!("timer {} set to a time that is not a number", id.0));
                self.timers.set(now + INVALID_TIMER_DELAY_MS, Due::Module(id));
            }
            Action::SetTimer { at, id } => self.timers.set(at, Due::Module(id)),
        }
    }

    /// Counts, records and logs a defect of the decision module.
    fn module_fault(&mut self, now: Millis, what: String) {
        self.counters.module_faults += 1;
        self.recorder.append(now, || record::Fault { what: what.chars().take(200).collect() }.into());
        self.log(LogLine::Fault(what));
    }

    fn log(&mut self, line: LogLine) {
        self.driver_commands.push_back(DriverCommand::Log(line));
    }

    // ---- Timers ----

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Millis) {
        self.due.extend(self.timers.pop_due(now));
        while let Some(due) = self.due.pop_front() {
            match due {
                Due::Module(id) => self.feed(now, Event::Timer(id)),
                Due::ConnectTimeout(id, flow) if self.attempt_connected(id, flow) == Some(false) => {
                    self.abort_flow(now, id, Outcome::Unreachable)
                }
                Due::FlowTimeout(id, flow) if self.attempt_connected(id, flow).is_some() => {
                    self.on_flow_timeout(now, id, flow)
                }
                Due::ConnectTimeout(..) | Due::FlowTimeout(..) => {}
                Due::AnswerOverdue(id) => self.answer_overdue(now, id),
                Due::RetryAdoption(id) => self.open_at_holder(now, id),
                Due::ProbeRound => self.probe_round(now),
                Due::LeaveStep => self.leave_step(now),
                Due::RecordViews => self.record_views(now),
                Due::ParkedTimeout(id) => self.reselect_member(now, id),
                Due::DrainStep(member, schedule) => self.drain_step(now, member, schedule),
            }
        }
    }
}

#[cfg(test)]
mod tests;
