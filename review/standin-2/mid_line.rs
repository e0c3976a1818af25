//! A node is drained. Members write their lines in pieces, which is the disruption. `MOVE` has to come between two lines, and every line
//! that a client gets has to be one that its member wrote.

use crate::Case;
use crate::tools::*;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 20;
/// Time between the two pieces of a line; far less than the 4 s that a drain may take.
const PIECE_PAUSE_MS: u64 = 600;
/// Time from one line to the next.
const LINE_PAUSE_MS: u64 = 300;

/// The lines that members have written or are about to finish, by connection.
type Written = Arc<Mutex<BTreeSet<String>>>;

/// A member that tells its clients open slots, and returns each line of a client at once, or after the line that it is
/// writing. With `in_pieces` it writes a line of slots in two pieces.
fn tells_slots(written: Written, in_pieces: bool) -> Serve {
    Arc::new(move |member, mut reader: BufReader<TcpStream>, writer: TcpStream, id: &str| {
        let ended = Arc::new(AtomicBool::new(false));
        // Held while a line is being written, so that lines do not mix.
        let writer = Arc::new(Mutex::new(writer));
        let (seen, replies, replied) = (ended.clone(), writer.clone(), written.clone());
        thread::spawn(move || {
            let mut line = String::new();
            while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
                lock(&replied).insert(line.trim_end().to_owned());
                if lock(&replies).write_all(line.as_bytes()).is_err() {
                    break;
                }
                line.clear();
            }
            seen.store(true, SeqCst);
        });
        let say = |what: String| member.record.line(&format!("{}: {what}", member.name));
        for n in 0.. {
            let line = format!("SLOTS {id} line={n} open=101,102,103,104,105,106,107,108");
            lock(&written).insert(line.clone());
            let (first, rest) = line.split_at(if in_pieces { line.len() - 15 } else { line.len() });
            let mut writing = lock(&writer);
            if ended.load(SeqCst) || writing.write_all(first.as_bytes()).is_err() {
                return;
            }
            if in_pieces {
                say(format!("wrote the first piece '{first}'"));
                sleep(PIECE_PAUSE_MS);
            }
            if writing.write_all(format!("{rest}\r\n").as_bytes()).is_err() {
                return;
            }
            drop(writing);
            say(format!("wrote the rest '{rest}' of line {n} of {id}, and its end"));
            sleep(if in_pieces { LINE_PAUSE_MS } else { LINE_PAUSE_MS + PIECE_PAUSE_MS });
        }
    })
}

/// What one client got after `UP`.
fn follow(mut client: Client, end: f64, record: Arc<Record>) -> (String, Vec<String>, bool) {
    let (mut lines, mut text, mut next_line) = (Vec::new(), Vec::new(), record.now());
    let mut stream = client.stream.try_clone().ok();
    let _ = client.stream.set_read_timeout(Some(Duration::from_millis(100)));
    let mut buffer = [0u8; 1024];
    let mut closed = false;
    while record.now() < end {
        if record.now() >= next_line {
            next_line += 2_000.0;
            record.line(&format!("client {0}: sends HELLO {0}", client.id));
            if let Some(stream) = &mut stream {
                let _ = stream.write_all(format!("HELLO {}\r\n", client.id).as_bytes());
            }
        }
        match client.reader.read(&mut buffer) {
            Ok(0) => {
                closed = true;
                break;
            }
            Ok(read) => text.extend_from_slice(&buffer[..read]),
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => {
                closed = true;
                break;
            }
        }
        while let Some(end) = text.windows(2).position(|pair| pair == b"\r\n") {
            let line = String::from_utf8_lossy(&text[..end]).into_owned();
            text.drain(..end + 2);
            record.line(&format!("client {}: got line '{line}'", client.id));
            lines.push(line);
        }
    }
    record.line(&format!(
        "client {}: {}",
        client.id,
        if closed { "connection closed" } else { "connection stands" }
    ));
    (client.id, lines, closed)
}

pub fn run(case: &Case) -> Result<bool, Trouble> {
    let record = &case.record;
    let written = Written::default();
    let discovery = Discovery::start("discovery", 40, record)?;
    let members: Vec<Member> = (1..=3)
        .map(|n| Member::start(&format!("box-{n}"), record, tells_slots(written.clone(), case.trouble)))
        .collect::<Result<_, _>>()?;
    for member in &members {
        discovery.set(&[(&member.name, &member.address, "Ready")]);
    }
    let mut node = Node::start(&case.root, &case.folder, &OCONEE, &discovery.address, record)?;
    sleep(500);
    let mut followers = Vec::new();
    let end = record.now() + 14_000.0;
    for _ in 0..CLIENTS {
        let client = Client::open(&node.listen, &OCONEE, record)?;
        if !client.answer.starts_with("UP ") {
            return Err(format!("a client was not served: {}", client.answer).into());
        }
        let record = record.clone();
        followers.push(thread::spawn(move || follow(client, end, record)));
        sleep(77);
    }
    sleep(2_000);
    record.line("PUT /-/drain");
    let status = call(&node.admin, "PUT", "/-/drain")?;
    record.line(&format!("answered {status}"));
    if status / 100 != 2 {
        return Err("the drain was not taken".into());
    }
    let mut held = true;
    let (mut moved, mut wrong) = (0, 0);
    for follower in followers {
        let (id, lines, closed) = follower.join().map_err(|_| "a client panicked")?;
        moved += usize::from(lines.last().is_some_and(|line| line == "MOVE") && closed);
        for line in &lines {
            if line != "MOVE" && !lock(&written).contains(line) {
                record.line(&format!("VERDICT client {id} got a line that its member never wrote: '{line}'"));
                wrong += 1;
                held = false;
            }
        }
    }
    record.line(&format!("{CLIENTS} clients, {moved} moved, {wrong} lines that no member wrote"));
    if !node.runs() {
        return Err("the node has ended".into());
    }
    if moved == 0 {
        return Err("nobody was moved".into());
    }
    Ok(held)
}
