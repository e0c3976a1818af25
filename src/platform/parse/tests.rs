use super::*;

const LINE: &str = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f,zz=1.5";

#[test]
fn a_first_line_goes_on_unchanged_except_for_d() {
    let Some(First::Open(open)) = first(LINE) else { panic!("not understood") };
    assert_eq!(open.field("c"), Some("chat"));
    assert_eq!(open.line(1_234), format!("{}\r\n", LINE.replace("2000", "1234")));
    assert_eq!(first("PING"), Some(First::Ping));
}

#[test]
fn malformed_first_lines_are_not_understood() {
    for line in [
        "",
        "OPEN",
        "OPEN a b",
        "OPEN a b ",
        "OPEN a b c",
        "OPEN a  b c=d",
        "PINGS",
        "open a b c=d",
        "OPEN a b c=d ",
    ] {
        assert_eq!(first(line), None, "{line}");
    }
}

#[test]
fn answers_and_reports_are_read() {
    assert_eq!(answer("UP 77"), (Answer::Up, None));
    assert_eq!(answer("UPS"), (Answer::Other, None));
    assert_eq!(answer("LOAD 12.5").0, Answer::Load(12.5));
    let (word, report) = answer("BYE inflight=7,queue=2,x0=0.61");
    assert_eq!((word, report.unwrap().load_over_capacity), (Answer::Bye, Some(0.61)));
    assert_eq!(answer("BUSY"), (Answer::Busy, None));
    assert_eq!(answer("SYNTAX").0, Answer::Other);
    assert_eq!(super::report("x0=nan").unwrap().report.load_over_capacity, None);
    let told = super::report("rif=24.7,lat_ms=183.3,x0=0.98").unwrap();
    assert_eq!(told.message_ms, Some(183.3), "the settings name it lat_ms");
    assert_eq!(millis("250.5"), Some(250.5));
    for bad in ["-2", "", "soon", "NaN", "inf", "1e9", "99999999999999999999999", "0x20", "2000 "] {
        assert_eq!(millis(bad), None, "{bad}");
    }
    assert_eq!(millis("4294967"), Some(4_294_967.0), "of a connection older than the run");
}
