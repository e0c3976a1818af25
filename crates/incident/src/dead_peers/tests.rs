use super::*;

#[test]
fn a_node_counts_as_dead_until_no_other_node_holds_it_dead() {
    let mut deaths = PeerDeaths::default();
    let mut observe = |observer: &str, at, state| {
        deaths.record(observer, at, &Neighbour { name: "n-3".into(), state, incarnation: 1 });
    };
    observe("n-1", 10.0, NeighbourState::Dead);
    observe("n-2", 11.0, NeighbourState::Dead);
    observe("n-1", 20.0, NeighbourState::Alive);
    observe("n-2", 22.0, NeighbourState::Alive);
    observe("n-2", 30.0, NeighbourState::Left);
    let spans: Vec<Incident> = deaths.incidents().collect();
    assert_eq!(spans.len(), 1);
    assert_eq!((spans[0].from, spans[0].until), (10.0, Some(22.0)));
    assert_eq!(spans[0].cause, "node n-3 was held dead by n-1, n-2");
}
