//! Reads records in time order, updates the members' histories and the service ledger, and builds the
//! findings.

mod summary;

use summary::class_and_tenant_names;
pub use summary::natural_order;

use crate::accounting::{self, Cause, Ledger, MemberCause};
use crate::dead_peers::PeerDeaths;
use crate::findings::{
    DataIssue, Findings, Gap, Incident, IncidentKind, Member, MemberState, Node, Run, RunEnd, Service,
    ServiceTotals, SiteSeries, Span, TenantSeries,
};
use crate::member::MemberHistory;
use crate::series::{MAX_STEPS, Scale, TimeSeries};
use hopmoor_record::codec::Site;
use hopmoor_record::merge::Step;
use hopmoor_record::{Answer, Damage, Event, Header, MemberId, Merged, MoveReason, Origin, Outcome, Record};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Transactions rejected, failed or served late for lack of capacity within one second that make a shortage
/// an incident.
const SHORTAGE_PER_SECOND: u32 = 3;
/// A shortage is over once no transaction was rejected, failed or late for this long.
const SHORTAGE_GAP_MS: f64 = 5_000.0;
/// Smaller steps of a host's clock are not reported.
const MIN_CLOCK_STEP_MS: f64 = 500.0;
/// Lost service counts towards an incident from this long before its start: clients may lose service shortly
/// before the nodes detect the fault.
const LOSS_BEFORE_MS: f64 = 1_000.0;
/// Lost service counts towards an incident until this long after its end: service may still be lost for a
/// while after the fault is over.
const LOSS_AFTER_MS: f64 = 15_000.0;
/// Maximum number of data issues, and of record gaps per node, that are listed one by one.
const MAX_DATA_ISSUES: usize = 200;
/// Maximum number of incidents that are listed; the costliest are kept.
const MAX_INCIDENTS: usize = 1_000;

/// A node whose records are read.
#[derive(Default)]
struct Source {
    name: String,
    header: Option<Arc<Header>>,
    runs: Vec<Run>,
    gaps: Vec<Gap>,
    /// Whether the records of the current run have not ended yet.
    running: bool,
    last_record_at: f64,
    /// The host's clock minus the record's time, as of the last [`Event::Counters`].
    clock_offset_ms: Option<f64>,
    /// Start, last failed call and number of failed calls of the latest period in which discovery failed.
    discovery_outage: Option<(f64, f64, u64)>,
    transactions: u64,
    turned_away: u64,
    moved: u64,
    /// Each tenant's last sample: time, budget, open connections, queued transactions.
    tenant_samples: BTreeMap<u32, (f64, f64, f64, f64)>,
}

/// A period in which transactions were rejected, failed or served late for lack of capacity.
#[derive(Clone, Default)]
struct Shortage {
    from: f64,
    until: f64,
    turned_away: u64,
    late: u64,
    /// Turned away and late transactions of each class.
    by_class: BTreeMap<u32, u64>,
    by_tenant: BTreeMap<u32, u64>,
    /// Transactions since `second_from`.
    in_second: u32,
    second_from: f64,
    /// Whether [`SHORTAGE_PER_SECOND`] was reached in any second.
    is_incident: bool,
}

/// Counts of a class or tenant.
#[derive(Clone, Default)]
struct Counts {
    transactions: u64,
    served: u64,
    rejected: u64,
    failed: u64,
    left: u64,
    moved: u64,
    broken: u64,
    /// Sum of the waiting times of served transactions.
    wait_ms: f64,
}

/// Analyses records, which have to be fed in time order.
pub struct Analysis {
    from: f64,
    until: f64,
    records: u64,
    site: Site,
    /// The shortest message time target of all classes; infinite if no class has one.
    message_target_ms: f64,
    sources: Vec<Source>,
    members: BTreeMap<MemberId, MemberHistory>,
    ledger: Ledger,
    /// Class and tenant of each open transaction.
    class_and_tenant: BTreeMap<(Origin, u64), (u32, u32)>,
    classes: BTreeMap<u32, Counts>,
    tenants: BTreeMap<u32, Counts>,
    arrivals: TimeSeries,
    moved: TimeSeries,
    turned_away: BTreeMap<u32, TimeSeries>,
    /// Budget, open connections and queued transactions of each tenant.
    budgets: BTreeMap<u32, [TimeSeries; 3]>,
    /// The current shortage.
    shortage: Shortage,
    shortages: Vec<Shortage>,
    /// Node, start, last failed call and number of failed calls of each discovery outage.
    discovery_outages: Vec<(Origin, f64, f64, u64)>,
    peer_deaths: PeerDeaths,
    data_issues: Vec<DataIssue>,
    /// Data issues beyond [`MAX_DATA_ISSUES`].
    unlisted_issues: u64,
}

/// Reads all records and returns the findings.
pub fn analyse(records: Merged) -> Findings {
    let mut analysis = Analysis::default();
    for (origin, at, step) in records {
        analysis.feed(origin, at, &step);
    }
    analysis.finish()
}

impl Default for Analysis {
    fn default() -> Self {
        Analysis {
            from: f64::NAN,
            until: f64::NAN,
            records: 0,
            site: Site::default(),
            message_target_ms: f64::INFINITY,
            sources: Vec::new(),
            members: BTreeMap::new(),
            ledger: Ledger::new(0.0),
            class_and_tenant: BTreeMap::new(),
            classes: BTreeMap::new(),
            tenants: BTreeMap::new(),
            arrivals: TimeSeries::default(),
            moved: TimeSeries::default(),
            turned_away: BTreeMap::new(),
            budgets: BTreeMap::new(),
            shortage: Shortage::default(),
            shortages: Vec::new(),
            discovery_outages: Vec::new(),
            peer_deaths: PeerDeaths::default(),
            data_issues: Vec::new(),
            unlisted_issues: 0,
        }
    }
}

impl Analysis {
    fn source(&mut self, origin: Origin) -> &mut Source {
        if self.sources.len() <= origin.0 {
            self.sources.resize_with(origin.0 + 1, Source::default);
        }
        &mut self.sources[origin.0]
    }

    /// Lists an issue with a node's records, or only counts it once [`MAX_DATA_ISSUES`] are listed.
    fn add_issue(&mut self, origin: Origin, at: f64, what: String) {
        if self.data_issues.len() >= MAX_DATA_ISSUES {
            self.unlisted_issues += 1;
            return;
        }
        let node = self.source(origin).name.clone();
        self.data_issues.push(DataIssue { at, node, what });
    }

    /// Processes one step of the merged records.
    pub fn feed(&mut self, origin: Origin, at: f64, step: &Step) {
        if self.from.is_nan() && matches!(step, Step::RunStarted(_) | Step::Record(_)) {
            (self.from, self.until) = (at, at);
            let replaced = std::mem::replace(&mut self.ledger, Ledger::new(at));
            drop(replaced);
        }
        match step {
            Step::RunStarted(header) => self.run_started(origin, at, header),
            Step::Record(record) => self.record(origin, at, record),
            Step::Damaged(path, damage) => {
                let file =
                    path.file_name().map_or_else(String::new, |name| name.to_string_lossy().into_owned());
                self.add_issue(origin, at, format!("{file}: {damage}"));
                // The records in the damaged part are lost, so open transactions become uncertain. A torn end
                // needs no such treatment: it loses one record only, and the run ends there.
                if !matches!(damage, Damage::Torn { .. }) && at.is_finite() && at > 0.0 {
                    self.ledger.records_lost(origin, at);
                }
            }
            Step::ClockShifted(by) => {
                let what = format!(
                    "its clock reads {:.1} s earlier than before; what follows is shown so much later",
                    by / 1_000.0
                );
                self.add_issue(origin, at, what);
            }
            // If the node ran again, a later step changes the end of this run to `RunEnd::Cut`.
            Step::RunEnded => self.run_ended(origin, at, RunEnd::RecordsEnd),
            Step::FolderEnded => {}
        }
    }

    fn run_started(&mut self, origin: Origin, at: f64, header: &Arc<Header>) {
        if let Some(before) = self.source(origin).runs.last_mut().filter(|run| run.end == RunEnd::RecordsEnd)
        {
            before.end = RunEnd::Cut;
        }
        if self.site.classes.len() < header.site.classes.len()
            || self.site.tenants.len() < header.site.tenants.len()
        {
            self.site = header.site.clone();
            self.ledger.set_worths(self.site.classes.iter().map(|class| class.worth).collect());
            let targets = self.site.classes.iter().map(|class| class.message_aim_ms);
            self.message_target_ms = targets.filter(|target| *target > 0.0).fold(f64::INFINITY, f64::min);
        } else if !header.site.classes.is_empty()
            && class_and_tenant_names(&self.site) != class_and_tenant_names(&header.site)
        {
            let what =
                "names its classes or tenants otherwise than the other records; their figures are mixed";
            self.add_issue(origin, at, what.into());
        }
        let source = self.source(origin);
        source.name.clone_from(&header.node);
        source.header = Some(header.clone());
        source.runs.push(Run { from: at, until: at, end: RunEnd::RecordsEnd, leaving: None });
        (source.running, source.last_record_at, source.clock_offset_ms) = (true, at, None);
        source.tenant_samples.clear();
    }

    /// Ends the node's run at its last record. Nothing is inferred about the time after it.
    fn run_ended(&mut self, origin: Origin, at: f64, end: RunEnd) {
        let source = self.source(origin);
        if !std::mem::take(&mut source.running) {
            return;
        }
        let leaving = source.runs.last().and_then(|run| run.leaving);
        if let Some(run) = source.runs.last_mut() {
            (run.until, run.end) = (at, end);
        }
        let outage = source.discovery_outage.take();
        self.discovery_outages.extend(outage.map(|(from, until, count)| (origin, from, until, count)));
        self.members.values_mut().for_each(|history| history.run_ended(origin, at));
        let cause = if end == RunEnd::Stopped || leaving.is_some() {
            Cause::NodeLeft(origin)
        } else {
            Cause::NodeCut(origin)
        };
        self.ledger.run_ended(origin, at, cause);
        self.class_and_tenant.retain(|(node, _), _| *node != origin);
    }

    fn record(&mut self, origin: Origin, at: f64, record: &Record) {
        self.records += 1;
        self.until = self.until.max(at);
        let doubled = self.ledger.extend_to(at);
        if doubled > 0 {
            let mut all_series: Vec<&mut TimeSeries> = vec![&mut self.arrivals, &mut self.moved];
            all_series.extend(self.turned_away.values_mut());
            all_series.extend(self.budgets.values_mut().flatten());
            all_series.into_iter().for_each(|series| series.double_steps(doubled));
        }
        let scale = self.ledger.scale;
        let source = self.source(origin);
        source.last_record_at = at;
        if let Some(run) = source.runs.last_mut().filter(|_| source.running) {
            run.until = at;
        }
        match &record.event {
            Event::Started(_) | Event::Reloaded(_) => {}
            Event::Stopped(_) => self.run_ended(origin, at, RunEnd::Stopped),
            Event::Leaving(_) => {
                if let Some(run) = source.runs.last_mut() {
                    run.leaving = Some(at);
                }
            }
            Event::Member(member) => {
                let history = self.members.entry(member.member).or_default();
                history.name.clone_from(&member.name);
                if member.phase != hopmoor_record::Phase::Gone {
                    history.zone = member.zone;
                }
                history.listed(origin, at, member.phase, member.born, member.again);
            }
            Event::View(view) => {
                let history = self.members.entry(view.member).or_default();
                history.viewed(origin, at, f64::from(view.warmth), view.avoided_ms > 0.0);
            }
            Event::Probed(probed) => {
                let target_ms = self.message_target_ms;
                let history = self.members.entry(probed.member).or_default();
                history.probe_ended(at, probed.outcome, probed.load.map(f64::from));
                if let Some(ms) = probed.message_ms {
                    history.message_time(at, f64::from(ms), target_ms);
                }
            }
            Event::Delay(delay) => {
                let target_ms = self.message_target_ms;
                let history = self.members.entry(delay.member).or_default();
                history.message_time(at, f64::from(delay.took_ms), target_ms);
            }
            Event::Flow(flow) => self.flow(origin, at, flow),
            Event::Asked(asked) => {
                source.transactions += 1;
                self.arrivals.add(&scale, at, 1.0);
                let (class, tenant) = (asked.class, asked.tenant);
                self.classes.entry(class).or_default().transactions += 1;
                self.tenants.entry(tenant).or_default().transactions += 1;
                self.class_and_tenant.insert((origin, asked.transaction), (class, tenant));
                self.ledger.client_asked(origin, asked.transaction, at, class, tenant, asked.coming);
            }
            Event::Answered(answered) => self.answered(origin, at, answered),
            Event::Moved(moved) => {
                source.moved += 1;
                self.moved.add(&scale, at, 1.0);
                if let Some((class, tenant)) = self.class_and_tenant.remove(&(origin, moved.transaction)) {
                    self.classes.entry(class).or_default().moved += 1;
                    self.tenants.entry(tenant).or_default().moved += 1;
                }
                let cause = match moved.reason {
                    MoveReason::Draining | MoveReason::Member | MoveReason::Negotiation => {
                        Cause::Member(moved.member, MemberCause::Drained)
                    }
                    MoveReason::Gone => Cause::Member(moved.member, MemberCause::Gone),
                    MoveReason::Relief => Cause::Member(moved.member, MemberCause::Relief),
                    MoveReason::Leaving => Cause::NodeLeft(origin),
                };
                self.ledger.went_away(origin, moved.transaction, at, Some(cause));
            }
            Event::Tenant(tenant) => {
                let sample = (at, f64::from(tenant.budget), f64::from(tenant.open), f64::from(tenant.queued));
                let last = source.tenant_samples.insert(tenant.tenant, sample);
                if let Some((since, budget, open, queued)) = last {
                    let all_series = self.budgets.entry(tenant.tenant).or_default();
                    for (series, value) in all_series.iter_mut().zip([budget, open, queued]) {
                        series.add_rate(&scale, since, at, value);
                    }
                }
            }
            Event::Counters(counters) => {
                let offset_ms = counters.wall - record.at;
                let before = source.clock_offset_ms.replace(offset_ms);
                if let Some(by) =
                    before.map(|before| offset_ms - before).filter(|by| by.abs() > MIN_CLOCK_STEP_MS)
                {
                    let what = format!(
                        "the host's clock was set by {:+.1} s; the records go on unmoved",
                        by / 1_000.0
                    );
                    self.add_issue(origin, at, what);
                }
            }
            Event::Gap(gap) => {
                if source.gaps.len() < MAX_DATA_ISSUES {
                    source.gaps.push(Gap { from: gap.since.min(at), until: at, lost: gap.lost });
                }
                let why = if gap.disk { "the disk" } else { "want of room" };
                self.ledger.records_lost(origin, gap.since.min(at));
                self.add_issue(origin, at, format!("{} records lost for {why}", gap.lost));
            }
            Event::Fault(fault) => self.add_issue(origin, at, fault.what.clone()),
            Event::Neighbour(neighbour) => {
                let observer = source.name.clone();
                self.peer_deaths.record(&observer, at, neighbour);
            }
            Event::Blind(_) => match &mut source.discovery_outage {
                Some((_, until, count)) if at - *until < 15_000.0 => (*until, *count) = (at, *count + 1),
                outage => {
                    let previous = outage.replace((at, at, 1));
                    self.discovery_outages
                        .extend(previous.map(|(from, until, count)| (origin, from, until, count)));
                }
            },
        }
    }

    fn flow(&mut self, origin: Origin, at: f64, flow: &hopmoor_record::Flow) {
        let history = self.members.entry(flow.member).or_default();
        history.flow_ended(at, flow.outcome, flow.stood, f64::from(flow.took_ms));
        let member_cause = match flow.outcome {
            Outcome::TimedOut => Some(MemberCause::Silent),
            Outcome::Unreachable | Outcome::Reset => Some(MemberCause::Broke),
            Outcome::Full | Outcome::Error => Some(MemberCause::Refused),
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => None,
        };
        let cause = member_cause.map(|member_cause| Cause::Member(flow.member, member_cause));
        match (flow.stood, cause) {
            (false, Some(cause)) => self.ledger.attempt_failed(origin, flow.transaction, at, cause),
            (false, None) => {}
            (true, cause) => {
                let class_and_tenant = self.class_and_tenant.remove(&(origin, flow.transaction));
                if let (Some(cause), Some((class, tenant))) = (cause, class_and_tenant) {
                    self.classes.entry(class).or_default().broken += 1;
                    self.tenants.entry(tenant).or_default().broken += 1;
                    self.ledger.went_away(origin, flow.transaction, at, Some(cause));
                } else {
                    self.ledger.ended(origin, flow.transaction, at);
                }
            }
        }
    }

    fn answered(&mut self, origin: Origin, at: f64, answered: &hopmoor_record::Answered) {
        let (class, tenant, id) = (answered.class, answered.tenant, answered.transaction);
        let wait = f64::from(answered.waited_ms);
        self.ledger.ensure_known(origin, id, at - wait, class, tenant);
        for counts in [self.classes.entry(class).or_default(), self.tenants.entry(tenant).or_default()] {
            match answered.answer {
                Answer::Served => {
                    (counts.served, counts.wait_ms) = (counts.served + 1, counts.wait_ms + wait)
                }
                Answer::Rejected { .. } => counts.rejected += 1,
                Answer::Failed(_) => counts.failed += 1,
                Answer::Left => counts.left += 1,
            }
        }
        match answered.answer {
            Answer::Served => {
                self.class_and_tenant.insert((origin, id), (class, tenant));
                if let Some(member) = answered.member {
                    self.members.entry(member).or_default().served(at);
                    let queued = self.ledger.connected(origin, id, at, member);
                    let target_ms =
                        self.site.classes.get(class as usize).map_or(f64::INFINITY, |class| class.aim_ms);
                    if queued && wait > target_ms {
                        self.count_shortage(at, class, tenant, true);
                    }
                }
            }
            Answer::Left => {
                self.class_and_tenant.remove(&(origin, id));
                self.ledger.ended(origin, id, at);
            }
            Answer::Rejected { .. } | Answer::Failed(_) => {
                self.class_and_tenant.remove(&(origin, id));
                self.ledger.went_away(origin, id, at, None);
                self.source(origin).turned_away += 1;
                let scale = self.ledger.scale;
                self.turned_away.entry(class).or_default().add(&scale, at, 1.0);
                self.count_shortage(at, class, tenant, false);
            }
        }
    }

    /// Counts a transaction that was rejected, failed or, if `late`, served late for lack of capacity.
    fn count_shortage(&mut self, at: f64, class: u32, tenant: u32, late: bool) {
        if self.shortage.turned_away + self.shortage.late > 0 && at - self.shortage.until > SHORTAGE_GAP_MS {
            let shortage = std::mem::take(&mut self.shortage);
            self.shortages.extend(shortage.is_incident.then_some(shortage));
        }
        let shortage = &mut self.shortage;
        if shortage.turned_away + shortage.late == 0 {
            (shortage.from, shortage.second_from) = (at, at);
        }
        if at - shortage.second_from >= 1_000.0 {
            (shortage.second_from, shortage.in_second) = (at, 0);
        }
        shortage.in_second += 1;
        shortage.is_incident |= shortage.in_second >= SHORTAGE_PER_SECOND;
        shortage.until = at;
        shortage.turned_away += u64::from(!late);
        shortage.late += u64::from(late);
        *shortage.by_class.entry(class).or_default() += 1;
        *shortage.by_tenant.entry(tenant).or_default() += 1;
    }
}
