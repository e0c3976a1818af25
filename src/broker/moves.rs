//! Moves clients away: because the node leaves, or because their member does.

use super::leaving::{MOVE_STEP_MS, MoveSchedule};
use super::recorder::member_id;
use super::{Broker, Command, DriverCommand, Due, LogLine, Stage, Transaction, TransactionId};
use crate::api::*;
use hopmoor_record::{self as record, MoveReason};

/// Duration over which the clients of a draining member are moved.
const DRAIN_MOVE_DURATION_MS: Millis = 5_000.0;
/// Duration over which the clients of a member that is gone are moved.
const GONE_MOVE_DURATION_MS: Millis = 1_000.0;

impl Broker {
    /// Starts to move the clients of a member that drains or is gone.
    pub(super) fn begin_drain(&mut self, now: Millis, member: BackendId, phase: Phase) {
        let duration_ms = match phase {
            Phase::Serving => return,
            Phase::Draining => DRAIN_MOVE_DURATION_MS,
            Phase::Gone => GONE_MOVE_DURATION_MS,
        };
        // No new flow goes to this member. If it has neither an attempt nor a connection now, there will be
        // no client to move later. This avoids a timer per member when thousands are rolled out.
        let at_member = |t: &Transaction| t.member == Some(member) && t.stage != Stage::Waiting;
        if self.transactions.values().any(at_member) {
            let schedule = MoveSchedule::new(now, now + duration_ms);
            self.timers.set(now + MOVE_STEP_MS, Due::DrainStep(member, schedule));
        }
    }

    /// Moves a client: tells it to reconnect, and closes its connection, or the negotiation so far, cleanly.
    pub(super) fn move_client(&mut self, now: Millis, id: TransactionId, reason: MoveReason) {
        let Some(t) = self.forget(now, id) else { return };
        let Some(backend) = t.member else { return };
        self.counters.moved += 1;
        let stood_ms = (t.stage == Stage::Established).then_some((now - t.attempt_started_at) as f32);
        self.recorder.append(now, || {
            record::Moved { transaction: id.0, member: member_id(backend), reason, stood_ms }.into()
        });
        self.log(LogLine::Moved(id, t.member_name.clone(), reason));
        let latest = self.leaving.move_deadline(now);
        self.driver_commands.push_back(DriverCommand::Front(id, Command::Move { latest }));
        let (attempt, outcome) = (t.flows.saturating_sub(1), Outcome::Cancelled);
        self.feed(now, Event::Ended { id, attempt, backend, outcome, closed: true, report: None });
    }

    /// Handles a connection that its member has closed after it told the client to reconnect.
    pub(super) fn on_moved_by_member(&mut self, now: Millis, id: TransactionId) {
        let Some(t) = self.transactions.get(&id).filter(|t| t.stage == Stage::Established) else { return };
        let (member, stood_ms) = (t.member, Some((now - t.attempt_started_at) as f32));
        if let Some(member) = member {
            let (member, reason) = (member_id(member), MoveReason::Member);
            self.recorder
                .append(now, || record::Moved { transaction: id.0, member, reason, stood_ms }.into());
        }
        self.finish_flow(now, id, Outcome::Cancelled, None);
    }

    /// Starts a drain: takes no new clients and moves the established ones, until [`Broker::resume`]. Returns
    /// false if the node shuts down.
    pub fn drain(&mut self, now: Millis) -> bool {
        if self.leaving.drain(now) {
            self.schedule_leave_step(now);
            for id in std::mem::take(&mut self.readiness_checks) {
                self.driver_commands.push_back(DriverCommand::Front(id, Command::Unready));
            }
        }
        !self.leaving.is_ending()
    }

    /// Ends a drain; clients that have not moved stay. Returns false if the node shuts down.
    pub fn resume(&mut self) -> bool {
        self.leaving.resume()
    }

    /// Starts a shutdown, which moves all clients. New ones are still served, and moved in their turn.
    /// Returns for how many milliseconds from the start of the shutdown the process may still run.
    pub fn leave(&mut self, now: Millis) -> Millis {
        if self.leaving.end(now, self.shutdown_times) {
            let transactions = self.transactions.len() as u32;
            self.recorder.append(now, || record::Leaving { transactions }.into());
            self.schedule_leave_step(now);
            self.cap_deadlines(now, now + self.shutdown_times.done_by);
        }
        self.shutdown_times.exit_by
    }

    /// Lowers the deadline of all waiting clients to `by`, because the process exits soon after.
    fn cap_deadlines(&mut self, now: Millis, by: Millis) {
        for (id, t) in &mut self.transactions {
            if t.stage != Stage::Established && t.deadline > by {
                t.deadline = by;
                self.timers.set(by, Due::FlowTimeout(*id, t.flows));
                // Answers the client if the module misses the deadline.
                self.timers.set(by + MOVE_STEP_MS, Due::AnswerOverdue(*id));
            }
        }
        self.feed(now, Event::ShuttingDown { by });
    }

    /// Sets the timer of the next leave step, unless it is set.
    fn schedule_leave_step(&mut self, now: Millis) {
        if !std::mem::replace(&mut self.step_scheduled, true) {
            self.timers.set(now + MOVE_STEP_MS, Due::LeaveStep);
        }
    }

    /// Moves the next clients of a drain or shutdown of this node.
    pub(super) fn leave_step(&mut self, now: Millis) {
        let established = self.transactions.values().filter(|t| t.stage == Stage::Established).count();
        self.step_scheduled = match self.leaving.moves_due(now, established) {
            Some(due) => {
                self.move_clients(now, due, MoveReason::Leaving, |_| true);
                self.timers.set(now + MOVE_STEP_MS, Due::LeaveStep);
                true
            }
            None => false,
        };
    }

    /// Moves the next clients of a member that drains or is gone. They are moved before the member leaves,
    /// whether or not it tells them itself.
    pub(super) fn drain_step(&mut self, now: Millis, member: BackendId, mut schedule: MoveSchedule) {
        if !self.pool.serving(member) {
            let reason = if self.pool.listed(member) { MoveReason::Draining } else { MoveReason::Gone };
            let at_member = |t: &Transaction| t.member == Some(member);
            let clients =
                self.transactions.values().filter(|t| t.stage == Stage::Established && at_member(t)).count();
            self.move_clients(now, schedule.moves_due(now, clients), reason, at_member);
            if !schedule.is_over(now) {
                self.timers.set(now + MOVE_STEP_MS, Due::DrainStep(member, schedule));
            }
        }
    }

    fn move_clients(
        &mut self,
        now: Millis,
        max: usize,
        reason: MoveReason,
        which: impl Fn(&Transaction) -> bool,
    ) {
        let candidates = self.transactions.iter().filter(|(_, t)| t.stage == Stage::Established && which(t));
        let due: Vec<_> = candidates.map(|(id, _)| *id).take(max).collect();
        for id in due {
            self.move_client(now, id, reason);
        }
    }
}
