//! The view as operators and the node read it, and its digest.

use crate::identity::{Id, Millis};
use crate::node_info::{NodeInfo, Word};
use crate::{Fleet, Readiness};
use sha2::{Digest, Sha256};

/// What is held of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer somebody, and has not said yet that it is alive.
    Suspect,
    /// It was not heard of for too long.
    Dead,
    /// It said that it goes.
    Left,
}

impl State {
    /// As operators read it.
    pub fn text(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// Whether it is held to be there.
    pub fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// A node as seen by another.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeView {
    /// Who.
    pub id: Id,
    /// What is held of it.
    pub state: State,
    /// What it says of itself, if that has come.
    pub info: Option<NodeInfo>,
    /// How long ago it was heard itself; none if never.
    pub heard_ms: Option<Millis>,
}

/// What a node knows of its fleet at one time.
#[derive(Clone, Debug)]
pub struct View {
    /// Whose view.
    pub id: Id,
    /// Equal on two nodes exactly if they hold the same nodes to be there, each with the same word.
    pub digest: [u8; 32],
    /// How much the node doubts itself: 0 if it does not.
    pub health_score: u32,
    /// Whether the view has stood for a while.
    pub settled: bool,
    /// How many nodes share the pool, where that can be told.
    pub sharing: Option<u32>,
    /// The later process of this name that it stepped back from.
    pub superseded_by: Option<Id>,
    /// All nodes, itself included, by name.
    pub members: Vec<NodeView>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Datagrams that came.
    pub datagrams_in: u64,
    /// Datagrams that were sent.
    pub datagrams_out: u64,
    /// Their bytes, and those of frames.
    pub bytes_in: u64,
    /// The same, sent.
    pub bytes_out: u64,
    /// Datagrams and frames that were refused.
    pub refused: u64,
    /// Nodes that came, went or came again.
    pub view_changes: u64,
    /// Exchanges that others began.
    pub exchanges: u64,
    /// Suspicions of this node's own that were false.
    pub false_alarms: u64,
    /// Times that this node stood still.
    pub stalls: u64,
}

/// The digest, and what it was made of.
#[derive(Debug, Default)]
pub(crate) struct Cached {
    of: Option<(u64, u64)>,
    digest: [u8; 32],
}

fn put(hash: &mut Sha256, id: &Id, node_info: Option<&Word>) {
    let mut part = |bytes: &[u8]| {
        hash.update((bytes.len() as u64).to_le_bytes());
        hash.update(bytes);
    };
    part(id.name.as_bytes());
    part(&id.incarnation.to_le_bytes());
    part(id.address.to_string().as_bytes());
    match node_info {
        Some(node_info) => {
            part(&node_info.version.to_le_bytes());
            part(&node_info.fields);
        }
        None => part(&[]),
    }
}

impl Fleet {
    /// Equal on two nodes exactly if they hold the same nodes to be there, each with the same word.
    pub fn digest(&self) -> [u8; 32] {
        let words = self.words.borrow();
        let mut cached = self.digest.borrow_mut();
        let now = Some((self.changes, words.changes));
        if cached.of != now {
            let mut there: Vec<&Id> = self.foca.iter_members().map(foca::Member::id).collect();
            there.push(&self.id);
            there.sort();
            let mut hash = Sha256::new();
            for id in there {
                put(&mut hash, id, words.of(id));
            }
            *cached = Cached { of: now, digest: hash.finalize().into() };
        }
        cached.digest
    }

    /// All that is known now.
    pub fn view(&self, now: Millis) -> View {
        let words = self.words.borrow();
        let seen = |id: &Id, state: State, heard_ms: Option<Millis>| {
            let info = words.of(id).and_then(|node_info| NodeInfo::read(&node_info.fields));
            let left = info.as_ref().is_some_and(|info| info.ready == Readiness::Left);
            let state = if state == State::Dead && left { State::Left } else { state };
            NodeView { id: id.clone(), state, info, heard_ms }
        };
        let mut members = vec![seen(&self.id, State::Alive, Some(0))];
        for member in self.foca.iter_membership_state() {
            let state = match member.state() {
                foca::State::Alive => State::Alive,
                foca::State::Suspect => State::Suspect,
                foca::State::Down => State::Dead,
            };
            let peer = self.peers.get(&member.id().name);
            let heard = peer.filter(|peer| peer.incarnation == member.id().incarnation);
            members.push(seen(member.id(), state, heard.map(|peer| now.saturating_sub(peer.heard))));
        }
        members.sort_by(|a, b| a.id.cmp(&b.id));
        View {
            id: self.id.clone(),
            digest: self.digest(),
            health_score: self.health.health_score(),
            settled: self.is_settled(now),
            sharing: self.sharing(now),
            superseded_by: self.superseded_by().cloned(),
            members,
        }
    }

    /// Counts since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// How many are held alive, suspect, and dead or left; this node is one of the living.
    pub fn counts(&self) -> (usize, usize, usize) {
        let mut counts = (1, 0, 0);
        for member in self.foca.iter_membership_state() {
            match member.state() {
                foca::State::Alive => counts.0 += 1,
                foca::State::Suspect => counts.1 += 1,
                foca::State::Down => counts.2 += 1,
            }
        }
        counts
    }
}
