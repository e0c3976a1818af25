//! Recording by the real program over real sockets: a short incident, a killed node, a restart, a removed
//! folder and invalid settings.
use hopmoor_incident::{Findings, MemberState, RunEnd, analyse};
use hopmoor_record::{Event, Folder, Merged};
use hopmoor_standin::sockets::{Client, Discovery, Member, StandInRuntime};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A running node process. It is killed on drop.
struct Node {
    child: Child,
    address: String,
    log: Arc<Mutex<Vec<String>>>,
}

impl Node {
    fn start(operator: &Path) -> Node {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hopmoor"));
        command.args(["serve", "--operator"]).arg(operator).env_remove("NODE_CONFIG");
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let listening = lines.find(|line| line.as_ref().unwrap().contains("listening")).unwrap().unwrap();
        let port: String =
            listening.split("127.0.0.1:").nth(1).unwrap().chars().take_while(char::is_ascii_digit).collect();
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines_read = log.clone();
        std::thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| lines_read.lock().unwrap().push(line))
        });
        Node { child, address: format!("127.0.0.1:{port}"), log }
    }

    fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap().success());
    }

    /// Waits up to 4 s for a log line that contains `text`.
    fn logged(&self, text: &str) -> bool {
        let deadline = Instant::now() + Duration::from_secs(4);
        while Instant::now() < deadline {
            if self.log.lock().unwrap().iter().any(|line| line.contains(text)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1_000.0
}

/// Writes the node's configuration and its operator file. Returns the paths of the operator file and of the
/// folder of records.
fn set_up(folder: &Path, discovery: &Discovery) -> (PathBuf, PathBuf) {
    let config = format!(
        r#"{{"name":"n-1","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f",
            "limits":{{"sockets":1024}},"known":{{"seq":0,"whole":true,"hosts":[]}},
            "settings":{{"profiles":[{{"name":"chat","effect":"free","aimMs":300,"importance":1}}],
            "tenants":[{{"name":"acme"}}],"zones":["a"],"discovery":"on_request",
            "report":{{"how":"probe","fields":["x0"]}},
            "caps":{{"connectTimeoutMs":250,"probing":true,"mostTries":6,"cancel":true}}}}}}"#,
        discovery.address()
    );
    std::fs::write(folder.join("node.json"), config).unwrap();
    let records = folder.join("records");
    std::fs::create_dir(&records).unwrap();
    let operator = folder.join("operator.json");
    std::fs::write(&operator, r#"{"config":"node.json","records":{"folder":"records"}}"#).unwrap();
    (operator, records)
}

fn analyse_folder(records: &Path) -> Findings {
    analyse(Merged::new(vec![Folder::list(records).unwrap()]))
}

/// Connection time that the clients wanted and that they were served, in milliseconds, as measured by the
/// clients.
#[derive(Default)]
struct ClientTotals {
    wanted_ms: AtomicU64,
    served_ms: AtomicU64,
}

/// Runs a client that wants a connection for the time `life` and reconnects whenever it loses it.
async fn run_client(
    address: String,
    number: u32,
    life: Duration,
    silent_member: Arc<AtomicU64>,
    totals: Arc<ClientTotals>,
    end: Instant,
) {
    let until = (Instant::now() + life).min(end);
    let mut counted_until = Instant::now();
    let mut count_time = |established: Option<&str>| {
        let now = Instant::now().min(until);
        let elapsed_ms = now.saturating_duration_since(counted_until).as_millis() as u64;
        counted_until += Duration::from_millis(elapsed_ms);
        totals.wanted_ms.fetch_add(elapsed_ms, Relaxed);
        // A connection at the silent member is not served. The receipt in the answer names the member.
        let receipt = established.and_then(|up| up.strip_prefix("UP ")).and_then(|up| up.parse::<u64>().ok());
        if receipt.is_some_and(|receipt| receipt != silent_member.load(Relaxed)) {
            totals.served_ms.fetch_add(elapsed_ms, Relaxed);
        }
    };
    let (mut arrival, mut attempts) = ("", 0u32);
    while Instant::now() < until {
        attempts += 1;
        let line = format!("OPEN {number:x}-{attempts} k{number} c=chat,t=acme,d=1500{arrival}");
        let answer = match Client::connect(&address).await {
            Ok(mut client) => client.ask(&line).await.map(|answer| (client, answer)),
            Err(error) => Err(error),
        };
        count_time(None);
        match answer {
            Ok((mut client, answer)) if answer.starts_with("UP ") => {
                while Instant::now() < until {
                    let line_read = tokio::time::timeout(Duration::from_millis(20), client.read()).await;
                    count_time(Some(&answer));
                    if line_read.is_ok() {
                        break;
                    }
                }
                arrival = ",again=1";
            }
            Ok(_) => arrival = ",r=1",
            Err(_) => arrival = ",again=1",
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A member is silent for two seconds and another drains and ends; then the node is killed. The analysis of
/// its records must find both with the times, no other trouble, and the share of service that the clients
/// lost.
#[test]
fn records_of_a_killed_node_show_a_short_incident() {
    let folder = tempfile::tempdir().unwrap();
    let runtime = StandInRuntime::new().unwrap();
    let discovery = Discovery::start(&runtime).unwrap();
    let members: Vec<Member> = (1..=4).map(|receipt| Member::start(&runtime, receipt).unwrap()).collect();
    let set = |at: usize, health| discovery.set(&format!("s-{}", at + 1), &members[at].address(), health);
    (0..4).for_each(|at| set(at, "Ready"));
    let (operator, records) = set_up(folder.path(), &discovery);
    let mut node = Node::start(&operator);
    let (totals, silent_member) = (Arc::new(ClientTotals::default()), Arc::new(AtomicU64::new(0)));
    let began = Instant::now();
    let end = began + Duration::from_millis(7_000);
    let (address, clients) = (node.address.clone(), (totals.clone(), silent_member.clone()));
    runtime.handle().spawn(async move {
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            // Varied connection times, the same in each run of the test.
            let life = Duration::from_millis(400 + u64::from(number * 733 % 1_600));
            tokio::spawn(run_client(
                address.clone(),
                number,
                life,
                clients.1.clone(),
                clients.0.clone(),
                end,
            ));
            tokio::time::sleep(Duration::from_millis(15)).await;
        }
    });
    let wait = |ms| {
        std::thread::sleep((began + Duration::from_millis(ms)).saturating_duration_since(Instant::now()))
    };
    let mut changes = Vec::new();
    wait(2_000);
    changes.push((unix_ms(), "s-2", MemberState::Silent, true));
    silent_member.store(2, Relaxed);
    members[1].silent(true);
    wait(4_000);
    members[1].silent(false);
    silent_member.store(0, Relaxed);
    changes.push((unix_ms(), "s-2", MemberState::Silent, false));
    wait(4_800);
    set(2, "Terminating");
    changes.push((unix_ms(), "s-3", MemberState::Draining, true));
    wait(6_200);
    set(2, "Gone");
    members[2].kill();
    changes.push((unix_ms(), "s-3", MemberState::Gone, true));
    wait(7_000);
    node.signal("-KILL");
    let killed = unix_ms();
    node.child.wait().unwrap();
    let findings = analyse_folder(&records);
    let spans =
        || findings.members.iter().flat_map(|member| member.spans.iter().map(move |span| (member, span)));
    for (at, name, state, begins) in &changes {
        let found = spans().any(|(member, span)| {
            let edge = if *begins { Some(span.from) } else { span.until };
            member.name == *name
                && span.state == *state
                && edge.is_some_and(|edge| (edge - at).abs() <= 1_000.0)
        });
        assert!(found, "{name} {state:?} {begins} at {at}: {:#?}", findings.members);
    }
    let trouble_spans =
        spans().filter(|(_, span)| span.state.is_fault() || span.state == MemberState::Draining).count();
    assert_eq!(trouble_spans, 2, "{:#?}", findings.incidents);
    let run = &findings.nodes[0].runs[0];
    assert!(run.end == RunEnd::RecordsEnd && (run.until - killed).abs() < 500.0, "{run:?} {killed}");
    let measured = 1.0 - totals.served_ms.load(Relaxed) as f64 / totals.wanted_ms.load(Relaxed) as f64;
    let reported = findings.service.share_lost;
    assert!(
        measured > 0.02 && (measured - reported).abs() < 0.02,
        "lost {measured:.4}, reported {reported:.4}"
    );

    // Restart on the same folder; the second run is shut down gracefully.
    let mut restarted = Node::start(&operator);
    restarted.signal("-TERM");
    assert!(restarted.child.wait().unwrap().success());
    let ends: Vec<_> = analyse_folder(&records).nodes[0].runs.iter().map(|run| run.end).collect();
    assert_eq!(ends, [RunEnd::Cut, RunEnd::Stopped]);
}

/// The folder is removed while the node runs. The node keeps serving, logs the failure once, counts the lost
/// records and records again when the folder is back.
#[test]
fn a_removed_folder_loses_records_and_nothing_else() {
    let folder = tempfile::tempdir().unwrap();
    let runtime = StandInRuntime::new().unwrap();
    let discovery = Discovery::start(&runtime).unwrap();
    let member = Member::start(&runtime, 5).unwrap();
    discovery.set("s-1", &member.address(), "Ready");
    let (operator, records) = set_up(folder.path(), &discovery);
    let node = Node::start(&operator);
    let answer_to = |number: u32| {
        let address = node.address.clone();
        let (send, answer) = std::sync::mpsc::channel();
        runtime.handle().spawn(async move {
            let mut client = Client::connect(&address).await?;
            let _ = send.send(client.ask(&format!("OPEN {number} k c=chat,t=acme,d=3000")).await?);
            std::io::Result::Ok(())
        });
        answer.recv_timeout(Duration::from_secs(5)).unwrap()
    };
    assert_eq!(answer_to(1), "UP 5");
    std::fs::remove_dir_all(&records).unwrap();
    assert!(node.logged("records not written"));
    assert_eq!(answer_to(2), "UP 5");
    std::fs::create_dir(&records).unwrap();
    assert!(node.logged("records written again"));
    assert_eq!(answer_to(3), "UP 5");
    std::thread::sleep(Duration::from_millis(400));
    let items = Folder::list(&records).unwrap().read();
    let gaps = items.filter(|item| {
        matches!(item, hopmoor_record::folder::Item::Record(record)
            if matches!(&record.event, Event::Gap(gap) if gap.lost > 0 && gap.disk))
    });
    assert_eq!(gaps.count(), 1);
    node.signal("-USR1");
    assert!(node.logged("records_lost="));
    let log = node.log.lock().unwrap().join("\n");
    assert!(!log.contains("records_lost=0") && log.matches("records not written").count() == 1, "{log}");
}

fn check(operator: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hopmoor")).args(["check", "--operator"]).arg(operator).output().unwrap()
}

#[test]
fn invalid_settings_are_rejected_by_field() {
    let folder = tempfile::tempdir().unwrap();
    let runtime = StandInRuntime::new().unwrap();
    let (operator, records) = set_up(folder.path(), &Discovery::start(&runtime).unwrap());
    assert!(check(&operator).status.success());
    assert_eq!(std::fs::read_dir(&records).unwrap().count(), 0, "a check leaves nothing behind");
    for (bad, field) in [
        (r#"{"folder":"nowhere"}"#, "records.folder"),
        (r#"{"folder":"node.json"}"#, "records.folder"),
        (r#"{"folder":"records","segment_bytes":10}"#, "records.segment_bytes"),
        (r#"{"folder":"records","segment_bytes":65536,"keep_bytes":65536}"#, "records.keep_bytes"),
        (r#"{"folder":"records","keep_hours":0}"#, "records.keep_hours"),
        (r#"{"folder":"records","keep_days":3}"#, "keep_days"),
        (r#"{}"#, "folder"),
    ] {
        std::fs::write(&operator, format!(r#"{{"config":"node.json","records":{bad}}}"#)).unwrap();
        let output = check(&operator);
        let message = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && message.contains(field) && message.lines().count() == 1,
            "{bad}: {message}"
        );
        let serve =
            Command::new(env!("CARGO_BIN_EXE_hopmoor")).args(["serve", "--operator"]).arg(&operator).output();
        assert!(!serve.unwrap().status.success());
    }
}
