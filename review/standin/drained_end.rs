//! An operator drains a node, and 1.5 s later it is told to end, as for a planned restart.

use crate::Verdict;
use crate::parts::*;
use std::io::{self, BufRead, Write};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;

/// Time after the call to drain by which the node must not answer yes any more, and no client that was not
/// moved may be held.
const DRAINED_MS: u64 = 4_000;
/// Tolerance: every time limit is 50 ms longer on sockets, and the stand-in measures a little late.
const SLACK_MS: u64 = 50 + 50;
/// SIGKILL after SIGTERM: the longest deadline (3 s) and 0.7 s.
const KILL_AFTER_MS: u64 = 3_000 + 700;
const CLIENTS: usize = 40;

/// What became of a client's connection.
#[derive(Clone, Copy, Default)]
struct Fate {
    up_at: Option<u64>,
    moved_at: Option<u64>,
    ended_at: Option<u64>,
}

pub fn run(trouble: bool, folder: &Path, record: &Record) -> io::Result<Verdict> {
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let discovery = Discovery::start(record)?;
    let members: Vec<Member> =
        (1..=8).map(|n| Member::start(&format!("m-{n}"), record, &arrivals)).collect::<io::Result<_>>()?;
    let listed: Vec<(&str, &str, &'static str)> =
        members.iter().map(|member| (&*member.name, &*member.dial, "Ready")).collect();
    discovery.set(&listed);
    let mut node = Node::start(0, 1, "a", &discovery.address.to_string(), folder, record)?;
    if !node.wait_ready() {
        return Ok(Verdict::NotRun("the node did not become ready".into()));
    }
    let fates: Arc<Mutex<Vec<Fate>>> = Arc::new(Mutex::new(vec![Fate::default(); CLIENTS]));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            thread::sleep(ms(20));
            let (address, record, fates) = (node.listen.clone(), record.clone(), fates.clone());
            thread::spawn(move || drop(client(number, &address, &record, &fates)))
        })
        .collect();
    thread::sleep(ms(1_000));
    let up = lock(&fates).iter().filter(|fate| fate.up_at.is_some()).count();
    if up < CLIENTS {
        return Ok(Verdict::NotRun(format!("only {up} of {CLIENTS} clients are up")));
    }

    // The front asks ten times a second.
    let over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
    let front = {
        let (address, record, over, answers) =
            (node.listen.clone(), record.clone(), over.clone(), answers.clone());
        thread::spawn(move || {
            while !over.load(Relaxed) {
                let answer = ping(&address).unwrap_or_else(|error| format!("({error})"));
                record.line(&format!("the front's PING is answered {answer:?}"));
                lock(&answers).push((record.now(), answer));
                thread::sleep(ms(100));
            }
        })
    };
    thread::sleep(ms(300));

    let drained_at = record.now();
    let status = call(&node.admin, "PUT", "/-/drain")?;
    record.line(&format!("PUT /-/drain of {drained_at} ms is answered {status}"));
    if !(200..300).contains(&status) {
        return Ok(Verdict::NotRun(format!("the drain was answered {status}")));
    }
    if trouble {
        thread::sleep(ms(1_500));
        record.line("SIGTERM to the node");
        node.signal(SIGTERM);
    }
    let terminated_at = record.now();
    // What the rule asks for is looked at from 4 s after the call until the node has ended or is killed.
    while record.now() < terminated_at + KILL_AFTER_MS && !(trouble && node.ended()) {
        thread::sleep(ms(10));
    }
    let end = record.now();
    record.line(if trouble && node.ended() { "the node has ended" } else { "the node still runs" });
    over.store(true, Relaxed);
    let _ = front.join();
    node.signal(SIGKILL);
    clients.into_iter().for_each(|client| drop(client.join()));

    let from = drained_at + DRAINED_MS + SLACK_MS;
    let yes: Vec<u64> = lock(&answers)
        .iter()
        .filter(|(at, answer)| answer == "PONG" && *at >= from && *at <= end)
        .map(|(at, _)| at - drained_at)
        .collect();
    let yes_before = lock(&answers)
        .iter()
        .filter(|(at, answer)| answer == "PONG" && *at > drained_at + 100 && *at < from)
        .count();
    let held: Vec<Fate> = lock(&fates)
        .iter()
        .filter(|fate| fate.moved_at.or(fate.ended_at).is_none_or(|at| at > from))
        .copied()
        .collect();
    record.say(&format!(
        "yes to PING after the drain: {} times from 4 s after the call on ({}), {yes_before} times before",
        yes.len(),
        yes.first()
            .map_or("never".into(), |first| format!("from {first} to {} ms after it", yes[yes.len() - 1]))
    ));
    record.say(&format!("clients held and not moved 4 s after the call: {} of {CLIENTS}", held.len()));
    Ok(if yes.is_empty() && held.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// A client that sends a line every 2 s until its connection is moved or ends.
fn client(number: usize, address: &str, record: &Record, fates: &Mutex<Vec<Fate>>) -> io::Result<()> {
    let mut stream = connect(address)?;
    let answer = open(&mut stream, &open_line(&format!("c{number}"), "status", 3_000), address, record)?;
    record.line(&format!("client c{number} gets {answer}"));
    if !answer.starts_with("UP ") {
        return Ok(());
    }
    lock(fates)[number].up_at = Some(record.now());
    let mut writer = stream.get_ref().try_clone()?;
    thread::spawn(move || {
        while writer.write_all(b"hello\r\n").is_ok() {
            thread::sleep(ms(2_000));
        }
    });
    stream.get_ref().set_read_timeout(Some(ms(20_000)))?;
    let mut line = String::new();
    loop {
        line.clear();
        match stream.read_line(&mut line) {
            Ok(1..) if line == "MOVE\r\n" => {
                lock(fates)[number].moved_at = Some(record.now());
                record.line(&format!("client c{number} gets MOVE"));
                let _ = stream.get_ref().shutdown(std::net::Shutdown::Both);
                return Ok(());
            }
            Ok(1..) => {}
            end => {
                lock(fates)[number].ended_at = Some(record.now());
                record.line(&format!("client c{number}: the connection ended without MOVE ({end:?})"));
                return Ok(());
            }
        }
    }
}
