//! Numbers the messages of one direction of a stream and keeps them until they are acknowledged.
//!
//! Messages are numbered from 1; a position is the number of the last message. XEP-0198 counts modulo 2^32,
//! and so does the protocol: [`Positions::ack_wire_count`] maps such a count to a position.

use std::collections::VecDeque;

/// Positions and unacknowledged messages of one direction of a stream.
#[derive(Clone, Debug, Default)]
pub struct Positions {
    /// Number of the last message sent.
    sent: u64,
    /// Number of the last acknowledged message.
    acked: u64,
    /// Messages sent but not acknowledged, oldest first.
    unacked: VecDeque<Vec<u8>>,
    /// Total size of the unacknowledged messages.
    bytes: usize,
    /// Upper bound of `bytes`.
    max_bytes: usize,
}

/// Keeping the message would exceed the byte limit. Nothing more may be read in this direction until the peer
/// acknowledges a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// A message was acknowledged that was never sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AckError {
    /// Number of the acknowledged message.
    pub acked: u64,
    /// Number of the last message sent.
    pub sent: u64,
}

/// The requested messages are no longer kept, or the requested position is beyond the last message sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap;

impl Positions {
    /// Returns the state of a direction in which everything up to position `at` is acknowledged, and which
    /// keeps up to `max_bytes` of unacknowledged messages.
    pub fn new(at: u64, max_bytes: usize) -> Self {
        Positions { sent: at, acked: at, unacked: VecDeque::new(), bytes: 0, max_bytes }
    }

    /// Returns the number of the last message sent.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns the number of the last acknowledged message.
    pub fn acked(&self) -> u64 {
        self.acked
    }

    /// Returns the total size of the unacknowledged messages, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Keeps a message until it is acknowledged, and returns its number.
    ///
    /// # Errors
    /// If the message would exceed the byte limit; nothing is changed then.
    pub fn send(&mut self, message: Vec<u8>) -> Result<u64, Full> {
        if self.bytes + message.len() > self.max_bytes {
            return Err(Full);
        }
        self.bytes += message.len();
        self.unacked.push_back(message);
        self.sent += 1;
        Ok(self.sent)
    }

    /// Acknowledges all messages up to this one and drops them. An acknowledgement older than the last has no
    /// effect.
    ///
    /// # Errors
    /// If the message was never sent; nothing is changed then.
    pub fn ack(&mut self, up_to: u64) -> Result<(), AckError> {
        if up_to > self.sent {
            return Err(AckError { acked: up_to, sent: self.sent });
        }
        while self.acked < up_to {
            if let Some(message) = self.unacked.pop_front() {
                self.bytes -= message.len();
            }
            self.acked += 1;
        }
        Ok(())
    }

    /// Acknowledges messages by a count modulo 2^32, as sent in the protocol. It stands for the lowest
    /// matching position that is not below the last acknowledged one.
    ///
    /// # Errors
    /// As for [`Positions::ack`].
    pub fn ack_wire_count(&mut self, count: u32) -> Result<(), AckError> {
        let ahead = count.wrapping_sub(self.acked as u32);
        self.ack(self.acked + u64::from(ahead))
    }

    /// Returns the numbered messages that follow a position, to be sent again.
    ///
    /// # Errors
    /// If some of these messages are no longer kept, or the position is beyond the last message sent:
    /// continuing from there would leave a gap that neither side notices.
    pub fn unacked_after(&self, position: u64) -> Result<impl Iterator<Item = (u64, &[u8])>, Gap> {
        if position < self.acked || position > self.sent {
            return Err(Gap);
        }
        let skip = (position - self.acked) as usize;
        let numbered = self.unacked.iter().enumerate().skip(skip);
        let first = self.acked + 1;
        Ok(numbered.map(move |(at, message)| (first + at as u64, message.as_slice())))
    }
}
