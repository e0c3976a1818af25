//! What a datagram brings of others, where it is not taken as it is: names that there is no room for, and deaths told by
//! a node that has just come.

use crate::identity::{Id, Millis};
use crate::{Event, Fleet, MAX_KNOWN_NODES};
use foca::{Member, State};

/// A node that is known for less is believed no death, only a suspicion: it may have started in a part of the fleet that
/// was cut off, where all others are dead. By then it has heard from those whom it holds dead, or has suspected them here.
const NEW_MS: Millis = 3_000;
/// One that was heard since is not believed dead, only suspected: others may have been cut from it, and not this node.
const HEARD_MS: Millis = 1_000;

impl Fleet {
    /// What is to be taken of a datagram; `None` if all of it is.
    pub(crate) fn believed(&mut self, now: Millis, data: &[u8]) -> Option<Vec<u8>> {
        let (header, rest): (foca::Header<Id>, _) = postcard::take_from_bytes(data).ok()?;
        let full = self.foca.iter_membership_state().len() >= MAX_KNOWN_NODES;
        if full {
            if !std::mem::replace(&mut self.full, true) {
                self.events.push_back(Event::Full);
            }
            if self.known(&header.src).is_none() {
                return Some(Vec::new());
            }
        }
        let new = self.peers.get(&header.src.name).is_none_or(|peer| now.saturating_sub(peer.since) < NEW_MS);
        let mut kept = data.get(..data.len() - rest.len())?.to_vec();
        let Some((count, mut rest)) = rest.split_first_chunk::<2>() else { return Some(kept) };
        let mut updates = Vec::new();
        let (mut passed, mut changed) = (0u16, false);
        for _ in 0..u16::from_be_bytes(*count) {
            let (member, after): (Member<Id>, _) = postcard::take_from_bytes(rest).ok()?;
            rest = after;
            let known = self.known(member.id());
            if full && known.is_none() {
                changed = true;
                continue;
            }
            let lives = known.is_some_and(|(id, _, state)| id == *member.id() && state != State::Down);
            let heard = self
                .peers
                .get(&member.id().name)
                .is_some_and(|peer| now.saturating_sub(peer.heard) < HEARD_MS);
            // One that goes says so itself: that is no death.
            let goes = *member.id() == header.src
                || self.words.borrow().of(member.id()).is_some_and(|node_info| node_info.tells_left());
            let member = match member.state() {
                State::Down if lives && !goes && (new || heard) => {
                    changed = true;
                    Member::new(member.id().clone(), member.incarnation(), State::Suspect)
                }
                _ => member,
            };
            updates.extend_from_slice(&postcard::to_stdvec(&member).ok()?);
            passed += 1;
        }
        kept.extend_from_slice(&passed.to_be_bytes());
        kept.extend_from_slice(&updates);
        kept.extend_from_slice(rest);
        changed.then_some(kept)
    }
}
