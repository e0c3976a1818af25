//! Measures what recording costs a node. Two nodes run side by side, one with recording and one without, and
//! get the same load in alternating turns. CPU time is each process's own, as the kernel accounts it. Set-up
//! times count from the moment at which each set-up was due.
//!
//! ```text
//! cargo build --release && cargo run --release -p hopmoor-standin --example recorder_cost -- 1000 20
//! ```
//!
//! The arguments are the number of connections held open at each node and the number of 0.4 s turns that each
//! node gets. A third argument chooses what the second node does instead of recording:
//!
//! - `control`: nothing, so that the difference between the nodes is the measurement noise.
//! - `calls`: it serves the admin interface, and its metrics are requested ten times a second.
//! - `fleet`: it is in a fleet with a third node.

use hopmoor_standin::sockets::{Client, Discovery, Member, StandInRuntime};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Turns are short because the machine's own drift would otherwise outweigh the measured difference.
const TURN_DURATION: Duration = Duration::from_millis(400);
const SETUPS_PER_SECOND: u64 = 400;
const SETUPS_PER_TURN: u64 = SETUPS_PER_SECOND * 400 / 1_000;
const LINES_PER_SECOND: u64 = 5_000;
const MAX_SENDING_CLIENTS: usize = 250;

/// The feature that the second node runs and the first one does not.
#[derive(Clone, Copy, PartialEq)]
enum Feature {
    Baseline,
    Recording,
    AdminCalls,
    /// Fleet membership: the node's own port, and the port of its seed node.
    Fleet(u16, u16),
}

struct Node {
    child: Child,
    address: String,
    setup_cpu_seconds: f64,
    setups: u64,
    line_cpu_seconds: f64,
    lines: u64,
    setup_times_ms: Arc<Mutex<Vec<f64>>>,
}

impl Node {
    fn start(folder: &Path, name: &str, discovery: &str, feature: Feature) -> Result<Node, BoxError> {
        let config = format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1",
            "limits":{{"sockets":16000}},"known":{{"seq":0,"whole":true,"hosts":[]}},
            "settings":{{"profiles":[{{"name":"chat","effect":"free","aimMs":300,"importance":1}}],
            "tenants":[{{"name":"acme"}}],"zones":["a"],"discovery":"on_request",
            "report":{{"how":"probe","fields":["x0"]}},"domain":{{"tellsDelay":true,"messageAimMs":[50]}},
            "caps":{{"connectTimeoutMs":250,"probing":true,"mostTries":6,"cancel":true}}}}}}"#
        );
        std::fs::write(folder.join(format!("{name}.json")), config)?;
        let mut operator = format!(r#"{{"config":"{name}.json""#);
        if feature == Feature::Recording {
            std::fs::create_dir(folder.join("records"))?;
            operator += r#","records":{"folder":"records"}"#;
        }
        if let Feature::Fleet(own, peer) = feature {
            // 32 times the letter `A`, in base64.
            let secret = "QUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUE=";
            let keys = format!(r#"{{"seal_with":1,"keys":[{{"id":1,"secret":"{secret}"}}]}}"#);
            std::fs::write(folder.join("keys.json"), keys)?;
            operator += &format!(
                r#","fleet":{{"listen":"127.0.0.1:{own}","seeds":["127.0.0.1:{peer}"],"keys":"keys.json"}}"#
            );
        }
        if feature == Feature::AdminCalls {
            operator += r#","admin":"127.0.0.1:0""#;
        }
        let file = folder.join(format!("{name}-operator.json"));
        std::fs::write(&file, operator + "}")?;
        let program = std::env::current_exe()?.ancestors().nth(2).map(|target| target.join("hopmoor"));
        let mut command = Command::new(program.ok_or("this example does not run from a target folder")?);
        let mut child = command.args(["serve", "--operator"]).arg(&file).stderr(Stdio::piped()).spawn()?;
        let mut lines = BufReader::new(child.stderr.take().ok_or("the node's log is not captured")?).lines();
        let mut logged_address = |message: &str| -> Result<String, BoxError> {
            let line = lines
                .find_map(|line| line.ok().filter(|line| line.contains(message)))
                .ok_or("the node ended before it logged its address")?;
            let port = line.split("127.0.0.1:").nth(1).ok_or("the node's log line has no port")?;
            let port: String = port.chars().take_while(char::is_ascii_digit).collect();
            Ok(format!("127.0.0.1:{port}"))
        };
        let listen_address = logged_address("listening")?;
        if feature == Feature::AdminCalls {
            let admin = logged_address("operators may call")?;
            std::thread::spawn(move || poll_metrics(&admin));
        }
        std::thread::spawn(move || lines.for_each(drop));
        let address = listen_address;
        let (setup_cpu_seconds, setups, line_cpu_seconds, lines) = (0.0, 0, 0.0, 0);
        Ok(Node {
            child,
            address,
            setup_cpu_seconds,
            setups,
            line_cpu_seconds,
            lines,
            setup_times_ms: Arc::default(),
        })
    }

    /// Returns the CPU seconds that the process has used so far.
    fn cpu_seconds(&self) -> Result<f64, BoxError> {
        // `schedstat` counts nanoseconds for each thread; the tick counts of `stat` are too coarse here.
        let mut sum = 0.0;
        for thread in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
            sum += text.split(' ').next().ok_or("schedstat is empty")?.parse::<f64>()? / 1e9;
        }
        Ok(sum)
    }

    fn memory_kib(&self) -> Result<u64, BoxError> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line =
            text.lines().find(|line| line.starts_with("VmRSS:")).ok_or("no VmRSS in the process status")?;
        Ok(line.split_whitespace().nth(1).ok_or("VmRSS has no value")?.parse()?)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Requests the metrics ten times a second until the node has ended, then prints how long the slowest answer
/// took.
fn poll_metrics(admin: &str) {
    let mut slowest_answer = Duration::ZERO;
    loop {
        let started = Instant::now();
        let mut text = String::new();
        let outcome = TcpStream::connect(admin).and_then(|mut stream| {
            stream.write_all(b"GET /-/metrics HTTP/1.1\r\n\r\n")?;
            stream.read_to_string(&mut text)
        });
        if outcome.is_err() || !text.contains("node.in_flight=") {
            return eprintln!("slowest answer to a call: {:.1} ms", slowest_answer.as_secs_f64() * 1_000.0);
        }
        slowest_answer = slowest_answer.max(started.elapsed());
        std::thread::sleep(Duration::from_millis(100).saturating_sub(started.elapsed()));
    }
}

async fn open_standing_connections(address: String, count: usize) -> Result<Vec<Client>, String> {
    let mut clients = Vec::with_capacity(count);
    for number in 0..count {
        let mut client = Client::connect(&address).await.map_err(|error| error.to_string())?;
        let line = format!("OPEN stand-{number} k{number} c=chat,t=acme,d=10000");
        let answer = client.ask(&line).await.map_err(|error| error.to_string())?;
        if !answer.starts_with("UP") {
            return Err(format!("client {number} was answered '{answer}'"));
        }
        clients.push(client);
    }
    Ok(clients)
}

/// Opens new connections at a constant rate, whether or not the earlier ones have been answered (an open-loop
/// load). Each connection that is served ends after 80 ms.
async fn run_setups(address: String, first_number: u64, setup_times_ms: Arc<Mutex<Vec<f64>>>) {
    let started = tokio::time::Instant::now();
    for number in 0..SETUPS_PER_TURN {
        let due_at = started + Duration::from_micros(number * 1_000_000 / SETUPS_PER_SECOND);
        tokio::time::sleep_until(due_at).await;
        let (address, setup_times_ms) = (address.clone(), setup_times_ms.clone());
        tokio::spawn(async move {
            let line = format!("OPEN s-{} k c=chat,t=acme,d=3000", first_number + number);
            if let Ok(mut client) = Client::connect(&address).await
                && let Ok(answer) = client.ask(&line).await
                && answer.starts_with("UP")
            {
                let elapsed_ms = due_at.elapsed().as_secs_f64() * 1_000.0;
                setup_times_ms.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(elapsed_ms);
                tokio::time::sleep(Duration::from_millis(80)).await;
            }
        });
    }
    tokio::time::sleep(Duration::from_millis(120)).await;
}

/// Sends lines on these open connections, each echoed by its member, and returns the number of answered
/// lines.
async fn send_lines(clients: &mut [Client]) -> u64 {
    let lines_per_client = LINES_PER_SECOND * TURN_DURATION.as_millis() as u64 / 1_000 / clients.len() as u64;
    let send_interval = TURN_DURATION / lines_per_client as u32;
    let mut answered = 0;
    for _ in 0..lines_per_client {
        let due_at = tokio::time::Instant::now() + send_interval;
        for client in &mut *clients {
            if client.ask("tick 0123456789 0123456789 0123456789").await.is_ok() {
                answered += 1;
            }
        }
        tokio::time::sleep_until(due_at).await;
    }
    answered
}

fn free_port() -> std::io::Result<u16> {
    Ok(std::net::UdpSocket::bind("127.0.0.1:0")?.local_addr()?.port())
}

fn main() -> Result<(), BoxError> {
    let mut args = std::env::args().skip(1);
    let standing: usize = args.next().map_or(Ok(1_000), |text| text.parse())?;
    let turns: u64 = args.next().map_or(Ok(10), |text| text.parse())?;
    let second = match args.next().as_deref() {
        Some("control") => Feature::Baseline,
        Some("calls") => Feature::AdminCalls,
        Some("fleet") => Feature::Fleet(free_port()?, free_port()?),
        _ => Feature::Recording,
    };
    let folder = std::env::temp_dir().join(format!("hopmoor-cost-{}", std::process::id()));
    std::fs::create_dir(&folder)?;
    let stand_ins = StandInRuntime::new()?;
    let discovery = Discovery::start(&stand_ins)?;
    let members =
        (1..=10).map(|receipt| Member::start(&stand_ins, receipt)).collect::<Result<Vec<_>, _>>()?;
    for (at, member) in members.iter().enumerate() {
        discovery.set(&format!("s-{at}"), &member.address(), "Ready");
    }
    let mut nodes = [
        Node::start(&folder, "off", &discovery.address(), Feature::Baseline)?,
        Node::start(&folder, "on", &discovery.address(), second)?,
    ];
    let _third = match second {
        Feature::Fleet(own, peer) => {
            Some(Node::start(&folder, "third", &discovery.address(), Feature::Fleet(peer, own))?)
        }
        _ => None,
    };
    let load_runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut connections = Vec::new();
    for node in &nodes {
        connections.push(load_runtime.block_on(open_standing_connections(node.address.clone(), standing))?);
    }
    let mut next_setup = 0;
    let mut turn_costs: [Vec<(f64, f64)>; 2] = Default::default();
    // The first turn of each node is a warm-up and is not counted.
    for turn in 0..=turns {
        // The order alternates, so that neither node always goes first.
        for position in 0..2 {
            let node_index = if turn % 2 == 0 { position } else { 1 - position };
            let node = &mut nodes[node_index];
            let before = node.cpu_seconds()?;
            let setup_times_ms = if turn == 0 { Arc::default() } else { node.setup_times_ms.clone() };
            load_runtime.block_on(run_setups(node.address.clone(), next_setup, setup_times_ms));
            next_setup += SETUPS_PER_TURN;
            let between_loads = node.cpu_seconds()?;
            let senders = MAX_SENDING_CLIENTS.min(connections[node_index].len());
            let lines = load_runtime.block_on(send_lines(&mut connections[node_index][..senders]));
            let after = node.cpu_seconds()?;
            if turn > 0 {
                node.setup_cpu_seconds += between_loads - before;
                node.setups += SETUPS_PER_TURN;
                node.line_cpu_seconds += after - between_loads;
                node.lines += lines;
                turn_costs[node_index]
                    .push((between_loads - before, (after - between_loads) / lines.max(1) as f64));
            }
        }
    }
    println!("{standing} standing, {turns} turns each; CPU in microseconds, set-up in milliseconds");
    println!(
        "{:>4} {:>12} {:>11} {:>8} {:>8} {:>8} {:>12}",
        "", "CPU a set-up", "CPU a line", "p50", "p99", "served", "memory KiB"
    );
    let mut rows = Vec::new();
    for (name, node) in ["off", "on"].iter().zip(&nodes) {
        let mut times_ms =
            node.setup_times_ms.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
        times_ms.sort_by(f64::total_cmp);
        let percentile = |share: f64| {
            times_ms
                .get(((times_ms.len() as f64 * share) as usize).min(times_ms.len().saturating_sub(1)))
                .copied()
        };
        let (p50, p99) = (percentile(0.5).unwrap_or(f64::NAN), percentile(0.99).unwrap_or(f64::NAN));
        let (setup, line) = (
            node.setup_cpu_seconds * 1e6 / node.setups as f64,
            node.line_cpu_seconds * 1e6 / node.lines as f64,
        );
        let memory = node.memory_kib()?;
        println!(
            "{name:>4} {setup:>12.1} {line:>11.2} {p50:>8.2} {p99:>8.2} {:>8} {memory:>12}",
            times_ms.len()
        );
        rows.push((setup, line, p99, memory));
    }
    let (off, on) = (rows[0], rows[1]);
    let ratios = |field: fn(&(f64, f64)) -> f64| {
        let mut ratios: Vec<f64> =
            turn_costs[0].iter().zip(&turn_costs[1]).map(|(off, on)| field(on) / field(off)).collect();
        ratios.sort_by(f64::total_cmp);
        let quantile =
            |share: f64| ratios.get((ratios.len() as f64 * share) as usize).copied().unwrap_or(f64::NAN);
        format!("{:.3} ({:.3} to {:.3})", quantile(0.5), quantile(0.25), quantile(0.75))
    };
    println!(
        "on over off, median of the pairs (quartiles): set-up {}, line {}",
        ratios(|field| field.0),
        ratios(|field| field.1)
    );
    println!("on over off: p99 {:.3}, memory {:+} KiB", on.2 / off.2, on.3 as i64 - off.3 as i64);
    let files = std::fs::read_dir(folder.join("records")).into_iter().flatten();
    let size: u64 = files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len())).sum();
    println!("{size} bytes of records");
    drop(nodes);
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}
