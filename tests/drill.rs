//! The wire: every event is understood, every action is written, ids are freed, and errors are plain.
use hopmoor::config::settings;
use hopmoor::drill::Adapter;
use hopmoor::*;
use serde_json::{Value, json};

const SETUP: &str = r#"{"balancers": 2, "discovery": "on_request", "tickMs": 5.0, "zone": 1,
  "caps": {"cancel": true, "probing": true, "retryAfter": true, "maxRetryAfterMs": 1000.0, "mostTries": 5},
  "domain": {"mode": "proxy", "messageAimMs": [250.0], "tellsDelay": true, "tenantQuotaConnections": [4.0]},
  "profiles": [{"aimMs": 500.0, "effect": "free", "group": "all", "importance": 2.0, "name": "a"}],
  "report": {"fields": ["rate", "x0"], "how": "pull"}, "weights": "rough", "prices": {"probe": 0.002},
  "tenants": [{"name": "t"}], "invariants": {"askWithinMs": 10000.0, "coldMs": 23000.0}, "unknownKey": 7}"#;

struct Drill {
    host: Adapter,
    now: f64,
}

impl Drill {
    fn started() -> Self {
        let mut drill = Drill { host: Adapter::default(), now: 1_000.0 };
        let start = format!(
            r#"{{"START":{{"relay":"relay/0","entropy":7,"setup":{SETUP}}}}},
            {{"LEDGER":{{"list":3,"entries":[{{"phase":"on","backend":"b:1","size":1.0,"pod":0,"rackZone":1}},
            {{"phase":"on","backend":"b:2","lastStartMs":0,"size":1.5,"pod":1,"kind":0}}]}}}},
            {{"VIEW":{{"relay":"relay/0","list":3,"index":1,"form":"stale_copy"}}}}"#
        );
        drill.items(&start);
        drill
    }

    fn items(&mut self, items: &str) -> Vec<Value> {
        let line = format!(r#"{{"nowMs":{},"items":[{items}]}}"#, self.now);
        let reply = self.host.batch(line.as_bytes()).unwrap_or_else(|error| panic!("{error} in {line}"));
        serde_json::from_str::<Value>(&reply).unwrap()["output"].as_array().unwrap().clone()
    }
}

fn named<'a>(output: &'a [Value], name: &str) -> Option<&'a Value> {
    output.iter().find_map(|action| action.get(name))
}

fn ask(xid: &str) -> String {
    format!(
        r#"{{"ASK":{{"relay":"relay/0","xid":"{xid}","graceMs":2000.0,"owner":0,"service":0,"channel":"g"}}}}"#
    )
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(Adapter::default().batch(br#"{"nowMs":8412.25,"items":[]}"#).unwrap(), r#"{"output":[]}"#);
}

#[test]
fn a_request_goes_through_all_its_events_and_its_id_is_freed() {
    let mut drill = Drill::started();
    let sent = drill.items(&ask("x-1"));
    let backend = named(&sent, "DELIVER").unwrap()["backend"].as_str().unwrap().to_owned();
    assert_eq!(named(&sent, "DELIVER").unwrap()["xid"], "x-1");
    let note = |what| {
        format!(
            r#"{{"STATUS_NOTE":{{"relay":"relay/0","xid":"x-1","amount":900.0,"backend":"{backend}","what":{what},"try":0}}}}"#
        )
    };
    drill.items(&format!(
        r#"{{"BEGUN":{{"relay":"relay/0","xid":"x-1","backend":"{backend}","tookMs":9.5,"try":0}}}},{},{},{}"#,
        note(1), note(2), note(9)
    ));
    drill.items(r#"{"MEMO":{"relay":"relay/0","who":1,"body":"aGkgNw=="}}"#);
    drill.items(
        r#"{"PONG":{"relay":"relay/0","code":"success","backend":"b:1","tookMs":3.0,"pressure":[4.0,0.5]}}"#,
    );
    drill.items(r#"{"VIEW":{"relay":"relay/0","list":0,"index":2,"form":"broken"}}"#);
    assert_eq!(drill.host.tracked_requests(), 1);
    drill.items(&format!(
        r#"{{"RESULT":{{"relay":"relay/0","xid":"x-1","code":"success","finished":true,"backend":"{backend}","try":0,"tookMs":18.5}}}}"#
    ));
    assert_eq!(drill.host.tracked_requests(), 0);
}

#[test]
fn every_outcome_code_is_understood() {
    for code in ["failure", "overloaded", "timed_out", "unreachable", "broken", "withdrawn", "void"] {
        let mut drill = Drill::started();
        let sent = drill.items(&ask("x-1"));
        let backend = named(&sent, "DELIVER").unwrap()["backend"].as_str().unwrap().to_owned();
        let next = drill.items(&format!(
            r#"{{"RESULT":{{"relay":"relay/0","xid":"x-1","code":"{code}","backend":"{backend}","try":0,"tookMs":1.0}}}}"#
        ));
        assert_ne!(named(&next, "DELIVER").expect(code)["backend"], backend.as_str(), "{code}");
    }
}

#[test]
fn a_client_that_left_and_a_connection_taken_over_end_cleanly() {
    let mut drill = Drill::started();
    drill.items(&ask("x-1"));
    let left = drill.items(r#"{"CLIENT_LEFT":{"relay":"relay/0","xid":"x-1"}}"#);
    assert_eq!(named(&left, "STOP_ATTEMPT").unwrap()["try"], 0);
    drill.items(r#"{"TAKEN_OVER":{"relay":"relay/0","xid":"x-2","service":0,"owner":0,"graceMs":9.0,"backend":"b:1"}}"#);
    assert_eq!(drill.host.tracked_requests(), 2);
    let end = |xid, code| {
        format!(
            r#"{{"RESULT":{{"relay":"relay/0","xid":"{xid}","code":"{code}","finished":true,"backend":"b:1","try":0,"tookMs":1.0}}}}"#
        )
    };
    drill.items(&format!("{},{}", end("x-1", "withdrawn"), end("x-2", "broken")));
    assert_eq!(drill.host.tracked_requests(), 0);
}

#[test]
fn discovery_on_request_subscribes_and_numbered_lists_are_resolved_in_order() {
    let mut drill = Drill::started();
    let mut subscribed = Vec::new();
    for _ in 0..200 {
        drill.now += 10.0;
        subscribed.extend(drill.items(r#"{"DEADLINE_HIT":{"relay":"relay/0","tag":2}}"#));
    }
    assert_eq!(named(&subscribed, "OBSERVE").unwrap()["enable"], true);
    // List 3 is used twice in a batch: first for a drain of b:1, then for one of b:2 only.
    let drained = drill.items(&format!(
        r#"{{"LEDGER":{{"list":3,"entries":[{{"phase":"fading","backend":"b:1"}}]}}}},
        {{"VIEW":{{"relay":"relay/0","list":3,"index":2,"form":"patch"}}}},
        {{"LEDGER":{{"list":3,"entries":[{{"phase":"off","backend":"b:2"}}]}}}},{},
        {{"VIEW":{{"relay":"relay/0","list":3,"index":3,"form":"patch"}}}},{}"#,
        ask("x-1"),
        ask("x-2")
    ));
    let deliveries: Vec<&Value> = drained.iter().filter_map(|action| action.get("DELIVER")).collect();
    assert!(deliveries.len() == 1 && deliveries[0]["backend"] == "b:2" && deliveries[0]["xid"] == "x-1");
}

#[test]
fn a_restart_in_one_batch_drops_what_the_past_life_decided() {
    let mut drill = Drill::started();
    let output = drill.items(&format!(
        r#"{},{{"DOWN":{{"relay":"relay/0"}}}},{{"START":{{"relay":"relay/0","entropy":8,"setup":{SETUP}}}}},
        {{"VIEW":{{"relay":"relay/0","list":3,"index":1,"form":"stale_copy"}}}}"#,
        ask("x-1")
    ));
    assert!(named(&output, "DELIVER").is_none() && drill.host.tracked_requests() == 0);
    assert!(named(&drill.items(&ask("x-2")), "DELIVER").is_some());
}

#[test]
fn relays_of_one_process_act_as_alone() {
    let alone = Drill::started().items(&ask("x-1"));
    let mut host = Drill::started();
    host.items(&format!(r#"{{"START":{{"relay":"relay/1","entropy":99,"setup":{SETUP}}}}}"#));
    assert_eq!(host.items(&ask("x-1")), alone);
}

#[test]
fn malformed_lines_are_refused_in_plain_words() {
    for (line, word) in [
        ("{", "EOF"),
        (r#"{"items":[]}"#, "nowMs"),
        (r#"{"nowMs":1,"items":[{"NEWS":{"relay":"relay/0"}}]}"#, "NEWS"),
        (r#"{"nowMs":1,"items":[{"DOWN":{}}]}"#, "relay"),
        (
            r#"{"nowMs":1,"items":[{"PONG":{"relay":"relay/0","code":"odd","backend":"b:1","tookMs":1}}]}"#,
            "odd",
        ),
        (r#"{"nowMs":1,"items":[{"LEDGER":{"list":16,"entries":[]}}]}"#, "16"),
        (r#"{"nowMs":1,"items":[{"DEADLINE_HIT":{"relay":"relay/4","tag":1}}]}"#, "relay/4"),
        ("\u{fffd}", "expected"),
    ] {
        let error = Adapter::default().batch(line.as_bytes()).expect_err(line).to_string();
        assert!(error.contains(word) && !error.contains('\n'), "{line}: {error}");
    }
}

#[test]
fn settings_are_read_and_fall_back_to_a_safe_reading() {
    let read = settings(&serde_json::from_str(SETUP).unwrap());
    assert_eq!((read.balancers, read.zone, read.max_attempts), (2, ZoneId(1), 5));
    assert!(read.discovery_on_request && read.reports && read.reports_message_delay && read.cancel);
    assert_eq!(read.tenants[0].quota_connections, 4.0);
    assert_eq!(read.listed_weight, ListedWeight::Size);
    let odd =
        settings(&json!({"balancers": "many", "weights": "new", "profiles": [{"effect": "new"}], "caps": 3}));
    assert_eq!(odd.balancers, 1);
    assert_eq!(odd.listed_weight, ListedWeight::Silent);
    assert_eq!(odd.classes[0].effect, Effect::SingleShot);
    assert!(!odd.probing && !odd.cancel && odd.max_retry_after_ms == 0.0);
}
