//! The clients of one slot: clients that open short connections in turn, clients that keep a connection and
//! use it, and a crowd of silent clients. Each records what the node owed it and did not deliver.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Deadline that a client names in its request.
pub const REQUEST_DEADLINE: Duration = Duration::from_millis(3_000);
/// An answer that is later than its deadline by more than this counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Time-out for the answer to a client whose connection existed before the node process started. The node
/// needs the list of members for it, and discovery may be held for 10 s and deliver slowly afterwards.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(30);
/// Time-out for an echoed line. A line may be held for 1 s at most; beyond that, a process may be paused for
/// 0.15 s, and the test shares its machine with other work.
const ECHO_TIMEOUT: Duration = Duration::from_millis(1_500);
/// New connections keep arriving for this long after a process has got SIGTERM, and have to be answered.
pub const ARRIVALS_AFTER_SIGTERM: Duration = Duration::from_millis(400);
/// Pause between two requests of one client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Pause between two lines on a kept connection.
const LINE_INTERVAL: Duration = Duration::from_millis(200);
/// How often a client checks whether an empty slot has a process again.
const EMPTY_SLOT_POLL: Duration = Duration::from_millis(20);
/// Silent connections that a crowded slot has open at a time.
const MAX_SILENT_CONNECTIONS: usize = 300;

/// When the test ended one process, and how.
#[derive(Clone, Copy, Debug, Default)]
pub struct Termination {
    /// When SIGTERM was sent.
    pub sigterm_at: Option<Instant>,
    /// When SIGKILL was sent.
    pub sigkill_at: Option<Instant>,
}

/// One node process as its clients know it.
#[derive(Clone)]
pub struct Process {
    pub address: String,
    pub termination: Arc<Mutex<Termination>>,
    /// Connections that existed before the process started: the name of the host that serves each, and the
    /// receipt that its member answers with.
    pub existing: Arc<Mutex<Vec<(String, usize)>>>,
}

impl Process {
    fn termination(&self) -> Termination {
        *self.termination.lock().unwrap()
    }

    /// Whether the process got SIGKILL without SIGTERM before: its clients may then lose their connections.
    fn killed_without_sigterm(&self) -> bool {
        let Termination { sigterm_at, sigkill_at } = self.termination();
        sigkill_at.is_some() && sigterm_at.is_none()
    }
}

/// A slot of the fleet: node processes run in it one after the other.
#[derive(Clone)]
pub struct Slot {
    /// The process that takes new connections; none while the slot is empty.
    pub process: Arc<Mutex<Option<Process>>>,
    /// Whether the slot also has a crowd of silent clients.
    pub crowded: bool,
    /// Tells the clients of all slots to stop.
    pub stop: Arc<AtomicBool>,
    /// What the clients of all slots were owed and did not get.
    pub violations: Arc<Mutex<Vec<String>>>,
    pub counts: Arc<Counts>,
}

/// Requests and their outcomes, over all slots.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests that were written.
    pub requests: AtomicU64,
    /// Requests answered with `UP`.
    pub up: AtomicU64,
    /// Requests answered with anything else.
    pub refused: AtomicU64,
    /// Answered requests for a connection that existed before the process started.
    pub stood: AtomicU64,
    /// Kept connections that ended with `MOVE`.
    pub moved: AtomicU64,
    /// Lines that were echoed.
    pub lines: AtomicU64,
}

fn read_line(stream: &mut BufReader<TcpStream>, timeout: Duration) -> std::io::Result<String> {
    stream.get_ref().set_read_timeout(Some(timeout.max(Duration::from_millis(1))))?;
    let mut line = String::new();
    stream.read_line(&mut line)?;
    Ok(line)
}

impl Slot {
    fn current_process(&self) -> Option<Process> {
        self.process.lock().unwrap().clone()
    }

    fn record_violation(&self, violation: String) {
        self.violations.lock().unwrap().push(violation);
    }

    fn running(&self) -> bool {
        !self.stop.load(Relaxed)
    }

    /// Opens one connection after the other and closes each as soon as it is answered.
    pub fn open_in_turn(&self, slot: usize) {
        let mut number = 0;
        while self.running() {
            let Some(process) = self.current_process() else {
                thread::sleep(EMPTY_SLOT_POLL);
                continue;
            };
            number += 1;
            let line = format!(
                "OPEN {slot:02x}{number:06x} f{slot:02x}{number:06x} c=chat,t=acme,d={}",
                REQUEST_DEADLINE.as_millis()
            );
            self.open(&process, &line);
            thread::sleep(REQUEST_INTERVAL);
        }
    }

    /// Sends one request; returns its answer and the connection. Records a violation if an answer was owed
    /// and none came.
    fn open(&self, process: &Process, line: &str) -> Option<(String, BufReader<TcpStream>)> {
        let mut stream = BufReader::new(TcpStream::connect(&process.address).ok()?);
        let began = Instant::now();
        stream.get_mut().write_all(format!("{line}\r\n").as_bytes()).ok()?;
        self.counts.requests.fetch_add(1, Relaxed);
        let existed = line.contains(",at=");
        let answer =
            read_line(&mut stream, if existed { ADOPTION_TIMEOUT } else { REQUEST_DEADLINE + ANSWER_SLACK });
        match answer {
            Ok(answer) if answer.ends_with('\n') => {
                let counter = if answer.starts_with("UP") { &self.counts.up } else { &self.counts.refused };
                counter.fetch_add(1, Relaxed);
                Some((answer, stream))
            }
            other => {
                // The node owes no answer in a crowded slot, nor to a client that connects when
                // ARRIVALS_AFTER_SIGTERM has passed.
                let late = process
                    .termination()
                    .sigterm_at
                    .is_some_and(|sigterm_at| began > sigterm_at + ARRIVALS_AFTER_SIGTERM);
                if !process.killed_without_sigterm() && !late && !self.crowded {
                    self.record_violation(format!(
                        "{line} at {}: no answer after {:?}: {other:?}, {:?}",
                        process.address,
                        began.elapsed(),
                        process.termination()
                    ));
                }
                None
            }
        }
    }

    /// Opens a connection, uses it until the node moves it, and then opens the next.
    pub fn keep_connection(&self, slot: usize, number: usize) {
        let mut opened = 0;
        while self.running() {
            let Some(process) = self.current_process() else {
                thread::sleep(EMPTY_SLOT_POLL);
                continue;
            };
            opened += 1;
            let existing = process.existing.lock().unwrap().pop();
            let mut line = format!(
                "OPEN k{slot:02x}{number:02x}{opened:04x} f{number} c=chat,t=acme,d={}",
                REQUEST_DEADLINE.as_millis()
            );
            if let Some((host, _)) = &existing {
                line = line.replace("d=3000", &format!("d=4294967,at={host}"));
            }
            let Some((answer, stream)) = self.open(&process, &line) else { continue };
            if let Some((host, receipt)) = &existing {
                self.counts.stood.fetch_add(1, Relaxed);
                let terminating = process.termination().sigterm_at.is_some();
                if answer != format!("UP {receipt}\r\n") && !process.killed_without_sigterm() && !terminating
                {
                    self.record_violation(format!(
                        "{line}: answered {answer:?}, but the connection was at {host} with receipt {receipt}"
                    ));
                }
            }
            if answer.starts_with("UP") {
                self.echo_until_moved(&process, &line, stream);
            } else {
                thread::sleep(LINE_INTERVAL);
            }
        }
    }

    /// Sends lines and reads their echoes until `MOVE` comes. Records a violation if the connection ends or
    /// stalls without it.
    fn echo_until_moved(&self, process: &Process, line: &str, mut stream: BufReader<TcpStream>) {
        let began = Instant::now();
        for number in 0.. {
            if !self.running() {
                return;
            }
            thread::sleep(LINE_INTERVAL);
            let sent = format!("line {number}\r\n");
            let _ = stream.get_mut().write_all(sent.as_bytes());
            match read_line(&mut stream, ECHO_TIMEOUT) {
                Ok(answer) if answer == sent => self.counts.lines.fetch_add(1, Relaxed),
                Ok(answer) if answer == "MOVE\r\n" => {
                    self.counts.moved.fetch_add(1, Relaxed);
                    return;
                }
                _ if process.killed_without_sigterm() => return,
                other => {
                    return self.record_violation(format!(
                        "{line} at {}, {:?}, {number} lines in: {other:?}, no MOVE; SIGTERM {:?} ago, {:?}",
                        process.address,
                        began.elapsed(),
                        process.termination().sigterm_at.map(|sigterm_at| sigterm_at.elapsed()),
                        process.termination()
                    ));
                }
            };
        }
    }

    /// Opens connections and sends nothing on them; closes the oldest when too many are open.
    pub fn open_silent_connections(&self) {
        let mut silent = Vec::new();
        while self.running() {
            if let Some(process) = self.current_process()
                && let Ok(stream) = TcpStream::connect(&process.address)
            {
                silent.push(stream);
            }
            if silent.len() > MAX_SILENT_CONNECTIONS {
                silent.remove(0);
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}
