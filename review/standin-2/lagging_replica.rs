//! A new configuration moves discovery to an address whose list runs some seconds behind. A member that the node was
//! told of as draining, before, must not get new work.

use crate::Case;
use crate::tools::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;

/// How far the list at the new address runs behind.
const BEHIND_MS: u64 = 5_000;
/// What the pages add to every time limit on sockets.
const SLACK_MS: f64 = 50.0;

pub fn run(case: &Case) -> Result<bool, Trouble> {
    let record = &case.record;
    let (old, new) =
        (Discovery::start("old discovery", 40, record)?, Discovery::start("new discovery", 40, record)?);
    let members: Vec<Member> =
        (1..=4).map(|n| Member::start(&format!("box-{n}"), record, echo())).collect::<Result<_, _>>()?;
    // One service: both addresses have the same versions; one may have them later.
    for member in &members {
        old.set(&[(&member.name, &member.address, "Ready")]);
        new.set(&[(&member.name, &member.address, "Ready")]);
    }
    let mut node = Node::start(&case.root, &case.folder, &PORT_LOUIS, &old.address, record)?;
    let (address, stop) = (node.listen.clone(), Arc::new(AtomicBool::new(false)));
    let (stopped, load_record) = (stop.clone(), record.clone());
    let load = thread::spawn(move || {
        // About eight new connections a second, each of which stays.
        let mut clients = Vec::new();
        while !stopped.load(SeqCst) {
            if let Ok(client) = Client::open(&address, &PORT_LOUIS, &load_record) {
                clients.push(client);
            }
            sleep(120);
        }
        clients.len()
    });
    sleep(1_500);
    let draining = &members[0];
    draining.draining.store(true, SeqCst);
    old.set(&[(&draining.name, &draining.address, "Terminating")]);
    if !case.trouble {
        new.set(&[(&draining.name, &draining.address, "Terminating")]);
    }
    sleep(2_000);
    let told = old.told_at(&draining.name, "Terminating").ok_or("the node was not told of the drain")?;
    record.line("SIGHUP: the configuration names the new address of discovery");
    node.move_discovery(&new.address)?;
    sleep(BEHIND_MS);
    if case.trouble {
        new.set(&[(&draining.name, &draining.address, "Terminating")]);
    }
    sleep(3_000);
    stop.store(true, SeqCst);
    let clients = load.join().map_err(|_| "the load panicked")?;
    let late: Vec<Attempt> = lock(&draining.attempts)
        .iter()
        .filter(|sent| sent.at > told + PORT_LOUIS.grace_ms as f64 + SLACK_MS)
        .cloned()
        .collect();
    for sent in &late {
        record.line(&format!(
            "VERDICT {} was sent {} {:.0} ms after the node was told that it drains",
            draining.name,
            sent.id,
            sent.at - told
        ));
    }
    record.line(&format!("{clients} clients; {} requests to the draining member past the grace", late.len()));
    if !node.runs() {
        return Err("the node has ended".into());
    }
    Ok(late.is_empty())
}
