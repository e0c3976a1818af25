//! The backend list from discovery: how a new list is applied, and when discovery is called again.

use crate::api::*;
use crate::state::*;

/// Pause after the first failed discovery call; each further failure doubles it.
pub(super) const DISCOVERY_BACKOFF_MS: Millis = 1_000.0;
/// Longest pause between discovery calls: a change counts as known to a node 6 s after discovery had it, so
/// that a node has to call well within that time.
const MAX_DISCOVERY_BACKOFF_MS: Millis = 2_000.0;

/// A start-up list with less than this share of the weight that discovery lists was incomplete.
const MIN_KNOWN_LIST_SHARE: f64 = 0.5;

impl Balancer {
    /// Applies a backend list or its changes and releases requests that now fit.
    pub(super) fn list_received(
        &mut self,
        now: Millis,
        scope: ListScope,
        entries: Vec<BackendInfo>,
        out: &mut Actions,
    ) {
        if scope != ListScope::Stale {
            (self.subscribed, self.discovery_backoff) = (true, DISCOVERY_BACKOFF_MS);
        }
        let known = self.listed_weight;
        self.merge(now, scope, entries);
        if scope != ListScope::Stale && !std::mem::replace(&mut self.discovery_answered, true) {
            self.rescale_start_up_capacity(known);
        }
        self.update_weights(now);
        self.initialize_capacity(now);
        self.assign_budgets(now);
        self.release_all(now, out);
    }

    /// Sets the capacity to start from, if there is none yet and a backend is usable.
    pub(super) fn initialize_capacity(&mut self, now: Millis) {
        if self.capacity_per_weight == 0.0
            && let Some(weight) = self.usable_weight(now)
        {
            let quota = self.settings.quota_per_node();
            self.capacity_per_weight = if quota > 0.0 { 2.0 * quota } else { 1e6 } / weight;
        }
    }

    /// Rescales the capacity per weight when the first list from discovery replaces the start-up list.
    ///
    /// The start-up list may name only few of the backends. The capacity assigned to it is this node's part
    /// of the whole pool, so that the complete list spreads it and does not add to it. Where the start-up
    /// list named most backends, the rest is a change like any other.
    fn rescale_start_up_capacity(&mut self, known_weight: f64) {
        if known_weight > 0.0 && known_weight < self.listed_weight * MIN_KNOWN_LIST_SHARE {
            self.capacity_per_weight *= known_weight / self.listed_weight;
        }
    }

    /// Schedules the next discovery call after a failed call or a broken watch.
    ///
    /// A broken watch may have broken for every node at once, so that the new calls are spread out as at
    /// start-up.
    pub(super) fn discovery_failed(&mut self, now: Millis, out: &mut Actions) {
        let (drawn, broke) = (draw(&mut self.rng), std::mem::take(&mut self.subscribed));
        let spread = self.settings.first_call_spread_ms().min(MAX_DISCOVERY_BACKOFF_MS);
        self.next_discovery_at =
            now + if broke { spread * drawn } else { self.discovery_backoff * (0.5 + drawn) };
        self.discovery_backoff =
            (self.discovery_backoff * if broke { 1.0 } else { 2.0 }).min(MAX_DISCOVERY_BACKOFF_MS);
        out.push(Action::SetTimer { at: self.next_discovery_at, id: TimerId(TIMER_DISCOVERY) });
    }

    /// Subscribes to the backend list if there is no subscription and a call is due.
    pub(super) fn ask_discovery(&mut self, now: Millis, out: &mut Actions) {
        if !self.subscribed && now >= self.next_discovery_at {
            out.push(Action::Subscribe { on: true });
            self.next_discovery_at = now + self.settings.discovery_poll_ms / 2.0;
            out.push(Action::SetTimer { at: self.next_discovery_at, id: TimerId(TIMER_DISCOVERY) });
        }
    }
}
