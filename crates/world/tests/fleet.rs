//! Fleets in virtual time: what the nodes come to hold of each other while a schedule breaks what lies between them.

use hopmoor_standin::faults::Schedule;
use hopmoor_standin::history::History;
use hopmoor_world::fleet::{Run, Watch};

fn play(nodes: usize, seconds: f64, seed: u64, steps: &str) -> History {
    let text =
        format!(r#"{{"nodes":{nodes},"zones":3,"seconds":{seconds},"seed":{seed},"steps":[{steps}]}}"#);
    Run::new(Schedule::read(&text).unwrap(), Watch::default()).play()
}

/// Its middle value, and its greatest.
fn spread(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    (values[values.len() / 2], values[values.len() - 1])
}

#[test]
fn a_crash_is_seen_by_one_and_soon_by_all() {
    let runs: Vec<(f64, f64)> = (0..9)
        .map(|seed| {
            let history = play(30, 20.0, seed, r#"{"at":10,"fault":"kill","nodes":{"only":[7]}}"#);
            let (one, all) = history.end_detection_delays(7, 10.0);
            (one.unwrap(), all.unwrap())
        })
        .collect();
    let (one, all) =
        (spread(runs.iter().map(|run| run.0).collect()), spread(runs.iter().map(|run| run.1).collect()));
    assert!(one.0 <= 1.7 && all.0 <= 3.0, "by one {one:?}, by all {all:?}");
}

#[test]
fn thirty_that_join_at_once_through_one_seed_know_each_other() {
    let history = play(30, 15.0, 3, "");
    assert!(history.convergence_time(0.0).unwrap() < 8.0);
    assert_eq!(history.false_deaths(0.0), []);
}

#[test]
fn halves_of_a_fleet_find_each_other_again() {
    let cut = |some: &str| {
        format!(
            r#"{{"at":10,"fault":"link","from":{{"only":{some}}},"to":{{"but":{some}}},"both":true,
            "how":{{"cut":true}},"seconds":30}}"#
        )
    };
    for (seed, some) in [(1, "[0,1,2,3,4]"), (2, "[0,1,2,3,4,5,6,7,8,9,10,11,12,13,14]"), (3, "[29]")] {
        let history = play(30, 60.0, seed, &cut(some));
        let convergence_time = history.convergence_time(40.0);
        assert!(convergence_time.is_some_and(|after| after < 8.0), "{some}: {convergence_time:?}");
        // Nobody was held dead by its own half, not even while the halves found each other.
        assert_eq!(history.false_deaths(10.0), []);
    }
}

#[test]
fn losses_and_short_stops_kill_nobody() {
    let mut steps = vec![
        r#"{"at":5,"fault":"link","from":"all","to":"all","how":{"loss":0.1},"seconds":200}"#.to_owned(),
    ];
    for (at, node) in [(20, 1), (30, 7), (40, 13), (50, 1), (60, 22)] {
        steps.push(format!(r#"{{"at":{at},"fault":"stop","nodes":{{"only":[{node}]}},"seconds":0.95}}"#));
    }
    let history = play(30, 80.0, 5, &steps.join(","));
    assert_eq!(history.false_deaths(0.0), []);
    assert_eq!(history.needless_rejoins(0.0), []);
}

#[test]
fn one_that_was_stopped_for_long_blames_nobody_and_comes_back() {
    let history = play(10, 60.0, 2, r#"{"at":10,"fault":"stop","nodes":{"only":[4]},"seconds":30}"#);
    assert!(
        history.convergence_time(40.0).is_some_and(|after| after < 5.0),
        "{:?}",
        history.convergence_time(40.0)
    );
    let blamed = |seen: &&hopmoor_standin::history::Observation| {
        seen.node == 4 && seen.at > 40.0 && seen.states.iter().any(|(_, state)| state == "dead")
    };
    assert_eq!(history.seen.iter().find(blamed), None);
}

#[test]
fn a_leave_is_told_and_a_node_may_come_back_elsewhere() {
    let history = play(
        10,
        30.0,
        1,
        r#"{"at":10,"fault":"term","nodes":{"only":[3]}},{"at":20,"fault":"move","node":5}"#,
    );
    let (_, all) = history.end_detection_delays(3, 10.0);
    assert!(all.unwrap() < 1.5, "{all:?}");
    assert!(history.seen.iter().all(|seen| seen.states.get(&3).is_none_or(|state| state != "dead")));
    assert!(history.convergence_time(20.0).is_some_and(|after| after < 6.0));
}

#[test]
fn of_two_with_one_name_the_later_is_the_node() {
    let history = play(6, 30.0, 4, r#"{"at":10,"fault":"twin","node":2}"#);
    // The first one steps back: it is not ready any more.
    let last = history.seen.iter().rev().find(|seen| seen.node == 2).unwrap();
    assert_eq!(last.itself_ready, Some(false));
    let others = history.seen.iter().filter(|seen| seen.node != 2 && seen.at > 15.0);
    assert!(others.clone().count() > 100 && others.clone().all(|seen| seen.states[&2] == "alive"));
}

#[test]
fn keys_are_changed_in_the_midst_of_loss_without_a_split() {
    let history = play(
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
fn the_digest_tells_readiness() {
    let history = play(5, 20.0, 1, r#"{"at":10,"fault":"drain","nodes":{"only":[1]},"on":true}"#);
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

/// One that hears little and late, and one that gets a third of its time, doubt themselves and hold no healthy node dead.
#[test]
fn a_node_in_trouble_itself_blames_nobody() {
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
        let history = play(12, 35.0, seed, &steps.join(","));
        let blamed: Vec<_> =
            history.false_deaths(0.0).into_iter().filter(|(_, _, of)| *of != 4 && *of != 9).collect();
        assert_eq!(blamed, [], "seed {seed}");
    }
}
