use super::*;

#[test]
fn a_list_holds_from_an_answer_until_a_change_would_count_as_told() {
    let mut lease = Lease::none(750.0);
    assert!(!lease.is_valid(0.0), "the list that a process starts with may be of any age");
    lease.renew(1_000.0);
    assert!(lease.is_valid(7_490.0) && !lease.is_valid(7_500.0));
    lease.renew(7_600.0);
    assert!(lease.is_valid(8_000.0));
}

#[test]
fn a_list_holds_while_discovery_is_down_and_not_while_it_is_crowded() {
    let mut lease = Lease::none(750.0);
    lease.discovery_call_failed(0.0, CallFailure::Unanswered);
    assert!(!lease.is_valid(0.0));
    lease.discovery_call_failed(2_000.0, CallFailure::Down);
    assert!(lease.is_valid(8_000.0) && !lease.is_valid(8_500.0));
}

/// Guards against sends by a list that an answer has overtaken which came cut: what it told counts as told as it was written.
#[test]
fn a_list_holds_only_for_the_grace_once_an_answer_came_spoilt() {
    let mut lease = Lease::none(750.0);
    lease.renew(1_000.0);
    lease.answer_invalid(2_000.0);
    assert!(lease.is_valid(2_450.0) && !lease.is_valid(2_500.0));
    lease.renew(2_600.0);
    assert!(lease.is_valid(9_000.0));
}

#[test]
fn a_list_that_does_not_come_from_discovery_always_holds() {
    assert!(Lease::unlimited().is_valid(1e15));
}
