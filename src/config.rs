//! A node's configuration: the file that `NODE_CONFIG` names, decoded once into the values that the program
//! uses.

use crate::api::*;
use crate::pool::{PoolList, RawList};
use hopmoor_record::Retention;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Descriptor of a listening socket for clients that the parent process passed; `None` if the node opens
    /// its own.
    pub passed_socket: Option<i32>,
    /// Address of the admin endpoint, if there is one.
    pub admin: Option<SocketAddr>,
    /// Address of discovery; `None` if the pool comes from an inventory.
    pub discovery: Option<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of file descriptors that the process may hold.
    pub sockets: usize,
    /// The last pool known to this node, used until discovery answers.
    pub known: PoolList,
    /// Names and settings of the site.
    pub site: Site,
    /// Where events are recorded; set only by an operator file.
    pub records: Option<Records>,
    /// How the node finds its fleet; set only by an operator file.
    pub fleet: Option<Fleet>,
}

impl Config {
    /// Adds what the environment sets: `NODE_ADMIN`, unless the file sets the address, and
    /// `NODE_PASSED_SOCKET`.
    ///
    /// # Errors
    /// A variable is invalid; the message names it.
    pub fn take_environment(&mut self, variable: impl Fn(&str) -> Option<String>) -> Result<(), ConfigError> {
        let variable = |name| variable(name).filter(|text| !text.is_empty());
        if self.admin.is_none() {
            self.admin = variable("NODE_ADMIN").map(|text| address("NODE_ADMIN", &text)).transpose()?;
        }
        let number = |text: String| {
            let bad = |_| ConfigError(format!("NODE_PASSED_SOCKET: '{text}' is not a descriptor number"));
            text.parse().map_err(bad)
        };
        self.passed_socket = variable("NODE_PASSED_SOCKET").map(number).transpose()?;
        Ok(())
    }
}

/// Where events are recorded, and how much is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Records {
    /// A folder that no other node uses.
    pub folder: PathBuf,
    /// Limits of size and age.
    pub retention: Retention,
}

/// How a node and the other nodes of its fleet find each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Address of the fleet port, for UDP and TCP.
    pub listen: SocketAddr,
    /// Address at which other nodes reach it; `None` if that is `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses at which other nodes may be found.
    pub seeds: Vec<SocketAddr>,
    /// The file of fleet keys.
    pub keys: PathBuf,
    /// The zone that is announced to other nodes.
    pub zone: String,
    /// The files that make up the configuration; their digest is announced, so that versions can be told
    /// apart.
    pub files: Vec<PathBuf>,
    /// The drain agreement; `None` if a node drains on command without a permit.
    pub agree: Option<Agreement>,
}

/// The Raft group that grants drain permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Agreement {
    /// Names of the voters: 1, 3, 5 or 7.
    pub voters: Vec<String>,
    /// Folder of this node's log and vote, if it is a voter.
    pub folder: PathBuf,
}

/// Default of [`Site::stop_sending_ms`].
const DEFAULT_STOP_SENDING_MS: Millis = 750.0;

/// The settings: those of the decision module, and those that only the rest of the node reads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Site {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Class names, indexed by class number.
    pub classes: Vec<String>,
    /// Tenant names, indexed by tenant number.
    pub tenants: Vec<String>,
    /// Zone names, indexed by zone number.
    pub zones: Vec<String>,
    /// Whether members report a connection's load in `LOAD` lines.
    pub has_load_lines: bool,
    /// Whether the answers of pool members may end with a load report.
    pub has_load_reports: bool,
    /// Time after which an idle connection is closed.
    pub keepalive_ms: Millis,
    /// The longest deadline of any class; 0 if no class has one.
    pub longest_deadline_ms: Millis,
    /// Time after a member was reported as draining or gone during which new work may still be sent to it.
    pub stop_sending_ms: Millis,
}

/// An error in the configuration; the message names the file or the field.
#[derive(Debug)]
pub struct ConfigError(pub String);

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: String,
    admin: Option<String>,
    discovery: String,
    #[serde(default)]
    seed: String,
    limits: RawLimits,
    known: RawList,
    settings: Value,
}

#[derive(Deserialize)]
struct RawLimits {
    sockets: usize,
}

/// Reads and decodes a configuration file.
///
/// # Errors
/// The file can't be read or is invalid; the message names the file and the field.
pub fn read(path: &Path) -> Result<Config, ConfigError> {
    let about = |error: &dyn std::fmt::Display| ConfigError(format!("{}: {error}", path.display()));
    let json = std::fs::read(path).map_err(|error| about(&error))?;
    decode(&json).map_err(|error| about(&error))
}

/// Decodes a configuration.
///
/// # Errors
/// The configuration is invalid; the message names the field.
pub fn decode(json: &[u8]) -> Result<Config, ConfigError> {
    // Adds the path of the field to every error.
    let raw: Raw = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(json))
        .map_err(|error| ConfigError(error.to_string()))?;
    let site = site(&raw.settings);
    if site.classes.is_empty() {
        return Err(ConfigError("settings.profiles: at least one class is required".into()));
    }
    Ok(Config {
        listen: address("listen", &raw.listen)?,
        passed_socket: None,
        admin: raw.admin.map(|text| address("admin", &text)).transpose()?,
        discovery: Some(address("discovery", &raw.discovery)?),
        seed: u64::from_str_radix(&raw.seed, 16).unwrap_or_else(|_| crate::pool::name_hash(&raw.seed)),
        sockets: raw.limits.sockets,
        known: raw.known.list(&site.zones).map_err(|error| ConfigError(format!("known: {error}")))?,
        name: raw.name,
        site,
        records: None,
        fleet: None,
    })
}

/// Decodes the address of a field.
///
/// # Errors
/// It is not an IP address with a port; the message names the field.
pub fn address(field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError(format!("{field}: '{text}' is not an IP address with a port")))
}

fn site(settings_json: &Value) -> Site {
    let names = |path: &str| -> Vec<String> {
        let list = settings_json.pointer(path).and_then(Value::as_array);
        let name = |entry: &Value| entry.get("name").unwrap_or(entry).as_str().unwrap_or("").to_owned();
        list.map(|list| list.iter().map(name).collect()).unwrap_or_default()
    };
    let keepalive = settings_json.pointer("/caps/keepaliveMs").and_then(Value::as_f64);
    let stop_sending = settings_json.pointer("/invariants/stopSendingWithinMs").and_then(Value::as_f64);
    let classes = settings_json.pointer("/profiles").and_then(Value::as_array);
    let deadlines = classes.into_iter().flatten().filter_map(|raw| raw.get("deadlineMs")?.as_f64());
    Site {
        settings: settings(settings_json),
        classes: names("/profiles"),
        tenants: names("/tenants"),
        zones: names("/zones"),
        has_load_lines: settings_json.pointer("/domain/tellsLoad").and_then(Value::as_bool).unwrap_or(false),
        has_load_reports: settings_json.pointer("/report/how").and_then(Value::as_str) == Some("piggyback"),
        keepalive_ms: keepalive.filter(|ms| *ms > 0.0).unwrap_or(5_000.0),
        longest_deadline_ms: deadlines.fold(0.0, f64::max),
        stop_sending_ms: stop_sending.filter(|ms| *ms >= 0.0).unwrap_or(DEFAULT_STOP_SENDING_MS),
    }
}

/// Reads the settings of the decision module. Unknown keys are ignored; a key that is absent or of the wrong
/// type leaves its default.
pub fn settings(settings_json: &Value) -> Settings {
    let base = Settings::default();
    let number = |path: &str| settings_json.pointer(path).and_then(Value::as_f64).filter(|n| *n >= 0.0);
    let text = |path: &str| settings_json.pointer(path).and_then(Value::as_str).unwrap_or("");
    let yes = |path: &str| settings_json.pointer(path).and_then(Value::as_bool).unwrap_or(false);
    let list =
        |path: &str| settings_json.pointer(path).and_then(Value::as_array).cloned().unwrap_or_default();
    let aims = list("/domain/messageAimMs");
    let quotas = list("/domain/tenantQuotaConnections");
    let fields = list("/report/fields");
    let whole = |path: &str, default: u32| number(path).map_or(default, |n| n as u32);
    Settings {
        balancers: whole("/balancers", base.balancers).max(1),
        tick_ms: number("/tickMs").unwrap_or(base.tick_ms),
        zone: ZoneId(whole("/zone", 0)),
        classes: list("/profiles").iter().enumerate().map(|(at, raw)| class(raw, aims.get(at))).collect(),
        tenants: list("/tenants")
            .iter()
            .enumerate()
            .map(|(at, raw)| Tenant {
                quota_rate: raw.get("quotaPerS").and_then(Value::as_f64).filter(|n| *n >= 0.0).unwrap_or(0.0),
                quota_connections: quotas.get(at).and_then(Value::as_f64).unwrap_or(0.0),
                contract: None,
            })
            .collect(),
        mode: if text("/domain/mode") == "pass" { Mode::PassThrough } else { Mode::Proxy },
        listed_weight: match text("/weights") {
            "nominal" | "rough" => ListedWeight::Size,
            "live" => ListedWeight::Live,
            _ => ListedWeight::Silent,
        },
        discovery_on_request: text("/discovery") == "on_request",
        discovery_poll_ms: number("/invariants/askWithinMs").unwrap_or(base.discovery_poll_ms),
        probing: yes("/caps/probing"),
        probe_price: number("/prices/probe").unwrap_or(base.probe_price),
        cancel: yes("/caps/cancel"),
        reports_message_delay: yes("/domain/tellsDelay"),
        reports: text("/report/how") != "silent" && fields.iter().any(|field| field == "x0"),
        max_attempts: whole("/caps/mostTries", base.max_attempts),
        max_retry_after_ms: if yes("/caps/retryAfter") {
            number("/caps/maxRetryAfterMs").unwrap_or(0.0)
        } else {
            0.0
        },
        connect_timeout_ms: number("/caps/connectTimeoutMs").unwrap_or(base.connect_timeout_ms),
        start_capacity: number("/invariants/startCapacity").unwrap_or(base.start_capacity),
        warm_up_ms: number("/invariants/coldMs").unwrap_or(base.warm_up_ms),
        overload_factor: number("/invariants/overloadFactor").unwrap_or(base.overload_factor),
        overload_span_ms: number("/invariants/fallMs").unwrap_or(base.overload_span_ms),
    }
}

/// Reads one class. A class whose effect is absent or unknown is taken to be unsafe to repeat.
fn class(raw: &Value, message_aim: Option<&Value>) -> Class {
    let base = Class::default();
    let number = |key: &str| raw.get(key).and_then(Value::as_f64).filter(|n| *n >= 0.0);
    let text = |key: &str| raw.get(key).and_then(Value::as_str).unwrap_or("");
    let within = match text("group") {
        "all" => RepeatGroup::All,
        "zone" => RepeatGroup::Zone,
        _ => RepeatGroup::Cell,
    };
    Class {
        aim_ms: number("aimMs").unwrap_or(base.aim_ms),
        worth: number("importance").unwrap_or(base.worth),
        effect: match text("effect") {
            "free" => Effect::Free,
            "guarded" => Effect::Guarded { within, window_ms: number("windowMs").unwrap_or(0.0) },
            _ => Effect::SingleShot,
        },
        message_aim_ms: message_aim.and_then(Value::as_f64).unwrap_or(base.message_aim_ms),
    }
}
