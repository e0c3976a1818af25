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
fn one_at_a_time_in_the_order_asked_and_told_why() {
    let mut state = fleet(3);
    assert_eq!(state.apply(2, ask("n0", 10)), [Change::Granted { node: "n0".into(), fence: 2 }]);
    assert_eq!(state.apply(3, ask("n1", 11)), []);
    state.apply(4, ask("n2", 12));
    assert_eq!(state.answer(10), Answer::Granted { fence: 2, incarnation: 1 });
    assert_eq!(state.answer(11), Answer::Waiting("fleet: 1 of 1 out: n0 permit 2".into()));
    // The same request twice is one.
    assert_eq!(state.apply(5, ask("n0", 10)), []);
    let ended = Change::Ended { node: "n0".into(), granted: true };
    assert_eq!(state.apply(6, Entry::Back(10)), [ended, Change::Granted { node: "n1".into(), fence: 6 }]);
    // A late copy of what is over is not taken up again; nor one whose giving back came first.
    state.apply(7, ask("n0", 10));
    state.apply(8, Entry::Back(13));
    state.apply(9, ask("n0", 13));
    assert_eq!((state.answer(10), state.answer(13)), (Answer::Over, Answer::Over));
    assert_eq!(state.permits().len(), 2);
}

#[test]
fn a_dead_nodes_permit_stands_until_it_serves_as_a_later_coming() {
    let mut state = fleet(3);
    state.apply(2, ask("n0", 10));
    state.apply(3, ask("n1", 11));
    state.apply(4, Entry::Seen(vec![seen("n0", "a", 1, NodeStatus::Dead)]));
    assert_eq!(state.answer(11), Answer::Waiting("fleet: 1 of 1 out: n0 dead".into()));
    // Alive again, and the same coming: it may drain still.
    state.apply(5, Entry::Seen(vec![seen("n0", "a", 1, NodeStatus::Serving)]));
    assert_eq!(state.answer(11), Answer::Waiting("fleet: 1 of 1 out: n0 permit 2".into()));
    state.apply(6, Entry::Seen(vec![seen("n0", "a", 2, NodeStatus::NotReady)]));
    assert_eq!(state.answer(11), Answer::Waiting("fleet: 1 of 1 out: n0 not ready".into()));
    state.apply(7, Entry::Seen(vec![seen("n0", "a", 2, NodeStatus::Serving)]));
    assert_eq!(state.answer(10), Answer::Over);
    assert_eq!(state.answer(11), Answer::Granted { fence: 7, incarnation: 1 });
    // Nor is what an earlier coming asked, and comes late, taken up.
    state.apply(8, ask("n0", 12));
    assert_eq!(state.answer(12), Answer::Over);
    // What was seen earlier and comes late changes nothing.
    state.apply(8, Entry::Seen(vec![seen("n0", "a", 1, NodeStatus::Dead)]));
    assert_eq!(state.out("n0"), None);
}

#[test]
fn what_is_out_by_itself_counts_and_a_smaller_budget_takes_nobody_back() {
    let mut state = fleet(9);
    state.apply(2, Entry::Budget(Scope::Fleet, BudgetLimit::Percent(34)));
    state.apply(3, Entry::Budget(Scope::Zone("a".into()), BudgetLimit::Number(1)));
    state.apply(4, Entry::Seen(vec![seen("n3", "a", 1, NodeStatus::Dead)]));
    state.apply(5, ask("n0", 10));
    assert_eq!(state.answer(10), Answer::Waiting("zone a: 1 of 1 out: n3 dead".into()));
    // Another zone's goes ahead of it.
    state.apply(6, ask("n1", 11));
    state.apply(7, ask("n4", 12));
    assert_eq!(
        (state.answer(11), state.answer(12)),
        (Answer::Granted { fence: 6, incarnation: 1 }, Answer::Granted { fence: 7, incarnation: 1 })
    );
    state.apply(8, Entry::Budget(Scope::Fleet, BudgetLimit::Percent(5)));
    assert_eq!(state.answer(11), Answer::Granted { fence: 6, incarnation: 1 });
    state.apply(9, Entry::Back(11));
    let Answer::Waiting(why) = state.answer(10) else { panic!("granted") };
    assert_eq!(why, "fleet: 2 of 0 out: n3 dead, n4 permit 7");
    // Nobody is granted whom no voter has seen.
    state.apply(10, Entry::Ask { request: 13, node: "new".into(), incarnation: 1 });
    assert_eq!(state.answer(13), Answer::Waiting("new is not yet seen by the voters".into()));
}

#[test]
fn news_is_what_the_log_does_not_say() {
    let state = fleet(2);
    assert_eq!(
        state.news(&[seen("n0", "a", 1, NodeStatus::Serving)]),
        [seen("n1", "b", 1, NodeStatus::Unknown)]
    );
    let both = [seen("n0", "a", 0, NodeStatus::Dead), seen("n1", "b", 2, NodeStatus::Serving)];
    assert_eq!(state.news(&both), [seen("n1", "b", 2, NodeStatus::Serving)]);
}
