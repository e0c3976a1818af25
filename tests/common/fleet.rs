//! Many gateways in virtual time round members that have just started: what all together send to each of them, against what the
//! settings allow, N + 2 x root of N + 2 in any span, N being the multiple of what a member can take at the slowest warm-up. A member
//! can take its even part of the stated rate.
#![allow(dead_code)]
use super::{backend, request};
use hopmoor::*;
use std::collections::{BTreeMap, BinaryHeap};

/// A fleet and what comes to it.
#[derive(Clone, Copy, Debug)]
pub struct WarmupScenario {
    pub nodes: u32,
    pub members: u64,
    /// Of them just started; with zones, all of the first zone and no others.
    pub cold_members: u64,
    /// Requests a second inside all shares.
    pub rate: f64,
    /// What comes, over that.
    pub load_factor: f64,
    /// So many come at once as the members start, over the rate.
    pub surge: f64,
    /// Groups; none where requests have none.
    pub groups: u64,
    /// Gateways differ by up to so many times in what they get.
    pub uneven: f64,
    pub factor: f64,
    pub span: f64,
    pub start: f64,
    pub warm: f64,
    /// Zones, over which gateways and members are spread evenly.
    pub zones: u32,
    /// The gateways of the first zone start with the cold members, and know nothing of before.
    pub nodes_restarted: bool,
}

impl WarmupScenario {
    /// Whether a gateway or member, by its number from 0, is in the first zone.
    fn in_first_zone(self, number: u64) -> bool {
        number.is_multiple_of(u64::from(self.zones))
    }

    /// Whether a member, by its number from 0, has just started.
    fn is_cold(self, member: u64) -> bool {
        if self.zones > 1 { self.in_first_zone(member) } else { member < self.cold_members }
    }
}

pub struct Draw(u64);

impl Draw {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// What was sent to a member that started, over what it is allowed with chance: the largest excess in any span; and how many
/// connections each got on average.
pub fn excess(play: WarmupScenario, seed: u64) -> (f64, f64) {
    let tenants =
        vec![Tenant { quota_connections: play.rate * 40.0, quota_rate: play.rate, ..Tenant::default() }];
    let settings = |at: u32| Settings {
        zone: ZoneId(at % play.zones),
        balancers: play.nodes,
        tenants: tenants.clone(),
        start_capacity: play.start,
        warm_up_ms: play.warm,
        overload_factor: play.factor,
        overload_span_ms: play.span,
        max_attempts: 6,
        max_retry_after_ms: 1_500.0,
        tick_ms: 2.0,
        ..Settings::default()
    };
    let mut draw = Draw(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let begins = 30_000.0;
    let mut fleet: Vec<Fast> =
        (0..play.nodes).map(|at| Fast::new(settings(at), seed * 10_000 + u64::from(at))).collect();
    let all = |born: Option<f64>| -> Vec<BackendInfo> {
        let zone = |id: u64| ZoneId((id % u64::from(play.zones)) as u32);
        let one = |id| BackendInfo {
            zone: zone(id),
            started_at: born.filter(|_| play.is_cold(id)),
            ..backend(id + 1)
        };
        (0..play.members).map(one).collect()
    };
    for gateway in &mut fleet {
        gateway.give(0.0, Event::Backends { scope: ListScope::Whole, entries: all(None) });
    }
    // Shares of the traffic: some gateways get several times the mean.
    let shares: Vec<f64> = (0..play.nodes).map(|_| play.uneven.powf(2.0 * draw.next() - 1.0)).collect();
    let sum: f64 = shares.iter().sum();
    let mut comes: Vec<(f64, usize)> = Vec::new();
    for (at, share) in shares.iter().enumerate() {
        let each = play.rate * play.load_factor * share / sum / 1_000.0;
        let mut time = 0.0;
        loop {
            time += -(1.0 - draw.next()).ln() / each;
            if time > begins + play.warm {
                break;
            }
            comes.push((time, at));
        }
    }
    for _ in 0..(play.surge * play.rate) as usize {
        comes.push((begins + 100.0 + 900.0 * draw.next(), (draw.next() * f64::from(play.nodes)) as usize));
    }
    comes.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut sent: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    let mut ends: BinaryHeap<std::cmp::Reverse<(u64, usize, u64, u64)>> = BinaryHeap::new();
    let mut listed = false;
    for (id, (time, at)) in comes.into_iter().enumerate() {
        if time >= begins && !listed {
            listed = true;
            for (at, gateway) in (0_u32..).zip(&mut fleet) {
                if play.nodes_restarted && play.in_first_zone(u64::from(at)) {
                    *gateway = Fast::new(settings(at), seed * 20_000 + u64::from(at));
                }
                gateway.give(begins, Event::Backends { scope: ListScope::Whole, entries: all(Some(begins)) });
            }
        }
        while let Some(std::cmp::Reverse((end, node, id, to))) =
            ends.peek().copied().filter(|e| (e.0.0 as f64) < time)
        {
            ends.pop();
            if !(play.nodes_restarted && listed && play.in_first_zone(node as u64) && (end as f64) < begins) {
                fleet[node].end(end as f64, id, BackendId(to));
            }
        }
        let group = (play.groups > 0).then(|| {
            let group = (play.groups as f64 * draw.next().powi(2)) as u64;
            AffinityKey(group.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
        });
        let gateway = &mut fleet[at];
        for to in gateway.ask(time, Request { group, ..request(id as u64) }) {
            if listed && play.is_cold(to.1.0 - 1) {
                sent.entry(to.1.0).or_default().push(to.2);
            }
            let life = -(1.0 - draw.next()).ln() * 40_000.0;
            ends.push(std::cmp::Reverse(((to.2 + life) as u64, at, to.0.0, to.1.0)));
        }
    }
    let capacity = play.rate / play.members as f64 / 1_000.0;
    let warmth = |age: f64| (play.start + (1.0 - play.start) * age / play.warm).clamp(play.start, 1.0);
    let mut worst = f64::NEG_INFINITY;
    let mut total = 0;
    for times in sent.values_mut() {
        times.sort_by(f64::total_cmp);
        total += times.len() as u32;
        for (last, time) in times.iter().enumerate() {
            let from = (time - play.span).max(begins);
            let count = times[..=last].iter().filter(|t| **t >= from).count() as f64;
            let may =
                play.factor * capacity * play.span * (warmth(from - begins) + warmth(time - begins)) / 2.0;
            worst = worst.max(count - (may + 2.0 * may.sqrt() + 2.0));
        }
    }
    (worst, f64::from(total) / sent.len().max(1) as f64)
}

/// A gateway in virtual time that jumps from timer to timer. Whoever is sent to stands at once.
struct Fast {
    balancer: Balancer,
    timers: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    sends: Vec<(RequestId, BackendId, f64)>,
}

impl Fast {
    fn new(settings: Settings, seed: u64) -> Self {
        Fast { balancer: Balancer::new(settings, seed), timers: BinaryHeap::new(), sends: Vec::new() }
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

    fn give(&mut self, now: f64, event: Event) {
        while let Some(std::cmp::Reverse((at, id))) =
            self.timers.peek().copied().filter(|t| t.0.0 as f64 <= now * 1_000.0)
        {
            self.timers.pop();
            self.handle(at as f64 / 1_000.0, Event::Timer(TimerId(id)));
        }
        self.handle(now, event);
    }

    fn ask(&mut self, now: f64, request: Request) -> Vec<(RequestId, BackendId, f64)> {
        self.give(now, Event::Request(request));
        std::mem::take(&mut self.sends)
    }

    fn end(&mut self, now: f64, id: u64, backend: BackendId) {
        let outcome = Outcome::Ok;
        self.give(
            now,
            Event::Ended { id: RequestId(id), attempt: 0, backend, outcome, closed: true, report: None },
        );
    }
}

/// Two settings as operators state them: 3 times for 3 s from an eighth on, 4 times for 1 s from a third on.
pub const SLOW: WarmupScenario = WarmupScenario {
    nodes: 30,
    members: 12,
    cold_members: 6,
    rate: 12.0,
    load_factor: 0.8,
    surge: 0.0,
    groups: 20,
    uneven: 3.0,
    factor: 3.0,
    span: 3_000.0,
    start: 0.12,
    warm: 24_000.0,
    zones: 1,
    nodes_restarted: false,
};
pub const QUICK: WarmupScenario = WarmupScenario {
    members: 10,
    cold_members: 5,
    rate: 20.0,
    groups: 30,
    factor: 4.0,
    span: 1_000.0,
    start: 0.37,
    warm: 7_700.0,
    ..SLOW
};
pub const LONG: WarmupScenario = WarmupScenario {
    members: 14,
    rate: 30.0,
    factor: 2.0,
    span: 5_000.0,
    start: 0.2,
    warm: 14_000.0,
    groups: 30,
    ..SLOW
};
pub const TWENTY: WarmupScenario =
    WarmupScenario { nodes: 20, members: 10, cold_members: 3, rate: 20.0, ..SLOW };

/// The largest excess over these seeds, and the least that newcomers got.
pub fn worst(play: WarmupScenario, seeds: u64) -> (f64, f64) {
    let all = (0..seeds).map(|seed| excess(play, seed));
    let (most, least) = all.fold((f64::NEG_INFINITY, f64::INFINITY), |(most, least), (over, sent)| {
        (most.max(over), least.min(sent))
    });
    println!("{play:?}: excess {most:+.2} at most, {least:.1} a newcomer at least");
    (most, least)
}
