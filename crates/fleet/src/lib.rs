//! Membership of a fleet: what its nodes know of each other. The crate does no I/O and has no clock and no
//! source of randomness. Callers feed [`Fleet`] with datagrams, frames, commands and the time, and carry out
//! what it asks for: datagrams to send, exchanges to start and timers. It reports changes of the view as
//! events.
//!
//! - [`identity`]: names, addresses and incarnations of nodes.
//! - [`node_info`]: what a node announces about itself, and the latest announcement of each.
//! - `wire`: the encoding of datagrams and frames. `replay`: drops replayed datagrams.
//! - `health`: how far a node trusts its own observations (Lifeguard). `timers`: the timer queue, which
//!   pauses while the process is stalled.
//! - `rejoin`: rejoining after being declared dead, and two processes of the same name.
//! - `gossip_filter`: which membership updates in a datagram are applied.
//! - `exchange`: anti-entropy exchanges, which reconcile two views that differ.
//! - `sharing`: how many nodes share the pool.
//! - `view`: the view as operators and the node read it, and its digest.
//!
//! Membership is SWIM as implemented by `foca`. It gives no consensus: a view is what one node believes, late
//! by a second or two, and no guarantee may rest on it. `docs/fleet-view.md` describes the design, the wire
//! format and measurements.

mod exchange;
mod gossip_filter;
mod health;
pub mod identity;
pub mod node_info;
mod rejoin;
mod replay;
mod sharing;
#[cfg(test)]
mod tests;
mod timers;
mod view;
mod wire;

pub use exchange::Exchange;
pub use identity::{Id, Millis, Name};
pub use node_info::{NodeInfo, Readiness};
pub use view::{NodeView, State, Stats, View};
pub use wire::{MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};

use foca::{BroadcastHandler, Foca, Invalidates, Notification, PostcardCodec, Timer};
use health::{Health, STALL_MS};
use hopmoor_seal::{Keys, Kind, NONCE_BYTES, UnsealError};
use node_info::{InfoRecord, InfoTable};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use replay::Window;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;
use timers::Timers;
use wire::{DecodeError, Message};

/// Most nodes in the view, dead ones included. Guards against a node that holds the key and invents names.
pub const MAX_KNOWN_NODES: usize = 4_096;
/// Period of probes; `docs/fleet-view.md` derives it in its table of times.
const PROBE_PERIOD_MS: u64 = 200;
/// A probe that is not acknowledged within this time is repeated through other nodes.
const PROBE_RTT_MS: u64 = 80;
/// Time from suspicion to death: a process that was stopped for a second can still refute the suspicion.
const SUSPICION_TIMEOUT_MS: u64 = 1_100;
/// Number of nodes that are asked to probe a node that did not answer.
const INDIRECT_PROBES: usize = 3;
/// Number of datagrams that carry an update: four times the decimal logarithm of 4,096 nodes, rounded up.
/// Four is memberlist's retransmit multiplier.
const MAX_TRANSMISSIONS: u8 = 15;
/// Period at which queued updates are gossiped, and the number of nodes that get them each time.
const GOSSIP_PERIOD_MS: u64 = 200;
const GOSSIP_FANOUT: usize = 3;
/// Period at which one of the dead nodes is contacted, in case it is up again.
const ANNOUNCE_TO_DEAD_MS: u64 = 1_000;
/// How long dead nodes are remembered and contacted.
const FORGET_DEAD_AFTER_MS: Millis = 3_600_000;
/// Most received user messages that wait for the caller; further ones are dropped, as any network may drop
/// them. Guards against a node that floods this one.
const MAX_QUEUED_USER_MESSAGES: usize = 1_024;
/// Period at which a suspect is told of the suspicion, until it refutes it or is declared dead.
const SUSPECT_NOTICE_PERIOD_MS: Millis = 200;

/// Most bytes of one user message: what fits into a datagram beside the longest identity.
pub const MAX_USER_MESSAGE_BYTES: usize = wire::MAX_GOSSIP_BYTES - 128;

/// Parameters of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct Setup {
    /// The identity of this node.
    pub id: Id,
    /// Addresses through which the fleet is joined; one that answers is enough.
    pub seeds: Vec<SocketAddr>,
    /// The keys that seal all datagrams and frames.
    pub keys: Keys,
    /// Seeds the random generator, which also makes the nonces: it must be fresh and unpredictable at each
    /// start.
    pub seed: [u8; 32],
}

/// A change that the caller may log or act on.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A node joined.
    Up(Id),
    /// A node was declared dead, or has left.
    Down(Id, State),
    /// A node rejoined under a new incarnation.
    NewIncarnation(Id),
    /// Others declared this node dead; it has rejoined under a new incarnation.
    Rejoined(Id),
    /// A later process has this node's name; this node yields the name to it.
    NameTaken(Id),
    /// The later process is dead; this node has its name back.
    NameRegained(Id),
    /// The process was stalled for this many milliseconds; the timers of the view were put off by as much.
    Stalled(Millis),
    /// The view is full: updates about new nodes are dropped. Reported once.
    Full,
}

/// Something that the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this datagram to this address.
    Send(SocketAddr, Vec<u8>),
    /// Start an exchange with this address: connect, then send the frame that [`Fleet::call`] returns.
    Call(SocketAddr),
}

/// What a timer triggers.
#[derive(Debug)]
enum Due {
    Foca(Timer<Id>),
    /// Tell a suspect of the suspicion: its identity, its refutations at the time, and until when to repeat
    /// it.
    NotifySuspect(Id, u16, Millis),
    /// Start an exchange, unless a later timer replaced this one; the value is this timer's generation.
    Exchange(u64),
    /// Contact a seed.
    Seed,
    /// Check whether the later process of this node's name is still up.
    CheckSuperseder,
    /// Rejoin under a new incarnation.
    Rejoin,
}

/// Collects what `foca` asks for during one call.
#[derive(Default)]
struct FocaOutput {
    sends: Vec<(Id, Vec<u8>)>,
    timers: Vec<(Timer<Id>, Duration)>,
    up: Vec<Id>,
    down: Vec<Id>,
    renamed: Vec<Id>,
    defunct: bool,
}

impl foca::Runtime<Id> for &mut FocaOutput {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        match notification {
            Notification::MemberUp(id) => self.up.push(id.clone()),
            Notification::MemberDown(id) => self.down.push(id.clone()),
            Notification::Rename(_, id) => self.renamed.push(id.clone()),
            Notification::Defunct => self.defunct = true,
            _ => {}
        }
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// Spreads [`InfoRecord`]s as custom broadcasts of `foca`.
struct InfoBroadcast(Rc<RefCell<InfoTable>>);

/// Identifies a queued record: a later record of the same node replaces an earlier one.
struct BroadcastKey {
    name: Name,
    full_version: (u64, u32),
}

impl Invalidates for BroadcastKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.name == other.name && self.full_version >= other.full_version
    }
}

impl BroadcastHandler<Id> for InfoBroadcast {
    type Key = BroadcastKey;
    type Error = postcard::Error;

    fn receive_item(&mut self, data: &[u8], _: Option<&Id>) -> Result<Option<BroadcastKey>, postcard::Error> {
        let record: InfoRecord = postcard::from_bytes(data)?;
        let key =
            BroadcastKey { name: record.name.clone(), full_version: (record.incarnation, record.version) };
        Ok(self.0.borrow_mut().insert_if_newer(record).then_some(key))
    }
}

/// When a peer was heard from, and which of its datagrams have arrived.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    incarnation: u64,
    window: Window,
    last_heard: Millis,
    /// When this incarnation was first heard from.
    known_since: Millis,
}

/// One node's view of its fleet, and its part in the protocol.
pub struct Fleet {
    foca: FocaInstance,
    info_table: Rc<RefCell<InfoTable>>,
    timers: Timers<Due>,
    keys: Keys,
    rng: StdRng,
    id: Id,
    seeds: Vec<SocketAddr>,
    /// Sequence number of the last datagram sent.
    sequence: u64,
    /// Counts this node's own info records within its incarnation.
    info_version: u32,
    /// What this node announces about itself.
    info: NodeInfo,
    peers: HashMap<Name, Peer>,
    /// When each dead node was declared dead.
    dead_since: HashMap<Name, Millis>,
    health: Health,
    rejoin_state: rejoin::RejoinState,
    settling: exchange::Settling,
    digest: RefCell<view::CachedDigest>,
    actions: VecDeque<Action>,
    events: VecDeque<Event>,
    user_messages: VecDeque<(Name, Vec<u8>)>,
    stats: Stats,
    /// Counts membership changes, to invalidate caches.
    changes: u64,
    /// [`Event::Full`] was reported.
    full_reported: bool,
    leaving: bool,
}

fn config() -> foca::Config {
    let non_zero = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let every = |ms: u64, to: usize| {
        Some(foca::PeriodicParams { frequency: Duration::from_millis(ms), num_members: non_zero(to) })
    };
    foca::Config {
        probe_period: Duration::from_millis(PROBE_PERIOD_MS),
        probe_rtt: Duration::from_millis(PROBE_RTT_MS),
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_millis(SUSPICION_TIMEOUT_MS),
        remove_down_after: Some(Duration::from_millis(FORGET_DEAD_AFTER_MS)),
        max_packet_size: non_zero(wire::MAX_GOSSIP_BYTES),
        notify_down_members: true,
        // Exchanges do this, and only if the digests differ.
        periodic_announce: None,
        periodic_announce_to_down_members: every(ANNOUNCE_TO_DEAD_MS, 1),
        periodic_gossip: every(GOSSIP_PERIOD_MS, GOSSIP_FANOUT),
    }
}

type FocaInstance = Foca<Id, PostcardCodec, StdRng, InfoBroadcast>;

fn new_foca(id: &Id, rng: &mut StdRng, info_table: &Rc<RefCell<InfoTable>>) -> FocaInstance {
    let foca_rng = StdRng::from_rng(rng);
    Foca::with_custom_broadcast(
        id.clone(),
        config(),
        foca_rng,
        PostcardCodec,
        InfoBroadcast(info_table.clone()),
    )
}

impl Fleet {
    /// Creates a node that knows no other node yet and announces `info` about itself.
    pub fn new(now: Millis, setup: Setup, info: NodeInfo) -> Fleet {
        let Setup { id, seeds, keys, seed } = setup;
        let mut rng = StdRng::from_seed(seed);
        let info_table = Rc::new(RefCell::new(InfoTable::new(MAX_KNOWN_NODES)));
        let foca = new_foca(&id, &mut rng, &info_table);
        let mut timers = Timers::new();
        timers.set(now, Due::Seed);
        let mut fleet = Fleet {
            foca,
            info_table,
            timers,
            keys,
            rng,
            id,
            seeds,
            sequence: 0,
            info_version: 0,
            info: NodeInfo::default(),
            peers: HashMap::new(),
            dead_since: HashMap::new(),
            health: Health::default(),
            rejoin_state: rejoin::RejoinState::default(),
            settling: exchange::Settling::new(now),
            digest: RefCell::default(),
            actions: VecDeque::new(),
            events: VecDeque::new(),
            user_messages: VecDeque::new(),
            stats: Stats::default(),
            changes: 0,
            full_reported: false,
            leaving: false,
        };
        fleet.set_info(info);
        fleet.schedule_exchange(now);
        fleet
    }

    /// The identity of this node under its current incarnation.
    pub fn id(&self) -> &Id {
        &self.id
    }

    /// Replaces the keys: seals under the new sealing key from now on, and opens what is sealed under any of
    /// them.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Announces `info` about this node. Does nothing if only its uptime differs from the last announcement.
    pub fn set_info(&mut self, info: NodeInfo) {
        if self.info_version > 0 && self.info == (NodeInfo { up_ms: self.info.up_ms, ..info.clone() }) {
            return;
        }
        self.info = info;
        self.broadcast_info();
    }

    /// Broadcasts this node's info as a new version.
    fn broadcast_info(&mut self) {
        self.info_version += 1;
        let record = InfoRecord {
            name: self.id.name.clone(),
            incarnation: self.id.incarnation,
            version: self.info_version,
            fields: self.info.fields(),
        };
        if let Ok(bytes) = postcard::to_stdvec(&record) {
            // Only an empty or oversized record is an error; `fields()` prevents both.
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// Announces that this node leaves, so that no other has to suspect it first. After this the caller only
    /// sends what is queued.
    pub fn leave(&mut self, now: Millis) {
        self.detect_stall(now);
        if std::mem::replace(&mut self.leaving, true) || self.rejoin_state.is_superseded() {
            return;
        }
        self.info.ready = Readiness::Left;
        self.broadcast_info();
        let mut output = FocaOutput::default();
        // Each round goes to three nodes: enough for the announcement to survive some loss.
        for _ in 0..3 {
            let _ = self.foca.gossip(&mut output);
        }
        let _ = self.foca.leave_cluster(&mut output);
        output.defunct = false;
        self.apply_output(now, output);
    }

    /// When [`Fleet::tick`] must be called next.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.next()
    }

    /// Takes the next action that the caller has to carry out.
    pub fn action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Queues a user message for the node `to`, whatever its state in the view. It is sealed and protected
    /// against replay like all datagrams, but may be lost, duplicated or reordered. Returns false if the node
    /// is unknown or the message exceeds [`MAX_USER_MESSAGE_BYTES`].
    pub fn send_user_message(&mut self, to: &str, bytes: &[u8]) -> bool {
        let to = self.foca.iter_membership_state().find(|member| *member.id().name == *to);
        let Some(address) = to.map(|member| member.id().address) else { return false };
        if bytes.len() > MAX_USER_MESSAGE_BYTES {
            return false;
        }
        let message = Message::User { from: self.id.clone(), bytes: bytes.to_vec() };
        self.send(address, &message);
        true
    }

    /// Whether received user messages wait to be taken.
    pub fn has_user_message(&self) -> bool {
        !self.user_messages.is_empty()
    }

    /// Takes the next received user message, with the name of its sender.
    pub fn next_user_message(&mut self) -> Option<(Name, Vec<u8>)> {
        self.user_messages.pop_front()
    }

    /// Takes the next event.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Runs all timers that are due. Feed waiting datagrams first: after a pause they show which nodes are
    /// up.
    pub fn tick(&mut self, now: Millis) {
        self.detect_stall(now);
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Foca(timer) => self.handle_foca_timer(now, timer),
                Due::NotifySuspect(id, refutations, until) => {
                    self.notify_suspect(now, id, refutations, until)
                }
                Due::Exchange(generation) => self.exchange_due(now, generation),
                Due::Seed => self.seed_due(now),
                Due::CheckSuperseder => self.check_superseder(now),
                Due::Rejoin => self.rejoin_due(now),
            }
        }
    }

    /// Detects that the process was stalled, puts off all timers by the delay and raises the health score.
    fn detect_stall(&mut self, now: Millis) {
        let late_ms = self.timers.next().map_or(0, |due| now.saturating_sub(due));
        if late_ms > STALL_MS {
            self.timers.shift(late_ms);
            self.health.worsen();
            self.stats.stalls += 1;
            if late_ms >= rejoin::MIN_LOGGED_STALL_MS {
                self.events.push_back(Event::Stalled(late_ms));
            }
        }
    }

    fn handle_foca_timer(&mut self, now: Millis, timer: Timer<Id>) {
        let is_probe = matches!(timer, Timer::ProbeRandomMember(_));
        if let Timer::RemoveDown(id) = &timer {
            self.forget(id);
        }
        if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
            // When a suspicion times out, foca 2.0 tells the member that it is dead even if it has refuted
            // the suspicion since. Every false suspicion would make a node rejoin.
            let suspect = Some((member_id.clone(), *incarnation, foca::State::Suspect));
            if self.lookup(member_id) != suspect {
                return;
            }
            if !self.rejoin_state.is_confirmed() {
                self.timers.set(now + SUSPICION_TIMEOUT_MS, Due::Foca(timer));
                return;
            }
        }
        let mut output = FocaOutput::default();
        // The only error is a probe interrupted by a change of identity; the next probe follows in any case.
        let _ = self.foca.handle_timer(timer, &mut output);
        let failed =
            output.timers.iter().any(|(timer, _)| matches!(timer, Timer::ChangeSuspectToDown { .. }));
        self.apply_output(now, output);
        // A single failure says more about the other node than about this one: it changes the score only
        // after the timers that it set, so that it does not stretch them itself.
        if is_probe {
            if failed { self.health.worsen() } else { self.health.improve() }
        }
    }

    fn forget(&mut self, id: &Id) {
        if self.lookup(id).is_some_and(|(known, _, state)| known == *id && state == foca::State::Down) {
            self.info_table.borrow_mut().forget(&id.name);
            self.peers.remove(&id.name);
            self.dead_since.remove(&id.name);
            self.changes += 1;
        }
    }

    /// Carries out what `foca` asked for and records the changes of membership.
    fn apply_output(&mut self, now: Millis, output: FocaOutput) {
        for (to, bytes) in output.sends {
            self.send(to.address, &Message::Gossip(&bytes));
        }
        for (timer, after) in output.timers {
            let after = after.as_millis() as Millis;
            let after = match &timer {
                Timer::ChangeSuspectToDown { member_id, incarnation, .. } => {
                    let after = self.health.scale(after);
                    self.timers.set(now, Due::NotifySuspect(member_id.clone(), *incarnation, now + after));
                    after
                }
                Timer::SendIndirectProbe { .. } | Timer::ProbeRandomMember(_) => self.health.scale(after),
                _ => after,
            };
            self.timers.set(now + after, Due::Foca(timer));
        }
        let changed = !(output.up.is_empty() && output.down.is_empty() && output.renamed.is_empty());
        for id in output.up {
            self.dead_since.remove(&id.name);
            self.events.push_back(Event::Up(id));
        }
        for id in output.down {
            self.dead_since.insert(id.name.clone(), now);
            let left =
                self.info_table.borrow().get_for(&id).and_then(|record| NodeInfo::read(&record.fields));
            let left = left.is_some_and(|info| info.ready == Readiness::Left);
            self.events.push_back(Event::Down(id, if left { State::Left } else { State::Dead }));
        }
        for id in output.renamed {
            if self.lookup(&id).is_some_and(|(_, _, state)| state != foca::State::Down) {
                self.dead_since.remove(&id.name);
                self.events.push_back(Event::NewIncarnation(id));
            }
        }
        if changed {
            self.changes += 1;
            self.stats.view_changes += 1;
            self.mark_unsettled(now);
        }
        if output.defunct {
            self.handle_declared_dead(now);
        }
    }

    /// What is known about a node: its identity, its number of refutations and its state.
    fn lookup(&self, of: &Id) -> Option<(Id, u16, foca::State)> {
        let member = self.foca.iter_membership_state().find(|member| member.id().is_same_node(of))?;
        Some((member.id().clone(), member.incarnation(), member.state()))
    }

    /// Tells a node that it is suspected, and schedules the next notice until it has refuted the suspicion or
    /// has died.
    fn notify_suspect(&mut self, now: Millis, about: Id, refutations: u16, until: Millis) {
        match self.lookup(&about) {
            Some((id, current_refutations, foca::State::Alive))
                if id == about && current_refutations > refutations =>
            {
                // Refuted: the suspicion was false.
                self.stats.false_alarms += 1;
                self.health.worsen();
            }
            Some((id, _, foca::State::Suspect)) if id == about && now < until => {
                let message = Message::Suspected { from: self.id.clone(), about: about.clone(), refutations };
                self.send(about.address, &message);
                self.timers
                    .set(now + SUSPECT_NOTICE_PERIOD_MS, Due::NotifySuspect(about, refutations, until));
            }
            _ => {}
        }
    }

    fn nonce(&mut self) -> [u8; NONCE_BYTES] {
        let mut nonce = [0; NONCE_BYTES];
        self.rng.fill_bytes(&mut nonce);
        nonce
    }

    fn send(&mut self, to: SocketAddr, message: &Message<'_>) {
        self.sequence += 1;
        let Some(plain) = wire::datagram(self.sequence, message) else { return };
        let nonce = self.nonce();
        if let Some(sealed) = hopmoor_seal::seal(&self.keys, Kind::Datagram, &plain, nonce) {
            self.stats.datagrams_out += 1;
            self.stats.bytes_out += sealed.len() as u64;
            self.actions.push_back(Action::Send(to, sealed));
        }
    }

    /// Handles a received datagram. One that is not sealed under a known key or was received before changes
    /// nothing.
    ///
    /// # Errors
    /// Why the datagram was refused, for the log.
    pub fn datagram(&mut self, now: Millis, bytes: &[u8]) -> Result<(), Refused> {
        self.detect_stall(now);
        self.stats.datagrams_in += 1;
        self.stats.bytes_in += bytes.len() as u64;
        let result = self.handle_datagram(now, bytes);
        if result.is_err() {
            self.stats.refused += 1;
        }
        result
    }

    fn handle_datagram(&mut self, now: Millis, bytes: &[u8]) -> Result<(), Refused> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(Refused::Malformed);
        }
        let plain = hopmoor_seal::open(&self.keys, Kind::Datagram, bytes)?;
        let (sequence, message) = wire::read(&plain)?;
        match message {
            Message::Gossip(data) => {
                let (header, _): (foca::Header<Id>, _) =
                    postcard::take_from_bytes(data).map_err(|_| Refused::Malformed)?;
                self.note_sender(now, &header.src, sequence)?;
                if self.reject_stale_sender(now, &header.src) {
                    return Ok(());
                }
                if matches!(header.message, foca::Message::Ack(_) | foca::Message::ForwardedAck { .. })
                    && header.dst == self.id
                {
                    self.rejoin_state.confirm();
                }
                let filtered = self.filter_gossip(now, data);
                let mut output = FocaOutput::default();
                // Errors mean a datagram for an earlier incarnation of this node, or a record that can't be
                // decoded.
                let _ = self.foca.handle_data(filtered.as_deref().unwrap_or(data), &mut output);
                self.apply_output(now, output);
            }
            Message::Suspected { from, about, refutations } => {
                self.note_sender(now, &from, sequence)?;
                if about == self.id && !self.reject_stale_sender(now, &from) {
                    let suspect = foca::Member::new(about, refutations, foca::State::Suspect);
                    self.apply_members(now, vec![suspect], true);
                    let mut output = FocaOutput::default();
                    // Takes the new refutation count to the node that suspects this one, whoever else hears
                    // of it.
                    let _ = self.foca.announce(from, &mut output);
                    self.apply_output(now, output);
                }
            }
            Message::Superseded { from, by, alive } => {
                self.note_sender(now, &from, sequence)?;
                self.handle_superseded(now, by, alive);
            }
            Message::User { from, bytes } => {
                self.note_sender(now, &from, sequence)?;
                if !self.reject_stale_sender(now, &from)
                    && self.user_messages.len() < MAX_QUEUED_USER_MESSAGES
                {
                    self.user_messages.push_back((from.name, bytes));
                }
            }
            Message::DeclaredDead { from, about } => {
                self.note_sender(now, &from, sequence)?;
                if about == self.id {
                    self.handle_declared_dead(now);
                }
            }
        }
        Ok(())
    }

    /// Records that a peer was heard from, and refuses a datagram that was received before.
    fn note_sender(&mut self, now: Millis, id: &Id, sequence: u64) -> Result<(), Refused> {
        if self.peers.len() >= MAX_KNOWN_NODES && !self.peers.contains_key(&id.name) {
            return Err(Refused::Full);
        }
        let peer = self.peers.entry(id.name.clone()).or_default();
        if id.incarnation > peer.incarnation {
            *peer = Peer { incarnation: id.incarnation, known_since: now, ..Peer::default() };
        }
        // There is no window for an earlier incarnation. Its datagrams only cause the notice that it is
        // superseded, which does no harm if sent twice.
        if id.incarnation == peer.incarnation {
            if !peer.window.accept(sequence) {
                return Err(Refused::Replayed);
            }
            peer.last_heard = now;
        }
        Ok(())
    }

    fn apply_members(&mut self, now: Millis, members: Vec<foca::Member<Id>>, spread: bool) {
        let mut output = FocaOutput::default();
        let _ = self.foca.apply_many(members.into_iter(), spread, &mut output);
        self.apply_output(now, output);
    }
}

/// Why a datagram or frame was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It can't be decoded or is too long.
    Malformed,
    /// It is sealed under a key that this node does not have.
    UnknownKey,
    /// It was altered, or made without the key.
    Forged,
    /// It was received before.
    Replayed,
    /// Its type is unknown; it may come from a newer version.
    UnknownType,
    /// The view has no room for another node.
    Full,
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Refused::Malformed => "malformed",
            Refused::UnknownKey => "unknown key",
            Refused::Forged => "forged",
            Refused::Replayed => "replayed",
            Refused::UnknownType => "unknown message type",
            Refused::Full => "view full",
        })
    }
}

impl From<UnsealError> for Refused {
    fn from(why: UnsealError) -> Refused {
        match why {
            UnsealError::Malformed => Refused::Malformed,
            UnsealError::UnknownKey => Refused::UnknownKey,
            UnsealError::Forged => Refused::Forged,
        }
    }
}

impl From<DecodeError> for Refused {
    fn from(why: DecodeError) -> Refused {
        match why {
            DecodeError::UnknownType => Refused::UnknownType,
            DecodeError::Malformed => Refused::Malformed,
        }
    }
}
