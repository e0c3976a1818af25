//! The operator file. It configures either the XMPP front with an inventory, or the platform's front by
//! naming a configuration file of the platform's form. For both it sets what the platform's configuration
//! can't: records, fleet and the address for operators.

use crate::api::{Class, ListedWeight, Millis, Settings, Tenant};
use crate::config::{self, Config, ConfigError, Fleet, Records, Site, address};
use crate::inventory::{self, Inventory};
use crate::pool::{PoolList, name_hash};
use crate::xmpp::{BufferBudget, XmppSettings};
use hopmoor_record::Retention;
use hopmoor_seal::Keys;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The node that an operator file describes.
#[derive(Clone, Debug)]
pub struct OperatorSetup {
    /// The node's configuration.
    pub config: Config,
    /// The node's front.
    pub front: Front,
}

/// The front that an operator file selects.
#[derive(Clone, Debug)]
pub enum Front {
    /// The platform's protocol, with this configuration file.
    Platform(PathBuf),
    /// XMPP, with this inventory file.
    Xmpp(XmppSettings, PathBuf),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlatform {
    config: PathBuf,
    admin: Option<String>,
    records: Option<RawRecords>,
    fleet: Option<RawFleet>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFleet {
    listen: String,
    advertise: Option<String>,
    #[serde(default)]
    seeds: Vec<String>,
    keys: PathBuf,
    #[serde(default)]
    zone: String,
    agree: Option<RawAgree>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAgree {
    voters: Vec<String>,
    folder: Option<PathBuf>,
}

impl RawAgree {
    /// Checks all fields and adds a message to `errors` for each that is invalid.
    fn check(self, name: &str, base_dir: &Path, errors: &mut Vec<String>) -> config::Agreement {
        let RawAgree { voters, folder } = self;
        let names: std::collections::BTreeSet<&String> = voters.iter().collect();
        if ![1, 3, 5, 7].contains(&voters.len()) || names.len() < voters.len() {
            errors.push("fleet.agree.voters: must be 1, 3, 5 or 7 different names".into());
        }
        for (n, _) in voters.iter().enumerate().filter(|(_, voter)| !hopmoor_fleet::identity::is_name(voter))
        {
            errors.push(format!("fleet.agree.voters[{n}]: not a valid node name"));
        }
        if folder.is_none() && voters.iter().any(|voter| voter == name) {
            errors.push("fleet.agree.folder: required, as this node is a voter".into());
        }
        config::Agreement { voters, folder: base_dir.join(folder.unwrap_or_default()) }
    }
}

/// Maximum number of seeds; one that answers is enough.
const MAX_SEEDS: usize = 64;
/// Maximum length of a zone's name, as gossip messages are limited in size.
const MAX_ZONE_BYTES: usize = 64;

impl RawFleet {
    /// Checks all fields; the error names each that is invalid.
    fn check(self, name: &str, base_dir: &Path, files: Vec<PathBuf>) -> Result<Fleet, ConfigError> {
        let mut errors = Vec::new();
        let mut at = |field: &str, text: &str| -> Option<SocketAddr> {
            let read = address(&format!("fleet.{field}"), text);
            // Other nodes can't connect to an unspecified address or to port 0.
            let usable = |a: &SocketAddr| field == "listen" || !(a.ip().is_unspecified() || a.port() == 0);
            match read {
                Ok(address) if usable(&address) => return Some(address),
                Ok(address) => errors.push(format!("fleet.{field}: other nodes can't connect to {address}")),
                Err(ConfigError(error)) => errors.push(error),
            }
            None
        };
        let listen = at("listen", &self.listen);
        let advertise = self.advertise.as_deref().and_then(|text| at("advertise", text));
        let seeds: Vec<SocketAddr> =
            self.seeds.iter().enumerate().filter_map(|(n, text)| at(&format!("seeds[{n}]"), text)).collect();
        if self.advertise.is_none() && listen.is_some_and(|listen| listen.ip().is_unspecified()) {
            errors.push("fleet.advertise: required, as fleet.listen is an unspecified address".into());
        }
        if self.seeds.len() > MAX_SEEDS {
            errors.push(format!("fleet.seeds: more than {MAX_SEEDS} addresses"));
        }
        if self.zone.len() > MAX_ZONE_BYTES {
            errors.push(format!("fleet.zone: longer than {MAX_ZONE_BYTES} bytes"));
        }
        if !hopmoor_fleet::identity::is_name(name) {
            errors
                .push("name: must have 1 to 64 bytes and no control characters for a node of a fleet".into());
        }
        let agree = self.agree.map(|agree| agree.check(name, base_dir, &mut errors));
        let keys = base_dir.join(&self.keys);
        if let Err(ConfigError(error)) = read_fleet_keys(&keys) {
            errors.push(error);
        }
        match listen {
            Some(listen) if errors.is_empty() => {
                Ok(Fleet { listen, advertise, seeds, keys, zone: self.zone, files, agree })
            }
            _ => Err(ConfigError(errors.join("; "))),
        }
    }
}

/// Reads the keys of a fleet.
///
/// # Errors
/// The file can't be read or is invalid; the message names file and field, and contains no secret.
pub fn read_fleet_keys(file: &Path) -> Result<Keys, ConfigError> {
    let about =
        |error: &dyn std::fmt::Display| ConfigError(format!("fleet.keys: {}: {error}", file.display()));
    let json = std::fs::read(file).map_err(|error| about(&error))?;
    Keys::read(&json).map_err(|error| about(&error))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRecords {
    folder: PathBuf,
    segment_bytes: Option<u64>,
    keep_bytes: Option<u64>,
    keep_hours: Option<f64>,
}

impl RawRecords {
    /// Checks the values, and that the folder is writable.
    fn check(self, base_dir: &Path) -> Result<Records, ConfigError> {
        let base = Retention::default();
        let segment_bytes = self.segment_bytes.unwrap_or(base.segment_bytes);
        if !(4_096..=64 << 20).contains(&segment_bytes) {
            return Err(ConfigError("records.segment_bytes: must be from 4096 to 67108864".into()));
        }
        let keep_bytes = self.keep_bytes.unwrap_or(base.keep_bytes);
        if keep_bytes < 2 * segment_bytes {
            return Err(ConfigError("records.keep_bytes: must be at least two segments".into()));
        }
        let hours = self.keep_hours.unwrap_or(base.keep_for.as_secs_f64() / 3_600.0);
        // At most ten years. Guards against times beyond the clock's range.
        if !(hours > 0.0 && hours <= 87_600.0) {
            return Err(ConfigError("records.keep_hours: must be above 0 and at most 87600".into()));
        }
        let folder = base_dir.join(&self.folder);
        let about = |error| ConfigError(format!("records.folder: {}: {error}", folder.display()));
        let probe = folder.join(format!(".writable-{}", std::process::id()));
        std::fs::write(&probe, b"").map_err(about)?;
        std::fs::remove_file(&probe).map_err(about)?;
        let retention =
            Retention { segment_bytes, keep_bytes, keep_for: Duration::from_secs_f64(hours * 3_600.0) };
        Ok(Records { folder, retention })
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawXmpp {
    name: String,
    listen: String,
    admin: Option<String>,
    inventory: PathBuf,
    team: Option<String>,
    see_other_host: Option<String>,
    #[serde(default = "default_stanza_bytes")]
    stanza_bytes: usize,
    #[serde(default = "default_sockets")]
    sockets: usize,
    #[serde(default = "default_connect_timeout_ms")]
    connect_timeout_ms: Millis,
    records: Option<RawRecords>,
    fleet: Option<RawFleet>,
}

fn default_stanza_bytes() -> usize {
    64 * 1024
}

fn default_sockets() -> usize {
    1_024
}

fn default_connect_timeout_ms() -> Millis {
    250.0
}

/// Reads an operator file, and the inventory or configuration that it names by a path relative to it.
///
/// # Errors
/// A file can't be read or is invalid; the message names the file and the line or field.
pub fn read(path: &Path) -> Result<OperatorSetup, ConfigError> {
    let about = |error: &dyn std::fmt::Display| ConfigError(format!("{}: {error}", path.display()));
    let json = std::fs::read(path).map_err(|error| about(&error))?;
    let base_dir = path.parent().unwrap_or(Path::new(""));
    let value: serde_json::Value = serde_json::from_slice(&json).map_err(|error| about(&error))?;
    if value.get("config").is_some() {
        let raw: RawPlatform = serde_json::from_slice(&json).map_err(|error| about(&error))?;
        let file = base_dir.join(&raw.config);
        let mut config = config::read(&file)?;
        if let Some(text) = &raw.admin {
            config.admin = Some(address("admin", text).map_err(|error| about(&error))?);
        }
        config.records =
            raw.records.map(|records| records.check(base_dir)).transpose().map_err(|error| about(&error))?;
        let files = vec![path.to_owned(), file.clone()];
        config.fleet = raw
            .fleet
            .map(|fleet| fleet.check(&config.name, base_dir, files))
            .transpose()
            .map_err(|error| about(&error))?;
        return Ok(OperatorSetup { config, front: Front::Platform(file) });
    }
    let raw: RawXmpp = serde_json::from_slice(&json).map_err(|error| about(&error))?;
    let listen = address("listen", &raw.listen).map_err(|error| about(&error))?;
    let admin = raw.admin.map(|text| address("admin", &text)).transpose().map_err(|error| about(&error))?;
    let file = base_dir.join(&raw.inventory);
    let inventory = inventory::read(&file).map_err(|error| ConfigError(error.to_string()))?;
    let team = match &raw.team {
        None => None,
        Some(name) => match inventory.teams.iter().position(|team| team.name == *name) {
            Some(team) => Some(team as u32),
            None => return Err(about(&format!("team: no team {name} in {}", file.display()))),
        },
    };
    let realm = XmppSettings {
        services: inventory.services.iter().map(|s| (s.name.clone(), s.deadline_ms)).collect(),
        teams: inventory.teams.iter().map(|team| team.domains.clone()).collect(),
        default_team: team,
        // RFC 6120, 13.12: the limit must not be below 10,000 bytes.
        stanza_bytes: raw.stanza_bytes.max(10_000),
        see_other: raw.see_other_host.unwrap_or_else(|| raw.listen.clone()),
        buffer_budget: BufferBudget::default(),
    };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let files = vec![path.to_owned(), file.clone()];
    let fleet = raw
        .fleet
        .map(|fleet| fleet.check(&raw.name, base_dir, files))
        .transpose()
        .map_err(|error| about(&error))?;
    let config = Config {
        fleet,
        seed: name_hash(&raw.name) ^ unix.as_nanos() as u64,
        name: raw.name,
        listen,
        passed_socket: None,
        admin,
        discovery: None,
        sockets: raw.sockets,
        site: site(&inventory, raw.connect_timeout_ms),
        known: inventory.pool,
        records: raw
            .records
            .map(|records| records.check(base_dir))
            .transpose()
            .map_err(|error| about(&error))?,
    };
    Ok(OperatorSetup { config, front: Front::Xmpp(realm, file) })
}

/// Reads the pool of an inventory file.
///
/// # Errors
/// The file can't be read or is invalid; the message names the file and the line or field.
pub fn read_pool(file: &Path) -> Result<PoolList, ConfigError> {
    let inventory = inventory::read(file).map_err(|error| ConfigError(error.to_string()))?;
    Ok(inventory.pool)
}

/// The settings of a node with an inventory.
fn site(inventory: &Inventory, connect_timeout_ms: Millis) -> Site {
    let class = |service: &inventory::Service| Class {
        aim_ms: service.deadline_ms / 2.0,
        worth: service.worth,
        ..Class::default()
    };
    let tenant = |team: &inventory::Team| Tenant {
        quota_connections: team.contract.map_or(0.0, |contract| contract.guarantee),
        contract: team.contract,
        ..Tenant::default()
    };
    let settings = Settings {
        classes: inventory.services.iter().map(class).collect(),
        tenants: inventory.teams.iter().map(tenant).collect(),
        listed_weight: ListedWeight::Size,
        cancel: true,
        max_attempts: 6,
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
