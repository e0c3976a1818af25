//! The list of backends: what it changes, and when discovery is asked again.

use crate::api::*;
use crate::state::*;

/// First pause after a failed discovery call, doubled by each further one, and the most: changes count as
/// told 6 s on. A watch may have broken for all: they ask anew as spread out as at the start.
pub(super) const ASK_BACKOFF_MS: Millis = 1_000.0;
const ASK_MOST_MS: Millis = 2_000.0;

/// A known list that names less than this part of those that discovery lists was not whole.
const MOST_KNOWN: f64 = 0.5;

impl Balancer {
    pub(super) fn listed(&mut self, now: Millis, scope: ListScope, entries: Vec<BackendInfo>, out: &mut Out) {
        if scope != ListScope::Stale {
            (self.subscribed, self.ask_backoff) = (true, ASK_BACKOFF_MS);
        }
        let known = self.listed_weight;
        self.merge(now, scope, entries);
        if scope != ListScope::Stale && !std::mem::replace(&mut self.heard_discovery, true) {
            self.capacity_by_known_list(known);
        }
        self.weigh(now);
        let weight = self.usable_weight(now);
        if self.per_weight == 0.0 && weight > 0.0 {
            let quota = self.settings.quota_per_node();
            self.per_weight = if quota > 0.0 { 2.0 * quota } else { 1e6 } / weight;
        }
        self.budget(now);
        self.release_all(now, out);
    }

    /// The list that a process is started with may name few of those that are there. What was made of it is this gateway's part of
    /// the whole, and stays that when the whole list has come: it is no growth. Where it named most of them, the rest is a change
    /// like any other.
    fn capacity_by_known_list(&mut self, known_weight: f64) {
        if known_weight > 0.0 && known_weight < self.listed_weight * MOST_KNOWN {
            self.per_weight *= known_weight / self.listed_weight;
        }
    }

    pub(super) fn discovery_failed(&mut self, now: Millis, out: &mut Out) {
        let (drawn, broke) = (draw(&mut self.rng), std::mem::take(&mut self.subscribed));
        let spread = self.settings.first_ask_ms().min(ASK_MOST_MS);
        self.next_ask = now + if broke { spread * drawn } else { self.ask_backoff * (0.5 + drawn) };
        self.ask_backoff = (self.ask_backoff * if broke { 1.0 } else { 2.0 }).min(ASK_MOST_MS);
        out.push(Action::SetTimer { at: self.next_ask, id: TimerId(TIMER_DISCOVERY) });
    }

    pub(super) fn ask(&mut self, now: Millis, out: &mut Out) {
        if !self.subscribed && now >= self.next_ask {
            out.push(Action::Subscribe { on: true });
            self.next_ask = now + self.settings.discovery_poll_ms / 2.0;
            out.push(Action::SetTimer { at: self.next_ask, id: TimerId(TIMER_DISCOVERY) });
        }
    }
}
