use super::*;

/// Every action in the words of the wire.
#[test]
fn every_action_is_written() {
    let mut gateway = Gateway::new(&Value::Null, 1);
    let backend = gateway.backend("b:1");
    let ask = r#"{"relay":"r","xid":"x","graceMs":9.0}"#;
    let id = gateway.request(&serde_json::from_str(ask).unwrap(), 1).id;
    for (action, line) in [
        (
            Action::Attempt { id, backend, timeout_ms: 80.0 },
            r#"{"DELIVER":{"relay":"r","xid":"x","limitMs":80.0,"backend":"b:1"}}"#,
        ),
        (Action::CancelAttempt { id, attempt: 2 }, r#"{"STOP_ATTEMPT":{"relay":"r","xid":"x","try":2}}"#),
        (Action::Move { id }, r#"{"BOUNCE":{"relay":"r","xid":"x"}}"#),
        (
            Action::Refuse { id, retry_after_ms: 5.0 },
            r#"{"NOT_NOW":{"relay":"r","xid":"x","coolDownMs":5.0}}"#,
        ),
        (Action::Fail { id }, r#"{"SURRENDER":{"relay":"r","xid":"x"}}"#),
        (Action::Probe { backend }, r#"{"TEST":{"relay":"r","backend":"b:1"}}"#),
        (Action::SetTimer { at: 8.5, id: TimerId(77) }, r#"{"REMIND":{"relay":"r","timeMs":8.5,"tag":77}}"#),
        (Action::Subscribe { on: false }, r#"{"OBSERVE":{"relay":"r","enable":false}}"#),
        (Action::FetchList, r#"{"RESOLVE":{"relay":"r"}}"#),
        (Action::CloseIdle { backend }, r#"{"HANG_UP":{"relay":"r","backend":"b:1"}}"#),
        (
            Action::SendToPeer { peer: None, body: b"hi 7".to_vec() },
            r#"{"MEMO_TO":{"relay":"r","peer":"all","body":"aGkgNw=="}}"#,
        ),
        (
            Action::SendToPeer { peer: Some(3), body: Vec::new() },
            r#"{"MEMO_TO":{"relay":"r","peer":3,"body":""}}"#,
        ),
        (Action::Log("up".into()), r#"{"PRINT":{"relay":"r","what":"up"}}"#),
        (Action::Fault("bad".into()), r#"{"CRASH":{"relay":"r","what":"bad"}}"#),
    ] {
        let out = gateway.out("r", action).expect(line);
        assert_eq!(serde_json::to_string(&out).unwrap(), line);
    }
}
