//! Log lines go to standard error through a thread of their own, so that they never hold up the loop.

use slog::{Drain, Logger, o};

/// Lines that may wait; what comes on top is dropped, and counted in the log.
const WAITING: usize = 8_192;

/// The program's log, and a guard that writes out what still waits when it is dropped.
pub fn logger() -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().use_original_order().build().fuse();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(WAITING)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}
