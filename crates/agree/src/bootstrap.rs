//! The first start of the voters, and how one notices that its folder was lost: it must not vote then, since it may have
//! voted otherwise in the same term.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Drawn at a voter's start with an empty folder.
pub type Start = u64;
/// Which starts the log was founded by: on disk, of each voter.
pub type Founders = BTreeMap<String, Start>;

/// What a voter tells the others about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hail {
    /// It has an empty folder, and this start.
    Empty(Start),
    /// It has founded with these.
    Founded(Founders),
}

/// What follows from what was heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Not enough is known yet.
    Waits,
    /// To be written to disk; after that the voter votes.
    Founds(Founders),
    /// The others founded with an earlier start of this voter: its folder was lost, and it must not vote.
    Lost,
}

/// A voter whose folder is empty.
#[derive(Debug)]
pub struct Founding {
    me: String,
    voters: Vec<String>,
    heard: Founders,
}

impl Founding {
    /// A start with an empty folder.
    pub fn new(me: &str, voters: &[String], start: Start) -> Founding {
        Founding {
            me: me.to_owned(),
            voters: voters.to_vec(),
            heard: Founders::from([(me.to_owned(), start)]),
        }
    }

    /// To be told to the other voters.
    pub fn hail(&self) -> Hail {
        Hail::Empty(self.heard.get(&self.me).copied().unwrap_or_default())
    }

    /// Another voter has told.
    pub fn heard(&mut self, from: &str, hail: Hail) -> Outcome {
        if from == self.me || !self.voters.iter().any(|voter| voter == from) {
            return Outcome::Waits;
        }
        match hail {
            Hail::Empty(start) => {
                self.heard.insert(from.to_owned(), start);
                self.alone()
            }
            Hail::Founded(founders) if founders.get(&self.me) == self.heard.get(&self.me) => {
                Outcome::Founds(founders)
            }
            Hail::Founded(_) => Outcome::Lost,
        }
    }

    /// What follows without hearing anybody: one of one founds at once.
    pub fn alone(&self) -> Outcome {
        if self.voters.iter().all(|voter| self.heard.contains_key(voter)) {
            Outcome::Founds(self.heard.clone())
        } else {
            Outcome::Waits
        }
    }
}

#[cfg(test)]
mod tests;
