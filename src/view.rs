//! Read-only views of the decision module's state, for the event log and metrics.

use crate::api::*;
use crate::state::{Balancer, TenantAccount};

/// What the decision module knows about one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberView {
    /// Which member.
    pub member: BackendId,
    /// Connections and attempts of this node there.
    pub open: u32,
    /// Last reported load over capacity, and the report's age in milliseconds.
    pub report: Option<(f64, Millis)>,
    /// Load over capacity at its last trouble, decaying over time.
    pub trouble: f64,
    /// Its weight in the round robin, as a fraction of its listed weight.
    pub weight: f64,
    /// Warmed-up share of its capacity.
    pub warmth: f64,
    /// Remaining time of its pause after a failure; 0 if it is not paused.
    pub avoided_ms: Millis,
    /// Failures in a row.
    pub fails: u32,
}

/// A tenant's demand and limits as of the last interval, and its current connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantView {
    /// Which tenant.
    pub tenant: TenantId,
    /// Load requested.
    pub demand: f64,
    /// Load expected in the next interval.
    pub forecast: f64,
    /// Load that the tenant may have.
    pub budget: f64,
    /// Connections that the tenant may have.
    pub limit: f64,
    /// Connections that are open or being attempted.
    pub open: u32,
    /// Transactions in its queue, including some whose clients may have left.
    pub queued: usize,
}

impl Balancer {
    /// Returns the members that are listed or hold connections.
    pub fn member_views(&self, now: Millis) -> impl Iterator<Item = MemberView> + '_ {
        self.backends.iter().map(move |(&member, record)| MemberView {
            member,
            open: record.open,
            report: record.report.map(|(load, at)| (load, now - at)),
            trouble: record.peak_load,
            weight: record.weight / record.size(),
            warmth: record.capacity / record.size(),
            avoided_ms: (record.avoid_until - now).max(0.0),
            fails: record.failures,
        })
    }

    /// Returns the tenants that have sent requests.
    pub fn tenant_views(&self) -> impl Iterator<Item = TenantView> + '_ {
        self.tenants.iter().map(|(&tenant, account)| TenantView {
            tenant,
            demand: account.last_demand,
            forecast: account.forecast,
            budget: account.budget,
            limit: limit(account),
            open: account.open,
            queued: account.queue.len(),
        })
    }
}

/// Returns the tenant's connection limit, or 0 before its first request.
fn limit(account: &TenantAccount) -> f64 {
    if account.least_load > 0.0 { (account.budget / account.least_load).round().max(1.0) } else { 0.0 }
}
