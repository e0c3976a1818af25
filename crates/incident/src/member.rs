//! What is the matter with a member, from what the nodes saw of it.
//!
//! Each state has its own evidence, so that troubles that overlap on one member are told apart:
//!
//! - *silent*: two attempts, probes or standing connections without an answer, and no answer between them. It begins
//!   when the first of them was sent, or at the last answer if that came later, and ends with the next answer.
//! - *dead*: two connections that broke, or two that could not be made, within a second and nothing between them,
//!   while the member is listed as serving.
//! - *refusing*: three attempts turned away or answered with errors within 10 s, and none served between them. It ends
//!   half-way between the last of them and the next that is served.
//! - *slow*: two words in a row that messages take longer than the class in the greatest hurry wants.
//! - *draining*, *gone*: as listed; the first node to say so counts.
//! - *cold*: from its start until a node holds it for warm.
//! - *avoided*: while a node sends it nothing new for its failures.

use crate::findings::{MemberState, Span};
use hopmoor_record::{Origin, Outcome, Phase};
use std::collections::{BTreeMap, BTreeSet};

/// A probe without an answer was sent about so long before.
const PROBE_MS: f64 = 1_000.0;
/// A connection without an answer was mute for so long.
const MUTE_MS: f64 = 4_500.0;
const BROKE_WITHIN_MS: f64 = 1_000.0;
const REFUSED_WITHIN_MS: f64 = 10_000.0;
/// A start told of later than this is not believed to the second.
const FRESH_MS: f64 = 60_000.0;
/// Most spans of a member that are kept; later ones only lengthen the last of their state.
const MOST_SPANS: usize = 10_000;

#[derive(Clone, Copy, Debug, Default)]
struct Doubt {
    since: f64,
    last: f64,
    count: u64,
}

impl Doubt {
    /// One more piece of evidence; older than `within` before this one is forgotten.
    fn add(&mut self, since: f64, at: f64, within: f64) -> u64 {
        if self.count == 0 || at - self.last > within {
            *self = Doubt { since, last: at, count: 0 };
        }
        self.since = self.since.min(since);
        self.last = at;
        self.count += 1;
        self.count
    }
}

/// One member as the nodes see it.
#[derive(Clone, Debug, Default)]
pub struct Track {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: u32,
    /// Attempts sent there that have ended.
    pub attempts: u64,
    /// Of which served.
    pub served: u64,
    spans: Vec<Span>,
    phase: Option<Phase>,
    born: Option<f64>,
    words: BTreeMap<Origin, Phase>,
    alive_at: f64,
    mute: Doubt,
    broke: Doubt,
    refused: Doubt,
    slow: Doubt,
    slow_sum: f64,
    /// Mean time of a message in each span of slowness, in their order.
    pub slowness: Vec<f64>,
    slow_word_at: f64,
    avoided_by: BTreeSet<Origin>,
    load_sum: f64,
    load_words: u64,
    load_most: f64,
    load_at: f64,
}

impl Track {
    /// Its spans, oldest first.
    pub fn spans(&self) -> &[Span] {
        &self.spans
    }

    /// Mean and greatest load that it reported.
    pub fn load(&self) -> Option<(f64, f64)> {
        (self.load_words > 0).then(|| (self.load_sum / self.load_words as f64, self.load_most))
    }

    /// Whether it is in a state now.
    pub fn is(&self, state: MemberState) -> bool {
        self.spans.iter().rev().any(|span| span.state == state && span.until.is_none())
    }

    fn open(&mut self, state: MemberState, from: f64, evidence: u64) {
        if let Some(open) =
            self.spans.iter_mut().rev().find(|span| span.state == state && span.until.is_none())
        {
            open.evidence = open.evidence.max(evidence);
            return;
        }
        if self.spans.len() >= MOST_SPANS
            && let Some(last) = self.spans.iter_mut().rev().find(|span| span.state == state)
        {
            last.until = None;
            return;
        }
        self.spans.push(Span { state, from, until: None, evidence });
    }

    fn close(&mut self, state: MemberState, at: f64) {
        if let Some(open) =
            self.spans.iter_mut().rev().find(|span| span.state == state && span.until.is_none())
        {
            open.until = Some(at.max(open.from));
        }
    }

    /// Its process is another from now on: what its predecessor did is over.
    fn fresh(&mut self, at: f64) {
        for state in [MemberState::Silent, MemberState::Dead, MemberState::Refusing, MemberState::Slow] {
            self.close(state, at);
        }
        (self.mute, self.broke, self.refused, self.slow) = Default::default();
        self.alive_at = at;
    }

    /// A node lists it.
    pub fn listed(&mut self, origin: Origin, at: f64, phase: Phase, born: Option<f64>, again: bool) {
        let heard = self.words.insert(origin, phase);
        if again && heard.is_some() {
            return;
        }
        let restarted =
            phase == Phase::Serving && born.is_some() && born != self.born && self.phase.is_some();
        let started = born.filter(|born| (at - born).abs() < FRESH_MS).unwrap_or(at);
        if restarted {
            // Another node's older word must not bring an older process back.
            if self.born.is_some_and(|known| born.is_some_and(|born| born < known)) {
                return;
            }
            self.born = born;
            self.fresh(started);
            for state in [MemberState::Draining, MemberState::Gone] {
                self.close(state, started);
            }
            self.phase = Some(phase);
            return;
        }
        if self.phase.is_none() {
            (self.phase, self.born) = (Some(phase), born);
            if phase == Phase::Draining {
                self.open(MemberState::Draining, at, 1);
            }
            return;
        }
        if Some(phase) == self.phase {
            return;
        }
        match phase {
            // A node that has just begun may go by an older list.
            Phase::Serving if heard.is_none() => return,
            Phase::Serving => {
                self.close(MemberState::Draining, at);
                self.close(MemberState::Gone, at);
            }
            Phase::Draining if self.phase == Some(Phase::Gone) => return,
            Phase::Draining => self.open(MemberState::Draining, at, 1),
            Phase::Gone => {
                self.fresh(at);
                self.close(MemberState::Draining, at);
                self.close(MemberState::Cold, at);
                self.open(MemberState::Gone, at, 1);
            }
        }
        self.phase = Some(phase);
    }

    /// A node's run is over: its words no longer count as heard.
    pub fn run_over(&mut self, origin: Origin, at: f64) {
        self.words.remove(&origin);
        self.avoided(origin, at, false);
    }

    /// It answered, whatever the answer.
    pub fn alive(&mut self, at: f64) {
        self.close(MemberState::Silent, at);
        self.close(MemberState::Dead, at);
        (self.mute, self.broke) = Default::default();
        self.alive_at = at;
    }

    /// It served an attempt.
    pub fn served(&mut self, at: f64) {
        self.alive(at);
        // When it took work again lies between the last refusal and this: the middle is nearest.
        self.close(MemberState::Refusing, (self.refused.last + at) / 2.0);
        self.refused = Doubt::default();
        self.attempts += 1;
        self.served += 1;
    }

    fn unanswered(&mut self, at: f64, sent: f64) {
        let since = sent.max(self.alive_at);
        let count = self.mute.add(since, at, f64::INFINITY);
        if count >= 2 && self.phase != Some(Phase::Gone) {
            let from = self.mute.since;
            self.open(MemberState::Silent, from, count);
        }
    }

    fn broke(&mut self, at: f64) {
        let count = self.broke.add(at, at, BROKE_WITHIN_MS);
        // The end of a drain breaks what is left: that is no surprise.
        if count >= 2 && self.phase == Some(Phase::Serving) {
            let from = self.broke.since;
            self.open(MemberState::Dead, from, count);
        }
    }

    /// An attempt or a connection has ended.
    pub fn flow(&mut self, at: f64, outcome: Outcome, stood: bool, took_ms: f64) {
        self.attempts += u64::from(!stood && outcome != Outcome::Ok);
        match (outcome, stood) {
            (Outcome::TimedOut, true) => self.unanswered(at, at - MUTE_MS.min(took_ms)),
            (Outcome::TimedOut, false) => self.unanswered(at, at - took_ms),
            (Outcome::Unreachable, _) | (Outcome::Reset, _) => self.broke(at),
            (Outcome::Full | Outcome::Error, _) => {
                self.alive(at);
                let count = self.refused.add(at, at, REFUSED_WITHIN_MS);
                if count >= 3 || self.is(MemberState::Refusing) {
                    let from = self.refused.since;
                    self.open(MemberState::Refusing, from, count);
                }
            }
            (Outcome::Ok, false) => self.alive(at),
            (Outcome::Ok | Outcome::Cancelled | Outcome::NotSent, _) => {}
        }
    }

    /// A probe has ended.
    pub fn probed(&mut self, at: f64, outcome: Outcome, load: Option<f64>) {
        match outcome {
            Outcome::TimedOut => self.unanswered(at, at - PROBE_MS),
            Outcome::Unreachable | Outcome::Reset => self.broke(at),
            Outcome::Ok | Outcome::Full | Outcome::Error => self.alive(at),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        if let Some(load) = load.filter(|load| load.is_finite() && at > self.load_at) {
            self.load_at = at;
            self.load_sum += load;
            self.load_words += 1;
            self.load_most = self.load_most.max(load);
        }
    }

    /// A message takes so long there; `aim_ms` is what the class in the greatest hurry wants.
    pub fn message(&mut self, at: f64, took_ms: f64, aim_ms: f64) {
        // A probe's word and what is made of it bear one time.
        if at <= self.slow_word_at || !took_ms.is_finite() {
            return;
        }
        self.slow_word_at = at;
        if took_ms <= aim_ms {
            self.close(MemberState::Slow, at);
            (self.slow, self.slow_sum) = Default::default();
            return;
        }
        let count = self.slow.add(at, at, f64::INFINITY);
        self.slow_sum += took_ms;
        if count >= 2 {
            let (from, mean) = (self.slow.since, self.slow_sum / count as f64);
            if !self.is(MemberState::Slow) {
                self.slowness.push(mean);
            }
            self.open(MemberState::Slow, from, count);
            if let Some(last) = self.slowness.last_mut() {
                *last = mean;
            }
        }
    }

    /// A node's view of it.
    pub fn viewed(&mut self, origin: Origin, at: f64, warmth: f64, avoided: bool) {
        self.avoided(origin, at, avoided);
        if warmth >= 0.99 {
            self.close(MemberState::Cold, at);
        } else if self.phase == Some(Phase::Serving)
            && let Some(born) = self.born.filter(|born| (at - born).abs() < FRESH_MS)
            && !self.spans.iter().any(|span| span.state == MemberState::Cold && span.from == born)
        {
            self.open(MemberState::Cold, born, 1);
        }
    }

    fn avoided(&mut self, origin: Origin, at: f64, avoided: bool) {
        if avoided {
            self.avoided_by.insert(origin);
            self.open(MemberState::Avoided, at, 1);
        } else if self.avoided_by.remove(&origin) && self.avoided_by.is_empty() {
            self.close(MemberState::Avoided, at);
        }
    }

    /// Nothing more is known of it after this.
    pub fn end(&mut self, last: f64) {
        // A span can't have begun after the last record.
        self.spans.retain(|span| span.from <= last);
        self.spans.sort_by(|a, b| a.from.total_cmp(&b.from));
    }
}

#[cfg(test)]
mod tests;
