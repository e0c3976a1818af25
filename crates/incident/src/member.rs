//! States of a member, inferred from what the nodes observed.
//!
//! Each state has its own evidence, so that states that overlap on one member are kept apart:
//!
//! - *silent*: two attempts, probes or established connections timed out with no answer between them. Starts
//!   when the first of them was sent, or at the last answer if that came later, and ends with the next
//!   answer.
//! - *dead*: two connections broke or could not be made, at most a second apart and with no answer between
//!   them, while the member was listed as serving.
//! - *refusing*: three attempts were turned away or answered with errors, at most 10 s apart and none served
//!   between them. Ends half-way between the last refusal and the next attempt that is served.
//! - *slow*: two message times in a row exceeded the shortest message time target of all classes.
//! - *draining*, *gone*: the member list says so; the first node to record it counts.
//! - *cold*: from the start of the member's process until a node considers it warm.
//! - *avoided*: while any node sends it nothing new because of failures.

use crate::findings::{MemberState, Span};
use hopmoor_record::{Origin, Outcome, Phase};
use std::collections::{BTreeMap, BTreeSet};

/// Approximate time between sending a probe and recording that it timed out.
const PROBE_TIMEOUT_MS: f64 = 1_000.0;
/// How long an established connection is silent before it counts as timed out.
const SILENCE_DETECTION_MS: f64 = 4_500.0;
/// Broken connections further apart than this are unrelated.
const BROKEN_WINDOW_MS: f64 = 1_000.0;
/// Refused attempts further apart than this are unrelated.
const REFUSED_WINDOW_MS: f64 = 10_000.0;
/// A recorded start of a member's process is used only if it is less than this away from the record's time.
/// Otherwise a restart counts from the record's time, and no cold span is opened.
const MAX_START_AGE_MS: f64 = 60_000.0;
/// Maximum number of spans kept of a member; further ones extend the last span of the same state.
const MAX_SPANS: usize = 10_000;

/// Consecutive observations that point to the same state.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    /// Start of the state that the observations point to.
    since: f64,
    /// Time of the last observation.
    last: f64,
    count: u64,
}

impl Evidence {
    /// Adds an observation and returns the count. Starts anew if the last one is more than `window_ms` ago.
    fn add(&mut self, since: f64, at: f64, window_ms: f64) -> u64 {
        if self.count == 0 || at - self.last > window_ms {
            *self = Evidence { since, last: at, count: 0 };
        }
        self.since = self.since.min(since);
        self.last = at;
        self.count += 1;
        self.count
    }
}

/// History of a member as the nodes observed it.
#[derive(Clone, Debug, Default)]
pub struct MemberHistory {
    /// Name of the member.
    pub name: String,
    /// Zone of the member, as an index into the header's zones.
    pub zone: u32,
    /// Attempts sent to the member that have ended.
    pub attempts: u64,
    /// Attempts served.
    pub served: u64,
    spans: Vec<Span>,
    phase: Option<Phase>,
    /// Start of the member's current process.
    process_start: Option<f64>,
    /// Phase that each node recorded last.
    phase_by_node: BTreeMap<Origin, Phase>,
    /// Time of the last answer, or of the start of the current process.
    answered_at: f64,
    /// Timeouts since the last answer.
    timeouts: Evidence,
    /// Connections that broke or could not be made since the last answer.
    breaks: Evidence,
    /// Refusals since an attempt was last served.
    refusals: Evidence,
    /// Message times above the target since the last one within it.
    slow_reports: Evidence,
    slow_ms_sum: f64,
    /// Mean message time in each span of [`MemberState::Slow`], in the order of the spans.
    pub slow_span_means_ms: Vec<f64>,
    /// Time of the last message time report.
    message_time_at: f64,
    avoided_by: BTreeSet<Origin>,
    load_sum: f64,
    load_reports: u64,
    max_load: f64,
    load_reported_at: f64,
}

impl MemberHistory {
    /// Spans of the member's states, oldest first.
    pub fn spans(&self) -> &[Span] {
        &self.spans
    }

    /// Mean and maximum of the reported load.
    pub fn load(&self) -> Option<(f64, f64)> {
        (self.load_reports > 0).then(|| (self.load_sum / self.load_reports as f64, self.max_load))
    }

    /// Whether the member is in a state at present.
    pub fn is_in(&self, state: MemberState) -> bool {
        self.spans.iter().rev().any(|span| span.state == state && span.until.is_none())
    }

    /// Opens a span, or raises the evidence of the one that is open already.
    fn open(&mut self, state: MemberState, from: f64, evidence: u64) {
        if let Some(open) =
            self.spans.iter_mut().rev().find(|span| span.state == state && span.until.is_none())
        {
            open.evidence = open.evidence.max(evidence);
            return;
        }
        if self.spans.len() >= MAX_SPANS
            && let Some(last) = self.spans.iter_mut().rev().find(|span| span.state == state)
        {
            last.until = None;
            return;
        }
        self.spans.push(Span { state, from, until: None, evidence });
    }

    /// Closes the open span of a state, if there is one.
    fn close(&mut self, state: MemberState, at: f64) {
        if let Some(open) =
            self.spans.iter_mut().rev().find(|span| span.state == state && span.until.is_none())
        {
            open.until = Some(at.max(open.from));
        }
    }

    /// A new process has replaced the member's old one, or the member is gone: closes the states of the old
    /// process.
    fn process_replaced(&mut self, at: f64) {
        for state in [MemberState::Silent, MemberState::Dead, MemberState::Refusing, MemberState::Slow] {
            self.close(state, at);
        }
        (self.timeouts, self.breaks, self.refusals, self.slow_reports) = Default::default();
        self.answered_at = at;
    }

    /// A node recorded the member's phase in the member list.
    ///
    /// `process_start` is the start of its process; `repeated` marks a record repeated at the head of a
    /// segment.
    pub fn listed(
        &mut self,
        origin: Origin,
        at: f64,
        phase: Phase,
        process_start: Option<f64>,
        repeated: bool,
    ) {
        let known_phase = self.phase_by_node.insert(origin, phase);
        if repeated && known_phase.is_some() {
            return;
        }
        let restarted = phase == Phase::Serving
            && process_start.is_some()
            && process_start != self.process_start
            && self.phase.is_some();
        let started = process_start.filter(|start| (at - start).abs() < MAX_START_AGE_MS).unwrap_or(at);
        if restarted {
            // A record of a node with older information must not bring back an older process.
            if self.process_start.is_some_and(|known| process_start.is_some_and(|start| start < known)) {
                return;
            }
            self.process_start = process_start;
            self.process_replaced(started);
            for state in [MemberState::Draining, MemberState::Gone] {
                self.close(state, started);
            }
            self.phase = Some(phase);
            return;
        }
        if self.phase.is_none() {
            (self.phase, self.process_start) = (Some(phase), process_start);
            if phase == Phase::Draining {
                self.open(MemberState::Draining, at, 1);
            }
            return;
        }
        if Some(phase) == self.phase {
            return;
        }
        match phase {
            // A node that has just started may still use an older member list.
            Phase::Serving if known_phase.is_none() => return,
            Phase::Serving => {
                self.close(MemberState::Draining, at);
                self.close(MemberState::Gone, at);
            }
            Phase::Draining if self.phase == Some(Phase::Gone) => return,
            Phase::Draining => self.open(MemberState::Draining, at, 1),
            Phase::Gone => {
                self.process_replaced(at);
                self.close(MemberState::Draining, at);
                self.close(MemberState::Cold, at);
                self.open(MemberState::Gone, at, 1);
            }
        }
        self.phase = Some(phase);
    }

    /// A node's run is over: drops its recorded phase and its avoidance of the member.
    pub fn run_ended(&mut self, origin: Origin, at: f64) {
        self.phase_by_node.remove(&origin);
        self.set_avoided(origin, at, false);
    }

    /// The member answered, whatever the answer.
    pub fn answered(&mut self, at: f64) {
        self.close(MemberState::Silent, at);
        self.close(MemberState::Dead, at);
        (self.timeouts, self.breaks) = Default::default();
        self.answered_at = at;
    }

    /// The member served an attempt.
    pub fn served(&mut self, at: f64) {
        self.answered(at);
        // The member recovered at some time between the last refusal and this answer: the middle is the best
        // estimate.
        self.close(MemberState::Refusing, (self.refusals.last + at) / 2.0);
        self.refusals = Evidence::default();
        self.attempts += 1;
        self.served += 1;
    }

    /// An attempt, probe or connection timed out; `sent` is when its answer was first awaited.
    fn no_answer(&mut self, at: f64, sent: f64) {
        let since = sent.max(self.answered_at);
        let count = self.timeouts.add(since, at, f64::INFINITY);
        if count >= 2 && self.phase != Some(Phase::Gone) {
            let from = self.timeouts.since;
            self.open(MemberState::Silent, from, count);
        }
    }

    /// A connection broke or could not be made.
    fn connection_broke(&mut self, at: f64) {
        let count = self.breaks.add(at, at, BROKEN_WINDOW_MS);
        // At the end of a drain the remaining connections break, which is no sign of a failure.
        if count >= 2 && self.phase == Some(Phase::Serving) {
            let from = self.breaks.since;
            self.open(MemberState::Dead, from, count);
        }
    }

    /// An attempt or, if `connected`, an established connection has ended.
    pub fn flow_ended(&mut self, at: f64, outcome: Outcome, connected: bool, took_ms: f64) {
        self.attempts += u64::from(!connected && outcome != Outcome::Ok);
        match (outcome, connected) {
            (Outcome::TimedOut, true) => self.no_answer(at, at - SILENCE_DETECTION_MS.min(took_ms)),
            (Outcome::TimedOut, false) => self.no_answer(at, at - took_ms),
            (Outcome::Unreachable, _) | (Outcome::Reset, _) => self.connection_broke(at),
            (Outcome::Full | Outcome::Error, _) => {
                self.answered(at);
                let count = self.refusals.add(at, at, REFUSED_WINDOW_MS);
                if count >= 3 || self.is_in(MemberState::Refusing) {
                    let from = self.refusals.since;
                    self.open(MemberState::Refusing, from, count);
                }
            }
            (Outcome::Ok, false) => self.answered(at),
            (Outcome::Ok | Outcome::Cancelled | Outcome::NotSent, _) => {}
        }
    }

    /// A probe has ended, with the load that the member reported.
    pub fn probe_ended(&mut self, at: f64, outcome: Outcome, load: Option<f64>) {
        match outcome {
            Outcome::TimedOut => self.no_answer(at, at - PROBE_TIMEOUT_MS),
            Outcome::Unreachable | Outcome::Reset => self.connection_broke(at),
            Outcome::Ok | Outcome::Full | Outcome::Error => self.answered(at),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        if let Some(load) = load.filter(|load| load.is_finite() && at > self.load_reported_at) {
            self.load_reported_at = at;
            self.load_sum += load;
            self.load_reports += 1;
            self.max_load = self.max_load.max(load);
        }
    }

    /// A message at the member takes `took_ms`; `target_ms` is the shortest message time target of all
    /// classes.
    pub fn message_time(&mut self, at: f64, took_ms: f64, target_ms: f64) {
        // A probe's report and the delay record derived from it have the same time and must count once.
        if at <= self.message_time_at || !took_ms.is_finite() {
            return;
        }
        self.message_time_at = at;
        if took_ms <= target_ms {
            self.close(MemberState::Slow, at);
            (self.slow_reports, self.slow_ms_sum) = Default::default();
            return;
        }
        let count = self.slow_reports.add(at, at, f64::INFINITY);
        self.slow_ms_sum += took_ms;
        if count >= 2 {
            let (from, mean) = (self.slow_reports.since, self.slow_ms_sum / count as f64);
            if !self.is_in(MemberState::Slow) {
                self.slow_span_means_ms.push(mean);
            }
            self.open(MemberState::Slow, from, count);
            if let Some(last) = self.slow_span_means_ms.last_mut() {
                *last = mean;
            }
        }
    }

    /// A node recorded its view of the member: the part warmed up, and whether the node avoids it.
    pub fn viewed(&mut self, origin: Origin, at: f64, warmth: f64, avoided: bool) {
        self.set_avoided(origin, at, avoided);
        if warmth >= 0.99 {
            self.close(MemberState::Cold, at);
        } else if self.phase == Some(Phase::Serving)
            && let Some(process_start) =
                self.process_start.filter(|start| (at - start).abs() < MAX_START_AGE_MS)
            && !self.spans.iter().any(|span| span.state == MemberState::Cold && span.from == process_start)
        {
            self.open(MemberState::Cold, process_start, 1);
        }
    }

    fn set_avoided(&mut self, origin: Origin, at: f64, avoided: bool) {
        if avoided {
            self.avoided_by.insert(origin);
            self.open(MemberState::Avoided, at, 1);
        } else if self.avoided_by.remove(&origin) && self.avoided_by.is_empty() {
            self.close(MemberState::Avoided, at);
        }
    }

    /// Finishes the history at the last record.
    pub fn finish(&mut self, last: f64) {
        // Drops spans that would start after the last record.
        self.spans.retain(|span| span.from <= last);
        self.spans.sort_by(|a, b| a.from.total_cmp(&b.from));
    }
}

#[cfg(test)]
mod tests;
