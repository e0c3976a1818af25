//! Agreed drains in virtual time, under faults drawn from seeds: the real part of every node, `raft` and the fleet's view.
//! Thousands of schedules: `cargo run --release -p hopmoor-world --example agree_figures`.

use hopmoor_standin::faults::Schedule;
use hopmoor_standin::random::FAULT_KINDS;
use hopmoor_world::fleet::drains;

#[test]
fn drawn_faults_never_have_more_out_than_the_budget() {
    let kinds: Vec<String> = FAULT_KINDS.iter().map(|kind| (*kind).to_owned()).collect();
    let mut used = 0;
    // The later ones once showed a grant to an earlier coming of a node, told late.
    for seed in (0..15).chain([673, 953, 957, 2815, 5105, 5798]) {
        let schedule = Schedule::random(seed, 12, 60.0, &kinds).unwrap();
        let schedule = Schedule { voters: 5, ..schedule };
        let shown = drains(&schedule, 2);
        assert!(!shown.is_over(), "seed {seed}: {shown:?}");
        used += shown.used;
    }
    assert!(used >= 15, "{used} drains show nothing");
}

/// Twelve ask within a second, and each that drains is back after a while: all have their turn, one after the other.
#[test]
fn twelve_that_ask_at_once_go_one_after_the_other() {
    let mut steps = r#"{"at":5,"fault":"drain","nodes":"all","on":true}"#.to_owned();
    for n in 0..40 {
        steps += &format!(r#",{{"at":{},"fault":"back"}}"#, 7 + n);
    }
    let text = format!(r#"{{"nodes":12,"zones":3,"voters":3,"seconds":60,"seed":4,"steps":[{steps}]}}"#);
    let shown = drains(&Schedule::read(&text).unwrap(), 1);
    assert_eq!((shown.drained, shown.used), (1, 12), "{shown:?}");
}

fn played(nodes: usize, voters: usize, seconds: f64, steps: &str) -> hopmoor_world::fleet::Drains {
    let text = format!(
        r#"{{"nodes":{nodes},"zones":3,"voters":{voters},"seconds":{seconds},"seed":4,"steps":[{steps}]}}"#
    );
    drains(&Schedule::read(&text).unwrap(), 1)
}

/// With a budget of one and one dead, nobody is granted anything, until that one is back.
#[test]
fn who_is_dead_counts() {
    let steps = r#"{"at":6,"fault":"kill","nodes":{"only":[7]}},
        {"at":12,"fault":"drain","nodes":{"only":[5,6]},"on":true}"#;
    assert_eq!(played(8, 3, 40.0, steps).used, 0);
    let back = format!(r#"{steps},{{"at":30,"fault":"start","nodes":{{"only":[7]}}}}"#);
    assert_eq!(played(8, 3, 40.0, &back).used, 1);
}

/// One that drains and is cut off is held dead by the rest; it drains all the same, and nobody else does.
#[test]
fn who_drains_and_is_held_dead_counts() {
    let steps = r#"{"at":6,"fault":"drain","nodes":{"only":[7]},"on":true},
        {"at":8,"fault":"link","from":{"only":[7]},"to":{"but":[7]},"both":true,"how":{"cut":true},"seconds":12},
        {"at":12,"fault":"drain","nodes":{"only":[5]},"on":true}"#;
    let shown = played(8, 3, 40.0, steps);
    assert_eq!((shown.drained, shown.used), (1, 1), "{shown:?}");
}

/// Each voter is cut off alone and asks: whoever leads grants itself nothing, since nobody else has it in the log.
#[test]
fn a_leader_that_is_cut_off_grants_nothing() {
    let mut steps = Vec::new();
    for voter in 0..3 {
        let at = 10 + voter * 15;
        steps.push(format!(
            r#"{{"at":{at},"fault":"link","from":{{"only":[{voter}]}},"to":{{"but":[{voter}]}},"both":true,"how":{{"cut":true}},"seconds":6}},
            {{"at":{at}.3,"fault":"drain","nodes":{{"only":[{voter}]}},"on":true}},
            {{"at":{},"fault":"drain","nodes":{{"only":[{voter}]}},"on":false}}"#,
            at + 5
        ));
    }
    assert_eq!(played(6, 3, 60.0, &steps.join(",")).used, 0);
}
