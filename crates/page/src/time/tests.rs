use super::*;

#[test]
fn formatted_times_are_parsed_back() {
    let at = 1_796_126_590_123.0;
    assert_eq!(rfc3339(at), "2026-12-01T12:03:10.123Z");
    for text in ["2026-12-01T12:03:10.123Z", "12:03:10.123", "1796126590123"] {
        assert_eq!(parse(text, at - 3_600_000.0), Ok(at), "{text}");
    }
    assert!(parse("noon", at).unwrap_err().contains("noon"));
    assert_eq!(duration(340.0), "340 ms");
    assert_eq!(duration(200_400.0), "3 min 20 s");
}
