//! What a node is told: `NODE_CONFIG`, decoded once into the values that the program uses.

use crate::api::*;
use crate::pool::{PoolList, RawList};
use hopmoor_record::Retention;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Everything a node is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The descriptor of a socket on which clients connect, passed down by whoever started the process; none: the node
    /// listens for itself.
    pub passed_socket: Option<i32>,
    /// Where operators call; none: nowhere.
    pub admin: Option<SocketAddr>,
    /// Where discovery answers; none if the pool comes from an inventory.
    pub discovery: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Most file descriptors that the process may hold.
    pub sockets: usize,
    /// The pool as this node had it last.
    pub known: PoolList,
    /// Names and figures of the site.
    pub site: Site,
    /// Where the node records what happens; the platform's configuration never sets it.
    pub records: Option<Records>,
    /// How it finds its fleet; the platform's configuration never sets it.
    pub fleet: Option<Fleet>,
}

impl Config {
    /// Takes what the environment names and the file does not: `NODE_ADMIN` and `NODE_PASSED_SOCKET`.
    ///
    /// # Errors
    /// One message that names the variable.
    pub fn take_environment(&mut self, variable: impl Fn(&str) -> Option<String>) -> Result<(), ConfigError> {
        let variable = |name| variable(name).filter(|text| !text.is_empty());
        if self.admin.is_none() {
            self.admin = variable("NODE_ADMIN").map(|text| address("NODE_ADMIN", &text)).transpose()?;
        }
        let number = |text: String| {
            let bad = |_| ConfigError(format!("NODE_PASSED_SOCKET: '{text}' is not a descriptor's number"));
            text.parse().map_err(bad)
        };
        self.passed_socket = variable("NODE_PASSED_SOCKET").map(number).transpose()?;
        Ok(())
    }
}

/// Where and how much a node records.
#[derive(Clone, Debug, PartialEq)]
pub struct Records {
    /// A folder of the node's own.
    pub folder: PathBuf,
    /// How much is kept.
    pub retention: Retention,
}

/// How a node finds the others of its fleet, and is found.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Where it listens, for datagrams and connections.
    pub listen: SocketAddr,
    /// Where others reach it; none: where it listens.
    pub advertise: Option<SocketAddr>,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// The file of keys.
    pub keys: PathBuf,
    /// Its zone, as others are told.
    pub zone: String,
    /// The files that make up its configuration: their digest tells versions apart.
    pub files: Vec<PathBuf>,
    /// Drains are asked of the fleet; none: whoever calls drains.
    pub agree: Option<Agree>,
}

/// Who agrees on drains.
#[derive(Clone, Debug, PartialEq)]
pub struct Agree {
    /// The names of the voters: 1, 3, 5 or 7.
    pub voters: Vec<String>,
    /// Where this node keeps its log and vote, if it is one of them.
    pub folder: PathBuf,
}

/// Where the settings don't say for how long after a drain was told something new may still be sent.
const STOP_SENDING_MS: Millis = 750.0;

/// The settings: those of the decision module and those that only the network code reads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Site {
    /// The decision module's.
    pub settings: Settings,
    /// Class names, in the order of their numbers.
    pub classes: Vec<String>,
    /// Tenant names, in the order of their numbers.
    pub tenants: Vec<String>,
    /// Zone names, in the order of their numbers.
    pub zones: Vec<String>,
    /// Whether `LOAD` lines tell a connection's load.
    pub has_load_lines: bool,
    /// Whether the answers of pool members may close with a load report.
    pub has_load_reports: bool,
    /// An idle connection is closed after this.
    pub keepalive_ms: Millis,
    /// The longest deadline that any class states; 0 if none does.
    pub longest_deadline_ms: Millis,
    /// Nothing new goes to a member for longer than this after it was told that it drains or is gone.
    pub stop_sending_ms: Millis,
}

/// What is wrong with the configuration: names the file or the field.
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

/// Reads and decodes the file.
///
/// # Errors
/// One message that names the file and the field at fault.
pub fn read(path: &Path) -> Result<Config, ConfigError> {
    let about = |error: &dyn std::fmt::Display| ConfigError(format!("{}: {error}", path.display()));
    let json = std::fs::read(path).map_err(|error| about(&error))?;
    decode(&json).map_err(|error| about(&error))
}

/// Decodes the configuration.
///
/// # Errors
/// One message that names the field at fault.
pub fn decode(json: &[u8]) -> Result<Config, ConfigError> {
    // Names the field, whatever is wrong with it.
    let raw: Raw = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(json))
        .map_err(|error| ConfigError(error.to_string()))?;
    let site = site(&raw.settings);
    if site.classes.is_empty() {
        return Err(ConfigError("settings.profiles: no class".into()));
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

/// Decodes an address, naming the field it stands in.
///
/// # Errors
/// If it is not an IP address with a port.
pub fn address(field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError(format!("{field}: '{text}' is not an IP address with a port")))
}

fn site(setup: &Value) -> Site {
    let names = |path: &str| -> Vec<String> {
        let list = setup.pointer(path).and_then(Value::as_array);
        let name = |entry: &Value| entry.get("name").unwrap_or(entry).as_str().unwrap_or("").to_owned();
        list.map(|list| list.iter().map(name).collect()).unwrap_or_default()
    };
    let keepalive = setup.pointer("/caps/keepaliveMs").and_then(Value::as_f64);
    let stop_sending = setup.pointer("/invariants/stopSendingWithinMs").and_then(Value::as_f64);
    let classes = setup.pointer("/profiles").and_then(Value::as_array);
    let deadlines = classes.into_iter().flatten().filter_map(|raw| raw.get("deadlineMs")?.as_f64());
    Site {
        settings: settings(setup),
        classes: names("/profiles"),
        tenants: names("/tenants"),
        zones: names("/zones"),
        has_load_lines: setup.pointer("/domain/tellsLoad").and_then(Value::as_bool).unwrap_or(false),
        has_load_reports: setup.pointer("/report/how").and_then(Value::as_str) == Some("piggyback"),
        keepalive_ms: keepalive.filter(|ms| *ms > 0.0).unwrap_or(5_000.0),
        longest_deadline_ms: deadlines.fold(0.0, f64::max),
        stop_sending_ms: stop_sending.filter(|ms| *ms >= 0.0).unwrap_or(STOP_SENDING_MS),
    }
}

/// Reads the settings; keys that are absent, unknown or of another type keep their defaults.
pub fn settings(setup: &Value) -> Settings {
    let base = Settings::default();
    let number = |path: &str| setup.pointer(path).and_then(Value::as_f64).filter(|n| *n >= 0.0);
    let text = |path: &str| setup.pointer(path).and_then(Value::as_str).unwrap_or("");
    let yes = |path: &str| setup.pointer(path).and_then(Value::as_bool).unwrap_or(false);
    let list = |path: &str| setup.pointer(path).and_then(Value::as_array).cloned().unwrap_or_default();
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

/// A class that says nothing understood of its effect is taken to be unsafe to repeat.
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
