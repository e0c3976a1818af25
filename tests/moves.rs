//! Moves of clients whose member is in the middle of a line, on the real process: a client gets the lines that
//! its member wrote and `MOVE`, whatever the reason of the move and wherever the line is cut.
#[path = "common/node.rs"]
mod process;
#[path = "common/script.rs"]
mod script;

use process::*;
use script::{Member, ScriptedDiscovery, list, read_rest};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Lines of a member, each cut in two: in its text, within its line end, and within a `MOVE` of its own.
const CUT_LINES: [(&str, &str); 3] = [("SLOTS 1,2", ",3,4\r\n"), ("SLOTS 1,2\r", "\n"), ("MO", "VE\r\n")];
/// Time between the two parts of a line. A line may be held back for a second.
const PAUSE: Duration = Duration::from_millis(500);

/// What makes the node move its clients.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reason {
    NodeDrains,
    NodeEnds,
    MemberDrains,
    MemberGone,
}

/// A node with one client at a scripted member for each of [`CUT_LINES`].
struct Fixture {
    node: Node,
    admin: String,
    discovery: ScriptedDiscovery,
    member: Member,
    clients: Vec<BufReader<TcpStream>>,
    flows: Vec<BufReader<TcpStream>>,
}

impl Fixture {
    /// Connects the clients; the member then writes the first part of each line.
    fn start() -> Fixture {
        let (mut discovery, member) = (ScriptedDiscovery::new(), Member::new());
        let (node, admin) = start_with_admin(&discovery.address);
        discovery.serve_first_list(&[("s-1", &member.address, "Ready")]);
        let (mut clients, mut flows) = (Vec::new(), Vec::new());
        for (id, (first, _)) in CUT_LINES.iter().enumerate() {
            let mut client = node.connect();
            let request = format!("OPEN {id} 2 c=chat,t=acme,d=5000\r\n");
            client.get_mut().write_all(request.as_bytes()).unwrap();
            let mut flow = member.next_flow();
            let mut line = String::new();
            flow.read_line(&mut line).unwrap();
            write!(flow.get_mut(), "UP 7\r\n").unwrap();
            line.clear();
            client.read_line(&mut line).unwrap();
            assert_eq!(line, "UP 7\r\n");
            flow.get_mut().write_all(first.as_bytes()).unwrap();
            clients.push(client);
            flows.push(flow);
        }
        Fixture { node, admin, discovery, member, clients, flows }
    }

    /// Gives the reason for the moves.
    fn give(&mut self, reason: Reason) {
        match reason {
            Reason::NodeDrains => assert_eq!(call(&self.admin, "PUT", "/-/drain").0, 200),
            Reason::NodeEnds => self.node.signal("-TERM"),
            Reason::MemberDrains => self.change_member("Terminating"),
            Reason::MemberGone => self.change_member("Gone"),
        }
    }

    /// Waits until the node has decided to move the next client. It moves them in the order of their arrival.
    fn wait_for_move(&self) {
        self.node.wait_for_log("client moved");
    }

    fn change_member(&mut self, health: &str) {
        self.discovery.answer(&list(2, false, &[("s-1", &self.member.address, health)]));
    }
}

/// A drain of the node may take 4 s; the settings' longest deadline and 0.7 s pass before a node that ends is
/// killed, 3.7 s here. Members that drain have no bound of their own.
fn assert_in_time(reason: Reason, started: Instant) {
    let bound = match reason {
        Reason::NodeDrains => 4.0,
        Reason::NodeEnds => 3.7,
        Reason::MemberDrains | Reason::MemberGone => 7.0,
    };
    assert!(started.elapsed().as_secs_f64() < bound, "{reason:?}: {:?}", started.elapsed());
}

/// Guards against half a line that the node ends itself when it moves a client (review case 6): it waited for
/// 300 ms and then wrote the line end in the member's place.
#[test]
fn a_move_waits_for_the_rest_of_a_line_and_relays_it_whole() {
    for reason in [Reason::NodeDrains, Reason::MemberDrains] {
        let mut fixture = Fixture::start();
        let started = Instant::now();
        fixture.give(reason);
        for (index, (first, rest)) in CUT_LINES.into_iter().enumerate() {
            fixture.wait_for_move();
            let moved = Instant::now();
            assert!(wait_until(2.0, || moved.elapsed() > PAUSE));
            // A node that has closed the flow fails the next assertion.
            let _ = fixture.flows[index].get_mut().write_all(rest.as_bytes());
            assert_eq!(
                read_rest(&mut fixture.clients[index]),
                format!("{first}{rest}MOVE\r\n"),
                "{reason:?}"
            );
        }
        assert_in_time(reason, started);
    }
}

/// Guards against half a line that the node ends itself when the rest never comes (review case 6): the half is
/// withheld, and `MOVE` still comes in time, between two lines.
#[test]
fn a_move_never_ends_a_line_whose_rest_does_not_come() {
    for reason in [Reason::NodeDrains, Reason::NodeEnds, Reason::MemberDrains, Reason::MemberGone] {
        let mut fixture = Fixture::start();
        let started = Instant::now();
        fixture.give(reason);
        for client in &mut fixture.clients {
            assert_eq!(read_rest(client), "MOVE\r\n", "{reason:?}");
        }
        assert_in_time(reason, started);
    }
}

/// Guards against half a line that the node ends itself when the member's connection ends within it while the
/// client is being moved (review case 6).
#[test]
fn a_member_that_ends_within_a_line_during_a_move_leaves_no_half_line() {
    for reset in [false, true] {
        let mut fixture = Fixture::start();
        fixture.give(Reason::MemberGone);
        for flow in fixture.flows.drain(..) {
            fixture.node.wait_for_log("client moved");
            if reset {
                script::reset(flow.into_inner());
            }
        }
        for client in &mut fixture.clients {
            assert_eq!(read_rest(client), "MOVE\r\n");
        }
    }
}
