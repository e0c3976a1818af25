//! Runs one case of the review. Usage: `standin CASE FOLDER`; the record is written to `FOLDER/record.txt`.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod cut_answer;
mod drained_end;
mod parts;
mod proxy;
mod stopped_timers;

use parts::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    /// The case couldn't run, for this reason.
    NotRun(String),
}

/// A folder for the run's files, removed at the end.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(case: &str, folder: &Path) -> std::io::Result<Verdict> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temporary = TemporaryFolder(std::env::temp_dir().join(format!("review-{}", std::process::id())));
    std::fs::create_dir_all(&temporary.0)?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.say(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let verdict = match case {
        "stopped-timers" => stopped_timers::run(trouble, &temporary.0, &record),
        "cut-answer" => cut_answer::run(trouble, &temporary.0, &record),
        "drained-end" => drained_end::run(trouble, &temporary.0, &record),
        _ => Ok(Verdict::NotRun(format!("no case {case}"))),
    };
    // The nodes' logs belong to the record.
    for entry in std::fs::read_dir(&temporary.0)?.flatten() {
        let path = entry.path();
        if path.extension().is_some_and(|suffix| suffix == "log") {
            record.line(&format!("---- log of {}", path.file_stem().unwrap_or_default().to_string_lossy()));
            for line in std::fs::read_to_string(&path)?.lines() {
                record.line(&format!("  {line}"));
            }
        }
    }
    match &verdict {
        Ok(Verdict::Held) => record.say("the rule held"),
        Ok(Verdict::Broken) => record.say("the rule was broken"),
        Ok(Verdict::NotRun(why)) => record.say(&format!("the case couldn't run: {why}")),
        Err(error) => record.say(&format!("the case couldn't run: {error}")),
    }
    verdict
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    match run(case, Path::new(folder)) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun(_)) => ExitCode::from(2),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
