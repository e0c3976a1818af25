//! `fleet permits`, `fleet drain`, `fleet resume` and `fleet budget`: drains that the fleet agrees on.

use crate::Failed;
use crate::fleet::{call, table};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Between two looks whether a drain was granted.
const LOOK: Duration = Duration::from_millis(500);
/// Ends with this while a drain waits and is not waited for.
const WAITS: u8 = 3;

/// Drains that the fleet agrees on.
#[derive(clap::Subcommand)]
pub enum Agree {
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

#[derive(Deserialize)]
struct Permits {
    node: String,
    votes: bool,
    silent: Option<String>,
    asks: Option<String>,
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

#[derive(Deserialize)]
struct Budget {
    scope: String,
    most: String,
}

#[derive(Deserialize)]
struct Permit {
    node: String,
    permit: Option<u64>,
    waits_for: Option<String>,
}

impl Agree {
    pub fn run(self) -> Result<ExitCode, Failed> {
        match self {
            Agree::Permits { admin, json } => permits(admin, json),
            Agree::Drain { admin, wait } => drain(admin, wait),
            Agree::Resume { admin } => told(admin, "/-/resume"),
            Agree::Budget { admin, zone, most } => {
                let encoded = |text: &str| utf8_percent_encode(text, NON_ALPHANUMERIC).to_string();
                let zone = zone.map_or_else(String::new, |zone| format!("&zone={}", encoded(&zone)));
                told(admin, &format!("/-/budget?most={}{zone}", encoded(&most)))
            }
        }
    }
}

fn refused(admin: SocketAddr, status: u16, body: &str) -> Failed {
    match status {
        404 => Failed(format!("{admin}: fleet.agree is not set in this node's operator's file")),
        _ => Failed(format!("{admin}: {}", body.trim())),
    }
}

fn told(admin: SocketAddr, place: &str) -> Result<ExitCode, Failed> {
    let (status, body) = call(admin, "PUT", place)?;
    if !(200..300).contains(&status) {
        return Err(refused(admin, status, &body));
    }
    print!("{body}");
    Ok(ExitCode::SUCCESS)
}

fn drain(admin: SocketAddr, wait: bool) -> Result<ExitCode, Failed> {
    let mut last = String::new();
    loop {
        // The same call once more asks for nothing new: it tells how the first one stands.
        let (status, body) = call(admin, "PUT", "/-/drain")?;
        if body != last {
            print!("{body}");
            last = body.clone();
        }
        match status {
            200 => return Ok(ExitCode::SUCCESS),
            202 if wait => std::thread::sleep(LOOK),
            202 => return Ok(ExitCode::from(WAITS)),
            _ => return Err(refused(admin, status, &body)),
        }
    }
}

fn permits(admin: SocketAddr, json: bool) -> Result<ExitCode, Failed> {
    let (status, body) = call(admin, "GET", "/-/permits")?;
    if status != 200 {
        return Err(refused(admin, status, &body));
    }
    if json {
        print!("{body}");
        return Ok(ExitCode::SUCCESS);
    }
    let read = serde_json::from_str(&body);
    let told: Permits = read.map_err(|error| Failed(format!("{admin}: not what is agreed: {error}")))?;
    match (&told.asks, &told.silent) {
        (_, Some(why)) => println!("{} does not vote: {why}", told.node),
        _ if told.votes => {
            let leader = told.leader.as_deref().unwrap_or("nobody: nothing is granted");
            println!("{} votes; term {}, entry {}, led by {leader}", told.node, told.term, told.index);
        }
        _ => println!("{} is no voter: ask one for what is agreed", told.node),
    }
    if let Some(asks) = &told.asks {
        println!("it asks to drain: {asks}");
    }
    for budget in &told.budgets {
        println!("{}: {} may be out", budget.scope, budget.most);
    }
    let mut rows = vec![["NODE", "PERMIT", "WAITS FOR"].map(str::to_owned)];
    for permit in &told.permits {
        let number = permit.permit.map_or_else(|| "-".to_owned(), |number| number.to_string());
        rows.push([permit.node.clone(), number, permit.waits_for.clone().unwrap_or_default()]);
    }
    if rows.len() > 1 {
        print!("{}", table(&rows));
    }
    Ok(ExitCode::SUCCESS)
}
