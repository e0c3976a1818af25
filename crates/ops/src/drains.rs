//! `fleet permits`, `fleet drain`, `fleet resume` and `fleet budget`: drains that the voters agree on through
//! Raft.

use crate::Failed;
use crate::fleet::{call, table};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Interval at which `drain --wait` asks whether the drain was granted.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Exit status of `drain` without `--wait` while the request is pending.
const EXIT_PENDING: u8 = 3;

/// Drains that the fleet agrees on.
#[derive(clap::Subcommand)]
pub enum DrainCommand {
    /// Show what a voter's log holds: budgets, permits and what waits.
    Permits {
        /// Where operators call the node.
        #[arg(long)]
        admin: SocketAddr,
        /// As the node tells it.
        #[arg(long)]
        json: bool,
    },
    /// Ask the fleet to let this node drain; ends with 3 while it waits.
    Drain {
        /// Where operators call the node.
        #[arg(long)]
        admin: SocketAddr,
        /// Wait until it is granted, and say whenever the reason changes.
        #[arg(long)]
        wait: bool,
    },
    /// Let this node take clients again, or ask no more.
    Resume {
        /// Where operators call the node.
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Set how many nodes may be out at once.
    Budget {
        /// Where operators call a voter.
        #[arg(long)]
        admin: SocketAddr,
        /// Of one zone, not of all.
        #[arg(long)]
        zone: Option<String>,
        /// A number, or a share as in 25%.
        most: String,
    },
}

/// The answer to `GET /-/permits`.
#[derive(Deserialize)]
struct AgreedState {
    node: String,
    votes: bool,
    /// Why the node does not vote although it is a voter.
    #[serde(rename = "silent")]
    not_voting_reason: Option<String>,
    /// How the node's own request to drain stands.
    #[serde(rename = "asks")]
    drain_request: Option<String>,
    leader: Option<String>,
    #[serde(default)]
    term: u64,
    #[serde(default)]
    index: u64,
    #[serde(default)]
    budgets: Vec<Budget>,
    #[serde(default)]
    permits: Vec<Permit>,
}

/// How many nodes of a scope (one zone, or all) may be out at once: a number or a percentage.
#[derive(Deserialize)]
struct Budget {
    scope: String,
    #[serde(rename = "most")]
    max_out: String,
}

/// A request to drain in the log: granted with a permit number, or pending for a reason.
#[derive(Deserialize)]
struct Permit {
    node: String,
    permit: Option<u64>,
    waits_for: Option<String>,
}

impl DrainCommand {
    pub fn run(self) -> Result<ExitCode, Failed> {
        match self {
            DrainCommand::Permits { admin, json } => permits(admin, json),
            DrainCommand::Drain { admin, wait } => drain(admin, wait),
            DrainCommand::Resume { admin } => put_and_print(admin, "/-/resume"),
            DrainCommand::Budget { admin, zone, most } => {
                let encoded = |text: &str| utf8_percent_encode(text, NON_ALPHANUMERIC).to_string();
                let zone = zone.map_or_else(String::new, |zone| format!("&zone={}", encoded(&zone)));
                put_and_print(admin, &format!("/-/budget?most={}{zone}", encoded(&most)))
            }
        }
    }
}

fn request_error(admin: SocketAddr, status: u16, body: &str) -> Failed {
    match status {
        404 => Failed(format!("{admin}: fleet.agree is not set in this node's operator's file")),
        _ => Failed(format!("{admin}: {}", body.trim())),
    }
}

/// Sends a PUT request and prints the answer.
fn put_and_print(admin: SocketAddr, path: &str) -> Result<ExitCode, Failed> {
    let (status, body) = call(admin, "PUT", path)?;
    if !(200..300).contains(&status) {
        return Err(request_error(admin, status, &body));
    }
    print!("{body}");
    Ok(ExitCode::SUCCESS)
}

fn drain(admin: SocketAddr, wait: bool) -> Result<ExitCode, Failed> {
    let mut last_body = String::new();
    loop {
        // Repeating the call starts no second request: it returns the status of the first one.
        let (status, body) = call(admin, "PUT", "/-/drain")?;
        if body != last_body {
            print!("{body}");
            last_body = body.clone();
        }
        match status {
            200 => return Ok(ExitCode::SUCCESS),
            202 if wait => std::thread::sleep(POLL_INTERVAL),
            202 => return Ok(ExitCode::from(EXIT_PENDING)),
            _ => return Err(request_error(admin, status, &body)),
        }
    }
}

fn permits(admin: SocketAddr, json: bool) -> Result<ExitCode, Failed> {
    let (status, body) = call(admin, "GET", "/-/permits")?;
    if status != 200 {
        return Err(request_error(admin, status, &body));
    }
    if json {
        print!("{body}");
        return Ok(ExitCode::SUCCESS);
    }
    let parsed = serde_json::from_str(&body);
    let state: AgreedState =
        parsed.map_err(|error| Failed(format!("{admin}: unexpected answer to /-/permits: {error}")))?;
    match (&state.drain_request, &state.not_voting_reason) {
        (_, Some(reason)) => println!("{} does not vote: {reason}", state.node),
        _ if state.votes => {
            let leader = state.leader.as_deref().unwrap_or("nobody: nothing is granted");
            println!("{} votes; term {}, entry {}, led by {leader}", state.node, state.term, state.index);
        }
        _ => println!("{} is no voter: ask one for what is agreed", state.node),
    }
    if let Some(request) = &state.drain_request {
        println!("it asks to drain: {request}");
    }
    for budget in &state.budgets {
        println!("{}: {} may be out", budget.scope, budget.max_out);
    }
    let mut rows = vec![["NODE", "PERMIT", "WAITS FOR"].map(str::to_owned)];
    for permit in &state.permits {
        let number = permit.permit.map_or_else(|| "-".to_owned(), |number| number.to_string());
        rows.push([permit.node.clone(), number, permit.waits_for.clone().unwrap_or_default()]);
    }
    if rows.len() > 1 {
        print!("{}", table(&rows));
    }
    Ok(ExitCode::SUCCESS)
}
