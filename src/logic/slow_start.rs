//! Slow start: what a backend that has just started may be sent.

use crate::api::*;
use crate::state::*;

impl Server {
    /// Whether a cold backend may be sent a request: by its place, or by turn.
    pub(super) fn gate(
        &self,
        now: Millis,
        settings: &Settings,
        allowed: f64,
        by_place: bool,
        drawn: u64,
    ) -> bool {
        let warmth = warmth_at(now - self.cold_from, settings);
        let part = allowed * warmth * if by_place { 1.0 } else { self.size() };
        warmth >= 1.0 || unit(drawn) < part && (by_place || now >= self.gate_ends)
    }
}

/// Part of its capacity that a backend has at the slowest warm-up allowed.
pub(super) fn warmth_at(age: Millis, settings: &Settings) -> f64 {
    let least = settings.start_capacity.clamp(0.01, 1.0);
    (least + (1.0 - least) * age.max(0.0) / settings.cold_ms.max(1.0)).min(1.0)
}
