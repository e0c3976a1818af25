//! `demo`: simulates a scripted incident with stand-ins for clients and members, and records it as nodes
//! would.

use crate::Failed;
use hopmoor_standin::plan::Plan;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Arguments of `demo`.
#[derive(clap::Args)]
pub struct Demo {
    /// A folder to be made; each node gets one in it.
    #[arg(required_unless_present = "print_plan")]
    folder: Option<PathBuf>,
    /// Another seed plays the same script with other clients.
    #[arg(long)]
    seed: Option<u64>,
    /// Play this plan in place of the ten minutes; --print-plan shows the form.
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Print the plan, and play nothing.
    #[arg(long)]
    print_plan: bool,
    /// Also write what was really done, which no node can know, into truth.json.
    #[arg(long)]
    truth: bool,
}

impl Demo {
    fn read_plan(&self) -> Result<Plan, Failed> {
        let mut plan = match &self.plan {
            None => Plan::ten_minutes(),
            Some(file) => {
                let with_path =
                    |error: &dyn std::fmt::Display| Failed(format!("{}: {error}", file.display()));
                let text = std::fs::read(file).map_err(|error| with_path(&error))?;
                let plan: Plan = serde_json::from_slice(&text).map_err(|error| with_path(&error))?;
                plan.check().map_err(|error| with_path(&error))?;
                plan
            }
        };
        plan.seed = self.seed.unwrap_or(plan.seed);
        Ok(plan)
    }

    pub fn run(self) -> Result<ExitCode, Failed> {
        let plan = self.read_plan()?;
        let Some(folder) = &self.folder else {
            println!("{}", serde_json::to_string_pretty(&plan).map_err(|error| Failed(error.to_string()))?);
            return Ok(ExitCode::SUCCESS);
        };
        let with_path = |error| Failed(format!("{}: {error}", folder.display()));
        // Fails if the folder exists: records of two simulations in one folder would read as restarts of the
        // same nodes.
        std::fs::create_dir(folder).map_err(with_path)?;
        let truth = hopmoor_world::simulate(&plan, Some(folder)).map_err(with_path)?;
        if self.truth {
            let text = serde_json::to_string_pretty(&truth).map_err(|error| Failed(error.to_string()))?;
            std::fs::write(folder.join("truth.json"), text).map_err(with_path)?;
        }
        let node_folder = |node: &String| quoted(&folder.join(node));
        let folders: Vec<String> = plan.nodes.iter().map(node_folder).collect();
        println!(
            "{} of {} clients at {} members, through {} nodes, were recorded.",
            hopmoor_page::time::duration(plan.until_ms),
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

/// A path as a shell takes it: in quotes if it holds a space.
fn quoted(path: &Path) -> String {
    let text = path.display().to_string();
    if text.contains(' ') { format!("'{text}'") } else { text }
}
