//! Slow start: limits the requests sent to a backend that has just started.
//!
//! A backend in slow start fails if all nodes together send it more within a time span than the settings
//! allow: the overload factor times its capacity at the slowest warm-up. The nodes do not coordinate here.
//! Each one keeps to its own part of the allowance, which bounds the sum:
//!
//! * A backend's allowance in a span is `overload factor x warmth x its share of the listed weight x quota
//!   rate x span`. A node's part is that divided by the number of nodes, times [`ALLOWANCE_FACTOR`]. Nodes
//!   prefer their own zone, so the allowance of a backend is divided among the nodes of its zone.
//! * A node earns its part by elapsed time, not by the number of requests. Each request brings the time since
//!   the previous one, at most [`MAX_EARNED_SPAN_SHARE`] of a span and none from before the backend's start.
//!   So the requests sent in a span are bounded, however many arrive and however suddenly.
//! * A request has one random chance, at the one backend that it would be sent to if all were warm. Otherwise
//!   a request turned away from one cold backend would be tried on the next one, and a zone with only cold
//!   backends would receive all requests.
//! * The share of this node's requests that prefer the backend is estimated from the last [`KEY_WINDOW`]
//!   requests. The place of a large group, or the only backend left in a zone, is preferred often, and the
//!   chance of each of those requests is smaller accordingly.
//!
//! Ages are measured without the wall clock: see [`Age`].

use crate::api::*;
use crate::state::*;
use std::collections::VecDeque;

/// Factor on a node's equal part of the allowance. It may exceed 1 because part of the allowance is unused:
/// idle periods, nodes with few requests and backends that no request prefers. With a larger factor all nodes
/// together exceed a backend's allowance in a span, which tests/ramp.rs and tests/fleet.rs check.
const ALLOWANCE_FACTOR: f64 = 1.2;
/// Largest share of a span that one request may bring after an idle period.
const MAX_EARNED_SPAN_SHARE: f64 = 0.3;
/// Number of recent requests from which preferences are estimated.
const KEY_WINDOW: usize = 64;
/// Weight, in requests, of the prior assumption that a backend is preferred in proportion to its size.
const PRIOR_WEIGHT_REQUESTS: f64 = 16.0;
/// Weight of the current request in that estimate. It always prefers the backend in question: counted fully,
/// a rarely preferred backend would look ten times as popular; not counted, the place of a large group would
/// look like any other.
const CURRENT_REQUEST_WEIGHT: f64 = 0.25;
/// Lower bound of the requests assumed in a span if the settings state no rate; one of them is the current
/// one.
const MIN_SENDS_PER_SPAN: f64 = 2.0;

/// Recent requests and the time earned by the current one.
#[derive(Default)]
pub struct SlowStart {
    /// Affinity keys of the last requests, the newest last.
    keys: VecDeque<u64>,
    /// When the previous choice of a backend began.
    last_choice: Option<Millis>,
    /// Time that the current request brings, in milliseconds.
    earned_ms: Millis,
    /// Largest total weight that was listed as serving; the quota rate refers to this total.
    listed_weight: f64,
}

impl SlowStart {
    /// Records the affinity key of a new request.
    pub(crate) fn observe_key(&mut self, key: u64) {
        if self.keys.len() == KEY_WINDOW {
            self.keys.pop_front();
        }
        self.keys.push_back(key);
    }

    /// Records the total weight that is listed as serving.
    pub(crate) fn observe_weight(&mut self, weight: f64) {
        self.listed_weight = self.listed_weight.max(weight);
    }

    /// Begins a choice, which brings the time since the previous one.
    pub(super) fn begin_choice(&mut self, now: Millis, span: Millis) {
        let most = span * MAX_EARNED_SPAN_SHARE;
        self.earned_ms = self.last_choice.map_or(most, |last| (now - last).clamp(0.0, most));
        self.last_choice = Some(now);
    }
}

impl Balancer {
    /// Returns the probability with which the current request is sent to this backend in slow start.
    pub(super) fn slow_start_chance(&self, now: Millis, to: BackendId) -> f64 {
        let Some(record) = self.backends.get(&to) else { return 0.0 };
        let settings = &self.settings;
        let near = record.info.zone == settings.zone;
        let zones = if near { self.serving_zones() } else { 1.0 };
        let weight = self.slow_start.listed_weight.max(record.size());
        let allowance = settings.overload_factor * warmth_at(record.age.at(now), settings) * record.size()
            / weight
            * zones;
        let learned = self.intake_per_weight * self.listed_weight;
        let rate = settings
            .quota_rate_per_node()
            .unwrap_or_else(|| learned.max(MIN_SENDS_PER_SPAN / settings.overload_span_ms.max(1.0)));
        // Time from before the backend's start does not count.
        let earned = self.slow_start.earned_ms.min(record.age.at(now).max(0.0));
        ALLOWANCE_FACTOR * allowance / self.preferred(to) * rate * earned
    }

    /// Estimates the share of requests that prefer this backend, among the backends of this node's zone if it
    /// is one of them, else among those of the other zones.
    fn preferred(&self, to: BackendId) -> f64 {
        let Some(record) = self.backends.get(&to) else { return 1.0 };
        let near = record.info.zone == self.settings.zone;
        let serves =
            |s: &BackendRecord| s.info.phase == Phase::Serving && (s.info.zone == self.settings.zone) == near;
        let same_side = || self.backends.iter().filter(|(_, s)| serves(s));
        let all: f64 = same_side().map(|(_, s)| s.size()).sum();
        let prior = if all > 0.0 { record.size() / all } else { 1.0 };
        let prefers = |key: &&u64| {
            let rank = place(**key ^ to.0, record.size());
            !same_side().any(|(id, other)| *id != to && place(**key ^ id.0, other.size()) < rank)
        };
        let count = self.slow_start.keys.iter().filter(prefers).count() as f64;
        let others = self.slow_start.keys.len().saturating_sub(1) as f64;
        (count.max(1.0) - 1.0 + CURRENT_REQUEST_WEIGHT + PRIOR_WEIGHT_REQUESTS * prior)
            / (others + CURRENT_REQUEST_WEIGHT + PRIOR_WEIGHT_REQUESTS)
    }

    /// Returns the number of zones with a serving backend, at least 1.
    fn serving_zones(&self) -> f64 {
        let serving = self.backends.values().filter(|record| record.info.phase == Phase::Serving);
        let zones: std::collections::BTreeSet<_> = serving.map(|record| record.info.zone).collect();
        zones.len().max(1) as f64
    }

    /// Returns whether any serving backend is warm.
    pub(super) fn any_warm(&self, now: Millis) -> bool {
        self.backends
            .values()
            .any(|s| s.info.phase == Phase::Serving && !s.in_slow_start(now, &self.settings))
    }
}

impl BackendRecord {
    /// Returns whether the backend started too recently to take its full share of requests.
    pub(super) fn in_slow_start(&self, now: Millis, settings: &Settings) -> bool {
        warmth_at(self.age.at(now), settings) < 1.0
    }
}

/// Returns the share of its capacity that a backend of this age has at the slowest warm-up allowed.
pub(super) fn warmth_at(age: Millis, settings: &Settings) -> f64 {
    let least = settings.start_capacity.clamp(0.01, 1.0);
    (least + (1.0 - least) * age.max(0.0) / settings.warm_up_ms.max(1.0)).min(1.0)
}
