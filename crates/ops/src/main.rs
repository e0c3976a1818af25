//! `hopmoor-ops`, the operators' program: verifies, exports and analyses the records that nodes write, shows
//! them in a console, and asks running nodes for their view of the fleet.

mod console;
mod demo;
mod drains;
mod fleet;
mod records;
mod report;

use clap::{CommandFactory, Parser, Subcommand};
use hopmoor_record::{Folder, Merged};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Shows what happened, from the records that hopmoor nodes keep (`records` in their operator's file), and what nodes
/// know of their fleet.
#[derive(Parser)]
#[command(name = "hopmoor-ops", version, about, max_term_width = 100)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check or export records.
    #[command(subcommand)]
    Records(Records),
    /// Write a report of the incidents in the records: one HTML file, or its findings as JSON.
    Report(report::Report),
    /// Show the site as its records tell, live or replayed, in the terminal.
    Console(console::Console),
    /// Play a scripted ten-minute incident on stand-ins and record it, to try the other commands on.
    Demo(demo::Demo),
    /// Ask running nodes what they know of their fleet.
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Print a script that completes this program's arguments in a shell.
    Completions {
        /// Which shell.
        shell: clap_complete::Shell,
    },
}

#[derive(Subcommand)]
enum Records {
    /// Read every record; end with 1 and a list if anything is damaged or missing.
    Verify(records::Verify),
    /// Write records as lines of JSON or as CSV.
    Export(records::Export),
}

/// An error that ends the program, printed as one line on standard error.
#[derive(Debug)]
struct Failed(String);

impl From<io::Error> for Failed {
    fn from(error: io::Error) -> Self {
        Failed(error.to_string())
    }
}

impl From<String> for Failed {
    fn from(message: String) -> Self {
        Failed(message)
    }
}

/// Lists the segments of each folder; one folder holds the records of one node.
///
/// # Errors
/// If a folder cannot be listed or has no records.
fn list_folders(folders: &[PathBuf]) -> Result<Vec<Folder>, Failed> {
    folders
        .iter()
        .map(|path| {
            let folder = Folder::list(path)?;
            if folder.segments.is_empty() {
                return Err(Failed(format!("{}: no records in it", path.display())));
            }
            Ok(folder)
        })
        .collect()
}

/// Reads the records of all folders in the order of their times.
fn merge_folders(folders: &[PathBuf]) -> Result<Merged, Failed> {
    Ok(Merged::new(list_folders(folders)?))
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Records(Records::Verify(verify)) => verify.run(),
        Command::Records(Records::Export(export)) => export.run(),
        Command::Report(report) => report.run(),
        Command::Console(console) => console.run(),
        Command::Demo(demo) => demo.run(),
        Command::Fleet(fleet) => fleet.run(),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Args::command(), "hopmoor-ops", &mut io::stdout());
            Ok(ExitCode::SUCCESS)
        }
    };
    match result {
        Ok(code) => code,
        Err(Failed(message)) => {
            eprintln!("hopmoor-ops: {message}");
            ExitCode::FAILURE
        }
    }
}
