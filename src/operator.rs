//! An operator's file: sets up the XMPP front with an inventory in place of the platform's configuration.

use crate::api::{Class, ListedWeight, Millis, Settings, Tenant};
use crate::config::{Config, ConfigError, Site, address};
use crate::inventory::{self, Inventory};
use crate::pool::{PoolList, name_hash};
use crate::xmpp::Realm;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// What an operator's file sets up.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The node, as the platform would configure it.
    pub config: Config,
    /// The XMPP front.
    pub realm: Realm,
    /// Where the inventory stands.
    pub inventory: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    name: String,
    listen: String,
    inventory: PathBuf,
    team: Option<String>,
    see_other_host: Option<String>,
    #[serde(default = "stanza_bytes")]
    stanza_bytes: usize,
    #[serde(default = "sockets")]
    sockets: usize,
    #[serde(default = "connect_timeout_ms")]
    connect_timeout_ms: Millis,
}

fn stanza_bytes() -> usize {
    64 * 1024
}

fn sockets() -> usize {
    1_024
}

fn connect_timeout_ms() -> Millis {
    250.0
}

/// Reads the file and the inventory that it names, relative to it.
///
/// # Errors
/// One message that names the file and the line or field at fault.
pub fn read(path: &Path) -> Result<Operator, ConfigError> {
    let about = |error: &dyn std::fmt::Display| ConfigError(format!("{}: {error}", path.display()));
    let json = std::fs::read(path).map_err(|error| about(&error))?;
    let raw: Raw = serde_json::from_slice(&json).map_err(|error| about(&error))?;
    let listen = address("listen", &raw.listen).map_err(|error| about(&error))?;
    let file = path.parent().unwrap_or(Path::new("")).join(&raw.inventory);
    let inventory = inventory::read(&file).map_err(|error| ConfigError(error.to_string()))?;
    let team = match &raw.team {
        None => None,
        Some(name) => match inventory.teams.iter().position(|team| team.name == *name) {
            Some(team) => Some(team as u32),
            None => return Err(about(&format!("team: no team {name} in {}", file.display()))),
        },
    };
    let realm = Realm {
        services: inventory.services.iter().map(|s| (s.name.clone(), s.deadline_ms)).collect(),
        teams: inventory.teams.iter().map(|team| team.domains.clone()).collect(),
        listener_team: team,
        // RFC 6120 13.12: no limit under 10,000 bytes.
        stanza_bytes: raw.stanza_bytes.max(10_000),
        see_other: raw.see_other_host.unwrap_or_else(|| raw.listen.clone()),
    };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let config = Config {
        seed: name_hash(&raw.name) ^ unix.as_nanos() as u64,
        name: raw.name,
        listen,
        discovery: None,
        sockets: raw.sockets,
        site: site(&inventory, raw.connect_timeout_ms),
        known: inventory.pool,
    };
    Ok(Operator { config, realm, inventory: file })
}

/// Reads the pool of an inventory anew.
///
/// # Errors
/// One message that names the file and the line or field at fault.
pub fn pool(file: &Path) -> Result<PoolList, ConfigError> {
    let inventory = inventory::read(file).map_err(|error| ConfigError(error.to_string()))?;
    Ok(inventory.pool)
}

fn site(inventory: &Inventory, connect_timeout_ms: Millis) -> Site {
    let class = |service: &inventory::Service| Class {
        aim_ms: service.deadline_ms / 2.0,
        worth: service.worth,
        ..Class::default()
    };
    let tenant = |team: &inventory::Team| Tenant {
        quota_connections: team.contract.map_or(0.0, |contract| contract.guarantee),
        contract: team.contract,
    };
    let settings = Settings {
        classes: inventory.services.iter().map(class).collect(),
        tenants: inventory.teams.iter().map(tenant).collect(),
        listed_weight: ListedWeight::Size,
        cancel: true,
        most_tries: 6,
        max_retry_after_ms: 2_000.0,
        connect_timeout_ms,
        ..Settings::default()
    };
    Site {
        settings,
        classes: inventory.services.iter().map(|service| service.name.clone()).collect(),
        tenants: inventory.teams.iter().map(|team| team.name.clone()).collect(),
        zones: inventory.zones.clone(),
        keepalive_ms: 5_000.0,
        ..Site::default()
    }
}
