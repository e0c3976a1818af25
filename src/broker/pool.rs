//! The pool as the broker holds it: members by number, and whether one may be sent to.

use crate::api::{BackendId, BackendInfo, Millis, Phase};
use crate::pool::{Member, PoolList, name_hash};
use std::collections::BTreeMap;

/// A version older than the one at hand is believed when it comes so often in a row: discovery counts anew.
const OLDER_MOST: u32 = 3;

/// Why a list is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListError {
    /// It names nobody, and somebody is known.
    Empty,
    /// It is older than the one at hand.
    Older {
        /// Its version.
        seq: u64,
        /// The version at hand.
        at_hand: u64,
    },
}

impl std::fmt::Display for ListError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ListError::Empty => f.write_str("the list names nobody"),
            ListError::Older { seq, at_hand } => write!(f, "version {seq} is older than {at_hand}"),
        }
    }
}

impl std::error::Error for ListError {}

#[derive(Default)]
pub(super) struct Pool {
    pub(super) seq: u64,
    /// Older versions in a row; none counts as older from a discovery that was not heard before.
    older: u32,
    fresh: bool,
    members: BTreeMap<BackendId, Member>,
}

impl Pool {
    /// Whether a list or changes may be taken. The last good list stands against one that is empty or older: a copy that
    /// lags behind would bring back who drains.
    pub(super) fn fits(&mut self, list: &PoolList) -> Result<(), ListError> {
        if list.whole && list.members.is_empty() && !self.members.is_empty() {
            return Err(ListError::Empty);
        }
        if list.seq < self.seq && !self.fresh {
            self.older += 1;
            if !list.whole || self.older < OLDER_MOST {
                return Err(ListError::Older { seq: list.seq, at_hand: self.seq });
            }
        }
        (self.older, self.fresh) = (0, false);
        Ok(())
    }

    /// Versions may count from another start from now on: discovery is another one.
    pub(super) fn refresh(&mut self) {
        self.fresh = true;
    }

    /// Takes a list or changes; returns them in the module's terms, and which members changed state.
    pub(super) fn merge(
        &mut self,
        list: PoolList,
        all: bool,
    ) -> (Vec<BackendInfo>, Vec<(BackendId, String, Phase)>) {
        if all || !list.members.is_empty() {
            self.seq = list.seq;
        }
        let mut before = if all { std::mem::take(&mut self.members) } else { BTreeMap::new() };
        let mut lines = Vec::with_capacity(list.members.len());
        let mut changed = Vec::new();
        for member in list.members {
            let id = self.number(&member.name);
            lines.push(member.info(id));
            let old = before.remove(&id).or_else(|| self.members.remove(&id));
            if old.is_none_or(|old| old.phase != member.phase || old.born != member.born) {
                changed.push((id, member.name.clone(), member.phase));
            }
            if member.phase != Phase::Gone {
                self.members.insert(id, member);
            }
        }
        if all {
            changed.extend(before.into_iter().map(|(id, member)| (id, member.name, Phase::Gone)));
        }
        (lines, changed)
    }

    /// A member's number is a hash of its name, so that it is the same at every node.
    fn number(&self, name: &str) -> BackendId {
        let mut id = BackendId(name_hash(name));
        while self.members.get(&id).is_some_and(|known| known.name != name) {
            id = BackendId(id.0.wrapping_add(1));
        }
        id
    }

    pub(super) fn named(&self, name: &str) -> Option<BackendId> {
        Some(self.number(name)).filter(|id| self.members.contains_key(id))
    }

    /// Whether something new may be sent there: listed, and neither draining nor gone.
    pub(super) fn serving(&self, id: BackendId) -> bool {
        self.members.get(&id).is_some_and(|member| member.phase == Phase::Serving)
    }

    /// A listed member's state.
    pub(super) fn phase(&self, id: BackendId) -> Option<Phase> {
        self.members.get(&id).map(|member| member.phase)
    }

    pub(super) fn listed(&self, id: BackendId) -> bool {
        self.members.contains_key(&id)
    }

    pub(super) fn members(&self) -> impl Iterator<Item = (BackendId, &Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    pub(super) fn member(&self, id: BackendId) -> Option<&Member> {
        self.members.get(&id)
    }

    pub(super) fn dial(&self, id: BackendId) -> Option<String> {
        self.members.get(&id).map(|member| member.dial.clone())
    }

    /// When a member last started, as listed; `None` if long ago.
    pub(super) fn started_at(&self, id: BackendId) -> Option<Millis> {
        self.members.get(&id).and_then(|member| member.born)
    }

    pub(super) fn name(&self, id: BackendId) -> String {
        self.members.get(&id).map_or_else(|| format!("{:016x}", id.0), |member| member.name.clone())
    }
}

#[cfg(test)]
mod tests;
