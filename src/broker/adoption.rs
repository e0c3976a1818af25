//! Adoption of client connections that were established before this node process started.
//!
//! Such a connection can only continue on the member that holds it, and its client grants a long deadline. A
//! list that does not name the member yet, a full member or an unreachable one therefore means a retry here,
//! where a new request would go to another member. The connection counts as lost only if the member was
//! removed from the list, or is still unlisted after the time within which discovery must have announced any
//! change (`CHANGE_KNOWN_AFTER_MS`). It is then placed like a new request. A draining member still accepts
//! connections it held.

use super::*;
use crate::freshness::CHANGE_KNOWN_AFTER_MS;

/// Backoff before the first retry at a member that did not accept its connection. Each retry multiplies it by
/// [`BACKOFF_FACTOR`].
const INITIAL_BACKOFF_MS: Millis = 500.0;
/// Factor by which the backoff grows with each retry.
const BACKOFF_FACTOR: f64 = 2.5;
/// Upper bound of the backoff after a failed connect, which costs the member nothing.
const MAX_UNREACHABLE_BACKOFF_MS: Millis = 2_000.0;
/// Minimum connect timeout at the member. It is long because no other member can take the connection.
pub(super) const ADOPTION_CONNECT_TIMEOUT_MS: Millis = 3_000.0;
/// Fraction of the client's time that may be spent waiting for a list that names the member.
const UNLISTED_WAIT_FRACTION: f64 = 0.5;

/// State of one connection that is being adopted.
#[derive(Debug)]
pub(super) struct Adoption {
    /// Name of the member that holds the connection, as stated by the client.
    holder: Box<str>,
    /// Backoff before the next retry.
    backoff_ms: Millis,
    /// Whether the member was listed at the last lookup.
    was_listed: bool,
}

impl Adoption {
    pub(super) fn new(holder: &str) -> Self {
        Adoption { holder: holder.into(), backoff_ms: INITIAL_BACKOFF_MS, was_listed: false }
    }

    /// Returns the backoff before the next retry and increases the following one.
    fn next_backoff(&mut self, outcome: Outcome) -> Millis {
        let backoff_ms = self.backoff_ms;
        self.backoff_ms *= BACKOFF_FACTOR;
        if outcome == Outcome::Unreachable { backoff_ms.min(MAX_UNREACHABLE_BACKOFF_MS) } else { backoff_ms }
    }
}

/// What the current list says of the member that holds a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HolderStatus {
    /// The member is listed.
    Listed(BackendId),
    /// The member is not listed yet, but may still be announced.
    Awaited,
    /// The member is gone, and the connection with it.
    Gone,
}

impl Broker {
    /// Returns what the current list says of the member that holds the connection.
    fn holder_status(&self, now: Millis, t: &Transaction, adoption: &Adoption) -> HolderStatus {
        if let Some(member) = self.pool.find(&adoption.holder) {
            return HolderStatus::Listed(member);
        }
        if adoption.was_listed {
            return HolderStatus::Gone;
        }
        let wait_ms = CHANGE_KNOWN_AFTER_MS.min((t.deadline - t.asked_at) * UNLISTED_WAIT_FRACTION);
        // A missing entry proves nothing while the lease is expired, or if discovery has not answered since
        // the client asked: an outage of discovery renews the lease without an answer.
        let list_current = self.lease.is_valid(now) && self.last_discovery_answer >= t.asked_at;
        if list_current && now - t.asked_at >= wait_ms { HolderStatus::Gone } else { HolderStatus::Awaited }
    }

    /// Opens a flow to the member that holds the connection, if the current list names it.
    pub(super) fn open_at_holder(&mut self, now: Millis, id: TransactionId) {
        let Some(t) = self.transactions.get(&id).filter(|t| t.stage == Stage::Waiting) else { return };
        let Some(adoption) = &t.adoption else { return };
        let (holder, left) = (self.holder_status(now, t, adoption), t.deadline - now);
        match holder {
            HolderStatus::Listed(member) => {
                self.awaiting_list.remove(&id);
                if let Some(adoption) = self.adoption(id) {
                    adoption.was_listed = true;
                }
                self.open_adopted(now, id, member, left);
            }
            HolderStatus::Awaited => {
                if self.awaiting_list.insert(id) {
                    self.counters.adoptions_awaited += 1;
                    self.log(LogLine::AdoptionAwaitsList(id));
                    self.timers.set(
                        now + CHANGE_KNOWN_AFTER_MS.min(left * UNLISTED_WAIT_FRACTION),
                        Due::RetryAdoption(id),
                    );
                }
            }
            HolderStatus::Gone => self.place_as_new(now, id),
        }
    }

    /// Looks up the holders of all waiting adoptions again, after a new list or a confirmation of the current
    /// one.
    pub(super) fn retry_awaiting_adoptions(&mut self, now: Millis) {
        for id in self.awaiting_list.iter().copied().collect::<Vec<_>>() {
            self.open_at_holder(now, id);
        }
    }

    /// Handles a flow that ended without adoption: schedules a retry, or fails the transaction.
    pub(super) fn adoption_failed(&mut self, now: Millis, id: TransactionId, outcome: Outcome) {
        let Some(t) = self.transactions.get_mut(&id) else { return };
        let attempts_exhausted = t.attempts >= self.max_flows;
        let Some(adoption) = &mut t.adoption else { return };
        let at = now + adoption.next_backoff(outcome);
        if attempts_exhausted || at >= t.deadline {
            return self.answer(now, id, Command::Fail(Failure::NotAdopted));
        }
        self.counters.adoptions_retried += 1;
        self.timers.set(at, Due::RetryAdoption(id));
    }

    /// Places the connection like a new request, because the member that held it is gone.
    fn place_as_new(&mut self, now: Millis, id: TransactionId) {
        self.awaiting_list.remove(&id);
        let Some(t) = self.transactions.get_mut(&id) else { return };
        if t.may_have_run {
            return self.answer(now, id, Command::Fail(Failure::NotAdopted));
        }
        t.adoption = None;
        t.known_to_module = true;
        t.uncounted_flows = t.flows - t.attempts;
        t.request.grace_ms = (t.deadline - now).max(0.0);
        let request = t.request;
        self.log(LogLine::AdoptedMemberGone(id));
        self.feed(now, Event::Request(request));
    }

    fn adoption(&mut self, id: TransactionId) -> Option<&mut Adoption> {
        self.transactions.get_mut(&id)?.adoption.as_mut()
    }

    /// Opens a flow to the member that holds the connection.
    fn open_adopted(&mut self, now: Millis, id: TransactionId, member: BackendId, wait_ms: Millis) {
        match self.permit_adopted(now, id, member, wait_ms) {
            Ok(permit) => self.open(now, permit, ADOPTION_CONNECT_TIMEOUT_MS.max(self.connect_ms)),
            Err(_) => self.answer(now, id, Command::Fail(Failure::NotAdopted)),
        }
    }

    /// Handles an adopted connection that is established again. If its member drains, it is moved on
    /// schedule.
    pub(super) fn adoption_established(&mut self, now: Millis, request: Request, member: BackendId) {
        self.counters.adopted += 1;
        if let Some(phase) = self.pool.phase(member).filter(|phase| *phase != Phase::Serving) {
            self.begin_drain(now, member, phase);
        }
        self.feed(now, Event::Adopted { request, backend: member });
    }
}

#[cfg(test)]
mod tests;
