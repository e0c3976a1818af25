use super::*;
use proptest::prelude::*;

#[test]
fn a_lease_is_valid_from_a_response_until_a_change_would_count_as_known() {
    let mut lease = Lease::none(750.0);
    assert!(!lease.is_valid(0.0), "the list that a process starts with may be of any age");
    lease.renew(1_000.0);
    assert!(lease.is_valid(7_490.0) && !lease.is_valid(7_500.0));
    lease.renew(7_600.0);
    assert!(lease.is_valid(8_000.0));
}

#[test]
fn a_lease_is_renewed_while_discovery_is_down_but_not_while_it_is_overloaded() {
    let mut lease = Lease::none(750.0);
    lease.discovery_call_failed(0.0, CallFailure::Unanswered);
    assert!(!lease.is_valid(0.0));
    lease.discovery_call_failed(2_000.0, CallFailure::Down);
    assert!(lease.is_valid(8_000.0) && !lease.is_valid(8_500.0));
}

/// Guards against sending by a list that a truncated response has superseded: the changes in the response
/// count as known from when they were written.
#[test]
fn a_lease_is_valid_only_for_the_grace_after_an_invalid_response_began() {
    let mut lease = Lease::none(750.0);
    lease.renew(1_000.0);
    lease.answer_invalid(2_000.0);
    assert!(lease.is_valid(2_450.0) && !lease.is_valid(2_500.0));
    lease.renew(2_600.0);
    assert!(lease.is_valid(9_000.0));
}

/// Guards against a refusal after a wait in the queue of a crowded discovery that is taken for an outage (review
/// case 9), and against an outage that is not noticed.
#[test]
fn a_failed_call_shows_an_outage_only_if_it_was_too_short_for_the_queue() {
    use CallEnd::*;
    use CallFailure::*;
    for (end, waited_ms, is_watch, failure) in [
        (Refused, 5.0, false, Down),
        (Refused, 2_000.0, false, Unanswered),
        (Refused, 1_500.0, true, Down),
        (Refused, 2_000.0, true, Unanswered),
        (Broken, 5.0, false, Down),
        (Broken, 2_000.0, false, Unanswered),
        (Broken, 1_500.0, true, WatchEnded),
        (Broken, 2_000.0, true, Unanswered),
    ] {
        let classified = CallFailure::of_call(end, waited_ms, is_watch);
        assert_eq!(classified, failure, "{end:?} after {waited_ms} ms, watch: {is_watch}");
    }
}

/// Guards against a crowd after an outage that is taken for the outage (review case 9): from a sign that
/// discovery went down, calls without a response extend the lease by 2 s at most, however many there are.
#[test]
fn calls_that_fail_after_an_outage_began_extend_the_lease_only_once() {
    let mut lease = Lease::none(750.0);
    lease.renew(0.0);
    lease.discovery_call_failed(1_000.0, CallFailure::WatchEnded);
    assert!(!lease.is_valid(6_500.0), "a watch may end with its connection");
    for second in 2..=60 {
        lease.discovery_call_failed(1_000.0 * f64::from(second), CallFailure::Unanswered);
    }
    assert!(lease.is_valid(9_490.0) && !lease.is_valid(9_500.0));
    lease.renew(70_000.0);
    lease.discovery_call_failed(71_000.0, CallFailure::Unanswered);
    assert!(lease.is_valid(76_490.0) && !lease.is_valid(76_500.0), "the response ended the outage");
}

#[test]
fn a_lease_on_a_list_from_elsewhere_never_expires() {
    assert!(Lease::unlimited().is_valid(1e15));
}

/// Guards against sending by a superseded list during an outage: the refused calls that follow the lost
/// response renewed the lease (review case 2).
#[test]
fn an_outage_does_not_renew_a_lease_that_a_lost_response_has_ended() {
    for failure in [CallFailure::Down, CallFailure::Unanswered] {
        let mut lease = Lease::none(750.0);
        lease.renew(1_000.0);
        lease.answer_invalid(2_000.0);
        lease.discovery_call_failed(2_001.0, failure);
        assert!(lease.is_valid(2_450.0) && !lease.is_valid(2_500.0));
        lease.discovery_call_failed(4_000.0, failure);
        lease.discovery_changed(5_000.0);
        assert!(!lease.is_valid(5_000.0));
        lease.renew(9_000.0);
        assert!(lease.is_valid(9_000.0));
    }
}

/// A plain outage, in which no response was on its way, keeps the list in use for as long as it lasts.
#[test]
fn a_plain_outage_keeps_the_lease_valid() {
    let mut lease = Lease::none(750.0);
    lease.renew(0.0);
    for second in 1..=60 {
        let now = 1_000.0 * f64::from(second);
        assert!(lease.is_valid(now));
        lease.discovery_call_failed(now, CallFailure::Down);
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A whole response to a call made so long ago.
    Responded(Millis),
    /// A response that began so long ago was cut off, stalled or is invalid.
    Lost(Millis),
    Failed(CallFailure),
    DiscoveryChanged,
}

fn step() -> impl Strategy<Value = (Millis, Step)> {
    let step = prop_oneof![
        2 => (0.0..2_000.0).prop_map(Step::Responded),
        2 => (0.0..2_000.0).prop_map(Step::Lost),
        3 => Just(Step::Failed(CallFailure::Down)),
        1 => Just(Step::Failed(CallFailure::WatchEnded)),
        2 => Just(Step::Failed(CallFailure::Unanswered)),
        1 => Just(Step::DiscoveryChanged),
    ];
    (0.0..4_000.0, step)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(48),
        ..ProptestConfig::default()
    })]

    /// In any order of events: after a response was lost the list is used for the grace at most, until a
    /// whole response arrives; and without signs of an outage no longer than a change takes to count as known.
    /// An outage lasts for 2 s at least from the first sign since a response.
    #[test]
    fn only_a_whole_response_undoes_a_lost_one(steps in prop::collection::vec(step(), 1..60)) {
        let grace = 750.0;
        let mut lease = Lease::none(grace);
        let (mut now, mut lost, mut informed) = (0.0, None::<Millis>, Millis::NEG_INFINITY);
        let mut is_down = false;
        for (pause, step) in steps {
            now += pause;
            match step {
                Step::Responded(ago) => {
                    lease.renew(now - ago);
                    (lost, informed) = (None, informed.max(now - ago));
                    is_down = false;
                }
                Step::Lost(ago) => {
                    lease.answer_invalid(now - ago);
                    lost = Some(lost.map_or(now - ago, |first| first.min(now - ago)));
                }
                Step::Failed(failure) => {
                    lease.discovery_call_failed(now, failure);
                    if failure == CallFailure::Down {
                        informed = informed.max(now);
                    }
                    if failure != CallFailure::Unanswered && !std::mem::replace(&mut is_down, true) {
                        informed = informed.max(now + 2_000.0);
                    }
                }
                Step::DiscoveryChanged => {
                    lease.discovery_changed(now);
                    is_down = false;
                }
            }
            for later in [0.0, 100.0, grace, CHANGE_KNOWN_AFTER_MS, CHANGE_KNOWN_AFTER_MS + grace] {
                let at = now + later;
                let allowed = lost.is_none_or(|began| at < began + grace)
                    && at < informed + CHANGE_KNOWN_AFTER_MS + grace;
                prop_assert!(allowed || !lease.is_valid(at), "valid at {} after {:?}", at, step);
            }
        }
    }
}
