//! Discovery writes that two of eight members drain, and dies while this answer is on its way. It stays down
//! for 8 s.

use crate::Verdict;
use crate::parts::*;
use crate::proxy::Proxy;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;

/// `stopSendingWithinMs` of the settings and the 50 ms by which limits are longer on sockets.
const GRACE_MS: u64 = 750 + 50;
const DOWN_MS: u64 = 8_000;

pub fn run(trouble: bool, folder: &Path, record: &Record) -> io::Result<Verdict> {
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let discovery = Discovery::start(record)?;
    let members: Vec<Member> =
        (1..=8).map(|n| Member::start(&format!("m-{n}"), record, &arrivals)).collect::<io::Result<_>>()?;
    let listed: Vec<(&str, &str, &'static str)> =
        members.iter().map(|member| (&*member.name, &*member.dial, "Ready")).collect();
    discovery.set(&listed);
    let names = ["a", "b"];
    let proxies: Vec<Proxy> = names
        .iter()
        .map(|name| Proxy::start(&format!("link of node {name}"), discovery.address, record))
        .collect::<io::Result<_>>()?;
    let nodes: Vec<Node> = names
        .iter()
        .zip(&proxies)
        .map(|(name, proxy)| Node::start(0, 2, name, &proxy.address.to_string(), folder, record))
        .collect::<io::Result<_>>()?;
    if !nodes.iter().all(Node::wait_ready) {
        return Ok(Verdict::NotRun("a node did not become ready".into()));
    }
    let over = Arc::new(AtomicBool::new(false));
    let clients = clients(&nodes, record, &over);
    thread::sleep(ms(3_000));

    if trouble {
        proxies.iter().for_each(|proxy| proxy.cut_answer_with("Terminating"));
    }
    let draining = &members[..2];
    draining.iter().for_each(|member| lock(&member.state).draining = true);
    let seq = 2;
    let entries: Vec<(&str, &str, &'static str)> =
        draining.iter().map(|member| (&*member.name, &*member.dial, "Terminating")).collect();
    discovery.set(&entries);
    let told_at: Vec<Option<u64>> = if trouble {
        thread::sleep(ms(60));
        // A node that was not waiting just now was not told. Discovery is down for it as well.
        let cut: Vec<_> = proxies.iter().map(Proxy::cut_at).collect();
        proxies.iter().zip(&cut).filter(|(_, cut)| cut.is_none()).for_each(|(proxy, _)| proxy.down());
        thread::sleep(ms(DOWN_MS));
        proxies.iter().for_each(Proxy::up);
        cut
    } else {
        thread::sleep(ms(DOWN_MS));
        let written =
            lock(&discovery.written).iter().find(|(version, _, _)| *version == seq).map(|(_, _, at)| *at);
        vec![written; 2]
    };
    let end = record.now();
    thread::sleep(ms(500));
    over.store(true, Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));

    if told_at.iter().all(Option::is_none) {
        return Ok(Verdict::NotRun("no node was told of the drain".into()));
    }
    let mut broken = false;
    for (name, told_at) in names.iter().zip(told_at) {
        let Some(told_at) = told_at else {
            record.say(&format!("node {name}: was not told of the drain"));
            continue;
        };
        let arrivals = lock(&arrivals);
        let own = || arrivals.iter().filter(|arrival| arrival.id.starts_with(name) && arrival.at <= end);
        let late: Vec<_> = own()
            .filter(|arrival| draining.iter().any(|member| member.name == arrival.member))
            .filter(|arrival| arrival.at > told_at + GRACE_MS)
            .collect();
        let all = own().filter(|arrival| arrival.at > told_at + GRACE_MS).count();
        record.say(&format!(
            "node {name}: told at {told_at} ms; later than {GRACE_MS} ms after it, {} of {all} requests were sent to members that drain{}",
            late.len(),
            late.last().map_or(String::new(), |last| format!(", the last {} ms after it was told", last.at - told_at))
        ));
        broken |= !late.is_empty();
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}

/// At each node a new client every 60 ms, which leaves 400 ms after it was served.
pub fn clients(nodes: &[Node], record: &Record, over: &Arc<AtomicBool>) -> Vec<thread::JoinHandle<()>> {
    let start = |node: &Node| {
        let (name, address, record, over) =
            (node.name.clone(), node.listen.clone(), record.clone(), over.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !over.load(Relaxed) {
                number += 1;
                let (id, address, record) = (format!("{name}{number}"), address.clone(), record.clone());
                thread::spawn(move || {
                    let answer = connect(&address).and_then(|mut stream| {
                        let answer = open(&mut stream, &open_line(&id, "view", 1_800), &address, &record)?;
                        if answer.starts_with("UP ") {
                            thread::sleep(ms(400));
                        }
                        Ok(answer)
                    });
                    let text = answer.unwrap_or_else(|error| format!("({error})"));
                    record.line(&format!("client {id} gets {text}"));
                });
                thread::sleep(ms(60));
            }
        })
    };
    nodes.iter().map(start).collect()
}
