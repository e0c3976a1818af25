//! Each tenant's limit of connections, and the pacing of those that queue.

use crate::api::*;
use crate::state::*;

/// Pacing a and b: delay of one unit of load when one budget over budget, and when that has lasted a second.
const PACE_A_MS: Millis = 200.0;
const PACE_B_MS: Millis = 100.0;

impl Balancer {
    pub(super) fn arrived(&mut self, now: Millis, request: Request, out: &mut Out) {
        let grace = if request.grace_ms.is_finite() { request.grace_ms.max(0.0) } else { 0.0 };
        let new = !self.tenants.contains_key(&request.tenant);
        self.enter(now, request, now + grace);
        if new {
            self.budget(now);
        }
        if request.mid_flow {
            return self.admit(now, request.id, out);
        }
        if let Some(share) = self.tenants.get_mut(&request.tenant) {
            share.queue.push_back(request.id);
        }
        self.release(now, request.tenant, out);
        if let Some(entry) = self.entries.get(&request.id).filter(|e| e.state == State::Held) {
            let id = TimerId(TIMER_REQUESTS + request.id.0);
            out.push(Action::SetTimer { at: entry.give_up.max(now), id });
        }
    }

    pub(super) fn enter(&mut self, now: Millis, request: Request, deadline: Millis) {
        let (class, request) = (self.settings.class(request.class), self.in_usual(request));
        let share = self.tenants.entry(request.tenant).or_default();
        (share.seen, share.contract) = (now, self.settings.contract(request.tenant));
        share.priority = share.contract.map_or(share.priority.max(class.worth), |contract| contract.priority);
        let least = if share.least_load > 0.0 { share.least_load } else { f64::INFINITY };
        share.least_load = least.min(request.load());
        let give_up = deadline - 4.0 * self.settings.tick_ms; // batches come once a tick
        self.entries.insert(request.id, Entry { request, deadline, give_up, ..Entry::default() });
    }

    pub(super) fn release_all(&mut self, now: Millis, out: &mut Out) {
        let tenants: Vec<TenantId> = self.tenants.keys().copied().collect();
        tenants.into_iter().for_each(|tenant| self.release(now, tenant, out));
    }

    /// Lets queued requests go while the tenant is under its limit (budget over minimum rate, rounded, at
    /// least one); the first in the queue waits a(S-B)+bE while S exceeds B.
    pub(super) fn release(&mut self, now: Millis, tenant: TenantId, out: &mut Out) {
        while let Some(share) = self.tenants.get_mut(&tenant) {
            let Some(&id) = share.queue.front() else { return };
            let Some(entry) = self.entries.get_mut(&id) else {
                share.queue.pop_front();
                continue;
            };
            let limit = (share.budget / share.least_load).round().max(1.0);
            if f64::from(share.open) >= limit {
                return;
            }
            if share.load > share.budget {
                let over = (share.load - share.budget) / share.budget.max(1.0);
                let delay = (PACE_A_MS * over + PACE_B_MS * share.excess) * entry.request.load();
                let at = *entry.release_at.get_or_insert_with(|| {
                    out.push(Action::SetTimer { at: now + delay, id: TimerId(TIMER_REQUESTS + id.0) });
                    now + delay
                });
                if now < at {
                    return;
                }
            }
            share.queue.pop_front();
            self.admit(now, id, out);
        }
    }

    pub(super) fn held_timer(&mut self, now: Millis, timer: TimerId, out: &mut Out) {
        let id = RequestId(timer.0.wrapping_sub(TIMER_REQUESTS));
        match self.entries.get(&id).map(|entry| (entry.state, entry.request.tenant)) {
            Some((State::Held, tenant)) => self.release(now, tenant, out),
            Some((State::Waiting, _)) => self.admit(now, id, out),
            _ => return,
        }
        if self.entries.get(&id).is_some_and(|e| e.state < State::Out && now >= e.give_up) {
            self.finish(now, id, out);
        }
    }
}
