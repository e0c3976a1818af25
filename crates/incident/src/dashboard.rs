//! How things stand at one moment: what a console shows. Fed the same steps as the analysis.

use crate::findings::MemberState;
use crate::member::Track;
use hopmoor_record::codec::Site;
use hopmoor_record::merge::Step;
use hopmoor_record::{Answer, Event, MemberId, MoveReason, NeighbourState, Origin, Outcome, Phase, Record};
use std::collections::{BTreeMap, VecDeque};

/// Lines of events that are kept.
const MOST_LINES: usize = 2_000;
/// Outcomes at a member that are kept: two minutes of seconds.
const SECONDS: usize = 120;

/// How a second went at a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondCounts {
    /// Attempts served.
    pub served: u16,
    /// Attempts that failed, and connections that broke.
    pub failed: u16,
}

/// A member as one node sees it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Connections there.
    pub open: u32,
    /// Reported load, and when it was told.
    pub load: Option<(f32, f64)>,
    /// How long a message takes there.
    pub message_ms: Option<f32>,
    /// Part of its listed weight in the round.
    pub weight: f32,
    /// Part warmed up.
    pub warmth: f32,
    /// Until when it is avoided.
    pub avoided_until: f64,
}

/// A member on the board.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// Its name.
    pub name: String,
    /// As listed.
    pub phase: Option<Phase>,
    /// What is wrong with it.
    pub track: Track,
    /// As each node sees it.
    pub seen: BTreeMap<Origin, Seen>,
    /// How its last seconds went, the newest last.
    pub seconds: VecDeque<SecondCounts>,
    second: f64,
}

impl Row {
    /// What it is called to be in, the gravest first.
    pub fn state(&self) -> &'static str {
        let grave = [
            MemberState::Dead,
            MemberState::Silent,
            MemberState::Refusing,
            MemberState::Slow,
            MemberState::Cold,
            MemberState::Avoided,
        ];
        match self.phase {
            Some(Phase::Gone) => "gone",
            Some(Phase::Draining) if self.track.is(MemberState::Silent) => "silent, draining",
            Some(Phase::Draining) => "draining",
            _ => grave.iter().find(|state| self.track.is(**state)).map_or("serving", |state| state.word()),
        }
    }

    /// Connections of all nodes there.
    pub fn open(&self) -> u32 {
        self.seen.values().map(|seen| seen.open).sum()
    }

    /// The newest report of its load, and its age.
    pub fn load(&self, now: f64) -> Option<(f32, f64)> {
        let newest = self.seen.values().filter_map(|seen| seen.load).max_by(|a, b| a.1.total_cmp(&b.1));
        newest.map(|(load, at)| (load, (now - at).max(0.0)))
    }

    /// Its last seconds up to now, the newest last.
    pub fn recent(&self, now: f64, most: usize) -> Vec<SecondCounts> {
        let since = ((now / 1_000.0).floor() - self.second).clamp(0.0, SECONDS as f64) as usize;
        let since = if self.seconds.is_empty() { 0 } else { since };
        let all = self.seconds.iter().copied().chain(std::iter::repeat_n(SecondCounts::default(), since));
        let skip = (self.seconds.len() + since).saturating_sub(most);
        all.skip(skip).collect()
    }

    fn second(&mut self, at: f64) -> &mut SecondCounts {
        let second = (at / 1_000.0).floor();
        let passed =
            if self.seconds.is_empty() { 1.0 } else { (second - self.second).clamp(0.0, SECONDS as f64) };
        for _ in 0..passed as usize {
            self.seconds.push_back(SecondCounts::default());
            if self.seconds.len() > SECONDS {
                self.seconds.pop_front();
            }
        }
        self.second = self.second.max(second);
        if self.seconds.is_empty() {
            self.seconds.push_back(SecondCounts::default());
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }
}

/// A tenant on the board, summed over the nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// What it asked for.
    pub demand: f32,
    /// What it may have.
    pub budget: f32,
    /// Connections that it may have.
    pub limit: u32,
    /// Connections that it has.
    pub open: u32,
    /// What waits.
    pub queued: u32,
}

/// A line among the events.
#[derive(Clone, Debug, PartialEq)]
pub struct EventLine {
    /// When.
    pub at: f64,
    /// Whose.
    pub node: String,
    /// Its kind, to filter by.
    pub kind: &'static str,
    /// What.
    pub text: String,
    /// Whether it is bad news.
    pub bad: bool,
}

/// A node on the board.
#[derive(Clone, Debug, Default)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Whether it runs, as far as its records tell.
    pub running: bool,
    /// When it was last heard of.
    pub heard: f64,
    /// Its counters, by name.
    pub counters: BTreeMap<String, u64>,
    names: Vec<String>,
}

/// The board.
#[derive(Clone, Debug, Default)]
pub struct Dashboard {
    /// The newest record's time.
    pub now: f64,
    /// Classes, tenants and zones.
    pub site: Site,
    /// Nodes.
    pub nodes: Vec<Node>,
    /// Members.
    pub members: BTreeMap<MemberId, Row>,
    /// Events, oldest first.
    pub lines: VecDeque<EventLine>,
    shares: BTreeMap<(u32, Origin), Share>,
    aim_ms: f64,
    served: VecDeque<(f64, f64, f64)>,
}

impl Dashboard {
    /// Takes one step.
    pub fn feed(&mut self, origin: Origin, at: f64, step: &Step) {
        if self.nodes.len() <= origin.0 {
            self.nodes.resize_with(origin.0 + 1, Node::default);
        }
        match step {
            Step::Run(header) => {
                let node = &mut self.nodes[origin.0];
                if node.running {
                    let name = node.name.clone();
                    self.line(origin, at, "node", format!("node {name} had ended without a word"), true);
                }
                let node = &mut self.nodes[origin.0];
                node.name.clone_from(&header.node);
                node.names.clone_from(&header.counters);
                (node.running, node.heard) = (true, at);
                self.site = header.site.clone();
                let aims = self.site.classes.iter().map(|class| class.message_aim_ms);
                self.aim_ms = aims.filter(|aim| *aim > 0.0).fold(f64::INFINITY, f64::min);
                self.forget(origin, at);
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

    /// What a run of a node knew is void.
    fn forget(&mut self, origin: Origin, at: f64) {
        for row in self.members.values_mut() {
            row.seen.remove(&origin);
            row.track.run_over(origin, at);
        }
        self.shares.retain(|(_, of), _| *of != origin);
    }

    fn line(&mut self, origin: Origin, at: f64, kind: &'static str, text: String, bad: bool) {
        let node = self.nodes.get(origin.0).map_or_else(String::new, |node| node.name.clone());
        self.lines.push_back(EventLine { at, node, kind, text, bad });
        if self.lines.len() > MOST_LINES {
            self.lines.pop_front();
        }
    }

    fn named(&self, member: MemberId) -> String {
        match self.members.get(&member) {
            Some(row) if !row.name.is_empty() => row.name.clone(),
            _ => format!("{:016x}", member.0),
        }
    }

    /// Tenants, each summed over the nodes.
    pub fn tenants(&self) -> Vec<(String, Share)> {
        let mut sums: BTreeMap<u32, Share> = BTreeMap::new();
        for ((tenant, _), share) in &self.shares {
            let sum = sums.entry(*tenant).or_default();
            sum.demand += share.demand;
            sum.budget += share.budget;
            sum.limit = sum.limit.saturating_add(share.limit);
            sum.open += share.open;
            sum.queued += share.queued;
        }
        let name = |at: u32| self.site.tenants.get(at as usize).cloned().unwrap_or_else(|| at.to_string());
        sums.into_iter().map(|(tenant, share)| (name(tenant), share)).collect()
    }

    /// Members in the order of their names.
    pub fn rows(&self) -> Vec<&Row> {
        let mut rows: Vec<&Row> = self.members.values().collect();
        rows.sort_by(|a, b| crate::analysis::natural_order(&a.name, &b.name));
        rows
    }

    /// Transactions served, rejected and failed, and clients moved, in the last ten seconds, a second.
    pub fn rates(&self) -> (f64, f64) {
        let recent = self.served.iter().filter(|(at, _, _)| self.now - at < 10_000.0);
        let (served, turned) = recent.fold((0.0, 0.0), |sum, (_, a, b)| (sum.0 + a, sum.1 + b));
        (served / 10.0, turned / 10.0)
    }

    fn record(&mut self, origin: Origin, record: &Record) {
        let at = record.at;
        self.nodes[origin.0].heard = at;
        match &record.event {
            Event::Started(_) | Event::Asked(_) => {}
            Event::Stopped(stopped) => {
                self.nodes[origin.0].running = false;
                let text = format!("node ended; {} transactions left behind", stopped.left_behind);
                self.line(origin, at, "node", text, stopped.left_behind > 0);
                self.forget(origin, at);
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
                row.track.name.clone_from(&member.name);
                let changed = row.phase != Some(member.phase);
                row.phase = Some(member.phase);
                row.track.listed(origin, at, member.phase, member.born, member.again);
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
                row.track.viewed(origin, at, f64::from(view.warmth), view.avoided_ms > 0.0);
                let seen = row.seen.entry(origin).or_default();
                seen.open = view.open;
                seen.load = view.report.map(|(load, age)| (load, at - f64::from(age)));
                seen.message_ms = view.message_ms.or(seen.message_ms);
                (seen.weight, seen.warmth) = (view.weight, view.warmth);
                seen.avoided_until = at + f64::from(view.avoided_ms);
            }
            Event::Probed(probed) => {
                let aim = self.aim_ms;
                let row = self.members.entry(probed.member).or_default();
                row.track.probed(at, probed.outcome, probed.load.map(f64::from));
                let seen = row.seen.entry(origin).or_default();
                if let Some(load) = probed.load {
                    seen.load = Some((load, at));
                }
                if let Some(ms) = probed.message_ms {
                    seen.message_ms = Some(ms);
                    row.track.message(at, f64::from(ms), aim);
                }
                if !matches!(probed.outcome, Outcome::Ok | Outcome::NotSent) {
                    let text = format!("probe of {}: {}", self.named(probed.member), word(probed.outcome));
                    self.line(origin, at, "probe", text, true);
                }
            }
            Event::Delay(delay) => {
                let aim = self.aim_ms;
                let row = self.members.entry(delay.member).or_default();
                row.track.message(at, f64::from(delay.took_ms), aim);
                row.seen.entry(origin).or_default().message_ms = Some(delay.took_ms);
                let late = f64::from(delay.took_ms) > aim;
                let text = format!("messages at {} take {:.0} ms", self.named(delay.member), delay.took_ms);
                self.line(origin, at, "delay", text, late);
            }
            Event::Flow(flow) => {
                let row = self.members.entry(flow.member).or_default();
                row.track.flow(at, flow.outcome, flow.stood, f64::from(flow.took_ms));
                if matches!(flow.outcome, Outcome::Ok | Outcome::Cancelled | Outcome::NotSent) {
                    return;
                }
                let second = row.second(at);
                second.failed = second.failed.saturating_add(1);
                let what = if flow.stood { "connection" } else { "attempt" };
                let member = self.named(flow.member);
                let text = format!("{what} at {member}: {} after {:.0} ms", word(flow.outcome), flow.took_ms);
                self.line(origin, at, "flow", text, true);
            }
            Event::Answered(answered) => {
                let class = self.site.classes.get(answered.class as usize);
                let class = class.map_or_else(|| answered.class.to_string(), |class| class.name.clone());
                let waited = answered.waited_ms;
                let turned = match answered.answer {
                    Answer::Served => {
                        if let Some(member) = answered.member {
                            let row = self.members.entry(member).or_default();
                            row.track.served(at);
                            let second = row.second(at);
                            second.served = second.served.saturating_add(1);
                        }
                        self.tally(at, 1.0, 0.0);
                        return;
                    }
                    Answer::Left => return,
                    Answer::Rejected { again_ms } => {
                        format!("rejected after {waited:.0} ms, to come again in {again_ms:.0} ms")
                    }
                    Answer::Failed(why) => format!("failed after {waited:.0} ms: {why:?}"),
                };
                self.tally(at, 0.0, 1.0);
                self.line(origin, at, "answer", format!("{class} {turned}"), true);
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
                let text = format!("client moved from {}: {why}", self.named(moved.member));
                self.line(origin, at, "move", text, false);
            }
            Event::Tenant(tenant) => {
                let share = Share {
                    demand: tenant.demand,
                    budget: tenant.budget,
                    limit: tenant.limit,
                    open: tenant.open,
                    queued: tenant.queued,
                };
                self.shares.insert((tenant.tenant, origin), share);
            }
            Event::Counters(counters) => {
                let node = &mut self.nodes[origin.0];
                node.counters = node.names.iter().cloned().zip(counters.values.iter().copied()).collect();
            }
            Event::Gap(gap) => self.line(origin, at, "doubt", format!("{} records lost", gap.lost), true),
            Event::Fault(fault) => self.line(origin, at, "fault", fault.what.clone(), true),
            Event::Neighbour(neighbour) => {
                let (held, bad) = match neighbour.state {
                    NeighbourState::Alive => ("is there", false),
                    NeighbourState::Dead => ("is held dead", true),
                    NeighbourState::Left => ("has left", false),
                };
                self.line(origin, at, "fleet", format!("node {} {held}", neighbour.name), bad);
            }
            Event::Blind(_) => self.line(origin, at, "node", "discovery could not be asked".into(), true),
        }
    }

    fn tally(&mut self, at: f64, served: f64, turned: f64) {
        self.served.push_back((at, served, turned));
        while self.served.front().is_some_and(|(then, _, _)| at - then > 10_000.0)
            || self.served.len() > 200_000
        {
            self.served.pop_front();
        }
    }
}

fn word(outcome: Outcome) -> &'static str {
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
