//! Message delay at members: decides which delays the decision module is told of.
//!
//! The socket protocols have no message that states the delay, unlike the simulator. The node measures it
//! from relayed lines and their replies, takes what members report when probed, and notifies the module by
//! the simulator's rules.

use crate::api::{BackendId, Millis};
use std::collections::BTreeMap;

/// Minimum interval between two notifications about a slow member.
const NOTIFY_INTERVAL_MS: Millis = 1_000.0;
/// Lifetime of a member's report, unless a newer one replaces it.
const REPORT_TTL_MS: Millis = 5_000.0;

/// Message delays of all members, and which of them the decision module was told of.
pub(super) struct MessageDelays {
    enabled: bool,
    threshold_ms: Millis,
    members: BTreeMap<BackendId, Member>,
}

#[derive(Clone, Copy, Default)]
struct Member {
    /// Time of the last notification that messages are slow; `None` while they are not.
    last_notified: Option<Millis>,
    /// The delay that the member last reported, and the time of the report.
    reported: Option<(Millis, Millis)>,
}

impl MessageDelays {
    pub(super) fn new(enabled: bool, shortest_aim: Millis) -> Self {
        MessageDelays { enabled, threshold_ms: shortest_aim / 3.0, members: BTreeMap::new() }
    }

    /// Whether the module is notified of delays at all.
    pub(super) fn is_enabled(&self) -> bool {
        self.enabled && self.threshold_ms.is_finite()
    }

    /// Drops members that are no longer listed.
    pub(super) fn keep(&mut self, listed: impl Fn(BackendId) -> bool) {
        self.members.retain(|member, _| listed(*member));
    }

    /// Message delay that the member last reported.
    pub(super) fn last_reported(&self, member: BackendId) -> Option<Millis> {
        Some(self.members.get(&member)?.reported?.0)
    }

    /// Whether to probe the member again: every second while its reported delay exceeds half the threshold,
    /// else every other second. A probe costs the member the same whether it is loaded or not.
    pub(super) fn probe_due(&self, now: Millis, member: BackendId) -> bool {
        let reported = self.members.get(&member).and_then(|known| known.reported);
        reported.is_none_or(|(took_ms, at)| {
            let interval_ms =
                if took_ms > self.threshold_ms / 2.0 { NOTIFY_INTERVAL_MS } else { 2.0 * NOTIFY_INTERVAL_MS };
            now - at > interval_ms - NOTIFY_INTERVAL_MS / 4.0
        })
    }

    /// Records a delay reported by the member and returns the delay to notify the module of, if any.
    pub(super) fn reported(&mut self, now: Millis, member: BackendId, took_ms: Millis) -> Option<Millis> {
        self.members.entry(member).or_default().reported = Some((took_ms, now));
        self.notify(now, member, took_ms)
    }

    /// Records the time that a relayed line's reply took and returns the delay to notify the module of, if
    /// any.
    ///
    /// The longer of this time and a recent report counts, because a member may answer lines at once while
    /// its work is late: a member at 1.38 times its capacity answered lines in 0.05 ms and reported 183 ms.
    pub(super) fn measured(&mut self, now: Millis, member: BackendId, took_ms: Millis) -> Option<Millis> {
        let reported = self.members.get(&member).and_then(|known| known.reported);
        let reported = reported.filter(|(_, at)| now - at < REPORT_TTL_MS);
        self.notify(now, member, reported.map_or(took_ms, |(reported, _)| took_ms.max(reported)))
    }

    /// Returns delays above the threshold (a third of the shortest message target) at most once per interval,
    /// and the first delay that is no longer above it.
    fn notify(&mut self, now: Millis, member: BackendId, took_ms: Millis) -> Option<Millis> {
        if !self.is_enabled() || !took_ms.is_finite() {
            return None;
        }
        let known = self.members.entry(member).or_default();
        if took_ms <= self.threshold_ms {
            return known.last_notified.take().map(|_| took_ms);
        }
        if known.last_notified.is_some_and(|last| now - last < NOTIFY_INTERVAL_MS) {
            return None;
        }
        known.last_notified = Some(now);
        Some(took_ms)
    }
}

#[cfg(test)]
mod tests;
