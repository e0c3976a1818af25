//! Observes an established connection: the member's last line, and how long the member takes to reply. The
//! bytes pass through [`framing`](super::framing).

use super::parse::{MemberLine, member_line};
use crate::api::Millis;
use std::collections::VecDeque;

/// Bytes of a member's line that are kept to identify it. The rest of a longer line is only searched for its
/// end.
const MAX_PARSED_BYTES: usize = 64;
/// Client lines whose replies are timed at once.
const MAX_TIMED_LINES: usize = 8;
/// A connection counts as mute once a client line has had no reply for this long. With a line every 2 s a
/// mute connection is detected within 7 s.
const REPLY_TIMEOUT_MS: Millis = 4_500.0;

/// What a member's line says about the connection.
#[derive(Debug, PartialEq)]
pub(super) enum Event {
    /// A client line was replied to after this time.
    Reply(Millis),
    /// The connection's load.
    Load(f64),
}

/// The lines that have passed on an established connection.
#[derive(Default)]
pub(super) struct Relay {
    /// The start of the member's current line.
    line: Vec<u8>,
    last_line: Option<MemberLine>,
    /// When each client line that awaits its reply was relayed, oldest first.
    awaiting_reply: VecDeque<Millis>,
}

impl Relay {
    pub(super) fn client_sent(&mut self, now: Millis, bytes: &[u8]) {
        for _ in bytes.iter().filter(|b| **b == b'\n') {
            if self.awaiting_reply.len() < MAX_TIMED_LINES {
                self.awaiting_reply.push_back(now);
            }
        }
    }

    pub(super) fn member_sent(&mut self, now: Millis, bytes: &[u8], events: &mut Vec<Event>) {
        for &byte in bytes {
            if byte != b'\n' {
                if self.line.len() < MAX_PARSED_BYTES {
                    self.line.push(byte);
                }
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let kind = member_line(String::from_utf8_lossy(&line).trim_end_matches('\r')).0;
            match kind {
                MemberLine::Load(load) => events.push(Event::Load(load)),
                MemberLine::Bye | MemberLine::Move => {}
                _ => events.extend(self.awaiting_reply.pop_front().map(|sent| Event::Reply(now - sent))),
            }
            self.last_line = Some(kind);
        }
    }

    /// The member's last complete line.
    pub(super) fn last_line(&self) -> Option<MemberLine> {
        self.last_line
    }

    /// When the connection counts as mute if the member has not replied by then.
    pub(super) fn reply_deadline(&self) -> Option<Millis> {
        self.awaiting_reply.front().map(|sent| sent + REPLY_TIMEOUT_MS)
    }
}
