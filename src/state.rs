//! What a gateway keeps in mind: plain records and their bookkeeping. No decisions; those are in `logic.rs`.
use crate::api::*;
use crate::logic::SlowStart;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Where decisions are written.
pub type Out = Vec<Action>;

/// Timers: those of the gateway, then one for each request.
pub const TIMER_INTERVAL: u64 = 0;
pub const TIMER_PROBE: u64 = 1;
pub const TIMER_DISCOVERY: u64 = 2;
pub const TIMER_REQUESTS: u64 = 16;

/// The usual load hint is learned from so many: later ones then count for less.
const HINTS_MOST: f64 = 200.0;

/// What one tenant asks, has and may have.
#[derive(Default)]
pub struct Share {
    pub last: f64,
    pub drift: f64,
    pub spread: f64,
    pub forecast: f64,
    pub budget: f64,
    pub excess: f64,
    pub open: u32,
    pub load: f64,
    pub refused: f64,
    pub least_load: f64,
    pub priority: f64,
    pub contract: Option<Contract>,
    pub seen: Millis,
    pub queue: VecDeque<RequestId>,
}

/// What is known of one backend.
#[derive(Default)]
pub struct Server {
    pub info: BackendInfo,
    pub turn: f64,
    pub weight: f64,
    pub ready: bool,
    pub open: u32,
    pub work: f64,
    pub report: Option<(f64, Millis)>,
    /// Connections of this gateway there when the report came, and load over capacity that one more brings.
    pub open_then: u32,
    pub unit: f64,
    pub delay: Option<(f64, Millis)>,
    pub strained: bool,
    /// Load over capacity at its last trouble, as far as it still counts.
    pub peak: f64,
    pub resets: u32,
    pub fails: u32,
    /// Failed connects among them.
    pub absent: u32,
    pub avoid_until: Millis,
    pub age: Age,
    /// Listed weight times the part warmed up.
    pub capacity: f64,
    pub moved_at: Millis,
}

#[derive(Clone, Copy, Default, PartialEq, PartialOrd)]
pub enum State {
    /// In its tenant's queue.
    #[default]
    Held,
    /// Admitted, but no backend may be sent to just now.
    Waiting,
    Out,
    Open,
}

#[derive(Default)]
pub struct Entry {
    pub request: Request,
    pub state: State,
    /// Until when it may wait here.
    pub give_up: Millis,
    pub deadline: Millis,
    pub release_at: Option<Millis>,
    pub tries: u32,
    pub backend: Option<BackendId>,
    pub tried: Vec<BackendId>,
    /// Where it was answered with an error.
    pub erred: Vec<BackendId>,
    pub may_have_run: Option<(BackendInfo, Millis)>,
    pub sent: Millis,
    pub work: f64,
    pub left: bool,
}

/// How old a backend is at least, counted without the wall clock: a process whose clock is off, or stepped while it runs, must
/// not take one that has just started for warm. Lists give starts on discovery's clock; the latest start on a list was before that
/// list was made, so that on the list's clock it is at least that late when it comes, and later by the time that passes here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Age {
    /// Its listed start, on discovery's clock.
    listed: Option<Millis>,
    /// When it may have started at the latest, on this process's clock.
    since: Millis,
}

impl Default for Age {
    fn default() -> Self {
        Age { listed: None, since: f64::NEG_INFINITY }
    }
}

impl Age {
    /// Its age now, at least; infinite if it started long ago.
    pub fn at(&self, now: Millis) -> Millis {
        now - self.since
    }

    /// A list gives this start, and it is at least this late on discovery's clock.
    fn heard(&mut self, now: Millis, started: Option<Millis>, list_now: Millis) {
        let Some(at) = started else { return };
        let since = now - (list_now - at).max(0.0);
        if self.listed != started {
            *self = Age { listed: started, since: since.max(self.since) };
        }
    }

    /// It answers after it was absent: it may have started anew since.
    pub fn returned(&mut self, now: Millis) {
        self.since = now;
    }
}

/// Discovery's clock, as far as lists tell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListClock(Option<(Millis, Millis)>);

impl ListClock {
    /// What it shows at least.
    fn now(&self, now: Millis) -> Option<Millis> {
        self.0.map(|(listed, at)| listed + (now - at))
    }

    fn hear(&mut self, now: Millis, started: Millis) {
        if started.is_finite() && self.now(now).is_none_or(|known| started > known) {
            self.0 = Some((started, now));
        }
    }
}

/// The decisions of one gateway.
#[derive(Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: u64,
    /// Tells this gateway's requests from those of others, which count from 1 as well.
    pub(crate) salt: u64,
    pub(crate) started: Option<Millis>,
    /// It took connections over from before its start.
    pub(crate) settled: bool,
    pub(crate) tenants: BTreeMap<TenantId, Share>,
    pub(crate) servers: BTreeMap<BackendId, Server>,
    /// Listed weight of all that serve, cold or in a pause as they may be.
    pub(crate) listed_weight: f64,
    pub(crate) entries: BTreeMap<RequestId, Entry>,
    /// Usual work of a connection, by class, as notes tell it.
    pub(crate) class_work: Vec<f64>,
    /// The usual load hint, and from how many it is learned.
    pub(crate) usual_hint: f64,
    pub(crate) hints: f64,
    /// Mean load over capacity that reports tell.
    pub(crate) mean_load: Option<f64>,
    /// Part of the capacity heard from that shows no trouble.
    pub(crate) calm: f64,
    /// Learned capacity of one unit of weight, as load of this gateway's own connections.
    pub(crate) per_weight: f64,
    pub(crate) turn: f64,
    /// New connections that a unit of weight takes in a millisecond, from this gateway.
    pub(crate) intake: f64,
    pub(crate) placed: f64,
    pub(crate) place_rate: f64,
    pub(crate) slow_start: SlowStart,
    pub(crate) list_clock: ListClock,
    pub(crate) next_probe: BackendId,
    pub(crate) subscribed: bool,
    /// Discovery has given a list, or said that the known one holds.
    pub(crate) heard_discovery: bool,
    pub(crate) ask_backoff: Millis,
    pub(crate) next_ask: Millis,
}

impl Balancer {
    /// Capacity follows the listed weights at once: after growth or the loss of a zone nothing is relearned.
    pub(crate) fn usable_weight(&self, now: Millis) -> f64 {
        self.servers.values().filter(|s| s.usable(now)).map(|s| s.capacity).sum()
    }

    /// Notes a load report.
    pub(crate) fn reported(&mut self, now: Millis, backend: BackendId, report: Option<Report>) {
        let x0 = report.and_then(|r| r.load_over_capacity).filter(|x0| x0.is_finite() && *x0 >= 0.0);
        if let (Some(server), Some(x0)) = (self.servers.get_mut(&backend), x0) {
            (server.report, server.open_then) = (Some((x0, now)), server.open);
        }
    }

    /// Brings the records in line with a list or its changes.
    pub(crate) fn merge(&mut self, now: Millis, scope: ListScope, entries: Vec<BackendInfo>) {
        if scope != ListScope::Patch {
            self.servers.values_mut().for_each(|server| server.info.phase = Phase::Gone);
        }
        for started in entries.iter().filter_map(|info| info.started_at) {
            self.list_clock.hear(now, started);
        }
        let list_now = self.list_clock.now(now).unwrap_or(now);
        for info in entries {
            let turn = self.turn + draw(&mut self.rng);
            let past = f64::NEG_INFINITY;
            let new = || Server { turn, info, moved_at: past, ..Server::default() };
            let server = self.servers.entry(info.id).or_insert_with(new);
            if info.started_at != server.info.started_at {
                (server.fails, server.avoid_until, server.report) = (0, 0.0, None);
            }
            server.age.heard(now, info.started_at, list_now);
            server.info = info;
        }
        self.servers.retain(|_, server| server.info.phase != Phase::Gone || server.open > 0);
        let serving = self.servers.values().filter(|server| server.info.phase == Phase::Serving);
        self.listed_weight = serving.map(Server::size).sum();
        self.slow_start.listed(self.listed_weight);
    }

    /// Smooths the rate at which this gateway places, over the time a backend takes to warm.
    pub(crate) fn rate(&mut self, now: Millis, weight: f64, interval: Millis, short: bool) {
        let age = (now - self.started.unwrap_or(now)).clamp(interval, self.settings.warm_up_ms.max(interval));
        let placed = std::mem::take(&mut self.placed);
        let sample = placed / weight / interval;
        // A storm of returning clients must not pass for what a backend can take.
        let sample = if self.intake > 0.0 { sample.min(2.0 * self.intake) } else { sample };
        // While clients are turned away, few placements do not mean that backends can take few.
        if sample > self.intake || !short {
            self.intake += (sample - self.intake) * interval / age;
        }
        self.place_rate += (placed / interval - self.place_rate) * (interval / age).max(0.1);
    }

    /// Mean load over capacity that reports tell, the fresh ones counting most, and how fresh the freshest is.
    pub(crate) fn mean_report(&self, now: Millis, fade: Millis) -> Option<(f64, f64)> {
        let (mut known, mut asked, mut freshest) = (0.0, 0.0, 0.0f64);
        for server in self.servers.values().filter(|server| server.info.phase == Phase::Serving) {
            if let Some((load, at)) = server.report {
                let fresh = (-(now - at) / fade).exp();
                known += server.size() * fresh;
                asked += server.size() * fresh * load;
                freshest = freshest.max(fresh);
            }
        }
        (known > 0.0).then(|| (asked / known, freshest))
    }

    /// The serving backend that comes next in the order of numbers, from the start again after the last.
    pub(crate) fn serving_after(&self, last: BackendId) -> Option<BackendId> {
        let after = BackendId(last.0.wrapping_add(1));
        let mut round = self.servers.range(after..).chain(&self.servers);
        round.find(|(_, server)| server.info.phase == Phase::Serving).map(|(&id, _)| id)
    }

    /// Backends that hold connections of this group, or are sent one: each such pays for the whole group.
    pub(crate) fn kin(&self, group: Option<AffinityKey>) -> BTreeSet<BackendId> {
        let of_group = |e: &&Entry| e.state >= State::Out && group.is_some() && e.request.group == group;
        self.entries.values().filter(of_group).filter_map(|e| e.backend).collect()
    }

    /// The request with its load hint in usual ones, as capacity is counted: hints come in units of their own.
    pub(crate) fn in_usual(&mut self, mut request: Request) -> Request {
        if let Some(hint) = request.load_hint.filter(|hint| hint.is_finite() && *hint > 0.0) {
            self.hints = (self.hints + 1.0).min(HINTS_MOST);
            self.usual_hint += (hint - self.usual_hint) / self.hints;
            request.load_hint = Some(hint / self.usual_hint);
        }
        request
    }

    /// Brings forward the deadlines of those who wait.
    pub(crate) fn hasten(&mut self, by: Millis, out: &mut Out) {
        for (id, entry) in self.entries.iter_mut().filter(|(_, e)| e.state < State::Open && e.deadline > by) {
            entry.deadline = by;
            entry.give_up = entry.give_up.min(by - 4.0 * self.settings.tick_ms);
            out.push(Action::SetTimer { at: entry.give_up, id: TimerId(TIMER_REQUESTS + id.0) });
        }
    }

    /// Open connections on the named backends.
    pub(crate) fn open_on(&self, named: &BTreeMap<BackendId, u32>) -> Vec<(RequestId, &Entry, BackendId)> {
        let open = self.entries.iter().filter(|(_, e)| e.state == State::Open && !e.left);
        open.filter_map(|(&id, e)| Some((id, e, e.backend.filter(|b| named.contains_key(b))?))).collect()
    }

    /// Adds a connection to (or takes it off) its tenant's and its backend's account.
    pub(crate) fn occupy(&mut self, id: RequestId, sign: i32) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let usual = self.class_work.get(entry.request.class.0 as usize).copied().unwrap_or(0.0);
        entry.work = if entry.work > 0.0 { entry.work } else { usual };
        if let Some(share) = self.tenants.get_mut(&entry.request.tenant) {
            share.open = share.open.saturating_add_signed(sign);
            share.load = (share.load + f64::from(sign) * entry.request.load()).max(0.0);
        }
        if let Some(server) = entry.backend.and_then(|b| self.servers.get_mut(&b)) {
            server.open = server.open.saturating_add_signed(sign);
            server.work = (server.work + f64::from(sign) * entry.work).max(0.0);
        }
    }

    pub(crate) fn load_changed(&mut self, id: RequestId, work: f64) {
        let Some(entry) = self.entries.get_mut(&id).filter(|_| work.is_finite() && work >= 0.0) else {
            return;
        };
        let change = work - std::mem::replace(&mut entry.work, work);
        if let Some(mean) = self.class_work.get_mut(entry.request.class.0 as usize) {
            *mean = if *mean > 0.0 { *mean + (work - *mean) * 0.05 } else { work };
        }
        if let Some(server) = entry.backend.and_then(|b| self.servers.get_mut(&b)) {
            server.work = (server.work + change).max(0.0);
        }
    }
}

impl Server {
    pub fn size(&self) -> f64 {
        if self.info.weight.is_finite() && self.info.weight > 0.0 { self.info.weight } else { 1e-3 }
    }
}

/// A random number from 0 to below 1.
pub fn draw(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    unit(mix(*state))
}

/// A mixed number as one from 0 to below 1.
pub fn unit(mixed: u64) -> f64 {
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

/// A key's place at a backend: the lowest of all backends wins, as often as its part of the weight (rendezvous hashing).
pub fn place(key_and_backend: u64, weight: f64) -> u64 {
    let drawn = 1.0 - unit(mix(key_and_backend));
    (-drawn.ln() / weight.max(1e-6) * 1e9) as u64
}

pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
