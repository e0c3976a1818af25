//! Connections that were open before the node started (`at=` names their host), among many listed hosts. The
//! node must pass on the answer of the host that holds each connection, whatever else it does while it starts
//! and whenever the list arrives.
#[path = "common/node.rs"]
mod node;
use hopmoor_standin::sockets::{Discovery, DiscoveryEntry, Member, ResponseBehavior, StandInRuntime};
use node::*;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Number of members that listen; every listed host has the address of one of them.
const LISTENING_MEMBERS: usize = 4;
/// Number of clients that connect as soon as the node listens.
const CLIENTS: usize = 40;

/// A long list of hosts. Host `h-N` has the address of member `N % LISTENING_MEMBERS`, whose receipt is that
/// index plus 1.
struct LongList {
    runtime: StandInRuntime,
    members: Vec<Member>,
    hosts: usize,
}

impl LongList {
    fn new(hosts: usize) -> LongList {
        let runtime = StandInRuntime::new().unwrap();
        let members =
            (0..LISTENING_MEMBERS).map(|index| Member::start(&runtime, index as u32 + 1).unwrap()).collect();
        LongList { runtime, members, hosts }
    }

    fn entries(&self) -> Vec<(String, DiscoveryEntry)> {
        let entry = |index: usize| {
            let dial = self.members[index % LISTENING_MEMBERS].address();
            (format!("h-{index}"), DiscoveryEntry { dial, health: "Ready", born_ms: 0.0 })
        };
        (0..self.hosts).map(entry).collect()
    }

    fn discovery(&self) -> Discovery {
        let discovery = Discovery::start(&self.runtime).unwrap();
        discovery.set_all(&self.entries());
        discovery
    }

    /// Returns a list for the setting `known`, with the hosts whose index `includes` accepts.
    fn known(&self, includes: impl Fn(usize) -> bool) -> String {
        let host = |(index, (name, listed)): (usize, (String, DiscoveryEntry))| {
            includes(index).then(|| {
                format!(
                    r#"{{"host":"{name}","dial":"{}","site":"a","block":0,"health":"Ready","share":1.0,"born_ms":0}}"#,
                    listed.dial
                )
            })
        };
        let hosts: Vec<String> = self.entries().into_iter().enumerate().filter_map(host).collect();
        format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, hosts.join(","))
    }
}

/// Returns a configuration like the one that the platform gives each of 300 nodes.
fn fleet_config(discovery: &str, known: &str) -> String {
    config(discovery)
        .replace(r#"{"seq":0,"whole":true,"hosts":[]}"#, known)
        .replace(r#""sockets":256"#, r#""sockets":608"#)
        .replace(r#""settings":{"#, r#""settings":{"balancers":300,"report":{"how":"pull","fields":["x0"]},"domain":{"tellsDelay":true,"messageAimMs":[50]},"#)
        .replace(r#""caps":{"#, r#""caps":{"probing":true,"keepaliveMs":5000,"#)
}

/// A client's connection that was open before the node started.
struct ResumedConnection {
    /// Index of the host that holds it.
    host: usize,
    client: BufReader<TcpStream>,
}

/// Connects one client for each host and resumes a connection that the host holds.
fn resume_connections(node: &Node, hosts: impl Iterator<Item = usize>) -> Vec<ResumedConnection> {
    hosts
        .map(|host| {
            let mut client = node.connect();
            let line = format!("OPEN id{host} f{host} c=chat,t=acme,d=4294967,at=h-{host}\r\n");
            client.get_mut().write_all(line.as_bytes()).unwrap();
            ResumedConnection { host, client }
        })
        .collect()
}

/// Waits up to `timeout` for the answers and returns a line for each connection that was not resumed at its
/// host.
fn not_resumed(connections: &mut [ResumedConnection], timeout: Duration) -> Vec<String> {
    let deadline = Instant::now() + timeout;
    let mut failures = Vec::new();
    for ResumedConnection { host, client } in connections {
        let remaining = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        client.get_ref().set_read_timeout(Some(remaining)).unwrap();
        let mut answer = String::new();
        let read = client.read_line(&mut answer);
        if answer != format!("UP {}\r\n", *host % LISTENING_MEMBERS + 1) {
            failures.push(format!("h-{host}: {answer:?} {:?}", read.err()));
        }
    }
    failures
}

fn assert_all_resumed(connections: &mut [ResumedConnection], timeout: Duration) {
    let failures = not_resumed(connections, timeout);
    assert!(
        failures.is_empty(),
        "{} of {} connections were not resumed, the first: {:?}",
        failures.len(),
        connections.len(),
        &failures[0]
    );
}

/// Guards against probes that use up the descriptors needed for clients: when a node probed every listed host
/// at once, none of the earlier connections was resumed.
#[test]
fn earlier_connections_are_resumed_while_many_hosts_are_probed() {
    let list = LongList::new(800);
    let discovery = list.discovery();
    let node = launch(&fleet_config(&discovery.address(), &list.known(|_| true)), |_| ());
    let mut connections = resume_connections(&node, (0..CLIENTS).map(|index| index * 17));
    assert_all_resumed(&mut connections, Duration::from_secs(10));
}

/// Guards against a host taken for gone because the current list did not name it yet: its connection was
/// placed on another host.
#[test]
fn earlier_connections_wait_for_the_list_that_names_their_host() {
    let list = LongList::new(200);
    let discovery = list.discovery();
    discovery.set_response_behavior(ResponseBehavior {
        start_delay: Duration::from_millis(1_500),
        ..ResponseBehavior::default()
    });
    let node = launch(&fleet_config(&discovery.address(), &list.known(|index| index % 2 == 0)), |_| ());
    let mut connections = resume_connections(&node, 0..CLIENTS);
    assert_all_resumed(&mut connections, Duration::from_secs(15));
}

/// Guards against a long list that is requested again each time because it takes too long. The node must read
/// on as long as bytes keep coming.
#[test]
fn a_long_list_that_arrives_steadily_is_applied() {
    let list = LongList::new(3_200);
    let discovery = list.discovery();
    discovery.set_response_behavior(ResponseBehavior {
        over: Duration::from_secs(4),
        ..ResponseBehavior::default()
    });
    let node = launch(&fleet_config(&discovery.address(), &list.known(|_| false)), |_| ());
    let mut connections = resume_connections(&node, (0..CLIENTS).map(|index| index * 79));
    assert_all_resumed(&mut connections, Duration::from_secs(20));
}
