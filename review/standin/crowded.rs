//! Discovery has too many callers for 16 s: calls are handled in turn, and fail with 503 when they have waited
//! for 2 s. Two of eight members begin to drain meanwhile.

use crate::Verdict;
use crate::cut_answer::clients;
use crate::parts::*;
use std::io::{self, BufRead, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;

/// A change counts as told this long after discovery had it and could be reached.
const TOLD_AFTER_MS: u64 = 6_000;
/// `stopSendingWithinMs` of the settings and the 50 ms by which limits are longer on sockets.
const GRACE_MS: u64 = 750 + 50;
const CALLERS: usize = 120;
const CROWDED_AFTER_DRAIN_MS: u64 = 12_000;

pub fn run(trouble: bool, folder: &Path, record: &Record) -> io::Result<Verdict> {
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let discovery = Discovery::start(record)?;
    let members: Vec<Member> =
        (1..=8).map(|n| Member::start(&format!("m-{n}"), record, &arrivals)).collect::<io::Result<_>>()?;
    let listed: Vec<(&str, &str, &'static str)> =
        members.iter().map(|member| (&*member.name, &*member.dial, "Ready")).collect();
    discovery.set(&listed);
    let names = ["a", "b"];
    let nodes: Vec<Node> = names
        .iter()
        .map(|name| Node::start(name, &discovery.address_for(name)?.to_string(), folder, record))
        .collect::<io::Result<_>>()?;
    if !nodes.iter().all(Node::wait_ready) {
        return Ok(Verdict::NotRun("a node did not become ready".into()));
    }
    let over = Arc::new(AtomicBool::new(false));
    let clients = clients(&nodes, record, &over);
    thread::sleep(ms(2_000));

    // Each call takes discovery 250 ms.
    discovery.set_queue(ms(250), ms(2_000));
    let crowd_over = Arc::new(AtomicBool::new(false));
    if trouble {
        record.line(&format!("{CALLERS} other callers come to discovery"));
        let address = discovery.address_for(CROWD)?;
        for number in 0..CALLERS {
            let over = crowd_over.clone();
            thread::spawn(move || {
                // The callers come evenly spread in time.
                thread::sleep(ms(2_100 * number as u64 / CALLERS as u64));
                while !over.load(Relaxed) {
                    let _ = other_call(address);
                    thread::sleep(ms(100));
                }
            });
        }
    }
    thread::sleep(ms(4_000));

    let draining = &members[..2];
    let entries: Vec<(&str, &str, &'static str)> =
        draining.iter().map(|member| (&*member.name, &*member.dial, "Terminating")).collect();
    draining.iter().for_each(|member| lock(&member.state).draining = true);
    discovery.set(&entries);
    let (seq, changed_at) = (2, record.now());
    thread::sleep(ms(CROWDED_AFTER_DRAIN_MS));
    let end = record.now();
    crowd_over.store(true, Relaxed);
    let (handled, expired) = discovery.handled();
    discovery.clear_queue();
    thread::sleep(ms(300));
    over.store(true, Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));

    record.say(&format!("discovery handled {handled} calls, {expired} calls had waited too long"));
    let mut broken = false;
    for name in names {
        let written = lock(&discovery.written)
            .iter()
            .find(|(version, to, _)| *version >= seq && to == name)
            .map(|(_, _, at)| *at);
        let told_at = written.unwrap_or(u64::MAX).min(changed_at + TOLD_AFTER_MS);
        let arrivals = lock(&arrivals);
        let own = || arrivals.iter().filter(|arrival| arrival.id.starts_with(name) && arrival.at <= end);
        let late: Vec<_> = own()
            .filter(|arrival| draining.iter().any(|member| member.name == arrival.member))
            .filter(|arrival| arrival.at > told_at + GRACE_MS)
            .collect();
        let all = own().filter(|arrival| arrival.at > told_at + GRACE_MS).count();
        record.say(&format!(
            "node {name}: discovery had the change at {changed_at} ms and wrote it to the node {}; it counts as told at {told_at} ms; later than {GRACE_MS} ms after that, {} of {all} requests were sent to members that drain",
            written.map_or("not before the end".into(), |at| format!("at {at} ms")),
            late.len()
        ));
        broken |= !late.is_empty();
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}

/// A call of another node that shares discovery.
fn other_call(address: SocketAddr) -> io::Result<()> {
    let mut stream = connect(&address.to_string())?;
    stream.get_mut().write_all(b"GET /v1/endpoints?since=1&timeout_ms=1 HTTP/1.1\r\nHost: d\r\n\r\n")?;
    let (mut line, mut length) = (String::new(), 0);
    while line != "\r\n" {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Ok(());
        }
        length =
            line.strip_prefix("Content-Length: ").and_then(|text| text.trim().parse().ok()).unwrap_or(length);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)
}
