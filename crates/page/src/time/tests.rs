use super::*;

#[test]
fn times_are_read_as_they_are_written() {
    let at = 1_796_126_590_123.0;
    assert_eq!(stamp(at), "2026-12-01T12:03:10.123Z");
    for text in ["2026-12-01T12:03:10.123Z", "12:03:10.123", "1796126590123"] {
        assert_eq!(read(text, at - 3_600_000.0), Ok(at), "{text}");
    }
    assert!(read("noon", at).unwrap_err().contains("noon"));
    assert_eq!(span(340.0), "340 ms");
    assert_eq!(span(200_400.0), "3 min 20 s");
}
