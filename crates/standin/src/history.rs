//! What observers saw of a fleet, and what was really so: one history, judged from outside. No node's own log is in it.

use crate::faults::{Fault, Schedule, Step};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What was seen and done while a schedule was played.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// What was played.
    pub schedule: Option<Schedule>,
    /// What was done to whom, as it was done.
    pub acts: Vec<NodeEvent>,
    /// What the nodes said when they were asked, in the order of the times.
    pub seen: Vec<Observation>,
}

/// Something done to a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeEvent {
    /// When, in seconds from the start.
    pub at: f64,
    /// To whom.
    pub node: usize,
    /// What.
    pub what: NodeEventKind,
}

/// What is done to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeEventKind {
    /// Its process started.
    Started,
    /// Its process was killed.
    Killed,
    /// It was told to end.
    Told,
    /// Its process ended after it was told.
    Ended,
    /// Its process was stopped.
    Stopped,
    /// It goes on.
    Continued,
}

/// One node's view, at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// When, in seconds from the start.
    pub at: f64,
    /// Whose.
    pub node: usize,
    /// Its view's digest.
    pub digest: String,
    /// The states by node, as far as they are nodes of the schedule.
    pub states: BTreeMap<usize, String>,
    /// What each says of its readiness.
    pub ready: BTreeMap<usize, String>,
    /// Whether the node says that it is ready, if it was asked.
    pub itself_ready: Option<bool>,
    /// When it was asked: what it says was so between then and `at`.
    #[serde(default)]
    pub asked: f64,
    /// Whether it says that it drains.
    #[serde(default)]
    pub drains: bool,
    /// Its incarnation, as it tells it.
    #[serde(default)]
    pub incarnation: u64,
    /// With how many it holds to share the pool, itself included, where it can tell.
    #[serde(default)]
    pub sharing: Option<u32>,
}

/// Whether a node was there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It ran.
    Up,
    /// It did not.
    Down,
    /// Its process was stopped.
    Stopped,
}

impl History {
    /// How a node was at a time, and since when.
    pub fn process_state(&self, node: usize, at: f64) -> (ProcessState, f64) {
        let mut process_state = (ProcessState::Down, 0.0);
        for act in self.acts.iter().filter(|act| act.node == node && act.at <= at) {
            process_state = match act.what {
                NodeEventKind::Started => (ProcessState::Up, act.at),
                NodeEventKind::Killed | NodeEventKind::Ended => (ProcessState::Down, act.at),
                NodeEventKind::Stopped => (ProcessState::Stopped, act.at),
                NodeEventKind::Continued => (ProcessState::Up, act.at),
                NodeEventKind::Told => process_state,
            };
        }
        process_state
    }

    /// The last act on a node that ends it, at or before a time.
    fn last(&self, node: usize, what: NodeEventKind, at: f64) -> Option<f64> {
        let mut acts = self.acts.iter().rev();
        acts.find(|act| act.node == node && act.what == what && act.at <= at).map(|act| act.at)
    }

    /// When a node's end was first seen by one, and by all others that ran: held dead or left.
    pub fn end_detection_delays(&self, node: usize, since: f64) -> (Option<f64>, Option<f64>) {
        let mut first: BTreeMap<usize, f64> = BTreeMap::new();
        for seen in self.seen.iter().filter(|seen| seen.at >= since && seen.node != node) {
            if seen.states.get(&node).is_some_and(|state| state == "dead" || state == "left") {
                first.entry(seen.node).or_insert(seen.at - since);
            }
        }
        let others: Vec<usize> = self.observers(since).into_iter().filter(|other| *other != node).collect();
        let one = first.values().copied().reduce(f64::min);
        let all: Option<Vec<f64>> = others.iter().map(|other| first.get(other).copied()).collect();
        (one, all.filter(|times| !times.is_empty()).map(|times| times.into_iter().fold(0.0, f64::max)))
    }

    /// Nodes that run at a time and to the end.
    fn observers(&self, since: f64) -> Vec<usize> {
        let nodes = self.schedule.as_ref().map_or(0, |schedule| schedule.nodes);
        let end = self.seen.last().map_or(since, |seen| seen.at);
        (0..nodes)
            .filter(|node| {
                self.process_state(*node, since).0 == ProcessState::Up
                    && self.process_state(*node, end) == self.process_state(*node, since)
            })
            .collect()
    }

    /// How long after a time all that run in the end had equal digests, and each held exactly those that run to be there; and kept
    /// that until the end. `None` if it never came to that.
    pub fn convergence_time(&self, since: f64) -> Option<f64> {
        let end = self.seen.last().map_or(since, |seen| seen.at);
        let count = self.schedule.as_ref().map_or(0, |schedule| schedule.nodes);
        let nodes: Vec<usize> =
            (0..count).filter(|node| self.process_state(*node, end).0 == ProcessState::Up).collect();
        let mut last: BTreeMap<usize, &Observation> = BTreeMap::new();
        let mut convergence_time = None;
        for seen in &self.seen {
            last.insert(seen.node, seen);
            if seen.at < since {
                continue;
            }
            let mut all = nodes.iter().map(|node| last.get(node));
            let digest = last.get(&seen.node).map(|seen| &seen.digest);
            let right = |seen: &&Observation| {
                let there = |node: &usize| {
                    seen.states.get(node).is_some_and(|state| state == "alive" || state == "suspect")
                };
                (0..count).all(|node| there(&node) == nodes.contains(&node))
            };
            let good = nodes.contains(&seen.node)
                && all.all(|seen| seen.is_some_and(|seen| Some(&seen.digest) == digest && right(seen)));
            match (good, convergence_time) {
                (true, None) => convergence_time = Some(seen.at),
                (false, Some(_)) if nodes.contains(&seen.node) => convergence_time = None,
                _ => {}
            }
        }
        convergence_time.map(|at| at - since)
    }

    /// Nodes that ran and were held dead, and by whom: all but those for which there was a reason. A reason is that one
    /// of the two was killed, stopped for a second or longer, came back, or that a cut lay between them; until `grace`
    /// seconds after its end.
    pub fn false_deaths(&self, grace: f64) -> Vec<(f64, usize, usize)> {
        let Some(schedule) = &self.schedule else { return Vec::new() };
        let mut found = Vec::new();
        for seen in &self.seen {
            for (node, state) in &seen.states {
                let held = state == "dead" || state == "left";
                if held
                    && *node != seen.node
                    && !self.excused(schedule, seen.at, seen.node, grace)
                    && !self.excused(schedule, seen.at, *node, grace)
                    && !cut_between(schedule, seen.at, seen.node, *node, grace)
                {
                    found.push((seen.at, seen.node, *node));
                }
            }
        }
        found
    }

    /// From when to when each node drained for sure: it said so twice, with no word between that it did not.
    pub fn drained(&self) -> Vec<(usize, f64, f64)> {
        let mut spans: Vec<(usize, f64, f64)> = Vec::new();
        let mut last: BTreeMap<usize, &Observation> = BTreeMap::new();
        for seen in &self.seen {
            let before = last.insert(seen.node, seen);
            let Some(before) = before.filter(|before| before.drains && seen.drains) else { continue };
            if before.incarnation != seen.incarnation || seen.asked <= before.at {
                continue;
            }
            match spans.iter_mut().rev().find(|span| span.0 == seen.node) {
                Some(span) if span.2 >= before.asked => span.2 = seen.asked,
                _ => spans.push((seen.node, before.at, seen.asked)),
            }
        }
        spans
    }

    /// The most nodes that drained at once, and when that began.
    pub fn max_concurrent_drains(&self) -> (usize, f64) {
        let spans = self.drained();
        let at_once = |at: f64| spans.iter().filter(|(_, from, to)| *from <= at && at < *to).count();
        let begins = spans.iter().map(|(_, from, _)| (at_once(*from), *from));
        begins.max_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1))).unwrap_or((0, 0.0))
    }

    /// What it shows, in a few lines: each end and when it was seen, when the fleet settled, deaths without a reason.
    pub fn summary(&self) -> String {
        use std::fmt::Write as _;
        let mut text = String::new();
        let time = |at: Option<f64>| at.map_or("never".to_owned(), |at| format!("{at:.2} s"));
        for act in
            self.acts.iter().filter(|act| matches!(act.what, NodeEventKind::Killed | NodeEventKind::Ended))
        {
            let (one, all) = self.end_detection_delays(act.node, act.at);
            let _ = writeln!(
                text,
                "n-{:04} {:?} at {:.1} s: seen by one after {}, by all after {}",
                act.node,
                act.what,
                act.at,
                time(one),
                time(all)
            );
        }
        if let Some(schedule) = &self.schedule {
            let last = schedule.steps.iter().map(Step::until).fold(0.0, f64::max);
            let _ = writeln!(
                text,
                "settled after the last fault ({last:.1} s): {}",
                time(self.convergence_time(last))
            );
        }
        let _ = writeln!(text, "nodes held dead without a reason: {}", self.false_deaths(10.0).len());
        let _ =
            writeln!(text, "nodes that came again without a reason: {}", self.needless_rejoins(10.0).len());
        text
    }

    /// Nodes that came again, as another incarnation, without a reason: none of those in [`History::false_deaths`], and no
    /// cut that lay between them and anybody.
    pub fn needless_rejoins(&self, grace: f64) -> Vec<(f64, usize)> {
        let Some(schedule) = &self.schedule else { return Vec::new() };
        let mut last: BTreeMap<usize, u64> = BTreeMap::new();
        let mut found = Vec::new();
        for seen in &self.seen {
            let changed =
                last.insert(seen.node, seen.incarnation).is_some_and(|last| last != seen.incarnation);
            let cut = |other| cut_between(schedule, seen.at, seen.node, other, grace);
            if changed && !self.excused(schedule, seen.at, seen.node, grace) && !(0..schedule.nodes).any(cut)
            {
                found.push((seen.at, seen.node));
            }
        }
        found
    }

    fn excused(&self, schedule: &Schedule, at: f64, node: usize, grace: f64) -> bool {
        let (process_state, since) = self.process_state(node, at);
        if process_state != ProcessState::Up
            || self.last(node, NodeEventKind::Told, at).is_some_and(|summary| summary > since)
        {
            return true;
        }
        let recent = |what| self.last(node, what, at).is_some_and(|then| at - then < grace);
        let stopped = schedule.steps.iter().any(|step| {
            matches!(&step.fault, Fault::Stop { nodes, seconds }
                if *seconds >= 1.0 && nodes.includes(node, schedule.zones)
                && step.at <= at && at < step.at + seconds + grace)
        });
        recent(NodeEventKind::Killed)
            || recent(NodeEventKind::Ended)
            || stopped
            || recent(NodeEventKind::Started)
    }
}

/// Whether a cut is why one holds the other dead. One whom a cut mutes but does not deafen is held dead by the rest, and
/// others that are mute with it hear that and have no reason to doubt it.
fn cut_between(schedule: &Schedule, at: f64, a: usize, b: usize, grace: f64) -> bool {
    let cuts = |step: &Step| {
        let Fault::Link { from, to, both, how, seconds } = &step.fault else { return false };
        if !how.cut || at < step.at || at >= step.at + seconds + grace {
            return false;
        }
        let includes = |who: &crate::faults::NodeSet, node| who.includes(node, schedule.zones);
        (includes(from, a) && includes(to, b)) || (includes(from, b) && (includes(to, a) || !both))
    };
    schedule.steps.iter().any(cuts)
}

#[cfg(test)]
mod tests;
