//! Selection of the members that are probed on the node's own account, beyond the probes that the decision
//! module asks for: members that hold connections of this node, and after its start a sample of all.
//!
//! The number of probes follows from the node's own traffic and not from the length of the list. A probe
//! costs a descriptor here and a connection at the member, and all nodes probe: when each of 300 nodes probed
//! each of 3,200 members once, the probes took every descriptor that clients needed (incident 2).

use super::*;
use crate::state::{mix, place};

/// Period after the start in which a sample of all members is probed. A new node knows no member's load and
/// would place all clients of its predecessor, which come at once, on the members that it prefers. No sample
/// is probed if there are more nodes than members: each node then has few clients, and members would get
/// nothing but probes.
const STARTUP_SAMPLING_MS: Millis = 10_000.0;
/// Interval between two probe rounds, which ask members that hold connections for their message delay.
const PROBE_ROUND_INTERVAL_MS: Millis = 1_000.0;
/// Upper bound of members probed per round. Twice the members of a small site, so that all of them are probed
/// there, and the number of descriptors that probes may hold in the smallest process, an eighth of its
/// descriptors.
const MAX_PROBES_PER_ROUND: usize = 32;
/// A probe costs a member about as much as setting up a connection: the node's sample is one member per this
/// number of connections in its share of the quota.
const CONNECTIONS_PER_PROBE: f64 = 8.0;

/// Probe state of the broker.
pub(super) struct Probing {
    sampling_until: Millis,
    nodes: usize,
    /// Maximum number of members in the sample.
    sample_size: usize,
    /// Selects a different sample at each node.
    salt: u64,
    /// Members with a probe in flight, and whether the decision module waits for it.
    pub(super) in_flight: BTreeMap<BackendId, bool>,
}

impl Probing {
    pub(super) fn new(now: Millis, settings: &Settings, seed: u64) -> Self {
        let quota = settings.quota_per_node();
        let from_quota = (quota / CONNECTIONS_PER_PROBE).ceil() as usize;
        Probing {
            sampling_until: now + STARTUP_SAMPLING_MS,
            nodes: settings.balancers as usize,
            sample_size: if quota > 0.0 {
                from_quota.min(MAX_PROBES_PER_ROUND)
            } else {
                MAX_PROBES_PER_ROUND
            },
            salt: mix(seed),
            in_flight: BTreeMap::new(),
        }
    }

    /// Sets the number of nodes that share the pool.
    pub(super) fn set_node_count(&mut self, nodes: u32) {
        self.nodes = nodes as usize;
    }

    /// Returns the members to probe in this round: those that hold connections, and a sample of all listed
    /// members as far as there is room left. Where not all can be probed, the choice is the same in each
    /// round, so that probes reuse their open connections.
    fn members_to_probe(
        &self,
        now: Millis,
        holding: &BTreeSet<BackendId>,
        pool: &Pool,
    ) -> BTreeSet<BackendId> {
        let serving = |id: &BackendId| pool.serving(*id);
        let mut selected = self.pick(holding.iter().copied().filter(serving), MAX_PROBES_PER_ROUND);
        if now < self.sampling_until && self.nodes <= pool.members().count() {
            let sample_size = self.sample_size.min(MAX_PROBES_PER_ROUND - selected.len());
            selected.extend(self.pick(pool.members().map(|(id, _)| id).filter(serving), sample_size));
        }
        selected
    }

    /// Returns at most `max_members` of the members, by an order that differs from node to node.
    fn pick(&self, members: impl Iterator<Item = BackendId>, max_members: usize) -> BTreeSet<BackendId> {
        let mut members: Vec<_> = members.map(|id| (place(self.salt ^ id.0, 1.0), id)).collect();
        if members.len() > max_members {
            members.select_nth_unstable(max_members);
            members.truncate(max_members);
        }
        members.into_iter().map(|(_, id)| id).collect()
    }
}

impl Broker {
    /// Sends a probe unless one is in flight. Returns whether one is in flight now.
    fn probe(&mut self, member: BackendId) -> bool {
        if self.probing.in_flight.contains_key(&member) {
            return true;
        }
        let Some(dial) = self.pool.dial(member) else { return false };
        self.counters.probes += 1;
        self.probing.in_flight.insert(member, false);
        self.driver_commands.push_back(DriverCommand::Probe { member, dial });
        true
    }

    /// Sends a probe that the decision module asks for.
    pub(super) fn probe_for_module(&mut self, backend: BackendId) {
        if self.probe(backend) {
            self.probing.in_flight.insert(backend, true);
        } else {
            self.events.push_back(Event::ProbeEnded { backend, outcome: Outcome::NotSent, report: None });
        }
    }

    /// Probes the members of this round. The socket protocols don't state the message delay, so the node asks
    /// members that hold its connections: the module is then told as often as the simulator would tell it.
    pub(super) fn probe_round(&mut self, now: Millis) {
        let holds = |t: &&Transaction| t.stage == Stage::Established;
        let holding = self.transactions.values().filter(holds).filter_map(|t| t.member).collect();
        // `members_to_probe` leaves out members that drain.
        for member in self.probing.members_to_probe(now, &holding, &self.pool) {
            if self.delays.probe_due(now, member) {
                self.probe(member);
            }
        }
        self.timers.set(now + PROBE_ROUND_INTERVAL_MS, Due::ProbeRound);
    }

    /// Handles a probe that was cancelled, or whose idle connection was closed, to free descriptors for
    /// clients.
    pub fn probe_evicted(&mut self, now: Millis, member: BackendId) {
        self.counters.probes_gave_way += 1;
        if self.probing.in_flight.contains_key(&member) {
            self.probed(now, member, Outcome::NotSent, None, None);
        }
    }

    /// Handles the end of a probe. `message_ms` is the message delay that the member reported.
    pub fn probed(
        &mut self,
        now: Millis,
        member: BackendId,
        outcome: Outcome,
        report: Option<Report>,
        message_ms: Option<Millis>,
    ) {
        self.counters.probes_answered += u64::from(outcome == Outcome::Ok);
        let load = report.and_then(|report| report.load_over_capacity);
        self.log(LogLine::Probed(self.pool.name(member), outcome, load, message_ms));
        self.recorder.append(now, || {
            let (load, message_ms) = (load.map(|load| load as f32), message_ms.map(|ms| ms as f32));
            record::Probed { member: recorder::member_id(member), outcome: outcome.into(), load, message_ms }
                .into()
        });
        // The module is told of all probes that it asked for, as in the simulator, and of every report from
        // other probes: without these it would go on using an older report.
        if self.probing.in_flight.remove(&member) == Some(true) || outcome == Outcome::Ok {
            self.feed(now, Event::ProbeEnded { backend: member, outcome, report });
        }
        if let Some(message_ms) = message_ms {
            let delay_ms = self.delays.reported(now, member, message_ms);
            self.notify_delay(now, member, delay_ms);
        }
    }

    /// Tells the decision module of a message delay, if there is one to tell.
    pub(super) fn notify_delay(&mut self, now: Millis, member: BackendId, delay_ms: Option<Millis>) {
        let Some(took_ms) = delay_ms else { return };
        self.log(LogLine::SlowMessages(self.pool.name(member), took_ms));
        let delay = record::Delay { member: recorder::member_id(member), took_ms: took_ms as f32 };
        self.recorder.append(now, || delay.into());
        self.feed(now, Event::MessageDelay { backend: member, took_ms });
    }
}
