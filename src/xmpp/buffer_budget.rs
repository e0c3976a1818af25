//! Limits the bytes that all streams of a process hold together for peers that have not finished what they
//! send, or do not read what they are sent.
//!
//! Each stream may hold [`OWN_BYTES`], enough for any stanza that RFC 6120 (13.12) wants accepted. What it holds
//! beyond that comes out of a budget that all streams share.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that a stream may hold for itself.
pub(super) const OWN_BYTES: usize = 16 * 1024;
/// Bytes that all streams together may hold beyond their own.
const SHARED_BYTES: usize = 4 * 1024 * 1024;

/// The shared budget.
#[derive(Clone, Debug, Default)]
pub struct BufferBudget {
    used: Rc<Cell<usize>>,
}

/// One stream's part of the shared budget; returned when dropped.
#[derive(Debug)]
pub(super) struct Share {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    /// Returns an empty share.
    pub(super) fn share(&self) -> Share {
        Share { budget: self.clone(), bytes: 0 }
    }
}

impl Share {
    /// Sets how many bytes the stream holds in all. Returns false if the budget does not allow as many; they count
    /// all the same until the stream has dropped them.
    pub(super) fn set(&mut self, held_bytes: usize) -> bool {
        let bytes = held_bytes.saturating_sub(OWN_BYTES);
        let has_grown = bytes > self.bytes;
        let used = self.budget.used.get() - self.bytes + bytes;
        self.budget.used.set(used);
        self.bytes = bytes;
        !has_grown || used <= SHARED_BYTES
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}

#[cfg(test)]
mod tests;
