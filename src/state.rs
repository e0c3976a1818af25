//! State of the decision module: records and their bookkeeping. The decisions are in `logic`.
use crate::api::*;
use crate::logic::SlowStart;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The actions decided on, in the order in which they are to be carried out.
pub type Actions = Vec<Action>;

/// Timer numbers: those of the node, then one for each request, counted from `TIMER_REQUESTS`.
pub const TIMER_INTERVAL: u64 = 0;
pub const TIMER_PROBE: u64 = 1;
pub const TIMER_DISCOVERY: u64 = 2;
pub const TIMER_REQUESTS: u64 = 16;

/// Sample count up to which the mean load hint is a plain average. Each later hint has a weight of 1/200.
const MAX_HINT_SAMPLES: f64 = 200.0;

/// Range of listed weights; one outside it counts as the nearest.
const MIN_LISTED_WEIGHT: f64 = 1e-9;
const MAX_LISTED_WEIGHT: f64 = 1e9;
/// Weight of a backend whose listed weight is not a positive number.
const INVALID_LISTED_WEIGHT: f64 = 1e-3;
/// Largest load over capacity that a report may state.
const MAX_REPORTED_LOAD: f64 = 100.0;
/// Range of load hints, in the clients' own unit.
const MIN_LOAD_HINT: f64 = 1e-15;
const MAX_LOAD_HINT: f64 = 1e15;
/// Largest work of one connection, in microseconds a second.
const MAX_CONNECTION_WORK: f64 = 1e9;

/// One tenant's demand, open connections and budget. Loads are in usual hints: a usual connection has load 1.
#[derive(Default)]
pub struct TenantAccount {
    /// Open, queued and refused load at the last interval.
    pub last_demand: f64,
    /// Smoothed change of demand per interval, and its increases alone.
    pub mean_change: f64,
    pub mean_rise: f64,
    /// Load expected in the next interval.
    pub forecast: f64,
    /// Load that it may have.
    pub budget: f64,
    /// Load over budget accumulated over time, in budget-seconds.
    pub excess: f64,
    /// Connections that are open or being attempted, and their load.
    pub open: u32,
    pub load: f64,
    /// Load refused since the last interval.
    pub refused: f64,
    /// Smallest load of any of its requests.
    pub least_load: f64,
    pub priority: f64,
    pub contract: Option<Contract>,
    /// When it last had demand.
    pub last_active: Millis,
    /// Queued requests, some of which may have no entry any more.
    pub queue: VecDeque<RequestId>,
}

/// What this node knows about one backend.
#[derive(Default)]
pub struct BackendRecord {
    pub info: BackendInfo,
    /// Virtual time of its next turn in the weighted round robin.
    pub next_turn: f64,
    /// Weight in the round robin.
    pub weight: f64,
    /// Whether the request being placed may be sent to it.
    pub ready: bool,
    /// Connections of this node that are open there or being attempted.
    pub open: u32,
    /// Work of these connections, in microseconds a second.
    pub work: f64,
    /// Last reported load over capacity, and when it came.
    pub report: Option<(f64, Millis)>,
    /// Value of `open` when the report came.
    pub open_at_report: u32,
    /// Load over capacity that one more connection adds.
    pub connection_load: f64,
    /// Load over capacity inferred from message delay, and when.
    pub delay: Option<(f64, Millis)>,
    /// Whether it showed trouble since the last interval.
    pub strained: bool,
    /// Load over capacity at its last trouble, decaying over time.
    pub peak_load: f64,
    /// Established connections that broke since the last interval.
    pub resets: u32,
    /// Failures in a row.
    pub failures: u32,
    /// Failed connects among the failures.
    pub connect_failures: u32,
    /// End of its pause.
    pub avoid_until: Millis,
    pub age: Age,
    /// Listed weight times the warmed-up share.
    pub capacity: f64,
    /// When connections were last moved off it to relieve it.
    pub relieved_at: Millis,
}

/// Stage of a request; the order of the variants is used.
#[derive(Clone, Copy, Default, PartialEq, PartialOrd)]
pub enum State {
    /// In its tenant's queue.
    #[default]
    Queued,
    /// Admitted, waiting because no backend is available at the moment.
    Waiting,
    /// An attempt is in flight.
    InFlight,
    /// The connection is established.
    Open,
}

/// A request that is queued, being attempted or open.
#[derive(Default)]
pub struct Entry {
    pub request: Request,
    pub state: State,
    /// When a request that still waits here gets its final answer, a few ticks before its deadline.
    pub give_up_at: Millis,
    /// When its client stops waiting.
    pub deadline: Millis,
    /// End of its pacing delay.
    pub release_at: Option<Millis>,
    pub attempts: u32,
    pub backend: Option<BackendId>,
    /// Backends of all its attempts.
    pub tried: Vec<BackendId>,
    /// Backends that answered it with an error.
    pub errored_on: Vec<BackendId>,
    /// Backend and send time of the first attempt that may have run.
    pub may_have_run: Option<(BackendInfo, Millis)>,
    /// When the last attempt was sent.
    pub sent_at: Millis,
    /// Work of its connection, in microseconds a second.
    pub work: f64,
    pub client_left: bool,
}

/// Lower bound of a backend's age, measured without the wall clock.
///
/// A process whose clock is wrong, or is stepped while it runs, must not take a backend that has just started
/// for warm. Lists give start times on discovery's clock. The latest start time on a list is before the list
/// was made, so discovery's clock shows at least that time when the list arrives, plus the time that passes
/// here afterwards (see [`ListClock`]).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Age {
    /// Listed start time, on discovery's clock.
    listed_start: Option<Millis>,
    /// Latest time at which it may have started, on this process's clock.
    latest_start: Millis,
}

impl Default for Age {
    fn default() -> Self {
        Age { listed_start: None, latest_start: f64::NEG_INFINITY }
    }
}

impl Age {
    /// Returns the least age at this time; infinite if the backend started long ago.
    pub fn at(&self, now: Millis) -> Millis {
        now - self.latest_start
    }

    /// Applies a listed start time; `list_now` is the least time that discovery's clock shows now.
    fn observe_start(&mut self, now: Millis, started: Option<Millis>, list_now: Millis) {
        let Some(at) = started else { return };
        let latest_start = now - (list_now - at).max(0.0);
        if self.listed_start != started {
            *self = Age { listed_start: started, latest_start: latest_start.max(self.latest_start) };
        }
    }

    /// Restarts the age of a backend that answers after it was unreachable: it may have been restarted
    /// meanwhile.
    pub fn returned(&mut self, now: Millis) {
        self.latest_start = now;
    }
}

/// Lower bound of discovery's clock, from the start times on its lists.
///
/// Holds the latest listed start time and when it was received.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListClock(Option<(Millis, Millis)>);

impl ListClock {
    /// Returns the least time that discovery's clock shows now.
    fn now(&self, now: Millis) -> Option<Millis> {
        self.0.map(|(listed, at)| listed + (now - at))
    }

    fn observe(&mut self, now: Millis, started: Millis) {
        if started.is_finite() && self.now(now).is_none_or(|known| started > known) {
            self.0 = Some((started, now));
        }
    }
}

/// The decisions of one node, and the state they are based on.
#[derive(Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: u64,
    /// Distinguishes this node's request numbers from those of other nodes, which count from 1 as well.
    pub(crate) salt: u64,
    pub(crate) started: Option<Millis>,
    /// Whether it adopted connections that were open before its start.
    pub(crate) has_adopted: bool,
    pub(crate) tenants: BTreeMap<TenantId, TenantAccount>,
    pub(crate) backends: BTreeMap<BackendId, BackendRecord>,
    /// Total listed weight of the serving backends, including cold and paused ones.
    pub(crate) listed_weight: f64,
    pub(crate) entries: BTreeMap<RequestId, Entry>,
    /// Smoothed work of a connection by class, from load changes, in microseconds a second.
    pub(crate) class_work: Vec<f64>,
    /// Mean load hint, and the number of hints it is averaged over (at most `MAX_HINT_SAMPLES`).
    pub(crate) usual_hint: f64,
    pub(crate) hint_samples: f64,
    /// Mean reported load over capacity.
    pub(crate) mean_load: Option<f64>,
    /// Share of the observed capacity that shows no trouble.
    pub(crate) calm_share: f64,
    /// Learned capacity of one unit of weight, as load of this node's connections.
    pub(crate) capacity_per_weight: f64,
    /// Virtual time of the weighted round robin.
    pub(crate) virtual_time: f64,
    /// Smoothed rate of new connections from this node for each unit of weight, per millisecond.
    pub(crate) intake_per_weight: f64,
    /// Connections established since the last interval.
    pub(crate) placed_in_interval: f64,
    /// Smoothed rate of established connections, per millisecond.
    pub(crate) place_rate: f64,
    pub(crate) slow_start: SlowStart,
    pub(crate) list_clock: ListClock,
    pub(crate) last_probed: BackendId,
    /// Whether there is a working subscription to the backend list.
    pub(crate) subscribed: bool,
    /// Whether discovery has sent a list, or confirmed the known one.
    pub(crate) discovery_answered: bool,
    pub(crate) discovery_backoff: Millis,
    pub(crate) next_discovery_at: Millis,
}

impl Balancer {
    /// Returns the warmed-up weight of the usable backends, which is positive; `None` if none is usable.
    ///
    /// Capacity follows it at once, so that nothing has to be relearned after growth or the loss of a zone.
    pub(crate) fn usable_weight(&self, now: Millis) -> Option<f64> {
        let weight: f64 = self.backends.values().filter(|s| s.usable(now)).map(|s| s.capacity).sum();
        (weight > 0.0).then_some(weight)
    }

    /// Stores a load report.
    pub(crate) fn record_report(&mut self, now: Millis, backend: BackendId, report: Option<Report>) {
        let x0 = report.and_then(|r| r.load_over_capacity).filter(|x0| x0.is_finite() && *x0 >= 0.0);
        if let (Some(record), Some(x0)) = (self.backends.get_mut(&backend), x0) {
            (record.report, record.open_at_report) = (Some((x0.min(MAX_REPORTED_LOAD), now)), record.open);
        }
    }

    /// Updates the backend records from a list or from changes to it.
    pub(crate) fn merge(&mut self, now: Millis, scope: ListScope, entries: Vec<BackendInfo>) {
        if scope != ListScope::Patch {
            self.backends.values_mut().for_each(|record| record.info.phase = Phase::Gone);
        }
        for started in entries.iter().filter_map(|info| info.started_at) {
            self.list_clock.observe(now, started);
        }
        let list_now = self.list_clock.now(now).unwrap_or(now);
        for info in entries {
            let next_turn = self.virtual_time + draw(&mut self.rng);
            let past = f64::NEG_INFINITY;
            let new = || BackendRecord { next_turn, info, relieved_at: past, ..BackendRecord::default() };
            let record = self.backends.entry(info.id).or_insert_with(new);
            if info.started_at != record.info.started_at {
                (record.failures, record.avoid_until, record.report) = (0, 0.0, None);
            }
            record.age.observe_start(now, info.started_at, list_now);
            record.info = info;
        }
        self.backends.retain(|_, record| record.info.phase != Phase::Gone || record.open > 0);
        let serving = self.backends.values().filter(|record| record.info.phase == Phase::Serving);
        self.listed_weight = serving.map(BackendRecord::size).sum();
        self.slow_start.observe_weight(self.listed_weight);
    }

    /// Smooths the rates at which this node places connections, over the time a backend takes to warm up.
    /// The rate for each unit of weight stays as it is while no backend is usable.
    pub(crate) fn update_rates(&mut self, now: Millis, weight: Option<f64>, interval: Millis, short: bool) {
        let age = (now - self.started.unwrap_or(now)).clamp(interval, self.settings.warm_up_ms.max(interval));
        let placed = std::mem::take(&mut self.placed_in_interval);
        if let Some(weight) = weight {
            self.update_intake(placed / weight / interval, interval, age, short);
        }
        self.place_rate += (placed / interval - self.place_rate) * (interval / age).max(0.1);
    }

    /// Smooths the rate of new connections for each unit of weight towards this sample, over the time `age`.
    fn update_intake(&mut self, sample: f64, interval: Millis, age: Millis, short: bool) {
        // A burst of reconnecting clients must not be mistaken for what a backend can take.
        let sample =
            if self.intake_per_weight > 0.0 { sample.min(2.0 * self.intake_per_weight) } else { sample };
        // While clients are turned away, few placements do not mean that backends can take only a few.
        if sample > self.intake_per_weight || !short {
            self.intake_per_weight += (sample - self.intake_per_weight) * interval / age;
        }
    }

    /// Returns the mean reported load over capacity, weighted by size and freshness, and the freshness of the
    /// newest report. Freshness decays from 1 with the time constant `fade`.
    pub(crate) fn mean_report(&self, now: Millis, fade: Millis) -> Option<(f64, f64)> {
        let (mut known, mut asked, mut freshest) = (0.0, 0.0, 0.0f64);
        for record in self.backends.values().filter(|record| record.info.phase == Phase::Serving) {
            if let Some((load, at)) = record.report {
                let fresh = (-(now - at) / fade).exp();
                known += record.size() * fresh;
                asked += record.size() * fresh * load;
                freshest = freshest.max(fresh);
            }
        }
        (known > 0.0).then(|| (asked / known, freshest))
    }

    /// Returns the serving backend with the next higher number, wrapping around after the highest.
    pub(crate) fn serving_after(&self, last: BackendId) -> Option<BackendId> {
        let after = BackendId(last.0.wrapping_add(1));
        let mut round = self.backends.range(after..).chain(&self.backends);
        round.find(|(_, record)| record.info.phase == Phase::Serving).map(|(&id, _)| id)
    }

    /// Returns the backends with open or attempted connections of this group. Each carries the group's shared
    /// work.
    pub(crate) fn group_backends(&self, group: Option<AffinityKey>) -> BTreeSet<BackendId> {
        let of_group = |e: &&Entry| e.state >= State::InFlight && group.is_some() && e.request.group == group;
        self.entries.values().filter(of_group).filter_map(|e| e.backend).collect()
    }

    /// Returns the request with its load hint divided by the mean hint: hints come in a unit of their own,
    /// while capacity is counted in usual connections.
    pub(crate) fn normalize_hint(&mut self, mut request: Request) -> Request {
        if let Some(hint) = request.load_hint.filter(|hint| hint.is_finite() && *hint > 0.0) {
            let hint = hint.clamp(MIN_LOAD_HINT, MAX_LOAD_HINT);
            self.hint_samples = (self.hint_samples + 1.0).min(MAX_HINT_SAMPLES);
            self.usual_hint += (hint - self.usual_hint) / self.hint_samples;
            request.load_hint = Some(hint / self.usual_hint);
        }
        request
    }

    /// Shortens the deadlines of all requests without a connection to at most `by`.
    pub(crate) fn shorten_deadlines(&mut self, by: Millis, out: &mut Actions) {
        for (id, entry) in self.entries.iter_mut().filter(|(_, e)| e.state < State::Open && e.deadline > by) {
            entry.deadline = by;
            entry.give_up_at = entry.give_up_at.min(by - 4.0 * self.settings.tick_ms);
            out.push(Action::SetTimer { at: entry.give_up_at, id: TimerId(TIMER_REQUESTS + id.0) });
        }
    }

    /// Returns the open connections on the named backends whose clients have not left.
    pub(crate) fn open_on(&self, named: &BTreeMap<BackendId, u32>) -> Vec<(RequestId, &Entry, BackendId)> {
        let open = self.entries.iter().filter(|(_, e)| e.state == State::Open && !e.client_left);
        open.filter_map(|(&id, e)| Some((id, e, e.backend.filter(|b| named.contains_key(b))?))).collect()
    }

    /// Adds a connection to its tenant's and its backend's totals (`sign` 1), or subtracts it (-1).
    pub(crate) fn account_connection(&mut self, id: RequestId, sign: i32) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let usual = self.class_work.get(entry.request.class.0 as usize).copied().unwrap_or(0.0);
        entry.work = if entry.work > 0.0 { entry.work } else { usual };
        if let Some(account) = self.tenants.get_mut(&entry.request.tenant) {
            account.open = account.open.saturating_add_signed(sign);
            account.load = (account.load + f64::from(sign) * entry.request.load()).max(0.0);
        }
        if let Some(record) = entry.backend.and_then(|b| self.backends.get_mut(&b)) {
            record.open = record.open.saturating_add_signed(sign);
            record.work = (record.work + f64::from(sign) * entry.work).max(0.0);
        }
    }

    /// Updates the work of an open connection, and the mean work of its class.
    pub(crate) fn load_changed(&mut self, id: RequestId, work: f64) {
        let Some(entry) = self.entries.get_mut(&id).filter(|_| work.is_finite() && work >= 0.0) else {
            return;
        };
        let work = work.min(MAX_CONNECTION_WORK);
        let change = work - std::mem::replace(&mut entry.work, work);
        if let Some(mean) = self.class_work.get_mut(entry.request.class.0 as usize) {
            *mean = if *mean > 0.0 { *mean + (work - *mean) * 0.05 } else { work };
        }
        if let Some(record) = entry.backend.and_then(|b| self.backends.get_mut(&b)) {
            record.work = (record.work + change).max(0.0);
        }
    }
}

impl BackendRecord {
    /// Returns the listed weight within its range, or a small one if the list gives none that is valid.
    pub fn size(&self) -> f64 {
        if self.info.weight.is_finite() && self.info.weight > 0.0 {
            self.info.weight.clamp(MIN_LISTED_WEIGHT, MAX_LISTED_WEIGHT)
        } else {
            INVALID_LISTED_WEIGHT
        }
    }
}

/// Draws a random number from 0 to below 1.
pub fn draw(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    unit(mix(*state))
}

/// Maps a mixed number to the range from 0 to below 1.
pub fn unit(mixed: u64) -> f64 {
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

/// Rendezvous hashing: returns a key's rank at a backend. The backend with the lowest rank wins, with a
/// probability in proportion to its weight.
pub fn place(key_and_backend: u64, weight: f64) -> u64 {
    let drawn = 1.0 - unit(mix(key_and_backend));
    (-drawn.ln() / weight.max(1e-6) * 1e9) as u64
}

/// Scrambles a number (the finalizer of SplitMix64).
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
