//! Counters of what is taken in, sent and answered.

use super::ClientError;
use crate::api::{ClassId, Outcome};
use std::fmt;

/// What became of the transactions of one class since the node's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Served by a pool member.
    pub served: u64,
    /// Rejected: trying again is harmless.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Attempts whose request was written whole.
    pub attempts: u64,
}

/// The counts by class, in the order of their numbers.
#[derive(Clone, Debug, Default)]
pub(super) struct Classes(Vec<ClassCounts>);

impl Classes {
    pub(super) fn new(classes: usize) -> Self {
        Classes(vec![ClassCounts::default(); classes.max(1)])
    }

    /// Fronts give only classes that are configured.
    pub(super) fn of(&mut self, class: ClassId) -> &mut ClassCounts {
        let at = (class.0 as usize).min(self.0.len() - 1);
        &mut self.0[at]
    }

    pub(super) fn all(&self) -> &[ClassCounts] {
        &self.0
    }

    pub(super) fn sum(&self, of: impl Fn(&ClassCounts) -> u64) -> u64 {
        self.0.iter().map(of).sum()
    }
}

/// What the node shows of itself at this moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stats {
    /// By class, in the order of their numbers.
    pub classes: Vec<ClassCounts>,
    /// Transactions taken in and not ended: those that wait for their answer, and connections that stand.
    pub in_flight: usize,
    /// Members that are listed.
    pub hosts_known: usize,
    /// Listed members that nothing new is sent to now: they drain, or the decision module avoids them.
    pub hosts_excluded: usize,
}

macro_rules! counters {
    ($($(#[doc = $doc:literal])* $name:ident),* $(,)?) => {
        /// What a node has counted since its start; `open` and `held` are readings of the moment.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters { $($(#[doc = $doc])* pub $name: u64),* }

        impl Counters {
            /// What they are called, in order.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($name)),*];

            /// Their values, in the order of their names.
            pub fn values(&self) -> [u64; Counters::NAMES.len()] {
                [$(self.$name),*]
            }
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                for (at, (name, value)) in Counters::NAMES.iter().zip(self.values()).enumerate() {
                    write!(f, "{}{name}={value}", if at == 0 { "" } else { " " })?;
                }
                Ok(())
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    connections,
    /// Transactions taken in.
    asks,
    /// Connections that had stood before the node started.
    adopted,
    /// Such connections that waited for a list that names their member.
    adoptions_awaited,
    /// Tries of such connections that were made again after their member had not taken them.
    adoptions_retried,
    /// First lines, or streams, that could not be read or said what can't be.
    bad_malformed,
    /// First lines, or stanzas before the answer, that were too long.
    bad_too_long,
    /// First lines, or streams, that named what does not exist.
    bad_unknown,
    /// Clients that ended before their first line was whole.
    bad_half_closed,
    /// Clients that did not send their first line in time.
    bad_silent,
    /// Clients without a first line that gave way to others.
    bad_crowded_out,
    /// Clients turned away because no descriptor was left.
    no_room,
    /// Transactions under the name of another one that was open.
    bad_duplicate,
    /// Clients that left before their answer or ended their connection.
    left,
    /// Server-side flows opened.
    flows,
    /// Attempts that waited for discovery, as the list at hand might have been overtaken.
    attempts_parked,
    /// Attempts that the decision module asked for and that may not be: never, unless it is at fault.
    permits_denied,
    /// Those whose request was written whole.
    attempts,
    /// Transactions answered by a pool member that serves them.
    served,
    /// Transactions rejected.
    rejected,
    /// Transactions failed.
    failed,
    /// Clients moved.
    moved,
    /// Flows that a pool member turned away.
    flows_full,
    /// Flows that a pool member answered with an error.
    flows_error,
    /// Flows without an answer in time.
    flows_timed_out,
    /// Flows that got no connection.
    flows_unreachable,
    /// Flows that broke before their answer.
    flows_reset,
    /// Flows given up, or sent away by a pool member.
    flows_cancelled,
    /// Standing connections that broke.
    broken,
    /// Standing connections that ended in good order.
    ended,
    /// Probes sent.
    probes,
    /// Probes answered.
    probes_answered,
    /// Probes given up, or their resting connections closed, since clients needed the descriptors.
    probes_gave_way,
    /// Lists and changes that discovery gave.
    lists,
    /// Answers of discovery that could not be read, or stood still.
    answers_spoilt,
    /// Calls to discovery that failed.
    discovery_failures,
    /// Configurations or inventories that were read anew and taken.
    reloads,
    /// Those that were bad.
    reloads_refused,
    /// Records lost, where records are kept.
    records_lost,
    /// Connections that stand now.
    open,
    /// Transactions that wait for their answer now.
    held,
}

pub(super) fn count_bad(counters: &mut Counters, bad: ClientError) {
    let counter = match bad {
        ClientError::Malformed => &mut counters.bad_malformed,
        ClientError::TooLong => &mut counters.bad_too_long,
        ClientError::Unknown => &mut counters.bad_unknown,
        ClientError::HalfClosed => &mut counters.bad_half_closed,
        ClientError::Silent => &mut counters.bad_silent,
    };
    *counter += 1;
}

pub(super) fn count_outcome(counters: &mut Counters, outcome: Outcome, stood: bool) {
    let counter = match (outcome, stood) {
        (Outcome::Ok | Outcome::Cancelled, true) => &mut counters.ended,
        (_, true) => &mut counters.broken,
        (Outcome::Full, _) => &mut counters.flows_full,
        (Outcome::Error, _) => &mut counters.flows_error,
        (Outcome::TimedOut, _) => &mut counters.flows_timed_out,
        (Outcome::Unreachable, _) => &mut counters.flows_unreachable,
        (Outcome::Reset, _) => &mut counters.flows_reset,
        (Outcome::Cancelled, _) => &mut counters.flows_cancelled,
        (Outcome::Ok, _) | (Outcome::NotSent, _) => return,
    };
    *counter += 1;
}
