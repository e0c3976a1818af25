//! Server-side flows: one out at most, six in all, none to a member that drains or is gone.

use super::counters::count_outcome;
use super::permit::{Denied, Permit, may_have_run};
use super::*;

impl Broker {
    pub(super) fn attempt(&mut self, now: Millis, id: TransactionId, member: BackendId, timeout_ms: Millis) {
        match self.permit(now, id, member, timeout_ms) {
            Ok(permit) => self.open(now, permit, self.connect_ms),
            Err(Denied::NotWaiting) => self.counters.permits_denied += 1,
            Err(Denied::List) => self.park(now, id, member, timeout_ms),
            Err(_) => self.withhold(now, id, member),
        }
    }

    /// The module asked for what may not be: it hears that nothing was sent.
    fn withhold(&mut self, now: Millis, id: TransactionId, member: BackendId) {
        let Some(t) = self.transactions.get(&id) else { return };
        let name = self.pool.name(member);
        let (attempt, outcome) = (t.flows, Outcome::NotSent);
        self.counters.permits_denied += 1;
        self.recorder.note(now, || {
            let what = format!("attempt of transaction {} at {name} withheld", id.0);
            record::Fault { what }.into()
        });
        self.log(LogLine::AttemptDenied(id, name));
        let ended = Event::Ended { id, attempt, backend: member, outcome, closed: false, report: None };
        self.events.push_back(ended);
    }

    /// The list may have been overtaken: the attempt waits until discovery has answered, and a member is chosen anew then.
    fn park(&mut self, now: Millis, id: TransactionId, member: BackendId, wait_ms: Millis) {
        self.counters.attempts_parked += 1;
        self.log(LogLine::Parked(id));
        self.parked.insert(id, member);
        self.timers.set(now + wait_ms, Due::Parked(id));
    }

    /// The list holds again: members are chosen anew for all who waited for that.
    pub(super) fn unpark(&mut self, now: Millis) {
        for id in self.parked.keys().copied().collect::<Vec<_>>() {
            self.choose_anew(now, id);
        }
    }

    pub(super) fn choose_anew(&mut self, now: Millis, id: TransactionId) {
        let Some(backend) = self.parked.remove(&id) else { return };
        let Some(t) = self.transactions.get(&id).filter(|t| t.stage == Stage::Held) else { return };
        let (attempt, outcome) = (t.flows, Outcome::NotSent);
        self.feed(now, Event::Ended { id, attempt, backend, outcome, closed: false, report: None });
    }

    /// Begins the attempt; its connection is given up if it is not there within `connect_ms`.
    pub(super) fn open(&mut self, now: Millis, permit: Permit, connect_ms: Millis) {
        let Permit { id, member, wait_ms } = permit;
        let Some(dial) = self.pool.dial(member) else { return };
        let name = self.pool.name(member);
        let Some(t) = self.transactions.get_mut(&id) else { return };
        t.stage = Stage::Out { connected: false };
        t.written = false;
        t.flows += 1;
        t.sent = now;
        t.member = Some(member);
        t.member_name.clone_from(&name);
        let (attempt, transaction_name) = (t.flows, t.name.clone());
        self.counters.flows += 1;
        self.log(LogLine::Attempt {
            id,
            name: transaction_name,
            member: name.clone(),
            attempt,
            started_ago_ms: self.pool.started_at(member).map(|started| now - started),
        });
        self.timers.set(now + connect_ms, Due::Connect(id, attempt));
        self.timers.set(now + wait_ms, Due::Flow(id, attempt));
        self.driver_commands
            .push_back(DriverCommand::Front(id, Command::Open { dial, member: name, wait_ms }));
    }

    pub(super) fn flow_ended(
        &mut self,
        now: Millis,
        id: TransactionId,
        outcome: Outcome,
        report: Option<Report>,
    ) {
        if let Some(t) = self.transactions.get(&id).filter(|t| t.stage != Stage::Held) {
            let stood = t.stage == Stage::Up;
            // A connection that a member sends away is told of as such, so this one its client has ended.
            self.note_flow(now, id, outcome, stood, stood && outcome == Outcome::Cancelled);
            self.flow_over(now, id, outcome, report);
        }
    }

    /// A flow has ended, and the record knows how.
    pub(super) fn flow_over(
        &mut self,
        now: Millis,
        id: TransactionId,
        outcome: Outcome,
        report: Option<Report>,
    ) {
        let Some(t) = self.transactions.get_mut(&id).filter(|t| t.stage != Stage::Held) else { return };
        let Some(member) = t.member else { return };
        let stood = t.stage == Stage::Up;
        let attempt = t.flows.saturating_sub(1);
        count_outcome(&mut self.counters, outcome, stood);
        if outcome != Outcome::Ok && outcome != Outcome::Cancelled {
            let (member, took_ms) = (t.member_name.clone(), now - t.sent);
            let line = LogLine::Flow { id, member, outcome, took_ms, stood };
            self.driver_commands.push_back(DriverCommand::Log(line));
        }
        t.stage = Stage::Held;
        t.may_have_run |= may_have_run(outcome);
        if t.adoption.is_some() && !t.told {
            // The module has not heard of it.
            return self.adoption_failed(now, id, outcome);
        }
        // What the member sent has reached the client, so that no other member can take over.
        let closed = stood || outcome == Outcome::Ok || t.committed;
        if closed {
            if t.committed && !stood && outcome != Outcome::Ok {
                self.answer(now, id, Command::Fail(Failure::Broken));
            }
            if let Some(t) = self.forget(id).filter(|_| !stood && outcome == Outcome::Ok) {
                self.classes.of(t.request.class).served += 1;
                self.note_answer(now, &t, record::Answer::Served);
            }
        }
        self.feed(now, Event::Ended { id, attempt, backend: member, outcome, closed, report });
    }

    /// What would still be new work at a member that may take none any more ends there: a request whose flow is not
    /// written yet, and a stream that is being negotiated, as each further step of that is new work.
    pub(super) fn end_beginnings(&mut self, now: Millis) {
        let doomed = |t: &&Transaction| {
            let fits = |member| {
                if t.adoption.is_some() { self.pool.listed(member) } else { self.pool.serving(member) }
            };
            let serving = t.member.is_some_and(fits);
            matches!(t.stage, Stage::Out { .. }) && (t.negotiates || !t.written) && !serving
        };
        let ids: Vec<_> = self
            .transactions
            .values()
            .filter(doomed)
            .map(|t| (t.request.id, t.committed, t.written))
            .collect();
        for (id, committed, written) in ids {
            if committed {
                self.send_away(now, id, record::MoveReason::Negotiation);
            } else {
                let outcome = if written { Outcome::Cancelled } else { Outcome::NotSent };
                self.driver_commands.push_back(DriverCommand::Front(id, Command::Abandon));
                self.flow_ended(now, id, outcome, None);
            }
        }
    }

    /// Whether this flow of the transaction is out, and if so whether it has a connection.
    pub(super) fn out(&self, id: TransactionId, flow: u32) -> Option<bool> {
        match self.transactions.get(&id) {
            Some(Transaction { stage: Stage::Out { connected }, flows, .. }) if *flows == flow => {
                Some(*connected)
            }
            _ => None,
        }
    }

    /// A flow has had its time. Once the client has heard from its member no other can take over: what is left of
    /// the client's time is theirs. Guards against streams cut off while their client negotiates.
    pub(super) fn flow_due(&mut self, now: Millis, id: TransactionId, flow: u32) {
        match self.transactions.get(&id) {
            Some(t) if t.committed && now < t.deadline => self.timers.set(t.deadline, Due::Flow(id, flow)),
            // What was never written whole can't have run.
            Some(t) if !t.written => self.give_up(now, id, Outcome::Unreachable),
            _ => self.give_up(now, id, Outcome::TimedOut),
        }
    }

    pub(super) fn give_up(&mut self, now: Millis, id: TransactionId, outcome: Outcome) {
        self.driver_commands.push_back(DriverCommand::Front(id, Command::Abandon));
        self.flow_ended(now, id, outcome, None);
    }
}
