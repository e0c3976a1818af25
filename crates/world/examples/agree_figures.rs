//! Agreed drains in virtual time under drawn faults, for `docs/agree.md`:
//!
//! ```text
//! cargo run --release -p hopmoor-world --example agree_figures -- [schedules] [first seed] [nodes] [voters] [budget]
//! ```

use hopmoor_standin::faults::Schedule;
use hopmoor_world::fleet::drains;
use std::time::Instant;

/// Seconds of a schedule.
const SECONDS: f64 = 60.0;

fn main() {
    let args: Vec<u64> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let number = |at: usize, usual: u64| args.get(at).copied().unwrap_or(usual);
    let (schedules, first, nodes) = (number(0, 100), number(1, 0), number(2, 12) as usize);
    let (voters, budget) = (number(3, 5) as usize, number(4, 2) as u32);
    let kinds: Vec<String> =
        hopmoor_standin::random::FAULT_KINDS.iter().map(|kind| (*kind).to_owned()).collect();
    let began = Instant::now();
    let (mut over, mut used, mut idle, mut full) = (0, 0, 0, 0);
    for seed in first..first + schedules {
        let Ok(schedule) = Schedule::random(seed, nodes, SECONDS, &kinds) else { continue };
        let schedule = Schedule { voters, ..schedule };
        let shown = drains(&schedule, budget);
        used += shown.used;
        idle += u64::from(shown.used == 0);
        full += u64::from(shown.drained == shown.budget);
        if shown.is_over() {
            over += 1;
            let short = schedule.minimized(|shorter| drains(shorter, budget).is_over());
            println!("seed {seed}: {shown:?}: {}", serde_json::to_string(&short).unwrap_or_default());
        }
    }
    println!(
        "{schedules} schedules of {nodes} nodes, {voters} voters, budget {budget}: {over} with more out than that; \
         {used} permits used, {full} schedules with the budget used up, {idle} without a drain; took {:.0} s",
        began.elapsed().as_secs_f64()
    );
}
