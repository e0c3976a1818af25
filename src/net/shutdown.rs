//! Graceful shutdown of a node.

use super::{Node, fleet};
use crate::api::Millis;
use slog::{info, warn};
use std::rc::Rc;
use std::time::Duration;

/// Minimum time that a node goes on accepting connections after SIGTERM, as new ones still arrive for a
/// while.
const MIN_SHUTDOWN_MS: Millis = 600.0;

/// Shuts down gracefully: serves on while clients are moved, until none is left or the time given by the
/// broker is over.
pub(super) async fn shut_down(node: &Rc<Node>, listener_passed: bool) {
    let began = node.clock.now();
    fleet::begin_shutdown(node, listener_passed);
    if listener_passed {
        // Another process accepts on the same queue and takes the connections not accepted yet.
        node.stop_accepting.notify_one();
    }
    // Without a passed listener no other process would take the connections that still arrive.
    let min_ms = if listener_passed { 0.0 } else { MIN_SHUTDOWN_MS };
    info!(node.log, "shutting down"; "transactions" => node.broker.borrow().transactions());
    let deadline = began + node.with(|broker, now| broker.leave(now));
    while node.clock.now() < deadline {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let closed = node.clock.now() > began + min_ms;
        if closed && node.broker.borrow().transactions() == 0 && node.descriptors.borrow().is_empty() {
            break;
        }
    }
    let left = node.broker.borrow().transactions();
    if left > 0 {
        warn!(node.log, "shutdown time is over, closing open transactions"; "transactions" => left);
    }
    fleet::leave(node);
}
