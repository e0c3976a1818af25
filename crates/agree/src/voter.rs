//! One voter of the Raft log, on top of the `raft` crate. It is fed messages and ticks, and yields what must
//! be on disk before it may go on, together with the messages to send.

use crate::entry::{Entry, SeenNode};
use crate::state::{Change, State};
use protobuf::Message as _;
use raft::eraftpb::{Entry as LogEntry, EntryType, HardState, Message, MessageType};
use raft::storage::MemStorage;
use raft::{Config, RawNode, StateRole};
use std::collections::BTreeMap;
use std::fmt;

/// How often [`Voter::tick`] is to be called.
pub const TICK_MS: u64 = 50;
/// Heartbeat interval of the leader: 100 ms.
const HEARTBEAT_TICKS: usize = 2;
/// Shortest election timeout; each is drawn between 1 and 2 s. Longer than a busy machine keeps a process
/// from running.
const ELECTION_TICKS: usize = 20;
/// Bytes of entries in one append message. With its header the message fits in one datagram of the fleet.
const MAX_APPEND_BYTES: u64 = 700;
/// Bytes of uncommitted entries that a leader holds; it drops further proposals, and their senders repeat
/// them. Bounds the memory of a leader that gets many proposals while it hears no other voter.
const MAX_UNCOMMITTED_BYTES: u64 = 256 * 1024;
/// Bytes of one proposal; bounded for the same reason.
pub const MAX_PROPOSAL_BYTES: usize = 600;
/// Nodes in one [`Entry::Seen`]: with the longest names and zones they stay within [`MAX_PROPOSAL_BYTES`].
const MAX_NODES_PER_ENTRY: usize = 3;
/// After the leader has proposed changes of its view it proposes none for this long, to give them time to get
/// into the log. Otherwise it would propose the same changes again.
const VIEW_PROPOSAL_INTERVAL_TICKS: u64 = 10;

/// What a voter has on disk, as read at its start.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// The Raft hard state (term, vote and commit index); `None` if none was written yet.
    pub hard_state: Option<Vec<u8>>,
    /// The entries of the log, in order.
    pub log: Vec<Vec<u8>>,
}

/// Messages and a write, to be handled in the order of the fields.
#[derive(Debug, Default)]
pub struct PendingWrite {
    /// Messages that may be sent before the write.
    pub immediate_messages: Messages,
    /// Log entries to write. They replace the stored log from the first one's index on. They and the hard
    /// state must be on disk, in one transaction, before [`Voter::write_done`].
    pub log: Vec<(u64, Vec<u8>)>,
    /// The Raft hard state to write, if it changed.
    pub hard_state: Option<Vec<u8>>,
}

/// Why a voter has to stop.
#[derive(Debug)]
pub struct VoterError(String);

impl fmt::Display for VoterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for VoterError {}

impl From<raft::Error> for VoterError {
    fn from(error: raft::Error) -> VoterError {
        VoterError(error.to_string())
    }
}

impl From<protobuf::ProtobufError> for VoterError {
    fn from(error: protobuf::ProtobufError) -> VoterError {
        VoterError(format!("unreadable log entry or hard state: {error}"))
    }
}

/// Encoded messages, each with the name of the voter that it goes to.
pub type Messages = Vec<(String, Vec<u8>)>;

/// One voter.
pub struct Voter {
    raft: RawNode<MemStorage>,
    names_by_id: BTreeMap<u64, String>,
    state: State,
    /// The number of the `raft` ready that is being written, and the messages that may be sent only after
    /// that.
    write_in_progress: Option<(u64, Messages)>,
    ticks: u64,
    /// The tick in which the leader last proposed changes of its view.
    view_proposed_at: Option<u64>,
    changes: Vec<Change>,
    seed: u64,
}

fn raft_id(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()).max(1)
}

impl Voter {
    /// Starts a voter with this state from its disk. The election timeouts are drawn from the seed.
    ///
    /// # Errors
    /// If the stored state can't be read or is incomplete, or if the list of voters is empty.
    pub fn new(
        me: &str,
        voters: &[String],
        persisted: PersistedState,
        seed: u64,
        log: &slog::Logger,
    ) -> Result<Voter, VoterError> {
        let names_by_id: BTreeMap<u64, String> =
            voters.iter().map(|name| (raft_id(name), name.clone())).collect();
        let ids: Vec<u64> = names_by_id.keys().copied().collect();
        let store = MemStorage::new_with_conf_state((ids, Vec::new()));
        {
            let mut core = store.wl();
            let entries = persisted.log.iter().map(|bytes| LogEntry::parse_from_bytes(bytes));
            let entries = entries.collect::<Result<Vec<_>, _>>()?;
            if entries.iter().zip(1..).any(|(entry, index)| entry.index != index) {
                return Err(VoterError("the log has a gap".into()));
            }
            core.append(&entries)?;
            if let Some(hard_state) = persisted.hard_state {
                let hard_state = HardState::parse_from_bytes(&hard_state)?;
                if hard_state.commit > entries.len() as u64 {
                    return Err(VoterError("the log ends before its commit index".into()));
                }
                core.set_hardstate(hard_state);
            }
        }
        let config = Config {
            id: raft_id(me),
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            max_size_per_msg: MAX_APPEND_BYTES,
            max_inflight_msgs: 64,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        Ok(Voter {
            raft: RawNode::new(&config, store, log)?,
            names_by_id,
            state: State::default(),
            write_in_progress: None,
            ticks: 0,
            view_proposed_at: None,
            changes: Vec::new(),
            seed,
        })
    }

    /// Advances the voter's clock by [`TICK_MS`].
    pub fn tick(&mut self) {
        self.ticks += 1;
        // Drawn from the seed and the term, not from raft's own random source: simulated runs must be
        // repeatable.
        let drawn = xxhash_rust::xxh3::xxh3_64_with_seed(&self.term().to_le_bytes(), self.seed);
        self.raft
            .raft
            .set_randomized_election_timeout(ELECTION_TICKS + (drawn % ELECTION_TICKS as u64) as usize);
        self.raft.tick();
    }

    /// Takes a message from another voter. A message that names another sender than `from` is ignored.
    ///
    /// # Errors
    /// If this voter has lost log entries that the other voters count on. It must stop.
    pub fn message(&mut self, from: &str, bytes: &[u8]) -> Result<(), VoterError> {
        if let Ok(message) = Message::parse_from_bytes(bytes)
            && message.from == raft_id(from)
            && self.names_by_id.contains_key(&message.from)
            // No voter sends snapshots, since the log is never compacted.
            && message.get_msg_type() != MessageType::MsgSnapshot
        {
            // raft would panic over this heartbeat. It comes if the folder was restored from an older copy.
            // The voter may have voted since that copy was made, so it must stop.
            if message.get_msg_type() == MessageType::MsgHeartbeat
                && message.term >= self.term()
                && message.commit > self.raft.raft.raft_log.last_index()
            {
                return Err(VoterError(
                    "its log ends before entries that it had acknowledged to other voters".into(),
                ));
            }
            // Errors are about messages that come at the wrong time; raft has ignored those.
            let _ = self.raft.step(message);
        }
        Ok(())
    }

    /// Proposes an entry. Only the log shows whether it is committed.
    pub fn propose(&mut self, entry: &Entry) {
        if let Some(bytes) = postcard::to_stdvec(entry).ok().filter(|bytes| bytes.len() <= MAX_PROPOSAL_BYTES)
        {
            // Without a known leader the proposal is dropped; its source proposes it again.
            let _ = self.raft.propose(Vec::new(), bytes);
        }
    }

    /// As the leader, proposes what differs between this view and the log.
    pub fn update_view(&mut self, view: &[SeenNode]) {
        if !self.is_leader()
            || self.view_proposed_at.is_some_and(|at| self.ticks < at + VIEW_PROPOSAL_INTERVAL_TICKS)
        {
            return;
        }
        let changed = self.state.unlogged_changes(view);
        if !changed.is_empty() {
            self.view_proposed_at = Some(self.ticks);
            changed.chunks(MAX_NODES_PER_ENTRY).for_each(|nodes| self.propose(&Entry::Seen(nodes.to_vec())));
        }
    }

    /// Whether this voter believes that it is the leader.
    pub fn is_leader(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// The name of the voter that this one believes to be the leader.
    pub fn leader(&self) -> Option<&str> {
        self.names_by_id.get(&self.raft.raft.leader_id).map(String::as_str)
    }

    /// The current Raft term.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// The state after the entries that this voter has applied.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Takes the changes by entries applied since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn encode(&self, messages: Vec<Message>) -> Messages {
        let encode = |message: Message| {
            Some((self.names_by_id.get(&message.to)?.clone(), message.write_to_bytes().ok()?))
        };
        messages.into_iter().filter_map(encode).collect()
    }

    fn apply(&mut self, entries: Vec<LogEntry>) -> Result<(), VoterError> {
        for entry in entries {
            if entry.get_entry_type() != EntryType::EntryNormal || entry.data.is_empty() {
                continue;
            }
            // The entry is from a voter of a newer version. Skipping it would let this voter's permits differ
            // from the other voters'.
            let decoded = postcard::from_bytes(&entry.data)
                .map_err(|_| VoterError(format!("log entry {} is of a newer version", entry.index)))?;
            self.changes.extend(self.state.apply(entry.index, decoded));
        }
        Ok(())
    }

    /// Returns the next messages and write; `None` if there are none, or while a write is in progress, which
    /// lasts until [`Voter::write_done`] is called.
    ///
    /// # Errors
    /// If an entry can't be encoded, stored or applied. The voter must stop.
    pub fn pending_write(&mut self) -> Result<Option<PendingWrite>, VoterError> {
        if self.write_in_progress.is_some() || !self.raft.has_ready() {
            return Ok(None);
        }
        let mut ready = self.raft.ready();
        let immediate = ready.take_messages();
        let after_write = ready.take_persisted_messages();
        let mut write =
            PendingWrite { immediate_messages: self.encode(immediate), ..PendingWrite::default() };
        for entry in ready.entries() {
            write.log.push((entry.index, entry.write_to_bytes()?));
        }
        write.hard_state = ready.hs().map(HardState::write_to_bytes).transpose()?;
        let mut store = self.raft.mut_store().wl();
        store.append(ready.entries())?;
        if let Some(hard_state) = ready.hs() {
            store.set_hardstate(hard_state.clone());
        }
        drop(store);
        let committed = ready.take_committed_entries();
        self.write_in_progress = Some((ready.number(), self.encode(after_write)));
        // Messages and ticks still arrive during the write; raft allows that only if it is advanced
        // asynchronously.
        self.raft.advance_append_async(ready);
        self.apply(committed)?;
        self.raft.advance_apply();
        Ok(Some(write))
    }

    /// The write from [`Voter::pending_write`] is on disk. Returns the messages that may be sent now.
    pub fn write_done(&mut self) -> Messages {
        let Some((number, messages)) = self.write_in_progress.take() else { return Vec::new() };
        self.raft.on_persist_ready(number);
        messages
    }
}

#[cfg(test)]
mod tests;
