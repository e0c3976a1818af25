//! Backend selection: weighted round robin among the backends that a request may be sent to.

use super::budget::TARGET_LOAD;
use super::health::{BUSY_LOAD, FULL_PAUSE_MS};
use super::slow_start::warmth_at;
use crate::api::*;
use crate::state::*;
use std::collections::BTreeSet;

/// Upper bound of the load over capacity that one more connection is assumed to add to a backend.
const MAX_CONNECTION_LOAD: f64 = 0.1;
/// Group, zone and key are preferred only among backends that are within this many turns of the next one, and
/// below [`BUSY_LOAD`]. Fewer turns would spread a group over more backends, and each of them carries the
/// group's shared work once more.
const AFFINITY_TURNS: f64 = 8.0;
/// Share of its weight that an overloaded backend keeps, so that requests still show if it has recovered.
const MIN_ROOM: f64 = 0.05;
/// Share of a request's remaining time that one attempt may take while there is another backend to try.
const ATTEMPT_TIME_SHARE: f64 = 0.4;
/// Lower bound of that attempt timeout.
const MIN_ATTEMPT_TIMEOUT_MS: Millis = 250.0;

impl Balancer {
    /// Sets the weights for the coming interval: listed weight times warmed-up share times room left.
    pub(super) fn update_weights(&mut self, now: Millis) {
        let size: f64 = self.backends.values().map(BackendRecord::size).sum();
        let work = self.backends.values().map(|s| s.work).sum::<f64>() / size.max(f64::MIN_POSITIVE);
        for record in self.backends.values_mut() {
            // The older the report of a backend, the more the mean of all backends replaces it.
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
            // A turn scheduled at a small weight must not keep a backend out long after it has recovered, so
            // it is rescaled to the new weight. The random first turn is scaled by weight too, except for a
            // cold backend, whose requests are limited by slow start.
            let known = if record.weight > 0.0 { (record.weight / weight).min(1.0) } else { 1.0 / weight };
            let scale = if record.weight > 0.0 || warmth >= 1.0 { known } else { 1.0 };
            record.next_turn = self.virtual_time + (record.next_turn - self.virtual_time).max(0.0) * scale;
            record.weight = weight;
        }
    }

    /// Selects a backend by weighted round robin in virtual time: the smallest next turn wins, and each turn
    /// lasts 1/weight.
    ///
    /// Among backends within [`AFFINITY_TURNS`] of the next one, those that hold connections of the group are
    /// preferred, then this node's zone, then the group's rendezvous place, which is the same at every node
    /// and follows warm capacity.
    ///
    /// A request gets one random chance to go to a backend in slow start. After that only warm backends are
    /// considered.
    pub(super) fn pick(&mut self, now: Millis, id: RequestId) -> Option<BackendId> {
        let entry = self.entries.get(&id)?;
        let by_key = if self.settings.mode == Mode::PassThrough { entry.request.key } else { None };
        let affinity = entry.request.group.or(by_key);
        let group_backends = self.group_backends(entry.request.group);
        // While no backend is warm a group is not kept together: all of it would wait for one backend in slow
        // start.
        let spread = !self.any_warm(now);
        let key = affinity.filter(|_| !spread).map_or(mix(self.salt ^ id.0), |key| key.0);
        if entry.state == State::Queued {
            self.slow_start.observe_key(key);
        }
        self.slow_start.begin_choice(now, self.settings.overload_span_ms);
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

    /// Marks the backends that the request may be sent to. `careful` leaves out paused backends and those
    /// already tried for this request.
    fn mark_ready(&mut self, now: Millis, id: RequestId, careful: bool) {
        let Some(entry) = self.entries.get(&id) else { return };
        let effect = self.settings.class(entry.request.class).effect;
        for (backend, record) in &mut self.backends {
            record.ready = record.info.phase == Phase::Serving
                && (!careful || now >= record.avoid_until && !entry.tried.contains(backend))
                && may_send(entry, effect, now, Some(&record.info));
        }
    }

    /// Returns the request's rendezvous place among the ready backends, if that backend is in slow start and
    /// not busy.
    ///
    /// Turns and momentary load play no part here, because the chance (see `slow_start`) is calculated from
    /// the rendezvous places. Places follow full size, so that a new backend receives its groups gradually
    /// and not one group after another.
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

    /// Returns the ready backend that comes first by affinity, zone and turn.
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

    /// Advances virtual time to the earliest turn of a ready backend, and schedules this backend's next turn.
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

    /// Clears `ready` for all backends in slow start, once the request has used its one chance.
    fn leave_out_slow_start(&mut self, now: Millis) {
        for record in self.backends.values_mut() {
            record.ready &= !record.in_slow_start(now, &self.settings);
        }
    }

    /// Sends a request to a backend, or schedules a retry if none is available. Finishes the request if it
    /// has no attempts or time left, or may not be repeated.
    pub(super) fn admit(&mut self, now: Millis, id: RequestId, out: &mut Actions) {
        let Some(entry) = self.entries.get(&id) else { return };
        let class = self.settings.class(entry.request.class);
        let left = entry.deadline - now - 2.0 * self.settings.tick_ms;
        let spent = entry.attempts >= self.settings.max_attempts.max(1) || left <= 0.0;
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
        // A backend that accepts work without answering must not use up the client's whole deadline while
        // another backend can be tried.
        let another = self.backends.iter().any(|(id, s)| s.usable(now) && !entry.tried.contains(id));
        let wait =
            if another { (left * ATTEMPT_TIME_SHARE).max(MIN_ATTEMPT_TIMEOUT_MS).min(left) } else { left };
        self.account_connection(id, 1);
        out.push(Action::Attempt { id, backend, timeout_ms: wait });
    }
}

/// Returns whether a request may be sent to this backend, or to any if `to` is `None`. Once an attempt may
/// have run, the repeat rules of the request's class apply.
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
