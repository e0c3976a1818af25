//! What the broker says for the record: the one place where it is taken down, for all fronts.
//!
//! The tape holds records until the driver takes them; it does no I/O. While it is off it costs one test a record.

use super::*;
use crate::view::{MemberView, TenantView};
use hopmoor_record as record;
use hopmoor_record::{Event as FrontEvent, MemberId, Record};

/// Records that wait for the driver, at most: what comes on top is counted as missed.
const MOST: usize = 4_096;
/// How often the module's beliefs are looked at, and how often a member without a change is told of all the same.
pub(super) const LOOK_MS: Millis = 500.0;
const AGAIN_MS: Millis = 10_000.0;
/// Changes of weight or warmth under this part are not told.
const CHANGE: f64 = 0.05;

#[derive(Default)]
pub(super) struct Recorder {
    on: bool,
    records: Vec<Record>,
    missed: u64,
    missed_since: Millis,
    members: BTreeMap<BackendId, (Millis, MemberView)>,
    tenants: BTreeMap<TenantId, (Millis, TenantView)>,
    looks: u64,
}

/// Records that were taken off the tape.
#[derive(Debug, Default)]
pub struct RecordBatch {
    /// In the order of their times.
    pub records: Vec<Record>,
    /// How many were missed before them for want of room, and since when.
    pub missed: Option<(u64, Millis)>,
}

impl Recorder {
    pub(super) fn is_on(&self) -> bool {
        self.on
    }

    pub(super) fn note(&mut self, now: Millis, event: impl FnOnce() -> FrontEvent) {
        if !self.on {
            return;
        }
        if self.records.len() < MOST {
            return self.records.push(Record { at: now, event: event() });
        }
        if self.missed == 0 {
            self.missed_since = now;
        }
        self.missed += 1;
    }
}

/// A member's number in records.
pub(super) fn number(member: BackendId) -> MemberId {
    MemberId(member.0)
}

impl Broker {
    /// Begins to record: what is known of the pool comes first.
    pub fn record(&mut self, now: Millis) {
        self.recorder.on = true;
        let members = self.pool.members().count() as u32;
        self.recorder.note(now, || record::Started { members }.into());
        for (id, member) in self.pool.members() {
            self.recorder.note(now, || listed(id, member, member.phase).into());
        }
        self.timers.set(now + LOOK_MS, Due::Look);
    }

    /// Takes what has been recorded; the buffer is the next one's.
    pub fn take_records(&mut self, buffer: Vec<Record>) -> RecordBatch {
        let missed = std::mem::take(&mut self.recorder.missed);
        RecordBatch {
            records: std::mem::replace(&mut self.recorder.records, buffer),
            missed: (missed > 0).then_some((missed, self.recorder.missed_since)),
        }
    }

    /// Another node of the fleet came, went or came again.
    pub fn peer_state_changed(
        &mut self,
        now: Millis,
        name: &str,
        state: record::NeighbourState,
        incarnation: u64,
    ) {
        self.recorder.note(now, || record::Neighbour { name: name.to_owned(), state, incarnation }.into());
    }

    /// So many records were lost so far.
    pub fn records_lost(&mut self, lost: u64) {
        self.counters.records_lost = lost;
    }

    /// Something was recorded that has not been taken.
    pub fn has_records(&self) -> bool {
        !self.recorder.records.is_empty()
    }

    /// The node ends: the last record of its run.
    pub fn record_stopped(&mut self, now: Millis) {
        let left_behind = self.transactions.len() as u32;
        self.recorder.note(now, || record::Stopped { left_behind }.into());
    }

    /// Records the counters; `wall` is the host's clock, in Unix milliseconds.
    pub fn record_counters(&mut self, now: Millis, wall: Millis) {
        if self.recorder.on {
            let values = self.counters().values().to_vec();
            self.recorder.note(now, || record::Counters { wall, values }.into());
        }
    }

    /// Looks at the module's beliefs and records what has changed.
    pub(super) fn look(&mut self, now: Millis) {
        let recorder = &mut self.recorder;
        recorder.looks += 1;
        for view in self.balancer.tenant_views() {
            let last = recorder.tenants.get(&view.tenant);
            if last.is_some_and(|(at, last)| *last == view && now - at < AGAIN_MS) {
                continue;
            }
            recorder.tenants.insert(view.tenant, (now, view));
            recorder.note(now, || tenant(view).into());
        }
        // Members every other time: their figures change slowly, and there may be thousands.
        if recorder.looks.is_multiple_of(2) {
            for view in self.balancer.member_views(now) {
                let last = recorder.members.get(&view.member);
                if last.is_some_and(|(at, last)| !differs(last, &view) && now - at < AGAIN_MS) {
                    continue;
                }
                recorder.members.insert(view.member, (now, view));
                let message_ms = self.delays.last(view.member);
                recorder.note(now, || member_view(view, message_ms).into());
            }
            let pool = &self.pool;
            recorder.members.retain(|member, (at, _)| pool.listed(*member) || now - *at < AGAIN_MS);
        }
        self.timers.set(now + LOOK_MS, Due::Look);
    }

    pub(super) fn note_member(&mut self, now: Millis, id: BackendId, name: &str, phase: Phase) {
        if let Some(member) = self.pool.member(id) {
            self.recorder.note(now, || listed(id, member, phase).into());
        } else {
            let name = name.to_owned();
            let (member, phase) = (number(id), record::Phase::from(phase));
            let event =
                record::Member { member, name, phase, zone: 0, weight: 0.0, born: None, again: false };
            self.recorder.note(now, || event.into());
        }
    }

    /// The final answer of a transaction.
    pub(super) fn note_answer(&mut self, now: Millis, t: &Transaction, answer: record::Answer) {
        self.recorder.note(now, || answered(now, t, answer).into());
    }

    /// The end of an attempt, or of a connection.
    pub(super) fn note_flow(
        &mut self,
        now: Millis,
        id: TransactionId,
        outcome: Outcome,
        stood: bool,
        by_client: bool,
    ) {
        if !self.recorder.on {
            return;
        }
        let Some(t) = self.transactions.get(&id) else { return };
        let (Some(member), took_ms) = (t.member, (now - t.sent) as f32) else { return };
        self.recorder.note(now, || {
            let (member, outcome) = (number(member), outcome.into());
            record::Flow { transaction: id.0, member, outcome, stood, by_client, took_ms }.into()
        });
    }
}

pub(super) fn answered(now: Millis, t: &Transaction, answer: record::Answer) -> record::Answered {
    record::Answered {
        transaction: t.request.id.0,
        class: t.request.class.0,
        tenant: t.request.tenant.0,
        answer,
        waited_ms: (now - t.asked) as f32,
        flows: t.flows,
        member: t.member.filter(|_| t.flows > 0).map(number),
    }
}

fn differs(a: &MemberView, b: &MemberView) -> bool {
    let report = |view: &MemberView| view.report.map(|(load, _)| load);
    let avoided = |view: &MemberView| view.avoided_ms > 0.0;
    a.open != b.open
        || a.fails != b.fails
        || avoided(a) != avoided(b)
        || report(a) != report(b)
        || (a.weight - b.weight).abs() > CHANGE
        || (a.warmth - b.warmth).abs() > CHANGE
        || (a.trouble - b.trouble).abs() > CHANGE
}

fn listed(id: BackendId, member: &crate::pool::Member, phase: Phase) -> record::Member {
    record::Member {
        member: number(id),
        name: member.name.clone(),
        phase: phase.into(),
        zone: member.zone,
        weight: member.weight as f32,
        born: member.born,
        again: false,
    }
}

fn member_view(view: MemberView, message_ms: Option<Millis>) -> record::View {
    record::View {
        member: number(view.member),
        open: view.open,
        report: view.report.map(|(load, age)| (load as f32, age as f32)),
        message_ms: message_ms.map(|ms| ms as f32),
        trouble: view.trouble as f32,
        weight: view.weight as f32,
        warmth: view.warmth as f32,
        avoided_ms: view.avoided_ms as f32,
        fails: view.fails,
    }
}

fn tenant(view: TenantView) -> record::Tenant {
    record::Tenant {
        tenant: view.tenant.0,
        demand: view.demand as f32,
        forecast: view.forecast as f32,
        budget: view.budget as f32,
        limit: view.limit as u32,
        open: view.open,
        queued: view.queued as u32,
    }
}

impl From<Phase> for record::Phase {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Serving => record::Phase::Serving,
            Phase::Draining => record::Phase::Draining,
            Phase::Gone => record::Phase::Gone,
        }
    }
}

impl From<Outcome> for record::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Ok => record::Outcome::Ok,
            Outcome::Error => record::Outcome::Error,
            Outcome::Full => record::Outcome::Full,
            Outcome::TimedOut => record::Outcome::TimedOut,
            Outcome::Unreachable => record::Outcome::Unreachable,
            Outcome::Reset => record::Outcome::Reset,
            Outcome::Cancelled => record::Outcome::Cancelled,
            Outcome::NotSent => record::Outcome::NotSent,
        }
    }
}

impl From<ArrivalKind> for record::ArrivalKind {
    fn from(coming: ArrivalKind) -> Self {
        match coming {
            ArrivalKind::First => record::ArrivalKind::First,
            ArrivalKind::Retry => record::ArrivalKind::Retry,
            ArrivalKind::Return => record::ArrivalKind::Return,
        }
    }
}

impl From<Failure> for record::Failure {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Deadline => record::Failure::Deadline,
            Failure::Broken => record::Failure::Broken,
            Failure::GivenUp => record::Failure::GivenUp,
            Failure::NotAdopted => record::Failure::NotAdopted,
            Failure::Duplicate => record::Failure::Duplicate,
        }
    }
}

/// What the head of each segment says of the site.
pub fn site(site: &Site) -> record::codec::Site {
    let name = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_else(|| at.to_string());
    let classes = site.settings.classes.iter().enumerate().map(|(at, class)| record::codec::Class {
        name: name(&site.classes, at),
        worth: class.worth,
        aim_ms: class.aim_ms,
        message_aim_ms: class.message_aim_ms,
    });
    record::codec::Site {
        classes: classes.collect(),
        tenants: site.tenants.clone(),
        zones: site.zones.clone(),
        zone: site.settings.zone.0,
    }
}
