//! What a front is: a state machine for one client connection and its server-side flow. It is fed bytes and
//! commands, and yields bytes and steps; it knows no socket.

use crate::api::Millis;
use crate::broker::{Command, FrontEvent};

/// Most bytes held for one side; while a buffer is fuller than this, nothing more is read for it.
pub const MAX_BUFFERED_BYTES: usize = 16 * 1024;

/// A client whose first line, or stream header, is not whole by then gets its answer: owed is one within 3 s of
/// connecting, however slowly it drips in, and a client may take 2 s to write it.
pub const FIRST_LINE_TIMEOUT_MS: Millis = 2_500.0;

/// What happened to the connection.
#[derive(Debug)]
pub enum Input<'a> {
    /// The client sent bytes.
    Client(&'a [u8]),
    /// The client will send no more.
    ClientEof,
    /// The client's connection broke.
    ClientReset,
    /// The flow has a connection.
    MemberConnected,
    /// The flow could not be connected.
    MemberConnectFailed,
    /// The pool member sent bytes.
    Member(&'a [u8]),
    /// All bytes for the pool member were written.
    MemberWritten,
    /// The pool member will send no more.
    MemberEof,
    /// The flow's connection broke.
    MemberReset,
    /// The broker wants something done.
    Command(Command),
    /// The deadline that the front named has come.
    Tick,
}

/// What is to be done; bytes wait in [`Front::to_client`] and [`Front::to_member`].
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Tell the broker.
    Notify(FrontEvent),
    /// Open a server-side flow.
    Dial(String),
    /// Close the flow now, whatever still waits to be written.
    CloseMember,
    /// Break the flow now.
    ResetMember,
    /// End the sending on the flow once all is written.
    ShutdownMember,
    /// End the sending to the client once all is written.
    ShutdownClient,
    /// Break the client's connection now; nothing follows.
    ResetClient,
    /// Write what waits for the client and close its connection; nothing follows.
    Finish,
    /// Write a log line.
    Log {
        /// What happened.
        what: &'static str,
        /// More about it.
        detail: String,
    },
}

/// One client connection on a front.
pub trait Front {
    /// Takes what happened.
    fn take(&mut self, now: Millis, input: Input<'_>);
    /// What to do next, in order.
    fn step(&mut self) -> Option<Step>;
    /// When [`Input::Tick`] is due.
    fn due(&self) -> Option<Millis>;
    /// Bytes for the client.
    fn to_client(&mut self) -> &mut Vec<u8>;
    /// Bytes for the pool member.
    fn to_member(&mut self) -> &mut Vec<u8>;
    /// Whether the client may be read from now.
    fn reads_client(&self) -> bool;
    /// Whether the pool member may be read from now.
    fn reads_member(&self) -> bool;
}
