//! The node's local health (Lifeguard, section IV). A node that was starved or stopped, whose probes fail or
//! whose suspicions turn out false assumes first that the fault is its own, and gives the others more time.

use crate::identity::Millis;

/// Upper bound of the health score. At 4 timeouts are five times as long: 5.5 s from suspicion to death.
const MAX_SCORE: u32 = 4;
/// A timer that fires later than this means that the process itself was stalled; ordinary scheduling delays
/// are far below.
pub(crate) const STALL_MS: Millis = 50;

/// The local health score: 0 is healthy, higher means less trust in this node's own observations.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    score: u32,
}

impl Health {
    pub(crate) fn score(self) -> u32 {
        self.score
    }

    /// Stretches a timeout in proportion to the score.
    pub(crate) fn scale(self, timeout: Millis) -> Millis {
        timeout * Millis::from(1 + self.score)
    }

    /// Raises the score: this node was stalled, a probe got no answer, or a node that it suspected proved
    /// alive.
    pub(crate) fn worsen(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Lowers the score: a probe was answered.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }
}
