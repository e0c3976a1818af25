use super::*;
use proptest::prelude::*;

fn parse(text: &[u8]) -> Option<Result<Operation, RequestError>> {
    RequestParser::default().take(text)
}

#[test]
fn each_path_accepts_only_its_method() {
    for (path, method, operation) in ENDPOINTS {
        let call = |method: &str| format!("{method} {path} HTTP/1.1\r\nHost: n\r\n\r\n");
        assert_eq!(parse(call(method).as_bytes()), Some(Ok(operation)));
        let other = if method == "GET" { "PUT" } else { "GET" };
        assert_eq!(parse(call(other).as_bytes()), Some(Err(RequestError::MethodNotAllowed(method))));
    }
    assert_eq!(parse(b"GET /-/reddy HTTP/1.1\r\n\r\n"), Some(Err(RequestError::NotFound)));
    assert_eq!(parse(b"GET /-/ready?a=1 HTTP/1.0\r\n\r\n"), Some(Ok(Operation::Ready)));
    let budget = parse(b"PUT /-/budget?most=25%25&zone=a%20b HTTP/1.1\r\n\r\n");
    assert_eq!(budget, Some(Ok(Operation::Budget(Scope::Zone("a b".into()), BudgetLimit::Percent(25)))));
    for bad in ["most=101%25", "most=-1", "zone=a", "most=1&zone=", "most=1&pool=x", "most=%ff"] {
        let call = format!("PUT /-/budget?{bad} HTTP/1.1\r\n\r\n");
        assert!(matches!(parse(call.as_bytes()), Some(Err(RequestError::InvalidQuery(_)))), "{bad}");
    }
    assert_eq!(parse(b"\x16\x03\x01\x00\r\n\r\n"), Some(Err(RequestError::Malformed)));
    assert_eq!(parse(b"GET /-/ready HTTP/1.1\r\nHost"), None);
    let long = format!("GET /-/ready HTTP/1.1\r\nX: {}", "a".repeat(MAX_HEAD_BYTES));
    assert_eq!(parse(long.as_bytes()), Some(Err(RequestError::HeadTooLong)));
    assert_eq!(parse(format!("{long}\r\n\r\n").as_bytes()), Some(Err(RequestError::HeadTooLong)));
    let many = format!("GET /-/ready HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(MAX_HEADER_FIELDS + 1));
    assert_eq!(parse(many.as_bytes()), Some(Err(RequestError::HeadTooLong)));
}

#[test]
fn metrics_carry_the_names_of_the_classes() {
    let counts = ClassCounts { served: 812, refused: 2, failed: 1, attempts: 900 };
    let stats = Stats { classes: vec![counts], in_flight: 14, hosts_known: 9, hosts_excluded: 1 };
    let text = format_metrics(&["chat".into()], &stats);
    assert_eq!(
        text,
        "node.requests.chat.served=812\nnode.requests.chat.refused=2\nnode.requests.chat.failed=1\n\
         node.requests.chat.attempts=900\nnode.in_flight=14\nnode.hosts_known=9\nnode.hosts_excluded=1\n"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// A request parses to the same result however its bytes are split into reads, and arbitrary bytes give
    /// an error and no panic.
    #[test]
    fn a_request_parses_the_same_however_it_is_split(
        call in prop_oneof![
            "(GET|PUT|POST) /-/(ready|metrics|drain|resume|x) HTTP/1\\.[01]\r\n(A: b\r\n){0,3}\r\n".prop_map(String::into_bytes),
            prop::collection::vec(any::<u8>(), 0..200),
        ],
        cuts in prop::collection::vec(1usize..20, 1..200),
    ) {
        let wanted = parse(&call);
        let (mut pieces, mut rest, mut found) = (RequestParser::default(), &call[..], None);
        for cut in cuts.iter().cycle().take(call.len()) {
            let (piece, more) = rest.split_at((*cut).min(rest.len()));
            rest = more;
            found = pieces.take(piece);
            if found.is_some() || rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(found, wanted);
    }
}
