//! `fleet status`, `fleet compare` and `fleet keygen`: nodes' views of their fleet, and the keys that seal
//! messages between nodes.

use crate::Failed;
use crate::drains::DrainCommand;
use hopmoor_seal::{KEY_BYTES, Keys};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Timeout of connecting to a node's admin address and of each read. A node that runs answers within 1 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Exit status of `compare` if the views agree but a node could not be asked.
const EXIT_INCOMPLETE: u8 = 2;
/// Number of characters of a digest that are shown.
const SHORT_DIGEST_LEN: usize = 8;

/// Ask nodes what they know of their fleet.
#[derive(clap::Subcommand)]
pub enum Fleet {
    /// Show one node's view.
    Status {
        /// Where operators call the node.
        #[arg(long)]
        admin: SocketAddr,
        /// The view as the node tells it.
        #[arg(long)]
        json: bool,
    },
    /// Ask several nodes and show where their views differ; ends with 1 if they do, 2 if one could not be asked.
    Compare {
        /// Where operators call the nodes.
        #[arg(required = true, num_args = 2..)]
        admins: Vec<SocketAddr>,
        /// The differences as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Write a file of keys to standard output, or the next step of a rotation.
    Keygen(Keygen),
    /// Drains that the fleet agrees on.
    #[command(flatten)]
    Drains(DrainCommand),
}

/// Arguments of `fleet keygen`.
#[derive(clap::Args)]
pub struct Keygen {
    /// Begin with this file: by itself, a new key is added and the old one goes on sealing.
    #[arg(long, value_name = "FILE")]
    from: Option<PathBuf>,
    /// Seal with the newest key of the file; the old ones still open.
    #[arg(long, requires = "from", conflicts_with = "drop_old")]
    turn: bool,
    /// Keep the key that seals and no other.
    #[arg(long, requires = "from")]
    drop_old: bool,
}

/// A node's view of its fleet: the answer to `GET /-/fleet`.
#[derive(Clone, Debug, Deserialize)]
struct View {
    node: String,
    incarnation: u64,
    /// Digest of the view; equal views have equal digests.
    digest: String,
    /// Whether the view has not changed in the last 3 s.
    settled: bool,
    /// Score of the node's doubt in its own health, 0 if it is healthy; raised by pauses of its process and
    /// failed probes.
    #[serde(rename = "doubts")]
    health_score: u32,
    /// Incarnation of a later process with this node's name, for which this process has stepped back.
    superseded_by: Option<u64>,
    members: Vec<Member>,
}

/// A node of the fleet as a view has it.
#[derive(Clone, Debug, Deserialize)]
struct Member {
    name: String,
    /// `alive`, `suspect`, `dead` or `left`.
    state: String,
    incarnation: u64,
    /// The address for other nodes.
    advertise: String,
    /// Milliseconds since the node of the view last heard from it.
    heard_ms: Option<u64>,
    #[serde(default)]
    zone: String,
    /// The address for clients.
    #[serde(default)]
    clients: String,
    /// Whether the node takes clients; empty until it has announced that.
    #[serde(default)]
    ready: String,
    /// Digest of the node's executable.
    #[serde(default)]
    program: String,
    /// Digest of the node's configuration.
    #[serde(default)]
    config: String,
    /// How many more connections the node can take.
    #[serde(default)]
    room: u32,
}

impl Member {
    /// The state that two views must agree on. Suspicions and ages differ between nodes and are left out.
    fn comparable_state(&self) -> String {
        let state = if self.state == "suspect" { "alive" } else { &self.state };
        format!(
            "{state}, {}, incarnation {}, at {}, program {}, config {}, room {}",
            if self.ready.is_empty() { "no word yet" } else { &self.ready },
            self.incarnation,
            self.advertise,
            short_digest(&self.program),
            short_digest(&self.config),
            self.room,
        )
    }

    /// Whether the node counts as running; a suspected one does.
    fn is_present(&self) -> bool {
        self.state == "alive" || self.state == "suspect"
    }
}

fn short_digest(digest: &str) -> &str {
    digest.get(..SHORT_DIGEST_LEN).unwrap_or(digest)
}

impl Fleet {
    pub fn run(self) -> Result<ExitCode, Failed> {
        match self {
            Fleet::Status { admin, json } => status(admin, json),
            Fleet::Compare { admins, json } => compare(&admins, json),
            Fleet::Keygen(keygen) => keygen.run(),
            Fleet::Drains(command) => command.run(),
        }
    }
}

/// Fetches a node's view as JSON.
fn fetch_view_json(admin: SocketAddr) -> Result<String, Failed> {
    match call(admin, "GET", "/-/fleet")? {
        (200, body) => Ok(body),
        (404, _) => {
            Err(Failed(format!("{admin}: this node is in no fleet: fleet is not set in its operator's file")))
        }
        (_, body) => Err(Failed(format!("{admin}: {}", body.trim()))),
    }
}

/// Sends one HTTP request to a node and returns the status and body of its response.
pub(crate) fn call(admin: SocketAddr, method: &str, path: &str) -> Result<(u16, String), Failed> {
    let with_admin = |error: &dyn std::fmt::Display| Failed(format!("{admin}: {error}"));
    let exchange = || {
        let mut stream = TcpStream::connect_timeout(&admin, CALL_TIMEOUT)?;
        stream.set_read_timeout(Some(CALL_TIMEOUT))?;
        stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: node\r\n\r\n").as_bytes())?;
        let mut response = String::new();
        stream.read_to_string(&mut response)?;
        std::io::Result::Ok(response)
    };
    let response = exchange().map_err(|error| with_admin(&error))?;
    let (head, body) = response.split_once("\r\n\r\n").ok_or_else(|| with_admin(&"not an HTTP response"))?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or_else(|| with_admin(&"not an HTTP response"))?, body.to_owned()))
}

/// Fetches a node's view.
fn fetch_view(admin: SocketAddr) -> Result<View, Failed> {
    serde_json::from_str(&fetch_view_json(admin)?)
        .map_err(|error| Failed(format!("{admin}: unexpected answer to /-/fleet: {error}")))
}

fn format_age(ms: Option<u64>) -> String {
    match ms {
        None => "never".into(),
        Some(ms) if ms < 10_000 => format!("{:.1} s", ms as f64 / 1_000.0),
        Some(ms) if ms < 600_000 => format!("{} s", ms / 1_000),
        Some(ms) => format!("{} min", ms / 60_000),
    }
}

fn status(admin: SocketAddr, json: bool) -> Result<ExitCode, Failed> {
    if json {
        print!("{}", fetch_view_json(admin)?);
        return Ok(ExitCode::SUCCESS);
    }
    let view = fetch_view(admin)?;
    let present = view.members.iter().filter(|member| member.is_present()).count();
    println!(
        "{} (incarnation {}) holds {present} of {} nodes to be there; view {}{}",
        view.node,
        view.incarnation,
        view.members.len(),
        short_digest(&view.digest),
        if view.settled { "" } else { ", changed in the last 3 s" },
    );
    if let Some(by) = view.superseded_by {
        println!("it has stepped back: a later process (incarnation {by}) has its name");
    }
    if view.health_score > 0 {
        println!("it doubts itself ({}): it stood still, or its probes fail", view.health_score);
    }
    let mut rows = vec![
        ["NODE", "STATE", "READY", "ZONE", "CLIENTS", "PROGRAM", "CONFIG", "ROOM", "HEARD"]
            .map(str::to_owned),
    ];
    for member in &view.members {
        let is_self = member.name == view.node;
        rows.push([
            member.name.clone(),
            member.state.clone(),
            member.ready.clone(),
            member.zone.clone(),
            member.clients.clone(),
            short_digest(&member.program).to_owned(),
            short_digest(&member.config).to_owned(),
            member.room.to_string(),
            if is_self { "itself".into() } else { format_age(member.heard_ms) },
        ]);
    }
    print!("{}", table(&rows));
    Ok(ExitCode::SUCCESS)
}

/// Formats rows as columns, padded with spaces to the widest cell.
pub(crate) fn table<const N: usize>(rows: &[[String; N]]) -> String {
    let mut text = String::new();
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..N).map(width).collect();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// For each node on which the views differ: its states, and for each state the nodes whose views have it.
fn differences(views: &[View]) -> BTreeMap<String, BTreeMap<String, BTreeSet<String>>> {
    let names: BTreeSet<&str> =
        views.iter().flat_map(|view| view.members.iter().map(|member| member.name.as_str())).collect();
    let mut differing = BTreeMap::new();
    for name in names {
        let mut holders: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for view in views {
            let member = view.members.iter().find(|member| member.name == name);
            // Dead nodes are not compared: a node that joined after another had died never heard of it.
            let state = match member {
                Some(member) if member.is_present() => member.comparable_state(),
                _ => "not there".to_owned(),
            };
            holders.entry(state).or_default().insert(view.node.clone());
        }
        if holders.len() > 1 {
            differing.insert(name.to_owned(), holders);
        }
    }
    differing
}

fn compare(admins: &[SocketAddr], json: bool) -> Result<ExitCode, Failed> {
    let mut views = Vec::new();
    let mut incomplete = false;
    for admin in admins {
        match fetch_view(*admin) {
            Ok(view) => views.push(view),
            Err(Failed(message)) => {
                eprintln!("hopmoor-ops: {message}");
                incomplete = true;
            }
        }
    }
    let differing = differences(&views);
    if json {
        println!("{}", serde_json::json!({"asked": views.len(), "differences": differing}));
    } else if differing.is_empty() {
        let digests: BTreeSet<&str> = views.iter().map(|view| short_digest(&view.digest)).collect();
        println!(
            "{} views, no difference ({})",
            views.len(),
            digests.into_iter().collect::<Vec<_>>().join(", ")
        );
    } else {
        for (name, holders) in &differing {
            println!("{name}:");
            for (state, nodes) in holders {
                println!("  {state}\n    by {}", nodes.iter().cloned().collect::<Vec<_>>().join(", "));
            }
        }
    }
    Ok(match (differing.is_empty(), incomplete) {
        (false, _) => ExitCode::FAILURE,
        (true, true) => ExitCode::from(EXIT_INCOMPLETE),
        (true, false) => ExitCode::SUCCESS,
    })
}

impl Keygen {
    fn run(self) -> Result<ExitCode, Failed> {
        let keys = match &self.from {
            None => generate_key(1)?,
            Some(file) => {
                let old = read_keys(file)?;
                let (newest_key_id, sealing_key_id) = (old.newest_key_id(), old.sealing_key_id());
                if self.turn {
                    old.with_sealing_key(newest_key_id)
                } else if self.drop_old {
                    old.with_only_key(sealing_key_id)
                } else {
                    let number = newest_key_id.checked_add(1).ok_or_else(|| {
                        Failed("the newest key has the highest possible number: no key can be added".into())
                    })?;
                    Keys::merged(&[old, generate_key(number)?], sealing_key_id)
                }
                .ok_or_else(|| Failed(format!("{}: no such key", file.display())))?
            }
        };
        print!("{}", keys.file());
        Ok(ExitCode::SUCCESS)
    }
}

/// Generates a file of one key with a random secret.
fn generate_key(number: u32) -> Result<Keys, Failed> {
    let mut secret = [0; KEY_BYTES];
    getrandom::fill(&mut secret).map_err(|error| Failed(error.to_string()))?;
    Ok(Keys::new(number, secret))
}

fn read_keys(file: &Path) -> Result<Keys, Failed> {
    let with_path = |error: &dyn std::fmt::Display| Failed(format!("{}: {error}", file.display()));
    let json = std::fs::read(file).map_err(|error| with_path(&error))?;
    Keys::read(&json).map_err(|error| with_path(&error))
}

#[cfg(test)]
mod tests;
