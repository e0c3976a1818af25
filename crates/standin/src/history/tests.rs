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
fn concurrent_drains_are_counted_and_consecutive_drains_are_not() {
    let history = |answers: &[(usize, f64, bool)]| History {
        seen: answers.iter().map(|(node, at, drains)| seen(*node, *at, *drains)).collect(),
        ..History::default()
    };
    let consecutive =
        history(&[(0, 1.0, true), (0, 1.1, true), (1, 1.15, true), (0, 1.2, false), (1, 1.3, true)]);
    assert_eq!((consecutive.max_concurrent_drains().0, consecutive.drained().len()), (1, 2));
    let concurrent =
        history(&[(0, 1.0, true), (1, 1.05, true), (0, 1.1, true), (1, 1.15, true), (0, 1.2, true)]);
    assert_eq!(concurrent.max_concurrent_drains(), (2, 1.05));
}
