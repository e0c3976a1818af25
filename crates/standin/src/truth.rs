//! What really happened at a scripted site, as no node can know it.

use serde::{Deserialize, Serialize};

/// The truth of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroundTruth {
    /// When the run began, in Unix milliseconds.
    pub began: f64,
    /// Worth of all seconds that clients wanted.
    pub wanted: f64,
    /// Worth of those in which they stood at a member that served them in time.
    pub served: f64,
    /// Clients that wanted a connection.
    pub clients: u64,
    /// What was done, when, in milliseconds from the start.
    pub changes: Vec<ConditionChange>,
    /// Answers that clients got, by what they were.
    pub rejected: u64,
    /// Transactions that failed.
    pub failed: u64,
    /// Clients that were moved.
    pub moved: u64,
}

/// A change that the script made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConditionChange {
    /// When, in milliseconds from the start.
    pub at_ms: f64,
    /// To which member or node.
    pub subject: String,
    /// What it was from then on.
    pub what: Condition,
    /// Whether it began, or ended.
    pub begins: bool,
}

/// Kinds of change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// It answers nothing.
    Silent,
    /// Its messages are late.
    Slow,
    /// It turns everything new away.
    Refusing,
    /// It is being drained.
    Draining,
    /// It is not there.
    Gone,
    /// It has just started.
    Cold,
    /// A node runs.
    Running,
    /// A node's records are being lost.
    Deaf,
}

impl GroundTruth {
    /// Part of the wanted worth that was not served.
    pub fn share_lost(&self) -> f64 {
        if self.wanted > 0.0 { 1.0 - self.served / self.wanted } else { 0.0 }
    }
}
