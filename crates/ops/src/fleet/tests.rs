use super::*;

fn seen(node: &str, members: &str) -> View {
    let text = format!(
        r#"{{"node":"{node}","incarnation":1,"digest":"aa","settled":true,"doubts":0,"superseded_by":null,
            "members":[{members}]}}"#
    );
    serde_json::from_str(&text).unwrap()
}

fn member(name: &str, state: &str, ready: &str) -> String {
    format!(
        r#"{{"name":"{name}","state":"{state}","incarnation":1,"advertise":"127.0.0.1:1","heard_ms":5,
            "ready":"{ready}"}}"#
    )
}

#[test]
fn views_differ_by_what_nodes_say_and_by_who_is_there_only() {
    let a = seen("a", &[member("a", "alive", "serving"), member("b", "suspect", "serving")].join(","));
    let b = seen("b", &[member("a", "alive", "serving"), member("b", "alive", "serving")].join(","));
    assert!(differences(&[a.clone(), b]).is_empty(), "a suspicion is each node's own");
    let drains = seen("b", &[member("a", "alive", "draining"), member("b", "alive", "serving")].join(","));
    assert_eq!(differences(&[a.clone(), drains]).keys().collect::<Vec<_>>(), ["a"]);
    let lost = seen("b", &[member("a", "alive", "serving"), member("b", "dead", "serving")].join(","));
    assert_eq!(differences(&[a.clone(), lost]).keys().collect::<Vec<_>>(), ["b"]);
    let with_dead =
        [member("a", "alive", "serving"), member("b", "alive", "serving"), member("c", "dead", "")];
    assert!(differences(&[a, seen("b", &with_dead.join(","))]).is_empty(), "one came after c had died");
}
