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

/// SIGKILL comes at the earliest when the longest deadline, taken as the first of these where it is longer or unknown, and the
/// second are over.
const LONGEST_MS: Millis = 3_000.0;
const KILL_MS: Millis = 700.0;
/// Clients have moved, and those who wait have their answer, so long before SIGKILL: a line that is half relayed may hold `MOVE`
/// back.
const SPARE_MS: Millis = 600.0;
/// Clients move over so long.
const MOVES_MS: Millis = 1_100.0;
/// The process ends so long before SIGKILL.
const EARLY_MS: Millis = 200.0;

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

/// When a node that was told to end does what, counted from the word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Ending {
    /// Its clients move from here on: as late as its end allows, since other nodes may be ending just then, and what a
    /// client has is worth more than what it may find. Not before new connections have ceased to come.
    from: Millis,
    /// All have moved by then, and all who wait have their answer.
    pub(super) by: Millis,
    /// It is over, whoever is left.
    pub(super) over: Millis,
}

impl Ending {
    /// For settings whose longest deadline is this.
    pub(super) fn new(longest: Millis) -> Self {
        let longest = if longest > 0.0 { longest.min(LONGEST_MS) } else { LONGEST_MS };
        let kill = longest + KILL_MS;
        let by = kill - SPARE_MS;
        Ending { from: (by - MOVES_MS).max(FRONT_MS.min(by / 2.0)), by, over: kill - EARLY_MS }
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
    pub(super) fn end(&mut self, now: Millis, ending: Ending) -> bool {
        let begins = !self.ends();
        if begins {
            *self = Leaving::End(Spread::new(now + ending.from, now + ending.by));
        }
        begins
    }

    /// By when everything is to be over, if it ends.
    pub(super) fn ends_by(&self) -> Option<Millis> {
        match self {
            Leaving::End(spread) => Some(spread.until),
            _ => None,
        }
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
