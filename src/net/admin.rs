//! Answers operators: descriptors of its own, so that no crowd of clients keeps a call out.

use super::agree::Agree;
use super::fleet::Link;
use super::{Node, listen};
use crate::admin::{self, Ask, Call, Refused};
use slog::{info, warn};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

/// Callers at once; their descriptors are kept back from those of clients. A call that is whole is answered at
/// once, so that only those that wait for the rest of one fill them, and the oldest of them gives way.
pub(super) const DESCRIPTORS: usize = 12;
/// A call that is not whole by then is refused.
const WAIT: Duration = Duration::from_secs(5);
/// The answer is written, and what the caller still sends is read, within this: closing before would answer it
/// with a reset that may overtake the answer.
const FLUSH: Duration = Duration::from_millis(1_000);

/// Listens where operators call.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    listen(address).map_err(|error| io::Error::new(error.kind(), format!("admin: {address}: {error}")))
}

pub(super) async fn accept(node: Rc<Node>, listener: TcpListener, classes: Vec<String>) {
    let classes: Rc<[String]> = classes.into();
    // Open calls, oldest first: dropping the sender ends the call.
    let mut calls: VecDeque<oneshot::Sender<()>> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(node.log, "accept failed"; "error" => %error, "listener" => "admin");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        calls.retain(|call| !call.is_closed());
        if calls.len() >= DESCRIPTORS {
            calls.pop_front();
            // The one that gave way closes first.
            tokio::task::yield_now().await;
        }
        let (call, given_way) = oneshot::channel();
        calls.push_back(call);
        let (node, classes) = (node.clone(), classes.clone());
        tokio::task::spawn_local(async move {
            tokio::select! {
                _ = given_way => {}
                () = serve(&node, stream, &classes) => {}
            }
        });
    }
}

async fn serve(node: &Rc<Node>, mut stream: TcpStream, classes: &[String]) {
    let asked = match tokio::time::timeout(WAIT, read(&mut stream)).await {
        Ok(Ok(asked)) => asked,
        Ok(Err(_)) => return,
        Err(_) => Err(Refused::Late),
    };
    let answer = match asked {
        Ok(ask) => answer(node, ask, classes),
        Err(refused) => admin::refusal(refused),
    };
    let last = async {
        stream.write_all(&answer).await?;
        stream.shutdown().await?;
        let mut sink = [0u8; 512];
        while stream.read(&mut sink).await? > 0 {}
        io::Result::Ok(())
    };
    let _ = tokio::time::timeout(FLUSH, last).await;
}

/// Reads until the call is whole. An error if the connection broke, or ended before a byte came.
async fn read(stream: &mut TcpStream) -> io::Result<Result<Ask, Refused>> {
    let mut call = Call::default();
    let mut buffer = [0u8; 1024];
    let mut begun = false;
    loop {
        match stream.read(&mut buffer).await? {
            0 if begun => return Ok(Err(Refused::Unreadable)),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => {
                begun = true;
                if let Some(asked) = call.take(&buffer[..read]) {
                    return Ok(asked);
                }
            }
        }
    }
}

fn answer(node: &Rc<Node>, ask: Ask, classes: &[String]) -> Vec<u8> {
    match ask {
        Ask::Ready => match node.broker.borrow().readiness() {
            Ok(()) => admin::answer(200, "", "ready\n"),
            Err(why) => admin::answer(503, "", &format!("not ready: {why}\n")),
        },
        Ask::Metrics => {
            let stats = node.broker.borrow().stats(node.clock.now());
            let mut text = admin::metrics(classes, &stats);
            if let Some(link) = &*node.fleet.borrow() {
                text += &link.metrics();
            }
            admin::answer(200, "", &text)
        }
        Ask::Fleet => match &*node.fleet.borrow() {
            Some(link) => admin::fleet(&link.view(node)),
            None if node.in_fleet => admin::answer(503, "", "the fleet's port is still another process's\n"),
            None => admin::refusal(Refused::Unknown),
        },
        Ask::Permits => match agreement(node) {
            Some((link, agree)) => agree.permits(&link.id().name),
            None => admin::refusal(Refused::Unknown),
        },
        Ask::Budget(scope, most) => match agreement(node) {
            Some((_, agree)) => agree.set_budget(scope, most),
            None => admin::refusal(Refused::Unknown),
        },
        Ask::Drain => {
            match agreement(node) {
                Some((_, agree)) => return agree.drain(node),
                None if node.agrees => {
                    return admin::answer(503, "", "not in the fleet yet: nobody can be asked\n");
                }
                None => {}
            }
            let done = node.with(|broker, now| broker.drain(now));
            said(node, "drain", done, "draining\n")
        }
        Ask::Resume => {
            let done = node.with(|broker, _| broker.resume());
            if let Some((_, agree)) = agreement(node).filter(|_| done) {
                agree.resume();
            }
            said(node, "resume", done, "taking clients\n")
        }
    }
}

/// The link and the agreement, where drains are asked of the fleet.
fn agreement(node: &Rc<Node>) -> Option<(Rc<Link>, Rc<Agree>)> {
    let link = node.fleet.borrow().clone()?;
    let agree = link.agree.clone()?;
    Some((link, agree))
}

fn said(node: &Node, call: &'static str, done: bool, body: &str) -> Vec<u8> {
    info!(node.log, "told by an operator"; "call" => call, "done" => done,
        "transactions" => node.broker.borrow().transactions());
    if done { admin::answer(200, "", body) } else { admin::answer(409, "", "the node ends\n") }
}
