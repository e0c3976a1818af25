//! The core: transactions, their server-side flows, the pool and every deadline.
//!
//! It knows no wire, no socket and no clock. A front says what a client or a pool member did ([`FrontEvent`]); the
//! broker feeds the decision module the events that the simulator would give and turns the module's actions
//! into [`DriverCommand`]s. Every rule that both fronts must keep is kept here: one final answer per transaction in
//! time, at most one flow out, nothing new to a member that drains or is gone.

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
use counters::{Classes, count_bad};
use delay::Delays;
use hopmoor_record as record;
pub use leaving::Unready;
use leaving::{Ending, Leaving, Spread};
pub use pool::ListError;
use pool::Pool;
use probing::Probing;
use recorder::Recorder;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use timers::Timers;

/// Attempts of one transaction, whatever the settings say.
const MOST_FLOWS: u32 = 6;

/// A list that changes more members than this has one line in the log, and not one for each.
const MEMBER_LINES_MOST: usize = 128;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// No flow is out.
    Held,
    /// A flow is out, with a connection or without.
    Out { connected: bool },
    /// It stands.
    Up,
}

#[derive(Debug)]
struct Transaction {
    name: Option<Box<str>>,
    request: Request,
    stage: Stage,
    flows: u32,
    member: Option<BackendId>,
    member_name: String,
    asked: Millis,
    sent: Millis,
    deadline: Millis,
    /// It stood before the run, and is to be taken up where it stood.
    adoption: Option<Adoption>,
    /// Attempts whose request was written whole.
    attempts: u32,
    /// Flows that do not count as attempts: those to a member that held its connection before, as far as nothing was written.
    uncounted: u32,
    negotiates: bool,
    committed: bool,
    told: bool,
    /// The flow's request is written whole.
    written: bool,
    /// An earlier attempt may have run.
    may_have_run: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Due {
    Module(TimerId),
    Connect(TransactionId, u32),
    Flow(TransactionId, u32),
    Answer(TransactionId),
    Adopt(TransactionId),
    Measure,
    Leave,
    Drain(BackendId, Spread),
    Look,
    /// An attempt that waits for a list that holds has had its time.
    Parked(TransactionId),
}

/// The core of a node.
pub struct Broker {
    balancer: crate::Balancer,
    connect_ms: Millis,
    most_flows: u32,
    next: u64,
    transactions: BTreeMap<TransactionId, Transaction>,
    /// What clients call the transactions that are open.
    names: BTreeSet<Box<str>>,
    pings: Vec<TransactionId>,
    pool: Pool,
    /// Whether the pool as it is known still holds.
    lease: Lease,
    /// When discovery made its last answer, as far as is known; never so far if it is before all times.
    last_answer: Millis,
    /// Attempts that wait for that.
    parked: BTreeMap<TransactionId, BackendId>,
    /// Connections from before the run whose member the list does not name yet.
    awaiting: BTreeSet<TransactionId>,
    delays: Delays,
    probing: Probing,
    timers: Timers<Due>,
    events: VecDeque<Event>,
    handling: bool,
    watching: bool,
    ready: bool,
    leaving: Leaving,
    ending: Ending,
    /// A later process has this node's name.
    superseded: bool,
    /// A step of it is due.
    stepping: bool,
    driver_commands: VecDeque<DriverCommand>,
    counters: Counters,
    classes: Classes,
    recorder: Recorder,
}

impl Broker {
    /// A broker that knows the pool as it was last known.
    pub fn new(now: Millis, site: &Site, seed: u64, known: PoolList) -> Self {
        let settings = site.settings.clone();
        let delays = Delays::new(settings.reports_message_delay, settings.shortest_message_aim());
        let mut broker = Broker {
            connect_ms: settings.connect_timeout_ms,
            most_flows: settings.max_attempts.clamp(1, MOST_FLOWS),
            delays,
            probing: Probing::new(now, &settings, seed),
            balancer: crate::Balancer::new(settings, seed),
            next: 0,
            transactions: BTreeMap::new(),
            names: BTreeSet::new(),
            pings: Vec::new(),
            pool: Pool::default(),
            lease: Lease::unlimited(),
            last_answer: f64::NEG_INFINITY,
            parked: BTreeMap::new(),
            awaiting: BTreeSet::new(),
            timers: Timers::default(),
            events: VecDeque::new(),
            handling: false,
            watching: false,
            ready: false,
            leaving: Leaving::Not,
            ending: Ending::new(site.longest_deadline_ms),
            superseded: false,
            stepping: false,
            driver_commands: VecDeque::new(),
            counters: Counters::default(),
            classes: Classes::new(site.classes.len()),
            recorder: Recorder::default(),
        };
        broker.list(now, known, ListScope::Stale);
        if broker.delays.wanted() && site.settings.probing {
            broker.timers.set(now, Due::Measure);
        }
        broker
    }

    /// The pool comes from discovery: nothing new is sent by a list that may have been overtaken, see `src/freshness.rs`.
    pub fn enable_list_lease(&mut self, stop_sending_ms: Millis) {
        self.lease = Lease::none(stop_sending_ms);
    }

    /// Whether the list at hand holds.
    pub fn list_lease_valid(&self, now: Millis) -> bool {
        self.lease.is_valid(now)
    }

    /// Discovery has answered that there is nothing new, at the time `as_of`: an answer that took long to come is older than its end.
    pub fn list_confirmed(&mut self, now: Millis, as_of: Millis) {
        self.lease.renew(as_of);
        self.last_answer = self.last_answer.max(as_of);
        self.unpark(now);
        self.seek_awaited(now);
    }

    /// An answer of discovery that began at this time can't be read, or stands still.
    pub fn discovery_answer_invalid(&mut self, began: Millis) {
        self.counters.answers_spoilt += 1;
        self.lease.answer_invalid(began);
    }

    /// A call failed and is made again at once.
    pub fn discovery_call_retried(&mut self) {
        self.counters.discovery_failures += 1;
    }

    /// A call to discovery has failed.
    pub fn discovery_call_failed(&mut self, now: Millis, failure: CallFailure) {
        self.lease.discovery_call_failed(now, failure);
        if self.lease.is_valid(now) {
            self.unpark(now);
        }
    }

    /// What it has counted so far.
    pub fn counters(&self) -> Counters {
        let open = self.transactions.values().filter(|t| t.stage == Stage::Up).count() as u64;
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

    /// What it shows of itself now.
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

    /// So many clients without a first line gave way to others.
    pub fn clients_evicted(&mut self, clients: u64) {
        self.counters.bad_crowded_out += clients;
    }

    /// A client was turned away because no descriptor was left, before or after it had asked.
    pub fn no_room(&mut self, asked: Option<ClassId>) {
        self.counters.no_room += 1;
        if let Some(class) = asked {
            self.counters.asks += 1;
            self.classes.of(class).refused += 1;
        }
    }

    /// A number for a new client connection.
    pub fn next_id(&mut self) -> TransactionId {
        self.next += 1;
        self.counters.connections += 1;
        RequestId(self.next)
    }

    /// What the driver is to do next, in order.
    pub fn driver_command(&mut self) -> Option<DriverCommand> {
        self.driver_commands.pop_front()
    }

    /// When [`Broker::tick`] is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.next()
    }

    /// The version of the list that is held.
    pub fn pool_seq(&self) -> u64 {
        self.pool.seq
    }

    /// A member's number.
    pub fn find_member(&self, name: &str) -> Option<BackendId> {
        self.pool.named(name)
    }

    /// Transactions that are not over.
    pub fn transactions(&self) -> usize {
        self.transactions.len()
    }

    /// Nothing waits any more for the first word of discovery.
    pub fn set_ready(&mut self) {
        if !std::mem::replace(&mut self.ready, true) {
            self.driver_commands.push_back(DriverCommand::Opened);
        }
        for id in std::mem::take(&mut self.pings) {
            self.driver_commands.push_back(DriverCommand::Front(id, Command::Ready));
        }
    }

    /// Whether the node would serve a new client now: a list is in use, and it neither drains nor ends.
    pub fn readiness(&self) -> Result<(), Unready> {
        match self.leaving {
            Leaving::Not if self.superseded => Err(Unready::Superseded),
            Leaving::Not if !self.ready => Err(Unready::NoList),
            Leaving::Not if self.pool.members().next().is_none() => Err(Unready::NoMember),
            Leaving::Not => Ok(()),
            Leaving::Drain(_) => Err(Unready::Draining),
            Leaving::End(_) => Err(Unready::Ending),
        }
    }

    /// A later process has this node's name, or no longer: until then no front is to send clients here.
    pub fn set_superseded(&mut self, superseded: bool) {
        self.superseded = superseded;
    }

    // ---- Pool ----

    /// Discovery has answered; what it says was so at the time `as_of`.
    ///
    /// # Errors
    /// If the list is not taken: the one at hand stands.
    pub fn listed(&mut self, now: Millis, list: PoolList, as_of: Millis) -> Result<(), ListError> {
        self.pool.fits(&list)?;
        self.counters.lists += 1;
        self.log(LogLine::List { seq: list.seq, whole: list.whole });
        let scope = if list.whole { ListScope::Whole } else { ListScope::Patch };
        self.list(now, list, scope);
        self.list_confirmed(now, as_of);
        self.set_ready();
        Ok(())
    }

    fn list(&mut self, now: Millis, list: PoolList, scope: ListScope) {
        let (entries, changed) = self.pool.merge(list, scope != ListScope::Patch);
        let many = changed.len() > MEMBER_LINES_MOST;
        if many {
            self.log(LogLine::Members { changed: changed.len(), listed: self.pool.members().count() });
        }
        for (id, name, phase) in changed {
            self.note_member(now, id, &name, phase);
            if !many {
                self.log(LogLine::Member(name, phase));
            }
            self.begin_drain(now, id, phase);
        }
        let pool = &self.pool;
        self.delays.keep(|member| pool.listed(member));
        self.feed(now, Event::Backends { scope, entries });
        self.end_beginnings(now);
    }

    /// The configuration or the inventory was read anew, and taken or not.
    pub fn reloaded(&mut self, now: Millis, taken: bool) {
        self.recorder.note(now, || record::Reloaded { taken }.into());
        let counter = if taken { &mut self.counters.reloads } else { &mut self.counters.reloads_refused };
        *counter += 1;
    }

    /// Discovery is watched elsewhere from now on, whether or not it was watched until now.
    pub fn discovery_replaced(&mut self, now: Millis) {
        self.lease.discovery_changed(now);
        self.pool.refresh();
        self.watching = true;
        self.driver_commands.push_back(DriverCommand::Watch(true));
    }

    /// A call to discovery failed, or the watch broke.
    pub fn discovery_failed(&mut self, now: Millis) {
        self.counters.discovery_failures += 1;
        self.recorder.note(now, || record::Blind {}.into());
        self.watching = false;
        self.feed(now, Event::DiscoveryFailed);
    }

    /// So many nodes share the pool, this one included, as far as its view of the fleet tells.
    pub fn sharing(&mut self, now: Millis, nodes: u32) {
        self.probing.sharing(nodes);
        self.feed(now, Event::NodeCount(nodes));
    }

    // ---- What fronts say ----

    /// Takes what a front says of a transaction.
    pub fn on_front_event(&mut self, now: Millis, id: TransactionId, said: FrontEvent) {
        match said {
            FrontEvent::ClientRequest(ask) => self.asked(now, id, ask),
            FrontEvent::Ping if self.superseded || !self.leaving.takes_clients() => {
                self.driver_commands.push_back(DriverCommand::Front(id, Command::Unready))
            }
            FrontEvent::Ping if self.ready => {
                self.driver_commands.push_back(DriverCommand::Front(id, Command::Ready))
            }
            FrontEvent::Ping => self.pings.push(id),
            FrontEvent::ClientError(bad) => count_bad(&mut self.counters, bad),
            FrontEvent::Connected => {
                if let Some(t) = self.transactions.get_mut(&id)
                    && matches!(t.stage, Stage::Out { .. })
                {
                    t.stage = Stage::Out { connected: true };
                }
            }
            FrontEvent::Sent => {
                if let Some(t) = self.transactions.get_mut(&id)
                    && matches!(t.stage, Stage::Out { .. })
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
            FrontEvent::Up => self.up(now, id),
            FrontEvent::Ended(outcome, report) => self.flow_ended(now, id, outcome, report),
            FrontEvent::MovedByMember => self.sent_away(now, id),
            FrontEvent::Left => self.left(now, id),
            FrontEvent::Message(took_ms) => {
                let up = self.transactions.get(&id).filter(|t| t.stage == Stage::Up);
                let Some(member) = up.and_then(|t| t.member) else { return };
                let told = self.delays.measured(now, member, took_ms);
                self.tell_delay(now, member, told);
            }
            FrontEvent::Load(load) => self.feed(now, Event::LoadChanged { id, load }),
        }
    }

    // ---- The module ----

    /// Feeds the module one event. What its actions bring about at once is fed after it, in order.
    fn feed(&mut self, now: Millis, event: Event) {
        self.events.push_back(event);
        if std::mem::replace(&mut self.handling, true) {
            return;
        }
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
        }
        self.handling = false;
    }

    fn act(&mut self, now: Millis, action: Action) {
        match action {
            Action::Attempt { id, backend, timeout_ms } => self.attempt(now, id, backend, timeout_ms),
            Action::CancelAttempt { id, .. } => {
                if matches!(self.transactions.get(&id), Some(t) if matches!(t.stage, Stage::Out { .. })) {
                    self.driver_commands.push_back(DriverCommand::Front(id, Command::Abandon));
                    self.flow_ended(now, id, Outcome::Cancelled, None);
                }
            }
            Action::Move { id } => {
                if matches!(self.transactions.get(&id), Some(t) if t.stage == Stage::Up) {
                    self.send_away(now, id, record::MoveReason::Relief);
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
            // Flows are never reused and nodes do not talk to each other: nothing to close, nobody to tell.
            Action::CloseIdle { .. } | Action::SendToPeer { .. } => {}
            Action::Log(what) => self.log(LogLine::Module(what)),
            Action::Fault(what) => {
                self.recorder.note(now, || record::Fault { what: what.chars().take(200).collect() }.into());
                self.log(LogLine::Fault(what))
            }
            Action::SetTimer { at, id } => self.timers.set(at, Due::Module(id)),
        }
    }

    fn log(&mut self, line: LogLine) {
        self.driver_commands.push_back(DriverCommand::Log(line));
    }

    // ---- Time ----

    /// Does what has fallen due.
    pub fn tick(&mut self, now: Millis) {
        for due in self.timers.due(now) {
            match due {
                Due::Module(id) => self.feed(now, Event::Timer(id)),
                Due::Connect(id, flow) if self.out(id, flow) == Some(false) => {
                    self.give_up(now, id, Outcome::Unreachable)
                }
                Due::Flow(id, flow) if self.out(id, flow).is_some() => self.flow_due(now, id, flow),
                Due::Connect(..) | Due::Flow(..) => {}
                Due::Answer(id) => self.overdue(now, id),
                Due::Adopt(id) => self.seek_holder(now, id),
                Due::Measure => self.measure(now),
                Due::Leave => self.leave_step(now),
                Due::Look => self.look(now),
                Due::Parked(id) => self.choose_anew(now, id),
                Due::Drain(member, spread) => self.drain_step(now, member, spread),
            }
        }
    }
}

#[cfg(test)]
mod tests;
