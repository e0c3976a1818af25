//! Requests after they were sent: established, ended, retried, answered.

use crate::api::*;
use crate::state::*;

/// A request that this many backends answer with an error is at fault itself and is not retried.
const MAX_ERROR_ANSWERS: usize = 3;

impl Balancer {
    /// Records a connection that was open through this node before it started.
    pub(super) fn adopted(&mut self, now: Millis, request: Request, backend: BackendId) {
        self.has_adopted = true; // not a new node: the adopted connections count as its load
        self.create_entry(now, request, f64::INFINITY);
        if let Some(entry) = self.entries.get_mut(&request.id) {
            (entry.state, entry.backend, entry.attempts) = (State::Open, Some(backend), 1);
        }
        self.account_connection(request.id, 1);
    }

    /// Marks the connection as open and clears its backend's failures.
    pub(super) fn established(&mut self, now: Millis, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.state == State::InFlight) else { return };
        entry.state = State::Open;
        let errored_on = std::mem::take(&mut entry.errored_on);
        self.placed_in_interval += 1.0; // failed attempts say nothing about what backends can take
        let backend = entry.backend.and_then(|b| self.backends.get_mut(&b));
        backend.into_iter().for_each(|record| record.mark_answered(now));
        // One backend serves the request, so the errors of the others were their own fault.
        errored_on.into_iter().for_each(|backend| self.record_outcome(now, backend, Outcome::Error, false));
    }

    /// Handles the end of an attempt or connection: drops the request, retries it or gives the final answer.
    pub(super) fn ended(
        &mut self,
        now: Millis,
        id: RequestId,
        at: BackendId,
        how: Outcome,
        over: bool,
        out: &mut Actions,
    ) {
        let Some(entry) = self.entries.get(&id).filter(|e| e.state >= State::InFlight) else { return };
        let (tenant, left, was_open) = (entry.request.tenant, entry.client_left, entry.state == State::Open);
        self.account_connection(id, -1);
        // An error may be the request's own fault, so it counts against the backend only if another backend
        // serves the request later.
        let error = how == Outcome::Error && !was_open;
        if !error {
            self.record_outcome(now, at, how, was_open);
        }
        let info = self.backends.get(&at).map(|s| s.info);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.backend = None;
        entry.errored_on.extend(error.then_some(at));
        let too_many_errors = entry.errored_on.len() >= MAX_ERROR_ANSWERS;
        if !matches!(how, Outcome::Full | Outcome::Unreachable | Outcome::NotSent) {
            entry.may_have_run = entry.may_have_run.or(info.map(|info| (info, entry.sent_at)));
        }
        if over || left {
            self.entries.remove(&id);
        } else if too_many_errors {
            self.finish(now, id, out);
        } else {
            self.admit(now, id, out);
        }
        self.release(now, tenant, out);
    }

    /// Handles a client that left: forgets a request that was not sent, or cancels its attempt if allowed.
    pub(super) fn client_gone(&mut self, id: RequestId, out: &mut Actions) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.client_left = true;
        if entry.state < State::InFlight {
            self.entries.remove(&id); // the queue drops ids without an entry at its head
        } else if entry.state == State::InFlight && self.settings.cancel {
            out.push(Action::CancelAttempt { id, attempt: entry.attempts.saturating_sub(1) });
        }
    }

    /// Gives the final answer to a request without an attempt in flight: refused if a retry is harmless,
    /// otherwise failed.
    pub(super) fn finish(&mut self, now: Millis, id: RequestId, out: &mut Actions) {
        let Some(entry) = self.entries.remove(&id) else { return };
        let effect = self.settings.class(entry.request.class).effect;
        let harmless = entry.may_have_run.is_none()
            || matches!(effect, Effect::Free | Effect::Guarded { within: RepeatGroup::All, .. });
        if let Some(account) = self.tenants.get_mut(&entry.request.tenant) {
            (account.refused, account.last_active) = (account.refused + entry.request.load(), now);
        }
        let retry_after_ms = self.settings.max_retry_after_ms * (0.2 + 0.8 * draw(&mut self.rng));
        out.push(if harmless { Action::Refuse { id, retry_after_ms } } else { Action::Fail { id } });
    }
}
