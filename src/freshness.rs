//! Freshness of the list of pool members: whether what is known of them still holds, so that something new may be sent.
//!
//! Whatever discovery has to tell counts as told 6 s after it had it and could be reached, whether it arrived or not, and nothing new
//! may go to a member that drains or is gone for longer than the settings allow after that. So a list is a lease: it is renewed by
//! each answer, and by each sign that discovery can't be reached; when it has run out the node can't know whom it may send to, and
//! sends nothing until discovery has answered. The list that a process is started with carries no lease: it may be of any age.
//!
//! Decides by values and time passed in; spans are of the caller's clock, which only goes forward.

use crate::api::Millis;

/// A change counts as told so long after discovery had it and could be reached.
pub(crate) const CHANGE_KNOWN_AFTER_MS: Millis = 6_000.0;
/// And so long after a new configuration named another discovery.
const MOVED_MS: Millis = 4_000.0;
/// The process may be held up for so long between reading its clock and writing, and timers and sockets take their time.
const HELD_UP_MS: Millis = 250.0;
/// A refusal by discovery that comes sooner than this after the call is no wait in line: it is down.
pub const PROMPT_REFUSAL_MS: Millis = 1_000.0;

/// The lease on the list at hand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    until: Millis,
    length: Millis,
    /// For how long something new may be sent after a change was told, as far as this process can be sure of its clock.
    grace: Millis,
}

/// How a call to discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Discovery can't be reached, or says that it does not serve (503): it tells nobody anything.
    Down,
    /// It can be reached, but the call got no good answer: none came, it was cut, or it was answered badly.
    Unanswered,
}

impl Lease {
    /// A lease that never runs out: the list does not come from discovery.
    pub fn unlimited() -> Self {
        Lease { until: Millis::INFINITY, length: Millis::INFINITY, grace: Millis::INFINITY }
    }

    /// None yet, where nothing new may go to a member for longer than `grace_ms` after a change counts as told.
    pub fn none(grace_ms: Millis) -> Self {
        let grace = (grace_ms - HELD_UP_MS).max(0.0);
        Lease { until: Millis::NEG_INFINITY, length: CHANGE_KNOWN_AFTER_MS + grace, grace }
    }

    /// Discovery has answered: the list is as good as new.
    pub fn renew(&mut self, now: Millis) {
        self.until = self.until.max(now + self.length);
    }

    /// An answer that began at this time can't be read, or has stood still since: what it has to tell counts as told as it was written,
    /// whether or not it arrived.
    pub fn answer_invalid(&mut self, began: Millis) {
        self.until = self.until.min(began + self.grace);
    }

    /// A call has failed. While discovery is down nothing counts as told.
    pub fn discovery_call_failed(&mut self, now: Millis, failure: CallFailure) {
        if failure == CallFailure::Down {
            self.until = self.until.max(now + self.length);
        }
    }

    /// Discovery is another one from now on: what it has counts as told sooner.
    pub fn discovery_changed(&mut self, now: Millis) {
        self.until = self.until.min(now + self.length - CHANGE_KNOWN_AFTER_MS + MOVED_MS);
    }

    /// Whether something new may be sent by the list at hand.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.until
    }
}

#[cfg(test)]
mod tests;
