//! A relay for tests: it feeds a balancer, keeps its timers and watches what it sends.
#![allow(dead_code)]
pub mod fleet;
use hopmoor::*;
use std::collections::BTreeMap;

pub struct TestNode {
    pub balancer: Balancer,
    pub now: f64,
    pub timers: Vec<(f64, TimerId)>,
    pub log: Vec<(f64, Action)>,
    pub out: BTreeMap<RequestId, (BackendId, u32)>,
    pub tries: BTreeMap<RequestId, u32>,
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
            log: Vec::new(),
            out: BTreeMap::new(),
            tries: BTreeMap::new(),
        }
    }

    pub fn with(settings: Settings, backends: impl IntoIterator<Item = BackendInfo>) -> Self {
        let mut relay = TestNode::new(settings, 1);
        let entries = backends.into_iter().collect();
        relay.handle_event(Event::Backends { scope: ListScope::Whole, entries });
        relay
    }

    /// Gives one event and returns what the balancer wants done, timers apart.
    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        let mut seen = Vec::new();
        for action in actions {
            match &action {
                Action::SetTimer { at, id } => {
                    self.timers.push((*at, *id));
                    continue;
                }
                Action::Attempt { id, backend, .. } => {
                    assert!(!self.out.contains_key(id), "two attempts out at once");
                    let tries = self.tries.entry(*id).or_default();
                    self.out.insert(*id, (*backend, *tries));
                    *tries += 1;
                }
                _ => {}
            }
            self.log.push((self.now, action.clone()));
            seen.push(action);
        }
        seen
    }

    /// Lets the clock run, firing timers on ticks of 5 ms.
    pub fn run_until(&mut self, until: f64) -> Vec<Action> {
        let mut seen = Vec::new();
        while self.now < until {
            self.now = (self.now + 5.0).min(until);
            let now = self.now;
            let due: Vec<TimerId> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
            self.timers.retain(|t| t.0 > now);
            for id in due {
                seen.extend(self.handle_event(Event::Timer(id)));
            }
        }
        seen
    }

    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.handle_event(Event::Request(request))
    }

    pub fn stand(&mut self, id: u64) {
        self.out.remove(&RequestId(id));
        self.handle_event(Event::Established { id: RequestId(id), took_ms: 20.0 });
    }

    /// Ends what the request has out, or its open connection on `backend`.
    pub fn end(&mut self, id: u64, backend: BackendId, outcome: Outcome, closed: bool) -> Vec<Action> {
        let id = RequestId(id);
        let attempt = self.out.remove(&id).map_or(0, |(_, attempt)| attempt);
        self.handle_event(Event::Ended { id, attempt, backend, outcome, closed, report: None })
    }

    /// Opens a connection and returns its backend.
    pub fn open(&mut self, request: Request) -> BackendId {
        let actions = self.submit(request);
        let backend = sent_to(&actions).unwrap_or_else(|| panic!("not sent at once: {actions:?}"));
        self.stand(request.id.0);
        backend
    }
}

pub fn sent_to(actions: &[Action]) -> Option<BackendId> {
    actions.iter().find_map(|action| match action {
        Action::Attempt { backend, .. } => Some(*backend),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}
