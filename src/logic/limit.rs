//! Each tenant's connection limit, and the pacing of its queued requests.

use crate::api::*;
use crate::state::*;

/// Pacing coefficient a: delay of one unit of load while the tenant is over its budget by one whole budget.
const PACE_OVERLOAD_MS: Millis = 200.0;
/// Pacing coefficient b: further delay of one unit of load for each budget-second of excess.
const PACE_EXCESS_MS: Millis = 100.0;

impl Balancer {
    /// Queues a new request and releases it at once if its tenant's limit and pacing allow it.
    pub(super) fn request_arrived(&mut self, now: Millis, request: Request, out: &mut Actions) {
        let grace = if request.grace_ms.is_finite() { request.grace_ms.max(0.0) } else { 0.0 };
        let new = !self.tenants.contains_key(&request.tenant);
        self.create_entry(now, request, now + grace);
        if new {
            self.assign_budgets(now);
        }
        if request.mid_flow {
            return self.admit(now, request.id, out);
        }
        if let Some(account) = self.tenants.get_mut(&request.tenant) {
            account.queue.push_back(request.id);
        }
        self.release(now, request.tenant, out);
        if let Some(entry) = self.entries.get(&request.id).filter(|e| e.state == State::Queued) {
            let id = TimerId(TIMER_REQUESTS + request.id.0);
            out.push(Action::SetTimer { at: entry.give_up_at.max(now), id });
        }
    }

    /// Creates the request's entry and updates its tenant's contract, priority and least load.
    pub(super) fn create_entry(&mut self, now: Millis, request: Request, deadline: Millis) {
        let (class, request) = (self.settings.class(request.class), self.normalize_hint(request));
        let account = self.tenants.entry(request.tenant).or_default();
        (account.last_active, account.contract) = (now, self.settings.contract(request.tenant));
        account.priority =
            account.contract.map_or(account.priority.max(class.worth), |contract| contract.priority);
        let least = if account.least_load > 0.0 { account.least_load } else { f64::INFINITY };
        account.least_load = least.min(request.load());
        let give_up_at = deadline - 4.0 * self.settings.tick_ms; // events come in batches, once a tick
        self.entries.insert(request.id, Entry { request, deadline, give_up_at, ..Entry::default() });
    }

    pub(super) fn release_all(&mut self, now: Millis, out: &mut Actions) {
        let tenants: Vec<TenantId> = self.tenants.keys().copied().collect();
        tenants.into_iter().for_each(|tenant| self.release(now, tenant, out));
    }

    /// Admits queued requests while the tenant is under its limit.
    ///
    /// The limit is the budget over the least load of a connection, rounded and at least one. While the load
    /// S exceeds the budget B, the head of the queue is delayed by a(S-B)/B + bE for each unit of its load,
    /// where E is the accumulated excess.
    pub(super) fn release(&mut self, now: Millis, tenant: TenantId, out: &mut Actions) {
        while let Some(account) = self.tenants.get_mut(&tenant) {
            let Some(&id) = account.queue.front() else { return };
            let Some(entry) = self.entries.get_mut(&id) else {
                account.queue.pop_front();
                continue;
            };
            let limit = (account.budget / account.least_load).round().max(1.0);
            if f64::from(account.open) >= limit {
                return;
            }
            if account.load > account.budget {
                let over = (account.load - account.budget) / account.budget.max(1.0);
                let delay =
                    (PACE_OVERLOAD_MS * over + PACE_EXCESS_MS * account.excess) * entry.request.load();
                let at = *entry.release_at.get_or_insert_with(|| {
                    out.push(Action::SetTimer { at: now + delay, id: TimerId(TIMER_REQUESTS + id.0) });
                    now + delay
                });
                if now < at {
                    return;
                }
            }
            account.queue.pop_front();
            self.admit(now, id, out);
        }
    }

    /// Handles a request's timer: releases or retries it, or gives up once its time is over.
    pub(super) fn request_timer(&mut self, now: Millis, timer: TimerId, out: &mut Actions) {
        let id = RequestId(timer.0.wrapping_sub(TIMER_REQUESTS));
        match self.entries.get(&id).map(|entry| (entry.state, entry.request.tenant)) {
            Some((State::Queued, tenant)) => self.release(now, tenant, out),
            Some((State::Waiting, _)) => self.admit(now, id, out),
            _ => return,
        }
        if self.entries.get(&id).is_some_and(|e| e.state < State::InFlight && now >= e.give_up_at) {
            self.finish(now, id, out);
        }
    }
}
