//! Runs the tasks that have to last as long as the process: one that panics is logged and started again.
//!
//! Without a supervisor a panic ends its task alone. The process goes on and answers readiness checks, but
//! fires no timers, accepts nobody or asks discovery nothing.

use super::Node;
use crate::api::Millis;
use crate::restart::{FAILURE_WINDOW_MS, FailureHistory, Restart};
use std::fmt;
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A task that has to last as long as the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Part {
    /// Fires the broker's timers.
    Timers,
    /// Watches discovery.
    Discovery,
    /// Accepts clients.
    ClientListener,
    /// Accepts operators' calls.
    AdminListener,
    /// Passes records to their writer.
    Recorder,
}

impl Part {
    /// Whether clients are not served without this part.
    pub(super) fn is_needed_by_clients(self) -> bool {
        matches!(self, Part::Timers | Part::Discovery | Part::ClientListener)
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Part::Timers => "timers",
            Part::Discovery => "discovery",
            Part::ClientListener => "client listener",
            Part::AdminListener => "admin listener",
            Part::Recorder => "recorder",
        })
    }
}

/// A future panicked. The panic itself has been written to standard error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Panicked;

/// Runs a future to its end. The future is boxed: an `async fn` would hold it twice.
///
/// # Errors
/// The future panicked; it is not polled again.
pub(super) fn catch_panic<T>(future: impl Future<Output = T>) -> impl Future<Output = Result<T, Panicked>> {
    let mut future = Box::pin(future);
    std::future::poll_fn(move |context| {
        match catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(context))) {
            Ok(poll) => poll.map(Ok),
            Err(_) => Poll::Ready(Err(Panicked)),
        }
    })
}

/// What a supervisor reports of its part.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Report {
    /// It panicked.
    Failed(Restart),
    /// It has lasted for the failure window since its last start.
    Works,
}

/// Spawns a part. A part that ends without a panic has done its work and is not started again.
pub(super) fn spawn<F>(node: &Rc<Node>, part: Part, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let report = |report| match report {
            Report::Failed(restart) => node.part_failed(part, restart),
            Report::Works => node.part_works(part),
        };
        supervise(start, || node.clock.now(), report).await;
    });
}

/// Runs a part, and starts it again for as long as it panics.
async fn supervise<F>(start: impl Fn() -> F, now: impl Fn() -> Millis, report: impl Fn(Report))
where
    F: Future<Output = ()>,
{
    let mut history = FailureHistory::default();
    while run_once(start(), &report).await == Err(Panicked) {
        let restart = history.failed(now());
        report(Report::Failed(restart));
        sleep(Duration::from_secs_f64(restart.delay_ms / 1_000.0)).await;
    }
}

async fn run_once(run: impl Future<Output = ()>, report: &impl Fn(Report)) -> Result<(), Panicked> {
    let mut run = pin!(catch_panic(run));
    match timeout(Duration::from_secs_f64(FAILURE_WINDOW_MS / 1_000.0), &mut run).await {
        Ok(ended) => ended,
        Err(_) => {
            report(Report::Works);
            run.await
        }
    }
}

#[cfg(test)]
mod tests;
