//! Message delay: on sockets no line tells it. It is measured from relayed lines and their replies, and taken
//! from what members report when probed, and told as the simulator tells it.

use crate::api::{BackendId, Millis};
use std::collections::BTreeMap;

/// A member is told of at most this often while its messages are slow.
const EVERY_MS: Millis = 1_000.0;
/// What a member reported stands for this long, unless it reports anew.
const REPORT_LASTS_MS: Millis = 5_000.0;

pub(super) struct Delays {
    told: bool,
    over: Millis,
    members: BTreeMap<BackendId, Member>,
}

#[derive(Clone, Copy, Default)]
struct Member {
    /// When the module was last told that messages are slow; none if they are not.
    slow: Option<Millis>,
    reported: Option<(Millis, Millis)>,
}

impl Delays {
    pub(super) fn new(told: bool, shortest_aim: Millis) -> Self {
        Delays { told, over: shortest_aim / 3.0, members: BTreeMap::new() }
    }

    /// Whether the module is told of delays at all.
    pub(super) fn wanted(&self) -> bool {
        self.told && self.over.is_finite()
    }

    /// Forgets members that are listed no more.
    pub(super) fn keep(&mut self, listed: impl Fn(BackendId) -> bool) {
        self.members.retain(|member, _| listed(*member));
    }

    /// How long a message takes there, as the member reported last.
    pub(super) fn last(&self, member: BackendId) -> Option<Millis> {
        Some(self.members.get(&member)?.reported?.0)
    }

    /// Whether a member should be asked again: each second while its messages take long enough to matter, else
    /// every other second. Probes cost their price at every member, loaded or not.
    pub(super) fn asks(&self, now: Millis, member: BackendId) -> bool {
        let reported = self.members.get(&member).and_then(|known| known.reported);
        reported.is_none_or(|(took, at)| {
            let every = if took > self.over / 2.0 { EVERY_MS } else { 2.0 * EVERY_MS };
            now - at > every - EVERY_MS / 4.0
        })
    }

    /// Takes a member's own word and returns what the module should hear.
    pub(super) fn reported(&mut self, now: Millis, member: BackendId, took: Millis) -> Option<Millis> {
        self.members.entry(member).or_default().reported = Some((took, now));
        self.tell(now, member, took)
    }

    /// Takes the time that a relayed line's reply took and returns what the module should hear. A member may
    /// answer a line at once however late its work is (seen on a member at 1.38 times its capacity: 0.05 ms
    /// by its lines, 183 ms by its report), so the longer of the two counts.
    pub(super) fn measured(&mut self, now: Millis, member: BackendId, took: Millis) -> Option<Millis> {
        let reported = self.members.get(&member).and_then(|known| known.reported);
        let reported = reported.filter(|(_, at)| now - at < REPORT_LASTS_MS);
        self.tell(now, member, reported.map_or(took, |(reported, _)| took.max(reported)))
    }

    /// Told are delays over a third of the shortest aim, once a second, and once more when back under it.
    fn tell(&mut self, now: Millis, member: BackendId, took: Millis) -> Option<Millis> {
        if !self.wanted() || !took.is_finite() {
            return None;
        }
        let known = self.members.entry(member).or_default();
        if took <= self.over {
            return known.slow.take().map(|_| took);
        }
        if known.slow.is_some_and(|last| now - last < EVERY_MS) {
            return None;
        }
        known.slow = Some(now);
        Some(took)
    }
}

#[cfg(test)]
mod tests;
