//! Measures the time that the decision module takes to set up and end a connection, with 10 and 60 members
//! and with 10 and 1,000 open connections: `cargo run --release -p hopmoor-world --example setup_cost`.
//! Prints the median of five rounds, in microseconds, and the ratio of 60 members to 10.

use hopmoor::{
    Action, BackendId, BackendInfo, Balancer, Event, ListScope, Outcome, Request, RequestId, Settings,
};
use std::time::Instant;

/// Connections set up in each round.
const SETUPS: u64 = 20_000;

/// Mean time, in microseconds, to open one connection and end the oldest, with `open` connections kept open.
/// The virtual clock advances 5 ms for each connection.
fn round_us(members: u64, open: u64) -> f64 {
    let mut balancer = Balancer::new(Settings::default(), 7);
    let mut actions = Vec::new();
    let entries =
        (0..members).map(|id| BackendInfo { id: BackendId(id), weight: 1.0, ..BackendInfo::default() });
    let entries = entries.collect();
    balancer.handle(0.0, Event::Backends { scope: ListScope::Whole, entries }, &mut actions);
    let mut open_connections = std::collections::VecDeque::new();
    let mut started = Instant::now();
    for number in 0..open + SETUPS {
        if number == open {
            started = Instant::now();
        }
        let (now, id) = (number as f64 * 5.0, RequestId(number));
        actions.clear();
        let request = Request { id, grace_ms: 2_000.0, ..Request::default() };
        balancer.handle(now, Event::Request(request), &mut actions);
        let chosen = actions.iter().find_map(|action| match action {
            Action::Attempt { backend, .. } => Some(*backend),
            _ => None,
        });
        let Some(backend) = chosen else { continue };
        balancer.handle(now, Event::Established { id, took_ms: 5.0 }, &mut actions);
        open_connections.push_back((id, backend));
        if number >= open
            && let Some((id, backend)) = open_connections.pop_front()
        {
            let (outcome, closed) = (Outcome::Ok, true);
            let ended = Event::Ended { id, attempt: 0, backend, outcome, closed, report: None };
            balancer.handle(now, ended, &mut actions);
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / SETUPS as f64
}

fn main() {
    for open in [10, 1_000] {
        let median = |members| {
            let mut rounds: Vec<f64> = (0..5).map(|_| round_us(members, open)).collect();
            rounds.sort_by(f64::total_cmp);
            rounds[2]
        };
        let (few, many) = (median(10), median(60));
        println!("{open} standing: 10 members {few:.2} us, 60 members {many:.2} us, ratio {:.2}", many / few);
    }
}
