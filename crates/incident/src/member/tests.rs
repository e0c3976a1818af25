use super::*;

const NODE: Origin = Origin(0);

fn history() -> MemberHistory {
    let mut history = MemberHistory::default();
    history.listed(NODE, 0.0, Phase::Serving, None, false);
    history.served(1_000.0);
    history
}

fn spans(history: &MemberHistory) -> Vec<(MemberState, f64, Option<f64>)> {
    history.spans().iter().map(|span| (span.state, span.from, span.until)).collect()
}

#[test]
fn two_timeouts_without_an_answer_between_are_silence() {
    let mut history = history();
    history.flow_ended(3_000.0, Outcome::TimedOut, false, 700.0);
    history.served(3_100.0);
    history.flow_ended(5_000.0, Outcome::TimedOut, false, 700.0);
    assert_eq!(spans(&history), []);
    history.flow_ended(5_200.0, Outcome::TimedOut, false, 700.0);
    history.probe_ended(8_000.0, Outcome::Ok, Some(0.5));
    assert_eq!(spans(&history), [(MemberState::Silent, 4_300.0, Some(8_000.0))]);
}

#[test]
fn silence_begins_no_earlier_than_the_last_answer() {
    let mut history = history();
    history.served(4_900.0);
    history.flow_ended(5_000.0, Outcome::TimedOut, false, 700.0);
    history.flow_ended(5_200.0, Outcome::TimedOut, false, 700.0);
    assert_eq!(spans(&history), [(MemberState::Silent, 4_900.0, None)]);
}

#[test]
fn broken_connections_mean_death_only_while_serving_and_close_together() {
    let mut history = history();
    history.listed(NODE, 2_000.0, Phase::Draining, None, false);
    (0..9).for_each(|_| history.flow_ended(7_000.0, Outcome::Reset, true, 100.0));
    history.listed(NODE, 7_200.0, Phase::Gone, None, false);
    assert_eq!(
        spans(&history),
        [(MemberState::Draining, 2_000.0, Some(7_200.0)), (MemberState::Gone, 7_200.0, None)]
    );
    let mut other = self::history();
    other.flow_ended(7_000.0, Outcome::Reset, true, 100.0);
    other.flow_ended(9_000.0, Outcome::Reset, true, 100.0);
    assert_eq!(spans(&other), [], "two broken connections, far apart");
    other.flow_ended(9_100.0, Outcome::Reset, true, 100.0);
    assert_eq!(spans(&other), [(MemberState::Dead, 9_000.0, None)]);
}

#[test]
fn overlapping_states_of_a_member_are_separate_spans() {
    let mut history = history();
    history.flow_ended(5_000.0, Outcome::TimedOut, false, 700.0);
    history.flow_ended(5_100.0, Outcome::TimedOut, false, 700.0);
    history.listed(NODE, 6_000.0, Phase::Draining, None, false);
    history.listed(NODE, 9_000.0, Phase::Gone, None, false);
    history.listed(NODE, 20_000.0, Phase::Serving, Some(19_500.0), false);
    history.viewed(NODE, 20_500.0, 0.2, false);
    history.viewed(NODE, 29_500.0, 1.0, false);
    let wanted = [
        (MemberState::Silent, 4_300.0, Some(9_000.0)),
        (MemberState::Draining, 6_000.0, Some(9_000.0)),
        (MemberState::Gone, 9_000.0, Some(19_500.0)),
        (MemberState::Cold, 19_500.0, Some(29_500.0)),
    ];
    assert_eq!(spans(&history), wanted);
}

#[test]
fn a_node_with_an_older_member_list_does_not_end_a_drain() {
    let mut history = history();
    history.listed(NODE, 2_000.0, Phase::Draining, None, false);
    history.listed(Origin(1), 2_500.0, Phase::Serving, None, false);
    assert_eq!(spans(&history), [(MemberState::Draining, 2_000.0, None)]);
    history.listed(Origin(1), 2_700.0, Phase::Draining, None, false);
    history.listed(NODE, 9_000.0, Phase::Serving, None, false);
    assert_eq!(spans(&history), [(MemberState::Draining, 2_000.0, Some(9_000.0))]);
}
