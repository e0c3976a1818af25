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
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[derive(Clone, Debug)]
    enum Call {
        Drain,
        Resume,
        End,
        Ask,
        Leave,
        Wait,
    }

    fn calls() -> impl Strategy<Value = Vec<Call>> {
        use Call::*;
        let one = prop_oneof![
            1 => Just(Drain), 1 => Just(Resume), 1 => Just(End), 6 => Just(Ask), 2 => Just(Leave), 20 => Just(Wait)
        ];
        prop::collection::vec(one, 1..400)
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

        /// In any order of calls: none moves while the node stays, none is left long after a drain or at the end,
        /// and a drain or an end once begun is not begun anew.
        #[test]
        fn nobody_moves_without_need_and_nobody_is_left(calls in calls()) {
            let (mut leaving, mut now, mut standing) = (Leaving::Not, 0.0, 0usize);
            let mut since: Option<(Millis, Millis)> = None;
            for call in calls {
                match call {
                    Call::Drain => {
                        let began = leaving.drain(now);
                        prop_assert_eq!(began, since.is_none());
                        since = since.or(Some((now, 4_000.0)));
                    }
                    Call::Resume => {
                        let may = since.is_none_or(|(_, within)| within == 4_000.0);
                        prop_assert_eq!(leaving.resume(), may);
                        since = since.filter(|_| !may);
                    }
                    Call::End => {
                        let anew = since.is_none_or(|(_, within)| within == 4_000.0);
                        prop_assert_eq!(leaving.end(now), anew);
                        since = if anew { Some((now, END_MS + STEP_MS)) } else { since };
                    }
                    Call::Ask => standing += 1,
                    Call::Leave => standing = standing.saturating_sub(1),
                    Call::Wait => now += STEP_MS,
                }
                if matches!(call, Call::Wait) {
                    let due = leaving.due(now, standing);
                    prop_assert_eq!(due.is_some(), since.is_some());
                    prop_assert!(due.unwrap_or(0) <= standing);
                    standing -= due.unwrap_or(0);
                }
                if let Some((_, within)) = since.filter(|(from, within)| matches!(call, Call::Wait) && now > from + within) {
                    prop_assert_eq!(standing, 0, "{} ms after the call", within);
                }
                prop_assert_eq!(leaving.takes_clients(), since.is_none_or(|(_, within)| within != 4_000.0));
            }
        }
    }

    #[test]
    fn a_drain_waits_for_the_front_and_ends_in_time() {
        let mut leaving = Leaving::Not;
        assert!(leaving.drain(1_000.0));
        assert_eq!(leaving.due(1_000.0 + FRONT_MS, 100), Some(0));
        assert_eq!(leaving.due(1_000.0 + (FRONT_MS + DRAIN_MS) / 2.0, 100), Some(50));
        assert_eq!(leaving.due(1_000.0 + DRAIN_MS, 50), Some(50));
    }
}
