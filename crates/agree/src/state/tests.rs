use super::*;

fn seen(name: &str, zone: &str, incarnation: u64, status: NodeStatus) -> SeenNode {
    SeenNode { name: name.into(), zone: zone.into(), incarnation, status }
}

fn fleet(nodes: usize) -> State {
    let mut state = State::default();
    let all =
        (0..nodes).map(|n| seen(&format!("n{n}"), ["a", "b", "c"][n % 3], 1, NodeStatus::Serving)).collect();
    state.apply(1, Entry::Seen(all));
    state
}

fn ask(node: &str, request: Request) -> Entry {
    Entry::Ask { request, node: node.into(), incarnation: 1 }
}

#[test]
fn requests_are_granted_one_at_a_time_in_log_order_and_the_others_get_the_reason() {
    let mut state = fleet(3);
    assert_eq!(state.apply(2, ask("n0", 10)), [Change::Granted { node: "n0".into(), fence: 2 }]);
    assert_eq!(state.apply(3, ask("n1", 11)), []);
    state.apply(4, ask("n2", 12));
    assert_eq!(state.answer(10), Answer::Granted { fence: 2, incarnation: 1 });
    assert_eq!(state.answer(11), Answer::Waiting("fleet: 1 of 1 out: n0 permit 2".into()));
    // A request that comes twice counts once.
    assert_eq!(state.apply(5, ask("n0", 10)), []);
    let ended = Change::Ended { node: "n0".into(), granted: true };
    assert_eq!(state.apply(6, Entry::Release(10)), [ended, Change::Granted { node: "n1".into(), fence: 6 }]);
    // A late copy of an ended request is not opened again; nor is a request whose release came first.
    state.apply(7, ask("n0", 10));
    state.apply(8, Entry::Release(13));
    state.apply(9, ask("n0", 13));
    assert_eq!((state.answer(10), state.answer(13)), (Answer::Over, Answer::Over));
    assert_eq!(state.permits().len(), 2);
}

#[test]
fn a_dead_nodes_permit_stands_until_a_later_incarnation_serves() {
    let mut state = fleet(3);
    state.apply(2, ask("n0", 10));
    state.apply(3, ask("n1", 11));
    state.apply(4, Entry::Seen(vec![seen("n0", "a", 1, NodeStatus::Dead)]));
    assert_eq!(state.answer(11), Answer::Waiting("fleet: 1 of 1 out: n0 dead".into()));
    // Alive again as the same incarnation, which may still drain.
    state.apply(5, Entry::Seen(vec![seen("n0", "a", 1, NodeStatus::Serving)]));
    assert_eq!(state.answer(11), Answer::Waiting("fleet: 1 of 1 out: n0 permit 2".into()));
    state.apply(6, Entry::Seen(vec![seen("n0", "a", 2, NodeStatus::NotReady)]));
    assert_eq!(state.answer(11), Answer::Waiting("fleet: 1 of 1 out: n0 not ready".into()));
    state.apply(7, Entry::Seen(vec![seen("n0", "a", 2, NodeStatus::Serving)]));
    assert_eq!(state.answer(10), Answer::Over);
    assert_eq!(state.answer(11), Answer::Granted { fence: 7, incarnation: 1 });
    // A late request of an earlier incarnation is not opened.
    state.apply(8, ask("n0", 12));
    assert_eq!(state.answer(12), Answer::Over);
    // A late observation of an earlier incarnation changes nothing.
    state.apply(8, Entry::Seen(vec![seen("n0", "a", 1, NodeStatus::Dead)]));
    assert_eq!(state.why_out("n0"), None);
}

#[test]
fn nodes_out_without_a_permit_count_and_a_smaller_budget_revokes_no_permit() {
    let mut state = fleet(9);
    state.apply(2, Entry::Budget(Scope::Fleet, BudgetLimit::Percent(34)));
    state.apply(3, Entry::Budget(Scope::Zone("a".into()), BudgetLimit::Number(1)));
    state.apply(4, Entry::Seen(vec![seen("n3", "a", 1, NodeStatus::Dead)]));
    state.apply(5, ask("n0", 10));
    assert_eq!(state.answer(10), Answer::Waiting("zone a: 1 of 1 out: n3 dead".into()));
    // Requests of nodes in other zones overtake it.
    state.apply(6, ask("n1", 11));
    state.apply(7, ask("n4", 12));
    assert_eq!(
        (state.answer(11), state.answer(12)),
        (Answer::Granted { fence: 6, incarnation: 1 }, Answer::Granted { fence: 7, incarnation: 1 })
    );
    state.apply(8, Entry::Budget(Scope::Fleet, BudgetLimit::Percent(5)));
    assert_eq!(state.answer(11), Answer::Granted { fence: 6, incarnation: 1 });
    state.apply(9, Entry::Release(11));
    let Answer::Waiting(why) = state.answer(10) else { panic!("granted") };
    assert_eq!(why, "fleet: 2 of 0 out: n3 dead, n4 permit 7");
    // A node that the log does not have is granted nothing.
    state.apply(10, Entry::Ask { request: 13, node: "new".into(), incarnation: 1 });
    assert_eq!(state.answer(13), Answer::Waiting("new is not yet seen by the voters".into()));
}

#[test]
fn changes_in_the_view_are_those_that_the_log_does_not_have() {
    let state = fleet(2);
    assert_eq!(
        state.unlogged_changes(&[seen("n0", "a", 1, NodeStatus::Serving)]),
        [seen("n1", "b", 1, NodeStatus::Unknown)]
    );
    let both = [seen("n0", "a", 0, NodeStatus::Dead), seen("n1", "b", 2, NodeStatus::Serving)];
    assert_eq!(state.unlogged_changes(&both), [seen("n1", "b", 2, NodeStatus::Serving)]);
}
