//! Connections that stood before the run: each is taken up again at the member that holds it, and nowhere else.
//!
//! Their clients have much time, and one member alone can serve them. So what would be a reason to go elsewhere for a new request is
//! a reason to wait here: a list that does not name the member yet, a member that is full, or one that can't be reached. Only a
//! member that the list has dropped, or has not named for as long as any change may take to be told, has lost its connection: that is
//! placed like a new one. A member that drains still holds what it held.

use super::*;
use crate::freshness::CHANGE_KNOWN_AFTER_MS;

/// Pause before a member that did not take its connection is tried again; it grows by the next with each try.
const FIRST_PAUSE_MS: Millis = 500.0;
const PAUSE_GROWTH: f64 = 2.5;
/// The longest pause where no connection came up: that costs a member nothing.
const LONGEST_DIAL_PAUSE_MS: Millis = 2_000.0;
/// A connection to the member may take so long to come up: there is no other to try.
pub(super) const CONNECT_MS: Millis = 3_000.0;
/// Part of the client's time that may be spent on waiting for a list that names the member.
const UNLISTED_PART: f64 = 0.5;

/// What is left to be done for one such connection.
#[derive(Debug)]
pub(super) struct Adoption {
    /// The member that holds it, as its client names it.
    holder: Box<str>,
    /// Pause before the next try.
    pause_ms: Millis,
    /// It was listed when it was looked for last.
    listed: bool,
}

impl Adoption {
    pub(super) fn new(holder: &str) -> Self {
        Adoption { holder: holder.into(), pause_ms: FIRST_PAUSE_MS, listed: false }
    }

    /// The pause before the next try, after one that ended so.
    fn pause(&mut self, outcome: Outcome) -> Millis {
        let pause_ms = self.pause_ms;
        self.pause_ms *= PAUSE_GROWTH;
        if outcome == Outcome::Unreachable { pause_ms.min(LONGEST_DIAL_PAUSE_MS) } else { pause_ms }
    }
}

/// What the list says of the member that holds a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    /// It is there.
    Listed(BackendId),
    /// It is not named yet, and may still be.
    Awaited,
    /// It is gone.
    Gone,
}

impl Broker {
    fn holder(&self, now: Millis, t: &Transaction, adoption: &Adoption) -> Holder {
        if let Some(member) = self.pool.named(&adoption.holder) {
            return Holder::Listed(member);
        }
        if adoption.listed {
            return Holder::Gone;
        }
        let wait_ms = CHANGE_KNOWN_AFTER_MS.min((t.deadline - t.asked) * UNLISTED_PART);
        // A list says nothing about who is not on it while it may be overtaken, or where discovery has not answered since, as in an
        // outage that renews the lease.
        let told = self.lease.is_valid(now) && self.last_answer >= t.asked;
        if told && now - t.asked >= wait_ms { Holder::Gone } else { Holder::Awaited }
    }

    /// Goes to the member that holds the connection, if the list at hand names it.
    pub(super) fn seek_holder(&mut self, now: Millis, id: TransactionId) {
        let Some(t) = self.transactions.get(&id).filter(|t| t.stage == Stage::Held) else { return };
        let Some(adoption) = &t.adoption else { return };
        let (holder, left) = (self.holder(now, t, adoption), t.deadline - now);
        match holder {
            Holder::Listed(member) => {
                self.awaiting.remove(&id);
                if let Some(adoption) = self.adoption(id) {
                    adoption.listed = true;
                }
                self.open_adopted(now, id, member, left);
            }
            Holder::Awaited => {
                if self.awaiting.insert(id) {
                    self.counters.adoptions_awaited += 1;
                    self.log(LogLine::AdoptionAwaitsList(id));
                    self.timers.set(now + CHANGE_KNOWN_AFTER_MS.min(left * UNLISTED_PART), Due::Adopt(id));
                }
            }
            Holder::Gone => self.place_anew(now, id),
        }
    }

    /// A list has come, or is as good as new: those that wait for one that names their member look again.
    pub(super) fn seek_awaited(&mut self, now: Millis) {
        for id in self.awaiting.iter().copied().collect::<Vec<_>>() {
            self.seek_holder(now, id);
        }
    }

    /// The flow to the member that holds the connection has ended without it; it is tried again, or given up.
    pub(super) fn adoption_failed(&mut self, now: Millis, id: TransactionId, outcome: Outcome) {
        let Some(t) = self.transactions.get_mut(&id) else { return };
        let spent = t.attempts >= self.most_flows;
        let Some(adoption) = &mut t.adoption else { return };
        let at = now + adoption.pause(outcome);
        if spent || at >= t.deadline {
            return self.answer(now, id, Command::Fail(Failure::NotAdopted));
        }
        self.counters.adoptions_retried += 1;
        self.timers.set(at, Due::Adopt(id));
    }

    /// The member that held the connection is gone, and the connection with it: it is placed like a new one.
    fn place_anew(&mut self, now: Millis, id: TransactionId) {
        self.awaiting.remove(&id);
        let Some(t) = self.transactions.get_mut(&id) else { return };
        if t.may_have_run {
            return self.answer(now, id, Command::Fail(Failure::NotAdopted));
        }
        t.adoption = None;
        t.told = true;
        t.uncounted = t.flows - t.attempts;
        t.request.grace_ms = (t.deadline - now).max(0.0);
        let request = t.request;
        self.log(LogLine::AdoptedMemberGone(id));
        self.feed(now, Event::Request(request));
    }

    fn adoption(&mut self, id: TransactionId) -> Option<&mut Adoption> {
        self.transactions.get_mut(&id)?.adoption.as_mut()
    }

    /// Goes back to the member that holds a connection from before the node began.
    fn open_adopted(&mut self, now: Millis, id: TransactionId, member: BackendId, wait_ms: Millis) {
        match self.permit_adopted(now, id, member, wait_ms) {
            Ok(permit) => self.open(now, permit, CONNECT_MS.max(self.connect_ms)),
            Err(_) => self.answer(now, id, Command::Fail(Failure::NotAdopted)),
        }
    }

    /// It stands again at its member; one that drains sends it on in its turn.
    pub(super) fn taken_up(&mut self, now: Millis, request: Request, member: BackendId) {
        self.counters.adopted += 1;
        if let Some(phase) = self.pool.phase(member).filter(|phase| *phase != Phase::Serving) {
            self.begin_drain(now, member, phase);
        }
        self.feed(now, Event::Adopted { request, backend: member });
    }
}

#[cfg(test)]
mod tests;
