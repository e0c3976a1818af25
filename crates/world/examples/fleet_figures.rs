//! Figures of fleets in virtual time, for `docs/fleet-view.md`:
//!
//! ```text
//! cargo run --release -p hopmoor-world --example fleet_figures -- crash|heal|rest|memory|drawn|loss [nodes] [seeds] [seconds]
//! ```

use hopmoor_standin::faults::{Fault, LinkCondition, NodeSet, Schedule, Step};
use hopmoor_world::fleet::{Run, Watch};
use std::time::Instant;

fn median(values: &mut [f64]) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| values.get((values.len() as f64 * part) as usize).copied().unwrap_or(f64::NAN);
    (at(0.5), values.last().copied().unwrap_or(f64::NAN))
}

fn schedule(nodes: usize, seconds: f64, seed: u64, steps: Vec<Step>) -> Schedule {
    Schedule { nodes, zones: 3, voters: 0, seconds, seed, steps }
}

/// Samples of 50 ms make the times coarse by that much.
const EVERY_MS: u64 = 50;
const QUIET: Watch = Watch { every_ms: 0, seeds: 3 };

fn crash(nodes: usize, seeds: u64) {
    let (mut one, mut all) = (Vec::new(), Vec::new());
    for seed in 0..seeds {
        let dies = seed as usize % nodes;
        let steps = vec![Step { at: 10.0, fault: Fault::Kill { nodes: NodeSet::Only(vec![dies]) } }];
        let watch = Watch { every_ms: EVERY_MS, seeds: 3 };
        let history = Run::new(schedule(nodes, 25.0, seed, steps), watch).play();
        let (first, last) = history.end_detection_delays(dies, 10.0);
        one.push(first.unwrap_or(f64::INFINITY));
        all.push(last.unwrap_or(f64::INFINITY));
    }
    println!(
        "crash, {nodes} nodes, {seeds} seeds: seen by one (median, worst) {:.2?}, by all {:.2?}",
        median(&mut one),
        median(&mut all)
    );
}

/// Until all agree, looked at every 100 ms.
fn heal(nodes: usize, seeds: u64) {
    let mut times = Vec::new();
    for seed in 0..seeds {
        let part = match seed % 3 {
            0 => nodes / 2,
            1 => nodes / 10,
            _ => nodes / 3,
        };
        let some: Vec<usize> = (0..part.max(1)).collect();
        let cut = Fault::Link {
            from: NodeSet::Only(some.clone()),
            to: NodeSet::But(some),
            both: true,
            how: LinkCondition { cut: true, ..LinkCondition::default() },
            seconds: 30.0,
        };
        let mut run = Run::new(schedule(nodes, 120.0, seed, vec![Step { at: 20.0, fault: cut }]), QUIET);
        run.until(50.0);
        let mut at = 50.0;
        while !run.agree() && at < 120.0 {
            at += 0.1;
            run.until(at);
        }
        times.push(at - 50.0);
    }
    println!(
        "heal after 30 s, {nodes} nodes, {seeds} seeds: all digests equal (median, worst) {:.2?}",
        median(&mut times)
    );
}

fn rest(nodes: usize) {
    let began = Instant::now();
    let mut run = Run::new(schedule(nodes, 200.0, 1, Vec::new()), QUIET);
    run.until(60.0);
    let bytes = |run: &Run| -> Vec<(u64, u64)> {
        let all = (0..nodes).filter_map(|node| run.fleet(node));
        all.map(|fleet| (fleet.stats().bytes_out, fleet.stats().bytes_in)).collect()
    };
    let (before, agree) = (bytes(&run), run.agree());
    run.until(90.0);
    let spent: Vec<f64> =
        bytes(&run).iter().zip(&before).map(|(now, then)| (now.0 - then.0) as f64 / 30.0).collect();
    let mean = spent.iter().sum::<f64>() / spent.len() as f64;
    let most = spent.iter().copied().fold(0.0, f64::max);
    println!(
        "rest, {nodes} nodes, agreeing after 60 s: {agree}; bytes a second sent by a node: mean {mean:.0}, most {most:.0}; \
         took {:.1} s",
        began.elapsed().as_secs_f64()
    );
}

/// Memory of this process over what it holds: every node's view of every other, and the run itself.
fn memory(nodes: usize) {
    let resident = || -> u64 {
        let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
        text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0) * 4_096
    };
    let before = resident();
    let mut run = Run::new(schedule(nodes, 60.0, 1, Vec::new()), QUIET);
    run.until(30.0);
    let known: usize = (0..nodes).filter_map(|node| run.fleet(node)).map(|fleet| fleet.counts().0 - 1).sum();
    let bytes = resident().saturating_sub(before);
    println!("memory, {nodes} nodes: {} bytes a known node ({known} of them)", bytes / known.max(1) as u64);
}

/// A quarter of what goes to and from five in a hundred is lost; nobody else may be held dead, by anybody.
fn loss(nodes: usize, seeds: u64, seconds: f64) {
    for seed in 0..seeds {
        let began = Instant::now();
        let bad: Vec<usize> = (0..nodes).filter(|node| node % 20 == 7).collect();
        let how = LinkCondition { loss: 0.25, ..LinkCondition::default() };
        let link = |from: NodeSet, to: NodeSet| Fault::Link { from, to, both: false, how, seconds };
        let steps = vec![
            Step { at: 5.0, fault: link(NodeSet::Only(bad.clone()), NodeSet::All) },
            Step { at: 5.0, fault: link(NodeSet::All, NodeSet::Only(bad)) },
        ];
        let mut run = Run::new(schedule(nodes, seconds, seed, steps), QUIET);
        let (mut wrong, mut at) = (0, 5.0);
        while at < seconds {
            at += 1.0;
            run.until(at);
            wrong = wrong.max(run.wrongly_dead());
        }
        let alarms: u64 =
            (0..nodes).filter_map(|node| run.fleet(node)).map(|fleet| fleet.stats().false_alarms).sum();
        println!(
            "loss of 25% on 5% of {nodes} nodes for {seconds:.0} s, seed {seed}: most held dead that lived {wrong}; \
             false alarms {alarms}; took {:.0} s",
            began.elapsed().as_secs_f64()
        );
    }
}

/// What a drawn schedule shows that it should not; none if all is well.
fn wrong(schedule: &Schedule) -> Option<String> {
    let history = Run::new(schedule.clone(), Watch { every_ms: 200, seeds: 4 }).play();
    let last = schedule.steps.iter().map(Step::until).fold(0.0, f64::max);
    let (dead, again) = (history.false_deaths(GRACE_S), history.needless_rejoins(GRACE_S));
    match history.convergence_time(last) {
        _ if !dead.is_empty() => Some(format!("held dead without a reason: {:?}", dead.first())),
        _ if !again.is_empty() => Some(format!("came again without a reason: {:?}", again.first())),
        Some(after) if after <= SETTLES_S => None,
        after => Some(format!("settled after {after:?}")),
    }
}

/// After a fault's end its traces may be seen for so long; and by then all agree.
const GRACE_S: f64 = 10.0;
const SETTLES_S: f64 = 15.0;

/// Drawn schedules; one that shows something wrong is made short and printed.
fn random(nodes: usize, seeds: u64, first: u64) {
    let kinds: Vec<String> =
        hopmoor_standin::random::FAULT_KINDS.iter().map(|kind| (*kind).to_owned()).collect();
    let mut bad = 0;
    for seed in first..first + seeds {
        let Ok(schedule) = Schedule::random(seed, nodes, 80.0, &kinds) else { continue };
        if let Some(what) = wrong(&schedule) {
            bad += 1;
            let short = schedule.minimized(|shorter| wrong(shorter).is_some());
            let shown = wrong(&short).unwrap_or_default();
            println!(
                "seed {seed}: {what}; {shown} in the short one: {}",
                serde_json::to_string(&short).unwrap_or_default()
            );
        }
    }
    println!("drawn schedules of {nodes} nodes: {bad} of {seeds} show something wrong");
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize, usual: f64| args.get(at).and_then(|text| text.parse().ok()).unwrap_or(usual);
    let (nodes, seeds) = (number(1, 30.0) as usize, number(2, 21.0) as u64);
    match args.first().map(String::as_str) {
        Some("crash") => crash(nodes, seeds),
        Some("heal") => heal(nodes, seeds),
        Some("rest") => rest(nodes),
        Some("memory") => memory(nodes),
        Some("drawn") => random(nodes, seeds, number(3, 0.0) as u64),
        Some("loss") => loss(nodes, seeds, number(3, 600.0)),
        _ => eprintln!("crash|heal|rest|memory|drawn|loss [nodes] [seeds] [seconds]"),
    }
}
