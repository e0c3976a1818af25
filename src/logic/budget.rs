//! Forecast of each tenant's demand, learned capacity, and budgets.

use super::INTERVAL_MS;
use super::health::{BUSY, REPORT_FADE_MS};
use crate::api::*;
use crate::state::*;

/// Forecast: part of the newest change in the smoothed ones, and the paper's cushion in mean rises.
const SMOOTHING: f64 = 0.3;
const CUSHION: f64 = 5.0 / 3.0;
/// A tenant heard of within this time keeps its guarantee.
const RECENT_MS: Millis = 10_000.0;
/// Load over capacity that budgets aim at: messages are late before a backend is full.
pub(super) const TARGET: f64 = 0.9;
/// The integral E stays within this many budget-seconds, so that it can't wind up.
const EXCESS_MOST: f64 = 2.0;
/// Part by which trouble on every backend at once puts the capacity under what is carried now.
const BACK_OFF: f64 = 0.1;
/// Part in trouble from which there is a shortage, and part still calm under which the excess must leave.
const SPREAD: f64 = 0.3;
pub(super) const SHORT: f64 = 0.3;
/// Learned capacity creeps back by this part a second.
const CREEP: f64 = 0.05;
/// Part of the gap to the claimed capacity taken each interval, up and down: many gateways read one report.
const CLAIM_UP: f64 = 0.1;
const CLAIM_DOWN: f64 = 0.4;
/// The part taken upwards while so much of the capacity heard from shows no trouble.
const CLAIM_UP_CALM: f64 = 0.35;
const CALM: f64 = 0.7;
/// For so long its equal part is what a newcomer has: by then the clients of the process before it have come.
const NEWCOMER_MS: Millis = 10_000.0;
/// While the mean load that reports tell is under this, trouble is no shortage: the limit is not lowered.
pub(super) const ROOMY: f64 = 0.65;
/// Part by which a trouble counts less each interval: what troubles a backend comes and goes.
const PEAK_FADE: f64 = 0.06;

impl Balancer {
    /// Each tenant's demand, and what it is expected to be an interval on.
    pub(super) fn forecast(&mut self, now: Millis) {
        for share in self.tenants.values_mut() {
            let queued = share.queue.iter().filter_map(|id| self.entries.get(id));
            let demand = share.load + queued.map(|e| e.request.load()).sum::<f64>() + share.refused;
            share.refused = 0.0;
            let change = demand - std::mem::replace(&mut share.last, demand);
            share.drift += (change - share.drift) * SMOOTHING;
            share.spread += (change.max(0.0) - share.spread) * SMOOTHING;
            share.forecast = (demand + share.drift + CUSHION * share.spread).max(0.0);
            share.seen = if demand > 0.0 { now } else { share.seen };
        }
    }

    /// Guarantees first, spare capacity by priority up to the forecasts, what is left in equal parts; a
    /// contract states a tenant's guarantee and priority, and a maximum that holds at every step.
    pub(super) fn budget(&mut self, now: Millis) {
        let mut spare = self.per_weight * self.usable_weight(now);
        let mut recent: Vec<&mut Share> =
            self.tenants.values_mut().filter(|share| now - share.seen <= RECENT_MS).collect();
        let (count, part) = (recent.len() as f64, spare / recent.len() as f64);
        for share in &mut recent {
            let guarantee = share.contract.map_or(part, |contract| contract.guarantee);
            share.budget = share.forecast.min(guarantee).min(share.maximum());
            spare -= share.budget;
        }
        recent.sort_by(|a, b| b.priority.total_cmp(&a.priority));
        for equals in recent.chunk_by_mut(|a, b| a.priority == b.priority) {
            let wanted: f64 = equals.iter().map(|share| share.wanted()).sum();
            let part = if wanted > spare { (spare / wanted).max(0.0) } else { 1.0 };
            for share in equals {
                share.budget += share.wanted() * part;
            }
            spare -= wanted * part;
        }
        // Those near their maximum first: what they can't take is for the others.
        recent.sort_by(|a, b| (a.maximum() - a.budget).total_cmp(&(b.maximum() - b.budget)));
        let (mut spare, mut count) = (spare.max(0.0), count);
        for share in recent {
            let room = share.maximum() - share.budget;
            if room < spare / count {
                (spare, count) = (spare - room, count - 1.0);
                share.budget = share.maximum();
            } else {
                share.budget += spare / count;
            }
            let over = (share.load - share.budget) / share.budget.max(1.0) * INTERVAL_MS / 1_000.0;
            share.excess = (share.excess + over).clamp(0.0, EXCESS_MOST);
        }
    }

    /// Learned capacity: from reports a claim in proportion to what this gateway has open, else from trouble.
    pub(super) fn learn(&mut self, now: Millis) {
        let weight = self.usable_weight(now).max(f64::MIN_POSITIVE);
        let (mut heard, mut trouble, mut pressure) = (f64::MIN_POSITIVE, 0.0, 0.0);
        for server in self.servers.values_mut().filter(|s| s.usable(now)) {
            server.resets = 0;
            // One that holds none of this gateway's connections can't show trouble: that is no health.
            let load = server.told(now).map_or(0.0, |(load, _)| load);
            let troubled = std::mem::take(&mut server.strained);
            let peak = server.peak * (1.0 - PEAK_FADE);
            server.peak = if troubled { peak.max(load).max(1.0) } else { peak };
            let strained = troubled || load > BUSY;
            if strained || server.open > 0 {
                heard += server.capacity;
            }
            if strained {
                (trouble, pressure) =
                    (trouble + server.capacity, pressure + server.capacity * load.max(TARGET));
            }
        }
        let new = !self.settled && self.started.is_some_and(|at| now - at < NEWCOMER_MS);
        let least = if new { self.settings.quota_per_node() } else { 0.0 };
        let open = self.tenants.values().map(|share| share.load).sum::<f64>().max(least);
        let told = self.mean_report(now, REPORT_FADE_MS);
        self.mean_load = told.map(|(mean, _)| mean);
        if let Some((mean, fresh)) = told {
            let own = open.max(self.settings.quota_per_node() / 4.0);
            let claim = own / weight * TARGET / mean.max(0.05);
            // Clients that broke off and come again are no loss of capacity.
            let down = if mean < ROOMY { 0.0 } else { CLAIM_DOWN };
            // Clients of a gateway that has ended come all at once: without trouble they need not wait long.
            let up = if self.calm > CALM { CLAIM_UP_CALM } else { CLAIM_UP };
            let step = if claim > self.per_weight { up } else { down };
            self.per_weight += (claim - self.per_weight) * step * fresh;
        } else {
            self.per_weight *= 1.0 + CREEP * INTERVAL_MS / 1_000.0;
        }
        // Trouble on many backends is a shortage; on a few it is for the weights to answer.
        self.calm = 1.0 - trouble / heard;
        if self.calm < 1.0 - SPREAD && self.mean_load.is_none_or(|mean| mean > ROOMY) {
            let back = if self.calm < SHORT {
                TARGET * trouble / pressure
            } else {
                1.0 - BACK_OFF * (1.0 - self.calm)
            };
            self.per_weight = self.per_weight.min(open / weight * back);
        }
        self.rate(now, weight, INTERVAL_MS, self.calm < 1.0 - SPREAD);
    }
}

impl Share {
    fn maximum(&self) -> f64 {
        self.contract.map_or(f64::INFINITY, |contract| contract.maximum)
    }

    /// What the forecast still wants on top of the budget.
    fn wanted(&self) -> f64 {
        self.forecast.min(self.maximum()) - self.budget
    }
}
