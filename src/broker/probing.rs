//! Which members are probed, beyond those that the decision module asks for: those that hold connections of this node, and for a
//! while after its start a sample of all.
//!
//! What a node asks of members follows from its own traffic and not from the length of the list. A probe costs a descriptor here and
//! a connection there, and all nodes probe: with 300 nodes and 3,200 members, each node asking each member once took every
//! descriptor that clients needed (incident 2).

use super::*;
use crate::state::{mix, place};

/// A node that has just started knows no member's load, and places what comes on those that it likes best: the clients of the
/// process before it, all at once. For so long it asks a sample of members, unless nodes are more than members: there each
/// node's clients are few, and members would hear of nothing but probes.
const LOOK_ROUND_MS: Millis = 10_000.0;
/// How often members that hold connections are asked how long a message takes there.
const MEASURE_MS: Millis = 1_000.0;
/// Members asked in one round, at most: twice those that a small site has, so that there all are asked. It is the eighth of the
/// descriptors that probes may hold in the smallest process.
const ROUND_MOST: usize = 32;
/// A look at a member costs it about what setting up a connection costs: one for so many connections that are this node's part.
const CONNECTIONS_A_LOOK: f64 = 8.0;

/// What the broker knows of probes.
pub(super) struct Probing {
    looks_round_until: Millis,
    nodes: usize,
    /// Members in the sample, at most.
    sample: usize,
    /// Draws the sample, another one at each node.
    salt: u64,
    /// Members with a probe out, and whether the module waits for it.
    pub(super) out: BTreeMap<BackendId, bool>,
}

impl Probing {
    pub(super) fn new(now: Millis, settings: &Settings, seed: u64) -> Self {
        let part = settings.quota_per_node();
        let stated = (part / CONNECTIONS_A_LOOK).ceil() as usize;
        Probing {
            looks_round_until: now + LOOK_ROUND_MS,
            nodes: settings.balancers as usize,
            sample: if part > 0.0 { stated.min(ROUND_MOST) } else { ROUND_MOST },
            salt: mix(seed),
            out: BTreeMap::new(),
        }
    }

    /// So many nodes share the pool.
    pub(super) fn sharing(&mut self, nodes: u32) {
        self.nodes = nodes as usize;
    }

    /// The members that are asked in this round: those that hold connections, and of all that are listed as many as there is room
    /// left for. Where not all can be asked they are the same from round to round, so that probes find their connections still open.
    fn round(&self, now: Millis, holding: &BTreeSet<BackendId>, pool: &Pool) -> BTreeSet<BackendId> {
        let serving = |id: &BackendId| pool.serving(*id);
        let mut asked = self.first(holding.iter().copied().filter(serving), ROUND_MOST);
        if now < self.looks_round_until && self.nodes <= pool.members().count() {
            let sample = self.sample.min(ROUND_MOST - asked.len());
            asked.extend(self.first(pool.members().map(|(id, _)| id).filter(serving), sample));
        }
        asked
    }

    /// So many of these members, at most, by an order of this node's own.
    fn first(&self, members: impl Iterator<Item = BackendId>, most: usize) -> BTreeSet<BackendId> {
        let mut members: Vec<_> = members.map(|id| (place(self.salt ^ id.0, 1.0), id)).collect();
        if members.len() > most {
            members.select_nth_unstable(most);
            members.truncate(most);
        }
        members.into_iter().map(|(_, id)| id).collect()
    }
}

impl Broker {
    /// Sends a probe unless one is out; says whether one is out now.
    fn probe(&mut self, member: BackendId) -> bool {
        if self.probing.out.contains_key(&member) {
            return true;
        }
        let Some(dial) = self.pool.dial(member) else { return false };
        self.counters.probes += 1;
        self.probing.out.insert(member, false);
        self.driver_commands.push_back(DriverCommand::Probe { member, dial });
        true
    }

    /// Sends a probe that the module asks for.
    pub(super) fn probe_for_module(&mut self, backend: BackendId) {
        if self.probe(backend) {
            self.probing.out.insert(backend, true);
        } else {
            self.events.push_back(Event::ProbeEnded { backend, outcome: Outcome::NotSent, report: None });
        }
    }

    /// No note on message delay comes over sockets. Where this node holds connections it asks for itself, so
    /// that the module is told as often as the simulator would tell it.
    pub(super) fn measure(&mut self, now: Millis) {
        let holds = |t: &&Transaction| t.stage == Stage::Up;
        let holding = self.transactions.values().filter(holds).filter_map(|t| t.member).collect();
        // One that drains is asked nothing more.
        for member in self.probing.round(now, &holding, &self.pool) {
            if self.delays.asks(now, member) {
                self.probe(member);
            }
        }
        self.timers.set(now + MEASURE_MS, Due::Measure);
    }

    /// A probe, or its resting connection, was given up for want of descriptors.
    pub fn probe_evicted(&mut self, now: Millis, member: BackendId) {
        self.counters.probes_gave_way += 1;
        if self.probing.out.contains_key(&member) {
            self.probed(now, member, Outcome::NotSent, None, None);
        }
    }

    /// A probe has ended. `message_ms` is how long a message takes there, as the member reports it.
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
        self.recorder.note(now, || {
            let (load, message_ms) = (load.map(|load| load as f32), message_ms.map(|ms| ms as f32));
            record::Probed { member: recorder::number(member), outcome: outcome.into(), load, message_ms }
                .into()
        });
        // The module hears of the probes that it asked for, as in the simulator, and of what the others report: a
        // report not passed on leaves it with an older one.
        if self.probing.out.remove(&member) == Some(true) || outcome == Outcome::Ok {
            self.feed(now, Event::ProbeEnded { backend: member, outcome, report });
        }
        if let Some(message_ms) = message_ms {
            let told = self.delays.reported(now, member, message_ms);
            self.tell_delay(now, member, told);
        }
    }

    /// Tells the module of a message delay that it is to hear of.
    pub(super) fn tell_delay(&mut self, now: Millis, member: BackendId, told: Option<Millis>) {
        let Some(took_ms) = told else { return };
        self.log(LogLine::SlowMessages(self.pool.name(member), took_ms));
        let delay = record::Delay { member: recorder::number(member), took_ms: took_ms as f32 };
        self.recorder.note(now, || delay.into());
        self.feed(now, Event::MessageDelay { backend: member, took_ms });
    }
}
