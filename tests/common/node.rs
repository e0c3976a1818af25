//! Runs the node as a process between stand-ins for discovery and the pool members.
#![allow(dead_code)]
use hopmoor_standin::sockets::{Discovery, Member, StandInRuntime};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Returns a command for the program with its configuration variables removed from the environment.
pub fn hopmoor() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hopmoor"));
    for name in ["NODE_CONFIG", "NODE_ADMIN", "NODE_PASSED_SOCKET"] {
        command.env_remove(name);
    }
    command
}

/// A stand-in for discovery and the pool members that it lists.
pub struct TestPool {
    pub discovery: Discovery,
    pub members: Vec<Member>,
    pub runtime: StandInRuntime,
}

/// Starts discovery and one member for each receipt, listed as `s-1`, `s-2` and so on. A member answers
/// `OPEN` with its receipt.
pub fn pool(receipts: &[u32]) -> TestPool {
    let runtime = StandInRuntime::new().unwrap();
    let discovery = Discovery::start(&runtime).unwrap();
    let member = |(index, receipt): (usize, &u32)| {
        let member = Member::start(&runtime, *receipt).unwrap();
        discovery.set(&format!("s-{}", index + 1), &member.address(), "Ready");
        member
    };
    let members = receipts.iter().enumerate().map(member).collect();
    TestPool { discovery, members, runtime }
}

/// A running node process; killed when dropped.
pub struct Node {
    pub child: Child,
    /// Address for clients.
    pub address: String,
    /// Configuration file; removed when the node is dropped.
    pub file: PathBuf,
    /// Log lines written since the node began to listen.
    pub log: Receiver<String>,
}

impl Node {
    /// Sends a signal, given as an option of `kill`, such as `-HUP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Waits for the next log line that contains `wanted` and returns it. Earlier lines are discarded.
    pub fn wait_for_log(&self, wanted: &str) -> String {
        let mut lines = self.log.iter();
        lines
            .find(|line| line.contains(wanted))
            .unwrap_or_else(|| panic!("the log ended without a line that contains {wanted}"))
    }

    /// Connects as a client, with a read timeout of 10 s.
    pub fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(&self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        BufReader::new(stream)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Returns a configuration with the given discovery address and no known hosts.
pub fn config(discovery: &str) -> String {
    format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{{"seq":0,"whole":true,"hosts":[]}},
            "settings":{{"profiles":[{{"name":"chat","effect":"free"}}],"tenants":[{{"name":"acme"}}],
            "zones":["a"],"discovery":"on_request","caps":{{"connectTimeoutMs":250}}}}}}"#
    )
}

/// Starts a node with discovery and one member whose receipt is 77.
pub fn start() -> (Node, TestPool) {
    let pool = pool(&[77]);
    (start_with(&pool.discovery.address()), pool)
}

/// Starts a node that uses the discovery at this address.
pub fn start_with(discovery: &str) -> Node {
    launch(&config(discovery), |_| ())
}

/// Starts a node with an operators' listener and returns the node and that listener's address.
pub fn start_with_admin(discovery: &str) -> (Node, String) {
    let node = launch(&config(discovery), |command| {
        command.env("NODE_ADMIN", "127.0.0.1:0");
    });
    let line = node.wait_for_log("operators may call");
    (node, format!("127.0.0.1:{}", port(&line)))
}

/// Returns the port of the first address on 127.0.0.1 in a log line.
pub fn port(line: &str) -> String {
    let port = line.split("127.0.0.1:").nth(1).unwrap();
    port.chars().take_while(char::is_ascii_digit).collect()
}

/// Starts a node with this configuration, once `adjust` has changed its command, and waits until it listens.
pub fn launch(config: &str, adjust: impl FnOnce(&mut Command)) -> Node {
    static NODES_STARTED: AtomicU32 = AtomicU32::new(0);
    let number = NODES_STARTED.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("hopmoor-node-{}-{number}.json", std::process::id()));
    std::fs::write(&file, config).unwrap();
    let mut command = hopmoor();
    adjust(command.arg("serve").env("NODE_CONFIG", &file).stderr(Stdio::piped()));
    let mut child = command.spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    while !line.contains("listening") {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the node exited before it listened");
    }
    let (sender, receiver) = channel();
    thread::spawn(move || log.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok()));
    Node { child, address: format!("127.0.0.1:{}", port(&line)), file, log: receiver }
}

/// Sends an HTTP request to the operators' listener and returns the status and the body. Panics if the answer
/// takes over a second.
pub fn call(address: &str, method: &str, path: &str) -> (u16, String) {
    let started = Instant::now();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: n\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(started.elapsed() < Duration::from_secs(1), "{path} took {:?}", started.elapsed());
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.contains("Connection: close") && head.contains(&format!("Content-Length: {}", body.len())));
    (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_owned())
}

/// Polls the condition until it is true; returns false if it is not within `timeout_s` seconds.
pub fn wait_until(timeout_s: f64, mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while !condition() {
        if started.elapsed().as_secs_f64() > timeout_s {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Writes `line` and returns the line that the peer answers.
pub fn exchange_line(stream: &mut BufReader<TcpStream>, line: &str) -> String {
    stream.get_mut().write_all(line.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_line(&mut answer).unwrap();
    answer
}
