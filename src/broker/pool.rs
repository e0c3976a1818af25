//! The broker's list of pool members, by number, and which of them may get new requests.

use crate::api::{BackendId, BackendInfo, Millis, Phase};
use crate::pool::{Member, PoolList, name_hash};
use std::collections::BTreeMap;

/// Number of consecutive older lists or patches at which a complete older list is accepted, because discovery
/// must have restarted its version numbers.
const OLDER_LISTS_UNTIL_ACCEPTED: u32 = 3;

/// Most withdrawn members that are remembered; those told first are dropped first.
const MAX_WITHDRAWN: usize = 4_096;

/// Why a list is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListError {
    /// It names no member, while some are known.
    Empty,
    /// It is older than the current list.
    Older {
        /// Version of the rejected list.
        seq: u64,
        /// Version of the current list.
        current: u64,
    },
}

impl std::fmt::Display for ListError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ListError::Empty => f.write_str("the list names no members"),
            ListError::Older { seq, current } => write!(f, "version {seq} is older than {current}"),
        }
    }
}

impl std::error::Error for ListError {}

/// A member that discovery told to be draining or gone.
#[derive(Clone, Copy)]
struct Withdrawal {
    /// Version that told it.
    seq: u64,
    /// The member's last start as listed then.
    born: Option<Millis>,
}

#[derive(Default)]
pub(super) struct Pool {
    pub(super) seq: u64,
    /// Older versions received in a row.
    older_in_a_row: u32,
    /// Discovery has been replaced since the last accepted list, so that no version counts as older.
    numbering_changed: bool,
    members: BTreeMap<BackendId, Member>,
    withdrawn: BTreeMap<BackendId, Withdrawal>,
}

impl Pool {
    /// Checks whether a list or patch may be applied. An empty or older one is rejected: an outdated replica
    /// of discovery would bring back members that drain.
    pub(super) fn check(&mut self, list: &PoolList) -> Result<(), ListError> {
        if list.whole && list.members.is_empty() && !self.members.is_empty() {
            return Err(ListError::Empty);
        }
        if list.seq < self.seq && !self.numbering_changed {
            self.older_in_a_row += 1;
            if !list.whole || self.older_in_a_row < OLDER_LISTS_UNTIL_ACCEPTED {
                return Err(ListError::Older { seq: list.seq, current: self.seq });
            }
        }
        (self.older_in_a_row, self.numbering_changed) = (0, false);
        Ok(())
    }

    /// Accepts any version next, because another discovery service numbers its lists on its own.
    pub(super) fn reset_numbering(&mut self) {
        self.numbering_changed = true;
    }

    /// Applies a list (`complete`) or a patch. Returns its entries for the decision module, and the members
    /// that changed. An entry of an older version does not bring back a member that was withdrawn since, unless
    /// the member has been started again: the version may come from a replica that runs behind.
    pub(super) fn merge(
        &mut self,
        list: PoolList,
        complete: bool,
    ) -> (Vec<BackendInfo>, Vec<(BackendId, String, Phase)>) {
        if complete || !list.members.is_empty() {
            self.seq = list.seq;
        }
        let seq = list.seq;
        let mut previous = if complete { std::mem::take(&mut self.members) } else { BTreeMap::new() };
        let mut entries = Vec::with_capacity(list.members.len());
        let mut changed = Vec::new();
        for mut member in list.members {
            let id = self.id_for(&member.name);
            if member.phase == Phase::Serving && self.is_withdrawn(id, member.born, seq) {
                if !previous.contains_key(&id) && !self.members.contains_key(&id) {
                    continue;
                }
                member.phase = Phase::Draining;
            }
            self.note_withdrawal(id, &member, seq);
            entries.push(member.info(id));
            let old = previous.remove(&id).or_else(|| self.members.remove(&id));
            if old.is_none_or(|old| old.phase != member.phase || old.born != member.born) {
                changed.push((id, member.name.clone(), member.phase));
            }
            if member.phase != Phase::Gone {
                self.members.insert(id, member);
            }
        }
        for (id, member) in &previous {
            self.note_withdrawal(*id, &Member { phase: Phase::Gone, ..member.clone() }, seq);
        }
        if complete {
            changed.extend(previous.into_iter().map(|(id, member)| (id, member.name, Phase::Gone)));
        }
        (entries, changed)
    }

    /// Whether a member that started at `born` was withdrawn by a later version than `seq`.
    fn is_withdrawn(&self, id: BackendId, born: Option<Millis>, seq: u64) -> bool {
        self.withdrawn.get(&id).is_some_and(|withdrawal| seq < withdrawal.seq && born == withdrawal.born)
    }

    /// Remembers that a member is draining or gone, or forgets it once it serves.
    fn note_withdrawal(&mut self, id: BackendId, member: &Member, seq: u64) {
        if member.phase == Phase::Serving {
            self.withdrawn.remove(&id);
            return;
        }
        let withdrawal = self.withdrawn.entry(id).or_insert(Withdrawal { seq, born: member.born });
        if withdrawal.born != member.born {
            *withdrawal = Withdrawal { seq, born: member.born };
        }
        withdrawal.seq = withdrawal.seq.max(seq);
        if self.withdrawn.len() > MAX_WITHDRAWN {
            let oldest =
                self.withdrawn.iter().min_by_key(|(_, withdrawal)| withdrawal.seq).map(|(id, _)| *id);
            oldest.map(|id| self.withdrawn.remove(&id));
        }
    }

    /// Returns a member's number, a hash of its name, so that it is the same at every node. Collisions take
    /// the next free number.
    fn id_for(&self, name: &str) -> BackendId {
        let mut id = BackendId(name_hash(name));
        while self.members.get(&id).is_some_and(|known| known.name != name) {
            id = BackendId(id.0.wrapping_add(1));
        }
        id
    }

    pub(super) fn find(&self, name: &str) -> Option<BackendId> {
        Some(self.id_for(name)).filter(|id| self.members.contains_key(id))
    }

    /// Whether new requests may go to the member: it is listed, and neither draining nor gone.
    pub(super) fn serving(&self, id: BackendId) -> bool {
        self.members.get(&id).is_some_and(|member| member.phase == Phase::Serving)
    }

    /// State of a listed member.
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

    /// Time of the member's last start as listed; `None` if that is long past.
    pub(super) fn started_at(&self, id: BackendId) -> Option<Millis> {
        self.members.get(&id).and_then(|member| member.born)
    }

    pub(super) fn name(&self, id: BackendId) -> String {
        self.members.get(&id).map_or_else(|| format!("{:016x}", id.0), |member| member.name.clone())
    }
}

#[cfg(test)]
mod tests;
