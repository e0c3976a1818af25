//! Stand-ins for members, discovery and clients on the platform's protocol, the record of a run, and the
//! control of the project's own processes. Everything listens on free ports of 127.0.0.1.

use crate::proxy::reset_on_close;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

// ---- The record ----

/// What was sent, answered and run, in order, each line with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{:>7} ms  {text}", self.started.elapsed().as_millis());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

// ---- Members ----

/// An `OPEN` line that reached a member.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub member: String,
    pub id: String,
    pub at: u64,
}

#[derive(Clone, Default)]
pub struct MemberState {
    /// Turns new connections away, as a member does that drains.
    pub draining: bool,
    /// Takes requests and answers nothing.
    pub silent: bool,
    /// Connections that are up.
    pub held: usize,
    /// The process has died: nobody listens any more.
    dead: bool,
}

pub struct Member {
    pub name: String,
    pub dial: String,
    pub state: Arc<Mutex<MemberState>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Member {
    pub fn start(name: &str, record: &Record, arrivals: &Arc<Mutex<Vec<Arrival>>>) -> io::Result<Member> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let dial = listener.local_addr()?.to_string();
        let state: Arc<Mutex<MemberState>> = Arc::default();
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        listener.set_nonblocking(true)?;
        let (record, arrivals, shared, known, own) =
            (record.clone(), arrivals.clone(), state.clone(), open.clone(), name.to_owned());
        thread::spawn(move || {
            while !lock(&shared).dead {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ms(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(stream) = stream.try_clone() {
                    lock(&known).push(stream);
                }
                let (record, arrivals, state, own) =
                    (record.clone(), arrivals.clone(), shared.clone(), own.clone());
                thread::spawn(move || {
                    let up = serve_member(stream, &own, &record, &arrivals, &state);
                    if up {
                        lock(&state).held -= 1;
                    }
                });
            }
        });
        Ok(Member { name: name.to_owned(), dial, state, open })
    }

    /// Ends the member as if its process died: its connections are reset, and new ones refused.
    pub fn kill(&self) {
        lock(&self.state).dead = true;
        for stream in lock(&self.open).drain(..) {
            reset_on_close(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves one connection; returns whether it was up.
fn serve_member(
    stream: TcpStream,
    own: &str,
    record: &Record,
    arrivals: &Mutex<Vec<Arrival>>,
    state: &Mutex<MemberState>,
) -> bool {
    let _ = stream.set_nodelay(true);
    let mut up = false;
    let Ok(mut writer) = stream.try_clone() else { return up };
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return up;
        }
        let now = state_of(state);
        if let (false, Some(rest)) = (up, line.strip_prefix("OPEN ")) {
            let id = rest.split(' ').next().unwrap_or("").to_owned();
            lock(arrivals).push(Arrival { member: own.to_owned(), id: id.clone(), at: record.now() });
            let answer = match (now.silent, now.draining) {
                (true, _) => "nothing, it hangs".to_owned(),
                (false, true) => "BUSY, it drains".to_owned(),
                (false, false) => format!("UP {own}-{id}"),
            };
            record.line(&format!("member {own} gets {} and answers {answer}", line.trim_end()));
            if now.silent {
                continue;
            }
            if now.draining {
                let _ = writer.write_all(b"BUSY\r\n");
                return up;
            }
            up = true;
            lock(state).held += 1;
            if writer.write_all(format!("UP {own}-{id}\r\n").as_bytes()).is_err() {
                return up;
            }
        } else if now.silent {
            continue;
        } else if !up && line.starts_with("STATS") {
            let text =
                format!("PONG inflight={},latency_ms=2,x0={:.3}\r\n", now.held, now.held as f64 / 200.0);
            if writer.write_all(text.as_bytes()).is_err() {
                return up;
            }
        } else if !up && line.starts_with("PING") {
            let _ = writer.write_all(b"PONG\r\n");
        } else if !up {
            let _ = writer.write_all(b"SYNTAX\r\n");
            return up;
        } else if writer.write_all(line.as_bytes()).is_err() {
            return up;
        }
    }
}

fn state_of(state: &Mutex<MemberState>) -> MemberState {
    lock(state).clone()
}

// ---- Discovery ----

/// One listed member and the version in which its entry last changed.
#[derive(Clone)]
struct Entry {
    dial: String,
    health: &'static str,
    changed: u64,
    born_ms: u128,
}

#[derive(Default)]
struct Directory {
    seq: u64,
    hosts: BTreeMap<String, Entry>,
}

/// Discovery: the whole list, and watches on changes.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    directory: Arc<(Mutex<Directory>, Condvar)>,
    record: Record,
    /// The version of each answer that was written to a node, the node's name, and when that was.
    pub written: Arc<Mutex<Vec<(u64, String, u64)>>>,
}

impl Discovery {
    pub fn start(record: &Record) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Discovery {
            address: listener.local_addr()?,
            directory: Arc::default(),
            record: record.clone(),
            written: Arc::default(),
        };
        discovery.accept(listener, "a node".into());
        Ok(discovery)
    }

    /// Listens at another address, which is reserved for this caller.
    pub fn address_for(&self, name: &str) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        self.accept(listener, name.to_owned());
        Ok(address)
    }

    fn accept(&self, listener: TcpListener, name: String) {
        let served = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, name) = (served.clone(), name.clone());
                thread::spawn(move || {
                    let _ = served.serve(stream, &name);
                });
            }
        });
    }

    /// Adds or changes entries, in one new version.
    pub fn set(&self, members: &[(&str, &str, &'static str)]) {
        self.set_born(members, 0);
    }

    /// The same for members that started at this Unix time; 0 for long ago.
    pub fn set_born(&self, members: &[(&str, &str, &'static str)], born_ms: u128) {
        let (directory, changed) = &*self.directory;
        let mut directory = lock(directory);
        directory.seq += 1;
        let seq = directory.seq;
        for (name, dial, health) in members {
            let entry = Entry { dial: (*dial).to_owned(), health, changed: seq, born_ms };
            directory.hosts.insert((*name).to_owned(), entry);
            self.record.line(&format!("discovery has version {seq}: {name} is {health}"));
        }
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, name: &str) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut call = String::new();
            let mut line = String::new();
            loop {
                line.clear();
                if reader.read_line(&mut line)? == 0 {
                    return Ok(());
                }
                if line.starts_with("GET ") {
                    call = line.trim_end().to_owned();
                }
                if line == "\r\n" {
                    break;
                }
            }
            let number = |name: &str| -> Option<u64> {
                let (_, rest) = call.split_once(name)?;
                rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
            };
            let (since, wait) = (number("since="), number("timeout_ms=").unwrap_or(0).min(60_000));
            let called = self.record.now();
            let (seq, body) = self.answer(since, ms(wait));
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json";
            let text = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            writer.write_all(text.as_bytes())?;
            lock(&self.written).push((seq, name.to_owned(), self.record.now()));
            self.record.line(&format!("discovery writes version {seq} to {name}, asked at {called} ms"));
        }
    }

    /// The version and body of an answer, once there is something newer than `since` or `wait` has passed.
    fn answer(&self, since: Option<u64>, wait: Duration) -> (u64, String) {
        let (mutex, changed) = &*self.directory;
        let mut directory = lock(mutex);
        let until = Instant::now() + wait;
        while since.is_some_and(|since| directory.seq <= since) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            directory = changed
                .wait_timeout(directory, left)
                .map(|(guard, _)| guard)
                .unwrap_or_else(|poisoned| poisoned.into_inner().0);
        }
        let whole = since.is_none_or(|since| since == 0);
        let hosts: Vec<String> = directory
            .hosts
            .iter()
            .filter(|(_, entry)| {
                if whole { entry.health != "Gone" } else { since.is_some_and(|since| entry.changed > since) }
            })
            .map(|(name, entry)| host_json(name, entry))
            .collect();
        (
            directory.seq,
            format!("{{\"seq\":{},\"whole\":{whole},\"hosts\":[{}]}}", directory.seq, hosts.join(",\n  ")),
        )
    }
}

/// The zone of a member is told by the first letter of its name.
fn host_json(name: &str, entry: &Entry) -> String {
    let site = if name.starts_with('w') { "west" } else { "east" };
    let Entry { dial, health, born_ms, .. } = entry;
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{dial}\",\"site\":\"{site}\",\"class\":\"m\",\"block\":0,\"health\":\"{health}\",\"share\":1.0,\"born_ms\":{born_ms}}}"
    )
}

// ---- The node ----

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The project's root.
pub fn root() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    program.ancestors().nth(3).map(Path::to_path_buf).ok_or_else(|| io::Error::other("no root"))
}

/// The command `run` of the deploy file.
fn run_command() -> io::Result<String> {
    let text = std::fs::read_to_string(root()?.join("deploy/balancer.toml"))?;
    let value = text.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next());
    value.map(str::to_owned).ok_or_else(|| io::Error::other("no run in deploy/balancer.toml"))
}

/// A port that is free now.
pub fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

/// A node process started with the command of the deploy file. It is killed on drop.
pub struct Node {
    pub name: String,
    pub listen: String,
    pub admin: String,
    child: Child,
}

impl Node {
    /// Starts a node in the temporary folder `folder`, in this zone (0 is east, 1 west), one of `nodes`.
    pub fn start(
        zone: u32,
        nodes: usize,
        name: &str,
        discovery: &str,
        folder: &Path,
        record: &Record,
    ) -> io::Result<Node> {
        let listen = format!("127.0.0.1:{}", free_port()?);
        let admin = format!("127.0.0.1:{}", free_port()?);
        let config = folder.join(format!("{name}.json"));
        std::fs::write(&config, node_config(zone, nodes, name, &listen, &admin, discovery))?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let tmp = folder.join(format!("{name}.tmp"));
        std::fs::create_dir_all(&tmp)?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()?])
            .current_dir(root()?)
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", &listen)
            .env("NODE_DISCOVERY", discovery)
            .env("NODE_CONFIG", &config)
            .env("NODE_ADMIN", &admin)
            .env("TMPDIR", &tmp)
            .env_remove("NODE_PASSED_SOCKET")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.line(&format!("node {name} started, clients at {listen}"));
        Ok(Node { name: name.to_owned(), listen, admin, child })
    }

    /// Sends a signal, unless the process has ended: its id may belong to another process then.
    pub fn signal(&mut self, signal: i32) {
        if !self.ended() {
            // Not reaped yet, so the id is still the child's.
            unsafe { kill(self.child.id() as i32, signal) };
        }
    }

    /// Whether the process has ended.
    pub fn ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the node answers `PING` with `PONG`.
    pub fn wait_ready(&self) -> bool {
        (0..100).any(|_| {
            let ready = ping(&self.listen).is_ok_and(|answer| answer == "PONG");
            if !ready {
                thread::sleep(ms(100));
            }
            ready
        })
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A configuration like that of a small deployment: two zones, two classes, one tenant.
fn node_config(zone: u32, nodes: usize, name: &str, listen: &str, admin: &str, discovery: &str) -> String {
    let class = |name: &str, deadline: u32| {
        format!(
            r#"{{"aimMs":300.0,"deadlineMs":{deadline},"effect":"free","group":"all","importance":1.0,"lateWorth":0.0,"name":"{name}","streaming":true,"windowMs":5000.0}}"#
        )
    };
    let classes = [class("view", 1_800), class("status", 3_000)].join(",");
    format!(
        r#"{{"name":"{name}","listen":"{listen}","admin":"{admin}","discovery":"{discovery}","seed":"5a17c3",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{{"seq":0,"whole":true,"hosts":[]}},
 "settings":{{"balancers":{nodes},"callers":{{"marksRetry":true}},
  "caps":{{"cancel":true,"connectTimeoutMs":250.0,"keepaliveMs":5000.0,"maxOpen":100000,"maxRetryAfterMs":1500.0,
   "mostTries":6,"multiplex":1,"parallelTries":false,"peerMessages":false,"probing":true,"retryAfter":true}},
  "discovery":"on_request",
  "domain":{{"groups":true,"messageAimMs":[50.0,60.0],"mode":"proxy","parkMs":0.0,"tellsDelay":true,"tellsLoad":false,
   "tenantQuotaConnections":[300.0]}},
  "family":"conn",
  "invariants":{{"answerSlackMs":8.0,"askWithinMs":10000.0,"coldMs":24000.0,"fallMs":3000.0,"overloadFactor":3.0,
   "startCapacity":0.12,"stopSendingWithinMs":750.0}},
  "kinds":["m"],"prices":{{"crossZone":0.16,"lateFail":0.05,"moves":0.01,"probe":0.0021,"waste":0.017}},
  "profiles":[{classes}],
  "report":{{"fields":["rif","lat_ms","x0"],"how":"pull"}},
  "slotNo":0,"stages":["servers"],
  "tenants":[{{"name":"guild","portion":1.0,"quotaPerS":20.0}}],
  "tickMs":2.0,"tier":0,"weights":"rough","worthBy":"request","zone":{zone},"zones":["east","west"]}}}}
"#
    )
}

// ---- Clients, front and operators ----

/// Connects and waits at most 2 s for anything it reads.
pub fn connect(address: &str) -> io::Result<BufReader<TcpStream>> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect_timeout(&address, ms(1_000))?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(ms(6_000)))?;
    Ok(BufReader::new(stream))
}

/// Sends a client's first line, as recorded, and returns the line that comes back.
pub fn open(
    stream: &mut BufReader<TcpStream>,
    line: &str,
    node: &str,
    record: &Record,
) -> io::Result<String> {
    record.line(&format!("client sends {line} to the node at {node}"));
    ask(stream, line)
}

/// Sends a line and returns the line that comes back, empty if the connection ends.
pub fn ask(stream: &mut BufReader<TcpStream>, line: &str) -> io::Result<String> {
    stream.get_mut().write_all(format!("{line}\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_line(&mut answer)?;
    Ok(answer.trim_end().to_owned())
}

/// The front's check of a node.
pub fn ping(address: &str) -> io::Result<String> {
    let mut stream = connect(address)?;
    stream.get_ref().set_read_timeout(Some(ms(1_000)))?;
    ask(&mut stream, "PING")
}

/// An operator's call; returns the status.
pub fn call(admin: &str, method: &str, path: &str) -> io::Result<u16> {
    let mut stream = connect(admin)?;
    stream
        .get_mut()
        .write_all(format!("{method} {path} HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0))
}

/// The first line of a request.
pub fn open_line(id: &str, class: &str, deadline: u32) -> String {
    format!("OPEN {id} k{id} c={class},t=guild,d={deadline},g=g{id}")
}
