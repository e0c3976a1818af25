use super::*;

#[test]
fn a_death_lasts_until_nobody_holds_it() {
    let mut found = Neighbours::default();
    let mut told = |by: &str, at, state| {
        found.take(by, at, &Neighbour { name: "n-3".into(), state, incarnation: 1 });
    };
    told("n-1", 10.0, NeighbourState::Dead);
    told("n-2", 11.0, NeighbourState::Dead);
    told("n-1", 20.0, NeighbourState::Alive);
    told("n-2", 22.0, NeighbourState::Alive);
    told("n-2", 30.0, NeighbourState::Left);
    let spans: Vec<Incident> = found.incidents().collect();
    assert_eq!(spans.len(), 1);
    assert_eq!((spans[0].from, spans[0].until), (10.0, Some(22.0)));
    assert_eq!(spans[0].cause, "node n-3 was held dead by n-1, n-2");
}
