//! What the nodes of a fleet know of each other. No sockets, no clock and no randomness of its own: [`Fleet`] is fed
//! datagrams, frames, commands and time, and yields datagrams, calls, timers and events.
//!
//! - [`identity`]: who a node is.
//! - [`node_info`]: what a node says of itself, and how the last one stands.
//! - `wire`: datagrams and frames. `replay`: datagrams that come twice.
//! - `health`: when a node doubts itself. `timers`: what is due, and that time stands still while the node does.
//! - `rejoin`: coming again after being held dead, and two processes of one name.
//! - `gossip_filter`: what of a datagram is believed.
//! - `exchange`: what settles two views that differ.
//! - `sharing`: how many nodes share the pool.
//! - `view`: the view as operators and the node read it, and its digest.
//!
//! Membership itself is SWIM by `foca`. What this does not do: agree. A view is one node's belief, late by a second or
//! two; no promise may rest on it. `docs/fleet-view.md` has the design, the wire and the figures.

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
use node_info::{Word, Words};
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
use wire::{Message, Unread};

/// Nodes that are known at once, the dead ones included. Guards against made-up names from a node that has the key.
pub const MAX_KNOWN_NODES: usize = 4_096;
/// Probes come this often: see the table of times in `docs/fleet-view.md`.
const PROBE_MS: u64 = 200;
/// An answer within this spares the way over others.
const RTT_MS: u64 = 80;
/// From suspicion to death: time for a process that was stopped for a second to say that it is alive.
const SUSPECT_MS: u64 = 1_100;
/// Others asked to reach somebody who does not answer.
const OVER_OTHERS: usize = 3;
/// News goes with so many datagrams: four times the digits of 4,096 nodes, as memberlist's retransmit multiplier.
const TELLINGS: u8 = 15;
/// News that waits goes out this often, to so many nodes.
const GOSSIP_MS: u64 = 200;
const GOSSIP_TO: usize = 3;
/// One of the nodes held dead is tried this often.
const DEAD_MS: u64 = 1_000;
/// Dead nodes are remembered, and tried, for so long.
const FORGET_MS: Millis = 3_600_000;
/// Messages beside the view that wait to be taken; more are lost, as on any link. Guards against one that floods.
const BESIDE: usize = 1_024;
/// A suspect is told so again as long as it is one.
const TELL_MS: Millis = 200;

/// Bytes of one message beside the view: what a datagram holds, less the longest identity.
pub const MOST_BESIDE: usize = wire::GOSSIP - 128;

/// What a node is told of its fleet at the start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Who it is.
    pub id: Id,
    /// Where others may be found; any of them will do.
    pub seeds: Vec<SocketAddr>,
    /// What everything is sealed under.
    pub keys: Keys,
    /// For random numbers, those of nonces too: it must be new and unguessable at each start.
    pub seed: [u8; 32],
}

/// What has happened to the view.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A node is there.
    Up(Id),
    /// A node is held dead, or has left.
    Down(Id, State),
    /// A node has come again, as another incarnation.
    NewIncarnation(Id),
    /// This node was held dead by others and has come again.
    Rejoined(Id),
    /// A later process has this node's name: this one steps back.
    NameTaken(Id),
    /// The later process is no more: this one has the name again.
    NameRegained(Id),
    /// This node stood still for so long; the time of its view did, too.
    Stalled(Millis),
    /// So many names came that there is no room for more: told once.
    Full,
}

/// Something to send, call or do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this datagram.
    Send(SocketAddr, Vec<u8>),
    /// Begin an exchange there.
    Call(SocketAddr),
}

#[derive(Debug)]
enum Due {
    Foca(Timer<Id>),
    /// Tell a suspect that it is one, until so long after the first time.
    Tell(Id, u16, Millis),
    /// Begin an exchange, unless another was set since.
    Exchange(u64),
    /// Ask a seed.
    Seed,
    /// Ask whether the later process of this name is still there.
    Ask,
    /// Come again.
    Rejoin,
}

/// Collects what `foca` wants done.
#[derive(Default)]
struct Wants {
    sends: Vec<(Id, Vec<u8>)>,
    timers: Vec<(Timer<Id>, Duration)>,
    up: Vec<Id>,
    down: Vec<Id>,
    again: Vec<Id>,
    defunct: bool,
}

impl foca::Runtime<Id> for &mut Wants {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        match notification {
            Notification::MemberUp(id) => self.up.push(id.clone()),
            Notification::MemberDown(id) => self.down.push(id.clone()),
            Notification::Rename(_, id) => self.again.push(id.clone()),
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

/// Words, as `foca` spreads them.
struct Spread(Rc<RefCell<Words>>);

/// Of two words of one node the later one is spread.
struct Key {
    name: Name,
    action: (u64, u32),
}

impl Invalidates for Key {
    fn invalidates(&self, other: &Self) -> bool {
        self.name == other.name && self.action >= other.action
    }
}

impl BroadcastHandler<Id> for Spread {
    type Key = Key;
    type Error = postcard::Error;

    fn receive_item(&mut self, data: &[u8], _: Option<&Id>) -> Result<Option<Key>, postcard::Error> {
        let node_info: Word = postcard::from_bytes(data)?;
        let key = Key { name: node_info.name.clone(), action: (node_info.incarnation, node_info.version) };
        Ok(self.0.borrow_mut().take(node_info).then_some(key))
    }
}

/// When a peer was last heard, and what of it has come.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    incarnation: u64,
    window: Window,
    heard: Millis,
    /// When this coming was first heard.
    since: Millis,
}

/// One node's view of its fleet.
pub struct Fleet {
    foca: Library,
    words: Rc<RefCell<Words>>,
    timers: Timers<Due>,
    keys: Keys,
    rng: StdRng,
    id: Id,
    seeds: Vec<SocketAddr>,
    sequence: u64,
    /// This node's own word, counted.
    version: u32,
    info: NodeInfo,
    peers: HashMap<Name, Peer>,
    /// Since when nodes are held dead.
    died: HashMap<Name, Millis>,
    health: Health,
    rejoin: rejoin::Coming,
    settling: exchange::Settling,
    digest: RefCell<view::Cached>,
    orders: VecDeque<Action>,
    events: VecDeque<Event>,
    next_user_message: VecDeque<(Name, Vec<u8>)>,
    stats: Stats,
    /// Counts changes of membership, for caches.
    changes: u64,
    full: bool,
    leaving: bool,
}

fn config() -> foca::Config {
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let every = |ms: u64, to: usize| {
        Some(foca::PeriodicParams { frequency: Duration::from_millis(ms), num_members: some(to) })
    };
    foca::Config {
        probe_period: Duration::from_millis(PROBE_MS),
        probe_rtt: Duration::from_millis(RTT_MS),
        num_indirect_probes: some(OVER_OTHERS),
        max_transmissions: NonZeroU8::new(TELLINGS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_millis(SUSPECT_MS),
        remove_down_after: Some(Duration::from_millis(FORGET_MS)),
        max_packet_size: some(wire::GOSSIP),
        notify_down_members: true,
        // Exchanges do this by digest.
        periodic_announce: None,
        periodic_announce_to_down_members: every(DEAD_MS, 1),
        periodic_gossip: every(GOSSIP_MS, GOSSIP_TO),
    }
}

type Library = Foca<Id, PostcardCodec, StdRng, Spread>;

fn library(id: &Id, rng: &mut StdRng, words: &Rc<RefCell<Words>>) -> Library {
    let draws = StdRng::from_rng(rng);
    Foca::with_custom_broadcast(id.clone(), config(), draws, PostcardCodec, Spread(words.clone()))
}

impl Fleet {
    /// A node that knows of nobody yet.
    pub fn new(now: Millis, setup: Setup, info: NodeInfo) -> Fleet {
        let Setup { id, seeds, keys, seed } = setup;
        let mut rng = StdRng::from_seed(seed);
        let words = Rc::new(RefCell::new(Words::new(MAX_KNOWN_NODES)));
        let foca = library(&id, &mut rng, &words);
        let mut timers = Timers::new();
        timers.set(now, Due::Seed);
        let mut fleet = Fleet {
            foca,
            words,
            timers,
            keys,
            rng,
            id,
            seeds,
            sequence: 0,
            version: 0,
            info: NodeInfo::default(),
            peers: HashMap::new(),
            died: HashMap::new(),
            health: Health::default(),
            rejoin: rejoin::Coming::default(),
            settling: exchange::Settling::new(now),
            digest: RefCell::default(),
            orders: VecDeque::new(),
            events: VecDeque::new(),
            next_user_message: VecDeque::new(),
            stats: Stats::default(),
            changes: 0,
            full: false,
            leaving: false,
        };
        fleet.set_info(info);
        fleet.set_exchange(now);
        fleet
    }

    /// Who this node is now.
    pub fn id(&self) -> &Id {
        &self.id
    }

    /// Seals under these keys from now on, and opens what is sealed under any of them.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Says this of itself; nothing happens if it said the same before. Its age alone is no news.
    pub fn set_info(&mut self, info: NodeInfo) {
        if self.version > 0 && self.info == (NodeInfo { up_ms: self.info.up_ms, ..info.clone() }) {
            return;
        }
        self.info = info;
        self.speak();
    }

    /// The last word, once more and newer.
    fn speak(&mut self) {
        self.version += 1;
        let node_info = Word {
            name: self.id.name.clone(),
            incarnation: self.id.incarnation,
            version: self.version,
            fields: self.info.fields(),
        };
        if let Ok(bytes) = postcard::to_stdvec(&node_info) {
            // An error would say that the word is empty or too long: fields() sees to both.
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// Tells the others that this node goes, so that nobody has to suspect it. What follows is only sending.
    pub fn leave(&mut self, now: Millis) {
        self.awake(now);
        if std::mem::replace(&mut self.leaving, true) || self.rejoin.stepped_back() {
            return;
        }
        self.info.ready = Readiness::Left;
        self.speak();
        let mut wants = Wants::default();
        // Each telling goes to three nodes: so many that the word outlives some loss.
        for _ in 0..3 {
            let _ = self.foca.gossip(&mut wants);
        }
        let _ = self.foca.leave_cluster(&mut wants);
        wants.defunct = false;
        self.carry_out(now, wants);
    }

    /// When [`Fleet::tick`] is to be called next.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.next()
    }

    /// What is to be done next.
    pub fn action(&mut self) -> Option<Action> {
        self.orders.pop_front()
    }

    /// Sends something of another matter to a node, whatever state it is held in, sealed and guarded against replay as all
    /// else. It may be lost, doubled or overtaken. False if the node is not known, or the bytes are too many.
    pub fn send_user_message(&mut self, to: &str, bytes: &[u8]) -> bool {
        let to = self.foca.iter_membership_state().find(|member| *member.id().name == *to);
        let Some(address) = to.map(|member| member.id().address) else { return false };
        if bytes.len() > MOST_BESIDE {
            return false;
        }
        let message = Message::Beside { from: self.id.clone(), bytes: bytes.to_vec() };
        self.send(address, &message);
        true
    }

    /// Whether something of another matter waits to be taken.
    pub fn has_user_message(&self) -> bool {
        !self.next_user_message.is_empty()
    }

    /// What another node has sent of another matter: who, and what.
    pub fn next_user_message(&mut self) -> Option<(Name, Vec<u8>)> {
        self.next_user_message.pop_front()
    }

    /// What has happened.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Time has come. Datagrams that wait are to be taken first: after a pause they tell who is alive.
    pub fn tick(&mut self, now: Millis) {
        self.awake(now);
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Foca(timer) => self.foca_timer(now, timer),
                Due::Tell(id, refuted, until) => self.tell(now, id, refuted, until),
                Due::Exchange(round) => self.exchange_due(now, round),
                Due::Seed => self.seed_due(now),
                Due::Ask => self.ask(now),
                Due::Rejoin => self.come_again(now),
            }
        }
    }

    /// Notices that the node stood still, and makes up for it.
    fn awake(&mut self, now: Millis) {
        let late = self.timers.next().map_or(0, |due| now.saturating_sub(due));
        if late > STALL_MS {
            self.timers.shift(late);
            self.health.doubt();
            self.stats.stalls += 1;
            if late >= rejoin::LONG_MS {
                self.events.push_back(Event::Stalled(late));
            }
        }
    }

    fn foca_timer(&mut self, now: Millis, timer: Timer<Id>) {
        let probes = matches!(timer, Timer::ProbeRandomMember(_));
        if let Timer::RemoveDown(id) = &timer {
            self.forget(id);
        }
        if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
            // foca 2.0 tells a member that it is dead when its time as a suspect is over, even if it has refuted that
            // since: each false alarm would make a node come again.
            let suspect = Some((member_id.clone(), *incarnation, foca::State::Suspect));
            if self.known(member_id) != suspect {
                return;
            }
            if !self.rejoin.is_proven() {
                self.timers.set(now + SUSPECT_MS, Due::Foca(timer));
                return;
            }
        }
        let mut wants = Wants::default();
        // Errors tell of a probe that a changed identity interrupted: it goes on with the next.
        let _ = self.foca.handle_timer(timer, &mut wants);
        let failed = wants.timers.iter().any(|(timer, _)| matches!(timer, Timer::ChangeSuspectToDown { .. }));
        self.carry_out(now, wants);
        // One failure says more of the other than of this node: what it began is not stretched by itself.
        if probes {
            if failed { self.health.doubt() } else { self.health.trust() }
        }
    }

    fn forget(&mut self, id: &Id) {
        if self.known(id).is_some_and(|(known, _, state)| known == *id && state == foca::State::Down) {
            self.words.borrow_mut().forget(&id.name);
            self.peers.remove(&id.name);
            self.died.remove(&id.name);
            self.changes += 1;
        }
    }

    /// Does what `foca` wants, and takes note.
    fn carry_out(&mut self, now: Millis, wants: Wants) {
        for (to, bytes) in wants.sends {
            self.send(to.address, &Message::Gossip(&bytes));
        }
        for (timer, after) in wants.timers {
            let after = after.as_millis() as Millis;
            let after = match &timer {
                Timer::ChangeSuspectToDown { member_id, incarnation, .. } => {
                    let after = self.health.stretched(after);
                    self.timers.set(now, Due::Tell(member_id.clone(), *incarnation, now + after));
                    after
                }
                Timer::SendIndirectProbe { .. } | Timer::ProbeRandomMember(_) => self.health.stretched(after),
                _ => after,
            };
            self.timers.set(now + after, Due::Foca(timer));
        }
        let changed = !(wants.up.is_empty() && wants.down.is_empty() && wants.again.is_empty());
        for id in wants.up {
            self.died.remove(&id.name);
            self.events.push_back(Event::Up(id));
        }
        for id in wants.down {
            self.died.insert(id.name.clone(), now);
            let left = self.words.borrow().of(&id).and_then(|node_info| NodeInfo::read(&node_info.fields));
            let left = left.is_some_and(|info| info.ready == Readiness::Left);
            self.events.push_back(Event::Down(id, if left { State::Left } else { State::Dead }));
        }
        for id in wants.again {
            if self.known(&id).is_some_and(|(_, _, state)| state != foca::State::Down) {
                self.died.remove(&id.name);
                self.events.push_back(Event::NewIncarnation(id));
            }
        }
        if changed {
            self.changes += 1;
            self.stats.view_changes += 1;
            self.unsettled(now);
        }
        if wants.defunct {
            self.held_dead(now);
        }
    }

    /// What is known of a node: who, refutations, state.
    fn known(&self, of: &Id) -> Option<(Id, u16, foca::State)> {
        let member = self.foca.iter_membership_state().find(|member| member.id().is_same_node(of))?;
        Some((member.id().clone(), member.incarnation(), member.state()))
    }

    /// Tells a suspect so, and again until it has answered or died.
    fn tell(&mut self, now: Millis, about: Id, refuted: u16, until: Millis) {
        match self.known(&about) {
            Some((id, now_refuted, foca::State::Alive)) if id == about && now_refuted > refuted => {
                // It was alive all along.
                self.stats.false_alarms += 1;
                self.health.doubt();
            }
            Some((id, _, foca::State::Suspect)) if id == about && now < until => {
                let message = Message::Suspected { from: self.id.clone(), about: about.clone(), refuted };
                self.send(about.address, &message);
                self.timers.set(now + TELL_MS, Due::Tell(about, refuted, until));
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
            self.orders.push_back(Action::Send(to, sealed));
        }
    }

    /// Takes a datagram. What is not sealed under one of the keys, or came before, changes nothing.
    ///
    /// # Errors
    /// Why it was refused, for the log.
    pub fn datagram(&mut self, now: Millis, bytes: &[u8]) -> Result<(), Refused> {
        self.awake(now);
        self.stats.datagrams_in += 1;
        self.stats.bytes_in += bytes.len() as u64;
        let done = self.opened(now, bytes);
        if done.is_err() {
            self.stats.refused += 1;
        }
        done
    }

    fn opened(&mut self, now: Millis, bytes: &[u8]) -> Result<(), Refused> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(Refused::Malformed);
        }
        let plain = hopmoor_seal::open(&self.keys, Kind::Datagram, bytes)?;
        let (sequence, message) = wire::read(&plain)?;
        match message {
            Message::Gossip(data) => {
                let (header, _): (foca::Header<Id>, _) =
                    postcard::take_from_bytes(data).map_err(|_| Refused::Malformed)?;
                self.from(now, &header.src, sequence)?;
                if self.earlier(now, &header.src) {
                    return Ok(());
                }
                if matches!(header.message, foca::Message::Ack(_) | foca::Message::ForwardedAck { .. })
                    && header.dst == self.id
                {
                    self.rejoin.prove();
                }
                let kept = self.believed(now, data);
                let mut wants = Wants::default();
                // Errors tell of datagrams for an earlier coming of this node, and of words that can't be read.
                let _ = self.foca.handle_data(kept.as_deref().unwrap_or(data), &mut wants);
                self.carry_out(now, wants);
            }
            Message::Suspected { from, about, refuted } => {
                self.from(now, &from, sequence)?;
                if about == self.id && !self.earlier(now, &from) {
                    let suspect = foca::Member::new(about, refuted, foca::State::Suspect);
                    self.apply(now, vec![suspect], true);
                    let mut wants = Wants::default();
                    // Carries the count of refutations to the one that asked, whoever hears the rest.
                    let _ = self.foca.announce(from, &mut wants);
                    self.carry_out(now, wants);
                }
            }
            Message::Superseded { from, by, alive } => {
                self.from(now, &from, sequence)?;
                self.superseded(now, by, alive);
            }
            Message::Beside { from, bytes } => {
                self.from(now, &from, sequence)?;
                if !self.earlier(now, &from) && self.next_user_message.len() < BESIDE {
                    self.next_user_message.push_back((from.name, bytes));
                }
            }
            Message::HeldDead { from, about } => {
                self.from(now, &from, sequence)?;
                if about == self.id {
                    self.held_dead(now);
                }
            }
        }
        Ok(())
    }

    /// Notes that a peer was heard; refuses what came before.
    fn from(&mut self, now: Millis, id: &Id, sequence: u64) -> Result<(), Refused> {
        if self.peers.len() >= MAX_KNOWN_NODES && !self.peers.contains_key(&id.name) {
            return Err(Refused::Full);
        }
        let peer = self.peers.entry(id.name.clone()).or_default();
        if id.incarnation > peer.incarnation {
            *peer = Peer { incarnation: id.incarnation, since: now, ..Peer::default() };
        }
        // An earlier coming has no window any more: it is only told that it is one, and that is harmless twice.
        if id.incarnation == peer.incarnation {
            if !peer.window.take(sequence) {
                return Err(Refused::Replayed);
            }
            peer.heard = now;
        }
        Ok(())
    }

    fn apply(&mut self, now: Millis, members: Vec<foca::Member<Id>>, spread: bool) {
        let mut wants = Wants::default();
        let _ = self.foca.apply_many(members.into_iter(), spread, &mut wants);
        self.carry_out(now, wants);
    }
}

/// Why a datagram or frame was refused: for counters and the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Not what it should be.
    Malformed,
    /// Sealed under a key that is not there.
    UnknownKey,
    /// Altered, or made by somebody without the key.
    Forged,
    /// It came before.
    Replayed,
    /// A newer node may know what it is.
    Unknown,
    /// There is no room for more nodes.
    Full,
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Refused::Malformed => "malformed",
            Refused::UnknownKey => "unknown key",
            Refused::Forged => "forged",
            Refused::Replayed => "replayed",
            Refused::Unknown => "of a newer kind",
            Refused::Full => "no room",
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

impl From<Unread> for Refused {
    fn from(why: Unread) -> Refused {
        match why {
            Unread::Unknown => Refused::Unknown,
            Unread::Malformed => Refused::Malformed,
        }
    }
}
