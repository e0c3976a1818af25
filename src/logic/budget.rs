//! Forecast of each tenant's demand, learned capacity, and budgets.

use super::INTERVAL_MS;
use super::health::{BUSY_LOAD, REPORT_DECAY_MS};
use crate::api::*;
use crate::state::*;

/// Forecast: part of the newest change in the smoothed ones, and the paper's cushion in mean rises.
const FORECAST_SMOOTHING: f64 = 0.3;
const FORECAST_CUSHION: f64 = 5.0 / 3.0;
/// A tenant heard of within this time keeps its guarantee.
const TENANT_ACTIVE_MS: Millis = 10_000.0;
/// Load over capacity that budgets aim at: messages are late before a backend is full.
pub(super) const TARGET_LOAD: f64 = 0.9;
/// The integral E stays within this many budget-seconds, so that it can't wind up.
const MAX_EXCESS_BUDGET_SECONDS: f64 = 2.0;
/// Part by which trouble on every backend at once puts the capacity under what is carried now.
const MAX_CAPACITY_CUT: f64 = 0.1;
/// Part in trouble from which there is a shortage, and part still calm under which the excess must leave.
const SHORTAGE_TROUBLED_SHARE: f64 = 0.3;
pub(super) const SEVERE_SHORTAGE_CALM_SHARE: f64 = 0.3;
/// Learned capacity creeps back by this part a second.
const CAPACITY_RECOVERY_PER_SECOND: f64 = 0.05;
/// Part of the gap to the claimed capacity taken each interval, up and down: many gateways read one report.
const CLAIM_STEP_UP: f64 = 0.1;
const CLAIM_STEP_DOWN: f64 = 0.4;
/// The part taken upwards while so much of the capacity heard from shows no trouble.
const CLAIM_STEP_UP_CALM: f64 = 0.35;
const MOSTLY_CALM_SHARE: f64 = 0.7;
/// For so long its equal part is what a newcomer has: by then the clients of the process before it have come.
const NEWCOMER_QUOTA_MS: Millis = 10_000.0;
/// While the mean load that reports tell is under this, trouble is no shortage: the limit is not lowered.
pub(super) const SPARE_CAPACITY_LOAD: f64 = 0.65;
/// Part by which a trouble counts less each interval: what troubles a backend comes and goes.
const PEAK_LOAD_DECAY: f64 = 0.06;

impl Balancer {
    /// Each tenant's demand, and what it is expected to be an interval on.
    pub(super) fn forecast_demand(&mut self, now: Millis) {
        for account in self.tenants.values_mut() {
            let queued = account.queue.iter().filter_map(|id| self.entries.get(id));
            let demand = account.load + queued.map(|e| e.request.load()).sum::<f64>() + account.refused;
            account.refused = 0.0;
            let change = demand - std::mem::replace(&mut account.demand, demand);
            account.mean_change += (change - account.mean_change) * FORECAST_SMOOTHING;
            account.mean_rise += (change.max(0.0) - account.mean_rise) * FORECAST_SMOOTHING;
            account.forecast = (demand + account.mean_change + FORECAST_CUSHION * account.mean_rise).max(0.0);
            account.last_active = if demand > 0.0 { now } else { account.last_active };
        }
    }

    /// Guarantees first, spare capacity by priority up to the forecasts, what is left in equal parts; a
    /// contract states a tenant's guarantee and priority, and a maximum that holds at every step.
    pub(super) fn assign_budgets(&mut self, now: Millis) {
        let mut spare = self.capacity_per_weight * self.usable_weight(now);
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
        // Those near their maximum first: what they can't take is for the others.
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

    /// Learned capacity: from reports a claim in proportion to what this gateway has open, else from trouble.
    pub(super) fn learn_capacity(&mut self, now: Millis) {
        let weight = self.usable_weight(now).max(f64::MIN_POSITIVE);
        let (mut observed, mut trouble, mut pressure) = (f64::MIN_POSITIVE, 0.0, 0.0);
        for record in self.backends.values_mut().filter(|s| s.usable(now)) {
            record.resets = 0;
            // One that holds none of this gateway's connections can't show trouble: that is no health.
            let load = record.load_estimate(now).map_or(0.0, |(load, _)| load);
            let troubled = std::mem::take(&mut record.strained);
            let peak = record.peak_load * (1.0 - PEAK_LOAD_DECAY);
            record.peak_load = if troubled { peak.max(load).max(1.0) } else { peak };
            let strained = troubled || load > BUSY_LOAD;
            if strained || record.open > 0 {
                observed += record.capacity;
            }
            if strained {
                (trouble, pressure) =
                    (trouble + record.capacity, pressure + record.capacity * load.max(TARGET_LOAD));
            }
        }
        let new = !self.has_adopted && self.started.is_some_and(|at| now - at < NEWCOMER_QUOTA_MS);
        let least = if new { self.settings.quota_part() } else { 0.0 };
        let open = self.tenants.values().map(|account| account.load).sum::<f64>().max(least);
        let reported_load = self.mean_report(now, REPORT_DECAY_MS);
        self.mean_load = reported_load.map(|(mean, _)| mean);
        if let Some((mean, fresh)) = reported_load {
            let own = open.max(self.settings.quota_part() / 4.0);
            let claim = own / weight * TARGET_LOAD / mean.max(0.05);
            // Clients that broke off and come again are no loss of capacity.
            let down = if mean < SPARE_CAPACITY_LOAD { 0.0 } else { CLAIM_STEP_DOWN };
            // Clients of a gateway that has ended come all at once: without trouble they need not wait long.
            let up = if self.calm_share > MOSTLY_CALM_SHARE { CLAIM_STEP_UP_CALM } else { CLAIM_STEP_UP };
            let step = if claim > self.capacity_per_weight { up } else { down };
            self.capacity_per_weight += (claim - self.capacity_per_weight) * step * fresh;
        } else {
            self.capacity_per_weight *= 1.0 + CAPACITY_RECOVERY_PER_SECOND * INTERVAL_MS / 1_000.0;
        }
        // Trouble on many backends is a shortage; on a few it is for the weights to answer.
        self.calm_share = 1.0 - trouble / observed;
        if self.calm_share < 1.0 - SHORTAGE_TROUBLED_SHARE
            && self.mean_load.is_none_or(|mean| mean > SPARE_CAPACITY_LOAD)
        {
            let back = if self.calm_share < SEVERE_SHORTAGE_CALM_SHARE {
                TARGET_LOAD * trouble / pressure
            } else {
                1.0 - MAX_CAPACITY_CUT * (1.0 - self.calm_share)
            };
            self.capacity_per_weight = self.capacity_per_weight.min(open / weight * back);
        }
        self.update_rates(now, weight, INTERVAL_MS, self.calm_share < 1.0 - SHORTAGE_TROUBLED_SHARE);
    }
}

impl TenantAccount {
    fn maximum(&self) -> f64 {
        self.contract.map_or(f64::INFINITY, |contract| contract.maximum)
    }

    /// What the forecast still wants on top of the budget.
    fn wanted(&self) -> f64 {
        self.forecast.min(self.maximum()) - self.budget
    }
}
