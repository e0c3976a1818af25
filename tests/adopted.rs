//! Connections that stood before the run (`at=`) among many listed hosts: the node passes on the answer of the host that holds
//! each, whatever else it does as it starts, and whenever the list comes.
#[path = "common/node.rs"]
mod node;
use hopmoor_standin::sockets::{Discovery, DiscoveryEntry, Member, ResponseBehavior, StandInRuntime};
use node::*;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Hosts that really listen; all others of a list are found at one of them.
const LISTENING: usize = 4;
/// Clients that come as the node begins to listen.
const CLIENTS: usize = 40;

/// A long list: host `h-N` listens where member `N % LISTENING` does, whose receipt is that plus 1.
struct LongList {
    runtime: StandInRuntime,
    members: Vec<Member>,
    hosts: usize,
}

impl LongList {
    fn new(hosts: usize) -> LongList {
        let runtime = StandInRuntime::new().unwrap();
        let members = (0..LISTENING).map(|at| Member::start(&runtime, at as u32 + 1).unwrap()).collect();
        LongList { runtime, members, hosts }
    }

    fn entries(&self) -> Vec<(String, DiscoveryEntry)> {
        let entry = |at: usize| {
            let dial = self.members[at % LISTENING].address();
            (format!("h-{at}"), DiscoveryEntry { dial, health: "Ready", born_ms: 0.0 })
        };
        (0..self.hosts).map(entry).collect()
    }

    fn discovery(&self) -> Discovery {
        let discovery = Discovery::start(&self.runtime).unwrap();
        discovery.set_all(&self.entries());
        discovery
    }

    /// What a node is started with: those of the hosts that `named` picks.
    fn known(&self, named: impl Fn(usize) -> bool) -> String {
        let host = |(at, (name, listed)): (usize, (String, DiscoveryEntry))| {
            named(at).then(|| {
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

/// A configuration as the platform gives it to one of 300 nodes.
fn fleet_config(discovery: &str, known: &str) -> String {
    config(discovery)
        .replace(r#"{"seq":0,"whole":true,"hosts":[]}"#, known)
        .replace(r#""sockets":256"#, r#""sockets":608"#)
        .replace(r#""settings":{"#, r#""settings":{"balancers":300,"report":{"how":"pull","fields":["x0"]},"domain":{"tellsDelay":true,"messageAimMs":[50]},"#)
        .replace(r#""caps":{"#, r#""caps":{"probing":true,"keepaliveMs":5000,"#)
}

struct Standing {
    host: usize,
    client: BufReader<TcpStream>,
}

/// Opens connections that stood at these hosts.
fn come_back(node: &Node, hosts: impl Iterator<Item = usize>) -> Vec<Standing> {
    hosts
        .map(|host| {
            let mut client = node.connect();
            let line = format!("OPEN id{host} f{host} c=chat,t=acme,d=4294967,at=h-{host}\r\n");
            client.get_mut().write_all(line.as_bytes()).unwrap();
            Standing { host, client }
        })
        .collect()
}

/// What became of them within so long: those that did not come up at the host that they named.
fn astray(standing: &mut [Standing], within: Duration) -> Vec<String> {
    let until = Instant::now() + within;
    let mut astray = Vec::new();
    for Standing { host, client } in standing {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        client.get_ref().set_read_timeout(Some(left)).unwrap();
        let mut answer = String::new();
        let read = client.read_line(&mut answer);
        if answer != format!("UP {}\r\n", *host % LISTENING + 1) {
            astray.push(format!("h-{host}: {answer:?} {:?}", read.err()));
        }
    }
    astray
}

fn all_up(standing: &mut [Standing], within: Duration) {
    let astray = astray(standing, within);
    assert!(astray.is_empty(), "{} of {}, the first {:?}", astray.len(), standing.len(), &astray[0]);
}

/// Guards against probes that take the descriptors of clients: where a node asked every listed host at once, none of the
/// connections from before came up.
#[test]
fn connections_from_before_come_up_beside_probes_of_many_hosts() {
    let list = LongList::new(800);
    let discovery = list.discovery();
    let node = launch(&fleet_config(&discovery.address(), &list.known(|_| true)), |_| ());
    let mut standing = come_back(&node, (0..CLIENTS).map(|at| at * 17));
    all_up(&mut standing, Duration::from_secs(10));
}

/// Guards against a host taken for gone because the list at hand did not name it yet: its connection was placed at another.
#[test]
fn connections_from_before_wait_for_the_list_that_names_their_host() {
    let list = LongList::new(200);
    let discovery = list.discovery();
    discovery.set_response_behavior(ResponseBehavior {
        start_delay: Duration::from_millis(1_500),
        ..ResponseBehavior::default()
    });
    let node = launch(&fleet_config(&discovery.address(), &list.known(|at| at % 2 == 0)), |_| ());
    let mut standing = come_back(&node, 0..CLIENTS);
    all_up(&mut standing, Duration::from_secs(15));
}

/// Guards against a list that is begun anew each time because it takes long: while it comes on it is read on.
#[test]
fn a_long_list_that_comes_steadily_is_taken() {
    let list = LongList::new(3_200);
    let discovery = list.discovery();
    discovery.set_response_behavior(ResponseBehavior {
        over: Duration::from_secs(4),
        ..ResponseBehavior::default()
    });
    let node = launch(&fleet_config(&discovery.address(), &list.known(|_| false)), |_| ());
    let mut standing = come_back(&node, (0..CLIENTS).map(|at| at * 79));
    all_up(&mut standing, Duration::from_secs(20));
}
