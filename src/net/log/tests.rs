use super::*;

#[test]
fn lines_are_held_to_a_rate_and_counted() {
    let mut gate = Gate::default();
    let passed = (0..500).filter(|_| gate.pass(5_000.0).0).count();
    assert_eq!(passed, A_SECOND as usize);
    assert_eq!(gate.pass(6_000.0), (true, 480));
    assert_eq!(gate.pass(6_001.0), (true, 0));
}
