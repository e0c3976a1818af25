//! Filters the membership updates in a gossip datagram before `foca` sees them: drops updates about new nodes
//! while the view is full, and turns doubtful deaths into suspicions.

use crate::identity::{Id, Millis};
use crate::{Event, Fleet, MAX_KNOWN_NODES};
use foca::{Member, State};

/// A sender known for less than this is not believed when it reports a death; the node is only suspected. The
/// sender may have started in a part of the fleet that was cut off, where it saw all others as dead. After
/// this time it has either heard from them or has suspected them anew on this side of the cut.
const NEW_SENDER_MS: Millis = 3_000;
/// A node that was heard from within this time is not believed dead, only suspected: the nodes that report
/// the death may have been cut off from it while this one was not.
const RECENTLY_HEARD_MS: Millis = 1_000;

impl Fleet {
    /// Returns `data` without the updates that must not be applied; `None` if all of it can be applied as it
    /// is.
    pub(crate) fn filter_gossip(&mut self, now: Millis, data: &[u8]) -> Option<Vec<u8>> {
        let (header, rest): (foca::Header<Id>, _) = postcard::take_from_bytes(data).ok()?;
        let full = self.foca.iter_membership_state().len() >= MAX_KNOWN_NODES;
        if full {
            if !std::mem::replace(&mut self.full_reported, true) {
                self.events.push_back(Event::Full);
            }
            if self.lookup(&header.src).is_none() {
                return Some(Vec::new());
            }
        }
        let newly_known = self
            .peers
            .get(&header.src.name)
            .is_none_or(|peer| now.saturating_sub(peer.known_since) < NEW_SENDER_MS);
        let mut filtered = data.get(..data.len() - rest.len())?.to_vec();
        let Some((count, mut rest)) = rest.split_first_chunk::<2>() else { return Some(filtered) };
        let mut updates = Vec::new();
        let (mut kept_count, mut changed) = (0u16, false);
        for _ in 0..u16::from_be_bytes(*count) {
            let (member, remaining): (Member<Id>, _) = postcard::take_from_bytes(rest).ok()?;
            rest = remaining;
            let known = self.lookup(member.id());
            if full && known.is_none() {
                changed = true;
                continue;
            }
            let is_up = known.is_some_and(|(id, _, state)| id == *member.id() && state != State::Down);
            let heard_recently = self
                .peers
                .get(&member.id().name)
                .is_some_and(|peer| now.saturating_sub(peer.last_heard) < RECENTLY_HEARD_MS);
            // A node that leaves says so itself; that counts as a leave, not as a death.
            let leaving = *member.id() == header.src
                || self.info_table.borrow().get_for(member.id()).is_some_and(|record| record.has_left());
            let member = match member.state() {
                State::Down if is_up && !leaving && (newly_known || heard_recently) => {
                    changed = true;
                    Member::new(member.id().clone(), member.incarnation(), State::Suspect)
                }
                _ => member,
            };
            updates.extend_from_slice(&postcard::to_stdvec(&member).ok()?);
            kept_count += 1;
        }
        filtered.extend_from_slice(&kept_count.to_be_bytes());
        filtered.extend_from_slice(&updates);
        filtered.extend_from_slice(rest);
        changed.then_some(filtered)
    }
}
