//! Upgrades of the real process under load: a new node process starts beside the old one, on a listening
//! socket that is passed to both.
#[path = "common/node.rs"]
mod process;
#[path = "common/script.rs"]
mod script;

use process::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Takes the platform's part: keeps the listening socket for clients open, and passes it to each node process
/// as descriptor 0.
struct Platform {
    socket: TcpListener,
    pool: TestPool,
}

impl Platform {
    fn new() -> Platform {
        Platform { socket: TcpListener::bind("127.0.0.1:0").unwrap(), pool: pool(&[77]) }
    }

    /// Starts a node process; returns it and its admin address.
    fn start(&self) -> (Node, String) {
        self.start_with(&config(&self.pool.discovery.address()))
    }

    /// Starts a node process with this configuration.
    fn start_with(&self, config: &str) -> (Node, String) {
        let node = launch(config, |command| {
            let socket = OwnedFd::from(self.socket.try_clone().unwrap());
            command
                .stdin(Stdio::from(socket))
                .env("NODE_PASSED_SOCKET", "0")
                .env("NODE_ADMIN", "127.0.0.1:0");
        });
        let line = node.wait_for_log("operators may call");
        (node, format!("127.0.0.1:{}", port(&line)))
    }

    /// Starts a node process and waits until it is ready.
    fn start_and_wait_until_ready(&self) -> (Node, String) {
        let (node, admin) = self.start();
        assert!(wait_until(3.0, || call(&admin, "GET", "/-/ready").0 == 200));
        (node, admin)
    }
}

/// Open-loop load: clients connect on a fixed schedule, independent of how earlier clients fare.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    failures: Arc<Mutex<Vec<String>>>,
    driver: Option<thread::JoinHandle<()>>,
}

impl Load {
    /// Starts 100 clients per second, each of which keeps its connection for 0.6 s.
    fn start(address: String) -> Load {
        let (stop, served, failures): (Arc<AtomicBool>, Arc<AtomicU64>, Arc<Mutex<Vec<String>>>) =
            Default::default();
        let (driver_stop, driver_served, driver_failures) = (stop.clone(), served.clone(), failures.clone());
        let driver = thread::spawn(move || {
            let mut clients = Vec::new();
            let began = Instant::now();
            for id in 0u64.. {
                let due = Duration::from_millis(10 * id);
                thread::sleep(due.saturating_sub(began.elapsed()));
                if driver_stop.load(Relaxed) {
                    break;
                }
                let (address, client_served, client_failures) =
                    (address.clone(), driver_served.clone(), driver_failures.clone());
                clients.push(thread::spawn(move || match run_client(&address, id) {
                    Ok(()) => drop(client_served.fetch_add(1, Relaxed)),
                    Err(failure) => client_failures.lock().unwrap().push(format!("client {id}: {failure}")),
                }));
            }
            clients.into_iter().for_each(|client| client.join().unwrap());
        });
        Load { stop, served, failures, driver: Some(driver) }
    }

    /// Stops new clients and waits for the running ones; returns how many were served, and the failures.
    fn finish(mut self) -> (u64, Vec<String>) {
        self.stop.store(true, Relaxed);
        self.driver.take().unwrap().join().unwrap();
        let failures = std::mem::take(&mut *self.failures.lock().unwrap());
        (self.served.load(Relaxed), failures)
    }
}

/// Runs one client. Fails unless the client is served, gets an echo of each of its lines, and is not cut off
/// without `MOVE`.
fn run_client(address: &str, id: u64) -> Result<(), String> {
    let in_step = |step: &'static str| move |error| format!("{step}: {error}");
    let stream = TcpStream::connect(address).map_err(in_step("connect"))?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    let write = |stream: &mut BufReader<TcpStream>, text: String| {
        stream.get_mut().write_all(text.as_bytes()).map_err(in_step("write"))
    };
    write(&mut stream, format!("OPEN {id} 2 c=chat,t=acme,d=3000\r\n"))?;
    stream.read_line(&mut line).map_err(in_step("answer"))?;
    if line != "UP 77\r\n" {
        return Err(format!("OPEN answered with {line:?}"));
    }
    for _ in 0..6 {
        thread::sleep(Duration::from_millis(100));
        // A client to which MOVE is under way need not get an echo of a line that it sends meanwhile.
        let sent = write(&mut stream, "tick\r\n".into());
        line.clear();
        let read = stream.read_line(&mut line).map_err(in_step("reply"));
        match line.as_str() {
            "tick\r\n" => sent?,
            "MOVE\r\n" => return Ok(()),
            other => return Err(format!("cut off without MOVE: read {other:?}, {read:?}")),
        }
    }
    Ok(())
}

fn served_count(counters: &str) -> u64 {
    let value = counters.split(" served=").nth(1).unwrap();
    value.split(' ').next().unwrap().parse().unwrap()
}

#[test]
fn three_upgrades_under_load_reject_no_client_and_cut_none_off() {
    let platform = Platform::new();
    let (mut old, _) = platform.start_and_wait_until_ready();
    let load = Load::start(platform.socket.local_addr().unwrap().to_string());
    let mut counted_by_nodes = 0;
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(500));
        // A process that dies before it is ready affects no client.
        drop(platform.start());
        let (new, _) = platform.start_and_wait_until_ready();
        // Both processes serve for a while.
        thread::sleep(Duration::from_millis(300));
        let sigterm_at = Instant::now();
        old.signal("-TERM");
        counted_by_nodes += served_count(&old.wait_for_log("when: exit"));
        assert!(old.child.wait().unwrap().success());
        assert!(sigterm_at.elapsed() < Duration::from_millis(3_700), "{:?}", sigterm_at.elapsed());
        old = new;
    }
    let (clients, failures) = load.finish();
    assert_eq!(failures, Vec::<String>::new());
    old.signal("-TERM");
    // Each process counts only the requests that it served itself. Those that died before they were ready
    // served none.
    assert_eq!(counted_by_nodes + served_count(&old.wait_for_log("when: exit")), clients);
    assert!(clients > 300, "{clients}");
}

/// An old process that gets SIGKILL in place of SIGTERM cuts off only its own clients.
#[test]
fn an_old_process_that_is_killed_leaves_the_new_one_serving() {
    let platform = Platform::new();
    let (mut old, _) = platform.start_and_wait_until_ready();
    let (new, admin) = platform.start_and_wait_until_ready();
    old.child.kill().unwrap();
    old.child.wait().unwrap();
    for id in 0..20 {
        assert_eq!(
            exchange_line(&mut new.connect(), &format!("OPEN {id} 2 c=chat,t=acme,d=3000\r\n")),
            "UP 77\r\n"
        );
    }
    assert_eq!(call(&admin, "GET", "/-/ready").0, 200);
}

/// A client that was accepted before SIGTERM and completes its request only afterwards is still served.
#[test]
fn a_request_completed_after_sigterm_is_served() {
    let platform = Platform::new();
    let (old, _) = platform.start_and_wait_until_ready();
    let mut client = old.connect();
    client.get_mut().write_all(b"OPEN 1 2 c=ch").unwrap();
    thread::sleep(Duration::from_millis(200));
    let (_new, _) = platform.start_and_wait_until_ready();
    old.signal("-TERM");
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(exchange_line(&mut client, "at,t=acme,d=3000\r\n"), "UP 77\r\n");
    let mut rest = String::new();
    client.read_to_string(&mut rest).unwrap();
    assert_eq!(rest, "MOVE\r\n");
}

#[test]
fn a_passed_descriptor_that_does_not_listen_fails_the_start_with_one_line() {
    for (number, wanted) in
        [("0", "not a socket"), ("77", "Bad file descriptor"), ("x", "NODE_PASSED_SOCKET: 'x'")]
    {
        let file = std::env::temp_dir().join(format!("hopmoor-passed-{}.json", std::process::id()));
        std::fs::write(&file, config("127.0.0.1:1")).unwrap();
        let mut command = hopmoor();
        let output = command
            .arg("serve")
            .env("NODE_CONFIG", &file)
            .env("NODE_PASSED_SOCKET", number)
            .output()
            .unwrap();
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && error.lines().count() == 1 && error.contains(wanted), "{error}");
        let _ = std::fs::remove_file(file);
    }
}

/// Guards against an id that runs twice when it comes again at the other process of an upgrade (picture c of issue
/// 54): the new process does not know which requests of the old one may have run.
#[test]
fn an_id_does_not_run_twice_at_the_other_process_of_an_upgrade() {
    let platform = Platform::new();
    let member = script::Member::new();
    platform.pool.discovery.set("s-1", &member.address, "Ready");
    let config = config(&platform.pool.discovery.address());
    let config = config.replace(r#""effect":"free""#, r#""effect":"single_shot""#);
    let start_and_wait = || {
        let (node, admin) = platform.start_with(&config);
        assert!(wait_until(8.0, || call(&admin, "GET", "/-/ready").0 == 200));
        node
    };
    let open = "OPEN 1 2 c=chat,t=acme,d=1000\r\n";
    let old = start_and_wait();
    let mut leaves = old.connect().into_inner();
    leaves.write_all(open.as_bytes()).unwrap();
    let mut flow = member.next_flow();
    flow.read_line(&mut String::new()).unwrap();
    drop(leaves);
    let new = start_and_wait();
    old.signal("-TERM");
    old.wait_for_log("shutting down");
    let answer = exchange_line(&mut new.connect(), open);
    assert!(member.accept_waiting().is_none(), "the id was sent again and answered {answer:?}");
}
