//! Slow start: what a backend that has just started may be sent.
//!
//! A backend in slow start falls over when all nodes together send it more than the settings allow it in a span: the overload
//! factor times what it can do at the slowest warm-up. Nodes don't talk, so each keeps the sum by keeping to its own part:
//!
//! * A backend's allowance in a span is `overload factor x warmth x its part of the listed weight x stated rate x span`, and a
//!   node's part of that is one over the number of nodes; [`PART`] of it is used. Nodes prefer their own zone, so the allowance of
//!   a backend is shared by the nodes of its zone.
//! * A node earns its part by time that passes, not by requests that come: each request brings the time since the one before, at
//!   most [`REST`] of a span, and none from before the backend's start. However many come, and however suddenly, what a span brings is bounded.
//! * One request has one chance, at the one backend it would be sent to if all were warm. Without this, a request turned away at
//!   one cold backend is drawn for at the next, and a zone that is all cold gets all that comes.
//! * How often requests of this node prefer that backend is learned from the last [`KEYS`] of them: a large group's place, or the
//!   only backend left in a zone, is preferred often, and each of those requests has the smaller chance.
//!
//! Ages are counted without the wall clock: see [`Age`].

use crate::api::*;
use crate::state::*;
use std::collections::VecDeque;

/// A node's part of the allowance, over one of as many: rests, nodes with little to send and places without requests leave parts unused.
/// The largest at which tests/ramp.rs and tests/fleet.rs hold.
const PART: f64 = 1.2;
/// Part of a span that one request may bring when none has come for long.
const REST: f64 = 0.3;
/// Requests from which it is learned what is preferred how often.
const KEYS: usize = 64;
/// What is taken for granted before any has come, in requests: that a backend is preferred by its size.
const PRIOR_KEYS: f64 = 16.0;
/// What the request at hand counts among them. It prefers the backend, or would not be asked about: counted whole it makes a
/// backend that is seldom preferred look ten times as sought after, not counted a large group's place looks like any other.
const OWN: f64 = 0.25;
/// Where the settings tell no rate, a span brings so many requests at least: one is at hand.
const LEAST_SENDS: f64 = 2.0;

/// What slow start remembers of the requests that came.
#[derive(Default)]
pub struct SlowStart {
    /// What the last requests are about, the newest last.
    keys: VecDeque<u64>,
    /// When the last chance was taken.
    last: Option<Millis>,
    /// Time that the request at hand brings.
    earned: Millis,
    /// The largest weight that was listed as serving: the stated rate is for all of it.
    listed_weight: f64,
}

impl SlowStart {
    /// Notes what a request that has just come is about.
    pub(crate) fn came(&mut self, key: u64) {
        if self.keys.len() == KEYS {
            self.keys.pop_front();
        }
        self.keys.push_back(key);
    }

    /// Notes the weight that is listed as serving.
    pub(crate) fn listed(&mut self, weight: f64) {
        self.listed_weight = self.listed_weight.max(weight);
    }

    /// Begins a choice: the time since the one before is what this one brings.
    pub(super) fn begin_choice(&mut self, now: Millis, span: Millis) {
        let most = span * REST;
        self.earned = self.last.map_or(most, |last| (now - last).clamp(0.0, most));
        self.last = Some(now);
    }
}

impl Balancer {
    /// The chance of the request at hand to be sent to this backend in slow start.
    pub(super) fn slow_start_chance(&self, now: Millis, to: BackendId) -> f64 {
        let Some(server) = self.servers.get(&to) else { return 0.0 };
        let settings = &self.settings;
        let near = server.info.zone == settings.zone;
        let zones = if near { self.serving_zones() } else { 1.0 };
        let weight = self.slow_start.listed_weight.max(server.size());
        let allowance = settings.overload_factor * warmth_at(server.age.at(now), settings) * server.size()
            / weight
            * zones;
        let learned = self.intake * self.listed_weight;
        let rate = settings
            .rate_part()
            .unwrap_or_else(|| learned.max(LEAST_SENDS / settings.overload_span_ms.max(1.0)));
        // Nothing is earned for it from before it started.
        let earned = self.slow_start.earned.min(server.age.at(now).max(0.0));
        PART * allowance / self.preferred(to) * rate * earned
    }

    /// Part of the requests that prefer this backend among those of its kind (the own zone's, or the others').
    fn preferred(&self, to: BackendId) -> f64 {
        let Some(server) = self.servers.get(&to) else { return 1.0 };
        let near = server.info.zone == self.settings.zone;
        let serves =
            |s: &Server| s.info.phase == Phase::Serving && (s.info.zone == self.settings.zone) == near;
        let kind = || self.servers.iter().filter(|(_, s)| serves(s));
        let all: f64 = kind().map(|(_, s)| s.size()).sum();
        let prior = if all > 0.0 { server.size() / all } else { 1.0 };
        let prefers = |key: &&u64| {
            let its = place(**key ^ to.0, server.size());
            !kind().any(|(id, other)| *id != to && place(**key ^ id.0, other.size()) < its)
        };
        let count = self.slow_start.keys.iter().filter(prefers).count() as f64;
        let others = self.slow_start.keys.len().saturating_sub(1) as f64;
        (count.max(1.0) - 1.0 + OWN + PRIOR_KEYS * prior) / (others + OWN + PRIOR_KEYS)
    }

    /// Zones in which a backend serves.
    fn serving_zones(&self) -> f64 {
        let serving = self.servers.values().filter(|server| server.info.phase == Phase::Serving);
        let zones: std::collections::BTreeSet<_> = serving.map(|server| server.info.zone).collect();
        zones.len().max(1) as f64
    }

    /// Whether any backend that serves is warm.
    pub(super) fn any_warm(&self, now: Millis) -> bool {
        self.servers.values().any(|s| s.info.phase == Phase::Serving && !s.in_slow_start(now, &self.settings))
    }
}

impl Server {
    /// Whether it has started so lately that it may not take its full part.
    pub(super) fn in_slow_start(&self, now: Millis, settings: &Settings) -> bool {
        warmth_at(self.age.at(now), settings) < 1.0
    }
}

/// Part of its capacity that a backend has at the slowest warm-up allowed.
pub(super) fn warmth_at(age: Millis, settings: &Settings) -> f64 {
    let least = settings.start_capacity.clamp(0.01, 1.0);
    (least + (1.0 - least) * age.max(0.0) / settings.warm_up_ms.max(1.0)).min(1.0)
}
