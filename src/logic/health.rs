//! Health of backends: what outcomes, notes, reports and probes tell, and pauses after failures.

use crate::api::*;
use crate::state::*;

/// A report counts for 1/e of a fresh one after this; a note on message delay is void after the second.
pub(super) const REPORT_DECAY_MS: Millis = 5_000.0;
pub(super) const DELAY_NOTE_VALID_MS: Millis = 2_500.0;
pub(super) const BUSY_LOAD: f64 = 0.85;
/// First pause after failed connects or lost connections (it doubles), and after a refusal or an error.
const FAILURE_PAUSE_MS: Millis = 1_000.0;
pub(super) const FULL_PAUSE_MS: Millis = 200.0;
/// Points of the result worth spending on probes, and most probes for a request where they cost nothing.
const PROBE_POINTS_PER_REQUEST: f64 = 0.005;
const MAX_PROBES_PER_REQUEST: f64 = 5.0;

impl Balancer {
    /// Notes come while messages take over a third of the shortest aim: that is load near or over capacity.
    pub(super) fn message_delay(&mut self, now: Millis, backend: BackendId, took_ms: Millis) {
        let late = took_ms / self.settings.shortest_message_aim();
        if let Some(record) = self.backends.get_mut(&backend).filter(|_| late.is_finite()) {
            record.strained |= late > 0.5;
            record.delay = (late > 1.0 / 3.0).then_some(((0.8 + late / 4.0).min(1.5), now));
        }
    }

    pub(super) fn record_outcome(&mut self, now: Millis, backend: BackendId, outcome: Outcome, stood: bool) {
        let jitter = 0.75 + draw(&mut self.rng) / 2.0;
        let Some(record) = self.backends.get_mut(&backend) else { return };
        use Outcome::{Error, Full, Reset, TimedOut};
        record.strained |= matches!(outcome, Full | Error | Reset | TimedOut);
        match outcome {
            Outcome::Ok => record.mark_answered(now),
            // One that times out takes work and answers nothing; a probe that is answered brings it back.
            Error | TimedOut => record.pause_after_failure(now, jitter),
            Outcome::Full => {
                record.avoid_until = record.avoid_until.max(now + FULL_PAUSE_MS * jitter);
            }
            Outcome::Unreachable => {
                record.connect_failures += 1;
                record.pause_after_failure(now, jitter)
            }
            Outcome::Reset if stood => {
                record.resets += 1;
                // Most of what it held broke at once: the process died, whatever the list still says.
                if record.resets >= 2 && record.resets >= record.open {
                    record.pause_after_failure(now, jitter);
                }
            }
            _ => {}
        }
    }

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
    /// Load over capacity as far as reports and notes tell, and how far that can still be believed.
    pub(super) fn load_estimate(&self, now: Millis) -> Option<(f64, f64)> {
        let note = self.delay_note(now);
        // What was placed or has ended since the report counts.
        let since = (f64::from(self.open) - f64::from(self.open_at_report)) * self.connection_load;
        let report =
            self.report.map(|(x0, at)| ((x0 + since).max(0.0), (-(now - at) / REPORT_DECAY_MS).exp()));
        match (note, report) {
            (Some(note), Some(report)) => Some((note.0.max(report.0), 1.0)),
            (note, report) => note.or(report),
        }
    }

    pub(super) fn delay_note(&self, now: Millis) -> Option<(f64, f64)> {
        self.delay.filter(|(_, at)| now - at < DELAY_NOTE_VALID_MS).map(|(load, _)| (load, 1.0))
    }

    pub(crate) fn usable(&self, now: Millis) -> bool {
        self.info.phase == Phase::Serving && (self.failures < 2 || now >= self.avoid_until)
    }

    fn pause_after_failure(&mut self, now: Millis, jitter: f64) {
        self.failures += 1;
        self.avoid_until = now + FAILURE_PAUSE_MS * jitter * f64::from(1u32 << (self.failures - 1).min(3));
    }

    /// It answers. After an absence it may be a new process that the list has not named yet: it is cold.
    pub(super) fn mark_answered(&mut self, now: Millis) {
        if self.connect_failures >= 3 {
            self.age.returned(now);
        }
        (self.failures, self.connect_failures) = (0, 0);
    }
}
