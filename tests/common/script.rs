//! Peers that a test leads step by step: a discovery and members that hold back or give a byte, an end or a reset when the
//! test says so.
#![allow(dead_code)]
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing that a test waits for takes longer.
const LONG: Duration = Duration::from_secs(15);

/// One host as discovery lists it: name, address, health.
pub type Host<'a> = (&'a str, &'a str, &'a str);

/// A list in discovery's form.
pub fn list(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let host = |(name, dial, health): &Host| {
        format!(
            r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":0}}"#
        )
    };
    let hosts: Vec<_> = hosts.iter().map(host).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// A discovery that answers when the test says so.
pub struct Desk {
    listener: TcpListener,
    pub address: String,
    open: Option<BufReader<TcpStream>>,
}

impl Desk {
    pub fn new() -> Desk {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        Desk { listener, address, open: None }
    }

    /// Waits for the next call, on the connection of the last one or on a new one, and returns its target.
    pub fn call(&mut self) -> String {
        let began = Instant::now();
        self.listener.set_nonblocking(true).unwrap();
        loop {
            if let Some(open) = &mut self.open {
                open.get_ref().set_read_timeout(Some(Duration::from_millis(5))).unwrap();
                let mut head = String::new();
                match open.read_line(&mut head) {
                    Ok(0) => self.open = None,
                    Ok(_) => {
                        open.get_ref().set_read_timeout(Some(LONG)).unwrap();
                        let mut line = String::new();
                        while line != "\r\n" {
                            line.clear();
                            assert!(open.read_line(&mut line).unwrap() > 0, "half a call");
                        }
                        return head.split(' ').nth(1).unwrap().to_owned();
                    }
                    Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                    Err(_) => self.open = None,
                }
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_nodelay(true).unwrap();
                    self.open = Some(BufReader::new(stream));
                }
                Err(_) if self.open.is_none() => thread::sleep(Duration::from_millis(1)),
                Err(_) => {}
            }
            assert!(began.elapsed() < LONG, "no call came");
        }
    }

    /// Whether another connection waits beside the open one.
    pub fn is_called(&self) -> bool {
        self.listener.set_nonblocking(true).unwrap();
        self.listener.accept().is_ok()
    }

    /// Writes bytes as they are.
    pub fn write(&mut self, bytes: &str) {
        self.open.as_mut().unwrap().get_mut().write_all(bytes.as_bytes()).unwrap();
    }

    pub fn answer(&mut self, body: &str) {
        self.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }

    pub fn refuse(&mut self) {
        self.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }

    /// Ends the connection in good order, or with a reset.
    pub fn close(&mut self) {
        self.open = None;
    }

    /// The open connection, for somebody else to write on; the next call comes on another.
    pub fn hold(&mut self) -> TcpStream {
        self.open.take().unwrap().into_inner()
    }

    pub fn reset(&mut self) {
        reset(self.open.take().unwrap().into_inner());
    }

    /// Answers the first call of a node with these hosts, and takes the next.
    pub fn begin(&mut self, hosts: &[Host]) {
        self.call();
        self.answer(&list(1, true, hosts));
        assert!(self.call().contains("since=1"), "the list was not taken");
    }
}

/// Breaks a connection.
pub fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// A member whose flows the test takes one by one.
pub struct Member {
    listener: TcpListener,
    pub address: String,
}

impl Member {
    pub fn new() -> Member {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        Member { listener, address }
    }

    /// Waits for the next connection.
    pub fn flow(&self) -> BufReader<TcpStream> {
        let began = Instant::now();
        loop {
            if let Some(flow) = self.waiting() {
                return flow;
            }
            thread::sleep(Duration::from_millis(1));
            assert!(began.elapsed() < LONG, "no flow came");
        }
    }

    /// A connection that waits to be taken.
    pub fn waiting(&self) -> Option<BufReader<TcpStream>> {
        self.listener.set_nonblocking(true).unwrap();
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Some(BufReader::new(stream))
    }
}

/// A member that serves all and keeps in mind when each request came.
pub struct Diary {
    pub address: String,
    seen: Arc<Mutex<VecDeque<(String, Instant)>>>,
}

impl Diary {
    pub fn new() -> Diary {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let seen: Arc<Mutex<VecDeque<(String, Instant)>>> = Arc::default();
        let all = seen.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let seen = all.clone();
                thread::spawn(move || {
                    let mut from = BufReader::new(stream);
                    let mut line = String::new();
                    while matches!(from.read_line(&mut line), Ok(1..)) {
                        if let Some(id) = line.strip_prefix("OPEN ") {
                            let id = id.split(' ').next().unwrap_or("").to_owned();
                            seen.lock().unwrap().push_back((id, Instant::now()));
                            let _ = from.get_mut().write_all(b"UP 7\r\n");
                        } else {
                            let _ = from.get_mut().write_all(line.as_bytes());
                        }
                        line.clear();
                    }
                });
            }
        });
        Diary { address, seen }
    }

    /// The requests that came, and when.
    pub fn seen(&self) -> Vec<(String, Instant)> {
        self.seen.lock().unwrap().iter().cloned().collect()
    }
}

/// All that comes until the end; empty if it broke.
pub fn rest(stream: &mut BufReader<TcpStream>) -> String {
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    String::from_utf8_lossy(&rest).into_owned()
}
