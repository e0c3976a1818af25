//! Peers that a test controls step by step: a discovery and members that send bytes, end a connection or
//! reset it only when the test says so.
#![allow(dead_code)]
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for anything that a test expects.
const TIMEOUT: Duration = Duration::from_secs(15);

/// One host as discovery lists it: name, address, health.
pub type HostEntry<'a> = (&'a str, &'a str, &'a str);

/// Returns a host list in discovery's JSON format.
pub fn list(seq: u64, whole: bool, hosts: &[HostEntry]) -> String {
    let host = |(name, dial, health): &HostEntry| {
        format!(
            r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":0}}"#
        )
    };
    let hosts: Vec<_> = hosts.iter().map(host).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// A discovery that answers when the test says so.
pub struct ScriptedDiscovery {
    listener: TcpListener,
    pub address: String,
    connection: Option<BufReader<TcpStream>>,
}

impl ScriptedDiscovery {
    pub fn new() -> ScriptedDiscovery {
        ScriptedDiscovery::at("127.0.0.1:0")
    }

    /// Listens at this address, for a discovery that comes back.
    pub fn at(address: &str) -> ScriptedDiscovery {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        ScriptedDiscovery { listener, address, connection: None }
    }

    /// Waits for the next request, on the connection of the last one or on a new one, and returns its target
    /// (path and query).
    pub fn next_request(&mut self) -> String {
        let started = Instant::now();
        self.listener.set_nonblocking(true).unwrap();
        loop {
            if let Some(connection) = &mut self.connection {
                connection.get_ref().set_read_timeout(Some(Duration::from_millis(5))).unwrap();
                let mut request_line = String::new();
                match connection.read_line(&mut request_line) {
                    Ok(0) => self.connection = None,
                    Ok(_) => {
                        connection.get_ref().set_read_timeout(Some(TIMEOUT)).unwrap();
                        let mut line = String::new();
                        while line != "\r\n" {
                            line.clear();
                            assert!(
                                connection.read_line(&mut line).unwrap() > 0,
                                "the connection ended within the headers of a request"
                            );
                        }
                        return request_line.split(' ').nth(1).unwrap().to_owned();
                    }
                    Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                    Err(_) => self.connection = None,
                }
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_nodelay(true).unwrap();
                    self.connection = Some(BufReader::new(stream));
                }
                Err(_) if self.connection.is_none() => thread::sleep(Duration::from_millis(1)),
                Err(_) => {}
            }
            assert!(started.elapsed() < TIMEOUT, "no request within {TIMEOUT:?}");
        }
    }

    /// Whether another connection waits to be accepted besides the current one. It is closed.
    pub fn has_new_connection(&self) -> bool {
        self.listener.set_nonblocking(true).unwrap();
        self.listener.accept().is_ok()
    }

    /// Writes the bytes to the current connection without adding any HTTP framing.
    pub fn write(&mut self, bytes: &str) {
        self.connection.as_mut().unwrap().get_mut().write_all(bytes.as_bytes()).unwrap();
    }

    /// Answers the last request with status 200 and this body.
    pub fn answer(&mut self, body: &str) {
        self.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }

    /// Answers the last request with status 503.
    pub fn refuse(&mut self) {
        self.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }

    /// Closes the connection without a reset.
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Hands over the current connection; the next request is expected on another one.
    pub fn take_connection(&mut self) -> TcpStream {
        self.connection.take().unwrap().into_inner()
    }

    /// Closes the connection with a reset.
    pub fn reset(&mut self) {
        reset(self.connection.take().unwrap().into_inner());
    }

    /// Answers a node's first request with these hosts and waits for the request that follows.
    pub fn serve_first_list(&mut self, hosts: &[HostEntry]) {
        self.next_request();
        self.answer(&list(1, true, hosts));
        assert!(self.next_request().contains("since=1"), "the node did not apply the first list");
    }
}

/// Closes a connection with a TCP reset.
pub fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// A member whose flows the test accepts one by one.
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

    /// Waits for the next flow and accepts it.
    pub fn next_flow(&self) -> BufReader<TcpStream> {
        let started = Instant::now();
        loop {
            if let Some(flow) = self.accept_waiting() {
                return flow;
            }
            thread::sleep(Duration::from_millis(1));
            assert!(started.elapsed() < TIMEOUT, "no flow within {TIMEOUT:?}");
        }
    }

    /// Accepts a flow if one waits.
    pub fn accept_waiting(&self) -> Option<BufReader<TcpStream>> {
        self.listener.set_nonblocking(true).unwrap();
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Some(BufReader::new(stream))
    }
}

/// A member that serves every request and records when each arrived.
pub struct RecordingMember {
    pub address: String,
    requests: Arc<Mutex<VecDeque<(String, Instant)>>>,
}

impl RecordingMember {
    pub fn new() -> RecordingMember {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let requests: Arc<Mutex<VecDeque<(String, Instant)>>> = Arc::default();
        let shared = requests.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let requests = shared.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream);
                    let mut line = String::new();
                    while matches!(reader.read_line(&mut line), Ok(1..)) {
                        if let Some(id) = line.strip_prefix("OPEN ") {
                            let id = id.split(' ').next().unwrap_or("").to_owned();
                            requests.lock().unwrap().push_back((id, Instant::now()));
                            let _ = reader.get_mut().write_all(b"UP 7\r\n");
                        } else {
                            let _ = reader.get_mut().write_all(line.as_bytes());
                        }
                        line.clear();
                    }
                });
            }
        });
        RecordingMember { address, requests }
    }

    /// Returns the id of each request that arrived, and when.
    pub fn requests(&self) -> Vec<(String, Instant)> {
        self.requests.lock().unwrap().iter().cloned().collect()
    }
}

/// Reads until the connection ends or fails and returns what arrived.
pub fn read_rest(stream: &mut BufReader<TcpStream>) -> String {
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}
