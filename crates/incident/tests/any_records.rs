//! Whatever a node may have recorded, in whatever order: no panic, and sums that hold.
use hopmoor_incident::{Dashboard, Findings, analyse};
use hopmoor_record::folder::Item;
use hopmoor_record::*;
use proptest::prelude::*;
use std::sync::Arc;

fn outcome() -> impl Strategy<Value = Outcome> {
    use Outcome::{Cancelled, Error, Full, NotSent, Ok, Reset, TimedOut, Unreachable};
    prop::sample::select(vec![Ok, Error, Full, TimedOut, Unreachable, Reset, Cancelled, NotSent])
}

fn event() -> impl Strategy<Value = Event> {
    let member = (0u64..4).prop_map(MemberId);
    let phase = prop::sample::select(vec![Phase::Serving, Phase::Draining, Phase::Gone]);
    let coming = prop::sample::select(vec![ArrivalKind::First, ArrivalKind::Retry, ArrivalKind::Return]);
    let reason = prop::sample::select(vec![
        MoveReason::Draining,
        MoveReason::Gone,
        MoveReason::Leaving,
        MoveReason::Relief,
        MoveReason::Member,
    ]);
    let answer = prop::sample::select(vec![
        Answer::Served,
        Answer::Left,
        Answer::Rejected { again_ms: 300.0 },
        Answer::Failed(Failure::Deadline),
    ]);
    prop_oneof![
        (0u64..12, 0u32..3, coming).prop_map(|(transaction, class, coming)| {
            Asked { transaction, class, tenant: class % 2, coming, adopted: false, grace_ms: 900.0 }.into()
        }),
        (0u64..12, 0u32..3, answer, member.clone(), 0f32..2_000.0).prop_map(
            |(transaction, class, answer, member, waited_ms)| {
                Answered {
                    transaction,
                    class,
                    tenant: class % 2,
                    answer,
                    waited_ms,
                    flows: 1,
                    member: Some(member),
                }
                .into()
            }
        ),
        (0u64..12, member.clone(), outcome(), any::<bool>(), 0f32..9_000.0).prop_map(
            |(transaction, member, outcome, stood, took_ms)| {
                Flow { transaction, member, outcome, stood, by_client: stood, took_ms }.into()
            }
        ),
        (0u64..12, member.clone(), reason).prop_map(|(transaction, member, reason)| {
            Moved { transaction, member, reason, stood_ms: None }.into()
        }),
        (member.clone(), outcome(), prop::option::of(any::<f32>()), prop::option::of(any::<f32>())).prop_map(
            |(member, outcome, load, message_ms)| Probed { member, outcome, load, message_ms }.into()
        ),
        (member.clone(), phase, prop::option::of(0f64..90_000.0), any::<bool>()).prop_map(
            |(member, phase, born, again)| {
                Member { member, name: format!("s-{}", member.0), phase, zone: 7, weight: 1.0, born, again }
                    .into()
            }
        ),
        (member, any::<f32>(), any::<f32>()).prop_map(|(member, warmth, avoided_ms)| {
            let (open, report, message_ms, fails) = (1, None, None, 0);
            View { member, open, report, message_ms, trouble: 0.0, weight: 1.0, warmth, avoided_ms, fails }
                .into()
        }),
        (0u64..90, 0f64..90_000.0).prop_map(|(lost, since)| Gap { lost, since, disk: false }.into()),
        Just(Stopped { left_behind: 1 }.into()),
        Just(Blind {}.into()),
        prop::sample::select(vec![NeighbourState::Alive, NeighbourState::Dead, NeighbourState::Left])
            .prop_map(|state| Neighbour { name: "n-2".into(), state, incarnation: 3 }.into()),
    ]
}

fn items(node: &str, events: Vec<(f64, Event, bool)>) -> Vec<Item> {
    let mut at = 10_000.0;
    let class =
        |worth| codec::Class { name: format!("c{worth}"), worth, aim_ms: 300.0, message_aim_ms: 50.0 };
    let site = codec::Site {
        classes: vec![class(1.0), class(5.0)],
        tenants: vec!["t".into()],
        ..Default::default()
    };
    let head = |at: f64| {
        Item::Segment(Arc::new(Header {
            node: node.into(),
            started: at,
            base: at,
            site: site.clone(),
            ..Header::default()
        }))
    };
    let mut items = vec![head(at)];
    for (passed, event, restarts) in events {
        at += passed;
        if restarts {
            items.push(head(at));
        }
        items.push(Item::Record(Record { at, event }));
    }
    items
}

fn check(found: &Findings) {
    let service = found.service;
    assert!(
        service.asked.is_finite() && service.lost >= 0.0 && service.lost <= service.asked + 1e-6,
        "{service:?}"
    );
    assert!((0.0..=1.0).contains(&service.share_lost));
    for span in found.members.iter().flat_map(|member| &member.spans) {
        assert!(span.from <= found.until && span.until.is_none_or(|until| until >= span.from), "{span:?}");
    }
    let explained: f64 = found.incidents.iter().map(|incident| incident.lost).sum();
    assert!(explained <= service.lost * 1.001 + 0.1, "{explained} of {}", service.lost);
    assert!(found.nodes.iter().flat_map(|node| &node.runs).all(|run| run.from <= run.until));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sums_hold_whatever_was_recorded(
        a in proptest::collection::vec((0f64..900.0, event(), prop::bool::weighted(0.02)), 0..150),
        b in proptest::collection::vec((0f64..900.0, event(), prop::bool::weighted(0.02)), 0..150),
    ) {
        let read = || {
            let of = |items: Vec<Item>| Box::new(items.into_iter()) as Box<dyn Iterator<Item = Item>>;
            Merged::of(vec![of(items("a", a.clone())), of(items("b", b.clone()))])
        };
        check(&analyse(read()));
        let mut dashboard = Dashboard::default();
        for (origin, at, step) in read() {
            dashboard.feed(origin, at, &step);
        }
        prop_assert!(dashboard.rows().len() <= 4);
    }
}
