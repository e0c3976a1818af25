//! Driver of the event recorder: takes records from the broker and passes them, through a bounded queue, to a
//! thread that writes them to disk. Recording never blocks the event loop and never stops the node: records
//! that find no room in the queue are dropped and counted.

use super::Node;
use crate::api::Millis;
use crate::broker::{Counters, site_header};
use crate::config::{Config, Records};
use hopmoor_record::folder::Notice;
use hopmoor_record::{Header, RealDisk, Record, Writer};
use slog::{Logger, error, info, warn};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval at which records are passed to the writer; a node that is killed loses at most the records of one
/// interval.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of batches that wait to be written.
const MAX_QUEUED_BATCHES: usize = 8;
/// The counters are recorded every this many intervals, which is once a second.
const INTERVALS_PER_COUNTERS: u32 = 10;
/// Time at shutdown for writing the last records.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Records that are written together.
struct Batch {
    now: Millis,
    /// Time of the system's clock, as the node's own is monotonic.
    wall: Millis,
    /// Number of records that were dropped before these, and the time of the first.
    missed: Option<(u64, Millis)>,
    records: Vec<Record>,
}

/// The event loop's side of the queue.
pub(super) struct Recorder {
    queue: Cell<Option<SyncSender<Batch>>>,
    /// Empty buffers that the writer returns for reuse.
    spare_buffers: Receiver<Vec<Record>>,
    /// Closed when the writer thread ends.
    done: Receiver<()>,
    /// Number of records dropped since the last batch that was queued, and the time of the first.
    missed: Cell<Option<(u64, Millis)>>,
    /// Number of records that the writer failed to write.
    lost: Arc<AtomicU64>,
}

/// Unix time in milliseconds by the system's clock.
fn wall_clock() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0
}

impl Recorder {
    /// Creates the first segment and starts the writer thread.
    ///
    /// # Errors
    /// The folder is missing or can't be written to; the message names the field.
    pub(super) fn start(records: &Records, config: &Config, now: Millis, log: Logger) -> io::Result<Self> {
        let header = Header {
            node: config.name.clone(),
            program: env!("CARGO_PKG_VERSION").into(),
            started: now,
            sequence: 0,
            base: now,
            wall: wall_clock(),
            site: site_header(&config.site),
            counters: Counters::NAMES.iter().map(|name| (*name).to_owned()).collect(),
        };
        let writer = Writer::new(RealDisk, &records.folder, records.retention, header).map_err(|error| {
            let folder = records.folder.display();
            io::Error::new(error.kind(), format!("records.folder: {folder}: {error}"))
        })?;
        info!(log, "recording"; "folder" => records.folder.display().to_string());
        let (queue, batches) = sync_channel(MAX_QUEUED_BATCHES);
        let (returned_buffers, spare_buffers) = sync_channel(MAX_QUEUED_BATCHES);
        let (ended, done) = sync_channel(0);
        let lost = Arc::new(AtomicU64::new(0));
        let lost_by_writer = lost.clone();
        std::thread::Builder::new().name("recorder".into()).spawn(move || {
            write_batches(writer, &batches, &returned_buffers, &lost_by_writer, &log);
            drop(ended);
        })?;
        let (queue, missed) = (Cell::new(Some(queue)), Cell::new(None));
        Ok(Recorder { queue, spare_buffers, done, missed, lost })
    }

    /// Queues a batch; if the queue is full or closed, drops it and counts its records.
    fn enqueue(&self, batch: Batch) {
        let Some(queue) = self.queue.take() else { return };
        let sent = queue.try_send(batch);
        self.queue.set(Some(queue));
        if let Err(TrySendError::Full(batch) | TrySendError::Disconnected(batch)) = sent {
            let (before, since) = batch.missed.unwrap_or((0, batch.now));
            let first = batch.records.first().map_or(since, |record| since.min(record.at));
            self.missed.set(Some((before + batch.records.len() as u64, first)));
        }
    }
}

/// Passes collected records to the writer at each interval, and the counters once a second, until the node
/// ends.
pub(super) async fn flush_periodically(node: Rc<Node>) {
    let mut interval = 0u32;
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        interval = interval.wrapping_add(1);
        let counters_due = interval.is_multiple_of(INTERVALS_PER_COUNTERS);
        if counters_due {
            node.broker.borrow_mut().record_counters(node.clock.now(), wall_clock());
        }
        if counters_due || node.broker.borrow().has_records() {
            flush(&node);
        }
    }
}

/// Passes the records that the broker has collected to the writer.
fn flush(node: &Node) {
    let Some(recorder) = &node.recorder else { return };
    let now = node.clock.now();
    let lost = recorder.lost.load(Relaxed);
    let taken = {
        let mut broker = node.broker.borrow_mut();
        broker.records_lost(lost);
        broker.take_records(recorder.spare_buffers.try_recv().unwrap_or_default())
    };
    let missed = match (recorder.missed.take(), taken.missed) {
        (Some((a, since)), Some((b, _))) => Some((a + b, since)),
        (a, b) => a.or(b),
    };
    recorder.enqueue(Batch { now, wall: wall_clock(), missed, records: taken.records });
}

/// Records the node's regular end and waits until the last records are written, at most
/// [`FINAL_FLUSH_TIMEOUT`].
pub(super) fn finish(node: &Node) {
    let Some(recorder) = &node.recorder else { return };
    flush(node);
    node.broker.borrow_mut().record_stopped(node.clock.now());
    flush(node);
    recorder.queue.take();
    let _ = recorder.done.recv_timeout(FINAL_FLUSH_TIMEOUT);
}

/// The writer thread.
fn write_batches(
    mut writer: Writer,
    batches: &Receiver<Batch>,
    returned_buffers: &SyncSender<Vec<Record>>,
    lost: &AtomicU64,
    log: &Logger,
) {
    let mut dropping = false;
    for Batch { now, wall, missed, mut records } in batches {
        if let Some((missed, since)) = missed {
            // Logged once per episode; the counter and the gaps in the records show the rest.
            if !std::mem::replace(&mut dropping, true) {
                warn!(log, "records dropped, writer is behind"; "records" => missed);
            }
            writer.record_loss(missed, since);
        } else {
            dropping = false;
        }
        writer.write(now, wall, &records);
        lost.store(writer.lost(), Relaxed);
        while let Some(notice) = writer.next_notice() {
            match notice {
                Notice::WriteFailed(error) => error!(log, "records not written"; "error" => %error),
                Notice::Recovered(lost) => info!(log, "records written again"; "lost" => lost),
                Notice::CleanupFailed(path, error) => {
                    warn!(log, "segment could not be tidied up";
                        "path" => path.display().to_string(), "error" => %error)
                }
            }
        }
        records.clear();
        let _ = returned_buffers.try_send(records);
    }
}
