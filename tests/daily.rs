//! The node's admin interface, tested on the real process: readiness under load, metrics, drain and resume.
#[path = "common/node.rs"]
mod process;

use process::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

fn open_connection(node: &Node, id: u32) -> BufReader<TcpStream> {
    let mut client = node.connect();
    assert_eq!(exchange_line(&mut client, &format!("OPEN {id} 2 c=chat,t=acme,d=5000\r\n")), "UP 77\r\n");
    client
}

fn metric(admin: &str, name: &str) -> u64 {
    let (status, text) = call(admin, "GET", "/-/metrics");
    assert_eq!(status, 200);
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("node.{name}=")));
    line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
}

/// 500 admin connections that send nothing or half a request, 300 silent clients, and clients that are
/// served: each admin request is still answered within a second (`call` asserts that), and the node stays
/// within its 256 descriptors.
#[test]
fn admin_requests_are_answered_in_time_beside_many_idle_connections() {
    let pool = pool(&[77]);
    let (node, admin) = start_with_admin(&pool.discovery.address());
    assert!(wait_until(3.0, || call(&admin, "GET", "/-/ready").0 == 200));
    let silent: Vec<_> = (0..300).map(|_| node.connect()).collect();
    let mut idle_callers = Vec::new();
    for index in 0..500 {
        let mut caller = TcpStream::connect(&admin).unwrap();
        if index % 2 == 0 {
            caller.write_all(b"GET /-/ready HT").unwrap();
        }
        idle_callers.push(caller);
        if index % 25 == 0 {
            let _client = open_connection(&node, index);
            assert_eq!(call(&admin, "GET", "/-/ready").0, 200);
            assert_eq!(metric(&admin, "hosts_known"), 1);
        }
    }
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count();
    assert!(descriptors <= 256, "{descriptors} descriptors");
    for (method, path, status) in
        [("GET", "/", 404), ("POST", "/-/ready", 405), ("GET", "/-/drain", 405), ("PUT", "/-/resume", 200)]
    {
        assert_eq!(call(&admin, method, path).0, status, "{method} {path}");
    }
    drop((silent, idle_callers));
}

#[test]
fn metrics_match_what_clients_and_members_saw() {
    let pool = pool(&[77]);
    let (node, admin) = start_with_admin(&pool.discovery.address());
    assert!(wait_until(3.0, || call(&admin, "GET", "/-/ready").0 == 200));
    for outcome in ["served", "refused", "failed", "attempts"] {
        assert_eq!(metric(&admin, &format!("requests.chat.{outcome}")), 0, "reported as 0 from the start");
    }
    let mut open_connections: Vec<_> = (0..20).map(|id| open_connection(&node, id)).collect();
    open_connections.truncate(15);
    pool.members[0].refusing(true);
    let (mut refused, mut failed) = (0, 0);
    for id in 100..106 {
        let answer = exchange_line(&mut node.connect(), &format!("OPEN {id} 2 c=chat,t=acme,d=700\r\n"));
        refused += u64::from(answer.starts_with("BUSY"));
        failed += u64::from(answer.starts_with("ERR"));
    }
    pool.members[0].refusing(false);
    // A client that leaves before its request is answered is not counted as failed.
    pool.members[0].silent(true);
    let (attempts_before, _) = pool.members[0].attempts();
    let mut leaving = node.connect();
    leaving.get_mut().write_all(b"OPEN 200 2 c=chat,t=acme,d=5000\r\n").unwrap();
    assert!(wait_until(2.0, || pool.members[0].attempts().0 > attempts_before));
    assert_eq!(metric(&admin, "in_flight"), 16);
    drop(leaving);
    assert!(wait_until(2.0, || metric(&admin, "in_flight") == 15));
    assert_eq!(refused + failed, 6);
    let (attempts, _) = pool.members[0].attempts();
    for (name, expected) in [("served", 20), ("refused", refused), ("failed", failed), ("attempts", attempts)]
    {
        assert_eq!(metric(&admin, &format!("requests.chat.{name}")), expected, "{name}");
    }
    node.signal("-USR1");
    let counters = node.wait_for_log("counters");
    for (name, expected) in
        [("served", 20), ("rejected", refused), ("failed", failed), ("attempts", attempts)]
    {
        assert!(counters.contains(&format!(" {name}={expected} ")), "{name} {expected}: {counters}");
    }
    pool.discovery.set("s-1", &pool.members[0].address(), "Terminating");
    assert!(wait_until(2.0, || metric(&admin, "hosts_excluded") == 1 && metric(&admin, "hosts_known") == 1));
}

/// A drained node is not ready, sends `MOVE` to each of its clients within 4 s (the test allows 3.5 s) and
/// cuts none off. The process keeps running; after the resume it is ready, serves, and moves no client.
#[test]
fn a_drained_node_moves_its_clients_keeps_running_and_serves_again_after_a_resume() {
    let pool = pool(&[77]);
    let (mut node, admin) = start_with_admin(&pool.discovery.address());
    assert!(wait_until(3.0, || call(&admin, "GET", "/-/ready").0 == 200));
    assert_eq!(call(&admin, "PUT", "/-/resume").0, 200, "a resume without a drain changes nothing");
    let clients: Vec<_> = (0..40).map(|id| open_connection(&node, id)).collect();
    let drained_at = Instant::now();
    for _ in 0..2 {
        assert_eq!(call(&admin, "PUT", "/-/drain").0, 200);
    }
    assert_ne!(exchange_line(&mut node.connect(), "PING\r\n"), "PONG\r\n");
    assert_eq!(call(&admin, "GET", "/-/ready").0, 503);
    // The front still sends one new connection.
    let late_client = open_connection(&node, 100);
    let all_clients: Vec<_> = clients.into_iter().chain([late_client]).collect();
    let times: Vec<_> = all_clients
        .into_iter()
        .map(|mut client| {
            thread::spawn(move || {
                let mut rest = String::new();
                client.read_to_string(&mut rest).unwrap();
                assert_eq!(rest, "MOVE\r\n");
                drained_at.elapsed().as_secs_f64()
            })
        })
        .map(|reader| reader.join().unwrap())
        .collect();
    assert!(times.iter().all(|seconds| (0.3..3.5).contains(seconds)), "{times:?}");
    assert_eq!(metric(&admin, "in_flight"), 0);
    assert!(node.child.try_wait().unwrap().is_none(), "the node exited after the drain");
    assert_eq!(call(&admin, "PUT", "/-/resume").0, 200);
    assert_eq!(exchange_line(&mut node.connect(), "PING\r\n"), "PONG\r\n");
    let mut client_after_resume = open_connection(&node, 101);
    client_after_resume.get_mut().set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    assert!(
        client_after_resume.read_line(&mut String::new()).is_err(),
        "the node moved a client after the resume"
    );
    // After a resume in the middle of a drain, clients that have not been moved yet stay.
    assert_eq!(call(&admin, "PUT", "/-/drain").0, 200);
    assert_eq!(call(&admin, "PUT", "/-/resume").0, 200);
    thread::sleep(Duration::from_millis(3_200));
    assert_eq!(exchange_line(&mut client_after_resume, "tick\r\n"), "tick\r\n");
    node.signal("-TERM");
    assert!(wait_until(1.0, || call(&admin, "GET", "/-/ready").0 == 503));
    assert_eq!(call(&admin, "PUT", "/-/resume").0, 409, "a resume can't undo SIGTERM");
}

/// Guards against a drained node that says yes again, and holds clients for longer than the drain allows, once
/// it is told to end (review case 3).
#[test]
fn a_drained_node_that_is_told_to_end_keeps_to_its_drain() {
    let pool = pool(&[77]);
    let (mut node, admin) = start_with_admin(&pool.discovery.address());
    assert!(wait_until(3.0, || call(&admin, "GET", "/-/ready").0 == 200));
    let clients: Vec<_> = (0..40).map(|id| open_connection(&node, id)).collect();
    let drained_at = Instant::now();
    assert_eq!(call(&admin, "PUT", "/-/drain").0, 200);
    let readers: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            thread::spawn(move || {
                let mut rest = String::new();
                client.read_to_string(&mut rest).unwrap();
                (rest, drained_at.elapsed().as_secs_f64())
            })
        })
        .collect();
    // A client that sends nothing keeps the process from ending for a while.
    let _silent = node.connect();
    assert!(wait_until(3.0, || drained_at.elapsed() > Duration::from_millis(1_500)));
    node.signal("-TERM");
    node.wait_for_log("shutting down");
    assert_ne!(exchange_line(&mut node.connect(), "PING\r\n"), "PONG\r\n");
    for reader in readers {
        let (rest, seconds) = reader.join().unwrap();
        assert_eq!(rest, "MOVE\r\n");
        assert!((0.3..3.5).contains(&seconds), "{seconds} s after the drain");
    }
    assert!(node.child.wait().unwrap().success());
}

#[test]
fn an_admin_address_that_cannot_be_bound_fails_the_start_with_one_line() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    for (admin, wanted) in [("nowhere", "NODE_ADMIN: 'nowhere'"), (&address, "Address already in use")] {
        let file = std::env::temp_dir().join(format!("hopmoor-admin-{}.json", std::process::id()));
        std::fs::write(&file, config("127.0.0.1:1")).unwrap();
        let mut command = hopmoor();
        let output =
            command.arg("serve").env("NODE_CONFIG", &file).env("NODE_ADMIN", admin).output().unwrap();
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && error.lines().count() == 1 && error.contains(wanted), "{error}");
        let _ = std::fs::remove_file(file);
    }
}
