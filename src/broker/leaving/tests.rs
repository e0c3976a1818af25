use super::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Call {
    Drain,
    Resume,
    End,
    Connect,
    Leave,
    Wait,
}

fn calls() -> impl Strategy<Value = Vec<Call>> {
    use Call::*;
    let one = prop_oneof![
        1 => Just(Drain), 1 => Just(Resume), 1 => Just(End), 6 => Just(Connect),
        2 => Just(Leave), 20 => Just(Wait)
    ];
    prop::collection::vec(one, 1..400)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any order of calls: no client is moved while the node stays, none is left after the allowed time
    /// of a drain or shutdown, whatever comes after it, and one in progress is not started again. Once told to
    /// drain the node takes no clients until it is resumed, also while it shuts down (review case 3).
    #[test]
    fn clients_move_only_while_the_node_leaves_and_none_is_left(calls in calls(), longest in 0.0..8_000.0) {
        let (mut leaving, mut now, mut established) = (Leaving::No, 0.0, 0usize);
        let shutdown_times = ShutdownTimes::new(longest);
        // When the drain and the shutdown in progress have to have moved all clients.
        let (mut drained_by, mut ended_by): (Option<Millis>, Option<Millis>) = (None, None);
        for call in calls {
            match call {
                Call::Drain => {
                    let starts = drained_by.is_none() && ended_by.is_none();
                    prop_assert_eq!(leaving.drain(now), starts);
                    drained_by = if starts { Some(now + 4_000.0) } else { drained_by };
                }
                Call::Resume => {
                    prop_assert_eq!(leaving.resume(), ended_by.is_none());
                    drained_by = drained_by.filter(|_| ended_by.is_some());
                }
                Call::End => {
                    prop_assert_eq!(leaving.end(now, shutdown_times), ended_by.is_none());
                    ended_by = ended_by.or(Some(now + shutdown_times.done_by + MOVE_STEP_MS));
                }
                Call::Connect => established += 1,
                Call::Leave => established = established.saturating_sub(1),
                Call::Wait => now += MOVE_STEP_MS,
            }
            if matches!(call, Call::Wait) {
                let due = leaving.moves_due(now, established);
                prop_assert_eq!(due.is_some(), drained_by.is_some() || ended_by.is_some());
                prop_assert!(due.unwrap_or(0) <= established);
                established -= due.unwrap_or(0);
            }
            for by in [drained_by, ended_by].into_iter().flatten() {
                prop_assert!(!matches!(call, Call::Wait) || now <= by || established == 0, "{} ms late", now - by);
            }
            prop_assert_eq!(leaving.takes_clients(), drained_by.is_none());
        }
    }
}

#[test]
fn a_drain_waits_for_the_fronts_poll_and_ends_in_time() {
    let mut leaving = Leaving::No;
    assert!(leaving.drain(1_000.0));
    assert_eq!(leaving.moves_due(1_000.0 + FRONT_POLL_GRACE_MS, 100), Some(0));
    assert_eq!(leaving.moves_due(1_000.0 + (FRONT_POLL_GRACE_MS + DRAIN_DURATION_MS) / 2.0, 100), Some(50));
    assert_eq!(leaving.moves_due(1_000.0 + DRAIN_DURATION_MS, 50), Some(50));
}
