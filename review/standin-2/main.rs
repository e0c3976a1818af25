//! The cases of the second review: `hopmoor-review-2 CASE ROOT FOLDER`. ROOT is the repository, FOLDER that of the case, where
//! `record.txt` is written. Ends with 0 if the rule held, 1 if it was broken, 2 if the case could not run. With
//! `TROUBLE=0` in the environment the case runs without its disruption.

mod crowded;
mod lagging_replica;
mod mid_line;
mod silent_client;
mod tools;
mod twin;
mod xmpp;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use tools::{Record, Trouble};

/// What a case is given.
pub struct Case {
    pub root: PathBuf,
    /// A temporary folder.
    pub folder: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn run() -> Result<bool, Trouble> {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, root, case_folder] = arguments.as_slice() else {
        return Err("usage: CASE ROOT FOLDER".into());
    };
    let folder = std::env::temp_dir().join(format!("hopmoor-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let record = Record::create(&PathBuf::from(case_folder).join("record.txt"))?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
    let case = Case { root: PathBuf::from(root), folder: folder.clone(), record: record.clone(), trouble };
    let held = match name.as_str() {
        "mid_line" => mid_line::run(&case),
        "crowded" => crowded::run(&case),
        "lagging_replica" => lagging_replica::run(&case),
        "silent_client" => silent_client::run(&case),
        "twin" => twin::run(&case),
        _ => Err("no such case".into()),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match &held {
        Ok(true) => record.line("the rule held"),
        Ok(false) => record.line("THE RULE WAS BROKEN"),
        Err(error) => record.line(&format!("the case could not run: {error}")),
    };
    held
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
