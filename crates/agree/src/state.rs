//! Budgets and permits, computed from the log alone: each voter that applies the same entries holds the same.

use crate::entry::{BudgetLimit, Entry, NodeStatus, Request, Scope, SeenNode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What the fleet's budget is before anybody sets one: the least that lets a release go on.
const FIRST: BudgetLimit = BudgetLimit::Number(1);
/// Requests that are over, remembered so that a late copy is not taken up again: far more than are ever under way.
const OVER: usize = 4_096;
/// Asks that stand at once; more are refused. Guards against a node that asks without end.
const ASKS: usize = 4_096;
/// Nodes that the log knows, at most: as many as a view does. Guards against one that makes up names.
const NODES: usize = 4_096;
/// Budgets, at most: of the fleet, and of as many zones as anybody tells apart.
const BUDGETS: usize = 256;
/// Names in a reason: it goes in one datagram.
const NAMED: usize = 8;

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Nothing.
    Unknown,
    /// It waits, because of this.
    Waiting(String),
    /// Granted.
    Granted {
        /// Its number; a later grant has a larger one.
        fence: u64,
        /// To this coming of the node and no other: once a later one is seen serving it is over.
        incarnation: u64,
    },
    /// Given back, withdrawn, or of an earlier coming of its node.
    Over,
    /// There is no room for it.
    Refused(String),
}

/// What an entry has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A permit was granted, under this number.
    Granted {
        /// To this node.
        node: String,
        /// The index of the entry that made it fit.
        fence: u64,
    },
    /// A permit or an ask is over.
    Ended {
        /// Of this node.
        node: String,
        /// It had been granted.
        granted: bool,
    },
}

/// An ask, granted or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The request.
    pub request: Request,
    /// Whose it is.
    pub node: String,
    /// Which coming asked.
    pub incarnation: u64,
    /// The number it is granted under.
    pub fence: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Node {
    zone: String,
    incarnation: u64,
    status: NodeStatus,
}

/// All that the log says so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    index: u64,
    budgets: BTreeMap<Scope, BudgetLimit>,
    nodes: BTreeMap<String, Node>,
    /// In the order they were asked.
    asks: Vec<Permit>,
    over: VecDeque<Request>,
}

impl Default for State {
    fn default() -> State {
        State {
            index: 0,
            budgets: BTreeMap::from([(Scope::Fleet, FIRST)]),
            nodes: BTreeMap::new(),
            asks: Vec::new(),
            over: VecDeque::new(),
        }
    }
}

impl State {
    /// Takes the entry of this index.
    pub fn apply(&mut self, index: u64, entry: Entry) -> Vec<Change> {
        self.index = index;
        let mut changes = Vec::new();
        match entry {
            Entry::Budget(scope, most) => {
                if self.budgets.len() < BUDGETS || self.budgets.contains_key(&scope) {
                    self.budgets.insert(scope, most);
                }
            }
            Entry::Seen(nodes) => nodes.into_iter().for_each(|node| self.see(node, &mut changes)),
            Entry::Ask { request, node, incarnation } => self.ask(request, node, incarnation),
            Entry::Back(request) => self.end(|ask| ask.request == request, Some(request), &mut changes),
        }
        self.grant(&mut changes);
        changes
    }

    fn see(&mut self, seen: SeenNode, changes: &mut Vec<Change>) {
        let SeenNode { name, zone, incarnation, status } = seen;
        if self.nodes.get(&name).is_some_and(|known| known.incarnation > incarnation) {
            return;
        }
        if status == NodeStatus::Serving {
            // Its earlier comings are no more, and with them what they asked. Only this frees the permit of a dead node.
            self.end(|ask| ask.node == name && ask.incarnation < incarnation, None, changes);
        }
        if self.nodes.len() < NODES || self.nodes.contains_key(&name) {
            self.nodes.insert(name, Node { zone, incarnation, status });
        }
    }

    fn ask(&mut self, request: Request, node: String, incarnation: u64) {
        let known = self.asks.iter().any(|ask| ask.request == request) || self.over.contains(&request);
        // Nobody would use what is granted to an earlier coming, and nothing would end it: this one is seen already.
        let earlier = self.nodes.get(&node).is_some_and(|seen| seen.incarnation > incarnation);
        if earlier && !known {
            self.remember([request]);
        } else if !known && self.asks.len() < ASKS {
            self.asks.push(Permit { request, node, incarnation, fence: None });
        }
    }

    fn end(&mut self, of: impl Fn(&Permit) -> bool, request: Option<Request>, changes: &mut Vec<Change>) {
        let (ended, stay): (Vec<_>, Vec<_>) = self.asks.drain(..).partition(of);
        self.asks = stay;
        let mut over: Vec<Request> = ended.iter().map(|ask| ask.request).collect();
        // One that is given back before it is known: its ask may still come.
        over.extend(request.filter(|request| !over.contains(request) && !self.over.contains(request)));
        self.remember(over);
        changes.extend(
            ended.into_iter().map(|ask| Change::Ended { node: ask.node, granted: ask.fence.is_some() }),
        );
    }

    fn remember(&mut self, over: impl IntoIterator<Item = Request>) {
        self.over.extend(over);
        while self.over.len() > OVER {
            self.over.pop_front();
        }
    }

    /// Grants what fits, in the order it was asked.
    fn grant(&mut self, changes: &mut Vec<Change>) {
        for at in 0..self.asks.len() {
            let fits =
                self.asks.get(at).is_some_and(|ask| ask.fence.is_none() && self.against(ask).is_none());
            if let Some(ask) = self.asks.get_mut(at).filter(|_| fits) {
                ask.fence = Some(self.index);
                changes.push(Change::Granted { node: ask.node.clone(), fence: self.index });
            }
        }
    }

    /// Why a node is out; none: it is not.
    fn out(&self, name: &str) -> Option<String> {
        let permit = self.asks.iter().find_map(|ask| ask.fence.filter(|_| ask.node == name));
        let status = self.nodes.get(name).map_or(NodeStatus::Unknown, |node| node.status);
        match (status, permit) {
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

    /// What stands against granting this; none: nothing does.
    fn against(&self, ask: &Permit) -> Option<String> {
        if !self.nodes.contains_key(&ask.node) {
            return Some(format!("{} is not yet seen by the voters", ask.node));
        }
        self.budgets.iter().find_map(|(scope, most)| {
            let all: Vec<&str> = self.in_scope(scope).collect();
            if !all.contains(&ask.node.as_str()) {
                return None;
            }
            let most = most.of(all.len());
            let out: Vec<(&str, String)> =
                all.iter().filter_map(|name| Some((*name, self.out(name)?))).collect();
            let with = out.len() + usize::from(out.iter().all(|(name, _)| *name != ask.node));
            if with <= most {
                return None;
            }
            let mut words = format!("{scope}: {} of {most} out", out.len());
            for (n, (name, why)) in out.iter().take(NAMED).enumerate() {
                words += &format!("{} {name} {why}", if n == 0 { ":" } else { "," });
            }
            if out.len() > NAMED {
                words += &format!(" and {} more", out.len() - NAMED);
            }
            Some(words)
        })
    }

    /// What is known of a request.
    pub fn answer(&self, request: Request) -> Answer {
        if self.over.contains(&request) {
            return Answer::Over;
        }
        match self.asks.iter().find(|ask| ask.request == request) {
            Some(Permit { fence: Some(fence), incarnation, .. }) => {
                Answer::Granted { fence: *fence, incarnation: *incarnation }
            }
            Some(ask) => Answer::Waiting(self.against(ask).unwrap_or_default()),
            None if self.asks.len() >= ASKS => Answer::Refused(format!("{ASKS} requests stand already")),
            None => Answer::Unknown,
        }
    }

    /// What is granted and what waits, in the order it was asked.
    pub fn permits(&self) -> &[Permit] {
        &self.asks
    }

    /// Why it waits.
    pub fn reason(&self, permit: &Permit) -> Option<String> {
        permit.fence.is_none().then(|| self.against(permit)).flatten()
    }

    /// The budgets.
    pub fn budgets(&self) -> impl Iterator<Item = (&Scope, BudgetLimit)> {
        self.budgets.iter().map(|(scope, most)| (scope, *most))
    }

    /// The index of the last entry.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// What of a view is news: nodes that stand otherwise than the log says, and those that it knows and the view does not.
    pub fn news(&self, view: &[SeenNode]) -> Vec<SeenNode> {
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
