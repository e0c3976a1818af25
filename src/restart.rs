//! When a part of the node that has panicked is started again, and when it counts as failing for good.
//!
//! A restart keeps the clients connected, which an exit would cut off, and leaves the timers that a drain
//! needs. It may panic again at once, so restarts are spaced out, and a part that keeps failing makes the
//! node unready: the front then sends its clients elsewhere. No I/O and no clock: times are passed in.

use crate::api::Millis;
use std::collections::VecDeque;

/// Failures within this time count together.
pub const FAILURE_WINDOW_MS: Millis = 10_000.0;
/// Number of failures within [`FAILURE_WINDOW_MS`] from which a part keeps failing.
const MAX_FAILURES: usize = 3;
/// Delay before each restart but the first within [`FAILURE_WINDOW_MS`].
const RESTART_DELAY_MS: Millis = 100.0;

/// How to go on after a failure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Restart {
    /// Delay before the part is started again, in milliseconds.
    pub delay_ms: Millis,
    /// Whether the part keeps failing, so that the node should take no new clients.
    pub keeps_failing: bool,
}

/// The recent failures of one part.
#[derive(Debug, Default)]
pub struct FailureHistory {
    recent: VecDeque<Millis>,
}

impl FailureHistory {
    /// Records a failure and returns how to go on.
    pub fn failed(&mut self, now: Millis) -> Restart {
        while self.recent.front().is_some_and(|at| now - at >= FAILURE_WINDOW_MS) {
            self.recent.pop_front();
        }
        if self.recent.len() == MAX_FAILURES {
            self.recent.pop_front();
        }
        let delay_ms = if self.recent.is_empty() { 0.0 } else { RESTART_DELAY_MS };
        self.recent.push_back(now);
        Restart { delay_ms, keeps_failing: self.recent.len() >= MAX_FAILURES }
    }
}

#[cfg(test)]
mod tests;
