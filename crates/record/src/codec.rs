//! Segments as bytes: a versioned header, then frames.
//!
//! ```text
//! segment: magic "HOPMOOR\n" | format u16 | frame(kind 0: Header) | frame ...
//! frame:   payload length u16 | kind u8 | CRC-32C u32 over length, kind and payload | payload
//! payload: postcard of (time, fields); the time in microseconds since the header's base
//! ```
//!
//! Numbers are little-endian. The decoder is fed bytes as they come and gives each whole frame once; a frame that is
//! not whole yet is waited for, one that is damaged ends the segment. It never panics, whatever the bytes are.

use crate::record::{Event, Record};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The format that this program writes, and the newest that it reads.
pub const FORMAT: u16 = 1;
/// What each segment begins with.
pub const MAGIC: &[u8; 8] = b"HOPMOOR\n";
/// Bytes before a frame's payload.
pub const FRAME_HEAD: usize = 7;
/// Bytes before the header's frame.
pub const SEGMENT_HEAD: usize = MAGIC.len() + 2;

/// What the head of a segment says of the records in it: with it a segment can be read alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The node's name.
    pub node: String,
    /// The program's version.
    pub program: String,
    /// When this run of the node began, in Unix milliseconds: the same in all segments of a run.
    pub started: f64,
    /// The segment's place in the folder.
    pub sequence: u64,
    /// What times in the segment count from, in Unix milliseconds.
    pub base: f64,
    /// The host's clock when the segment was begun.
    pub wall: f64,
    /// What members, classes and tenants are called and worth.
    pub site: Site,
    /// Names of the counters.
    pub counters: Vec<String>,
}

/// Names and figures that records refer to by place.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Site {
    /// Classes.
    pub classes: Vec<Class>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// The node's own zone.
    pub zone: u32,
}

/// A class of transactions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What a second of a connection is worth.
    pub worth: f64,
    /// Within this time its answer is wanted.
    pub aim_ms: f64,
    /// Within this time a message is wanted; 0 for no matter.
    pub message_aim_ms: f64,
}

/// What is wrong with a segment.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Damage {
    /// It does not begin as a segment does.
    Foreign,
    /// A newer program wrote it.
    Newer {
        /// In this format.
        format: u16,
    },
    /// Its header can't be read.
    Header,
    /// The frame at this byte is not what was written.
    Frame {
        /// Where it begins.
        at: u64,
    },
    /// It ends within the frame at this byte.
    Torn {
        /// Where the frame begins.
        at: u64,
    },
    /// It can't be unpacked past this byte.
    Packed {
        /// How much could be.
        at: u64,
    },
    /// It could not be read.
    Unreadable {
        /// Why.
        error: String,
    },
    /// It is larger than any that a node writes.
    TooLarge {
        /// Most bytes that are read.
        most: u64,
    },
    /// Segments before it are missing from the folder.
    Missing {
        /// How many.
        segments: u64,
    },
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Damage::Foreign => f.write_str("not a segment of records"),
            Damage::Newer { format } => {
                write!(f, "format {format}, written by a newer program; this one reads up to {FORMAT}")
            }
            Damage::Header => f.write_str("its header can't be read"),
            Damage::Frame { at } => write!(f, "damaged at byte {at}; what follows in it is left out"),
            Damage::Torn { at } => write!(f, "ends within the record at byte {at}"),
            Damage::Packed { at } => write!(f, "can't be unpacked past byte {at}"),
            Damage::Unreadable { error } => write!(f, "can't be read: {error}"),
            Damage::TooLarge { most } => write!(f, "larger than {most} bytes; the rest is left out"),
            Damage::Missing { segments } => write!(f, "{segments} segment(s) before it are missing"),
        }
    }
}

/// Writes a segment's bytes.
#[derive(Debug)]
pub struct Encoder {
    base: f64,
}

/// A value that can't be written: too long for a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

impl Encoder {
    /// Appends the segment's head to `out`.
    ///
    /// # Errors
    /// If the header is over 64 KiB; nothing is appended then.
    pub fn begin(header: &Header, out: &mut Vec<u8>) -> Result<Encoder, TooLong> {
        let start = out.len();
        out.extend_from_slice(MAGIC);
        out.extend_from_slice(&FORMAT.to_le_bytes());
        match frame(out, 0, |out| postcard::to_extend(header, out)) {
            Ok(()) => Ok(Encoder { base: header.base }),
            Err(error) => {
                out.truncate(start);
                Err(error)
            }
        }
    }

    /// Appends a record's frame to `out`.
    ///
    /// # Errors
    /// If it is over 64 KiB; nothing is appended then.
    pub fn record(&self, record: &Record, out: &mut Vec<u8>) -> Result<(), TooLong> {
        // A time before the base can't be told; it is the base then.
        let at = ((record.at - self.base) * 1_000.0).round().max(0.0) as u64;
        frame(out, record.event.kind(), |out| record.event.write(at, out))
    }
}

fn frame(
    out: &mut Vec<u8>,
    kind: u8,
    payload: impl FnOnce(Vec<u8>) -> Result<Vec<u8>, postcard::Error>,
) -> Result<(), TooLong> {
    let start = out.len();
    out.extend_from_slice(&[0; FRAME_HEAD]);
    *out = payload(std::mem::take(out)).map_err(|_| TooLong)?;
    let Ok(length) = u16::try_from(out.len() - start - FRAME_HEAD) else {
        out.truncate(start);
        return Err(TooLong);
    };
    let [low, high] = length.to_le_bytes();
    out[start..start + 3].copy_from_slice(&[low, high, kind]);
    let sum = checksum(&[low, high, kind], &out[start + FRAME_HEAD..]);
    out[start + 3..start + FRAME_HEAD].copy_from_slice(&sum.to_le_bytes());
    Ok(())
}

fn checksum(head: &[u8], payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(head), payload)
}

/// Reads a segment's bytes as they come.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// Read so far, in `bytes`.
    done: usize,
    /// Bytes that were dropped from the front of `bytes`.
    dropped: u64,
    header: Option<Header>,
    held: Option<Record>,
    damage: Option<Damage>,
    /// Records of kinds that this program does not know.
    pub unknown: u64,
}

impl Decoder {
    /// A decoder at a segment's first byte.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes more bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.damage.is_some() {
            return;
        }
        if self.done > 64 * 1024 {
            self.bytes.drain(..self.done);
            self.dropped += self.done as u64;
            self.done = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The head, once it has been read.
    pub fn header(&self) -> Option<&Header> {
        self.header.as_ref()
    }

    /// What is wrong, as far as has been read.
    pub fn damage(&self) -> Option<&Damage> {
        self.damage.as_ref()
    }

    /// What is wrong if no more bytes come.
    pub fn at_end(&self) -> Option<Damage> {
        match &self.damage {
            Some(damage) => Some(damage.clone()),
            None if self.header.is_none() && self.done == self.bytes.len() && self.dropped == 0 => {
                Some(Damage::Torn { at: 0 })
            }
            None if self.done < self.bytes.len() => Some(Damage::Torn { at: self.place() }),
            None => None,
        }
    }

    /// Gives a record again at the next call.
    pub(crate) fn put_back(&mut self, record: Record) {
        self.held = Some(record);
    }

    fn place(&self) -> u64 {
        self.dropped + self.done as u64
    }

    fn broken(&mut self, damage: Damage) {
        self.damage = Some(damage);
        self.bytes = Vec::new();
        self.done = 0;
    }

    /// The next whole record; `None` if more bytes are needed or the segment is damaged from here on.
    pub fn next_record(&mut self) -> Option<Record> {
        if let Some(held) = self.held.take() {
            return Some(held);
        }
        if self.damage.is_some() || (self.header.is_none() && !self.read_head()) {
            return None;
        }
        let base = self.header.as_ref()?.base;
        loop {
            let at = self.place();
            let (kind, payload) = match next_frame(&self.bytes[self.done..]) {
                Next::Frame(kind, payload) => (kind, payload),
                Next::Part => return None,
                Next::Damaged => {
                    self.broken(Damage::Frame { at });
                    return None;
                }
            };
            let read = Event::read(kind, payload);
            self.done += FRAME_HEAD + payload.len();
            match read {
                // A later program of the same format may add kinds.
                None => self.unknown += 1,
                Some(Ok((time, event))) => {
                    return Some(Record { at: base + time as f64 / 1_000.0, event });
                }
                Some(Err(_)) => {
                    self.broken(Damage::Frame { at });
                    return None;
                }
            }
        }
    }

    fn read_head(&mut self) -> bool {
        let magic = &self.bytes[..self.bytes.len().min(MAGIC.len())];
        if *magic != MAGIC[..magic.len()] {
            self.broken(Damage::Foreign);
            return false;
        }
        let Some(&[low, high]) = self.bytes.get(MAGIC.len()..SEGMENT_HEAD) else { return false };
        let format = u16::from_le_bytes([low, high]);
        if format > FORMAT {
            self.broken(Damage::Newer { format });
            return false;
        }
        match next_frame(&self.bytes[SEGMENT_HEAD..]) {
            Next::Part => false,
            Next::Frame(0, payload) if format == FORMAT => match postcard::from_bytes::<Header>(payload) {
                Ok(header) if header.base.is_finite() => {
                    self.done = SEGMENT_HEAD + FRAME_HEAD + payload.len();
                    self.header = Some(header);
                    true
                }
                _ => {
                    self.broken(Damage::Header);
                    false
                }
            },
            _ => {
                self.broken(Damage::Header);
                false
            }
        }
    }
}

enum Next<'a> {
    Frame(u8, &'a [u8]),
    Part,
    Damaged,
}

fn next_frame(bytes: &[u8]) -> Next<'_> {
    let [low, high, kind, c0, c1, c2, c3, rest @ ..] = bytes else { return Next::Part };
    let length = usize::from(u16::from_le_bytes([*low, *high]));
    let Some(payload) = rest.get(..length) else { return Next::Part };
    if checksum(&bytes[..3], payload) != u32::from_le_bytes([*c0, *c1, *c2, *c3]) {
        return Next::Damaged;
    }
    Next::Frame(*kind, payload)
}
