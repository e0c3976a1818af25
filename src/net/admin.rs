//! Driver of the admin HTTP endpoint. It has file descriptors of its own, so that operators can call the node
//! however many clients are connected.

use super::Node;
use super::agree::Agreement;
use super::fleet::Link;
use super::listener::listen;
use crate::admin::{self, Operation, RequestError, RequestParser};
use slog::{info, warn};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

/// Maximum number of concurrent admin connections, one descriptor each, reserved from the process's limit. A
/// complete request is answered at once, so the limit is only reached by connections with an incomplete
/// request; the oldest of these is then closed.
pub(super) const RESERVED_DESCRIPTORS: usize = 12;
/// A request that is not complete after this time is answered with 408.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time to write the response and to read what the caller still sends. Closing a connection with unread input
/// would send a reset, which may reach the caller before the response.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Binds the admin listener.
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    listen(address).map_err(|error| io::Error::new(error.kind(), format!("admin: {address}: {error}")))
}

/// Accepts admin connections; `classes` holds the class names that the metrics use.
pub(super) async fn accept(node: Rc<Node>, listener: Rc<TcpListener>, classes: Vec<String>) {
    let classes: Rc<[String]> = classes.into();
    // Open connections, oldest first: dropping the sender closes the connection.
    let mut connections: VecDeque<oneshot::Sender<()>> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(node.log, "accept failed"; "error" => %error, "listener" => "admin");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        connections.retain(|cancel| !cancel.is_closed());
        if connections.len() >= RESERVED_DESCRIPTORS {
            connections.pop_front();
            // Lets the evicted connection close before this one is served.
            tokio::task::yield_now().await;
        }
        let (cancel, evicted) = oneshot::channel();
        connections.push_back(cancel);
        let (node, classes) = (node.clone(), classes.clone());
        tokio::task::spawn_local(async move {
            tokio::select! {
                _ = evicted => {}
                () = serve_connection(&node, stream, &classes) => {}
            }
        });
    }
}

async fn serve_connection(node: &Rc<Node>, mut stream: TcpStream, classes: &[String]) {
    let request = match tokio::time::timeout(REQUEST_TIMEOUT, read_request(&mut stream)).await {
        Ok(Ok(request)) => request,
        Ok(Err(_)) => return,
        Err(_) => Err(RequestError::Timeout),
    };
    let response = match request {
        Ok(operation) => execute(node, operation, classes),
        Err(reason) => admin::error_response(reason),
    };
    let close = async {
        stream.write_all(&response).await?;
        stream.shutdown().await?;
        let mut sink = [0u8; 512];
        while stream.read(&mut sink).await? > 0 {}
        io::Result::Ok(())
    };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, close).await;
}

/// Reads one request.
///
/// # Errors
/// The connection broke, or was closed before the first byte.
async fn read_request(stream: &mut TcpStream) -> io::Result<Result<Operation, RequestError>> {
    let mut parser = RequestParser::default();
    let mut buffer = [0u8; 1024];
    let mut received = false;
    loop {
        match stream.read(&mut buffer).await? {
            0 if received => return Ok(Err(RequestError::Malformed)),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            length => {
                received = true;
                if let Some(request) = parser.take(&buffer[..length]) {
                    return Ok(request);
                }
            }
        }
    }
}

/// Executes an operation and returns its response.
fn execute(node: &Rc<Node>, operation: Operation, classes: &[String]) -> Vec<u8> {
    match operation {
        Operation::Ready => match node.broker.borrow().readiness() {
            Ok(()) => admin::response(200, "", "ready\n"),
            Err(why) => admin::response(503, "", &format!("not ready: {why}\n")),
        },
        Operation::Metrics => {
            let stats = node.broker.borrow().stats(node.clock.now());
            let mut text = admin::format_metrics(classes, &stats);
            if let Some(link) = &*node.fleet.borrow() {
                text += &link.metrics();
            }
            admin::response(200, "", &text)
        }
        Operation::Fleet => match &*node.fleet.borrow() {
            Some(link) => admin::fleet_response(&link.view(node)),
            None if node.in_fleet => {
                admin::response(503, "", "the fleet's port is still another process's\n")
            }
            None => admin::error_response(RequestError::NotFound),
        },
        Operation::Permits => match fleet_agreement(node) {
            Some((link, agree)) => agree.permits(&link.id().name),
            None => admin::error_response(RequestError::NotFound),
        },
        Operation::Budget(scope, limit) => match fleet_agreement(node) {
            Some((_, agree)) => agree.set_budget(scope, limit),
            None => admin::error_response(RequestError::NotFound),
        },
        Operation::Drain => {
            match fleet_agreement(node) {
                Some((_, agree)) => return agree.drain(node),
                None if node.needs_permit => {
                    return admin::response(503, "", "not in the fleet yet: nobody can be asked\n");
                }
                None => {}
            }
            let accepted = node.with(|broker, now| broker.drain(now));
            command_response(node, "drain", accepted, "draining\n")
        }
        Operation::Resume => {
            let accepted = node.with(|broker, _| broker.resume());
            if let Some((_, agree)) = fleet_agreement(node).filter(|_| accepted) {
                agree.resume();
            }
            command_response(node, "resume", accepted, "taking clients\n")
        }
    }
}

/// The fleet link and the drain agreement, if the node coordinates drains with its fleet and its link is up.
fn fleet_agreement(node: &Rc<Node>) -> Option<(Rc<Link>, Rc<Agreement>)> {
    let link = node.fleet.borrow().clone()?;
    let agree = link.agree.clone()?;
    Some((link, agree))
}

/// Logs a drain or resume command and builds its response: 409 if the node is shutting down.
fn command_response(node: &Node, command: &'static str, accepted: bool, body: &str) -> Vec<u8> {
    info!(node.log, "admin command"; "call" => command, "done" => accepted,
        "transactions" => node.broker.borrow().transactions());
    if accepted { admin::response(200, "", body) } else { admin::response(409, "", "the node ends\n") }
}
