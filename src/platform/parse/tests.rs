use super::*;

const LINE: &str = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f,zz=1.5";

#[test]
fn first_line_is_forwarded_unchanged_except_for_d() {
    let Some(ClientLine::Open(open)) = client_line(LINE) else { panic!("OPEN line did not parse") };
    assert_eq!(open.field("c"), Some("chat"));
    assert_eq!(open.forwarded(1_234), format!("{}\r\n", LINE.replace("2000", "1234")));
    assert_eq!(client_line("PING"), Some(ClientLine::Ping));
}

#[test]
fn malformed_first_lines_do_not_parse() {
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
        assert_eq!(client_line(line), None, "{line}");
    }
}

#[test]
fn member_lines_load_reports_and_deadlines_parse() {
    assert_eq!(member_line("UP 77"), (MemberLine::Up, None));
    assert_eq!(member_line("UPS"), (MemberLine::Other, None));
    assert_eq!(member_line("LOAD 12.5").0, MemberLine::Load(12.5));
    let (kind, report) = member_line("BYE inflight=7,queue=2,x0=0.61");
    assert_eq!((kind, report.unwrap().load_over_capacity), (MemberLine::Bye, Some(0.61)));
    assert_eq!(member_line("BUSY"), (MemberLine::Busy, None));
    assert_eq!(member_line("SYNTAX").0, MemberLine::Other);
    assert_eq!(super::load_report("x0=nan").unwrap().report.load_over_capacity, None);
    let parsed = super::load_report("rif=24.7,lat_ms=183.3,x0=0.98").unwrap();
    assert_eq!(parsed.message_ms, Some(183.3), "lat_ms, the field's name in the settings, is read too");
    assert_eq!(deadline_ms("250.5"), Some(250.5));
    for bad in ["-2", "", "soon", "NaN", "inf", "1e9", "99999999999999999999999", "0x20", "2000 "] {
        assert_eq!(deadline_ms(bad), None, "{bad}");
    }
    assert_eq!(
        deadline_ms("4294967"),
        Some(4_294_967.0),
        "stated for a connection established before the node started"
    );
}
