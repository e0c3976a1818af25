//! The node's side of a drain permit: requests one until a voter answers, starts the drain when the current
//! request is granted, and repeats the release until the log is known to have it.

use crate::entry::{Entry, Request};
use crate::state::Answer;

/// Delay between two attempts, each sent to the next voter in turn. Several times what it takes to commit an
/// entry.
const RETRY_INTERVAL_MS: u64 = 150;

/// Upper bound on releases that no voter has acknowledged yet. Reached by a node that requests and withdraws
/// over and over while no voter answers.
const MAX_PENDING_RELEASES: usize = 32;

#[derive(Debug)]
struct Pending {
    request: Request,
    last_answer: Option<Answer>,
    fence: Option<u64>,
}

/// A node's current permit request and the releases that are still to be acknowledged.
#[derive(Debug, Default)]
pub struct PermitClient {
    current: Option<Pending>,
    /// Requests to release, each kept until a voter answers that the log has the release.
    releases: Vec<Request>,
    next_attempt_ms: u64,
}

impl PermitClient {
    /// Requests a permit under this new request number. Does nothing if a request or a permit is current
    /// already, or if `MAX_PENDING_RELEASES` releases are unacknowledged.
    pub fn request_permit(&mut self, request: Request) {
        if self.current.is_none() && self.releases.len() < MAX_PENDING_RELEASES {
            self.current = Some(Pending { request, last_answer: None, fence: None });
            self.next_attempt_ms = 0;
        }
    }

    /// Withdraws the current request or releases the permit that is held: the node takes clients again.
    pub fn release(&mut self) {
        if let Some(pending) = self.current.take() {
            self.releases.push(pending.request);
            self.next_attempt_ms = 0;
        }
    }

    /// The state of the current request, as shown to operators; also says when no voter has answered yet.
    /// `None` if there is no request.
    pub fn status_text(&self) -> Option<String> {
        let Some(pending) = &self.current else {
            return (self.releases.len() >= MAX_PENDING_RELEASES)
                .then(|| format!("waiting: {MAX_PENDING_RELEASES} are still to be given back"));
        };
        Some(match (&pending.fence, &pending.last_answer) {
            (Some(fence), _) => format!("permit {fence}"),
            (None, Some(Answer::Waiting(why))) => format!("waiting: {why}"),
            (None, Some(Answer::Refused(why))) => format!("refused: {why}"),
            (None, _) => "waiting: no voter has answered".to_owned(),
        })
    }

    /// The fencing token of the permit that the node holds.
    pub fn fence(&self) -> Option<u64> {
        self.current.as_ref()?.fence
    }

    /// Takes a voter's answer. Returns true if the node is to start draining now: only when the current
    /// request is granted to the node's current incarnation. A grant to an earlier incarnation is void as
    /// soon as the log has the current one as serving, but its message may still arrive late.
    pub fn answered(&mut self, request: Request, answer: Answer, incarnation: u64) -> bool {
        if answer == Answer::Over {
            self.releases.retain(|released| *released != request);
        }
        let Some(pending) = self.current.as_mut().filter(|pending| pending.request == request) else {
            return false;
        };
        let starts_drain = match answer {
            Answer::Granted { fence, incarnation: to } if pending.fence.is_none() && to == incarnation => {
                pending.fence = Some(fence);
                true
            }
            // The request was made by an earlier incarnation and has ended: request anew. A node that already
            // drains under a permit finishes.
            Answer::Over if pending.fence.is_none() => {
                *pending = Pending { request: request.wrapping_add(1), last_answer: None, fence: None };
                return false;
            }
            _ => false,
        };
        pending.last_answer = Some(answer);
        starts_drain
    }

    /// Returns the entries to propose now; empty before the next attempt is due. The caller sends them to the
    /// next voter in turn.
    pub fn due(&mut self, now: u64, node: &str, incarnation: u64) -> Vec<Entry> {
        if now < self.next_attempt_ms {
            return Vec::new();
        }
        self.next_attempt_ms = now + RETRY_INTERVAL_MS;
        let ungranted = self.current.as_ref().filter(|pending| pending.fence.is_none());
        let ask_entry = ungranted.map(|pending| Entry::Ask {
            request: pending.request,
            node: node.to_owned(),
            incarnation,
        });
        ask_entry.into_iter().chain(self.releases.iter().map(|request| Entry::Release(*request))).collect()
    }
}

#[cfg(test)]
mod tests;
