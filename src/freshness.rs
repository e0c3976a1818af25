//! The lease on the list of pool members: whether the list is fresh enough to send new connections by it.
//!
//! A change counts as known to the node 6 s after discovery had it and could be reached, whether it arrived
//! or not. From then on new connections may go to a draining or removed member only for the grace that the
//! settings allow. The list is therefore a lease. Each response renews it, and so does each sign that
//! discovery is down, as it then tells no node of changes. Once it has expired the node can't know which
//! members it may use, and sends nothing new until discovery has responded. The list that a process is started
//! with carries no lease, because it may be of any age.
//!
//! A failed call alone does not show that discovery is down: with too many callers it refuses or resets a call
//! that has waited in its queue for too long, and goes on telling changes to others. What tells the two apart
//! is how long the call has waited, and whether a watch ended before.
//!
//! What discovery has written counts as known at once. When a response began and did not arrive whole, the
//! list is outdated: it may be used for the grace from then on, and after that not until a whole response has
//! arrived. No other event undoes this, as none brings the changes that were lost.
//!
//! No I/O and no clock: times are passed in and are those of the caller's monotonic clock.

use crate::api::Millis;

/// A change counts as known to the node this long after discovery had it and could be reached.
pub(crate) const CHANGE_KNOWN_AFTER_MS: Millis = 6_000.0;
/// The same delay after a new configuration has named another discovery service.
const CHANGE_KNOWN_AFTER_SWITCH_MS: Millis = 4_000.0;
/// Safety margin for delays between reading the clock and writing to a socket: scheduling, timers and
/// sockets.
const CLOCK_MARGIN_MS: Millis = 250.0;
/// A call that fails within this time means that discovery is down. One that fails later may have waited in
/// its queue for too long.
const PROMPT_FAILURE_MS: Millis = 1_000.0;
/// The same for a call of an established watch. Discovery holds such a call for 2 s, and drops calls from its
/// queue no sooner than that.
const WATCH_END_MS: Millis = 1_800.0;
/// A discovery that goes down, which ends its watches, is down for this long at least.
const MIN_OUTAGE_MS: Millis = 2_000.0;

/// The lease on the current list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// End of the time for which the list may be used, if no response was lost meanwhile.
    expires_at: Millis,
    /// When the first response began that did not arrive whole, since the last one that did.
    outdated_since: Option<Millis>,
    /// When discovery first showed that it is down, since the last whole response.
    down_since: Option<Millis>,
    duration: Millis,
    /// Time for which new connections may still be sent after a change counts as known, less the safety
    /// margin.
    grace: Millis,
}

/// What a failed call says of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Discovery is down: it informs no node of changes.
    Down,
    /// The watch ended while discovery held its call. Watches end when discovery goes down, but also with
    /// their connection.
    WatchEnded,
    /// There was no whole response, which may have any reason.
    Unanswered,
}

/// How discovery ended a call that it did not respond to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It refused the call as unavailable (503).
    Refused,
    /// The connection ended or was reset before the first byte, or another status came.
    Broken,
}

impl CallFailure {
    /// Classifies a call that ended after `waited_ms`. `is_watch`: it continued an established watch.
    pub fn of_call(end: CallEnd, waited_ms: Millis, is_watch: bool) -> Self {
        let queue_limit_ms = if is_watch { WATCH_END_MS } else { PROMPT_FAILURE_MS };
        match end {
            _ if waited_ms >= queue_limit_ms => CallFailure::Unanswered,
            CallEnd::Broken if is_watch => CallFailure::WatchEnded,
            CallEnd::Refused | CallEnd::Broken => CallFailure::Down,
        }
    }
}

impl Lease {
    /// Returns a lease that never expires, for a list that does not come from discovery.
    pub fn unlimited() -> Self {
        Lease {
            expires_at: Millis::INFINITY,
            outdated_since: None,
            down_since: None,
            duration: Millis::INFINITY,
            grace: Millis::INFINITY,
        }
    }

    /// Returns an expired lease. New connections may go to a member for at most `grace_ms` after a change
    /// that excludes it counts as known.
    pub fn none(grace_ms: Millis) -> Self {
        let grace = (grace_ms - CLOCK_MARGIN_MS).max(0.0);
        Lease {
            expires_at: Millis::NEG_INFINITY,
            outdated_since: None,
            down_since: None,
            duration: CHANGE_KNOWN_AFTER_MS + grace,
            grace,
        }
    }

    /// Renews the lease: a whole response has arrived, so the list was current at this time. It holds what
    /// earlier responses that were lost would have told.
    pub fn renew(&mut self, now: Millis) {
        self.outdated_since = None;
        self.down_since = None;
        self.extend(now);
    }

    /// Limits the lease to the grace after `began`, when a response began that is invalid or has stalled
    /// since. Its changes count as known from when they were written, whether they arrived or not.
    pub fn answer_invalid(&mut self, began: Millis) {
        let since = self.outdated_since.map_or(began, |since| since.min(began));
        self.outdated_since = Some(since);
    }

    /// Handles a failed call. The lease is renewed if discovery is down, as no further change counts as known
    /// meanwhile. Changes whose response was lost before do. A call without a response renews nothing by
    /// itself, since discovery may have too many callers; after a sign that it went down, the outage is taken
    /// to last for [`MIN_OUTAGE_MS`] at least.
    pub fn discovery_call_failed(&mut self, now: Millis, failure: CallFailure) {
        match failure {
            CallFailure::Down => {
                self.down_since.get_or_insert(now);
                self.extend(now);
            }
            CallFailure::WatchEnded => {
                self.down_since.get_or_insert(now);
            }
            CallFailure::Unanswered => {
                if let Some(since) = self.down_since {
                    self.extend(since + MIN_OUTAGE_MS);
                }
            }
        }
    }

    /// Extends the lease to the time at which a change made after `current_at` counts as known.
    fn extend(&mut self, current_at: Millis) {
        self.expires_at = self.expires_at.max(current_at + self.duration);
    }

    /// Shortens the lease after a switch to another discovery service, whose changes count as known sooner.
    pub fn discovery_changed(&mut self, now: Millis) {
        self.down_since = None;
        self.expires_at =
            self.expires_at.min(now + self.duration - CHANGE_KNOWN_AFTER_MS + CHANGE_KNOWN_AFTER_SWITCH_MS);
    }

    /// Returns whether new connections may be sent by the current list.
    pub fn is_valid(&self, now: Millis) -> bool {
        let is_outdated = self.outdated_since.is_some_and(|since| now >= since + self.grace);
        now < self.expires_at && !is_outdated
    }
}

#[cfg(test)]
mod tests;
