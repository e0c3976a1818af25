//! Simulates many nodes in virtual time in front of members that have just started, and compares what all
//! nodes together send to each such member with what the settings allow: N + 2 x root of N + 2 in any span,
//! where N is the multiple of what a member can take at the slowest warm-up. A member can take its even share
//! of the stated rate.
#![allow(dead_code)]
use super::{backend, request};
use hopmoor::*;
use std::collections::{BTreeMap, BinaryHeap};

/// A fleet, its pool and the requests that arrive.
#[derive(Clone, Copy, Debug)]
pub struct WarmupScenario {
    pub nodes: u32,
    pub members: u64,
    /// How many of the members have just started; with zones, all members of the first zone instead.
    pub cold_members: u64,
    /// Requests a second that the tenant's quota covers.
    pub rate: f64,
    /// Requests that arrive, as a multiple of `rate`.
    pub load_factor: f64,
    /// Extra requests that arrive together as the members start, as a multiple of `rate`.
    pub surge: f64,
    /// Number of groups; 0 if requests have no group.
    pub groups: u64,
    /// A node's traffic differs from the others' by up to this factor, upwards and downwards.
    pub share_spread: f64,
    pub overload_factor: f64,
    pub span_ms: f64,
    pub start_capacity: f64,
    pub warm_up_ms: f64,
    /// Number of zones, over which nodes and members are spread evenly.
    pub zones: u32,
    /// Whether the nodes of the first zone restart together with the cold members and have lost what they
    /// knew.
    pub nodes_restarted: bool,
}

impl WarmupScenario {
    /// Whether a node or member, by its index, is in the first zone.
    fn in_first_zone(self, number: u64) -> bool {
        number.is_multiple_of(u64::from(self.zones))
    }

    /// Whether a member, by its index, has just started.
    fn is_cold(self, member: u64) -> bool {
        if self.zones > 1 { self.in_first_zone(member) } else { member < self.cold_members }
    }
}

/// A linear congruential generator.
pub struct Lcg(u64);

impl Lcg {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Returns the largest excess in any span of what was sent to a member that has just started, over the
/// allowance with its margin for chance; and how many connections each such member got on average.
pub fn simulate(scenario: WarmupScenario, seed: u64) -> (f64, f64) {
    let tenants = vec![Tenant {
        quota_connections: scenario.rate * 40.0,
        quota_rate: scenario.rate,
        ..Tenant::default()
    }];
    let settings = |index: u32| Settings {
        zone: ZoneId(index % scenario.zones),
        balancers: scenario.nodes,
        tenants: tenants.clone(),
        start_capacity: scenario.start_capacity,
        warm_up_ms: scenario.warm_up_ms,
        overload_factor: scenario.overload_factor,
        overload_span_ms: scenario.span_ms,
        max_attempts: 6,
        max_retry_after_ms: 1_500.0,
        tick_ms: 2.0,
        ..Settings::default()
    };
    let mut rng = Lcg(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let start_ms = 30_000.0;
    let mut fleet: Vec<FastNode> = (0..scenario.nodes)
        .map(|index| FastNode::new(settings(index), seed * 10_000 + u64::from(index)))
        .collect();
    let backends = |started_at: Option<f64>| -> Vec<BackendInfo> {
        let zone = |id: u64| ZoneId((id % u64::from(scenario.zones)) as u32);
        let entry = |id| BackendInfo {
            zone: zone(id),
            started_at: started_at.filter(|_| scenario.is_cold(id)),
            ..backend(id + 1)
        };
        (0..scenario.members).map(entry).collect()
    };
    for node in &mut fleet {
        node.handle_event(0.0, Event::Backends { scope: ListScope::Whole, entries: backends(None) });
    }
    // Shares of the traffic: some nodes get several times the mean.
    let shares: Vec<f64> =
        (0..scenario.nodes).map(|_| scenario.share_spread.powf(2.0 * rng.next() - 1.0)).collect();
    let total_share: f64 = shares.iter().sum();
    let mut arrivals: Vec<(f64, usize)> = Vec::new();
    for (index, share) in shares.iter().enumerate() {
        let rate_per_ms = scenario.rate * scenario.load_factor * share / total_share / 1_000.0;
        let mut time = 0.0;
        loop {
            time += -(1.0 - rng.next()).ln() / rate_per_ms;
            if time > start_ms + scenario.warm_up_ms {
                break;
            }
            arrivals.push((time, index));
        }
    }
    for _ in 0..(scenario.surge * scenario.rate) as usize {
        arrivals
            .push((start_ms + 100.0 + 900.0 * rng.next(), (rng.next() * f64::from(scenario.nodes)) as usize));
    }
    arrivals.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut sent: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    let mut ends: BinaryHeap<std::cmp::Reverse<(u64, usize, u64, u64)>> = BinaryHeap::new();
    let mut members_started = false;
    for (id, (time, index)) in arrivals.into_iter().enumerate() {
        if time >= start_ms && !members_started {
            members_started = true;
            for (index, node) in (0_u32..).zip(&mut fleet) {
                if scenario.nodes_restarted && scenario.in_first_zone(u64::from(index)) {
                    *node = FastNode::new(settings(index), seed * 20_000 + u64::from(index));
                }
                node.handle_event(
                    start_ms,
                    Event::Backends { scope: ListScope::Whole, entries: backends(Some(start_ms)) },
                );
            }
        }
        while let Some(std::cmp::Reverse((end, index, id, to))) =
            ends.peek().copied().filter(|e| (e.0.0 as f64) < time)
        {
            ends.pop();
            if !(scenario.nodes_restarted
                && members_started
                && scenario.in_first_zone(index as u64)
                && (end as f64) < start_ms)
            {
                fleet[index].end(end as f64, id, BackendId(to));
            }
        }
        let group = (scenario.groups > 0).then(|| {
            let group = (scenario.groups as f64 * rng.next().powi(2)) as u64;
            AffinityKey(group.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
        });
        let node = &mut fleet[index];
        for to in node.ask(time, Request { group, ..request(id as u64) }) {
            if members_started && scenario.is_cold(to.1.0 - 1) {
                sent.entry(to.1.0).or_default().push(to.2);
            }
            let lifetime_ms = -(1.0 - rng.next()).ln() * 40_000.0;
            ends.push(std::cmp::Reverse(((to.2 + lifetime_ms) as u64, index, to.0.0, to.1.0)));
        }
    }
    let capacity = scenario.rate / scenario.members as f64 / 1_000.0;
    let warmth = |age: f64| {
        (scenario.start_capacity + (1.0 - scenario.start_capacity) * age / scenario.warm_up_ms)
            .clamp(scenario.start_capacity, 1.0)
    };
    let mut worst = f64::NEG_INFINITY;
    let mut total = 0;
    for times in sent.values_mut() {
        times.sort_by(f64::total_cmp);
        total += times.len() as u32;
        for (last, time) in times.iter().enumerate() {
            let from = (time - scenario.span_ms).max(start_ms);
            let count = times[..=last].iter().filter(|t| **t >= from).count() as f64;
            let allowed = scenario.overload_factor
                * capacity
                * scenario.span_ms
                * (warmth(from - start_ms) + warmth(time - start_ms))
                / 2.0;
            worst = worst.max(count - (allowed + 2.0 * allowed.sqrt() + 2.0));
        }
    }
    (worst, f64::from(total) / sent.len().max(1) as f64)
}

/// A node in virtual time that jumps from timer to timer. Every attempt is established at once.
struct FastNode {
    balancer: Balancer,
    timers: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    sends: Vec<(RequestId, BackendId, f64)>,
}

impl FastNode {
    fn new(settings: Settings, seed: u64) -> Self {
        FastNode { balancer: Balancer::new(settings, seed), timers: BinaryHeap::new(), sends: Vec::new() }
    }

    fn handle(&mut self, now: f64, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.balancer.handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::SetTimer { at, id } => {
                        self.timers.push(std::cmp::Reverse(((at.max(now) * 1_000.0) as u64, id.0)));
                    }
                    Action::Attempt { id, backend, .. } => {
                        self.sends.push((id, backend, now));
                        events.push(Event::Established { id, took_ms: 20.0 });
                    }
                    _ => {}
                }
            }
        }
    }

    fn handle_event(&mut self, now: f64, event: Event) {
        while let Some(std::cmp::Reverse((at, id))) =
            self.timers.peek().copied().filter(|t| t.0.0 as f64 <= now * 1_000.0)
        {
            self.timers.pop();
            self.handle(at as f64 / 1_000.0, Event::Timer(TimerId(id)));
        }
        self.handle(now, event);
    }

    fn ask(&mut self, now: f64, request: Request) -> Vec<(RequestId, BackendId, f64)> {
        self.handle_event(now, Event::Request(request));
        std::mem::take(&mut self.sends)
    }

    fn end(&mut self, now: f64, id: u64, backend: BackendId) {
        let outcome = Outcome::Ok;
        self.handle_event(
            now,
            Event::Ended { id: RequestId(id), attempt: 0, backend, outcome, closed: true, report: None },
        );
    }
}

/// Two settings as operators state them: overload factor 3 in spans of 3 s starting at an eighth, and factor
/// 4 in spans of 1 s starting at a third.
pub const SLOW: WarmupScenario = WarmupScenario {
    nodes: 30,
    members: 12,
    cold_members: 6,
    rate: 12.0,
    load_factor: 0.8,
    surge: 0.0,
    groups: 20,
    share_spread: 3.0,
    overload_factor: 3.0,
    span_ms: 3_000.0,
    start_capacity: 0.12,
    warm_up_ms: 24_000.0,
    zones: 1,
    nodes_restarted: false,
};
pub const QUICK: WarmupScenario = WarmupScenario {
    members: 10,
    cold_members: 5,
    rate: 20.0,
    groups: 30,
    overload_factor: 4.0,
    span_ms: 1_000.0,
    start_capacity: 0.37,
    warm_up_ms: 7_700.0,
    ..SLOW
};
pub const LONG: WarmupScenario = WarmupScenario {
    members: 14,
    rate: 30.0,
    overload_factor: 2.0,
    span_ms: 5_000.0,
    start_capacity: 0.2,
    warm_up_ms: 14_000.0,
    groups: 30,
    ..SLOW
};
pub const TWENTY: WarmupScenario =
    WarmupScenario { nodes: 20, members: 10, cold_members: 3, rate: 20.0, ..SLOW };

/// The largest excess over these seeds, and the smallest mean that the new members of one seed got.
pub fn worst(scenario: WarmupScenario, seeds: u64) -> (f64, f64) {
    let results = (0..seeds).map(|seed| simulate(scenario, seed));
    let (most, least) = results.fold((f64::NEG_INFINITY, f64::INFINITY), |(most, least), (over, sent)| {
        (most.max(over), least.min(sent))
    });
    println!("{scenario:?}: largest excess {most:+.2}, at least {least:.1} per new member");
    (most, least)
}
