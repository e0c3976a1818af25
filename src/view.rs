//! What the decision module holds and believes, to be looked at: nothing here decides or changes anything.

use crate::api::*;
use crate::state::{Balancer, Share};

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
        self.servers.iter().map(move |(&member, server)| MemberView {
            member,
            open: server.open,
            report: server.report.map(|(load, at)| (load, now - at)),
            trouble: server.peak,
            weight: server.weight / server.size(),
            warmth: server.capacity / server.size(),
            avoided_ms: (server.avoid_until - now).max(0.0),
            fails: server.fails,
        })
    }

    /// The tenants that have been heard of.
    pub fn tenant_views(&self) -> impl Iterator<Item = TenantView> + '_ {
        self.tenants.iter().map(|(&tenant, share)| TenantView {
            tenant,
            demand: share.last,
            forecast: share.forecast,
            budget: share.budget,
            limit: limit(share),
            open: share.open,
            queued: share.queue.len(),
        })
    }
}

fn limit(share: &Share) -> f64 {
    if share.least_load > 0.0 { (share.budget / share.least_load).round().max(1.0) } else { 0.0 }
}
