//! The one place that decides whether an attempt may begin now, whoever asked for it: the decision module, a repeat, a connection
//! taken over, a choice made anew. [`Broker::open`] wants a [`Permit`], and only this module makes one.
//!
//! What the decision module should never ask for is counted (`permits_denied`) and logged, so that a breach shows in the metrics
//! before it shows at a member.

use super::{Broker, Stage, Transaction, TransactionId};
use crate::api::{BackendId, Effect, Millis, Outcome};

/// Leave to begin one attempt at one member.
#[derive(Debug)]
pub(super) struct Permit {
    /// Whose attempt.
    pub(super) id: TransactionId,
    /// Where.
    pub(super) member: BackendId,
    /// How long it may wait for its answer, in milliseconds.
    pub(super) wait_ms: Millis,
}

/// Why an attempt may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denied {
    /// The request is answered, or an attempt of it is out.
    NotWaiting,
    /// It has had all attempts that the settings allow.
    Attempts,
    /// Its time is up.
    Time,
    /// An attempt of it may have run, and its class may not be repeated.
    Repeat,
    /// The member drains or is gone.
    Member,
    /// The list at hand may have been overtaken: not a breach, it waits for discovery.
    List,
}

impl Broker {
    /// Leave to begin an attempt that the decision module asks for.
    pub(super) fn permit(
        &self,
        now: Millis,
        id: TransactionId,
        member: BackendId,
        wait_ms: Millis,
    ) -> Result<Permit, Denied> {
        let permit = self.permit_waiting(now, id, member, wait_ms, |t| t.flows - t.uncounted)?;
        if !self.pool.serving(member) {
            return Err(Denied::Member);
        }
        if !self.lease.is_valid(now) {
            return Err(Denied::List);
        }
        Ok(permit)
    }

    /// Leave to go back to the member that has held the connection since before the node began: its client names it, whatever
    /// the age of the list, and it holds the connection while it drains. Only what was written counts as an attempt.
    pub(super) fn permit_adopted(
        &self,
        now: Millis,
        id: TransactionId,
        member: BackendId,
        wait_ms: Millis,
    ) -> Result<Permit, Denied> {
        let permit = self.permit_waiting(now, id, member, wait_ms, |t| t.attempts)?;
        if self.pool.listed(member) { Ok(permit) } else { Err(Denied::Member) }
    }

    /// What holds for every attempt: its request waits, has attempts and time left, and may be repeated.
    fn permit_waiting(
        &self,
        now: Millis,
        id: TransactionId,
        member: BackendId,
        wait_ms: Millis,
        made: impl Fn(&Transaction) -> u32,
    ) -> Result<Permit, Denied> {
        let waiting = |t: &&Transaction| t.stage == Stage::Held;
        let t = self.transactions.get(&id).filter(waiting).ok_or(Denied::NotWaiting)?;
        if made(t) >= self.most_flows {
            return Err(Denied::Attempts);
        }
        let wait_ms = wait_ms.min(t.deadline - now);
        if wait_ms <= 0.0 {
            return Err(Denied::Time);
        }
        if t.may_have_run && self.effect(t) == Effect::SingleShot {
            return Err(Denied::Repeat);
        }
        Ok(Permit { id, member, wait_ms })
    }

    fn effect(&self, t: &Transaction) -> Effect {
        self.balancer.settings.class(t.request.class).effect
    }
}

/// Whether an attempt that ended so may have run at its member.
pub(super) fn may_have_run(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Full | Outcome::Unreachable | Outcome::NotSent)
}
