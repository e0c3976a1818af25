//! The clients' listener.

use super::descriptors::NO_ROOM_RETRY_MS;
use super::{Node, session};
use crate::api::Millis;
use crate::broker::Command;
use crate::front::{Front, Input};
use slog::warn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Creates the front of a client that connects at the given time.
pub(super) type FrontFactory = Box<dyn Fn(Millis) -> Box<dyn Front>>;

/// Listens with a backlog sized for bursts of connections: with the usual 128 the kernel dropped the excess,
/// and those clients tried again a second later.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // Lets the node bind its address again immediately after a restart.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts clients. On a passed listener it does so only while this process is ready and not shutting down,
/// as another process may accept on it as well.
pub(super) async fn accept(
    node: Rc<Node>,
    listener: Rc<TcpListener>,
    front: Rc<FrontFactory>,
    listener_passed: bool,
) {
    if listener_passed {
        node.ready_to_accept.notified().await;
        // Kept for this task's next start, should it be started again.
        node.ready_to_accept.notify_one();
    }
    loop {
        let accepted = tokio::select! {
            biased;
            () = node.stop_accepting.notified() => return,
            accepted = listener.accept() => accepted,
        };
        let (client, peer): (_, SocketAddr) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(node.log, "accept failed"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let id = node.broker.borrow_mut().next_id();
        let (send, commands) = mpsc::unbounded_channel();
        let (room, evicted) = node.descriptors.borrow_mut().admit(node.clock.now(), id, send);
        node.report_evicted(evicted);
        let mut front = front(node.clock.now());
        if !room {
            // No evictable connection is left, so the client is rejected at once.
            node.no_room(id, peer, None);
            front.take(node.clock.now(), Input::Command(Command::Reject(NO_ROOM_RETRY_MS)));
            let _ = client.try_write(front.to_client());
            continue;
        }
        tokio::task::spawn_local(session::run(node.clone(), id, peer, client, front, commands));
        // Lets sessions read first: a client whose line has arrived must not be evicted as silent for the
        // next one.
        tokio::task::yield_now().await;
    }
}
