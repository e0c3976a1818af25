//! The life of a request after it was sent: established, ended, tried again, answered.

use crate::api::*;
use crate::state::*;

/// A request that so many backends answer with an error is itself at fault.
const ERRORS_MOST: usize = 3;

impl Balancer {
    pub(super) fn adopted(&mut self, now: Millis, request: Request, backend: BackendId) {
        self.settled = true; // no newcomer: it holds what is its own
        self.enter(now, request, f64::INFINITY);
        if let Some(entry) = self.entries.get_mut(&request.id) {
            (entry.state, entry.backend, entry.tries) = (State::Open, Some(backend), 1);
        }
        self.occupy(request.id, 1);
    }

    pub(super) fn established(&mut self, now: Millis, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.state == State::Out) else { return };
        entry.state = State::Open;
        let erred = std::mem::take(&mut entry.erred);
        self.placed += 1.0; // attempts that fail say nothing of what a backend can take
        let backend = entry.backend.and_then(|b| self.servers.get_mut(&b));
        backend.into_iter().for_each(|server| server.alive(now));
        // What one backend serves and another answers with an error is that other's fault.
        erred.into_iter().for_each(|backend| self.judge(now, backend, Outcome::Error, false));
    }

    pub(super) fn ended(
        &mut self,
        now: Millis,
        id: RequestId,
        at: BackendId,
        how: Outcome,
        over: bool,
        out: &mut Out,
    ) {
        let Some(entry) = self.entries.get(&id).filter(|e| e.state >= State::Out) else { return };
        let (tenant, left, stood) = (entry.request.tenant, entry.left, entry.state == State::Open);
        self.occupy(id, -1);
        // An error may be the request's own fault: nobody is blamed until another backend serves it.
        let error = how == Outcome::Error && !stood;
        if !error {
            self.judge(now, at, how, stood);
        }
        let info = self.servers.get(&at).map(|s| s.info);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.backend = None;
        entry.erred.extend(error.then_some(at));
        let hopeless = entry.erred.len() >= ERRORS_MOST;
        if !matches!(how, Outcome::Full | Outcome::Unreachable | Outcome::NotSent) {
            entry.may_have_run = entry.may_have_run.or(info.map(|info| (info, entry.sent)));
        }
        if over || left {
            self.entries.remove(&id);
        } else if hopeless {
            self.finish(now, id, out);
        } else {
            self.admit(now, id, out);
        }
        self.release(now, tenant, out);
    }

    pub(super) fn departed(&mut self, id: RequestId, out: &mut Out) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.left = true;
        if entry.state < State::Out {
            self.entries.remove(&id); // its queue drops ids without an entry when their turn comes
        } else if entry.state == State::Out && self.settings.cancel {
            out.push(Action::CancelAttempt { id, attempt: entry.tries.saturating_sub(1) });
        }
    }

    /// The final answer for a request that is not out: refused where that is harmless, else failed.
    pub(super) fn finish(&mut self, now: Millis, id: RequestId, out: &mut Out) {
        let Some(entry) = self.entries.remove(&id) else { return };
        let effect = self.settings.class(entry.request.class).effect;
        let harmless = entry.may_have_run.is_none()
            || matches!(effect, Effect::Free | Effect::Guarded { within: RepeatGroup::All, .. });
        if let Some(share) = self.tenants.get_mut(&entry.request.tenant) {
            (share.refused, share.seen) = (share.refused + entry.request.load(), now);
        }
        let retry_after_ms = self.settings.max_retry_after_ms * (0.2 + 0.8 * draw(&mut self.rng));
        out.push(if harmless { Action::Refuse { id, retry_after_ms } } else { Action::Fail { id } });
    }
}
