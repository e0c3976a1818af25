//! A node that starts while discovery is slow: to which members it may send by the list that it was started
//! with (`known`) and by answers that arrive late or cut off.
#[path = "common/node.rs"]
mod node;
#[path = "common/script.rs"]
mod script;
use hopmoor_standin::sockets::{Member, StandInRuntime};
use node::*;
use script::ScriptedDiscovery;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

/// Starts a discovery that answers one request with `list` after `delay`, and returns its address.
fn slow_discovery(delay: Duration, list: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        thread::sleep(delay);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
        stream.write_all((head + &list).as_bytes()).unwrap();
        // Keeps the connection open until the test ends.
        let _ = stream.read_to_end(&mut Vec::new());
    });
    address
}

/// Returns a whole list in discovery's JSON format with one ready host.
fn list(seq: u32, name: &str, dial: &str) -> String {
    format!(
        r#"{{"seq":{seq},"whole":true,"hosts":[{{"host":"{name}","dial":"{dial}","site":"a","block":0,"health":"Ready","share":1.0,"born_ms":0}}]}}"#
    )
}

/// Guards against a node that sends requests by the list it was started with while its first call waits in
/// discovery's queue. That list may be of any age, and a change counts as told 6 s after discovery had it,
/// also for a node that has just started.
#[test]
fn a_new_node_sends_nothing_by_its_known_list_while_its_first_call_is_queued() {
    let runtime = StandInRuntime::new().unwrap();
    let gone = Member::start(&runtime, 1).unwrap();
    let serving = Member::start(&runtime, 2).unwrap();
    let discovery = slow_discovery(Duration::from_millis(2_400), list(7, "s-serves", &serving.address()));
    let known = list(1, "s-gone", &gone.address());
    let config = config(&discovery).replace(r#"{"seq":0,"whole":true,"hosts":[]}"#, &known);
    let node = launch(&config, |_| ());
    let answer = exchange_line(&mut node.connect(), "OPEN 1 f c=chat,t=acme,d=6000\r\n");
    assert_eq!(gone.attempts().0, 0, "a request was sent to a member that is gone");
    assert_eq!(answer, "UP 2\r\n");
}

/// Guards against requests sent by an old list after a newer answer was cut off on its way. Discovery wrote
/// that the member is gone, and what it writes counts as told.
#[test]
fn nothing_is_sent_by_the_old_list_after_a_newer_answer_was_cut_off() {
    let runtime = StandInRuntime::new().unwrap();
    let gone = Member::start(&runtime, 1).unwrap();
    let whole = list(7, "s-gone", &gone.address());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (written, is_written) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let head = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        stream.write_all((head(&whole) + &whole).as_bytes()).unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        let change = whole.replace(r#""seq":7"#, r#""seq":8"#).replace("Ready", "Gone");
        stream.write_all((head(&change) + &change[..change.len() / 2]).as_bytes()).unwrap();
        drop(stream);
        written.send(std::time::Instant::now()).unwrap();
        // Later connections are accepted and not answered.
        let _connections: Vec<_> = listener.incoming().collect();
    });
    let node = launch(&config(&address), |_| ());
    let until = is_written.recv_timeout(Duration::from_secs(10)).unwrap() + Duration::from_millis(800);
    assert!(wait_until(2.0, || std::time::Instant::now() > until));
    let before = gone.attempts().0;
    let answer = exchange_line(&mut node.connect(), "OPEN 1 f c=chat,t=acme,d=1500\r\n");
    assert_eq!((gone.attempts().0 - before, answer.starts_with("BUSY")), (0, true), "{answer}");
}

/// Guards against a late answer that counts as current when it arrives, although the list changed while it
/// was on its way. What discovery has counts as told 6 s later, so nothing may be sent by the old list from
/// 6.75 s on, whatever else fails then.
#[test]
fn a_late_answer_counts_as_old_as_the_call_that_it_answers() {
    let runtime = StandInRuntime::new().unwrap();
    let gone = Member::start(&runtime, 1).unwrap();
    let whole = list(7, "s-gone", &gone.address());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (called, is_called) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        stream.write_all(answer(&whole).as_bytes()).unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        // The member is gone right after this. The answer, which doesn't say so, comes as late as the node
        // allows.
        called.send(std::time::Instant::now()).unwrap();
        thread::sleep(Duration::from_millis(2_850));
        stream.write_all(answer(r#"{"seq":7,"whole":false,"hosts":[]}"#).as_bytes()).unwrap();
        // Later connections are accepted and not answered.
        let _connections: Vec<_> = listener.incoming().collect();
    });
    let node = launch(&config(&address), |_| ());
    let until = is_called.recv_timeout(Duration::from_secs(10)).unwrap() + Duration::from_millis(6_850);
    assert!(wait_until(10.0, || std::time::Instant::now() > until));
    let before = gone.attempts().0;
    let answer = exchange_line(&mut node.connect(), "OPEN 1 f c=chat,t=acme,d=1500\r\n");
    assert_eq!((gone.attempts().0 - before, answer.starts_with("BUSY")), (0, true), "{answer}");
}

/// Guards against requests sent by an old list for as long as discovery is down, after a newer answer was cut
/// off by its end (review case 2). The calls that were refused renewed the lease that the lost answer had
/// ended.
#[test]
fn nothing_is_sent_by_the_old_list_while_discovery_refuses_after_an_answer_was_cut_off() {
    let runtime = StandInRuntime::new().unwrap();
    let drains = Member::start(&runtime, 1).unwrap();
    let mut discovery = ScriptedDiscovery::new();
    let node = launch(&config(&discovery.address), |_| ());
    let name = "s-drains";
    discovery.serve_first_list(&[(name, &drains.address(), "Ready")]);
    assert_eq!(exchange_line(&mut node.connect(), "OPEN 1 f c=chat,t=acme,d=1500\r\n"), "UP 1\r\n");
    let change = script::list(2, false, &[(name, &drains.address(), "Terminating")]);
    let half = &change[..change.len() / 2];
    discovery.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{half}", change.len()));
    let address = discovery.address.clone();
    discovery.reset();
    drop(discovery);
    let written = std::time::Instant::now();
    // Longer than the grace, and than a refused call takes to renew the lease.
    assert!(wait_until(3.0, || written.elapsed() > Duration::from_millis(1_200)));
    let before = drains.attempts().0;
    let answer = exchange_line(&mut node.connect(), "OPEN 2 f c=chat,t=acme,d=1500\r\n");
    assert_eq!((drains.attempts().0 - before, answer.starts_with("BUSY")), (0, true), "{answer}");
    // The answer that holds the change ends this, at once.
    let mut discovery = ScriptedDiscovery::at(&address);
    let other = Member::start(&runtime, 3).unwrap();
    discovery.next_request();
    let hosts = [(name, &*drains.address(), "Terminating"), ("s-serves", &*other.address(), "Ready")];
    discovery.answer(&script::list(2, true, &hosts));
    assert_eq!(exchange_line(&mut node.connect(), "OPEN 3 f c=chat,t=acme,d=1500\r\n"), "UP 3\r\n");
}

/// Starts a node whose discovery has listed one member, and has served a request there.
fn node_with_member(member: &Member) -> (Node, ScriptedDiscovery) {
    let mut discovery = ScriptedDiscovery::new();
    let node = launch(&config(&discovery.address), |_| ());
    discovery.serve_first_list(&[("s-1", &member.address(), "Ready")]);
    assert!(request_answer(&node).starts_with("UP"));
    (node, discovery)
}

/// Sends a request with an id of its own and returns its answer.
fn request_answer(node: &Node) -> String {
    static REQUESTS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let number = REQUESTS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    exchange_line(&mut node.connect(), &format!("OPEN r{number} f c=chat,t=acme,d=400\r\n"))
}

/// Guards against sending by a superseded list after any failure of a call that follows a lost answer: only a
/// whole answer brings the changes that were lost (review case 2).
#[test]
fn no_failed_call_undoes_a_lost_answer() {
    let runtime = StandInRuntime::new().unwrap();
    let member = Member::start(&runtime, 1).unwrap();
    let (node, mut discovery) = node_with_member(&member);
    discovery.write("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n{\"seq\":2,");
    discovery.reset();
    let lost = std::time::Instant::now();
    type Fault<'a> = &'a dyn Fn(&mut ScriptedDiscovery);
    let faults: [(&str, Fault); 6] = [
        ("a refusal", &|discovery| discovery.refuse()),
        ("a reset before the first byte", &|discovery| discovery.reset()),
        ("a close", &|discovery| discovery.close()),
        ("a refusal cut off", &|discovery| {
            discovery.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 20\r\n\r\n");
            discovery.reset();
        }),
        ("an answer that is no list", &|discovery| discovery.answer("{}")),
        ("an empty list", &|discovery| discovery.answer(&script::list(3, true, &[]))),
    ];
    for (fault, inject) in faults {
        discovery.next_request();
        inject(&mut discovery);
        assert!(wait_until(3.0, || lost.elapsed() > Duration::from_millis(800)));
        let before = member.attempts().0;
        let answer = request_answer(&node);
        assert!(answer.starts_with("BUSY") && member.attempts().0 == before, "after {fault}: {answer}");
    }
    discovery.next_request();
    discovery.answer(&script::list(2, true, &[("s-1", &member.address(), "Ready")]));
    assert!(wait_until(3.0, || request_answer(&node).starts_with("UP")));
}

/// Guards against an outage's worth of requests turned away for an answer that could hold no change: a
/// refusal that was cut off.
#[test]
fn a_refusal_that_is_cut_off_loses_no_change() {
    let runtime = StandInRuntime::new().unwrap();
    let member = Member::start(&runtime, 1).unwrap();
    let (node, mut discovery) = node_with_member(&member);
    discovery.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 20\r\n\r\n");
    discovery.reset();
    drop(discovery);
    let began = std::time::Instant::now();
    assert!(wait_until(3.0, || began.elapsed() > Duration::from_millis(1_200)));
    let answer = request_answer(&node);
    assert!(answer.starts_with("UP"), "{answer}");
}

/// How a discovery fails its calls.
#[derive(Clone, Copy, Debug)]
enum Failing {
    /// It answers each call with 503 at once.
    Refusing,
    /// It resets each connection once it has read the call.
    Resetting,
    /// It closes each connection once it has read the call.
    Closing,
    /// It handles calls in turn, and answers a call with 503 once it has waited in line for 2 s.
    CrowdedRefusing,
    /// The same, but the call that has waited for too long is reset.
    CrowdedResetting,
}

impl Failing {
    /// How long a call waits before it fails.
    fn wait(self) -> Duration {
        match self {
            Failing::CrowdedRefusing | Failing::CrowdedResetting => Duration::from_secs(2),
            _ => Duration::ZERO,
        }
    }
}

/// A discovery that fails all calls until it is stopped.
struct FailingDiscovery {
    stop: std::sync::mpsc::Sender<()>,
    thread: thread::JoinHandle<ScriptedDiscovery>,
}

impl FailingDiscovery {
    fn start(mut discovery: ScriptedDiscovery, failing: Failing) -> FailingDiscovery {
        let (stop, stopped) = std::sync::mpsc::channel();
        let thread = thread::spawn(move || {
            // The call under way when the trouble begins waits like the others.
            while stopped.recv_timeout(failing.wait()) == Err(std::sync::mpsc::RecvTimeoutError::Timeout) {
                match failing {
                    Failing::Refusing | Failing::CrowdedRefusing => discovery.refuse(),
                    Failing::Resetting | Failing::CrowdedResetting => discovery.reset(),
                    Failing::Closing => discovery.close(),
                }
                discovery.next_request();
            }
            discovery
        });
        FailingDiscovery { stop, thread }
    }

    /// Stops failing and returns the discovery, with a call that is not answered yet.
    fn stop(self) -> ScriptedDiscovery {
        self.stop.send(()).unwrap();
        self.thread.join().unwrap()
    }
}

/// Guards against requests to members that drain for as long as discovery has too many callers (review case
/// 9): a refusal that came after a wait in line was taken for an outage and renewed the lease on the list.
#[test]
fn nothing_is_sent_by_an_old_list_while_discovery_is_crowded() {
    for failing in [Failing::CrowdedRefusing, Failing::CrowdedResetting] {
        let runtime = StandInRuntime::new().unwrap();
        let drains = Member::start(&runtime, 1).unwrap();
        let (node, discovery) = node_with_member(&drains);
        // The member drains from now on, which no call of the node brings it.
        let changed = std::time::Instant::now();
        let discovery = FailingDiscovery::start(discovery, failing);
        // A change counts as told 6 s later, and the settings allow 0.75 s more.
        assert!(wait_until(10.0, || changed.elapsed() > Duration::from_millis(6_800)));
        let before = drains.attempts().0;
        while changed.elapsed() < Duration::from_secs(10) {
            let answer = request_answer(&node);
            let sent = drains.attempts().0 - before;
            assert_eq!((sent, answer.starts_with("BUSY")), (0, true), "{failing:?}: {answer}");
        }
        let mut discovery = discovery.stop();
        discovery.answer(&script::list(2, true, &[("s-1", &drains.address(), "Ready")]));
        assert!(wait_until(3.0, || request_answer(&node).starts_with("UP")));
    }
}

/// Guards against an outage's worth of requests turned away (the lease renewed by nothing cost herd+vast 0.61
/// to 0.44): while discovery is down, and no answer was on its way, the list stays in use.
#[test]
fn all_requests_are_served_in_a_plain_outage_of_discovery() {
    assert_served(Duration::from_secs(8), drop);
    for failing in [Failing::Refusing, Failing::Resetting, Failing::Closing] {
        assert_served(Duration::from_secs(8), |discovery| FailingDiscovery::start(discovery, failing));
    }
}

/// Sends ten requests a second during an outage that `begin` begins; each must be served.
fn assert_served<Outage>(outage: Duration, begin: impl Fn(ScriptedDiscovery) -> Outage) {
    let runtime = StandInRuntime::new().unwrap();
    let member = Member::start(&runtime, 1).unwrap();
    let (node, discovery) = node_with_member(&member);
    let _outage = begin(discovery);
    let began = std::time::Instant::now();
    let mut requests = 0;
    while began.elapsed() < outage {
        requests += 1;
        assert!(wait_until(1.0, || began.elapsed() > Duration::from_millis(100) * requests));
        let answer = request_answer(&node);
        assert!(answer.starts_with("UP"), "{:?} after the start: {answer}", began.elapsed());
    }
}
