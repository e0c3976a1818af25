//! Seats: how many descriptors the node's sockets take, and who gives way when they run short.
//!
//! A client without a whole first line holds one descriptor, one whose transaction is open may need two, and one
//! that has its last word holds one until it is gone. The last kind is bounded and gives way first, the oldest before
//! the others; then the first kind, whoever has done nothing for longest. They may fill what nobody else needs: guards
//! against silent clients that crowd out real ones, and against real ones that write slowly being taken for silent.

use crate::api::Millis;
use crate::broker::{Command, TransactionId};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::mpsc::UnboundedSender;

/// Descriptors that are no connection of a client, a member, discovery or an operator: streams, listeners, the runtime's.
const BASE: usize = 20;
/// Part of all descriptors that clients with their last word may hold.
const PART: usize = 8;
/// Bytes of a first line count for so much time: one that writes on stays before one that says nothing, but one that
/// has stopped half way not for long, and a client whose line is still on its way before that one.
const BYTES_MS: Millis = 500.0;
/// A client that is turned away for want of descriptors is to stay away for this long.
pub(super) const FULL_MS: f64 = 1_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// It gives way in the order of these.
    Stranger(Turn),
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

/// Who sits where.
pub(super) struct Seats {
    most: usize,
    few: usize,
    held: usize,
    seats: BTreeMap<TransactionId, (Kind, UnboundedSender<Command>)>,
    strangers: BTreeSet<(Turn, TransactionId)>,
    lingering: BTreeSet<TransactionId>,
}

impl Seats {
    /// Seats for a process that may hold so many descriptors.
    pub(super) fn new(sockets: usize) -> Self {
        let (most, few) = Seats::sizes(sockets);
        Seats {
            most,
            few,
            held: 0,
            seats: BTreeMap::new(),
            strangers: BTreeSet::new(),
            lingering: BTreeSet::new(),
        }
    }

    /// The process may hold so many descriptors from now on; nobody who sits has to go for it.
    pub(super) fn resize(&mut self, sockets: usize) {
        (self.most, self.few) = Seats::sizes(sockets);
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
        if let Some((_, commands)) = self.seats.get(&id) {
            let _ = commands.send(command);
        }
    }

    /// Nobody is seated.
    pub(super) fn is_empty(&self) -> bool {
        self.seats.is_empty()
    }

    /// A client has connected. Returns whether there is room, and how many had to give way for it.
    pub(super) fn enter(
        &mut self,
        now: Millis,
        id: TransactionId,
        commands: UnboundedSender<Command>,
    ) -> (bool, u64) {
        let (room, gave_way) = self.make_room(1);
        if room {
            self.held += 1;
            self.strangers.insert((turn(now), id));
            self.seats.insert(id, (Kind::Stranger(turn(now)), commands));
        }
        (room, gave_way)
    }

    /// A client has sent a part of its first line.
    pub(super) fn wrote(&mut self, now: Millis, id: TransactionId) {
        if let Some((Kind::Stranger(last), _)) = self.seats.get_mut(&id) {
            let next = turn(now + BYTES_MS);
            self.strangers.remove(&(std::mem::replace(last, next), id));
            self.strangers.insert((next, id));
        }
    }

    /// A client has asked: from now on it may need a descriptor for its member, too.
    pub(super) fn open(&mut self, id: TransactionId) -> (bool, u64) {
        // It must not give way for itself.
        self.forget_stranger(id);
        let (room, gave_way) = self.make_room(1);
        match self.seats.get_mut(&id) {
            Some(seat) if room => {
                self.held += 1;
                seat.0 = Kind::Open;
            }
            _ => {}
        }
        (room, gave_way)
    }

    /// A client has its last word and may linger until it has read it.
    pub(super) fn linger(&mut self, id: TransactionId) {
        self.forget_stranger(id);
        let Some(seat) = self.seats.get_mut(&id) else { return };
        self.held = self.held - seat.0.descriptors() + 1;
        seat.0 = Kind::Lingering;
        self.lingering.insert(id);
        if self.lingering.len() > self.few {
            self.cut_short();
        }
    }

    /// A client's connection is closed.
    pub(super) fn leave(&mut self, id: TransactionId) {
        self.forget_stranger(id);
        if let Some((kind, _)) = self.seats.remove(&id) {
            self.held -= kind.descriptors();
            self.lingering.remove(&id);
        }
    }

    fn forget_stranger(&mut self, id: TransactionId) {
        if let Some((Kind::Stranger(turn), _)) = self.seats.get(&id) {
            self.strangers.remove(&(*turn, id));
        }
    }

    /// Takes a descriptor for a probe or a call to discovery.
    pub(super) fn take_one(&mut self) -> bool {
        let (room, _) = self.make_room(1);
        self.held += usize::from(room);
        room
    }

    /// Gives it back.
    pub(super) fn give_back(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    fn make_room(&mut self, wanted: usize) -> (bool, u64) {
        let mut gave_way = 0;
        while self.held + wanted > self.most {
            if !self.cut_short() {
                if !self.dismiss() {
                    return (false, gave_way);
                }
                gave_way += 1;
            }
        }
        (true, gave_way)
    }

    /// Closes the oldest connection that lingers: without its sender its session ends.
    fn cut_short(&mut self) -> bool {
        let Some(&oldest) = self.lingering.first() else { return false };
        self.leave(oldest);
        true
    }

    /// Turns the client away, at once, that has done nothing about its first line for longest.
    fn dismiss(&mut self) -> bool {
        let Some(&(_, idle)) = self.strangers.first() else { return false };
        self.send(idle, Command::Reject(FULL_MS));
        self.leave(idle);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

    struct Hall {
        seats: Seats,
        now: Millis,
        next: u64,
        commands: BTreeMap<TransactionId, UnboundedReceiver<Command>>,
    }

    impl Hall {
        fn new(sockets: usize) -> Self {
            Hall { seats: Seats::new(sockets), now: 0.0, next: 0, commands: BTreeMap::new() }
        }

        fn enter(&mut self) -> Option<TransactionId> {
            self.next += 1;
            self.now += 1.0;
            let id = crate::RequestId(self.next);
            let (send, receive) = unbounded_channel();
            self.commands.insert(id, receive);
            self.seats.enter(self.now, id, send).0.then_some(id)
        }

        fn told(&mut self, id: TransactionId) -> Option<Command> {
            self.commands.get_mut(&id)?.try_recv().ok()
        }
    }

    /// Guards against hundreds of silent clients: at 256 descriptors they held all 96 seats for 10 s.
    #[test]
    fn silent_clients_never_keep_a_real_one_out() {
        let mut hall = Hall::new(256);
        let silent: Vec<_> = (0..600).filter_map(|_| hall.enter()).collect();
        assert_eq!(silent.len(), 600, "each is taken in, and the oldest gives way");
        assert_eq!(hall.told(silent[0]), Some(Command::Reject(FULL_MS)));
        assert!(hall.seats.held <= 256 - BASE);
        // A third of the descriptors for real clients, with silent ones among them.
        for _ in 0..85 {
            let id = hall.enter().unwrap();
            assert!(hall.seats.open(id).0);
            assert!(hall.enter().is_some());
        }
        assert!(hall.seats.held <= 256 - BASE);
    }

    /// A client that takes two seconds over its first line is beside thousands that stop half way, or say nothing; and
    /// one whose line is a millisecond behind its connection is not the first to go.
    #[test]
    fn one_that_writes_on_stays_and_one_that_has_stopped_goes() {
        let mut hall = Hall::new(128);
        let slow = hall.enter().unwrap();
        for at in 0..2_000 {
            if at % 200 == 0 {
                hall.seats.wrote(hall.now, slow);
            }
            let other = hall.enter().unwrap();
            assert_eq!(hall.told(other), None);
            if at % 2 == 0 {
                hall.seats.wrote(hall.now, other);
            }
            let quick = hall.enter().unwrap();
            assert_eq!((hall.told(slow), hall.told(quick)), (None, None));
            assert!(hall.seats.open(quick).0);
            hall.seats.leave(quick);
        }
        assert!(hall.seats.open(slow).0);
    }

    #[test]
    fn open_ones_stay_and_others_give_way_until_none_is_left() {
        let mut hall = Hall::new(64);
        let mut open = Vec::new();
        while let Some(id) = hall.enter() {
            if !hall.seats.open(id).0 {
                break;
            }
            open.push(id);
        }
        assert_eq!(open.len(), (64 - BASE) / 2);
        assert!(open.iter().all(|id| hall.told(*id).is_none()));
        hall.seats.leave(open[0]);
        assert!(hall.enter().is_some());
    }

    #[test]
    fn lingering_ones_are_bounded_and_give_way_first() {
        let mut hall = Hall::new(256);
        for _ in 0..100 {
            let id = hall.enter().unwrap();
            hall.seats.linger(id);
        }
        assert_eq!((hall.seats.held, hall.seats.lingering.len()), (256 / PART, 256 / PART));
        let first = hall.commands.values_mut().next().unwrap();
        assert!(matches!(first.try_recv(), Err(tokio::sync::mpsc::error::TryRecvError::Disconnected)));
        let ids: Vec<_> = hall.seats.lingering.iter().copied().collect();
        ids.into_iter().for_each(|id| hall.seats.leave(id));
        assert_eq!((hall.seats.held, hall.seats.is_empty()), (0, true));
    }

    #[test]
    fn probes_count_as_well() {
        let mut hall = Hall::new(BASE + 10);
        assert!((0..10).all(|_| hall.seats.take_one()));
        assert!(!hall.seats.take_one() && hall.enter().is_none());
        hall.seats.give_back();
        assert!(hall.enter().is_some());
    }
}
