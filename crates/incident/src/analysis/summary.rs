//! Builds the findings once all records have been read.

use super::*;

impl Analysis {
    /// Builds the findings; to be called after the last record.
    pub fn finish(mut self) -> Findings {
        if self.from.is_nan() {
            return Findings { doubts: self.data_issues, ..Findings::default() };
        }
        let shortage = std::mem::take(&mut self.shortage);
        self.shortages.extend((shortage.is_incident).then_some(shortage));
        self.members.values_mut().for_each(|history| history.finish(self.until));
        if self.peer_deaths.unlisted() > 0 {
            let what = format!("{} further deaths of nodes are not listed", self.peer_deaths.unlisted());
            self.data_issues.push(DataIssue { at: self.until, node: String::new(), what });
        }
        if self.unlisted_issues > 0 {
            let what = format!("{} further doubts are not listed", self.unlisted_issues);
            self.data_issues.push(DataIssue { at: self.until, node: String::new(), what });
        }
        let ledger = std::mem::replace(&mut self.ledger, Ledger::new(self.from));
        let scale = ledger.scale;
        let mut totals = ledger.finish(self.until);
        self.add_losses_at_members(&scale, &mut totals);
        let mut incidents = self.incidents();
        let unexplained = self.attribute_losses(&scale, &mut incidents, &mut totals);
        self.build_findings(&scale, incidents, totals, unexplained)
    }

    /// Counts the time that clients were connected to a silent or slow member as lost service.
    ///
    /// Slowness affects only the classes whose message time target was missed.
    pub(super) fn add_losses_at_members(&self, scale: &Scale, totals: &mut accounting::LedgerTotals) {
        for (id, history) in &self.members {
            let mut slow_means_ms = history.slow_span_means_ms.iter();
            let mut covered: Vec<(f64, f64)> = Vec::new();
            for span in history.spans() {
                let (cause, message_ms) = match span.state {
                    MemberState::Silent => (MemberCause::Silent, f64::INFINITY),
                    MemberState::Slow => {
                        (MemberCause::Slow, slow_means_ms.next().copied().unwrap_or(f64::INFINITY))
                    }
                    _ => continue,
                };
                let until = span.until.unwrap_or(self.until);
                for (index, class) in self.site.classes.iter().enumerate() {
                    let affected = span.state == MemberState::Silent
                        || class.message_aim_ms > 0.0 && message_ms > class.message_aim_ms;
                    let Some(series) =
                        totals.connected_clients.get(&(*id, index as u32)).filter(|_| affected)
                    else {
                        continue;
                    };
                    // Time in which the member was both silent and slow counts once, for the earlier span.
                    for (from, until) in uncovered(&covered, span.from, until) {
                        let worth = series.sum_between(scale, from, until);
                        let rate = worth / (until - from).max(1e-9);
                        let key = (Cause::Member(*id, cause), index as u32);
                        totals.lost.entry(key).or_default().add_rate(scale, from, until, rate);
                        totals.by_class.entry(index as u32).or_default().1 += worth;
                    }
                }
                covered.push((span.from, until));
            }
        }
    }

    pub(super) fn name(&self, member: MemberId) -> String {
        match self.members.get(&member).map(|history| &history.name) {
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

    /// Lists all incidents by their start, with the member or node that each concerns and no losses yet.
    pub(super) fn incidents(&self) -> Vec<(Option<MemberId>, Option<Origin>, Incident)> {
        let mut all = Vec::new();
        let incident = |kind, subject: String, from, until, cause| Incident {
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
        for (id, history) in &self.members {
            for span in history.spans().iter().filter(|span| span.state != MemberState::Avoided) {
                let cause = describe(&history.name, span, self.until);
                let kind = IncidentKind::Member(span.state);
                all.push((
                    Some(*id),
                    None,
                    incident(kind, history.name.clone(), span.from, span.until, cause),
                ));
            }
        }
        for (node, source) in self.sources.iter().enumerate() {
            let origin = Some(Origin(node));
            let name = || source.name.clone();
            for (index, run) in source.runs.iter().enumerate() {
                let next = source.runs.get(index + 1).map(|next| next.from);
                let return_text = match next {
                    Some(next) => format!("back after {}", seconds(next - run.until)),
                    None => "not heard of again".into(),
                };
                match (run.end, run.leaving) {
                    (RunEnd::Stopped, leaving) => {
                        let from = leaving.unwrap_or(run.until);
                        // A last run that ended in good order, without being told to, is where all records
                        // end and no incident.
                        if next.is_none() && leaving.is_none() {
                            continue;
                        }
                        let cause =
                            format!("node {} left and ended in good order; {return_text}", source.name);
                        all.push((None, origin, incident(IncidentKind::NodeLeft, name(), from, next, cause)));
                    }
                    (RunEnd::Cut, _) => {
                        let cause =
                            format!("records of node {} end without a word here; {return_text}", source.name);
                        all.push((
                            None,
                            origin,
                            incident(IncidentKind::NodeCut, name(), run.until, next, cause),
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
                            incident(IncidentKind::NodeCut, name(), run.until, None, cause),
                        ));
                    }
                    (RunEnd::RecordsEnd, _) => {}
                }
            }
            for gap in &source.gaps {
                let cause = format!("{} records of node {} lost", gap.lost, source.name);
                let kind = IncidentKind::RecordsLost;
                all.push((None, origin, incident(kind, name(), gap.from, Some(gap.until), cause)));
            }
        }
        for (origin, from, until, count) in &self.discovery_outages {
            let name = self.sources[origin.0].name.clone();
            let cause = format!("node {name} could not ask discovery, {count} time(s)");
            all.push((None, Some(*origin), incident(IncidentKind::Blind, name, *from, Some(*until), cause)));
        }
        all.extend(self.peer_deaths.incidents().map(|incident| (None, None, incident)));
        for shortage in &self.shortages {
            let most_affected = |counts: &mut dyn Iterator<Item = (String, u64)>| {
                let mut parts: Vec<_> = counts.collect();
                parts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
                let texts: Vec<_> =
                    parts.into_iter().take(4).map(|(name, count)| format!("{name} {count}")).collect();
                texts.join(", ")
            };
            let classes = most_affected(
                &mut shortage.by_class.iter().map(|(class, count)| (self.class_name(*class), *count)),
            );
            let tenants = most_affected(
                &mut shortage.by_tenant.iter().map(|(tenant, count)| (self.tenant_name(*tenant), *count)),
            );
            let (turned_away, late) = (shortage.turned_away, shortage.late);
            let cause = format!(
                "{turned_away} transactions turned away and {late} served late: {classes}; of {tenants}"
            );
            let kind = IncidentKind::NoRoom;
            all.push((None, None, incident(kind, String::new(), shortage.from, Some(shortage.until), cause)));
        }
        all.sort_by(|a, b| a.2.from.total_cmp(&b.2.from));
        all
    }

    /// Attributes each lost piece of service to the incident that fits its cause. Returns the worth-seconds
    /// that no incident explains.
    pub(super) fn attribute_losses(
        &self,
        scale: &Scale,
        incidents: &mut [(Option<MemberId>, Option<Origin>, Incident)],
        totals: &mut accounting::LedgerTotals,
    ) -> f64 {
        let classes = self.site.classes.len();
        incidents.iter_mut().for_each(|(_, _, incident)| incident.by_class = vec![0.0; classes]);
        let mut unexplained = 0.0;
        for ((cause, class), series) in &totals.lost {
            let mut unattributed = series.values(MAX_STEPS, 1.0);
            for kind in kinds_for(*cause) {
                for (member, origin, incident) in incidents.iter_mut() {
                    let matches_cause = incident.kind == *kind
                        && match cause {
                            Cause::Member(id, _) => *member == Some(*id),
                            Cause::NodeLeft(node) | Cause::NodeCut(node) => *origin == Some(*node),
                            Cause::Capacity | Cause::SetUp => true,
                        };
                    if !matches_cause {
                        continue;
                    }
                    let from = incident.from - LOSS_BEFORE_MS.max(scale.step_ms);
                    let until = incident.until.unwrap_or(self.until) + LOSS_AFTER_MS;
                    let mut attributed = 0.0;
                    for (index, value) in
                        unattributed.iter_mut().enumerate().filter(|(_, value)| **value > 0.0)
                    {
                        let at = scale.from + index as f64 * scale.step_ms;
                        if at >= from && at <= until {
                            attributed += f64::from(std::mem::take(value));
                        }
                    }
                    incident.lost += attributed;
                    if let Some(part) = incident.by_class.get_mut(*class as usize) {
                        *part += attributed;
                    }
                }
            }
            unexplained += unattributed.iter().map(|value| f64::from(*value)).sum::<f64>();
        }
        unexplained
    }

    /// Builds the findings from the incidents, the ledger's totals and the unexplained worth-seconds.
    pub(super) fn build_findings(
        self,
        scale: &Scale,
        incidents: Vec<(Option<MemberId>, Option<Origin>, Incident)>,
        totals: accounting::LedgerTotals,
        unexplained: f64,
    ) -> Findings {
        let steps = (((self.until - self.from) / scale.step_ms).ceil() as usize).clamp(1, MAX_STEPS);
        let per_second = 1_000.0 / scale.step_ms;
        let asked_sum = totals.asked.sum();
        let mut lost_all = vec![0.0f64; steps];
        let mut at_member: BTreeMap<MemberId, f64> = BTreeMap::new();
        for ((cause, _), series) in &totals.lost {
            for (sum, value) in lost_all.iter_mut().zip(series.values(steps, 1.0)) {
                *sum += f64::from(value);
            }
            if let Cause::Member(id, _) = cause {
                *at_member.entry(*id).or_default() += series.sum();
            }
        }
        let asked = totals.asked.values(steps, per_second);
        let served = asked
            .iter()
            .zip(&lost_all)
            .map(|(asked, lost)| (f64::from(*asked) - lost * per_second).max(0.0) as f32)
            .collect();
        let lost: f64 = totals.lost.values().map(TimeSeries::sum).sum::<f64>().min(asked_sum);
        let share = |lost: f64| if asked_sum > 0.0 { lost / asked_sum } else { 0.0 };
        let zone = |zone: u32| match self.site.zones.get(zone as usize) {
            Some(zone) => zone.clone(),
            None => String::new(),
        };
        let members = self.members.iter().map(|(id, history)| {
            let mut standing = TimeSeries::default();
            for ((member, _), series) in totals.connected_clients.range((*id, 0)..=(*id, u32::MAX)) {
                debug_assert_eq!(member, id);
                for (index, value) in series.values(steps, per_second).iter().enumerate() {
                    standing.add(scale, scale.from + (index as f64 + 0.5) * scale.step_ms, f64::from(*value));
                }
            }
            Member {
                name: self.name(*id),
                zone: zone(history.zone),
                spans: history.spans().to_vec(),
                attempts: history.attempts,
                served: history.served,
                load: history.load(),
                lost: at_member.get(id).copied().unwrap_or(0.0),
                standing: standing.values(steps, 1.0),
            }
        });
        let mut members: Vec<Member> = members.collect();
        members.sort_by(|a, b| natural_order(&a.name, &b.name));
        let rows = |counts: &BTreeMap<u32, Counts>,
                    sums: &accounting::Sums,
                    name_of: &dyn Fn(u32) -> String,
                    configured: usize| {
            let row_count =
                counts.keys().chain(sums.keys()).max().map_or(0, |last| *last as usize + 1).max(configured);
            let row = |index: usize| {
                let index = index as u32;
                let counts = counts.get(&index).cloned().unwrap_or_default();
                let (asked, lost) = sums.get(&index).copied().unwrap_or_default();
                ServiceTotals {
                    name: name_of(index),
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
            (0..row_count.min(MAX_STEPS)).map(row).collect::<Vec<_>>()
        };
        let classes =
            rows(&self.classes, &totals.by_class, &|class| self.class_name(class), self.site.classes.len());
        let tenants = rows(
            &self.tenants,
            &totals.by_tenant,
            &|tenant| self.tenant_name(tenant),
            self.site.tenants.len(),
        );
        let budgets = self.budgets.iter().map(|(tenant, [budget, open, queued])| {
            let mean = |series: &TimeSeries| series.values(steps, 1.0 / scale.step_ms);
            TenantSeries {
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
        let curves = SiteSeries {
            step_ms: scale.step_ms,
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
        if incidents.len() > MAX_INCIDENTS {
            // Keeps the incidents with the greatest losses.
            incidents.sort_by(|a, b| b.lost.total_cmp(&a.lost));
            incidents.truncate(MAX_INCIDENTS);
            incidents.sort_by(|a, b| a.from.total_cmp(&b.from));
        }
        for (index, incident) in incidents.iter_mut().enumerate() {
            incident.number = index + 1;
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
            doubts: self.data_issues.clone(),
        }
    }
}

pub(super) fn class_and_tenant_names(site: &Site) -> (Vec<&str>, &[String]) {
    (site.classes.iter().map(|class| class.name.as_str()).collect(), &site.tenants)
}

/// Kinds of incident that can explain a loss with this cause, the most likely first.
fn kinds_for(cause: Cause) -> &'static [IncidentKind] {
    use IncidentKind::{Member, NoRoom, NodeCut, NodeLeft};
    use MemberState::{Dead, Draining, Gone, Refusing, Silent, Slow};
    match cause {
        Cause::SetUp => &[],
        Cause::Capacity => &[NoRoom],
        Cause::NodeLeft(_) => &[NodeLeft],
        Cause::NodeCut(_) => &[NodeCut],
        Cause::Member(_, MemberCause::Silent) => &[Member(Silent), Member(Dead), Member(Slow)],
        Cause::Member(_, MemberCause::Broke) => {
            &[Member(Dead), Member(Gone), Member(Draining), Member(Silent)]
        }
        Cause::Member(_, MemberCause::Refused) => &[Member(Refusing), Member(Slow)],
        Cause::Member(_, MemberCause::Slow | MemberCause::Relief) => &[Member(Slow), Member(Refusing)],
        Cause::Member(_, MemberCause::Drained) => &[Member(Draining), Member(Gone)],
        Cause::Member(_, MemberCause::Gone) => &[Member(Gone), Member(Dead), Member(Draining)],
    }
}

/// Parts of the span `from..until` that no span in `covered` overlaps.
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

/// Describes what was observed in a member's span; `last` is the time of the last record.
fn describe(name: &str, span: &Span, last: f64) -> String {
    let duration = match span.until {
        Some(until) => format!("for {}", seconds(until - span.from)),
        None => format!("for {} up to the end of the records", seconds(last - span.from)),
    };
    let evidence = span.evidence;
    match span.state {
        MemberState::Silent => {
            format!("member {name} was sent work and answered nothing, {duration} (seen {evidence} times)")
        }
        MemberState::Dead => {
            format!("member {name} broke off or could not be reached, {duration} (seen {evidence} times)")
        }
        MemberState::Refusing => {
            format!("member {name} turned work away, {duration} (seen {evidence} times)")
        }
        MemberState::Slow => {
            format!("messages at member {name} were late, {duration} (told {evidence} times)")
        }
        MemberState::Draining => format!("member {name} was draining, {duration}"),
        MemberState::Gone => format!("member {name} was not listed, {duration}"),
        MemberState::Cold => format!("member {name} had just started, {duration}"),
        MemberState::Avoided => format!("member {name} was avoided, {duration}"),
    }
}

/// Compares names so that those with the same stem are ordered by the number at their end.
pub fn natural_order(a: &str, b: &str) -> std::cmp::Ordering {
    let key = |name: &str| {
        let digits = name.len() - name.trim_end_matches(|c: char| c.is_ascii_digit()).len();
        let (stem, number) = name.split_at(name.len() - digits);
        (stem.to_owned(), number.parse::<u64>().unwrap_or(0))
    };
    key(a).cmp(&key(b)).then_with(|| a.cmp(b))
}
