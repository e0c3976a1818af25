//! What goes between nodes, in the fleet's sealed datagrams. The order of variants is the format: new ones come last.

use crate::bootstrap::Hail;
use crate::entry::{Entry, Request};
use crate::state::Answer;
use serde::{Deserialize, Serialize};

/// One message. All may be lost, doubled and out of order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// `raft`'s, between voters.
    Log(Vec<u8>),
    /// To any voter: please have this in the log.
    Propose(Entry),
    /// From a voter: what its log says of a request.
    Answer(Request, Answer),
    /// Between voters: who has founded and who has not.
    Hail(Hail),
}

impl Message {
    /// As bytes; none if it can't be written.
    pub fn write(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// From bytes; none if it is not one, or of a newer kind.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        postcard::from_bytes(bytes).ok()
    }
}
