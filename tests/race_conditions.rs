//! The instants in which something is still owed, each forced by the order of events: peers hold back or give a byte, an end, a
//! reset or a list when the test says so.
#[path = "common/node.rs"]
mod process;
#[path = "common/script.rs"]
mod script;

use process::*;
use script::{Desk, Diary, Member, list};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const OPEN: &str = "OPEN 1 2 c=chat,t=acme,d=5000\r\n";

/// A counter as the node prints it now.
fn counter(node: &Node, name: &str) -> u64 {
    node.signal("-USR1");
    let line = node.wait_for_log("when: asked");
    let value = line.split_whitespace().find_map(|field| field.strip_prefix(&format!("{name}=")));
    value.unwrap_or_else(|| panic!("no {name} in {line}")).parse().unwrap()
}

// ---- A client leaves ----

/// Seen by reading: a client that had sent 4 KiB behind its first line was read no more, so that its end went unseen and its
/// request was sent on seconds later.
#[test]
fn a_client_that_sends_much_and_goes_is_never_sent_on() {
    let (mut desk, member) = (Desk::new(), Diary::new());
    let node = start_with(&desk.address);
    desk.begin(&[("s-1", &member.address, "Terminating")]);
    let mut gone = node.connect().into_inner();
    gone.write_all(OPEN.as_bytes()).unwrap();
    gone.write_all(&[b'x'; 16 * 1024]).unwrap();
    drop(gone);
    let mut quiet = node.connect().into_inner();
    quiet.write_all(OPEN.replace("OPEN 1", "OPEN 2").as_bytes()).unwrap();
    drop(quiet);
    assert!(
        wait_until(5.0, || counter(&node, "asks") == 2 && counter(&node, "left") == 2),
        "an end went unseen"
    );
    desk.answer(&list(2, false, &[("s-1", &member.address, "Ready")]));
    assert_eq!(exchange_line(&mut node.connect(), &OPEN.replace("OPEN 1", "OPEN 3")), "UP 7\r\n");
    assert!(wait_until(6.0, || counter(&node, "held") == 0));
    let sent: Vec<_> = member.seen().into_iter().map(|(id, _)| id).collect();
    assert_eq!(sent, ["3"]);
}

/// Three hundred clients wait for a member; two in three go at drawn moments, some in the very turn in which the member comes,
/// while the node is stopped and let on in turns, as one with a small part of a core is.
#[test]
fn nothing_is_sent_on_for_clients_that_have_gone_by_a_node_that_is_short_of_time() {
    let (mut desk, member) = (Desk::new(), Diary::new());
    let node = launch(&config(&desk.address).replace(r#""sockets":256"#, r#""sockets":1024"#), |_| ());
    desk.begin(&[("s-1", &member.address, "Terminating")]);
    let mut clients: Vec<_> = (0..300)
        .map(|id| {
            let mut client = node.connect().into_inner();
            client.write_all(OPEN.replace("OPEN 1", &format!("OPEN {id}")).as_bytes()).unwrap();
            Some(client)
        })
        .collect();
    assert!(wait_until(10.0, || counter(&node, "held") == 300));
    let mut gone = vec![None; 300];
    let mut drawn = 7u64;
    for turn in 0..20 {
        node.signal("-STOP");
        for _ in 0..10 {
            drawn = drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let id = (drawn >> 33) as usize % 300;
            if let Some(client) = clients[id].take() {
                drop(client);
                gone[id] = Some(Instant::now());
            }
        }
        if turn == 10 {
            desk.answer(&list(2, false, &[("s-1", &member.address, "Ready")]));
        }
        thread::yield_now();
        node.signal("-CONT");
        // Until it has run again.
        counter(&node, "held");
    }
    let stay = clients.iter().filter(|client| client.is_some()).count();
    assert!(wait_until(10.0, || counter(&node, "served") >= stay as u64));
    let late = member.seen().into_iter().filter_map(|(id, at)| {
        let gone = gone[id.parse::<usize>().unwrap()]?;
        at.checked_duration_since(gone)
    });
    let late: Vec<_> = late.collect();
    let most = late.iter().max().copied().unwrap_or_default();
    println!(
        "{} of {} attempts came after their client had gone, the latest {most:?} after",
        late.len(),
        member.seen().len()
    );
    assert!(most < Duration::from_millis(100), "{late:?}");
}

// ---- A time-out, a drain ----

/// A request of a class that may not be repeated, in the hands of one of two members, which answers nothing.
struct Taken {
    node: Node,
    desk: Desk,
    members: [Member; 2],
    client: BufReader<TcpStream>,
    by: usize,
    _flow: BufReader<TcpStream>,
}

fn taken() -> Taken {
    let (mut desk, members) = (Desk::new(), [Member::new(), Member::new()]);
    let node =
        launch(&config(&desk.address).replace(r#""effect":"free""#, r#""effect":"single_shot""#), |_| ());
    desk.begin(&[("s-0", &members[0].address, "Ready"), ("s-1", &members[1].address, "Ready")]);
    let mut client = node.connect();
    client.get_mut().write_all(OPEN.replace("d=5000", "d=2000").as_bytes()).unwrap();
    let mut first = None;
    assert!(wait_until(5.0, || {
        first = (0..2).find_map(|at| Some((at, members[at].waiting()?)));
        first.is_some()
    }));
    let (by, mut flow) = first.unwrap();
    let mut line = String::new();
    flow.read_line(&mut line).unwrap();
    assert!(line.starts_with("OPEN 1 "), "{line}");
    Taken { node, desk, members, client, by, _flow: flow }
}

impl Taken {
    /// It has failed, and nobody else was sent it.
    fn fails(mut self) {
        let mut answer = String::new();
        self.client.read_line(&mut answer).unwrap();
        assert!(answer.starts_with("ERR"), "{answer}");
        assert!(self.members[1 - self.by].waiting().is_none(), "it went to the other as well");
        assert_eq!(counter(&self.node, "flows"), 1);
    }
}

/// Guards against a node that hears of what it has written only with the next byte: a member that takes a request and
/// answers nothing passed for one that could not be reached, and the request ran twice.
#[test]
fn what_a_silent_member_has_taken_is_not_sent_on_to_another() {
    taken().fails();
}

/// The same where the member is told to drain with the request in its hands: that flow goes on.
#[test]
fn what_a_draining_member_has_taken_is_not_sent_on_to_another() {
    let mut taken = taken();
    let name = format!("s-{}", taken.by);
    taken.desk.answer(&list(2, false, &[(&name, &taken.members[taken.by].address, "Terminating")]));
    assert!(taken.desk.call().contains("since=2"));
    taken.fails();
}

// ---- A watch dies ----

/// The node calls anew; says how long after. The last good list stands, and the change that was missed is heard.
fn calls_anew(desk: &mut Desk, node: &Node, since: &str, least: u64) -> Duration {
    let began = Instant::now();
    let target = desk.call();
    let took = began.elapsed();
    assert!(target.contains(since), "{target}");
    assert!(counter(node, "discovery_failures") >= least);
    assert_eq!(exchange_line(&mut node.connect(), OPEN), "UP 7\r\n");
    took
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_before_its_changes_count_as_told() {
    let (mut desk, member, other) = (Desk::new(), Diary::new(), Diary::new());
    let node = start_with(&desk.address);
    desk.begin(&[("s-1", &member.address, "Ready")]);
    // The call that waits is never answered: what it misses counts as told 6 s after.
    let took = calls_anew(&mut desk, &node, "since=1", 1);
    assert!(took < Duration::from_millis(5_500), "{took:?}");
    let hosts = [("s-1", &*member.address, "Terminating"), ("s-2", &*other.address, "Ready")];
    desk.answer(&list(2, false, &hosts));
    assert!(desk.call().contains("since=2"));
    assert_eq!(exchange_line(&mut node.connect(), &OPEN.replace("OPEN 1", "OPEN 2")), "UP 7\r\n");
    assert_eq!(other.seen().len(), 1, "the new list holds");
}

#[test]
fn a_watch_that_breaks_is_opened_anew_at_once_and_the_last_good_list_stands() {
    let (mut desk, member) = (Desk::new(), Diary::new());
    let node = start_with(&desk.address);
    desk.begin(&[("s-1", &member.address, "Ready")]);
    let cut = list(2, true, &[("s-1", &member.address, "Terminating")]);
    type Spoil<'a> = &'a dyn Fn(&mut Desk);
    let spoilt: [(&str, Spoil); 6] = [
        ("a reset", &|desk| desk.reset()),
        ("an end", &|desk| desk.close()),
        ("a refusal", &|desk| desk.refuse()),
        ("a list cut in the middle", &|desk| {
            desk.write(&format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                cut.len(),
                &cut[..cut.len() / 2]
            ));
            desk.close();
        }),
        ("half a list as a whole answer", &|desk| desk.answer(&cut[..cut.len() / 2])),
        ("a list of nobody", &|desk| desk.answer(&list(2, true, &[]))),
    ];
    let mut failures = 0;
    for (what, spoil) in spoilt {
        spoil(&mut desk);
        failures += 1;
        let took = calls_anew(&mut desk, &node, "since=1", failures);
        assert!(took < Duration::from_millis(500), "{what}: {took:?}");
        // The call that begins a watch is answered at once; only then it stands.
        desk.answer(&list(1, false, &[]));
        assert!(desk.call().contains("since=1"), "{what}");
    }
}

#[test]
fn an_older_list_brings_nobody_back_and_the_whole_one_is_asked_for() {
    let (mut desk, member, other) = (Desk::new(), Diary::new(), Diary::new());
    let node = start_with(&desk.address);
    desk.call();
    desk.answer(&list(7, true, &[("s-1", &member.address, "Terminating"), ("s-2", &other.address, "Ready")]));
    desk.call();
    let older = list(6, true, &[("s-1", &member.address, "Ready")]);
    desk.answer(&older);
    let target = desk.call();
    assert!(!target.contains("since"), "{target}");
    assert_eq!(exchange_line(&mut node.connect(), OPEN), "UP 7\r\n");
    assert_eq!((member.seen().len(), other.seen().len()), (0, 1));
    assert!(node.wait_for_log("version 6 is older than 7").contains("discovery failed"));
    // It says so twice more: discovery counts anew.
    desk.answer(&older);
    desk.call();
    desk.answer(&older);
    assert!(desk.call().contains("since=6"));
}

/// An answer that never ends, byte by byte, is no watch.
#[test]
fn a_list_that_never_ends_is_given_up() {
    let (mut desk, member) = (Desk::new(), Diary::new());
    let node = start_with(&desk.address);
    desk.begin(&[("s-1", &member.address, "Ready")]);
    desk.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{\"seq\":2,");
    let mut trickle = desk.hold();
    let writer = thread::spawn(move || {
        while trickle.write_all(b" ").is_ok() {
            thread::sleep(Duration::from_millis(50));
        }
    });
    let took = calls_anew(&mut desk, &node, "since=1", 1);
    assert!(took < Duration::from_millis(5_500), "{took:?}");
    writer.join().unwrap();
}

#[test]
fn indented_lists_are_lists() {
    let (mut desk, member) = (Desk::new(), Diary::new());
    let node = start_with(&desk.address);
    desk.call();
    let body =
        list(3, true, &[("s-1", &member.address, "Ready")]).replace(',', " ,\r\n\t ").replace('{', "{\n  ");
    desk.answer(&body);
    assert!(desk.call().contains("since=3"));
    assert_eq!(exchange_line(&mut node.connect(), OPEN), "UP 7\r\n");
}

/// After SIGHUP the new address keeps the first call in line for 1.8 s, among those of all other nodes. Guards against a node
/// that gives it up before its turn and calls again, for nobody, again and again: members drained meanwhile unheard.
#[test]
fn the_first_call_at_a_new_address_is_waited_for_in_line() {
    let (mut desk, mut other, member) = (Desk::new(), Desk::new(), Diary::new());
    let node = start_with(&desk.address);
    desk.begin(&[("s-1", "127.0.0.1:9", "Ready")]);
    std::fs::write(&node.file, config(&other.address)).unwrap();
    node.signal("-HUP");
    assert!(!other.call().contains("since"));
    assert!(!wait_until(1.8, || other.is_called()), "it called once more");
    other.answer(&list(5, true, &[("s-1", &member.address, "Ready")]));
    assert!(other.call().contains("since=5"));
    assert_eq!(exchange_line(&mut node.connect(), OPEN), "UP 7\r\n");
}
