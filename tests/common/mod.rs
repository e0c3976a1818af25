//! Drives one decision module in virtual time: passes events to it, fires its timers and records the actions
//! that it asks for.
#![allow(dead_code)]
pub mod fleet;
use hopmoor::*;
use std::collections::BTreeMap;

/// A node reduced to its decision module. The test takes the part of clients, backends and discovery.
pub struct TestNode {
    pub balancer: Balancer,
    /// Current virtual time in milliseconds.
    pub now: f64,
    /// Timers that have not fired yet, with the time at which each is due.
    pub timers: Vec<(f64, TimerId)>,
    /// All actions so far except timers, with the time of each.
    pub action_log: Vec<(f64, Action)>,
    /// Backend and number (from 0) of the attempt that each request has in flight.
    pub in_flight: BTreeMap<RequestId, (BackendId, u32)>,
    /// Number of attempts started for each request.
    pub attempts: BTreeMap<RequestId, u32>,
}

pub fn backend(id: u64) -> BackendInfo {
    BackendInfo { id: BackendId(id), weight: 1.0, ..BackendInfo::default() }
}

pub fn request(id: u64) -> Request {
    Request { id: RequestId(id), grace_ms: 2_000.0, ..Request::default() }
}

impl TestNode {
    pub fn new(settings: Settings, seed: u64) -> Self {
        TestNode {
            balancer: Balancer::new(settings, seed),
            now: 0.0,
            timers: Vec::new(),
            action_log: Vec::new(),
            in_flight: BTreeMap::new(),
            attempts: BTreeMap::new(),
        }
    }

    pub fn with_backends(settings: Settings, backends: impl IntoIterator<Item = BackendInfo>) -> Self {
        let mut node = TestNode::new(settings, 1);
        let entries = backends.into_iter().collect();
        node.handle_event(Event::Backends { scope: ListScope::Whole, entries });
        node
    }

    /// Passes one event to the decision module and returns its actions except timers.
    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        let mut returned = Vec::new();
        for action in actions {
            match &action {
                Action::SetTimer { at, id } => {
                    self.timers.push((*at, *id));
                    continue;
                }
                Action::Attempt { id, backend, .. } => {
                    assert!(!self.in_flight.contains_key(id), "two attempts in flight at once");
                    let attempts = self.attempts.entry(*id).or_default();
                    self.in_flight.insert(*id, (*backend, *attempts));
                    *attempts += 1;
                }
                _ => {}
            }
            self.action_log.push((self.now, action.clone()));
            returned.push(action);
        }
        returned
    }

    /// Advances the clock to `until` in ticks of 5 ms, fires the timers that fall due and returns the
    /// resulting actions.
    pub fn run_until(&mut self, until: f64) -> Vec<Action> {
        let mut returned = Vec::new();
        while self.now < until {
            self.now = (self.now + 5.0).min(until);
            let now = self.now;
            let due: Vec<TimerId> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
            self.timers.retain(|t| t.0 > now);
            for id in due {
                returned.extend(self.handle_event(Event::Timer(id)));
            }
        }
        returned
    }

    /// Submits a client's request for a connection.
    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.handle_event(Event::Request(request))
    }

    /// Reports the request's attempt as established.
    pub fn establish(&mut self, id: u64) {
        self.in_flight.remove(&RequestId(id));
        self.handle_event(Event::Established { id: RequestId(id), took_ms: 20.0 });
    }

    /// Ends the attempt that the request has in flight, or its open connection on `backend`.
    pub fn end(&mut self, id: u64, backend: BackendId, outcome: Outcome, closed: bool) -> Vec<Action> {
        let id = RequestId(id);
        let attempt = self.in_flight.remove(&id).map_or(0, |(_, attempt)| attempt);
        self.handle_event(Event::Ended { id, attempt, backend, outcome, closed, report: None })
    }

    /// Submits a request that must be sent to a backend at once, establishes its connection and returns the
    /// backend.
    pub fn open(&mut self, request: Request) -> BackendId {
        let actions = self.submit(request);
        let backend = sent_to(&actions).unwrap_or_else(|| panic!("no attempt started at once: {actions:?}"));
        self.establish(request.id.0);
        backend
    }
}

/// Returns the backend of the first attempt among the actions.
pub fn sent_to(actions: &[Action]) -> Option<BackendId> {
    actions.iter().find_map(|action| match action {
        Action::Attempt { backend, .. } => Some(*backend),
        _ => None,
    })
}

pub fn has_refusal(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

pub fn has_failure(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}
