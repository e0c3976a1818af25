//! One node of a fleet as its staff and its clients meet it: an upgrade is one node, a flood harms nobody, and where no
//! fleet is set there is none.
#[path = "common/node.rs"]
mod process;

use process::*;
use serde_json::{Value, json};
use std::net::{TcpListener, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

struct Folder(tempfile::TempDir);

impl Folder {
    fn new() -> Folder {
        let folder = Folder(tempfile::tempdir().unwrap());
        std::fs::write(folder.file("keys.json"), hopmoor_seal::Keys::new(1, [5; 32]).file()).unwrap();
        folder
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    /// Writes an operator's file for a node of this name, whose fleet port is this.
    fn operator(&self, name: &str, discovery: &str, port: u16, seeds: &[u16]) -> PathBuf {
        let config = config(discovery).replace("\"name\":\"n\"", &format!("\"name\":\"{name}\""));
        std::fs::write(self.file(&format!("{name}.config.json")), config).unwrap();
        let seeds: Vec<String> = seeds.iter().map(|port| format!("127.0.0.1:{port}")).collect();
        let operator = json!({
            "config": format!("{name}.config.json"), "admin": "127.0.0.1:0",
            "fleet": {"listen": format!("127.0.0.1:{port}"), "seeds": seeds, "keys": "keys.json"},
        });
        let file = self.file(&format!("{name}.json"));
        std::fs::write(&file, operator.to_string()).unwrap();
        file
    }
}

/// A port that is free for both, and that the system gives to nobody who asks for any: those of other tests beside this one
/// come from 32768 on, and one that was asked for and let go again was taken by them before the node had it.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let from = std::process::id() as u16 % 8_000;
    let free = |port: &u16| {
        UdpSocket::bind(("127.0.0.1", *port)).is_ok() && TcpListener::bind(("127.0.0.1", *port)).is_ok()
    };
    let ports = std::iter::repeat_with(|| 20_000 + (from + NEXT.fetch_add(1, Ordering::Relaxed)) % 8_000);
    ports.take(8_000).find(free).expect("a free port")
}

fn start_in(operator: &PathBuf, passed: Option<&TcpListener>) -> (Node, String) {
    let node = launch("{}", |command| {
        command.arg("--operator").arg(operator);
        if let Some(socket) = passed {
            let socket = OwnedFd::from(socket.try_clone().unwrap());
            command.stdin(Stdio::from(socket)).env("NODE_PASSED_SOCKET", "0");
        }
    });
    let line = node.logs("operators may call");
    (node, format!("127.0.0.1:{}", port(&line)))
}

fn member(admin: &str, name: &str) -> Option<Value> {
    let (status, body) = call(admin, "GET", "/-/fleet");
    let view: Value = serde_json::from_str(&body).ok().filter(|_| status == 200)?;
    view["members"].as_array()?.iter().find(|member| member["name"] == name).cloned()
}

fn is(admin: &str, name: &str, state: &str) -> bool {
    member(admin, name).is_some_and(|member| member["state"] == state)
}

/// All fields that are wrong are named at once, and no secret is.
#[test]
fn check_names_every_bad_field_of_the_fleet() {
    let folder = Folder::new();
    let operator = folder.operator("a", "127.0.0.1:1", 1, &[]);
    let check = || {
        let output = hopmoor().args(["check", "--operator"]).arg(&operator).output().unwrap();
        (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    assert_eq!(check(), (true, String::new()));
    let fleet = json!({
        "listen": "0.0.0.0:7400", "seeds": ["127.0.0.1:0", "kiln3.example.org:7400"], "keys": "keys.json",
        "zone": "z".repeat(65),
    });
    std::fs::write(folder.file("keys.json"), r#"{"seal_with":1,"keys":[{"id":1,"secret":"c2hvcnQ="}]}"#)
        .unwrap();
    std::fs::write(&operator, json!({"config": "a.config.json", "fleet": fleet}).to_string()).unwrap();
    let (good, told) = check();
    assert!(!good && !told.contains("c2hvcnQ"), "{told}");
    for field in
        ["fleet.advertise", "fleet.seeds[0]", "fleet.seeds[1]", "fleet.keys", "keys[0].secret", "fleet.zone"]
    {
        assert!(told.contains(field), "{field}: {told}");
    }
}

/// One object a line, each with node, incarnation and time.
#[test]
fn logs_are_lines_that_a_machine_reads() {
    let (site, folder) = (site(&[77]), Folder::new());
    let operator = folder.operator("a", &site.discovery.address(), free_port(), &[]);
    let node = launch("{}", |command| {
        command.args(["--log-format", "json", "--operator"]).arg(&operator);
    });
    let line: Value = serde_json::from_str(&node.logs("in a fleet")).unwrap();
    assert_eq!(line["node"], "a");
    assert_eq!(line["incarnation"], line["as"]);
    assert!(line["ts"].as_str().unwrap().ends_with('Z') && line["level"] == "INFO", "{line}");
}

#[test]
fn without_a_fleet_there_is_none() {
    let site = site(&[77]);
    let (_node, admin) = start_called(&site.discovery.address());
    assert_eq!(call(&admin, "GET", "/-/fleet").0, 404);
    assert!(!call(&admin, "GET", "/-/metrics").1.contains("fleet."));
}

#[test]
fn an_upgrade_is_one_node_to_the_others() {
    let (site, folder) = (site(&[77]), Folder::new());
    let (a, b) = (free_port(), free_port());
    let discovery = site.discovery.address();
    let (_other, sees) = start_in(&folder.operator("b", &discovery, b, &[a]), None);
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let operator = folder.operator("a", &discovery, a, &[b]);
    let (old, _) = start_in(&operator, Some(&socket));
    assert!(within(5.0, || is(&sees, "a", "alive")));
    let first = member(&sees, "a").unwrap()["incarnation"].as_u64().unwrap();
    let (new, admin) = start_in(&operator, Some(&socket));
    assert!(within(5.0, || call(&admin, "GET", "/-/ready").0 == 200));
    assert_eq!(call(&admin, "GET", "/-/fleet").0, 503, "the port is still the old one's");
    old.signal("-TERM");
    let began = Instant::now();
    let mut states = Vec::new();
    let came = within(8.0, || {
        let member = member(&sees, "a").unwrap();
        states.push(member["state"].as_str().unwrap().to_owned());
        member["incarnation"].as_u64().unwrap() > first
    });
    assert!(came, "after {:?}: {states:?}", began.elapsed());
    assert!(states.iter().all(|state| state == "alive" || state == "suspect"), "{states:?}");
    // It goes on being there, as what the new process says of itself.
    thread::sleep(Duration::from_secs(2));
    let member = member(&sees, "a").unwrap();
    assert_eq!((&member["state"], &member["ready"]), (&json!("alive"), &json!("serving")));
    assert!(is(&admin, "b", "alive"));
    drop(new);
}

fn cpu_ticks(node: &Node) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.child.id())).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

fn resident_kb(node: &Node) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// 20,000 forged datagrams a second for 4 s: clients are served in time, the view stands, memory stays, one line is logged.
#[test]
fn a_flood_of_forged_datagrams_harms_nobody() {
    let (site, folder) = (site(&[77]), Folder::new());
    let (a, b) = (free_port(), free_port());
    let discovery = site.discovery.address();
    let (node, admin) = start_in(&folder.operator("a", &discovery, a, &[b]), None);
    let (_other, other) = start_in(&folder.operator("b", &discovery, b, &[a]), None);
    assert!(within(5.0, || is(&admin, "b", "alive") && is(&other, "a", "alive")));
    let mut client = node.connect();
    assert_eq!(talk(&mut client, "OPEN 1 2 c=chat,t=acme,d=5000\r\n"), "UP 77\r\n");
    let (ticks, kilobytes) = (cpu_ticks(&node), resident_kb(&node));
    let began = Instant::now();
    let flood = thread::spawn(move || {
        let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut bytes = [9u8; 120];
        bytes[..5].copy_from_slice(&[b'd', 1, 0, 0, 0]);
        let mut sent = 0u64;
        while began.elapsed() < Duration::from_secs(4) {
            while sent < (began.elapsed().as_secs_f64() * 20_000.0) as u64 {
                bytes[5..13].copy_from_slice(&sent.to_le_bytes());
                let _ = udp.send_to(&bytes, ("127.0.0.1", a));
                sent += 1;
            }
            thread::sleep(Duration::from_millis(1));
        }
        sent
    });
    let mut slowest = Duration::ZERO;
    while !flood.is_finished() {
        let asked = Instant::now();
        assert_eq!(talk(&mut client, "tick\r\n"), "tick\r\n");
        slowest = slowest.max(asked.elapsed());
        assert!(is(&admin, "b", "alive") || is(&admin, "b", "suspect"));
        assert!(is(&other, "a", "alive") || is(&other, "a", "suspect"));
    }
    let sent = flood.join().unwrap();
    let spent = (cpu_ticks(&node) - ticks) as f64 / 100.0 / began.elapsed().as_secs_f64();
    println!(
        "{sent} datagrams; slowest line {slowest:?}; {spent:.2} of a core; {} KB more",
        resident_kb(&node) - kilobytes
    );
    assert!(sent > 20_000 && slowest < Duration::from_millis(500), "{sent} {slowest:?}");
    assert!(resident_kb(&node) < kilobytes + 4_096);
    let (_, figures) = call(&admin, "GET", "/-/metrics");
    let refused = figures.lines().find_map(|line| line.strip_prefix("fleet.refused=")).unwrap();
    assert!(refused.parse::<u64>().unwrap() > 1_000, "{figures}");
    let lines = node.log.try_iter().filter(|line| line.contains("fleet refused")).count();
    assert_eq!(lines, 1);
    assert!(within(5.0, || is(&admin, "b", "alive") && is(&other, "a", "alive")));
}

/// One voter alone: budgets and permits as operators meet them, and what is agreed outlives a killed process.
#[test]
fn a_drain_waits_for_its_budget_and_what_is_agreed_is_on_disk() {
    let (site, folder) = (site(&[77]), Folder::new());
    let operator = folder.operator("a", &site.discovery.address(), free_port(), &[]);
    let mut file: Value = serde_json::from_slice(&std::fs::read(&operator).unwrap()).unwrap();
    file["fleet"]["agree"] = json!({"voters": ["a"], "folder": "votes"});
    std::fs::write(&operator, file.to_string()).unwrap();
    let put = |admin: &str, place: &str| call(admin, "PUT", place);
    let permits =
        |admin: &str| -> Value { serde_json::from_str(&call(admin, "GET", "/-/permits").1).unwrap() };
    let (node, admin) = start_in(&operator, None);
    assert!(within(10.0, || permits(&admin)["leader"] == "a"), "{}", permits(&admin));
    assert_eq!(put(&admin, "/-/budget?most=0").0, 202);
    assert_eq!(put(&admin, "/-/budget?most=many").0, 400);
    assert!(within(5.0, || permits(&admin)["budgets"][0]["most"] == "0"), "{}", permits(&admin));
    assert_eq!(put(&admin, "/-/drain").0, 202);
    let waits = "waiting: fleet: 0 of 0 out\n";
    assert!(
        within(5.0, || put(&admin, "/-/drain") == (202, waits.to_owned())),
        "{:?}",
        put(&admin, "/-/drain")
    );
    assert_eq!(call(&admin, "GET", "/-/ready").0, 200);
    node.signal("-KILL");
    drop(node);
    let (_node, admin) = start_in(&operator, None);
    assert!(within(10.0, || permits(&admin)["leader"] == "a"), "{}", permits(&admin));
    // The budget stands; the ask of the process that is no more does not, once this one is seen serving.
    assert_eq!(permits(&admin)["budgets"][0]["most"], "0");
    assert!(within(5.0, || permits(&admin)["permits"] == json!([])), "{}", permits(&admin));
    put(&admin, "/-/budget?most=100%25");
    assert!(within(5.0, || put(&admin, "/-/drain").0 == 200), "{:?}", put(&admin, "/-/drain"));
    assert_eq!(call(&admin, "GET", "/-/ready").1.trim_end(), "not ready: draining");
    assert!(permits(&admin)["permits"][0]["permit"].as_u64().is_some());
    assert_eq!(put(&admin, "/-/resume").0, 200);
    assert!(within(5.0, || permits(&admin)["permits"] == json!([])), "{}", permits(&admin));
    assert_eq!(call(&admin, "GET", "/-/ready").0, 200);
}
