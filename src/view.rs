//! What the decision module holds and believes, to be looked at: nothing here decides or changes anything.

use crate::api::*;
use crate::state::{Balancer, TenantAccount};

/// What the module holds of one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberView {
    /// Which.
    pub member: BackendId,
    /// Connections of this node there, and attempts on their way.
    pub open: u32,
    /// Last reported load over capacity, and the report's age.
    pub report: Option<(f64, Millis)>,
    /// Load over capacity at its last trouble, as far as it still counts.
    pub trouble: f64,
    /// Part of its listed weight that it has in the round.
    pub weight: f64,
    /// Part warmed up.
    pub warmth: f64,
    /// For how long it is still avoided; 0 if it is not.
    pub avoided_ms: Millis,
    /// Failures in a row.
    pub fails: u32,
}

/// A tenant's figures of the last interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantView {
    /// Which.
    pub tenant: TenantId,
    /// Load asked for.
    pub demand: f64,
    /// Load expected.
    pub forecast: f64,
    /// Load that it may have.
    pub budget: f64,
    /// Connections that it may have.
    pub limit: f64,
    /// Connections that it has.
    pub open: u32,
    /// Transactions in its queue, some of which may have left.
    pub queued: usize,
}

impl Balancer {
    /// What is held of the members that are listed or hold connections.
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

    /// The tenants that have been heard of.
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

fn limit(account: &TenantAccount) -> f64 {
    if account.least_load > 0.0 { (account.budget / account.least_load).round().max(1.0) } else { 0.0 }
}
