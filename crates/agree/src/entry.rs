//! What stands in the log. The order of the variants and fields is the format: new ones come last.

use serde::{Deserialize, Serialize};

/// A request's number, drawn at random by whoever asks: the same request by two ways is one.
pub type Request = u128;

/// What a budget is of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// All nodes.
    Fleet,
    /// The nodes of one zone.
    Zone(String),
}

impl std::fmt::Display for Scope {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Scope::Fleet => f.write_str("fleet"),
            Scope::Zone(zone) => write!(f, "zone {zone}"),
        }
    }
}

/// How many may be out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetLimit {
    /// So many.
    Number(u32),
    /// So many in a hundred of those known, rounded down.
    Percent(u8),
}

impl BudgetLimit {
    pub(crate) fn of(self, known: usize) -> usize {
        match self {
            BudgetLimit::Number(number) => number as usize,
            BudgetLimit::Percent(share) => known * usize::from(share.min(100)) / 100,
        }
    }
}

/// How a node stands, as the leader's view has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeStatus {
    /// Takes clients. Any other counts as out.
    Serving,
    /// Moves its clients away and takes none.
    Draining,
    /// Ends.
    Ending,
    /// Not ready, or starting.
    NotReady,
    /// Held dead.
    Dead,
    /// Has said that it goes.
    Left,
    /// In the log, and in the leader's view no more.
    Unknown,
}

impl NodeStatus {
    /// As in answers.
    pub fn text(self) -> &'static str {
        match self {
            NodeStatus::Serving => "serving",
            NodeStatus::Draining => "draining",
            NodeStatus::Ending => "ending",
            NodeStatus::NotReady => "not ready",
            NodeStatus::Dead => "dead",
            NodeStatus::Left => "left",
            NodeStatus::Unknown => "unknown",
        }
    }
}

/// A node as the leader's view has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenNode {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Which coming of it.
    pub incarnation: u64,
    /// How it stands.
    pub status: NodeStatus,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// An operator sets a budget.
    Budget(Scope, BudgetLimit),
    /// What the leader's view tells anew.
    Seen(Vec<SeenNode>),
    /// A node asks to drain.
    Ask {
        /// The request.
        request: Request,
        /// Who asks.
        node: String,
        /// Which coming of it.
        incarnation: u64,
    },
    /// A node gives a permit back, or asks no more.
    Back(Request),
}
