use super::*;

#[test]
fn a_lost_node_counts_in_full_and_then_fades() {
    assert_eq!(counts(0), 1.0);
    assert_eq!(counts(FULL_MS), 1.0);
    assert_eq!(counts(FULL_MS + FADE_MS / 2), 0.5);
    assert_eq!(counts(FULL_MS + 2 * FADE_MS), 0.0);
}
