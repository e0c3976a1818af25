//! The descriptor budget: how many descriptors the node's sockets take, and who gives way when they run short.
//!
//! A client without a whole first line (pending) holds one descriptor, one whose transaction is open may need two, and one
//! that has its final response (lingering close) holds one until it is gone. A probe of a member holds one, too.
//!
//! For a client, others give way in this order: lingering closes, the oldest first; pending clients that have done nothing
//! for [`GRACE_MS`], whoever has done nothing for longest; probes; the pending clients that are left. For a probe only the
//! second kind does, and probes together hold a part of all. Guards against probes that take what clients need, silent
//! clients that crowd out real ones, and real ones that write slowly, or have just connected, being taken for silent.

use crate::api::{BackendId, Millis};
use crate::broker::{Command, TransactionId};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;

/// Descriptors that are no connection of a client, a member, discovery or an operator: streams, listeners, the runtime's.
const BASE: usize = 20;
/// Part of all descriptors that clients in a lingering close may hold, and as much again probes.
const PART: usize = 8;
/// A client that has just connected has so long for its line to be read before it gives way to a probe.
const GRACE_MS: Millis = 1_000.0;
/// Bytes of a first line count for so much time: one that writes on stays before one that says nothing, but one that
/// has stopped half way not for long, and a client whose line is still on its way before that one.
const BYTES_MS: Millis = 500.0;
/// A client that is turned away for want of descriptors is to stay away for this long.
pub(super) const FULL_MS: f64 = 1_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// It gives way in the order of these.
    Pending(Turn),
    Open,
    Lingering,
}

/// A time, in microseconds: it can be ordered.
type Turn = u64;

fn turn(at: Millis) -> Turn {
    (at * 1_000.0) as Turn
}

impl Kind {
    fn descriptors(self) -> usize {
        if self == Kind::Open { 2 } else { 1 }
    }
}

/// How many descriptors are held for what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Usage {
    /// Clients whose first line is not whole.
    pub(super) pending: usize,
    /// Clients that have asked, with those of their members.
    pub(super) open: usize,
    /// Clients that have their final response.
    pub(super) lingering: usize,
    /// Probes.
    pub(super) probes: usize,
    /// All that there are for these.
    pub(super) most: usize,
}

impl std::fmt::Display for Usage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Usage { pending, open, lingering, probes, most } = self;
        write!(f, "pending={pending} open={open} lingering={lingering} probes={probes} most={most}")
    }
}

/// Who holds descriptors.
pub(super) struct DescriptorBudget {
    most: usize,
    few: usize,
    held: usize,
    clients: BTreeMap<TransactionId, (Kind, UnboundedSender<Command>)>,
    pending: BTreeSet<(Turn, TransactionId)>,
    lingering: BTreeSet<TransactionId>,
    /// Probes, and what ends each.
    probes: BTreeMap<BackendId, AbortHandle>,
}

/// Who had to give way for somebody else.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use]
pub(super) struct GaveWay {
    /// Clients without a first line: they were turned away.
    pub(super) clients: u64,
    /// Members whose probes were given up.
    pub(super) probes: Vec<BackendId>,
}

impl DescriptorBudget {
    /// A budget for a process that may hold so many descriptors.
    pub(super) fn new(sockets: usize) -> Self {
        let (most, few) = DescriptorBudget::sizes(sockets);
        DescriptorBudget {
            most,
            few,
            held: 0,
            clients: BTreeMap::new(),
            pending: BTreeSet::new(),
            lingering: BTreeSet::new(),
            probes: BTreeMap::new(),
        }
    }

    /// The process may hold so many descriptors from now on; nobody who holds one has to go for it.
    pub(super) fn resize(&mut self, sockets: usize) {
        (self.most, self.few) = DescriptorBudget::sizes(sockets);
    }

    /// Who holds how many.
    pub(super) fn usage(&self) -> Usage {
        let (pending, lingering) = (self.pending.len(), self.lingering.len());
        let open = 2 * (self.clients.len() - pending - lingering);
        Usage { pending, open, lingering, probes: self.probes.len(), most: self.most }
    }

    /// Transactions that could still be taken in, and the most there could ever be: each may need two descriptors.
    pub(super) fn room(&self) -> (usize, usize) {
        (self.most.saturating_sub(self.held) / 2, self.most / 2)
    }

    fn sizes(sockets: usize) -> (usize, usize) {
        (sockets.saturating_sub(BASE).max(4), (sockets / PART).max(2))
    }

    /// Hands a command to a client's session; one that has just ended needs none any more.
    pub(super) fn send(&self, id: TransactionId, command: Command) {
        if let Some((_, commands)) = self.clients.get(&id) {
            let _ = commands.send(command);
        }
    }

    /// No client holds any.
    pub(super) fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// A client has connected. Returns whether there is room, and who had to give way for it.
    pub(super) fn enter(
        &mut self,
        now: Millis,
        id: TransactionId,
        commands: UnboundedSender<Command>,
    ) -> (bool, GaveWay) {
        let (room, gave_way) = self.make_room(now);
        if room {
            self.held += 1;
            self.pending.insert((turn(now), id));
            self.clients.insert(id, (Kind::Pending(turn(now)), commands));
        }
        (room, gave_way)
    }

    /// A client has sent a part of its first line.
    pub(super) fn wrote(&mut self, now: Millis, id: TransactionId) {
        if let Some((Kind::Pending(last), _)) = self.clients.get_mut(&id) {
            let next = turn(now + BYTES_MS);
            self.pending.remove(&(std::mem::replace(last, next), id));
            self.pending.insert((next, id));
        }
    }

    /// A client has asked: from now on it may need a descriptor for its member, too.
    pub(super) fn open(&mut self, now: Millis, id: TransactionId) -> (bool, GaveWay) {
        // It must not give way for itself.
        self.forget_pending(id);
        let (room, gave_way) = self.make_room(now);
        match self.clients.get_mut(&id) {
            Some(entry) if room => {
                self.held += 1;
                entry.0 = Kind::Open;
            }
            _ => {}
        }
        (room, gave_way)
    }

    /// A client has its final response and may linger until it has read it.
    pub(super) fn linger(&mut self, id: TransactionId) {
        self.forget_pending(id);
        let Some(entry) = self.clients.get_mut(&id) else { return };
        self.held = self.held - entry.0.descriptors() + 1;
        entry.0 = Kind::Lingering;
        self.lingering.insert(id);
        if self.lingering.len() > self.few {
            self.cut_short();
        }
    }

    /// A client's connection is closed.
    pub(super) fn leave(&mut self, id: TransactionId) {
        self.forget_pending(id);
        if let Some((kind, _)) = self.clients.remove(&id) {
            self.held -= kind.descriptors();
            self.lingering.remove(&id);
        }
    }

    fn forget_pending(&mut self, id: TransactionId) {
        if let Some((Kind::Pending(turn), _)) = self.clients.get(&id) {
            self.pending.remove(&(*turn, id));
        }
    }

    /// Whether a probe may begin, and who had to give way for it. [`DescriptorBudget::probe_began`] takes its descriptor.
    pub(super) fn may_probe(&mut self, now: Millis) -> (bool, GaveWay) {
        let mut gave_way = GaveWay::default();
        if self.probes.len() >= self.few {
            return (false, gave_way);
        }
        while self.held >= self.most {
            if !self.dismiss_before(now - GRACE_MS) {
                return (false, gave_way);
            }
            gave_way.clients += 1;
        }
        (true, gave_way)
    }

    /// A probe of this member has begun; `task` ends it.
    pub(super) fn probe_began(&mut self, member: BackendId, task: AbortHandle) {
        if self.probes.insert(member, task).is_none() {
            self.held += 1;
        }
    }

    /// It has ended by itself.
    pub(super) fn probe_ended(&mut self, member: BackendId) {
        if self.probes.remove(&member).is_some() {
            self.held -= 1;
        }
    }

    /// Makes room for one descriptor of a client.
    fn make_room(&mut self, now: Millis) -> (bool, GaveWay) {
        let mut gave_way = GaveWay::default();
        while self.held >= self.most {
            if self.cut_short() {
                continue;
            }
            if self.dismiss_before(now - GRACE_MS) {
                gave_way.clients += 1;
            } else if let Some(member) = self.give_up_probe() {
                gave_way.probes.push(member);
            } else if self.dismiss_before(f64::INFINITY) {
                gave_way.clients += 1;
            } else {
                return (false, gave_way);
            }
        }
        (true, gave_way)
    }

    /// Ends a probe for somebody else's sake; says whose.
    fn give_up_probe(&mut self) -> Option<BackendId> {
        let (member, task) = self.probes.pop_first()?;
        task.abort();
        self.held -= 1;
        Some(member)
    }

    /// Closes the oldest connection that lingers: without its sender its session ends.
    fn cut_short(&mut self) -> bool {
        let Some(&oldest) = self.lingering.first() else { return false };
        self.leave(oldest);
        true
    }

    /// Turns the client away, at once, that has done nothing about its first line for longest, if that is since before this
    /// time.
    fn dismiss_before(&mut self, before: Millis) -> bool {
        let Some(&(last, idle)) = self.pending.first() else { return false };
        if before.is_finite() && last >= turn(before) {
            return false;
        }
        self.send(idle, Command::Reject(FULL_MS));
        self.leave(idle);
        true
    }
}

#[cfg(test)]
mod tests;
