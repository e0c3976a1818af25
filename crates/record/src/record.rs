//! The records, as values.
//!
//! Times are in Unix milliseconds on the node's clock, which is monotonic within one run of the node.
//! Durations are in milliseconds. Loads are fractions of a member's capacity.
//!
//! The numbers of the kinds are part of the format: a new kind takes a new number, and no number is ever
//! reused for another kind.

use serde::{Deserialize, Serialize};

/// Identifier of a member, the same at every node and after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
pub struct MemberId(#[serde(with = "postcard::fixint::le")] pub u64);

impl Serialize for MemberId {
    /// Writes eight bytes in segments, since the identifiers are hashes and a varint would save nothing, and
    /// a number in formats for people.
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        if to.is_human_readable() {
            to.serialize_u64(self.0)
        } else {
            postcard::fixint::le::serialize(&self.0, to)
        }
    }
}

/// Identifier of a transaction within one run of its node.
pub type TransactionId = u64;

/// An event and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Time of the event, in Unix milliseconds on the node's clock.
    pub at: f64,
    /// The event.
    pub event: Event,
}

macro_rules! events {
    ($($(#[doc = $doc:literal])* $number:literal $name:ident $kind_name:literal),* $(,)?) => {
        /// The kinds of events, each with its fields.
        #[derive(Clone, Debug, PartialEq)]
        pub enum Event { $($(#[doc = $doc])* $name($name)),* }

        impl Event {
            /// Names of all kinds, as used in exports and filters.
            pub const KINDS: &'static [&'static str] = &[$($kind_name),*];

            /// Returns the number of the event's kind in the format.
            pub fn kind(&self) -> u8 {
                match self { $(Event::$name(_) => $number),* }
            }

            /// Returns the name of the event's kind.
            pub fn name(&self) -> &'static str {
                match self { $(Event::$name(_) => $kind_name),* }
            }

            /// Appends the time `at` and the event's fields to `out`.
            pub(crate) fn write(&self, at: u64, out: Vec<u8>) -> Result<Vec<u8>, postcard::Error> {
                match self { $(Event::$name(fields) => postcard::to_extend(&(at, fields), out)),* }
            }

            /// Decodes a time and an event of this kind; `None` if this program does not know the kind.
            pub(crate) fn read(kind: u8, bytes: &[u8]) -> Option<Result<(u64, Event), postcard::Error>> {
                match kind {
                    $($number => Some(
                        postcard::from_bytes::<(u64, $name)>(bytes)
                            .map(|(at, fields)| (at, Event::$name(fields))),
                    ),)*
                    _ => None,
                }
            }
        }

        impl Serialize for Event {
            /// Writes the fields only; exports write the kind beside them.
            fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                match self { $(Event::$name(fields) => fields.serialize(to)),* }
            }
        }

        $(impl From<$name> for Event {
            fn from(fields: $name) -> Self { Event::$name(fields) }
        })*
    };
}

events! {
    /// The node started.
    1 Started "started",
    /// The node shut down gracefully. It is the last record of a run.
    2 Stopped "stopped",
    /// The node was told to shut down and moves its clients.
    3 Leaving "leaving",
    /// A configuration or an inventory was reloaded.
    4 Reloaded "reloaded",
    /// A member as listed in the pool. Repeated at the head of each segment.
    5 Member "member",
    /// The node's view of a member: its connections there, and its estimates of the member's state.
    6 View "view",
    /// A probe ended.
    7 Probed "probed",
    /// An attempt (a server-side flow) or an established connection ended.
    8 Flow "flow",
    /// A client made a request.
    9 Asked "asked",
    /// A client's request got its final answer.
    10 Answered "answered",
    /// A client was told to reconnect.
    11 Moved "moved",
    /// The load, budget and connections of a tenant at the end of an interval.
    12 Tenant "tenant",
    /// The values of the node's counters.
    13 Counters "counters",
    /// Records were lost before this one.
    14 Gap "gap",
    /// The message delay at a member became long, or is no longer so.
    15 Delay "delay",
    /// The node reports an internal fault.
    16 Fault "fault",
    /// A call to discovery failed.
    17 Blind "blind",
    /// Another node of the fleet joined, left, failed or came back, as this node sees it.
    18 Neighbour "neighbour",
}

/// See [`Event::Started`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Started {
    /// Number of members on the list that the node started with.
    pub members: u32,
}

/// See [`Event::Stopped`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stopped {
    /// Number of transactions that were still open.
    pub left_behind: u32,
}

/// See [`Event::Leaving`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leaving {
    /// Number of open transactions.
    pub transactions: u32,
}

/// See [`Event::Reloaded`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reloaded {
    /// Whether the new settings were applied. Invalid ones change nothing.
    pub taken: bool,
}

/// A member's state as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The member takes new work.
    Serving,
    /// The member takes no new work and will shut down.
    Draining,
    /// The member is no longer listed, or is listed as gone.
    Gone,
}

/// See [`Event::Member`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Identifier of the member.
    pub member: MemberId,
    /// Name of the member.
    pub name: String,
    /// Listed state.
    pub phase: Phase,
    /// Zone, as an index into the header's zones; one past the last for a zone that is not configured.
    pub zone: u32,
    /// Listed weight.
    pub weight: f32,
    /// Time of the member's last start, in Unix milliseconds; none if long past.
    pub born: Option<f64>,
    /// Whether this record only repeats the member at the head of a segment.
    pub again: bool,
}

/// See [`Event::View`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Identifier of the member.
    pub member: MemberId,
    /// Number of this node's connections and attempts at the member.
    pub open: u32,
    /// Last reported load divided by capacity, and the report's age in milliseconds.
    pub report: Option<(f32, f32)>,
    /// Last reported message delay at the member.
    pub message_ms: Option<f32>,
    /// Load divided by capacity at the member's last trouble, as far as it still counts against the member.
    pub trouble: f32,
    /// Fraction of the listed weight that the member has now: less while it is cold, loaded or in trouble.
    pub weight: f32,
    /// Progress of the slow start, from 0 to 1.
    pub warmth: f32,
    /// Remaining time for which the member is avoided; 0 if it is not avoided.
    pub avoided_ms: f32,
    /// Number of consecutive failures.
    pub fails: u32,
}

/// Outcome of an attempt, a connection or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Success, or a regular close.
    Ok,
    /// The member answered with an error.
    Error,
    /// The member rejected it for lack of capacity.
    Full,
    /// No answer within the time limit.
    TimedOut,
    /// The connection could not be established.
    Unreachable,
    /// The connection broke.
    Reset,
    /// The node or the client cancelled it.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// See [`Event::Probed`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Probed {
    /// Identifier of the member.
    pub member: MemberId,
    /// Outcome of the probe.
    pub outcome: Outcome,
    /// Reported load divided by capacity.
    pub load: Option<f32>,
    /// Reported message delay at the member.
    pub message_ms: Option<f32>,
}

/// See [`Event::Flow`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Flow {
    /// Transaction that the attempt or connection belongs to.
    pub transaction: TransactionId,
    /// Member that it was sent to.
    pub member: MemberId,
    /// Outcome of the attempt or connection.
    pub outcome: Outcome,
    /// Whether the connection was established: if so, this is the end of a connection, not of an attempt.
    pub stood: bool,
    /// Whether the client ended it.
    pub by_client: bool,
    /// Time since the attempt was sent.
    pub took_ms: f32,
}

/// See [`Event::Asked`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    /// Identifier of the transaction.
    pub transaction: TransactionId,
    /// Class, as an index into the header's classes.
    pub class: u32,
    /// Tenant, as an index into the header's tenants.
    pub tenant: u32,
    /// Whether the client has been here before, as far as its protocol lets it say so.
    pub coming: ArrivalKind,
    /// Whether the client was connected to a member before this node started.
    pub adopted: bool,
    /// Maximum time that the request may wait.
    pub grace_ms: f32,
}

/// Whether a client has been here before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ArrivalKind {
    /// First request, or the client does not say.
    First,
    /// The client was rejected or got no answer, and tries again.
    Retry,
    /// The client's connection was moved or broke.
    Return,
}

/// Final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// A member serves the client.
    Served,
    /// The request was rejected.
    Rejected {
        /// Time in milliseconds after which the client may try again.
        again_ms: f32,
    },
    /// The transaction failed.
    Failed(Failure),
    /// The client left before it got an answer.
    Left,
}

/// Reason for the failure of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The deadline passed.
    Deadline,
    /// The member started to answer but did not finish.
    Broken,
    /// The decision module gave the transaction up.
    GivenUp,
    /// A connection from before the node's start could not be adopted.
    NotAdopted,
    /// The transaction's name is already in use.
    Duplicate,
}

/// See [`Event::Answered`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answered {
    /// Identifier of the transaction.
    pub transaction: TransactionId,
    /// Class, as an index into the header's classes.
    pub class: u32,
    /// Tenant, as an index into the header's tenants.
    pub tenant: u32,
    /// The answer.
    pub answer: Answer,
    /// Time since the request.
    pub waited_ms: f32,
    /// Number of server-side flows opened.
    pub flows: u32,
    /// Member of the last flow, if there was one.
    pub member: Option<MemberId>,
}

/// Reason for telling a client to reconnect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// The client's member is draining.
    Draining,
    /// The client's member is gone.
    Gone,
    /// The node is shutting down.
    Leaving,
    /// The client's member is overloaded.
    Relief,
    /// The client's member told it to reconnect.
    Member,
    /// The client's negotiation could not be continued at its member.
    Negotiation,
}

/// See [`Event::Moved`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Moved {
    /// Identifier of the transaction.
    pub transaction: TransactionId,
    /// Member that the client was moved away from.
    pub member: MemberId,
    /// Reason for the move.
    pub reason: MoveReason,
    /// Time for which the connection had been established; none if it was not.
    pub stood_ms: Option<f32>,
}

/// See [`Event::Tenant`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Tenant, as an index into the header's tenants.
    pub tenant: u32,
    /// Load that the tenant asked for in the interval: open, queued and refused.
    pub demand: f32,
    /// Load that the tenant is expected to ask for.
    pub forecast: f32,
    /// Load that the tenant may use.
    pub budget: f32,
    /// Maximum number of connections.
    pub limit: u32,
    /// Number of open connections.
    pub open: u32,
    /// Number of transactions waiting in the tenant's queue.
    pub queued: u32,
}

/// See [`Event::Counters`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// Time on the host's clock, in Unix milliseconds. Compared with the record's own time it shows that the
    /// clock was set.
    pub wall: f64,
    /// Values of the counters, in the order of the names in the header.
    pub values: Vec<u64>,
}

/// See [`Event::Gap`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gap {
    /// Number of lost records.
    pub lost: u64,
    /// Time of the first lost record, in Unix milliseconds.
    pub since: f64,
    /// Whether the disk caused a loss; if not, too many records came at once.
    pub disk: bool,
}

/// See [`Event::Delay`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delay {
    /// Identifier of the member.
    pub member: MemberId,
    /// Time that a message takes at the member, in milliseconds.
    pub took_ms: f32,
}

/// See [`Event::Fault`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Description of the fault.
    pub what: String,
}

/// See [`Event::Blind`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Blind {}

/// State of another node of the fleet, as this node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NeighbourState {
    /// The node is alive.
    Alive,
    /// The node was not heard from for too long.
    Dead,
    /// The node announced that it leaves.
    Left,
}

/// See [`Event::Neighbour`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Neighbour {
    /// Name of the node.
    pub name: String,
    /// Its state now.
    pub state: NeighbourState,
    /// Incarnation number of the node.
    pub incarnation: u64,
}
