//! Datagrams that come twice: a sliding window of sequence numbers (RFC 4303, section 3.4.3).

/// Numbers that may overtake each other: a sender's jitter times its rate, with room for bursts.
const WIDTH: u64 = 128;

/// What has come from one coming of a sender.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Window {
    top: u64,
    seen: u128,
}

impl Window {
    /// Takes a number; false if it came before, or is so late that this can't be told.
    pub(crate) fn take(&mut self, number: u64) -> bool {
        if number > self.top {
            let ahead = number - self.top;
            self.seen = if ahead < WIDTH { self.seen << ahead | 1 } else { 1 };
            self.top = number;
            return true;
        }
        let behind = self.top - number;
        if behind >= WIDTH || self.seen & (1 << behind) != 0 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}

#[cfg(test)]
mod tests;
