//! Whether the node takes clients, and how many are to move when it does not: a drain, or the node's end.
//!
//! A decision of values and time; the broker moves whom it names.

use crate::api::Millis;

/// Steps in which clients are moved.
pub(super) const STEP_MS: Millis = 50.0;
/// A front asks ten times a second and sends new clients for 0.2 s after a no: a client moved sooner may be sent
/// straight back, and would have to be moved once more.
const FRONT_MS: Millis = 400.0;
/// From the call on, all standing clients have moved by then; held is none that still stands 4 s after it.
const DRAIN_MS: Millis = 3_000.0;

/// From the word on, the clients of a node that ends move between these: as late as its end allows, since other nodes may
/// be ending just then, and what a client has is worth more than what it may find. SIGKILL comes after 3.7 s at the
/// earliest; the rest is for those who answer late.
const END_FROM_MS: Millis = 2_000.0;
const END_MS: Millis = 3_100.0;

/// Why a node would not serve a new client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unready {
    /// Discovery or the inventory has not spoken yet.
    NoList,
    /// Nobody is on the list.
    NoMember,
    /// A later process has its name.
    Superseded,
    /// It was told to drain.
    Draining,
    /// It ends.
    Ending,
}

impl std::fmt::Display for Unready {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Unready::NoList => "no list yet",
            Unready::NoMember => "no member listed",
            Unready::Superseded => "a later process has this node's name",
            Unready::Draining => "draining",
            Unready::Ending => "ending",
        })
    }
}

/// Moves spread evenly over a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Spread {
    from: Millis,
    until: Millis,
    most: usize,
}

impl Spread {
    pub(super) fn new(from: Millis, until: Millis) -> Self {
        Spread { from, until, most: 0 }
    }

    /// How many of these are to be moved now, so that none is left in the end.
    pub(super) fn due(&mut self, now: Millis, up: usize) -> usize {
        self.most = self.most.max(up);
        let left = ((self.until - now) / (self.until - self.from)).clamp(0.0, 1.0);
        up.saturating_sub((self.most as f64 * left).floor() as usize)
    }

    pub(super) fn over(&self, now: Millis) -> bool {
        now >= self.until
    }
}

/// Whether the node stays.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum Leaving {
    /// It serves.
    #[default]
    Not,
    /// It was told to drain, and stays.
    Drain(Spread),
    /// It ends.
    End(Spread),
}

impl Leaving {
    /// Drains from now on. False if it drains or ends already: what has begun goes on as it is.
    pub(super) fn drain(&mut self, now: Millis) -> bool {
        let begins = *self == Leaving::Not;
        if begins {
            *self = Leaving::Drain(Spread::new(now + FRONT_MS, now + DRAIN_MS));
        }
        begins
    }

    /// Takes clients again. False if it ends: that can't be taken back.
    pub(super) fn resume(&mut self) -> bool {
        let stays = !self.ends();
        if stays {
            *self = Leaving::Not;
        }
        stays
    }

    /// Ends, with all clients moved in time; a drain goes over into it. False if it ends already.
    pub(super) fn end(&mut self, now: Millis) -> bool {
        let begins = !self.ends();
        if begins {
            *self = Leaving::End(Spread::new(now + END_FROM_MS, now + END_MS));
        }
        begins
    }

    pub(super) fn ends(&self) -> bool {
        matches!(self, Leaving::End(_))
    }

    /// Whether a front may send clients. One that ends is still sent some, and serves them: its front has been
    /// told elsewhere.
    pub(super) fn takes_clients(&self) -> bool {
        !matches!(self, Leaving::Drain(_))
    }

    /// How many of those that stand are to be moved now; none to ask for any more if the node stays.
    pub(super) fn due(&mut self, now: Millis, standing: usize) -> Option<usize> {
        match self {
            Leaving::Not => None,
            Leaving::Drain(spread) | Leaving::End(spread) => Some(spread.due(now, standing)),
        }
    }
}

#[cfg(test)]
mod tests;
