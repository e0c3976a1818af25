//! Feeds records to members' tracks and to the ledger, and draws up the findings.

mod summary;

use summary::names;
pub use summary::natural_order;

use crate::accounting::{self, Cause, Ledger, Why};
use crate::dead_peers::Neighbours;
use crate::findings::{
    Budget, Curves, Doubt, Findings, Gap, Incident, IncidentKind, Member, MemberState, Node, Run, RunEnd,
    Service, ServiceTotals, Span,
};
use crate::member::Track;
use crate::series::{Curve, MOST, Scale};
use hopmoor_record::codec::Site;
use hopmoor_record::merge::Step;
use hopmoor_record::{Answer, Damage, Event, Header, MemberId, Merged, MoveReason, Origin, Outcome, Record};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Transactions turned away or late for want of room in a second, from which on it is an incident, and the pause
/// after which it is over.
const SHORT: u32 = 3;
const PAUSE_MS: f64 = 5_000.0;
/// A clock that was set by more than this is told.
const CLOCK_MS: f64 = 500.0;
/// What a trouble costs may be lost a little before it is seen, and for some time after it.
const BEFORE_MS: f64 = 1_000.0;
const AFTER_MS: f64 = 15_000.0;
/// Doubts and gaps that are told one by one, at most; and incidents that are listed.
const MOST_DOUBTS: usize = 200;
const MOST_INCIDENTS: usize = 1_000;

#[derive(Default)]
struct Source {
    name: String,
    header: Option<Arc<Header>>,
    runs: Vec<Run>,
    gaps: Vec<Gap>,
    open: bool,
    last: f64,
    clock: Option<f64>,
    blind: Option<(f64, f64, u64)>,
    transactions: u64,
    turned_away: u64,
    moved: u64,
    /// The tenant's budget, open and queue as last told.
    tenants: BTreeMap<u32, (f64, f64, f64, f64)>,
}

/// Transactions turned away, while they are an incident.
#[derive(Clone, Default)]
struct Rush {
    from: f64,
    until: f64,
    count: u64,
    late: u64,
    by_class: BTreeMap<u32, u64>,
    by_tenant: BTreeMap<u32, u64>,
    recent: u32,
    second: f64,
    real: bool,
}

#[derive(Clone, Default)]
struct Counts {
    transactions: u64,
    served: u64,
    rejected: u64,
    failed: u64,
    left: u64,
    moved: u64,
    broken: u64,
    wait_ms: f64,
}

/// Takes records in the order of their times.
pub struct Analysis {
    from: f64,
    until: f64,
    records: u64,
    site: Site,
    aim_ms: f64,
    sources: Vec<Source>,
    tracks: BTreeMap<MemberId, Track>,
    ledger: Ledger,
    of: BTreeMap<(Origin, u64), (u32, u32)>,
    classes: BTreeMap<u32, Counts>,
    tenants: BTreeMap<u32, Counts>,
    arrivals: Curve,
    moved: Curve,
    turned_away: BTreeMap<u32, Curve>,
    budgets: BTreeMap<u32, [Curve; 3]>,
    rush: Rush,
    rushes: Vec<Rush>,
    blinds: Vec<(Origin, f64, f64, u64)>,
    neighbours: Neighbours,
    doubts: Vec<Doubt>,
    doubts_more: u64,
}

/// Reads everything and tells what was found.
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
            aim_ms: f64::INFINITY,
            sources: Vec::new(),
            tracks: BTreeMap::new(),
            ledger: Ledger::new(0.0),
            of: BTreeMap::new(),
            classes: BTreeMap::new(),
            tenants: BTreeMap::new(),
            arrivals: Curve::default(),
            moved: Curve::default(),
            turned_away: BTreeMap::new(),
            budgets: BTreeMap::new(),
            rush: Rush::default(),
            rushes: Vec::new(),
            blinds: Vec::new(),
            neighbours: Neighbours::default(),
            doubts: Vec::new(),
            doubts_more: 0,
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

    fn doubt(&mut self, origin: Origin, at: f64, what: String) {
        if self.doubts.len() >= MOST_DOUBTS {
            self.doubts_more += 1;
            return;
        }
        let node = self.source(origin).name.clone();
        self.doubts.push(Doubt { at, node, what });
    }

    /// Takes one step.
    pub fn feed(&mut self, origin: Origin, at: f64, step: &Step) {
        if self.from.is_nan() && matches!(step, Step::Run(_) | Step::Record(_)) {
            (self.from, self.until) = (at, at);
            let worths = std::mem::replace(&mut self.ledger, Ledger::new(at));
            drop(worths);
        }
        match step {
            Step::Run(header) => self.begins(origin, at, header),
            Step::Record(record) => self.record(origin, at, record),
            Step::Damaged(path, damage) => {
                let file =
                    path.file_name().map_or_else(String::new, |name| name.to_string_lossy().into_owned());
                self.doubt(origin, at, format!("{file}: {damage}"));
                // What the damaged part held is not known. A torn end held one record, and the run ends with it.
                if !matches!(damage, Damage::Torn { .. }) && at.is_finite() && at > 0.0 {
                    self.ledger.doubt(origin, at);
                }
            }
            Step::ClockShifted(by) => {
                let what = format!(
                    "its clock reads {:.1} s earlier than before; what follows is shown so much later",
                    by / 1_000.0
                );
                self.doubt(origin, at, what);
            }
            // Whether the node ran again, a later step tells.
            Step::RunEnded => self.run_over(origin, at, RunEnd::RecordsEnd),
            Step::FolderEnded => {}
        }
    }

    fn begins(&mut self, origin: Origin, at: f64, header: &Arc<Header>) {
        if let Some(before) = self.source(origin).runs.last_mut().filter(|run| run.end == RunEnd::RecordsEnd)
        {
            before.end = RunEnd::Cut;
        }
        if self.site.classes.len() < header.site.classes.len()
            || self.site.tenants.len() < header.site.tenants.len()
        {
            self.site = header.site.clone();
            self.ledger.worths(self.site.classes.iter().map(|class| class.worth).collect());
            let aims = self.site.classes.iter().map(|class| class.message_aim_ms);
            self.aim_ms = aims.filter(|aim| *aim > 0.0).fold(f64::INFINITY, f64::min);
        } else if !header.site.classes.is_empty() && names(&self.site) != names(&header.site) {
            let what =
                "names its classes or tenants otherwise than the other records; their figures are mixed";
            self.doubt(origin, at, what.into());
        }
        let source = self.source(origin);
        source.name.clone_from(&header.node);
        source.header = Some(header.clone());
        source.runs.push(Run { from: at, until: at, end: RunEnd::RecordsEnd, leaving: None });
        (source.open, source.last, source.clock) = (true, at, None);
        source.tenants.clear();
    }

    /// The run's records are over; nothing is inferred after them.
    fn run_over(&mut self, origin: Origin, at: f64, end: RunEnd) {
        let source = self.source(origin);
        if !std::mem::take(&mut source.open) {
            return;
        }
        let leaving = source.runs.last().and_then(|run| run.leaving);
        if let Some(run) = source.runs.last_mut() {
            (run.until, run.end) = (at, end);
        }
        let blind = source.blind.take();
        self.blinds.extend(blind.map(|(from, until, count)| (origin, from, until, count)));
        self.tracks.values_mut().for_each(|track| track.run_over(origin, at));
        let cause = if end == RunEnd::Stopped || leaving.is_some() {
            Cause::NodeLeft(origin)
        } else {
            Cause::NodeCut(origin)
        };
        self.ledger.run_over(origin, at, cause);
        self.of.retain(|(of, _), _| *of != origin);
    }

    fn record(&mut self, origin: Origin, at: f64, record: &Record) {
        self.records += 1;
        self.until = self.until.max(at);
        let doubled = self.ledger.reach(at);
        if doubled > 0 {
            let mut curves: Vec<&mut Curve> = vec![&mut self.arrivals, &mut self.moved];
            curves.extend(self.turned_away.values_mut());
            curves.extend(self.budgets.values_mut().flatten());
            curves.into_iter().for_each(|series| series.double(doubled));
        }
        let scale = self.ledger.scale;
        let source = self.source(origin);
        source.last = at;
        if let Some(run) = source.runs.last_mut().filter(|_| source.open) {
            run.until = at;
        }
        match &record.event {
            Event::Started(_) | Event::Reloaded(_) => {}
            Event::Stopped(_) => self.run_over(origin, at, RunEnd::Stopped),
            Event::Leaving(_) => {
                if let Some(run) = source.runs.last_mut() {
                    run.leaving = Some(at);
                }
            }
            Event::Member(member) => {
                let track = self.tracks.entry(member.member).or_default();
                track.name.clone_from(&member.name);
                if member.phase != hopmoor_record::Phase::Gone {
                    track.zone = member.zone;
                }
                track.listed(origin, at, member.phase, member.born, member.again);
            }
            Event::View(view) => {
                let track = self.tracks.entry(view.member).or_default();
                track.viewed(origin, at, f64::from(view.warmth), view.avoided_ms > 0.0);
            }
            Event::Probed(probed) => {
                let aim = self.aim_ms;
                let track = self.tracks.entry(probed.member).or_default();
                track.probed(at, probed.outcome, probed.load.map(f64::from));
                if let Some(ms) = probed.message_ms {
                    track.message(at, f64::from(ms), aim);
                }
            }
            Event::Delay(delay) => {
                let aim = self.aim_ms;
                let track = self.tracks.entry(delay.member).or_default();
                track.message(at, f64::from(delay.took_ms), aim);
            }
            Event::Flow(flow) => self.flow(origin, at, flow),
            Event::Asked(asked) => {
                source.transactions += 1;
                self.arrivals.count(&scale, at, 1.0);
                let (class, tenant) = (asked.class, asked.tenant);
                self.classes.entry(class).or_default().transactions += 1;
                self.tenants.entry(tenant).or_default().transactions += 1;
                self.of.insert((origin, asked.transaction), (class, tenant));
                self.ledger.asked(origin, asked.transaction, at, class, tenant, asked.coming);
            }
            Event::Answered(answered) => self.answered(origin, at, answered),
            Event::Moved(moved) => {
                source.moved += 1;
                self.moved.count(&scale, at, 1.0);
                if let Some((class, tenant)) = self.of.remove(&(origin, moved.transaction)) {
                    self.classes.entry(class).or_default().moved += 1;
                    self.tenants.entry(tenant).or_default().moved += 1;
                }
                let cause = match moved.reason {
                    MoveReason::Draining | MoveReason::Member | MoveReason::Negotiation => {
                        Cause::Member(moved.member, Why::Drained)
                    }
                    MoveReason::Gone => Cause::Member(moved.member, Why::Gone),
                    MoveReason::Relief => Cause::Member(moved.member, Why::Relief),
                    MoveReason::Leaving => Cause::NodeLeft(origin),
                };
                self.ledger.went(origin, moved.transaction, at, Some(cause));
            }
            Event::Tenant(tenant) => {
                let now = (at, f64::from(tenant.budget), f64::from(tenant.open), f64::from(tenant.queued));
                let last = source.tenants.insert(tenant.tenant, now);
                if let Some((since, budget, open, queued)) = last {
                    let curves = self.budgets.entry(tenant.tenant).or_default();
                    for (series, value) in curves.iter_mut().zip([budget, open, queued]) {
                        series.spread(&scale, since, at, value);
                    }
                }
            }
            Event::Counters(counters) => {
                let drift = counters.wall - record.at;
                let before = source.clock.replace(drift);
                if let Some(by) = before.map(|before| drift - before).filter(|by| by.abs() > CLOCK_MS) {
                    let what = format!(
                        "the host's clock was set by {:+.1} s; the records go on unmoved",
                        by / 1_000.0
                    );
                    self.doubt(origin, at, what);
                }
            }
            Event::Gap(gap) => {
                if source.gaps.len() < MOST_DOUBTS {
                    source.gaps.push(Gap { from: gap.since.min(at), until: at, lost: gap.lost });
                }
                let why = if gap.disk { "the disk" } else { "want of room" };
                self.ledger.doubt(origin, gap.since.min(at));
                self.doubt(origin, at, format!("{} records lost for {why}", gap.lost));
            }
            Event::Fault(fault) => self.doubt(origin, at, fault.what.clone()),
            Event::Neighbour(neighbour) => {
                let by = source.name.clone();
                self.neighbours.take(&by, at, neighbour);
            }
            Event::Blind(_) => match &mut source.blind {
                Some((_, until, count)) if at - *until < 15_000.0 => (*until, *count) = (at, *count + 1),
                blind => {
                    let before = blind.replace((at, at, 1));
                    self.blinds.extend(before.map(|(from, until, count)| (origin, from, until, count)));
                }
            },
        }
    }

    fn flow(&mut self, origin: Origin, at: f64, flow: &hopmoor_record::Flow) {
        let track = self.tracks.entry(flow.member).or_default();
        track.flow(at, flow.outcome, flow.stood, f64::from(flow.took_ms));
        let why = match flow.outcome {
            Outcome::TimedOut => Some(Why::Silent),
            Outcome::Unreachable | Outcome::Reset => Some(Why::Broke),
            Outcome::Full | Outcome::Error => Some(Why::Refused),
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => None,
        };
        let cause = why.map(|why| Cause::Member(flow.member, why));
        match (flow.stood, cause) {
            (false, Some(cause)) => self.ledger.hindered(origin, flow.transaction, at, cause),
            (false, None) => {}
            (true, cause) => {
                let of = self.of.remove(&(origin, flow.transaction));
                if let (Some(cause), Some((class, tenant))) = (cause, of) {
                    self.classes.entry(class).or_default().broken += 1;
                    self.tenants.entry(tenant).or_default().broken += 1;
                    self.ledger.went(origin, flow.transaction, at, Some(cause));
                } else {
                    self.ledger.ended(origin, flow.transaction, at);
                }
            }
        }
    }

    fn answered(&mut self, origin: Origin, at: f64, answered: &hopmoor_record::Answered) {
        let (class, tenant, id) = (answered.class, answered.tenant, answered.transaction);
        let wait = f64::from(answered.waited_ms);
        self.ledger.known(origin, id, at - wait, class, tenant);
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
                self.of.insert((origin, id), (class, tenant));
                if let Some(member) = answered.member {
                    self.tracks.entry(member).or_default().served(at);
                    let queued = self.ledger.stands(origin, id, at, member);
                    let aim =
                        self.site.classes.get(class as usize).map_or(f64::INFINITY, |class| class.aim_ms);
                    if queued && wait > aim {
                        self.short_of_room(at, class, tenant, true);
                    }
                }
            }
            Answer::Left => {
                self.of.remove(&(origin, id));
                self.ledger.ended(origin, id, at);
            }
            Answer::Rejected { .. } | Answer::Failed(_) => {
                self.of.remove(&(origin, id));
                self.ledger.went(origin, id, at, None);
                self.source(origin).turned_away += 1;
                let scale = self.ledger.scale;
                self.turned_away.entry(class).or_default().count(&scale, at, 1.0);
                self.short_of_room(at, class, tenant, false);
            }
        }
    }

    fn short_of_room(&mut self, at: f64, class: u32, tenant: u32, late: bool) {
        if self.rush.count + self.rush.late > 0 && at - self.rush.until > PAUSE_MS {
            let rush = std::mem::take(&mut self.rush);
            self.rushes.extend(rush.real.then_some(rush));
        }
        let rush = &mut self.rush;
        if rush.count + rush.late == 0 {
            (rush.from, rush.second) = (at, at);
        }
        if at - rush.second >= 1_000.0 {
            (rush.second, rush.recent) = (at, 0);
        }
        rush.recent += 1;
        rush.real |= rush.recent >= SHORT;
        rush.until = at;
        rush.count += u64::from(!late);
        rush.late += u64::from(late);
        *rush.by_class.entry(class).or_default() += 1;
        *rush.by_tenant.entry(tenant).or_default() += 1;
    }
}
