//! Current state of a site, as the console shows it. Takes the same steps as the analysis.

use crate::findings::MemberState;
use crate::member::MemberHistory;
use hopmoor_record::codec::Site;
use hopmoor_record::merge::Step;
use hopmoor_record::{Answer, Event, MemberId, MoveReason, NeighbourState, Origin, Outcome, Phase, Record};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of event lines kept; older ones are dropped.
const MAX_EVENT_LINES: usize = 2_000;
/// Outcome counts kept for each member, one a second: two minutes.
const HISTORY_SECONDS: usize = 120;

/// Outcomes at a member within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondCounts {
    /// Attempts served.
    pub served: u16,
    /// Attempts that failed, and connections that broke.
    pub failed: u16,
}

/// One node's latest view of a member.
#[derive(Clone, Debug, Default)]
pub struct NodeView {
    /// The node's connections at the member.
    pub open: u32,
    /// Reported load as a part of capacity, and the time of the report.
    pub load: Option<(f32, f64)>,
    /// How long a message takes at the member.
    pub message_ms: Option<f32>,
    /// Part of the listed weight that the node uses for placement.
    pub weight: f32,
    /// Part warmed up, from 0 to 1.
    pub warmth: f32,
    /// Time until which the node sends the member nothing new because of failures.
    pub avoided_until: f64,
}

/// Current state of a member.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// Name of the member; empty until a record tells it.
    pub name: String,
    /// State in the member list; none until a record tells it.
    pub phase: Option<Phase>,
    /// Attempts, load and states observed so far.
    pub history: MemberHistory,
    /// Latest view of each node.
    pub seen: BTreeMap<Origin, NodeView>,
    /// Outcome counts of the last `HISTORY_SECONDS` seconds up to `newest_second`, the newest last.
    pub seconds: VecDeque<SecondCounts>,
    /// Unix time in seconds of the newest entry of `seconds`.
    newest_second: f64,
}

impl Row {
    /// State to show: that of the member list if it is draining or gone, else the most severe one observed.
    pub fn state(&self) -> &'static str {
        let by_severity = [
            MemberState::Dead,
            MemberState::Silent,
            MemberState::Refusing,
            MemberState::Slow,
            MemberState::Cold,
            MemberState::Avoided,
        ];
        match self.phase {
            Some(Phase::Gone) => "gone",
            Some(Phase::Draining) if self.history.is_in(MemberState::Silent) => "silent, draining",
            Some(Phase::Draining) => "draining",
            _ => by_severity
                .iter()
                .find(|state| self.history.is_in(**state))
                .map_or("serving", |state| state.word()),
        }
    }

    /// Connections at the member, summed over the nodes.
    pub fn open(&self) -> u32 {
        self.seen.values().map(|seen| seen.open).sum()
    }

    /// Load in the newest report, and the report's age in milliseconds.
    pub fn load(&self, now: f64) -> Option<(f32, f64)> {
        let newest = self.seen.values().filter_map(|seen| seen.load).max_by(|a, b| a.1.total_cmp(&b.1));
        newest.map(|(load, at)| (load, (now - at).max(0.0)))
    }

    /// Outcome counts of at most `count` seconds up to `now`, the newest last.
    pub fn recent(&self, now: f64, count: usize) -> Vec<SecondCounts> {
        let elapsed =
            ((now / 1_000.0).floor() - self.newest_second).clamp(0.0, HISTORY_SECONDS as f64) as usize;
        let elapsed = if self.seconds.is_empty() { 0 } else { elapsed };
        let all = self.seconds.iter().copied().chain(std::iter::repeat_n(SecondCounts::default(), elapsed));
        let skip = (self.seconds.len() + elapsed).saturating_sub(count);
        all.skip(skip).collect()
    }

    /// Outcome counts of the second of `at`, or of the newest second if `at` is earlier.
    fn second_at(&mut self, at: f64) -> &mut SecondCounts {
        let second = (at / 1_000.0).floor();
        let elapsed = if self.seconds.is_empty() {
            1.0
        } else {
            (second - self.newest_second).clamp(0.0, HISTORY_SECONDS as f64)
        };
        for _ in 0..elapsed as usize {
            self.seconds.push_back(SecondCounts::default());
            if self.seconds.len() > HISTORY_SECONDS {
                self.seconds.pop_front();
            }
        }
        self.newest_second = self.newest_second.max(second);
        if self.seconds.is_empty() {
            self.seconds.push_back(SecondCounts::default());
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }
}

/// Demand, limits and use of a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantUsage {
    /// Load asked for in the last interval.
    pub demand: f32,
    /// Load that the tenant may use.
    pub budget: f32,
    /// Maximum number of connections.
    pub limit: u32,
    /// Open connections.
    pub open: u32,
    /// Transactions waiting in the queue.
    pub queued: u32,
}

/// A line in the list of events.
#[derive(Clone, Debug, PartialEq)]
pub struct EventLine {
    /// Time of the event.
    pub at: f64,
    /// Name of the node that recorded it.
    pub node: String,
    /// Kind of event, for filtering.
    pub kind: &'static str,
    /// Text shown.
    pub text: String,
    /// Whether it reports a problem.
    pub bad: bool,
}

/// Current state of a node.
#[derive(Clone, Debug, Default)]
pub struct Node {
    /// Name of the node.
    pub name: String,
    /// Whether the node is running, according to its records.
    pub running: bool,
    /// Time of the last record.
    pub last_record_at: f64,
    /// Last values of the counters, by name.
    pub counters: BTreeMap<String, u64>,
    counter_names: Vec<String>,
}

/// Current state of a site: its nodes, members, tenants and latest events.
#[derive(Clone, Debug, Default)]
pub struct Dashboard {
    /// Time of the newest step.
    pub now: f64,
    /// Classes, tenants and zones, from the newest header.
    pub site: Site,
    /// Nodes, in the order of their origins.
    pub nodes: Vec<Node>,
    /// Members, by id.
    pub members: BTreeMap<MemberId, Row>,
    /// Events, oldest first.
    pub lines: VecDeque<EventLine>,
    tenant_usage: BTreeMap<(u32, Origin), TenantUsage>,
    /// The shortest message time target of all classes; infinite if no class has one, and 0 before the
    /// first header.
    message_target_ms: f64,
    /// Time, served and unserved transactions (each 0 or 1) of recent answers.
    recent_answers: VecDeque<(f64, f64, f64)>,
}

impl Dashboard {
    /// Processes one step of the merged records.
    pub fn feed(&mut self, origin: Origin, at: f64, step: &Step) {
        if self.nodes.len() <= origin.0 {
            self.nodes.resize_with(origin.0 + 1, Node::default);
        }
        match step {
            Step::RunStarted(header) => {
                let node = &mut self.nodes[origin.0];
                if node.running {
                    let name = node.name.clone();
                    self.line(origin, at, "node", format!("node {name} had ended without a word"), true);
                }
                let node = &mut self.nodes[origin.0];
                node.name.clone_from(&header.node);
                node.counter_names.clone_from(&header.counters);
                (node.running, node.last_record_at) = (true, at);
                self.site = header.site.clone();
                let targets = self.site.classes.iter().map(|class| class.message_aim_ms);
                self.message_target_ms = targets.filter(|target| *target > 0.0).fold(f64::INFINITY, f64::min);
                self.run_ended(origin, at);
                let text = format!("node {} runs, version {}", header.node, header.program);
                self.line(origin, at, "node", text, false);
            }
            Step::Record(record) => self.record(origin, record),
            Step::Damaged(path, damage) => {
                let file =
                    path.file_name().map_or_else(String::new, |name| name.to_string_lossy().into_owned());
                self.line(origin, at, "doubt", format!("{file}: {damage}"), true);
            }
            Step::ClockShifted(by) => {
                let text = format!("clock set back by {:.1} s", by / 1_000.0);
                self.line(origin, at, "doubt", text, true);
            }
            Step::RunEnded | Step::FolderEnded => {}
        }
        self.now = self.now.max(at);
    }

    /// Drops the views and tenant figures of a node whose run is over.
    fn run_ended(&mut self, origin: Origin, at: f64) {
        for row in self.members.values_mut() {
            row.seen.remove(&origin);
            row.history.run_ended(origin, at);
        }
        self.tenant_usage.retain(|(_, node), _| *node != origin);
    }

    fn line(&mut self, origin: Origin, at: f64, kind: &'static str, text: String, bad: bool) {
        let node = self.nodes.get(origin.0).map_or_else(String::new, |node| node.name.clone());
        self.lines.push_back(EventLine { at, node, kind, text, bad });
        if self.lines.len() > MAX_EVENT_LINES {
            self.lines.pop_front();
        }
    }

    fn member_name(&self, member: MemberId) -> String {
        match self.members.get(&member) {
            Some(row) if !row.name.is_empty() => row.name.clone(),
            _ => format!("{:016x}", member.0),
        }
    }

    /// Names of the tenants and their figures, summed over the nodes.
    pub fn tenants(&self) -> Vec<(String, TenantUsage)> {
        let mut sums: BTreeMap<u32, TenantUsage> = BTreeMap::new();
        for ((tenant, _), usage) in &self.tenant_usage {
            let sum = sums.entry(*tenant).or_default();
            sum.demand += usage.demand;
            sum.budget += usage.budget;
            sum.limit = sum.limit.saturating_add(usage.limit);
            sum.open += usage.open;
            sum.queued += usage.queued;
        }
        let name = |tenant: u32| {
            self.site.tenants.get(tenant as usize).cloned().unwrap_or_else(|| tenant.to_string())
        };
        sums.into_iter().map(|(tenant, usage)| (name(tenant), usage)).collect()
    }

    /// Members, ordered by name.
    pub fn rows(&self) -> Vec<&Row> {
        let mut rows: Vec<&Row> = self.members.values().collect();
        rows.sort_by(|a, b| crate::analysis::natural_order(&a.name, &b.name));
        rows
    }

    /// Transactions served per second, and rejected or failed per second, over the last ten seconds.
    pub fn rates(&self) -> (f64, f64) {
        let recent = self.recent_answers.iter().filter(|(at, _, _)| self.now - at < 10_000.0);
        let (served, unserved) = recent.fold((0.0, 0.0), |sum, (_, a, b)| (sum.0 + a, sum.1 + b));
        (served / 10.0, unserved / 10.0)
    }

    fn record(&mut self, origin: Origin, record: &Record) {
        let at = record.at;
        self.nodes[origin.0].last_record_at = at;
        match &record.event {
            Event::Started(_) | Event::Asked(_) => {}
            Event::Stopped(stopped) => {
                self.nodes[origin.0].running = false;
                let text = format!("node ended; {} transactions left behind", stopped.left_behind);
                self.line(origin, at, "node", text, stopped.left_behind > 0);
                self.run_ended(origin, at);
            }
            Event::Leaving(leaving) => {
                let text = format!("node leaves; {} transactions open", leaving.transactions);
                self.line(origin, at, "node", text, false);
            }
            Event::Reloaded(reloaded) => {
                let what = if reloaded.taken { "taken" } else { "refused: a bad file changes nothing" };
                self.line(origin, at, "node", format!("settings read anew and {what}"), !reloaded.taken);
            }
            Event::Member(member) => {
                let row = self.members.entry(member.member).or_default();
                row.name.clone_from(&member.name);
                row.history.name.clone_from(&member.name);
                let changed = row.phase != Some(member.phase);
                row.phase = Some(member.phase);
                row.history.listed(origin, at, member.phase, member.born, member.again);
                if changed && !member.again {
                    let phase = match member.phase {
                        Phase::Serving => "serving",
                        Phase::Draining => "draining",
                        Phase::Gone => "gone",
                    };
                    let text = format!("member {} is listed as {phase}", member.name);
                    self.line(origin, at, "member", text, member.phase != Phase::Serving);
                }
            }
            Event::View(view) => {
                let row = self.members.entry(view.member).or_default();
                row.history.viewed(origin, at, f64::from(view.warmth), view.avoided_ms > 0.0);
                let seen = row.seen.entry(origin).or_default();
                seen.open = view.open;
                seen.load = view.report.map(|(load, age)| (load, at - f64::from(age)));
                seen.message_ms = view.message_ms.or(seen.message_ms);
                (seen.weight, seen.warmth) = (view.weight, view.warmth);
                seen.avoided_until = at + f64::from(view.avoided_ms);
            }
            Event::Probed(probed) => {
                let target_ms = self.message_target_ms;
                let row = self.members.entry(probed.member).or_default();
                row.history.probe_ended(at, probed.outcome, probed.load.map(f64::from));
                let seen = row.seen.entry(origin).or_default();
                if let Some(load) = probed.load {
                    seen.load = Some((load, at));
                }
                if let Some(ms) = probed.message_ms {
                    seen.message_ms = Some(ms);
                    row.history.message_time(at, f64::from(ms), target_ms);
                }
                if !matches!(probed.outcome, Outcome::Ok | Outcome::NotSent) {
                    let text = format!(
                        "probe of {}: {}",
                        self.member_name(probed.member),
                        outcome_text(probed.outcome)
                    );
                    self.line(origin, at, "probe", text, true);
                }
            }
            Event::Delay(delay) => {
                let target_ms = self.message_target_ms;
                let row = self.members.entry(delay.member).or_default();
                row.history.message_time(at, f64::from(delay.took_ms), target_ms);
                row.seen.entry(origin).or_default().message_ms = Some(delay.took_ms);
                let late = f64::from(delay.took_ms) > target_ms;
                let text =
                    format!("messages at {} take {:.0} ms", self.member_name(delay.member), delay.took_ms);
                self.line(origin, at, "delay", text, late);
            }
            Event::Flow(flow) => {
                let row = self.members.entry(flow.member).or_default();
                row.history.flow_ended(at, flow.outcome, flow.stood, f64::from(flow.took_ms));
                if matches!(flow.outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NotSent) {
                    return;
                }
                let second = row.second_at(at);
                second.failed = second.failed.saturating_add(1);
                let what = if flow.stood { "connection" } else { "attempt" };
                let member = self.member_name(flow.member);
                let text = format!(
                    "{what} at {member}: {} after {:.0} ms",
                    outcome_text(flow.outcome),
                    flow.took_ms
                );
                self.line(origin, at, "flow", text, true);
            }
            Event::Answered(answered) => {
                let class = self.site.classes.get(answered.class as usize);
                let class = class.map_or_else(|| answered.class.to_string(), |class| class.name.clone());
                let waited = answered.waited_ms;
                let unserved = match answered.answer {
                    Answer::Served => {
                        if let Some(member) = answered.member {
                            let row = self.members.entry(member).or_default();
                            row.history.served(at);
                            let second = row.second_at(at);
                            second.served = second.served.saturating_add(1);
                        }
                        self.count_answer(at, 1.0, 0.0);
                        return;
                    }
                    Answer::Left => return,
                    Answer::Rejected { again_ms } => {
                        format!("rejected after {waited:.0} ms, to come again in {again_ms:.0} ms")
                    }
                    Answer::Failed(why) => format!("failed after {waited:.0} ms: {why:?}"),
                };
                self.count_answer(at, 0.0, 1.0);
                self.line(origin, at, "answer", format!("{class} {unserved}"), true);
            }
            Event::Moved(moved) => {
                let why = match moved.reason {
                    MoveReason::Draining => "it drains",
                    MoveReason::Gone => "it is gone",
                    MoveReason::Leaving => "the node leaves",
                    MoveReason::Relief => "for relief",
                    MoveReason::Member => "by the member itself",
                    MoveReason::Negotiation => "before it stood",
                };
                let text = format!("client moved from {}: {why}", self.member_name(moved.member));
                self.line(origin, at, "move", text, false);
            }
            Event::Tenant(tenant) => {
                let usage = TenantUsage {
                    demand: tenant.demand,
                    budget: tenant.budget,
                    limit: tenant.limit,
                    open: tenant.open,
                    queued: tenant.queued,
                };
                self.tenant_usage.insert((tenant.tenant, origin), usage);
            }
            Event::Counters(counters) => {
                let node = &mut self.nodes[origin.0];
                node.counters =
                    node.counter_names.iter().cloned().zip(counters.values.iter().copied()).collect();
            }
            Event::Gap(gap) => self.line(origin, at, "doubt", format!("{} records lost", gap.lost), true),
            Event::Fault(fault) => self.line(origin, at, "fault", fault.what.clone(), true),
            Event::Neighbour(neighbour) => {
                let (state, bad) = match neighbour.state {
                    NeighbourState::Alive => ("is there", false),
                    NeighbourState::Dead => ("is held dead", true),
                    NeighbourState::Left => ("has left", false),
                };
                self.line(origin, at, "fleet", format!("node {} {state}", neighbour.name), bad);
            }
            Event::Blind(_) => self.line(origin, at, "node", "discovery could not be asked".into(), true),
        }
    }

    /// Adds an answer to the rates, and drops those older than ten seconds or beyond 200,000.
    fn count_answer(&mut self, at: f64, served: f64, unserved: f64) {
        self.recent_answers.push_back((at, served, unserved));
        while self.recent_answers.front().is_some_and(|(then, _, _)| at - then > 10_000.0)
            || self.recent_answers.len() > 200_000
        {
            self.recent_answers.pop_front();
        }
    }
}

fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ended in good order",
        Outcome::Error => "an error",
        Outcome::Full => "turned away",
        Outcome::TimedOut => "no answer",
        Outcome::Unreachable => "not reachable",
        Outcome::Reset => "broke off",
        Outcome::Cancelled => "given up",
        Outcome::NotSent => "not sent",
    }
}
