//! Simulated fleets: how the nodes see each other while a schedule injects faults into the nodes and the
//! network.

use hopmoor_standin::faults::Schedule;
use hopmoor_standin::history::History;
use hopmoor_world::fleet::{FleetSimulation, Options};

fn run(nodes: usize, seconds: f64, seed: u64, steps: &str) -> History {
    let text =
        format!(r#"{{"nodes":{nodes},"zones":3,"seconds":{seconds},"seed":{seed},"steps":[{steps}]}}"#);
    FleetSimulation::new(Schedule::read(&text).unwrap(), Options::default()).run_to_end()
}

/// The median and the greatest value.
fn median_and_max(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    (values[values.len() / 2], values[values.len() - 1])
}

#[test]
fn a_crash_is_detected_by_one_node_then_by_all() {
    let detection_times: Vec<(f64, f64)> = (0..9)
        .map(|seed| {
            let history = run(30, 20.0, seed, r#"{"at":10,"fault":"kill","nodes":{"only":[7]}}"#);
            let (by_one, by_all) = history.end_detection_delays(7, 10.0);
            (by_one.unwrap(), by_all.unwrap())
        })
        .collect();
    let (by_one, by_all) = (
        median_and_max(detection_times.iter().map(|times| times.0).collect()),
        median_and_max(detection_times.iter().map(|times| times.1).collect()),
    );
    assert!(by_one.0 <= 1.7 && by_all.0 <= 3.0, "by one {by_one:?}, by all {by_all:?}");
}

#[test]
fn thirty_nodes_that_join_at_once_see_each_other() {
    let history = run(30, 15.0, 3, "");
    assert!(history.convergence_time(0.0).unwrap() < 8.0);
    assert_eq!(history.false_deaths(0.0), []);
}

#[test]
fn a_partitioned_fleet_merges_again() {
    let partition = |side: &str| {
        format!(
            r#"{{"at":10,"fault":"link","from":{{"only":{side}}},"to":{{"but":{side}}},"both":true,
            "how":{{"cut":true}},"seconds":30}}"#
        )
    };
    for (seed, side) in [(1, "[0,1,2,3,4]"), (2, "[0,1,2,3,4,5,6,7,8,9,10,11,12,13,14]"), (3, "[29]")] {
        let history = run(30, 60.0, seed, &partition(side));
        let convergence_time = history.convergence_time(40.0);
        assert!(convergence_time.is_some_and(|after| after < 8.0), "{side}: {convergence_time:?}");
        // No node was held dead by its own side, not even while the two sides merged.
        assert_eq!(history.false_deaths(10.0), []);
    }
}

#[test]
fn packet_loss_and_short_stops_cause_no_false_deaths() {
    let mut steps = vec![
        r#"{"at":5,"fault":"link","from":"all","to":"all","how":{"loss":0.1},"seconds":200}"#.to_owned(),
    ];
    for (at, node) in [(20, 1), (30, 7), (40, 13), (50, 1), (60, 22)] {
        steps.push(format!(r#"{{"at":{at},"fault":"stop","nodes":{{"only":[{node}]}},"seconds":0.95}}"#));
    }
    let history = run(30, 80.0, 5, &steps.join(","));
    assert_eq!(history.false_deaths(0.0), []);
    assert_eq!(history.needless_rejoins(0.0), []);
}

#[test]
fn a_node_stopped_for_long_rejoins_and_holds_no_node_dead() {
    let history = run(10, 60.0, 2, r#"{"at":10,"fault":"stop","nodes":{"only":[4]},"seconds":30}"#);
    assert!(
        history.convergence_time(40.0).is_some_and(|after| after < 5.0),
        "{:?}",
        history.convergence_time(40.0)
    );
    let holds_a_node_dead = |seen: &&hopmoor_standin::history::Observation| {
        seen.node == 4 && seen.at > 40.0 && seen.states.iter().any(|(_, state)| state == "dead")
    };
    assert_eq!(history.seen.iter().find(holds_a_node_dead), None);
}

#[test]
fn a_leave_is_announced_and_a_node_can_move_to_another_address() {
    let history = run(
        10,
        30.0,
        1,
        r#"{"at":10,"fault":"term","nodes":{"only":[3]}},{"at":20,"fault":"move","node":5}"#,
    );
    let (_, by_all) = history.end_detection_delays(3, 10.0);
    assert!(by_all.unwrap() < 1.5, "{by_all:?}");
    assert!(history.seen.iter().all(|seen| seen.states.get(&3).is_none_or(|state| state != "dead")));
    assert!(history.convergence_time(20.0).is_some_and(|after| after < 6.0));
}

#[test]
fn of_two_processes_with_one_name_the_later_is_the_node() {
    let history = run(6, 30.0, 4, r#"{"at":10,"fault":"twin","node":2}"#);
    // The earlier process, whose view is the one sampled, is superseded and so no longer ready.
    let last = history.seen.iter().rev().find(|seen| seen.node == 2).unwrap();
    assert_eq!(last.itself_ready, Some(false));
    let others = history.seen.iter().filter(|seen| seen.node != 2 && seen.at > 15.0);
    assert!(others.clone().count() > 100 && others.clone().all(|seen| seen.states[&2] == "alive"));
}

#[test]
fn key_rotation_under_packet_loss_does_not_split_the_fleet() {
    let history = run(
        12,
        60.0,
        6,
        r#"{"at":10,"fault":"link","from":"all","to":"all","how":{"loss":0.2,"jitter_ms":100},"seconds":40},
           {"at":12,"fault":"rotate","pause":6}"#,
    );
    assert_eq!(history.false_deaths(0.0), []);
    assert!(history.convergence_time(50.0).is_some());
}

#[test]
fn the_digest_covers_readiness() {
    let history = run(5, 20.0, 1, r#"{"at":10,"fault":"drain","nodes":{"only":[1]},"on":true}"#);
    let digest = |from: f64, until: f64| {
        let seen = history.seen.iter().filter(|seen| seen.at > from && seen.at < until);
        seen.map(|seen| &seen.digest).collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(digest(8.0, 10.0).len(), 1);
    assert_eq!(digest(14.0, 20.0).len(), 1);
    assert_ne!(digest(8.0, 10.0), digest(14.0, 20.0));
    let last = history.seen.last().unwrap();
    assert_eq!(last.ready[&1], "draining");
}

/// One node loses 70% of what is sent to it and receives the rest 900 ms late. Another is stopped for 0.7 s
/// of every second. Both must lower their own health score instead of holding healthy nodes dead.
#[test]
fn an_unhealthy_node_holds_no_healthy_node_dead() {
    for seed in 0..2 {
        let mut steps = vec![
            r#"{"at":5,"fault":"link","from":"all","to":{"only":[4]},"how":{"loss":0.7,"delay_ms":900},
                "seconds":30}"#
                .to_owned(),
        ];
        for round in 0..25 {
            let at = 6.0 + f64::from(round);
            steps.push(format!(r#"{{"at":{at},"fault":"stop","nodes":{{"only":[9]}},"seconds":0.7}}"#));
        }
        let history = run(12, 35.0, seed, &steps.join(","));
        let false_deaths: Vec<_> =
            history.false_deaths(0.0).into_iter().filter(|(_, _, of)| *of != 4 && *of != 9).collect();
        assert_eq!(false_deaths, [], "seed {seed}");
    }
}
