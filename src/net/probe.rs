//! Probes: one connection a member, kept while probes come.

use super::Node;
use crate::api::{BackendId, Outcome};
use crate::platform::{Probe, ProbeReport};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// A probe is given up after this.
const WAIT: Duration = Duration::from_millis(500);

pub(super) fn probe(node: &Rc<Node>, member: BackendId, dial: &str) {
    let Ok(address) = dial.parse::<SocketAddr>() else { return };
    if let Some(known) = node.probes.borrow().get(&member)
        && known.try_send(address).is_ok()
    {
        return;
    }
    let (may, gave_way) = node.descriptors.borrow_mut().may_probe(node.clock.now());
    node.gave_way(gave_way);
    if !may {
        return node.with(|broker, now| broker.probed(now, member, Outcome::NotSent, None, None));
    }
    let (send, asked) = mpsc::channel(1);
    if send.try_send(address).is_ok() {
        node.probes.borrow_mut().insert(member, send);
        let task = tokio::task::spawn_local(run(node.clone(), member, asked));
        node.descriptors.borrow_mut().probe_began(member, task.abort_handle());
    }
}

/// Probes one member while that is asked for. It may be aborted where it waits: whoever does that keeps the books.
async fn run(node: Rc<Node>, member: BackendId, mut asked: mpsc::Receiver<SocketAddr>) {
    let mut kept = None;
    while let Ok(Some(address)) = tokio::time::timeout(node.keepalive, asked.recv()).await {
        // A member may have come back elsewhere.
        let mut stream = kept.take().filter(|(known, _)| *known == address).map(|(_, stream)| stream);
        let ended = tokio::time::timeout(WAIT, once(&mut stream, address)).await;
        let (outcome, said) = ended.unwrap_or((Outcome::TimedOut, None));
        // An answer that is late must not pass for that to the next probe.
        kept = stream.filter(|_| outcome == Outcome::Ok).map(|stream| (address, stream));
        let (report, message) = (said.map(|said| said.report), said.and_then(|said| said.message_ms));
        node.with(|broker, now| broker.probed(now, member, outcome, report, message));
    }
    asked.close();
    drop(kept);
    node.descriptors.borrow_mut().probe_ended(member);
    let mut probes = node.probes.borrow_mut();
    if probes.get(&member).is_some_and(mpsc::Sender::is_closed) {
        probes.remove(&member);
    }
}

async fn once(stream: &mut Option<TcpStream>, address: SocketAddr) -> (Outcome, Option<ProbeReport>) {
    if stream.is_none() {
        match TcpStream::connect(address).await {
            Ok(connected) => *stream = Some(connected),
            Err(_) => return (Outcome::Unreachable, None),
        }
    }
    let Some(stream) = stream else { return (Outcome::Unreachable, None) };
    let mut probe = Probe::default();
    if stream.write_all(Probe::REQUEST).await.is_err() {
        return (Outcome::Reset, None);
    }
    let mut buffer = [0u8; 512];
    loop {
        match stream.read(&mut buffer).await {
            Ok(read @ 1..) => {
                if let Some(ended) = probe.take(&buffer[..read]) {
                    return ended;
                }
            }
            _ => return (probe.outcome_if_closed(), None),
        }
    }
}
