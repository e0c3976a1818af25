use super::*;

#[test]
fn ticks_are_few_and_on_whole_units() {
    for span in [3_000.0, 600_000.0, 3_600_000.0, 86_400_000.0 * 9.0] {
        let axis = TimeAxis { from: 1_790_000_000_123.0, until: 1_790_000_000_123.0 + span };
        let ticks = axis.ticks();
        assert!((2..=11).contains(&ticks.len()), "{span}: {ticks:?}");
        assert!(ticks.iter().all(|at| *at >= axis.from && *at <= axis.until && at % 1_000.0 == 0.0));
    }
    let empty = TimeAxis { from: 5.0, until: 5.0 };
    assert!(empty.x(9.0).is_finite() && empty.ticks().len() < 21);
}

#[test]
fn long_curves_are_downsampled() {
    let values: Vec<f32> = (0..100_000).map(|n| n as f32).collect();
    let axis = TimeAxis { from: 0.0, until: 1e8 };
    assert!(curve_path(&values, &axis, 1_000.0, |value| value).len() < 20_000);
    assert_eq!(round_up(0.0), 1.0);
    assert_eq!(round_up(42.0), 50.0);
}
