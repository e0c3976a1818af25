//! Accounts for the service that clients asked for and for the part of it that was lost.
//!
//! A *demand* begins when a client asks for a connection and lasts until it ends its connection in good
//! order. In between, the client may wait, be connected to a member, or be absent: rejected, failed, moved or
//! disconnected, until it asks again. Each second of a demand counts with the worth of the client's class.
//! Seconds in which the client is connected to a member that is neither silent nor slow are served. All
//! others are lost, and each lost piece carries the cause that the node's records give.
//!
//! Records don't identify clients. A client that asks again is recognised by the mark that clients set on
//! protocols that have one. It is matched with the client of the same class, tenant and kind of absence that
//! went away last. Summed over all clients it makes no difference who is matched with whom, and clients that
//! never return stay apart from those that do.
//!
//! The losses of clients that went away and never returned are estimated, only in [`Ledger::finish`]. Some of
//! these clients would have ended in that time anyway: the mean absence over the mean lifetime. Each client
//! beyond that part is assumed to have wanted its connection for another mean lifetime.

use crate::series::{Scale, TimeSeries};
use hopmoor_record::{ArrivalKind, MemberId, Origin};
use std::collections::BTreeMap;

/// A client that has not asked again after this time is assumed not to return.
const MAX_ABSENCE_MS: f64 = 60_000.0;

/// Maximum number of absent clients kept for each class, tenant and kind of absence; the oldest is assumed
/// not to return.
const MAX_ABSENT_CLIENTS: usize = 50_000;
/// If at least this many clients went away and none returned with a mark, the protocol has no marks.
const MIN_DEPARTURES_TO_JUDGE_MARKS: u64 = 20;
/// Waiting longer than this without a failed attempt counts as waiting for capacity.
const MAX_SETUP_MS: f64 = 100.0;

/// Cause of lost service, as the records give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Normal time to set up a connection.
    SetUp,
    /// The client waited in a queue, was rejected or failed, and no member was at fault.
    Capacity,
    /// A member was at fault or left the pool.
    Member(MemberId, MemberCause),
    /// A node was told to shut down.
    NodeLeft(Origin),
    /// A node's records end without a shutdown.
    NodeCut(Origin),
}

/// How a member caused a client to lose service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberCause {
    /// The member did not answer.
    Silent,
    /// The connection to the member broke or could not be made.
    Broke,
    /// The member turned the client away or answered with an error.
    Refused,
    /// Messages at the member took too long.
    Slow,
    /// The member was draining.
    Drained,
    /// The member was no longer listed.
    Gone,
    /// Clients were moved away to relieve an overloaded member.
    Relief,
}

/// Whether the client of a demand waits or is connected.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DemandState {
    Waiting,
    Connected(MemberId),
}

/// The demand of a client while its transaction is open.
#[derive(Clone, Debug)]
struct Demand {
    class: u32,
    tenant: u32,
    state: DemandState,
    /// Time up to which it is accounted for.
    settled_until: f64,
    /// Time since which the client has been waiting or connected.
    since: f64,
    /// Cause of its waiting.
    cause: Cause,
    /// Records were lost since `settled_until`: what the client did from then on is known only if a later
    /// record names its transaction.
    uncertain: bool,
}

/// How a client went away. This decides by which mark it is recognised when it returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AbsenceKind {
    /// Rejected or failed.
    TurnedAway,
    /// Moved, or its connection broke.
    Disconnected,
}

/// A client that went away and has not returned yet.
#[derive(Clone, Copy, Debug)]
struct AbsentClient {
    since: f64,
    cause: Cause,
    /// Its loss must not be estimated because the records of its node end here.
    excluded: bool,
}

type AbsenceKey = (AbsenceKind, u32, u32);

/// Departures and returns of clients of a class and kind of absence.
#[derive(Clone, Copy, Debug, Default)]
struct Returns {
    departed: u64,
    returned: u64,
    /// Sum of the absences of the clients that returned.
    absence_ms: f64,
}

impl Returns {
    /// Mean absence in milliseconds; one second if no client has returned yet.
    fn mean(&self) -> f64 {
        if self.returned > 0 { self.absence_ms / self.returned as f64 } else { 1_000.0 }
    }
}

/// Clients of a class that are connected to a member: their number since `since`, and their worth over time.
#[derive(Clone, Debug, Default)]
struct ConnectedClients {
    open: u32,
    since: f64,
    series: TimeSeries,
}

/// Worth-seconds lost over time, by cause and class.
pub type Lost = BTreeMap<(Cause, u32), TimeSeries>;

/// Worth-seconds asked for and lost, by class or tenant.
pub type Sums = BTreeMap<u32, (f64, f64)>;

/// Accounts for the demands of all clients.
#[derive(Debug)]
pub struct Ledger {
    /// Time scale of all time series.
    pub scale: Scale,
    worths: Vec<f64>,
    demands: BTreeMap<(Origin, u64), Demand>,
    absent: BTreeMap<AbsenceKey, Vec<AbsentClient>>,
    /// Time from which on clients absent for too long are looked for again.
    next_expiry_at: f64,
    /// Clients that went away and did not return, by the time at which they went.
    unreturned: BTreeMap<(AbsenceKind, Cause, u32, u32), TimeSeries>,
    returns: BTreeMap<(AbsenceKind, u32), Returns>,
    connected_clients: BTreeMap<(MemberId, u32), ConnectedClients>,
    /// Total connected time of each class, and number of connections that ended in good order.
    connected_ms: BTreeMap<u32, (f64, u64)>,
    asked: TimeSeries,
    lost: Lost,
    by_class: Sums,
    by_tenant: Sums,
}

/// Totals of a finished ledger.
#[derive(Debug, Default)]
pub struct LedgerTotals {
    /// Worth-seconds asked for over time.
    pub asked: TimeSeries,
    /// Worth-seconds lost over time, by cause and class.
    pub lost: Lost,
    /// Worth-seconds asked for and lost by class, without losses while connected to a silent or slow member.
    pub by_class: Sums,
    /// Worth-seconds asked for and lost by tenant, without losses while connected to a silent or slow member.
    pub by_tenant: Sums,
    /// Worth-seconds of connected clients over time, by member and class.
    pub connected_clients: BTreeMap<(MemberId, u32), TimeSeries>,
}

impl Ledger {
    /// An empty ledger that starts at `from`.
    pub fn new(from: f64) -> Self {
        Ledger {
            scale: Scale::new(from, 1_000.0),
            worths: Vec::new(),
            demands: BTreeMap::new(),
            absent: BTreeMap::new(),
            next_expiry_at: from,
            unreturned: BTreeMap::new(),
            returns: BTreeMap::new(),
            connected_clients: BTreeMap::new(),
            connected_ms: BTreeMap::new(),
            asked: TimeSeries::default(),
            lost: BTreeMap::new(),
            by_class: BTreeMap::new(),
            by_tenant: BTreeMap::new(),
        }
    }

    /// Sets the worth of a second of service for each class.
    pub fn set_worths(&mut self, worths: Vec<f64>) {
        self.worths = worths;
    }

    fn worth(&self, class: u32) -> f64 {
        self.worths.get(class as usize).copied().unwrap_or(1.0)
    }

    /// Extends the time scale to `at`. Returns how often the step length was doubled.
    pub fn extend_to(&mut self, at: f64) -> u32 {
        let doubled = self.scale.extend_to(at);
        if doubled > 0 {
            self.asked.double_steps(doubled);
            self.lost.values_mut().for_each(|series| series.double_steps(doubled));
            self.unreturned.values_mut().for_each(|series| series.double_steps(doubled));
            self.connected_clients.values_mut().for_each(|clients| clients.series.double_steps(doubled));
        }
        doubled
    }

    /// Accounts for a span of a demand, as lost if a cause is given.
    fn account(&mut self, class: u32, tenant: u32, from: f64, until: f64, lost: Option<Cause>) {
        if until <= from {
            return;
        }
        let rate = self.worth(class) / 1_000.0;
        let worth = rate * (until - from);
        let lost_worth = if lost.is_some() { worth } else { 0.0 };
        for sums in [self.by_class.entry(class).or_default(), self.by_tenant.entry(tenant).or_default()] {
            sums.0 += worth;
            sums.1 += lost_worth;
        }
        self.asked.add_rate(&self.scale, from, until, rate);
        if let Some(cause) = lost {
            self.lost.entry((cause, class)).or_default().add_rate(&self.scale, from, until, rate);
        }
    }

    /// Accounts for the connected clients up to `at`, then changes their number by `by`.
    fn change_connected(&mut self, member: MemberId, class: u32, at: f64, by: i32) {
        let rate = self.worth(class) / 1_000.0;
        let clients = self.connected_clients.entry((member, class)).or_default();
        clients.series.add_rate(&self.scale, clients.since, at, rate * f64::from(clients.open));
        clients.open = clients.open.saturating_add_signed(by);
        clients.since = at;
    }

    /// Accounts for a demand up to `at`.
    fn settle(&mut self, demand: &mut Demand, at: f64) {
        let lost = match demand.state {
            DemandState::Waiting => Some(demand.cause),
            DemandState::Connected(_) => None,
        };
        self.account(demand.class, demand.tenant, demand.settled_until, at, lost);
        demand.settled_until = at.max(demand.settled_until);
    }

    /// A client asked for a connection.
    pub fn client_asked(
        &mut self,
        origin: Origin,
        id: u64,
        at: f64,
        class: u32,
        tenant: u32,
        arrival: ArrivalKind,
    ) {
        self.expire_absent(at);
        let mut demand = Demand {
            class,
            tenant,
            state: DemandState::Waiting,
            settled_until: at,
            since: at,
            cause: Cause::SetUp,
            uncertain: false,
        };
        let kind = match arrival {
            ArrivalKind::First => None,
            ArrivalKind::Retry => Some(AbsenceKind::TurnedAway),
            ArrivalKind::Return => Some(AbsenceKind::Disconnected),
        };
        if let Some(kind) = kind
            && let Some(client) = self.absent.get_mut(&(kind, class, tenant)).and_then(Vec::pop)
        {
            // The client has wanted a connection during its whole absence.
            self.account(class, tenant, client.since, at, Some(client.cause));
            demand.cause = client.cause;
            let returns = self.returns.entry((kind, class)).or_default();
            returns.returned += 1;
            returns.absence_ms += at - client.since;
        }
        self.demands.insert((origin, id), demand);
    }

    /// An attempt for a waiting client failed.
    pub fn attempt_failed(&mut self, origin: Origin, id: u64, at: f64, cause: Cause) {
        if let Some(mut demand) = self.demands.remove(&(origin, id)) {
            if demand.state == DemandState::Waiting {
                // The failed attempt is the cause of the wait so far.
                demand.cause = cause;
                self.settle(&mut demand, at);
                demand.uncertain = false;
            }
            self.demands.insert((origin, id), demand);
        }
    }

    /// A client was connected to a member.
    ///
    /// Returns whether it waited longer than `MAX_SETUP_MS` although no member was at fault.
    pub fn connected(&mut self, origin: Origin, id: u64, at: f64, member: MemberId) -> bool {
        let mut queued = false;
        if let Some(mut demand) = self.demands.remove(&(origin, id)) {
            if demand.cause == Cause::SetUp && at - demand.since > MAX_SETUP_MS {
                demand.cause = Cause::Capacity;
            }
            queued = demand.cause == Cause::Capacity;
            self.settle(&mut demand, at);
            (demand.state, demand.since, demand.uncertain) = (DemandState::Connected(member), at, false);
            self.change_connected(member, demand.class, at, 1);
            self.demands.insert((origin, id), demand);
        }
        queued
    }

    /// Adds a demand that is not known because the record of its start was lost.
    pub fn ensure_known(&mut self, origin: Origin, id: u64, asked: f64, class: u32, tenant: u32) {
        if !self.demands.contains_key(&(origin, id)) {
            self.client_asked(origin, id, asked, class, tenant, ArrivalKind::First);
        }
    }

    /// Removes a demand and accounts for it up to `at`.
    fn close(&mut self, origin: Origin, id: u64, at: f64) -> Option<Demand> {
        let mut demand = self.demands.remove(&(origin, id))?;
        if let DemandState::Connected(member) = demand.state {
            if demand.uncertain {
                // This record confirms that the client was connected all the time.
                let rate = self.worth(demand.class) / 1_000.0;
                let clients = self.connected_clients.entry((member, demand.class)).or_default();
                clients.series.add_rate(&self.scale, demand.settled_until, at, rate);
            } else {
                self.change_connected(member, demand.class, at, -1);
            }
            let connected = self.connected_ms.entry(demand.class).or_default();
            connected.0 += (at - demand.since).max(0.0);
        }
        if demand.uncertain && demand.state == DemandState::Waiting {
            // The client may have been connected in between: that time is left out.
            demand.settled_until = at;
        }
        self.settle(&mut demand, at);
        Some(demand)
    }

    /// A demand ended as its client wanted.
    pub fn ended(&mut self, origin: Origin, id: u64, at: f64) {
        if let Some(demand) = self.close(origin, id, at)
            && matches!(demand.state, DemandState::Connected(_))
        {
            self.connected_ms.entry(demand.class).or_default().1 += 1;
        }
    }

    /// A client was disconnected or moved because of `cause`, and is expected to ask again. Without a cause
    /// it was rejected or failed while waiting, and the cause of the wait applies.
    pub fn went_away(&mut self, origin: Origin, id: u64, at: f64, cause: Option<Cause>) {
        if cause.is_none()
            && let Some(demand) =
                self.demands.get_mut(&(origin, id)).filter(|demand| demand.cause == Cause::SetUp)
        {
            demand.cause = Cause::Capacity;
        }
        if let Some(demand) = self.close(origin, id, at) {
            let kind = if cause.is_none() { AbsenceKind::TurnedAway } else { AbsenceKind::Disconnected };
            self.add_absent(demand, at, kind, cause, false);
        }
    }

    /// Adds the client of a closed demand to the absent clients.
    fn add_absent(
        &mut self,
        demand: Demand,
        at: f64,
        kind: AbsenceKind,
        cause: Option<Cause>,
        excluded: bool,
    ) {
        let client = AbsentClient { since: at, cause: cause.unwrap_or(demand.cause), excluded };
        if !excluded {
            self.returns.entry((kind, demand.class)).or_default().departed += 1;
        }
        let key = (kind, demand.class, demand.tenant);
        let all = self.absent.entry(key).or_default();
        all.push(client);
        if all.len() > MAX_ABSENT_CLIENTS {
            let first = all.remove(0);
            self.count_unreturned(key, first);
        }
    }

    /// Counts a client that did not return, for the estimate in [`Ledger::finish`].
    fn count_unreturned(&mut self, (kind, class, tenant): AbsenceKey, client: AbsentClient) {
        if !client.excluded {
            let series = self.unreturned.entry((kind, client.cause, class, tenant)).or_default();
            series.add(&self.scale, client.since, 1.0);
        }
    }

    /// Gives up on clients absent for longer than [`MAX_ABSENCE_MS`], at most every quarter of that time.
    fn expire_absent(&mut self, at: f64) {
        if at < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = at + MAX_ABSENCE_MS / 4.0;
        let mut old = Vec::new();
        for (key, all) in &mut self.absent {
            let gone = all.partition_point(|client| at - client.since > MAX_ABSENCE_MS);
            old.extend(all.drain(..gone).map(|client| (*key, client)));
        }
        old.into_iter().for_each(|(key, client)| self.count_unreturned(key, client));
    }

    /// Records of a node were lost from `since` on: what its clients did from then on is not known.
    pub fn records_lost(&mut self, origin: Origin, since: f64) {
        let keys: Vec<_> = self.demands.keys().filter(|(node, _)| *node == origin).copied().collect();
        for key in keys {
            let Some(mut demand) = self.demands.remove(&key) else { continue };
            match demand.state {
                _ if demand.uncertain => {}
                // The record of the answer may be lost: without a later record the client must not seem to
                // wait forever.
                DemandState::Waiting => {
                    self.settle(&mut demand, since);
                    demand.uncertain = true;
                }
                DemandState::Connected(member) => {
                    self.change_connected(member, demand.class, since.max(demand.since), -1);
                    self.settle(&mut demand, since);
                    demand.uncertain = true;
                }
            }
            self.demands.insert(key, demand);
        }
    }

    /// A node's run is over: its clients are absent, and their further losses are not estimated. Records of
    /// other nodes show whether they returned there.
    pub fn run_ended(&mut self, origin: Origin, at: f64, cause: Cause) {
        let ids: Vec<_> = self.demands.keys().filter(|(node, _)| *node == origin).copied().collect();
        for (origin, id) in ids {
            let uncertain = self.demands.get(&(origin, id)).is_some_and(|demand| demand.uncertain);
            if uncertain {
                self.demands.remove(&(origin, id));
            } else if let Some(demand) = self.close(origin, id, at) {
                self.add_absent(demand, at, AbsenceKind::Disconnected, Some(cause), true);
            }
        }
    }

    /// Closes the ledger at the time of the last record, and estimates the losses of clients that never
    /// returned.
    pub fn finish(mut self, at: f64) -> LedgerTotals {
        let ids: Vec<_> = self.demands.keys().copied().collect();
        for (origin, id) in ids {
            if !self.demands.get(&(origin, id)).is_some_and(|demand| demand.uncertain) {
                self.close(origin, id, at);
            }
        }
        // Clients that went away only recently may still return: they count as having wanted a connection
        // until now.
        for (key, all) in std::mem::take(&mut self.absent) {
            let mean_absence_ms = self.returns.get(&(key.0, key.1)).copied().unwrap_or_default().mean();
            for client in all.into_iter().filter(|client| !client.excluded) {
                if at - client.since > 3.0 * mean_absence_ms {
                    self.count_unreturned(key, client);
                } else {
                    self.account(key.1, key.2, client.since, at, Some(client.cause));
                }
            }
        }
        for ((kind, cause, class, tenant), series) in std::mem::take(&mut self.unreturned) {
            let returns = self.returns.get(&(kind, class)).copied().unwrap_or_default();
            // Many went away and none returned: the protocol has no marks, so that nothing can be estimated.
            if returns.returned == 0 && returns.departed >= MIN_DEPARTURES_TO_JUDGE_MARKS {
                continue;
            }
            let mean_absence_ms = returns.mean();
            let (connected_ms, ended) = self.connected_ms.get(&class).copied().unwrap_or_default();
            let lifetime_ms = if ended > 0 { connected_ms / ended as f64 } else { 0.0 };
            let unreturned = returns.departed.saturating_sub(returns.returned) as f64;
            let ended_anyway = if lifetime_ms > 0.0 {
                unreturned.min(returns.departed as f64 * mean_absence_ms / lifetime_ms)
            } else {
                unreturned
            };
            let mean_loss_ms = (ended_anyway * mean_absence_ms / 2.0
                + (unreturned - ended_anyway) * lifetime_ms)
                / unreturned.max(1.0);
            let rate = self.worth(class) / 1_000.0;
            // The loss is spread from the time at which the clients went away over the mean loss per client,
            // but not beyond the last record.
            let mut lost = 0.0;
            let steps = series.values(crate::series::MAX_STEPS, 1.0);
            for (index, count) in steps.iter().enumerate().filter(|(_, count)| **count > 0.0) {
                let from = self.scale.from + index as f64 * self.scale.step_ms;
                let (until, rate) = ((from + mean_loss_ms).min(at), f64::from(*count) * rate);
                self.asked.add_rate(&self.scale, from, until, rate);
                self.lost.entry((cause, class)).or_default().add_rate(&self.scale, from, until, rate);
                lost += rate * (until - from).max(0.0);
            }
            for sums in [self.by_class.entry(class).or_default(), self.by_tenant.entry(tenant).or_default()] {
                sums.0 += lost;
                sums.1 += lost;
            }
        }
        let connected_clients =
            self.connected_clients.into_iter().map(|(key, clients)| (key, clients.series)).collect();
        let (by_class, by_tenant) = (self.by_class, self.by_tenant);
        LedgerTotals { asked: self.asked, lost: self.lost, by_class, by_tenant, connected_clients }
    }
}

#[cfg(test)]
mod tests;
