//! The core: transactions, their server-side flows, the pool and every deadline.
//!
//! It knows no wire, no socket and no clock. A front says what a client or a pool member did ([`Said`]); the
//! broker feeds the decision module the events that the simulator would give and turns the module's actions
//! into [`Order`]s. Every rule that both fronts must keep is kept here: one final answer per transaction in
//! time, at most one flow out, nothing new to a member that drains or is gone.

mod counters;
mod delay;
mod moves;
mod pool;
mod timers;
mod words;

pub use counters::Counters;
pub use words::*;

use crate::api::*;
use crate::config::Site;
use crate::pool::PoolList;
use counters::{count_bad, count_outcome};
use delay::Delays;
use moves::Spread;
use pool::Pool;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use timers::Timers;

/// Pause before an adopted connection that its member did not take is tried there again.
const ADOPT_PAUSE_MS: Millis = 500.0;
/// Attempts of one transaction, whatever the settings say.
const MOST_FLOWS: u32 = 6;
/// How often members that hold connections are asked how long a message takes there.
const MEASURE_MS: Millis = 1_000.0;

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
    adopted: bool,
    negotiates: bool,
    committed: bool,
    told: bool,
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
    delays: Delays,
    /// Members with a probe out, and whether the module waits for it.
    probes: BTreeMap<BackendId, bool>,
    timers: Timers<Due>,
    events: VecDeque<Event>,
    handling: bool,
    watching: bool,
    ready: bool,
    leaving: Option<Spread>,
    orders: VecDeque<Order>,
    counters: Counters,
}

impl Broker {
    /// A broker that knows the pool as it was last known.
    pub fn new(now: Millis, site: &Site, seed: u64, known: PoolList) -> Self {
        let settings = site.settings.clone();
        let delays = Delays::new(settings.tells_delay, settings.shortest_message_aim());
        let mut broker = Broker {
            connect_ms: settings.connect_timeout_ms,
            most_flows: settings.most_tries.clamp(1, MOST_FLOWS),
            delays,
            probes: BTreeMap::new(),
            balancer: crate::Balancer::new(settings, seed),
            next: 0,
            transactions: BTreeMap::new(),
            names: BTreeSet::new(),
            pings: Vec::new(),
            pool: Pool::default(),
            timers: Timers::default(),
            events: VecDeque::new(),
            handling: false,
            watching: false,
            ready: false,
            leaving: None,
            orders: VecDeque::new(),
            counters: Counters::default(),
        };
        broker.list(now, known, ListScope::Stale);
        if broker.delays.wanted() {
            broker.timers.set(now + MEASURE_MS, Due::Measure);
        }
        broker
    }

    /// What it has counted so far.
    pub fn counters(&self) -> Counters {
        let up = self.transactions.values().filter(|t| t.stage == Stage::Up).count() as u64;
        Counters { open: up, held: self.transactions.len() as u64 - up, ..self.counters.clone() }
    }

    /// So many clients without a first line gave way to others.
    pub fn crowded_out(&mut self, clients: u64) {
        self.counters.bad_crowded_out += clients;
    }

    /// A client was turned away because no descriptor was left.
    pub fn no_room(&mut self) {
        self.counters.no_room += 1;
    }

    /// A number for a new client connection.
    pub fn next_id(&mut self) -> TransactionId {
        self.next += 1;
        self.counters.connections += 1;
        RequestId(self.next)
    }

    /// What the driver is to do next, in order.
    pub fn order(&mut self) -> Option<Order> {
        self.orders.pop_front()
    }

    /// When [`Broker::tick`] is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.next()
    }

    /// The version of the list that is held.
    pub fn pool_seq(&self) -> u64 {
        self.pool.seq
    }

    /// Transactions that are not over.
    pub fn transactions(&self) -> usize {
        self.transactions.len()
    }

    /// Nothing waits any more for the first word of discovery.
    pub fn set_ready(&mut self) {
        self.ready = true;
        for id in std::mem::take(&mut self.pings) {
            self.orders.push_back(Order::Front(id, Command::Ready));
        }
    }

    // ---- Pool ----

    /// Discovery has answered.
    pub fn listed(&mut self, now: Millis, list: PoolList) {
        self.counters.lists += 1;
        let scope = if list.whole { ListScope::Whole } else { ListScope::Patch };
        self.list(now, list, scope);
        self.set_ready();
    }

    fn list(&mut self, now: Millis, list: PoolList, scope: ListScope) {
        let (entries, changed) = self.pool.merge(list, scope != ListScope::Patch);
        for (id, name, phase) in changed {
            self.log(LogLine::Member(name, phase));
            self.begin_drain(now, id, phase);
        }
        let pool = &self.pool;
        self.delays.keep(|member| pool.listed(member));
        self.feed(now, Event::Backends { scope, entries });
        self.end_negotiations(now);
    }

    /// The configuration or the inventory was read anew, and taken or not.
    pub fn reloaded(&mut self, taken: bool) {
        let counter = if taken { &mut self.counters.reloads } else { &mut self.counters.reloads_refused };
        *counter += 1;
    }

    /// Discovery is watched elsewhere from now on, whether or not it was watched until now.
    pub fn rewatch(&mut self) {
        self.watching = true;
        self.orders.push_back(Order::Watch(true));
    }

    /// A call to discovery failed, or the watch broke.
    pub fn discovery_failed(&mut self, now: Millis) {
        self.counters.discovery_failures += 1;
        self.watching = false;
        self.feed(now, Event::DiscoveryFailed);
    }

    /// A stream that is being negotiated with a member that may take nothing new any more ends there: each
    /// further step of the negotiation would be new work.
    fn end_negotiations(&mut self, now: Millis) {
        let doomed = |t: &&mut Transaction| {
            let serving = t.member.is_some_and(|member| self.pool.serving(member));
            t.negotiates && matches!(t.stage, Stage::Out { .. }) && !serving
        };
        let ids: Vec<_> =
            self.transactions.values_mut().filter(doomed).map(|t| (t.request.id, t.committed)).collect();
        for (id, committed) in ids {
            if committed {
                self.send_away(now, id);
            } else {
                self.orders.push_back(Order::Front(id, Command::Abandon));
                self.flow_ended(now, id, Outcome::Cancelled, None);
            }
        }
    }

    /// A probe has ended. `message_ms` is how long a message takes there, as the member reports it.
    pub fn probed(
        &mut self,
        now: Millis,
        member: BackendId,
        outcome: Outcome,
        report: Option<Report>,
        message_ms: Option<Millis>,
    ) {
        self.counters.probes_answered += u64::from(outcome == Outcome::Ok);
        let load = report.and_then(|report| report.load_over_capacity);
        self.log(LogLine::Probed(self.pool.name(member), outcome, load, message_ms));
        // The module hears of the probes that it asked for, as in the simulator, and of what the others report: a
        // report not passed on leaves it with an older one.
        if self.probes.remove(&member) == Some(true) || outcome == Outcome::Ok {
            self.feed(now, Event::ProbeEnded { backend: member, outcome, report });
        }
        if let Some(message_ms) = message_ms {
            let told = self.delays.reported(now, member, message_ms);
            self.tell_delay(now, member, told);
        }
    }

    fn tell_delay(&mut self, now: Millis, member: BackendId, told: Option<Millis>) {
        let Some(took_ms) = told else { return };
        self.log(LogLine::Slow(self.pool.name(member), took_ms));
        self.feed(now, Event::MessageDelay { backend: member, took_ms });
    }

    // ---- What fronts say ----

    /// Takes what a front says of a transaction.
    pub fn hear(&mut self, now: Millis, id: TransactionId, said: Said) {
        match said {
            Said::Ask(ask) => self.asked(now, id, ask),
            Said::Ping if self.ready => self.orders.push_back(Order::Front(id, Command::Ready)),
            Said::Ping => self.pings.push(id),
            Said::Bad(bad) => count_bad(&mut self.counters, bad),
            Said::Connected => {
                if let Some(t) = self.transactions.get_mut(&id)
                    && matches!(t.stage, Stage::Out { .. })
                {
                    t.stage = Stage::Out { connected: true };
                }
            }
            Said::Committed => {
                if let Some(t) = self.transactions.get_mut(&id) {
                    t.committed = true;
                }
            }
            Said::Up => self.up(now, id),
            Said::Ended(outcome, report) => self.flow_ended(now, id, outcome, report),
            Said::Left => self.left(now, id),
            Said::Message(took_ms) => {
                let up = self.transactions.get(&id).filter(|t| t.stage == Stage::Up);
                let Some(member) = up.and_then(|t| t.member) else { return };
                let told = self.delays.measured(now, member, took_ms);
                self.tell_delay(now, member, told);
            }
            Said::Load(load) => self.feed(now, Event::LoadChanged { id, load }),
        }
    }

    fn asked(&mut self, now: Millis, id: TransactionId, ask: Ask) {
        if self.transactions.contains_key(&id) {
            return;
        }
        // Guards against a client that takes the name of another's open transaction: members turn it away, one
        // after the other, and each refusal would count against them.
        if let Some(name) = &ask.name
            && !self.names.insert(name.clone())
        {
            self.counters.bad_duplicate += 1;
            self.log(LogLine::Duplicate(id, name.clone()));
            return self.orders.push_back(Order::Front(id, Command::Fail(Failure::Duplicate)));
        }
        self.counters.asks += 1;
        let grace_ms = if ask.grace_ms.is_finite() { ask.grace_ms.max(0.0) } else { 0.0 };
        let request = Request {
            id,
            tenant: ask.tenant,
            class: ask.class,
            group: ask.group,
            key: ask.key,
            grace_ms,
            load_hint: ask.load_hint,
            mid_flow: false,
        };
        let deadline = now + grace_ms;
        let holder = ask.adopted.as_deref().and_then(|name| self.pool.named(name));
        let holder = holder.filter(|member| self.pool.serving(*member));
        self.transactions.insert(
            id,
            Transaction {
                name: ask.name,
                request,
                stage: Stage::Held,
                flows: 0,
                member: holder,
                member_name: String::new(),
                asked: now,
                sent: now,
                deadline,
                adopted: holder.is_some(),
                negotiates: ask.negotiates,
                committed: false,
                told: holder.is_none(),
            },
        );
        self.timers.set(deadline, Due::Answer(id));
        match holder {
            Some(member) => self.open(now, id, member, grace_ms),
            // A holder that has gone since can't be asked: the connection is placed like a new one.
            None => self.feed(now, Event::Request(request)),
        }
    }

    fn up(&mut self, now: Millis, id: TransactionId) {
        let Some(t) = self.transactions.get_mut(&id).filter(|t| matches!(t.stage, Stage::Out { .. })) else {
            return;
        };
        t.stage = Stage::Up;
        self.counters.served += 1;
        let (request, took_ms) = (t.request, now - t.sent);
        if let (true, Some(backend)) = (t.adopted, t.member) {
            t.told = true;
            self.counters.adopted += 1;
            self.feed(now, Event::Adopted { request, backend });
        } else {
            self.feed(now, Event::Established { id, took_ms });
        }
    }

    fn flow_ended(&mut self, now: Millis, id: TransactionId, outcome: Outcome, report: Option<Report>) {
        let Some(t) = self.transactions.get_mut(&id).filter(|t| t.stage != Stage::Held) else { return };
        let Some(member) = t.member else { return };
        let stood = t.stage == Stage::Up;
        let attempt = t.flows.saturating_sub(1);
        count_outcome(&mut self.counters, outcome, stood);
        if outcome != Outcome::Ok && outcome != Outcome::Cancelled {
            let (member, took_ms) = (t.member_name.clone(), now - t.sent);
            let line = LogLine::Flow { id, member, outcome, took_ms, stood };
            self.orders.push_back(Order::Log(line));
        }
        t.stage = Stage::Held;
        if t.adopted && !t.told {
            // The module has not heard of it: an adopted connection goes to its member or nowhere.
            if t.flows < self.most_flows && now + ADOPT_PAUSE_MS < t.deadline {
                self.timers.set(now + ADOPT_PAUSE_MS, Due::Adopt(id));
            } else {
                self.answer(now, id, Command::Fail(Failure::NotAdopted));
            }
            return;
        }
        // What the member sent has reached the client, so that no other member can take over.
        let closed = stood || outcome == Outcome::Ok || t.committed;
        if closed {
            if t.committed && !stood && outcome != Outcome::Ok {
                self.answer(now, id, Command::Fail(Failure::Broken));
            }
            self.forget(id);
        }
        self.feed(now, Event::Ended { id, attempt, backend: member, outcome, closed, report });
    }

    fn left(&mut self, now: Millis, id: TransactionId) {
        self.pings.retain(|ping| *ping != id);
        let Some(t) = self.transactions.get(&id) else { return };
        self.counters.left += 1;
        let told = t.told;
        if t.stage == Stage::Up {
            return self.flow_ended(now, id, Outcome::Cancelled, None);
        }
        if told {
            self.feed(now, Event::Departed { id });
        }
        // The module may have called the flow off already.
        let Some(stage) = self.transactions.get(&id).map(|t| t.stage) else { return };
        if stage != Stage::Held {
            self.orders.push_back(Order::Front(id, Command::Abandon));
        }
        let Some(t) = self.forget(id) else { return };
        if let (true, Stage::Out { .. }, Some(backend)) = (told, stage, t.member) {
            let attempt = t.flows.saturating_sub(1);
            let outcome = Outcome::Cancelled;
            self.feed(now, Event::Ended { id, attempt, backend, outcome, closed: true, report: None });
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
                    self.orders.push_back(Order::Front(id, Command::Abandon));
                    self.flow_ended(now, id, Outcome::Cancelled, None);
                }
            }
            Action::Move { id } => {
                if matches!(self.transactions.get(&id), Some(t) if t.stage == Stage::Up) {
                    self.send_away(now, id);
                }
            }
            Action::Refuse { id, retry_after_ms } => self.answer(now, id, Command::Reject(retry_after_ms)),
            Action::Fail { id } => self.answer(now, id, Command::Fail(Failure::GivenUp)),
            Action::Probe { backend } if self.probe(backend) => {
                self.probes.insert(backend, true);
            }
            Action::Probe { backend } => {
                self.events.push_back(Event::ProbeEnded { backend, outcome: Outcome::NotSent, report: None })
            }
            Action::Subscribe { on } => {
                if on != std::mem::replace(&mut self.watching, on) {
                    self.orders.push_back(Order::Watch(on));
                }
            }
            Action::FetchList => self.orders.push_back(Order::Fetch),
            // Flows are never reused and nodes do not talk to each other: nothing to close, nobody to tell.
            Action::CloseIdle { .. } | Action::Tell { .. } => {}
            Action::Log(what) => self.log(LogLine::Module(what)),
            Action::Fault(what) => self.log(LogLine::Fault(what)),
            Action::SetTimer { at, id } => self.timers.set(at, Due::Module(id)),
        }
    }

    /// Sends a probe unless one is out; says whether one is out now.
    fn probe(&mut self, member: BackendId) -> bool {
        if self.probes.contains_key(&member) {
            return true;
        }
        let Some(dial) = self.pool.dial(member) else { return false };
        self.counters.probes += 1;
        self.probes.insert(member, false);
        self.orders.push_back(Order::Probe { member, dial });
        true
    }

    /// No note on message delay comes over sockets. Where this node holds connections it asks for itself, so
    /// that the module is told as often as the simulator would tell it.
    fn measure(&mut self, now: Millis) {
        let holders: BTreeSet<_> =
            self.transactions.values().filter(|t| t.stage == Stage::Up).filter_map(|t| t.member).collect();
        for member in holders {
            // One that drains is asked nothing more.
            if self.pool.serving(member) && self.delays.asks(now, member) {
                self.probe(member);
            }
        }
        self.timers.set(now + MEASURE_MS, Due::Measure);
    }

    fn attempt(&mut self, now: Millis, id: TransactionId, member: BackendId, timeout_ms: Millis) {
        let Some(t) = self.transactions.get(&id).filter(|t| t.stage == Stage::Held) else { return };
        if t.flows >= self.most_flows || timeout_ms <= 0.0 || !self.pool.serving(member) {
            let name = self.pool.name(member);
            let (attempt, outcome) = (t.flows, Outcome::NotSent);
            self.log(LogLine::Withheld(id, name));
            let ended = Event::Ended { id, attempt, backend: member, outcome, closed: false, report: None };
            return self.events.push_back(ended);
        }
        let left = t.deadline - now;
        self.open(now, id, member, timeout_ms.min(left));
    }

    fn open(&mut self, now: Millis, id: TransactionId, member: BackendId, wait_ms: Millis) {
        let Some(dial) = self.pool.dial(member) else { return };
        let name = self.pool.name(member);
        let Some(t) = self.transactions.get_mut(&id) else { return };
        t.stage = Stage::Out { connected: false };
        t.flows += 1;
        t.sent = now;
        t.member = Some(member);
        t.member_name.clone_from(&name);
        self.counters.flows += 1;
        self.timers.set(now + self.connect_ms, Due::Connect(id, t.flows));
        self.timers.set(now + wait_ms, Due::Flow(id, t.flows));
        self.orders.push_back(Order::Front(id, Command::Open { dial, member: name, wait_ms }));
    }

    fn log(&mut self, line: LogLine) {
        self.orders.push_back(Order::Log(line));
    }

    /// Lets go of a transaction and of its name.
    fn forget(&mut self, id: TransactionId) -> Option<Transaction> {
        let t = self.transactions.remove(&id)?;
        if let Some(name) = &t.name {
            self.names.remove(name);
        }
        Some(t)
    }

    /// Gives the final answer and forgets the transaction.
    fn answer(&mut self, now: Millis, id: TransactionId, command: Command) {
        if let Some(t) = self.forget(id) {
            let Request { class, tenant, .. } = t.request;
            let (answer, flows, waited_ms) = (command.clone(), t.flows, now - t.asked);
            self.log(LogLine::Unserved { id, class, tenant, answer, flows, waited_ms });
            match command {
                Command::Reject(_) => self.counters.rejected += 1,
                _ => self.counters.failed += 1,
            }
            self.orders.push_back(Order::Front(id, command));
        }
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
                Due::Adopt(id) => {
                    let held = self.transactions.get(&id).filter(|t| t.stage == Stage::Held);
                    let Some((member, left)) = held.and_then(|t| Some((t.member?, t.deadline - now))) else {
                        continue;
                    };
                    if self.pool.serving(member) {
                        self.open(now, id, member, left);
                    } else {
                        self.answer(now, id, Command::Fail(Failure::NotAdopted));
                    }
                }
                Due::Measure => self.measure(now),
                Due::Leave => self.leave_step(now),
                Due::Drain(member, spread) => self.drain_step(now, member, spread),
            }
        }
    }

    /// Whether this flow of the transaction is out, and if so whether it has a connection.
    fn out(&self, id: TransactionId, flow: u32) -> Option<bool> {
        match self.transactions.get(&id) {
            Some(Transaction { stage: Stage::Out { connected }, flows, .. }) if *flows == flow => {
                Some(*connected)
            }
            _ => None,
        }
    }

    /// A flow has had its time. Once the client has heard from its member no other can take over: what is left of
    /// the client's time is theirs. Guards against streams cut off while their client negotiates.
    fn flow_due(&mut self, now: Millis, id: TransactionId, flow: u32) {
        match self.transactions.get(&id) {
            Some(t) if t.committed && now < t.deadline => self.timers.set(t.deadline, Due::Flow(id, flow)),
            _ => self.give_up(now, id, Outcome::TimedOut),
        }
    }

    fn give_up(&mut self, now: Millis, id: TransactionId, outcome: Outcome) {
        self.orders.push_back(Order::Front(id, Command::Abandon));
        self.flow_ended(now, id, outcome, None);
    }

    /// Guards the first rule against a module that lets a deadline pass: the client gets its answer.
    fn overdue(&mut self, now: Millis, id: TransactionId) {
        let Some(t) = self.transactions.get(&id).filter(|t| t.stage != Stage::Up) else { return };
        let (out, told) = (t.stage != Stage::Held, t.told);
        let ended = Event::Ended {
            id,
            attempt: t.flows.saturating_sub(1),
            backend: t.member.unwrap_or_default(),
            outcome: Outcome::TimedOut,
            closed: true,
            report: None,
        };
        self.log(LogLine::Overdue(id));
        if out {
            self.orders.push_back(Order::Front(id, Command::Abandon));
        }
        self.answer(now, id, Command::Fail(Failure::Deadline));
        if told {
            self.feed(now, Event::Departed { id });
            if out {
                self.feed(now, ended);
            }
        }
    }
}

#[cfg(test)]
mod tests;
