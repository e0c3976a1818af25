//! The decision module (interface: `src/api.rs`). A request joins its tenant's queue, leaves under its limit
//! after the pacing delay, and weighted round robin names its backend; `docs/design.md` tells the rest.
use crate::api::*;
pub use crate::state::Balancer;
use crate::state::*;
use std::collections::BTreeMap;

// Budgets, limits and weights are recomputed this often: short against the life of a connection.
const INTERVAL_MS: Millis = 500.0;
/// Forecast: part of the newest change in the smoothed ones, and the paper's cushion in mean rises.
const SMOOTHING: f64 = 0.3;
const CUSHION: f64 = 5.0 / 3.0;
/// A tenant heard of within this time keeps its guarantee.
const RECENT_MS: Millis = 10_000.0;
/// Load over capacity that budgets aim at: messages are late before a backend is full.
const TARGET: f64 = 0.9;
/// Pacing a and b: delay of one unit of load when one budget over budget, and when that has lasted a second.
const PACE_A_MS: Millis = 200.0;
const PACE_B_MS: Millis = 100.0;
/// The integral E stays within this many budget-seconds, so that it can't wind up.
const EXCESS_MOST: f64 = 2.0;
/// Part by which trouble on every backend at once puts the capacity under what is carried now.
const BACK_OFF: f64 = 0.1;
/// Part in trouble from which there is a shortage, and part still calm under which the excess must leave.
const SPREAD: f64 = 0.3;
const SHORT: f64 = 0.3;
/// Learned capacity creeps back by this part a second.
const CREEP: f64 = 0.05;
/// Part of the gap to the claimed capacity taken each interval, up and down: many gateways read one report.
const CLAIM_UP: f64 = 0.1;
const CLAIM_DOWN: f64 = 0.4;
/// The part taken upwards while so much of the capacity heard from shows no trouble.
const CLAIM_UP_CALM: f64 = 0.35;
const CALM: f64 = 0.7;
/// For so long its equal part is what a newcomer has: by then the clients of the process before it have come.
const NEWCOMER_MS: Millis = 10_000.0;
/// A report counts for 1/e of a fresh one after this; a note on message delay is void after the second.
const REPORT_FADE_MS: Millis = 5_000.0;
const NOTE_LASTS_MS: Millis = 2_500.0;
/// Group and zone preference act among backends so many turns early and under this load over capacity. No
/// closer: each backend over which a group is spread carries the group's work once more.
const NEAR_TURNS: f64 = 8.0;
const BUSY: f64 = 0.85;
/// Relief goes down to this load: what has piled up must be worked off as well.
const RELIEVED: f64 = 0.75;
/// While the mean load that reports tell is under this, trouble is no shortage: the limit is not lowered.
const ROOMY: f64 = 0.65;
/// Part by which a trouble counts less each interval: what troubles a backend comes and goes.
const PEAK_FADE: f64 = 0.06;
/// Most load over capacity that one connection is taken to bring.
const UNIT_MOST: f64 = 0.1;
/// A loaded backend keeps this part of its weight: so it still shows whether it has recovered.
const LEAST_ROOM: f64 = 0.05;
/// First pause after failed connects or lost connections (it doubles), and after a refusal or an error.
const AVOID_MS: Millis = 1_000.0;
const FULL_PAUSE_MS: Millis = 200.0;
/// Where the settings tell no rate, the placements in a span are so many at least: one is at hand.
const LEAST_SENDS: f64 = 2.0;
/// A request that so many backends answer with an error is itself at fault.
const ERRORS_MOST: usize = 3;
/// Part of the time left that one attempt may take, and the least such time.
const WAIT_PART: f64 = 0.4;
const WAIT_LEAST_MS: Millis = 250.0;
/// Points of the result worth spending on probes, and most probes for a request where they cost nothing.
const PROBE_SPEND: f64 = 0.005;
const PROBES_MOST: f64 = 5.0;

/// First pause after a failed discovery call, doubled by each further one, and the most: changes count as
/// told 6 s on. A watch may have broken for all: they ask anew as spread out as at the start.
const ASK_BACKOFF_MS: Millis = 1_000.0;
const ASK_MOST_MS: Millis = 2_000.0;

impl Balancer {
    /// A gateway that knows nothing yet; `seed` feeds its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let class_work = vec![0.0; settings.classes.len()];
        Balancer {
            settings,
            rng: seed,
            salt: mix(seed),
            class_work,
            ask_backoff: ASK_BACKOFF_MS,
            ..Default::default()
        }
    }

    /// Takes one event at clock time `now` and appends what the relay is to do.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        if self.started.is_none() {
            self.start(now, out);
        }
        match event {
            Event::Backends { scope, entries } => self.listed(now, scope, entries, out),
            Event::DiscoveryFailed => self.discovery_failed(now, out),
            Event::Request(request) => self.arrived(now, request, out),
            Event::Adopted { request, backend } => self.adopted(now, request, backend),
            Event::Established { id, .. } => self.established(now, id),
            Event::Ended { id, backend, outcome, closed, report, .. } => {
                self.reported(now, backend, report);
                self.ended(now, id, backend, outcome, closed, out)
            }
            Event::ProbeEnded { backend, outcome, report } => {
                self.reported(now, backend, report);
                self.judge(now, backend, outcome, false)
            }
            Event::Departed { id } => self.departed(id, out),
            Event::LoadChanged { id, load } => self.load_changed(id, load),
            Event::MessageDelay { backend, took_ms } => self.message_delay(now, backend, took_ms),
            Event::PeerMessage { .. } => {}
            Event::Sharing(nodes) => self.settings.balancers = nodes,
            Event::Ending { by } => self.hasten(by, out),
            Event::Timer(TimerId(TIMER_INTERVAL)) => self.interval(now, out),
            Event::Timer(TimerId(TIMER_PROBE)) => self.probe(now, out),
            Event::Timer(TimerId(TIMER_DISCOVERY)) => self.ask(now, out),
            Event::Timer(id) => self.held_timer(now, id, out),
        }
    }

    fn start(&mut self, now: Millis, out: &mut Out) {
        self.started = Some(now);
        let mut timer = |wait: f64, id| out.push(Action::SetTimer { at: now + wait, id: TimerId(id) });
        timer(draw(&mut self.rng) * INTERVAL_MS, TIMER_INTERVAL);
        if self.settings.probing && self.settings.reports {
            timer(draw(&mut self.rng) * 1_000.0, TIMER_PROBE);
        }
        if self.settings.discovery_on_request {
            // All gateways may have started together: their first calls are spread out.
            timer(draw(&mut self.rng) * self.settings.first_ask_ms(), TIMER_DISCOVERY);
        }
    }

    // ---- Forecast ----

    fn interval(&mut self, now: Millis, out: &mut Out) {
        out.push(Action::SetTimer { at: now + INTERVAL_MS, id: TimerId(TIMER_INTERVAL) });
        for share in self.tenants.values_mut() {
            let queued = share.queue.iter().filter_map(|id| self.entries.get(id));
            let demand = share.load + queued.map(|e| e.request.load()).sum::<f64>() + share.refused;
            share.refused = 0.0;
            let change = demand - std::mem::replace(&mut share.last, demand);
            share.drift += (change - share.drift) * SMOOTHING;
            share.spread += (change.max(0.0) - share.spread) * SMOOTHING;
            share.forecast = (demand + share.drift + CUSHION * share.spread).max(0.0);
            share.seen = if demand > 0.0 { now } else { share.seen };
        }
        self.learn(now);
        self.weigh(now);
        self.budget(now);
        self.relieve(now, out);
        self.release_all(now, out);
    }

    // ---- Budget ----

    /// Guarantees first, spare capacity by priority up to the forecasts, what is left in equal parts; a
    /// contract states a tenant's guarantee and priority, and a maximum that holds at every step.
    fn budget(&mut self, now: Millis) {
        let mut spare = self.per_weight * self.usable_weight(now);
        let mut recent: Vec<&mut Share> =
            self.tenants.values_mut().filter(|share| now - share.seen <= RECENT_MS).collect();
        let (count, part) = (recent.len() as f64, spare / recent.len() as f64);
        for share in &mut recent {
            let guarantee = share.contract.map_or(part, |contract| contract.guarantee);
            share.budget = share.forecast.min(guarantee).min(share.maximum());
            spare -= share.budget;
        }
        recent.sort_by(|a, b| b.priority.total_cmp(&a.priority));
        for equals in recent.chunk_by_mut(|a, b| a.priority == b.priority) {
            let wanted: f64 = equals.iter().map(|share| share.wanted()).sum();
            let part = if wanted > spare { (spare / wanted).max(0.0) } else { 1.0 };
            for share in equals {
                share.budget += share.wanted() * part;
            }
            spare -= wanted * part;
        }
        // Those near their maximum first: what they can't take is for the others.
        recent.sort_by(|a, b| (a.maximum() - a.budget).total_cmp(&(b.maximum() - b.budget)));
        let (mut spare, mut count) = (spare.max(0.0), count);
        for share in recent {
            let room = share.maximum() - share.budget;
            if room < spare / count {
                (spare, count) = (spare - room, count - 1.0);
                share.budget = share.maximum();
            } else {
                share.budget += spare / count;
            }
            let over = (share.load - share.budget) / share.budget.max(1.0) * INTERVAL_MS / 1_000.0;
            share.excess = (share.excess + over).clamp(0.0, EXCESS_MOST);
        }
    }

    /// Learned capacity: from reports a claim in proportion to what this gateway has open, else from trouble.
    fn learn(&mut self, now: Millis) {
        let weight = self.usable_weight(now).max(f64::MIN_POSITIVE);
        let (mut heard, mut trouble, mut pressure) = (f64::MIN_POSITIVE, 0.0, 0.0);
        for server in self.servers.values_mut().filter(|s| s.usable(now)) {
            server.resets = 0;
            // One that holds none of this gateway's connections can't show trouble: that is no health.
            let load = server.told(now).map_or(0.0, |(load, _)| load);
            let troubled = std::mem::take(&mut server.strained);
            let peak = server.peak * (1.0 - PEAK_FADE);
            server.peak = if troubled { peak.max(load).max(1.0) } else { peak };
            let strained = troubled || load > BUSY;
            if strained || server.open > 0 {
                heard += server.capacity;
            }
            if strained {
                (trouble, pressure) =
                    (trouble + server.capacity, pressure + server.capacity * load.max(TARGET));
            }
        }
        let new = !self.settled && self.started.is_some_and(|at| now - at < NEWCOMER_MS);
        let least = if new { self.settings.quota_part() } else { 0.0 };
        let open = self.tenants.values().map(|share| share.load).sum::<f64>().max(least);
        let told = self.mean_report(now, REPORT_FADE_MS);
        self.mean_load = told.map(|(mean, _)| mean);
        if let Some((mean, fresh)) = told {
            let own = open.max(self.settings.quota_part() / 4.0);
            let claim = own / weight * TARGET / mean.max(0.05);
            // Clients that broke off and come again are no loss of capacity.
            let down = if mean < ROOMY { 0.0 } else { CLAIM_DOWN };
            // Clients of a gateway that has ended come all at once: without trouble they need not wait long.
            let up = if self.calm > CALM { CLAIM_UP_CALM } else { CLAIM_UP };
            let step = if claim > self.per_weight { up } else { down };
            self.per_weight += (claim - self.per_weight) * step * fresh;
        } else {
            self.per_weight *= 1.0 + CREEP * INTERVAL_MS / 1_000.0;
        }
        // Trouble on many backends is a shortage; on a few it is for the weights to answer.
        self.calm = 1.0 - trouble / heard;
        if self.calm < 1.0 - SPREAD && self.mean_load.is_none_or(|mean| mean > ROOMY) {
            let back = if self.calm < SHORT {
                TARGET * trouble / pressure
            } else {
                1.0 - BACK_OFF * (1.0 - self.calm)
            };
            self.per_weight = self.per_weight.min(open / weight * back);
        }
        self.rate(now, weight, INTERVAL_MS, self.calm < 1.0 - SPREAD);
    }

    // ---- Limit ----

    fn arrived(&mut self, now: Millis, request: Request, out: &mut Out) {
        let grace = if request.grace_ms.is_finite() { request.grace_ms.max(0.0) } else { 0.0 };
        let new = !self.tenants.contains_key(&request.tenant);
        self.enter(now, request, now + grace);
        if new {
            self.budget(now);
        }
        if request.mid_flow {
            return self.admit(now, request.id, out);
        }
        if let Some(share) = self.tenants.get_mut(&request.tenant) {
            share.queue.push_back(request.id);
        }
        self.release(now, request.tenant, out);
        if let Some(entry) = self.entries.get(&request.id).filter(|e| e.state == State::Held) {
            let id = TimerId(TIMER_REQUESTS + request.id.0);
            out.push(Action::SetTimer { at: entry.give_up.max(now), id });
        }
    }

    fn enter(&mut self, now: Millis, request: Request, deadline: Millis) {
        let (class, request) = (self.settings.class(request.class), self.in_usual(request));
        let share = self.tenants.entry(request.tenant).or_default();
        (share.seen, share.contract) = (now, self.settings.contract(request.tenant));
        share.priority = share.contract.map_or(share.priority.max(class.worth), |contract| contract.priority);
        let least = if share.least_load > 0.0 { share.least_load } else { f64::INFINITY };
        share.least_load = least.min(request.load());
        let give_up = deadline - 4.0 * self.settings.tick_ms; // batches come once a tick
        self.entries.insert(request.id, Entry { request, deadline, give_up, ..Entry::default() });
    }

    // ---- Pacing ----

    fn release_all(&mut self, now: Millis, out: &mut Out) {
        let tenants: Vec<TenantId> = self.tenants.keys().copied().collect();
        tenants.into_iter().for_each(|tenant| self.release(now, tenant, out));
    }

    /// Lets queued requests go while the tenant is under its limit (budget over minimum rate, rounded, at
    /// least one); the first in the queue waits a(S-B)+bE while S exceeds B.
    fn release(&mut self, now: Millis, tenant: TenantId, out: &mut Out) {
        while let Some(share) = self.tenants.get_mut(&tenant) {
            let Some(&id) = share.queue.front() else { return };
            let Some(entry) = self.entries.get_mut(&id) else {
                share.queue.pop_front();
                continue;
            };
            let limit = (share.budget / share.least_load).round().max(1.0);
            if f64::from(share.open) >= limit {
                return;
            }
            if share.load > share.budget {
                let over = (share.load - share.budget) / share.budget.max(1.0);
                let delay = (PACE_A_MS * over + PACE_B_MS * share.excess) * entry.request.load();
                let at = *entry.release_at.get_or_insert_with(|| {
                    out.push(Action::SetTimer { at: now + delay, id: TimerId(TIMER_REQUESTS + id.0) });
                    now + delay
                });
                if now < at {
                    return;
                }
            }
            share.queue.pop_front();
            self.admit(now, id, out);
        }
    }

    fn held_timer(&mut self, now: Millis, timer: TimerId, out: &mut Out) {
        let id = RequestId(timer.0.wrapping_sub(TIMER_REQUESTS));
        match self.entries.get(&id).map(|entry| (entry.state, entry.request.tenant)) {
            Some((State::Held, tenant)) => self.release(now, tenant, out),
            Some((State::Waiting, _)) => self.admit(now, id, out),
            _ => return,
        }
        if self.entries.get(&id).is_some_and(|e| e.state < State::Out && now >= e.give_up) {
            self.finish(now, id, out);
        }
    }

    // ---- Placement ----

    /// Weights for the coming interval: listed weight, part warmed up, room left.
    fn weigh(&mut self, now: Millis) {
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
    fn pick(&mut self, now: Millis, id: RequestId) -> Option<BackendId> {
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

    fn admit(&mut self, now: Millis, id: RequestId, out: &mut Out) {
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

    /// The paper slows what is open when over budget. A connection here can't be slowed: while a backend
    /// is asked for more than it can do, each gateway moves its part of the excess, the least worth first.
    fn relieve(&mut self, now: Millis, out: &mut Out) {
        // With room elsewhere clients move there; in a shortage they leave, and the budget keeps others out.
        let part = if self.calm < SHORT { 1.0 } else { self.calm };
        let mut most: BTreeMap<BackendId, u32> = BTreeMap::new();
        for (&backend, server) in &mut self.servers {
            // A late report would have the same excess moved again and again; a note is of this moment.
            let told = if self.settings.tells_delay { server.noted(now) } else { server.told(now) };
            let Some((x0, fresh)) = told else { continue };
            if x0 > 1.0 && fresh > 0.6 && now - server.moved_at > NOTE_LASTS_MS && server.open > 0 {
                let part = (x0 - RELIEVED) / x0 * part * f64::from(server.open);
                most.insert(backend, (part + draw(&mut self.rng)).floor() as u32);
                server.moved_at = now;
            }
        }
        // With room elsewhere those gain most by a move that are worth most, and the heavy ones relieve most.
        let roomy = self.mean_load.is_some_and(|mean| mean < ROOMY);
        let value = |e: &Entry| {
            let (worth, work) = (self.settings.class(e.request.class).worth, e.work.max(1.0));
            if roomy { -worth * work } else { worth / work }
        };
        let mut movable: Vec<_> =
            self.open_on(&most).into_iter().map(|(id, e, b)| (value(e), id, b)).collect();
        movable.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id, backend) in movable {
            if let Some(left @ 1..) = most.get_mut(&backend) {
                *left -= 1;
                out.push(Action::Move { id });
            }
        }
    }

    // ---- Backend health and cold ramp ----

    /// Notes come while messages take over a third of the shortest aim: that is load near or over capacity.
    fn message_delay(&mut self, now: Millis, backend: BackendId, took_ms: Millis) {
        let late = took_ms / self.settings.shortest_message_aim();
        if let Some(server) = self.servers.get_mut(&backend).filter(|_| late.is_finite()) {
            server.strained |= late > 0.5;
            server.delay = (late > 1.0 / 3.0).then_some(((0.8 + late / 4.0).min(1.5), now));
        }
    }

    fn judge(&mut self, now: Millis, backend: BackendId, outcome: Outcome, stood: bool) {
        let jitter = 0.75 + draw(&mut self.rng) / 2.0;
        let Some(server) = self.servers.get_mut(&backend) else { return };
        use Outcome::{Error, Full, Reset, TimedOut};
        server.strained |= matches!(outcome, Full | Error | Reset | TimedOut);
        match outcome {
            Outcome::Ok => server.alive(now),
            // One that times out takes work and answers nothing; a probe that is answered brings it back.
            Error | TimedOut => server.lost(now, jitter),
            Outcome::Full => {
                server.avoid_until = server.avoid_until.max(now + FULL_PAUSE_MS * jitter);
            }
            Outcome::Unreachable => {
                server.absent += 1;
                server.lost(now, jitter)
            }
            Outcome::Reset if stood => {
                server.resets += 1;
                // Most of what it held broke at once: the process died, whatever the list still says.
                if server.resets >= 2 && server.resets >= server.open {
                    server.lost(now, jitter);
                }
            }
            _ => {}
        }
    }

    fn probe(&mut self, now: Millis, out: &mut Out) {
        if let Some(backend) = self.serving_after(self.next_probe) {
            self.next_probe = backend;
            out.push(Action::Probe { backend });
        }
        let price = self.settings.probe_price.max(PROBE_SPEND / PROBES_MOST);
        let rate = (self.place_rate * PROBE_SPEND / price).clamp(0.000_2, 0.2);
        out.push(Action::SetTimer { at: now + (0.5 + draw(&mut self.rng)) / rate, id: TimerId(TIMER_PROBE) });
    }

    // ---- Discovery ----

    fn listed(&mut self, now: Millis, scope: ListScope, entries: Vec<BackendInfo>, out: &mut Out) {
        if scope != ListScope::Stale {
            (self.subscribed, self.ask_backoff) = (true, ASK_BACKOFF_MS);
        }
        self.merge(scope, entries);
        self.weigh(now);
        let weight = self.usable_weight(now);
        if self.per_weight == 0.0 && weight > 0.0 {
            let quota = self.settings.quota_part();
            self.per_weight = if quota > 0.0 { 2.0 * quota } else { 1e6 } / weight;
        }
        self.budget(now);
        self.release_all(now, out);
    }

    fn discovery_failed(&mut self, now: Millis, out: &mut Out) {
        let (drawn, broke) = (draw(&mut self.rng), std::mem::take(&mut self.subscribed));
        let spread = self.settings.first_ask_ms().min(ASK_MOST_MS);
        self.next_ask = now + if broke { spread * drawn } else { self.ask_backoff * (0.5 + drawn) };
        self.ask_backoff = (self.ask_backoff * if broke { 1.0 } else { 2.0 }).min(ASK_MOST_MS);
        out.push(Action::SetTimer { at: self.next_ask, id: TimerId(TIMER_DISCOVERY) });
    }

    fn ask(&mut self, now: Millis, out: &mut Out) {
        if !self.subscribed && now >= self.next_ask {
            out.push(Action::Subscribe { on: true });
            self.next_ask = now + self.settings.ask_within_ms / 2.0;
            out.push(Action::SetTimer { at: self.next_ask, id: TimerId(TIMER_DISCOVERY) });
        }
    }

    // ---- Request lifecycle ----

    fn adopted(&mut self, now: Millis, request: Request, backend: BackendId) {
        self.settled = true; // no newcomer: it holds what is its own
        self.enter(now, request, f64::INFINITY);
        if let Some(entry) = self.entries.get_mut(&request.id) {
            (entry.state, entry.backend, entry.tries) = (State::Open, Some(backend), 1);
        }
        self.occupy(request.id, 1);
    }

    fn established(&mut self, now: Millis, id: RequestId) {
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.state == State::Out) else { return };
        entry.state = State::Open;
        let erred = std::mem::take(&mut entry.erred);
        self.placed += 1.0; // attempts that fail say nothing of what a backend can take
        let backend = entry.backend.and_then(|b| self.servers.get_mut(&b));
        backend.into_iter().for_each(|server| server.alive(now));
        // What one backend serves and another answers with an error is that other's fault.
        erred.into_iter().for_each(|backend| self.judge(now, backend, Outcome::Error, false));
    }

    fn ended(&mut self, now: Millis, id: RequestId, at: BackendId, how: Outcome, over: bool, out: &mut Out) {
        let Some(entry) = self.entries.get(&id).filter(|e| e.state >= State::Out) else { return };
        let (tenant, left, stood) = (entry.request.tenant, entry.left, entry.state == State::Open);
        self.occupy(id, -1);
        // An error may be the request's own fault: nobody is blamed until another backend serves it.
        let error = how == Outcome::Error && !stood;
        if !error {
            self.judge(now, at, how, stood);
        }
        let info = self.servers.get(&at).map(|s| s.info);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.backend = None;
        entry.erred.extend(error.then_some(at));
        let hopeless = entry.erred.len() >= ERRORS_MOST;
        if !matches!(how, Outcome::Full | Outcome::Unreachable | Outcome::NotSent) {
            entry.may_have_run = entry.may_have_run.or(info.map(|info| (info, entry.sent)));
        }
        if over || left {
            self.entries.remove(&id);
        } else if hopeless {
            self.finish(now, id, out);
        } else {
            self.admit(now, id, out);
        }
        self.release(now, tenant, out);
    }

    fn departed(&mut self, id: RequestId, out: &mut Out) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.left = true;
        if entry.state < State::Out {
            self.entries.remove(&id); // its queue drops ids without an entry when their turn comes
        } else if entry.state == State::Out && self.settings.cancel {
            out.push(Action::CancelAttempt { id, attempt: entry.tries.saturating_sub(1) });
        }
    }

    /// The final answer for a request that is not out: refused where that is harmless, else failed.
    fn finish(&mut self, now: Millis, id: RequestId, out: &mut Out) {
        let Some(entry) = self.entries.remove(&id) else { return };
        let effect = self.settings.class(entry.request.class).effect;
        let harmless = entry.may_have_run.is_none()
            || matches!(effect, Effect::Free | Effect::Guarded { within: RepeatGroup::All, .. });
        if let Some(share) = self.tenants.get_mut(&entry.request.tenant) {
            (share.refused, share.seen) = (share.refused + entry.request.load(), now);
        }
        let retry_after_ms = self.settings.max_retry_after_ms * (0.2 + 0.8 * draw(&mut self.rng));
        out.push(if harmless { Action::Refuse { id, retry_after_ms } } else { Action::Fail { id } });
    }
}

impl Share {
    fn maximum(&self) -> f64 {
        self.contract.map_or(f64::INFINITY, |contract| contract.maximum)
    }

    /// What the forecast still wants on top of the budget.
    fn wanted(&self) -> f64 {
        self.forecast.min(self.maximum()) - self.budget
    }
}

impl Server {
    /// Load over capacity as far as reports and notes tell, and how far that can still be believed.
    fn told(&self, now: Millis) -> Option<(f64, f64)> {
        let note = self.noted(now);
        // What was placed or has ended since the report counts.
        let since = (f64::from(self.open) - f64::from(self.open_then)) * self.unit;
        let report =
            self.report.map(|(x0, at)| ((x0 + since).max(0.0), (-(now - at) / REPORT_FADE_MS).exp()));
        match (note, report) {
            (Some(note), Some(report)) => Some((note.0.max(report.0), 1.0)),
            (note, report) => note.or(report),
        }
    }

    fn noted(&self, now: Millis) -> Option<(f64, f64)> {
        self.delay.filter(|(_, at)| now - at < NOTE_LASTS_MS).map(|(load, _)| (load, 1.0))
    }

    pub(crate) fn usable(&self, now: Millis) -> bool {
        self.info.phase == Phase::Serving && (self.fails < 2 || now >= self.avoid_until)
    }

    /// Whether a cold backend may be sent a request: by its place, or by turn.
    fn gate(&self, now: Millis, settings: &Settings, allowed: f64, by_place: bool, drawn: u64) -> bool {
        let warmth = warmth_at(now - self.cold_from, settings);
        let part = allowed * warmth * if by_place { 1.0 } else { self.size() };
        warmth >= 1.0 || unit(drawn) < part && (by_place || now >= self.gate_ends)
    }

    fn lost(&mut self, now: Millis, jitter: f64) {
        self.fails += 1;
        self.avoid_until = now + AVOID_MS * jitter * f64::from(1u32 << (self.fails - 1).min(3));
    }

    /// It answers. After an absence it may be a new process that the list has not named yet: it is cold.
    fn alive(&mut self, now: Millis) {
        if self.absent >= 3 {
            self.cold_from = now;
        }
        (self.fails, self.absent) = (0, 0);
    }
}

/// Whether a request may be sent to this backend (or at all): what may have run is bound by its class.
fn may_send(entry: &Entry, effect: Effect, now: Millis, to: Option<&BackendInfo>) -> bool {
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

/// Part of its capacity that a backend has at the slowest warm-up allowed.
fn warmth_at(age: Millis, settings: &Settings) -> f64 {
    let least = settings.start_capacity.clamp(0.01, 1.0);
    (least + (1.0 - least) * age.max(0.0) / settings.cold_ms.max(1.0)).min(1.0)
}
