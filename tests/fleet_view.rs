//! Runs fleets of real processes under injected faults and checks what every node's view showed over time.

use hopmoor_rig::{Options, play};
use hopmoor_standin::faults::Schedule;
use hopmoor_standin::history::{History, Observation};
use std::path::PathBuf;
use std::sync::{Condvar, Mutex, PoisonError};

/// Schedules that run at the same time. More would starve the machine, and the tests would then show only
/// that.
const MAX_CONCURRENT_RUNS: usize = 3;
static RUNNING: Mutex<usize> = Mutex::new(0);
static RUN_ENDED: Condvar = Condvar::new();

/// Permission to run one schedule; it is released when dropped, however the run ends.
struct RunSlot;

impl RunSlot {
    fn wait() -> RunSlot {
        let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        while *running >= MAX_CONCURRENT_RUNS {
            running = RUN_ENDED.wait(running).unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        RunSlot
    }
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        RUN_ENDED.notify_one();
    }
}

/// How long after a fault has ended its effects may still be seen, in seconds.
const GRACE_SECONDS: f64 = 10.0;

fn run(nodes: usize, seconds: f64, steps: &str) -> History {
    let _slot = RunSlot::wait();
    let schedule = format!(r#"{{"nodes":{nodes},"zones":3,"seconds":{seconds},"seed":1,"steps":[{steps}]}}"#);
    let options = Options { program: PathBuf::from(env!("CARGO_BIN_EXE_hopmoor")), ..Options::default() };
    play(&Schedule::read(&schedule).unwrap(), &options).unwrap()
}

fn assert_settled(history: &History, since: f64, within: f64) {
    let after = history.convergence_time(since);
    assert!(
        after.is_some_and(|after| after <= within),
        "views settled after {after:?} s, allowed are {within} s\n{}",
        history.summary()
    );
}

fn states(history: &History, of: usize, at: f64) -> impl Iterator<Item = (&Observation, &str)> {
    let seen = history.seen.iter().filter(move |seen| seen.at > at && seen.node != of);
    seen.filter_map(move |seen| Some((seen, seen.states.get(&of)?.as_str())))
}

#[test]
fn two_nodes_see_each_other_and_the_death_of_one() {
    let history = run(2, 12.0, r#"{"at":4,"fault":"kill","nodes":{"only":[1]}}"#);
    assert!(history.seen.iter().any(|seen| seen.at < 4.0 && seen.states.len() == 2));
    let (first, _) = history.end_detection_delays(1, 4.0);
    assert!(first.is_some_and(|after| after < 4.0), "{first:?}");
    assert_eq!(history.false_deaths(GRACE_SECONDS), []);
}

#[test]
fn thirty_join_through_one_seed_and_survive_the_loss_of_twelve() {
    let history = run(
        30,
        50.0,
        r#"{"at":12,"fault":"kill","nodes":{"only":[0,3,4,6,9,12,15,18,21,24,27,28]}},
           {"at":28,"fault":"start","nodes":{"only":[0,3,4,6,9,12,15,18,21,24,27,28]}}"#,
    );
    let before = history.seen.iter().filter(|seen| seen.at > 9.0 && seen.at < 12.0);
    assert!(before.clone().count() > 30 && before.clone().all(|seen| seen.states.len() == 30));
    assert_settled(&history, 28.0, 12.0);
    assert_eq!(history.false_deaths(GRACE_SECONDS), []);
    for node in [0, 12, 28] {
        let (first, last) = history.end_detection_delays(node, 12.0);
        assert!(
            first.is_some_and(|after| after < 5.0) && last.is_some_and(|after| after < 14.0),
            "{first:?} {last:?}"
        );
    }
}

/// Six of ten nodes are killed and come back. Meanwhile no node takes the pool to be shared by four only,
/// while a node that left no longer counts.
#[test]
fn a_dead_node_still_counts_as_sharing_the_pool() {
    let history = run(
        10,
        45.0,
        r#"{"at":10,"fault":"kill","nodes":{"only":[0,2,4,6,8,9]}},
           {"at":22,"fault":"start","nodes":{"only":[0,2,4,6,8,9]}},{"at":33,"fault":"term","nodes":{"only":[3]}}"#,
    );
    let sharing_counts = |from: f64, until: f64| {
        let seen = history.seen.iter().filter(move |seen| seen.at > from && seen.at < until);
        let counts: std::collections::BTreeSet<u32> = seen.filter_map(|seen| seen.sharing).collect();
        counts
    };
    assert_eq!(sharing_counts(8.0, 33.0), [10].into(), "{}", history.summary());
    assert_eq!(sharing_counts(41.0, 45.0), [9].into(), "{}", history.summary());
    let survivor =
        |seen: &&Observation| seen.node == 1 && seen.at > 17.0 && seen.at < 22.0 && seen.sharing == Some(10);
    assert!(history.seen.iter().any(|seen| survivor(&seen)), "the number is reported while the six are down");
}

#[test]
fn three_partitions_with_kills_and_starts_merge_again() {
    let cut = |nodes: &str| {
        format!(
            r#"{{"at":6,"fault":"link","from":{{"only":{nodes}}},"to":{{"but":{nodes}}},"both":true,
            "how":{{"cut":true}},"seconds":20}}"#
        )
    };
    let steps = format!(
        // For a while after the heal every connection is cut after 700 bytes, in the middle of a whole view,
        // so that gossip and later exchanges have to settle the views.
        r#"{},{},{{"at":8,"fault":"kill","nodes":{{"only":[1,9]}}}},
           {{"at":20,"fault":"start","nodes":{{"only":[1,9]}}}},
           {{"at":26,"fault":"link","from":"all","to":"all","how":{{"cut_after":700}},"seconds":4}}"#,
        cut("[0,1,2]"),
        cut("[3,4]")
    );
    let history = run(12, 45.0, &steps);
    assert_settled(&history, 30.0, 8.0);
    assert_eq!(history.false_deaths(GRACE_SECONDS), []);
}

#[test]
fn packet_loss_jitter_and_stops_cause_no_false_deaths() {
    let history = run(
        12,
        60.0,
        r#"{"at":5,"fault":"link","from":"all","to":"all","how":{"loss":0.2,"jitter_ms":200,"twice":0.1},"seconds":20},
           {"at":8,"fault":"stop","nodes":{"only":[2]},"seconds":0.9},
           {"at":12,"fault":"stop","nodes":{"only":[7]},"seconds":0.9},
           {"at":30,"fault":"stop","nodes":{"only":[5]},"seconds":15}"#,
    );
    assert_eq!(history.false_deaths(GRACE_SECONDS), []);
    assert_eq!(history.needless_rejoins(GRACE_SECONDS), []);
    // The stopped node goes on with the view that it had.
    let reports_dead = |seen: &&Observation| {
        seen.node == 5 && seen.at > 45.0 && seen.states.values().any(|state| state == "dead")
    };
    assert_eq!(history.seen.iter().find(reports_dead), None);
    assert_settled(&history, 45.0, 8.0);
}

#[test]
fn a_link_cut_in_one_or_both_directions_causes_no_death() {
    let history = run(
        6,
        45.0,
        r#"{"at":5,"fault":"link","from":{"only":[1]},"to":{"only":[2]},"both":true,"how":{"cut":true},"seconds":15},
           {"at":22,"fault":"link","from":{"only":[3]},"to":{"only":[0,1]},"how":{"cut":true},"seconds":15}"#,
    );
    // No node may be seen as dead at all, not even where `false_deaths` would excuse it.
    let dead = history.seen.iter().find(|seen| seen.states.values().any(|state| state == "dead"));
    assert_eq!(dead, None);
}

#[test]
fn a_leave_a_move_and_a_duplicate_name_are_told_apart() {
    let history = run(
        6,
        40.0,
        r#"{"at":5,"fault":"term","nodes":{"only":[4]}},{"at":12,"fault":"move","node":3},
           {"at":22,"fault":"twin","node":2}"#,
    );
    assert!(
        states(&history, 4, 5.0).all(|(_, state)| state != "dead"),
        "a leave is announced, not taken for a death"
    );
    assert!(states(&history, 4, 10.0).all(|(_, state)| state == "left"));
    assert!(states(&history, 3, 18.0).all(|(_, state)| state == "alive"));
    // The first of the two processes yields the name and is not ready; the name stays up without a gap.
    let first: Vec<&Observation> =
        history.seen.iter().filter(|seen| seen.node == 2 && seen.at > 28.0).collect();
    assert!(first.len() > 10 && first.iter().all(|seen| seen.itself_ready == Some(false)));
    assert!(states(&history, 2, 28.0).all(|(_, state)| state == "alive"));
}

#[test]
fn keys_rotate_under_packet_loss_and_floods_without_a_split() {
    let history = run(
        6,
        40.0,
        r#"{"at":4,"fault":"link","from":"all","to":"all","how":{"loss":0.1},"seconds":30},
           {"at":5,"fault":"flood","node":1,"rate":20000,"seconds":10},
           {"at":8,"fault":"rotate","pause":5}"#,
    );
    assert_eq!(history.false_deaths(GRACE_SECONDS), []);
    assert_settled(&history, 34.0, 6.0);
}
