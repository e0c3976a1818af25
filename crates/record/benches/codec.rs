//! What a record costs: to bytes, and back.
use divan::{Bencher, counter::ItemsCount};
use hopmoor_record::*;

fn main() {
    divan::main();
}

fn records() -> Vec<Record> {
    (0..1_000u64)
        .map(|n| {
            let member = MemberId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let (transaction, class, tenant) = (n, 1, 2);
            let event = match n % 3 {
                0 => Asked {
                    transaction,
                    class,
                    tenant,
                    coming: ArrivalKind::First,
                    adopted: false,
                    grace_ms: 1_800.0,
                }
                .into(),
                1 => Answered {
                    transaction,
                    class,
                    tenant,
                    answer: Answer::Served,
                    waited_ms: 3.0,
                    flows: 1,
                    member: Some(member),
                }
                .into(),
                _ => Flow {
                    transaction,
                    member,
                    outcome: Outcome::Ok,
                    stood: true,
                    by_client: true,
                    took_ms: 31_000.0,
                }
                .into(),
            };
            Record { at: 1e12 + n as f64, event }
        })
        .collect()
}

#[divan::bench]
fn encode(bencher: Bencher) {
    let records = records();
    let header = Header { base: 1e12, ..Header::default() };
    bencher.counter(ItemsCount::new(records.len())).bench_local(|| {
        let mut out = Vec::with_capacity(64 * 1024);
        let encoder = Encoder::begin(&header, &mut out).expect("a short header");
        records.iter().for_each(|record| encoder.record(record, &mut out).expect("a short record"));
        out
    });
}

#[divan::bench]
fn decode(bencher: Bencher) {
    let records = records();
    let mut bytes = Vec::new();
    let header = Header { base: 1e12, ..Header::default() };
    let encoder = Encoder::begin(&header, &mut bytes).expect("a short header");
    records.iter().for_each(|record| encoder.record(record, &mut bytes).expect("a short record"));
    eprintln!("{:.1} bytes a record", bytes.len() as f64 / records.len() as f64);
    bencher.counter(ItemsCount::new(records.len())).bench_local(|| {
        let mut decoder = Decoder::new();
        decoder.feed(&bytes);
        std::iter::from_fn(|| decoder.next_record()).count()
    });
}
