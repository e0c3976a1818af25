//! Backend health and load, from outcomes, message delays, load reports and probes; pauses after failures.

use crate::api::*;
use crate::state::*;

/// After this time a load report counts 1/e of a fresh one.
pub(super) const REPORT_DECAY_MS: Millis = 5_000.0;
/// A message delay is ignored after this time.
pub(super) const DELAY_NOTE_VALID_MS: Millis = 2_500.0;
/// Load over capacity from which a backend counts as in trouble and is not preferred.
pub(super) const BUSY_LOAD: f64 = 0.85;
/// First pause of a backend after a failed connect, an error, a timeout or lost connections. It doubles with
/// each further failure, up to eight times this value.
const FAILURE_PAUSE_MS: Millis = 1_000.0;
/// Pause after a refusal because the backend is full.
pub(super) const FULL_PAUSE_MS: Millis = 200.0;
/// Points of the result that probes may cost, per request placed.
const PROBE_POINTS_PER_REQUEST: f64 = 0.005;
/// Maximum number of probes per request placed, where probes cost nothing or very little.
const MAX_PROBES_PER_REQUEST: f64 = 5.0;

impl Balancer {
    /// Notes the message delay at a backend.
    ///
    /// Delay events come while messages take longer than a third of the shortest message target, which means
    /// load near or over capacity. A delay over half of that target counts as trouble.
    pub(super) fn message_delay(&mut self, now: Millis, backend: BackendId, took_ms: Millis) {
        let late = took_ms / self.settings.shortest_message_aim();
        if let Some(record) = self.backends.get_mut(&backend).filter(|_| late.is_finite()) {
            record.strained |= late > 0.5;
            record.delay = (late > 1.0 / 3.0).then_some(((0.8 + late / 4.0).min(1.5), now));
        }
    }

    /// Updates a backend's health after an attempt, a connection (`was_open`: it was established) or a probe.
    pub(super) fn record_outcome(
        &mut self,
        now: Millis,
        backend: BackendId,
        outcome: Outcome,
        was_open: bool,
    ) {
        let jitter = 0.75 + draw(&mut self.rng) / 2.0;
        let Some(record) = self.backends.get_mut(&backend) else { return };
        use Outcome::{Error, Full, Reset, TimedOut};
        record.strained |= matches!(outcome, Full | Error | Reset | TimedOut);
        match outcome {
            Outcome::Ok => record.mark_answered(now),
            // A backend that times out accepts work without answering. An answered probe ends the pause.
            Error | TimedOut => record.pause_after_failure(now, jitter),
            Outcome::Full => {
                record.avoid_until = record.avoid_until.max(now + FULL_PAUSE_MS * jitter);
            }
            Outcome::Unreachable => {
                record.connect_failures += 1;
                record.pause_after_failure(now, jitter)
            }
            Outcome::Reset if was_open => {
                record.resets += 1;
                // Most of its connections broke at once: the process died, even if it is still listed.
                if record.resets >= 2 && record.resets >= record.open {
                    record.pause_after_failure(now, jitter);
                }
            }
            _ => {}
        }
    }

    /// Probes the next serving backend and sets the timer for the probe after it, at a rate bounded by cost.
    pub(super) fn probe(&mut self, now: Millis, out: &mut Actions) {
        if let Some(backend) = self.serving_after(self.last_probed) {
            self.last_probed = backend;
            out.push(Action::Probe { backend });
        }
        let price = self.settings.probe_price.max(PROBE_POINTS_PER_REQUEST / MAX_PROBES_PER_REQUEST);
        let rate = (self.place_rate * PROBE_POINTS_PER_REQUEST / price).clamp(0.000_2, 0.2);
        out.push(Action::SetTimer { at: now + (0.5 + draw(&mut self.rng)) / rate, id: TimerId(TIMER_PROBE) });
    }
}

impl BackendRecord {
    /// Returns the load over capacity estimated from reports and message delays, and a confidence of 0 to 1.
    pub(super) fn load_estimate(&self, now: Millis) -> Option<(f64, f64)> {
        let note = self.delay_note(now);
        // Adds connections placed since the report and subtracts those that have ended.
        let since = (f64::from(self.open) - f64::from(self.open_at_report)) * self.connection_load;
        let report =
            self.report.map(|(x0, at)| ((x0 + since).max(0.0), (-(now - at) / REPORT_DECAY_MS).exp()));
        match (note, report) {
            (Some(note), Some(report)) => Some((note.0.max(report.0), 1.0)),
            (note, report) => note.or(report),
        }
    }

    /// Returns the load inferred from message delay, with full confidence, while it is recent.
    pub(super) fn delay_note(&self, now: Millis) -> Option<(f64, f64)> {
        self.delay.filter(|(_, at)| now - at < DELAY_NOTE_VALID_MS).map(|(load, _)| (load, 1.0))
    }

    /// Returns whether the backend serves and is not paused after repeated failures.
    pub(crate) fn usable(&self, now: Millis) -> bool {
        self.info.phase == Phase::Serving && (self.failures < 2 || now >= self.avoid_until)
    }

    fn pause_after_failure(&mut self, now: Millis, jitter: f64) {
        self.failures += 1;
        self.avoid_until = now + FAILURE_PAUSE_MS * jitter * f64::from(1u32 << (self.failures - 1).min(3));
    }

    /// Clears the failures of a backend that has answered.
    ///
    /// After three failed connects it may be a new process that is not listed yet, so it counts as cold.
    pub(super) fn mark_answered(&mut self, now: Millis) {
        if self.connect_failures >= 3 {
            self.age.returned(now);
        }
        (self.failures, self.connect_failures) = (0, 0);
    }
}
