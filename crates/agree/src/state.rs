//! Budgets and permits, computed from the log alone: voters that have applied the same entries have the same
//! state.

use crate::entry::{BudgetLimit, Entry, NodeStatus, Request, Scope, SeenNode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The fleet's budget until an operator sets one: the smallest with which a release of the software can
/// proceed.
const DEFAULT_FLEET_BUDGET: BudgetLimit = BudgetLimit::Number(1);
/// Ended requests that are remembered, so that a late copy of one is not taken for a new request. Far more
/// than are ever in progress.
const MAX_ENDED_REQUESTS: usize = 4_096;
/// Open requests, granted or waiting; further ones are refused. Guards against a node that sends requests
/// without end.
const MAX_OPEN_REQUESTS: usize = 4_096;
/// Nodes in the log; a fleet view has the same limit. Guards against made-up names.
const MAX_NODES: usize = 4_096;
/// Most budgets: that of the fleet and one for each of 255 zones, more than are in use.
const MAX_BUDGETS: usize = 256;
/// Nodes named in the reason why a request waits, which has to fit in one datagram.
const MAX_NODES_IN_REASON: usize = 8;

/// What the log says of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The log does not have the request.
    Unknown,
    /// The request waits, for this reason.
    Waiting(String),
    /// The request is granted: the node holds a permit.
    Granted {
        /// The fencing token: a later grant has a larger one.
        fence: u64,
        /// The only incarnation of the node that the permit is good for. The permit ends once a later
        /// incarnation is seen serving.
        incarnation: u64,
    },
    /// The request has ended: released, withdrawn, or made by an earlier incarnation of its node.
    Over,
    /// The log has no room for the request.
    Refused(String),
}

/// A change of the state by an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A request was granted.
    Granted {
        /// The node that holds the permit.
        node: String,
        /// The fencing token: the index of the entry after which the request fitted the budgets.
        fence: u64,
    },
    /// A request ended, granted or not.
    Ended {
        /// The node that made the request.
        node: String,
        /// Whether the request had been granted.
        granted: bool,
    },
}

/// An open request for a permit, granted or waiting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The request number.
    pub request: Request,
    /// The node that made the request.
    pub node: String,
    /// The incarnation that made the request.
    pub incarnation: u64,
    /// The fencing token, once the request is granted.
    pub fence: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Node {
    zone: String,
    incarnation: u64,
    status: NodeStatus,
}

/// The state after all entries that have been applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    index: u64,
    budgets: BTreeMap<Scope, BudgetLimit>,
    nodes: BTreeMap<String, Node>,
    /// Open requests, in log order.
    open_requests: Vec<Permit>,
    ended_requests: VecDeque<Request>,
}

impl Default for State {
    fn default() -> State {
        State {
            index: 0,
            budgets: BTreeMap::from([(Scope::Fleet, DEFAULT_FLEET_BUDGET)]),
            nodes: BTreeMap::new(),
            open_requests: Vec::new(),
            ended_requests: VecDeque::new(),
        }
    }
}

impl State {
    /// Applies the entry with this index.
    pub fn apply(&mut self, index: u64, entry: Entry) -> Vec<Change> {
        self.index = index;
        let mut changes = Vec::new();
        match entry {
            Entry::Budget(scope, limit) => {
                if self.budgets.len() < MAX_BUDGETS || self.budgets.contains_key(&scope) {
                    self.budgets.insert(scope, limit);
                }
            }
            Entry::Seen(nodes) => nodes.into_iter().for_each(|node| self.update_node(node, &mut changes)),
            Entry::Ask { request, node, incarnation } => self.add_request(request, node, incarnation),
            Entry::Release(request) => {
                self.end_requests(|permit| permit.request == request, Some(request), &mut changes)
            }
        }
        self.grant_fitting(&mut changes);
        changes
    }

    fn update_node(&mut self, seen: SeenNode, changes: &mut Vec<Change>) {
        let SeenNode { name, zone, incarnation, status } = seen;
        if self.nodes.get(&name).is_some_and(|known| known.incarnation > incarnation) {
            return;
        }
        if status == NodeStatus::Serving {
            // The earlier incarnations have ended, and their requests with them. Nothing else frees a dead
            // node's permit.
            self.end_requests(
                |permit| permit.node == name && permit.incarnation < incarnation,
                None,
                changes,
            );
        }
        if self.nodes.len() < MAX_NODES || self.nodes.contains_key(&name) {
            self.nodes.insert(name, Node { zone, incarnation, status });
        }
    }

    fn add_request(&mut self, request: Request, node: String, incarnation: u64) {
        let known = self.open_requests.iter().any(|permit| permit.request == request)
            || self.ended_requests.contains(&request);
        // A permit of an earlier incarnation would be used by nobody and never end, since the later
        // incarnation has been seen already.
        let outdated = self.nodes.get(&node).is_some_and(|seen| seen.incarnation > incarnation);
        if outdated && !known {
            self.remember_ended([request]);
        } else if !known && self.open_requests.len() < MAX_OPEN_REQUESTS {
            self.open_requests.push(Permit { request, node, incarnation, fence: None });
        }
    }

    /// Ends the open requests that match, and remembers `request` as ended even if it is not open.
    fn end_requests(
        &mut self,
        matches: impl Fn(&Permit) -> bool,
        request: Option<Request>,
        changes: &mut Vec<Change>,
    ) {
        let (ended, still_open): (Vec<_>, Vec<_>) = self.open_requests.drain(..).partition(matches);
        self.open_requests = still_open;
        let mut numbers: Vec<Request> = ended.iter().map(|permit| permit.request).collect();
        // A release may come before its request.
        numbers.extend(
            request.filter(|request| !numbers.contains(request) && !self.ended_requests.contains(request)),
        );
        self.remember_ended(numbers);
        changes.extend(
            ended
                .into_iter()
                .map(|permit| Change::Ended { node: permit.node, granted: permit.fence.is_some() }),
        );
    }

    fn remember_ended(&mut self, requests: impl IntoIterator<Item = Request>) {
        self.ended_requests.extend(requests);
        while self.ended_requests.len() > MAX_ENDED_REQUESTS {
            self.ended_requests.pop_front();
        }
    }

    /// Grants the waiting requests that fit the budgets, in log order.
    fn grant_fitting(&mut self, changes: &mut Vec<Change>) {
        for at in 0..self.open_requests.len() {
            let fits = self
                .open_requests
                .get(at)
                .is_some_and(|permit| permit.fence.is_none() && self.reason_against(permit).is_none());
            if let Some(permit) = self.open_requests.get_mut(at).filter(|_| fits) {
                permit.fence = Some(self.index);
                changes.push(Change::Granted { node: permit.node.clone(), fence: self.index });
            }
        }
    }

    /// Why a node counts as out; `None` if it does not.
    fn why_out(&self, name: &str) -> Option<String> {
        let fence = self.open_requests.iter().find_map(|permit| permit.fence.filter(|_| permit.node == name));
        let status = self.nodes.get(name).map_or(NodeStatus::Unknown, |node| node.status);
        match (status, fence) {
            (NodeStatus::Serving, None) => None,
            (NodeStatus::Serving, Some(fence)) => Some(format!("permit {fence}")),
            (status, _) => Some(status.text().to_owned()),
        }
    }

    fn in_scope<'a>(&'a self, scope: &'a Scope) -> impl Iterator<Item = &'a str> {
        self.nodes.iter().filter_map(move |(name, node)| match scope {
            Scope::Fleet => Some(name.as_str()),
            Scope::Zone(zone) => (node.zone == *zone).then_some(name),
        })
    }

    /// Why this request can't be granted now; `None` if it can.
    fn reason_against(&self, permit: &Permit) -> Option<String> {
        if !self.nodes.contains_key(&permit.node) {
            return Some(format!("{} is not yet seen by the voters", permit.node));
        }
        self.budgets.iter().find_map(|(scope, limit)| {
            let all: Vec<&str> = self.in_scope(scope).collect();
            if !all.contains(&permit.node.as_str()) {
                return None;
            }
            let limit = limit.of(all.len());
            let out: Vec<(&str, String)> =
                all.iter().filter_map(|name| Some((*name, self.why_out(name)?))).collect();
            let out_if_granted = out.len() + usize::from(out.iter().all(|(name, _)| *name != permit.node));
            if out_if_granted <= limit {
                return None;
            }
            let mut text = format!("{scope}: {} of {limit} out", out.len());
            for (n, (name, why)) in out.iter().take(MAX_NODES_IN_REASON).enumerate() {
                text += &format!("{} {name} {why}", if n == 0 { ":" } else { "," });
            }
            if out.len() > MAX_NODES_IN_REASON {
                text += &format!(" and {} more", out.len() - MAX_NODES_IN_REASON);
            }
            Some(text)
        })
    }

    /// What the log says of a request.
    pub fn answer(&self, request: Request) -> Answer {
        if self.ended_requests.contains(&request) {
            return Answer::Over;
        }
        match self.open_requests.iter().find(|permit| permit.request == request) {
            Some(Permit { fence: Some(fence), incarnation, .. }) => {
                Answer::Granted { fence: *fence, incarnation: *incarnation }
            }
            Some(permit) => Answer::Waiting(self.reason_against(permit).unwrap_or_default()),
            None if self.open_requests.len() >= MAX_OPEN_REQUESTS => {
                Answer::Refused(format!("{MAX_OPEN_REQUESTS} requests stand already"))
            }
            None => Answer::Unknown,
        }
    }

    /// The open requests, granted and waiting, in log order.
    pub fn permits(&self) -> &[Permit] {
        &self.open_requests
    }

    /// Why this request waits; `None` if it is granted.
    pub fn reason(&self, permit: &Permit) -> Option<String> {
        permit.fence.is_none().then(|| self.reason_against(permit)).flatten()
    }

    /// The budgets in force.
    pub fn budgets(&self) -> impl Iterator<Item = (&Scope, BudgetLimit)> {
        self.budgets.iter().map(|(scope, limit)| (scope, *limit))
    }

    /// The index of the last applied entry.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns how this view differs from the log: nodes with another zone, a later incarnation or another
    /// status, and as [`NodeStatus::Unknown`] those that the view no longer has. Earlier incarnations in the
    /// view are left out.
    pub fn unlogged_changes(&self, view: &[SeenNode]) -> Vec<SeenNode> {
        let changed = view.iter().filter(|seen| {
            self.nodes.get(&seen.name).is_none_or(|known| {
                (&known.zone, known.status) != (&seen.zone, seen.status)
                    || known.incarnation < seen.incarnation
            }) && self.nodes.get(&seen.name).is_none_or(|known| known.incarnation <= seen.incarnation)
        });
        let gone = self.nodes.iter().filter(|(name, node)| {
            node.status != NodeStatus::Unknown && view.iter().all(|seen| seen.name != **name)
        });
        changed
            .cloned()
            .chain(gone.map(|(name, node)| SeenNode {
                name: name.clone(),
                zone: node.zone.clone(),
                incarnation: node.incarnation,
                status: NodeStatus::Unknown,
            }))
            .collect()
    }
}

#[cfg(test)]
mod tests;
