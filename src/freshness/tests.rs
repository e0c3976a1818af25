use super::*;

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
