use super::*;

const HERE: Origin = Origin(0);

fn track() -> Track {
    let mut track = Track::default();
    track.listed(HERE, 0.0, Phase::Serving, None, false);
    track.served(1_000.0);
    track
}

fn spans(track: &Track) -> Vec<(MemberState, f64, Option<f64>)> {
    track.spans().iter().map(|span| (span.state, span.from, span.until)).collect()
}

#[test]
fn one_late_answer_is_no_silence_and_two_are() {
    let mut track = track();
    track.flow(3_000.0, Outcome::TimedOut, false, 700.0);
    track.served(3_100.0);
    track.flow(5_000.0, Outcome::TimedOut, false, 700.0);
    assert_eq!(spans(&track), []);
    track.flow(5_200.0, Outcome::TimedOut, false, 700.0);
    track.probed(8_000.0, Outcome::Ok, Some(0.5));
    assert_eq!(spans(&track), [(MemberState::Silent, 4_300.0, Some(8_000.0))]);
}

#[test]
fn silence_does_not_begin_before_the_last_answer() {
    let mut track = track();
    track.served(4_900.0);
    track.flow(5_000.0, Outcome::TimedOut, false, 700.0);
    track.flow(5_200.0, Outcome::TimedOut, false, 700.0);
    assert_eq!(spans(&track), [(MemberState::Silent, 4_900.0, None)]);
}

#[test]
fn a_drain_that_breaks_connections_at_its_end_is_no_death_and_a_sudden_end_is() {
    let mut track = track();
    track.listed(HERE, 2_000.0, Phase::Draining, None, false);
    (0..9).for_each(|_| track.flow(7_000.0, Outcome::Reset, true, 100.0));
    track.listed(HERE, 7_200.0, Phase::Gone, None, false);
    assert_eq!(
        spans(&track),
        [(MemberState::Draining, 2_000.0, Some(7_200.0)), (MemberState::Gone, 7_200.0, None)]
    );
    let mut other = self::track();
    other.flow(7_000.0, Outcome::Reset, true, 100.0);
    other.flow(9_000.0, Outcome::Reset, true, 100.0);
    assert_eq!(spans(&other), [], "two broken connections, far apart");
    other.flow(9_100.0, Outcome::Reset, true, 100.0);
    assert_eq!(spans(&other), [(MemberState::Dead, 9_000.0, None)]);
}

#[test]
fn three_troubles_on_one_member_are_three() {
    let mut track = track();
    track.flow(5_000.0, Outcome::TimedOut, false, 700.0);
    track.flow(5_100.0, Outcome::TimedOut, false, 700.0);
    track.listed(HERE, 6_000.0, Phase::Draining, None, false);
    track.listed(HERE, 9_000.0, Phase::Gone, None, false);
    track.listed(HERE, 20_000.0, Phase::Serving, Some(19_500.0), false);
    track.viewed(HERE, 20_500.0, 0.2, false);
    track.viewed(HERE, 29_500.0, 1.0, false);
    let wanted = [
        (MemberState::Silent, 4_300.0, Some(9_000.0)),
        (MemberState::Draining, 6_000.0, Some(9_000.0)),
        (MemberState::Gone, 9_000.0, Some(19_500.0)),
        (MemberState::Cold, 19_500.0, Some(29_500.0)),
    ];
    assert_eq!(spans(&track), wanted);
}

#[test]
fn a_node_with_an_older_list_changes_nothing() {
    let mut track = track();
    track.listed(HERE, 2_000.0, Phase::Draining, None, false);
    track.listed(Origin(1), 2_500.0, Phase::Serving, None, false);
    assert_eq!(spans(&track), [(MemberState::Draining, 2_000.0, None)]);
    track.listed(Origin(1), 2_700.0, Phase::Draining, None, false);
    track.listed(HERE, 9_000.0, Phase::Serving, None, false);
    assert_eq!(spans(&track), [(MemberState::Draining, 2_000.0, Some(9_000.0))]);
}
