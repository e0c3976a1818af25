use super::*;

const HOST: &str = r#"{"host":"s-1","dial":"127.0.0.9:80","site":"b","class":"m2","block":3,
    "health":"Terminating","share":1.5,"born_ms":17}"#;

#[test]
fn a_list_is_decoded_into_its_members() {
    let zones = ["a".to_owned(), "b".to_owned()];
    let list = decode(format!(r#"{{"seq":4,"whole":true,"hosts":[{HOST}]}}"#).as_bytes(), &zones).unwrap();
    let member = &list.members[0];
    assert_eq!((list.seq, list.whole, member.zone, member.cell), (4, true, 1, 3));
    assert_eq!((member.phase, member.weight, member.born), (Phase::Draining, 1.5, Some(17.0)));
}

#[test]
fn a_bad_address_or_format_is_an_error_that_names_it() {
    let bad = HOST.replace("127.0.0.9:80", "db.example:80");
    let error = decode(format!(r#"{{"seq":4,"hosts":[{bad}]}}"#).as_bytes(), &[]).unwrap_err();
    assert!(error.0.contains("s-1") && error.0.contains("db.example:80"), "{error}");
    assert!(decode(b"{\"seq\":4}", &[]).unwrap_err().0.contains("hosts"));
    assert!(decode(b"<html>", &[]).is_err());
}
