//! Adapter for the simulator's protocol: translates JSON lines to events, actions to JSON, and names to
//! numbers.
//!
//! The protocol calls a node "relay".

use crate::api::*;
use crate::config::settings;
use crate::logic::Balancer;
use crate::pool::name_hash as hash;
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};

/// Number of backend lists that `LEDGER` can define, numbered from 0.
const LIST_COUNT: usize = 16;

/// A batch that can't be processed, with the reason.
#[derive(Debug)]
pub struct WireError(String);

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

fn wire_error(what: impl std::fmt::Display) -> WireError {
    WireError(what.to_string())
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Batch {
    now_ms: f64,
    items: Vec<Item>,
}

#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum Item {
    Start { relay: String, entropy: u64, setup: Value },
    Ledger { list: usize, entries: Vec<Entry> },
    View { relay: String, list: Option<usize>, form: Form },
    Ask(Ask),
    Down { relay: String },
    Memo { relay: String, who: u32, body: String },
    Result(Ended),
    Pong { relay: String, code: Code, backend: String, pressure: Option<Vec<Option<f64>>> },
    ClientLeft { relay: String, xid: String },
    Begun(Begun),
    TakenOver(TakenOver),
    StatusNote { relay: String, xid: String, amount: f64, backend: String, what: u32 },
    DeadlineHit { relay: String, tag: u64 },
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Form {
    Patch,
    Whole,
    StaleCopy,
    Broken,
}

#[derive(Deserialize, Clone)]
#[serde(rename_all = "camelCase")]
struct Entry {
    phase: EntryPhase,
    backend: String,
    last_start_ms: Option<f64>,
    #[serde(default)]
    rack_zone: u32,
    size: Option<f64>,
    #[serde(default)]
    pod: u32,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum EntryPhase {
    On,
    Fading,
    Off,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Ask {
    relay: String,
    xid: String,
    channel: Option<String>,
    grace_ms: f64,
    #[serde(default)]
    owner: u32,
    #[serde(default)]
    stray: bool,
    work_ms: Option<f64>,
    #[serde(default)]
    service: u32,
    path_key: Option<String>,
}

#[derive(Deserialize)]
struct TakenOver {
    #[serde(flatten)]
    ask: Ask,
    backend: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Begun {
    relay: String,
    xid: String,
    took_ms: f64,
}

#[derive(Deserialize)]
struct Ended {
    relay: String,
    xid: String,
    code: Code,
    #[serde(default)]
    finished: bool,
    backend: String,
    #[serde(rename = "try")]
    attempt: u32,
    pressure: Option<Vec<Option<f64>>>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Code {
    Success,
    Failure,
    Overloaded,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    Void,
}

impl From<Code> for Outcome {
    fn from(code: Code) -> Self {
        match code {
            Code::Success => Outcome::Ok,
            Code::Failure => Outcome::Error,
            Code::Overloaded => Outcome::Full,
            Code::TimedOut => Outcome::TimedOut,
            Code::Unreachable => Outcome::Unreachable,
            Code::Broken => Outcome::Reset,
            Code::Withdrawn => Outcome::Cancelled,
            Code::Void => Outcome::NotSent,
        }
    }
}

#[derive(Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum Out<'a> {
    #[serde(rename_all = "camelCase")]
    Deliver {
        relay: &'a str,
        xid: String,
        limit_ms: f64,
        backend: String,
    },
    Bounce {
        relay: &'a str,
        xid: String,
    },
    MemoTo {
        relay: &'a str,
        peer: Peer,
        body: String,
    },
    Surrender {
        relay: &'a str,
        xid: String,
    },
    Crash {
        relay: &'a str,
        what: String,
    },
    HangUp {
        relay: &'a str,
        backend: String,
    },
    Test {
        relay: &'a str,
        backend: String,
    },
    #[serde(rename_all = "camelCase")]
    NotNow {
        relay: &'a str,
        xid: String,
        cool_down_ms: f64,
    },
    Resolve {
        relay: &'a str,
    },
    #[serde(rename_all = "camelCase")]
    Remind {
        relay: &'a str,
        time_ms: f64,
        tag: u64,
    },
    Print {
        relay: &'a str,
        what: String,
    },
    StopAttempt {
        relay: &'a str,
        xid: String,
        r#try: u32,
    },
    Observe {
        relay: &'a str,
        enable: bool,
    },
}

#[derive(Serialize)]
#[serde(untagged)]
enum Peer {
    One(u32),
    Named(&'static str),
}

/// A request whose id is still needed: it is not over, or the results of attempts are outstanding.
struct TrackedRequest {
    xid: String,
    over: bool,
    attempts_in_flight: u32,
}

/// One node's decisions, with the maps between the protocol's names and the decision module's numbers.
struct Node {
    balancer: Balancer,
    /// Position of the load over capacity (`x0`) in a load report.
    load_field: Option<usize>,
    /// Numbers of the protocol's request ids.
    ids: HashMap<String, u64>,
    requests: HashMap<u64, TrackedRequest>,
    /// Names of the backends, by number.
    backends: HashMap<u64, String>,
    /// Number of the next request.
    next: u64,
}

/// All nodes that this process simulates. They share only the numbered backend lists of the protocol.
#[derive(Default)]
pub struct Adapter {
    lists: [Vec<Entry>; LIST_COUNT],
    nodes: HashMap<String, Node>,
}

impl Adapter {
    /// Processes one batch, a line of JSON, and returns the reply.
    ///
    /// # Errors
    /// If the line is not a valid batch, or names a node that has not started or a list that does not exist.
    pub fn batch(&mut self, line: &[u8]) -> Result<String, WireError> {
        let batch: Batch = serde_json::from_slice(line).map_err(wire_error)?;
        let now = batch.now_ms;
        let mut output: Vec<(String, Value)> = Vec::new();
        let mut actions = Vec::new();
        for item in batch.items {
            let (relay, event) = match item {
                Item::Ledger { list, entries } => {
                    let slot = self
                        .lists
                        .get_mut(list)
                        .ok_or_else(|| wire_error(format!("list {list} is not in 0..15")))?;
                    *slot = entries;
                    continue;
                }
                Item::Start { relay, entropy, setup } => {
                    self.nodes.insert(relay, Node::new(&setup, entropy));
                    continue;
                }
                Item::Down { relay } => {
                    // Actions from earlier in this batch refer to requests of the instance that was killed.
                    self.nodes.remove(&relay);
                    output.retain(|(owner, _)| *owner != relay);
                    continue;
                }
                Item::View { relay, list, form } => {
                    let entries = match (&form, list) {
                        (Form::Broken, _) => &[][..],
                        (_, Some(list)) => self
                            .lists
                            .get(list)
                            .ok_or_else(|| wire_error(format!("list {list} is not in 0..15")))?,
                        (_, None) => return Err(wire_error("VIEW without list")),
                    };
                    let node = node(&mut self.nodes, &relay)?;
                    let event = node.list_event(&form, entries);
                    (relay, Some(event))
                }
                Item::Ask(ask) => {
                    let node = node(&mut self.nodes, &ask.relay)?;
                    let request = node.request(&ask, 0);
                    (ask.relay, Some(Event::Request(request)))
                }
                Item::TakenOver(TakenOver { ask, backend }) => {
                    let node = node(&mut self.nodes, &ask.relay)?;
                    let backend = node.backend(&backend);
                    let request = node.request(&ask, 1);
                    (ask.relay, Some(Event::Adopted { request, backend }))
                }
                Item::Memo { relay, who, body } => {
                    let body =
                        BASE64.decode(body).map_err(|error| wire_error(format!("MEMO body: {error}")))?;
                    (relay, Some(Event::PeerMessage { from: who, body }))
                }
                Item::Result(ended) => {
                    let node = node(&mut self.nodes, &ended.relay)?;
                    let event = node.ended(&ended);
                    (ended.relay, event)
                }
                Item::Pong { relay, code, backend, pressure } => {
                    let node = node(&mut self.nodes, &relay)?;
                    let backend = node.backend(&backend);
                    let report = node.report(&pressure);
                    (relay, Some(Event::ProbeEnded { backend, outcome: code.into(), report }))
                }
                Item::ClientLeft { relay, xid } => {
                    let node = node(&mut self.nodes, &relay)?;
                    let event = node.ids.get(&xid).map(|&id| Event::ClientGone { id: RequestId(id) });
                    if let Some(Event::ClientGone { id }) = event {
                        node.settle(id.0, 0, true);
                    }
                    (relay, event)
                }
                Item::Begun(begun) => {
                    let node = node(&mut self.nodes, &begun.relay)?;
                    let id = node.ids.get(&begun.xid);
                    let event =
                        id.map(|&id| Event::Established { id: RequestId(id), took_ms: begun.took_ms });
                    (begun.relay, event)
                }
                Item::StatusNote { relay, xid, amount, backend, what } => {
                    let node = node(&mut self.nodes, &relay)?;
                    let backend = node.backend(&backend);
                    let id = node.ids.get(&xid);
                    let event = match what {
                        1 => id.map(|&id| Event::LoadChanged { id: RequestId(id), load: amount }),
                        2 => Some(Event::MessageDelay { backend, took_ms: amount }),
                        _ => None,
                    };
                    (relay, event)
                }
                Item::DeadlineHit { relay, tag } => (relay, Some(Event::Timer(TimerId(tag)))),
            };
            let node = node(&mut self.nodes, &relay)?;
            if let Some(event) = event {
                node.balancer.handle(now, event, &mut actions);
            }
            for action in actions.drain(..) {
                if let Some(out) = node.encode_action(&relay, action) {
                    output.push((relay.clone(), serde_json::to_value(out).map_err(wire_error)?));
                }
            }
        }
        let output: Vec<Value> = output.into_iter().map(|(_, action)| action).collect();
        serde_json::to_string(&BTreeMap::from([("output", output)])).map_err(wire_error)
    }

    /// Returns the number of request ids held for all nodes.
    pub fn tracked_requests(&self) -> usize {
        self.nodes.values().map(|node| node.requests.len()).sum()
    }
}

fn node<'a>(all: &'a mut HashMap<String, Node>, relay: &str) -> Result<&'a mut Node, WireError> {
    all.get_mut(relay).ok_or_else(|| wire_error(format!("event for {relay}, which has not started")))
}

impl Node {
    fn new(setup: &Value, entropy: u64) -> Self {
        let fields = setup.pointer("/report/fields").and_then(Value::as_array);
        Node {
            balancer: Balancer::new(settings(setup), entropy),
            load_field: fields.and_then(|fields| fields.iter().position(|field| field == "x0")),
            ids: HashMap::new(),
            requests: HashMap::new(),
            backends: HashMap::new(),
            next: 0,
        }
    }

    /// Returns a backend's number: a hash of its name, so that it is the same at every node.
    fn backend(&mut self, name: &str) -> BackendId {
        let mut id = hash(name);
        while self.backends.get(&id).is_some_and(|known| known != name) {
            id = id.wrapping_add(1);
        }
        self.backends.entry(id).or_insert_with(|| name.to_owned());
        BackendId(id)
    }

    fn request(&mut self, ask: &Ask, attempts_in_flight: u32) -> Request {
        let id = self.next;
        self.next += 1;
        self.ids.insert(ask.xid.clone(), id);
        self.requests.insert(id, TrackedRequest { xid: ask.xid.clone(), over: false, attempts_in_flight });
        Request {
            id: RequestId(id),
            tenant: TenantId(ask.owner),
            class: ClassId(ask.service),
            group: ask.channel.as_deref().map(|name| AffinityKey(hash(name))),
            key: ask.path_key.as_deref().map(|name| AffinityKey(hash(name))),
            grace_ms: ask.grace_ms,
            load_hint: ask.work_ms,
            mid_flow: ask.stray,
        }
    }

    fn list_event(&mut self, form: &Form, entries: &[Entry]) -> Event {
        let scope = match form {
            Form::Broken => return Event::DiscoveryFailed,
            Form::Patch => ListScope::Patch,
            Form::Whole => ListScope::Whole,
            Form::StaleCopy => ListScope::Stale,
        };
        if scope != ListScope::Patch {
            self.backends.clear();
        }
        let mut lines = Vec::with_capacity(entries.len());
        for entry in entries {
            let id = self.backend(&entry.backend);
            let phase = match entry.phase {
                EntryPhase::On => Phase::Serving,
                EntryPhase::Fading => Phase::Draining,
                EntryPhase::Off => Phase::Gone,
            };
            if phase == Phase::Gone {
                self.backends.remove(&id.0);
            }
            lines.push(BackendInfo {
                id,
                phase,
                zone: ZoneId(entry.rack_zone),
                cell: entry.pod,
                weight: entry.size.unwrap_or(1.0),
                started_at: entry.last_start_ms.filter(|&at| at > 0.0),
            });
        }
        Event::Backends { scope, entries: lines }
    }

    fn report(&self, pressure: &Option<Vec<Option<f64>>>) -> Option<Report> {
        let row = pressure.as_ref()?;
        let load_over_capacity = self.load_field.and_then(|at| row.get(at).copied().flatten());
        Some(Report { load_over_capacity })
    }

    fn ended(&mut self, ended: &Ended) -> Option<Event> {
        let backend = self.backend(&ended.backend);
        let report = self.report(&ended.pressure);
        let id = *self.ids.get(&ended.xid)?;
        self.settle(id, 1, ended.finished);
        Some(Event::Ended {
            id: RequestId(id),
            attempt: ended.attempt,
            backend,
            outcome: ended.code.into(),
            closed: ended.finished,
            report,
        })
    }

    /// Records ended attempts of a request, and frees its id once no result can refer to it any more.
    fn settle(&mut self, id: u64, ended: u32, over: bool) {
        let Some(known) = self.requests.get_mut(&id) else { return };
        known.attempts_in_flight = known.attempts_in_flight.saturating_sub(ended);
        known.over |= over;
        if known.over && known.attempts_in_flight == 0 {
            self.ids.remove(&known.xid);
            self.requests.remove(&id);
        }
    }

    fn xid(&self, id: RequestId) -> Option<String> {
        Some(self.requests.get(&id.0)?.xid.clone())
    }

    fn backend_name(&self, backend: BackendId) -> Option<String> {
        self.backends.get(&backend.0).cloned()
    }

    fn encode_action<'a>(&mut self, relay: &'a str, action: Action) -> Option<Out<'a>> {
        Some(match action {
            Action::Attempt { id, backend, timeout_ms } => {
                let backend = self.backend_name(backend)?;
                let known = self.requests.get_mut(&id.0)?;
                known.attempts_in_flight += 1;
                Out::Deliver { relay, xid: known.xid.clone(), limit_ms: timeout_ms, backend }
            }
            Action::CancelAttempt { id, attempt } => {
                Out::StopAttempt { relay, xid: self.xid(id)?, r#try: attempt }
            }
            Action::Move { id } => Out::Bounce { relay, xid: self.xid(id)? },
            Action::Refuse { id, retry_after_ms } => {
                let xid = self.xid(id)?;
                self.settle(id.0, 0, true);
                Out::NotNow { relay, xid, cool_down_ms: retry_after_ms }
            }
            Action::Fail { id } => {
                let xid = self.xid(id)?;
                self.settle(id.0, 0, true);
                Out::Surrender { relay, xid }
            }
            Action::Probe { backend } => Out::Test { relay, backend: self.backend_name(backend)? },
            Action::SetTimer { at, id } => Out::Remind { relay, time_ms: at, tag: id.0 },
            Action::Subscribe { on } => Out::Observe { relay, enable: on },
            Action::FetchList => Out::Resolve { relay },
            Action::CloseIdle { backend } => Out::HangUp { relay, backend: self.backend_name(backend)? },
            Action::SendToPeer { peer, body } => Out::MemoTo {
                relay,
                peer: peer.map_or(Peer::Named("all"), Peer::One),
                body: BASE64.encode(body),
            },
            Action::Log(what) => Out::Print { relay, what },
            Action::Fault(what) => Out::Crash { relay, what },
        })
    }
}

#[cfg(test)]
mod tests;
