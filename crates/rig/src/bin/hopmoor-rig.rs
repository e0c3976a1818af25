//! The process rig's command line: plays schedules on real processes, judges and draws their histories.

use clap::{Parser, Subcommand};
use hopmoor_rig::{Options, play};
use hopmoor_standin::faults::Schedule;
use hopmoor_standin::history::History;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Starts many hopmoor processes on loopback, breaks what lies between them, and judges what observers saw.
#[derive(Parser)]
#[command(name = "hopmoor-rig", version, about, max_term_width = 100)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a schedule, from a file or drawn from a seed.
    Run(Run),
    /// Say what a history shows.
    Judge {
        /// A file that `run` wrote.
        history: PathBuf,
    },
    /// Draw a history as a page: nodes by time, who holds whom for what, faults as bands.
    Plot {
        /// A file that `run` wrote.
        history: PathBuf,
        /// The page.
        #[arg(short, long, default_value = "history.html")]
        output: PathBuf,
    },
}

#[derive(clap::Args)]
struct Run {
    /// A schedule as JSON.
    schedule: Option<PathBuf>,
    /// Draw a schedule from this seed instead.
    #[arg(long, conflicts_with = "schedule")]
    seed: Option<u64>,
    /// Nodes of a drawn schedule.
    #[arg(long, default_value_t = 30)]
    nodes: usize,
    /// Seconds of a drawn schedule.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// Kinds of faults in a drawn schedule.
    #[arg(long, value_delimiter = ',', default_value = "kill,stop,cut,loss,move")]
    faults: Vec<String>,
    /// The hopmoor program; without it the one beside this program, or the one that HOPMOOR names.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Keep the processes' folders, with their logs, here.
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Ask every node this often, in milliseconds.
    #[arg(long, default_value_t = 100)]
    every_ms: u64,
    /// Write the history here.
    #[arg(short, long)]
    output: Option<PathBuf>,
}

fn read(path: &Path) -> Result<History, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
}

fn run(run: Run) -> Result<ExitCode, String> {
    let schedule = match (&run.schedule, run.seed) {
        (Some(file), _) => {
            let text =
                std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
            Schedule::read(&text).map_err(|error| format!("{}: {error}", file.display()))?
        }
        (None, Some(seed)) => Schedule::random(seed, run.nodes, run.seconds, &run.faults)?,
        (None, None) => return Err("neither a schedule nor --seed".into()),
    };
    let mut options = Options { every: Duration::from_millis(run.every_ms.max(10)), ..Options::default() };
    if let Some(program) = run.program {
        options.program = program;
    }
    options.folder = run.folder;
    let history =
        play(&schedule, &options).map_err(|error| format!("{}: {error}", options.program.display()))?;
    if let Some(output) = run.output {
        let text = serde_json::to_string(&history).map_err(|error| error.to_string())?;
        std::fs::write(&output, text).map_err(|error| format!("{}: {error}", output.display()))?;
    }
    Ok(judge(&history))
}

/// Prints what a history shows; fails on a node that was held dead, or came again, without a reason.
fn judge(history: &History) -> ExitCode {
    print!("{}", history.summary());
    let good = history.false_deaths(GRACE_S).is_empty() && history.needless_rejoins(GRACE_S).is_empty();
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// After a fault's end its traces may be seen for so long.
const GRACE_S: f64 = 10.0;

fn main() -> ExitCode {
    let done = match Args::parse().command {
        Command::Run(args) => run(args),
        Command::Judge { history } => read(&history).map(|history| judge(&history)),
        Command::Plot { history, output } => read(&history).and_then(|history| {
            let page = hopmoor_rig::plot::page(&history);
            std::fs::write(&output, page).map_err(|error| format!("{}: {error}", output.display()))?;
            Ok(ExitCode::SUCCESS)
        }),
    };
    done.unwrap_or_else(|message| {
        eprintln!("hopmoor-rig: {message}");
        ExitCode::FAILURE
    })
}
