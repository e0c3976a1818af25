//! A folder of segments: written by one [`Writer`], read by any number of [`Folder`]s and [`Tail`]s.
//!
//! Sequence numbers of segments keep increasing across restarts. The newest segment is uncompressed, so that
//! all but its last bytes can be read after a crash. A full segment is sealed: it is compressed with zstd
//! into a partial file, which is renamed atomically, and the uncompressed file is removed. The oldest
//! segments are removed when the limits of total size or age are exceeded. A folder belongs to one node.

use crate::codec::{Damage, Decoder, Encoder, Header};
use crate::disk::{Disk, FileInfo, RealDisk};
use crate::record::{Event, Gap, Member, MemberId, Phase, Record};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Suffix of an uncompressed segment.
const PLAIN_SUFFIX: &str = ".rec";
/// Suffix of a sealed segment.
const COMPRESSED_SUFFIX: &str = ".rec.zst";
/// Suffix of a file that is being compressed.
const PARTIAL_SUFFIX: &str = ".begun";
/// Maximum number of bytes that a reader takes from one segment. Guards against files that decompress without
/// end.
pub const MAX_SEGMENT_READ_BYTES: u64 = 256 << 20;
/// Number of encoded bytes at which the buffer is written to the file.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;
/// Delay after a file system error before a new segment is tried.
const DISK_RETRY_MS: f64 = 1_000.0;
/// Interval at which the writer checks that the open segment still exists.
const FILE_CHECK_INTERVAL_MS: f64 = 1_000.0;
/// Interval at which old segments are removed. They are also removed whenever a segment is sealed.
const CLEANUP_INTERVAL_MS: f64 = 60_000.0;
/// Maximum number of members that are repeated at the head of each segment.
const MAX_REPEATED_MEMBERS: usize = 100_000;
/// Base-2 logarithm of the compression window in bytes. A window of 128 KiB keeps the memory for compression
/// affordable for a small node.
const ZSTD_WINDOW_LOG: u32 = 17;
const ZSTD_LEVEL: i32 = 1;

/// Limits on segment size, total size and age of the records in a folder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retention {
    /// Number of record bytes at which a segment is sealed.
    pub segment_bytes: u64,
    /// Maximum total size in bytes. While the segments exceed it, the oldest are removed.
    pub keep_bytes: u64,
    /// Maximum time since the last write to a segment. Older segments are removed.
    pub keep_for: Duration,
}

impl Default for Retention {
    fn default() -> Self {
        Retention { segment_bytes: 4 << 20, keep_bytes: 256 << 20, keep_for: Duration::from_secs(72 * 3600) }
    }
}

/// Condition that a writer reports for the log. No notice stops the node.
#[derive(Debug)]
pub enum Notice {
    /// A write failed. Records are lost until writing succeeds again.
    WriteFailed(io::Error),
    /// Records are written again. Holds the number of records lost in between.
    Recovered(u64),
    /// A segment could not be compressed, or an old segment could not be removed. The file stays.
    CleanupFailed(PathBuf, io::Error),
}

/// The segment that is being written.
struct OpenSegment<F> {
    file: F,
    path: PathBuf,
    encoder: Encoder,
    /// Bytes of records written. The segment's head, which grows with the pool, is not counted.
    record_bytes: u64,
}

/// Writes records into a folder.
pub struct Writer<D: Disk = RealDisk> {
    disk: D,
    folder: PathBuf,
    retention: Retention,
    header: Header,
    open: Option<OpenSegment<D::File>>,
    /// Members repeated at the head of the next segment.
    members: BTreeMap<MemberId, Member>,
    /// Lost records that no gap record has reported yet.
    gap: Option<Gap>,
    /// Whether the last write failed and [`Notice::WriteFailed`] was raised for it.
    failing: bool,
    retry_at: f64,
    check_file_at: f64,
    cleanup_at: f64,
    /// Encoded records that are not written yet.
    buffer: Vec<u8>,
    buffered_records: u64,
    notices: VecDeque<Notice>,
    /// Total number of lost records.
    lost: u64,
}

impl<D: Disk> Writer<D> {
    /// Opens a new segment in the folder and removes what a crash left there. Sets the header's sequence
    /// number.
    ///
    /// # Errors
    /// If the folder does not exist or can't be written to.
    pub fn new(mut disk: D, folder: &Path, retention: Retention, mut header: Header) -> io::Result<Self> {
        let files = disk.list(folder)?;
        for file in &files {
            let path_text = file.path.to_string_lossy();
            // Remove what a crash left: a partial file, whose uncompressed segment is complete, or an
            // uncompressed segment whose compressed file is complete.
            let has_compressed = || files.iter().any(|other| other.path == compressed_path(&file.path));
            if path_text.ends_with(PARTIAL_SUFFIX) || (path_text.ends_with(PLAIN_SUFFIX) && has_compressed())
            {
                let _ = disk.remove(&file.path);
            }
        }
        header.sequence = files.iter().filter_map(|file| parse_sequence(&file.path)).max().unwrap_or(0) + 1;
        let now = header.base;
        let mut writer = Writer {
            disk,
            folder: folder.to_owned(),
            retention,
            header,
            open: None,
            members: BTreeMap::new(),
            gap: None,
            failing: false,
            retry_at: f64::NEG_INFINITY,
            check_file_at: now + FILE_CHECK_INTERVAL_MS,
            cleanup_at: now + CLEANUP_INTERVAL_MS,
            buffer: Vec::with_capacity(WRITE_BUFFER_BYTES),
            buffered_records: 0,
            notices: VecDeque::new(),
            lost: 0,
        };
        writer.open_segment(now, now)?;
        writer.remove_old_segments(now);
        Ok(writer)
    }

    /// Takes the oldest pending notice.
    pub fn next_notice(&mut self) -> Option<Notice> {
        self.notices.pop_front()
    }

    /// Total number of records lost so far, because of the disk or before they reached the writer.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Counts records that were lost before they reached the writer, the first at the time `since`. A gap
    /// record before the next records reports them.
    pub fn record_loss(&mut self, records: u64, since: f64) {
        self.count_lost(records, since, false);
    }

    fn count_lost(&mut self, records: u64, since: f64, disk: bool) {
        if records > 0 {
            self.lost += records;
            let gap = self.gap.get_or_insert(Gap { lost: 0, since, disk });
            gap.lost += records;
            gap.disk |= disk;
        }
    }

    /// Writes records, which are in the order of their times. `now` is the time on the node's clock and
    /// `wall` that on the host's. Records that can't be written are counted; a gap record reports them once
    /// writing succeeds.
    pub fn write(&mut self, now: f64, wall: f64, records: &[Record]) {
        let first = records.first().map_or(now, |record| record.at);
        if self.open.is_some() && now >= self.check_file_at {
            self.check_file_at = now + FILE_CHECK_INTERVAL_MS;
            if !self.open.as_ref().is_some_and(|open| self.disk.exists(&open.path)) {
                // The folder was removed or moved: nobody would see what is written to the open file.
                let removed = io::Error::new(io::ErrorKind::NotFound, "the open segment was removed");
                self.on_write_error(now, first, 0, removed);
            }
        }
        if self.open.is_none()
            && now >= self.retry_at
            && let Err(error) = self.open_segment(first, wall)
        {
            self.on_write_error(now, first, 0, error);
        }
        for record in records {
            if let Event::Member(member) = &record.event {
                self.track_member(member);
            }
            let Some(open) = &self.open else {
                self.count_lost(1, record.at, true);
                continue;
            };
            if open.encoder.encode_record(record, &mut self.buffer).is_err() {
                self.count_lost(1, record.at, false);
                continue;
            }
            self.buffered_records += 1;
            if self.buffer.len() >= WRITE_BUFFER_BYTES {
                self.flush(now, first);
            }
        }
        self.flush(now, first);
        if self.open.as_ref().is_some_and(|open| open.record_bytes >= self.retention.segment_bytes) {
            self.seal();
            if let Err(error) = self.open_segment(now, wall) {
                self.on_write_error(now, now, 0, error);
            }
            self.remove_old_segments(now);
        } else if now >= self.cleanup_at {
            self.remove_old_segments(now);
        }
    }

    /// Updates the members that are repeated at the head of each segment.
    fn track_member(&mut self, member: &Member) {
        if member.phase == Phase::Gone {
            self.members.remove(&member.member);
        } else if self.members.len() < MAX_REPEATED_MEMBERS || self.members.contains_key(&member.member) {
            self.members.insert(member.member, Member { again: true, ..member.clone() });
        }
    }

    /// Creates the next segment and writes its head: the header, the members and a gap record if records were
    /// lost.
    fn open_segment(&mut self, base: f64, wall: f64) -> io::Result<()> {
        (self.header.base, self.header.wall) = (base, wall);
        let mut bytes = Vec::new();
        let frame_too_long = |_| io::Error::other("the header or a member's name is too long for a segment");
        let encoder = Encoder::begin_segment(&self.header, &mut bytes).map_err(frame_too_long)?;
        for member in self.members.values() {
            let record = Record { at: base, event: Event::Member(member.clone()) };
            // A member whose name does not fit in a frame is skipped, so that all others are still recorded.
            let _ = encoder.encode_record(&record, &mut bytes);
        }
        let gap = self.gap.clone();
        if let Some(gap) = gap {
            encoder
                .encode_record(&Record { at: base, event: Event::Gap(gap) }, &mut bytes)
                .map_err(frame_too_long)?;
        }
        let path = self.folder.join(format!("records-{:08}{PLAIN_SUFFIX}", self.header.sequence));
        // The number is not reused even if the next calls fail: a file of that name may exist.
        self.header.sequence += 1;
        let mut file = match self.disk.create(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Err(error),
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {
                return Err(io::Error::new(error.kind(), "another process writes to the folder"));
            }
            created => created?,
        };
        if let Err(error) = file.write_all(&bytes) {
            let _ = self.disk.remove(&path);
            return Err(error);
        }
        if let Some(gap) = self.gap.take()
            && std::mem::take(&mut self.failing)
        {
            self.notices.push_back(Notice::Recovered(gap.lost));
        }
        self.failing = false;
        self.open = Some(OpenSegment { file, path, encoder, record_bytes: 0 });
        Ok(())
    }

    /// Writes the buffer to the open segment, behind a gap record if records were lost. `since` is the time
    /// of that gap record and, if the write fails, of the loss.
    fn flush(&mut self, now: f64, since: f64) {
        if self.buffer.is_empty() {
            return;
        }
        let Some(open) = &mut self.open else { return };
        // Records lost before the buffered ones are reported before them.
        if let Some(gap) = &self.gap {
            let mut with_gap = Vec::with_capacity(64 + self.buffer.len());
            let record = Record { at: since, event: Event::Gap(gap.clone()) };
            if open.encoder.encode_record(&record, &mut with_gap).is_ok() {
                with_gap.append(&mut self.buffer);
                self.buffer = with_gap;
            }
        }
        match open.file.write_all(&self.buffer) {
            Ok(()) => {
                open.record_bytes += self.buffer.len() as u64;
                self.gap = None;
            }
            Err(error) => self.on_write_error(now, since, self.buffered_records, error),
        }
        self.buffer.clear();
        self.buffered_records = 0;
    }

    /// Closes the segment, counts `records` as lost from `since` on, and schedules the retry.
    fn on_write_error(&mut self, now: f64, since: f64, records: u64, error: io::Error) {
        self.open = None;
        self.retry_at = now + DISK_RETRY_MS;
        self.count_lost(records, since, true);
        if !std::mem::replace(&mut self.failing, true) {
            self.notices.push_back(Notice::WriteFailed(error));
        }
    }

    /// Closes the open segment and replaces it with its compressed file. If that fails, the uncompressed file
    /// stays.
    fn seal(&mut self) {
        let Some(open) = self.open.take() else { return };
        drop(open.file);
        let partial = open.path.with_extension("rec.zst.begun");
        if let Err(error) = self.compress(&open.path, &partial) {
            let _ = self.disk.remove(&partial);
            self.notices.push_back(Notice::CleanupFailed(open.path, error));
        }
    }

    /// Compresses `plain` into `partial`, renames the result into place and removes `plain`.
    fn compress(&mut self, plain: &Path, partial: &Path) -> io::Result<()> {
        let mut input = self.disk.open(plain)?;
        let mut output = zstd::stream::write::Encoder::new(self.disk.create(partial)?, ZSTD_LEVEL)?;
        output.window_log(ZSTD_WINDOW_LOG)?;
        output.include_checksum(true)?;
        io::copy(&mut input, &mut output)?;
        output.finish()?.flush()?;
        self.disk.rename(partial, &compressed_path(plain))?;
        self.disk.remove(plain)
    }

    /// Removes the oldest segments that exceed the limits of total size or age, but never the open one.
    fn remove_old_segments(&mut self, now: f64) {
        self.cleanup_at = now + CLEANUP_INTERVAL_MS;
        let Ok(files) = self.disk.list(&self.folder) else { return };
        let mut files: Vec<(u64, FileInfo)> =
            files.into_iter().filter_map(|file| Some((parse_sequence(&file.path)?, file))).collect();
        files.sort_by_key(|(sequence, _)| *sequence);
        let mut total_bytes: u64 = files.iter().map(|(_, file)| file.bytes).sum();
        for (_, file) in files {
            let open = self.open.as_ref().is_some_and(|open| open.path == file.path);
            let expired = SystemTime::now()
                .duration_since(file.modified_at)
                .is_ok_and(|age| age > self.retention.keep_for);
            if open || !(expired || total_bytes > self.retention.keep_bytes) {
                continue;
            }
            total_bytes -= file.bytes;
            if let Err(error) = self.disk.remove(&file.path) {
                self.notices.push_back(Notice::CleanupFailed(file.path, error));
            }
        }
    }
}

/// Returns the path of the sealed file of an uncompressed segment.
fn compressed_path(plain: &Path) -> PathBuf {
    plain.with_extension("rec.zst")
}

/// Returns the sequence number in the name of a segment's file; `None` for other files.
fn parse_sequence(path: &Path) -> Option<u64> {
    let name = path.file_name()?.to_str()?.strip_prefix("records-")?;
    name.strip_suffix(COMPRESSED_SUFFIX).or_else(|| name.strip_suffix(PLAIN_SUFFIX))?.parse().ok()
}

/// A segment's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Segment {
    /// Sequence number in the folder.
    pub sequence: u64,
    /// Path of the file.
    pub path: PathBuf,
    /// Size of the file in bytes.
    pub bytes: u64,
    /// Whether the segment is sealed, that is compressed and complete.
    pub sealed: bool,
}

/// The segments of a folder at the time it was listed.
#[derive(Clone, Debug)]
pub struct Folder {
    /// Path of the folder.
    pub path: PathBuf,
    /// The segments, oldest first.
    pub segments: Vec<Segment>,
}

impl Folder {
    /// Lists a folder.
    ///
    /// # Errors
    /// If the folder can't be listed.
    pub fn list(path: &Path) -> io::Result<Folder> {
        let with_path =
            |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", path.display()));
        let mut segments: BTreeMap<u64, Segment> = BTreeMap::new();
        for file in RealDisk.list(path).map_err(with_path)? {
            let Some(sequence) = parse_sequence(&file.path) else { continue };
            let sealed = file.path.to_string_lossy().ends_with(COMPRESSED_SUFFIX);
            let entry = Segment { sequence, bytes: file.bytes, path: file.path, sealed };
            // While a segment is being sealed, both files exist for a moment: take the compressed one, which
            // is complete.
            if sealed || !segments.contains_key(&sequence) {
                segments.insert(sequence, entry);
            }
        }
        Ok(Folder { path: path.to_owned(), segments: segments.into_values().collect() })
    }

    /// Returns a reader of all segments, oldest first.
    pub fn read(self) -> Reader {
        Reader { segments: self.segments.into(), current: None, last_sequence: None }
    }
}

/// Item read from a folder, in order.
#[derive(Clone, Debug)]
pub enum Item {
    /// A segment starts.
    Segment(Arc<Header>),
    /// A record of the segment that started last.
    Record(Record),
    /// A segment is damaged, or segments before it are missing. Holds the segment's path.
    Damaged(PathBuf, Damage),
}

/// Reads a folder's segments one after the other, in small chunks.
pub struct Reader {
    segments: VecDeque<Segment>,
    current: Option<SegmentReader>,
    last_sequence: Option<u64>,
}

impl Iterator for Reader {
    type Item = Item;

    fn next(&mut self) -> Option<Item> {
        loop {
            if let Some(current) = &mut self.current {
                if let Some(item) = current.next() {
                    return Some(item);
                }
                self.current = None;
            }
            let segment = self.segments.pop_front()?;
            let previous = self.last_sequence.replace(segment.sequence);
            match SegmentReader::new(&segment) {
                Ok(segment_reader) => self.current = Some(segment_reader),
                Err(error) => {
                    let error = error.to_string();
                    return Some(Item::Damaged(segment.path, Damage::Unreadable { error }));
                }
            }
            if let Some(missing) = previous.map(|previous| segment.sequence - previous - 1).filter(|n| *n > 0)
            {
                return Some(Item::Damaged(segment.path, Damage::Missing { segments: missing }));
            }
        }
    }
}

/// Reads one segment.
struct SegmentReader {
    source: Box<dyn Read>,
    path: PathBuf,
    sealed: bool,
    decoder: Decoder,
    header_returned: bool,
    ended: bool,
    bytes_read: u64,
}

impl SegmentReader {
    fn new(segment: &Segment) -> io::Result<SegmentReader> {
        let file = File::open(&segment.path)?;
        let source: Box<dyn Read> = if segment.sealed {
            let mut decompressor = zstd::stream::read::Decoder::new(file)?;
            // Guards against files that need much memory to decompress: the window is 16 MiB at most.
            decompressor.window_log_max(24)?;
            Box::new(decompressor)
        } else {
            Box::new(file)
        };
        let (path, sealed, decoder) = (segment.path.clone(), segment.sealed, Decoder::new());
        Ok(SegmentReader {
            source,
            path,
            sealed,
            decoder,
            header_returned: false,
            ended: false,
            bytes_read: 0,
        })
    }

    fn damaged(&mut self, damage: Damage) -> Option<Item> {
        self.ended = true;
        Some(Item::Damaged(self.path.clone(), damage))
    }

    /// Returns the next item; `None` at the end of the file.
    fn next(&mut self) -> Option<Item> {
        let mut chunk = [0; 16 * 1024];
        while !self.ended {
            let record = self.decoder.next_record();
            if !self.header_returned
                && let Some(header) = self.decoder.header()
            {
                self.header_returned = true;
                let header = Arc::new(header.clone());
                // The first record was decoded by the same call; it is returned after the header.
                if let Some(record) = record {
                    return Some(self.header_before(header, record));
                }
                return Some(Item::Segment(header));
            }
            if let Some(record) = record {
                return Some(Item::Record(record));
            }
            if let Some(damage) = self.decoder.damage().cloned() {
                return self.damaged(damage);
            }
            if self.bytes_read >= MAX_SEGMENT_READ_BYTES {
                return self.damaged(Damage::TooLarge { most: MAX_SEGMENT_READ_BYTES });
            }
            match self.source.read(&mut chunk) {
                Ok(0) => {
                    self.ended = true;
                    let damage = self.decoder.damage_at_end()?;
                    return Some(Item::Damaged(self.path.clone(), damage));
                }
                Ok(count) => {
                    self.bytes_read += count as u64;
                    self.decoder.feed(&chunk[..count]);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) if self.sealed => return self.damaged(Damage::Packed { at: self.bytes_read }),
                Err(error) => return self.damaged(Damage::Unreadable { error: error.to_string() }),
            }
        }
        None
    }

    /// Returns the header and puts the record back for the next call.
    fn header_before(&mut self, header: Arc<Header>, record: Record) -> Item {
        self.decoder.put_back(record);
        Item::Segment(header)
    }
}

/// Follows a folder while a node writes to it, also across restarts of the node.
pub struct Tail {
    folder: PathBuf,
    /// The segment being followed and its sequence number.
    followed: Option<(u64, SegmentReader)>,
}

impl Tail {
    /// Starts at the newest segment, or at the oldest if `from_oldest`.
    ///
    /// # Errors
    /// If the folder can't be listed or that segment can't be opened.
    pub fn new(folder: &Path, from_oldest: bool) -> io::Result<Tail> {
        let listed = Folder::list(folder)?;
        let first = if from_oldest { listed.segments.first() } else { listed.segments.last() };
        let followed = match first {
            Some(segment) => Some((segment.sequence, SegmentReader::new(segment)?)),
            None => None,
        };
        Ok(Tail { folder: folder.to_owned(), followed })
    }

    /// Returns up to `max_items` of the items added since the last call, or more when it goes on to the next
    /// segment: the rest of the old one is returned as a whole. Empty if the folder can't be listed just now.
    pub fn poll(&mut self, max_items: usize) -> Vec<Item> {
        let mut items = Vec::new();
        while items.len() < max_items {
            if let Some((_, reader)) = &mut self.followed
                && let Some(item) = reader.follow()
            {
                items.push(item);
                continue;
            }
            // Nothing more in this segment: the writer may have opened another.
            let Ok(listed) = Folder::list(&self.folder) else { break };
            let after = self.followed.as_ref().map(|(sequence, _)| *sequence);
            let Some(next) = listed.segments.iter().find(|next| after.is_none_or(|at| next.sequence > at))
            else {
                break;
            };
            // Records may have been written to the old segment since it was last read: return them first.
            if let Some((_, reader)) = &mut self.followed {
                while let Some(item) = reader.follow() {
                    items.push(item);
                }
                if let Some(damage) = reader.decoder.damage_at_end().filter(|_| !reader.ended) {
                    items.push(Item::Damaged(reader.path.clone(), damage));
                }
            }
            // If the segment was sealed since the folder was listed, the next call finds it.
            match SegmentReader::new(next) {
                Ok(segment_reader) => self.followed = Some((next.sequence, segment_reader)),
                Err(_) => break,
            }
        }
        items
    }
}

impl SegmentReader {
    /// Like [`SegmentReader::next`], but does not take the end of the file for the end of the segment.
    fn follow(&mut self) -> Option<Item> {
        // Nothing is appended to a sealed segment.
        if self.sealed {
            return self.next();
        }
        let ended_before = self.ended;
        let item = self.next();
        match item {
            Some(Item::Damaged(_, Damage::Torn { .. })) if !ended_before => {
                self.ended = false;
                None
            }
            None => {
                self.ended = ended_before;
                None
            }
            item => item,
        }
    }
}

impl fmt::Debug for Tail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tail").field("folder", &self.folder).finish_non_exhaustive()
    }
}
