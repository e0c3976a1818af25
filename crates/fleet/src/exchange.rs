//! Anti-entropy exchanges over a stream connection. Two nodes compare the digests of their views and, where
//! these differ, send each other all that they know. This makes up for lost gossip and rejoins the parts of a
//! fleet after a partition.

use crate::identity::{Id, Millis};
use crate::wire::{Entry, Frame, ReportedState};
use crate::{Action, Due, Event, FORGET_DEAD_AFTER_MS, Fleet, MAX_KNOWN_NODES, Message, Refused};
use foca::{Member, State};
use hopmoor_seal::Kind;
use rand::RngExt;
use std::net::SocketAddr;

/// Mean time between exchanges while the view is settled: an update that gossip missed is late by
/// about this at most.
const SETTLED_EXCHANGE_MS: Millis = 5_000;
/// Mean time between exchanges while the view changes. Short, because after a partition heals several rounds
/// have to follow each other.
const UNSETTLED_EXCHANGE_MS: Millis = 500;
/// The view counts as settled when it has not changed for this long.
const SETTLE_TIME_MS: Millis = 3_000;
/// How often a node that knows no other node contacts a seed.
const LONE_SEED_RETRY_MS: Millis = 500;
/// How often a seed that is missing from the view is contacted.
const SEED_RETRY_MS: Millis = 10_000;

/// When the view last changed, and when the next exchange is due.
#[derive(Debug)]
pub(crate) struct Settling {
    last_change: Millis,
    /// Counts the exchanges that this node began: odd ones go to live nodes, even ones to dead
    /// nodes, if there are any.
    exchanges_begun: u64,
    /// When the next exchange is due.
    next_exchange: Millis,
    /// Identifies the timer of the next exchange. When the view changes, a shorter timer replaces the one
    /// that was set while it was settled; the replaced timer carries an older generation and is ignored.
    generation: u64,
}

impl Settling {
    pub(crate) fn new(now: Millis) -> Settling {
        Settling { last_change: now, exchanges_begun: 0, next_exchange: 0, generation: 0 }
    }

    pub(crate) fn is_settled(&self, now: Millis) -> bool {
        now.saturating_sub(self.last_change) >= SETTLE_TIME_MS
    }
}

/// The state of one side of an exchange in progress.
#[derive(Debug)]
pub struct Exchange {
    /// The challenge that the next frame must carry; `None` while the callee waits for `Hello`.
    challenge: Option<u64>,
    done: bool,
}

impl Exchange {
    /// Whether the exchange has ended: no frame is expected or left to send.
    pub fn is_done(&self) -> bool {
        self.done
    }
}

impl Fleet {
    /// Whether the view has been stable for the settle time of 3 s and this node still owns its name.
    pub fn is_settled(&self, now: Millis) -> bool {
        self.settling.is_settled(now) && !self.rejoin_state.is_superseded()
    }

    /// Records a change of the view, so that exchanges come more often for a while.
    pub(crate) fn mark_unsettled(&mut self, now: Millis) {
        self.settling.last_change = now;
        if self.settling.next_exchange > now + UNSETTLED_EXCHANGE_MS * 3 / 2 {
            self.schedule_exchange(now);
        }
    }

    /// Schedules the next exchange after a random delay, so that nodes started together don't all connect at
    /// once.
    pub(crate) fn schedule_exchange(&mut self, now: Millis) {
        let period = if self.settling.is_settled(now) { SETTLED_EXCHANGE_MS } else { UNSETTLED_EXCHANGE_MS };
        let delay = period / 2 + self.rng.random_range(0..=period);
        self.settling.next_exchange = now + delay;
        self.settling.generation += 1;
        self.timers.set(self.settling.next_exchange, Due::Exchange(self.settling.generation));
    }

    pub(crate) fn exchange_due(&mut self, now: Millis, generation: u64) {
        if generation != self.settling.generation {
            return;
        }
        self.schedule_exchange(now);
        self.settling.exchanges_begun += 1;
        // Every second exchange goes to a dead node, if there is one.
        let dead = self.settling.exchanges_begun.is_multiple_of(2)
            && self.foca.iter_membership_state().len() > self.foca.num_members();
        let selected = |state: State| (state == State::Down) == dead;
        let candidates: Vec<SocketAddr> = self
            .foca
            .iter_membership_state()
            .filter(|member| selected(member.state()))
            .map(|member| member.id().address)
            .collect();
        self.exchange_with_one_of(&candidates);
    }

    fn exchange_with_one_of(&mut self, candidates: &[SocketAddr]) {
        if candidates.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..candidates.len());
        if let Some(address) = candidates.get(index) {
            self.actions.push_back(Action::Call(*address));
        }
    }

    /// Contacts a seed that is missing from the view. This never stops: after a long partition each half of
    /// the fleet may have forgotten the other, and only the seeds connect them again.
    pub(crate) fn seed_due(&mut self, now: Millis) {
        let alone = self.foca.num_members() == 0;
        let delay = if alone { LONE_SEED_RETRY_MS } else { SEED_RETRY_MS };
        let jitter = self.rng.random_range(0..=delay / 4);
        self.timers.set(now + delay + jitter, Due::Seed);
        let is_known = |seed: &SocketAddr| {
            *seed == self.id.address || self.foca.iter_members().any(|member| member.id().address == *seed)
        };
        let missing: Vec<SocketAddr> = self.seeds.iter().copied().filter(|seed| !is_known(seed)).collect();
        self.exchange_with_one_of(&missing);
    }

    pub(crate) fn exchange_with_anyone(&mut self) {
        let mut candidates = self.seeds.clone();
        candidates.extend(self.foca.iter_members().map(|member| member.id().address));
        candidates.retain(|address| *address != self.id.address);
        self.exchange_with_one_of(&candidates);
    }

    /// Starts an exchange as the caller and returns its `Hello` frame; `None` if the frame can't be sealed.
    pub fn call(&mut self) -> Option<(Exchange, Vec<u8>)> {
        let challenge = self.rng.random();
        let hello = Frame::Hello { from: self.id.clone(), digest: self.digest(), challenge };
        Some((Exchange { challenge: Some(challenge), done: false }, self.seal_frame(&hello)?))
    }

    /// Starts an exchange as the callee, for a connection just accepted.
    pub fn answer(&mut self) -> Exchange {
        Exchange { challenge: None, done: false }
    }

    /// Handles one frame, without its length prefix, and returns the sealed reply, if there is one.
    ///
    /// # Errors
    /// Why the frame was refused. The exchange has ended then.
    pub fn frame(
        &mut self,
        now: Millis,
        exchange: &mut Exchange,
        bytes: &[u8],
    ) -> Result<Option<Vec<u8>>, Refused> {
        self.detect_stall(now);
        self.stats.bytes_in += bytes.len() as u64;
        let result = self.handle_frame(now, exchange, bytes);
        if result.is_err() {
            self.stats.refused += 1;
            exchange.done = true;
        }
        result
    }

    fn handle_frame(
        &mut self,
        now: Millis,
        exchange: &mut Exchange,
        bytes: &[u8],
    ) -> Result<Option<Vec<u8>>, Refused> {
        let plain = hopmoor_seal::open(&self.keys, Kind::Frame, bytes)?;
        match (Frame::read(&plain)?, exchange.challenge) {
            (Frame::Hello { digest, challenge, .. }, None) => {
                self.stats.exchanges += 1;
                if digest == self.digest() {
                    exchange.done = true;
                    return Ok(self.seal_frame(&Frame::Same { challenge }));
                }
                self.mark_unsettled(now);
                let next_challenge = self.rng.random();
                exchange.challenge = Some(next_challenge);
                let entries = self.entries(now);
                let from = self.id.clone();
                Ok(self.seal_frame(&Frame::State {
                    from,
                    challenge,
                    next_challenge: Some(next_challenge),
                    entries,
                }))
            }
            (Frame::Same { challenge }, Some(expected)) if challenge == expected => {
                exchange.done = true;
                Ok(None)
            }
            (Frame::State { challenge, next_challenge, entries, .. }, Some(expected))
                if challenge == expected =>
            {
                exchange.done = true;
                self.mark_unsettled(now);
                self.merge_entries(now, entries);
                let Some(next_challenge) = next_challenge else { return Ok(None) };
                let entries = self.entries(now);
                let from = self.id.clone();
                Ok(self.seal_frame(&Frame::State {
                    from,
                    challenge: next_challenge,
                    next_challenge: None,
                    entries,
                }))
            }
            // The frame belongs to another exchange or is out of sequence.
            _ => Err(Refused::Replayed),
        }
    }

    fn seal_frame(&mut self, frame: &Frame) -> Option<Vec<u8>> {
        let plain = frame.write()?;
        let nonce = self.nonce();
        let sealed = hopmoor_seal::seal(&self.keys, Kind::Frame, &plain, nonce)?;
        self.stats.bytes_out += sealed.len() as u64;
        Some(sealed)
    }

    /// Everything that this node knows, itself included.
    fn entries(&self, now: Millis) -> Vec<Entry> {
        let info_table = self.info_table.borrow();
        let entry = |id: &Id, refutations: u16, state: ReportedState| Entry {
            id: id.clone(),
            refutations,
            state,
            dead_ms: self.dead_since.get(&id.name).map_or(0, |since| now.saturating_sub(*since)),
            record: info_table.get(&id.name).cloned(),
        };
        let mut entries = Vec::new();
        match self.superseded_by() {
            // A superseded node reports the later process instead of itself.
            Some(successor) => entries.push(entry(successor, 0, ReportedState::Alive)),
            None => entries.push(entry(&self.id, 0, ReportedState::Alive)),
        }
        for member in self.foca.iter_membership_state() {
            let state = match member.state() {
                State::Alive => ReportedState::Alive,
                State::Suspect => ReportedState::Suspect,
                State::Down => ReportedState::Dead,
            };
            entries.push(entry(member.id(), member.incarnation(), state));
        }
        entries
    }

    /// Merges another node's view into this one. A death reported of a node that is alive in this view is not
    /// believed. Instead the node in question is told: if it is up, it rejoins; if not, this node's own
    /// probes will find out.
    fn merge_entries(&mut self, now: Millis, entries: Vec<Entry>) {
        let mut updates = Vec::new();
        let mut dead = Vec::new();
        let mut free_slots = MAX_KNOWN_NODES.saturating_sub(self.foca.iter_membership_state().len());
        for Entry { id, refutations, state, dead_ms, record } in entries {
            let left = record
                .as_ref()
                .is_some_and(|record| record.incarnation == id.incarnation && record.has_left());
            if id.name == self.id.name {
                match state {
                    ReportedState::Dead if id == self.id => self.handle_declared_dead(now),
                    ReportedState::Suspect if id == self.id => {
                        updates.push(Member::new(id, refutations, State::Suspect));
                    }
                    _ => self.handle_superseded(now, id, state != ReportedState::Dead),
                }
                continue;
            }
            match self.lookup(&id) {
                None if state == ReportedState::Dead => {
                    // Recorded with its age, and not at all once it is so old that others forget it;
                    // otherwise it would circulate for ever.
                    if dead_ms < FORGET_DEAD_AFTER_MS && free_slots > 0 {
                        free_slots -= 1;
                        self.dead_since.insert(id.name.clone(), now.saturating_sub(dead_ms));
                        dead.push(Member::new(id, refutations, State::Down));
                    }
                }
                None if free_slots > 0 => {
                    free_slots -= 1;
                    updates.push(Member::new(id, refutations, State::Alive));
                }
                None => {
                    if !std::mem::replace(&mut self.full_reported, true) {
                        self.events.push_back(Event::Full);
                    }
                    continue;
                }
                Some((known, _, own_state)) if known == id => match (own_state, state) {
                    (State::Down, ReportedState::Alive | ReportedState::Suspect) => {
                        self.send_declared_dead(id)
                    }
                    (State::Down, ReportedState::Dead) => {}
                    (_, ReportedState::Dead) if left => {
                        updates.push(Member::new(id, refutations, State::Down))
                    }
                    (_, ReportedState::Dead) => self.send_declared_dead(id),
                    (_, ReportedState::Alive | ReportedState::Suspect) => {
                        updates.push(Member::new(id, refutations, State::Alive))
                    }
                },
                Some((known, ..)) if id.is_later(&known) => {
                    let state = if state == ReportedState::Dead { State::Down } else { State::Alive };
                    updates.push(Member::new(id, refutations, state));
                }
                Some(_) => {}
            }
            if let Some(record) = record
                && self.info_table.borrow_mut().insert_if_newer(record)
            {
                self.mark_unsettled(now);
            }
        }
        // Dead nodes learnt from another node are not gossiped: the others know of them already.
        let dead_since: Vec<(crate::Name, Millis)> = dead
            .iter()
            .filter_map(|m| Some((m.id().name.clone(), *self.dead_since.get(&m.id().name)?)))
            .collect();
        self.apply_members(now, dead, false);
        self.dead_since.extend(dead_since);
        self.apply_members(now, updates, true);
    }

    fn send_declared_dead(&mut self, about: Id) {
        let message = Message::DeclaredDead { from: self.id.clone(), about: about.clone() };
        self.send(about.address, &message);
    }
}
