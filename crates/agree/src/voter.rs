//! One voter of the log. It is fed messages and ticks, and yields work: what is to be on disk before anything else is
//! sent, and messages.

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
/// A leader is heard this often: 100 ms.
const HEARTBEAT: usize = 2;
/// One that is not heard for 1 to 2 s is replaced: longer than a process is stopped for by a busy machine.
const ELECTION: usize = 20;
/// Bytes of entries in one message: with its head it fits one datagram of the fleet.
const BYTES: u64 = 700;
/// Bytes that a leader takes before a majority has them; more are passed over and asked for again. Guards the memory of one that is
/// asked by many while it hears nobody.
const UNCOMMITTED: u64 = 256 * 1024;
/// Bytes of one proposal, at most, for the same reason.
pub const PROPOSAL: usize = 600;
/// Nodes in one entry: with the longest names and zones they are within [`PROPOSAL`].
const SEEN: usize = 3;
/// What the leader has proposed of its view is not proposed again for so many ticks: time for it to be in the log.
const QUIET: u64 = 10;

/// What a voter has on disk, as it reads it at its start.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// Term, vote and what is agreed; none: there was none yet.
    pub hard_state: Option<Vec<u8>>,
    /// The log, in order.
    pub log: Vec<Vec<u8>>,
}

/// What is to be done, in this order.
#[derive(Debug, Default)]
pub struct PendingWrite {
    /// Messages that need not wait.
    pub first: Messages,
    /// To be on disk, together, before [`Voter::done`]: the log from this index on, in place of what was there.
    pub log: Vec<(u64, Vec<u8>)>,
    /// And term and vote.
    pub hard_state: Option<Vec<u8>>,
}

/// Why a voter can't go on: it stops, and says so.
#[derive(Debug)]
pub struct Stopped(String);

impl fmt::Display for Stopped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Stopped {}

impl From<raft::Error> for Stopped {
    fn from(error: raft::Error) -> Stopped {
        Stopped(error.to_string())
    }
}

impl From<protobuf::ProtobufError> for Stopped {
    fn from(error: protobuf::ProtobufError) -> Stopped {
        Stopped(format!("not a log: {error}"))
    }
}

/// To whom, and what.
pub type Messages = Vec<(String, Vec<u8>)>;

/// One voter.
pub struct Voter {
    raft: RawNode<MemStorage>,
    names: BTreeMap<u64, String>,
    state: State,
    /// What is on its way to disk, and what may be said only then.
    under_way: Option<(u64, Messages)>,
    ticks: u64,
    /// When the leader last proposed what it sees.
    saw: Option<u64>,
    changes: Vec<Change>,
    seed: u64,
}

fn number(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()).max(1)
}

impl Voter {
    /// A voter that has this on disk. The seed draws how long it waits before it stands for election.
    ///
    /// # Errors
    /// What is on disk can't be read, or the voters are none.
    pub fn new(
        me: &str,
        voters: &[String],
        persisted: PersistedState,
        seed: u64,
        log: &slog::Logger,
    ) -> Result<Voter, Stopped> {
        let names: BTreeMap<u64, String> = voters.iter().map(|name| (number(name), name.clone())).collect();
        let ids: Vec<u64> = names.keys().copied().collect();
        let store = MemStorage::new_with_conf_state((ids, Vec::new()));
        {
            let mut core = store.wl();
            let entries = persisted.log.iter().map(|bytes| LogEntry::parse_from_bytes(bytes));
            let entries = entries.collect::<Result<Vec<_>, _>>()?;
            if entries.iter().zip(1..).any(|(entry, index)| entry.index != index) {
                return Err(Stopped("the log has a gap".into()));
            }
            core.append(&entries)?;
            if let Some(hard_state) = persisted.hard_state {
                let hard_state = HardState::parse_from_bytes(&hard_state)?;
                if hard_state.commit > entries.len() as u64 {
                    return Err(Stopped("the log ends before what was agreed".into()));
                }
                core.set_hardstate(hard_state);
            }
        }
        let config = Config {
            id: number(me),
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            max_size_per_msg: BYTES,
            max_inflight_msgs: 64,
            max_uncommitted_size: UNCOMMITTED,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        Ok(Voter {
            raft: RawNode::new(&config, store, log)?,
            names,
            state: State::default(),
            under_way: None,
            ticks: 0,
            saw: None,
            changes: Vec::new(),
            seed,
        })
    }

    /// Time has come on by [`TICK_MS`].
    pub fn tick(&mut self) {
        self.ticks += 1;
        // Drawn for each term by the seed, not by raft's own source: a run in virtual time is the same each time.
        let drawn = xxhash_rust::xxh3::xxh3_64_with_seed(&self.term().to_le_bytes(), self.seed);
        self.raft.raft.set_randomized_election_timeout(ELECTION + (drawn % ELECTION as u64) as usize);
        self.raft.tick();
    }

    /// Takes a message of another voter. One under another's name is passed over.
    ///
    /// # Errors
    /// The voter stops: others count on a log that it has no more.
    pub fn message(&mut self, from: &str, bytes: &[u8]) -> Result<(), Stopped> {
        if let Ok(message) = Message::parse_from_bytes(bytes)
            && message.from == number(from)
            && self.names.contains_key(&message.from)
            // Nobody here sends one: the log is not cut.
            && message.get_msg_type() != MessageType::MsgSnapshot
        {
            // raft ends the process over this. A folder put back from a copy does it, and may have voted since.
            if message.get_msg_type() == MessageType::MsgHeartbeat
                && message.term >= self.term()
                && message.commit > self.raft.raft.raft_log.last_index()
            {
                return Err(Stopped("its log ends before what it had told others that it has".into()));
            }
            // Errors tell of messages that come at a wrong time: raft passes them over.
            let _ = self.raft.step(message);
        }
        Ok(())
    }

    /// Asks for an entry to be in the log. Whether it comes is seen only there.
    pub fn propose(&mut self, entry: &Entry) {
        if let Some(bytes) = postcard::to_stdvec(entry).ok().filter(|bytes| bytes.len() <= PROPOSAL) {
            // Without a leader it is lost: whoever wants it asks again.
            let _ = self.raft.propose(Vec::new(), bytes);
        }
    }

    /// Tells the leader how its view has the nodes; what is news comes into the log.
    pub fn update_view(&mut self, view: &[SeenNode]) {
        if !self.leads() || self.saw.is_some_and(|at| self.ticks < at + QUIET) {
            return;
        }
        let news = self.state.news(view);
        if !news.is_empty() {
            self.saw = Some(self.ticks);
            news.chunks(SEEN).for_each(|some| self.propose(&Entry::Seen(some.to_vec())));
        }
    }

    /// Whether this voter leads, as far as it knows.
    pub fn leads(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// Who leads, as far as this voter knows.
    pub fn leader(&self) -> Option<&str> {
        self.names.get(&self.raft.raft.leader_id).map(String::as_str)
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// What the log says, as far as this voter knows it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// What the log has changed since the last call.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn addressed(&self, messages: Vec<Message>) -> Messages {
        let addressed =
            |message: Message| Some((self.names.get(&message.to)?.clone(), message.write_to_bytes().ok()?));
        messages.into_iter().filter_map(addressed).collect()
    }

    fn apply(&mut self, entries: Vec<LogEntry>) -> Result<(), Stopped> {
        for entry in entries {
            if entry.get_entry_type() != EntryType::EntryNormal || entry.data.is_empty() {
                continue;
            }
            // A newer voter's: passed over, this one would hold other permits than the rest.
            let read = postcard::from_bytes(&entry.data)
                .map_err(|_| Stopped(format!("entry {} is of a newer kind", entry.index)))?;
            self.changes.extend(self.state.apply(entry.index, read));
        }
        Ok(())
    }

    /// What is to be done next; none while [`Voter::done`] is still to be called.
    ///
    /// # Errors
    /// The voter stops.
    pub fn work(&mut self) -> Result<Option<PendingWrite>, Stopped> {
        if self.under_way.is_some() || !self.raft.has_ready() {
            return Ok(None);
        }
        let mut ready = self.raft.ready();
        let first = ready.take_messages();
        let held = ready.take_persisted_messages();
        let mut work = PendingWrite { first: self.addressed(first), ..PendingWrite::default() };
        for entry in ready.entries() {
            work.log.push((entry.index, entry.write_to_bytes()?));
        }
        work.hard_state = ready.hs().map(HardState::write_to_bytes).transpose()?;
        let mut store = self.raft.mut_store().wl();
        store.append(ready.entries())?;
        if let Some(hard_state) = ready.hs() {
            store.set_hardstate(hard_state.clone());
        }
        drop(store);
        let committed = ready.take_committed_entries();
        self.under_way = Some((ready.number(), self.addressed(held)));
        // Messages and ticks go on coming while the disk works: only the way that is told so may be taken.
        self.raft.advance_append_async(ready);
        self.apply(committed)?;
        self.raft.advance_apply();
        Ok(Some(work))
    }

    /// What was to be on disk is there: what may be said now.
    pub fn done(&mut self) -> Messages {
        let Some((number, held)) = self.under_way.take() else { return Vec::new() };
        self.raft.on_persist_ready(number);
        held
    }
}

#[cfg(test)]
mod tests;
