//! Which backend a request is sent to, by weighted round robin among those that may be sent to.

use super::budget::TARGET;
use super::health::{BUSY, FULL_PAUSE_MS};
use super::slow_start::warmth_at;
use crate::api::*;
use crate::state::*;
use std::collections::BTreeSet;

/// Most load over capacity that one connection is taken to bring.
const UNIT_MOST: f64 = 0.1;
/// Group and zone preference act among backends so many turns early and under this load over capacity. No
/// closer: each backend over which a group is spread carries the group's work once more.
const NEAR_TURNS: f64 = 8.0;
/// A loaded backend keeps this part of its weight: so it still shows whether it has recovered.
const LEAST_ROOM: f64 = 0.05;
/// Part of the time left that one attempt may take, and the least such time.
const WAIT_PART: f64 = 0.4;
const WAIT_LEAST_MS: Millis = 250.0;

impl Balancer {
    /// Weights for the coming interval: listed weight, part warmed up, room left.
    pub(super) fn weigh(&mut self, now: Millis) {
        let size: f64 = self.servers.values().map(Server::size).sum();
        let work = self.servers.values().map(|s| s.work).sum::<f64>() / size.max(f64::MIN_POSITIVE);
        for server in self.servers.values_mut() {
            // Stale word of one backend fades into the mean of all.
            let room = match (server.told(now), self.mean_load) {
                (Some((load, fresh)), Some(mean)) => 1.0 - (mean + (load - mean) * fresh),
                (Some((load, _)), None) | (None, Some(load)) => 1.0 - load,
                (None, None) if work > 0.0 => 1.0 - server.work / server.size() / work / 2.0,
                (None, None) => 1.0,
            };
            let room = room.min(1.0 - server.peak);
            let warmth = warmth_at(server.age.at(now), &self.settings);
            server.capacity = server.size() * warmth;
            server.unit = (TARGET / (self.per_weight * server.capacity)).clamp(0.0, UNIT_MOST);
            let weight = (server.capacity * room.max(LEAST_ROOM)).max(1e-9);
            // A turn taken at a small weight must not keep a backend out long after it has recovered. The
            // first is drawn by weight too; that of a cold backend is held by the gate.
            let known = if server.weight > 0.0 { (server.weight / weight).min(1.0) } else { 1.0 / weight };
            let scale = if server.weight > 0.0 || warmth >= 1.0 { known } else { 1.0 };
            server.turn = self.turn + (server.turn - self.turn).max(0.0) * scale;
            server.weight = weight;
        }
    }

    /// Weighted round robin by virtual time: the smallest turn is next and each turn lasts 1/weight. Among
    /// backends some turns early, those that hold some of the group come first; then the own zone, then the
    /// group's own place, the same at every gateway and in proportion to warm size.
    ///
    /// A backend in slow start gets the request only by the one chance that it has there; without it a warm one is chosen.
    pub(super) fn pick(&mut self, now: Millis, id: RequestId) -> Option<BackendId> {
        let entry = self.entries.get(&id)?;
        let by_key = if self.settings.mode == Mode::PassThrough { entry.request.key } else { None };
        let affinity = entry.request.group.or(by_key);
        let kin = self.kin(entry.request.group);
        // A group has no one place where none is warm: all of it would wait for one backend in slow start.
        let spread = !self.any_warm(now);
        let key = affinity.filter(|_| !spread).map_or(mix(self.salt ^ id.0), |key| key.0);
        if entry.state == State::Held {
            self.slow_start.came(key);
        }
        self.slow_start.begin_choice(now, self.settings.overload_span_ms);
        let mut chance_left = true;
        for careful in [true, false] {
            self.mark_ready(now, id, careful);
            let cold = self.place_in_slow_start(now, key, &kin).filter(|_| std::mem::take(&mut chance_left));
            if let Some(cold) = cold
                && draw(&mut self.rng) < self.slow_start_chance(now, cold)
            {
                return Some(self.take_turn(cold));
            }
            self.leave_out_slow_start(now);
            if let Some(backend) = self.next_ready(now, affinity.is_some(), key, &kin) {
                return Some(self.take_turn(backend));
            }
        }
        None
    }

    /// Marks the backends that the request may be sent to; `careful` leaves out those in a pause, and those tried.
    fn mark_ready(&mut self, now: Millis, id: RequestId, careful: bool) {
        let Some(entry) = self.entries.get(&id) else { return };
        let effect = self.settings.class(entry.request.class).effect;
        for (backend, server) in &mut self.servers {
            server.ready = server.info.phase == Phase::Serving
                && (!careful || now >= server.avoid_until && !entry.tried.contains(backend))
                && may_send(entry, effect, now, Some(&server.info));
        }
    }

    /// The backend in slow start that is the request's place among those that are ready, if it has its place at one. What a node
    /// prefers for the moment, by turns or load, must not lead there: the chance counts on places. They are by full size, so that a
    /// newcomer gets its groups bit by bit and not one after the other.
    fn place_in_slow_start(&self, now: Millis, key: u64, kin: &BTreeSet<BackendId>) -> Option<BackendId> {
        let ready = || self.servers.iter().filter(|(_, server)| server.ready);
        if ready().any(|(id, server)| kin.contains(id) && !server.in_slow_start(now, &self.settings)) {
            return None;
        }
        let far = |server: &Server| server.info.zone != self.settings.zone;
        let place = ready().min_by_key(|(id, server)| (far(server), place(key ^ id.0, server.size())));
        let (id, server) = place.filter(|(_, server)| server.in_slow_start(now, &self.settings))?;
        server.told(now).is_none_or(|(load, _)| load.max(server.peak) < BUSY).then_some(*id)
    }

    /// The first of the backends that are ready.
    fn next_ready(
        &self,
        now: Millis,
        by_place: bool,
        key: u64,
        kin: &BTreeSet<BackendId>,
    ) -> Option<BackendId> {
        let ready = || self.servers.iter().filter(|(_, server)| server.ready);
        let turn_of = |server: &Server| server.turn.max(self.turn);
        let first = ready().map(|(_, server)| turn_of(server)).fold(f64::INFINITY, f64::min);
        let next = ready().min_by_key(|&(&backend, server)| {
            let turn = turn_of(server);
            let near = (turn - first) * server.weight < NEAR_TURNS
                && server.told(now).is_none_or(|(x0, _)| x0.max(server.peak) < BUSY);
            let place = if by_place { place(key ^ backend.0, server.capacity) } else { 0 };
            let far = server.info.zone != self.settings.zone;
            (!near, near && !kin.contains(&backend), far, place, (turn * 1e6) as u64)
        })?;
        Some(*next.0)
    }

    /// Counts the turn of the backend that is sent to, from the earliest among those that are ready.
    fn take_turn(&mut self, backend: BackendId) -> BackendId {
        let turns =
            self.servers.values().filter(|server| server.ready).map(|server| server.turn.max(self.turn));
        let first = turns.fold(f64::INFINITY, f64::min);
        self.turn = first;
        if let Some(server) = self.servers.get_mut(&backend) {
            server.turn = server.turn.max(first) + 1.0 / server.weight;
        }
        backend
    }

    /// The request has had its one chance: of the backends in slow start none is ready for it any more.
    fn leave_out_slow_start(&mut self, now: Millis) {
        for server in self.servers.values_mut() {
            server.ready &= !server.in_slow_start(now, &self.settings);
        }
    }

    pub(super) fn admit(&mut self, now: Millis, id: RequestId, out: &mut Out) {
        let Some(entry) = self.entries.get(&id) else { return };
        let class = self.settings.class(entry.request.class);
        let left = entry.deadline - now - 2.0 * self.settings.tick_ms;
        let spent = entry.tries >= self.settings.max_attempts.max(1) || left <= 0.0;
        if spent || !may_send(entry, class.effect, now, None) {
            return self.finish(now, id, out);
        }
        let picked = self.pick(now, id);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(backend) = picked else {
            entry.state = State::Waiting;
            let at = (now + FULL_PAUSE_MS / 2.0).min((entry.deadline - 4.0 * self.settings.tick_ms).max(now));
            return out.push(Action::SetTimer { at, id: TimerId(TIMER_REQUESTS + id.0) });
        };
        (entry.state, entry.backend, entry.sent) = (State::Out, Some(backend), now);
        entry.tries += 1;
        entry.tried.push(backend);
        // One that takes work and answers nothing must not cost all the time that a client has, while there
        // is another to try.
        let another = self.servers.iter().any(|(id, s)| s.usable(now) && !entry.tried.contains(id));
        let wait = if another { (left * WAIT_PART).max(WAIT_LEAST_MS).min(left) } else { left };
        self.occupy(id, 1);
        out.push(Action::Attempt { id, backend, timeout_ms: wait });
    }
}

/// Whether a request may be sent to this backend (or at all): what may have run is bound by its class.
pub(super) fn may_send(entry: &Entry, effect: Effect, now: Millis, to: Option<&BackendInfo>) -> bool {
    match (effect, entry.may_have_run) {
        (Effect::Free, _) | (_, None) => true,
        (Effect::SingleShot, _) => false,
        (Effect::Guarded { within, window_ms }, Some((ran, sent))) => {
            now <= sent + window_ms
                && to.is_none_or(|to| match within {
                    RepeatGroup::All => true,
                    RepeatGroup::Zone => to.zone == ran.zone,
                    RepeatGroup::Cell => to.cell == ran.cell,
                })
        }
    }
}
