//! Stand-ins for members, discovery and clients that listen and connect on loopback, for tests and
//! measurements of the real program. Members and discovery run on one thread of their own and end when the
//! [`StandInRuntime`] is dropped.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};

/// Largest line of the line protocol that is read whole; a longer one is read in parts.
const MAX_LINE_BYTES: u64 = 16 * 1024;

/// A single-threaded runtime for stand-ins, on a thread of its own. Dropping it ends the stand-ins.
pub struct StandInRuntime {
    handle: Handle,
    end: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl StandInRuntime {
    /// Starts the thread and its runtime.
    ///
    /// # Errors
    /// If the runtime or the thread can't be started.
    pub fn new() -> io::Result<StandInRuntime> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (end, ended) = oneshot::channel();
        let thread = std::thread::Builder::new().name("stand-ins".into()).spawn(move || {
            let _ = runtime.block_on(ended);
        })?;
        Ok(StandInRuntime { handle, end: Some(end), thread: Some(thread) })
    }

    /// Returns the handle of the runtime, for other tasks that are to run on the thread.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    fn listen(&self) -> io::Result<(TcpListener, SocketAddr)> {
        let _inside = self.handle.enter();
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        Ok((TcpListener::from_std(listener)?, address))
    }
}

impl Drop for StandInRuntime {
    fn drop(&mut self) {
        self.end.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A member's behavior, as set by the test, and its counters.
#[derive(Default)]
struct MemberState {
    silent: AtomicBool,
    refusing: AtomicBool,
    accepted_connections: AtomicU64,
    open_connections: AtomicU64,
    attempts_received: AtomicU64,
    attempts_served: AtomicU64,
    /// Message latency that a probe is answered with, in microseconds.
    message_us: AtomicU64,
}

/// A pool member on the line protocol. It answers each `OPEN` with `UP` and its receipt, a `STATS` probe with
/// its load, and any other line with the same line.
pub struct Member {
    address: SocketAddr,
    state: Arc<MemberState>,
    killed: watch::Sender<bool>,
}

impl Member {
    /// Starts a member that listens on a free port of the loopback address.
    ///
    /// # Errors
    /// If the member can't listen.
    pub fn start(stand_ins: &StandInRuntime, receipt: u32) -> io::Result<Member> {
        let (listener, address) = stand_ins.listen()?;
        let state = Arc::new(MemberState::default());
        state.message_us.store(2_000, Relaxed);
        let (killed, kill_signal) = watch::channel(false);
        let shared_state = state.clone();
        stand_ins.handle.spawn(async move {
            loop {
                let mut kill_receiver = kill_signal.clone();
                let (stream, _) = tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok(accepted) => accepted,
                        Err(_) => { tokio::time::sleep(Duration::from_millis(5)).await; continue }
                    },
                    _ = kill_receiver.changed() => return,
                };
                shared_state.accepted_connections.fetch_add(1, Relaxed);
                let (shared_state, mut kill_receiver) = (shared_state.clone(), kill_signal.clone());
                tokio::spawn(async move {
                    let _ = stream.set_nodelay(true);
                    let mut is_up = false;
                    tokio::select! {
                        _ = serve_member(stream, receipt, &shared_state, &mut is_up) => {}
                        _ = kill_receiver.changed() => {}
                    }
                    if is_up {
                        shared_state.open_connections.fetch_sub(1, Relaxed);
                    }
                });
            }
        });
        Ok(Member { address, state, killed })
    }

    /// Returns the address at which the member listens.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Makes the member silent, or lets it answer again. A silent member reads what it is sent and answers
    /// nothing; lines that arrive meanwhile are never answered.
    pub fn silent(&self, on: bool) {
        self.state.silent.store(on, Relaxed);
    }

    /// Makes the member answer each `OPEN` with `BUSY`, or serve again.
    pub fn refusing(&self, on: bool) {
        self.state.refusing.store(on, Relaxed);
    }

    /// Sets the message latency that the member reports to probes.
    pub fn message_ms(&self, ms: f64) {
        self.state.message_us.store((ms * 1_000.0) as u64, Relaxed);
    }

    /// Stops the member as if its process ended: it no longer listens, and its connections break.
    pub fn kill(&self) {
        let _ = self.killed.send(true);
    }

    /// Returns the number of connections accepted so far, probes included.
    pub fn connections(&self) -> u64 {
        self.state.accepted_connections.load(Relaxed)
    }

    /// Returns the number of open connections on which an `OPEN` was served.
    pub fn held(&self) -> u64 {
        self.state.open_connections.load(Relaxed)
    }

    /// Returns the number of attempts (`OPEN` lines) received, and of connections on which one was served.
    pub fn attempts(&self) -> (u64, u64) {
        (self.state.attempts_received.load(Relaxed), self.state.attempts_served.load(Relaxed))
    }
}

async fn serve_member(
    stream: TcpStream,
    receipt: u32,
    state: &MemberState,
    is_up: &mut bool,
) -> io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    let mut line = Vec::new();
    loop {
        line.clear();
        if (&mut reader).take(MAX_LINE_BYTES).read_until(b'\n', &mut line).await? == 0 {
            return Ok(());
        }
        let is_open_request = line.starts_with(b"OPEN ");
        state.attempts_received.fetch_add(u64::from(is_open_request), Relaxed);
        if state.silent.load(Relaxed) {
            continue;
        }
        if is_open_request && state.refusing.load(Relaxed) {
            writer.write_all(b"BUSY\r\n").await?;
            continue;
        }
        if is_open_request {
            if !std::mem::replace(is_up, true) {
                state.open_connections.fetch_add(1, Relaxed);
                state.attempts_served.fetch_add(1, Relaxed);
            }
            writer.write_all(format!("UP {receipt}\r\n").as_bytes()).await?;
        } else if line.starts_with(b"STATS") {
            let (held, ms) =
                (state.open_connections.load(Relaxed), state.message_us.load(Relaxed) as f64 / 1_000.0);
            let report = format!("PONG inflight={held},latency_ms={ms},x0={:.3}\r\n", held as f64 / 10_000.0);
            writer.write_all(report.as_bytes()).await?;
        } else {
            writer.write_all(&line).await?;
        }
    }
}

/// An entry of discovery's list: a member's address and health.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryEntry {
    /// Address at which the member listens.
    pub dial: String,
    /// `Ready`, `Terminating` or `Gone`.
    pub health: &'static str,
    /// When the member last started, in Unix milliseconds; 0 for long ago.
    pub born_ms: f64,
}

/// How discovery answers: at once by default, or late, slowly or not at all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseBehavior {
    /// Delay before an answer with changes begins, as from an overloaded discovery service.
    pub start_delay: Duration,
    /// Time over which an answer with changes is written in equal chunks, as from a slow discovery service.
    pub over: Duration,
    /// Whether calls are accepted but not answered.
    pub silent: bool,
    /// Whether a call that names a version is answered with the changes since that version instead of the
    /// whole list.
    pub incremental: bool,
}

/// Number of chunks in which a slow answer is written.
const RESPONSE_CHUNKS: usize = 40;

/// Discovery's list, shared by the calls that it answers.
#[derive(Default)]
struct Directory {
    /// Entries by the member's name, each with the version in which it last changed.
    list: BTreeMap<String, (u64, DiscoveryEntry)>,
    /// The whole list as last serialized, and its version. It is cached because serializing thousands of
    /// entries takes long.
    whole: Option<(u64, Arc<str>)>,
}

type SharedDirectory = Arc<Mutex<Directory>>;

/// A discovery service over HTTP/1.1. It serves the list of members, and long-polling watches on it.
pub struct Discovery {
    address: SocketAddr,
    directory: SharedDirectory,
    seq: watch::Sender<u64>,
    response_behavior: Arc<Mutex<ResponseBehavior>>,
    written: Arc<AtomicU64>,
}

impl Discovery {
    /// Starts a discovery service with an empty list, on a free port of the loopback address.
    ///
    /// # Errors
    /// If the service can't listen.
    pub fn start(stand_ins: &StandInRuntime) -> io::Result<Discovery> {
        let (listener, address) = stand_ins.listen()?;
        let (seq, version_changes) = watch::channel(1);
        let (directory, response_behavior, written) =
            (SharedDirectory::default(), Arc::default(), Arc::default());
        let discovery = Discovery { address, directory, seq, response_behavior, written };
        let (directory, response_behavior, written) =
            (discovery.directory.clone(), discovery.response_behavior.clone(), discovery.written.clone());
        stand_ins.handle.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (directory, response_behavior, written) =
                    (directory.clone(), response_behavior.clone(), written.clone());
                tokio::spawn(serve_discovery(
                    stream,
                    directory,
                    version_changes.clone(),
                    response_behavior,
                    written,
                ));
            }
        });
        Ok(discovery)
    }

    /// Sets how the service answers from now on.
    pub fn set_response_behavior(&self, response_behavior: ResponseBehavior) {
        *self.response_behavior.lock().unwrap_or_else(PoisonError::into_inner) = response_behavior;
    }

    /// Returns the number of bytes of all answers so far.
    pub fn bytes_written(&self) -> u64 {
        self.written.load(Relaxed)
    }

    /// Returns the address at which the service listens.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Adds a member to the list or changes its entry. Open watches are answered at once.
    pub fn set(&self, name: &str, dial: &str, health: &'static str) {
        self.set_all(&[(name.to_owned(), DiscoveryEntry { dial: dial.to_owned(), health, born_ms: 0.0 })]);
    }

    /// Adds many members to the list or changes their entries, all in one new version.
    pub fn set_all(&self, members: &[(String, DiscoveryEntry)]) {
        let seq = *self.seq.borrow() + 1;
        let mut guard = self.directory.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, listed) in members {
            guard.list.insert(name.clone(), (seq, listed.clone()));
        }
        drop(guard);
        self.seq.send_replace(seq);
    }
}

async fn serve_discovery(
    stream: TcpStream,
    directory: SharedDirectory,
    mut version_changes: watch::Receiver<u64>,
    response_behavior: Arc<Mutex<ResponseBehavior>>,
    written: Arc<AtomicU64>,
) -> io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader.take(1 << 30)).lines();
    let mut call = None;
    while let Some(line) = lines.next_line().await? {
        if !line.is_empty() {
            if line.starts_with("GET ") {
                call = Some(line);
            }
            continue;
        }
        let Some(call) = call.take() else { continue };
        let query_number = |name: &str| {
            let (_, rest) = call.split_once(name)?;
            rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse::<u64>().ok()
        };
        let since = query_number("since=");
        if let (Some(since), Some(wait_ms)) = (since, query_number("timeout_ms=")) {
            let newer_version = version_changes.wait_for(|seq| *seq > since);
            let _ = tokio::time::timeout(Duration::from_millis(wait_ms.min(60_000)), newer_version).await;
        }
        let behavior = || *response_behavior.lock().unwrap_or_else(PoisonError::into_inner);
        if behavior().silent {
            std::future::pending::<()>().await;
        }
        let seq = *version_changes.borrow();
        let has_news = since.is_none_or(|since| seq > since);
        if has_news {
            tokio::time::sleep(behavior().start_delay).await;
        }
        let changed_after = since.filter(|since| behavior().incremental && *since > 1);
        let body =
            directory.lock().unwrap_or_else(PoisonError::into_inner).body_text(seq, has_news, changed_after);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        written.fetch_add(answer.len() as u64, Relaxed);
        let duration = if has_news { behavior().over } else { Duration::ZERO };
        write_in_chunks(&mut writer, answer.as_bytes(), duration).await?;
    }
    Ok(())
}

/// Writes these bytes in equal chunks over this duration.
async fn write_in_chunks(
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    bytes: &[u8],
    duration: Duration,
) -> io::Result<()> {
    if duration.is_zero() {
        return to.write_all(bytes).await;
    }
    for chunk in bytes.chunks(bytes.len().div_ceil(RESPONSE_CHUNKS)) {
        to.write_all(chunk).await?;
        tokio::time::sleep(duration / RESPONSE_CHUNKS as u32).await;
    }
    Ok(())
}

impl Directory {
    fn body_text(&mut self, seq: u64, has_news: bool, changed_after: Option<u64>) -> Arc<str> {
        if !has_news || changed_after.is_some() {
            return build_body(seq, has_news, changed_after, &self.list).to_string().into();
        }
        if let Some((_, whole)) = self.whole.as_ref().filter(|(at, _)| *at == seq) {
            return whole.clone();
        }
        let whole: Arc<str> = build_body(seq, has_news, changed_after, &self.list).to_string().into();
        self.whole = Some((seq, whole.clone()));
        whole
    }
}

/// Builds the body of an answer: the whole list, or the entries that changed after a version. The list is
/// empty if the caller already has the current version.
fn build_body(
    seq: u64,
    has_news: bool,
    changed_after: Option<u64>,
    list: &BTreeMap<String, (u64, DiscoveryEntry)>,
) -> Value {
    let host = |(name, (_, listed)): (&String, &(u64, DiscoveryEntry))| {
        json!({"host": name, "dial": listed.dial, "site": "a", "block": 0, "health": listed.health,
            "share": 1.0, "born_ms": listed.born_ms})
    };
    // Members that are gone are left out of the whole list.
    let is_included = |(_, (changed, listed)): &(&String, &(u64, DiscoveryEntry))| {
        has_news && changed_after.map_or(listed.health != "Gone", |version| *changed > version)
    };
    let hosts: Vec<Value> = list.iter().filter(is_included).map(host).collect();
    json!({"seq": seq, "whole": has_news && changed_after.is_none(), "hosts": hosts})
}

/// A client that speaks the line protocol to a node.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a node.
    ///
    /// # Errors
    /// If the connection can't be opened.
    pub async fn connect(address: &str) -> io::Result<Client> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Client { stream: BufReader::with_capacity(256, stream) })
    }

    /// Sends a line, given without its line end, and reads one line as [`Client::read`] does.
    ///
    /// # Errors
    /// If the connection breaks.
    pub async fn ask(&mut self, line: &str) -> io::Result<String> {
        self.stream.get_mut().write_all(format!("{line}\r\n").as_bytes()).await?;
        self.read().await
    }

    /// Reads a line and returns it without its line end. It is empty if the node has closed the connection.
    ///
    /// # Errors
    /// If the connection breaks.
    pub async fn read(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        (&mut self.stream).take(MAX_LINE_BYTES).read_until(b'\n', &mut line).await?;
        Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
    }
}
