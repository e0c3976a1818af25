use super::*;

fn parse_in_steps(answer: &str, step: usize) -> Result<Option<Reply>, ReplyError> {
    let mut call = Call::default();
    let mut found = None;
    for part in answer.as_bytes().chunks(step) {
        found = call.take(part)?;
    }
    Ok(found)
}

#[test]
fn a_response_is_parsed_however_it_is_split() {
    let fixed = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=1\r\nlo\r\n0\r\n\r\n";
    for answer in [fixed, chunked] {
        for step in 1..answer.len() {
            let reply = parse_in_steps(answer, step).unwrap().unwrap();
            assert_eq!((reply.status, &reply.body[..], reply.reusable), (200, &b"hello"[..], true));
        }
    }
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let mut call = Call::default();
    assert_eq!(call.take(b"HTTP/1.0 503 Busy\r\n\r\nlater"), Ok(None));
    let reply = call.end().unwrap();
    assert_eq!((reply.status, &reply.body[..], reply.reusable), (503, &b"later"[..], false));
    assert!(Call::default().end().is_err());
}

#[test]
fn a_response_that_is_not_http_or_too_long_is_an_error() {
    assert!(parse_in_steps("SSH-2.0-x\r\n\r\n", 4).is_err());
    assert!(parse_in_steps("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n", 9).is_err());
    assert!(parse_in_steps("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", 9).is_err());
    assert!(
        parse_in_steps(&format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "a".repeat(MAX_HEAD_BYTES + 9)), 999)
            .is_err()
    );
}
