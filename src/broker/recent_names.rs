//! The client-chosen names of requests that have run, or may still run, and must not be repeated.
//!
//! A client names each request anew. A name that comes again after its transaction has ended would run a
//! request a second time, so it is remembered for longer than any effect of the first one may take.

use crate::api::Millis;
use crate::pool::name_hash;
use std::collections::{BTreeSet, VecDeque};

/// How long a name is remembered.
const REMEMBERED_MS: Millis = 600_000.0;
/// Most names that are remembered; the oldest are dropped first.
const MAX_NAMES: usize = 16_384;

/// Hashes of the names, with the time at which each is forgotten.
#[derive(Default)]
pub(super) struct RecentNames {
    oldest_first: VecDeque<(Millis, u64)>,
    hashes: BTreeSet<u64>,
}

impl RecentNames {
    /// Remembers the name of a request that may have run.
    pub(super) fn remember(&mut self, now: Millis, name: &str) {
        self.expire(now);
        let hash = name_hash(name);
        if !self.hashes.insert(hash) {
            return;
        }
        self.oldest_first.push_back((now + REMEMBERED_MS, hash));
        if self.oldest_first.len() > MAX_NAMES {
            self.drop_oldest();
        }
    }

    /// Whether a request with this name may have run.
    pub(super) fn contains(&mut self, now: Millis, name: &str) -> bool {
        self.expire(now);
        self.hashes.contains(&name_hash(name))
    }

    fn expire(&mut self, now: Millis) {
        while self.oldest_first.front().is_some_and(|(until, _)| *until <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, hash)) = self.oldest_first.pop_front() {
            self.hashes.remove(&hash);
        }
    }
}

#[cfg(test)]
mod tests;
