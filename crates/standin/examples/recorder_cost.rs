//! What recording costs a node: two nodes side by side, one that records and one that does not, get the same load in
//! turns. CPU is the processes' own, as the system counts it; set-up times count from when each was due.
//!
//! ```text
//! cargo build --release && cargo run --release -p hopmoor-standin --example recorder_cost -- 1000 20
//! ```
//!
//! The arguments: connections that stand at each node, and how many turns of 0.4 s each node gets. With `control` as a
//! third neither records: what they differ by then is the noise. With `calls` the second takes operators' calls in place
//! of recording, and is asked for its figures ten times a second. With `fleet` it is in a fleet, with a third node.

use hopmoor_standin::sockets::{Client, Discovery, Member, StandInRuntime};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Short turns, or the machine's own drift would outweigh what is measured.
const TURN: Duration = Duration::from_millis(400);
const SETUPS_A_SECOND: u64 = 400;
const SETUPS: u64 = SETUPS_A_SECOND * 400 / 1_000;
const LINES_A_SECOND: u64 = 5_000;
const TALKERS: usize = 250;

/// What the second node has and the first has not.
#[derive(Clone, Copy, PartialEq)]
enum With {
    Nothing,
    Records,
    Calls,
    /// In a fleet: its own port, and where another is found.
    Fleet(u16, u16),
}

struct Node {
    child: Child,
    address: String,
    setup_cpu: f64,
    setups: u64,
    line_cpu: f64,
    lines: u64,
    times: Arc<Mutex<Vec<f64>>>,
}

impl Node {
    fn start(folder: &Path, name: &str, discovery: &str, with: With) -> Result<Node, Failure> {
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
        if with == With::Records {
            std::fs::create_dir(folder.join("records"))?;
            operator += r#","records":{"folder":"records"}"#;
        }
        if let With::Fleet(own, other) = with {
            // 32 bytes of one letter, in base64.
            let secret = "QUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUE=";
            let keys = format!(r#"{{"seal_with":1,"keys":[{{"id":1,"secret":"{secret}"}}]}}"#);
            std::fs::write(folder.join("keys.json"), keys)?;
            operator += &format!(
                r#","fleet":{{"listen":"127.0.0.1:{own}","seeds":["127.0.0.1:{other}"],"keys":"keys.json"}}"#
            );
        }
        if with == With::Calls {
            operator += r#","admin":"127.0.0.1:0""#;
        }
        let file = folder.join(format!("{name}-operator.json"));
        std::fs::write(&file, operator + "}")?;
        let program = std::env::current_exe()?.ancestors().nth(2).map(|target| target.join("hopmoor"));
        let mut command = Command::new(program.ok_or("no target folder")?);
        let mut child = command.args(["serve", "--operator"]).arg(&file).stderr(Stdio::piped()).spawn()?;
        let mut lines = BufReader::new(child.stderr.take().ok_or("no log")?).lines();
        let mut address = |word: &str| -> Result<String, Failure> {
            let line =
                lines.find_map(|line| line.ok().filter(|line| line.contains(word))).ok_or("no start")?;
            let port = line.split("127.0.0.1:").nth(1).ok_or("no port")?;
            let port: String = port.chars().take_while(char::is_ascii_digit).collect();
            Ok(format!("127.0.0.1:{port}"))
        };
        let listens = address("listening")?;
        if with == With::Calls {
            let admin = address("operators may call")?;
            std::thread::spawn(move || scrape(&admin));
        }
        std::thread::spawn(move || lines.for_each(drop));
        let address = listens;
        let (setup_cpu, setups, line_cpu, lines) = (0.0, 0, 0.0, 0);
        Ok(Node { child, address, setup_cpu, setups, line_cpu, lines, times: Arc::default() })
    }

    /// Seconds of CPU so far.
    fn cpu(&self) -> Result<f64, Failure> {
        // Nanoseconds on a core, of all threads; the tick counts of `stat` are too coarse here.
        let mut sum = 0.0;
        for thread in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
            sum += text.split(' ').next().ok_or("no count")?.parse::<f64>()? / 1e9;
        }
        Ok(sum)
    }

    fn memory_kib(&self) -> Result<u64, Failure> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).ok_or("no size")?;
        Ok(line.split_whitespace().nth(1).ok_or("no size")?.parse()?)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Asks for the figures ten times a second until the node is gone; then says how long the slowest answer took.
fn scrape(admin: &str) {
    let mut slowest = Duration::ZERO;
    loop {
        let began = Instant::now();
        let mut text = String::new();
        let asked = TcpStream::connect(admin).and_then(|mut stream| {
            stream.write_all(b"GET /-/metrics HTTP/1.1\r\n\r\n")?;
            stream.read_to_string(&mut text)
        });
        if asked.is_err() || !text.contains("node.in_flight=") {
            return eprintln!("slowest answer to a call: {:.1} ms", slowest.as_secs_f64() * 1_000.0);
        }
        slowest = slowest.max(began.elapsed());
        std::thread::sleep(Duration::from_millis(100).saturating_sub(began.elapsed()));
    }
}

async fn stand(address: String, count: usize) -> Result<Vec<Client>, String> {
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

/// New connections come at a steady rate, whether or not those before them are answered; each ends after 80 ms.
async fn set_up(address: String, from: u64, times: Arc<Mutex<Vec<f64>>>) {
    let began = tokio::time::Instant::now();
    for number in 0..SETUPS {
        let due = began + Duration::from_micros(number * 1_000_000 / SETUPS_A_SECOND);
        tokio::time::sleep_until(due).await;
        let (address, times) = (address.clone(), times.clone());
        tokio::spawn(async move {
            let line = format!("OPEN s-{} k c=chat,t=acme,d=3000", from + number);
            if let Ok(mut client) = Client::connect(&address).await
                && let Ok(answer) = client.ask(&line).await
                && answer.starts_with("UP")
            {
                let took = due.elapsed().as_secs_f64() * 1_000.0;
                times.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(took);
                tokio::time::sleep(Duration::from_millis(80)).await;
            }
        });
    }
    tokio::time::sleep(Duration::from_millis(120)).await;
}

/// Some of those that stand send lines, each answered by its member.
async fn talk(clients: &mut [Client]) -> u64 {
    let each = LINES_A_SECOND * TURN.as_millis() as u64 / 1_000 / clients.len() as u64;
    let pause = TURN / each as u32;
    let mut sent = 0;
    for _ in 0..each {
        let due = tokio::time::Instant::now() + pause;
        for client in &mut *clients {
            if client.ask("tick 0123456789 0123456789 0123456789").await.is_ok() {
                sent += 1;
            }
        }
        tokio::time::sleep_until(due).await;
    }
    sent
}

fn free_port() -> std::io::Result<u16> {
    Ok(std::net::UdpSocket::bind("127.0.0.1:0")?.local_addr()?.port())
}

fn main() -> Result<(), Failure> {
    let mut args = std::env::args().skip(1);
    let standing: usize = args.next().map_or(Ok(1_000), |text| text.parse())?;
    let turns: u64 = args.next().map_or(Ok(10), |text| text.parse())?;
    let second = match args.next().as_deref() {
        Some("control") => With::Nothing,
        Some("calls") => With::Calls,
        Some("fleet") => With::Fleet(free_port()?, free_port()?),
        _ => With::Records,
    };
    let folder = std::env::temp_dir().join(format!("hopmoor-cost-{}", std::process::id()));
    std::fs::create_dir(&folder)?;
    let stage = StandInRuntime::new()?;
    let discovery = Discovery::start(&stage)?;
    let members = (1..=10).map(|receipt| Member::start(&stage, receipt)).collect::<Result<Vec<_>, _>>()?;
    for (at, member) in members.iter().enumerate() {
        discovery.set(&format!("s-{at}"), &member.address(), "Ready");
    }
    let mut nodes = [
        Node::start(&folder, "off", &discovery.address(), With::Nothing)?,
        Node::start(&folder, "on", &discovery.address(), second)?,
    ];
    let _third = match second {
        With::Fleet(own, other) => {
            Some(Node::start(&folder, "third", &discovery.address(), With::Fleet(other, own))?)
        }
        _ => None,
    };
    let load = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut held = Vec::new();
    for node in &nodes {
        held.push(load.block_on(stand(node.address.clone(), standing))?);
    }
    let mut number = 0;
    let mut pairs: [Vec<(f64, f64)>; 2] = Default::default();
    // One turn each before it counts.
    for turn in 0..=turns {
        // The first of each pair changes places, so that neither always goes before the other.
        for place in 0..2 {
            let which = if turn % 2 == 0 { place } else { 1 - place };
            let node = &mut nodes[which];
            let before = node.cpu()?;
            let times = if turn == 0 { Arc::default() } else { node.times.clone() };
            load.block_on(set_up(node.address.clone(), number, times));
            number += SETUPS;
            let between = node.cpu()?;
            let talkers = TALKERS.min(held[which].len());
            let lines = load.block_on(talk(&mut held[which][..talkers]));
            let after = node.cpu()?;
            if turn > 0 {
                node.setup_cpu += between - before;
                node.setups += SETUPS;
                node.line_cpu += after - between;
                node.lines += lines;
                pairs[which].push((between - before, (after - between) / lines.max(1) as f64));
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
        let mut times = node.times.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
        times.sort_by(f64::total_cmp);
        let part = |part: f64| {
            times.get(((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1))).copied()
        };
        let (p50, p99) = (part(0.5).unwrap_or(f64::NAN), part(0.99).unwrap_or(f64::NAN));
        let (setup, line) =
            (node.setup_cpu * 1e6 / node.setups as f64, node.line_cpu * 1e6 / node.lines as f64);
        let memory = node.memory_kib()?;
        println!(
            "{name:>4} {setup:>12.1} {line:>11.2} {p50:>8.2} {p99:>8.2} {:>8} {memory:>12}",
            times.len()
        );
        rows.push((setup, line, p99, memory));
    }
    let (off, on) = (rows[0], rows[1]);
    let ratios = |of: fn(&(f64, f64)) -> f64| {
        let mut ratios: Vec<f64> = pairs[0].iter().zip(&pairs[1]).map(|(off, on)| of(on) / of(off)).collect();
        ratios.sort_by(f64::total_cmp);
        let at = |part: f64| ratios.get((ratios.len() as f64 * part) as usize).copied().unwrap_or(f64::NAN);
        format!("{:.3} ({:.3} to {:.3})", at(0.5), at(0.25), at(0.75))
    };
    println!(
        "on over off, median of the pairs (quartiles): set-up {}, line {}",
        ratios(|of| of.0),
        ratios(|of| of.1)
    );
    println!("on over off: p99 {:.3}, memory {:+} KiB", on.2 / off.2, on.3 as i64 - off.3 as i64);
    let files = std::fs::read_dir(folder.join("records")).into_iter().flatten();
    let size: u64 = files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len())).sum();
    println!("{size} bytes of records");
    drop(nodes);
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}
