//! An operator's file. It sets up the XMPP front with an inventory in place of the platform's configuration, or the
//! platform's front with a configuration in the platform's form; and for either what the platform does not give.

use crate::api::{Class, ListedWeight, Millis, Settings, Tenant};
use crate::config::{self, Config, ConfigError, Fleet, Records, Site, address};
use crate::inventory::{self, Inventory};
use crate::pool::{PoolList, name_hash};
use crate::xmpp::XmppSettings;
use hopmoor_record::Retention;
use hopmoor_seal::Keys;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What an operator's file sets up.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The node, as the platform would configure it.
    pub config: Config,
    /// Its front.
    pub front: Front,
}

/// The front that an operator's file sets up.
#[derive(Clone, Debug)]
pub enum Front {
    /// The platform's protocol, by this configuration.
    Platform(PathBuf),
    /// XMPP, with an inventory.
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
    fn check(self, name: &str, above: &Path, wrong: &mut Vec<String>) -> config::Agree {
        let RawAgree { voters, folder } = self;
        let names: std::collections::BTreeSet<&String> = voters.iter().collect();
        if ![1, 3, 5, 7].contains(&voters.len()) || names.len() < voters.len() {
            wrong.push("fleet.agree.voters: 1, 3, 5 or 7 different names are wanted".into());
        }
        for (n, _) in voters.iter().enumerate().filter(|(_, voter)| !hopmoor_fleet::identity::is_name(voter))
        {
            wrong.push(format!("fleet.agree.voters[{n}]: not a node's name"));
        }
        if folder.is_none() && voters.iter().any(|voter| voter == name) {
            wrong.push("fleet.agree.folder: wanted, since this node votes".into());
        }
        config::Agree { voters, folder: above.join(folder.unwrap_or_default()) }
    }
}

/// Seeds, at most: any of them will do.
const SEEDS: usize = 64;
/// Bytes of a zone's name, at most: it goes round in words of limited size.
const ZONE_BYTES: usize = 64;

impl RawFleet {
    /// Checks all fields, and names each that is wrong.
    fn check(self, name: &str, above: &Path, files: Vec<PathBuf>) -> Result<Fleet, ConfigError> {
        let mut wrong = Vec::new();
        let mut at = |field: &str, text: &str| -> Option<SocketAddr> {
            let read = address(&format!("fleet.{field}"), text);
            // Nobody can be reached at any address at all, or at port 0.
            let usable = |a: &SocketAddr| field == "listen" || !(a.ip().is_unspecified() || a.port() == 0);
            match read {
                Ok(address) if usable(&address) => return Some(address),
                Ok(address) => wrong.push(format!("fleet.{field}: nobody can be reached at {address}")),
                Err(ConfigError(error)) => wrong.push(error),
            }
            None
        };
        let listen = at("listen", &self.listen);
        let advertise = self.advertise.as_deref().and_then(|text| at("advertise", text));
        let seeds: Vec<SocketAddr> =
            self.seeds.iter().enumerate().filter_map(|(n, text)| at(&format!("seeds[{n}]"), text)).collect();
        if self.advertise.is_none() && listen.is_some_and(|listen| listen.ip().is_unspecified()) {
            wrong.push("fleet.advertise: wanted where fleet.listen is any address".into());
        }
        if self.seeds.len() > SEEDS {
            wrong.push(format!("fleet.seeds: more than {SEEDS}"));
        }
        if self.zone.len() > ZONE_BYTES {
            wrong.push(format!("fleet.zone: longer than {ZONE_BYTES} bytes"));
        }
        if !hopmoor_fleet::identity::is_name(name) {
            wrong.push(
                "name: a node of a fleet needs one of 1 to 64 bytes, without control characters".into(),
            );
        }
        let agree = self.agree.map(|agree| agree.check(name, above, &mut wrong));
        let keys = above.join(&self.keys);
        if let Err(ConfigError(error)) = fleet_keys(&keys) {
            wrong.push(error);
        }
        match listen {
            Some(listen) if wrong.is_empty() => {
                Ok(Fleet { listen, advertise, seeds, keys, zone: self.zone, files, agree })
            }
            _ => Err(ConfigError(wrong.join("; "))),
        }
    }
}

/// Reads the keys of a fleet.
///
/// # Errors
/// One message that names the file and the field at fault, and no secret.
pub fn fleet_keys(file: &Path) -> Result<Keys, ConfigError> {
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
    /// Checks the values and that the folder can be written to.
    fn check(self, above: &Path) -> Result<Records, ConfigError> {
        let base = Retention::default();
        let segment_bytes = self.segment_bytes.unwrap_or(base.segment_bytes);
        if !(4_096..=64 << 20).contains(&segment_bytes) {
            return Err(ConfigError("records.segment_bytes: not from 4096 to 67108864".into()));
        }
        let keep_bytes = self.keep_bytes.unwrap_or(base.keep_bytes);
        if keep_bytes < 2 * segment_bytes {
            return Err(ConfigError("records.keep_bytes: less than two segments".into()));
        }
        let hours = self.keep_hours.unwrap_or(base.keep_for.as_secs_f64() / 3_600.0);
        // Up to ten years: guards against times past what the clock can tell.
        if !(hours > 0.0 && hours <= 87_600.0) {
            return Err(ConfigError("records.keep_hours: not over 0 and up to 87600".into()));
        }
        let folder = above.join(&self.folder);
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
    #[serde(default = "stanza_bytes")]
    stanza_bytes: usize,
    #[serde(default = "sockets")]
    sockets: usize,
    #[serde(default = "connect_timeout_ms")]
    connect_timeout_ms: Millis,
    records: Option<RawRecords>,
    fleet: Option<RawFleet>,
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

/// Reads the file, and the inventory or configuration that it names, relative to it.
///
/// # Errors
/// One message that names the file and the line or field at fault.
pub fn read(path: &Path) -> Result<Operator, ConfigError> {
    let about = |error: &dyn std::fmt::Display| ConfigError(format!("{}: {error}", path.display()));
    let json = std::fs::read(path).map_err(|error| about(&error))?;
    let above = path.parent().unwrap_or(Path::new(""));
    let value: serde_json::Value = serde_json::from_slice(&json).map_err(|error| about(&error))?;
    if value.get("config").is_some() {
        let raw: RawPlatform = serde_json::from_slice(&json).map_err(|error| about(&error))?;
        let file = above.join(&raw.config);
        let mut config = config::read(&file)?;
        if let Some(text) = &raw.admin {
            config.admin = Some(address("admin", text).map_err(|error| about(&error))?);
        }
        config.records =
            raw.records.map(|records| records.check(above)).transpose().map_err(|error| about(&error))?;
        let files = vec![path.to_owned(), file.clone()];
        config.fleet = raw
            .fleet
            .map(|fleet| fleet.check(&config.name, above, files))
            .transpose()
            .map_err(|error| about(&error))?;
        return Ok(Operator { config, front: Front::Platform(file) });
    }
    let raw: RawXmpp = serde_json::from_slice(&json).map_err(|error| about(&error))?;
    let listen = address("listen", &raw.listen).map_err(|error| about(&error))?;
    let admin = raw.admin.map(|text| address("admin", &text)).transpose().map_err(|error| about(&error))?;
    let file = above.join(&raw.inventory);
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
        // RFC 6120 13.12: no limit under 10,000 bytes.
        stanza_bytes: raw.stanza_bytes.max(10_000),
        see_other: raw.see_other_host.unwrap_or_else(|| raw.listen.clone()),
    };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let files = vec![path.to_owned(), file.clone()];
    let fleet = raw
        .fleet
        .map(|fleet| fleet.check(&raw.name, above, files))
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
            .map(|records| records.check(above))
            .transpose()
            .map_err(|error| about(&error))?,
    };
    Ok(Operator { config, front: Front::Xmpp(realm, file) })
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
