use super::*;
use proptest::prelude::*;

fn whole(text: &[u8]) -> Option<Result<Ask, Refused>> {
    Call::default().take(text)
}

#[test]
fn each_place_takes_its_method_alone() {
    for (place, method, ask) in PLACES {
        let call = |method: &str| format!("{method} {place} HTTP/1.1\r\nHost: n\r\n\r\n");
        assert_eq!(whole(call(method).as_bytes()), Some(Ok(ask)));
        let other = if method == "GET" { "PUT" } else { "GET" };
        assert_eq!(whole(call(other).as_bytes()), Some(Err(Refused::Method(method))));
    }
    assert_eq!(whole(b"GET /-/reddy HTTP/1.1\r\n\r\n"), Some(Err(Refused::Unknown)));
    assert_eq!(whole(b"GET /-/ready?a=1 HTTP/1.0\r\n\r\n"), Some(Ok(Ask::Ready)));
    let budget = whole(b"PUT /-/budget?most=25%25&zone=a%20b HTTP/1.1\r\n\r\n");
    assert_eq!(budget, Some(Ok(Ask::Budget(Scope::Zone("a b".into()), BudgetLimit::Percent(25)))));
    for bad in ["most=101%25", "most=-1", "zone=a", "most=1&zone=", "most=1&pool=x", "most=%ff"] {
        let call = format!("PUT /-/budget?{bad} HTTP/1.1\r\n\r\n");
        assert!(matches!(whole(call.as_bytes()), Some(Err(Refused::Query(_)))), "{bad}");
    }
    assert_eq!(whole(b"\x16\x03\x01\x00\r\n\r\n"), Some(Err(Refused::Unreadable)));
    assert_eq!(whole(b"GET /-/ready HTTP/1.1\r\nHost"), None);
    let long = format!("GET /-/ready HTTP/1.1\r\nX: {}", "a".repeat(HEAD));
    assert_eq!(whole(long.as_bytes()), Some(Err(Refused::TooLong)));
    assert_eq!(whole(format!("{long}\r\n\r\n").as_bytes()), Some(Err(Refused::TooLong)));
    let many = format!("GET /-/ready HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(FIELDS + 1));
    assert_eq!(whole(many.as_bytes()), Some(Err(Refused::TooLong)));
}

#[test]
fn figures_have_the_names_of_the_classes() {
    let counts = ClassCounts { served: 812, refused: 2, failed: 1, attempts: 900 };
    let stats = Stats { classes: vec![counts], in_flight: 14, hosts_known: 9, hosts_excluded: 1 };
    let text = metrics(&["chat".into()], &stats);
    assert_eq!(
        text,
        "node.requests.chat.served=812\nnode.requests.chat.refused=2\nnode.requests.chat.failed=1\n\
         node.requests.chat.attempts=900\nnode.in_flight=14\nnode.hosts_known=9\nnode.hosts_excluded=1\n"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// However a call is cut, it is what it is in one piece; bytes of any kind are refused and nothing worse.
    #[test]
    fn a_call_is_the_same_however_it_is_cut(
        call in prop_oneof![
            "(GET|PUT|POST) /-/(ready|metrics|drain|resume|x) HTTP/1\\.[01]\r\n(A: b\r\n){0,3}\r\n".prop_map(String::into_bytes),
            prop::collection::vec(any::<u8>(), 0..200),
        ],
        cuts in prop::collection::vec(1usize..20, 1..200),
    ) {
        let wanted = whole(&call);
        let (mut pieces, mut rest, mut found) = (Call::default(), &call[..], None);
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
