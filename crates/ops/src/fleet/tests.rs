use super::*;

fn view_of(node: &str, members: &str) -> View {
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
fn views_differ_only_by_states_of_nodes_and_by_which_are_present() {
    let a = view_of("a", &[member("a", "alive", "serving"), member("b", "suspect", "serving")].join(","));
    let b = view_of("b", &[member("a", "alive", "serving"), member("b", "alive", "serving")].join(","));
    assert!(differences(&[a.clone(), b]).is_empty(), "a suspicion is each node's own");
    let draining =
        view_of("b", &[member("a", "alive", "draining"), member("b", "alive", "serving")].join(","));
    assert_eq!(differences(&[a.clone(), draining]).keys().collect::<Vec<_>>(), ["a"]);
    let lost = view_of("b", &[member("a", "alive", "serving"), member("b", "dead", "serving")].join(","));
    assert_eq!(differences(&[a.clone(), lost]).keys().collect::<Vec<_>>(), ["b"]);
    let with_dead =
        [member("a", "alive", "serving"), member("b", "alive", "serving"), member("c", "dead", "")];
    assert!(
        differences(&[a, view_of("b", &with_dead.join(","))]).is_empty(),
        "node b joined after c had died"
    );
}
