//! Server-side flows: at most one at a time per transaction, six in all, none to a draining or removed
//! member.

use super::counters::count_outcome;
use super::permit::{Denied, Permit, may_have_run};
use super::*;

impl Broker {
    /// Starts, parks or denies an attempt that the decision module asks for.
    pub(super) fn attempt(&mut self, now: Millis, id: TransactionId, member: BackendId, timeout_ms: Millis) {
        match self.permit(now, id, member, timeout_ms) {
            Ok(permit) => self.open(now, permit, self.connect_ms),
            Err(Denied::NotWaiting) => self.counters.permits_denied += 1,
            Err(Denied::LeaseExpired) => self.park(now, id, member, timeout_ms),
            Err(_) => self.deny_attempt(now, id, member),
        }
    }

    /// Denies an attempt that breaks a rule and tells the module that nothing was sent.
    fn deny_attempt(&mut self, now: Millis, id: TransactionId, member: BackendId) {
        let Some(t) = self.transactions.get(&id) else { return };
        let name = self.pool.name(member);
        let (attempt, outcome) = (t.flows, Outcome::NotSent);
        self.counters.permits_denied += 1;
        self.recorder.append(now, || {
            let what = format!("attempt of transaction {} at {name} withheld", id.0);
            record::Fault { what }.into()
        });
        self.log(LogLine::AttemptDenied(id, name));
        let ended = Event::Ended { id, attempt, backend: member, outcome, closed: false, report: None };
        self.events.push_back(ended);
    }

    /// Parks an attempt while the lease on the list is expired. Once discovery has answered, or `wait_ms` is
    /// over, the module selects a member again.
    fn park(&mut self, now: Millis, id: TransactionId, member: BackendId, wait_ms: Millis) {
        self.counters.attempts_parked += 1;
        self.log(LogLine::Parked(id));
        self.parked.insert(id, member);
        self.timers.set(now + wait_ms, Due::ParkedTimeout(id));
    }

    /// Releases all parked attempts once the lease is valid again.
    pub(super) fn unpark(&mut self, now: Millis) {
        for id in self.parked.keys().copied().collect::<Vec<_>>() {
            self.reselect_member(now, id);
        }
    }

    /// Reports a parked attempt to the module as not sent, so that it selects a member again.
    pub(super) fn reselect_member(&mut self, now: Millis, id: TransactionId) {
        let Some(backend) = self.parked.remove(&id) else { return };
        let Some(t) = self.transactions.get(&id).filter(|t| t.stage == Stage::Waiting) else { return };
        let (attempt, outcome) = (t.flows, Outcome::NotSent);
        self.feed(now, Event::Ended { id, attempt, backend, outcome, closed: false, report: None });
    }

    /// Opens a flow for a permitted attempt. It is aborted if it has no connection within `connect_ms`.
    pub(super) fn open(&mut self, now: Millis, permit: Permit, connect_ms: Millis) {
        let Permit { id, member, wait_ms } = permit;
        let Some(dial) = self.pool.dial(member) else { return };
        let name = self.pool.name(member);
        let Some(t) = self.transactions.get_mut(&id) else { return };
        t.stage = Stage::InFlight { connected: false };
        t.written = false;
        t.flows += 1;
        t.attempt_started_at = now;
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
        self.timers.set(now + connect_ms, Due::ConnectTimeout(id, attempt));
        self.timers.set(now + wait_ms, Due::FlowTimeout(id, attempt));
        self.driver_commands
            .push_back(DriverCommand::Front(id, Command::Open { dial, member: name, wait_ms }));
    }

    /// Records the end of a flow and finishes it.
    pub(super) fn flow_ended(
        &mut self,
        now: Millis,
        id: TransactionId,
        outcome: Outcome,
        report: Option<Report>,
    ) {
        if let Some(t) = self.transactions.get(&id).filter(|t| t.stage != Stage::Waiting) {
            let was_established = t.stage == Stage::Established;
            // If the member had moved the client, `MovedByMember` would have come instead: the client closed.
            self.record_flow(
                now,
                id,
                outcome,
                was_established,
                was_established && outcome == Outcome::Cancelled,
            );
            self.finish_flow(now, id, outcome, report);
        }
    }

    /// Ends the current flow of a transaction; its end is already recorded.
    pub(super) fn finish_flow(
        &mut self,
        now: Millis,
        id: TransactionId,
        outcome: Outcome,
        report: Option<Report>,
    ) {
        let Some(t) = self.transactions.get_mut(&id).filter(|t| t.stage != Stage::Waiting) else { return };
        let Some(member) = t.member else { return };
        let was_established = t.stage == Stage::Established;
        let attempt = t.flows.saturating_sub(1);
        count_outcome(&mut self.counters, outcome, was_established);
        if outcome != Outcome::Ok && outcome != Outcome::Cancelled {
            let (member, took_ms) = (t.member_name.clone(), now - t.attempt_started_at);
            let line = LogLine::Flow { id, member, outcome, took_ms, stood: was_established };
            self.driver_commands.push_back(DriverCommand::Log(line));
        }
        t.stage = Stage::Waiting;
        // A request that was cancelled before it was written completely can't have run.
        t.may_have_run |= may_have_run(outcome) && (t.written || outcome != Outcome::Cancelled);
        if t.adoption.is_some() && !t.known_to_module {
            // The module does not know of this transaction yet.
            return self.adoption_failed(now, id, outcome);
        }
        // Output of the member has reached the client, so no other member can take over.
        let closed = was_established || outcome == Outcome::Ok || t.committed;
        if closed {
            if t.committed && !was_established && outcome != Outcome::Ok {
                self.answer(now, id, Command::Fail(Failure::Broken));
            }
            if let Some(t) = self.forget(now, id).filter(|_| !was_established && outcome == Outcome::Ok) {
                self.classes.of(t.request.class).served += 1;
                self.record_answer(now, &t, record::Answer::Served);
            }
        }
        self.feed(now, Event::Ended { id, attempt, backend: member, outcome, closed, report });
    }

    /// Aborts attempts at members that may get no new work any more: requests that are not written yet, and
    /// streams under negotiation, since each further step of a negotiation is new work for the member.
    pub(super) fn abort_attempts_at_leaving_members(&mut self, now: Millis) {
        let must_abort = |t: &&Transaction| {
            let may_stay = |member| {
                if t.adoption.is_some() { self.pool.listed(member) } else { self.pool.serving(member) }
            };
            let serving = t.member.is_some_and(may_stay);
            matches!(t.stage, Stage::InFlight { .. }) && (t.negotiates || !t.written) && !serving
        };
        let ids: Vec<_> = self
            .transactions
            .values()
            .filter(must_abort)
            .map(|t| (t.request.id, t.committed, t.written))
            .collect();
        for (id, committed, written) in ids {
            if committed {
                self.move_client(now, id, record::MoveReason::Negotiation);
            } else {
                let outcome = if written { Outcome::Cancelled } else { Outcome::NotSent };
                self.driver_commands.push_back(DriverCommand::Front(id, Command::Abandon));
                self.flow_ended(now, id, outcome, None);
            }
        }
    }

    /// Whether this flow of the transaction is still being attempted, and if so whether it is connected.
    pub(super) fn attempt_connected(&self, id: TransactionId, flow: u32) -> Option<bool> {
        match self.transactions.get(&id) {
            Some(Transaction { stage: Stage::InFlight { connected }, flows, .. }) if *flows == flow => {
                Some(*connected)
            }
            _ => None,
        }
    }

    /// Handles the timeout of a flow. Once output of its member has reached the client no other member can
    /// take over, so the flow then gets the rest of the client's time. Guards against streams that are cut
    /// off during negotiation.
    pub(super) fn on_flow_timeout(&mut self, now: Millis, id: TransactionId, flow: u32) {
        match self.transactions.get(&id) {
            Some(t) if t.committed && now < t.deadline => {
                self.timers.set(t.deadline, Due::FlowTimeout(id, flow))
            }
            // A request that was not written completely can't have run.
            Some(t) if !t.written => self.abort_flow(now, id, Outcome::Unreachable),
            _ => self.abort_flow(now, id, Outcome::TimedOut),
        }
    }

    /// Closes the current flow and finishes it with this outcome.
    pub(super) fn abort_flow(&mut self, now: Millis, id: TransactionId, outcome: Outcome) {
        self.driver_commands.push_back(DriverCommand::Front(id, Command::Abandon));
        self.flow_ended(now, id, outcome, None);
    }
}
