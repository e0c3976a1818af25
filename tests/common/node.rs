//! The node as a process, between the project's stand-ins, for tests.
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

pub fn hopmoor() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hopmoor"));
    for name in ["NODE_CONFIG", "NODE_ADMIN", "NODE_PASSED_SOCKET"] {
        command.env_remove(name);
    }
    command
}

/// Discovery with these members, each serving with its receipt.
pub struct TestPool {
    pub discovery: Discovery,
    pub members: Vec<Member>,
    pub runtime: StandInRuntime,
}

pub fn pool(receipts: &[u32]) -> TestPool {
    let runtime = StandInRuntime::new().unwrap();
    let discovery = Discovery::start(&runtime).unwrap();
    let member = |(at, receipt): (usize, &u32)| {
        let member = Member::start(&runtime, *receipt).unwrap();
        discovery.set(&format!("s-{}", at + 1), &member.address(), "Ready");
        member
    };
    let members = receipts.iter().enumerate().map(member).collect();
    TestPool { discovery, members, runtime }
}

pub struct Node {
    pub child: Child,
    pub address: String,
    pub file: PathBuf,
    pub log: Receiver<String>,
}

impl Node {
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    pub fn wait_for_log(&self, wanted: &str) -> String {
        let mut lines = self.log.iter();
        lines.find(|line| line.contains(wanted)).unwrap_or_else(|| panic!("no line with {wanted}"))
    }

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

pub fn config(discovery: &str) -> String {
    format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{{"seq":0,"whole":true,"hosts":[]}},
            "settings":{{"profiles":[{{"name":"chat","effect":"free"}}],"tenants":[{{"name":"acme"}}],
            "zones":["a"],"discovery":"on_request","caps":{{"connectTimeoutMs":250}}}}}}"#
    )
}

pub fn start() -> (Node, TestPool) {
    let pool = pool(&[77]);
    (start_with(&pool.discovery.address()), pool)
}

pub fn start_with(discovery: &str) -> Node {
    launch(&config(discovery), |_| ())
}

/// A node with an operators' listener, and where that is.
pub fn start_with_admin(discovery: &str) -> (Node, String) {
    let node = launch(&config(discovery), |command| {
        command.env("NODE_ADMIN", "127.0.0.1:0");
    });
    let line = node.wait_for_log("operators may call");
    (node, format!("127.0.0.1:{}", port(&line)))
}

pub fn port(line: &str) -> String {
    let port = line.split("127.0.0.1:").nth(1).unwrap();
    port.chars().take_while(char::is_ascii_digit).collect()
}

/// Starts a node with this configuration and what else the command is given.
pub fn launch(config: &str, more: impl FnOnce(&mut Command)) -> Node {
    static STARTED: AtomicU32 = AtomicU32::new(0);
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("hopmoor-node-{}-{number}.json", std::process::id()));
    std::fs::write(&file, config).unwrap();
    let mut command = hopmoor();
    more(command.arg("serve").env("NODE_CONFIG", &file).stderr(Stdio::piped()));
    let mut child = command.spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    while !line.contains("listening") {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the node did not start");
    }
    let (send, receive) = channel();
    thread::spawn(move || log.lines().map_while(Result::ok).all(|line| send.send(line).is_ok()));
    Node { child, address: format!("127.0.0.1:{}", port(&line)), file, log: receive }
}

/// Calls an operators' place; returns the status and the body, and fails if the answer took over a second.
pub fn call(address: &str, method: &str, place: &str) -> (u16, String) {
    let began = Instant::now();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    write!(stream, "{method} {place} HTTP/1.1\r\nHost: n\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(began.elapsed() < Duration::from_secs(1), "{place} took {:?}", began.elapsed());
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.contains("Connection: close") && head.contains(&format!("Content-Length: {}", body.len())));
    (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_owned())
}

/// Waits until it holds, for so many seconds at most.
pub fn wait_until(seconds: f64, mut holds: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while !holds() {
        if began.elapsed().as_secs_f64() > seconds {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}

pub fn exchange_line(stream: &mut BufReader<TcpStream>, line: &str) -> String {
    stream.get_mut().write_all(line.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_line(&mut answer).unwrap();
    answer
}
