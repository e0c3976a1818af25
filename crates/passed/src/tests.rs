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
