//! The adapter's JSON lines: it understands every event, writes the actions, frees the ids of finished
//! requests, and reports malformed lines in one line of text.
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

/// An adapter and the time that its batches carry.
struct AdapterTest {
    adapter: Adapter,
    now_ms: f64,
}

impl AdapterTest {
    /// Starts `relay/0` with `SETUP` and a list of two members.
    fn started() -> Self {
        let mut test = AdapterTest { adapter: Adapter::default(), now_ms: 1_000.0 };
        let start = format!(
            r#"{{"START":{{"relay":"relay/0","entropy":7,"setup":{SETUP}}}}},
            {{"LEDGER":{{"list":3,"entries":[{{"phase":"on","backend":"b:1","size":1.0,"pod":0,"rackZone":1}},
            {{"phase":"on","backend":"b:2","lastStartMs":0,"size":1.5,"pod":1,"kind":0}}]}}}},
            {{"VIEW":{{"relay":"relay/0","list":3,"index":1,"form":"stale_copy"}}}}"#
        );
        test.run_batch(&start);
        test
    }

    /// Passes one batch of events to the adapter; returns the actions.
    fn run_batch(&mut self, items: &str) -> Vec<Value> {
        let line = format!(r#"{{"nowMs":{},"items":[{items}]}}"#, self.now_ms);
        let reply = self.adapter.batch(line.as_bytes()).unwrap_or_else(|error| panic!("{error} in {line}"));
        serde_json::from_str::<Value>(&reply).unwrap()["output"].as_array().unwrap().clone()
    }
}

/// The body of the first action of this name.
fn find_action<'a>(output: &'a [Value], name: &str) -> Option<&'a Value> {
    output.iter().find_map(|action| action.get(name))
}

fn ask_event(xid: &str) -> String {
    format!(
        r#"{{"ASK":{{"relay":"relay/0","xid":"{xid}","graceMs":2000.0,"owner":0,"service":0,"channel":"g"}}}}"#
    )
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(Adapter::default().batch(br#"{"nowMs":8412.25,"items":[]}"#).unwrap(), r#"{"output":[]}"#);
}

#[test]
fn a_request_accepts_all_its_events_and_its_id_is_freed_at_the_end() {
    let mut test = AdapterTest::started();
    let sent = test.run_batch(&ask_event("x-1"));
    let backend = find_action(&sent, "DELIVER").unwrap()["backend"].as_str().unwrap().to_owned();
    assert_eq!(find_action(&sent, "DELIVER").unwrap()["xid"], "x-1");
    let status_note = |what| {
        format!(
            r#"{{"STATUS_NOTE":{{"relay":"relay/0","xid":"x-1","amount":900.0,"backend":"{backend}","what":{what},"try":0}}}}"#
        )
    };
    test.run_batch(&format!(
        r#"{{"BEGUN":{{"relay":"relay/0","xid":"x-1","backend":"{backend}","tookMs":9.5,"try":0}}}},{},{},{}"#,
        status_note(1), status_note(2), status_note(9)
    ));
    test.run_batch(r#"{"MEMO":{"relay":"relay/0","who":1,"body":"aGkgNw=="}}"#);
    test.run_batch(
        r#"{"PONG":{"relay":"relay/0","code":"success","backend":"b:1","tookMs":3.0,"pressure":[4.0,0.5]}}"#,
    );
    test.run_batch(r#"{"VIEW":{"relay":"relay/0","list":0,"index":2,"form":"broken"}}"#);
    assert_eq!(test.adapter.tracked_requests(), 1);
    test.run_batch(&format!(
        r#"{{"RESULT":{{"relay":"relay/0","xid":"x-1","code":"success","finished":true,"backend":"{backend}","try":0,"tookMs":18.5}}}}"#
    ));
    assert_eq!(test.adapter.tracked_requests(), 0);
}

#[test]
fn every_failed_outcome_leads_to_another_member() {
    for code in ["failure", "overloaded", "timed_out", "unreachable", "broken", "withdrawn", "void"] {
        let mut test = AdapterTest::started();
        let sent = test.run_batch(&ask_event("x-1"));
        let backend = find_action(&sent, "DELIVER").unwrap()["backend"].as_str().unwrap().to_owned();
        let next = test.run_batch(&format!(
            r#"{{"RESULT":{{"relay":"relay/0","xid":"x-1","code":"{code}","backend":"{backend}","try":0,"tookMs":1.0}}}}"#
        ));
        assert_ne!(find_action(&next, "DELIVER").expect(code)["backend"], backend.as_str(), "{code}");
    }
}

#[test]
fn ids_are_freed_after_a_client_left_and_after_a_takeover() {
    let mut test = AdapterTest::started();
    test.run_batch(&ask_event("x-1"));
    let left = test.run_batch(r#"{"CLIENT_LEFT":{"relay":"relay/0","xid":"x-1"}}"#);
    assert_eq!(find_action(&left, "STOP_ATTEMPT").unwrap()["try"], 0);
    test.run_batch(r#"{"TAKEN_OVER":{"relay":"relay/0","xid":"x-2","service":0,"owner":0,"graceMs":9.0,"backend":"b:1"}}"#);
    assert_eq!(test.adapter.tracked_requests(), 2);
    let result = |xid, code| {
        format!(
            r#"{{"RESULT":{{"relay":"relay/0","xid":"{xid}","code":"{code}","finished":true,"backend":"b:1","try":0,"tookMs":1.0}}}}"#
        )
    };
    test.run_batch(&format!("{},{}", result("x-1", "withdrawn"), result("x-2", "broken")));
    assert_eq!(test.adapter.tracked_requests(), 0);
}

#[test]
fn discovery_on_request_subscribes_and_lists_are_resolved_in_batch_order() {
    let mut test = AdapterTest::started();
    let mut subscribed = Vec::new();
    for _ in 0..200 {
        test.now_ms += 10.0;
        subscribed.extend(test.run_batch(r#"{"DEADLINE_HIT":{"relay":"relay/0","tag":2}}"#));
    }
    assert_eq!(find_action(&subscribed, "OBSERVE").unwrap()["enable"], true);
    // One batch defines list 3 twice: first with b:1 as `fading`, then with b:2 alone, as `off`. Each VIEW
    // takes the list as defined before it.
    let drained = test.run_batch(&format!(
        r#"{{"LEDGER":{{"list":3,"entries":[{{"phase":"fading","backend":"b:1"}}]}}}},
        {{"VIEW":{{"relay":"relay/0","list":3,"index":2,"form":"patch"}}}},
        {{"LEDGER":{{"list":3,"entries":[{{"phase":"off","backend":"b:2"}}]}}}},{},
        {{"VIEW":{{"relay":"relay/0","list":3,"index":3,"form":"patch"}}}},{}"#,
        ask_event("x-1"),
        ask_event("x-2")
    ));
    let deliveries: Vec<&Value> = drained.iter().filter_map(|action| action.get("DELIVER")).collect();
    assert!(deliveries.len() == 1 && deliveries[0]["backend"] == "b:2" && deliveries[0]["xid"] == "x-1");
}

#[test]
fn a_restart_within_a_batch_drops_earlier_actions_and_requests() {
    let mut test = AdapterTest::started();
    let output = test.run_batch(&format!(
        r#"{},{{"DOWN":{{"relay":"relay/0"}}}},{{"START":{{"relay":"relay/0","entropy":8,"setup":{SETUP}}}}},
        {{"VIEW":{{"relay":"relay/0","list":3,"index":1,"form":"stale_copy"}}}}"#,
        ask_event("x-1")
    ));
    assert!(find_action(&output, "DELIVER").is_none() && test.adapter.tracked_requests() == 0);
    assert!(find_action(&test.run_batch(&ask_event("x-2")), "DELIVER").is_some());
}

#[test]
fn a_second_node_in_the_process_does_not_affect_the_first() {
    let alone = AdapterTest::started().run_batch(&ask_event("x-1"));
    let mut with_second = AdapterTest::started();
    with_second.run_batch(&format!(r#"{{"START":{{"relay":"relay/1","entropy":99,"setup":{SETUP}}}}}"#));
    assert_eq!(with_second.run_batch(&ask_event("x-1")), alone);
}

#[test]
fn malformed_lines_are_rejected_with_one_line_that_names_the_fault() {
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
fn settings_are_read_and_invalid_values_fall_back_to_safe_defaults() {
    let read = settings(&serde_json::from_str(SETUP).unwrap());
    assert_eq!((read.balancers, read.zone, read.max_attempts), (2, ZoneId(1), 5));
    assert!(read.discovery_on_request && read.reports && read.reports_message_delay && read.cancel);
    assert_eq!(read.tenants[0].quota_connections, 4.0);
    assert_eq!(read.listed_weight, ListedWeight::Size);
    let invalid =
        settings(&json!({"balancers": "many", "weights": "new", "profiles": [{"effect": "new"}], "caps": 3}));
    assert_eq!(invalid.balancers, 1);
    assert_eq!(invalid.listed_weight, ListedWeight::Silent);
    assert_eq!(invalid.classes[0].effect, Effect::SingleShot);
    assert!(!invalid.probing && !invalid.cancel && invalid.max_retry_after_ms == 0.0);
}
