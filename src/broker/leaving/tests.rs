use super::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Call {
    Drain,
    Resume,
    End,
    ClientRequest,
    Leave,
    Wait,
}

fn calls() -> impl Strategy<Value = Vec<Call>> {
    use Call::*;
    let one = prop_oneof![
        1 => Just(Drain), 1 => Just(Resume), 1 => Just(End), 6 => Just(ClientRequest), 2 => Just(Leave), 20 => Just(Wait)
    ];
    prop::collection::vec(one, 1..400)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// In any order of calls: none moves while the node stays, none is left long after a drain or at the end,
    /// and a drain or an end once begun is not begun anew.
    #[test]
    fn nobody_moves_without_need_and_nobody_is_left(calls in calls(), longest in 0.0..8_000.0) {
        let (mut leaving, mut now, mut standing) = (Leaving::Not, 0.0, 0usize);
        let ending = Ending::new(longest);
        let mut since: Option<(Millis, Millis)> = None;
        for call in calls {
            match call {
                Call::Drain => {
                    let began = leaving.drain(now);
                    prop_assert_eq!(began, since.is_none());
                    since = since.or(Some((now, 4_000.0)));
                }
                Call::Resume => {
                    let may = since.is_none_or(|(_, within)| within == 4_000.0);
                    prop_assert_eq!(leaving.resume(), may);
                    since = since.filter(|_| !may);
                }
                Call::End => {
                    let anew = since.is_none_or(|(_, within)| within == 4_000.0);
                    prop_assert_eq!(leaving.end(now, ending), anew);
                    since = if anew { Some((now, ending.by + STEP_MS)) } else { since };
                }
                Call::ClientRequest => standing += 1,
                Call::Leave => standing = standing.saturating_sub(1),
                Call::Wait => now += STEP_MS,
            }
            if matches!(call, Call::Wait) {
                let due = leaving.due(now, standing);
                prop_assert_eq!(due.is_some(), since.is_some());
                prop_assert!(due.unwrap_or(0) <= standing);
                standing -= due.unwrap_or(0);
            }
            if let Some((_, within)) = since.filter(|(from, within)| matches!(call, Call::Wait) && now > from + within) {
                prop_assert_eq!(standing, 0, "{} ms after the call", within);
            }
            prop_assert_eq!(leaving.takes_clients(), since.is_none_or(|(_, within)| within != 4_000.0));
        }
    }
}

#[test]
fn a_drain_waits_for_the_front_and_ends_in_time() {
    let mut leaving = Leaving::Not;
    assert!(leaving.drain(1_000.0));
    assert_eq!(leaving.due(1_000.0 + FRONT_MS, 100), Some(0));
    assert_eq!(leaving.due(1_000.0 + (FRONT_MS + DRAIN_MS) / 2.0, 100), Some(50));
    assert_eq!(leaving.due(1_000.0 + DRAIN_MS, 50), Some(50));
}
