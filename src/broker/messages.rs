//! What fronts and drivers say to the broker, and what it tells them to do.

use crate::api::*;
use hopmoor_record::MoveReason;

/// Number of a transaction: one client connection's one request.
pub type TransactionId = RequestId;

/// What a client asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// What the client calls it, where the wire has it name it: no two that are open may share one.
    pub name: Option<Box<str>>,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The group whose connections share work.
    pub group: Option<AffinityKey>,
    /// What it is about.
    pub key: Option<AffinityKey>,
    /// How long the client may be kept waiting, answer included.
    pub grace_ms: Millis,
    /// Expected load.
    pub load_hint: Option<f64>,
    /// The member that already holds it.
    pub adopted: Option<String>,
    /// Whether it has been here before, as far as it says.
    pub coming: ArrivalKind,
    /// Setting it up takes several exchanges with the member, which end when the member drains.
    pub negotiates: bool,
}

/// Whether a client has been here before, as far as its wire has it say so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ArrivalKind {
    /// For the first time, or it does not say.
    #[default]
    First,
    /// It was turned away, or had no answer, and tries once more.
    Retry,
    /// Its connection was moved or broke.
    Return,
}

/// What a front says of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum FrontEvent {
    /// The client has asked.
    ClientRequest(ClientRequest),
    /// A readiness check waits for [`Command::Ready`] or [`Command::Unready`].
    Ping,
    /// The flow has a connection.
    Connected,
    /// All that asks the member for it is written.
    Sent,
    /// Something that the member sent has reached the client: no other member may take over.
    Committed,
    /// The member serves; from now on the transaction is a connection.
    Up,
    /// The flow ended.
    Ended(Outcome, Option<Report>),
    /// The member told the client to come again, and has ended the connection.
    MovedByMember,
    /// The client is gone.
    Left,
    /// A relayed line was answered by the member after this time.
    Message(Millis),
    /// The connection's load, in microseconds of work a second.
    Load(f64),
    /// The client sent something that can't be taken; it was answered by the front.
    ClientError(ClientError),
}

/// What is wrong with what a client sent, or did not send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// It can't be read, or says what can't be.
    Malformed,
    /// It is longer than is taken.
    TooLong,
    /// It names a class, service, tenant or team that does not exist.
    Unknown,
    /// It ended before it was whole.
    HalfClosed,
    /// It did not come.
    Silent,
}

/// Why a transaction failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The deadline came.
    Deadline,
    /// The member that had begun to answer did not finish.
    Broken,
    /// The decision module gave it up.
    GivenUp,
    /// The connection that was to be adopted could not be.
    NotAdopted,
    /// Its name is that of another one that is open.
    Duplicate,
}

/// What a front is to do for a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// The node is ready.
    Ready,
    /// The node takes no clients for now.
    Unready,
    /// Open a server-side flow.
    Open {
        /// Its member's address.
        dial: String,
        /// Its member's name.
        member: String,
        /// How long the broker will wait for it to be up.
        wait_ms: Millis,
    },
    /// Give up the flow: close it at once.
    Abandon,
    /// Final answer: reject; come again after so many milliseconds.
    Reject(Millis),
    /// Final answer: failed.
    Fail(Failure),
    /// The client is to come again: tell it so and end the connection.
    Move,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum DriverCommand {
    /// Hand this to the transaction's front.
    Front(TransactionId, Command),
    /// Probe a member and report with [`super::Broker::probed`].
    Probe {
        /// Its number.
        member: BackendId,
        /// Its address.
        dial: String,
    },
    /// Watch discovery from the pool's version on, or stop.
    Watch(bool),
    /// Fetch the whole list once.
    Fetch,
    /// The node is ready for its first client.
    Opened,
    /// Write a log line.
    Log(LogLine),
}

/// Things worth a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum LogLine {
    /// The decision module's own words.
    Module(String),
    /// The decision module reports a defect of its own.
    Fault(String),
    /// A transaction had no answer at its deadline; the broker failed it.
    Overdue(TransactionId),
    /// A list has changed so many members at once that they are not named.
    Members {
        /// How many it changed.
        changed: usize,
        /// How many are listed now.
        listed: usize,
    },
    /// A connection from before the run waits for a list that names its member.
    AdoptionAwaitsList(TransactionId),
    /// The member that held a connection from before the run is gone: it is placed like a new one.
    AdoptedMemberGone(TransactionId),
    /// An attempt waits for an answer of discovery: the list at hand may have been overtaken.
    Parked(TransactionId),
    /// The module named a member that may not be sent to.
    AttemptDenied(TransactionId, String),
    /// A client asked under the name of another transaction that is open.
    Duplicate(TransactionId, Box<str>),
    /// A pool member changed.
    Member(String, Phase),
    /// Messages at a member take long, or no longer do.
    SlowMessages(String, Millis),
    /// A list or a patch of it was taken from discovery.
    List {
        /// Its version.
        seq: u64,
        /// Whether it names all members.
        whole: bool,
    },
    /// An attempt begins.
    Attempt {
        /// Whose.
        id: TransactionId,
        /// What the client calls its request.
        name: Option<Box<str>>,
        /// At which member.
        member: String,
        /// Its number, from 1.
        attempt: u32,
        /// Time since the member's listed start; `None` if that is long past.
        started_ago_ms: Option<Millis>,
    },
    /// A client was moved away from a member.
    Moved(TransactionId, String, MoveReason),
    /// A transaction was rejected or failed, after so many flows and so long.
    Unserved {
        /// Which.
        id: TransactionId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: TenantId,
        /// The answer.
        answer: Command,
        /// Server-side flows that were tried.
        flows: u32,
        /// Time from its first line to the answer.
        waited_ms: Millis,
    },
    /// A probe's word.
    Probed(String, Outcome, Option<f64>, Option<Millis>),
    /// An attempt failed.
    Flow {
        /// Whose.
        id: TransactionId,
        /// At which member.
        member: String,
        /// How.
        outcome: Outcome,
        /// After how long.
        took_ms: Millis,
        /// Whether it stood.
        stood: bool,
    },
}
