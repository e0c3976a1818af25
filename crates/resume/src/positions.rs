//! Messages numbered in one direction, and what of them must be kept until it is acknowledged.
//!
//! Messages are numbered from 1; a position is the number of the last one. XEP-0198 counts modulo 2^32, and so does the
//! wire: [`Positions::acked_on_wire`] finds the position that is meant.

use std::collections::VecDeque;

/// Messages of one direction of a stream.
#[derive(Clone, Debug, Default)]
pub struct Positions {
    /// The last message's number.
    sent: u64,
    /// The last acknowledged message's number.
    acked: u64,
    /// Those between, the oldest first.
    kept: VecDeque<Vec<u8>>,
    bytes: usize,
    most: usize,
}

/// No room to keep a message: nothing more may be read in this direction until something is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// An acknowledgement of what was never sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AckError {
    /// What was acknowledged.
    pub acked: u64,
    /// The last message that was sent.
    pub sent: u64,
}

/// What was asked for is not kept any more, or was never sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap;

impl Positions {
    /// A direction that has come to a position, and keeps up to `most` bytes of what is not acknowledged.
    pub fn new(at: u64, most: usize) -> Self {
        Positions { sent: at, acked: at, kept: VecDeque::new(), bytes: 0, most }
    }

    /// The last message's number.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// The last acknowledged message's number.
    pub fn acked(&self) -> u64 {
        self.acked
    }

    /// Bytes that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Numbers and keeps a message.
    ///
    /// # Errors
    /// If there is no room; nothing has changed then.
    pub fn send(&mut self, message: Vec<u8>) -> Result<u64, Full> {
        if self.bytes + message.len() > self.most {
            return Err(Full);
        }
        self.bytes += message.len();
        self.kept.push_back(message);
        self.sent += 1;
        Ok(self.sent)
    }

    /// All up to this one have arrived. An older word than the last changes nothing.
    ///
    /// # Errors
    /// If it names a message that was never sent; nothing has changed then.
    pub fn ack(&mut self, upto: u64) -> Result<(), AckError> {
        if upto > self.sent {
            return Err(AckError { acked: upto, sent: self.sent });
        }
        while self.acked < upto {
            if let Some(message) = self.kept.pop_front() {
                self.bytes -= message.len();
            }
            self.acked += 1;
        }
        Ok(())
    }

    /// The same by a count modulo 2^32, as the wire has it: the least position from the last acknowledged one on.
    ///
    /// # Errors
    /// As for [`Positions::ack`].
    pub fn acked_on_wire(&mut self, count: u32) -> Result<(), AckError> {
        let ahead = count.wrapping_sub(self.acked as u32);
        self.ack(self.acked + u64::from(ahead))
    }

    /// What follows this position, to be sent once more.
    ///
    /// # Errors
    /// If part of it is not kept any more, or the position is beyond what was sent: to go on from there would leave a
    /// gap that nobody sees.
    pub fn after(&self, position: u64) -> Result<impl Iterator<Item = (u64, &[u8])>, Gap> {
        if position < self.acked || position > self.sent {
            return Err(Gap);
        }
        let skip = (position - self.acked) as usize;
        let numbered = self.kept.iter().enumerate().skip(skip);
        let first = self.acked + 1;
        Ok(numbered.map(move |(at, message)| (first + at as u64, message.as_slice())))
    }
}
