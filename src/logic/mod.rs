//! The decision module: turns events into actions and does no I/O. The interface is `src/api.rs`.
//!
//! A request joins its tenant's queue and leaves it after the pacing delay while the tenant is under its
//! limit. Weighted round robin then selects its backend. See `docs/design.md` for details.

mod budget;
mod discovery;
mod health;
mod invariants;
mod limit;
mod placement;
mod relief;
mod requests;
mod slow_start;

use crate::api::*;
pub use crate::state::Balancer;
use crate::state::*;
use discovery::DISCOVERY_BACKOFF_MS;
pub(crate) use slow_start::SlowStart;

/// Interval between updates of budgets, limits and weights; short compared with the life of a connection.
pub(super) const INTERVAL_MS: Millis = 500.0;

impl Balancer {
    /// Creates the decisions of a node that knows no backends yet; `seed` seeds its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let class_work = vec![0.0; settings.classes.len()];
        Balancer {
            settings,
            rng: seed,
            salt: mix(seed),
            class_work,
            discovery_backoff: DISCOVERY_BACKOFF_MS,
            ..Default::default()
        }
    }

    /// Handles one event at clock time `now` and appends the actions that the node has to carry out.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        if self.started.is_none() {
            self.start(now, out);
        }
        match event {
            Event::Backends { scope, entries } => self.list_received(now, scope, entries, out),
            Event::DiscoveryFailed => self.discovery_failed(now, out),
            Event::Request(request) => self.request_arrived(now, request, out),
            Event::Adopted { request, backend } => self.adopted(now, request, backend),
            Event::Established { id, .. } => self.established(now, id),
            Event::Ended { id, backend, outcome, closed, report, .. } => {
                self.record_report(now, backend, report);
                self.ended(now, id, backend, outcome, closed, out)
            }
            Event::ProbeEnded { backend, outcome, report } => {
                self.record_report(now, backend, report);
                self.record_outcome(now, backend, outcome, false)
            }
            Event::ClientGone { id } => self.client_gone(id, out),
            Event::LoadChanged { id, load } => self.load_changed(id, load),
            Event::MessageDelay { backend, took_ms } => self.message_delay(now, backend, took_ms),
            Event::PeerMessage { .. } => {}
            Event::NodeCount(nodes) => self.settings.balancers = nodes,
            Event::ShuttingDown { by } => self.shorten_deadlines(by, out),
            Event::Timer(TimerId(TIMER_INTERVAL)) => self.interval(now, out),
            Event::Timer(TimerId(TIMER_PROBE)) => self.probe(now, out),
            Event::Timer(TimerId(TIMER_DISCOVERY)) => self.ask_discovery(now, out),
            Event::Timer(id) => self.request_timer(now, id, out),
        }
    }

    fn start(&mut self, now: Millis, out: &mut Actions) {
        self.started = Some(now);
        let mut timer = |wait: f64, id| out.push(Action::SetTimer { at: now + wait, id: TimerId(id) });
        timer(draw(&mut self.rng) * INTERVAL_MS, TIMER_INTERVAL);
        if self.settings.probing && self.settings.reports {
            timer(draw(&mut self.rng) * 1_000.0, TIMER_PROBE);
        }
        if self.settings.discovery_on_request {
            // All nodes may have started together, so their first discovery calls are spread out.
            timer(draw(&mut self.rng) * self.settings.first_call_spread_ms(), TIMER_DISCOVERY);
        }
    }

    fn interval(&mut self, now: Millis, out: &mut Actions) {
        out.push(Action::SetTimer { at: now + INTERVAL_MS, id: TimerId(TIMER_INTERVAL) });
        self.forecast_demand(now);
        self.learn_capacity(now);
        self.update_weights(now);
        self.assign_budgets(now);
        self.repair_numbers(now, out);
        self.relieve_overload(now, out);
        self.release_all(now, out);
    }
}
