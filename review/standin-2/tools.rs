//! What the cases share: the record, the node's process, and small stand-ins for discovery, members and clients.
//! Everything runs on loopback addresses and ports that the system picks.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Why a case could not run.
pub type Trouble = Box<dyn std::error::Error + Send + Sync>;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// `record.txt`: one line for each thing sent, answered or run, with the time in milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Record>> {
        Ok(Arc::new(Record { file: Mutex::new(File::create(path)?), start: Instant::now() }))
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    /// Writes a line and returns its time.
    pub fn line(&self, what: &str) -> f64 {
        let mut file = lock(&self.file);
        let at = self.now();
        let _ = writeln!(file, "{at:10.1} {what}");
        at
    }
}

/// A port that was free a moment ago.
pub fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

pub fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sends a signal to a process that the case started.
pub fn signal(child: &Child, name: &str) -> io::Result<()> {
    let status = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", child.id())]).status()?;
    if status.success() { Ok(()) } else { Err(io::Error::other("kill failed")) }
}

/// Calls an operators' address; returns the status.
pub fn call(admin: &str, method: &str, path: &str) -> Result<u16, Trouble> {
    let mut stream = TcpStream::connect(admin)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: {admin}\r\n\r\n")?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok(status.ok_or("no answer of the operators' address")?)
}

/// The command `run` of the deploy file.
pub fn run_command(root: &Path) -> Result<String, Trouble> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line =
        text.lines().find_map(|line| line.strip_prefix("run = ")).ok_or("the deploy file has no run")?;
    Ok(line.trim().trim_matches('"').to_owned())
}

/// Settings like those of a small deployment, under the names of the platform's pages.
pub struct Site {
    pub grace_ms: u64,
    /// Whether members may be probed.
    pub probing: bool,
    /// Most attempts for a request.
    pub tries: u32,
    /// Name, wanted time, deadline and worth of each class.
    pub classes: &'static [(&'static str, u32, u32, u32)],
    /// Name, new connections a second and open connections of each tenant's share.
    pub tenants: &'static [(&'static str, u32, u32)],
}

/// As at `oconee-booking`.
pub const OCONEE: Site = Site {
    grace_ms: 750,
    probing: true,
    tries: 6,
    classes: &[
        ("slot-watch", 300, 1_800, 1),
        ("firing-status", 500, 3_000, 1),
        ("shelf-hold", 300, 1_800, 2),
        ("booking-set", 300, 1_800, 5),
    ],
    tenants: &[("red-clay-guild", 5, 203), ("piedmont-potters", 2, 101), ("lanier-studio", 2, 86)],
};

/// As at `port-louis-main`.
pub const PORT_LOUIS: Site = Site {
    grace_ms: 250,
    probing: false,
    tries: 3,
    classes: &[("watch", 500, 3_000, 2), ("review", 800, 3_200, 5)],
    tenants: &[("curepipe-centre", 6, 220), ("flacq-centre", 4, 160)],
};

impl Site {
    fn settings(&self) -> String {
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|(name, aim, deadline, worth)| {
                format!(
                    r#"{{"name":"{name}","aimMs":{aim},"deadlineMs":{deadline},"effect":"free","group":"all","importance":{worth},"lateWorth":0,"streaming":true,"windowMs":5000}}"#
                )
            })
            .collect();
        let aims = vec!["100"; self.classes.len()].join(",");
        let tenants: Vec<String> = self
            .tenants
            .iter()
            .map(|(name, rate, _)| format!(r#"{{"name":"{name}","portion":0.3,"quotaPerS":{rate}}}"#))
            .collect();
        let quotas: Vec<String> = self.tenants.iter().map(|(.., open)| open.to_string()).collect();
        let (how, fields) = if self.probing { ("pull", r#""rif","lat_ms","x0""#) } else { ("silent", "") };
        format!(
            r#"{{"balancers":2,"callers":{{"marksRetry":true}},
            "caps":{{"cancel":true,"connectTimeoutMs":250,"keepaliveMs":5000,"maxRetryAfterMs":1500,"mostTries":{tries},"multiplex":1048576,"parallelTries":false,"peerMessages":false,"probing":{probing},"retryAfter":true}},
            "discovery":"on_request",
            "domain":{{"groups":true,"messageAimMs":[{aims}],"mode":"proxy","tellsDelay":{probing},"tellsLoad":false,"tenantQuotaConnections":[{quotas}]}},
            "family":"conn",
            "invariants":{{"answerSlackMs":8,"askWithinMs":10000,"coldMs":24000,"fallMs":3000,"overloadFactor":3,"startCapacity":0.12,"stopSendingWithinMs":{grace}}},
            "kinds":["box"],"prices":{{"probe":0.0021,"crossZone":0.16}},
            "profiles":[{classes}],
            "report":{{"fields":[{fields}],"how":"{how}"}},"slotNo":0,
            "tenants":[{tenants}],
            "tickMs":2,"weights":"nominal","worthBy":"request","zone":0,"zones":["east","west"]}}"#,
            probing = self.probing,
            grace = self.grace_ms,
            tries = self.tries,
            classes = classes.join(","),
            tenants = tenants.join(","),
            quotas = quotas.join(","),
        )
    }

    /// The first tenant.
    pub fn tenant(&self) -> &'static str {
        self.tenants[0].0
    }
}

/// A node: a process started with the deploy file's command.
pub struct Node {
    pub child: Child,
    pub listen: String,
    pub admin: String,
    config: PathBuf,
    pub site: &'static Site,
}

impl Node {
    /// Starts a node and waits until it says yes to `PING`.
    pub fn start(
        root: &Path,
        folder: &Path,
        site: &'static Site,
        discovery: &str,
        record: &Record,
    ) -> Result<Node, Trouble> {
        let (listen, admin) = (format!("127.0.0.1:{}", free_port()?), format!("127.0.0.1:{}", free_port()?));
        let config = folder.join("config.json");
        let command = run_command(root)?;
        let log = File::create(folder.join("node.log"))?;
        write_config(&config, site, &listen, discovery)?;
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(root)
            .env("NODE_NAME", "n1")
            .env("NODE_LISTEN", &listen)
            .env("NODE_DISCOVERY", discovery)
            .env("NODE_CONFIG", &config)
            .env("NODE_ADMIN", &admin)
            .env("TMPDIR", folder)
            .env_remove("NODE_PASSED_SOCKET")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let node = Node { child, listen, admin, config, site };
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if ask_line(&node.listen, "PING").is_some_and(|answer| answer == "PONG") {
                record.line(&format!("node ready, process {}", node.child.id()));
                return Ok(node);
            }
            sleep(50);
        }
        Err("the node did not get ready".into())
    }

    /// Replaces the configuration by one that names another discovery, and sends SIGHUP.
    pub fn move_discovery(&self, discovery: &str) -> Result<(), Trouble> {
        write_config(&self.config, self.site, &self.listen, discovery)?;
        Ok(signal(&self.child, "HUP")?)
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write_config(file: &Path, site: &Site, listen: &str, discovery: &str) -> io::Result<()> {
    let text = format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"seq":0,"whole":true,"hosts":[]}},"settings":{}}}"#,
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |at| at.as_nanos() as u64),
        site.settings()
    );
    // Replaced in one step, as a sound platform does.
    let new = file.with_extension("new");
    std::fs::write(&new, text)?;
    std::fs::rename(new, file)
}

/// Sends one line and reads one line.
fn ask_line(address: &str, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("{line}\r\n").as_bytes()).ok()?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).ok()?;
    Some(answer.trim_end().to_owned())
}

// ---- Discovery ----

#[derive(Clone)]
pub struct Host {
    pub dial: String,
    pub health: &'static str,
    changed: u64,
}

/// The line of a discovery that handles calls in turn.
#[derive(Clone, Copy)]
pub struct Line {
    /// Time that one call takes, in milliseconds.
    pub call_ms: f64,
    /// A call that waited for longer is answered with 503.
    pub longest_wait_ms: f64,
    /// When the line is empty.
    pub free_at: f64,
}

pub struct List {
    /// Calls wait in line, if there is one.
    pub line: Option<Line>,
    pub seq: u64,
    pub hosts: BTreeMap<String, Host>,
}

/// Discovery: the whole list and watches, one thread for each connection.
#[derive(Clone)]
pub struct Discovery {
    pub address: String,
    pub list: Arc<(Mutex<List>, Condvar)>,
    record: Arc<Record>,
    name: &'static str,
    /// When the entry of each host with its health was first written to a caller.
    pub told: Arc<Mutex<BTreeMap<(String, &'static str), f64>>>,
}

impl Discovery {
    pub fn start(name: &'static str, seq: u64, record: &Arc<Record>) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let list = List { line: None, seq, hosts: BTreeMap::new() };
        let discovery = Discovery {
            address: listener.local_addr()?.to_string(),
            list: Arc::new((Mutex::new(list), Condvar::new())),
            record: record.clone(),
            name,
            told: Arc::default(),
        };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(discovery)
    }

    /// Sets hosts in one new version of the list.
    pub fn set(&self, hosts: &[(&str, &str, &'static str)]) {
        let mut list = lock(&self.list.0);
        list.seq += 1;
        let changed = list.seq;
        for (name, dial, health) in hosts {
            self.record.line(&format!("{}: version {changed}: {name} is {health}", self.name));
            list.hosts.insert((*name).into(), Host { dial: (*dial).into(), health, changed });
        }
        drop(list);
        self.list.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut lines = BufReader::new(stream).lines();
        let mut call = String::new();
        while let Some(line) = lines.next() {
            let line = line?;
            if line.starts_with("GET ") {
                call = line;
                continue;
            }
            if !line.is_empty() || call.is_empty() {
                continue;
            }
            self.answer(&mut writer, &std::mem::take(&mut call))?;
        }
        Ok(())
    }

    /// Waits until it is this call's turn; false if that takes too long.
    fn wait_in_line(&self) -> bool {
        let now = self.record.now();
        let wait = {
            let mut list = lock(&self.list.0);
            let Some(line) = &mut list.line else { return true };
            let begins = line.free_at.max(now);
            if begins - now <= line.longest_wait_ms {
                line.free_at = begins + line.call_ms;
                Ok(line.free_at - now)
            } else {
                Err(line.longest_wait_ms)
            }
        };
        thread::sleep(Duration::from_secs_f64(wait.unwrap_or_else(|wait| wait) / 1_000.0));
        wait.is_ok()
    }

    fn answer(&self, writer: &mut TcpStream, call: &str) -> io::Result<()> {
        let number = |name: &str| -> Option<u64> {
            let (_, rest) = call.split_once(name)?;
            rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
        };
        let (since, wait) = (number("since="), number("timeout_ms=").unwrap_or(0).min(60_000));
        if !self.wait_in_line() {
            return writer.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
        let mut list = lock(&self.list.0);
        if let Some(since) = since {
            let until = Instant::now() + Duration::from_millis(wait);
            while list.seq <= since {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                list = self.list.1.wait_timeout(list, left).unwrap_or_else(PoisonError::into_inner).0;
            }
        }
        let whole = since.is_none_or(|since| since == 0 || since > list.seq);
        let after = since.filter(|_| !whole).unwrap_or(0);
        let entries: Vec<(String, Host)> = list
            .hosts
            .iter()
            .filter(|(_, host)| if whole { host.health != "Gone" } else { host.changed > after })
            .map(|(name, host)| (name.clone(), host.clone()))
            .collect();
        let seq = list.seq;
        drop(list);
        let mut body = format!(r#"{{"seq":{seq},"whole":{whole},"hosts":["#);
        for (at, (name, host)) in entries.iter().enumerate() {
            let comma = if at > 0 { "," } else { "" };
            let _ = write!(
                body,
                r#"{comma}{{"host":"{name}","dial":"{}","site":"east","class":"box","block":0,"health":"{}","share":1.0,"born_ms":0}}"#,
                host.dial, host.health
            );
        }
        body.push_str("]}");
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(format!("{head}{body}").as_bytes())?;
        for (name, host) in &entries {
            let first =
                lock(&self.told).entry((name.clone(), host.health)).or_insert(self.record.now()).to_owned();
            self.record.line(&format!(
                "{}: wrote version {seq}: {name} is {} (first written at {first:.1})",
                self.name, host.health
            ));
        }
        Ok(())
    }

    /// When the entry was first written to a caller.
    pub fn told_at(&self, name: &str, health: &'static str) -> Option<f64> {
        lock(&self.told).get(&(name.to_owned(), health)).copied()
    }
}

// ---- Members ----

/// A first line that a member received.
#[derive(Clone)]
pub struct Attempt {
    pub at: f64,
    pub id: String,
}

/// What a member does on a connection once it has answered `UP`.
pub type Serve = Arc<dyn Fn(&Member, BufReader<TcpStream>, TcpStream, &str) + Send + Sync>;

/// A member on the line protocol: answers `OPEN` with `UP` and a receipt, `STATS` with its load.
#[derive(Clone)]
pub struct Member {
    pub name: String,
    pub address: String,
    pub record: Arc<Record>,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    pub held: Arc<AtomicU64>,
    /// Whether it drains: it turns new requests away then.
    pub draining: Arc<AtomicBool>,
}

impl Member {
    pub fn start(name: &str, record: &Arc<Record>, serve: Serve) -> io::Result<Member> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let member = Member {
            name: name.into(),
            address: listener.local_addr()?.to_string(),
            record: record.clone(),
            attempts: Arc::default(),
            held: Arc::default(),
            draining: Arc::default(),
        };
        let accepting = member.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (member, serve) = (accepting.clone(), serve.clone());
                thread::spawn(move || member.connection(stream, &serve));
            }
        });
        Ok(member)
    }

    fn connection(&self, stream: TcpStream, serve: &Serve) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let at = self.record.now();
            let mut line = String::new();
            let first_byte = match reader.fill_buf()? {
                [] => return Ok(()),
                _ => self.record.now().max(at),
            };
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if line.starts_with("STATS") {
                let held = self.held.load(SeqCst);
                write!(writer, "PONG rif={held},lat_ms=2,x0={:.3}\r\n", held as f64 / 100.0)?;
                continue;
            }
            if line.starts_with("PING") {
                write!(writer, "PONG\r\n")?;
                continue;
            }
            let Some(id) = line.strip_prefix("OPEN ").and_then(|rest| rest.split(' ').next()) else {
                return writer.write_all(b"SYNTAX\r\n");
            };
            let id = id.to_owned();
            lock(&self.attempts).push(Attempt { at: first_byte, id: id.clone() });
            self.record.line(&format!("{}: got OPEN {id}", self.name));
            if self.draining.load(SeqCst) {
                self.record.line(&format!("{}: answered BUSY to {id}", self.name));
                writer.write_all(b"BUSY\r\n")?;
                continue;
            }
            write!(writer, "UP {}-{id}\r\n", self.name)?;
            self.record.line(&format!("{}: answered UP to {id}", self.name));
            self.held.fetch_add(1, SeqCst);
            serve(self, reader, writer, &id);
            self.held.fetch_sub(1, SeqCst);
            return Ok(());
        }
    }
}

/// Returns each line at once.
pub fn echo() -> Serve {
    Arc::new(|_, mut reader, mut writer, _| {
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
            if writer.write_all(line.as_bytes()).is_err() {
                return;
            }
            line.clear();
        }
    })
}

// ---- Clients ----

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A first line of a new connection, with its id.
pub fn open_line(class: &str, tenant: &str, deadline_ms: u32) -> (String, String) {
    let n = NEXT_ID.fetch_add(1, SeqCst);
    let id = format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let key = format!("{:016x}", (n + 7).wrapping_mul(0xbf58_476d_1ce4_e5b9));
    let line = format!(
        "OPEN {id} {key} c={class},t={tenant},d={deadline_ms},g={:016x}\r\n",
        n.wrapping_mul(0x94d0_49bb_1331_11eb)
    );
    (id, line)
}

pub struct Client {
    pub id: String,
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
    pub answer: String,
}

impl Client {
    /// Opens a connection and waits for the answer to its first line.
    pub fn open(address: &str, site: &Site, record: &Record) -> io::Result<Client> {
        let (class, _, deadline_ms, _) = site.classes[0];
        let (id, line) = open_line(class, site.tenant(), deadline_ms);
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        record.line(&format!("client {id}: sends {}", line.trim_end()));
        stream.write_all(line.as_bytes())?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut answer = String::new();
        reader.read_line(&mut answer)?;
        let answer = answer.trim_end().to_owned();
        record.line(&format!("client {id}: answered '{answer}'"));
        Ok(Client { id, stream, reader, answer })
    }
}
