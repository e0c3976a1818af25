//! When the node stops taking clients and how fast it moves them away, for a drain and for a shutdown.
//!
//! Works on plain values and times; the broker moves the clients.

use crate::api::Millis;

/// Interval between two batches of moves.
pub(super) const MOVE_STEP_MS: Millis = 50.0;
/// Delay before a drain moves its first client. A front polls readiness ten times a second and keeps sending
/// new clients for 0.2 s after a negative answer: a client moved sooner may be sent straight back and would
/// have to move again.
const FRONT_POLL_GRACE_MS: Millis = 400.0;
/// Time from the call to drain until all established clients are moved. The requirement is that none is left
/// 4 s after the call.
const DRAIN_DURATION_MS: Millis = 3_000.0;

/// Upper bound, and default if unknown, of the longest deadline in the settings. SIGKILL comes no earlier
/// than that deadline plus [`KILL_DELAY_MS`].
const MAX_DEADLINE_MS: Millis = 3_000.0;
/// Time from the longest deadline to the earliest SIGKILL.
const KILL_DELAY_MS: Millis = 700.0;
/// How long before SIGKILL all clients are moved or answered, but for moves that wait for the end of a line.
const ANSWERED_BEFORE_KILL_MS: Millis = 600.0;
/// How long a move may wait for the end of a line that the member is writing. The moves of a drain, the last of
/// which begin [`DRAIN_DURATION_MS`] after the call, are then completed within the 4 s.
const MOVE_WAIT_MS: Millis = 800.0;
/// The same after the last moves of a shutdown, before the process exits.
const SHUTDOWN_MOVE_WAIT_MS: Millis = 300.0;
/// Duration over which a shutdown moves its clients.
const MOVE_DURATION_MS: Millis = 1_100.0;
/// How long before SIGKILL the process exits.
const EXIT_BEFORE_KILL_MS: Millis = 200.0;

/// Why a node would not serve a new client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unready {
    /// Neither discovery nor the inventory has delivered a list yet.
    NoList,
    /// The list names no member.
    NoMember,
    /// A newer process runs under this node's name.
    Superseded,
    /// A part of the node without which clients are not served keeps failing.
    Failing,
    /// The node was told to drain.
    Draining,
    /// The node shuts down.
    Ending,
}

impl std::fmt::Display for Unready {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Unready::NoList => "no list yet",
            Unready::NoMember => "no member listed",
            Unready::Superseded => "a later process has this node's name",
            Unready::Failing => "a part of the node keeps failing",
            Unready::Draining => "draining",
            Unready::Ending => "ending",
        })
    }
}

/// Moves spread evenly over a period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct MoveSchedule {
    starts_at: Millis,
    ends_at: Millis,
    peak: usize,
}

impl MoveSchedule {
    pub(super) fn new(starts_at: Millis, ends_at: Millis) -> Self {
        MoveSchedule { starts_at, ends_at, peak: 0 }
    }

    /// Returns how many of the `established` clients to move now, so that none is left at the end of the
    /// period.
    pub(super) fn moves_due(&mut self, now: Millis, established: usize) -> usize {
        self.peak = self.peak.max(established);
        let left = ((self.ends_at - now) / (self.ends_at - self.starts_at)).clamp(0.0, 1.0);
        established.saturating_sub((self.peak as f64 * left).floor() as usize)
    }

    pub(super) fn is_over(&self, now: Millis) -> bool {
        now >= self.ends_at
    }
}

/// Times of a shutdown, in milliseconds after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ShutdownTimes {
    /// Start of the moves. As late as possible, because other nodes may shut down at the same time and an
    /// established connection is worth more than what its client may find elsewhere. Not before the front has
    /// stopped sending new clients.
    move_start: Millis,
    /// All clients are moved or answered by then.
    pub(super) done_by: Millis,
    /// The process exits then, whoever is left.
    pub(super) exit_by: Millis,
}

impl ShutdownTimes {
    /// Times for settings with this longest deadline.
    pub(super) fn new(max_deadline_ms: Millis) -> Self {
        let max_deadline_ms =
            if max_deadline_ms > 0.0 { max_deadline_ms.min(MAX_DEADLINE_MS) } else { MAX_DEADLINE_MS };
        let kill_at_ms = max_deadline_ms + KILL_DELAY_MS;
        let done_by = kill_at_ms - ANSWERED_BEFORE_KILL_MS;
        ShutdownTimes {
            move_start: (done_by - MOVE_DURATION_MS).max(FRONT_POLL_GRACE_MS.min(done_by / 2.0)),
            done_by,
            exit_by: kill_at_ms - EXIT_BEFORE_KILL_MS,
        }
    }
}

/// Whether the node is leaving service. What a drain owes is kept when a shutdown follows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum Leaving {
    /// The node serves.
    #[default]
    No,
    /// The node drains, but keeps running.
    Drain(MoveSchedule),
    /// The node shuts down.
    End {
        shutdown: MoveSchedule,
        /// The drain that was in progress when the shutdown started.
        drain: Option<MoveSchedule>,
    },
}

impl Leaving {
    /// Starts a drain. Returns false if a drain or shutdown is in progress, which continues unchanged.
    pub(super) fn drain(&mut self, now: Millis) -> bool {
        let started = *self == Leaving::No;
        if started {
            *self = Leaving::Drain(MoveSchedule::new(now + FRONT_POLL_GRACE_MS, now + DRAIN_DURATION_MS));
        }
        started
    }

    /// Ends a drain. Returns false if the node shuts down, which can't be undone.
    pub(super) fn resume(&mut self) -> bool {
        let stays = !self.is_ending();
        if stays {
            *self = Leaving::No;
        }
        stays
    }

    /// Starts a shutdown, also during a drain. Returns false if one is in progress.
    pub(super) fn end(&mut self, now: Millis, shutdown_times: ShutdownTimes) -> bool {
        let drain = match *self {
            Leaving::No => None,
            Leaving::Drain(drain) => Some(drain),
            Leaving::End { .. } => return false,
        };
        let shutdown = MoveSchedule::new(now + shutdown_times.move_start, now + shutdown_times.done_by);
        *self = Leaving::End { shutdown, drain };
        true
    }

    /// Time by which all clients are moved or answered, if the node shuts down.
    pub(super) fn end_deadline(&self) -> Option<Millis> {
        match self {
            Leaving::End { shutdown, .. } => Some(shutdown.ends_at),
            _ => None,
        }
    }

    /// Time by which a move that is decided at `now` has to be completed, whether or not the member has ended
    /// its line.
    pub(super) fn move_deadline(&self, now: Millis) -> Millis {
        let shutdown =
            self.end_deadline().map_or(Millis::INFINITY, |ends_at| ends_at + SHUTDOWN_MOVE_WAIT_MS);
        (now + MOVE_WAIT_MS).min(shutdown)
    }

    pub(super) fn is_ending(&self) -> bool {
        matches!(self, Leaving::End { .. })
    }

    /// Whether a front may send clients. A node that shuts down without a drain still accepts and serves them:
    /// the front learns of the shutdown by other means.
    pub(super) fn takes_clients(&self) -> bool {
        matches!(self, Leaving::No | Leaving::End { drain: None, .. })
    }

    /// Returns how many of the established clients to move now; `None` if the node is not leaving. In a
    /// shutdown during a drain the earlier schedule counts.
    pub(super) fn moves_due(&mut self, now: Millis, standing: usize) -> Option<usize> {
        match self {
            Leaving::No => None,
            Leaving::Drain(schedule) => Some(schedule.moves_due(now, standing)),
            Leaving::End { shutdown, drain } => {
                let by_drain = drain.as_mut().map_or(0, |schedule| schedule.moves_due(now, standing));
                Some(shutdown.moves_due(now, standing).max(by_drain))
            }
        }
    }
}

#[cfg(test)]
mod tests;
