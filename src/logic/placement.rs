//! Which backend a request is sent to, by weighted round robin among those that may be sent to.

use super::budget::TARGET_LOAD;
use super::health::{BUSY_LOAD, FULL_PAUSE_MS};
use super::slow_start::warmth_at;
use crate::api::*;
use crate::state::*;
use std::collections::BTreeSet;

/// Most load over capacity that one connection is taken to bring.
const MAX_CONNECTION_LOAD: f64 = 0.1;
/// Group and zone preference act among backends so many turns early and under this load over capacity. No
/// closer: each backend over which a group is spread carries the group's work once more.
const AFFINITY_TURNS: f64 = 8.0;
/// A loaded backend keeps this part of its weight: so it still shows whether it has recovered.
const MIN_ROOM: f64 = 0.05;
/// Part of the time left that one attempt may take, and the least such time.
const ATTEMPT_TIME_SHARE: f64 = 0.4;
const MIN_ATTEMPT_TIMEOUT_MS: Millis = 250.0;

impl Balancer {
    /// Weights for the coming interval: listed weight, part warmed up, room left.
    pub(super) fn update_weights(&mut self, now: Millis) {
        let size: f64 = self.backends.values().map(BackendRecord::size).sum();
        let work = self.backends.values().map(|s| s.work).sum::<f64>() / size.max(f64::MIN_POSITIVE);
        for record in self.backends.values_mut() {
            // Stale word of one backend fades into the mean of all.
            let room = match (record.load_estimate(now), self.mean_load) {
                (Some((load, fresh)), Some(mean)) => 1.0 - (mean + (load - mean) * fresh),
                (Some((load, _)), None) | (None, Some(load)) => 1.0 - load,
                (None, None) if work > 0.0 => 1.0 - record.work / record.size() / work / 2.0,
                (None, None) => 1.0,
            };
            let room = room.min(1.0 - record.peak_load);
            let warmth = warmth_at(record.age.at(now), &self.settings);
            record.capacity = record.size() * warmth;
            record.connection_load =
                (TARGET_LOAD / (self.capacity_per_weight * record.capacity)).clamp(0.0, MAX_CONNECTION_LOAD);
            let weight = (record.capacity * room.max(MIN_ROOM)).max(1e-9);
            // A turn taken at a small weight must not keep a backend out long after it has recovered. The
            // first is drawn by weight too; that of a cold backend is held by the gate.
            let known = if record.weight > 0.0 { (record.weight / weight).min(1.0) } else { 1.0 / weight };
            let scale = if record.weight > 0.0 || warmth >= 1.0 { known } else { 1.0 };
            record.next_turn = self.virtual_time + (record.next_turn - self.virtual_time).max(0.0) * scale;
            record.weight = weight;
        }
    }

    /// Weighted round robin by virtual time: the smallest turn is next and each turn lasts 1/weight. Among
    /// backends some turns early, those that hold some of the group come first; then the own zone, then the
    /// group's own place, the same at every gateway and in proportion to warm size.
    ///
    /// A backend in slow start gets the request only by the one chance that it has there; without it a warm one is chosen.
    pub(super) fn pick(&mut self, now: Millis, id: RequestId) -> Option<BackendId> {
        let entry = self.entries.get(&id)?;
        let by_key = if self.settings.mode == Mode::Pass { entry.request.key } else { None };
        let affinity = entry.request.group.or(by_key);
        let group_backends = self.group_backends(entry.request.group);
        // A group has no one place where none is warm: all of it would wait for one backend in slow start.
        let spread = !self.any_warm(now);
        let key = affinity.filter(|_| !spread).map_or(mix(self.salt ^ id.0), |key| key.0);
        if entry.state == State::Queued {
            self.slow_start.observe_key(key);
        }
        self.slow_start.begin_choice(now, self.settings.fall_ms);
        let mut chance_left = true;
        for careful in [true, false] {
            self.mark_ready(now, id, careful);
            let cold = self
                .place_in_slow_start(now, key, &group_backends)
                .filter(|_| std::mem::take(&mut chance_left));
            if let Some(cold) = cold
                && draw(&mut self.rng) < self.slow_start_chance(now, cold)
            {
                return Some(self.take_turn(cold));
            }
            self.leave_out_slow_start(now);
            if let Some(backend) = self.next_ready(now, affinity.is_some(), key, &group_backends) {
                return Some(self.take_turn(backend));
            }
        }
        None
    }

    /// Marks the backends that the request may be sent to; `careful` leaves out those in a pause, and those tried.
    fn mark_ready(&mut self, now: Millis, id: RequestId, careful: bool) {
        let Some(entry) = self.entries.get(&id) else { return };
        let effect = self.settings.class(entry.request.class).effect;
        for (backend, record) in &mut self.backends {
            record.ready = record.info.phase == Phase::Serving
                && (!careful || now >= record.avoid_until && !entry.tried.contains(backend))
                && may_send(entry, effect, now, Some(&record.info));
        }
    }

    /// The backend in slow start that is the request's place among those that are ready, if it has its place at one. What a node
    /// prefers for the moment, by turns or load, must not lead there: the chance counts on places. They are by full size, so that a
    /// newcomer gets its groups bit by bit and not one after the other.
    fn place_in_slow_start(
        &self,
        now: Millis,
        key: u64,
        group_backends: &BTreeSet<BackendId>,
    ) -> Option<BackendId> {
        let ready = || self.backends.iter().filter(|(_, record)| record.ready);
        if ready()
            .any(|(id, record)| group_backends.contains(id) && !record.in_slow_start(now, &self.settings))
        {
            return None;
        }
        let other_zone = |record: &BackendRecord| record.info.zone != self.settings.zone;
        let place = ready().min_by_key(|(id, record)| (other_zone(record), place(key ^ id.0, record.size())));
        let (id, record) = place.filter(|(_, record)| record.in_slow_start(now, &self.settings))?;
        record
            .load_estimate(now)
            .is_none_or(|(load, _)| load.max(record.peak_load) < BUSY_LOAD)
            .then_some(*id)
    }

    /// The first of the backends that are ready.
    fn next_ready(
        &self,
        now: Millis,
        by_place: bool,
        key: u64,
        group_backends: &BTreeSet<BackendId>,
    ) -> Option<BackendId> {
        let ready = || self.backends.iter().filter(|(_, record)| record.ready);
        let turn_of = |record: &BackendRecord| record.next_turn.max(self.virtual_time);
        let first = ready().map(|(_, record)| turn_of(record)).fold(f64::INFINITY, f64::min);
        let next = ready().min_by_key(|&(&backend, record)| {
            let turn = turn_of(record);
            let near = (turn - first) * record.weight < AFFINITY_TURNS
                && record.load_estimate(now).is_none_or(|(x0, _)| x0.max(record.peak_load) < BUSY_LOAD);
            let place = if by_place { place(key ^ backend.0, record.capacity) } else { 0 };
            let other_zone = record.info.zone != self.settings.zone;
            (!near, near && !group_backends.contains(&backend), other_zone, place, (turn * 1e6) as u64)
        })?;
        Some(*next.0)
    }

    /// Counts the turn of the backend that is sent to, from the earliest among those that are ready.
    fn take_turn(&mut self, backend: BackendId) -> BackendId {
        let turns = self
            .backends
            .values()
            .filter(|record| record.ready)
            .map(|record| record.next_turn.max(self.virtual_time));
        let first = turns.fold(f64::INFINITY, f64::min);
        self.virtual_time = first;
        if let Some(record) = self.backends.get_mut(&backend) {
            record.next_turn = record.next_turn.max(first) + 1.0 / record.weight;
        }
        backend
    }

    /// The request has had its one chance: of the backends in slow start none is ready for it any more.
    fn leave_out_slow_start(&mut self, now: Millis) {
        for record in self.backends.values_mut() {
            record.ready &= !record.in_slow_start(now, &self.settings);
        }
    }

    pub(super) fn admit(&mut self, now: Millis, id: RequestId, out: &mut Actions) {
        let Some(entry) = self.entries.get(&id) else { return };
        let class = self.settings.class(entry.request.class);
        let left = entry.deadline - now - 2.0 * self.settings.tick_ms;
        let spent = entry.attempts >= self.settings.most_tries.max(1) || left <= 0.0;
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
        (entry.state, entry.backend, entry.sent_at) = (State::InFlight, Some(backend), now);
        entry.attempts += 1;
        entry.tried.push(backend);
        // One that takes work and answers nothing must not cost all the time that a client has, while there
        // is another to try.
        let another = self.backends.iter().any(|(id, s)| s.usable(now) && !entry.tried.contains(id));
        let wait =
            if another { (left * ATTEMPT_TIME_SHARE).max(MIN_ATTEMPT_TIMEOUT_MS).min(left) } else { left };
        self.account_connection(id, 1);
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
