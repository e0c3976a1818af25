//! Clients that are told to come again: because the node ends, or because their member does.

use super::tape::number;
use super::{Broker, Command, Due, LogLine, Order, Stage, Transaction, TransactionId};
use crate::api::*;
use hopmoor_record::{self as record, Reason};

/// Steps in which clients are moved before the node ends, or before their member does.
const LEAVE_STEP_MS: Millis = 50.0;
/// Clients of a member that drains are moved over this time, those of one that is gone over the next.
const DRAIN_MS: Millis = 5_000.0;
const GONE_MS: Millis = 1_000.0;

/// Moves spread evenly over a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Spread {
    from: Millis,
    until: Millis,
    most: usize,
}

impl Spread {
    /// How many of these are to be moved now, so that none is left in the end.
    fn due(&mut self, now: Millis, up: usize) -> usize {
        self.most = self.most.max(up);
        let left = ((self.until - now) / (self.until - self.from)).clamp(0.0, 1.0);
        up.saturating_sub((self.most as f64 * left).floor() as usize)
    }
}

impl Broker {
    /// A member has changed: if it drains or is gone its clients are moved from now on.
    pub(super) fn begin_drain(&mut self, now: Millis, member: BackendId, phase: Phase) {
        let within = match phase {
            Phase::Serving => return,
            Phase::Draining => DRAIN_MS,
            Phase::Gone => GONE_MS,
        };
        let spread = Spread { from: now, until: now + within, most: 0 };
        self.timers.set(now + LEAVE_STEP_MS, Due::Drain(member, spread));
    }

    /// Moves a client: its connection, or what has been negotiated of it, ends in good order.
    pub(super) fn send_away(&mut self, now: Millis, id: TransactionId, reason: Reason) {
        let Some(t) = self.forget(id) else { return };
        let Some(backend) = t.member else { return };
        self.counters.moved += 1;
        let stood_ms = (t.stage == Stage::Up).then_some((now - t.sent) as f32);
        self.tape.note(now, || {
            record::Moved { transaction: id.0, member: number(backend), reason, stood_ms }.into()
        });
        self.log(LogLine::Moved(id, t.member_name.clone()));
        self.orders.push_back(Order::Front(id, Command::Move));
        let (attempt, outcome) = (t.flows.saturating_sub(1), Outcome::Cancelled);
        self.feed(now, Event::Ended { id, attempt, backend, outcome, closed: true, report: None });
    }

    /// Its member has told a client to come again, and the connection has ended.
    pub(super) fn sent_away(&mut self, now: Millis, id: TransactionId) {
        let Some(t) = self.transactions.get(&id).filter(|t| t.stage == Stage::Up) else { return };
        let (member, stood_ms) = (t.member, Some((now - t.sent) as f32));
        if let Some(member) = member {
            let (member, reason) = (number(member), Reason::Member);
            self.tape.note(now, || record::Moved { transaction: id.0, member, reason, stood_ms }.into());
        }
        self.flow_over(now, id, Outcome::Cancelled, None);
    }

    /// Begins to move all clients, evenly until then. New ones are still served, and moved in their turn.
    pub fn leave(&mut self, now: Millis, until: Millis) {
        if self.leaving.is_none() {
            let transactions = self.transactions.len() as u32;
            self.tape.note(now, || record::Leaving { transactions }.into());
            self.leaving = Some(Spread { from: now, until, most: 0 });
            self.timers.set(now + LEAVE_STEP_MS, Due::Leave);
        }
    }

    pub(super) fn leave_step(&mut self, now: Millis) {
        let Some(mut spread) = self.leaving else { return };
        self.move_part(now, &mut spread, Reason::Leaving, |_| true);
        self.leaving = Some(spread);
        self.timers.set(now + LEAVE_STEP_MS, Due::Leave);
    }

    /// A member leaves: its clients are told to move before it goes, bit by bit, whether or not it tells them.
    pub(super) fn drain_step(&mut self, now: Millis, member: BackendId, mut spread: Spread) {
        if !self.pool.serving(member) {
            let reason = if self.pool.listed(member) { Reason::Draining } else { Reason::Gone };
            self.move_part(now, &mut spread, reason, |t| t.member == Some(member));
            if now < spread.until {
                self.timers.set(now + LEAVE_STEP_MS, Due::Drain(member, spread));
            }
        }
    }

    fn move_part(
        &mut self,
        now: Millis,
        spread: &mut Spread,
        reason: Reason,
        which: impl Fn(&Transaction) -> bool,
    ) {
        let up = self.transactions.iter().filter(|(_, t)| t.stage == Stage::Up && which(t));
        let up: Vec<_> = up.map(|(id, _)| *id).collect();
        let due = spread.due(now, up.len());
        for id in up.into_iter().take(due) {
            self.send_away(now, id, reason);
        }
    }
}
