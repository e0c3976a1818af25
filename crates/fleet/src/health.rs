//! Whether a node may trust what it sees (Lifeguard, section IV): one that was starved or stopped, or whose probes fail
//! and whose suspicions turn out false, doubts itself first and gives the others more time.

use crate::identity::Millis;

/// Doubts, at most. With four a suspect has five times as long, 5.5 s.
const MOST: u32 = 4;
/// A timer this late means that the node itself stood still: usual scheduling is far below.
pub(crate) const STALL_MS: Millis = 50;

/// A node's doubts in itself.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    health_score: u32,
}

impl Health {
    pub(crate) fn health_score(self) -> u32 {
        self.health_score
    }

    /// A span, stretched by the doubts.
    pub(crate) fn stretched(self, span: Millis) -> Millis {
        span * Millis::from(1 + self.health_score)
    }

    /// It stood still, a probe found nobody, or somebody that it suspected is alive.
    pub(crate) fn doubt(&mut self) {
        self.health_score = (self.health_score + 1).min(MOST);
    }

    /// A probe was answered.
    pub(crate) fn trust(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }
}
