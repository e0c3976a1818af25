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
    if let Some(known) = node.probes.borrow().get(&member)
        && known.try_send(()).is_ok()
    {
        return;
    }
    let Ok(address) = dial.parse::<SocketAddr>() else { return };
    let (send, asked) = mpsc::channel(1);
    if send.try_send(()).is_ok() {
        node.probes.borrow_mut().insert(member, send);
        tokio::task::spawn_local(run(node.clone(), member, address, asked));
    }
}

async fn run(node: Rc<Node>, member: BackendId, address: SocketAddr, mut asked: mpsc::Receiver<()>) {
    let mut stream = None;
    while let Ok(Some(())) = tokio::time::timeout(node.keepalive, asked.recv()).await {
        let ended = tokio::time::timeout(WAIT, once(&mut stream, address)).await;
        let (outcome, said) = ended.unwrap_or((Outcome::TimedOut, None));
        let (report, message) = (said.map(|said| said.report), said.and_then(|said| said.message_ms));
        node.with(|broker, now| broker.probed(now, member, outcome, report, message));
        if outcome != Outcome::Ok {
            break;
        }
    }
    asked.close();
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
    if stream.write_all(Probe::ASK).await.is_err() {
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
            _ => return (probe.broke(), None),
        }
    }
}
