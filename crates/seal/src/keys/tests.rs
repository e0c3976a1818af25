use super::*;

#[test]
fn an_invalid_file_is_refused_with_its_field_and_no_secret_is_shown() {
    let good = STANDARD.encode([7; KEY_BYTES]);
    let file = |keys: &str| format!(r#"{{"seal_with":1,"keys":[{keys}]}}"#);
    let one = format!(r#"{{"id":1,"secret":"{good}"}}"#);
    let keys = Keys::read(file(&one).as_bytes()).unwrap();
    assert!(!format!("{keys:?}").contains('7'), "{keys:?}");
    assert_eq!(Keys::read(keys.file().as_bytes()), Ok(keys));
    for (text, wanted) in [
        (file(""), "seal_with: no key 1"),
        (file(&format!("{one},{one}")), "keys[1].id"),
        (file(r#"{"id":1,"secret":"c2hvcnQ="}"#), "keys[0].secret"),
        (file(r#"{"id":1,"secret":true}"#), "line 1 column"),
        ("{".into(), "line 1 column"),
    ] {
        let KeyError(message) = Keys::read(text.as_bytes()).unwrap_err();
        assert!(message.contains(wanted) && !message.contains("c2hvcnQ"), "{text}: {message}");
    }
}
