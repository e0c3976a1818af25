//! A node's side of a permit: it asks until it is answered, drains on a grant of what it still asks, and gives back until
//! that is known.

use crate::entry::{Entry, Request};
use crate::state::Answer;

/// Between two tries, each at another voter: several times what an agreed entry takes.
const AGAIN_MS: u64 = 150;

/// Requests that are still to be given back, at most: one asked and withdrawn over and over while no voter answers.
const BACKS: usize = 32;

#[derive(Debug)]
struct Asked {
    request: Request,
    last: Option<Answer>,
    fence: Option<u64>,
}

/// What a node asks and holds.
#[derive(Debug, Default)]
pub struct PermitClient {
    asks: Option<Asked>,
    /// What it gives back, until it is known that the log has it.
    backs: Vec<Request>,
    due: u64,
}

impl PermitClient {
    /// Asks under this new number, unless it asks or holds already.
    pub fn request_permit(&mut self, request: Request) {
        if self.asks.is_none() && self.backs.len() < BACKS {
            self.asks = Some(Asked { request, last: None, fence: None });
            self.due = 0;
        }
    }

    /// Asks no more, or gives back what it holds: the node serves.
    pub fn release(&mut self) {
        if let Some(status) = self.asks.take() {
            self.backs.push(status.request);
            self.due = 0;
        }
    }

    /// What it has been told; none: it asks for nothing. A last answer that has not come is said.
    pub fn status_text(&self) -> Option<String> {
        let Some(status) = &self.asks else {
            return (self.backs.len() >= BACKS)
                .then(|| format!("waiting: {BACKS} are still to be given back"));
        };
        Some(match (&status.fence, &status.last) {
            (Some(fence), _) => format!("permit {fence}"),
            (None, Some(Answer::Waiting(why))) => format!("waiting: {why}"),
            (None, Some(Answer::Refused(why))) => format!("refused: {why}"),
            (None, _) => "waiting: no voter has answered".to_owned(),
        })
    }

    /// The number of the permit that it holds.
    pub fn fence(&self) -> Option<u64> {
        self.asks.as_ref()?.fence
    }

    /// A voter has answered. True if the node is to drain now: only on a grant of what it asks at this moment, to this coming
    /// of it. One to an earlier coming is over as soon as this one is seen serving, and may be told late all the same.
    pub fn answered(&mut self, request: Request, answer: Answer, incarnation: u64) -> bool {
        if answer == Answer::Over {
            self.backs.retain(|back| *back != request);
        }
        let Some(status) = self.asks.as_mut().filter(|status| status.request == request) else {
            return false;
        };
        let begins = match answer {
            Answer::Granted { fence, incarnation: to } if status.fence.is_none() && to == incarnation => {
                status.fence = Some(fence);
                true
            }
            // Of an earlier coming: it asks anew. One that drains already finishes.
            Answer::Over if status.fence.is_none() => {
                *status = Asked { request: request.wrapping_add(1), last: None, fence: None };
                return false;
            }
            _ => false,
        };
        status.last = Some(answer);
        begins
    }

    /// What is to be proposed now, to another voter each time.
    pub fn due(&mut self, now: u64, node: &str, incarnation: u64) -> Vec<Entry> {
        if now < self.due {
            return Vec::new();
        }
        self.due = now + AGAIN_MS;
        let asks = self.asks.as_ref().filter(|status| status.fence.is_none());
        let request_permit =
            asks.map(|status| Entry::Ask { request: status.request, node: node.to_owned(), incarnation });
        request_permit.into_iter().chain(self.backs.iter().map(|request| Entry::Back(*request))).collect()
    }
}

#[cfg(test)]
mod tests;
