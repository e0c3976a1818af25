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
