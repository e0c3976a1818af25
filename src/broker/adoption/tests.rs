//! Adoption of connections from before the process start, as lists, members and shutdown interleave with it.
use super::super::tests::{Harness, has_move, list, member, opened, request};
use super::*;

fn adopting(harness: &mut Harness, holder: &str, grace_ms: Millis) -> TransactionId {
    harness.open(ClientRequest { adopted: Some(holder.into()), grace_ms, ..request() })
}

fn establish(harness: &mut Harness, id: TransactionId) {
    harness.on_front_event(id, FrontEvent::Connected);
    harness.on_front_event(id, FrontEvent::Sent);
    harness.on_front_event(id, FrontEvent::Up);
}

#[test]
fn an_adoption_waits_for_a_list_that_names_its_member() {
    let mut harness = Harness::new(&["a", "b"]);
    let id = adopting(&mut harness, "z", 40_000.0);
    harness.run(2_000.0);
    assert_eq!(opened(&harness.commands(id)), Vec::<String>::new());
    harness.list(list(false, vec![member("z", Phase::Serving)]));
    assert_eq!(opened(&harness.commands(id)), ["z"]);
    establish(&mut harness, id);
    assert_eq!((harness.answers(id), harness.broker.counters().adopted), (0, 1));
}

/// Discovery may announce the members in several partial lists; one without the holder decides nothing.
#[test]
fn lists_without_the_holder_decide_nothing_until_every_change_must_be_known() {
    let mut harness = Harness::new(&["a"]);
    let id = adopting(&mut harness, "z", 40_000.0);
    for (at, name) in ["b", "c", "d", "e"].iter().enumerate() {
        harness.run(1_000.0 * (at + 1) as f64);
        harness.list(list(false, vec![member(name, Phase::Serving)]));
    }
    assert_eq!(opened(&harness.commands(id)), Vec::<String>::new());
    harness.run(6_100.0);
    assert_eq!(
        opened(&harness.commands(id)).len(),
        1,
        "a member that is never listed has lost the connection"
    );
    establish(&mut harness, id);
    assert_eq!(harness.answers(id), 0);
}

#[test]
fn a_draining_member_adopts_what_it_held_and_the_client_is_moved_later() {
    let mut harness = Harness::new(&["a", "b"]);
    harness.list(list(false, vec![member("b", Phase::Draining)]));
    harness.run(6_000.0);
    let id = adopting(&mut harness, "b", 40_000.0);
    assert_eq!(opened(&harness.commands(id)), ["b"]);
    establish(&mut harness, id);
    harness.run(12_000.0);
    assert!(has_move(&harness.commands(id)), "moved before its member leaves");
}

#[test]
fn an_adoption_stays_with_a_member_that_starts_to_drain_before_the_line_is_written() {
    let mut harness = Harness::new(&["a", "b"]);
    let id = adopting(&mut harness, "b", 40_000.0);
    harness.list(list(false, vec![member("b", Phase::Draining)]));
    establish(&mut harness, id);
    assert_eq!((opened(&harness.commands(id)), harness.answers(id)), (vec!["b".to_owned()], 0));
}

#[test]
fn a_connection_whose_member_is_gone_is_placed_like_a_new_request() {
    let mut harness = Harness::new(&["a", "b"]);
    let id = adopting(&mut harness, "b", 40_000.0);
    harness.list(list(false, vec![member("b", Phase::Gone)]));
    harness.run(600.0);
    assert_eq!(opened(&harness.commands(id)), ["b", "a"]);
    establish(&mut harness, id);
    assert_eq!(harness.answers(id), 0);
}

/// A member may start to listen late or pause: failed connects do not count as attempts.
#[test]
fn failed_connects_do_not_exhaust_the_attempts_of_an_adoption() {
    let mut harness = Harness::new(&["a", "b"]);
    let id = adopting(&mut harness, "b", 40_000.0);
    for at in 1..20 {
        harness.run(f64::from(at) * 1_000.0);
        harness.on_front_event(id, FrontEvent::Ended(Outcome::Unreachable, None));
    }
    harness.run(22_500.0);
    assert!(opened(&harness.commands(id)).len() > 6);
    establish(&mut harness, id);
    assert_eq!(harness.answers(id), 0);
}

/// The six attempts are spread over much of the long deadline that such a client has.
#[test]
fn a_full_member_is_tried_six_times_over_about_half_a_minute() {
    let mut harness = Harness::new(&["a", "b"]);
    let id = adopting(&mut harness, "b", 60_000.0);
    let mut tried_at = Vec::new();
    for at in 0..600 {
        harness.run(f64::from(at) * 100.0);
        if opened(&harness.commands(id)).len() > tried_at.len() {
            tried_at.push(harness.now);
            harness.on_front_event(id, FrontEvent::Connected);
            harness.on_front_event(id, FrontEvent::Sent);
            harness.on_front_event(id, FrontEvent::Ended(Outcome::Full, None));
        }
    }
    assert_eq!((tried_at.len(), harness.answers(id)), (6, 1));
    assert!(tried_at[5] > 20_000.0 && tried_at[5] < 38_000.0, "{tried_at:?}");
}

#[test]
fn an_adoption_that_waits_at_shutdown_is_answered() {
    let mut harness = Harness::new(&["a"]);
    let id = adopting(&mut harness, "z", 4_294_967.0);
    harness.run(500.0);
    let exit_by = harness.broker.leave(harness.now);
    harness.run(500.0 + exit_by);
    assert_eq!(harness.answers(id), 1);
}

/// During an outage of discovery the lease is renewed without a new list. The list from the start of the
/// process must not be taken as proof that an unlisted member is gone.
#[test]
fn an_outage_of_discovery_does_not_prove_an_unlisted_member_gone() {
    let mut harness = Harness::new(&["a"]);
    harness.broker.enable_list_lease(750.0);
    let id = adopting(&mut harness, "z", 40_000.0);
    for second in 1..15 {
        harness.run(1_000.0 * f64::from(second));
        harness.broker.discovery_call_failed(harness.now, CallFailure::Down);
    }
    assert_eq!(opened(&harness.commands(id)), Vec::<String>::new());
    harness.list(list(true, vec![member("a", Phase::Serving), member("z", Phase::Serving)]));
    assert_eq!(opened(&harness.commands(id)), ["z"]);
}
