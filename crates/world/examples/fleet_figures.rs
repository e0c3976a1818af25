//! Measures simulated fleets in virtual time; the figures in `docs/fleet-view.md` come from it:
//!
//! ```text
//! cargo run --release -p hopmoor-world --example fleet_figures -- MODE [nodes] [seeds] [seconds]
//! ```
//!
//! `MODE` is `crash`, `heal`, `rest`, `memory`, `random` or `loss`. For `random`, the last argument is the
//! first seed.

use hopmoor_standin::faults::{Fault, LinkCondition, NodeSet, Schedule, Step};
use hopmoor_world::fleet::{FleetSimulation, Options};
use std::time::Instant;

/// The median and the greatest value; NaN if there are none.
fn median_and_max(values: &mut [f64]) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let quantile =
        |share: f64| values.get((values.len() as f64 * share) as usize).copied().unwrap_or(f64::NAN);
    (quantile(0.5), values.last().copied().unwrap_or(f64::NAN))
}

fn schedule(nodes: usize, seconds: f64, seed: u64, steps: Vec<Step>) -> Schedule {
    Schedule { nodes, zones: 3, voters: 0, seconds, seed, steps }
}

/// Interval at which views are sampled, and so the resolution of the measured times.
const SAMPLE_INTERVAL_MS: u64 = 50;
/// Takes no samples of the views.
const UNSAMPLED: Options = Options { sample_interval_ms: 0, seed_nodes: 3 };

/// Time from the crash of a node until one node, and until all nodes, see it.
fn crash(nodes: usize, seeds: u64) {
    let (mut by_one, mut by_all) = (Vec::new(), Vec::new());
    for seed in 0..seeds {
        let victim = seed as usize % nodes;
        let steps = vec![Step { at: 10.0, fault: Fault::Kill { nodes: NodeSet::Only(vec![victim]) } }];
        let options = Options { sample_interval_ms: SAMPLE_INTERVAL_MS, seed_nodes: 3 };
        let history = FleetSimulation::new(schedule(nodes, 25.0, seed, steps), options).run_to_end();
        let (first, last) = history.end_detection_delays(victim, 10.0);
        by_one.push(first.unwrap_or(f64::INFINITY));
        by_all.push(last.unwrap_or(f64::INFINITY));
    }
    println!(
        "crash, {nodes} nodes, {seeds} seeds: seen by one (median, worst) {:.2?}, by all {:.2?}",
        median_and_max(&mut by_one),
        median_and_max(&mut by_all)
    );
}

/// Time from the end of a 30 s partition until the views of all nodes agree; checked every 100 ms.
fn heal(nodes: usize, seeds: u64) {
    let mut times = Vec::new();
    for seed in 0..seeds {
        let cut_off = match seed % 3 {
            0 => nodes / 2,
            1 => nodes / 10,
            _ => nodes / 3,
        };
        let one_side: Vec<usize> = (0..cut_off.max(1)).collect();
        let partition = Fault::Link {
            from: NodeSet::Only(one_side.clone()),
            to: NodeSet::But(one_side),
            both: true,
            how: LinkCondition { cut: true, ..LinkCondition::default() },
            seconds: 30.0,
        };
        let mut simulation = FleetSimulation::new(
            schedule(nodes, 120.0, seed, vec![Step { at: 20.0, fault: partition }]),
            UNSAMPLED,
        );
        simulation.run_until(50.0);
        let mut seconds = 50.0;
        while !simulation.views_agree() && seconds < 120.0 {
            seconds += 0.1;
            simulation.run_until(seconds);
        }
        times.push(seconds - 50.0);
    }
    println!(
        "heal after 30 s, {nodes} nodes, {seeds} seeds: all digests equal (median, worst) {:.2?}",
        median_and_max(&mut times)
    );
}

/// Bytes that each node of a fault-free fleet sends a second, from 60 s to 90 s after its start.
fn rest(nodes: usize) {
    let started = Instant::now();
    let mut simulation = FleetSimulation::new(schedule(nodes, 200.0, 1, Vec::new()), UNSAMPLED);
    simulation.run_until(60.0);
    let bytes_by_node = |simulation: &FleetSimulation| -> Vec<(u64, u64)> {
        let fleets = (0..nodes).filter_map(|node| simulation.fleet(node));
        fleets.map(|fleet| (fleet.stats().bytes_out, fleet.stats().bytes_in)).collect()
    };
    let (before, agree) = (bytes_by_node(&simulation), simulation.views_agree());
    simulation.run_until(90.0);
    let sent_per_s: Vec<f64> = bytes_by_node(&simulation)
        .iter()
        .zip(&before)
        .map(|(end, start)| (end.0 - start.0) as f64 / 30.0)
        .collect();
    let mean = sent_per_s.iter().sum::<f64>() / sent_per_s.len() as f64;
    let max = sent_per_s.iter().copied().fold(0.0, f64::max);
    println!(
        "rest, {nodes} nodes, agreeing after 60 s: {agree}; bytes a second sent by a node: mean {mean:.0}, \
         most {max:.0}; took {:.1} s",
        started.elapsed().as_secs_f64()
    );
}

/// Growth of this process's resident memory, divided by the number of running peers in all views. It includes
/// the simulation itself.
fn memory(nodes: usize) {
    let resident = || -> u64 {
        let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
        text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0) * 4_096
    };
    let before = resident();
    let mut simulation = FleetSimulation::new(schedule(nodes, 60.0, 1, Vec::new()), UNSAMPLED);
    simulation.run_until(30.0);
    let known: usize =
        (0..nodes).filter_map(|node| simulation.fleet(node)).map(|fleet| fleet.counts().0 - 1).sum();
    let bytes = resident().saturating_sub(before);
    println!("memory, {nodes} nodes: {} bytes a known node ({known} of them)", bytes / known.max(1) as u64);
}

/// 5% of the nodes lose a quarter of the packets to and from them; no running node should be held dead by
/// any other. Prints the greatest number of pairs of an observer and a running node that the observer holds
/// dead, checked once a second.
fn loss(nodes: usize, seeds: u64, seconds: f64) {
    for seed in 0..seeds {
        let started = Instant::now();
        let lossy: Vec<usize> = (0..nodes).filter(|node| node % 20 == 7).collect();
        let how = LinkCondition { loss: 0.25, ..LinkCondition::default() };
        let link = |from: NodeSet, to: NodeSet| Fault::Link { from, to, both: false, how, seconds };
        let steps = vec![
            Step { at: 5.0, fault: link(NodeSet::Only(lossy.clone()), NodeSet::All) },
            Step { at: 5.0, fault: link(NodeSet::All, NodeSet::Only(lossy)) },
        ];
        let mut simulation = FleetSimulation::new(schedule(nodes, seconds, seed, steps), UNSAMPLED);
        let (mut max_held_dead, mut now) = (0, 5.0);
        while now < seconds {
            now += 1.0;
            simulation.run_until(now);
            max_held_dead = max_held_dead.max(simulation.running_but_held_dead());
        }
        let false_alarms: u64 = (0..nodes)
            .filter_map(|node| simulation.fleet(node))
            .map(|fleet| fleet.stats().false_alarms)
            .sum();
        println!(
            "loss of 25% on 5% of {nodes} nodes for {seconds:.0} s, seed {seed}: most held dead that lived \
             {max_held_dead}; false alarms {false_alarms}; took {:.0} s",
            started.elapsed().as_secs_f64()
        );
    }
}

/// The first rule that a run of `schedule` breaks; none if it keeps them all.
fn violation(schedule: &Schedule) -> Option<String> {
    let history = FleetSimulation::new(schedule.clone(), Options { sample_interval_ms: 200, seed_nodes: 4 })
        .run_to_end();
    let faults_end = schedule.steps.iter().map(Step::until).fold(0.0, f64::max);
    let (false_deaths, needless_rejoins) = (history.false_deaths(GRACE_S), history.needless_rejoins(GRACE_S));
    match history.convergence_time(faults_end) {
        _ if !false_deaths.is_empty() => {
            Some(format!("held dead without a reason: {:?}", false_deaths.first()))
        }
        _ if !needless_rejoins.is_empty() => {
            Some(format!("came again without a reason: {:?}", needless_rejoins.first()))
        }
        Some(seconds) if seconds <= MAX_SETTLE_S => None,
        seconds => Some(format!("settled after {seconds:?}")),
    }
}

/// Time after the end of a fault during which its effects are excused.
const GRACE_S: f64 = 10.0;
/// Time after the end of the last fault by which all views must agree.
const MAX_SETTLE_S: f64 = 15.0;

/// Runs randomly drawn schedules. Each that breaks a rule is shortened to fewer steps and printed.
fn random(nodes: usize, seeds: u64, first_seed: u64) {
    let kinds: Vec<String> =
        hopmoor_standin::random::FAULT_KINDS.iter().map(|kind| (*kind).to_owned()).collect();
    let mut failed = 0;
    for seed in first_seed..first_seed + seeds {
        let Ok(schedule) = Schedule::random(seed, nodes, 80.0, &kinds) else { continue };
        if let Some(found) = violation(&schedule) {
            failed += 1;
            let short = schedule.minimized(|shorter| violation(shorter).is_some());
            let found_in_short = violation(&short).unwrap_or_default();
            println!(
                "seed {seed}: {found}; {found_in_short} in the short one: {}",
                serde_json::to_string(&short).unwrap_or_default()
            );
        }
    }
    println!("drawn schedules of {nodes} nodes: {failed} of {seeds} show something wrong");
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let arg_or =
        |index: usize, default: f64| args.get(index).and_then(|text| text.parse().ok()).unwrap_or(default);
    let (nodes, seeds) = (arg_or(1, 30.0) as usize, arg_or(2, 21.0) as u64);
    match args.first().map(String::as_str) {
        Some("crash") => crash(nodes, seeds),
        Some("heal") => heal(nodes, seeds),
        Some("rest") => rest(nodes),
        Some("memory") => memory(nodes),
        Some("drawn") => random(nodes, seeds, arg_or(3, 0.0) as u64),
        Some("loss") => loss(nodes, seeds, arg_or(3, 600.0)),
        _ => eprintln!("crash|heal|rest|memory|drawn|loss [nodes] [seeds] [seconds]"),
    }
}
