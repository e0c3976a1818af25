//! A word: what a node says of itself. Others keep its last one and pass it on byte for byte, with what they can't read.

use crate::identity::Name;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::HashMap;

/// Bytes of a word's fields, at most.
pub const WORD_BYTES: usize = 512;
/// Bytes of a digest in a word: what tells versions apart, not what proves them.
pub const DIGEST_BYTES: usize = 8;

/// Whether a node takes clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Readiness {
    /// It does not serve yet, or can't.
    #[default]
    NotReady = 0,
    /// It serves.
    Serving = 1,
    /// It takes no clients, and stays.
    Draining = 2,
    /// It ends.
    Ending = 3,
    /// It has gone, and said so.
    Left = 4,
}

impl Readiness {
    fn from(byte: u8) -> Readiness {
        match byte {
            1 => Readiness::Serving,
            2 => Readiness::Draining,
            3 => Readiness::Ending,
            4 => Readiness::Left,
            // What a newer node may be in is none that this one knows to serve.
            _ => Readiness::NotReady,
        }
    }

    /// In words, as operators read it.
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

/// What a node says of itself, as far as this program can read it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeInfo {
    /// Its zone.
    pub zone: String,
    /// Where clients connect.
    pub clients: String,
    /// Where operators call; empty: nowhere.
    pub admin: String,
    /// Whether it takes clients.
    pub ready: Readiness,
    /// Digest of its executable.
    pub program: Vec<u8>,
    /// Digest of its configuration.
    pub config: Vec<u8>,
    /// How long it had run when it said so, in milliseconds.
    pub up_ms: u64,
    /// Connections that it could still take.
    pub room: u32,
}

/// The numbers of the fields: the format. None is used again for another.
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
    /// As fields: `tag u8 | length u8 | bytes`, each at most 255 bytes and all at most [`WORD_BYTES`].
    pub fn fields(&self) -> Vec<u8> {
        let mut fields = Vec::new();
        let mut put = |tag: u8, bytes: &[u8]| {
            let bytes = &bytes[..bytes.len().min(usize::from(u8::MAX))];
            if !bytes.is_empty() && fields.len() + 2 + bytes.len() <= WORD_BYTES {
                fields.extend_from_slice(&[tag, bytes.len() as u8]);
                fields.extend_from_slice(bytes);
            }
        };
        // Those that the fleet goes by come first: they never fall to the limit.
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

    /// Reads fields; unknown ones are passed over. `None` if they are not cut as fields are.
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

/// A digest that tells versions of the same thing apart.
pub fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Vec<u8> {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize()[..DIGEST_BYTES].to_vec()
}

/// The room to tell of: the last that was told, unless it has changed by an eighth of the most there could be, or come to
/// nothing or from it. Each telling goes round the whole fleet.
pub fn room(told: u32, now: u32, most: u32) -> u32 {
    let news = now.abs_diff(told) >= (most / 8).max(1) || (now == 0) != (told == 0);
    if news { now } else { told }
}

/// A word as it goes round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// Whose.
    pub name: Name,
    /// Said in which coming.
    pub incarnation: u64,
    /// Counts its words in that coming.
    pub version: u32,
    /// The fields, unread.
    pub fields: Vec<u8>,
}

impl Word {
    fn action(&self) -> (u64, u32) {
        (self.incarnation, self.version)
    }

    /// Whether the node says that it goes.
    pub(crate) fn tells_left(&self) -> bool {
        NodeInfo::read(&self.fields).is_some_and(|info| info.ready == Readiness::Left)
    }
}

/// The last word of each node.
#[derive(Debug, Default)]
pub(crate) struct Words {
    words: HashMap<Name, Word>,
    /// Counts changes, for caches.
    pub(crate) changes: u64,
    most: usize,
    pub(crate) bad: u64,
}

impl Words {
    pub(crate) fn new(most: usize) -> Words {
        Words { most, ..Words::default() }
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Word> {
        self.words.get(name)
    }

    /// The word of this coming of a node.
    pub(crate) fn of(&self, id: &crate::Id) -> Option<&Word> {
        self.get(&id.name).filter(|node_info| node_info.incarnation == id.incarnation)
    }

    /// Takes a word; true if it is news. Of two the later one stands, in whatever order they come.
    pub(crate) fn take(&mut self, node_info: Word) -> bool {
        if node_info.fields.len() > WORD_BYTES
            || !crate::identity::is_name(&node_info.name)
            || NodeInfo::read(&node_info.fields).is_none()
        {
            self.bad += 1;
            return false;
        }
        let news = match self.words.get(&node_info.name) {
            Some(last) => node_info.action() > last.action(),
            None => self.words.len() < self.most,
        };
        if news {
            self.words.insert(node_info.name.clone(), node_info);
            self.changes += 1;
        }
        news
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.words.len()
    }

    pub(crate) fn forget(&mut self, name: &str) {
        if self.words.remove(name).is_some() {
            self.changes += 1;
        }
    }
}

#[cfg(test)]
mod tests;
