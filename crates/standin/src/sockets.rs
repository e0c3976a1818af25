//! Members and discovery on loopback, for tests and measurements with the real program. They run on one thread of
//! their own, and end with the [`StandInRuntime`].

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

/// Lines and heads longer than this are not read on.
const LONGEST: u64 = 16 * 1024;

/// The thread that stand-ins run on.
pub struct StandInRuntime {
    handle: Handle,
    end: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl StandInRuntime {
    /// Begins a thread.
    ///
    /// # Errors
    /// If there is none to be had.
    pub fn new() -> io::Result<StandInRuntime> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (end, ended) = oneshot::channel();
        let thread = std::thread::Builder::new().name("stand-ins".into()).spawn(move || {
            let _ = runtime.block_on(ended);
        })?;
        Ok(StandInRuntime { handle, end: Some(end), thread: Some(thread) })
    }

    /// What else is to run on the thread.
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

#[derive(Default)]
struct Manner {
    silent: AtomicBool,
    refusing: AtomicBool,
    accepted: AtomicU64,
    held: AtomicU64,
    asked: AtomicU64,
    served: AtomicU64,
    /// In microseconds.
    message: AtomicU64,
}

/// A pool member on the line protocol: it serves each `OPEN` with its receipt, answers each line with the same line,
/// and a probe with its load.
pub struct Member {
    address: SocketAddr,
    manner: Arc<Manner>,
    gone: watch::Sender<bool>,
}

impl Member {
    /// Begins to listen.
    ///
    /// # Errors
    /// If it can't.
    pub fn start(stage: &StandInRuntime, receipt: u32) -> io::Result<Member> {
        let (listener, address) = stage.listen()?;
        let manner = Arc::new(Manner::default());
        manner.message.store(2_000, Relaxed);
        let (gone, is_gone) = watch::channel(false);
        let of = manner.clone();
        stage.handle.spawn(async move {
            loop {
                let mut ends = is_gone.clone();
                let (stream, _) = tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok(accepted) => accepted,
                        Err(_) => { tokio::time::sleep(Duration::from_millis(5)).await; continue }
                    },
                    _ = ends.changed() => return,
                };
                of.accepted.fetch_add(1, Relaxed);
                let (of, mut ends) = (of.clone(), is_gone.clone());
                tokio::spawn(async move {
                    let _ = stream.set_nodelay(true);
                    let mut up = false;
                    tokio::select! {
                        _ = serve(stream, receipt, &of, &mut up) => {}
                        _ = ends.changed() => {}
                    }
                    if up {
                        of.held.fetch_sub(1, Relaxed);
                    }
                });
            }
        });
        Ok(Member { address, manner, gone })
    }

    /// Where it listens.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// It takes what it is sent and answers nothing, or answers again: what it has not answered it never will.
    pub fn silent(&self, on: bool) {
        self.manner.silent.store(on, Relaxed);
    }

    /// It turns all new work away.
    pub fn refusing(&self, on: bool) {
        self.manner.refusing.store(on, Relaxed);
    }

    /// How long it says that a message takes.
    pub fn message_ms(&self, ms: f64) {
        self.manner.message.store((ms * 1_000.0) as u64, Relaxed);
    }

    /// Its process ends: it listens no more, and what it holds breaks.
    pub fn kill(&self) {
        let _ = self.gone.send(true);
    }

    /// Connections made to it, of any kind.
    pub fn connections(&self) -> u64 {
        self.manner.accepted.load(Relaxed)
    }

    /// Connections that it holds.
    pub fn held(&self) -> u64 {
        self.manner.held.load(Relaxed)
    }

    /// Attempts that have reached it, and those that it served.
    pub fn attempts(&self) -> (u64, u64) {
        (self.manner.asked.load(Relaxed), self.manner.served.load(Relaxed))
    }
}

async fn serve(stream: TcpStream, receipt: u32, manner: &Manner, up: &mut bool) -> io::Result<()> {
    let (from, mut to) = stream.into_split();
    let mut from = BufReader::new(from);
    let mut line = Vec::new();
    loop {
        line.clear();
        if (&mut from).take(LONGEST).read_until(b'\n', &mut line).await? == 0 {
            return Ok(());
        }
        let opens = line.starts_with(b"OPEN ");
        manner.asked.fetch_add(u64::from(opens), Relaxed);
        if manner.silent.load(Relaxed) {
            continue;
        }
        if opens && manner.refusing.load(Relaxed) {
            to.write_all(b"BUSY\r\n").await?;
            continue;
        }
        if opens {
            if !std::mem::replace(up, true) {
                manner.held.fetch_add(1, Relaxed);
                manner.served.fetch_add(1, Relaxed);
            }
            to.write_all(format!("UP {receipt}\r\n").as_bytes()).await?;
        } else if line.starts_with(b"STATS") {
            let (held, ms) = (manner.held.load(Relaxed), manner.message.load(Relaxed) as f64 / 1_000.0);
            let report = format!("PONG inflight={held},latency_ms={ms},x0={:.3}\r\n", held as f64 / 10_000.0);
            to.write_all(report.as_bytes()).await?;
        } else {
            to.write_all(&line).await?;
        }
    }
}

/// A member as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryEntry {
    /// Where it listens.
    pub dial: String,
    /// `Ready`, `Terminating` or `Gone`.
    pub health: &'static str,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub born_ms: f64,
}

/// How discovery delivers its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseBehavior {
    /// An answer with news begins so long after it is due: discovery is crowded.
    pub start_delay: Duration,
    /// And is written in even pieces over this time: discovery is slow.
    pub over: Duration,
    /// It takes calls and answers none.
    pub silent: bool,
    /// A call that names a version is answered with what has changed since, not with the whole list.
    pub incremental: bool,
}

/// Pieces in which a slow answer is written.
const PIECES: usize = 40;

/// What discovery holds.
#[derive(Default)]
struct Held {
    /// The members, with the version in which each changed last.
    list: BTreeMap<String, (u64, DiscoveryEntry)>,
    /// The last whole list that was written, and its version: with thousands of members it is long in the making.
    whole: Option<(u64, Arc<str>)>,
}

type Entries = Arc<Mutex<Held>>;

/// Discovery: the whole list, and a watch on it, over HTTP/1.1.
pub struct Discovery {
    address: SocketAddr,
    list: Entries,
    seq: watch::Sender<u64>,
    delivery: Arc<Mutex<ResponseBehavior>>,
    written: Arc<AtomicU64>,
}

impl Discovery {
    /// Begins to listen, with nobody on the list.
    ///
    /// # Errors
    /// If it can't.
    pub fn start(stage: &StandInRuntime) -> io::Result<Discovery> {
        let (listener, address) = stage.listen()?;
        let (seq, incremental) = watch::channel(1);
        let (list, delivery, written) = (Entries::default(), Arc::default(), Arc::default());
        let discovery = Discovery { address, list, seq, delivery, written };
        let (list, delivery, written) =
            (discovery.list.clone(), discovery.delivery.clone(), discovery.written.clone());
        stage.handle.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (list, delivery, written) = (list.clone(), delivery.clone(), written.clone());
                tokio::spawn(answer(stream, list, incremental.clone(), delivery, written));
            }
        });
        Ok(discovery)
    }

    /// How it delivers its answers from now on.
    pub fn set_response_behavior(&self, delivery: ResponseBehavior) {
        *self.delivery.lock().unwrap_or_else(PoisonError::into_inner) = delivery;
    }

    /// Bytes of answers that it has written.
    pub fn written(&self) -> u64 {
        self.written.load(Relaxed)
    }

    /// Where it listens.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Puts a member on the list, or changes it; watches hear of it at once.
    pub fn set(&self, name: &str, dial: &str, health: &'static str) {
        self.set_all(&[(name.to_owned(), DiscoveryEntry { dial: dial.to_owned(), health, born_ms: 0.0 })]);
    }

    /// Puts many members on the list, or changes them, in one version.
    pub fn set_all(&self, members: &[(String, DiscoveryEntry)]) {
        let seq = *self.seq.borrow() + 1;
        let mut held = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, listed) in members {
            held.list.insert(name.clone(), (seq, listed.clone()));
        }
        drop(held);
        self.seq.send_replace(seq);
    }
}

async fn answer(
    stream: TcpStream,
    list: Entries,
    mut incremental: watch::Receiver<u64>,
    delivery: Arc<Mutex<ResponseBehavior>>,
    written: Arc<AtomicU64>,
) -> io::Result<()> {
    let (from, mut to) = stream.into_split();
    let mut lines = BufReader::new(from.take(1 << 30)).lines();
    let mut call = None;
    while let Some(line) = lines.next_line().await? {
        if !line.is_empty() {
            if line.starts_with("GET ") {
                call = Some(line);
            }
            continue;
        }
        let Some(call) = call.take() else { continue };
        let number = |name: &str| {
            let (_, rest) = call.split_once(name)?;
            rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse::<u64>().ok()
        };
        let since = number("since=");
        if let (Some(since), Some(wait)) = (since, number("timeout_ms=")) {
            let newer = incremental.wait_for(|seq| *seq > since);
            let _ = tokio::time::timeout(Duration::from_millis(wait.min(60_000)), newer).await;
        }
        let now = || *delivery.lock().unwrap_or_else(PoisonError::into_inner);
        if now().silent {
            std::future::pending::<()>().await;
        }
        let seq = *incremental.borrow();
        let news = since.is_none_or(|since| seq > since);
        if news {
            tokio::time::sleep(now().start_delay).await;
        }
        let from = since.filter(|since| now().incremental && *since > 1);
        let body = list.lock().unwrap_or_else(PoisonError::into_inner).body(seq, news, from);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        written.fetch_add(answer.len() as u64, Relaxed);
        let over = if news { now().over } else { Duration::ZERO };
        write_over(&mut to, answer.as_bytes(), over).await?;
    }
    Ok(())
}

/// Writes in even pieces over this time.
async fn write_over(
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    bytes: &[u8],
    over: Duration,
) -> io::Result<()> {
    if over.is_zero() {
        return to.write_all(bytes).await;
    }
    for piece in bytes.chunks(bytes.len().div_ceil(PIECES)) {
        to.write_all(piece).await?;
        tokio::time::sleep(over / PIECES as u32).await;
    }
    Ok(())
}

impl Held {
    fn body(&mut self, seq: u64, news: bool, from: Option<u64>) -> Arc<str> {
        if !news || from.is_some() {
            return body(seq, news, from, &self.list).to_string().into();
        }
        if let Some((_, whole)) = self.whole.as_ref().filter(|(at, _)| *at == seq) {
            return whole.clone();
        }
        let whole: Arc<str> = body(seq, news, from, &self.list).to_string().into();
        self.whole = Some((seq, whole.clone()));
        whole
    }
}

/// The whole list, or what has changed after the version `from`; nobody where there are no news.
fn body(seq: u64, news: bool, from: Option<u64>, list: &BTreeMap<String, (u64, DiscoveryEntry)>) -> Value {
    let host = |(name, (_, listed)): (&String, &(u64, DiscoveryEntry))| {
        json!({"host": name, "dial": listed.dial, "site": "a", "block": 0, "health": listed.health,
            "share": 1.0, "born_ms": listed.born_ms})
    };
    // The whole list has no one that is gone.
    let wanted = |(_, (changed, listed)): &(&String, &(u64, DiscoveryEntry))| {
        news && from.map_or(listed.health != "Gone", |from| *changed > from)
    };
    let hosts: Vec<Value> = list.iter().filter(wanted).map(host).collect();
    json!({"seq": seq, "whole": news && from.is_none(), "hosts": hosts})
}

/// A client on the line protocol.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects.
    ///
    /// # Errors
    /// If it can't.
    pub async fn connect(address: &str) -> io::Result<Client> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Client { stream: BufReader::with_capacity(256, stream) })
    }

    /// Sends a line, without its end, and reads one; empty at the end of the connection.
    ///
    /// # Errors
    /// If the connection breaks.
    pub async fn ask(&mut self, line: &str) -> io::Result<String> {
        self.stream.get_mut().write_all(format!("{line}\r\n").as_bytes()).await?;
        self.read().await
    }

    /// Reads a line, without its end; empty at the end of the connection.
    ///
    /// # Errors
    /// If the connection breaks.
    pub async fn read(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        (&mut self.stream).take(LONGEST).read_until(b'\n', &mut line).await?;
        Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
    }
}
