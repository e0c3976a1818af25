//! A zone with seven of eight members is lost for 5 s while the other member hangs; a new member joins. Later,
//! when all members serve again, the nodes are told to end, as for a planned restart.

use crate::Verdict;
use crate::parts::*;
use std::io::{self, BufRead, Write};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

const CALM_MS: u64 = 6_000;
const LOST_MS: u64 = 5_000;
const HUNG_MS: u64 = 6_000;
/// When the new member is listed, after the loss.
const JOINS_MS: u64 = 1_900;
const AFTERWARDS_MS: u64 = 12_000;
/// A final answer may come this long after the client's time (and 50 ms and a tolerance of 150 ms).
const LATE_MS: u64 = 500 + 50 + 150;

/// Clients of each node that are connected at the end.
const STANDING: usize = 15;
/// SIGKILL after SIGTERM: the longest deadline (3 s) and 0.7 s.
const KILL_AFTER_MS: u64 = 3_000 + 700;

#[derive(Default)]
struct Answers {
    up: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    /// Not answered in time: the id and when it was sent.
    lost: Mutex<Vec<(String, u64)>>,
    /// Clients that were connected at the end and were told to move, and those that were cut off.
    moved: AtomicU64,
    cut_off: Mutex<Vec<String>>,
}

pub fn run(trouble: bool, folder: &Path, record: &Record) -> io::Result<Verdict> {
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let discovery = Discovery::start(record)?;
    let names = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7", "w-1"];
    let members: Vec<Member> =
        names.iter().map(|name| Member::start(name, record, &arrivals)).collect::<io::Result<_>>()?;
    let listed = |members: &[Member], health: &'static str| {
        let entries: Vec<(String, String, &'static str)> =
            members.iter().map(|member| (member.name.clone(), member.dial.clone(), health)).collect();
        entries
    };
    let tell = |entries: &[(String, String, &'static str)], born: u128| {
        let entries: Vec<(&str, &str, &'static str)> =
            entries.iter().map(|(name, dial, health)| (&**name, &**dial, *health)).collect();
        discovery.set_born(&entries, born);
    };
    tell(&listed(&members, "Ready"), 0);
    let mut nodes: Vec<Node> = ["a", "b", "c"]
        .iter()
        .map(|name| Node::start(1, 3, name, &discovery.address_for(name)?.to_string(), folder, record))
        .collect::<io::Result<_>>()?;
    if !nodes.iter().all(Node::wait_ready) {
        return Ok(Verdict::NotRun("a node did not become ready".into()));
    }
    let (over, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(Answers::default()));
    let clients: Vec<_> = nodes
        .iter()
        .map(|node| {
            let (name, address) = (node.name.clone(), node.listen.clone());
            let (record, over, answers) = (record.clone(), over.clone(), answers.clone());
            thread::spawn(move || arrive(&name, &address, &record, &over, &answers))
        })
        .collect();
    thread::sleep(ms(CALM_MS));

    let (east, west) = members.split_at(7);
    let lost_at = record.now();
    if trouble {
        record.line("the zone east is lost: its seven members die; the member of west hangs");
        east.iter().for_each(Member::kill);
        west.iter().for_each(|member| lock(&member.state).silent = true);
    }
    let until = |after: u64| thread::sleep(ms((lost_at + after).saturating_sub(record.now())));
    let unix = || SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let new = Member::start("w-2", record, &arrivals)?;
    let new_born = unix();
    until(JOINS_MS);
    tell(&listed(std::slice::from_ref(&new), "Ready"), new_born);
    let mut returned = Vec::new();
    if trouble {
        until(2_500);
        tell(&listed(east, "Gone"), 0);
        until(LOST_MS);
        record.line("the zone east is back");
        for name in &names[..7] {
            returned.push(Member::start(name, record, &arrivals)?);
        }
        let born = unix();
        until(HUNG_MS);
        record.line("the member of west answers again");
        west.iter().for_each(|member| lock(&member.state).silent = false);
        tell(&listed(&returned, "Ready"), born);
    }
    until(HUNG_MS + AFTERWARDS_MS);
    over.store(true, Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));

    // Clients that are connected when the nodes are told to end.
    let standing: Vec<_> = nodes
        .iter()
        .flat_map(|node| (0..STANDING).map(move |number| (node, number)))
        .map(|(node, number)| {
            thread::sleep(ms(50));
            let (id, address) = (format!("{}-standing-{number}", node.name), node.listen.clone());
            let (record, answers) = (record.clone(), answers.clone());
            thread::spawn(move || stand(&id, &address, &record, &answers))
        })
        .collect();
    thread::sleep(ms(4_500));
    record.line("SIGTERM to the nodes");
    let crashed: Vec<String> =
        nodes.iter_mut().filter_map(|node| node.ended().then(|| node.name.clone())).collect();
    nodes.iter_mut().for_each(|node| node.signal(SIGTERM));
    let terminated_at = record.now();
    while record.now() < terminated_at + KILL_AFTER_MS && !nodes.iter_mut().all(Node::ended) {
        thread::sleep(ms(20));
    }
    nodes.iter_mut().for_each(|node| node.signal(SIGKILL));
    standing.into_iter().for_each(|client| drop(client.join()));

    let lost = lock(&answers.lost).clone();
    record.say(&format!(
        "requests up {}, refused {}, failed {}, never answered or later than {LATE_MS} ms after their time: {}",
        answers.up.load(Relaxed),
        answers.refused.load(Relaxed),
        answers.failed.load(Relaxed),
        lost.len()
    ));
    for name in ["a", "b", "c"] {
        let own: Vec<_> = lost.iter().filter(|(id, _)| id.starts_with(name)).collect();
        let after = own.iter().filter(|(_, at)| *at > lost_at + HUNG_MS + 1_000).count();
        record.say(&format!(
            "node {name}: {} not answered in time, {after} of them sent later than 1 s after all members served again",
            own.len()
        ));
    }
    let cut_off = lock(&answers.cut_off).clone();
    record.say(&format!(
        "clients connected at the end: {}, cut off without MOVE at the planned restart: {}{}",
        answers.moved.load(Relaxed) as usize + cut_off.len(),
        cut_off.len(),
        cut_off.first().map_or(String::new(), |first| format!(" ({first} and so on)"))
    ));
    if !crashed.is_empty() {
        record.say(&format!("nodes that ended before SIGTERM: {}", crashed.join(", ")));
    }
    Ok(if lost.is_empty() && cut_off.is_empty() && crashed.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// New clients of one node, about sixteen a second, with a hint of their load.
fn arrive(name: &str, address: &str, record: &Record, over: &AtomicBool, answers: &Arc<Answers>) {
    let mut random = 7 + u64::from(name.as_bytes()[0]);
    let mut number = 0;
    while !over.load(Relaxed) {
        number += 1;
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let drawn = (random >> 40) as f64 / (1u64 << 24) as f64;
        let (id, address, record, answers) =
            (format!("{name}{number}"), address.to_owned(), record.clone(), answers.clone());
        thread::spawn(move || client(&id, drawn, &address, &record, &answers));
        thread::sleep(ms(40 + (drawn * 40.0) as u64));
    }
}

fn client(id: &str, drawn: f64, address: &str, record: &Record, answers: &Answers) {
    let (class, deadline) = if drawn < 0.5 { ("view", 1_800) } else { ("status", 3_000) };
    let line = format!("{},h={:.2}", open_line(id, class, deadline), 3.0 + 40.0 * drawn * drawn);
    let Ok(mut stream) = connect(address) else { return record.line(&format!("client {id} can't connect")) };
    let _ = stream.get_ref().set_read_timeout(Some(ms(u64::from(deadline) + LATE_MS)));
    let sent = record.now();
    let answer = open(&mut stream, &line, address, record).unwrap_or_default();
    record.line(&format!("client {id} of {sent} ms gets {answer:?}"));
    match answer.split(' ').next() {
        Some("UP") => answers.up.fetch_add(1, Relaxed),
        Some("BUSY") => answers.refused.fetch_add(1, Relaxed),
        Some("ERR") => answers.failed.fetch_add(1, Relaxed),
        _ => {
            lock(&answers.lost).push((id.to_owned(), sent));
            return;
        }
    };
    if !answer.starts_with("UP ") {
        return;
    }
    // A line at once and one 2 s later; the client leaves after up to 3 s.
    let _ = stream.get_mut().write_all(b"hello\r\n");
    let mut text = String::new();
    let _ = stream.read_line(&mut text);
    thread::sleep(ms((drawn * 3_000.0) as u64));
}

/// A client that stays connected, and sends a line every 2 s, until it is told to move.
fn stand(id: &str, address: &str, record: &Record, answers: &Answers) {
    let Ok(mut stream) = connect(address) else { return record.line(&format!("client {id} can't connect")) };
    let _ = stream.get_ref().set_read_timeout(Some(ms(3_000 + LATE_MS)));
    let sent = record.now();
    let answer = open(&mut stream, &format!("{},h=5", open_line(id, "status", 3_000)), address, record)
        .unwrap_or_default();
    record.line(&format!("client {id} of {sent} ms gets {answer:?}"));
    if answer.is_empty() {
        lock(&answers.lost).push((id.to_owned(), sent));
    }
    if !answer.starts_with("UP ") {
        return;
    }
    let Ok(mut writer) = stream.get_ref().try_clone() else { return };
    thread::spawn(move || {
        while writer.write_all(b"hello\r\n").is_ok() {
            thread::sleep(ms(2_000));
        }
    });
    let _ = stream.get_ref().set_read_timeout(Some(ms(20_000)));
    let mut line = String::new();
    while matches!(stream.read_line(&mut line), Ok(1..)) {
        if line == "MOVE\r\n" {
            answers.moved.fetch_add(1, Relaxed);
            record.line(&format!("client {id} gets MOVE"));
            let _ = stream.get_ref().shutdown(std::net::Shutdown::Both);
            return;
        }
        line.clear();
    }
    record.line(&format!("client {id}: the connection ended without MOVE"));
    lock(&answers.cut_off).push(id.to_owned());
}
