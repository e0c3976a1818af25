//! Takes over a listening socket that this process inherited from its parent as a numbered file descriptor.
//!
//! The number alone proves nothing: the descriptor may be closed, a file, or one that the process has opened
//! itself. Taking ownership of a raw descriptor needs `unsafe`, and if it has two owners, one closes it under
//! the other. The process therefore sends the descriptor to itself (`SCM_RIGHTS`, unix(7)) and receives a new
//! descriptor for the same socket, with close-on-exec set. The inherited descriptor stays open, which costs
//! one descriptor.

use nix::sys::socket::{ControlMessage, MsgFlags, sendmsg};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SocketType, recvmsg, sockopt};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsRawFd, OwnedFd, RawFd};
use std::os::unix::net::UnixStream;

/// Returns the listening TCP socket behind an inherited descriptor, as a new non-blocking descriptor.
///
/// Non-blocking mode is a property of the socket, not of the descriptor: it applies to all processes that
/// share it.
///
/// # Errors
/// If the descriptor is not open, or is not a listening TCP socket over IP.
pub fn listener(fd: RawFd) -> io::Result<TcpListener> {
    let invalid_input = |reason: &dyn std::fmt::Display| {
        io::Error::new(io::ErrorKind::InvalidInput, format!("descriptor {fd}: {reason}"))
    };
    let copy = receive_copy(fd).map_err(|error| invalid_input(&error))?;
    let is_stream =
        sockopt::socket_type(&copy).map_err(|_| invalid_input(&"not a socket"))? == SocketType::STREAM;
    if !is_stream || !sockopt::socket_acceptconn(&copy).unwrap_or(false) {
        return Err(invalid_input(&"not a listening socket"));
    }
    let listener = TcpListener::from(copy);
    listener.local_addr().map_err(|_| invalid_input(&"not a TCP socket"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Returns a new descriptor for the open file behind a descriptor, received through a socket pair.
fn receive_copy(fd: RawFd) -> io::Result<OwnedFd> {
    let (sender, receiver) = UnixStream::pair()?;
    sendmsg::<()>(
        sender.as_raw_fd(),
        &[IoSlice::new(b"x")],
        &[ControlMessage::ScmRights(&[fd])],
        MsgFlags::empty(),
        None,
    )?;
    let mut buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut buffer);
    let mut byte = [0u8];
    recvmsg(&receiver, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let received = control.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut received) => received.next(),
        _ => None,
    });
    received.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

#[cfg(test)]
mod tests;
