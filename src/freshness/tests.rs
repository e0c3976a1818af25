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
    #[test]
    fn only_a_whole_response_undoes_a_lost_one(steps in prop::collection::vec(step(), 1..60)) {
        let grace = 750.0;
        let mut lease = Lease::none(grace);
        let (mut now, mut lost, mut informed) = (0.0, None::<Millis>, Millis::NEG_INFINITY);
        for (pause, step) in steps {
            now += pause;
            match step {
                Step::Responded(ago) => {
                    lease.renew(now - ago);
                    (lost, informed) = (None, informed.max(now - ago));
                }
                Step::Lost(ago) => {
                    lease.answer_invalid(now - ago);
                    lost = Some(lost.map_or(now - ago, |first| first.min(now - ago)));
                }
                Step::Failed(failure) => {
                    lease.discovery_call_failed(now, failure);
                    if failure == CallFailure::Down {
                        informed = now;
                    }
                }
                Step::DiscoveryChanged => lease.discovery_changed(now),
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
