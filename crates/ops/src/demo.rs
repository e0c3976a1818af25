//! A scripted incident on stand-ins, recorded as nodes would record it.

use crate::Failed;
use hopmoor_standin::plan::Plan;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Arguments of `demo`.
#[derive(clap::Args)]
pub struct Demo {
    /// A folder to be made; each node gets one in it.
    folder: PathBuf,
    /// Another seed plays the same script with other clients.
    #[arg(long, default_value_t = Plan::ten_minutes().seed)]
    seed: u64,
    /// Also write what was really done, which no node can know, into truth.json.
    #[arg(long)]
    truth: bool,
}

impl Demo {
    pub fn run(self) -> Result<ExitCode, Failed> {
        let about = |error| Failed(format!("{}: {error}", self.folder.display()));
        // Guards against records of two plays in one folder, which would read as one node's restarts.
        std::fs::create_dir(&self.folder).map_err(about)?;
        let plan = Plan { seed: self.seed, ..Plan::ten_minutes() };
        let truth = hopmoor_world::play(&plan, Some(&self.folder)).map_err(about)?;
        if self.truth {
            let text = serde_json::to_string_pretty(&truth).map_err(|error| Failed(error.to_string()))?;
            std::fs::write(self.folder.join("truth.json"), text).map_err(about)?;
        }
        let of = |node: &String| shown(&self.folder.join(node));
        let folders: Vec<String> = plan.nodes.iter().map(of).collect();
        println!(
            "Ten minutes of {} clients at {} members, through {} nodes, were recorded.",
            truth.clients,
            plan.members.len(),
            plan.nodes.len()
        );
        println!("Read them with:");
        println!("  hopmoor-ops report {} -o report.html", folders.join(" "));
        println!("  hopmoor-ops console {} --at start --speed 10", folders.join(" "));
        Ok(ExitCode::SUCCESS)
    }
}

fn shown(path: &Path) -> String {
    let text = path.display().to_string();
    if text.contains(' ') { format!("'{text}'") } else { text }
}
