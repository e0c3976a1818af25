//! Feeds records to members' tracks and to the ledger, and draws up the findings.

use crate::curve::{Curve, MOST, Scale};
use crate::findings::{
    Account, Budget, Curves, Doubt, Findings, Gap, Incident, IncidentKind, Member, Node, Run, RunEnd,
    Service, Span, State,
};
use crate::fleet::Neighbours;
use crate::member::Track;
use crate::wants::{self, Cause, Ledger, Why};
use hopmoor_record::codec::Site;
use hopmoor_record::merge::Step;
use hopmoor_record::{Answer, Damage, Event, Header, MemberId, Merged, Origin, Outcome, Reason, Record};
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
            Step::Shifted(by) => {
                let what = format!(
                    "its clock reads {:.1} s earlier than before; what follows is shown so much later",
                    by / 1_000.0
                );
                self.doubt(origin, at, what);
            }
            // Whether the node ran again, a later step tells.
            Step::Over => self.run_over(origin, at, RunEnd::RecordsEnd),
            Step::End => {}
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
            curves.into_iter().for_each(|curve| curve.double(doubled));
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
                    Reason::Draining | Reason::Member | Reason::Negotiation => {
                        Cause::Member(moved.member, Why::Drained)
                    }
                    Reason::Gone => Cause::Member(moved.member, Why::Gone),
                    Reason::Relief => Cause::Member(moved.member, Why::Relief),
                    Reason::Leaving => Cause::NodeLeft(origin),
                };
                self.ledger.went(origin, moved.transaction, at, Some(cause));
            }
            Event::Tenant(tenant) => {
                let now = (at, f64::from(tenant.budget), f64::from(tenant.open), f64::from(tenant.queued));
                let last = source.tenants.insert(tenant.tenant, now);
                if let Some((since, budget, open, queued)) = last {
                    let curves = self.budgets.entry(tenant.tenant).or_default();
                    for (curve, value) in curves.iter_mut().zip([budget, open, queued]) {
                        curve.spread(&scale, since, at, value);
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

    // ---- Findings ----

    /// Nothing more comes: draws up what was found.
    pub fn finish(mut self) -> Findings {
        if self.from.is_nan() {
            return Findings { doubts: self.doubts, ..Findings::default() };
        }
        let rush = std::mem::take(&mut self.rush);
        self.rushes.extend((rush.real).then_some(rush));
        self.tracks.values_mut().for_each(|track| track.end(self.until));
        if self.neighbours.more() > 0 {
            let what = format!("{} further deaths of nodes are not listed", self.neighbours.more());
            self.doubts.push(Doubt { at: self.until, node: String::new(), what });
        }
        if self.doubts_more > 0 {
            let what = format!("{} further doubts are not listed", self.doubts_more);
            self.doubts.push(Doubt { at: self.until, node: String::new(), what });
        }
        let ledger = std::mem::replace(&mut self.ledger, Ledger::new(self.from));
        let scale = ledger.scale;
        let mut account = ledger.finish(self.until);
        self.late_at_members(&scale, &mut account);
        let mut incidents = self.incidents();
        let unexplained = self.explain(&scale, &mut incidents, &mut account);
        self.draw_up(&scale, incidents, account, unexplained)
    }

    /// What stood at members while they were silent or slow was lost.
    fn late_at_members(&self, scale: &Scale, account: &mut wants::Account) {
        for (id, track) in &self.tracks {
            let mut slowness = track.slowness.iter();
            let mut covered: Vec<(f64, f64)> = Vec::new();
            for span in track.spans() {
                let (why, late) = match span.state {
                    State::Silent => (Why::Silent, f64::INFINITY),
                    State::Slow => (Why::Slow, slowness.next().copied().unwrap_or(f64::INFINITY)),
                    _ => continue,
                };
                let until = span.until.unwrap_or(self.until);
                for (place, class) in self.site.classes.iter().enumerate() {
                    let hit = span.state == State::Silent
                        || class.message_aim_ms > 0.0 && late > class.message_aim_ms;
                    let Some(curve) = account.standing.get(&(*id, place as u32)).filter(|_| hit) else {
                        continue;
                    };
                    // Seconds in which it was both count once, for what was seen first.
                    for (from, until) in uncovered(&covered, span.from, until) {
                        let worth = curve.between(scale, from, until);
                        let rate = worth / (until - from).max(1e-9);
                        let key = (Cause::Member(*id, why), place as u32);
                        account.lost.entry(key).or_default().spread(scale, from, until, rate);
                        account.by_class.entry(place as u32).or_default().1 += worth;
                    }
                }
                covered.push((span.from, until));
            }
        }
    }

    fn name(&self, member: MemberId) -> String {
        match self.tracks.get(&member).map(|track| &track.name) {
            Some(name) if !name.is_empty() => name.clone(),
            _ => format!("{:016x}", member.0),
        }
    }

    fn class_name(&self, class: u32) -> String {
        self.site.classes.get(class as usize).map_or_else(|| class.to_string(), |class| class.name.clone())
    }

    fn tenant_name(&self, tenant: u32) -> String {
        self.site.tenants.get(tenant as usize).cloned().unwrap_or_else(|| tenant.to_string())
    }

    fn incidents(&self) -> Vec<(Option<MemberId>, Option<Origin>, Incident)> {
        let mut all = Vec::new();
        let blank = |kind, subject: String, from, until, cause| Incident {
            number: 0,
            kind,
            subject,
            from,
            until,
            cause,
            lost: 0.0,
            share: 0.0,
            by_class: Vec::new(),
        };
        for (id, track) in &self.tracks {
            for span in track.spans().iter().filter(|span| span.state != State::Avoided) {
                let cause = describe(&track.name, span, self.until);
                let kind = IncidentKind::Member(span.state);
                all.push((Some(*id), None, blank(kind, track.name.clone(), span.from, span.until, cause)));
            }
        }
        for (at, source) in self.sources.iter().enumerate() {
            let origin = Some(Origin(at));
            let name = || source.name.clone();
            for (place, run) in source.runs.iter().enumerate() {
                let next = source.runs.get(place + 1).map(|next| next.from);
                let back = match next {
                    Some(next) => format!("back after {}", seconds(next - run.until)),
                    None => "not heard of again".into(),
                };
                match (run.end, run.leaving) {
                    (RunEnd::Stopped, leaving) => {
                        let from = leaving.unwrap_or(run.until);
                        // The end of the records is not a trouble if all of them end there.
                        if next.is_none() && leaving.is_none() {
                            continue;
                        }
                        let cause = format!("node {} left and ended in good order; {back}", source.name);
                        all.push((None, origin, blank(IncidentKind::NodeLeft, name(), from, next, cause)));
                    }
                    (RunEnd::Cut, _) => {
                        let cause =
                            format!("records of node {} end without a word here; {back}", source.name);
                        all.push((
                            None,
                            origin,
                            blank(IncidentKind::NodeCut, name(), run.until, next, cause),
                        ));
                    }
                    (RunEnd::RecordsEnd, _) if self.until - run.until > 2_000.0 => {
                        let cause = format!(
                            "records of node {} end here without a word; what came after is not known",
                            source.name
                        );
                        all.push((
                            None,
                            origin,
                            blank(IncidentKind::NodeCut, name(), run.until, None, cause),
                        ));
                    }
                    (RunEnd::RecordsEnd, _) => {}
                }
            }
            for gap in &source.gaps {
                let cause = format!("{} records of node {} lost", gap.lost, source.name);
                let kind = IncidentKind::RecordsLost;
                all.push((None, origin, blank(kind, name(), gap.from, Some(gap.until), cause)));
            }
        }
        for (origin, from, until, count) in &self.blinds {
            let name = self.sources[origin.0].name.clone();
            let cause = format!("node {name} could not ask discovery, {count} time(s)");
            all.push((None, Some(*origin), blank(IncidentKind::Blind, name, *from, Some(*until), cause)));
        }
        all.extend(self.neighbours.incidents().map(|found| (None, None, found)));
        for rush in &self.rushes {
            let listed = |names: &mut dyn Iterator<Item = (String, u64)>| {
                let mut parts: Vec<_> = names.collect();
                parts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
                let words: Vec<_> =
                    parts.into_iter().take(4).map(|(name, count)| format!("{name} {count}")).collect();
                words.join(", ")
            };
            let classes =
                listed(&mut rush.by_class.iter().map(|(class, count)| (self.class_name(*class), *count)));
            let tenants =
                listed(&mut rush.by_tenant.iter().map(|(tenant, count)| (self.tenant_name(*tenant), *count)));
            let (away, late) = (rush.count, rush.late);
            let cause =
                format!("{away} transactions turned away and {late} served late: {classes}; of {tenants}");
            let kind = IncidentKind::NoRoom;
            all.push((None, None, blank(kind, String::new(), rush.from, Some(rush.until), cause)));
        }
        all.sort_by(|a, b| a.2.from.total_cmp(&b.2.from));
        all
    }

    /// Gives each lost piece to the incident that its cause names; returns what none explains.
    fn explain(
        &self,
        scale: &Scale,
        incidents: &mut [(Option<MemberId>, Option<Origin>, Incident)],
        account: &mut wants::Account,
    ) -> f64 {
        let classes = self.site.classes.len();
        incidents.iter_mut().for_each(|(_, _, incident)| incident.by_class = vec![0.0; classes]);
        let mut unexplained = 0.0;
        for ((cause, class), curve) in &account.lost {
            let mut left = curve.values(MOST, 1.0);
            for kind in kinds(*cause) {
                for (member, origin, incident) in incidents.iter_mut() {
                    let fits = incident.kind == *kind
                        && match cause {
                            Cause::Member(id, _) => *member == Some(*id),
                            Cause::NodeLeft(of) | Cause::NodeCut(of) => *origin == Some(*of),
                            Cause::Room | Cause::SetUp => true,
                        };
                    if !fits {
                        continue;
                    }
                    let from = incident.from - BEFORE_MS.max(scale.step);
                    let until = incident.until.unwrap_or(self.until) + AFTER_MS;
                    let mut taken = 0.0;
                    for (place, value) in left.iter_mut().enumerate().filter(|(_, value)| **value > 0.0) {
                        let at = scale.from + place as f64 * scale.step;
                        if at >= from && at <= until {
                            taken += f64::from(std::mem::take(value));
                        }
                    }
                    incident.lost += taken;
                    if let Some(part) = incident.by_class.get_mut(*class as usize) {
                        *part += taken;
                    }
                }
            }
            unexplained += left.iter().map(|value| f64::from(*value)).sum::<f64>();
        }
        unexplained
    }

    fn draw_up(
        self,
        scale: &Scale,
        incidents: Vec<(Option<MemberId>, Option<Origin>, Incident)>,
        account: wants::Account,
        unexplained: f64,
    ) -> Findings {
        let steps = (((self.until - self.from) / scale.step).ceil() as usize).clamp(1, MOST);
        let per_second = 1_000.0 / scale.step;
        let asked_sum = account.asked.sum();
        let mut lost_all = vec![0.0f64; steps];
        let mut at_member: BTreeMap<MemberId, f64> = BTreeMap::new();
        for ((cause, _), curve) in &account.lost {
            for (sum, value) in lost_all.iter_mut().zip(curve.values(steps, 1.0)) {
                *sum += f64::from(value);
            }
            if let Cause::Member(id, _) = cause {
                *at_member.entry(*id).or_default() += curve.sum();
            }
        }
        let asked = account.asked.values(steps, per_second);
        let served = asked
            .iter()
            .zip(&lost_all)
            .map(|(asked, lost)| (f64::from(*asked) - lost * per_second).max(0.0) as f32)
            .collect();
        let lost: f64 = account.lost.values().map(Curve::sum).sum::<f64>().min(asked_sum);
        let share = |lost: f64| if asked_sum > 0.0 { lost / asked_sum } else { 0.0 };
        let zone = |zone: u32| match self.site.zones.get(zone as usize) {
            Some(zone) => zone.clone(),
            None => String::new(),
        };
        let members = self.tracks.iter().map(|(id, track)| {
            let mut standing = Curve::default();
            for ((member, _), curve) in account.standing.range((*id, 0)..=(*id, u32::MAX)) {
                debug_assert_eq!(member, id);
                for (place, value) in curve.values(steps, per_second).iter().enumerate() {
                    standing.count(scale, scale.from + (place as f64 + 0.5) * scale.step, f64::from(*value));
                }
            }
            Member {
                name: self.name(*id),
                zone: zone(track.zone),
                spans: track.spans().to_vec(),
                attempts: track.attempts,
                served: track.served,
                load: track.load(),
                lost: at_member.get(id).copied().unwrap_or(0.0),
                standing: standing.values(steps, 1.0),
            }
        });
        let mut members: Vec<Member> = members.collect();
        members.sort_by(|a, b| in_order(&a.name, &b.name));
        let rows = |counts: &BTreeMap<u32, Counts>,
                    sums: &wants::Sums,
                    names: &dyn Fn(u32) -> String,
                    all: usize| {
            let most = counts.keys().chain(sums.keys()).max().map_or(0, |most| *most as usize + 1).max(all);
            let row = |at: usize| {
                let at = at as u32;
                let counts = counts.get(&at).cloned().unwrap_or_default();
                let (asked, lost) = sums.get(&at).copied().unwrap_or_default();
                Account {
                    name: names(at),
                    transactions: counts.transactions,
                    served: counts.served,
                    rejected: counts.rejected,
                    failed: counts.failed,
                    left: counts.left,
                    moved: counts.moved,
                    broken: counts.broken,
                    wait_ms: if counts.served > 0 { counts.wait_ms / counts.served as f64 } else { 0.0 },
                    asked,
                    lost,
                }
            };
            (0..most.min(MOST)).map(row).collect::<Vec<_>>()
        };
        let classes =
            rows(&self.classes, &account.by_class, &|class| self.class_name(class), self.site.classes.len());
        let tenants = rows(
            &self.tenants,
            &account.by_tenant,
            &|tenant| self.tenant_name(tenant),
            self.site.tenants.len(),
        );
        let budgets = self.budgets.iter().map(|(tenant, [budget, open, queued])| {
            let mean = |curve: &Curve| curve.values(steps, 1.0 / scale.step);
            Budget {
                name: self.tenant_name(*tenant),
                budget: mean(budget),
                open: mean(open),
                queued: mean(queued),
            }
        });
        let turned_away =
            (0..self.site.classes.len() as u32).map(|class| match self.turned_away.get(&class) {
                Some(curve) => curve.values(steps, 1.0),
                None => vec![0.0; steps],
            });
        let curves = Curves {
            step_ms: scale.step,
            asked,
            served,
            arrivals: self.arrivals.values(steps, 1.0),
            turned_away: turned_away.collect(),
            moved: self.moved.values(steps, 1.0),
        };
        let nodes = self.sources.iter().map(|source| Node {
            name: source.name.clone(),
            runs: source.runs.clone(),
            gaps: source.gaps.clone(),
            transactions: source.transactions,
            turned_away: source.turned_away,
            moved: source.moved,
        });
        let incidents = incidents.into_iter().map(|(_, _, incident)| incident);
        let mut incidents: Vec<Incident> = incidents.collect();
        if incidents.len() > MOST_INCIDENTS {
            // Those that cost most are kept.
            incidents.sort_by(|a, b| b.lost.total_cmp(&a.lost));
            incidents.truncate(MOST_INCIDENTS);
            incidents.sort_by(|a, b| a.from.total_cmp(&b.from));
        }
        for (at, incident) in incidents.iter_mut().enumerate() {
            incident.number = at + 1;
            incident.share = share(incident.lost);
        }
        Findings {
            from: self.from,
            until: self.until,
            records: self.records,
            service: Service {
                asked: asked_sum,
                served: asked_sum - lost,
                lost,
                share_lost: share(lost),
                unexplained: share(unexplained),
            },
            classes,
            tenants,
            budgets: budgets.collect(),
            nodes: nodes.collect(),
            members,
            incidents,
            curves,
            doubts: self.doubts.clone(),
        }
    }
}

fn names(site: &Site) -> (Vec<&str>, &[String]) {
    (site.classes.iter().map(|class| class.name.as_str()).collect(), &site.tenants)
}

/// Which incidents can explain a loss of this cause, the likeliest first.
fn kinds(cause: Cause) -> &'static [IncidentKind] {
    use IncidentKind::{Member, NoRoom, NodeCut, NodeLeft};
    use State::{Dead, Draining, Gone, Refusing, Silent, Slow};
    match cause {
        Cause::SetUp => &[],
        Cause::Room => &[NoRoom],
        Cause::NodeLeft(_) => &[NodeLeft],
        Cause::NodeCut(_) => &[NodeCut],
        Cause::Member(_, Why::Silent) => &[Member(Silent), Member(Dead), Member(Slow)],
        Cause::Member(_, Why::Broke) => &[Member(Dead), Member(Gone), Member(Draining), Member(Silent)],
        Cause::Member(_, Why::Refused) => &[Member(Refusing), Member(Slow)],
        Cause::Member(_, Why::Slow | Why::Relief) => &[Member(Slow), Member(Refusing)],
        Cause::Member(_, Why::Drained) => &[Member(Draining), Member(Gone)],
        Cause::Member(_, Why::Gone) => &[Member(Gone), Member(Dead), Member(Draining)],
    }
}

/// The parts of a span that no span before it covers.
fn uncovered(covered: &[(f64, f64)], from: f64, until: f64) -> Vec<(f64, f64)> {
    let mut parts = vec![(from, until)];
    for (begin, end) in covered {
        let cut = |(from, until): (f64, f64)| [(from, until.min(*begin)), (from.max(*end), until)];
        parts = parts.into_iter().flat_map(cut).filter(|(from, until)| until > from).collect();
    }
    parts
}

fn seconds(ms: f64) -> String {
    format!("{:.1} s", ms / 1_000.0)
}

fn describe(name: &str, span: &Span, last: f64) -> String {
    let long = match span.until {
        Some(until) => format!("for {}", seconds(until - span.from)),
        None => format!("for {} up to the end of the records", seconds(last - span.from)),
    };
    let seen = span.evidence;
    match span.state {
        State::Silent => {
            format!("member {name} was sent work and answered nothing, {long} (seen {seen} times)")
        }
        State::Dead => format!("member {name} broke off or could not be reached, {long} (seen {seen} times)"),
        State::Refusing => format!("member {name} turned work away, {long} (seen {seen} times)"),
        State::Slow => format!("messages at member {name} were late, {long} (told {seen} times)"),
        State::Draining => format!("member {name} was draining, {long}"),
        State::Gone => format!("member {name} was not listed, {long}"),
        State::Cold => format!("member {name} had just started, {long}"),
        State::Avoided => format!("member {name} was avoided, {long}"),
    }
}

/// Names with numbers in them are put in the order of the numbers.
pub fn in_order(a: &str, b: &str) -> std::cmp::Ordering {
    let key = |name: &str| {
        let digits = name.len() - name.trim_end_matches(|c: char| c.is_ascii_digit()).len();
        let (stem, number) = name.split_at(name.len() - digits);
        (stem.to_owned(), number.parse::<u64>().unwrap_or(0))
    };
    key(a).cmp(&key(b)).then_with(|| a.cmp(b))
}
