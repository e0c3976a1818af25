//! Demand forecasts, learned capacity and budgets, recomputed once an interval.
//!
//! Loads and budgets count connections weighted by their load hints, relative to the usual hint. A "load over
//! capacity" is a ratio: at 1.0 the load of a backend equals its capacity.

use super::INTERVAL_MS;
use super::health::{BUSY_LOAD, REPORT_DECAY_MS};
use crate::api::*;
use crate::state::*;

/// Weight of the newest change of demand in the exponentially smoothed change and rise.
const FORECAST_SMOOTHING: f64 = 0.3;
/// Safety margin that the paper (see the crate documentation) adds to a forecast, in mean rises of demand.
const FORECAST_CUSHION: f64 = 5.0 / 3.0;
/// A tenant with demand within this time keeps its guarantee.
const TENANT_ACTIVE_MS: Millis = 10_000.0;
/// Load over capacity that budgets aim at; below 1 because messages are delayed before a backend is full.
pub(super) const TARGET_LOAD: f64 = 0.9;
/// Upper bound of a tenant's excess, the integral term E of the pacing delay. It prevents integral wind-up.
const MAX_EXCESS_BUDGET_SECONDS: f64 = 2.0;
/// Cut in a shortage: learned capacity drops below the load carried now by this fraction times the share in
/// trouble. In a severe shortage it follows the measured overload instead.
const MAX_CAPACITY_CUT: f64 = 0.1;
/// Share of the observed capacity that must be in trouble to count as a shortage.
const SHORTAGE_TROUBLED_SHARE: f64 = 0.3;
/// Below this calm share the shortage is severe: the excess load has to leave, as no backend has room for it.
pub(super) const SEVERE_SHORTAGE_CALM_SHARE: f64 = 0.3;
/// Growth of the learned capacity without load reports, as a fraction per second.
const CAPACITY_RECOVERY_PER_SECOND: f64 = 0.05;
/// Fractions of the gap to the claimed capacity that are closed each interval, upwards and downwards. The gap
/// is not closed at once because many nodes react to the same report.
const CLAIM_STEP_UP: f64 = 0.1;
const CLAIM_STEP_DOWN: f64 = 0.4;
/// Upward step while more than [`MOSTLY_CALM_SHARE`] of the observed capacity shows no trouble.
const CLAIM_STEP_UP_CALM: f64 = 0.35;
const MOSTLY_CALM_SHARE: f64 = 0.7;
/// For this long after its start a new node counts at least its equal part of the quotas as open load: by
/// then the clients of the previous process have connected.
const NEWCOMER_QUOTA_MS: Millis = 10_000.0;
/// Below this mean reported load there is spare capacity: trouble is no shortage and lowers no capacity.
pub(super) const SPARE_CAPACITY_LOAD: f64 = 0.65;
/// Upper bound of the learned capacity of all usable backends together, in usual connections.
const MAX_CAPACITY: f64 = 1e9;
/// Decay per interval of the load remembered from a backend's last trouble, as trouble is often transient.
const PEAK_LOAD_DECAY: f64 = 0.06;

impl Balancer {
    /// Updates each tenant's demand and its forecast for the next interval.
    pub(super) fn forecast_demand(&mut self, now: Millis) {
        for account in self.tenants.values_mut() {
            let queued = account.queue.iter().filter_map(|id| self.entries.get(id));
            let demand = account.load + queued.map(|e| e.request.load()).sum::<f64>() + account.refused;
            account.refused = 0.0;
            let change = demand - std::mem::replace(&mut account.last_demand, demand);
            account.mean_change += (change - account.mean_change) * FORECAST_SMOOTHING;
            account.mean_rise += (change.max(0.0) - account.mean_rise) * FORECAST_SMOOTHING;
            account.forecast = (demand + account.mean_change + FORECAST_CUSHION * account.mean_rise).max(0.0);
            account.last_active = if demand > 0.0 { now } else { account.last_active };
        }
    }

    /// Distributes the capacity among the active tenants.
    ///
    /// Guarantees come first, then spare capacity by priority up to each forecast; what is left is split
    /// equally. A contract states a tenant's guarantee and priority, and a maximum that applies at every
    /// step.
    pub(super) fn assign_budgets(&mut self, now: Millis) {
        let mut spare = self.usable_weight(now).map_or(0.0, |weight| self.capacity_per_weight * weight);
        let mut recent: Vec<&mut TenantAccount> = self
            .tenants
            .values_mut()
            .filter(|account| now - account.last_active <= TENANT_ACTIVE_MS)
            .collect();
        let (count, part) = (recent.len() as f64, spare / recent.len() as f64);
        for account in &mut recent {
            let guarantee = account.contract.map_or(part, |contract| contract.guarantee);
            account.budget = account.forecast.min(guarantee).min(account.maximum());
            spare -= account.budget;
        }
        recent.sort_by(|a, b| b.priority.total_cmp(&a.priority));
        for equals in recent.chunk_by_mut(|a, b| a.priority == b.priority) {
            let wanted: f64 = equals.iter().map(|account| account.wanted()).sum();
            let part = if wanted > spare { (spare / wanted).max(0.0) } else { 1.0 };
            for account in equals {
                account.budget += account.wanted() * part;
            }
            spare -= wanted * part;
        }
        // Tenants closest to their maximum first: what they can't take is left to the others.
        recent.sort_by(|a, b| (a.maximum() - a.budget).total_cmp(&(b.maximum() - b.budget)));
        let (mut spare, mut count) = (spare.max(0.0), count);
        for account in recent {
            let room = account.maximum() - account.budget;
            if room < spare / count {
                (spare, count) = (spare - room, count - 1.0);
                account.budget = account.maximum();
            } else {
                account.budget += spare / count;
            }
            let over = (account.load - account.budget) / account.budget.max(1.0) * INTERVAL_MS / 1_000.0;
            account.excess = (account.excess + over).clamp(0.0, MAX_EXCESS_BUDGET_SECONDS);
        }
    }

    /// Updates the learned capacity per unit of weight, and what backends show of trouble.
    ///
    /// With load reports the capacity moves towards a claim in proportion to this node's open load. Without
    /// them it grows slowly. In a shortage it is cut below the open load in either case. While no backend is
    /// usable there is nothing to divide the load by, so the capacity stays as it is.
    pub(super) fn learn_capacity(&mut self, now: Millis) {
        let trouble = self.observe_trouble(now);
        let new = !self.has_adopted && self.started.is_some_and(|at| now - at < NEWCOMER_QUOTA_MS);
        let min_open = if new { self.settings.quota_per_node() } else { 0.0 };
        let open = self.tenants.values().map(|account| account.load).sum::<f64>().max(min_open);
        let reported_load = self.mean_report(now, REPORT_DECAY_MS);
        self.mean_load = reported_load.map(|(mean, _)| mean);
        let weight = self.usable_weight(now);
        if let Some(weight) = weight {
            self.follow_reports(open / weight, weight, reported_load);
        }
        self.calm_share = trouble.calm_share();
        if let Some(weight) = weight {
            self.cut_capacity_in_shortage(open / weight, &trouble);
            self.capacity_per_weight = self.capacity_per_weight.min(MAX_CAPACITY / weight);
        }
        self.update_rates(now, weight, INTERVAL_MS, self.calm_share < 1.0 - SHORTAGE_TROUBLED_SHARE);
    }

    /// Takes what the usable backends have shown of trouble since the last interval.
    fn observe_trouble(&mut self, now: Millis) -> Trouble {
        let mut trouble = Trouble { observed: f64::MIN_POSITIVE, troubled: 0.0, pressure: 0.0 };
        for record in self.backends.values_mut().filter(|s| s.usable(now)) {
            record.resets = 0;
            // A backend without connections of this node can't show trouble here; it does not count as calm
            // either.
            let load = record.load_estimate(now).map_or(0.0, |(load, _)| load);
            let troubled = std::mem::take(&mut record.strained);
            let peak = record.peak_load * (1.0 - PEAK_LOAD_DECAY);
            record.peak_load = if troubled { peak.max(load).max(1.0) } else { peak };
            let strained = troubled || load > BUSY_LOAD;
            if strained || record.open > 0 {
                trouble.observed += record.capacity;
            }
            if strained {
                trouble.troubled += record.capacity;
                trouble.pressure += record.capacity * load.max(TARGET_LOAD);
            }
        }
        trouble
    }

    /// Moves the capacity towards the claim that the load reports allow; without reports it grows slowly.
    /// `open_per_weight` is this node's open load for each unit of usable weight.
    fn follow_reports(&mut self, open_per_weight: f64, weight: f64, reported_load: Option<(f64, f64)>) {
        let Some((mean, fresh)) = reported_load else {
            self.capacity_per_weight *= 1.0 + CAPACITY_RECOVERY_PER_SECOND * INTERVAL_MS / 1_000.0;
            return;
        };
        let own_load = open_per_weight.max(self.settings.quota_per_node() / 4.0 / weight);
        let claim = own_load * TARGET_LOAD / mean.max(0.05);
        // With spare capacity a drop of this node's load means that clients disconnected and will reconnect,
        // not that capacity was lost.
        let down = if mean < SPARE_CAPACITY_LOAD { 0.0 } else { CLAIM_STEP_DOWN };
        // The clients of a stopped node arrive all at once; while backends are calm, admit them faster.
        let up = if self.calm_share > MOSTLY_CALM_SHARE { CLAIM_STEP_UP_CALM } else { CLAIM_STEP_UP };
        let step = if claim > self.capacity_per_weight { up } else { down };
        self.capacity_per_weight += (claim - self.capacity_per_weight) * step * fresh;
    }

    /// Cuts the capacity below the load carried now if trouble at many backends shows a shortage. Trouble at
    /// a few is left to the weights.
    fn cut_capacity_in_shortage(&mut self, open_per_weight: f64, trouble: &Trouble) {
        let spare_capacity = self.mean_load.is_some_and(|mean| mean <= SPARE_CAPACITY_LOAD);
        if spare_capacity || self.calm_share >= 1.0 - SHORTAGE_TROUBLED_SHARE {
            return;
        }
        let load_factor = if self.calm_share < SEVERE_SHORTAGE_CALM_SHARE {
            TARGET_LOAD * trouble.troubled / trouble.pressure
        } else {
            1.0 - MAX_CAPACITY_CUT * (1.0 - self.calm_share)
        };
        self.capacity_per_weight = self.capacity_per_weight.min(open_per_weight * load_factor);
    }
}

/// Capacity of the usable backends that show trouble, or could show it.
struct Trouble {
    /// Capacity of the backends that hold connections of this node or are in trouble; never 0.
    observed: f64,
    /// The part of it that is in trouble.
    troubled: f64,
    /// That part, each backend's capacity times its load over capacity.
    pressure: f64,
}

impl Trouble {
    fn calm_share(&self) -> f64 {
        1.0 - self.troubled / self.observed
    }
}

impl TenantAccount {
    fn maximum(&self) -> f64 {
        self.contract.map_or(f64::INFINITY, |contract| contract.maximum)
    }

    /// Forecast demand, up to the maximum, that the budget does not cover yet.
    fn wanted(&self) -> f64 {
        self.forecast.min(self.maximum()) - self.budget
    }
}
