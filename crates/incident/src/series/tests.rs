use super::*;

#[test]
fn sums_stay_the_same_when_the_step_doubles() {
    let mut scale = Scale::new(1_000.0, 100.0);
    let mut series = TimeSeries::default();
    series.add_rate(&scale, 1_050.0, 1_950.0, 2.0);
    assert!((series.sum() - 1_800.0).abs() < 1.0);
    assert!((series.sum_between(&scale, 1_100.0, 1_200.0) - 200.0).abs() < 0.1);
    assert!((series.sum_between(&scale, 1_100.0, 1_250.0) - 300.0).abs() < 0.1);
    let doubled = scale.extend_to(1_000.0 + 100.0 * 5_000.0);
    series.double_steps(doubled);
    assert_eq!((doubled, scale.step_ms), (1, 200.0));
    assert!((series.sum() - 1_800.0).abs() < 1.0);
    assert!((series.sum_between(&scale, 1_200.0, 1_400.0) - 400.0).abs() < 0.1);
}

#[test]
fn memory_is_bounded_for_any_time() {
    let mut scale = Scale::new(0.0, 1.0);
    let mut series = TimeSeries::default();
    for at in [5.0, 1e6, 1e9, 1e15] {
        let doubled = scale.extend_to(at);
        series.double_steps(doubled);
        series.add(&scale, at, 1.0);
    }
    assert!(series.values.len() <= MAX_STEPS && series.sum() == 4.0);
}
