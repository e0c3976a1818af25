//! Who a node is: its name, where it is reached, and how often it has come.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
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
    /// What the name is found by: the library looks through all that it knows for every news, and asks each for its own.
    #[serde(skip)]
    key: Key,
}

/// Half of a name's SHA-256: not even one that holds the fleet's key finds two names that meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u128);

impl Key {
    fn of(name: &str) -> Key {
        let digest: [u8; 32] = Sha256::digest(name.as_bytes()).into();
        Key(digest.iter().take(16).fold(0, |key, byte| key << 8 | u128::from(*byte)))
    }
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
        if is_name(&name) { Ok(Id::new(name, incarnation, address)) } else { Err("not a node's name") }
    }
}

impl Id {
    /// A node's coming.
    pub fn new(name: impl Into<Name>, incarnation: u64, address: SocketAddr) -> Id {
        let name = name.into();
        Id { key: Key::of(&name), name, incarnation, address }
    }

    /// The same node, come as another incarnation.
    pub(crate) fn come_again(&self, incarnation: u64) -> Id {
        Id { incarnation, ..self.clone() }
    }

    /// Whether the two are of one node.
    pub fn is_same_node(&self, other: &Id) -> bool {
        self.key == other.key
    }

    /// Whether this is a later coming than the other; by the address where two came in one millisecond.
    pub fn is_later(&self, other: &Id) -> bool {
        (self.incarnation, self.address) > (other.incarnation, other.address)
    }
}

impl foca::Identity for Id {
    type Addr = Key;

    /// When and as whom to come again is decided in `rejoin`, not in the library: it would come again at once, each
    /// time it is told that it is dead.
    fn renew(&self) -> Option<Id> {
        None
    }

    fn addr(&self) -> Key {
        self.key
    }

    fn win_addr_conflict(&self, adversary: &Id) -> bool {
        self.is_later(adversary)
    }
}
