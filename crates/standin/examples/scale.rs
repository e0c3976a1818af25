//! What a node needs as the fleet grows: the same day at 200, 800 and 3,200 hosts, each row of the table of growth printed against
//! its bound. The node is the real program; hosts, discovery and clients are stand-ins.
//!
//! ```text
//! cargo build --release && cargo run --release -p hopmoor-standin --example scale
//! ```
//!
//! The traffic of a node stays the same, and so does the ratio of hosts to nodes (the settings tell the number of nodes; one
//! runs). A day: connections from before the run come as the node begins to listen, with a list that names every other host; the
//! list is whole only when discovery, crowded and slow, has told it; each second one host of fifty changes its state; discovery falls
//! silent; the node is told to end, and a second process starts as the first did. The least of the table's figures is taken at 200.

use clap::Parser;
use hopmoor_standin::sockets::{Client, Discovery, DiscoveryEntry, Member, ResponseBehavior, StandInRuntime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Hosts at the usual size, and the nodes that go with them: 3,200 hosts go with 900.
const USUAL_HOSTS: usize = 200;
const HOSTS_TO_NODES: f64 = 3_200.0 / 900.0;
/// Connections that stood before, at a node.
const STANDING: usize = 40;
/// New connections a second at a node, and how long each is wanted.
const ARRIVALS: f64 = 5.0;
const LIFE: Duration = Duration::from_secs(8);
const DEADLINE: Duration = Duration::from_millis(2_000);
/// How often a client sends a line.
const LINE: Duration = Duration::from_secs(2);
/// Descriptors that a process may hold.
const SOCKETS: usize = 608;
/// A host of so many changes its state each second.
const CHANGES: usize = 50;
const TICK: Duration = Duration::from_millis(50);
/// The first process lives so long, and the second; discovery is silent within the first.
const FIRST: Duration = Duration::from_secs(14);
const SECOND: Duration = Duration::from_secs(8);
const SILENT: std::ops::Range<Duration> = Duration::from_secs(8)..Duration::from_secs(11);
/// From SIGTERM to SIGKILL: the longest deadline (2 s here) and 0.7 s.
const KILL: Duration = Duration::from_millis(2_700);

#[derive(Parser)]
/// What a node needs at 200, 800 and 3,200 hosts, against the bounds on its growth.
struct Arguments {
    /// Days at each size; the mean of them counts.
    #[arg(long, default_value_t = 3)]
    days: u64,
    /// The first day's seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The program; as built beside this one if not given.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Sizes, in hosts; the first is the usual one.
    #[arg(long, value_delimiter = ',', default_values_t = [USUAL_HOSTS, 800, 3_200])]
    hosts: Vec<usize>,
}

/// What one day took.
#[derive(Clone, Copy, Debug, Default)]
struct Needs {
    cpu_s: f64,
    memory_mb: f64,
    descriptors: f64,
    connections: f64,
    list_kb: f64,
    served: f64,
    /// Connections from before that did not come up where they stood: any is one too many.
    lost: f64,
}

impl Needs {
    fn rows(&self) -> [(&'static str, f64); 7] {
        [
            ("CPU seconds", self.cpu_s),
            ("peak memory, MB", self.memory_mb),
            ("descriptors", self.descriptors),
            ("connections made to hosts", self.connections),
            ("bytes of lists, KB", self.list_kb),
            ("share served", self.served),
            ("lost", self.lost),
        ]
    }

    /// The bounds of growth, for so many thousand hosts: the table of STANDING.
    fn bounds(&self, thousands: f64) -> [f64; 7] {
        [
            1.4 * self.cpu_s + 0.02 + 0.03 * thousands,
            1.5 * self.memory_mb + 8.0 + 4.0 * thousands,
            2.0 * self.descriptors + 40.0,
            2.5 * self.connections + 40.0,
            2.0 * self.list_kb + 64.0 + 500.0 * thousands,
            0.85 * self.served,
            0.0,
        ]
    }

    fn mean(days: &[Needs]) -> Needs {
        let mean = |of: fn(&Needs) -> f64| days.iter().map(of).sum::<f64>() / days.len() as f64;
        Needs {
            cpu_s: mean(|n| n.cpu_s),
            memory_mb: mean(|n| n.memory_mb),
            descriptors: mean(|n| n.descriptors),
            connections: mean(|n| n.connections),
            list_kb: mean(|n| n.list_kb),
            served: mean(|n| n.served),
            lost: mean(|n| n.lost),
        }
    }
}

/// What clients saw.
#[derive(Default)]
struct Seen {
    asked: AtomicU64,
    served: AtomicU64,
    astray: Mutex<Vec<String>>,
}

/// A node's process, and what the system says that it used.
struct Process {
    child: Child,
    address: String,
    cpu_s: f64,
    memory_mb: f64,
    descriptors: usize,
}

impl Process {
    fn start(program: &Path, config: &Path) -> Result<Process, Failure> {
        let mut command = Command::new(program);
        command.arg("serve").env("NODE_CONFIG", config).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let mut log = BufReader::new(child.stderr.take().ok_or("no log")?);
        let mut line = String::new();
        while !line.contains("listening") {
            line.clear();
            if log.read_line(&mut line)? == 0 {
                return Err("the node did not start".into());
            }
        }
        let port = line.split("127.0.0.1:").nth(1).ok_or("no address")?;
        let port: String = port.chars().take_while(char::is_ascii_digit).collect();
        std::thread::spawn(move || log.lines().map_while(Result::ok).for_each(drop));
        let address = format!("127.0.0.1:{port}");
        Ok(Process { child, address, cpu_s: 0.0, memory_mb: 0.0, descriptors: 0 })
    }

    /// Reads what it has used so far; nothing once it has ended.
    fn look(&mut self) {
        let place = PathBuf::from(format!("/proc/{}", self.child.id()));
        let nanoseconds = |task: std::fs::DirEntry| {
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<f64>().ok()
        };
        if let Ok(tasks) = std::fs::read_dir(place.join("task")) {
            let used: f64 = tasks.flatten().filter_map(nanoseconds).sum();
            self.cpu_s = self.cpu_s.max(used / 1e9);
        }
        let status = std::fs::read_to_string(place.join("status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
        self.memory_mb = peak.map_or(self.memory_mb, |kb| kb / 1_024.0);
        let open = std::fs::read_dir(place.join("fd")).map_or(0, Iterator::count);
        self.descriptors = self.descriptors.max(open);
    }

    /// Sends SIGTERM, and SIGKILL as early as it may come; clients go on meanwhile.
    async fn end(&mut self) -> Result<(), Failure> {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status()?;
        let told = Instant::now();
        while told.elapsed() < KILL && self.child.try_wait()?.is_none() {
            self.look();
            sleep(TICK).await;
        }
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Day {
    stage: StandInRuntime,
    hosts: Vec<Member>,
    discovery: Discovery,
    draw: StdRng,
    seen: Arc<Seen>,
    folder: tempfile::TempDir,
}

fn name(at: usize) -> String {
    format!("s-{at:08x}")
}

fn unix_ms() -> f64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0.0, |now| now.as_secs_f64() * 1_000.0)
}

impl Day {
    fn new(hosts: usize, seed: u64) -> Result<Day, Failure> {
        let stage = StandInRuntime::new()?;
        let discovery = Discovery::start(&stage)?;
        let hosts =
            (0..hosts).map(|at| Member::start(&stage, at as u32 + 1)).collect::<Result<Vec<_>, _>>()?;
        let listed = |(at, host): (usize, &Member)| {
            (name(at), DiscoveryEntry { dial: host.address(), health: "Ready", born_ms: 0.0 })
        };
        discovery.set_all(&hosts.iter().enumerate().map(listed).collect::<Vec<_>>());
        let folder = tempfile::tempdir()?;
        let draw = StdRng::seed_from_u64(seed);
        Ok(Day { stage, hosts, discovery, draw, seen: Arc::default(), folder })
    }

    /// A configuration as the platform gives it, with a list that names every other host.
    fn config(&self) -> Result<PathBuf, Failure> {
        let entry = |(at, host): (usize, &Member)| {
            let dial = host.address();
            serde_json::json!({"host": name(at), "dial": dial, "site": "a", "block": 0, "health": "Ready",
                "share": 1.0, "born_ms": 0})
        };
        let known: Vec<_> = self.hosts.iter().enumerate().step_by(2).map(entry).collect();
        let nodes = (self.hosts.len() as f64 / HOSTS_TO_NODES).round();
        let config = serde_json::json!({
            "name": "n", "listen": "127.0.0.1:0", "discovery": self.discovery.address(), "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": SOCKETS},
            "known": {"seq": 1, "whole": true, "hosts": known},
            "settings": {
                "balancers": nodes, "zones": ["a"], "discovery": "on_request", "weights": "rough",
                "profiles": [{"name": "chat", "effect": "free", "aimMs": 300, "deadlineMs": 2_000, "importance": 1}],
                "tenants": [{"name": "acme", "quotaPerS": 2.0 * ARRIVALS * nodes}],
                "report": {"how": "pull", "fields": ["x0"]},
                "domain": {"tellsDelay": true, "messageAimMs": [50], "tenantQuotaConnections": [200.0 * nodes]},
                "caps": {"connectTimeoutMs": 250, "probing": true, "keepaliveMs": 5_000, "mostTries": 6,
                    "cancel": true},
                "invariants": {"askWithinMs": 10_000, "coldMs": 24_000, "fallMs": 3_000, "overloadFactor": 3,
                    "startCapacity": 0.12, "stopSendingWithinMs": 750}
            }
        });
        let file = self.folder.path().join("node.json");
        std::fs::write(&file, config.to_string())?;
        Ok(file)
    }

    /// Where a connection from before stood: at hosts spread over the whole list, every other one known at the start.
    fn standing_host(&self, at: usize) -> usize {
        at * self.hosts.len() / STANDING + at % 2
    }

    fn stood_at(&self, host: usize) -> bool {
        (0..STANDING).any(|at| self.standing_host(at) == host)
    }

    /// Connections that stood at hosts spread over the whole list come back, and talk on.
    fn come_back(&self, address: &str, life: Duration) {
        for at in 0..STANDING {
            let host = self.standing_host(at);
            let (address, seen) = (address.to_owned(), self.seen.clone());
            let line = format!("OPEN b{at} k{at} c=chat,t=acme,d=4294967,g=g{},at={}", at % 10, name(host));
            self.stage.handle().spawn(async move {
                let wanted = format!("UP {}", host + 1);
                let answer = talk(&address, &line, life, Duration::from_secs(20)).await;
                if answer != wanted
                    && let Ok(mut astray) = seen.astray.lock()
                {
                    astray.push(format!("{line}: {answer:?}"));
                }
            });
        }
    }

    /// One new connection.
    fn arrive(&mut self, address: &str, number: u64) {
        let line = format!(
            "OPEN n{number} k{number} c=chat,t=acme,d={},g=g{}",
            DEADLINE.as_millis(),
            self.draw.random_range(0..50)
        );
        let (address, seen) = (address.to_owned(), self.seen.clone());
        self.stage.handle().spawn(async move {
            seen.asked.fetch_add(1, Relaxed);
            let answer = talk(&address, &line, LIFE, DEADLINE).await;
            seen.served.fetch_add(u64::from(answer.starts_with("UP ")), Relaxed);
        });
    }

    /// One host of fifty changes: it drains, is gone, or is there again, cold.
    fn change(&mut self) {
        let incremental = self.hosts.len() / CHANGES;
        let changed = |_| {
            let at = self.draw.random_range(0..self.hosts.len());
            let (health, born_ms) = match self.draw.random_range(0..4) {
                0 => ("Terminating", 0.0),
                // What stood at a host that has gone can't be taken up there.
                1 if !self.stood_at(at) => ("Gone", 0.0),
                _ => ("Ready", unix_ms()),
            };
            (name(at), DiscoveryEntry { dial: self.hosts[at].address(), health, born_ms })
        };
        let changed: Vec<_> = (0..incremental).map(changed).collect();
        self.discovery.set_all(&changed);
    }

    /// One process's life.
    async fn life(&mut self, program: &Path, life: Duration) -> Result<Process, Failure> {
        let slow = ResponseBehavior {
            start_delay: Duration::from_millis(500),
            over: Duration::from_millis(1_500),
            silent: false,
            incremental: true,
        };
        self.discovery.set_response_behavior(slow);
        let mut process = Process::start(program, &self.config()?)?;
        let address = process.address.clone();
        self.come_back(&address, life);
        let began = Instant::now();
        let (mut arrivals, mut seconds) = (0, 0);
        while began.elapsed() < life {
            sleep(TICK).await;
            process.look();
            let now = began.elapsed();
            // The first list has come by then: changes are quick from here on.
            let delivery = if now < Duration::from_secs(6) {
                slow
            } else {
                ResponseBehavior { incremental: true, ..ResponseBehavior::default() }
            };
            self.discovery
                .set_response_behavior(ResponseBehavior { silent: SILENT.contains(&now), ..delivery });
            while (arrivals as f64) < now.as_secs_f64() * ARRIVALS {
                arrivals += 1;
                self.arrive(&address, arrivals);
            }
            if now.as_secs() > seconds {
                seconds = now.as_secs();
                if seconds > 6 {
                    self.change();
                }
            }
        }
        process.end().await?;
        Ok(process)
    }

    async fn play(mut self, program: &Path) -> Result<Needs, Failure> {
        let mut needs = Needs::default();
        for life in [FIRST, SECOND] {
            let process = self.life(program, life).await?;
            needs.cpu_s += process.cpu_s;
            needs.memory_mb = needs.memory_mb.max(process.memory_mb);
            needs.descriptors = needs.descriptors.max(process.descriptors as f64);
        }
        needs.connections = self.hosts.iter().map(Member::connections).sum::<u64>() as f64;
        needs.list_kb = self.discovery.written() as f64 / 1_024.0;
        needs.served = self.seen.served.load(Relaxed) as f64 / self.seen.asked.load(Relaxed).max(1) as f64;
        let astray = self.seen.astray.lock().map_err(|_| "a client panicked")?;
        astray.iter().take(3).for_each(|what| println!("  lost: {what}"));
        needs.lost = astray.len() as f64;
        Ok(needs)
    }
}

/// Asks, and talks on for a while if it is served; returns the answer. One that is told to come again does so in its time.
async fn talk(address: &str, line: &str, life: Duration, wait: Duration) -> String {
    let began = Instant::now();
    let mut answer = String::new();
    while began.elapsed() < wait && !answer.starts_with("UP ") {
        let asked = async {
            let mut client = Client::connect(address).await.ok()?;
            let answer = client.ask(line).await.ok()?;
            Some((client, answer))
        };
        let left = wait.saturating_sub(began.elapsed());
        let Ok(Some((mut client, said))) = timeout(left, asked).await else { return answer };
        answer = said;
        if answer.starts_with("UP ") {
            while began.elapsed() < life {
                sleep(LINE).await;
                match timeout(LINE, client.ask("hello")).await {
                    Ok(Ok(line)) if line == "hello" => {}
                    _ => return answer,
                }
            }
        } else if line.contains(",at=") {
            // It stood: whoever is turned away has lost it.
            return answer;
        } else {
            sleep(Duration::from_millis(300)).await;
        }
    }
    answer
}

fn main() -> Result<(), Failure> {
    let arguments = Arguments::parse();
    let program = match arguments.program {
        Some(program) => program,
        None => std::env::current_exe()?.parent().and_then(Path::parent).ok_or("no folder")?.join("hopmoor"),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut usual = None;
    let mut over = 0;
    for hosts in arguments.hosts {
        let mut days = Vec::new();
        for seed in arguments.seed..arguments.seed + arguments.days {
            let needs = runtime.block_on(Day::new(hosts, seed)?.play(&program))?;
            println!("{hosts} hosts, seed {seed}: {needs:.2?}");
            days.push(needs);
        }
        let needs = Needs::mean(&days);
        let usual = *usual.get_or_insert(needs);
        let bounds = usual.bounds(hosts as f64 / 1_000.0);
        for ((row, value), bound) in needs.rows().into_iter().zip(bounds) {
            let holds = if row == "share served" { value >= bound } else { value <= bound };
            over += usize::from(!holds);
            println!(
                "{hosts:>6} hosts  {row:<26} {value:>9.2}  bound {bound:>9.2}  {}",
                if holds { "holds" } else { "OVER" }
            );
        }
    }
    println!("{over} rows over their bounds");
    if over > 0 { Err("over".into()) } else { Ok(()) }
}
