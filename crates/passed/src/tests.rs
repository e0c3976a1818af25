use super::*;
use std::net::{TcpStream, UdpSocket};
use std::os::unix::net::UnixListener;

#[test]
fn a_listening_socket_is_adopted_and_shared() {
    let inherited = TcpListener::bind("127.0.0.1:0").unwrap();
    let adopted = listener(inherited.as_raw_fd()).unwrap();
    assert_ne!(adopted.as_raw_fd(), inherited.as_raw_fd());
    let address = inherited.local_addr().unwrap();
    assert_eq!(adopted.local_addr().unwrap(), address);
    let close_on_exec = rustix::io::fcntl_getfd(&adopted).unwrap();
    assert!(close_on_exec.contains(rustix::io::FdFlags::CLOEXEC));
    let _client = TcpStream::connect(address).unwrap();
    adopted.accept().unwrap();
    assert_eq!(adopted.accept().unwrap_err().kind(), io::ErrorKind::WouldBlock);
    drop(adopted);
    drop(TcpStream::connect(address).unwrap());
}

#[test]
fn other_descriptors_are_refused_with_an_error_that_names_them() {
    let file = std::fs::File::open("/dev/null").unwrap();
    let datagrams = UdpSocket::bind("127.0.0.1:0").unwrap();
    let path = std::env::temp_dir().join(format!("hopmoor-passed-{}", std::process::id()));
    let local = UnixListener::bind(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    let inherited = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected = TcpStream::connect(inherited.local_addr().unwrap()).unwrap();
    for (fd, expected) in [
        (file.as_raw_fd(), "not a socket"),
        (datagrams.as_raw_fd(), "not a listening socket"),
        (connected.as_raw_fd(), "not a listening socket"),
        (local.as_raw_fd(), "not a TCP socket"),
        (9_999, "Bad file descriptor"),
        (-1, "Bad file descriptor"),
    ] {
        let error = listener(fd).unwrap_err().to_string();
        assert!(error.contains(expected) && error.contains(&fd.to_string()), "{error}");
    }
}
