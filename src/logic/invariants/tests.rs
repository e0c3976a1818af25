//! Drawn orders of lists, reports, losses, pauses, returns and requests: after each event every number in the
//! state is finite, and so is every time that the module asks for.

use super::*;
use proptest::prelude::*;

/// Backends that lists, reports and outcomes refer to.
const BACKENDS: u64 = 4;
/// Interval between two timer batches while time passes.
const STEP_MS: Millis = 50.0;

#[derive(Clone, Debug)]
enum Step {
    List {
        scope: ListScope,
        entries: Vec<BackendInfo>,
    },
    Report {
        backend: u64,
        load: f64,
    },
    ProbeFailed {
        backend: u64,
        outcome: Outcome,
    },
    Delay {
        backend: u64,
        took_ms: Millis,
    },
    Request {
        tenant: u32,
        hint: Option<f64>,
        grace_ms: Millis,
    },
    /// All attempts in flight end like this; `Ok` establishes them.
    Attempts(Outcome),
    /// All open connections end like this.
    Connections(Outcome),
    LoadChanged {
        load: f64,
    },
    DiscoveryFailed,
    NodeCount(u32),
    Pass {
        ms: Millis,
    },
}

/// Which values a test draws.
#[derive(Clone, Copy, PartialEq)]
enum Values {
    /// Those that sound peers send.
    Usual,
    /// Also those at the ends of what a wire can carry.
    Extreme,
}

impl Values {
    fn draw(self, usual: std::ops::Range<f64>) -> BoxedStrategy<f64> {
        let extreme = vec![0.0, -1.0, 5e-324, 1e-300, 1e300, f64::MAX, f64::INFINITY, f64::NAN];
        match self {
            Values::Usual => usual.boxed(),
            Values::Extreme => prop_oneof![8 => usual, 1 => prop::sample::select(extreme)].boxed(),
        }
    }
}

fn entry(values: Values) -> impl Strategy<Value = BackendInfo> {
    let phase = prop_oneof![4 => Just(Phase::Serving), 1 => Just(Phase::Draining), 1 => Just(Phase::Gone)];
    let started_at = prop_oneof![2 => Just(None), 1 => (0.0..20_000.0).prop_map(Some)];
    (0..BACKENDS, phase, 0..2u32, values.draw(0.5..2.0), started_at).prop_map(
        |(id, phase, zone, weight, started_at)| BackendInfo {
            id: BackendId(id),
            phase,
            zone: ZoneId(zone),
            cell: 0,
            weight,
            started_at,
        },
    )
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop::sample::select(vec![
        Outcome::Ok,
        Outcome::Error,
        Outcome::Full,
        Outcome::TimedOut,
        Outcome::Unreachable,
        Outcome::Reset,
    ])
}

fn step(values: Values) -> impl Strategy<Value = Step> {
    let scope =
        prop_oneof![4 => Just(ListScope::Patch), 2 => Just(ListScope::Whole), 1 => Just(ListScope::Stale)];
    let list = (scope, prop::collection::vec(entry(values), 0..4));
    let hint = prop_oneof![1 => Just(None), 3 => values.draw(0.2..5.0).prop_map(Some)];
    let pass = prop_oneof![4 => 0.0..400.0, 3 => 400.0..1_200.0, 1 => 1_200.0..30_000.0];
    prop_oneof![
        3 => list.prop_map(|(scope, entries)| Step::List { scope, entries }),
        4 => (0..BACKENDS, values.draw(0.0..1.5)).prop_map(|(backend, load)| Step::Report { backend, load }),
        4 => (0..BACKENDS, outcome()).prop_map(|(backend, outcome)| Step::ProbeFailed { backend, outcome }),
        1 => (0..BACKENDS, values.draw(0.0..200.0)).prop_map(|(backend, took_ms)| Step::Delay { backend, took_ms }),
        12 => (0..3u32, hint, values.draw(50.0..2_000.0))
            .prop_map(|(tenant, hint, grace_ms)| Step::Request { tenant, hint, grace_ms }),
        6 => outcome().prop_map(Step::Attempts),
        1 => outcome().prop_map(Step::Connections),
        1 => values.draw(0.0..1e5).prop_map(|load| Step::LoadChanged { load }),
        1 => Just(Step::DiscoveryFailed),
        1 => (0..4u32).prop_map(Step::NodeCount),
        8 => pass.prop_map(|ms| Step::Pass { ms }),
    ]
}

/// A decision module with a clock, and the transactions as its node would hold them.
struct Play {
    balancer: Balancer,
    now: Millis,
    timers: Vec<(Millis, TimerId)>,
    attempts: Vec<(RequestId, BackendId)>,
    connections: Vec<(RequestId, BackendId)>,
    next_request: u64,
}

impl Play {
    fn new(quota_connections: f64) -> Self {
        let class = Class { message_aim_ms: 60.0, ..Class::default() };
        let tenants = vec![Tenant { quota_connections, ..Tenant::default() }; 2];
        let settings = Settings {
            classes: vec![class],
            tenants,
            reports: true,
            probing: true,
            reports_message_delay: true,
            ..Settings::default()
        };
        Play {
            balancer: Balancer::new(settings, 7),
            now: 0.0,
            timers: Vec::new(),
            attempts: Vec::new(),
            connections: Vec::new(),
            next_request: 0,
        }
    }

    /// Passes an event to the module and checks the state and the actions.
    fn handle(&mut self, event: Event) -> Result<(), TestCaseError> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event.clone(), &mut actions);
        if let Err(invalid) = self.balancer.check_numbers() {
            return Err(TestCaseError::fail(format!("{invalid} after {event:?}")));
        }
        for action in actions {
            match action {
                Action::SetTimer { at, id } => {
                    prop_assert!(at.is_finite(), "{:?} set to {} by {:?}", id, at, event);
                    self.timers.push((at, id));
                }
                Action::Attempt { id, backend, timeout_ms } => {
                    prop_assert!(timeout_ms.is_finite() && timeout_ms > 0.0, "timeout {}", timeout_ms);
                    self.attempts.push((id, backend));
                }
                Action::Refuse { retry_after_ms, .. } => prop_assert!(retry_after_ms.is_finite()),
                Action::Fault(what) => prop_assert!(false, "{}", what),
                _ => {}
            }
        }
        Ok(())
    }

    /// Lets time pass and fires the timers that fall due.
    fn pass(&mut self, ms: Millis) -> Result<(), TestCaseError> {
        let until = self.now + ms;
        while self.now < until {
            self.now = (self.now + STEP_MS).min(until);
            let now = self.now;
            let (due, later): (Vec<_>, Vec<_>) = self.timers.iter().copied().partition(|(at, _)| *at <= now);
            self.timers = later;
            for (_, id) in due {
                self.handle(Event::Timer(id))?;
            }
        }
        Ok(())
    }

    fn end(
        &mut self,
        ended: Vec<(RequestId, BackendId)>,
        outcome: Outcome,
        closed: bool,
    ) -> Result<(), TestCaseError> {
        for (id, backend) in ended {
            self.handle(Event::Ended { id, attempt: 0, backend, outcome, closed, report: None })?;
        }
        Ok(())
    }

    fn play(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::List { scope, entries } => self.handle(Event::Backends { scope, entries }),
            Step::Report { backend, load } => {
                let report = Some(Report { load_over_capacity: Some(load) });
                self.handle(Event::ProbeEnded { backend: BackendId(backend), outcome: Outcome::Ok, report })
            }
            Step::ProbeFailed { backend, outcome } => {
                self.handle(Event::ProbeEnded { backend: BackendId(backend), outcome, report: None })
            }
            Step::Delay { backend, took_ms } => {
                self.handle(Event::MessageDelay { backend: BackendId(backend), took_ms })
            }
            Step::Request { tenant, hint, grace_ms } => {
                self.next_request += 1;
                self.handle(Event::Request(Request {
                    id: RequestId(self.next_request),
                    tenant: TenantId(tenant),
                    load_hint: hint,
                    grace_ms,
                    ..Request::default()
                }))
            }
            Step::Attempts(Outcome::Ok) => {
                for (id, backend) in std::mem::take(&mut self.attempts) {
                    self.handle(Event::Established { id, took_ms: 5.0 })?;
                    self.connections.push((id, backend));
                }
                Ok(())
            }
            Step::Attempts(outcome) => {
                let ended = std::mem::take(&mut self.attempts);
                self.end(ended, outcome, false)
            }
            Step::Connections(outcome) => {
                let ended = std::mem::take(&mut self.connections);
                self.end(ended, outcome, true)
            }
            Step::LoadChanged { load } => {
                let ids: Vec<_> = self.connections.iter().map(|(id, _)| *id).collect();
                ids.into_iter().try_for_each(|id| self.handle(Event::LoadChanged { id, load }))
            }
            Step::DiscoveryFailed => self.handle(Event::DiscoveryFailed),
            Step::NodeCount(nodes) => self.handle(Event::NodeCount(nodes)),
            Step::Pass { ms } => self.pass(ms),
        }
    }
}

fn play_all(quota: f64, steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut play = Play::new(quota);
    steps.into_iter().try_for_each(|step| play.play(step))
}

fn steps(values: Values) -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(values), 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(48),
        ..ProptestConfig::default()
    })]

    /// Guards against state that is infinite or NaN for good, and against timers that never fire, after a
    /// time with no usable backend (review case 1).
    #[test]
    fn all_numbers_stay_finite_in_any_order_of_usual_events(
        quota in 0.0..40.0f64,
        steps in steps(Values::Usual),
    ) {
        play_all(quota, steps)?;
    }

    /// Guards against the same from weights, loads, hints and delays at the ends of what a wire can carry.
    #[test]
    fn all_numbers_stay_finite_whatever_peers_send(
        quota in Values::Extreme.draw(0.0..40.0),
        steps in steps(Values::Extreme),
    ) {
        play_all(quota, steps)?;
    }
}

/// Guards against a number that stays invalid for good: a defect is reported once, and admission goes on.
#[test]
fn an_invalid_number_is_reported_and_does_not_last() {
    let mut play = Play::new(20.0);
    let backend = BackendInfo { id: BackendId(1), weight: 1.0, ..BackendInfo::default() };
    play.handle(Event::Backends { scope: ListScope::Whole, entries: vec![backend] }).unwrap();
    play.handle(Event::Request(Request { id: RequestId(1), grace_ms: 1_000.0, ..Request::default() }))
        .unwrap();
    play.balancer.capacity_per_weight = f64::INFINITY;
    play.balancer.tenants.values_mut().for_each(|account| account.excess = f64::NAN);
    let mut faults = 0;
    for _ in 0..4 {
        let mut actions = Vec::new();
        play.now += 500.0;
        play.balancer.handle(play.now, Event::Timer(TimerId(TIMER_INTERVAL)), &mut actions);
        faults += actions.iter().filter(|action| matches!(action, Action::Fault(_))).count();
        assert_eq!(play.balancer.check_numbers(), Ok(()));
    }
    assert_eq!(faults, 1);
    assert!(play.balancer.tenants.values().all(|account| account.budget > 0.0));
}
