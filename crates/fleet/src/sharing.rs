//! How many nodes share the pool, by the view: for what each node reckons to be its part.
//!
//! A view that shrinks may be a partition, and the others may still be there, each with its part: a node that has been lost
//! counts in full for a while and then fades. One that said that it goes counts no more. Nothing is said while the view
//! changes, or when it holds nobody though others were named: what a node can't know it does not guess.

use crate::Fleet;
use crate::identity::Millis;
use foca::State;

/// A lost node counts in full for this long: a partition that is longer has been seen by those on call.
const FULL_MS: Millis = 60_000;
/// And from then on less and less, until it no longer counts.
const FADE_MS: Millis = 120_000;

/// What a node that was lost so long ago still counts.
fn counts(lost_ms: Millis) -> f64 {
    1.0 - (lost_ms.saturating_sub(FULL_MS) as f64 / FADE_MS as f64).min(1.0)
}

impl Fleet {
    /// How many nodes share the pool; `None` while that can't be told.
    pub fn sharing(&self, now: Millis) -> Option<u32> {
        let alone = self.foca.iter_membership_state().len() == 0 && !self.seeds.is_empty();
        if alone || !self.is_settled(now) {
            return None;
        }
        let words = self.words.borrow();
        let counted = |member: &foca::Member<crate::Id>| match member.state() {
            State::Alive | State::Suspect => 1.0,
            State::Down => {
                let node_info = words.of(member.id());
                let left = node_info.is_some_and(crate::Word::tells_left);
                let lost = self
                    .died
                    .get(&member.id().name)
                    .map_or(FULL_MS + FADE_MS, |since| now.saturating_sub(*since));
                if left { 0.0 } else { counts(lost) }
            }
        };
        let all: f64 = self.foca.iter_membership_state().map(counted).sum();
        // Rounded up: a smaller part is the safer guess.
        Some(1 + all.ceil() as u32)
    }
}

#[cfg(test)]
mod tests;
