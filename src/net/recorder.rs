//! The recorder's driver: takes records off the broker's tape and hands them, through a bounded queue, to a thread
//! that writes them. Recording never holds up the loop and never ends the node: what finds no room is counted.

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

/// Records are handed on this often: a node that is killed loses no more than these.
const EVERY: Duration = Duration::from_millis(100);
/// Batches that may wait for the disk.
const WAITING: usize = 8;
/// Every so many batches the counters are recorded: once a second.
const COUNTED: u32 = 10;
/// When the node ends, so much time is left for the last records.
const LAST: Duration = Duration::from_millis(250);

struct Batch {
    now: Millis,
    wall: Millis,
    missed: Option<(u64, Millis)>,
    records: Vec<Record>,
}

/// The node's side of the queue.
pub(super) struct Recorder {
    queue: Cell<Option<SyncSender<Batch>>>,
    /// Empty buffers come back to be filled again.
    spare: Receiver<Vec<Record>>,
    /// Ends when the thread does.
    done: Receiver<()>,
    missed: Cell<Option<(u64, Millis)>>,
    lost: Arc<AtomicU64>,
}

fn wall() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0
}

impl Recorder {
    /// Begins a segment and the thread that writes.
    ///
    /// # Errors
    /// If the folder is missing or can't be written to, naming the field.
    pub(super) fn start(records: &Records, config: &Config, now: Millis, log: Logger) -> io::Result<Self> {
        let header = Header {
            node: config.name.clone(),
            program: env!("CARGO_PKG_VERSION").into(),
            started: now,
            sequence: 0,
            base: now,
            wall: wall(),
            site: site_header(&config.site),
            counters: Counters::NAMES.iter().map(|name| (*name).to_owned()).collect(),
        };
        let writer = Writer::new(RealDisk, &records.folder, records.retention, header).map_err(|error| {
            let folder = records.folder.display();
            io::Error::new(error.kind(), format!("records.folder: {folder}: {error}"))
        })?;
        info!(log, "recording"; "folder" => records.folder.display().to_string());
        let (queue, batches) = sync_channel(WAITING);
        let (give_back, spare) = sync_channel(WAITING);
        let (ended, done) = sync_channel(0);
        let lost = Arc::new(AtomicU64::new(0));
        let count = lost.clone();
        std::thread::Builder::new().name("recorder".into()).spawn(move || {
            write(writer, &batches, &give_back, &count, &log);
            drop(ended);
        })?;
        let (queue, missed) = (Cell::new(Some(queue)), Cell::new(None));
        Ok(Recorder { queue, spare, done, missed, lost })
    }

    fn hand_on(&self, batch: Batch) {
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

/// Hands on what has been recorded, until the node ends.
pub(super) async fn feed(node: Rc<Node>) {
    let mut round = 0u32;
    loop {
        tokio::time::sleep(EVERY).await;
        round = round.wrapping_add(1);
        let counts = round.is_multiple_of(COUNTED);
        if counts {
            node.broker.borrow_mut().record_counters(node.clock.now(), wall());
        }
        if counts || node.broker.borrow().has_records() {
            flush(&node);
        }
    }
}

fn flush(node: &Node) {
    let Some(recorder) = &node.recorder else { return };
    let now = node.clock.now();
    let lost = recorder.lost.load(Relaxed);
    let take_records = {
        let mut broker = node.broker.borrow_mut();
        broker.records_lost(lost);
        broker.take_records(recorder.spare.try_recv().unwrap_or_default())
    };
    let missed = match (recorder.missed.take(), take_records.missed) {
        (Some((a, since)), Some((b, _))) => Some((a + b, since)),
        (a, b) => a.or(b),
    };
    recorder.hand_on(Batch { now, wall: wall(), missed, records: take_records.records });
}

/// The node ends in good order: the last records are written, if the disk takes them in time.
pub(super) fn finish(node: &Node) {
    let Some(recorder) = &node.recorder else { return };
    flush(node);
    node.broker.borrow_mut().record_stopped(node.clock.now());
    flush(node);
    recorder.queue.take();
    let _ = recorder.done.recv_timeout(LAST);
}

/// The thread that writes.
fn write(
    mut writer: Writer,
    batches: &Receiver<Batch>,
    give_back: &SyncSender<Vec<Record>>,
    lost: &AtomicU64,
    log: &Logger,
) {
    let mut missing = false;
    for Batch { now, wall, missed, mut records } in batches {
        if let Some((missed, since)) = missed {
            // One line for as long as it goes on: the counter and the gaps tell the rest.
            if !std::mem::replace(&mut missing, true) {
                warn!(log, "records missed"; "records" => missed);
            }
            writer.missed(missed, since);
        } else {
            missing = false;
        }
        writer.write(now, wall, &records);
        lost.store(writer.lost(), Relaxed);
        while let Some(notice) = writer.notice() {
            match notice {
                Notice::WriteFailed(error) => error!(log, "records not written"; "error" => %error),
                Notice::Recovered(lost) => info!(log, "records written again"; "lost" => lost),
                Notice::CleanupFailed(path, error) => {
                    warn!(log, "segment left"; "path" => path.display().to_string(), "error" => %error)
                }
            }
        }
        records.clear();
        let _ = give_back.try_send(records);
    }
}
