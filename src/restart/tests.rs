use super::*;

#[test]
fn a_part_is_restarted_at_once_and_then_with_a_delay() {
    let mut history = FailureHistory::default();
    assert_eq!(history.failed(0.0), Restart { delay_ms: 0.0, keeps_failing: false });
    assert_eq!(history.failed(1.0), Restart { delay_ms: 100.0, keeps_failing: false });
    assert_eq!(history.failed(101.0), Restart { delay_ms: 100.0, keeps_failing: true });
    assert!((0..1_000).all(|nth| history.failed(201.0 + 100.0 * f64::from(nth)).keeps_failing));
    assert!(history.recent.len() <= MAX_FAILURES);
}

#[test]
fn failures_long_ago_do_not_count() {
    let mut history = FailureHistory::default();
    for nth in 0..100 {
        let at = f64::from(nth) * FAILURE_WINDOW_MS;
        assert_eq!(history.failed(at), Restart { delay_ms: 0.0, keeps_failing: false });
    }
}
