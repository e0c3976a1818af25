//! Binary format of segments: a versioned header followed by one frame for each record.
//!
//! ```text
//! segment: magic "HOPMOOR\n" | format version u16 | frame(kind 0: Header) | frame ...
//! frame:   payload length u16 | kind u8 | CRC-32C u32 over length, kind and payload | payload
//! payload: (time, fields) in postcard encoding; the time is in microseconds since the header's base
//! ```
//!
//! Numbers are little-endian. The decoder is fed chunks of any size and returns the record of each complete
//! frame once. It waits for the rest of an incomplete frame; a damaged frame ends the segment. It does not
//! panic on any input.

use crate::record::{Event, Record};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Format version that this program writes, and the newest one that it reads.
pub const FORMAT_VERSION: u16 = 1;
/// First bytes of each segment.
pub const MAGIC: &[u8; 8] = b"HOPMOOR\n";
/// Size of the length, kind and checksum that precede a frame's payload.
pub const FRAME_HEADER_BYTES: usize = 7;
/// Size of the magic and the format version that precede the header's frame.
pub const SEGMENT_PREFIX_BYTES: usize = MAGIC.len() + 2;

/// Header of a segment: everything needed to read the segment without the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The node's name.
    pub node: String,
    /// The version of the program that wrote the segment.
    pub program: String,
    /// Start time of the node's run, in Unix milliseconds. It is the same in all segments of a run.
    pub started: f64,
    /// Sequence number of the segment in its folder.
    pub sequence: u64,
    /// Base of the record times in the segment, in Unix milliseconds on the node's clock.
    pub base: f64,
    /// Time on the host's clock when the segment was created, in Unix milliseconds.
    pub wall: f64,
    /// Names and values of classes, tenants and zones.
    pub site: Site,
    /// Names of the counters, in the order of [`Counters::values`](crate::record::Counters::values).
    pub counters: Vec<String>,
}

/// Tables that records refer to by index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Site {
    /// Classes of transactions.
    pub classes: Vec<Class>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the configured zones.
    pub zones: Vec<String>,
    /// The node's own zone, as an index into `zones`.
    pub zone: u32,
}

/// A class of transactions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Value of one second of a connection.
    pub worth: f64,
    /// Target for the time to an answer, in milliseconds.
    pub aim_ms: f64,
    /// Target for the time that a message takes, in milliseconds; 0 if the class has none.
    pub message_aim_ms: f64,
}

/// Damage found in a segment or in the sequence of segments.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Damage {
    /// The file does not start with [`MAGIC`].
    Foreign,
    /// The segment was written in a newer format than this program reads.
    Newer {
        /// Format version of the segment.
        format: u16,
    },
    /// The header can't be decoded.
    Header,
    /// A frame's checksum does not match, or its payload can't be decoded.
    Frame {
        /// Offset of the frame in the uncompressed segment, in bytes.
        at: u64,
    },
    /// The segment ends within a frame.
    Torn {
        /// Offset of the frame in the uncompressed segment, in bytes.
        at: u64,
    },
    /// The segment can't be decompressed any further.
    Packed {
        /// Number of bytes decompressed before the error.
        at: u64,
    },
    /// The file could not be opened or read.
    Unreadable {
        /// The I/O error.
        error: String,
    },
    /// The segment is larger than a reader accepts.
    TooLarge {
        /// Maximum number of bytes that are read.
        most: u64,
    },
    /// Sequence numbers before this segment are missing from the folder.
    Missing {
        /// Number of missing segments.
        segments: u64,
    },
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Damage::Foreign => f.write_str("not a segment of records"),
            Damage::Newer { format } => {
                write!(
                    f,
                    "format {format}, written by a newer program; this one reads up to {FORMAT_VERSION}"
                )
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

/// Encodes the records of one segment.
#[derive(Debug)]
pub struct Encoder {
    base: f64,
}

/// A header or record whose payload is over the 65,535 bytes that a frame can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameTooLong;

impl Encoder {
    /// Starts a segment: appends the magic, the format version and the header to `out`.
    ///
    /// # Errors
    /// If the header is over 64 KiB; nothing is appended then.
    pub fn begin_segment(header: &Header, out: &mut Vec<u8>) -> Result<Encoder, FrameTooLong> {
        let start = out.len();
        out.extend_from_slice(MAGIC);
        out.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
        match append_frame(out, 0, |out| postcard::to_extend(header, out)) {
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
    /// If the record is over 64 KiB; nothing is appended then.
    pub fn encode_record(&self, record: &Record, out: &mut Vec<u8>) -> Result<(), FrameTooLong> {
        // The format has no negative times: a time before the base is written as the base.
        let at = ((record.at - self.base) * 1_000.0).round().max(0.0) as u64;
        append_frame(out, record.event.kind(), |out| record.event.write(at, out))
    }
}

/// Appends a frame to `out`. `payload` appends the payload to the buffer that it is given.
fn append_frame(
    out: &mut Vec<u8>,
    kind: u8,
    payload: impl FnOnce(Vec<u8>) -> Result<Vec<u8>, postcard::Error>,
) -> Result<(), FrameTooLong> {
    let start = out.len();
    out.extend_from_slice(&[0; FRAME_HEADER_BYTES]);
    *out = payload(std::mem::take(out)).map_err(|_| FrameTooLong)?;
    let Ok(length) = u16::try_from(out.len() - start - FRAME_HEADER_BYTES) else {
        out.truncate(start);
        return Err(FrameTooLong);
    };
    let [low, high] = length.to_le_bytes();
    out[start..start + 3].copy_from_slice(&[low, high, kind]);
    let crc = checksum(&[low, high, kind], &out[start + FRAME_HEADER_BYTES..]);
    out[start + 3..start + FRAME_HEADER_BYTES].copy_from_slice(&crc.to_le_bytes());
    Ok(())
}

/// Returns the CRC-32C of a frame's length, kind and payload.
fn checksum(head: &[u8], payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(head), payload)
}

/// Incremental decoder of one segment.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// Number of bytes at the front of `bytes` that are decoded.
    consumed: usize,
    /// Number of bytes removed from the front of `bytes` so far.
    discarded: u64,
    header: Option<Header>,
    /// A record that was put back, returned by the next call.
    pending: Option<Record>,
    damage: Option<Damage>,
    /// Number of records skipped because this program does not know their kind.
    pub unknown_records: u64,
}

impl Decoder {
    /// Creates a decoder that expects a segment's first byte.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends the segment's next bytes. Once damage was found, they are ignored.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.damage.is_some() {
            return;
        }
        if self.consumed > 64 * 1024 {
            self.bytes.drain(..self.consumed);
            self.discarded += self.consumed as u64;
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the header once it is decoded.
    pub fn header(&self) -> Option<&Header> {
        self.header.as_ref()
    }

    /// Returns the damage found in the bytes decoded so far.
    pub fn damage(&self) -> Option<&Damage> {
        self.damage.as_ref()
    }

    /// Returns the damage if the segment ends after the bytes fed so far.
    pub fn damage_at_end(&self) -> Option<Damage> {
        match &self.damage {
            Some(damage) => Some(damage.clone()),
            None if self.header.is_none() && self.consumed == self.bytes.len() && self.discarded == 0 => {
                Some(Damage::Torn { at: 0 })
            }
            None if self.consumed < self.bytes.len() => Some(Damage::Torn { at: self.offset() }),
            None => None,
        }
    }

    /// Makes the next call of [`Decoder::next_record`] return `record`.
    pub(crate) fn put_back(&mut self, record: Record) {
        self.pending = Some(record);
    }

    /// Returns the offset of the next frame in the segment.
    fn offset(&self) -> u64 {
        self.discarded + self.consumed as u64
    }

    /// Ends the segment as damaged and releases the buffer.
    fn fail(&mut self, damage: Damage) {
        self.damage = Some(damage);
        self.bytes = Vec::new();
        self.consumed = 0;
    }

    /// Returns the next record; `None` if more bytes are needed or the segment is damaged from here on.
    pub fn next_record(&mut self) -> Option<Record> {
        if let Some(pending) = self.pending.take() {
            return Some(pending);
        }
        if self.damage.is_some() || (self.header.is_none() && !self.read_header()) {
            return None;
        }
        let base = self.header.as_ref()?.base;
        loop {
            let at = self.offset();
            let (kind, payload) = match parse_frame(&self.bytes[self.consumed..]) {
                ParsedFrame::Frame(kind, payload) => (kind, payload),
                ParsedFrame::Incomplete => return None,
                ParsedFrame::Corrupt => {
                    self.fail(Damage::Frame { at });
                    return None;
                }
            };
            let decoded = Event::read(kind, payload);
            self.consumed += FRAME_HEADER_BYTES + payload.len();
            match decoded {
                // Newer programs may add kinds without a new format version.
                None => self.unknown_records += 1,
                Some(Ok((time, event))) => {
                    return Some(Record { at: base + time as f64 / 1_000.0, event });
                }
                Some(Err(_)) => {
                    self.fail(Damage::Frame { at });
                    return None;
                }
            }
        }
    }

    /// Decodes the header. Returns `false` if more bytes are needed or the header is damaged.
    fn read_header(&mut self) -> bool {
        let magic = &self.bytes[..self.bytes.len().min(MAGIC.len())];
        if *magic != MAGIC[..magic.len()] {
            self.fail(Damage::Foreign);
            return false;
        }
        let Some(&[low, high]) = self.bytes.get(MAGIC.len()..SEGMENT_PREFIX_BYTES) else { return false };
        let format = u16::from_le_bytes([low, high]);
        if format > FORMAT_VERSION {
            self.fail(Damage::Newer { format });
            return false;
        }
        match parse_frame(&self.bytes[SEGMENT_PREFIX_BYTES..]) {
            ParsedFrame::Incomplete => false,
            ParsedFrame::Frame(0, payload) if format == FORMAT_VERSION => {
                match postcard::from_bytes::<Header>(payload) {
                    Ok(header) if header.base.is_finite() => {
                        self.consumed = SEGMENT_PREFIX_BYTES + FRAME_HEADER_BYTES + payload.len();
                        self.header = Some(header);
                        true
                    }
                    _ => {
                        self.fail(Damage::Header);
                        false
                    }
                }
            }
            _ => {
                self.fail(Damage::Header);
                false
            }
        }
    }
}

/// The result of [`parse_frame`]: a complete frame's kind and payload, or why there is none.
enum ParsedFrame<'a> {
    Frame(u8, &'a [u8]),
    Incomplete,
    Corrupt,
}

/// Parses the frame at the start of `bytes` and checks its checksum.
fn parse_frame(bytes: &[u8]) -> ParsedFrame<'_> {
    let [low, high, kind, c0, c1, c2, c3, rest @ ..] = bytes else { return ParsedFrame::Incomplete };
    let length = usize::from(u16::from_le_bytes([*low, *high]));
    let Some(payload) = rest.get(..length) else { return ParsedFrame::Incomplete };
    if checksum(&bytes[..3], payload) != u32::from_le_bytes([*c0, *c1, *c2, *c3]) {
        return ParsedFrame::Corrupt;
    }
    ParsedFrame::Frame(*kind, payload)
}
