//! A fleet of one or two real processes, as operators and clients see it.
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

    /// Writes the operator file of a node with this name, fleet port and seeds.
    fn operator_file(&self, name: &str, discovery: &str, port: u16, seeds: &[u16]) -> PathBuf {
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

/// Returns a port that is free for both UDP and TCP. It lies below 32768, where the system takes the ports
/// for callers that ask for any: a port from there, freed for the node to bind, was sometimes taken by
/// another test first.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let offset = std::process::id() as u16 % 8_000;
    let free = |port: &u16| {
        UdpSocket::bind(("127.0.0.1", *port)).is_ok() && TcpListener::bind(("127.0.0.1", *port)).is_ok()
    };
    let ports = std::iter::repeat_with(|| 20_000 + (offset + NEXT.fetch_add(1, Ordering::Relaxed)) % 8_000);
    ports.take(8_000).find(free).expect("a free port")
}

fn start_with(operator: &PathBuf, inherited: Option<&TcpListener>) -> (Node, String) {
    let node = launch("{}", |command| {
        command.arg("--operator").arg(operator);
        if let Some(socket) = inherited {
            let socket = OwnedFd::from(socket.try_clone().unwrap());
            command.stdin(Stdio::from(socket)).env("NODE_PASSED_SOCKET", "0");
        }
    });
    let line = node.wait_for_log("operators may call");
    (node, format!("127.0.0.1:{}", port(&line)))
}

fn member(admin: &str, name: &str) -> Option<Value> {
    let (status, body) = call(admin, "GET", "/-/fleet");
    let view: Value = serde_json::from_str(&body).ok().filter(|_| status == 200)?;
    view["members"].as_array()?.iter().find(|member| member["name"] == name).cloned()
}

fn has_state(admin: &str, name: &str, state: &str) -> bool {
    member(admin, name).is_some_and(|member| member["state"] == state)
}

/// `check` reports all invalid fields at once, and no secret.
#[test]
fn check_names_every_bad_field_of_the_fleet() {
    let folder = Folder::new();
    let operator = folder.operator_file("a", "127.0.0.1:1", 1, &[]);
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
    let (valid, errors) = check();
    assert!(!valid && !errors.contains("c2hvcnQ"), "{errors}");
    for field in
        ["fleet.advertise", "fleet.seeds[0]", "fleet.seeds[1]", "fleet.keys", "keys[0].secret", "fleet.zone"]
    {
        assert!(errors.contains(field), "{field}: {errors}");
    }
}

/// With `--log-format json` each line is one object with the node, its incarnation and the time.
#[test]
fn json_log_lines_carry_node_incarnation_and_time() {
    let (pool, folder) = (pool(&[77]), Folder::new());
    let operator = folder.operator_file("a", &pool.discovery.address(), free_port(), &[]);
    let node = launch("{}", |command| {
        command.args(["--log-format", "json", "--operator"]).arg(&operator);
    });
    let line: Value = serde_json::from_str(&node.wait_for_log("in a fleet")).unwrap();
    assert_eq!(line["node"], "a");
    assert_eq!(line["incarnation"], line["as"]);
    assert!(line["ts"].as_str().unwrap().ends_with('Z') && line["level"] == "INFO", "{line}");
}

#[test]
fn without_the_fleet_setting_there_is_no_fleet_endpoint() {
    let pool = pool(&[77]);
    let (_node, admin) = start_with_admin(&pool.discovery.address());
    assert_eq!(call(&admin, "GET", "/-/fleet").0, 404);
    assert!(!call(&admin, "GET", "/-/metrics").1.contains("fleet."));
}

#[test]
fn an_upgrade_appears_as_one_node_to_the_others() {
    let (pool, folder) = (pool(&[77]), Folder::new());
    let (a, b) = (free_port(), free_port());
    let discovery = pool.discovery.address();
    let (_other, observer) = start_with(&folder.operator_file("b", &discovery, b, &[a]), None);
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let operator = folder.operator_file("a", &discovery, a, &[b]);
    let (old, _) = start_with(&operator, Some(&socket));
    assert!(wait_until(5.0, || has_state(&observer, "a", "alive")));
    let first = member(&observer, "a").unwrap()["incarnation"].as_u64().unwrap();
    let (new, admin) = start_with(&operator, Some(&socket));
    assert!(wait_until(5.0, || call(&admin, "GET", "/-/ready").0 == 200));
    assert_eq!(call(&admin, "GET", "/-/fleet").0, 503, "the old process still holds the port");
    old.signal("-TERM");
    let started = Instant::now();
    let mut states = Vec::new();
    let replaced = wait_until(8.0, || {
        let member = member(&observer, "a").unwrap();
        states.push(member["state"].as_str().unwrap().to_owned());
        member["incarnation"].as_u64().unwrap() > first
    });
    assert!(replaced, "after {:?}: {states:?}", started.elapsed());
    assert!(states.iter().all(|state| state == "alive" || state == "suspect"), "{states:?}");
    // It is still up, now with the info that the new process announces.
    thread::sleep(Duration::from_secs(2));
    let member = member(&observer, "a").unwrap();
    assert_eq!((&member["state"], &member["ready"]), (&json!("alive"), &json!("serving")));
    assert!(has_state(&admin, "b", "alive"));
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

/// Sends 20,000 forged datagrams a second for 4 s. Clients must be served in time, the views stay, memory
/// must not grow, and one line is logged.
#[test]
fn a_flood_of_forged_datagrams_disturbs_neither_clients_nor_the_view() {
    let (pool, folder) = (pool(&[77]), Folder::new());
    let (a, b) = (free_port(), free_port());
    let discovery = pool.discovery.address();
    let (node, admin) = start_with(&folder.operator_file("a", &discovery, a, &[b]), None);
    let (_other, other) = start_with(&folder.operator_file("b", &discovery, b, &[a]), None);
    assert!(wait_until(5.0, || has_state(&admin, "b", "alive") && has_state(&other, "a", "alive")));
    let mut client = node.connect();
    assert_eq!(exchange_line(&mut client, "OPEN 1 2 c=chat,t=acme,d=5000\r\n"), "UP 77\r\n");
    let (ticks, kilobytes) = (cpu_ticks(&node), resident_kb(&node));
    let started = Instant::now();
    let flood = thread::spawn(move || {
        let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut bytes = [9u8; 120];
        bytes[..5].copy_from_slice(&[b'd', 1, 0, 0, 0]);
        let mut sent = 0u64;
        while started.elapsed() < Duration::from_secs(4) {
            while sent < (started.elapsed().as_secs_f64() * 20_000.0) as u64 {
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
        let sent_at = Instant::now();
        assert_eq!(exchange_line(&mut client, "tick\r\n"), "tick\r\n");
        slowest = slowest.max(sent_at.elapsed());
        assert!(has_state(&admin, "b", "alive") || has_state(&admin, "b", "suspect"));
        assert!(has_state(&other, "a", "alive") || has_state(&other, "a", "suspect"));
    }
    let sent = flood.join().unwrap();
    let cpu_share = (cpu_ticks(&node) - ticks) as f64 / 100.0 / started.elapsed().as_secs_f64();
    println!(
        "{sent} datagrams; slowest echo {slowest:?}; {cpu_share:.2} of a core; memory grew by {} KB",
        resident_kb(&node) - kilobytes
    );
    assert!(sent > 20_000 && slowest < Duration::from_millis(500), "{sent} {slowest:?}");
    assert!(resident_kb(&node) < kilobytes + 4_096);
    let (_, figures) = call(&admin, "GET", "/-/metrics");
    let refused = figures.lines().find_map(|line| line.strip_prefix("fleet.refused=")).unwrap();
    assert!(refused.parse::<u64>().unwrap() > 1_000, "{figures}");
    let lines = node.log.try_iter().filter(|line| line.contains("fleet refused")).count();
    assert_eq!(lines, 1);
    assert!(wait_until(5.0, || has_state(&admin, "b", "alive") && has_state(&other, "a", "alive")));
}

/// With a single voter: budgets and permits as operators use them, and agreed state survives a killed
/// process.
#[test]
fn a_drain_waits_for_its_budget_and_agreed_state_survives_a_kill() {
    let (pool, folder) = (pool(&[77]), Folder::new());
    let operator = folder.operator_file("a", &pool.discovery.address(), free_port(), &[]);
    let mut file: Value = serde_json::from_slice(&std::fs::read(&operator).unwrap()).unwrap();
    file["fleet"]["agree"] = json!({"voters": ["a"], "folder": "votes"});
    std::fs::write(&operator, file.to_string()).unwrap();
    let put = |admin: &str, place: &str| call(admin, "PUT", place);
    let permits =
        |admin: &str| -> Value { serde_json::from_str(&call(admin, "GET", "/-/permits").1).unwrap() };
    let (node, admin) = start_with(&operator, None);
    assert!(wait_until(10.0, || permits(&admin)["leader"] == "a"), "{}", permits(&admin));
    assert_eq!(put(&admin, "/-/budget?most=0").0, 202);
    assert_eq!(put(&admin, "/-/budget?most=many").0, 400);
    assert!(wait_until(5.0, || permits(&admin)["budgets"][0]["most"] == "0"), "{}", permits(&admin));
    assert_eq!(put(&admin, "/-/drain").0, 202);
    let waiting = "waiting: fleet: 0 of 0 out\n";
    assert!(
        wait_until(5.0, || put(&admin, "/-/drain") == (202, waiting.to_owned())),
        "{:?}",
        put(&admin, "/-/drain")
    );
    assert_eq!(call(&admin, "GET", "/-/ready").0, 200);
    node.signal("-KILL");
    drop(node);
    let (_node, admin) = start_with(&operator, None);
    assert!(wait_until(10.0, || permits(&admin)["leader"] == "a"), "{}", permits(&admin));
    // The budget is still there. The request of the killed process is dropped once the new one is seen
    // serving.
    assert_eq!(permits(&admin)["budgets"][0]["most"], "0");
    assert!(wait_until(5.0, || permits(&admin)["permits"] == json!([])), "{}", permits(&admin));
    put(&admin, "/-/budget?most=100%25");
    assert!(wait_until(5.0, || put(&admin, "/-/drain").0 == 200), "{:?}", put(&admin, "/-/drain"));
    assert_eq!(call(&admin, "GET", "/-/ready").1.trim_end(), "not ready: draining");
    assert!(permits(&admin)["permits"][0]["permit"].as_u64().is_some());
    assert_eq!(put(&admin, "/-/resume").0, 200);
    assert!(wait_until(5.0, || permits(&admin)["permits"] == json!([])), "{}", permits(&admin));
    assert_eq!(call(&admin, "GET", "/-/ready").0, 200);
}
