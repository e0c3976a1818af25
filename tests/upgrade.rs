//! A node is started anew beside itself, on a socket that is passed down, under load and by the real program.
#[path = "common/node.rs"]
mod process;

use process::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The platform's part: it keeps the clients' socket, and passes it down as descriptor 0.
struct Platform {
    socket: TcpListener,
    pool: TestPool,
}

impl Platform {
    fn new() -> Platform {
        Platform { socket: TcpListener::bind("127.0.0.1:0").unwrap(), pool: pool(&[77]) }
    }

    fn start(&self) -> (Node, String) {
        let node = launch(&config(&self.pool.discovery.address()), |command| {
            let socket = OwnedFd::from(self.socket.try_clone().unwrap());
            command
                .stdin(Stdio::from(socket))
                .env("NODE_PASSED_SOCKET", "0")
                .env("NODE_ADMIN", "127.0.0.1:0");
        });
        let line = node.wait_for_log("operators may call");
        (node, format!("127.0.0.1:{}", port(&line)))
    }

    fn ready(&self) -> (Node, String) {
        let (node, admin) = self.start();
        assert!(wait_until(3.0, || call(&admin, "GET", "/-/ready").0 == 200));
        (node, admin)
    }
}

/// Clients that come at their times, whatever became of those before them.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    wrong: Arc<Mutex<Vec<String>>>,
    driver: Option<thread::JoinHandle<()>>,
}

impl Load {
    /// A hundred a second, each standing for 0.6 s.
    fn start(address: String) -> Load {
        let (stop, served, wrong): (Arc<AtomicBool>, Arc<AtomicU64>, Arc<Mutex<Vec<String>>>) =
            Default::default();
        let (stops, serves, wrongs) = (stop.clone(), served.clone(), wrong.clone());
        let driver = thread::spawn(move || {
            let mut clients = Vec::new();
            let began = Instant::now();
            for id in 0u64.. {
                let at = Duration::from_millis(10 * id);
                thread::sleep(at.saturating_sub(began.elapsed()));
                if stops.load(Relaxed) {
                    break;
                }
                let (address, serves, wrongs) = (address.clone(), serves.clone(), wrongs.clone());
                clients.push(thread::spawn(move || match client(&address, id) {
                    Ok(()) => drop(serves.fetch_add(1, Relaxed)),
                    Err(what) => wrongs.lock().unwrap().push(format!("client {id}: {what}")),
                }));
            }
            clients.into_iter().for_each(|client| client.join().unwrap());
        });
        Load { stop, served, wrong, driver: Some(driver) }
    }

    fn end(mut self) -> (u64, Vec<String>) {
        self.stop.store(true, Relaxed);
        self.driver.take().unwrap().join().unwrap();
        let wrong = std::mem::take(&mut *self.wrong.lock().unwrap());
        (self.served.load(Relaxed), wrong)
    }
}

/// Served, and neither cut without `MOVE` nor left without an answer to its lines.
fn client(address: &str, id: u64) -> Result<(), String> {
    let said = |what: &'static str| move |error| format!("{what}: {error}");
    let stream = TcpStream::connect(address).map_err(said("connect"))?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    let write = |stream: &mut BufReader<TcpStream>, text: String| {
        stream.get_mut().write_all(text.as_bytes()).map_err(said("write"))
    };
    write(&mut stream, format!("OPEN {id} 2 c=chat,t=acme,d=3000\r\n"))?;
    stream.read_line(&mut line).map_err(said("answer"))?;
    if line != "UP 77\r\n" {
        return Err(format!("answered {line:?}"));
    }
    for _ in 0..6 {
        thread::sleep(Duration::from_millis(100));
        // One that is told to move need not hear an answer to a line that it sends meanwhile.
        let sent = write(&mut stream, "tick\r\n".into());
        line.clear();
        let read = stream.read_line(&mut line).map_err(said("reply"));
        match line.as_str() {
            "tick\r\n" => sent?,
            "MOVE\r\n" => return Ok(()),
            other => return Err(format!("cut: {other:?} {read:?}")),
        }
    }
    Ok(())
}

fn served(counters: &str) -> u64 {
    let at = counters.split(" served=").nth(1).unwrap();
    at.split(' ').next().unwrap().parse().unwrap()
}

#[test]
fn three_upgrades_under_load_turn_nobody_away_and_cut_nobody() {
    let platform = Platform::new();
    let (mut old, _) = platform.ready();
    let load = Load::start(platform.socket.local_addr().unwrap().to_string());
    let mut counted = 0;
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(500));
        // One that dies before its yes harms nobody.
        drop(platform.start());
        let (new, _) = platform.ready();
        // Both serve for a while.
        thread::sleep(Duration::from_millis(300));
        let told = Instant::now();
        old.signal("-TERM");
        counted += served(&old.wait_for_log("when: exit"));
        assert!(old.child.wait().unwrap().success());
        assert!(told.elapsed() < Duration::from_millis(3_700), "{:?}", told.elapsed());
        old = new;
    }
    let (clients, wrong) = load.end();
    assert_eq!(wrong, Vec::<String>::new());
    old.signal("-TERM");
    // Each process counts its own alone. One that died before its yes served none.
    assert_eq!(counted + served(&old.wait_for_log("when: exit")), clients);
    assert!(clients > 300, "{clients}");
}

/// Killed in place of ended, the old process takes its own clients with it and nobody else.
#[test]
fn an_old_process_that_is_killed_leaves_the_new_one_serving() {
    let platform = Platform::new();
    let (mut old, _) = platform.ready();
    let (new, admin) = platform.ready();
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

/// Accepted before SIGTERM and silent until after it, a client is still heard.
#[test]
fn a_client_that_writes_after_sigterm_is_heard() {
    let platform = Platform::new();
    let (old, _) = platform.ready();
    let mut late = old.connect();
    late.get_mut().write_all(b"OPEN 1 2 c=ch").unwrap();
    thread::sleep(Duration::from_millis(200));
    let (_new, _) = platform.ready();
    old.signal("-TERM");
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(exchange_line(&mut late, "at,t=acme,d=3000\r\n"), "UP 77\r\n");
    let mut rest = String::new();
    late.read_to_string(&mut rest).unwrap();
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
