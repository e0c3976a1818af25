//! The messages between nodes, sent in the fleet's sealed datagrams. postcard's encoding goes by the order of
//! variants: new ones are added last.

use crate::bootstrap::BootstrapState;
use crate::entry::{Entry, Request};
use crate::state::Answer;
use serde::{Deserialize, Serialize};

/// One message. Any of them may be lost, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A message of the `raft` crate, between voters.
    Log(Vec<u8>),
    /// From a node to any voter: asks for this entry to be added to the log.
    Propose(Entry),
    /// From a voter to a node: what the log says of this request.
    Answer(Request, Answer),
    /// Between voters: whether the sender has bootstrapped, and with whom.
    BootstrapState(BootstrapState),
}

impl Message {
    /// Encodes the message; `None` if it can't be encoded.
    pub fn write(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// Decodes a message; `None` if the bytes are malformed, or hold a variant of a newer version.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        postcard::from_bytes(bytes).ok()
    }
}
