//! Which backend a request is sent to, by weighted round robin among those that may be sent to.

use super::budget::TARGET;
use super::health::{BUSY, FULL_PAUSE_MS};
use super::slow_start::warmth_at;
use crate::api::*;
use crate::state::*;

/// Most load over capacity that one connection is taken to bring.
const UNIT_MOST: f64 = 0.1;
/// Group and zone preference act among backends so many turns early and under this load over capacity. No
/// closer: each backend over which a group is spread carries the group's work once more.
const NEAR_TURNS: f64 = 8.0;
/// A loaded backend keeps this part of its weight: so it still shows whether it has recovered.
const LEAST_ROOM: f64 = 0.05;
/// Where the settings tell no rate, the placements in a span are so many at least: one is at hand.
const LEAST_SENDS: f64 = 2.0;
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
            let warmth = warmth_at(now - server.cold_from, &self.settings);
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
    pub(super) fn pick(&mut self, now: Millis, id: RequestId) -> Option<BackendId> {
        let entry = self.entries.get(&id)?;
        let effect = self.settings.class(entry.request.class).effect;
        let by_key = if self.settings.mode == Mode::Pass { entry.request.key } else { None };
        let affinity = entry.request.group.or(by_key);
        let kin = self.kin(entry.request.group);
        // A cold backend's part of the usual intake: drawn for each request of a place, else for each span.
        let (span, window) = (self.settings.fall_ms, self.window());
        let usual = self.settings.rate_part().map(|rate| rate * span);
        let usual = usual.unwrap_or((self.intake * self.listed_weight * span).max(LEAST_SENDS));
        let comes = (1.0 + self.recent.at(now, window)) * span / window;
        let comes = comes * self.same_group(entry.request.group).min(self.servers.len() as f64);
        let allowed = self.settings.overload_factor * usual / affinity.map_or(self.listed_weight, |_| comes);
        let drawn = affinity.map_or(0, |_| mix(id.0)) ^ self.salt ^ (now / span.max(1.0)) as u64;
        let mut first = f64::INFINITY;
        for careful in [true, false] {
            for (backend, server) in &mut self.servers {
                server.ready = server.info.phase == Phase::Serving
                    && (!careful || now >= server.avoid_until && !entry.tried.contains(backend))
                    && may_send(entry, effect, now, Some(&server.info))
                    && server.gate(now, &self.settings, allowed, affinity.is_some(), mix(drawn ^ backend.0));
                if server.ready {
                    first = first.min(server.turn.max(self.turn));
                }
            }
            if first.is_finite() {
                break;
            }
        }
        let ready = self.servers.iter_mut().filter(|(_, server)| server.ready);
        let (&backend, server) = ready.min_by_key(|&(&backend, ref server)| {
            let turn = server.turn.max(self.turn);
            let near = (turn - first) * server.weight < NEAR_TURNS
                && server.told(now).is_none_or(|(x0, _)| x0.max(server.peak) < BUSY);
            let place = affinity.map_or(0, |key| place(key.0 ^ backend.0, server.capacity));
            let far = server.info.zone != self.settings.zone;
            (!near, near && !kin.contains(&backend), far, place, (turn * 1e6) as u64)
        })?;
        self.turn = first;
        server.turn = server.turn.max(first) + 1.0 / server.weight;
        server.gate_ends = now + span / (allowed * server.capacity).max(1.0);
        Some(backend)
    }

    pub(super) fn admit(&mut self, now: Millis, id: RequestId, out: &mut Out) {
        let Some(entry) = self.entries.get(&id) else { return };
        let class = self.settings.class(entry.request.class);
        let left = entry.deadline - now - 2.0 * self.settings.tick_ms;
        let spent = entry.tries >= self.settings.most_tries.max(1) || left <= 0.0;
        if spent || !may_send(entry, class.effect, now, None) {
            return self.finish(now, id, out);
        }
        let (picked, window) = (self.pick(now, id), self.window());
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(backend) = picked else {
            entry.state = State::Waiting;
            let at = (now + FULL_PAUSE_MS / 2.0).min((entry.deadline - 4.0 * self.settings.tick_ms).max(now));
            return out.push(Action::SetTimer { at, id: TimerId(TIMER_REQUESTS + id.0) });
        };
        (entry.state, entry.backend, entry.sent) = (State::Out, Some(backend), now);
        entry.tries += 1;
        self.recent.add(now, window);
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
