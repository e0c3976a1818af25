//! Discovery writes an answer in pieces. A member whose entry, as draining, has been written must not get new work
//! past the grace.

use crate::Case;
use crate::tools::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;

/// What the pages add to every time limit on sockets.
const SLACK_MS: f64 = 50.0;
/// Bytes of a piece, and the pause after it.
const PIECE: (usize, u64) = (16, 100);

pub fn run(case: &Case) -> Result<bool, Trouble> {
    let record = &case.record;
    let discovery = Discovery::start("discovery", 40, record)?;
    let members: Vec<Member> =
        (1..=8).map(|n| Member::start(&format!("box-{n}"), record, echo())).collect::<Result<_, _>>()?;
    for member in &members {
        discovery.set(&[(&member.name, &member.address, "Ready")]);
    }
    let mut node = Node::start(&case.root, &case.folder, &OCONEE, &discovery.address, record)?;
    let (address, stop) = (node.listen.clone(), Arc::new(AtomicBool::new(false)));
    let mut load = Vec::new();
    for _ in 0..2 {
        let (stopped, load_record, address) = (stop.clone(), record.clone(), address.clone());
        load.push(thread::spawn(move || {
            let mut clients = Vec::new();
            while !stopped.load(SeqCst) {
                if let Ok(client) = Client::open(&address, &OCONEE, &load_record) {
                    clients.push(client);
                }
                sleep(120);
            }
            clients.len()
        }));
    }
    sleep(2_500);
    if case.trouble {
        discovery.set_writing(Writing::Pieces(PIECE.0, PIECE.1));
    }
    // A release replaces half of the members: they drain in one step.
    let draining = &members[..4];
    let changes: Vec<(&str, &str, &'static str)> =
        draining.iter().map(|member| (&*member.name, &*member.address, "Terminating")).collect();
    discovery.set(&changes);
    sleep(8_000);
    stop.store(true, SeqCst);
    let mut clients = 0;
    for thread in load {
        clients += thread.join().map_err(|_| "the load panicked")?;
    }
    let mut late = 0;
    for member in draining {
        let told =
            discovery.told_at(&member.name, "Terminating").ok_or("the node was not told of the drain")?;
        for sent in
            lock(&member.attempts).iter().filter(|sent| sent.at > told + OCONEE.grace_ms as f64 + SLACK_MS)
        {
            record.line(&format!(
                "VERDICT {} was sent {} {:.0} ms after its entry was written to the node",
                member.name,
                sent.id,
                sent.at - told
            ));
            late += 1;
        }
    }
    record.line(&format!("{clients} clients; {late} requests to draining members past the grace"));
    if !node.runs() {
        return Err("the node has ended".into());
    }
    Ok(late == 0)
}
