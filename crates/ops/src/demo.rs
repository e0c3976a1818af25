//! A scripted incident on stand-ins, recorded as nodes would record it.

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
                let about = |error: &dyn std::fmt::Display| Failed(format!("{}: {error}", file.display()));
                let text = std::fs::read(file).map_err(|error| about(&error))?;
                let plan: Plan = serde_json::from_slice(&text).map_err(|error| about(&error))?;
                plan.check().map_err(|error| about(&error))?;
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
        let about = |error| Failed(format!("{}: {error}", folder.display()));
        // Guards against records of two plays in one folder, which would read as one node's restarts.
        std::fs::create_dir(folder).map_err(about)?;
        let truth = hopmoor_world::simulate(&plan, Some(folder)).map_err(about)?;
        if self.truth {
            let text = serde_json::to_string_pretty(&truth).map_err(|error| Failed(error.to_string()))?;
            std::fs::write(folder.join("truth.json"), text).map_err(about)?;
        }
        let of = |node: &String| shown(&folder.join(node));
        let folders: Vec<String> = plan.nodes.iter().map(of).collect();
        println!(
            "{} of {} clients at {} members, through {} nodes, were recorded.",
            hopmoor_page::time::span(plan.until_ms),
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
