//! Counters of requests, server-side flows, probes and discovery calls.

use super::ClientError;
use crate::api::{ClassId, Outcome};
use std::fmt;

/// Outcomes of the transactions of one class since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Served by a pool member.
    pub served: u64,
    /// Rejected; the client may safely retry.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Attempts whose request was written completely.
    pub attempts: u64,
}

/// Counts by class, indexed by [`ClassId`].
#[derive(Clone, Debug, Default)]
pub(super) struct ClassCounters(Vec<ClassCounts>);

impl ClassCounters {
    pub(super) fn new(classes: usize) -> Self {
        ClassCounters(vec![ClassCounts::default(); classes.max(1)])
    }

    /// Returns the counts of `class`. Fronts only pass configured classes; an index beyond them is clamped.
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

/// Snapshot of the node's counts and gauges for its metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stats {
    /// Counts by class, indexed by [`ClassId`].
    pub classes: Vec<ClassCounts>,
    /// Open transactions: those that wait for an answer, and established connections.
    pub in_flight: usize,
    /// Listed members.
    pub hosts_known: usize,
    /// Listed members that currently get no new requests: they drain, or the decision module avoids them.
    pub hosts_excluded: usize,
}

macro_rules! counters {
    ($($(#[doc = $doc:literal])* $name:ident),* $(,)?) => {
        /// Counts since the node started; `open` and `held` are gauges.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters { $($(#[doc = $doc])* pub $name: u64),* }

        impl Counters {
            /// Names of the counters, in declaration order.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($name)),*];

            /// Values in the order of [`Counters::NAMES`].
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
    /// Transactions accepted.
    asks,
    /// Connections from before the node started that were adopted.
    adopted,
    /// Adoptions that waited for a list that names their member.
    adoptions_awaited,
    /// Adoption attempts that were retried after the member did not accept.
    adoptions_retried,
    /// First lines or streams that could not be parsed or had invalid content.
    bad_malformed,
    /// First lines, or stanzas before the answer, that exceeded the size limit.
    bad_too_long,
    /// First lines or streams that named an unknown class, service, tenant or team.
    bad_unknown,
    /// Clients that closed before their first line was complete.
    bad_half_closed,
    /// Clients that did not send their first line in time.
    bad_silent,
    /// Clients without a first line that were closed to free descriptors for others.
    bad_crowded_out,
    /// Clients turned away because no file descriptor was left.
    no_room,
    /// Transactions whose name was already used by another open transaction.
    bad_duplicate,
    /// Clients that left before their answer or closed their connection.
    left,
    /// Server-side flows opened.
    flows,
    /// Attempts that waited for discovery because the lease on the list had expired.
    attempts_parked,
    /// Attempts of the decision module that the broker denied; more than zero is a defect of the module.
    permits_denied,
    /// Attempts whose request was written completely.
    attempts,
    /// Transactions served by a pool member.
    served,
    /// Transactions rejected.
    rejected,
    /// Transactions failed.
    failed,
    /// Clients moved away from their member.
    moved,
    /// Flows that a pool member refused because it was full.
    flows_full,
    /// Flows that a pool member answered with an error.
    flows_error,
    /// Flows without an answer before their timeout.
    flows_timed_out,
    /// Flows that got no connection to their member.
    flows_unreachable,
    /// Flows that broke before an answer.
    flows_reset,
    /// Flows cancelled by the node, or moved away by a pool member.
    flows_cancelled,
    /// Established connections that broke.
    broken,
    /// Established connections that were closed cleanly.
    ended,
    /// Probes sent.
    probes,
    /// Probes answered.
    probes_answered,
    /// Probes cancelled, or their idle connections closed, because clients needed the descriptors.
    probes_gave_way,
    /// Lists and patches received from discovery.
    lists,
    /// Answers of discovery that could not be parsed, or stalled.
    answers_spoilt,
    /// Calls to discovery that failed.
    discovery_failures,
    /// Reloads of the configuration or the inventory that were accepted.
    reloads,
    /// Reloads that were rejected as invalid.
    reloads_refused,
    /// Panics of parts of the node and of sessions; more than zero is a defect.
    panics,
    /// Faults that the decision module reported; more than zero is a defect of the module.
    module_faults,
    /// Records lost by the event log, if recording is on.
    records_lost,
    /// Established connections at present.
    open,
    /// Transactions that wait for an answer at present.
    held,
}

pub(super) fn count_client_error(counters: &mut Counters, error: ClientError) {
    let counter = match error {
        ClientError::Malformed => &mut counters.bad_malformed,
        ClientError::TooLong => &mut counters.bad_too_long,
        ClientError::Unknown => &mut counters.bad_unknown,
        ClientError::HalfClosed => &mut counters.bad_half_closed,
        ClientError::Silent => &mut counters.bad_silent,
    };
    *counter += 1;
}

pub(super) fn count_outcome(counters: &mut Counters, outcome: Outcome, was_established: bool) {
    let counter = match (outcome, was_established) {
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
