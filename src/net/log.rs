//! Logging to standard error on a thread of its own, so that it never blocks the event loop.

use crate::api::Millis;
use slog::{Drain, Logger, o};
use std::str::FromStr;

/// Maximum number of queued lines; further ones are dropped, and their number is logged.
const MAX_QUEUED_LINES: usize = 8_192;

/// Maximum number of lines about bad input per second.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Rate limit for lines about bad input; counts the suppressed ones. Guards against attacks that fill the
/// log.
#[derive(Default)]
pub(super) struct LogRateLimit {
    second_began: Millis,
    written: u32,
    suppressed: u64,
}

impl LogRateLimit {
    /// Whether a line may be written now, and how many were suppressed before it.
    pub(super) fn allow(&mut self, now: Millis) -> (bool, u64) {
        if now - self.second_began >= 1_000.0 {
            (self.second_began, self.written) = (now, 0);
        }
        if self.written >= MAX_LINES_PER_SECOND {
            self.suppressed += 1;
            return (false, 0);
        }
        self.written += 1;
        (true, std::mem::take(&mut self.suppressed))
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text, for people.
    #[default]
    Text,
    /// One JSON object per line, with node, incarnation and RFC 3339 time, for collecting the logs of many
    /// nodes.
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

/// Creates the program's log, and a guard that flushes queued lines when it is dropped.
pub fn logger(format: LogFormat, node: &str, incarnation: u64) -> (Logger, slog_async::AsyncGuard) {
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain =
                slog_term::FullFormat::new(decorator).use_utc_timestamp().use_original_order().build();
            async_logger(drain.fuse(), o!())
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr());
            let values = o!("node" => node.to_owned(), "incarnation" => incarnation);
            // `Json` is not `Sync`; the mutex is never contended, as one thread writes.
            async_logger(std::sync::Mutex::new(drain).fuse(), values)
        }
    }
}

/// Puts a thread and a bounded queue before a drain; `values` are added to each line.
fn async_logger<D, T>(drain: D, values: slog::OwnedKV<T>) -> (Logger, slog_async::AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
    T: slog::SendSyncRefUnwindSafeKV + 'static,
{
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.fuse(), values), guard)
}

#[cfg(test)]
mod tests;
