//! Encoding of datagrams and frames before they are sealed; `docs/fleet-view.md` describes the layout. An
//! unknown message type is told apart from malformed bytes, since newer versions may send it.

use crate::identity::{Id, Millis};
use crate::node_info::InfoRecord;
use serde::{Deserialize, Serialize};

/// Most bytes of a datagram: below the smallest MTU of usual links.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Most bytes of a frame: 4,096 nodes with the longest names and info records, some 700 bytes each.
pub const MAX_FRAME_BYTES: usize = 3 << 20;
/// Most bytes of `foca`'s part of a datagram: what the seal, the sequence number and the message type leave.
pub(crate) const MAX_GOSSIP_BYTES: usize = MAX_DATAGRAM_BYTES - hopmoor_seal::OVERHEAD_BYTES - 11;

/// A datagram's message: one of `foca`'s, or one of the messages added here.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Message<'a> {
    /// A message of `foca`, encoded by it.
    Gossip(&'a [u8]),
    /// Tells a node that it is suspected, so that it can refute without waiting for gossip.
    Suspected { from: Id, about: Id, refutations: u16 },
    /// Tells an earlier incarnation of a node that a later one is known, and whether that one is up.
    Superseded { from: Id, by: Id, alive: bool },
    /// Tells a node that somebody holds it dead.
    DeclaredDead { from: Id, about: Id },
    /// A message of another protocol, whose bytes this crate does not interpret.
    User { from: Id, bytes: Vec<u8> },
}

/// Why a datagram or frame can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecodeError {
    /// The message type is unknown; a newer version may define it.
    UnknownType,
    /// The bytes are malformed.
    Malformed,
}

impl From<postcard::Error> for DecodeError {
    fn from(_: postcard::Error) -> DecodeError {
        DecodeError::Malformed
    }
}

pub(crate) fn datagram(sequence: u64, message: &Message<'_>) -> Option<Vec<u8>> {
    let (type_id, body) = match message {
        Message::Gossip(bytes) => (0u8, bytes.to_vec()),
        Message::Suspected { from, about, refutations } => {
            (1, postcard::to_stdvec(&(from, about, refutations)).ok()?)
        }
        Message::Superseded { from, by, alive } => (2, postcard::to_stdvec(&(from, by, alive)).ok()?),
        Message::DeclaredDead { from, about } => (3, postcard::to_stdvec(&(from, about)).ok()?),
        Message::User { from, bytes } => (4, postcard::to_stdvec(&(from, bytes)).ok()?),
    };
    let mut plain = postcard::to_stdvec(&(sequence, type_id)).ok()?;
    plain.extend_from_slice(&body);
    Some(plain)
}

pub(crate) fn read(plain: &[u8]) -> Result<(u64, Message<'_>), DecodeError> {
    let ((sequence, type_id), body): ((u64, u8), _) = postcard::take_from_bytes(plain)?;
    let message = match type_id {
        0 => Message::Gossip(body),
        1 => {
            let (from, about, refutations) = postcard::from_bytes(body)?;
            Message::Suspected { from, about, refutations }
        }
        2 => {
            let (from, by, alive) = postcard::from_bytes(body)?;
            Message::Superseded { from, by, alive }
        }
        3 => {
            let (from, about) = postcard::from_bytes(body)?;
            Message::DeclaredDead { from, about }
        }
        4 => {
            let (from, bytes) = postcard::from_bytes(body)?;
            Message::User { from, bytes }
        }
        _ => return Err(DecodeError::UnknownType),
    };
    Ok((sequence, message))
}

/// What one node tells another of a third in an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) id: Id,
    /// How often the node has refuted a suspicion; `foca` calls this its incarnation.
    pub(crate) refutations: u16,
    pub(crate) state: ReportedState,
    /// For how long it has been dead.
    pub(crate) dead_ms: Millis,
    pub(crate) record: Option<InfoRecord>,
}

/// A node's state as reported in an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReportedState {
    Alive,
    Suspect,
    Dead,
}

/// A frame of an exchange. The caller draws a new `challenge` for each exchange and the reply repeats it, so
/// a replayed frame matches no exchange in progress. `next_challenge` is the callee's own, which the caller's
/// `State` must repeat.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Frame {
    Hello { from: Id, digest: [u8; 32], challenge: u64 },
    Same { challenge: u64 },
    State { from: Id, challenge: u64, next_challenge: Option<u64>, entries: Vec<Entry> },
}

impl Frame {
    pub(crate) fn write(&self) -> Option<Vec<u8>> {
        let (type_id, body) = match self {
            Frame::Hello { from, digest, challenge } => {
                (0u8, postcard::to_stdvec(&(from, digest, challenge)))
            }
            Frame::Same { challenge } => (1, postcard::to_stdvec(challenge)),
            Frame::State { from, challenge, next_challenge, entries } => {
                (2, postcard::to_stdvec(&(from, challenge, next_challenge, entries)))
            }
        };
        let mut plain = vec![type_id];
        plain.extend_from_slice(&body.ok()?);
        Some(plain)
    }

    pub(crate) fn read(plain: &[u8]) -> Result<Frame, DecodeError> {
        let (&type_id, body) = plain.split_first().ok_or(DecodeError::Malformed)?;
        Ok(match type_id {
            0 => {
                let (from, digest, challenge) = postcard::from_bytes(body)?;
                Frame::Hello { from, digest, challenge }
            }
            1 => Frame::Same { challenge: postcard::from_bytes(body)? },
            2 => {
                let (from, challenge, next_challenge, entries) = postcard::from_bytes(body)?;
                Frame::State { from, challenge, next_challenge, entries }
            }
            _ => return Err(DecodeError::UnknownType),
        })
    }
}
