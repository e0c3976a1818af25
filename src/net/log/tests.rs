use super::*;

#[test]
fn lines_over_the_rate_are_suppressed_and_counted() {
    let mut limit = LogRateLimit::default();
    let written = (0..500).filter(|_| limit.allow(5_000.0).0).count();
    assert_eq!(written, MAX_LINES_PER_SECOND as usize);
    assert_eq!(limit.allow(6_000.0), (true, 480));
    assert_eq!(limit.allow(6_001.0), (true, 0));
}
