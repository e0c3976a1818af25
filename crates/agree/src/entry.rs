//! The entries of the replicated log. They are stored and sent in postcard's encoding, which goes by the
//! order of variants and fields: new ones are added last.

use serde::{Deserialize, Serialize};

/// A request number, drawn at random by the requesting node. A request that reaches the log twice, by way of
/// two voters, counts once.
pub type Request = u128;

/// The set of nodes that a budget limits.
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

/// How many nodes of a scope may be out at once. A node is out if it does not serve or holds a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetLimit {
    /// A number of nodes.
    Number(u32),
    /// A percentage of the scope's known nodes, rounded down.
    Percent(u8),
}

impl BudgetLimit {
    /// The limit in nodes, for a scope with this many known nodes.
    pub(crate) fn of(self, known_nodes: usize) -> usize {
        match self {
            BudgetLimit::Number(number) => number as usize,
            BudgetLimit::Percent(percent) => known_nodes * usize::from(percent.min(100)) / 100,
        }
    }
}

/// A node's status in the leader's view of the fleet. Every status but `Serving` counts as out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeStatus {
    /// Takes clients.
    Serving,
    /// Moves its clients away and takes none.
    Draining,
    /// Shuts down.
    Ending,
    /// Starting, or not ready for another reason.
    NotReady,
    /// Declared dead by failure detection.
    Dead,
    /// Announced that it leaves the fleet.
    Left,
    /// In the log, but no longer in the leader's view.
    Unknown,
}

impl NodeStatus {
    /// The text used in answers to nodes and operators.
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

/// A node as the leader's view of the fleet has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenNode {
    /// The node's name.
    pub name: String,
    /// The node's zone.
    pub zone: String,
    /// The incarnation that was seen; of two, the larger number is the later one.
    pub incarnation: u64,
    /// The node's status.
    pub status: NodeStatus,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// An operator sets a budget.
    Budget(Scope, BudgetLimit),
    /// Nodes whose zone, incarnation or status in the leader's view differs from the log.
    Seen(Vec<SeenNode>),
    /// A node requests a permit to drain.
    Ask {
        /// The request number.
        request: Request,
        /// The name of the requesting node.
        node: String,
        /// The incarnation of the requesting node.
        incarnation: u64,
    },
    /// A node releases its permit or withdraws its request.
    Release(Request),
}
