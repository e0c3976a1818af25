//! Clock steps: records stay in the order in which they were written, and the findings report the step.
use hopmoor_incident::{RunEnd, analyse};
use hopmoor_record::folder::Item;
use hopmoor_record::{ArrivalKind, Asked, Counters, Event, Gap, Header, Merged, Record, Stopped};
use std::sync::Arc;

fn header(node: &str, started: f64) -> Item {
    Item::Segment(Arc::new(Header { node: node.into(), started, base: started, ..Header::default() }))
}

fn record(at: f64, event: impl Into<Event>) -> Item {
    Item::Record(Record { at, event: event.into() })
}

fn asked(at: f64, transaction: u64) -> Item {
    let (class, tenant, coming) = (0, 0, ArrivalKind::First);
    record(at, Asked { transaction, class, tenant, coming, adopted: false, grace_ms: 1_000.0 })
}

#[test]
fn a_run_on_an_earlier_clock_is_placed_after_the_run_before_it() {
    let one = vec![header("a", 100_000.0), asked(101_000.0, 1), header("a", 40_000.0), asked(41_000.0, 1)];
    let two = vec![
        header("b", 100_000.0),
        asked(100_500.0, 1),
        record(103_000.0, Gap { lost: 7, since: 101_500.0, disk: true }),
        record(103_500.0, Stopped { left_behind: 0 }),
    ];
    let readers: Vec<Box<dyn Iterator<Item = Item>>> =
        vec![Box::new(one.into_iter()), Box::new(two.into_iter())];
    let found = analyse(Merged::of(readers));
    let runs = &found.nodes[0].runs;
    assert_eq!((runs[0].until, runs[0].end), (101_000.0, RunEnd::Cut));
    assert_eq!((runs[1].from, runs[1].until, runs[1].end), (101_000.0, 102_000.0, RunEnd::RecordsEnd));
    assert_eq!((found.from, found.until), (100_000.0, 103_500.0));
    let doubts: Vec<_> =
        found.doubts.iter().map(|doubt| (doubt.node.as_str(), doubt.what.as_str())).collect();
    assert!(doubts.iter().any(|(node, what)| *node == "a" && what.contains("61.0 s earlier")), "{doubts:?}");
    assert!(doubts.iter().any(|(node, what)| *node == "b" && what.contains("7 records lost for the disk")));
    assert_eq!((found.nodes[1].gaps[0].from, found.nodes[1].gaps[0].until), (101_500.0, 103_000.0));
}

#[test]
fn a_step_of_the_host_clock_moves_no_records_and_is_reported() {
    let counters = |at: f64, wall: f64| record(at, Counters { wall, values: Vec::new() });
    let items = vec![
        header("a", 1e9),
        counters(1e9 + 1_000.0, 1e9 + 1_000.0),
        counters(1e9 + 2_000.0, 1e9 + 2_004.0),
        counters(1e9 + 3_000.0, 1e9 - 17_000.0),
        counters(1e9 + 4_000.0, 1e9 - 16_000.0),
    ];
    let found = analyse(Merged::of(vec![Box::new(items.into_iter())]));
    assert_eq!(found.until, 1e9 + 4_000.0);
    assert_eq!(found.doubts.len(), 1, "{:?}", found.doubts);
    assert!(found.doubts[0].what.contains("set by -20.0 s"));
}
