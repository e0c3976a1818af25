//! The node as its staff runs it: calls under load, figures, drain and resume, by the real program.
#[path = "common/node.rs"]
mod process;

use process::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn open(node: &Node, id: u32) -> BufReader<TcpStream> {
    let mut client = node.connect();
    assert_eq!(exchange_line(&mut client, &format!("OPEN {id} 2 c=chat,t=acme,d=5000\r\n")), "UP 77\r\n");
    client
}

fn figure(admin: &str, name: &str) -> u64 {
    let (status, text) = call(admin, "GET", "/-/metrics");
    assert_eq!(status, 200);
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("node.{name}=")));
    line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
}

/// 500 callers that say nothing or half a call, 300 clients that say nothing, and clients that are served: each call
/// still has its answer within a second (`call` asserts it), and the node stays within its descriptors.
#[test]
fn calls_are_answered_in_time_beside_a_crowd() {
    let pool = pool(&[77]);
    let (node, admin) = start_with_admin(&pool.discovery.address());
    assert!(wait_until(3.0, || call(&admin, "GET", "/-/ready").0 == 200));
    let silent: Vec<_> = (0..300).map(|_| node.connect()).collect();
    let mut idle = Vec::new();
    for at in 0..500 {
        let mut caller = TcpStream::connect(&admin).unwrap();
        if at % 2 == 0 {
            caller.write_all(b"GET /-/ready HT").unwrap();
        }
        idle.push(caller);
        if at % 25 == 0 {
            let _client = open(&node, at);
            assert_eq!(call(&admin, "GET", "/-/ready").0, 200);
            assert_eq!(figure(&admin, "hosts_known"), 1);
        }
    }
    let held = std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count();
    assert!(held <= 256, "{held} descriptors");
    for (method, place, status) in
        [("GET", "/", 404), ("POST", "/-/ready", 405), ("GET", "/-/drain", 405), ("PUT", "/-/resume", 200)]
    {
        assert_eq!(call(&admin, method, place).0, status, "{method} {place}");
    }
    drop((silent, idle));
}

#[test]
fn figures_are_what_clients_and_members_saw() {
    let pool = pool(&[77]);
    let (node, admin) = start_with_admin(&pool.discovery.address());
    assert!(wait_until(3.0, || call(&admin, "GET", "/-/ready").0 == 200));
    for what in ["served", "refused", "failed", "attempts"] {
        assert_eq!(figure(&admin, &format!("requests.chat.{what}")), 0, "there from the start");
    }
    let mut standing: Vec<_> = (0..20).map(|id| open(&node, id)).collect();
    standing.truncate(15);
    pool.members[0].refusing(true);
    let (mut refused, mut failed) = (0, 0);
    for id in 100..106 {
        let answer = exchange_line(&mut node.connect(), &format!("OPEN {id} 2 c=chat,t=acme,d=700\r\n"));
        refused += u64::from(answer.starts_with("BUSY"));
        failed += u64::from(answer.starts_with("ERR"));
    }
    pool.members[0].refusing(false);
    // One that leaves before its answer.
    pool.members[0].silent(true);
    let (before, _) = pool.members[0].attempts();
    let mut gone = node.connect();
    gone.get_mut().write_all(b"OPEN 200 2 c=chat,t=acme,d=5000\r\n").unwrap();
    assert!(wait_until(2.0, || pool.members[0].attempts().0 > before));
    assert_eq!(figure(&admin, "in_flight"), 16);
    drop(gone);
    assert!(wait_until(2.0, || figure(&admin, "in_flight") == 15));
    assert_eq!(refused + failed, 6);
    let (asked, _) = pool.members[0].attempts();
    for (name, truth) in [("served", 20), ("refused", refused), ("failed", failed), ("attempts", asked)] {
        assert_eq!(figure(&admin, &format!("requests.chat.{name}")), truth, "{name}");
    }
    node.signal("-USR1");
    let counters = node.wait_for_log("counters");
    for (name, truth) in [("served", 20), ("rejected", refused), ("failed", failed), ("attempts", asked)] {
        assert!(counters.contains(&format!(" {name}={truth} ")), "{name} {truth}: {counters}");
    }
    pool.discovery.set("s-1", &pool.members[0].address(), "Terminating");
    assert!(wait_until(2.0, || figure(&admin, "hosts_excluded") == 1 && figure(&admin, "hosts_known") == 1));
}

/// Drained under load: no yes, every standing client told to move, none cut or left within 4 s; the node stays, and
/// resumed it says yes, serves, and moves nobody.
#[test]
fn a_drained_node_moves_its_clients_stays_and_serves_again() {
    let pool = pool(&[77]);
    let (mut node, admin) = start_with_admin(&pool.discovery.address());
    assert!(wait_until(3.0, || call(&admin, "GET", "/-/ready").0 == 200));
    assert_eq!(call(&admin, "PUT", "/-/resume").0, 200, "without a drain nothing changes");
    let clients: Vec<_> = (0..40).map(|id| open(&node, id)).collect();
    let told = Instant::now();
    for _ in 0..2 {
        assert_eq!(call(&admin, "PUT", "/-/drain").0, 200);
    }
    assert_ne!(exchange_line(&mut node.connect(), "PING\r\n"), "PONG\r\n");
    assert_eq!(call(&admin, "GET", "/-/ready").0, 503);
    // The front still sends one.
    let late = open(&node, 100);
    let moved: Vec<_> = clients.into_iter().chain([late]).collect();
    let times: Vec<_> = moved
        .into_iter()
        .map(|mut client| {
            thread::spawn(move || {
                let mut rest = String::new();
                client.read_to_string(&mut rest).unwrap();
                assert_eq!(rest, "MOVE\r\n");
                told.elapsed().as_secs_f64()
            })
        })
        .map(|reader| reader.join().unwrap())
        .collect();
    assert!(times.iter().all(|at| (0.3..3.5).contains(at)), "{times:?}");
    assert_eq!(figure(&admin, "in_flight"), 0);
    assert!(node.child.try_wait().unwrap().is_none(), "it stays");
    assert_eq!(call(&admin, "PUT", "/-/resume").0, 200);
    assert_eq!(exchange_line(&mut node.connect(), "PING\r\n"), "PONG\r\n");
    let mut after = open(&node, 101);
    after.get_mut().set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    assert!(after.read_line(&mut String::new()).is_err(), "nobody moves after a resume");
    // Resumed in mid-drain, those that have not moved stay.
    assert_eq!(call(&admin, "PUT", "/-/drain").0, 200);
    assert_eq!(call(&admin, "PUT", "/-/resume").0, 200);
    thread::sleep(Duration::from_millis(3_200));
    assert_eq!(exchange_line(&mut after, "tick\r\n"), "tick\r\n");
    node.signal("-TERM");
    assert!(wait_until(1.0, || call(&admin, "GET", "/-/ready").0 == 503));
    assert_eq!(call(&admin, "PUT", "/-/resume").0, 409, "an end can't be taken back");
}

#[test]
fn a_place_that_cannot_be_had_fails_the_start_with_one_line() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    for (place, wanted) in [("nowhere", "NODE_ADMIN: 'nowhere'"), (&address, "Address already in use")] {
        let file = std::env::temp_dir().join(format!("hopmoor-admin-{}.json", std::process::id()));
        std::fs::write(&file, config("127.0.0.1:1")).unwrap();
        let mut command = hopmoor();
        let output =
            command.arg("serve").env("NODE_CONFIG", &file).env("NODE_ADMIN", place).output().unwrap();
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && error.lines().count() == 1 && error.contains(wanted), "{error}");
        let _ = std::fs::remove_file(file);
    }
}
