use super::*;

#[test]
fn slow_messages_are_notified_once_a_second_and_once_when_fast_again() {
    let mut delays = MessageDelays::new(true, 60.0);
    let member = BackendId(1);
    assert_eq!(delays.measured(0.0, member, 19.0), None);
    assert_eq!(delays.measured(10.0, member, 21.0), Some(21.0));
    assert_eq!(delays.measured(900.0, member, 30.0), None);
    assert_eq!(delays.measured(1_010.0, member, 30.0), Some(30.0));
    assert_eq!(delays.measured(1_020.0, member, 2.0), Some(2.0));
    assert_eq!(delays.measured(1_030.0, member, 2.0), None);
    assert_eq!(MessageDelays::new(false, 60.0).measured(0.0, member, 500.0), None);
}

#[test]
fn members_with_fast_messages_are_probed_half_as_often() {
    let mut delays = MessageDelays::new(true, 60.0);
    let (fast, slow) = (BackendId(1), BackendId(2));
    assert!(delays.probe_due(0.0, fast));
    delays.reported(0.0, fast, 9.0);
    delays.reported(0.0, slow, 11.0);
    assert!(!delays.probe_due(200.0, slow) && delays.probe_due(1_000.0, slow));
    assert!(!delays.probe_due(1_000.0, fast) && delays.probe_due(2_000.0, fast));
}

/// Guards against fast replies to lines that mask the delay reported by the member itself.
#[test]
fn a_fast_reply_does_not_override_a_recent_slow_report() {
    let mut delays = MessageDelays::new(true, 50.0);
    let member = BackendId(1);
    assert_eq!(delays.reported(0.0, member, 183.0), Some(183.0));
    assert_eq!(delays.measured(100.0, member, 0.05), None);
    assert_eq!(delays.measured(1_100.0, member, 0.05), Some(183.0));
    assert_eq!(delays.measured(5_100.0, member, 0.05), Some(0.05), "the report has expired");
    assert_eq!(delays.reported(5_200.0, member, 183.0), Some(183.0));
    assert_eq!(delays.reported(5_300.0, member, 1.0), Some(1.0));
}
