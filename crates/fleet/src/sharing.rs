//! The number of nodes that share the pool, according to the view. Each node uses it to estimate its part of
//! the pool.
//!
//! A view that shrinks may mean a partition, with the missing nodes still at work and each using its part. So
//! a dead node counts in full for a while, and then less and less. A node that announced its leave does not
//! count. There is no number while the view changes, nor while it is empty although seeds are set: a wrong
//! guess is worse than none.

use crate::Fleet;
use crate::identity::Millis;
use foca::State;

/// A dead node counts in full for this long. A partition that lasts longer has been noticed by those on call.
const FULL_WEIGHT_MS: Millis = 60_000;
/// After that its weight falls to 0 over this time.
const FADE_MS: Millis = 120_000;

/// The weight, from 1 to 0, of a node that died `dead_for_ms` ago.
fn weight(dead_for_ms: Millis) -> f64 {
    1.0 - (dead_for_ms.saturating_sub(FULL_WEIGHT_MS) as f64 / FADE_MS as f64).min(1.0)
}

impl Fleet {
    /// The number of nodes that share the pool, this one included; `None` while it is not known.
    pub fn sharing(&self, now: Millis) -> Option<u32> {
        let knows_nobody = self.foca.iter_membership_state().len() == 0 && !self.seeds.is_empty();
        if knows_nobody || !self.is_settled(now) {
            return None;
        }
        let info_table = self.info_table.borrow();
        let member_weight = |member: &foca::Member<crate::Id>| match member.state() {
            State::Alive | State::Suspect => 1.0,
            State::Down => {
                let record = info_table.get_for(member.id());
                let left = record.is_some_and(crate::InfoRecord::has_left);
                let dead_for_ms = self
                    .dead_since
                    .get(&member.id().name)
                    .map_or(FULL_WEIGHT_MS + FADE_MS, |since| now.saturating_sub(*since));
                if left { 0.0 } else { weight(dead_for_ms) }
            }
        };
        let others: f64 = self.foca.iter_membership_state().map(member_weight).sum();
        // Rounded up, because too small a part is the safer error.
        Some(1 + others.ceil() as u32)
    }
}

#[cfg(test)]
mod tests;
