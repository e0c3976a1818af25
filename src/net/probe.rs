//! Driver of probes: one task and one connection per member, which stays open between probes.

use super::Node;
use crate::api::{BackendId, Outcome};
use crate::platform::{Probe, ProbeReport};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// A probe without an answer after this time has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes a member: through its running task if there is one, else through a new one if the descriptor budget
/// allows.
pub(super) fn probe(node: &Rc<Node>, member: BackendId, dial: &str) {
    let Ok(address) = dial.parse::<SocketAddr>() else { return };
    if let Some(known) = node.probes.borrow().get(&member)
        && known.try_send(address).is_ok()
    {
        return;
    }
    let (may, evicted) = node.descriptors.borrow_mut().may_probe(node.clock.now());
    node.report_evicted(evicted);
    if !may {
        return node.with(|broker, now| broker.probed(now, member, Outcome::NotSent, None, None));
    }
    let (send, requests) = mpsc::channel(1);
    if send.try_send(address).is_ok() {
        node.probes.borrow_mut().insert(member, send);
        let task = tokio::task::spawn_local(run(node.clone(), member, requests));
        node.descriptors.borrow_mut().probe_started(member, task.abort_handle());
    }
}

/// Probes one member until no probe has been requested for the keep-alive time. The descriptor budget may
/// abort this task at any await point; the code that does so releases the descriptor and removes the entry.
async fn run(node: Rc<Node>, member: BackendId, mut requests: mpsc::Receiver<SocketAddr>) {
    let mut connection = None;
    while let Ok(Some(address)) = tokio::time::timeout(node.keepalive, requests.recv()).await {
        // A restarted member may have another address.
        let mut stream = connection.take().filter(|(known, _)| *known == address).map(|(_, stream)| stream);
        let result = tokio::time::timeout(PROBE_TIMEOUT, probe_once(&mut stream, address)).await;
        let (outcome, answer) = result.unwrap_or((Outcome::TimedOut, None));
        // Closed unless the probe succeeded, or a late answer would be taken for the answer to the next
        // probe.
        connection = stream.filter(|_| outcome == Outcome::Ok).map(|stream| (address, stream));
        let (report, latency_ms) =
            (answer.map(|answer| answer.report), answer.and_then(|answer| answer.message_ms));
        node.with(|broker, now| broker.probed(now, member, outcome, report, latency_ms));
    }
    requests.close();
    drop(connection);
    node.descriptors.borrow_mut().probe_ended(member);
    let mut probes = node.probes.borrow_mut();
    if probes.get(&member).is_some_and(mpsc::Sender::is_closed) {
        probes.remove(&member);
    }
}

/// Sends one probe and reads its answer; connects first if needed.
async fn probe_once(stream: &mut Option<TcpStream>, address: SocketAddr) -> (Outcome, Option<ProbeReport>) {
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
                if let Some(result) = probe.take(&buffer[..read]) {
                    return result;
                }
            }
            _ => return (probe.outcome_if_closed(), None),
        }
    }
}
