//! Measures what a node needs as the fleet grows. The same simulated day runs at 200, 800 and 3,200 hosts,
//! and each row of the growth table is printed against its bound. The node is the real program; hosts (pool
//! members), discovery and clients are stand-ins.
//!
//! ```text
//! cargo build --release && cargo run --release -p hopmoor-standin --example scale
//! ```
//!
//! The traffic of one node stays the same at each size, and so does the ratio of hosts to nodes. The settings
//! state the number of nodes; only one node runs. A simulated day goes like this:
//!
//! 1. The node starts with a list that names every other host, and connections from before the run reconnect
//!    as soon as it listens. The list is complete only when discovery, which is overloaded and slow, has
//!    delivered it.
//! 2. Each second one host in fifty changes its state.
//! 3. Discovery stops answering for a while.
//! 4. The node is told to shut down, and a second process starts in the same way as the first.
//!
//! The bounds are computed from the figures measured at 200 hosts.

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

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The size that the bounds are computed from. The ratio of hosts to nodes is that of 3,200 hosts to 900
/// nodes.
const BASE_HOSTS: usize = 200;
const HOSTS_PER_NODE: f64 = 3_200.0 / 900.0;
/// Connections that clients held through the node before the run.
const STANDING_CONNECTIONS: usize = 40;
/// Rate of new connections at the node, and how long a client wants each of them.
const ARRIVALS_PER_SECOND: f64 = 5.0;
const CONNECTION_LIFETIME: Duration = Duration::from_secs(8);
const SETUP_DEADLINE: Duration = Duration::from_millis(2_000);
/// How often a client sends a line, and how long it waits for the echo.
const LINE_INTERVAL: Duration = Duration::from_secs(2);
/// Limit of open descriptors in the node's configuration.
const MAX_DESCRIPTORS: usize = 608;
/// One host in this many changes its state each second.
const HOSTS_PER_CHANGE: usize = 50;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// How long the first and the second process run, and when discovery is silent, counted from a process's
/// start. The outage lies within the run of the first process.
const FIRST_LIFETIME: Duration = Duration::from_secs(14);
const SECOND_LIFETIME: Duration = Duration::from_secs(8);
const DISCOVERY_OUTAGE: std::ops::Range<Duration> = Duration::from_secs(8)..Duration::from_secs(11);
/// Time from SIGTERM to SIGKILL: the longest deadline (2 s here) plus 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(2_700);

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
    #[arg(long, value_delimiter = ',', default_values_t = [BASE_HOSTS, 800, 3_200])]
    hosts: Vec<usize>,
}

/// What the node needed in one simulated day. Its name and its fields are printed with `{:?}`.
#[derive(Clone, Copy, Debug, Default)]
struct Needs {
    cpu_s: f64,
    memory_mb: f64,
    descriptors: f64,
    connections: f64,
    list_kb: f64,
    served: f64,
    /// Earlier connections that were not served again by the member that had held them; none is allowed.
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

    /// Returns the growth bounds (the table of STANDING) at this many thousand hosts, from these needs at the
    /// first size.
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

/// Results as the clients saw them.
#[derive(Default)]
struct ClientTotals {
    attempted: AtomicU64,
    served: AtomicU64,
    lost_connections: Mutex<Vec<String>>,
}

/// A node's process, and the resources that it has used according to `/proc`.
struct Process {
    child: Child,
    address: String,
    cpu_s: f64,
    memory_mb: f64,
    descriptors: usize,
}

impl Process {
    fn start(program: &Path, config: &Path) -> Result<Process, BoxError> {
        let mut command = Command::new(program);
        command.arg("serve").env("NODE_CONFIG", config).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let mut log = BufReader::new(child.stderr.take().ok_or("the node's log is not captured")?);
        let mut line = String::new();
        while !line.contains("listening") {
            line.clear();
            if log.read_line(&mut line)? == 0 {
                return Err("the node ended before it listened".into());
            }
        }
        let port = line.split("127.0.0.1:").nth(1).ok_or("the node's log line has no address")?;
        let port: String = port.chars().take_while(char::is_ascii_digit).collect();
        std::thread::spawn(move || log.lines().map_while(Result::ok).for_each(drop));
        let address = format!("127.0.0.1:{port}");
        Ok(Process { child, address, cpu_s: 0.0, memory_mb: 0.0, descriptors: 0 })
    }

    /// Samples the resources used so far; once the process has ended, the last values stay.
    fn sample_usage(&mut self) {
        let proc_folder = PathBuf::from(format!("/proc/{}", self.child.id()));
        let nanoseconds = |task: std::fs::DirEntry| {
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<f64>().ok()
        };
        if let Ok(tasks) = std::fs::read_dir(proc_folder.join("task")) {
            let used: f64 = tasks.flatten().filter_map(nanoseconds).sum();
            self.cpu_s = self.cpu_s.max(used / 1e9);
        }
        let status = std::fs::read_to_string(proc_folder.join("status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
        self.memory_mb = peak.map_or(self.memory_mb, |kb| kb / 1_024.0);
        let open = std::fs::read_dir(proc_folder.join("fd")).map_or(0, Iterator::count);
        self.descriptors = self.descriptors.max(open);
    }

    /// Sends SIGTERM, then SIGKILL at the earliest time at which the platform may send it. Clients go on
    /// meanwhile.
    async fn stop(&mut self) -> Result<(), BoxError> {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status()?;
        let signalled = Instant::now();
        while signalled.elapsed() < KILL_DELAY && self.child.try_wait()?.is_none() {
            self.sample_usage();
            sleep(SAMPLE_INTERVAL).await;
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

struct SimulatedDay {
    stand_ins: StandInRuntime,
    hosts: Vec<Member>,
    discovery: Discovery,
    rng: StdRng,
    totals: Arc<ClientTotals>,
    folder: tempfile::TempDir,
}

fn host_name(index: usize) -> String {
    format!("s-{index:08x}")
}

fn unix_ms() -> f64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0.0, |now| now.as_secs_f64() * 1_000.0)
}

impl SimulatedDay {
    fn new(hosts: usize, seed: u64) -> Result<SimulatedDay, BoxError> {
        let stand_ins = StandInRuntime::new()?;
        let discovery = Discovery::start(&stand_ins)?;
        let hosts = (0..hosts)
            .map(|index| Member::start(&stand_ins, index as u32 + 1))
            .collect::<Result<Vec<_>, _>>()?;
        let listed = |(index, host): (usize, &Member)| {
            (host_name(index), DiscoveryEntry { dial: host.address(), health: "Ready", born_ms: 0.0 })
        };
        discovery.set_all(&hosts.iter().enumerate().map(listed).collect::<Vec<_>>());
        let folder = tempfile::tempdir()?;
        let rng = StdRng::seed_from_u64(seed);
        Ok(SimulatedDay { stand_ins, hosts, discovery, rng, totals: Arc::default(), folder })
    }

    /// Writes a configuration as the platform gives it, with a list that names every other host.
    fn config(&self) -> Result<PathBuf, BoxError> {
        let entry = |(index, host): (usize, &Member)| {
            let dial = host.address();
            serde_json::json!({"host": host_name(index), "dial": dial, "site": "a", "block": 0,
                "health": "Ready", "share": 1.0, "born_ms": 0})
        };
        let known: Vec<_> = self.hosts.iter().enumerate().step_by(2).map(entry).collect();
        let nodes = (self.hosts.len() as f64 / HOSTS_PER_NODE).round();
        let config = serde_json::json!({
            "name": "n", "listen": "127.0.0.1:0", "discovery": self.discovery.address(), "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": MAX_DESCRIPTORS},
            "known": {"seq": 1, "whole": true, "hosts": known},
            "settings": {
                "balancers": nodes, "zones": ["a"], "discovery": "on_request", "weights": "rough",
                "profiles": [
                    {"name": "chat", "effect": "free", "aimMs": 300, "deadlineMs": 2_000, "importance": 1}
                ],
                "tenants": [{"name": "acme", "quotaPerS": 2.0 * ARRIVALS_PER_SECOND * nodes}],
                "report": {"how": "pull", "fields": ["x0"]},
                "domain": {"tellsDelay": true, "messageAimMs": [50],
                    "tenantQuotaConnections": [200.0 * nodes]},
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

    /// Returns the host that held an earlier connection. These hosts are spread over the whole list, and the
    /// node knows every other one of them at its start.
    fn standing_host(&self, index: usize) -> usize {
        index * self.hosts.len() / STANDING_CONNECTIONS + index % 2
    }

    fn has_standing_connection(&self, host: usize) -> bool {
        (0..STANDING_CONNECTIONS).any(|index| self.standing_host(index) == host)
    }

    /// Reconnects the earlier connections, each asking for the host that held it, and keeps them in use.
    fn reconnect_standing(&self, address: &str, lifetime: Duration) {
        for index in 0..STANDING_CONNECTIONS {
            let host = self.standing_host(index);
            let (address, totals) = (address.to_owned(), self.totals.clone());
            let line = format!(
                "OPEN b{index} k{index} c=chat,t=acme,d=4294967,g=g{},at={}",
                index % 10,
                host_name(host)
            );
            self.stand_ins.handle().spawn(async move {
                let expected = format!("UP {}", host + 1);
                let answer = set_up_and_talk(&address, &line, lifetime, Duration::from_secs(20)).await;
                if answer != expected
                    && let Ok(mut lost_connections) = totals.lost_connections.lock()
                {
                    lost_connections.push(format!("{line}: {answer:?}"));
                }
            });
        }
    }

    /// Starts a client with one new connection.
    fn open_connection(&mut self, address: &str, number: u64) {
        let line = format!(
            "OPEN n{number} k{number} c=chat,t=acme,d={},g=g{}",
            SETUP_DEADLINE.as_millis(),
            self.rng.random_range(0..50)
        );
        let (address, totals) = (address.to_owned(), self.totals.clone());
        self.stand_ins.handle().spawn(async move {
            totals.attempted.fetch_add(1, Relaxed);
            let answer = set_up_and_talk(&address, &line, CONNECTION_LIFETIME, SETUP_DEADLINE).await;
            totals.served.fetch_add(u64::from(answer.starts_with("UP ")), Relaxed);
        });
    }

    /// Changes one host in fifty: it drains, is gone, or is back and cold.
    fn change_hosts(&mut self) {
        let change_count = self.hosts.len() / HOSTS_PER_CHANGE;
        let changed = |_| {
            let index = self.rng.random_range(0..self.hosts.len());
            let (health, born_ms) = match self.rng.random_range(0..4) {
                0 => ("Terminating", 0.0),
                // A connection can't be resumed at a host that is gone.
                1 if !self.has_standing_connection(index) => ("Gone", 0.0),
                _ => ("Ready", unix_ms()),
            };
            (host_name(index), DiscoveryEntry { dial: self.hosts[index].address(), health, born_ms })
        };
        let changed: Vec<_> = (0..change_count).map(changed).collect();
        self.discovery.set_all(&changed);
    }

    /// Runs one process of the node for its lifetime, with load, host changes and discovery faults.
    async fn run_process(&mut self, program: &Path, lifetime: Duration) -> Result<Process, BoxError> {
        let slow_discovery = ResponseBehavior {
            start_delay: Duration::from_millis(500),
            over: Duration::from_millis(1_500),
            silent: false,
            incremental: true,
        };
        self.discovery.set_response_behavior(slow_discovery);
        let mut process = Process::start(program, &self.config()?)?;
        let address = process.address.clone();
        self.reconnect_standing(&address, lifetime);
        let started = Instant::now();
        let (mut arrivals, mut seconds) = (0, 0);
        while started.elapsed() < lifetime {
            sleep(SAMPLE_INTERVAL).await;
            process.sample_usage();
            let run_time = started.elapsed();
            // The complete list has been delivered within 6 s; from then on, changes are delivered without
            // delay.
            let behavior = if run_time < Duration::from_secs(6) {
                slow_discovery
            } else {
                ResponseBehavior { incremental: true, ..ResponseBehavior::default() }
            };
            self.discovery.set_response_behavior(ResponseBehavior {
                silent: DISCOVERY_OUTAGE.contains(&run_time),
                ..behavior
            });
            while (arrivals as f64) < run_time.as_secs_f64() * ARRIVALS_PER_SECOND {
                arrivals += 1;
                self.open_connection(&address, arrivals);
            }
            if run_time.as_secs() > seconds {
                seconds = run_time.as_secs();
                if seconds > 6 {
                    self.change_hosts();
                }
            }
        }
        process.stop().await?;
        Ok(process)
    }

    async fn run(mut self, program: &Path) -> Result<Needs, BoxError> {
        let mut needs = Needs::default();
        for lifetime in [FIRST_LIFETIME, SECOND_LIFETIME] {
            let process = self.run_process(program, lifetime).await?;
            needs.cpu_s += process.cpu_s;
            needs.memory_mb = needs.memory_mb.max(process.memory_mb);
            needs.descriptors = needs.descriptors.max(process.descriptors as f64);
        }
        needs.connections = self.hosts.iter().map(Member::connections).sum::<u64>() as f64;
        needs.list_kb = self.discovery.bytes_written() as f64 / 1_024.0;
        needs.served =
            self.totals.served.load(Relaxed) as f64 / self.totals.attempted.load(Relaxed).max(1) as f64;
        let lost_connections = self.totals.lost_connections.lock().map_err(|_| "a client panicked")?;
        lost_connections.iter().take(3).for_each(|what| println!("  lost: {what}"));
        needs.lost = lost_connections.len() as f64;
        Ok(needs)
    }
}

/// Connects a client and sends its `OPEN` line. If it is served, it sends further lines until its lifetime is
/// over. Returns the last answer to `OPEN`. A client that is rejected tries again every 300 ms until the
/// set-up time-out; an earlier connection (`at=`) does not.
async fn set_up_and_talk(address: &str, line: &str, lifetime: Duration, setup_timeout: Duration) -> String {
    let started = Instant::now();
    let mut answer = String::new();
    while started.elapsed() < setup_timeout && !answer.starts_with("UP ") {
        let attempt = async {
            let mut client = Client::connect(address).await.ok()?;
            let answer = client.ask(line).await.ok()?;
            Some((client, answer))
        };
        let remaining = setup_timeout.saturating_sub(started.elapsed());
        let Ok(Some((mut client, reply))) = timeout(remaining, attempt).await else { return answer };
        answer = reply;
        if answer.starts_with("UP ") {
            while started.elapsed() < lifetime {
                sleep(LINE_INTERVAL).await;
                match timeout(LINE_INTERVAL, client.ask("hello")).await {
                    Ok(Ok(line)) if line == "hello" => {}
                    _ => return answer,
                }
            }
        } else if line.contains(",at=") {
            // An earlier connection that is rejected is lost.
            return answer;
        } else {
            sleep(Duration::from_millis(300)).await;
        }
    }
    answer
}

fn main() -> Result<(), BoxError> {
    let arguments = Arguments::parse();
    let program = match arguments.program {
        Some(program) => program,
        None => std::env::current_exe()?
            .parent()
            .and_then(Path::parent)
            .ok_or("this example does not run from a target folder")?
            .join("hopmoor"),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut base_needs = None;
    let mut exceeded = 0;
    for hosts in arguments.hosts {
        let mut days = Vec::new();
        for seed in arguments.seed..arguments.seed + arguments.days {
            let needs = runtime.block_on(SimulatedDay::new(hosts, seed)?.run(&program))?;
            println!("{hosts} hosts, seed {seed}: {needs:.2?}");
            days.push(needs);
        }
        let needs = Needs::mean(&days);
        let base_needs = *base_needs.get_or_insert(needs);
        let bounds = base_needs.bounds(hosts as f64 / 1_000.0);
        for ((row, value), bound) in needs.rows().into_iter().zip(bounds) {
            let holds = if row == "share served" { value >= bound } else { value <= bound };
            exceeded += usize::from(!holds);
            println!(
                "{hosts:>6} hosts  {row:<26} {value:>9.2}  bound {bound:>9.2}  {}",
                if holds { "holds" } else { "OVER" }
            );
        }
    }
    println!("{exceeded} rows over their bounds");
    if exceeded > 0 { Err("over".into()) } else { Ok(()) }
}
