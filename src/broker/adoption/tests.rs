//! Connections from before the run, at each crossing with the list, their member and the node's end.
use super::super::tests::{Bench, ask, list, member, opened};
use super::*;

fn standing(bench: &mut Bench, holder: &str, grace_ms: Millis) -> TransactionId {
    bench.open(ClientRequest { adopted: Some(holder.into()), grace_ms, ..ask() })
}

fn up(bench: &mut Bench, id: TransactionId) {
    bench.on_front_event(id, FrontEvent::Connected);
    bench.on_front_event(id, FrontEvent::Sent);
    bench.on_front_event(id, FrontEvent::Up);
}

#[test]
fn it_waits_for_the_list_that_names_its_member() {
    let mut bench = Bench::new(&["a", "b"]);
    let id = standing(&mut bench, "z", 40_000.0);
    bench.run(2_000.0);
    assert_eq!(opened(&bench.commands(id)), Vec::<String>::new());
    bench.list(list(false, vec![member("z", Phase::Serving)]));
    assert_eq!(opened(&bench.commands(id)), ["z"]);
    up(&mut bench, id);
    assert_eq!((bench.answers(id), bench.broker.counters().adopted), (0, 1));
}

/// Lists that come in parts, none of them with its member, decide nothing.
#[test]
fn lists_without_its_member_decide_nothing_before_any_change_is_told() {
    let mut bench = Bench::new(&["a"]);
    let id = standing(&mut bench, "z", 40_000.0);
    for (at, name) in ["b", "c", "d", "e"].iter().enumerate() {
        bench.run(1_000.0 * (at + 1) as f64);
        bench.list(list(false, vec![member(name, Phase::Serving)]));
    }
    assert_eq!(opened(&bench.commands(id)), Vec::<String>::new());
    bench.run(6_100.0);
    assert_eq!(opened(&bench.commands(id)).len(), 1, "a member that is never listed has lost it");
    up(&mut bench, id);
    assert_eq!(bench.answers(id), 0);
}

#[test]
fn a_member_that_drains_takes_up_what_it_held_and_sends_it_on_in_its_turn() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.list(list(false, vec![member("b", Phase::Draining)]));
    bench.run(6_000.0);
    let id = standing(&mut bench, "b", 40_000.0);
    assert_eq!(opened(&bench.commands(id)), ["b"]);
    up(&mut bench, id);
    bench.run(12_000.0);
    assert!(bench.commands(id).contains(&Command::Move), "moved before its member leaves");
}

#[test]
fn it_stays_with_a_member_that_begins_to_drain_before_the_line_is_written() {
    let mut bench = Bench::new(&["a", "b"]);
    let id = standing(&mut bench, "b", 40_000.0);
    bench.list(list(false, vec![member("b", Phase::Draining)]));
    up(&mut bench, id);
    assert_eq!((opened(&bench.commands(id)), bench.answers(id)), (vec!["b".to_owned()], 0));
}

#[test]
fn it_is_placed_like_a_new_one_once_its_member_is_gone() {
    let mut bench = Bench::new(&["a", "b"]);
    let id = standing(&mut bench, "b", 40_000.0);
    bench.list(list(false, vec![member("b", Phase::Gone)]));
    bench.run(600.0);
    assert_eq!(opened(&bench.commands(id)), ["b", "a"]);
    up(&mut bench, id);
    assert_eq!(bench.answers(id), 0);
}

/// A member that accepts late, or does not listen for a while: connections that never came up are no attempts.
#[test]
fn it_is_tried_while_no_connection_comes_up() {
    let mut bench = Bench::new(&["a", "b"]);
    let id = standing(&mut bench, "b", 40_000.0);
    for at in 1..20 {
        bench.run(f64::from(at) * 1_000.0);
        bench.on_front_event(id, FrontEvent::Ended(Outcome::Unreachable, None));
    }
    bench.run(22_500.0);
    assert!(opened(&bench.commands(id)).len() > 6);
    up(&mut bench, id);
    assert_eq!(bench.answers(id), 0);
}

/// Six attempts in all, spread over much of the time that such a client has.
#[test]
fn a_member_that_is_full_is_asked_six_times_in_half_a_minute() {
    let mut bench = Bench::new(&["a", "b"]);
    let id = standing(&mut bench, "b", 60_000.0);
    let mut asked = Vec::new();
    for at in 0..600 {
        bench.run(f64::from(at) * 100.0);
        if opened(&bench.commands(id)).len() > asked.len() {
            asked.push(bench.now);
            bench.on_front_event(id, FrontEvent::Connected);
            bench.on_front_event(id, FrontEvent::Sent);
            bench.on_front_event(id, FrontEvent::Ended(Outcome::Full, None));
        }
    }
    assert_eq!((asked.len(), bench.answers(id)), (6, 1));
    assert!(asked[5] > 20_000.0 && asked[5] < 38_000.0, "{asked:?}");
}

#[test]
fn one_that_waits_as_the_node_ends_has_its_answer() {
    let mut bench = Bench::new(&["a"]);
    let id = standing(&mut bench, "z", 4_294_967.0);
    bench.run(500.0);
    let over = bench.broker.leave(bench.now);
    bench.run(500.0 + over);
    assert_eq!(bench.answers(id), 1);
}

/// A lease that an outage renews says nothing of who is not on the list that the process was started with.
#[test]
fn an_outage_of_discovery_decides_nothing_about_a_member_that_was_not_known() {
    let mut bench = Bench::new(&["a"]);
    bench.broker.enable_list_lease(750.0);
    let id = standing(&mut bench, "z", 40_000.0);
    for second in 1..15 {
        bench.run(1_000.0 * f64::from(second));
        bench.broker.discovery_call_failed(bench.now, CallFailure::Down);
    }
    assert_eq!(opened(&bench.commands(id)), Vec::<String>::new());
    bench.list(list(true, vec![member("a", Phase::Serving), member("z", Phase::Serving)]));
    assert_eq!(opened(&bench.commands(id)), ["z"]);
}
