//! A node is drained while clients go silent for a while: they keep the connection open and read nothing. A connection
//! must not be cut off without `MOVE` while its host still answers.

use crate::Case;
use crate::tools::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 10;
/// How long a client is silent, from just before the call to drain on. The drain may take 4 s.
const SILENT_MS: u64 = 2_500;
/// A recorded lecture with its slides: lines of 4 KiB, so many a second for each client (2 Mbit/s).
const LINES_PER_SECOND: u64 = 60;

fn streams_slides() -> Serve {
    Arc::new(|member, mut reader: BufReader<TcpStream>, mut writer: TcpStream, id: &str| {
        // The next line of slides answers a client's line.
        thread::spawn(move || {
            let mut line = String::new();
            while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
                line.clear();
            }
        });
        let start = std::time::Instant::now();
        for n in 0u64.. {
            let line = format!("SLIDE {id} {n:08} {}\r\n", "x".repeat(4_000));
            if writer.write_all(line.as_bytes()).is_err() {
                member.record.line(&format!("{}: {id} ended after {n} lines of slides", member.name));
                return;
            }
            if n % LINES_PER_SECOND == 0 {
                member.record.line(&format!("{}: wrote line {n} of the slides to {id}", member.name));
            }
            let due = Duration::from_millis(n * 1_000 / LINES_PER_SECOND);
            thread::sleep(due.saturating_sub(start.elapsed()));
        }
    })
}

/// Reads what a client gets up to the end of its connection; returns its last whole line and how the connection ended.
fn follow(mut client: Client, silent_from: f64, record: Arc<Record>) -> (String, String, String) {
    let mut tail = Vec::new();
    let mut buffer = vec![0u8; 64 * 1024];
    let _ = client.stream.set_read_timeout(Some(Duration::from_millis(200)));
    let (mut bytes, mut was_silent, mut next_line) = (0usize, false, record.now());
    let until = silent_from + 12_000.0;
    let ended = loop {
        if !was_silent && record.now() >= silent_from {
            was_silent = true;
            record.line(&format!("client {}: goes silent after {bytes} bytes", client.id));
            sleep(SILENT_MS);
            record.line(&format!("client {}: reads again", client.id));
        }
        if record.now() >= next_line {
            next_line = record.now() + 2_000.0;
            record.line(&format!("client {}: sends HELLO", client.id));
            let _ = client.stream.write_all(b"HELLO\r\n");
        }
        match client.reader.read(&mut buffer) {
            Ok(0) => break "ended",
            Ok(read) => {
                bytes += read;
                tail.extend_from_slice(&buffer[..read]);
                let keep = tail.len().saturating_sub(8_192);
                tail.drain(..keep);
            }
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                if record.now() > until {
                    break "stands";
                }
            }
            Err(_) => break "reset",
        }
        if record.now() > until {
            break "stands";
        }
    };
    let text = String::from_utf8_lossy(&tail).into_owned();
    let last = text.trim_end_matches("\r\n").rsplit("\r\n").next().unwrap_or("").to_owned();
    let shown: String = last.chars().take(40).collect();
    record.line(&format!(
        "client {}: {ended} after {bytes} bytes, last line '{shown}' ({} bytes)",
        client.id,
        last.len()
    ));
    (client.id, last, ended.to_owned())
}

pub fn run(case: &Case) -> Result<bool, Trouble> {
    let record = &case.record;
    let discovery = Discovery::start("discovery", 40, record)?;
    let members: Vec<Member> = (1..=3)
        .map(|n| Member::start(&format!("box-{n}"), record, streams_slides()))
        .collect::<Result<_, _>>()?;
    for member in &members {
        discovery.set(&[(&member.name, &member.address, "Ready")]);
    }
    let mut node = Node::start(&case.root, &case.folder, &PORT_LOUIS, &discovery.address, record)?;
    sleep(500);
    let silent_from = if case.trouble { record.now() + 3_000.0 } else { f64::INFINITY };
    let drain_at = record.now() + 3_200.0;
    let mut followers = Vec::new();
    for _ in 0..CLIENTS {
        let client = Client::open(&node.listen, &PORT_LOUIS, record)?;
        if !client.answer.starts_with("UP ") {
            return Err(format!("a client was not served: {}", client.answer).into());
        }
        let record = record.clone();
        followers.push(thread::spawn(move || follow(client, silent_from, record)));
    }
    sleep((drain_at - record.now()).max(0.0) as u64);
    record.line("PUT /-/drain");
    let status = call(&node.admin, "PUT", "/-/drain")?;
    record.line(&format!("answered {status}"));
    let mut cut_off = 0;
    for follower in followers {
        let (id, last, ended) = follower.join().map_err(|_| "a client panicked")?;
        if ended == "stands" || last != "MOVE" {
            record.line(&format!(
                "VERDICT the connection of client {id}, {ended}, had no MOVE; its host still answers"
            ));
            cut_off += 1;
        }
    }
    record.line(&format!("{CLIENTS} clients, {cut_off} cut off without MOVE"));
    if !node.runs() {
        return Err("the node has ended".into());
    }
    Ok(cut_off == 0)
}
