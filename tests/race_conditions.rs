//! Race conditions, each forced by the order of events: discovery and members send bytes, a list, an end or a
//! reset of a connection only when the test says so.
#[path = "common/node.rs"]
mod process;
#[path = "common/script.rs"]
mod script;

use process::*;
use script::{Member, RecordingMember, ScriptedDiscovery, list};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A client's first line, of request 1.
const OPEN: &str = "OPEN 1 2 c=chat,t=acme,d=5000\r\n";

/// Has the node log its counters (SIGUSR1) and returns the value of one.
fn counter(node: &Node, name: &str) -> u64 {
    node.signal("-USR1");
    let line = node.wait_for_log("when: asked");
    let value = line.split_whitespace().find_map(|field| field.strip_prefix(&format!("{name}=")));
    value.unwrap_or_else(|| panic!("no {name} in {line}")).parse().unwrap()
}

// ---- A client disconnects ----

/// Guards against a fault found by reading the code: once a client had sent 4 KiB after its first line, the
/// node stopped reading from it, missed its disconnect and sent its request to a member seconds later.
#[test]
fn the_request_of_a_disconnected_client_is_not_sent_even_if_the_client_sent_much_data() {
    let (mut discovery, member) = (ScriptedDiscovery::new(), RecordingMember::new());
    let node = start_with(&discovery.address);
    discovery.serve_first_list(&[("s-1", &member.address, "Terminating")]);
    let mut sender = node.connect().into_inner();
    sender.write_all(OPEN.as_bytes()).unwrap();
    sender.write_all(&[b'x'; 16 * 1024]).unwrap();
    drop(sender);
    let mut quiet = node.connect().into_inner();
    quiet.write_all(OPEN.replace("OPEN 1", "OPEN 2").as_bytes()).unwrap();
    drop(quiet);
    assert!(
        wait_until(5.0, || counter(&node, "asks") == 2 && counter(&node, "left") == 2),
        "the node missed a client's disconnect"
    );
    discovery.answer(&list(2, false, &[("s-1", &member.address, "Ready")]));
    assert_eq!(exchange_line(&mut node.connect(), &OPEN.replace("OPEN 1", "OPEN 3")), "UP 7\r\n");
    assert!(wait_until(6.0, || counter(&node, "held") == 0));
    let sent: Vec<_> = member.requests().into_iter().map(|(id, _)| id).collect();
    assert_eq!(sent, ["3"]);
}

/// Guards against a request that runs twice because its id comes again after its client has left (picture c of
/// issue 54).
#[test]
fn an_id_that_comes_again_after_its_client_has_left_does_not_run_twice() {
    let (mut discovery, member) = (ScriptedDiscovery::new(), Member::new());
    let unsafe_to_repeat =
        config(&discovery.address).replace(r#""effect":"free""#, r#""effect":"single_shot""#);
    let node = launch(&unsafe_to_repeat, |_| ());
    discovery.serve_first_list(&[("s-1", &member.address, "Ready")]);
    let mut leaves = node.connect().into_inner();
    leaves.write_all(OPEN.as_bytes()).unwrap();
    let mut flow = member.next_flow();
    let mut line = String::new();
    flow.read_line(&mut line).unwrap();
    assert!(line.starts_with("OPEN 1 "));
    drop(leaves);
    assert_eq!(flow.read_line(&mut line).unwrap_or(0), 0, "the node kept the flow of a client that had left");
    assert_eq!(exchange_line(&mut node.connect(), OPEN), "ERR Duplicate\r\n");
    assert!(member.accept_waiting().is_none(), "the id was sent again");
}

/// Three hundred clients wait for a member, and up to two thirds disconnect at random moments, some in the
/// very round in which the member becomes ready. Meanwhile the node is stopped and continued in turns, like a
/// process that gets a small share of a core.
#[test]
fn a_node_short_of_cpu_sends_no_requests_of_disconnected_clients() {
    let (mut discovery, member) = (ScriptedDiscovery::new(), RecordingMember::new());
    let node = launch(&config(&discovery.address).replace(r#""sockets":256"#, r#""sockets":1024"#), |_| ());
    discovery.serve_first_list(&[("s-1", &member.address, "Terminating")]);
    let mut clients: Vec<_> = (0..300)
        .map(|id| {
            let mut client = node.connect().into_inner();
            client.write_all(OPEN.replace("OPEN 1", &format!("OPEN {id}")).as_bytes()).unwrap();
            Some(client)
        })
        .collect();
    assert!(wait_until(10.0, || counter(&node, "held") == 300));
    let mut disconnected_at = vec![None; 300];
    let mut random = 7u64;
    for round in 0..20 {
        node.signal("-STOP");
        for _ in 0..10 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let id = (random >> 33) as usize % 300;
            if let Some(client) = clients[id].take() {
                drop(client);
                disconnected_at[id] = Some(Instant::now());
            }
        }
        if round == 10 {
            discovery.answer(&list(2, false, &[("s-1", &member.address, "Ready")]));
        }
        thread::yield_now();
        node.signal("-CONT");
        // Waits until the node has run again.
        counter(&node, "held");
    }
    let remaining = clients.iter().filter(|client| client.is_some()).count();
    assert!(wait_until(10.0, || counter(&node, "served") >= remaining as u64));
    let delays = member.requests().into_iter().filter_map(|(id, at)| {
        let disconnected_at = disconnected_at[id.parse::<usize>().unwrap()]?;
        at.checked_duration_since(disconnected_at)
    });
    let delays: Vec<_> = delays.collect();
    let longest = delays.iter().max().copied().unwrap_or_default();
    println!(
        "{} of {} attempts arrived after their client had disconnected, at most {longest:?} after",
        delays.len(),
        member.requests().len()
    );
    assert!(longest < Duration::from_millis(100), "{delays:?}");
}

// ---- A member times out or drains ----

/// A request of a class that may not be repeated. One of two members has received it and doesn't answer.
struct PendingRequest {
    node: Node,
    discovery: ScriptedDiscovery,
    members: [Member; 2],
    client: BufReader<TcpStream>,
    /// Index of the member that has the request.
    holder: usize,
    _flow: BufReader<TcpStream>,
}

fn pending_request() -> PendingRequest {
    let (mut discovery, members) = (ScriptedDiscovery::new(), [Member::new(), Member::new()]);
    let node = launch(
        &config(&discovery.address).replace(r#""effect":"free""#, r#""effect":"single_shot""#),
        |_| (),
    );
    discovery
        .serve_first_list(&[("s-0", &members[0].address, "Ready"), ("s-1", &members[1].address, "Ready")]);
    let mut client = node.connect();
    client.get_mut().write_all(OPEN.replace("d=5000", "d=2000").as_bytes()).unwrap();
    let mut first = None;
    assert!(wait_until(5.0, || {
        first = (0..2).find_map(|index| Some((index, members[index].accept_waiting()?)));
        first.is_some()
    }));
    let (holder, mut flow) = first.unwrap();
    let mut line = String::new();
    flow.read_line(&mut line).unwrap();
    assert!(line.starts_with("OPEN 1 "), "{line}");
    PendingRequest { node, discovery, members, client, holder, _flow: flow }
}

impl PendingRequest {
    /// Asserts that the client gets `ERR` and that the other member was not sent the request.
    fn assert_fails_without_repeat(mut self) {
        let mut answer = String::new();
        self.client.read_line(&mut answer).unwrap();
        assert!(answer.starts_with("ERR"), "{answer}");
        assert!(
            self.members[1 - self.holder].accept_waiting().is_none(),
            "the request went to the other member as well"
        );
        assert_eq!(counter(&self.node, "flows"), 1);
    }
}

/// Guards against a node that noticed a completed write only when the member's next byte arrived. It took a
/// member that had received the request but didn't answer for an unreachable one, and the request ran twice.
#[test]
fn a_request_that_a_silent_member_has_received_is_not_sent_to_another() {
    pending_request().assert_fails_without_repeat();
}

/// The same if the member starts to drain while it has the request: the flow to it goes on.
#[test]
fn a_request_that_a_draining_member_has_received_is_not_sent_to_another() {
    let mut pending = pending_request();
    let name = format!("s-{}", pending.holder);
    pending.discovery.answer(&list(
        2,
        false,
        &[(&name, &pending.members[pending.holder].address, "Terminating")],
    ));
    assert!(pending.discovery.next_request().contains("since=2"));
    pending.assert_fails_without_repeat();
}

// ---- A discovery watch breaks ----

/// Waits for the node's next call to discovery and returns how long that took. Asserts that the call
/// continues from `since`, that the node has counted at least `min_failures` failures and that it still
/// serves clients by its last good list. The client's id differs at each call: the node may not yet have
/// noticed that the previous client has disconnected, and refuses an id that is still open.
fn expect_new_call(
    discovery: &mut ScriptedDiscovery,
    node: &Node,
    since: &str,
    min_failures: u64,
) -> Duration {
    let started = Instant::now();
    let target = discovery.next_request();
    let took = started.elapsed();
    assert!(target.contains(since), "{target}");
    assert!(counter(node, "discovery_failures") >= min_failures);
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let id = format!("call{}", CALLS.fetch_add(1, Ordering::Relaxed));
    let open = OPEN.replace("OPEN 1", &format!("OPEN {id}"));
    assert_eq!(exchange_line(&mut node.connect(), &open), "UP 7\r\n");
    took
}

#[test]
fn a_silent_watch_is_reopened_before_changes_that_it_missed_count_as_told() {
    let (mut discovery, member, other) =
        (ScriptedDiscovery::new(), RecordingMember::new(), RecordingMember::new());
    let node = start_with(&discovery.address);
    discovery.serve_first_list(&[("s-1", &member.address, "Ready")]);
    // The waiting call is never answered. A change that it misses counts as told 6 s later.
    let took = expect_new_call(&mut discovery, &node, "since=1", 1);
    assert!(took < Duration::from_millis(5_500), "{took:?}");
    let hosts = [("s-1", &*member.address, "Terminating"), ("s-2", &*other.address, "Ready")];
    discovery.answer(&list(2, false, &hosts));
    assert!(discovery.next_request().contains("since=2"));
    assert_eq!(exchange_line(&mut node.connect(), &OPEN.replace("OPEN 1", "OPEN 2")), "UP 7\r\n");
    assert_eq!(other.requests().len(), 1, "the new list applies");
}

#[test]
fn a_broken_watch_is_reopened_at_once_and_the_last_good_list_stays_in_use() {
    let (mut discovery, member) = (ScriptedDiscovery::new(), RecordingMember::new());
    let node = start_with(&discovery.address);
    discovery.serve_first_list(&[("s-1", &member.address, "Ready")]);
    let newer_list = list(2, true, &[("s-1", &member.address, "Terminating")]);
    type Fault<'a> = &'a dyn Fn(&mut ScriptedDiscovery);
    let faults: [(&str, Fault); 6] = [
        ("a reset", &|discovery| discovery.reset()),
        ("a close", &|discovery| discovery.close()),
        ("a refusal", &|discovery| discovery.refuse()),
        ("a list cut in the middle", &|discovery| {
            discovery.write(&format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                newer_list.len(),
                &newer_list[..newer_list.len() / 2]
            ));
            discovery.close();
        }),
        ("half a list as a complete answer", &|discovery| {
            discovery.answer(&newer_list[..newer_list.len() / 2])
        }),
        ("an empty list", &|discovery| discovery.answer(&list(2, true, &[]))),
    ];
    let mut failures = 0;
    for (fault, inject) in faults {
        inject(&mut discovery);
        failures += 1;
        let took = expect_new_call(&mut discovery, &node, "since=1", failures);
        assert!(took < Duration::from_millis(500), "{fault}: {took:?}");
        // The first call of a watch is answered at once; the watch is established only then.
        discovery.answer(&list(1, false, &[]));
        assert!(discovery.next_request().contains("since=1"), "{fault}");
    }
}

#[test]
fn an_older_list_is_rejected_and_the_whole_list_is_requested() {
    let (mut discovery, member, other) =
        (ScriptedDiscovery::new(), RecordingMember::new(), RecordingMember::new());
    let node = start_with(&discovery.address);
    discovery.next_request();
    discovery.answer(&list(
        7,
        true,
        &[("s-1", &member.address, "Terminating"), ("s-2", &other.address, "Ready")],
    ));
    discovery.next_request();
    let older = list(6, true, &[("s-1", &member.address, "Ready")]);
    discovery.answer(&older);
    let target = discovery.next_request();
    assert!(!target.contains("since"), "{target}");
    assert_eq!(exchange_line(&mut node.connect(), OPEN), "UP 7\r\n");
    assert_eq!((member.requests().len(), other.requests().len()), (0, 1));
    assert!(node.wait_for_log("version 6 is older than 7").contains("discovery failed"));
    // Given three times in a row, the older version is accepted: discovery has restarted its count.
    discovery.answer(&older);
    discovery.next_request();
    discovery.answer(&older);
    assert!(discovery.next_request().contains("since=6"));
}

/// An answer that arrives byte by byte and never ends doesn't count as a working watch.
#[test]
fn a_list_that_never_ends_is_abandoned() {
    let (mut discovery, member) = (ScriptedDiscovery::new(), RecordingMember::new());
    let node = start_with(&discovery.address);
    discovery.serve_first_list(&[("s-1", &member.address, "Ready")]);
    discovery.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{\"seq\":2,");
    let mut trickle = discovery.take_connection();
    let writer = thread::spawn(move || {
        while trickle.write_all(b" ").is_ok() {
            thread::sleep(Duration::from_millis(50));
        }
    });
    let took = expect_new_call(&mut discovery, &node, "since=1", 1);
    assert!(took < Duration::from_millis(5_500), "{took:?}");
    writer.join().unwrap();
}

#[test]
fn a_list_with_whitespace_between_its_tokens_is_accepted() {
    let (mut discovery, member) = (ScriptedDiscovery::new(), RecordingMember::new());
    let node = start_with(&discovery.address);
    discovery.next_request();
    let body =
        list(3, true, &[("s-1", &member.address, "Ready")]).replace(',', " ,\r\n\t ").replace('{', "{\n  ");
    discovery.answer(&body);
    assert!(discovery.next_request().contains("since=3"));
    assert_eq!(exchange_line(&mut node.connect(), OPEN), "UP 7\r\n");
}

/// After SIGHUP the discovery at the new address keeps the node's first call queued for 1.8 s, behind those
/// of all other nodes. Guards against a node that gave up before its turn and called again, over and over, so
/// that it learned of no member that started to drain meanwhile.
#[test]
fn the_first_call_to_a_new_discovery_address_waits_in_the_queue() {
    let (mut discovery, mut new_discovery, member) =
        (ScriptedDiscovery::new(), ScriptedDiscovery::new(), RecordingMember::new());
    let node = start_with(&discovery.address);
    discovery.serve_first_list(&[("s-1", "127.0.0.1:9", "Ready")]);
    std::fs::write(&node.file, config(&new_discovery.address)).unwrap();
    node.signal("-HUP");
    assert!(!new_discovery.next_request().contains("since"));
    assert!(!wait_until(1.8, || new_discovery.has_new_connection()), "the node opened a second connection");
    new_discovery.answer(&list(5, true, &[("s-1", &member.address, "Ready")]));
    assert!(new_discovery.next_request().contains("since=5"));
    assert_eq!(exchange_line(&mut node.connect(), OPEN), "UP 7\r\n");
}
