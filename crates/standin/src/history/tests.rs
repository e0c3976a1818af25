use super::*;

fn seen(node: usize, at: f64, drains: bool) -> Observation {
    Observation {
        at,
        asked: at - 0.01,
        node,
        digest: String::new(),
        states: BTreeMap::new(),
        ready: BTreeMap::new(),
        itself_ready: Some(!drains),
        drains,
        incarnation: 1,
        sharing: None,
    }
}

#[test]
fn two_that_drain_at_once_are_seen_and_two_in_turn_are_not() {
    let of = |all: &[(usize, f64, bool)]| History {
        seen: all.iter().map(|(node, at, drains)| seen(*node, *at, *drains)).collect(),
        ..History::default()
    };
    let turn = of(&[(0, 1.0, true), (0, 1.1, true), (1, 1.15, true), (0, 1.2, false), (1, 1.3, true)]);
    assert_eq!((turn.max_concurrent_drains().0, turn.drained().len()), (1, 2));
    let both = of(&[(0, 1.0, true), (1, 1.05, true), (0, 1.1, true), (1, 1.15, true), (0, 1.2, true)]);
    assert_eq!(both.max_concurrent_drains(), (2, 1.05));
}
