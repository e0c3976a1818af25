use super::*;

#[test]
fn what_is_spread_is_found_again_also_after_doubling() {
    let mut scale = Scale::new(1_000.0, 100.0);
    let mut series = Curve::default();
    series.spread(&scale, 1_050.0, 1_950.0, 2.0);
    assert!((series.sum() - 1_800.0).abs() < 1.0);
    assert!((series.between(&scale, 1_100.0, 1_200.0) - 200.0).abs() < 0.1);
    assert!((series.between(&scale, 1_100.0, 1_250.0) - 300.0).abs() < 0.1);
    let doubled = scale.reach(1_000.0 + 100.0 * 5_000.0);
    series.double(doubled);
    assert_eq!((doubled, scale.step), (1, 200.0));
    assert!((series.sum() - 1_800.0).abs() < 1.0);
    assert!((series.between(&scale, 1_200.0, 1_400.0) - 400.0).abs() < 0.1);
}

#[test]
fn memory_is_bounded_whatever_the_time() {
    let mut scale = Scale::new(0.0, 1.0);
    let mut series = Curve::default();
    for at in [5.0, 1e6, 1e9, 1e15] {
        let doubled = scale.reach(at);
        series.double(doubled);
        series.count(&scale, at, 1.0);
    }
    assert!(series.values.len() <= MOST && series.sum() == 4.0);
}
