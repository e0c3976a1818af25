//! Exchanges: two nodes compare digests and, where those differ, swap all that they know. What gossip missed is settled
//! so, and halves of a fleet that were apart find each other again.

use crate::identity::{Id, Millis};
use crate::wire::{Entry, Frame, Told};
use crate::{Action, Due, Event, FORGET_MS, Fleet, MAX_KNOWN_NODES, Message, Refused};
use foca::{Member, State};
use hopmoor_seal::Kind;
use rand::RngExt;
use std::net::SocketAddr;

/// Between exchanges while nothing changes: a missed word is late by this at most.
const CALM_MS: Millis = 5_000;
/// And while something does: after a heal a few rounds have to follow each other.
const UNSETTLED_MS: Millis = 500;
/// The view counts as settled when it has not changed for this long.
const SETTLED_MS: Millis = 3_000;
/// One that knows of nobody asks a seed this often.
const ALONE_MS: Millis = 500;
/// A seed that is not in the view is asked this often.
const SEED_MS: Millis = 10_000;

/// Whether the view changes.
#[derive(Debug)]
pub(crate) struct Settling {
    changed: Millis,
    /// Turns between the living and the dead.
    turn: u64,
    /// When the next exchange is due, and which of those that are set it is: one that was set for calm times is overtaken.
    next: Millis,
    round: u64,
}

impl Settling {
    pub(crate) fn new(now: Millis) -> Settling {
        Settling { changed: now, turn: 0, next: 0, round: 0 }
    }

    pub(crate) fn settled(&self, now: Millis) -> bool {
        now.saturating_sub(self.changed) >= SETTLED_MS
    }
}

/// One side of an exchange under way.
#[derive(Debug)]
pub struct Exchange {
    /// The salt that the next frame has to bear; none: a greeting is awaited.
    salt: Option<u64>,
    done: bool,
}

impl Exchange {
    /// Whether nothing more is to be read or written.
    pub fn is_done(&self) -> bool {
        self.done
    }
}

impl Fleet {
    /// Whether the view has stood for a while, so that more may rest on it.
    pub fn is_settled(&self, now: Millis) -> bool {
        self.settling.settled(now) && !self.rejoin.stepped_back()
    }

    /// The view changes: exchanges follow each other quickly for a while.
    pub(crate) fn unsettled(&mut self, now: Millis) {
        self.settling.changed = now;
        if self.settling.next > now + UNSETTLED_MS * 3 / 2 {
            self.set_exchange(now);
        }
    }

    /// Sets the next exchange; its time is drawn, so that nodes started together do not call together.
    pub(crate) fn set_exchange(&mut self, now: Millis) {
        let most = if self.settling.settled(now) { CALM_MS } else { UNSETTLED_MS };
        let pause = most / 2 + self.rng.random_range(0..=most);
        self.settling.next = now + pause;
        self.settling.round += 1;
        self.timers.set(self.settling.next, Due::Exchange(self.settling.round));
    }

    pub(crate) fn exchange_due(&mut self, now: Millis, round: u64) {
        if round != self.settling.round {
            return;
        }
        self.set_exchange(now);
        self.settling.turn += 1;
        // Every other turn goes to the dead, if there are any.
        let dead = self.settling.turn.is_multiple_of(2)
            && self.foca.iter_membership_state().len() > self.foca.num_members();
        let with = |state: State| (state == State::Down) == dead;
        let all: Vec<SocketAddr> = self
            .foca
            .iter_membership_state()
            .filter(|member| with(member.state()))
            .map(|member| member.id().address)
            .collect();
        self.call_one_of(&all);
    }

    fn call_one_of(&mut self, from: &[SocketAddr]) {
        if from.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..from.len());
        if let Some(address) = from.get(at) {
            self.orders.push_back(Action::Call(*address));
        }
    }

    /// Seeds that are not in the view are asked for ever: two halves of a fleet may have forgotten each other.
    pub(crate) fn seed_due(&mut self, now: Millis) {
        let alone = self.foca.num_members() == 0;
        let pause = if alone { ALONE_MS } else { SEED_MS };
        let jitter = self.rng.random_range(0..=pause / 4);
        self.timers.set(now + pause + jitter, Due::Seed);
        let known = |seed: &SocketAddr| {
            *seed == self.id.address || self.foca.iter_members().any(|member| member.id().address == *seed)
        };
        let missing: Vec<SocketAddr> = self.seeds.iter().copied().filter(|seed| !known(seed)).collect();
        self.call_one_of(&missing);
    }

    pub(crate) fn call_anybody(&mut self) {
        let mut all = self.seeds.clone();
        all.extend(self.foca.iter_members().map(|member| member.id().address));
        all.retain(|address| *address != self.id.address);
        self.call_one_of(&all);
    }

    /// Begins an exchange with whoever was called; `None` if nothing can be sealed.
    pub fn call(&mut self) -> Option<(Exchange, Vec<u8>)> {
        let salt = self.rng.random();
        let hello = Frame::Hello { from: self.id.clone(), digest: self.digest(), salt };
        Some((Exchange { salt: Some(salt), done: false }, self.sealed(&hello)?))
    }

    /// The other side of an exchange, for a caller that has just come.
    pub fn answer(&mut self) -> Exchange {
        Exchange { salt: None, done: false }
    }

    /// Takes a frame, without its length; yields the answer, if there is one.
    ///
    /// # Errors
    /// Why it is refused: the exchange ends then.
    pub fn frame(
        &mut self,
        now: Millis,
        on: &mut Exchange,
        bytes: &[u8],
    ) -> Result<Option<Vec<u8>>, Refused> {
        self.awake(now);
        self.stats.bytes_in += bytes.len() as u64;
        let taken = self.take_frame(now, on, bytes);
        if taken.is_err() {
            self.stats.refused += 1;
            on.done = true;
        }
        taken
    }

    fn take_frame(
        &mut self,
        now: Millis,
        on: &mut Exchange,
        bytes: &[u8],
    ) -> Result<Option<Vec<u8>>, Refused> {
        let plain = hopmoor_seal::open(&self.keys, Kind::Frame, bytes)?;
        match (Frame::read(&plain)?, on.salt) {
            (Frame::Hello { digest, salt, .. }, None) => {
                self.stats.exchanges += 1;
                if digest == self.digest() {
                    on.done = true;
                    return Ok(self.sealed(&Frame::Same { salt }));
                }
                self.unsettled(now);
                let wanted = self.rng.random();
                on.salt = Some(wanted);
                let entries = self.entries(now);
                let from = self.id.clone();
                Ok(self.sealed(&Frame::State { from, salt, wanted: Some(wanted), entries }))
            }
            (Frame::Same { salt }, Some(mine)) if salt == mine => {
                on.done = true;
                Ok(None)
            }
            (Frame::State { salt, wanted, entries, .. }, Some(mine)) if salt == mine => {
                on.done = true;
                self.unsettled(now);
                self.absorb(now, entries);
                let Some(wanted) = wanted else { return Ok(None) };
                let entries = self.entries(now);
                let from = self.id.clone();
                Ok(self.sealed(&Frame::State { from, salt: wanted, wanted: None, entries }))
            }
            // Of another exchange, or out of turn.
            _ => Err(Refused::Replayed),
        }
    }

    fn sealed(&mut self, frame: &Frame) -> Option<Vec<u8>> {
        let plain = frame.write()?;
        let nonce = self.nonce();
        let sealed = hopmoor_seal::seal(&self.keys, Kind::Frame, &plain, nonce)?;
        self.stats.bytes_out += sealed.len() as u64;
        Some(sealed)
    }

    /// All that this node knows, itself included.
    fn entries(&self, now: Millis) -> Vec<Entry> {
        let words = self.words.borrow();
        let entry = |id: &Id, refuted: u16, state: Told| Entry {
            id: id.clone(),
            refuted,
            state,
            dead_ms: self.died.get(&id.name).map_or(0, |since| now.saturating_sub(*since)),
            node_info: words.get(&id.name).cloned(),
        };
        let mut entries = Vec::new();
        match self.superseded_by() {
            // It speaks for itself no more.
            Some(by) => entries.push(entry(by, 0, Told::Alive)),
            None => entries.push(entry(&self.id, 0, Told::Alive)),
        }
        for member in self.foca.iter_membership_state() {
            let told = match member.state() {
                State::Alive => Told::Alive,
                State::Suspect => Told::Suspect,
                State::Down => Told::Dead,
            };
            entries.push(entry(member.id(), member.incarnation(), told));
        }
        entries
    }

    /// Takes what another knows. What it holds dead and this node alive is not believed, but told to the one whom it is
    /// about: if it lives, it comes again; if not, this node's own probes find out.
    fn absorb(&mut self, now: Millis, entries: Vec<Entry>) {
        let mut news = Vec::new();
        let mut dead = Vec::new();
        let mut room = MAX_KNOWN_NODES.saturating_sub(self.foca.iter_membership_state().len());
        for Entry { id, refuted, state, dead_ms, node_info } in entries {
            let left = node_info
                .as_ref()
                .is_some_and(|node_info| node_info.incarnation == id.incarnation && node_info.tells_left());
            if id.name == self.id.name {
                match state {
                    Told::Dead if id == self.id => self.held_dead(now),
                    Told::Suspect if id == self.id => {
                        news.push(Member::new(id, refuted, State::Suspect));
                    }
                    _ => self.superseded(now, id, state != Told::Dead),
                }
                continue;
            }
            match self.known(&id) {
                None if state == Told::Dead => {
                    // Remembered only until it is forgotten elsewhere, or it would go round for ever.
                    if dead_ms < FORGET_MS && room > 0 {
                        room -= 1;
                        self.died.insert(id.name.clone(), now.saturating_sub(dead_ms));
                        dead.push(Member::new(id, refuted, State::Down));
                    }
                }
                None if room > 0 => {
                    room -= 1;
                    news.push(Member::new(id, refuted, State::Alive));
                }
                None => {
                    if !std::mem::replace(&mut self.full, true) {
                        self.events.push_back(Event::Full);
                    }
                    continue;
                }
                Some((known, _, ours)) if known == id => match (ours, state) {
                    (State::Down, Told::Alive | Told::Suspect) => self.tell_dead(id),
                    (State::Down, Told::Dead) => {}
                    (_, Told::Dead) if left => news.push(Member::new(id, refuted, State::Down)),
                    (_, Told::Dead) => self.tell_dead(id),
                    (_, Told::Alive | Told::Suspect) => news.push(Member::new(id, refuted, State::Alive)),
                },
                Some((known, ..)) if id.is_later(&known) => {
                    let state = if state == Told::Dead { State::Down } else { State::Alive };
                    news.push(Member::new(id, refuted, state));
                }
                Some(_) => {}
            }
            if let Some(node_info) = node_info
                && self.words.borrow_mut().take(node_info)
            {
                self.unsettled(now);
            }
        }
        // The dead that others know of are no news to them.
        let since: Vec<(crate::Name, Millis)> =
            dead.iter().filter_map(|m| Some((m.id().name.clone(), *self.died.get(&m.id().name)?))).collect();
        self.apply(now, dead, false);
        self.died.extend(since);
        self.apply(now, news, true);
    }

    fn tell_dead(&mut self, about: Id) {
        let message = Message::HeldDead { from: self.id.clone(), about: about.clone() };
        self.send(about.address, &message);
    }
}
