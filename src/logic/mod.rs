//! The decision module (interface: `src/api.rs`): what to do, never how. A request joins its tenant's queue, leaves under
//! its limit after the pacing delay, and weighted round robin names its backend; `docs/design.md` tells the rest.

mod budget;
mod discovery;
mod health;
mod limit;
mod placement;
mod relief;
mod requests;
mod slow_start;

use crate::api::*;
pub use crate::state::Balancer;
use crate::state::*;
use discovery::ASK_BACKOFF_MS;
pub(crate) use slow_start::SlowStart;

/// Budgets, limits and weights are recomputed this often: short against the life of a connection.
pub(super) const INTERVAL_MS: Millis = 500.0;

impl Balancer {
    /// A gateway that knows nothing yet; `seed` feeds its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let class_work = vec![0.0; settings.classes.len()];
        Balancer {
            settings,
            rng: seed,
            salt: mix(seed),
            class_work,
            ask_backoff: ASK_BACKOFF_MS,
            ..Default::default()
        }
    }

    /// Takes one event at clock time `now` and appends what the relay is to do.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        if self.started.is_none() {
            self.start(now, out);
        }
        match event {
            Event::Backends { scope, entries } => self.listed(now, scope, entries, out),
            Event::DiscoveryFailed => self.discovery_failed(now, out),
            Event::Request(request) => self.arrived(now, request, out),
            Event::Adopted { request, backend } => self.adopted(now, request, backend),
            Event::Established { id, .. } => self.established(now, id),
            Event::Ended { id, backend, outcome, closed, report, .. } => {
                self.reported(now, backend, report);
                self.ended(now, id, backend, outcome, closed, out)
            }
            Event::ProbeEnded { backend, outcome, report } => {
                self.reported(now, backend, report);
                self.judge(now, backend, outcome, false)
            }
            Event::ClientGone { id } => self.departed(id, out),
            Event::LoadChanged { id, load } => self.load_changed(id, load),
            Event::MessageDelay { backend, took_ms } => self.message_delay(now, backend, took_ms),
            Event::PeerMessage { .. } => {}
            Event::NodeCount(nodes) => self.settings.balancers = nodes,
            Event::ShuttingDown { by } => self.hasten(by, out),
            Event::Timer(TimerId(TIMER_INTERVAL)) => self.interval(now, out),
            Event::Timer(TimerId(TIMER_PROBE)) => self.probe(now, out),
            Event::Timer(TimerId(TIMER_DISCOVERY)) => self.ask(now, out),
            Event::Timer(id) => self.held_timer(now, id, out),
        }
    }

    fn start(&mut self, now: Millis, out: &mut Out) {
        self.started = Some(now);
        let mut timer = |wait: f64, id| out.push(Action::SetTimer { at: now + wait, id: TimerId(id) });
        timer(draw(&mut self.rng) * INTERVAL_MS, TIMER_INTERVAL);
        if self.settings.probing && self.settings.reports {
            timer(draw(&mut self.rng) * 1_000.0, TIMER_PROBE);
        }
        if self.settings.discovery_on_request {
            // All gateways may have started together: their first calls are spread out.
            timer(draw(&mut self.rng) * self.settings.first_ask_ms(), TIMER_DISCOVERY);
        }
    }

    fn interval(&mut self, now: Millis, out: &mut Out) {
        out.push(Action::SetTimer { at: now + INTERVAL_MS, id: TimerId(TIMER_INTERVAL) });
        self.forecast(now);
        self.learn(now);
        self.weigh(now);
        self.budget(now);
        self.relieve(now, out);
        self.release_all(now, out);
    }
}
