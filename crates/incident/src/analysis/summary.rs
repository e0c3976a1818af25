//! Findings drawn up once everything has been read.

use super::*;

impl Analysis {
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
    pub(super) fn late_at_members(&self, scale: &Scale, account: &mut accounting::ServiceTotals) {
        for (id, track) in &self.tracks {
            let mut slowness = track.slowness.iter();
            let mut covered: Vec<(f64, f64)> = Vec::new();
            for span in track.spans() {
                let (why, late) = match span.state {
                    MemberState::Silent => (Why::Silent, f64::INFINITY),
                    MemberState::Slow => (Why::Slow, slowness.next().copied().unwrap_or(f64::INFINITY)),
                    _ => continue,
                };
                let until = span.until.unwrap_or(self.until);
                for (place, class) in self.site.classes.iter().enumerate() {
                    let hit = span.state == MemberState::Silent
                        || class.message_aim_ms > 0.0 && late > class.message_aim_ms;
                    let Some(series) = account.standing.get(&(*id, place as u32)).filter(|_| hit) else {
                        continue;
                    };
                    // Seconds in which it was both count once, for what was seen first.
                    for (from, until) in uncovered(&covered, span.from, until) {
                        let worth = series.between(scale, from, until);
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

    pub(super) fn name(&self, member: MemberId) -> String {
        match self.tracks.get(&member).map(|track| &track.name) {
            Some(name) if !name.is_empty() => name.clone(),
            _ => format!("{:016x}", member.0),
        }
    }

    pub(super) fn class_name(&self, class: u32) -> String {
        self.site.classes.get(class as usize).map_or_else(|| class.to_string(), |class| class.name.clone())
    }

    pub(super) fn tenant_name(&self, tenant: u32) -> String {
        self.site.tenants.get(tenant as usize).cloned().unwrap_or_else(|| tenant.to_string())
    }

    pub(super) fn incidents(&self) -> Vec<(Option<MemberId>, Option<Origin>, Incident)> {
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
            for span in track.spans().iter().filter(|span| span.state != MemberState::Avoided) {
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
    pub(super) fn explain(
        &self,
        scale: &Scale,
        incidents: &mut [(Option<MemberId>, Option<Origin>, Incident)],
        account: &mut accounting::ServiceTotals,
    ) -> f64 {
        let classes = self.site.classes.len();
        incidents.iter_mut().for_each(|(_, _, incident)| incident.by_class = vec![0.0; classes]);
        let mut unexplained = 0.0;
        for ((cause, class), series) in &account.lost {
            let mut left = series.values(MOST, 1.0);
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

    pub(super) fn draw_up(
        self,
        scale: &Scale,
        incidents: Vec<(Option<MemberId>, Option<Origin>, Incident)>,
        account: accounting::ServiceTotals,
        unexplained: f64,
    ) -> Findings {
        let steps = (((self.until - self.from) / scale.step).ceil() as usize).clamp(1, MOST);
        let per_second = 1_000.0 / scale.step;
        let asked_sum = account.asked.sum();
        let mut lost_all = vec![0.0f64; steps];
        let mut at_member: BTreeMap<MemberId, f64> = BTreeMap::new();
        for ((cause, _), series) in &account.lost {
            for (sum, value) in lost_all.iter_mut().zip(series.values(steps, 1.0)) {
                *sum += f64::from(value);
            }
            if let Cause::Member(id, _) = cause {
                *at_member.entry(*id).or_default() += series.sum();
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
            for ((member, _), series) in account.standing.range((*id, 0)..=(*id, u32::MAX)) {
                debug_assert_eq!(member, id);
                for (place, value) in series.values(steps, per_second).iter().enumerate() {
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
        members.sort_by(|a, b| natural_order(&a.name, &b.name));
        let rows = |counts: &BTreeMap<u32, Counts>,
                    sums: &accounting::Sums,
                    names: &dyn Fn(u32) -> String,
                    all: usize| {
            let most = counts.keys().chain(sums.keys()).max().map_or(0, |most| *most as usize + 1).max(all);
            let row = |at: usize| {
                let at = at as u32;
                let counts = counts.get(&at).cloned().unwrap_or_default();
                let (asked, lost) = sums.get(&at).copied().unwrap_or_default();
                ServiceTotals {
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
            let mean = |series: &Curve| series.values(steps, 1.0 / scale.step);
            Budget {
                name: self.tenant_name(*tenant),
                budget: mean(budget),
                open: mean(open),
                queued: mean(queued),
            }
        });
        let turned_away =
            (0..self.site.classes.len() as u32).map(|class| match self.turned_away.get(&class) {
                Some(series) => series.values(steps, 1.0),
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

pub(super) fn names(site: &Site) -> (Vec<&str>, &[String]) {
    (site.classes.iter().map(|class| class.name.as_str()).collect(), &site.tenants)
}

/// Which incidents can explain a loss of this cause, the likeliest first.
fn kinds(cause: Cause) -> &'static [IncidentKind] {
    use IncidentKind::{Member, NoRoom, NodeCut, NodeLeft};
    use MemberState::{Dead, Draining, Gone, Refusing, Silent, Slow};
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
        MemberState::Silent => {
            format!("member {name} was sent work and answered nothing, {long} (seen {seen} times)")
        }
        MemberState::Dead => {
            format!("member {name} broke off or could not be reached, {long} (seen {seen} times)")
        }
        MemberState::Refusing => format!("member {name} turned work away, {long} (seen {seen} times)"),
        MemberState::Slow => format!("messages at member {name} were late, {long} (told {seen} times)"),
        MemberState::Draining => format!("member {name} was draining, {long}"),
        MemberState::Gone => format!("member {name} was not listed, {long}"),
        MemberState::Cold => format!("member {name} had just started, {long}"),
        MemberState::Avoided => format!("member {name} was avoided, {long}"),
    }
}

/// Names with numbers in them are put in the order of the numbers.
pub fn natural_order(a: &str, b: &str) -> std::cmp::Ordering {
    let key = |name: &str| {
        let digits = name.len() - name.trim_end_matches(|c: char| c.is_ascii_digit()).len();
        let (stem, number) = name.split_at(name.len() - digits);
        (stem.to_owned(), number.parse::<u64>().unwrap_or(0))
    };
    key(a).cmp(&key(b)).then_with(|| a.cmp(b))
}
