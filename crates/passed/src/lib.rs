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
mod tests {
    use super::*;
    use std::net::{TcpStream, UdpSocket};
    use std::os::unix::net::UnixListener;

    #[test]
    fn a_listening_socket_is_taken_and_shared() {
        let kept = TcpListener::bind("127.0.0.1:0").unwrap();
        let taken = listener(kept.as_raw_fd()).unwrap();
        assert_ne!(taken.as_raw_fd(), kept.as_raw_fd());
        let address = kept.local_addr().unwrap();
        assert_eq!(taken.local_addr().unwrap(), address);
        let close_on_exec = rustix::io::fcntl_getfd(&taken).unwrap();
        assert!(close_on_exec.contains(rustix::io::FdFlags::CLOEXEC));
        let _client = TcpStream::connect(address).unwrap();
        taken.accept().unwrap();
        assert_eq!(taken.accept().unwrap_err().kind(), io::ErrorKind::WouldBlock);
        drop(taken);
        drop(TcpStream::connect(address).unwrap());
    }

    #[test]
    fn what_does_not_listen_is_refused_with_its_number() {
        let file = std::fs::File::open("/dev/null").unwrap();
        let datagrams = UdpSocket::bind("127.0.0.1:0").unwrap();
        let folder = std::env::temp_dir().join(format!("hopmoor-passed-{}", std::process::id()));
        let local = UnixListener::bind(&folder).unwrap();
        std::fs::remove_file(&folder).unwrap();
        let kept = TcpListener::bind("127.0.0.1:0").unwrap();
        let connected = TcpStream::connect(kept.local_addr().unwrap()).unwrap();
        for (number, wanted) in [
            (file.as_raw_fd(), "not a socket"),
            (datagrams.as_raw_fd(), "not a listening socket"),
            (connected.as_raw_fd(), "not a listening socket"),
            (local.as_raw_fd(), "not a TCP socket"),
            (9_999, "Bad file descriptor"),
            (-1, "Bad file descriptor"),
        ] {
            let error = listener(number).unwrap_err().to_string();
            assert!(error.contains(wanted) && error.contains(&number.to_string()), "{error}");
        }
    }
}
