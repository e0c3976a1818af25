use super::*;

#[test]
fn load_report_is_read_after_pong_or_from_the_next_line() {
    let x0 = |answer: &str| {
        let mut probe = Probe::default();
        let found = answer.as_bytes().chunks(3).find_map(|part| probe.take(part));
        found.map(|(outcome, report)| (outcome, report.and_then(|r| r.report.load_over_capacity)))
    };
    assert_eq!(x0("PONG inflight=7,latency_ms=2,x0=0.5\r\n"), Some((Outcome::Ok, Some(0.5))));
    assert_eq!(x0("PONG\r\ninflight=7,latency_ms=2,x0=0.5\r\n"), Some((Outcome::Ok, Some(0.5))));
    assert_eq!(x0("ERR\r\n"), Some((Outcome::Error, None)));
    assert_eq!(x0("PONG\r\n"), None);
}
