//! Messages between the broker and its fronts and driver, in both directions.

use crate::api::*;
use hopmoor_record::MoveReason;

/// Number of a transaction. Each client connection has one transaction.
pub type TransactionId = RequestId;

/// A client's request for a transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Name chosen by the client, if the protocol has one. It must be unique among the open transactions.
    pub name: Option<Box<str>>,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the client.
    pub tenant: TenantId,
    /// Group of connections that share work.
    pub group: Option<AffinityKey>,
    /// Key of the subject that the request is about.
    pub key: Option<AffinityKey>,
    /// How long the client waits for a final answer, in milliseconds.
    pub grace_ms: Millis,
    /// Expected load, if the client states one.
    pub load_hint: Option<f64>,
    /// Name of the member that already holds the connection.
    pub adopted: Option<String>,
    /// Whether the client has been here before, as far as it says.
    pub arrival: ArrivalKind,
    /// Whether the setup takes several exchanges with the member. Such a negotiation ends when the member
    /// drains.
    pub negotiates: bool,
}

/// Whether a client has been here before, as far as the protocol lets it say so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ArrivalKind {
    /// The client comes for the first time, or does not say.
    #[default]
    First,
    /// The client was rejected or got no answer, and tries again.
    Retry,
    /// The client's connection was moved or broke.
    Return,
}

/// An event that a front reports for a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum FrontEvent {
    /// The client sent its request.
    ClientRequest(ClientRequest),
    /// A readiness check arrived; it waits for [`Command::Ready`] or [`Command::Unready`].
    Ping,
    /// The flow is connected to its member.
    Connected,
    /// The request is written completely to the member.
    Sent,
    /// Output of the member has reached the client, so no other member can take over.
    Committed,
    /// The member serves the client; from now on the transaction is an established connection.
    Up,
    /// The flow ended with this outcome, and with the member's load report if it sent one.
    Ended(Outcome, Option<Report>),
    /// The member told the client to reconnect, and has closed the connection.
    MovedByMember,
    /// The client has left.
    Left,
    /// The member answered a relayed line after this many milliseconds.
    Message(Millis),
    /// The connection's load, in microseconds of work per second.
    Load(f64),
    /// The client sent invalid input, or none in time. The front has answered it.
    ClientError(ClientError),
}

/// Errors in what a client sent, or failed to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// The input can't be parsed, or has invalid content.
    Malformed,
    /// The input exceeds the size limit.
    TooLong,
    /// The input names an unknown class, service, tenant or team.
    Unknown,
    /// The input ended before it was complete.
    HalfClosed,
    /// No input arrived in time.
    Silent,
}

/// Why a transaction failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The deadline passed.
    Deadline,
    /// The member broke off after it had begun to answer.
    Broken,
    /// The decision module ended the transaction without an answer of a member.
    GivenUp,
    /// The connection could not be adopted by the member that holds it.
    NotAdopted,
    /// Another open transaction has the same name.
    Duplicate,
}

/// A command to the front of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// The node is ready.
    Ready,
    /// The node takes no clients at present.
    Unready,
    /// Open a server-side flow.
    Open {
        /// Address of the member.
        dial: String,
        /// Name of the member.
        member: String,
        /// How long the broker waits for the flow to be established, in milliseconds.
        wait_ms: Millis,
    },
    /// Close the flow at once.
    Abandon,
    /// Final answer: rejected; the client may retry after this many milliseconds.
    Reject(Millis),
    /// Final answer: the transaction failed.
    Fail(Failure),
    /// Tell the client to reconnect, and close its connection.
    Move {
        /// How long this may wait for the end of a message that the member is sending.
        latest: Millis,
    },
}

/// A command of the broker to its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum DriverCommand {
    /// Pass a command to the transaction's front.
    Front(TransactionId, Command),
    /// Probe a member, and report the result with [`super::Broker::probed`].
    Probe {
        /// Number of the member.
        member: BackendId,
        /// Address of the member.
        dial: String,
    },
    /// Start to watch discovery from the current version of the list, or stop.
    Watch(bool),
    /// Fetch the complete list once.
    Fetch,
    /// The node is ready for its first client.
    Opened,
    /// Write a log line.
    Log(LogLine),
}

/// Events for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogLine {
    /// A message of the decision module.
    Module(String),
    /// The decision module detected a defect of its own.
    Fault(String),
    /// A transaction had no answer at its deadline, and the broker failed it.
    Overdue(TransactionId),
    /// A list changed more members than are logged one by one.
    Members {
        /// Number of members that it changed.
        changed: usize,
        /// Number of members listed now.
        listed: usize,
    },
    /// An adoption waits for a list that names its member.
    AdoptionAwaitsList(TransactionId),
    /// The member that held a connection from before the process start is gone; it is placed like a new
    /// request.
    AdoptedMemberGone(TransactionId),
    /// An attempt waits for an answer of discovery, because the lease on the list has expired.
    Parked(TransactionId),
    /// The decision module asked for an attempt that is not permitted at this member.
    AttemptDenied(TransactionId, String),
    /// A client used the name of another open transaction.
    Duplicate(TransactionId, Box<str>),
    /// A pool member changed to this phase.
    Member(String, Phase),
    /// Messages at a member became slow, are still slow, or are fast again.
    SlowMessages(String, Millis),
    /// A list or a patch from discovery was applied.
    List {
        /// Version of the list.
        seq: u64,
        /// Whether it is a complete list.
        whole: bool,
    },
    /// An attempt started.
    Attempt {
        /// Transaction of the attempt.
        id: TransactionId,
        /// Client-chosen name of the transaction.
        name: Option<Box<str>>,
        /// Name of the member.
        member: String,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Time since the member's start as listed; `None` if that is long past.
        started_ago_ms: Option<Millis>,
    },
    /// A client was moved away from a member, for this reason.
    Moved(TransactionId, String, MoveReason),
    /// A transaction was rejected or failed.
    Unserved {
        /// The transaction.
        id: TransactionId,
        /// Class of the request.
        class: ClassId,
        /// Tenant of the client.
        tenant: TenantId,
        /// The final answer.
        answer: Command,
        /// Number of server-side flows that were opened.
        flows: u32,
        /// Time from the request to the answer.
        waited_ms: Millis,
    },
    /// A probe ended: member, outcome, reported load and reported message delay in milliseconds.
    Probed(String, Outcome, Option<f64>, Option<Millis>),
    /// An attempt failed, or an established connection broke.
    Flow {
        /// The transaction.
        id: TransactionId,
        /// Name of the member.
        member: String,
        /// How the flow ended.
        outcome: Outcome,
        /// Time from the start of the attempt to the end of its flow.
        took_ms: Millis,
        /// Whether the connection had been established.
        stood: bool,
    },
}
