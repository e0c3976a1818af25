//! The list of backends: what it changes, and when discovery is asked again.

use crate::api::*;
use crate::state::*;

/// First pause after a failed discovery call, doubled by each further one, and the most: changes count as
/// told 6 s on. A watch may have broken for all: they ask anew as spread out as at the start.
pub(super) const DISCOVERY_BACKOFF_MS: Millis = 1_000.0;
const MAX_DISCOVERY_BACKOFF_MS: Millis = 2_000.0;

/// A known list that names less than this part of those that discovery lists was not whole.
const MIN_KNOWN_LIST_SHARE: f64 = 0.5;

impl Balancer {
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
            self.capacity_by_known_list(known);
        }
        self.update_weights(now);
        let weight = self.usable_weight(now);
        if self.capacity_per_weight == 0.0 && weight > 0.0 {
            let quota = self.settings.quota_part();
            self.capacity_per_weight = if quota > 0.0 { 2.0 * quota } else { 1e6 } / weight;
        }
        self.assign_budgets(now);
        self.release_all(now, out);
    }

    /// The list that a process is started with may name few of those that are there. What was made of it is this gateway's part of
    /// the whole, and stays that when the whole list has come: it is no growth. Where it named most of them, the rest is a change
    /// like any other.
    fn capacity_by_known_list(&mut self, known_weight: f64) {
        if known_weight > 0.0 && known_weight < self.listed_weight * MIN_KNOWN_LIST_SHARE {
            self.capacity_per_weight *= known_weight / self.listed_weight;
        }
    }

    pub(super) fn discovery_failed(&mut self, now: Millis, out: &mut Actions) {
        let (drawn, broke) = (draw(&mut self.rng), std::mem::take(&mut self.subscribed));
        let spread = self.settings.first_call_spread_ms().min(MAX_DISCOVERY_BACKOFF_MS);
        self.next_discovery_at =
            now + if broke { spread * drawn } else { self.discovery_backoff * (0.5 + drawn) };
        self.discovery_backoff =
            (self.discovery_backoff * if broke { 1.0 } else { 2.0 }).min(MAX_DISCOVERY_BACKOFF_MS);
        out.push(Action::SetTimer { at: self.next_discovery_at, id: TimerId(TIMER_DISCOVERY) });
    }

    pub(super) fn ask_discovery(&mut self, now: Millis, out: &mut Actions) {
        if !self.subscribed && now >= self.next_discovery_at {
            out.push(Action::Subscribe { on: true });
            self.next_discovery_at = now + self.settings.ask_within_ms / 2.0;
            out.push(Action::SetTimer { at: self.next_discovery_at, id: TimerId(TIMER_DISCOVERY) });
        }
    }
}
