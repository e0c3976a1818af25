//! Lists of pool members, as given by discovery, the configuration or an inventory.

use crate::api::{BackendId, BackendInfo, Millis, Phase, ZoneId};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// One pool member as listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name: the same at every node, and unchanged by a restart.
    pub name: String,
    /// Address to connect to: an IP address and a port.
    pub dial: String,
    /// Its zone, as an index in the configured zones.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its phase.
    pub phase: Phase,
    /// Listed weight.
    pub weight: f64,
    /// When it last started, in Unix milliseconds; `None` if long ago.
    pub born: Option<Millis>,
}

impl Member {
    /// Converts the member to the decision module's form, under the number that the pool assigned to it.
    pub fn info(&self, id: BackendId) -> BackendInfo {
        BackendInfo {
            id,
            phase: self.phase,
            zone: ZoneId(self.zone),
            cell: self.cell,
            weight: self.weight,
            started_at: self.born,
        }
    }
}

/// A list of pool members, or the changes to one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolList {
    /// Version of the list.
    pub seq: u64,
    /// Whether the list contains all members; otherwise only changed ones.
    pub whole: bool,
    /// The members.
    pub members: Vec<Member>,
}

impl PoolList {
    /// Returns whether the list contains no change to a list of version `at_hand`.
    pub fn has_no_changes(&self, at_hand: u64) -> bool {
        !self.whole && self.members.is_empty() && self.seq >= at_hand
    }
}

/// A list that can't be used, with the reason.
#[derive(Debug, PartialEq)]
pub struct ListError(pub String);

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ListError {}

#[derive(Deserialize)]
pub(crate) struct RawList {
    seq: u64,
    #[serde(default)]
    whole: bool,
    hosts: Vec<RawMember>,
}

#[derive(Deserialize)]
struct RawMember {
    host: String,
    dial: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    block: u32,
    health: Health,
    share: Option<f64>,
    #[serde(default)]
    born_ms: f64,
}

#[derive(Deserialize)]
enum Health {
    Ready,
    Terminating,
    Gone,
}

/// Decodes a list in discovery's JSON format.
///
/// # Errors
/// If it is not JSON of that format, or if the address of a member that is not gone is invalid.
pub fn decode(json: &[u8], zones: &[String]) -> Result<PoolList, ListError> {
    let raw: RawList = serde_json::from_slice(json).map_err(|error| ListError(error.to_string()))?;
    raw.list(zones)
}

impl RawList {
    pub(crate) fn list(self, zones: &[String]) -> Result<PoolList, ListError> {
        let members: Result<Vec<_>, _> = self.hosts.into_iter().map(|host| host.member(zones)).collect();
        Ok(PoolList { seq: self.seq, whole: self.whole, members: members? })
    }
}

impl RawMember {
    fn member(self, zones: &[String]) -> Result<Member, ListError> {
        let phase = match self.health {
            Health::Ready => Phase::Serving,
            Health::Terminating => Phase::Draining,
            Health::Gone => Phase::Gone,
        };
        // A member that is gone needs no valid address.
        if phase != Phase::Gone {
            check_dial(&self.dial).map_err(|error| ListError(format!("host {}: {error}", self.host)))?;
        }
        Ok(Member {
            zone: zone_index(&self.site, zones),
            name: self.host,
            dial: self.dial,
            cell: self.block,
            phase,
            weight: self.share.unwrap_or(1.0),
            born: Some(self.born_ms).filter(|born| *born > 0.0),
        })
    }
}

/// Returns the zone's index in the configured zones. All other zones share one further index, never this
/// node's.
pub fn zone_index(name: &str, zones: &[String]) -> u32 {
    zones.iter().position(|zone| zone == name).unwrap_or(zones.len()) as u32
}

/// Returns the address that a text means, however it is written; it can be connected to without DNS.
///
/// # Errors
/// If it is not an IP address with a port.
pub fn check_dial(dial: &str) -> Result<SocketAddr, ListError> {
    let address = dial.parse::<SocketAddr>();
    let address = address.map_err(|_| ListError(format!("'{dial}' is not an IP address with a port")))?;
    Ok(SocketAddr::new(address.ip().to_canonical(), address.port()))
}

/// Hashes a name with FNV-1a and a final mixing step; every node gets the same number for the same name.
pub fn name_hash(name: &str) -> u64 {
    let fnv =
        name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    (fnv ^ (fnv >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

#[cfg(test)]
mod tests;
