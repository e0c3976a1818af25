//! Protection against replayed datagrams: a sliding window of sequence numbers (RFC 4303, section 3.4.3).

/// How far datagrams may overtake each other and still be accepted: a sender's jitter times its rate, with
/// room for bursts.
const WINDOW_SIZE: u64 = 128;

/// The sequence numbers received from one incarnation of a sender.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Window {
    highest: u64,
    received: u128,
}

impl Window {
    /// Returns whether `sequence` is new, and records it. A number too far behind the highest one counts as a
    /// replay, since the window no longer covers it.
    pub(crate) fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.received = if ahead < WINDOW_SIZE { self.received << ahead | 1 } else { 1 };
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW_SIZE || self.received & (1 << behind) != 0 {
            return false;
        }
        self.received |= 1 << behind;
        true
    }
}

#[cfg(test)]
mod tests;
