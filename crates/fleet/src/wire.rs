//! Datagrams and frames, before they are sealed: see `docs/fleet-view.md` for the layout. Numbers that are not known are
//! told apart from bytes that can't be read, since a newer node may send them.

use crate::identity::{Id, Millis};
use crate::node_info::Word;
use serde::{Deserialize, Serialize};

/// The largest datagram: below the least MTU that links have.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The largest frame: 4,096 nodes with the longest names and words, some 700 bytes each.
pub const MAX_FRAME_BYTES: usize = 3 << 20;
/// What of a datagram is left for `foca`: less the seal, sequence and number.
pub(crate) const GOSSIP: usize = MAX_DATAGRAM_BYTES - hopmoor_seal::OVERHEAD_BYTES - 11;

/// One of our own messages beside `foca`'s.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Message<'a> {
    /// `foca`'s.
    Gossip(&'a [u8]),
    /// Told to a suspect, so that it need not wait for the news to come round.
    Suspected { from: Id, about: Id, refuted: u16 },
    /// Told to an earlier coming of a node: a later one is known.
    Superseded { from: Id, by: Id, alive: bool },
    /// Told to a node whom somebody holds dead.
    HeldDead { from: Id, about: Id },
    /// Of another matter than the view: bytes that the view does not read.
    Beside { from: Id, bytes: Vec<u8> },
}

/// Why a datagram or frame is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unread {
    /// A number that a newer node may know.
    Unknown,
    /// Not what it should be.
    Malformed,
}

impl From<postcard::Error> for Unread {
    fn from(_: postcard::Error) -> Unread {
        Unread::Malformed
    }
}

pub(crate) fn datagram(sequence: u64, message: &Message<'_>) -> Option<Vec<u8>> {
    let (number, body) = match message {
        Message::Gossip(bytes) => (0u8, bytes.to_vec()),
        Message::Suspected { from, about, refuted } => {
            (1, postcard::to_stdvec(&(from, about, refuted)).ok()?)
        }
        Message::Superseded { from, by, alive } => (2, postcard::to_stdvec(&(from, by, alive)).ok()?),
        Message::HeldDead { from, about } => (3, postcard::to_stdvec(&(from, about)).ok()?),
        Message::Beside { from, bytes } => (4, postcard::to_stdvec(&(from, bytes)).ok()?),
    };
    let mut plain = postcard::to_stdvec(&(sequence, number)).ok()?;
    plain.extend_from_slice(&body);
    Some(plain)
}

pub(crate) fn read(plain: &[u8]) -> Result<(u64, Message<'_>), Unread> {
    let ((sequence, number), body): ((u64, u8), _) = postcard::take_from_bytes(plain)?;
    let message = match number {
        0 => Message::Gossip(body),
        1 => {
            let (from, about, refuted) = postcard::from_bytes(body)?;
            Message::Suspected { from, about, refuted }
        }
        2 => {
            let (from, by, alive) = postcard::from_bytes(body)?;
            Message::Superseded { from, by, alive }
        }
        3 => {
            let (from, about) = postcard::from_bytes(body)?;
            Message::HeldDead { from, about }
        }
        4 => {
            let (from, bytes) = postcard::from_bytes(body)?;
            Message::Beside { from, bytes }
        }
        _ => return Err(Unread::Unknown),
    };
    Ok((sequence, message))
}

/// What a node tells of another in an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) id: Id,
    /// `foca`'s own count of refutations.
    pub(crate) refuted: u16,
    pub(crate) state: Told,
    /// For how long it has been held dead.
    pub(crate) dead_ms: Millis,
    pub(crate) node_info: Option<Word>,
}

/// A state as told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Told {
    Alive,
    Suspect,
    Dead,
}

/// A frame of an exchange. `salt` is drawn by the caller for each exchange and comes back in its answer: a frame that is
/// played again finds nobody who waits for it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Frame {
    Hello { from: Id, digest: [u8; 32], salt: u64 },
    Same { salt: u64 },
    State { from: Id, salt: u64, wanted: Option<u64>, entries: Vec<Entry> },
}

impl Frame {
    pub(crate) fn write(&self) -> Option<Vec<u8>> {
        let (number, body) = match self {
            Frame::Hello { from, digest, salt } => (0u8, postcard::to_stdvec(&(from, digest, salt))),
            Frame::Same { salt } => (1, postcard::to_stdvec(salt)),
            Frame::State { from, salt, wanted, entries } => {
                (2, postcard::to_stdvec(&(from, salt, wanted, entries)))
            }
        };
        let mut plain = vec![number];
        plain.extend_from_slice(&body.ok()?);
        Some(plain)
    }

    pub(crate) fn read(plain: &[u8]) -> Result<Frame, Unread> {
        let (&number, body) = plain.split_first().ok_or(Unread::Malformed)?;
        Ok(match number {
            0 => {
                let (from, digest, salt) = postcard::from_bytes(body)?;
                Frame::Hello { from, digest, salt }
            }
            1 => Frame::Same { salt: postcard::from_bytes(body)? },
            2 => {
                let (from, salt, wanted, entries) = postcard::from_bytes(body)?;
                Frame::State { from, salt, wanted, entries }
            }
            _ => return Err(Unread::Unknown),
        })
    }
}
