//! Discovery has too many callers: it handles calls in turn, and answers those that waited for too long with 503. Members
//! begin to drain meanwhile. The change counts as told 6 s later.

use crate::Case;
use crate::tools::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::thread;
use std::time::Duration;

const NODES: usize = 4;
/// Other callers of discovery, as those of a fleet whose nodes start anew, and for how long they call.
const CALLERS: usize = 240;
const CROWDED_MS: f64 = 20_000.0;
/// Discovery handles four calls a second, and drops one that has waited for 2 s.
const CALL_MS: f64 = 250.0;
const LONGEST_WAIT_MS: f64 = 2_000.0;
/// A change counts as told at the latest this long after discovery had it and could be reached.
const TOLD_AFTER_MS: f64 = 6_000.0;
/// What the pages add to every time limit on sockets.
const SLACK_MS: f64 = 50.0;

/// Calls discovery again and again, 0.7 to 1.3 s after each answer. Counts the calls that were served.
fn caller(
    number: u64,
    discovery: &str,
    stop: &AtomicBool,
    served: &AtomicU64,
    refused: &AtomicU64,
) -> std::io::Result<()> {
    for round in 0u64.. {
        if stop.load(SeqCst) {
            break;
        }
        let mut stream = TcpStream::connect(discovery)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        write!(stream, "GET /v1/endpoints HTTP/1.1\r\nHost: discovery\r\n\r\n")?;
        let mut answer = [0u8; 4096];
        let read = stream.read(&mut answer)?;
        let counter = if answer[..read].starts_with(b"HTTP/1.1 200") { served } else { refused };
        counter.fetch_add(1, SeqCst);
        drop(stream);
        sleep(700 + (number * 7_919 + round * 104_729) % 600);
    }
    Ok(())
}

pub fn run(case: &Case) -> Result<bool, Trouble> {
    let record = &case.record;
    let discovery = Discovery::start("discovery", 40, record)?;
    let members: Vec<Member> =
        (1..=8).map(|n| Member::start(&format!("box-{n}"), record, echo())).collect::<Result<_, _>>()?;
    for member in &members {
        discovery.set(&[(&member.name, &member.address, "Ready")]);
    }
    let mut nodes = Vec::new();
    for n in 1..=NODES {
        let folder = case.folder.join(format!("n{n}"));
        std::fs::create_dir_all(&folder)?;
        nodes.push(Node::start(&case.root, &folder, &OCONEE, &discovery.address, record)?);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut load = Vec::new();
    for node in &nodes {
        let (address, stopped, record) = (node.listen.clone(), stop.clone(), record.clone());
        // Three new connections a second at each node; each stays.
        load.push(thread::spawn(move || {
            let mut clients = Vec::new();
            while !stopped.load(SeqCst) {
                if let Ok(client) = Client::open(&address, &OCONEE, &record) {
                    clients.push(client);
                }
                sleep(330);
            }
            clients.len()
        }));
    }
    sleep(2_000);
    let (served, refused) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let callers_stop = Arc::new(AtomicBool::new(false));
    let crowded_at = record.now();
    if case.trouble {
        record.line("discovery has too many callers from now on");
        lock(&discovery.list.0).line =
            Some(Line { call_ms: CALL_MS, longest_wait_ms: LONGEST_WAIT_MS, free_at: 0.0 });
        for number in 0..CALLERS as u64 {
            let (address, stop) = (discovery.address.clone(), callers_stop.clone());
            let (served, refused) = (served.clone(), refused.clone());
            thread::spawn(move || caller(number, &address, &stop, &served, &refused));
            sleep(4);
        }
    }
    // The nodes' watches end within 2 s; their next calls wait in line.
    sleep(4_000);
    let draining = &members[..4];
    draining.iter().for_each(|member| member.draining.store(true, SeqCst));
    let changes: Vec<(&str, &str, &'static str)> =
        draining.iter().map(|member| (&*member.name, &*member.address, "Terminating")).collect();
    let changed = record.now();
    discovery.set(&changes);
    sleep((crowded_at + CROWDED_MS - record.now()).max(0.0) as u64);
    callers_stop.store(true, SeqCst);
    stop.store(true, SeqCst);
    let mut clients = 0;
    for thread in load {
        clients += thread.join().map_err(|_| "the load panicked")?;
    }
    record.line(&format!(
        "other callers: {} calls served, {} answered 503",
        served.load(SeqCst),
        refused.load(SeqCst)
    ));
    if case.trouble && served.load(SeqCst) < 20 {
        return Err("discovery could not be reached".into());
    }
    let bound = changed + TOLD_AFTER_MS + OCONEE.grace_ms as f64 + SLACK_MS;
    let mut late = 0;
    for member in draining {
        for sent in lock(&member.attempts).iter().filter(|sent| sent.at > bound) {
            record.line(&format!(
                "VERDICT {} was sent {} {:.0} ms after discovery had the change",
                member.name,
                sent.id,
                sent.at - changed
            ));
            late += 1;
        }
    }
    record.line(&format!("{clients} clients; {late} requests to draining members past the grace"));
    if nodes.iter_mut().any(|node| !node.runs()) {
        return Err("a node has ended".into());
    }
    Ok(late == 0)
}
