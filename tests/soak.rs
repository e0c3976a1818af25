//! A randomized soak of real processes: faults that overlap in time, and what must hold whatever they are. One seed draws the whole
//! schedule. `SOAK_SEEDS` (a range as `1..20`) and `SOAK_SECONDS` make it longer; without them it is short and its seed fixed.
#[path = "common/node.rs"]
mod node;
use hopmoor_standin::sockets::{Discovery, Stage};
use node::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROCESSES: usize = 12;
const MEMBERS: usize = 8;
/// How long a client waits for its connection.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// An answer may be late by this before it counts as lost.
const SLACK: Duration = Duration::from_millis(500);
/// A change counts as told so long after discovery had it, and nothing new may be sent after the second.
const TOLD_AND_GRACE: Duration = Duration::from_millis(6_000 + 750 + 50);

struct Draw(u64);

impl Draw {
    fn below(&mut self, most: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as usize) % most
    }
}

/// What reached one member: the request's id and when.
type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

/// A member that notes what arrives, serves it, and echoes lines.
fn member() -> (String, Arrivals) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let arrivals = Arrivals::default();
    let noted = arrivals.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let noted = noted.clone();
            thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().unwrap());
                let (mut to, mut line) = (stream, String::new());
                while from.read_line(&mut line).is_ok_and(|read| read > 0) {
                    if let Some(open) = line.strip_prefix("OPEN ") {
                        let id = open.split(' ').next().unwrap().to_owned();
                        noted.lock().unwrap().push((id, Instant::now()));
                        let _ = to.write_all(b"UP 1\r\n");
                    } else {
                        let _ = to.write_all(line.as_bytes());
                    }
                    line.clear();
                }
            });
        }
    });
    (address, arrivals)
}

/// A fault proxy before discovery: while it is held it takes connections and bytes, and passes nothing on.
#[derive(Clone)]
struct Proxy {
    address: String,
    held_until: Arc<Mutex<Instant>>,
}

impl Proxy {
    fn start(to: String) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let proxy = Proxy { address, held_until: Arc::new(Mutex::new(Instant::now())) };
        let of = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let Ok(far) = TcpStream::connect(&to) else { continue };
                for (from, to) in [
                    (near.try_clone().unwrap(), far.try_clone().unwrap()),
                    (far.try_clone().unwrap(), near.try_clone().unwrap()),
                ] {
                    let of = of.clone();
                    thread::spawn(move || of.pass(from, to));
                }
            }
        });
        proxy
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        while let Ok(read) = from.read(&mut buffer) {
            while let Some(left) = self.left() {
                thread::sleep(left);
            }
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    /// For how long it is still held.
    fn left(&self) -> Option<Duration> {
        let until = *self.held_until.lock().unwrap();
        until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())
    }

    fn hold(&self, time: Duration) {
        *self.held_until.lock().unwrap() = Instant::now() + time;
    }
}

/// One client: asks a node and notes how that ended. `None`: the node was not there to take it.
fn ask(address: &str, id: &str) -> Option<Result<Duration, String>> {
    let mut stream = BufReader::new(TcpStream::connect(address).ok()?);
    let _ = stream.get_ref().set_read_timeout(Some(DEADLINE + SLACK));
    let began = Instant::now();
    let line = format!("OPEN {id} f{id} c=chat,t=acme,d={}\r\n", DEADLINE.as_millis());
    stream.get_mut().write_all(line.as_bytes()).ok()?;
    let mut answer = String::new();
    let read = stream.read_line(&mut answer);
    Some(match read {
        Ok(read) if read > 0 => Ok(began.elapsed()),
        other => Err(format!("request {id} at {address}: no answer after {:?} ({other:?})", began.elapsed())),
    })
}

fn range() -> std::ops::Range<u64> {
    let text = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..2".into());
    let (from, until) = text.split_once("..").expect("SOAK_SEEDS is FROM..UNTIL");
    from.parse().unwrap()..until.parse().unwrap()
}

struct Soak {
    draw: Draw,
    discovery: Discovery,
    proxy: Proxy,
    members: Vec<(String, Arrivals)>,
    /// Which members are gone, and since when.
    gone: BTreeMap<usize, Instant>,
    /// Times in which a member was gone: its number, from, until.
    absences: Vec<(usize, Instant, Option<Instant>)>,
    nodes: Vec<Option<Node>>,
    /// When the process of this place was last killed or told to end: what it held then is lost with it.
    ended: Vec<Arc<Mutex<Vec<Instant>>>>,
    addresses: Arc<Mutex<Vec<Option<String>>>>,
    /// The list as it was at the start: what a process that starts anew is given.
    known: String,
}

impl Soak {
    fn new(seed: u64, stage: &Stage) -> Soak {
        let discovery = Discovery::start(stage).unwrap();
        let members: Vec<_> = (0..MEMBERS).map(|_| member()).collect();
        for (at, (address, _)) in members.iter().enumerate() {
            discovery.set(&format!("s-{at}"), address, "Ready");
        }
        let host = |(at, (dial, _)): (usize, &(String, Arrivals))| {
            format!(
                r#"{{"host":"s-{at}","dial":"{dial}","site":"a","block":0,"health":"Ready","share":1.0,"born_ms":0}}"#
            )
        };
        let hosts: Vec<String> = members.iter().enumerate().map(host).collect();
        let known = format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, hosts.join(","));
        let mut soak = Soak {
            draw: Draw(seed * 2 + 1),
            proxy: Proxy::start(discovery.address()),
            discovery,
            members,
            gone: BTreeMap::new(),
            absences: Vec::new(),
            nodes: (0..PROCESSES).map(|_| None).collect(),
            ended: (0..PROCESSES).map(|_| Arc::default()).collect(),
            addresses: Arc::new(Mutex::new(vec![None; PROCESSES])),
            known,
        };
        (0..PROCESSES).for_each(|at| soak.start(at));
        soak
    }

    fn start(&mut self, at: usize) {
        let config = config(&self.proxy.address)
            .replace(r#"{"seq":0,"whole":true,"hosts":[]}"#, &self.known)
            .replace(r#""seed":"8c1f""#, &format!(r#""seed":"{:x}""#, self.draw.below(1 << 20)));
        let node = launch(&config, |_| ());
        self.addresses.lock().unwrap()[at] = Some(node.address.clone());
        self.nodes[at] = Some(node);
    }

    /// Ends a process by this signal; one that is told to end is given its time by `wait`.
    fn end(&mut self, at: usize, signal: &str) {
        self.addresses.lock().unwrap()[at] = None;
        if let Some(mut node) = self.nodes[at].take() {
            self.ended[at].lock().unwrap().push(Instant::now());
            node.signal(signal);
            thread::spawn(move || node.child.wait());
        }
    }

    /// One fault, drawn.
    fn fault(&mut self) {
        let at = self.draw.below(PROCESSES);
        let of = self.draw.below(MEMBERS);
        match self.draw.below(8) {
            0 => self.end(at, "-KILL"),
            1 => self.end(at, "-TERM"),
            2 => {
                if let Some(node) = &self.nodes[at] {
                    node.signal("-STOP");
                    thread::sleep(Duration::from_millis(100));
                    node.signal("-CONT");
                }
            }
            // Members that go while it is held, and processes that start then, are what lists are leased for.
            6 if self.proxy.left().is_none() => {
                let time = Duration::from_millis(4_000 + self.draw.below(6_000) as u64);
                self.proxy.hold(time);
            }
            3 if self.nodes[at].is_some() => self.nodes[at].as_ref().unwrap().signal("-HUP"),
            4 if self.gone.len() < MEMBERS / 2 && !self.gone.contains_key(&of) => {
                let health = if self.draw.below(2) == 0 { "Gone" } else { "Terminating" };
                let now = Instant::now();
                self.discovery.set(&format!("s-{of}"), &self.members[of].0, health);
                self.gone.insert(of, now);
            }
            _ => {
                let back = self.gone.iter().find(|(_, since)| since.elapsed() > Duration::from_secs(11));
                if let Some((of, since)) = back.map(|(of, since)| (*of, *since)) {
                    self.gone.remove(&of);
                    self.absences.push((of, since, Some(Instant::now())));
                    self.discovery.set(&format!("s-{of}"), &self.members[of].0, "Ready");
                }
            }
        }
        // Whoever is down starts again, with the list of the beginning.
        let down = (0..PROCESSES).filter(|at| self.nodes[*at].is_none()).count();
        if down > PROCESSES / 4 {
            let first = (0..PROCESSES).find(|at| self.nodes[*at].is_none()).unwrap();
            self.start(first);
        }
    }

    /// Attempts that reached a member later than one may after it had gone.
    fn late_arrivals(&self) -> Vec<String> {
        let absences = self.absences.iter().copied().chain(self.gone.iter().map(|(of, at)| (*of, *at, None)));
        absences
            .flat_map(|(of, since, until)| {
                let arrivals = self.members[of].1.lock().unwrap();
                let late =
                    |at: &Instant| *at > since + TOLD_AND_GRACE && until.is_none_or(|until| *at < until);
                let found = arrivals.iter().filter(|(_, at)| late(at));
                found
                    .map(|(id, at)| format!("request {id} to s-{of} {:?} after it went", *at - since))
                    .collect::<Vec<_>>()
            })
            .collect()
    }
}

fn soak(seed: u64, seconds: u64) -> Vec<String> {
    let stage = Stage::new().unwrap();
    let mut soak = Soak::new(seed, &stage);
    let over = Arc::new(AtomicBool::new(false));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..PROCESSES)
        .map(|at| {
            let (over, lost) = (over.clone(), lost.clone());
            let (addresses, ended) = (soak.addresses.clone(), soak.ended[at].clone());
            thread::spawn(move || {
                let mut number = 0;
                while !over.load(Ordering::Relaxed) {
                    number += 1;
                    let Some(address) = addresses.lock().unwrap()[at].clone() else {
                        thread::sleep(Duration::from_millis(20));
                        continue;
                    };
                    let began = Instant::now();
                    let done = ask(&address, &format!("{at:02x}{number:06x}"));
                    // What a process held when it was killed is lost with it, and none of its own doing.
                    let killed = ended.lock().unwrap().iter().any(|end| *end + DEADLINE > began);
                    if let Some(Err(what)) = done
                        && !killed
                    {
                        lost.lock().unwrap().push(what);
                    }
                    thread::sleep(Duration::from_millis(15));
                }
            })
        })
        .collect();
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(seconds) {
        soak.fault();
        let pause = 150 + soak.draw.below(400) as u64;
        thread::sleep(Duration::from_millis(pause));
    }
    over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let mut broken = std::mem::take(&mut *lost.lock().unwrap());
    broken.extend(soak.late_arrivals());
    let arrivals: usize = soak.members.iter().map(|(_, arrivals)| arrivals.lock().unwrap().len()).sum();
    println!("seed {seed}: {arrivals} attempts, {} broken", broken.len());
    assert!(arrivals > PROCESSES, "nothing was sent");
    broken
}

/// Whatever overlaps: every request that a process took is answered in its time, and nothing new reaches a member that has gone
/// longer than the 6 s in which it counts as told, and the grace.
#[test]
fn faults_that_overlap_lose_no_request_and_send_none_to_members_that_have_gone() {
    let seconds = std::env::var("SOAK_SECONDS").map_or(24, |text| text.parse().unwrap());
    let broken: Vec<_> =
        range().map(|seed| (seed, soak(seed, seconds))).filter(|(_, b)| !b.is_empty()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
