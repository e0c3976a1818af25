//! Message delay: on sockets no line tells it, so it is measured from relayed lines and their replies and
//! told as the simulator tells it.

use crate::api::{BackendId, Millis};
use std::collections::BTreeMap;

/// A member is told of at most this often while its messages are slow.
const EVERY_MS: Millis = 1_000.0;

pub(super) struct Delays {
    told: bool,
    over: Millis,
    slow: BTreeMap<BackendId, Millis>,
}

impl Delays {
    pub(super) fn new(told: bool, shortest_aim: Millis) -> Self {
        Delays { told, over: shortest_aim / 3.0, slow: BTreeMap::new() }
    }

    /// Takes a measured delay and returns what the module should hear: once a second while over a third of
    /// the shortest aim, and once more when it is back under.
    pub(super) fn sample(&mut self, now: Millis, member: BackendId, took: Millis) -> Option<Millis> {
        if !self.told || !self.over.is_finite() {
            return None;
        }
        if took <= self.over {
            return self.slow.remove(&member).map(|_| took);
        }
        if self.slow.get(&member).is_some_and(|last| now - last < EVERY_MS) {
            return None;
        }
        self.slow.insert(member, now);
        Some(took)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn slow_messages_are_told_once_a_second_and_once_more_when_over() {
        let mut delays = Delays::new(true, 60.0);
        let m = BackendId(1);
        assert_eq!(delays.sample(0.0, m, 19.0), None);
        assert_eq!(delays.sample(10.0, m, 21.0), Some(21.0));
        assert_eq!(delays.sample(900.0, m, 30.0), None);
        assert_eq!(delays.sample(1_010.0, m, 30.0), Some(30.0));
        assert_eq!(delays.sample(1_020.0, m, 2.0), Some(2.0));
        assert_eq!(delays.sample(1_030.0, m, 2.0), None);
        assert_eq!(Delays::new(false, 60.0).sample(0.0, m, 500.0), None);
    }
}
