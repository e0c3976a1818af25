//! Relays a member's bytes to the client in whole lines, so that the node can send a line of its own at any
//! time without ending one of the member's in its place.
//!
//! The start of a line is held back until its end arrives, so that no line is delayed. A line that is too long
//! to be held is relayed in parts; until its end nothing of the node's own may be sent.

use super::MAX_LINE_BYTES;

/// The member's bytes that are held back, and where in a line the client is.
#[derive(Default)]
pub(super) struct LineFramer {
    /// The start of a line whose end has not arrived, at most [`MAX_LINE_BYTES`].
    held: Vec<u8>,
    /// The client has been sent the start of a line but not its end.
    is_mid_line: bool,
}

impl LineFramer {
    /// Takes bytes of the member and appends those that may be sent now to `to_client`.
    pub(super) fn take(&mut self, bytes: &[u8], to_client: &mut Vec<u8>) {
        let Some(last_end) = bytes.iter().rposition(|byte| *byte == b'\n') else {
            return self.take_part(bytes, to_client);
        };
        let (lines, start) = bytes.split_at(last_end + 1);
        self.release(to_client);
        to_client.extend_from_slice(lines);
        self.is_mid_line = false;
        self.take_part(start, to_client);
    }

    /// Takes bytes that hold no line end.
    fn take_part(&mut self, part: &[u8], to_client: &mut Vec<u8>) {
        if self.is_mid_line {
            to_client.extend_from_slice(part);
            return;
        }
        self.held.extend_from_slice(part);
        if self.held.len() > MAX_LINE_BYTES {
            self.release(to_client);
        }
    }

    /// Appends the held start of a line to `to_client`.
    pub(super) fn release(&mut self, to_client: &mut Vec<u8>) {
        self.is_mid_line |= !self.held.is_empty();
        to_client.extend_from_slice(&self.held);
        self.discard();
    }

    /// Drops the held start of a line, which is then never sent.
    pub(super) fn discard(&mut self) {
        // Not cleared, so that a connection keeps no buffer between its lines.
        self.held = Vec::new();
    }

    /// Whether the member's last line has ended.
    pub(super) fn is_line_complete(&self) -> bool {
        self.held.is_empty() && !self.is_mid_line
    }

    /// Whether the client has been sent whole lines only.
    pub(super) fn is_between_lines(&self) -> bool {
        !self.is_mid_line
    }
}

#[cfg(test)]
mod tests;
