//! The view as operators and the node read it, and its digest.

use crate::identity::{Id, Millis};
use crate::node_info::{InfoRecord, NodeInfo};
use crate::{Fleet, Readiness};
use sha2::{Digest, Sha256};

/// The state of a node in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers probes.
    Alive,
    /// It did not answer a probe, and has not refuted the suspicion yet.
    Suspect,
    /// It was suspected and did not refute this in time.
    Dead,
    /// It announced its leave.
    Left,
}

impl State {
    /// The state as shown to operators.
    pub fn text(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// Whether the node counts as up: alive, or only suspected.
    pub fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// One node as another sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeView {
    /// Its identity.
    pub id: Id,
    /// Its state.
    pub state: State,
    /// What it announces about itself, if its record has arrived.
    pub info: Option<NodeInfo>,
    /// How long ago it was last heard from directly; `None` if never.
    pub heard_ms: Option<Millis>,
}

/// What a node knows of its fleet at one time.
#[derive(Clone, Debug)]
pub struct View {
    /// The node whose view this is.
    pub id: Id,
    /// The digest of the view; see [`Fleet::digest`].
    pub digest: [u8; 32],
    /// The health score: 0 if the node trusts its own observations fully.
    pub health_score: u32,
    /// Whether the view has been stable for a while; see [`Fleet::is_settled`].
    pub settled: bool,
    /// The number of nodes that share the pool, if known.
    pub sharing: Option<u32>,
    /// The later process of this name that the node has yielded to.
    pub superseded_by: Option<Id>,
    /// All nodes by name, this one included.
    pub members: Vec<NodeView>,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Datagrams received.
    pub datagrams_in: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Bytes received in datagrams and frames.
    pub bytes_in: u64,
    /// Bytes sent in datagrams and frames.
    pub bytes_out: u64,
    /// Datagrams and frames refused.
    pub refused: u64,
    /// Times that the membership changed: nodes joined, died, left or rejoined.
    pub view_changes: u64,
    /// Exchanges that other nodes began with this one.
    pub exchanges: u64,
    /// Suspicions raised by this node that the suspect refuted.
    pub false_alarms: u64,
    /// Times that this process was stalled.
    pub stalls: u64,
}

/// The digest, and the change counters of the membership and the info table that it was computed at.
#[derive(Debug, Default)]
pub(crate) struct CachedDigest {
    versions: Option<(u64, u64)>,
    digest: [u8; 32],
}

fn hash_member(hash: &mut Sha256, id: &Id, record: Option<&InfoRecord>) {
    let mut part = |bytes: &[u8]| {
        hash.update((bytes.len() as u64).to_le_bytes());
        hash.update(bytes);
    };
    part(id.name.as_bytes());
    part(&id.incarnation.to_le_bytes());
    part(id.address.to_string().as_bytes());
    match record {
        Some(record) => {
            part(&record.version.to_le_bytes());
            part(&record.fields);
        }
        None => part(&[]),
    }
}

impl Fleet {
    /// The digest of the view. Equal on two nodes if and only if they hold the same nodes to be up, each with
    /// the same info record.
    pub fn digest(&self) -> [u8; 32] {
        let info_table = self.info_table.borrow();
        let mut cached = self.digest.borrow_mut();
        let versions = Some((self.changes, info_table.changes));
        if cached.versions != versions {
            let mut present: Vec<&Id> = self.foca.iter_members().map(foca::Member::id).collect();
            present.push(&self.id);
            present.sort();
            let mut hash = Sha256::new();
            for id in present {
                hash_member(&mut hash, id, info_table.get_for(id));
            }
            *cached = CachedDigest { versions, digest: hash.finalize().into() };
        }
        cached.digest
    }

    /// The view at this time.
    pub fn view(&self, now: Millis) -> View {
        let info_table = self.info_table.borrow();
        let node_view = |id: &Id, state: State, heard_ms: Option<Millis>| {
            let info = info_table.get_for(id).and_then(|record| NodeInfo::read(&record.fields));
            let left = info.as_ref().is_some_and(|info| info.ready == Readiness::Left);
            let state = if state == State::Dead && left { State::Left } else { state };
            NodeView { id: id.clone(), state, info, heard_ms }
        };
        let mut members = vec![node_view(&self.id, State::Alive, Some(0))];
        for member in self.foca.iter_membership_state() {
            let state = match member.state() {
                foca::State::Alive => State::Alive,
                foca::State::Suspect => State::Suspect,
                foca::State::Down => State::Dead,
            };
            let peer = self.peers.get(&member.id().name);
            let heard = peer.filter(|peer| peer.incarnation == member.id().incarnation);
            members.push(node_view(
                member.id(),
                state,
                heard.map(|peer| now.saturating_sub(peer.last_heard)),
            ));
        }
        members.sort_by(|a, b| a.id.cmp(&b.id));
        View {
            id: self.id.clone(),
            digest: self.digest(),
            health_score: self.health.score(),
            settled: self.is_settled(now),
            sharing: self.sharing(now),
            superseded_by: self.superseded_by().cloned(),
            members,
        }
    }

    /// The counters since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// The numbers of alive, suspected, and dead or left nodes. This node counts as alive.
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
