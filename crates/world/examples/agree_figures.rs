//! Simulates agreed drains in virtual time under randomly drawn faults; the figures in `docs/agree.md` come
//! from it:
//!
//! ```text
//! cargo run --release -p hopmoor-world --example agree_figures -- \
//!     [schedules] [first seed] [nodes] [voters] [budget]
//! ```

use hopmoor_standin::faults::Schedule;
use hopmoor_world::fleet::run_drains;
use std::time::Instant;

/// Length of each schedule.
const SCHEDULE_SECONDS: f64 = 60.0;

fn main() {
    let args: Vec<u64> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let arg_or = |index: usize, default: u64| args.get(index).copied().unwrap_or(default);
    let (schedules, first_seed, nodes) = (arg_or(0, 100), arg_or(1, 0), arg_or(2, 12) as usize);
    let (voters, budget) = (arg_or(3, 5) as usize, arg_or(4, 2) as u32);
    let kinds: Vec<String> =
        hopmoor_standin::random::FAULT_KINDS.iter().map(|kind| (*kind).to_owned()).collect();
    let started = Instant::now();
    let (mut over_budget, mut used, mut without_drain, mut at_budget) = (0, 0, 0, 0);
    for seed in first_seed..first_seed + schedules {
        let Ok(schedule) = Schedule::random(seed, nodes, SCHEDULE_SECONDS, &kinds) else { continue };
        let schedule = Schedule { voters, ..schedule };
        let result = run_drains(&schedule, budget);
        used += result.used;
        without_drain += u64::from(result.used == 0);
        at_budget += u64::from(result.drained == result.budget);
        if result.exceeds_budget() {
            over_budget += 1;
            let short = schedule.minimized(|shorter| run_drains(shorter, budget).exceeds_budget());
            println!("seed {seed}: {result:?}: {}", serde_json::to_string(&short).unwrap_or_default());
        }
    }
    println!(
        "{schedules} schedules of {nodes} nodes, {voters} voters, budget {budget}: {over_budget} with more \
         out than that; {used} permits used, {at_budget} schedules with the budget used up, \
         {without_drain} without a drain; took {:.0} s",
        started.elapsed().as_secs_f64()
    );
}
