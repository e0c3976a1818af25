//! A folder of segments: written by one [`Writer`], read by any number of [`Folder`]s and [`Tail`]s.
//!
//! Segments are numbered on and on, over restarts as well. The newest is plain, so that all but its last bytes can be
//! read after a crash; a full one is packed with zstd under another name, put in place at once, and the plain one
//! removed. The oldest are removed as size and age ask. A folder belongs to one node.

use crate::codec::{Damage, Decoder, Encoder, Header};
use crate::disk::{Disk, Listed, RealDisk};
use crate::record::{Event, Gap, Member, MemberId, Phase, Record};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

const PLAIN: &str = ".rec";
const PACKED: &str = ".rec.zst";
const BEGUN: &str = ".begun";
/// A reader takes no more than this of one segment: guards against files that unpack without end.
pub const MOST_SEGMENT: u64 = 256 << 20;
/// Bytes gathered before they are written.
const WRITE: usize = 64 * 1024;
/// After an error of the disk it is tried again so much later.
const RETRY_MS: f64 = 1_000.0;
/// How often the open segment is looked for and old ones are removed.
const LOOK_MS: f64 = 1_000.0;
const TIDY_MS: f64 = 60_000.0;
/// Members that are written again at the head of a segment, at most.
const MOST_MEMBERS: usize = 100_000;
/// Packing needs memory for its window: 128 KiB of it, so that a small node can bear it.
const WINDOW_LOG: u32 = 17;
const LEVEL: i32 = 1;

/// How much is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retention {
    /// A segment is sealed once it has so many bytes.
    pub segment_bytes: u64,
    /// The oldest are removed while all together have more.
    pub keep_bytes: u64,
    /// Those last written longer ago are removed.
    pub keep_for: Duration,
}

impl Default for Retention {
    fn default() -> Self {
        Retention { segment_bytes: 4 << 20, keep_bytes: 256 << 20, keep_for: Duration::from_secs(72 * 3600) }
    }
}

/// What a writer has to say to whom it may concern; nothing of it stops the node.
#[derive(Debug)]
pub enum Notice {
    /// Records are lost from now on.
    WriteFailed(io::Error),
    /// Records are written again; so many were lost.
    Recovered(u64),
    /// A segment could not be packed, or an old one not be removed; it stays.
    CleanupFailed(PathBuf, io::Error),
}

struct Open<F> {
    file: F,
    path: PathBuf,
    encoder: Encoder,
    /// Bytes of records; its head, which grows with the pool, does not count.
    bytes: u64,
}

/// Writes records into a folder.
pub struct Writer<D: Disk = RealDisk> {
    disk: D,
    folder: PathBuf,
    keep: Retention,
    header: Header,
    open: Option<Open<D::File>>,
    members: BTreeMap<MemberId, Member>,
    gap: Option<Gap>,
    failing: bool,
    retry_at: f64,
    look_at: f64,
    tidy_at: f64,
    buffer: Vec<u8>,
    buffered: u64,
    notices: VecDeque<Notice>,
    lost: u64,
}

impl<D: Disk> Writer<D> {
    /// Begins a segment in the folder. The header's sequence is set here.
    ///
    /// # Errors
    /// If the folder is not there or can't be written to.
    pub fn new(mut disk: D, folder: &Path, keep: Retention, mut header: Header) -> io::Result<Self> {
        let files = disk.list(folder)?;
        for file in &files {
            let text = file.path.to_string_lossy();
            // Left by a crash: what was being packed stands beside it whole, or the plain one beside the packed.
            let twice = || files.iter().any(|other| other.path == packed(&file.path));
            if text.ends_with(BEGUN) || (text.ends_with(PLAIN) && twice()) {
                let _ = disk.remove(&file.path);
            }
        }
        header.sequence = files.iter().filter_map(|file| sequence(&file.path)).max().unwrap_or(0) + 1;
        let now = header.base;
        let mut writer = Writer {
            disk,
            folder: folder.to_owned(),
            keep,
            header,
            open: None,
            members: BTreeMap::new(),
            gap: None,
            failing: false,
            retry_at: f64::NEG_INFINITY,
            look_at: now + LOOK_MS,
            tidy_at: now + TIDY_MS,
            buffer: Vec::with_capacity(WRITE),
            buffered: 0,
            notices: VecDeque::new(),
            lost: 0,
        };
        writer.begin(now, now)?;
        writer.tidy(now);
        Ok(writer)
    }

    /// What it has to say since it was last asked.
    pub fn notice(&mut self) -> Option<Notice> {
        self.notices.pop_front()
    }

    /// Records lost so far, to the disk or before they came here.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Records were lost before they came here; the next ones written say so.
    pub fn missed(&mut self, records: u64, since: f64) {
        self.note_loss(records, since, false);
    }

    fn note_loss(&mut self, records: u64, since: f64, disk: bool) {
        if records > 0 {
            self.lost += records;
            let gap = self.gap.get_or_insert(Gap { lost: 0, since, disk });
            gap.lost += records;
            gap.disk |= disk;
        }
    }

    /// Writes records, in the order of their times. `now` is the node's clock and `wall` the host's. What can't be
    /// written is counted, and told in a gap record once it can be again.
    pub fn write(&mut self, now: f64, wall: f64, records: &[Record]) {
        let first = records.first().map_or(now, |record| record.at);
        if self.open.is_some() && now >= self.look_at {
            self.look_at = now + LOOK_MS;
            if !self.open.as_ref().is_some_and(|open| self.disk.exists(&open.path)) {
                // The folder was removed, or moved away: what is written now would be seen by nobody.
                let gone = io::Error::new(io::ErrorKind::NotFound, "the open segment was removed");
                self.fail(now, first, 0, gone);
            }
        }
        if self.open.is_none()
            && now >= self.retry_at
            && let Err(error) = self.begin(first, wall)
        {
            self.fail(now, first, 0, error);
        }
        for record in records {
            if let Event::Member(member) = &record.event {
                self.remember(member);
            }
            let Some(open) = &self.open else {
                self.note_loss(1, record.at, true);
                continue;
            };
            if open.encoder.record(record, &mut self.buffer).is_err() {
                self.note_loss(1, record.at, false);
                continue;
            }
            self.buffered += 1;
            if self.buffer.len() >= WRITE {
                self.flush(now, first);
            }
        }
        self.flush(now, first);
        if self.open.as_ref().is_some_and(|open| open.bytes >= self.keep.segment_bytes) {
            self.seal();
            if let Err(error) = self.begin(now, wall) {
                self.fail(now, now, 0, error);
            }
            self.tidy(now);
        } else if now >= self.tidy_at {
            self.tidy(now);
        }
    }

    /// Keeps what a segment has to begin with.
    fn remember(&mut self, member: &Member) {
        if member.phase == Phase::Gone {
            self.members.remove(&member.member);
        } else if self.members.len() < MOST_MEMBERS || self.members.contains_key(&member.member) {
            self.members.insert(member.member, Member { again: true, ..member.clone() });
        }
    }

    fn begin(&mut self, base: f64, wall: f64) -> io::Result<()> {
        (self.header.base, self.header.wall) = (base, wall);
        let mut bytes = Vec::new();
        let too_long = |_| io::Error::other("the header or a member's name is too long for a segment");
        let encoder = Encoder::begin(&self.header, &mut bytes).map_err(too_long)?;
        for member in self.members.values() {
            let record = Record { at: base, event: Event::Member(member.clone()) };
            // One whose name fits no frame is left out: it must not keep all others from being recorded.
            let _ = encoder.record(&record, &mut bytes);
        }
        let gap = self.gap.clone();
        if let Some(gap) = gap {
            encoder.record(&Record { at: base, event: Event::Gap(gap) }, &mut bytes).map_err(too_long)?;
        }
        let path = self.folder.join(format!("records-{:08}{PLAIN}", self.header.sequence));
        // The number is used up even if the next calls fail: a file may stand under it.
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
        self.open = Some(Open { file, path, encoder, bytes: 0 });
        Ok(())
    }

    fn flush(&mut self, now: f64, since: f64) {
        if self.buffer.is_empty() {
            return;
        }
        let Some(open) = &mut self.open else { return };
        // What was missed before these records came is told before them.
        if let Some(gap) = &self.gap {
            let mut told = Vec::with_capacity(64 + self.buffer.len());
            let record = Record { at: since, event: Event::Gap(gap.clone()) };
            if open.encoder.record(&record, &mut told).is_ok() {
                told.append(&mut self.buffer);
                self.buffer = told;
            }
        }
        match open.file.write_all(&self.buffer) {
            Ok(()) => {
                open.bytes += self.buffer.len() as u64;
                self.gap = None;
            }
            Err(error) => self.fail(now, since, self.buffered, error),
        }
        self.buffer.clear();
        self.buffered = 0;
    }

    fn fail(&mut self, now: f64, since: f64, records: u64, error: io::Error) {
        self.open = None;
        self.retry_at = now + RETRY_MS;
        self.note_loss(records, since, true);
        if !std::mem::replace(&mut self.failing, true) {
            self.notices.push_back(Notice::WriteFailed(error));
        }
    }

    /// Packs the open segment and puts the packed one in its place. If that fails the plain one stays.
    fn seal(&mut self) {
        let Some(open) = self.open.take() else { return };
        drop(open.file);
        let begun = open.path.with_extension("rec.zst.begun");
        if let Err(error) = self.pack(&open.path, &begun) {
            let _ = self.disk.remove(&begun);
            self.notices.push_back(Notice::CleanupFailed(open.path, error));
        }
    }

    fn pack(&mut self, plain: &Path, begun: &Path) -> io::Result<()> {
        let mut from = self.disk.open(plain)?;
        let mut to = zstd::stream::write::Encoder::new(self.disk.create(begun)?, LEVEL)?;
        to.window_log(WINDOW_LOG)?;
        to.include_checksum(true)?;
        io::copy(&mut from, &mut to)?;
        to.finish()?.flush()?;
        self.disk.rename(begun, &packed(plain))?;
        self.disk.remove(plain)
    }

    /// Removes the oldest segments as size and age ask; never the open one.
    fn tidy(&mut self, now: f64) {
        self.tidy_at = now + TIDY_MS;
        let Ok(files) = self.disk.list(&self.folder) else { return };
        let mut files: Vec<(u64, Listed)> =
            files.into_iter().filter_map(|file| Some((sequence(&file.path)?, file))).collect();
        files.sort_by_key(|(sequence, _)| *sequence);
        let mut all: u64 = files.iter().map(|(_, file)| file.bytes).sum();
        for (_, file) in files {
            let open = self.open.as_ref().is_some_and(|open| open.path == file.path);
            let old =
                SystemTime::now().duration_since(file.written).is_ok_and(|age| age > self.keep.keep_for);
            if open || !(old || all > self.keep.keep_bytes) {
                continue;
            }
            all -= file.bytes;
            if let Err(error) = self.disk.remove(&file.path) {
                self.notices.push_back(Notice::CleanupFailed(file.path, error));
            }
        }
    }
}

fn packed(plain: &Path) -> PathBuf {
    plain.with_extension("rec.zst")
}

fn sequence(path: &Path) -> Option<u64> {
    let name = path.file_name()?.to_str()?.strip_prefix("records-")?;
    name.strip_suffix(PACKED).or_else(|| name.strip_suffix(PLAIN))?.parse().ok()
}

/// One segment's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Segment {
    /// Its place in the folder.
    pub sequence: u64,
    /// Its file.
    pub path: PathBuf,
    /// Its size on the disk.
    pub bytes: u64,
    /// Whether it is sealed.
    pub sealed: bool,
}

/// A folder's segments as they stood when it was listed.
#[derive(Clone, Debug)]
pub struct Folder {
    /// The folder.
    pub path: PathBuf,
    /// Its segments, oldest first.
    pub segments: Vec<Segment>,
}

impl Folder {
    /// Lists a folder.
    ///
    /// # Errors
    /// If it can't be listed.
    pub fn list(path: &Path) -> io::Result<Folder> {
        let about = |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", path.display()));
        let mut segments: BTreeMap<u64, Segment> = BTreeMap::new();
        for file in RealDisk.list(path).map_err(about)? {
            let Some(sequence) = sequence(&file.path) else { continue };
            let sealed = file.path.to_string_lossy().ends_with(PACKED);
            let found = Segment { sequence, bytes: file.bytes, path: file.path, sealed };
            // Both stand there for a moment while a segment is sealed: the packed one is whole.
            if sealed || !segments.contains_key(&sequence) {
                segments.insert(sequence, found);
            }
        }
        Ok(Folder { path: path.to_owned(), segments: segments.into_values().collect() })
    }

    /// Reads all segments, one after the other.
    pub fn read(self) -> Reader {
        Reader { segments: self.segments.into(), open: None, last: None }
    }
}

/// What is read from a folder, in order.
#[derive(Clone, Debug)]
pub enum Item {
    /// A segment begins.
    Segment(Arc<Header>),
    /// A record of the segment begun last.
    Record(Record),
    /// Something is damaged or missing here.
    Damaged(PathBuf, Damage),
}

/// Reads a folder's segments in small pieces.
pub struct Reader {
    segments: VecDeque<Segment>,
    open: Option<Opened>,
    last: Option<u64>,
}

impl Iterator for Reader {
    type Item = Item;

    fn next(&mut self) -> Option<Item> {
        loop {
            if let Some(open) = &mut self.open {
                if let Some(item) = open.next() {
                    return Some(item);
                }
                self.open = None;
            }
            let segment = self.segments.pop_front()?;
            let before = self.last.replace(segment.sequence);
            match Opened::new(&segment) {
                Ok(opened) => self.open = Some(opened),
                Err(error) => {
                    let error = error.to_string();
                    return Some(Item::Damaged(segment.path, Damage::Unreadable { error }));
                }
            }
            if let Some(missing) = before.map(|before| segment.sequence - before - 1).filter(|n| *n > 0) {
                return Some(Item::Damaged(segment.path, Damage::Missing { segments: missing }));
            }
        }
    }
}

/// A segment that is being read.
struct Opened {
    from: Box<dyn Read>,
    path: PathBuf,
    sealed: bool,
    decoder: Decoder,
    began: bool,
    ended: bool,
    read: u64,
}

impl Opened {
    fn new(segment: &Segment) -> io::Result<Opened> {
        let file = File::open(&segment.path)?;
        let from: Box<dyn Read> = if segment.sealed {
            let mut unpack = zstd::stream::read::Decoder::new(file)?;
            // Guards against files that ask for much memory to unpack.
            unpack.window_log_max(24)?;
            Box::new(unpack)
        } else {
            Box::new(file)
        };
        let (path, sealed, decoder) = (segment.path.clone(), segment.sealed, Decoder::new());
        Ok(Opened { from, path, sealed, decoder, began: false, ended: false, read: 0 })
    }

    fn damaged(&mut self, damage: Damage) -> Option<Item> {
        self.ended = true;
        Some(Item::Damaged(self.path.clone(), damage))
    }

    /// The next item; `None` at the end of the file.
    fn next(&mut self) -> Option<Item> {
        let mut piece = [0; 16 * 1024];
        while !self.ended {
            let record = self.decoder.next_record();
            if !self.began
                && let Some(header) = self.decoder.header()
            {
                self.began = true;
                let header = Arc::new(header.clone());
                // The record that came with it is given next.
                if let Some(record) = record {
                    return Some(self.keep(header, record));
                }
                return Some(Item::Segment(header));
            }
            if let Some(record) = record {
                return Some(Item::Record(record));
            }
            if let Some(damage) = self.decoder.damage().cloned() {
                return self.damaged(damage);
            }
            if self.read >= MOST_SEGMENT {
                return self.damaged(Damage::TooLarge { most: MOST_SEGMENT });
            }
            match self.from.read(&mut piece) {
                Ok(0) => {
                    self.ended = true;
                    let damage = self.decoder.at_end()?;
                    return Some(Item::Damaged(self.path.clone(), damage));
                }
                Ok(count) => {
                    self.read += count as u64;
                    self.decoder.feed(&piece[..count]);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) if self.sealed => return self.damaged(Damage::Packed { at: self.read }),
                Err(error) => return self.damaged(Damage::Unreadable { error: error.to_string() }),
            }
        }
        None
    }

    /// Gives the head first and holds the record back.
    fn keep(&mut self, header: Arc<Header>, record: Record) -> Item {
        self.decoder.put_back(record);
        Item::Segment(header)
    }
}

/// Follows a folder while a node writes to it, over restarts of the node.
pub struct Tail {
    folder: PathBuf,
    at: Option<(u64, Opened)>,
}

impl Tail {
    /// Begins with the newest segment, or with the oldest.
    ///
    /// # Errors
    /// If the folder can't be listed.
    pub fn new(folder: &Path, from_oldest: bool) -> io::Result<Tail> {
        let listed = Folder::list(folder)?;
        let first = if from_oldest { listed.segments.first() } else { listed.segments.last() };
        let at = match first {
            Some(segment) => Some((segment.sequence, Opened::new(segment)?)),
            None => None,
        };
        Ok(Tail { folder: folder.to_owned(), at })
    }

    /// What has come since, `most` items at a time; nothing if the folder is away just now.
    pub fn poll(&mut self, most: usize) -> Vec<Item> {
        let mut items = Vec::new();
        while items.len() < most {
            if let Some((_, open)) = &mut self.at
                && let Some(item) = open.follow()
            {
                items.push(item);
                continue;
            }
            // At the end of what is written: another segment may have been begun.
            let Ok(listed) = Folder::list(&self.folder) else { break };
            let after = self.at.as_ref().map(|(sequence, _)| *sequence);
            let Some(next) = listed.segments.iter().find(|next| after.is_none_or(|at| next.sequence > at))
            else {
                break;
            };
            // What was written to the old one between the two looks comes first.
            if let Some((_, open)) = &mut self.at {
                while let Some(item) = open.follow() {
                    items.push(item);
                }
                if let Some(damage) = open.decoder.at_end().filter(|_| !open.ended) {
                    items.push(Item::Damaged(open.path.clone(), damage));
                }
            }
            // It may have been sealed since the list was made: then the next look finds it.
            match Opened::new(next) {
                Ok(opened) => self.at = Some((next.sequence, opened)),
                Err(_) => break,
            }
        }
        items
    }
}

impl Opened {
    /// As [`Opened::next`], but the end of the file is not taken for the end of the segment.
    fn follow(&mut self) -> Option<Item> {
        // Nothing is added to a sealed one: its end is its end.
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
