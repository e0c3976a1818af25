//! Histories of a fleet under faults: what each node reported, and what was really done to the processes. The
//! checks compare the two from outside; no node's own log is part of a history.

use crate::faults::{Fault, Schedule, Step};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What was observed and done while a schedule ran.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The schedule that ran.
    pub schedule: Option<Schedule>,
    /// What was done to the nodes' processes, in the order in which it was done.
    pub acts: Vec<NodeEvent>,
    /// The nodes' answers, in the order of their times.
    pub seen: Vec<Observation>,
}

/// An event in the life of a node's process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeEvent {
    /// Time of the event, in seconds from the start.
    pub at: f64,
    /// Node that it happened to.
    pub node: usize,
    /// Kind of the event.
    pub what: NodeEventKind,
}

/// Kinds of events in the life of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeEventKind {
    /// The process started.
    Started,
    /// The process was killed (SIGKILL).
    Killed,
    /// The process was told to shut down (SIGTERM).
    Told,
    /// The process ended after it was told to shut down.
    Ended,
    /// The process was stopped (SIGSTOP).
    Stopped,
    /// The process was continued (SIGCONT).
    Continued,
}

/// One node's view of the fleet, and what it reports of itself, at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// When the answer arrived, in seconds from the start.
    pub at: f64,
    /// Node that answered.
    pub node: usize,
    /// Digest of its view.
    pub digest: String,
    /// Membership states in its view, by node; members that are not nodes of the schedule are left out.
    pub states: BTreeMap<usize, String>,
    /// Readiness that each node announces, according to this view.
    pub ready: BTreeMap<usize, String>,
    /// Whether the node reports itself ready; `None` if it was not asked.
    pub itself_ready: Option<bool>,
    /// When the node was asked, in seconds from the start. Its answer was true at some time between then and
    /// `at`.
    #[serde(default)]
    pub asked: f64,
    /// Whether the node reports that it is draining.
    #[serde(default)]
    pub drains: bool,
    /// Incarnation that the node reports of itself.
    #[serde(default)]
    pub incarnation: u64,
    /// Number of nodes, itself included, that the node believes to share the pool; `None` if it can't tell.
    #[serde(default)]
    pub sharing: Option<u32>,
}

/// State of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It was running.
    Up,
    /// It was not running.
    Down,
    /// It was stopped (SIGSTOP).
    Stopped,
}

impl History {
    /// Returns the state of a node's process at a time, and since when it had been in that state.
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

    /// Returns the time of a node's last event of this kind, at or before a time.
    fn last_event_at(&self, node: usize, what: NodeEventKind, at: f64) -> Option<f64> {
        let mut acts = self.acts.iter().rev();
        acts.find(|act| act.node == node && act.what == what && act.at <= at).map(|act| act.at)
    }

    /// Returns how long after `since` the first other node held this node dead or left, and how long after
    /// `since` every other node that ran without interruption to the end had done so. `None` where that did
    /// not happen.
    pub fn end_detection_delays(&self, node: usize, since: f64) -> (Option<f64>, Option<f64>) {
        let mut first_delays: BTreeMap<usize, f64> = BTreeMap::new();
        for seen in self.seen.iter().filter(|seen| seen.at >= since && seen.node != node) {
            if seen.states.get(&node).is_some_and(|state| state == "dead" || state == "left") {
                first_delays.entry(seen.node).or_insert(seen.at - since);
            }
        }
        let others: Vec<usize> = self.observers(since).into_iter().filter(|other| *other != node).collect();
        let shortest = first_delays.values().copied().reduce(f64::min);
        let all: Option<Vec<f64>> = others.iter().map(|other| first_delays.get(other).copied()).collect();
        (
            shortest,
            all.filter(|delays| !delays.is_empty()).map(|delays| delays.into_iter().fold(0.0, f64::max)),
        )
    }

    /// Returns the nodes whose process ran without interruption from `since` to the end of the history.
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

    /// Returns how long after `since` the views converged for good: all nodes that run at the end have equal
    /// digests, and each holds exactly the running nodes alive or suspect. `None` if the views have not
    /// converged by the end.
    pub fn convergence_time(&self, since: f64) -> Option<f64> {
        let end = self.seen.last().map_or(since, |seen| seen.at);
        let count = self.schedule.as_ref().map_or(0, |schedule| schedule.nodes);
        let nodes: Vec<usize> =
            (0..count).filter(|node| self.process_state(*node, end).0 == ProcessState::Up).collect();
        let mut latest: BTreeMap<usize, &Observation> = BTreeMap::new();
        let mut converged_at = None;
        for seen in &self.seen {
            latest.insert(seen.node, seen);
            if seen.at < since {
                continue;
            }
            let mut all = nodes.iter().map(|node| latest.get(node));
            let digest = latest.get(&seen.node).map(|seen| &seen.digest);
            let is_correct = |seen: &&Observation| {
                let listed_alive = |node: &usize| {
                    seen.states.get(node).is_some_and(|state| state == "alive" || state == "suspect")
                };
                (0..count).all(|node| listed_alive(&node) == nodes.contains(&node))
            };
            let converged = nodes.contains(&seen.node)
                && all.all(|seen| seen.is_some_and(|seen| Some(&seen.digest) == digest && is_correct(seen)));
            match (converged, converged_at) {
                (true, None) => converged_at = Some(seen.at),
                (false, Some(_)) if nodes.contains(&seen.node) => converged_at = None,
                _ => {}
            }
        }
        converged_at.map(|at| at - since)
    }

    /// Returns the false deaths: each observation of a running node as dead or left for which there is no
    /// reason, as its time, the node that held the other dead, and that other node. A reason is that one of
    /// the two was killed, ended, was stopped for a second or longer, or started, or that a cut lay between
    /// them. It counts until `grace` seconds after its end.
    pub fn false_deaths(&self, grace: f64) -> Vec<(f64, usize, usize)> {
        let Some(schedule) = &self.schedule else { return Vec::new() };
        let mut found = Vec::new();
        for seen in &self.seen {
            for (node, state) in &seen.states {
                let held_dead = state == "dead" || state == "left";
                if held_dead
                    && *node != seen.node
                    && !self.is_excused(schedule, seen.at, seen.node, grace)
                    && !self.is_excused(schedule, seen.at, *node, grace)
                    && !cut_between(schedule, seen.at, seen.node, *node, grace)
                {
                    found.push((seen.at, seen.node, *node));
                }
            }
        }
        found
    }

    /// Returns the spans in which a node was certainly draining, as node, begin and end. A span lies between
    /// successive answers in which the same incarnation reports that it is draining: it begins when the first
    /// answer arrived and ends when the last one was requested.
    pub fn drained(&self) -> Vec<(usize, f64, f64)> {
        let mut spans: Vec<(usize, f64, f64)> = Vec::new();
        let mut latest: BTreeMap<usize, &Observation> = BTreeMap::new();
        for seen in &self.seen {
            let previous = latest.insert(seen.node, seen);
            let Some(previous) = previous.filter(|previous| previous.drains && seen.drains) else { continue };
            if previous.incarnation != seen.incarnation || seen.asked <= previous.at {
                continue;
            }
            match spans.iter_mut().rev().find(|span| span.0 == seen.node) {
                Some(span) if span.2 >= previous.asked => span.2 = seen.asked,
                _ => spans.push((seen.node, previous.at, seen.asked)),
            }
        }
        spans
    }

    /// Returns the largest number of nodes that were draining at the same time, and when that was first
    /// reached.
    pub fn max_concurrent_drains(&self) -> (usize, f64) {
        let spans = self.drained();
        let draining_at = |at: f64| spans.iter().filter(|(_, from, to)| *from <= at && at < *to).count();
        let counts = spans.iter().map(|(_, from, _)| (draining_at(*from), *from));
        counts.max_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1))).unwrap_or((0, 0.0))
    }

    /// Summarizes the history in a few lines: each end of a process and when it was detected, when the views
    /// converged, and the numbers of deaths and of rejoins without a reason.
    pub fn summary(&self) -> String {
        use std::fmt::Write as _;
        let mut text = String::new();
        let duration = |delay: Option<f64>| delay.map_or("never".to_owned(), |delay| format!("{delay:.2} s"));
        for act in
            self.acts.iter().filter(|act| matches!(act.what, NodeEventKind::Killed | NodeEventKind::Ended))
        {
            let (first, all) = self.end_detection_delays(act.node, act.at);
            let _ = writeln!(
                text,
                "n-{:04} {:?} at {:.1} s: seen by one after {}, by all after {}",
                act.node,
                act.what,
                act.at,
                duration(first),
                duration(all)
            );
        }
        if let Some(schedule) = &self.schedule {
            let faults_end = schedule.steps.iter().map(Step::until).fold(0.0, f64::max);
            let _ = writeln!(
                text,
                "settled after the last fault ({faults_end:.1} s): {}",
                duration(self.convergence_time(faults_end))
            );
        }
        let _ = writeln!(text, "nodes held dead without a reason: {}", self.false_deaths(10.0).len());
        let _ =
            writeln!(text, "nodes that came again without a reason: {}", self.needless_rejoins(10.0).len());
        text
    }

    /// Returns the needless rejoins: the times at which a node reports a new incarnation without a reason.
    /// The reasons are those of [`History::false_deaths`]; a cut between the node and any other node counts.
    pub fn needless_rejoins(&self, grace: f64) -> Vec<(f64, usize)> {
        let Some(schedule) = &self.schedule else { return Vec::new() };
        let mut latest: BTreeMap<usize, u64> = BTreeMap::new();
        let mut found = Vec::new();
        for seen in &self.seen {
            let changed =
                latest.insert(seen.node, seen.incarnation).is_some_and(|earlier| earlier != seen.incarnation);
            let cut = |other| cut_between(schedule, seen.at, seen.node, other, grace);
            if changed
                && !self.is_excused(schedule, seen.at, seen.node, grace)
                && !(0..schedule.nodes).any(cut)
            {
                found.push((seen.at, seen.node));
            }
        }
        found
    }

    /// Returns whether what was done to a node is a reason to hold it dead, for it to hold others dead, or
    /// for it to rejoin. It is one if the node is not running or is shutting down, or if less than `grace`
    /// seconds ago it was killed, ended, started, or continued after a stop of at least a second.
    fn is_excused(&self, schedule: &Schedule, at: f64, node: usize, grace: f64) -> bool {
        let (process_state, since) = self.process_state(node, at);
        if process_state != ProcessState::Up
            || self.last_event_at(node, NodeEventKind::Told, at).is_some_and(|told_at| told_at > since)
        {
            return true;
        }
        let recent = |what| self.last_event_at(node, what, at).is_some_and(|event_at| at - event_at < grace);
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

/// Returns whether a cut explains that node `a` holds node `b` dead. A node whose outgoing links are cut
/// while its incoming links work is held dead by the rest. Nodes that are muted with it receive that news and
/// have no reason to doubt it. A one-way cut of `b`'s outgoing links therefore counts even if `a` is not
/// among its receivers.
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
