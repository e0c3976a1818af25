use super::*;

#[test]
fn a_dead_node_counts_in_full_and_then_fades() {
    assert_eq!(weight(0), 1.0);
    assert_eq!(weight(FULL_WEIGHT_MS), 1.0);
    assert_eq!(weight(FULL_WEIGHT_MS + FADE_MS / 2), 0.5);
    assert_eq!(weight(FULL_WEIGHT_MS + 2 * FADE_MS), 0.0);
}
