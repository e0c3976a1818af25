use super::*;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

struct Fixture {
    descriptors: DescriptorBudget,
    now: Millis,
    next: u64,
    commands: BTreeMap<TransactionId, UnboundedReceiver<Command>>,
}

impl Fixture {
    fn new(sockets: usize) -> Self {
        Fixture { descriptors: DescriptorBudget::new(sockets), now: 0.0, next: 0, commands: BTreeMap::new() }
    }

    fn admit(&mut self) -> Option<TransactionId> {
        self.next += 1;
        self.now += 1.0;
        let id = crate::RequestId(self.next);
        let (send, receive) = unbounded_channel();
        self.commands.insert(id, receive);
        self.descriptors.admit(self.now, id, send).0.then_some(id)
    }

    fn next_command(&mut self, id: TransactionId) -> Option<Command> {
        self.commands.get_mut(&id)?.try_recv().ok()
    }
}

/// Guards against hundreds of silent clients that block real ones: with a limit of 256 they once held all 96
/// descriptors for 10 s.
#[test]
fn silent_clients_never_block_real_ones() {
    let mut fixture = Fixture::new(256);
    let silent: Vec<_> = (0..600).filter_map(|_| fixture.admit()).collect();
    assert_eq!(silent.len(), 600, "each is admitted, and the oldest is evicted");
    assert_eq!(fixture.next_command(silent[0]), Some(Command::Reject(NO_ROOM_RETRY_MS)));
    assert!(fixture.descriptors.held <= 256 - BASE_DESCRIPTORS);
    // 85 real clients, a third of the limit, with silent clients connecting between them.
    for _ in 0..85 {
        let id = fixture.admit().unwrap();
        assert!(fixture.descriptors.open(fixture.now, id).0);
        assert!(fixture.admit().is_some());
    }
    assert!(fixture.descriptors.held <= 256 - BASE_DESCRIPTORS);
}

/// A client that takes two seconds to write its first line is kept, among thousands of clients that stop half
/// way or stay silent. A client whose line arrives a millisecond after its connection is not evicted either.
#[test]
fn slow_writers_are_kept_and_stalled_clients_evicted() {
    let mut fixture = Fixture::new(128);
    let slow = fixture.admit().unwrap();
    for at in 0..2_000 {
        if at % 200 == 0 {
            fixture.descriptors.received_bytes(fixture.now, slow);
        }
        let other = fixture.admit().unwrap();
        assert_eq!(fixture.next_command(other), None);
        if at % 2 == 0 {
            fixture.descriptors.received_bytes(fixture.now, other);
        }
        let quick = fixture.admit().unwrap();
        assert_eq!((fixture.next_command(slow), fixture.next_command(quick)), (None, None));
        assert!(fixture.descriptors.open(fixture.now, quick).0);
        fixture.descriptors.release(quick);
    }
    assert!(fixture.descriptors.open(fixture.now, slow).0);
}

#[test]
fn open_transactions_are_kept_and_others_evicted() {
    let mut fixture = Fixture::new(64);
    let mut open = Vec::new();
    while let Some(id) = fixture.admit() {
        if !fixture.descriptors.open(fixture.now, id).0 {
            break;
        }
        open.push(id);
    }
    assert_eq!(open.len(), (64 - BASE_DESCRIPTORS) / 2);
    assert!(open.iter().all(|id| fixture.next_command(*id).is_none()));
    fixture.descriptors.release(open[0]);
    assert!(fixture.admit().is_some());
}

#[test]
fn lingering_closes_are_bounded_and_evicted_first() {
    let mut fixture = Fixture::new(256);
    for _ in 0..100 {
        let id = fixture.admit().unwrap();
        fixture.descriptors.linger(id);
    }
    assert_eq!(
        (fixture.descriptors.held, fixture.descriptors.lingering.len()),
        (256 / SHARE_DIVISOR, 256 / SHARE_DIVISOR)
    );
    let first = fixture.commands.values_mut().next().unwrap();
    assert!(matches!(first.try_recv(), Err(tokio::sync::mpsc::error::TryRecvError::Disconnected)));
    let ids: Vec<_> = fixture.descriptors.lingering.iter().copied().collect();
    ids.into_iter().for_each(|id| fixture.descriptors.release(id));
    assert_eq!((fixture.descriptors.held, fixture.descriptors.is_empty()), (0, true));
}

/// The abort handle of a probe that never ends by itself.
fn endless_task(runtime: &tokio::runtime::Runtime) -> AbortHandle {
    runtime.spawn(std::future::pending::<()>()).abort_handle()
}

/// Guards against probes that hold descriptors that clients need: probes are counted, limited to a share of
/// all descriptors, and evicted for clients.
#[test]
fn probes_are_counted_and_evicted_for_clients() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    let mut fixture = Fixture::new(BASE_DESCRIPTORS + 20);
    let limit = fixture.descriptors.share_limit;
    assert!((2..10).contains(&limit));
    for member in 0..limit as u64 {
        assert!(fixture.descriptors.may_probe(0.0).0);
        fixture.descriptors.probe_started(BackendId(member), endless_task(&runtime));
    }
    assert!(!fixture.descriptors.may_probe(0.0).0, "probes hold no more than their share");
    for _ in 0..20 {
        assert!(fixture.admit().is_some());
    }
    let Usage { pending, probes, .. } = fixture.descriptors.usage();
    assert_eq!((pending, probes), (20, 0), "each probe was evicted, and no client that had just connected");
}

/// Guards against rejecting clients for a probe before their line is read. Connections adopted from before
/// the run (`at=` lines) were lost that way.
#[test]
fn a_client_is_evicted_for_a_probe_only_after_its_grace() {
    let mut fixture = Fixture::new(BASE_DESCRIPTORS + 10);
    let first = fixture.admit().unwrap();
    while fixture.descriptors.held < fixture.descriptors.capacity {
        fixture.admit().unwrap();
    }
    let now = fixture.now;
    assert_eq!(fixture.descriptors.may_probe(now), (false, Evicted::default()));
    let (may, evicted) = fixture.descriptors.may_probe(1.0 + IDLE_GRACE_MS + 0.5);
    assert_eq!((may, evicted.clients), (true, 1));
    assert_eq!(fixture.next_command(first), Some(Command::Reject(NO_ROOM_RETRY_MS)));
}
