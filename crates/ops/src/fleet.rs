//! `fleet status`, `fleet compare` and `fleet keygen`.

use crate::Failed;
use crate::agree::Agree;
use hopmoor_seal::{KEY_BYTES, Keys};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// A node answers operators within 1 s; whoever takes longer is not there.
const WAIT: Duration = Duration::from_secs(2);
/// Ends with this if somebody could not be asked.
const NOT_TOLD: u8 = 2;
/// Bytes of a digest that are shown.
const SHOWN: usize = 8;

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
    Agree(Agree),
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

#[derive(Clone, Debug, Deserialize)]
struct View {
    node: String,
    incarnation: u64,
    digest: String,
    settled: bool,
    doubts: u32,
    superseded_by: Option<u64>,
    members: Vec<Member>,
}

#[derive(Clone, Debug, Deserialize)]
struct Member {
    name: String,
    state: String,
    incarnation: u64,
    advertise: String,
    heard_ms: Option<u64>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    clients: String,
    #[serde(default)]
    ready: String,
    #[serde(default)]
    program: String,
    #[serde(default)]
    config: String,
    #[serde(default)]
    room: u32,
}

impl Member {
    /// What two views must have in common; suspicions and ages are each node's own.
    fn held(&self) -> String {
        let there = if self.state == "suspect" { "alive" } else { &self.state };
        format!(
            "{there}, {}, incarnation {}, at {}, program {}, config {}, room {}",
            if self.ready.is_empty() { "no word yet" } else { &self.ready },
            self.incarnation,
            self.advertise,
            short(&self.program),
            short(&self.config),
            self.room,
        )
    }

    fn is_there(&self) -> bool {
        self.state == "alive" || self.state == "suspect"
    }
}

fn short(digest: &str) -> &str {
    digest.get(..SHOWN).unwrap_or(digest)
}

impl Fleet {
    pub fn run(self) -> Result<ExitCode, Failed> {
        match self {
            Fleet::Status { admin, json } => status(admin, json),
            Fleet::Compare { admins, json } => compare(&admins, json),
            Fleet::Keygen(keygen) => keygen.run(),
            Fleet::Agree(agree) => agree.run(),
        }
    }
}

fn ask(admin: SocketAddr) -> Result<String, Failed> {
    match call(admin, "GET", "/-/fleet")? {
        (200, body) => Ok(body),
        (404, _) => {
            Err(Failed(format!("{admin}: this node is in no fleet: fleet is not set in its operator's file")))
        }
        (_, body) => Err(Failed(format!("{admin}: {}", body.trim()))),
    }
}

/// One call to a node: status and body.
pub(crate) fn call(admin: SocketAddr, method: &str, place: &str) -> Result<(u16, String), Failed> {
    let about = |what: &dyn std::fmt::Display| Failed(format!("{admin}: {what}"));
    let asked = || {
        let mut stream = TcpStream::connect_timeout(&admin, WAIT)?;
        stream.set_read_timeout(Some(WAIT))?;
        stream.write_all(format!("{method} {place} HTTP/1.1\r\nHost: node\r\n\r\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        std::io::Result::Ok(answer)
    };
    let answer = asked().map_err(|error| about(&error))?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(|| about(&"not an HTTP answer"))?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or_else(|| about(&"not an HTTP answer"))?, body.to_owned()))
}

fn view(admin: SocketAddr) -> Result<View, Failed> {
    serde_json::from_str(&ask(admin)?).map_err(|error| Failed(format!("{admin}: not a view: {error}")))
}

fn age(ms: Option<u64>) -> String {
    match ms {
        None => "never".into(),
        Some(ms) if ms < 10_000 => format!("{:.1} s", ms as f64 / 1_000.0),
        Some(ms) if ms < 600_000 => format!("{} s", ms / 1_000),
        Some(ms) => format!("{} min", ms / 60_000),
    }
}

fn status(admin: SocketAddr, json: bool) -> Result<ExitCode, Failed> {
    if json {
        print!("{}", ask(admin)?);
        return Ok(ExitCode::SUCCESS);
    }
    let view = view(admin)?;
    let there = view.members.iter().filter(|member| member.is_there()).count();
    println!(
        "{} (incarnation {}) holds {there} of {} nodes to be there; view {}{}",
        view.node,
        view.incarnation,
        view.members.len(),
        short(&view.digest),
        if view.settled { "" } else { ", changed in the last 3 s" },
    );
    if let Some(by) = view.superseded_by {
        println!("it has stepped back: a later process (incarnation {by}) has its name");
    }
    if view.doubts > 0 {
        println!("it doubts itself ({}): it stood still, or its probes fail", view.doubts);
    }
    let mut rows = vec![
        ["NODE", "STATE", "READY", "ZONE", "CLIENTS", "PROGRAM", "CONFIG", "ROOM", "HEARD"]
            .map(str::to_owned),
    ];
    for member in &view.members {
        let own = member.name == view.node;
        rows.push([
            member.name.clone(),
            member.state.clone(),
            member.ready.clone(),
            member.zone.clone(),
            member.clients.clone(),
            short(&member.program).to_owned(),
            short(&member.config).to_owned(),
            member.room.to_string(),
            if own { "itself".into() } else { age(member.heard_ms) },
        ]);
    }
    print!("{}", table(&rows));
    Ok(ExitCode::SUCCESS)
}

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

/// What differs: by name, by what is held of it, who holds that.
fn differences(views: &[View]) -> BTreeMap<String, BTreeMap<String, BTreeSet<String>>> {
    let names: BTreeSet<&str> =
        views.iter().flat_map(|view| view.members.iter().map(|member| member.name.as_str())).collect();
    let mut found = BTreeMap::new();
    for name in names {
        let mut held: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for view in views {
            let member = view.members.iter().find(|member| member.name == name);
            // Who is remembered as dead is no part of a view: one that came later never heard of it.
            let holds = match member {
                Some(member) if member.is_there() => member.held(),
                _ => "not there".to_owned(),
            };
            held.entry(holds).or_default().insert(view.node.clone());
        }
        if held.len() > 1 {
            found.insert(name.to_owned(), held);
        }
    }
    found
}

fn compare(admins: &[SocketAddr], json: bool) -> Result<ExitCode, Failed> {
    let mut views = Vec::new();
    let mut missing = false;
    for admin in admins {
        match view(*admin) {
            Ok(view) => views.push(view),
            Err(Failed(message)) => {
                eprintln!("hopmoor-ops: {message}");
                missing = true;
            }
        }
    }
    let found = differences(&views);
    if json {
        println!("{}", serde_json::json!({"asked": views.len(), "differences": found}));
    } else if found.is_empty() {
        let digests: BTreeSet<&str> = views.iter().map(|view| short(&view.digest)).collect();
        println!(
            "{} views, no difference ({})",
            views.len(),
            digests.into_iter().collect::<Vec<_>>().join(", ")
        );
    } else {
        for (name, held) in &found {
            println!("{name}:");
            for (what, by) in held {
                println!("  {what}\n    by {}", by.iter().cloned().collect::<Vec<_>>().join(", "));
            }
        }
    }
    Ok(match (found.is_empty(), missing) {
        (false, _) => ExitCode::FAILURE,
        (true, true) => ExitCode::from(NOT_TOLD),
        (true, false) => ExitCode::SUCCESS,
    })
}

impl Keygen {
    fn run(self) -> Result<ExitCode, Failed> {
        let keys = match &self.from {
            None => fresh(1)?,
            Some(file) => {
                let old = read(file)?;
                let (newest_key_id, seals) = (old.newest_key_id(), old.sealing_key_id());
                if self.turn {
                    old.with_sealing_key(newest_key_id)
                } else if self.drop_old {
                    old.with_only_key(seals)
                } else {
                    let number = newest_key_id
                        .checked_add(1)
                        .ok_or_else(|| Failed("no number is left for a key".into()))?;
                    Keys::merged(&[old, fresh(number)?], seals)
                }
                .ok_or_else(|| Failed(format!("{}: no such key", file.display())))?
            }
        };
        print!("{}", keys.file());
        Ok(ExitCode::SUCCESS)
    }
}

fn fresh(number: u32) -> Result<Keys, Failed> {
    let mut secret = [0; KEY_BYTES];
    getrandom::fill(&mut secret).map_err(|error| Failed(error.to_string()))?;
    Ok(Keys::new(number, secret))
}

fn read(file: &Path) -> Result<Keys, Failed> {
    let about = |error: &dyn std::fmt::Display| Failed(format!("{}: {error}", file.display()));
    let json = std::fs::read(file).map_err(|error| about(&error))?;
    Keys::read(&json).map_err(|error| about(&error))
}

#[cfg(test)]
mod tests;
