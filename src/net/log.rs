//! Log lines go to standard error through a thread of their own, so that they never hold up the loop.

use crate::api::Millis;
use slog::{Drain, Logger, o};
use std::str::FromStr;

/// Lines that may wait; what comes on top is dropped, and counted in the log.
const WAITING: usize = 8_192;

/// Lines about bad input that are written in a second.
const A_SECOND: u32 = 20;

/// Lets so many lines a second pass and counts the others: guards against attacks that fill the log.
#[derive(Default)]
pub(super) struct Gate {
    began: Millis,
    passed: u32,
    held: u64,
}

impl Gate {
    /// Whether a line may pass now, and how many were held back before it.
    pub(super) fn pass(&mut self, now: Millis) -> (bool, u64) {
        if now - self.began >= 1_000.0 {
            (self.began, self.passed) = (now, 0);
        }
        if self.passed >= A_SECOND {
            self.held += 1;
            return (false, 0);
        }
        self.passed += 1;
        (true, std::mem::take(&mut self.held))
    }
}

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line, with node, incarnation and the time in RFC 3339, for those who gather many nodes' lines.
    Json,
}

impl FromStr for LogFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err("a log format is text or json"),
        }
    }
}

/// The program's log, and a guard that writes out what still waits when it is dropped.
pub fn logger(format: LogFormat, node: &str, incarnation: u64) -> (Logger, slog_async::AsyncGuard) {
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain =
                slog_term::FullFormat::new(decorator).use_utc_timestamp().use_original_order().build();
            through_a_thread(drain.fuse(), o!())
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr());
            let of = o!("node" => node.to_owned(), "incarnation" => incarnation);
            // Json is not Sync on its own; one thread writes.
            through_a_thread(std::sync::Mutex::new(drain).fuse(), of)
        }
    }
}

fn through_a_thread<D, T>(drain: D, of: slog::OwnedKV<T>) -> (Logger, slog_async::AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
    T: slog::SendSyncRefUnwindSafeKV + 'static,
{
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(WAITING)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.fuse(), of), guard)
}

#[cfg(test)]
mod tests;
