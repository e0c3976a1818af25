//! The single place that decides whether an attempt may start, whatever its origin: a request of the decision
//! module, a retry, an adoption or a new selection. [`Broker::open`] requires a [`Permit`], and only this
//! module creates one.
//!
//! Attempts that the decision module should never ask for are counted (`permits_denied`) and logged, so that
//! a defect shows in the metrics before a member suffers from it.

use super::{Broker, Stage, Transaction, TransactionId};
use crate::api::{BackendId, Effect, Millis, Outcome};

/// Permission to start one attempt at one member.
#[derive(Debug)]
pub(super) struct Permit {
    /// Transaction of the attempt.
    pub(super) id: TransactionId,
    /// Member that the attempt goes to.
    pub(super) member: BackendId,
    /// Timeout of the answer, in milliseconds.
    pub(super) wait_ms: Millis,
}

/// Why an attempt may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denied {
    /// The transaction is answered, or one of its attempts is in progress.
    NotWaiting,
    /// The transaction has used all attempts that the settings allow.
    AttemptsExhausted,
    /// The transaction's deadline has passed.
    DeadlinePassed,
    /// An earlier attempt may have run, and the class must not run twice.
    NotRepeatable,
    /// The member drains or is gone.
    MemberNotServing,
    /// The current list may be outdated. This is no defect: the attempt waits for discovery.
    LeaseExpired,
}

impl Broker {
    /// Decides on an attempt that the decision module asks for.
    pub(super) fn permit(
        &self,
        now: Millis,
        id: TransactionId,
        member: BackendId,
        wait_ms: Millis,
    ) -> Result<Permit, Denied> {
        let permit = self.permit_waiting(now, id, member, wait_ms, |t| t.flows - t.uncounted_flows)?;
        if !self.pool.serving(member) {
            return Err(Denied::MemberNotServing);
        }
        if !self.lease.is_valid(now) {
            return Err(Denied::LeaseExpired);
        }
        Ok(permit)
    }

    /// Decides on an attempt to adopt a connection at the member that holds it. The client names this member,
    /// so the lease does not matter, and a draining member still accepts connections it held. Only attempts
    /// whose request was written count.
    pub(super) fn permit_adopted(
        &self,
        now: Millis,
        id: TransactionId,
        member: BackendId,
        wait_ms: Millis,
    ) -> Result<Permit, Denied> {
        let permit = self.permit_waiting(now, id, member, wait_ms, |t| t.attempts)?;
        if self.pool.listed(member) { Ok(permit) } else { Err(Denied::MemberNotServing) }
    }

    /// Checks that hold for every attempt: the transaction waits, has attempts and time left, and may be
    /// repeated.
    fn permit_waiting(
        &self,
        now: Millis,
        id: TransactionId,
        member: BackendId,
        wait_ms: Millis,
        attempts_made: impl Fn(&Transaction) -> u32,
    ) -> Result<Permit, Denied> {
        let waiting = |t: &&Transaction| t.stage == Stage::Waiting;
        let t = self.transactions.get(&id).filter(waiting).ok_or(Denied::NotWaiting)?;
        if attempts_made(t) >= self.max_flows {
            return Err(Denied::AttemptsExhausted);
        }
        let wait_ms = wait_ms.min(t.deadline - now);
        if wait_ms <= 0.0 {
            return Err(Denied::DeadlinePassed);
        }
        if t.may_have_run && self.effect(t) == Effect::SingleShot {
            return Err(Denied::NotRepeatable);
        }
        Ok(Permit { id, member, wait_ms })
    }

    pub(super) fn effect(&self, t: &Transaction) -> Effect {
        self.balancer.settings.class(t.request.class).effect
    }
}

/// Whether an attempt with this outcome may have run at its member.
pub(super) fn may_have_run(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Full | Outcome::Unreachable | Outcome::NotSent)
}
