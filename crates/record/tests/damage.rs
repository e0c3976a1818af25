//! What a crash, a bad disk or a stranger leaves in a folder: every whole record before the damage is read, the
//! next segment is read again, and nothing panics.
use hopmoor_record::folder::Item;
use hopmoor_record::*;
use proptest::prelude::*;
use std::path::Path;
use std::time::Duration;

fn header(started: f64) -> Header {
    Header { node: "n-1".into(), started, base: started, wall: started, ..Header::default() }
}

fn asked(at: f64, transaction: u64) -> Record {
    let asked = Asked {
        transaction,
        class: 1,
        tenant: 2,
        coming: ArrivalKind::First,
        adopted: false,
        grace_ms: 1_800.0,
    };
    Record { at, event: asked.into() }
}

fn member(at: f64, number: u64, phase: Phase) -> Record {
    let (member, name) = (MemberId(number), format!("s-{number}"));
    let listed = Member { member, name, phase, zone: 0, weight: 1.0, born: None, again: false };
    Record { at, event: listed.into() }
}

fn segment(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let encoder = Encoder::begin(&header(1_000.0), &mut bytes).unwrap();
    records.iter().for_each(|record| encoder.record(record, &mut bytes).unwrap());
    bytes
}

fn decode(bytes: &[u8], piece: usize) -> (Vec<Record>, Option<Damage>) {
    let (mut decoder, mut records) = (Decoder::new(), Vec::new());
    for piece in bytes.chunks(piece) {
        decoder.feed(piece);
        records.extend(std::iter::from_fn(|| decoder.next_record()));
    }
    (records, decoder.at_end())
}

fn read(folder: &Path) -> (Vec<Record>, Vec<Damage>) {
    let (mut records, mut damages) = (Vec::new(), Vec::new());
    for item in Folder::list(folder).unwrap().read() {
        match item {
            Item::Record(record) => records.push(record),
            Item::Damaged(_, damage) => damages.push(damage),
            Item::Segment(_) => {}
        }
    }
    (records, damages)
}

/// Killed at any byte of the last record: all before it are read, and the tail is told.
#[test]
fn a_torn_tail_costs_the_torn_record_alone() {
    let records: Vec<_> = (0..5).map(|n| asked(1_000.0 + n as f64, n)).collect();
    let (all, four) = (segment(&records), segment(&records[..4]));
    assert_eq!(decode(&all, 3), (records.clone(), None));
    for end in four.len() + 1..all.len() {
        let (read, damage) = decode(&all[..end], 64);
        assert_eq!(read, records[..4], "cut at {end}");
        assert_eq!(damage, Some(Damage::Torn { at: four.len() as u64 }));
    }
}

#[test]
fn a_newer_format_and_foreign_bytes_are_refused_by_name() {
    let mut bytes = segment(&[asked(1_000.0, 1)]);
    bytes[8] = 2;
    let (read, damage) = decode(&bytes, 10);
    assert!(read.is_empty());
    assert_eq!(damage, Some(Damage::Newer { format: 2 }));
    assert!(damage.unwrap().to_string().contains("newer program"));
    assert_eq!(decode(b"<html>", 1).1, Some(Damage::Foreign));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600), cut in 1usize..80) {
        decode(&bytes, cut);
        let mut framed = segment(&[]);
        framed.extend(&bytes);
        decode(&framed, cut);
    }

    /// A record is read as it was written or not at all, and those before the flipped bit all are.
    #[test]
    fn a_flipped_bit_never_makes_another_record(at in 0usize..2_000, bit in 0u8..8) {
        let records: Vec<_> = (0..20u32).map(|n| asked(1_000.0 + f64::from(n), u64::from(n))).collect();
        let mut bytes = segment(&records);
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let (read, damage) = decode(&bytes, 50);
        let head = segment(&[]).len();
        let whole = (0..=20).take_while(|n| segment(&records[..*n]).len() <= at).last().unwrap_or(0);
        prop_assert!(damage.is_some());
        prop_assert_eq!(&read[..], &records[..if at < head { 0 } else { whole }]);
    }
}

#[test]
fn a_damaged_segment_hides_neither_the_next_nor_that_it_is_damaged() {
    let folder = tempfile::tempdir().unwrap();
    let keep = Retention { segment_bytes: 150, ..Retention::default() };
    let mut writer = Writer::new(RealDisk, folder.path(), keep, header(1_000.0)).unwrap();
    for n in 0..60 {
        writer.write(1_000.0 + n as f64, 0.0, &[asked(1_000.0 + n as f64, n)]);
    }
    drop(writer);
    let segments = Folder::list(folder.path()).unwrap().segments;
    assert!(segments.len() > 4 && segments[0].sealed && !segments.last().unwrap().sealed);
    assert_eq!(read(folder.path()).0.len(), 60);
    assert_eq!(read(folder.path()).1, []);
    let mut bytes = std::fs::read(&segments[1].path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    std::fs::write(&segments[1].path, bytes).unwrap();
    std::fs::remove_file(&segments[3].path).unwrap();
    let (records, damages) = read(folder.path());
    assert!(records.len() < 60 && records.last().unwrap().event.kind() == 9);
    assert!(matches!(records.last().unwrap().event, Event::Asked(Asked { transaction: 59, .. })));
    assert!(matches!(damages[..], [Damage::Packed { .. }, Damage::Missing { segments: 1 }]), "{damages:?}");
}

#[test]
fn a_restart_goes_on_in_a_new_segment_and_each_names_its_members() {
    let folder = tempfile::tempdir().unwrap();
    let keep = Retention { segment_bytes: 200, ..Retention::default() };
    for run in 0..3 {
        let began = 1_000.0 * f64::from(run + 1);
        let mut writer = Writer::new(RealDisk, folder.path(), keep, header(began)).unwrap();
        writer.write(began, 0.0, &[member(began, 5, Phase::Serving), member(began, 6, Phase::Serving)]);
        writer.write(began + 1.0, 0.0, &[member(began + 1.0, 6, Phase::Gone), asked(began + 1.0, 1)]);
        for n in 0..20 {
            writer.write(began + 2.0, 0.0, &[asked(began + 2.0, n)]);
        }
    }
    let listed = Folder::list(folder.path()).unwrap();
    let last = Folder { segments: vec![listed.segments.last().unwrap().clone()], ..listed.clone() };
    let again: Vec<_> =
        last.read().filter(|item| matches!(item, Item::Record(r) if r.event.kind() == 5)).collect();
    assert!(
        matches!(&again[..], [Item::Record(Record { event: Event::Member(m), .. })] if m.name == "s-5" && m.again)
    );
    let runs = Merged::new(vec![listed]).filter(|(_, _, step)| matches!(step, merge::Step::Run(_))).count();
    assert_eq!(runs, 3);
}

#[test]
fn the_oldest_go_as_size_and_age_ask() {
    let folder = tempfile::tempdir().unwrap();
    let keep = Retention { segment_bytes: 300, keep_bytes: 1_500, ..Retention::default() };
    let mut writer = Writer::new(RealDisk, folder.path(), keep, header(1_000.0)).unwrap();
    for n in 0..500 {
        writer.write(1_000.0 + n as f64, 0.0, &[asked(1_000.0 + n as f64, n)]);
    }
    let listed = Folder::list(folder.path()).unwrap().segments;
    let all: u64 = listed.iter().map(|segment| segment.bytes).sum();
    assert!(all < 2_200 && listed[0].sequence > 10, "{all} bytes from {}", listed[0].sequence);
    let aged = Retention { keep_for: Duration::ZERO, ..keep };
    std::thread::sleep(Duration::from_millis(20));
    drop(Writer::new(RealDisk, folder.path(), aged, header(9_000.0)).unwrap());
    assert_eq!(Folder::list(folder.path()).unwrap().segments.len(), 1);
}

#[test]
fn a_clock_that_steps_back_never_turns_the_order_round() {
    let folder = tempfile::tempdir().unwrap();
    for began in [50_000.0, 20_000.0] {
        let mut writer = Writer::new(RealDisk, folder.path(), Retention::default(), header(began)).unwrap();
        writer.write(began, 0.0, &[asked(began, 1), asked(began + 500.0, 2)]);
    }
    let steps: Vec<_> = Merged::new(vec![Folder::list(folder.path()).unwrap()]).collect();
    assert!(steps.is_sorted_by(|a, b| a.1 <= b.1));
    let shift = steps.iter().find_map(|(_, _, step)| match step {
        merge::Step::ClockShifted(by) => Some(*by),
        _ => None,
    });
    assert_eq!(shift, Some(30_500.0));
}

/// A tail sees each record once, over sealing and over the restart of the node.
#[test]
fn a_tail_follows_sealing_and_restarts() {
    let folder = tempfile::tempdir().unwrap();
    let keep = Retention { segment_bytes: 400, ..Retention::default() };
    let mut seen = Vec::new();
    let mut tail = None;
    for run in 0..3u64 {
        let began = 1_000.0 + run as f64 * 1_000.0;
        let mut writer = Writer::new(RealDisk, folder.path(), keep, header(began)).unwrap();
        let tail = tail.get_or_insert_with(|| Tail::new(folder.path(), true).unwrap());
        for n in 0..40 {
            writer.write(began, 0.0, &[asked(began + n as f64, run * 100 + n)]);
            if n % 3 == 0 {
                for item in tail.poll(1_000) {
                    if let Item::Record(Record { event: Event::Asked(asked), .. }) = item {
                        seen.push(asked.transaction);
                    }
                }
            }
        }
    }
    for item in tail.unwrap().poll(1_000) {
        if let Item::Record(Record { event: Event::Asked(asked), .. }) = item {
            seen.push(asked.transaction);
        }
    }
    let wanted: Vec<u64> = (0..3).flat_map(|run| (0..40).map(move |n| run * 100 + n)).collect();
    assert_eq!(seen, wanted);
}

/// A tail that begins late finds sealed segments first, and goes on behind them.
#[test]
fn a_tail_from_the_oldest_reads_through_sealed_segments() {
    let folder = tempfile::tempdir().unwrap();
    let keep = Retention { segment_bytes: 300, ..Retention::default() };
    let mut writer = Writer::new(RealDisk, folder.path(), keep, header(1_000.0)).unwrap();
    let mut write = |n: u64| writer.write(1_000.0 + n as f64, 0.0, &[asked(1_000.0 + n as f64, n)]);
    (0..60).for_each(&mut write);
    assert!(Folder::list(folder.path()).unwrap().segments[0].sealed);
    let mut tail = Tail::new(folder.path(), true).unwrap();
    let mut read = || tail.poll(1_000).iter().filter(|item| matches!(item, Item::Record(_))).count();
    assert_eq!(read(), 60);
    (60..65).for_each(&mut write);
    assert_eq!(read(), 5);
}

/// Heads hold the whole pool: a large one must not have each batch begin a new segment. A name that fits no frame is
/// left out and lets the rest be recorded.
#[test]
fn a_large_pool_neither_churns_segments_nor_stops_the_recording() {
    let folder = tempfile::tempdir().unwrap();
    let keep = Retention { segment_bytes: 4_096, ..Retention::default() };
    let mut writer = Writer::new(RealDisk, folder.path(), keep, header(1_000.0)).unwrap();
    let mut pool: Vec<_> = (0..2_000).map(|number| member(1_000.0, number, Phase::Serving)).collect();
    if let Event::Member(member) = &mut pool[7].event {
        member.name = "x".repeat(70_000);
    }
    writer.write(1_000.0, 0.0, &pool);
    for n in 0..100 {
        writer.write(1_001.0, 0.0, &[asked(1_001.0, n)]);
    }
    assert!(Folder::list(folder.path()).unwrap().segments.len() <= 3);
    let (records, damages) = read(folder.path());
    assert_eq!(records.iter().filter(|record| record.event.kind() == 9).count(), 100);
    assert!(damages.is_empty() && writer.lost() == 1, "{damages:?}");
}
