//! What a node announces about itself, and the latest announcement of each node. Other nodes keep a record
//! and pass it on byte for byte, with the fields of newer versions that they can't read.

use crate::identity::Name;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::HashMap;

/// Most bytes of a record's fields.
pub const MAX_INFO_BYTES: usize = 512;
/// Bytes of the digests that a node announces. They tell versions apart and are too short to prove
/// authenticity.
pub const DIGEST_BYTES: usize = 8;

/// Whether a node takes clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Readiness {
    /// It does not serve, because it is starting or can't.
    #[default]
    NotReady = 0,
    /// It serves.
    Serving = 1,
    /// It takes no new clients but goes on running.
    Draining = 2,
    /// It is shutting down.
    Ending = 3,
    /// It has announced its leave.
    Left = 4,
}

impl Readiness {
    fn from(byte: u8) -> Readiness {
        match byte {
            1 => Readiness::Serving,
            2 => Readiness::Draining,
            3 => Readiness::Ending,
            4 => Readiness::Left,
            // A state that only newer versions know does not count as serving.
            _ => Readiness::NotReady,
        }
    }

    /// The state as shown to operators.
    pub fn text(self) -> &'static str {
        match self {
            Readiness::NotReady => "not ready",
            Readiness::Serving => "serving",
            Readiness::Draining => "draining",
            Readiness::Ending => "ending",
            Readiness::Left => "left",
        }
    }
}

/// What a node announces about itself, as far as this version can read it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeInfo {
    /// Its zone.
    pub zone: String,
    /// The address for clients.
    pub clients: String,
    /// The address for operators; empty if there is none.
    pub admin: String,
    /// Whether it takes clients.
    pub ready: Readiness,
    /// Digest of its executable.
    pub program: Vec<u8>,
    /// Digest of its configuration.
    pub config: Vec<u8>,
    /// Its uptime when it announced this, in milliseconds.
    pub up_ms: u64,
    /// How many more connections it can take.
    pub room: u32,
}

/// Field numbers on the wire. A number is never reused for another field.
mod tag {
    pub const ZONE: u8 = 1;
    pub const CLIENTS: u8 = 2;
    pub const ADMIN: u8 = 3;
    pub const READY: u8 = 4;
    pub const PROGRAM: u8 = 5;
    pub const CONFIG: u8 = 6;
    pub const UP_MS: u8 = 7;
    pub const ROOM: u8 = 8;
}

impl NodeInfo {
    /// Encodes the fields as `tag u8 | length u8 | bytes`. A value is cut to 255 bytes; fields that would
    /// exceed [`MAX_INFO_BYTES`] in all are left out.
    pub fn fields(&self) -> Vec<u8> {
        let mut fields = Vec::new();
        let mut put = |tag: u8, bytes: &[u8]| {
            let bytes = &bytes[..bytes.len().min(usize::from(u8::MAX))];
            if !bytes.is_empty() && fields.len() + 2 + bytes.len() <= MAX_INFO_BYTES {
                fields.extend_from_slice(&[tag, bytes.len() as u8]);
                fields.extend_from_slice(bytes);
            }
        };
        // The fields that the protocol relies on come first, so that the limit never drops them.
        put(tag::READY, &[self.ready as u8]);
        put(tag::UP_MS, &self.up_ms.to_le_bytes());
        put(tag::ROOM, &self.room.to_le_bytes());
        put(tag::PROGRAM, &self.program);
        put(tag::CONFIG, &self.config);
        put(tag::ZONE, self.zone.as_bytes());
        put(tag::CLIENTS, self.clients.as_bytes());
        put(tag::ADMIN, self.admin.as_bytes());
        fields
    }

    /// Decodes fields and skips unknown ones; `None` if a length or a value is malformed.
    pub fn read(mut fields: &[u8]) -> Option<NodeInfo> {
        let mut info = NodeInfo::default();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        while let Some((&[tag, length], rest)) = fields.split_first_chunk::<2>() {
            let (bytes, rest) = rest.split_at_checked(usize::from(length))?;
            fields = rest;
            match tag {
                tag::ZONE => info.zone = text(bytes),
                tag::CLIENTS => info.clients = text(bytes),
                tag::ADMIN => info.admin = text(bytes),
                tag::READY => info.ready = Readiness::from(*bytes.first()?),
                tag::PROGRAM => info.program = bytes.to_vec(),
                tag::CONFIG => info.config = bytes.to_vec(),
                tag::UP_MS => info.up_ms = u64::from_le_bytes(bytes.try_into().ok()?),
                tag::ROOM => info.room = u32::from_le_bytes(bytes.try_into().ok()?),
                _ => {}
            }
        }
        fields.is_empty().then_some(info)
    }
}

/// A digest that tells versions of the same data apart; see [`DIGEST_BYTES`].
pub fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Vec<u8> {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize()[..DIGEST_BYTES].to_vec()
}

/// Returns the number of free connections to announce: `free` if it differs from the announced number by at
/// least an eighth of `limit`, or if one of the two is 0 and the other is not; else `announced`. Each
/// announcement goes to the whole fleet.
pub fn room(announced: u32, free: u32, limit: u32) -> u32 {
    let changed = free.abs_diff(announced) >= (limit / 8).max(1) || (free == 0) != (announced == 0);
    if changed { free } else { announced }
}

/// A version of a node's info, as it is spread through the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InfoRecord {
    /// The node's name.
    pub name: Name,
    /// The incarnation that announced it.
    pub incarnation: u64,
    /// Counts the versions within the incarnation.
    pub version: u32,
    /// The encoded fields; see [`NodeInfo::fields`].
    pub fields: Vec<u8>,
}

impl InfoRecord {
    fn full_version(&self) -> (u64, u32) {
        (self.incarnation, self.version)
    }

    /// Whether the node announces its leave.
    pub(crate) fn has_left(&self) -> bool {
        NodeInfo::read(&self.fields).is_some_and(|info| info.ready == Readiness::Left)
    }
}

/// The latest record of each node.
#[derive(Debug, Default)]
pub(crate) struct InfoTable {
    records: HashMap<Name, InfoRecord>,
    /// Counts changes, to invalidate caches.
    pub(crate) changes: u64,
    capacity: usize,
    pub(crate) rejected: u64,
}

impl InfoTable {
    pub(crate) fn new(capacity: usize) -> InfoTable {
        InfoTable { capacity, ..InfoTable::default() }
    }

    pub(crate) fn get(&self, name: &str) -> Option<&InfoRecord> {
        self.records.get(name)
    }

    /// The record of this incarnation of a node.
    pub(crate) fn get_for(&self, id: &crate::Id) -> Option<&InfoRecord> {
        self.get(&id.name).filter(|record| record.incarnation == id.incarnation)
    }

    /// Stores a record if it is valid and later than the stored one, and returns whether it did. Records may
    /// arrive in any order.
    pub(crate) fn insert_if_newer(&mut self, record: InfoRecord) -> bool {
        if record.fields.len() > MAX_INFO_BYTES
            || !crate::identity::is_name(&record.name)
            || NodeInfo::read(&record.fields).is_none()
        {
            self.rejected += 1;
            return false;
        }
        let newer = match self.records.get(&record.name) {
            Some(last) => record.full_version() > last.full_version(),
            None => self.records.len() < self.capacity,
        };
        if newer {
            self.records.insert(record.name.clone(), record);
            self.changes += 1;
        }
        newer
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn forget(&mut self, name: &str) {
        if self.records.remove(name).is_some() {
            self.changes += 1;
        }
    }
}

#[cfg(test)]
mod tests;
