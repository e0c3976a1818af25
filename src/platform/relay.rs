//! What passes once a connection stands: bytes go through unchanged, but line ends are watched.

use super::parse::{Answer, answer};
use crate::api::Millis;
use std::collections::VecDeque;

/// Lines longer than this say nothing to the node; only their end counts.
const WATCHED: usize = 64;
/// Client lines whose replies are timed at once.
const TIMED: usize = 8;
/// A line without a reply for this long: with a line every 2 s a mute connection is told within 7 s.
const MUTE_MS: Millis = 4_500.0;

/// What a member's line told.
#[derive(Debug, PartialEq)]
pub(super) enum Seen {
    /// The reply to a client's line, after this time.
    Reply(Millis),
    /// The connection's load.
    Load(f64),
}

#[derive(Default)]
pub(super) struct Relay {
    line: Vec<u8>,
    begun: bool,
    last: Option<Answer>,
    asked: VecDeque<Millis>,
}

impl Relay {
    pub(super) fn client_sent(&mut self, now: Millis, bytes: &[u8]) {
        for _ in bytes.iter().filter(|b| **b == b'\n') {
            if self.asked.len() < TIMED {
                self.asked.push_back(now);
            }
        }
    }

    pub(super) fn server_sent(&mut self, now: Millis, bytes: &[u8], seen: &mut Vec<Seen>) {
        for &byte in bytes {
            self.begun = byte != b'\n';
            if byte != b'\n' {
                if self.line.len() < WATCHED {
                    self.line.push(byte);
                }
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let said = answer(String::from_utf8_lossy(&line).trim_end_matches('\r')).0;
            match said {
                Answer::Load(load) => seen.push(Seen::Load(load)),
                Answer::Bye | Answer::Move => {}
                _ => seen.extend(self.asked.pop_front().map(|at| Seen::Reply(now - at))),
            }
            self.last = Some(said);
        }
    }

    pub(super) fn between_lines(&self) -> bool {
        !self.begun
    }

    /// The last whole line.
    pub(super) fn last(&self) -> Option<Answer> {
        self.last
    }

    /// When the member counts as mute.
    pub(super) fn mute_at(&self) -> Option<Millis> {
        self.asked.front().map(|at| at + MUTE_MS)
    }
}
