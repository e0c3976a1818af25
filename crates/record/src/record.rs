//! The records, as values. Times are Unix milliseconds on the node's own clock, which only goes forward within one
//! run of the node; spans are milliseconds; loads are parts of a member's capacity.
//!
//! The numbers of the kinds are the format: a new kind takes a new number, and none is ever used again for another.

use serde::{Deserialize, Serialize};

/// A member's number: the same at every node, and after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
pub struct MemberId(#[serde(with = "postcard::fixint::le")] pub u64);

impl Serialize for MemberId {
    /// Eight bytes in segments, since numbers are hashes; a number where people read it.
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        if to.is_human_readable() {
            to.serialize_u64(self.0)
        } else {
            postcard::fixint::le::serialize(&self.0, to)
        }
    }
}

/// A transaction's number within one run of its node.
pub type TransactionId = u64;

/// Something that happened, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When, in Unix milliseconds on the node's clock.
    pub at: f64,
    /// What.
    pub event: Event,
}

macro_rules! events {
    ($($(#[doc = $doc:literal])* $number:literal $name:ident $word:literal),* $(,)?) => {
        /// What can happen.
        #[derive(Clone, Debug, PartialEq)]
        pub enum Event { $($(#[doc = $doc])* $name($name)),* }

        impl Event {
            /// Names of all kinds, as exports and filters give them.
            pub const KINDS: &'static [&'static str] = &[$($word),*];

            /// The number of its kind in the format.
            pub fn kind(&self) -> u8 {
                match self { $(Event::$name(_) => $number),* }
            }

            /// The name of its kind.
            pub fn name(&self) -> &'static str {
                match self { $(Event::$name(_) => $word),* }
            }

            pub(crate) fn write(&self, at: u64, out: Vec<u8>) -> Result<Vec<u8>, postcard::Error> {
                match self { $(Event::$name(what) => postcard::to_extend(&(at, what), out)),* }
            }

            /// `None` if the kind is not known to this program.
            pub(crate) fn read(kind: u8, bytes: &[u8]) -> Option<Result<(u64, Event), postcard::Error>> {
                match kind {
                    $($number => Some(postcard::from_bytes::<(u64, $name)>(bytes).map(|(at, what)| (at, Event::$name(what)))),)*
                    _ => None,
                }
            }
        }

        impl Serialize for Event {
            /// The fields alone; the kind stands beside them in exports.
            fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                match self { $(Event::$name(what) => what.serialize(to)),* }
            }
        }

        $(impl From<$name> for Event {
            fn from(what: $name) -> Self { Event::$name(what) }
        })*
    };
}

events! {
    /// The node has started.
    1 Started "started",
    /// The node has ended in good order: nothing follows in its run.
    2 Stopped "stopped",
    /// The node was told to end and moves its clients.
    3 Leaving "leaving",
    /// A configuration or an inventory was read anew.
    4 Reloaded "reloaded",
    /// A member as the pool lists it; written at the head of each segment again.
    5 Member "member",
    /// What the node holds of a member, and believes of it.
    6 View "view",
    /// A probe has ended.
    7 Probed "probed",
    /// A server-side flow has ended, or a standing connection.
    8 Flow "flow",
    /// A client has asked.
    9 Asked "asked",
    /// A client has its final answer.
    10 Answered "answered",
    /// A client was told to come again.
    11 Moved "moved",
    /// A tenant's figures at the end of an interval.
    12 Tenant "tenant",
    /// The node's counters.
    13 Counters "counters",
    /// Records were lost before this one.
    14 Gap "gap",
    /// Messages at a member take long, or no longer do.
    15 Delay "delay",
    /// The node's own words on something that should not be.
    16 Fault "fault",
    /// Discovery could not be asked.
    17 Blind "blind",
    /// Another node of the fleet came, went or came again, as this one sees it.
    18 Neighbour "neighbour",
}

/// See [`Event::Started`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Started {
    /// Members on the list that it started with.
    pub members: u32,
}

/// See [`Event::Stopped`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stopped {
    /// Transactions that were still open.
    pub left_behind: u32,
}

/// See [`Event::Leaving`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Leaving {
    /// Transactions that are open.
    pub transactions: u32,
}

/// See [`Event::Reloaded`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reloaded {
    /// Whether it was taken; a bad one changes nothing.
    pub taken: bool,
}

/// A member's state as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It takes new work.
    Serving,
    /// It takes nothing new and will end.
    Draining,
    /// It is no longer listed, or listed as ended.
    Gone,
}

/// See [`Event::Member`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its number.
    pub member: MemberId,
    /// Its name.
    pub name: String,
    /// Its state.
    pub phase: Phase,
    /// Its zone: a place in the header's zones, or one past them for a zone that is not configured.
    pub zone: u32,
    /// Listed weight.
    pub weight: f32,
    /// When it last started, in Unix milliseconds; none if long past.
    pub born: Option<f64>,
    /// Whether it stands here only because a segment begins.
    pub again: bool,
}

/// See [`Event::View`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Which member.
    pub member: MemberId,
    /// Connections of this node there.
    pub open: u32,
    /// Its last report: load over capacity, and the report's age.
    pub report: Option<(f32, f32)>,
    /// How long a message takes there, as last told.
    pub message_ms: Option<f32>,
    /// Load over capacity at its last trouble, as far as that still counts against it.
    pub trouble: f32,
    /// Part of its listed weight that it has now: less while cold, loaded or in trouble.
    pub weight: f32,
    /// Part warmed up, from 0 to 1.
    pub warmth: f32,
    /// For how long it is avoided still; 0 if it is not.
    pub avoided_ms: f32,
    /// Failures in a row.
    pub fails: u32,
}

/// How an attempt, a connection or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// In good order.
    Ok,
    /// Answered with an error.
    Error,
    /// Turned away for want of room.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection.
    Unreachable,
    /// It broke.
    Reset,
    /// Given up by the node or the client.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// See [`Event::Probed`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Probed {
    /// Which member.
    pub member: MemberId,
    /// How it ended.
    pub outcome: Outcome,
    /// The load that it reports.
    pub load: Option<f32>,
    /// How long a message takes there, as it reports.
    pub message_ms: Option<f32>,
}

/// See [`Event::Flow`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Flow {
    /// Whose.
    pub transaction: TransactionId,
    /// At which member.
    pub member: MemberId,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether it stood: then this is the end of a connection, not of an attempt.
    pub stood: bool,
    /// Whether the client ended it.
    pub by_client: bool,
    /// Time since it was sent.
    pub took_ms: f32,
}

/// See [`Event::Asked`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    /// Its number.
    pub transaction: TransactionId,
    /// Its class: a place in the header's classes.
    pub class: u32,
    /// Its tenant: a place in the header's tenants.
    pub tenant: u32,
    /// Whether its client has been here before, as far as its wire has it say so.
    pub coming: ArrivalKind,
    /// Whether it stood at a member before this node began.
    pub adopted: bool,
    /// How long it may be kept waiting.
    pub grace_ms: f32,
}

/// Whether a client has been here before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ArrivalKind {
    /// For the first time, or it does not say.
    First,
    /// It was turned away, or had no answer, and tries once more.
    Retry,
    /// Its connection was moved or broke.
    Return,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// A member serves it.
    Served,
    /// It was rejected; the client may come again after so many milliseconds.
    Rejected {
        /// How long it was told to stay away.
        again_ms: f32,
    },
    /// It failed.
    Failed(Failure),
    /// The client left before it had an answer.
    Left,
}

/// Why a transaction failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The deadline came.
    Deadline,
    /// The member that had begun to answer did not finish.
    Broken,
    /// The decision module gave it up.
    GivenUp,
    /// A connection from before could not be taken over.
    NotAdopted,
    /// Its name is in use.
    Duplicate,
}

/// See [`Event::Answered`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answered {
    /// Which transaction.
    pub transaction: TransactionId,
    /// Its class.
    pub class: u32,
    /// Its tenant.
    pub tenant: u32,
    /// The answer.
    pub answer: Answer,
    /// Time since it asked.
    pub waited_ms: f32,
    /// Server-side flows that were opened.
    pub flows: u32,
    /// The last flow's member, if there was one.
    pub member: Option<MemberId>,
}

/// Why a client was told to come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// Its member drains.
    Draining,
    /// Its member is gone.
    Gone,
    /// The node ends.
    Leaving,
    /// Its member is asked for more than it can do.
    Relief,
    /// Its member sent it away.
    Member,
    /// Its negotiation could not go on at its member.
    Negotiation,
}

/// See [`Event::Moved`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Moved {
    /// Which transaction.
    pub transaction: TransactionId,
    /// Away from which member.
    pub member: MemberId,
    /// Why.
    pub reason: MoveReason,
    /// How long it had stood; none if it had not.
    pub stood_ms: Option<f32>,
}

/// See [`Event::Tenant`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Which tenant.
    pub tenant: u32,
    /// What it asked for in the interval: open, queued and refused load.
    pub demand: f32,
    /// What it is expected to ask for.
    pub forecast: f32,
    /// What it may have.
    pub budget: f32,
    /// Connections that it may have.
    pub limit: u32,
    /// Connections that it has.
    pub open: u32,
    /// Transactions that wait in its queue.
    pub queued: u32,
}

/// See [`Event::Counters`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// The host's clock, in Unix milliseconds: beside the record's own time it shows a clock that was set.
    pub wall: f64,
    /// Their values, in the order of the header's names.
    pub values: Vec<u64>,
}

/// See [`Event::Gap`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gap {
    /// How many records were lost.
    pub lost: u64,
    /// When the first of them was made, in Unix milliseconds.
    pub since: f64,
    /// Whether the disk was at fault; else too many came at once.
    pub disk: bool,
}

/// See [`Event::Delay`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delay {
    /// Which member.
    pub member: MemberId,
    /// How long a message takes there.
    pub took_ms: f32,
}

/// See [`Event::Fault`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// What.
    pub what: String,
}

/// See [`Event::Blind`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Blind {}

/// What is held of another node of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NeighbourState {
    /// It is there.
    Alive,
    /// It was not heard of for too long.
    Dead,
    /// It said that it goes.
    Left,
}

/// See [`Event::Neighbour`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Neighbour {
    /// The node.
    pub name: String,
    /// What is held of it now.
    pub state: NeighbourState,
    /// Which coming of it.
    pub incarnation: u64,
}
