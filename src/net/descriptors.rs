//! The descriptor budget: counts the descriptors of the node's sockets and evicts connections when they run
//! short.
//!
//! A client holds one descriptor while its first line is incomplete (pending), two while its transaction is
//! open (its own and that of its flow), and one after its final response until its connection is closed
//! (lingering). A probe of a member holds one.
//!
//! To make room for a client, connections are evicted in this order: lingering ones, the oldest first;
//! pending clients that have been idle for [`IDLE_GRACE_MS`], the longest idle first; probes; the remaining
//! pending clients. To make room for a probe, only idle pending clients are evicted, and all probes together
//! hold a limited share. Guards against probes that take the descriptors that clients need, against silent
//! clients that crowd out real ones, and against evicting real clients as silent because they write slowly or
//! have just connected.

use crate::api::{BackendId, Millis};
use crate::broker::{Command, TransactionId};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;

/// Descriptors that are not connections of clients, members, discovery or operators: standard streams,
/// listeners and those of the runtime.
const BASE_DESCRIPTORS: usize = 20;
/// Lingering closes may hold at most one in this many of the process's descriptors, and so may probes.
const SHARE_DIVISOR: usize = 8;
/// Time since a pending client's last activity during which it is not evicted for a probe, nor before probes
/// are, so that a client that has just connected has time for its line to be read.
const IDLE_GRACE_MS: Millis = 1_000.0;
/// Received bytes of a first line date a client's last activity this far ahead. A client that keeps writing
/// is thus kept before a silent one. One that has stopped half way is not kept for long: a client whose line
/// is still on its way outlasts it.
const WRITE_CREDIT_MS: Millis = 500.0;
/// Retry delay given to clients that are rejected for lack of descriptors.
pub(super) const NO_ROOM_RETRY_MS: f64 = 1_000.0;

/// State of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientState {
    /// The first line is incomplete; the time of the last activity gives the order of eviction.
    Pending(Micros),
    /// A transaction is open.
    Open,
    /// The final response is sent, the connection not closed yet.
    Lingering,
}

/// A time in whole microseconds, which unlike [`Millis`] is totally ordered.
type Micros = u64;

fn micros(at: Millis) -> Micros {
    (at * 1_000.0) as Micros
}

impl ClientState {
    fn descriptors(self) -> usize {
        if self == ClientState::Open { 2 } else { 1 }
    }
}

/// Number of descriptors held for each purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Usage {
    /// Clients whose first line is incomplete.
    pub(super) pending: usize,
    /// Clients with an open transaction, and their flows.
    pub(super) open: usize,
    /// Clients that have been sent their final response.
    pub(super) lingering: usize,
    /// Probes of members.
    pub(super) probes: usize,
    /// The limit for all of these together.
    pub(super) capacity: usize,
}

impl std::fmt::Display for Usage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Usage { pending, open, lingering, probes, capacity } = self;
        write!(f, "pending={pending} open={open} lingering={lingering} probes={probes} most={capacity}")
    }
}

/// The descriptors held by clients, flows and probes.
pub(super) struct DescriptorBudget {
    /// The limit for all descriptors of clients, flows and probes.
    capacity: usize,
    /// The limit for lingering closes, and for probes.
    share_limit: usize,
    held: usize,
    clients: BTreeMap<TransactionId, (ClientState, UnboundedSender<Command>)>,
    pending: BTreeSet<(Micros, TransactionId)>,
    lingering: BTreeSet<TransactionId>,
    /// Probed members, with the handle that aborts the probe.
    probes: BTreeMap<BackendId, AbortHandle>,
}

/// Connections that were evicted to make room.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use]
pub(super) struct Evicted {
    /// Number of pending clients that were rejected.
    pub(super) clients: u64,
    /// Members whose probes were aborted.
    pub(super) probes: Vec<BackendId>,
}

impl DescriptorBudget {
    /// Creates the budget of a process that may hold `sockets` descriptors.
    pub(super) fn new(sockets: usize) -> Self {
        let (capacity, share_limit) = DescriptorBudget::sizes(sockets);
        DescriptorBudget {
            capacity,
            share_limit,
            held: 0,
            clients: BTreeMap::new(),
            pending: BTreeSet::new(),
            lingering: BTreeSet::new(),
            probes: BTreeMap::new(),
        }
    }

    /// Changes the number of descriptors that the process may hold. No connection is closed for it.
    pub(super) fn resize(&mut self, sockets: usize) {
        (self.capacity, self.share_limit) = DescriptorBudget::sizes(sockets);
    }

    /// The descriptors held now.
    pub(super) fn usage(&self) -> Usage {
        let (pending, lingering) = (self.pending.len(), self.lingering.len());
        let open = 2 * (self.clients.len() - pending - lingering);
        Usage { pending, open, lingering, probes: self.probes.len(), capacity: self.capacity }
    }

    /// Number of further transactions that there is room for, and the total number there is room for, at two
    /// descriptors each.
    pub(super) fn room(&self) -> (usize, usize) {
        (self.capacity.saturating_sub(self.held) / 2, self.capacity / 2)
    }

    /// The limit for all descriptors, and the share of lingering closes and of probes.
    fn sizes(sockets: usize) -> (usize, usize) {
        (sockets.saturating_sub(BASE_DESCRIPTORS).max(4), (sockets / SHARE_DIVISOR).max(2))
    }

    /// Sends a command to a client's session; a command to a session that has just ended is dropped.
    pub(super) fn send(&self, id: TransactionId, command: Command) {
        if let Some((_, commands)) = self.clients.get(&id) {
            let _ = commands.send(command);
        }
    }

    /// Whether no client holds a descriptor.
    pub(super) fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Registers a client that has connected, as pending. Returns whether there is room, and what was evicted
    /// for it.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        id: TransactionId,
        commands: UnboundedSender<Command>,
    ) -> (bool, Evicted) {
        let (room, evicted) = self.make_room(now);
        if room {
            self.held += 1;
            self.pending.insert((micros(now), id));
            self.clients.insert(id, (ClientState::Pending(micros(now)), commands));
        }
        (room, evicted)
    }

    /// Notes that a pending client has sent bytes of its first line.
    pub(super) fn received_bytes(&mut self, now: Millis, id: TransactionId) {
        if let Some((ClientState::Pending(last), _)) = self.clients.get_mut(&id) {
            let next = micros(now + WRITE_CREDIT_MS);
            self.pending.remove(&(std::mem::replace(last, next), id));
            self.pending.insert((next, id));
        }
    }

    /// Registers a client's transaction, which needs a second descriptor for its flow. Returns whether there
    /// is room, and what was evicted for it.
    pub(super) fn open(&mut self, now: Millis, id: TransactionId) -> (bool, Evicted) {
        // Taken out first, so that the client is not evicted to make room for itself.
        self.forget_pending(id);
        let (room, evicted) = self.make_room(now);
        match self.clients.get_mut(&id) {
            Some(entry) if room => {
                self.held += 1;
                entry.0 = ClientState::Open;
            }
            _ => {}
        }
        (room, evicted)
    }

    /// Notes that a client has been sent its final response; its connection lingers until it is closed.
    pub(super) fn linger(&mut self, id: TransactionId) {
        self.forget_pending(id);
        let Some(entry) = self.clients.get_mut(&id) else { return };
        self.held = self.held - entry.0.descriptors() + 1;
        entry.0 = ClientState::Lingering;
        self.lingering.insert(id);
        if self.lingering.len() > self.share_limit {
            self.close_oldest_lingering();
        }
    }

    /// Releases the descriptors of a client whose connection is closed.
    pub(super) fn release(&mut self, id: TransactionId) {
        self.forget_pending(id);
        if let Some((state, _)) = self.clients.remove(&id) {
            self.held -= state.descriptors();
            self.lingering.remove(&id);
        }
    }

    fn forget_pending(&mut self, id: TransactionId) {
        if let Some((ClientState::Pending(active), _)) = self.clients.get(&id) {
            self.pending.remove(&(*active, id));
        }
    }

    /// Whether a probe may start, and what was evicted for it. [`DescriptorBudget::probe_started`] counts its
    /// descriptor.
    pub(super) fn may_probe(&mut self, now: Millis) -> (bool, Evicted) {
        let mut evicted = Evicted::default();
        if self.probes.len() >= self.share_limit {
            return (false, evicted);
        }
        while self.held >= self.capacity {
            if !self.evict_idle_before(now - IDLE_GRACE_MS) {
                return (false, evicted);
            }
            evicted.clients += 1;
        }
        (true, evicted)
    }

    /// Registers a probe that has started; `task` aborts it.
    pub(super) fn probe_started(&mut self, member: BackendId, task: AbortHandle) {
        if self.probes.insert(member, task).is_none() {
            self.held += 1;
        }
    }

    /// Releases the descriptor of a probe that has ended by itself.
    pub(super) fn probe_ended(&mut self, member: BackendId) {
        if self.probes.remove(&member).is_some() {
            self.held -= 1;
        }
    }

    /// Makes room for one descriptor of a client, evicting others if needed.
    fn make_room(&mut self, now: Millis) -> (bool, Evicted) {
        let mut evicted = Evicted::default();
        while self.held >= self.capacity {
            if self.close_oldest_lingering() {
                continue;
            }
            if self.evict_idle_before(now - IDLE_GRACE_MS) {
                evicted.clients += 1;
            } else if let Some(member) = self.evict_probe() {
                evicted.probes.push(member);
            } else if self.evict_idle_before(f64::INFINITY) {
                evicted.clients += 1;
            } else {
                return (false, evicted);
            }
        }
        (true, evicted)
    }

    /// Aborts a probe and returns its member.
    fn evict_probe(&mut self) -> Option<BackendId> {
        let (member, task) = self.probes.pop_first()?;
        task.abort();
        self.held -= 1;
        Some(member)
    }

    /// Closes the oldest lingering connection: dropping the command sender ends its session.
    fn close_oldest_lingering(&mut self) -> bool {
        let Some(&oldest) = self.lingering.first() else { return false };
        self.release(oldest);
        true
    }

    /// Rejects the pending client that has been idle longest, if its last activity was before this time.
    fn evict_idle_before(&mut self, before: Millis) -> bool {
        let Some(&(last, idle)) = self.pending.first() else { return false };
        if before.is_finite() && last >= micros(before) {
            return false;
        }
        self.send(idle, Command::Reject(NO_ROOM_RETRY_MS));
        self.release(idle);
        true
    }
}

#[cfg(test)]
mod tests;
