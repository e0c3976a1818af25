//! Fleets of real processes, with faults between them and in them; judged by what observers saw from outside.

use hopmoor_rig::{Options, play};
use hopmoor_standin::faults::Schedule;
use hopmoor_standin::history::{History, Seen};
use std::path::PathBuf;
use std::sync::{Condvar, Mutex, PoisonError};

/// Schedules that are played at once: all together would starve the machine, and what they show then is that.
const AT_ONCE: usize = 3;
static PLAYING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// A turn to play, given back however the play ends.
struct Turn;

impl Turn {
    fn wait() -> Turn {
        let mut playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
        while *playing >= AT_ONCE {
            playing = ENDED.wait(playing).unwrap_or_else(PoisonError::into_inner);
        }
        *playing += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *PLAYING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// After a fault's end its traces may be seen for so long, in seconds.
const GRACE: f64 = 10.0;

fn run(nodes: usize, seconds: f64, steps: &str) -> History {
    let _turn = Turn::wait();
    let text = format!(r#"{{"nodes":{nodes},"zones":3,"seconds":{seconds},"seed":1,"steps":[{steps}]}}"#);
    let options = Options { program: PathBuf::from(env!("CARGO_BIN_EXE_hopmoor")), ..Options::default() };
    play(&Schedule::read(&text).unwrap(), &options).unwrap()
}

fn settled(history: &History, since: f64, within: f64) {
    let after = history.settled(since);
    assert!(after.is_some_and(|after| after <= within), "settled after {after:?} s\n{}", history.told());
}

fn states(history: &History, of: usize, at: f64) -> impl Iterator<Item = (&Seen, &str)> {
    let seen = history.seen.iter().filter(move |seen| seen.at > at && seen.node != of);
    seen.filter_map(move |seen| Some((seen, seen.states.get(&of)?.as_str())))
}

#[test]
fn two_processes_see_each_other_and_the_end_of_one() {
    let history = run(2, 12.0, r#"{"at":4,"fault":"kill","nodes":{"only":[1]}}"#);
    assert!(history.seen.iter().any(|seen| seen.at < 4.0 && seen.states.len() == 2));
    let (one, _) = history.end_seen(1, 4.0);
    assert!(one.is_some_and(|after| after < 4.0), "{one:?}");
    assert_eq!(history.false_deaths(GRACE), []);
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
    settled(&history, 28.0, 12.0);
    assert_eq!(history.false_deaths(GRACE), []);
    for node in [0, 12, 28] {
        let (one, all) = history.end_seen(node, 12.0);
        assert!(
            one.is_some_and(|after| after < 5.0) && all.is_some_and(|after| after < 14.0),
            "{one:?} {all:?}"
        );
    }
}

/// Six of ten are lost and come back: nobody takes itself to be one of four, and a node that has gone counts no more.
#[test]
fn a_lost_node_still_counts_as_one_that_shares_the_pool() {
    let history = run(
        10,
        45.0,
        r#"{"at":10,"fault":"kill","nodes":{"only":[0,2,4,6,8,9]}},
           {"at":22,"fault":"start","nodes":{"only":[0,2,4,6,8,9]}},{"at":33,"fault":"term","nodes":{"only":[3]}}"#,
    );
    let told = |from: f64, until: f64| {
        let seen = history.seen.iter().filter(move |seen| seen.at > from && seen.at < until);
        let told: std::collections::BTreeSet<u32> = seen.filter_map(|seen| seen.sharing).collect();
        told
    };
    assert_eq!(told(8.0, 33.0), [10].into(), "{}", history.told());
    assert_eq!(told(41.0, 45.0), [9].into(), "{}", history.told());
    let survivor =
        |seen: &&Seen| seen.node == 1 && seen.at > 17.0 && seen.at < 22.0 && seen.sharing == Some(10);
    assert!(history.seen.iter().any(|seen| survivor(&seen)), "it is told while the six are gone");
}

#[test]
fn three_parts_with_ends_and_starts_in_them_become_one_again() {
    let cut = |some: &str| {
        format!(
            r#"{{"at":6,"fault":"link","from":{{"only":{some}}},"to":{{"but":{some}}},"both":true,
            "how":{{"cut":true}},"seconds":20}}"#
        )
    };
    let steps = format!(
        // After the heal every exchange of a whole view is cut in its midst for a while: gossip and the next ones settle.
        r#"{},{},{{"at":8,"fault":"kill","nodes":{{"only":[1,9]}}}},
           {{"at":20,"fault":"start","nodes":{{"only":[1,9]}}}},
           {{"at":26,"fault":"link","from":"all","to":"all","how":{{"cut_after":700}},"seconds":4}}"#,
        cut("[0,1,2]"),
        cut("[3,4]")
    );
    let history = run(12, 45.0, &steps);
    settled(&history, 30.0, 8.0);
    assert_eq!(history.false_deaths(GRACE), []);
}

#[test]
fn loss_jitter_and_short_stops_kill_nobody_and_a_long_stop_blames_nobody() {
    let history = run(
        12,
        60.0,
        r#"{"at":5,"fault":"link","from":"all","to":"all","how":{"loss":0.2,"jitter_ms":200,"twice":0.1},"seconds":20},
           {"at":8,"fault":"stop","nodes":{"only":[2]},"seconds":0.9},
           {"at":12,"fault":"stop","nodes":{"only":[7]},"seconds":0.9},
           {"at":30,"fault":"stop","nodes":{"only":[5]},"seconds":15}"#,
    );
    assert_eq!(history.false_deaths(GRACE), []);
    assert_eq!(history.needless_returns(GRACE), []);
    // The one that was stopped went on with what it knew.
    let blames =
        |seen: &&Seen| seen.node == 5 && seen.at > 45.0 && seen.states.values().any(|state| state == "dead");
    assert_eq!(history.seen.iter().find(blames), None);
    settled(&history, 45.0, 8.0);
}

#[test]
fn a_way_that_is_cut_one_way_or_between_two_is_gone_round() {
    let history = run(
        6,
        45.0,
        r#"{"at":5,"fault":"link","from":{"only":[1]},"to":{"only":[2]},"both":true,"how":{"cut":true},"seconds":15},
           {"at":22,"fault":"link","from":{"only":[3]},"to":{"only":[0,1]},"how":{"cut":true},"seconds":15}"#,
    );
    // Not even where a judge would excuse it.
    let dead = history.seen.iter().find(|seen| seen.states.values().any(|state| state == "dead"));
    assert_eq!(dead, None);
}

#[test]
fn a_leave_a_move_and_two_of_one_name_are_told_apart() {
    let history = run(
        6,
        40.0,
        r#"{"at":5,"fault":"term","nodes":{"only":[4]}},{"at":12,"fault":"move","node":3},
           {"at":22,"fault":"twin","node":2}"#,
    );
    assert!(states(&history, 4, 5.0).all(|(_, state)| state != "dead"), "a leave is told, not found out");
    assert!(states(&history, 4, 10.0).all(|(_, state)| state == "left"));
    assert!(states(&history, 3, 18.0).all(|(_, state)| state == "alive"));
    // The first process of the two steps back and is not ready; the name goes on without a break.
    let first: Vec<&Seen> = history.seen.iter().filter(|seen| seen.node == 2 && seen.at > 28.0).collect();
    assert!(first.len() > 10 && first.iter().all(|seen| seen.itself_ready == Some(false)));
    assert!(states(&history, 2, 28.0).all(|(_, state)| state == "alive"));
}

#[test]
fn keys_change_in_the_midst_of_loss_and_floods_without_a_split() {
    let history = run(
        6,
        40.0,
        r#"{"at":4,"fault":"link","from":"all","to":"all","how":{"loss":0.1},"seconds":30},
           {"at":5,"fault":"flood","node":1,"rate":20000,"seconds":10},
           {"at":8,"fault":"rotate","pause":5}"#,
    );
    assert_eq!(history.false_deaths(GRACE), []);
    settled(&history, 34.0, 6.0);
}
