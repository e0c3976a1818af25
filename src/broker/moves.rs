//! Clients that are told to come again: because the node ends, or because their member does.

use super::leaving::{STEP_MS, Spread};
use super::recorder::number;
use super::{Broker, Command, DriverCommand, Due, LogLine, Stage, Transaction, TransactionId};
use crate::api::*;
use hopmoor_record::{self as record, MoveReason};

/// Clients of a member that drains are moved over this time, those of one that is gone over the next.
const DRAIN_MS: Millis = 5_000.0;
const GONE_MS: Millis = 1_000.0;

impl Broker {
    /// A member has changed: if it drains or is gone its clients are moved from now on.
    pub(super) fn begin_drain(&mut self, now: Millis, member: BackendId, phase: Phase) {
        let within = match phase {
            Phase::Serving => return,
            Phase::Draining => DRAIN_MS,
            Phase::Gone => GONE_MS,
        };
        // Nothing new comes to it, except what is on its way: where there is nothing now there is nobody to move later. A roll-out
        // of thousands of members sets no timer for each.
        let there = |t: &Transaction| t.member == Some(member) && t.stage != Stage::Held;
        if self.transactions.values().any(there) {
            let spread = Spread::new(now, now + within);
            self.timers.set(now + STEP_MS, Due::Drain(member, spread));
        }
    }

    /// Moves a client: its connection, or what has been negotiated of it, ends in good order.
    pub(super) fn send_away(&mut self, now: Millis, id: TransactionId, reason: MoveReason) {
        let Some(t) = self.forget(id) else { return };
        let Some(backend) = t.member else { return };
        self.counters.moved += 1;
        let stood_ms = (t.stage == Stage::Up).then_some((now - t.sent) as f32);
        self.recorder.note(now, || {
            record::Moved { transaction: id.0, member: number(backend), reason, stood_ms }.into()
        });
        self.log(LogLine::Moved(id, t.member_name.clone(), reason));
        self.driver_commands.push_back(DriverCommand::Front(id, Command::Move));
        let (attempt, outcome) = (t.flows.saturating_sub(1), Outcome::Cancelled);
        self.feed(now, Event::Ended { id, attempt, backend, outcome, closed: true, report: None });
    }

    /// Its member has told a client to come again, and the connection has ended.
    pub(super) fn sent_away(&mut self, now: Millis, id: TransactionId) {
        let Some(t) = self.transactions.get(&id).filter(|t| t.stage == Stage::Up) else { return };
        let (member, stood_ms) = (t.member, Some((now - t.sent) as f32));
        if let Some(member) = member {
            let (member, reason) = (number(member), MoveReason::Member);
            self.recorder.note(now, || record::Moved { transaction: id.0, member, reason, stood_ms }.into());
        }
        self.flow_over(now, id, Outcome::Cancelled, None);
    }

    /// Takes no more clients and moves those that stand, until [`Broker::resume`]. False if the node ends.
    pub fn drain(&mut self, now: Millis) -> bool {
        if self.leaving.drain(now) {
            self.begin_leaving(now);
            for id in std::mem::take(&mut self.pings) {
                self.driver_commands.push_back(DriverCommand::Front(id, Command::Unready));
            }
        }
        !self.leaving.ends()
    }

    /// Takes clients again; those that have not moved stay. False if the node ends.
    pub fn resume(&mut self) -> bool {
        self.leaving.resume()
    }

    /// Begins to move all clients before the node ends. New ones are still served, and moved in their turn. Says for how
    /// long from now the process may still be there.
    pub fn leave(&mut self, now: Millis) -> Millis {
        if self.leaving.end(now, self.ending) {
            let transactions = self.transactions.len() as u32;
            self.recorder.note(now, || record::Leaving { transactions }.into());
            self.begin_leaving(now);
            self.hasten(now, now + self.ending.by);
        }
        self.ending.over
    }

    /// Whoever still waits has an answer by then, however long the client would wait: the process is gone soon after.
    fn hasten(&mut self, now: Millis, by: Millis) {
        for (id, t) in &mut self.transactions {
            if t.stage != Stage::Up && t.deadline > by {
                t.deadline = by;
                self.timers.set(by, Due::Flow(*id, t.flows));
                // If the module lets it pass.
                self.timers.set(by + STEP_MS, Due::Answer(*id));
            }
        }
        self.feed(now, Event::ShuttingDown { by });
    }

    fn begin_leaving(&mut self, now: Millis) {
        if !std::mem::replace(&mut self.stepping, true) {
            self.timers.set(now + STEP_MS, Due::Leave);
        }
    }

    pub(super) fn leave_step(&mut self, now: Millis) {
        let standing = self.transactions.values().filter(|t| t.stage == Stage::Up).count();
        self.stepping = match self.leaving.due(now, standing) {
            Some(due) => {
                self.move_some(now, due, MoveReason::Leaving, |_| true);
                self.timers.set(now + STEP_MS, Due::Leave);
                true
            }
            None => false,
        };
    }

    /// A member leaves: its clients are told to move before it goes, bit by bit, whether or not it tells them.
    pub(super) fn drain_step(&mut self, now: Millis, member: BackendId, mut spread: Spread) {
        if !self.pool.serving(member) {
            let reason = if self.pool.listed(member) { MoveReason::Draining } else { MoveReason::Gone };
            let there = |t: &Transaction| t.member == Some(member);
            let up = self.transactions.values().filter(|t| t.stage == Stage::Up && there(t)).count();
            self.move_some(now, spread.due(now, up), reason, there);
            if !spread.over(now) {
                self.timers.set(now + STEP_MS, Due::Drain(member, spread));
            }
        }
    }

    fn move_some(
        &mut self,
        now: Millis,
        most: usize,
        reason: MoveReason,
        which: impl Fn(&Transaction) -> bool,
    ) {
        let up = self.transactions.iter().filter(|(_, t)| t.stage == Stage::Up && which(t));
        let due: Vec<_> = up.map(|(id, _)| *id).take(most).collect();
        for id in due {
            self.send_away(now, id, reason);
        }
    }
}
