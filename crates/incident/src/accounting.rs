//! Who wanted a connection when, and who had one: the share of service lost.
//!
//! A *want* begins when a client asks and lasts until it ends its connection in good order. In between it may wait,
//! stand at a member, or be away: rejected, failed, moved or broken off, until it asks again.
//! Each second of a want is worth what its class says. Seconds in which it stands at a member that is neither silent
//! nor slow are served; all others are lost, and each lost piece bears the cause that the node's record gives.
//!
//! Who comes again is known by the mark that clients set on wires that have one; of which client it is, nothing is
//! told. The one of its class and tenant that went away last is taken: summed over all clients, who is taken for whom
//! makes no difference, and those that never come again stay apart from those that do.
//!
//! What a node can't know is estimated, in one place ([`Ledger::finish`]): clients that went away and were never
//! heard of again. Part of them would have ended in that time anyway (the usual absence over the usual life); each
//! that goes beyond that part is taken to have wanted a usual life more.

use crate::series::{Curve, Scale};
use hopmoor_record::{ArrivalKind, MemberId, Origin};
use std::collections::BTreeMap;

/// A client that has not come again after this is taken to stay away.
const AWAY_MS: f64 = 60_000.0;

/// Clients of a class and tenant that are known to be away, at most.
const MOST_AWAY: usize = 50_000;
/// So many went away and none came again with a mark: this wire has none.
const UNMARKED: u64 = 20;
/// Waiting longer than this without a failed attempt is waiting for room.
const SET_UP_MS: f64 = 100.0;

/// Why service was lost, as one record says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Nothing but the ordinary time of setting up.
    SetUp,
    /// It waited in a queue or was turned away, and no member was at fault.
    Room,
    /// A member was at fault, or left.
    Member(MemberId, Why),
    /// A node was told to end.
    NodeLeft(Origin),
    /// A node ended without a word.
    NodeCut(Origin),
}

/// What a member did to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Why {
    /// It answered nothing.
    Silent,
    /// It broke the connection off, or none could be made.
    Broke,
    /// It turned it away.
    Refused,
    /// Its messages were late.
    Slow,
    /// It drained.
    Drained,
    /// It was listed no more.
    Gone,
    /// Clients were moved away for relief.
    Relief,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Asking,
    Standing(MemberId),
}

#[derive(Clone, Debug)]
struct Want {
    class: u32,
    tenant: u32,
    at: At,
    /// Up to when it is accounted for.
    settled: f64,
    since: f64,
    cause: Cause,
    /// Records were lost since: what it did from `settled` on is known only if it is heard of again.
    doubtful: bool,
}

/// How a client went away, and so by which mark it is known when it comes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum How {
    Turned,
    Broken,
}

/// A client that went away.
#[derive(Clone, Copy, Debug)]
struct Away {
    since: f64,
    cause: Cause,
    /// What becomes of it is not to be guessed at: the records of its node end there.
    unknown: bool,
}

type Kind = (How, u32, u32);

/// How clients of a class that went away came again.
#[derive(Clone, Copy, Debug, Default)]
struct Returns {
    went: u64,
    came: u64,
    absence: f64,
}

impl Returns {
    /// The usual absence.
    fn mean(&self) -> f64 {
        if self.came > 0 { self.absence / self.came as f64 } else { 1_000.0 }
    }
}

/// Clients that stood at a member, by class.
#[derive(Clone, Debug, Default)]
struct Standing {
    open: u32,
    since: f64,
    series: Curve,
}

/// Lost worth by class, for a cause.
pub type Lost = BTreeMap<(Cause, u32), Curve>;

/// What a class or a tenant asked for and lost, in worth-seconds.
pub type Sums = BTreeMap<u32, (f64, f64)>;

/// The account of all wants.
#[derive(Debug)]
pub struct Ledger {
    /// The steps of all curves.
    pub scale: Scale,
    worths: Vec<f64>,
    accounting: BTreeMap<(Origin, u64), Want>,
    away: BTreeMap<Kind, Vec<Away>>,
    purge_at: f64,
    never: BTreeMap<(How, Cause, u32, u32), Curve>,
    returns: BTreeMap<(How, u32), Returns>,
    standing: BTreeMap<(MemberId, u32), Standing>,
    stood_ms: BTreeMap<u32, (f64, u64)>,
    asked: Curve,
    lost: Lost,
    by_class: Sums,
    by_tenant: Sums,
}

/// What the ledger holds in the end.
#[derive(Debug, Default)]
pub struct ServiceTotals {
    /// Worth asked for over time.
    pub asked: Curve,
    /// Worth lost over time, by cause and class.
    pub lost: Lost,
    /// Asked and lost by class, lost at members apart.
    pub by_class: Sums,
    /// Asked and lost by tenant, lost at members apart.
    pub by_tenant: Sums,
    /// Worth that stood at members over time, by class.
    pub standing: BTreeMap<(MemberId, u32), Curve>,
}

impl Ledger {
    /// An empty account that begins at this time.
    pub fn new(from: f64) -> Self {
        Ledger {
            scale: Scale::new(from, 1_000.0),
            worths: Vec::new(),
            accounting: BTreeMap::new(),
            away: BTreeMap::new(),
            purge_at: from,
            never: BTreeMap::new(),
            returns: BTreeMap::new(),
            standing: BTreeMap::new(),
            stood_ms: BTreeMap::new(),
            asked: Curve::default(),
            lost: BTreeMap::new(),
            by_class: BTreeMap::new(),
            by_tenant: BTreeMap::new(),
        }
    }

    /// What a second of each class is worth.
    pub fn worths(&mut self, worths: Vec<f64>) {
        self.worths = worths;
    }

    fn worth(&self, class: u32) -> f64 {
        self.worths.get(class as usize).copied().unwrap_or(1.0)
    }

    /// The scale has to reach this time; says how often it was doubled.
    pub fn reach(&mut self, at: f64) -> u32 {
        let doubled = self.scale.reach(at);
        if doubled > 0 {
            self.asked.double(doubled);
            self.lost.values_mut().for_each(|series| series.double(doubled));
            self.never.values_mut().for_each(|series| series.double(doubled));
            self.standing.values_mut().for_each(|standing| standing.series.double(doubled));
        }
        doubled
    }

    fn account(&mut self, class: u32, tenant: u32, from: f64, until: f64, lost: Option<Cause>) {
        if until <= from {
            return;
        }
        let rate = self.worth(class) / 1_000.0;
        let worth = rate * (until - from);
        let part = if lost.is_some() { worth } else { 0.0 };
        for sums in [self.by_class.entry(class).or_default(), self.by_tenant.entry(tenant).or_default()] {
            sums.0 += worth;
            sums.1 += part;
        }
        self.asked.spread(&self.scale, from, until, rate);
        if let Some(cause) = lost {
            self.lost.entry((cause, class)).or_default().spread(&self.scale, from, until, rate);
        }
    }

    fn stand(&mut self, member: MemberId, class: u32, at: f64, by: i32) {
        let rate = self.worth(class) / 1_000.0;
        let standing = self.standing.entry((member, class)).or_default();
        standing.series.spread(&self.scale, standing.since, at, rate * f64::from(standing.open));
        standing.open = standing.open.saturating_add_signed(by);
        standing.since = at;
    }

    /// Accounts for a want up to `at`.
    fn settle(&mut self, want: &mut Want, at: f64) {
        let lost = match want.at {
            At::Asking => Some(want.cause),
            At::Standing(_) => None,
        };
        self.account(want.class, want.tenant, want.settled, at, lost);
        want.settled = at.max(want.settled);
    }

    /// A client asks.
    pub fn asked(&mut self, origin: Origin, id: u64, at: f64, class: u32, tenant: u32, coming: ArrivalKind) {
        self.purge(at);
        let mut want = Want {
            class,
            tenant,
            at: At::Asking,
            settled: at,
            since: at,
            cause: Cause::SetUp,
            doubtful: false,
        };
        let how = match coming {
            ArrivalKind::First => None,
            ArrivalKind::Retry => Some(How::Turned),
            ArrivalKind::Return => Some(How::Broken),
        };
        if let Some(how) = how
            && let Some(away) = self.away.get_mut(&(how, class, tenant)).and_then(Vec::pop)
        {
            // It has been wanting all the time.
            self.account(class, tenant, away.since, at, Some(away.cause));
            want.cause = away.cause;
            let returns = self.returns.entry((how, class)).or_default();
            returns.came += 1;
            returns.absence += at - away.since;
        }
        self.accounting.insert((origin, id), want);
    }

    /// An attempt for it has failed.
    pub fn hindered(&mut self, origin: Origin, id: u64, at: f64, cause: Cause) {
        if let Some(mut want) = self.accounting.remove(&(origin, id)) {
            if want.at == At::Asking {
                // What it has waited so far is this attempt's doing.
                want.cause = cause;
                self.settle(&mut want, at);
                want.doubtful = false;
            }
            self.accounting.insert((origin, id), want);
        }
    }

    /// It stands at a member.
    ///
    /// Returns whether it had to wait for longer than a set-up takes though no member was at fault.
    pub fn stands(&mut self, origin: Origin, id: u64, at: f64, member: MemberId) -> bool {
        let mut queued = false;
        if let Some(mut want) = self.accounting.remove(&(origin, id)) {
            if want.cause == Cause::SetUp && at - want.since > SET_UP_MS {
                want.cause = Cause::Room;
            }
            queued = want.cause == Cause::Room;
            self.settle(&mut want, at);
            (want.at, want.since, want.doubtful) = (At::Standing(member), at, false);
            self.stand(member, want.class, at, 1);
            self.accounting.insert((origin, id), want);
        }
        queued
    }

    /// A want whose beginning was lost with other records is known from now on.
    pub fn known(&mut self, origin: Origin, id: u64, asked: f64, class: u32, tenant: u32) {
        if !self.accounting.contains_key(&(origin, id)) {
            self.asked(origin, id, asked, class, tenant, ArrivalKind::First);
        }
    }

    fn take(&mut self, origin: Origin, id: u64, at: f64) -> Option<Want> {
        let mut want = self.accounting.remove(&(origin, id))?;
        if let At::Standing(member) = want.at {
            if want.doubtful {
                // It has stood all the while after all.
                let rate = self.worth(want.class) / 1_000.0;
                let standing = self.standing.entry((member, want.class)).or_default();
                standing.series.spread(&self.scale, want.settled, at, rate);
            } else {
                self.stand(member, want.class, at, -1);
            }
            let stood = self.stood_ms.entry(want.class).or_default();
            stood.0 += (at - want.since).max(0.0);
        }
        if want.doubtful && want.at == At::Asking {
            // It may have stood in between: nothing is said of that time.
            want.settled = at;
        }
        self.settle(&mut want, at);
        Some(want)
    }

    /// It ended as its client wanted it to.
    pub fn ended(&mut self, origin: Origin, id: u64, at: f64) {
        if let Some(want) = self.take(origin, id, at)
            && matches!(want.at, At::Standing(_))
        {
            self.stood_ms.entry(want.class).or_default().1 += 1;
        }
    }

    /// Its connection ended, or it was turned away, and its client is expected to come again. `None` for a cause:
    /// that of the wait before.
    pub fn went(&mut self, origin: Origin, id: u64, at: f64, cause: Option<Cause>) {
        if cause.is_none()
            && let Some(want) =
                self.accounting.get_mut(&(origin, id)).filter(|want| want.cause == Cause::SetUp)
        {
            want.cause = Cause::Room;
        }
        if let Some(want) = self.take(origin, id, at) {
            let how = if cause.is_none() { How::Turned } else { How::Broken };
            self.goes(want, at, how, cause, false);
        }
    }

    fn goes(&mut self, want: Want, at: f64, how: How, cause: Option<Cause>, unknown: bool) {
        let away = Away { since: at, cause: cause.unwrap_or(want.cause), unknown };
        if !unknown {
            self.returns.entry((how, want.class)).or_default().went += 1;
        }
        let kind = (how, want.class, want.tenant);
        let all = self.away.entry(kind).or_default();
        all.push(away);
        if all.len() > MOST_AWAY {
            let first = all.remove(0);
            self.stays_away(kind, first);
        }
    }

    fn stays_away(&mut self, (how, class, tenant): Kind, away: Away) {
        if !away.unknown {
            let series = self.never.entry((how, away.cause, class, tenant)).or_default();
            series.count(&self.scale, away.since, 1.0);
        }
    }

    fn purge(&mut self, at: f64) {
        if at < self.purge_at {
            return;
        }
        self.purge_at = at + AWAY_MS / 4.0;
        let mut old = Vec::new();
        for (kind, all) in &mut self.away {
            let gone = all.partition_point(|away| at - away.since > AWAY_MS);
            old.extend(all.drain(..gone).map(|away| (*kind, away)));
        }
        old.into_iter().for_each(|(kind, away)| self.stays_away(kind, away));
    }

    /// Records of a node were lost from `since` on: what its clients did after that is not known.
    pub fn doubt(&mut self, origin: Origin, since: f64) {
        let ids: Vec<_> = self.accounting.keys().filter(|(of, _)| *of == origin).copied().collect();
        for key in ids {
            let Some(mut want) = self.accounting.remove(&key) else { continue };
            match want.at {
                _ if want.doubtful => {}
                // Its answer may have been lost: without another word it must not seem to wait for ever.
                At::Asking => {
                    self.settle(&mut want, since);
                    want.doubtful = true;
                }
                At::Standing(member) => {
                    self.stand(member, want.class, since.max(want.since), -1);
                    self.settle(&mut want, since);
                    want.doubtful = true;
                }
            }
            self.accounting.insert(key, want);
        }
    }

    /// A node's run is over. What stood there is away; whether it came again elsewhere, other records tell.
    pub fn run_over(&mut self, origin: Origin, at: f64, cause: Cause) {
        let ids: Vec<_> = self.accounting.keys().filter(|(of, _)| *of == origin).copied().collect();
        for (origin, id) in ids {
            let doubtful = self.accounting.get(&(origin, id)).is_some_and(|want| want.doubtful);
            if doubtful {
                self.accounting.remove(&(origin, id));
            } else if let Some(want) = self.take(origin, id, at) {
                self.goes(want, at, How::Broken, Some(cause), true);
            }
        }
    }

    /// Closes the account at the last record's time, and estimates what can only be estimated.
    pub fn finish(mut self, at: f64) -> ServiceTotals {
        let ids: Vec<_> = self.accounting.keys().copied().collect();
        for (origin, id) in ids {
            if !self.accounting.get(&(origin, id)).is_some_and(|want| want.doubtful) {
                self.take(origin, id, at);
            }
        }
        // Those away just now are not given up yet: they have wanted until now.
        for (kind, all) in std::mem::take(&mut self.away) {
            let usual = self.returns.get(&(kind.0, kind.1)).copied().unwrap_or_default().mean();
            for away in all.into_iter().filter(|away| !away.unknown) {
                if at - away.since > 3.0 * usual {
                    self.stays_away(kind, away);
                } else {
                    self.account(kind.1, kind.2, away.since, at, Some(away.cause));
                }
            }
        }
        for ((how, cause, class, tenant), series) in std::mem::take(&mut self.never) {
            let returns = self.returns.get(&(how, class)).copied().unwrap_or_default();
            // Where many went and nobody ever came, clients set no mark: nothing can be said of them.
            if returns.came == 0 && returns.went >= UNMARKED {
                continue;
            }
            let absence = returns.mean();
            let (stood, ends) = self.stood_ms.get(&class).copied().unwrap_or_default();
            let life = if ends > 0 { stood / ends as f64 } else { 0.0 };
            let never = returns.went.saturating_sub(returns.came) as f64;
            let natural = if life > 0.0 { never.min(returns.went as f64 * absence / life) } else { never };
            let each = (natural * absence / 2.0 + (never - natural) * life) / never.max(1.0);
            let rate = self.worth(class) / 1_000.0;
            // They are put where they went away, and as long after it as each is taken to have wanted; nothing after
            // the last record.
            let mut lost = 0.0;
            let steps = series.values(crate::series::MOST, 1.0);
            for (place, count) in steps.iter().enumerate().filter(|(_, count)| **count > 0.0) {
                let from = self.scale.from + place as f64 * self.scale.step;
                let (until, rate) = ((from + each).min(at), f64::from(*count) * rate);
                self.asked.spread(&self.scale, from, until, rate);
                self.lost.entry((cause, class)).or_default().spread(&self.scale, from, until, rate);
                lost += rate * (until - from).max(0.0);
            }
            for sums in [self.by_class.entry(class).or_default(), self.by_tenant.entry(tenant).or_default()] {
                sums.0 += lost;
                sums.1 += lost;
            }
        }
        let standing = self.standing.into_iter().map(|(key, standing)| (key, standing.series)).collect();
        let (by_class, by_tenant) = (self.by_class, self.by_tenant);
        ServiceTotals { asked: self.asked, lost: self.lost, by_class, by_tenant, standing }
    }
}

#[cfg(test)]
mod tests;
