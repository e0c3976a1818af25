//! Event recording: the single place that turns the broker's events into records, for all fronts.
//!
//! Records are buffered until the driver takes them; nothing here does I/O. While recording is off, each
//! event costs one test.

use super::*;
use crate::view::{MemberView, TenantView};
use hopmoor_record as record;
use hopmoor_record::{Event as RecordedEvent, MemberId, Record};

/// Capacity of the buffer. Records beyond it are dropped and counted as missed.
const MAX_BUFFERED_RECORDS: usize = 4_096;
/// Interval at which the decision module's views of tenants and members are sampled.
pub(super) const VIEW_INTERVAL_MS: Millis = 500.0;
/// Interval after which a view is recorded again even if it has not changed.
const UNCHANGED_VIEW_INTERVAL_MS: Millis = 10_000.0;
/// Minimum change of weight, warmth or trouble that is recorded.
const MIN_VIEW_CHANGE: f64 = 0.05;

#[derive(Default)]
pub(super) struct Recorder {
    recording: bool,
    records: Vec<Record>,
    missed: u64,
    missed_since: Millis,
    members: BTreeMap<BackendId, (Millis, MemberView)>,
    tenants: BTreeMap<TenantId, (Millis, TenantView)>,
    view_rounds: u64,
}

/// Records taken from the buffer.
#[derive(Debug, Default)]
pub struct RecordBatch {
    /// The records, in order of time.
    pub records: Vec<Record>,
    /// Number of records dropped before these because the buffer was full, and the time of the first drop.
    pub missed: Option<(u64, Millis)>,
}

impl Recorder {
    pub(super) fn is_recording(&self) -> bool {
        self.recording
    }

    pub(super) fn append(&mut self, now: Millis, event: impl FnOnce() -> RecordedEvent) {
        if !self.recording {
            return;
        }
        if self.records.len() < MAX_BUFFERED_RECORDS {
            return self.records.push(Record { at: now, event: event() });
        }
        if self.missed == 0 {
            self.missed_since = now;
        }
        self.missed += 1;
    }
}

/// Returns a member's number as used in records.
pub(super) fn member_id(member: BackendId) -> MemberId {
    MemberId(member.0)
}

impl Broker {
    /// Starts recording. The first records are the known pool.
    pub fn start_recording(&mut self, now: Millis) {
        self.recorder.recording = true;
        let members = self.pool.members().count() as u32;
        self.recorder.append(now, || record::Started { members }.into());
        for (id, member) in self.pool.members() {
            self.recorder.append(now, || member_record(id, member, member.phase).into());
        }
        self.timers.set(now + VIEW_INTERVAL_MS, Due::RecordViews);
    }

    /// Takes the buffered records; `buffer` collects the next ones.
    pub fn take_records(&mut self, buffer: Vec<Record>) -> RecordBatch {
        let missed = std::mem::take(&mut self.recorder.missed);
        RecordBatch {
            records: std::mem::replace(&mut self.recorder.records, buffer),
            missed: (missed > 0).then_some((missed, self.recorder.missed_since)),
        }
    }

    /// Records that another node of the fleet joined, left or came back.
    pub fn peer_state_changed(
        &mut self,
        now: Millis,
        name: &str,
        state: record::NeighbourState,
        incarnation: u64,
    ) {
        self.recorder.append(now, || record::Neighbour { name: name.to_owned(), state, incarnation }.into());
    }

    /// Sets the total number of records lost so far.
    pub fn records_lost(&mut self, lost: u64) {
        self.counters.records_lost = lost;
    }

    /// Whether any records are buffered.
    pub fn has_records(&self) -> bool {
        !self.recorder.records.is_empty()
    }

    /// Records the end of the node, the last record of its run.
    pub fn record_stopped(&mut self, now: Millis) {
        let left_behind = self.transactions.len() as u32;
        self.recorder.append(now, || record::Stopped { left_behind }.into());
    }

    /// Records the counters. `wall` is the host's clock, in Unix milliseconds.
    pub fn record_counters(&mut self, now: Millis, wall: Millis) {
        if self.recorder.recording {
            let values = self.counters().values().to_vec();
            self.recorder.append(now, || record::Counters { wall, values }.into());
        }
    }

    /// Records the decision module's views that have changed since they were last recorded.
    pub(super) fn record_views(&mut self, now: Millis) {
        let recorder = &mut self.recorder;
        recorder.view_rounds += 1;
        for view in self.balancer.tenant_views() {
            let last = recorder.tenants.get(&view.tenant);
            if last.is_some_and(|(at, last)| *last == view && now - at < UNCHANGED_VIEW_INTERVAL_MS) {
                continue;
            }
            recorder.tenants.insert(view.tenant, (now, view));
            recorder.append(now, || tenant_record(view).into());
        }
        // Members only in every other round: their values change slowly, and there may be thousands of them.
        if recorder.view_rounds.is_multiple_of(2) {
            for view in self.balancer.member_views(now) {
                let last = recorder.members.get(&view.member);
                if last.is_some_and(|(at, last)| {
                    !views_differ(last, &view) && now - at < UNCHANGED_VIEW_INTERVAL_MS
                }) {
                    continue;
                }
                recorder.members.insert(view.member, (now, view));
                let message_ms = self.delays.last_reported(view.member);
                recorder.append(now, || view_record(view, message_ms).into());
            }
            let pool = &self.pool;
            recorder
                .members
                .retain(|member, (at, _)| pool.listed(*member) || now - *at < UNCHANGED_VIEW_INTERVAL_MS);
        }
        self.timers.set(now + VIEW_INTERVAL_MS, Due::RecordViews);
    }

    pub(super) fn record_member(&mut self, now: Millis, id: BackendId, name: &str, phase: Phase) {
        if let Some(member) = self.pool.member(id) {
            self.recorder.append(now, || member_record(id, member, phase).into());
        } else {
            let name = name.to_owned();
            let (member, phase) = (member_id(id), record::Phase::from(phase));
            let event =
                record::Member { member, name, phase, zone: 0, weight: 0.0, born: None, again: false };
            self.recorder.append(now, || event.into());
        }
    }

    /// Records the final answer of a transaction.
    pub(super) fn record_answer(&mut self, now: Millis, t: &Transaction, answer: record::Answer) {
        self.recorder.append(now, || answer_record(now, t, answer).into());
    }

    /// Records the end of an attempt or of an established connection.
    pub(super) fn record_flow(
        &mut self,
        now: Millis,
        id: TransactionId,
        outcome: Outcome,
        stood: bool,
        by_client: bool,
    ) {
        if !self.recorder.recording {
            return;
        }
        let Some(t) = self.transactions.get(&id) else { return };
        let (Some(member), took_ms) = (t.member, (now - t.attempt_started_at) as f32) else { return };
        self.recorder.append(now, || {
            let (member, outcome) = (member_id(member), outcome.into());
            record::Flow { transaction: id.0, member, outcome, stood, by_client, took_ms }.into()
        });
    }
}

pub(super) fn answer_record(now: Millis, t: &Transaction, answer: record::Answer) -> record::Answered {
    record::Answered {
        transaction: t.request.id.0,
        class: t.request.class.0,
        tenant: t.request.tenant.0,
        answer,
        waited_ms: (now - t.asked_at) as f32,
        flows: t.flows,
        member: t.member.filter(|_| t.flows > 0).map(member_id),
    }
}

fn views_differ(a: &MemberView, b: &MemberView) -> bool {
    let report = |view: &MemberView| view.report.map(|(load, _)| load);
    let avoided = |view: &MemberView| view.avoided_ms > 0.0;
    a.open != b.open
        || a.fails != b.fails
        || avoided(a) != avoided(b)
        || report(a) != report(b)
        || (a.weight - b.weight).abs() > MIN_VIEW_CHANGE
        || (a.warmth - b.warmth).abs() > MIN_VIEW_CHANGE
        || (a.trouble - b.trouble).abs() > MIN_VIEW_CHANGE
}

fn member_record(id: BackendId, member: &crate::pool::Member, phase: Phase) -> record::Member {
    record::Member {
        member: member_id(id),
        name: member.name.clone(),
        phase: phase.into(),
        zone: member.zone,
        weight: member.weight as f32,
        born: member.born,
        again: false,
    }
}

fn view_record(view: MemberView, message_ms: Option<Millis>) -> record::View {
    record::View {
        member: member_id(view.member),
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

fn tenant_record(view: TenantView) -> record::Tenant {
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
    fn from(arrival: ArrivalKind) -> Self {
        match arrival {
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

/// Describes the site for the header of each segment.
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
