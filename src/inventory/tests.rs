use super::*;

const YAML: &str = "
members:
  - {name: chat-a, dial: '127.0.0.1:5301', zone: east, weight: 2}
  - {name: chat-b, dial: '127.0.0.1:5302', zone: west, state: draining}
services:
  - {name: chat.example, deadline_ms: 4000}
teams:
  - {name: kiln, domains: [kiln.example, fire.example]}
  - {name: glaze}
contracts:
  - {team: kiln, guarantee: 20, maximum: 60, priority: 2}
";
const CSV: &str = "\
kind,name,dial,zone,weight,state,deadline_ms,domains,team,guarantee,maximum,priority
member,chat-a,127.0.0.1:5301,east,2,,,,,,,
member,chat-b,127.0.0.1:5302,west,,draining,,,,,,
service,chat.example,,,,,4000,,,,,
team,kiln,,,,,,kiln.example fire.example,,,,
team,glaze,,,,,,,,,,
contract,,,,,,,,kiln,20,60,2
";

#[test]
fn yaml_and_csv_decode_to_the_same_inventory() {
    let inventory = yaml(YAML).unwrap();
    assert_eq!(inventory, csv(CSV).unwrap());
    assert_eq!(inventory.zones, ["east", "west"]);
    let contract = Contract { guarantee: 20.0, maximum: 60.0, priority: 2.0 };
    assert_eq!(inventory.teams[0].contract, Some(contract));
    assert_eq!((inventory.teams[1].contract, inventory.pool.members.len()), (None, 2));
}

#[test]
fn errors_name_what_is_invalid() {
    for (from, to, named) in [
        ("127.0.0.1:5302", "chat-b.example:5302", "chat-b"),
        ("chat-b", "chat-a", "twice"),
        ("127.0.0.1:5302", "127.0.0.1:5301", "chat-a and chat-b are both at 127.0.0.1:5301"),
        // Guards against a server that is listed twice, its address written in two ways (review case 10).
        ("127.0.0.1:5302", "127.0.0.1:05301", "chat-a and chat-b are both at 127.0.0.1:5301"),
        ("127.0.0.1:5302", "[::ffff:127.0.0.1]:5301", "chat-a and chat-b are both at 127.0.0.1:5301"),
        ("deadline_ms: 4000", "deadline_ms: soon", "deadline_ms"),
        ("team: kiln, g", "team: kilm, g", "kilm"),
        ("maximum: 60", "maximum: 6", "maximum"),
        ("weight: 2", "wait: 2", "wait"),
    ] {
        let error = yaml(&YAML.replace(from, to)).unwrap_err();
        assert!(error.0.contains(named), "{error}");
    }
    let error = csv(&CSV.replace("team,glaze", "teem,glaze")).unwrap_err();
    assert!(error.0.contains("line 6") && error.0.contains("teem"), "{error}");
    let error = csv(&CSV.replace("4000", "x")).unwrap_err();
    assert!(error.0.contains("line 4"), "{error}");
}
