//! The node's monotonic clock.

use crate::api::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest time after the start that a timer can be set to; a later one, or none at all, counts as this.
const MAX_TIMER_SECONDS: f64 = 1e9;

/// Monotonic clock in Unix milliseconds: the Unix time of the process's start plus the time elapsed since.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    base: Millis,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), base: unix.as_secs_f64() * 1_000.0 }
    }

    /// The incarnation, which tells a node's successive processes apart: Unix milliseconds at the process's
    /// start.
    pub fn incarnation(&self) -> u64 {
        self.base as u64
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Millis {
        self.base + self.started.elapsed().as_secs_f64() * 1_000.0
    }

    /// Returns the time since the process started, in milliseconds.
    pub(super) fn uptime_ms(&self) -> Millis {
        self.now() - self.base
    }

    /// Returns the instant of a time of the broker. A time that is not a number counts as past, so that
    /// whoever set it looks again.
    pub(super) fn instant(&self, at: Millis) -> tokio::time::Instant {
        let after = (at - self.base) / 1_000.0;
        let after = if after.is_nan() { 0.0 } else { after.clamp(0.0, MAX_TIMER_SECONDS) };
        (self.started + Duration::from_secs_f64(after)).into()
    }
}
