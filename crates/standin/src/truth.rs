//! The ground truth of a scripted run: what really happened, including what no node can know.

use serde::{Deserialize, Serialize};

/// The ground truth of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroundTruth {
    /// When the run began, in Unix milliseconds.
    pub began: f64,
    /// Value of all seconds for which clients wanted a connection.
    pub wanted: f64,
    /// Value of those seconds in which a client was connected to a member that served it in time.
    pub served: f64,
    /// Number of clients that wanted a connection.
    pub clients: u64,
    /// Changes that the script made.
    pub changes: Vec<ConditionChange>,
    /// Number of rejects that clients received.
    pub rejected: u64,
    /// Number of transactions that failed.
    pub failed: u64,
    /// Number of times that a client was moved.
    pub moved: u64,
}

/// The begin or the end of a condition that the script causes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConditionChange {
    /// Time of the change, in milliseconds from the start.
    pub at_ms: f64,
    /// Member or node that is affected.
    pub subject: String,
    /// Condition that begins or ends.
    pub what: Condition,
    /// True if the condition begins, false if it ends.
    pub begins: bool,
}

/// Conditions of members and nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The member answers nothing.
    Silent,
    /// The member is slow to handle messages.
    Slow,
    /// The member rejects all new connections.
    Refusing,
    /// The member is draining.
    Draining,
    /// The member is not running.
    Gone,
    /// The member has just started.
    Cold,
    /// The node is running.
    Running,
    /// The node loses its records.
    Deaf,
}

impl GroundTruth {
    /// Returns the share of the wanted value that was not served, from 0 to 1; 0 if no connection was wanted.
    pub fn share_lost(&self) -> f64 {
        if self.wanted > 0.0 { 1.0 - self.served / self.wanted } else { 0.0 }
    }
}
