//! The first start of the voters, and how a voter notices that its data folder was lost. A voter that lost
//! its folder must not vote: it may have voted for another candidate in the same term.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A random number drawn when a voter starts with an empty folder. It tells that start from any other of the
/// voter.
pub type StartId = u64;
/// The voters that bootstrapped the log, each with the start that it did so in. Every voter keeps them on
/// disk.
pub type Founders = BTreeMap<String, StartId>;

/// What a voter tells the other voters about its own bootstrap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BootstrapState {
    /// Its folder is empty; this is its start.
    Empty(StartId),
    /// It has bootstrapped with these voters.
    Done(Founders),
}

/// What a voter is to do, given the other voters' states so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapOutcome {
    /// Wait: the states of some voters are still missing.
    Wait,
    /// Write these founders to disk, and vote after that.
    Complete(Founders),
    /// Do not vote: the others bootstrapped with an earlier start of this voter, so its folder was lost
    /// since.
    FolderLost,
}

/// A voter whose folder is empty.
#[derive(Debug)]
pub struct Bootstrap {
    me: String,
    voters: Vec<String>,
    /// The starts known so far, this voter's own among them.
    known_starts: Founders,
}

impl Bootstrap {
    /// A voter that starts with an empty folder.
    pub fn new(me: &str, voters: &[String], start: StartId) -> Bootstrap {
        Bootstrap {
            me: me.to_owned(),
            voters: voters.to_vec(),
            known_starts: Founders::from([(me.to_owned(), start)]),
        }
    }

    /// The state to send to the other voters.
    pub fn state(&self) -> BootstrapState {
        BootstrapState::Empty(self.known_starts.get(&self.me).copied().unwrap_or_default())
    }

    /// Takes another voter's state. States from itself and from nodes that are no voters are ignored.
    pub fn on_state(&mut self, from: &str, state: BootstrapState) -> BootstrapOutcome {
        if from == self.me || !self.voters.iter().any(|voter| voter == from) {
            return BootstrapOutcome::Wait;
        }
        match state {
            BootstrapState::Empty(start) => {
                self.known_starts.insert(from.to_owned(), start);
                self.outcome()
            }
            BootstrapState::Done(founders) if founders.get(&self.me) == self.known_starts.get(&self.me) => {
                BootstrapOutcome::Complete(founders)
            }
            BootstrapState::Done(_) => BootstrapOutcome::FolderLost,
        }
    }

    /// The outcome of what is known so far. A sole voter bootstraps at once, without hearing from anybody.
    pub fn outcome(&self) -> BootstrapOutcome {
        if self.voters.iter().all(|voter| self.known_starts.contains_key(voter)) {
            BootstrapOutcome::Complete(self.known_starts.clone())
        } else {
            BootstrapOutcome::Wait
        }
    }
}

#[cfg(test)]
mod tests;
