//! The interface of a front: a state machine for one client connection and its server-side flow. It takes
//! bytes and commands, and yields bytes and steps for the driver. It does no I/O.

use crate::api::Millis;
use crate::broker::{Command, FrontEvent};

/// Limit for the bytes buffered for one side; from this fill level on, nothing more is read for it.
pub const MAX_BUFFERED_BYTES: usize = 16 * 1024;

/// Time after which a client whose first line or stream header is incomplete is sent its final answer. The
/// answer is due within 3 s of connecting, however slowly the line arrives, and a client may take 2 s to
/// write it.
pub const FIRST_LINE_TIMEOUT_MS: Millis = 2_500.0;

/// What happened to the connection.
#[derive(Debug)]
pub enum Input<'a> {
    /// The client sent bytes.
    Client(&'a [u8]),
    /// The client has closed its write side.
    ClientEof,
    /// The client's connection failed.
    ClientReset,
    /// The flow is connected.
    MemberConnected,
    /// The flow could not be connected.
    MemberConnectFailed,
    /// The pool member sent bytes.
    Member(&'a [u8]),
    /// All buffered bytes for the pool member were written.
    MemberWritten,
    /// The pool member has closed its write side.
    MemberEof,
    /// The flow's connection failed.
    MemberReset,
    /// The broker has sent a command.
    Command(Command),
    /// The time of [`Front::due`] has come.
    Tick,
}

/// An operation for the driver; the bytes to write are in [`Front::to_client`] and [`Front::to_member`].
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Pass an event to the broker.
    Notify(FrontEvent),
    /// Open a server-side flow to this address.
    Dial(String),
    /// Close the flow now, without waiting for unwritten bytes.
    CloseMember,
    /// Reset the flow's connection now.
    ResetMember,
    /// Close the write side of the flow once all is written.
    ShutdownMember,
    /// Close the write side of the client's connection once all is written.
    ShutdownClient,
    /// Reset the client's connection now; the last step.
    ResetClient,
    /// Write what is left for the client and close its connection; the last step.
    Finish,
    /// Write a log line.
    Log {
        /// What happened.
        what: &'static str,
        /// Details.
        detail: String,
    },
}

/// State machine of one client connection.
pub trait Front {
    /// Handles an input.
    fn take(&mut self, now: Millis, input: Input<'_>);
    /// The next step to execute, if any.
    fn step(&mut self) -> Option<Step>;
    /// When the driver is to send [`Input::Tick`]; `None` for never.
    fn due(&self) -> Option<Millis>;
    /// Bytes to be written to the client; the driver removes what is written.
    fn to_client(&mut self) -> &mut Vec<u8>;
    /// Bytes to be written to the pool member; the driver removes what is written.
    fn to_member(&mut self) -> &mut Vec<u8>;
    /// Whether the front accepts bytes from the client now.
    fn reads_client(&self) -> bool;
    /// Whether the front accepts bytes from the pool member now.
    fn reads_member(&self) -> bool;
}
