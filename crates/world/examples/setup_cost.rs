//! What the decision module spends on a set-up, at 10 and at 60 members and with 10 and 1,000 connections standing:
//! `cargo run --release -p hopmoor-world --example setup_cost`. Microseconds, the median of five rounds, and the
//! ratio of 60 members to 10.

use hopmoor::{
    Action, BackendId, BackendInfo, Balancer, Event, ListScope, Outcome, Request, RequestId, Settings,
};
use std::time::Instant;

const SETUPS: u64 = 20_000;

/// One connection comes and one goes, with so many standing; the clock moves 5 ms a set-up.
fn round(members: u64, standing: u64) -> f64 {
    let mut balancer = Balancer::new(Settings::default(), 7);
    let mut actions = Vec::new();
    let entries =
        (0..members).map(|id| BackendInfo { id: BackendId(id), weight: 1.0, ..BackendInfo::default() });
    let entries = entries.collect();
    balancer.handle(0.0, Event::Backends { scope: ListScope::Whole, entries }, &mut actions);
    let mut placed = std::collections::VecDeque::new();
    let mut began = Instant::now();
    for number in 0..standing + SETUPS {
        if number == standing {
            began = Instant::now();
        }
        let (now, id) = (number as f64 * 5.0, RequestId(number));
        actions.clear();
        let request = Request { id, grace_ms: 2_000.0, ..Request::default() };
        balancer.handle(now, Event::Request(request), &mut actions);
        let sent = actions.iter().find_map(|action| match action {
            Action::Attempt { backend, .. } => Some(*backend),
            _ => None,
        });
        let Some(backend) = sent else { continue };
        balancer.handle(now, Event::Established { id, took_ms: 5.0 }, &mut actions);
        placed.push_back((id, backend));
        if number >= standing
            && let Some((id, backend)) = placed.pop_front()
        {
            let (outcome, closed) = (Outcome::Ok, true);
            let ended = Event::Ended { id, attempt: 0, backend, outcome, closed, report: None };
            balancer.handle(now, ended, &mut actions);
        }
    }
    began.elapsed().as_secs_f64() * 1e6 / SETUPS as f64
}

fn main() {
    for standing in [10, 1_000] {
        let median = |members| {
            let mut rounds: Vec<f64> = (0..5).map(|_| round(members, standing)).collect();
            rounds.sort_by(f64::total_cmp);
            rounds[2]
        };
        let (few, many) = (median(10), median(60));
        println!(
            "{standing} standing: 10 members {few:.2} us, 60 members {many:.2} us, ratio {:.2}",
            many / few
        );
    }
}
