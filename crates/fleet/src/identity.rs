//! Who a node is: its name, where it is reached, and how often it has come.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A node's name.
pub type Name = Arc<str>;
/// Milliseconds on the caller's clock, which only goes forward.
pub type Millis = u64;

/// Bytes of a name, at most.
pub const NAME_BYTES: usize = 64;

/// Whether a node may have this name: it goes into tables, logs and datagrams of all others.
pub fn is_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= NAME_BYTES && text.chars().all(|c| !c.is_control())
}

/// One coming of a node. Of two with one name, the later incarnation is the node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "Raw")]
pub struct Id {
    /// The node.
    pub name: Name,
    /// Its coming: Unix milliseconds at its start, and one more each time it has to come again.
    pub incarnation: u64,
    /// Where the others reach it.
    pub address: SocketAddr,
}

#[derive(Deserialize)]
struct Raw {
    name: Name,
    incarnation: u64,
    address: SocketAddr,
}

impl TryFrom<Raw> for Id {
    type Error = &'static str;

    fn try_from(raw: Raw) -> Result<Id, Self::Error> {
        let Raw { name, incarnation, address } = raw;
        if is_name(&name) { Ok(Id { name, incarnation, address }) } else { Err("not a node's name") }
    }
}

impl Id {
    /// Whether this is a later coming than the other; by the address where two came in one millisecond.
    pub fn is_later(&self, other: &Id) -> bool {
        (self.incarnation, self.address) > (other.incarnation, other.address)
    }
}

impl foca::Identity for Id {
    type Addr = Name;

    /// When and as whom to come again is decided in `coming`, not in the library: it would come again at once, each
    /// time it is told that it is dead.
    fn renew(&self) -> Option<Id> {
        None
    }

    fn addr(&self) -> Name {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Id) -> bool {
        self.is_later(adversary)
    }
}
