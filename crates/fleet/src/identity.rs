//! The identity of a node: its name, its address and its incarnation.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::sync::Arc;

/// The name of a node.
pub type Name = Arc<str>;
/// Milliseconds on the caller's clock, which is monotonic.
pub type Millis = u64;

/// Longest name of a node, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Whether `text` is valid as a node's name. Names end up in the tables, logs and datagrams of all other
/// nodes.
pub fn is_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(|c| !c.is_control())
}

/// One incarnation of a node. If two share a name, the later incarnation is the node and the earlier one must
/// yield.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "UncheckedId")]
pub struct Id {
    /// The name of the node.
    pub name: Name,
    /// The node's start in Unix milliseconds, plus 1 for each rejoin since.
    pub incarnation: u64,
    /// Where other nodes reach this one.
    pub address: SocketAddr,
    /// Stands for the name in lookups. For every update `foca` compares it with that of all members it knows.
    #[serde(skip)]
    name_hash: NameHash,
}

/// The first half of a name's SHA-256. Long enough that not even a holder of the fleet's key can find two
/// names that collide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NameHash(u128);

impl NameHash {
    fn of(name: &str) -> NameHash {
        let digest: [u8; 32] = Sha256::digest(name.as_bytes()).into();
        NameHash(digest.iter().take(16).fold(0, |bits, byte| bits << 8 | u128::from(*byte)))
    }
}

#[derive(Deserialize)]
struct UncheckedId {
    name: Name,
    incarnation: u64,
    address: SocketAddr,
}

impl TryFrom<UncheckedId> for Id {
    type Error = &'static str;

    fn try_from(raw: UncheckedId) -> Result<Id, Self::Error> {
        let UncheckedId { name, incarnation, address } = raw;
        if is_name(&name) { Ok(Id::new(name, incarnation, address)) } else { Err("invalid node name") }
    }
}

impl Id {
    /// Creates an identity.
    pub fn new(name: impl Into<Name>, incarnation: u64, address: SocketAddr) -> Id {
        let name = name.into();
        Id { name_hash: NameHash::of(&name), name, incarnation, address }
    }

    /// The same node under another incarnation.
    pub(crate) fn with_incarnation(&self, incarnation: u64) -> Id {
        Id { incarnation, ..self.clone() }
    }

    /// Whether both are incarnations of the same node.
    pub fn is_same_node(&self, other: &Id) -> bool {
        self.name_hash == other.name_hash
    }

    /// Whether this incarnation is later than the other; the address decides if both started in the same
    /// millisecond.
    pub fn is_later(&self, other: &Id) -> bool {
        (self.incarnation, self.address) > (other.incarnation, other.address)
    }
}

impl foca::Identity for Id {
    type Addr = NameHash;

    /// Never renews: the rejoin module decides when and under which incarnation to rejoin. `foca` itself
    /// would do so at once, every time that it is told that it is dead.
    fn renew(&self) -> Option<Id> {
        None
    }

    fn addr(&self) -> NameHash {
        self.name_hash
    }

    fn win_addr_conflict(&self, adversary: &Id) -> bool {
        self.is_later(adversary)
    }
}
