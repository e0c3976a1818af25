//! Takes over a listening socket that whoever started this process keeps, and passes down by its number.
//!
//! The number alone proves nothing: it may be closed, a file, or a descriptor that the process has opened itself. To own
//! it on trust takes `unsafe`, and two owners of one number would close it under each other. So the process sends the
//! descriptor to itself (`SCM_RIGHTS`, unix(7)): what comes back is a descriptor of its own for the same socket, closed
//! on exec. The number stays open as it was passed, and costs one descriptor.

use nix::sys::socket::{ControlMessage, MsgFlags, sendmsg};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SocketType, recvmsg, sockopt};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsRawFd, OwnedFd, RawFd};
use std::os::unix::net::UnixStream;

/// The listening TCP socket behind this number, as a descriptor of this process's own that does not block.
///
/// Not blocking is a property of the socket, not of the descriptor: all that share it see it.
///
/// # Errors
/// If the number is not open, or not a TCP socket over IP that listens.
pub fn listener(number: RawFd) -> io::Result<TcpListener> {
    let about = |what: &dyn std::fmt::Display| {
        io::Error::new(io::ErrorKind::InvalidInput, format!("descriptor {number}: {what}"))
    };
    let own = copy(number).map_err(|error| about(&error))?;
    let stream = sockopt::socket_type(&own).map_err(|_| about(&"not a socket"))? == SocketType::STREAM;
    if !stream || !sockopt::socket_acceptconn(&own).unwrap_or(false) {
        return Err(about(&"not a listening socket"));
    }
    let listener = TcpListener::from(own);
    listener.local_addr().map_err(|_| about(&"not a TCP socket"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// A descriptor of this process's own for what is open behind the number.
fn copy(number: RawFd) -> io::Result<OwnedFd> {
    let (here, there) = UnixStream::pair()?;
    sendmsg::<()>(
        here.as_raw_fd(),
        &[IoSlice::new(b"x")],
        &[ControlMessage::ScmRights(&[number])],
        MsgFlags::empty(),
        None,
    )?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0u8];
    recvmsg(&there, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let sent = control.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut sent) => sent.next(),
        _ => None,
    });
    sent.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

#[cfg(test)]
mod tests;
