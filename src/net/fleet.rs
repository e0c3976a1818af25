//! Driver of the fleet's gossip: one port for UDP datagrams and for TCP exchanges of whole views. State and
//! decisions are in `hopmoor_fleet`, which does no I/O.

use super::listener::listen;
use super::{Node, agree};
use crate::admin;
use crate::broker::Unready;
use crate::config;
use crate::operator;
use hopmoor_fleet::{
    Action, Event, Exchange, Fleet, Id, MAX_FRAME_BYTES, Name, NodeInfo, Readiness, Refused, Setup, State,
    View, node_info,
};
use hopmoor_record::NeighbourState;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::Notify;

/// Maximum number of concurrent exchanges, in both directions together. Further ones are refused;
/// nodes start exchanges again later. Guards against peers that hold descriptors and memory.
const MAX_EXCHANGES: usize = 8;
/// Descriptors reserved for the link: its two sockets and the exchanges.
pub(super) const RESERVED_DESCRIPTORS: usize = MAX_EXCHANGES + 2;
/// An exchange of frames of the largest size takes less than this on the slowest link that is still usable.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// A node that has not accepted a connection after this time is taken to be unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of datagrams read in a row, so that a flood of them leaves time for clients.
const MAX_DATAGRAMS_PER_READ: usize = 64;
/// Maximum number of queued datagrams read before a timer fires, as many as the socket buffer holds. After a
/// pause of this process they show which nodes are alive, before time-outs declare these dead.
const MAX_DATAGRAMS_BEFORE_TICK: usize = 1_024;
/// Interval at which the node checks whether its announced status has changed.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between log lines about refused messages.
const REFUSED_LOG_INTERVAL_MS: f64 = 10_000.0;
/// Interval between attempts to bind the port while the old process of an upgrade still holds it.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of attempts to find a port that is free for both UDP and TCP, where the system picks the
/// port.
const MAX_BIND_ATTEMPTS: usize = 16;
/// Receive buffer: the largest datagram, and one byte more to detect longer ones.
const RECEIVE_BUFFER_BYTES: usize = hopmoor_fleet::MAX_DATAGRAM_BYTES + 1;

/// The UDP and the TCP socket of the fleet port.
pub(super) struct Ports {
    udp: UdpSocket,
    tcp: TcpListener,
}

/// The link to the fleet, shared by the tasks that use it.
pub(super) struct Link {
    fleet: RefCell<Fleet>,
    /// Owned by the driver task: when that ends the port is free, even while exchanges are under way.
    udp: Weak<UdpSocket>,
    /// The status that the node last announced.
    own_info: RefCell<NodeInfo>,
    /// The file of fleet keys.
    keys: PathBuf,
    /// The configuration files, for their digest.
    files: Vec<PathBuf>,
    /// The local address of the port.
    from: IpAddr,
    /// Exchanges under way.
    exchanges: Cell<usize>,
    wake: Notify,
    closed: Cell<bool>,
    /// When the last line about a refused message was logged, and how many were refused since.
    refused: Cell<(f64, u64)>,
    /// Number of nodes sharing the pool, as last passed to the broker.
    sharing: Cell<Option<u32>>,
    /// The drain agreement, if drains need the fleet's permit.
    pub(super) agree: Option<Rc<agree::Agreement>>,
}

impl Link {
    pub(super) fn view(&self, node: &Node) -> View {
        self.fleet.borrow().view(node.clock.now() as u64)
    }

    pub(super) fn id(&self) -> Id {
        self.fleet.borrow().id().clone()
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Queues a message that is not part of gossip, such as Raft's; it is sent with the next
    /// [`execute_actions`].
    pub(super) fn send_user_message(&self, to: &str, bytes: &[u8]) {
        self.fleet.borrow_mut().send_user_message(to, bytes);
    }

    /// The next received message that is not part of gossip, with its sender's name.
    pub(super) fn next_user_message(&self) -> Option<(Name, Vec<u8>)> {
        self.fleet.borrow_mut().next_user_message()
    }

    pub(super) fn metrics(&self) -> String {
        let fleet = self.fleet.borrow();
        admin::format_fleet_metrics(fleet.counts(), &fleet.stats())
    }
}

/// Binds the fleet port. Returns `None` if `may_wait` and another process still holds it, as the old process
/// of an upgrade does.
pub(super) fn bind(config: &config::Fleet, may_wait: bool) -> io::Result<Option<Ports>> {
    let about =
        |error: io::Error| io::Error::new(error.kind(), format!("fleet.listen: {}: {error}", config.listen));
    for _ in 0..MAX_BIND_ATTEMPTS {
        let udp = match std::net::UdpSocket::bind(config.listen) {
            Ok(udp) => udp,
            Err(error) if may_wait && error.kind() == io::ErrorKind::AddrInUse => return Ok(None),
            Err(error) => return Err(about(error)),
        };
        udp.set_nonblocking(true).map_err(about)?;
        let address = udp.local_addr().map_err(about)?;
        match listen(address) {
            Ok(tcp) => return Ok(Some(Ports { udp: UdpSocket::from_std(udp).map_err(about)?, tcp })),
            // The system picked a port for datagrams that is taken for connections.
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && config.listen.port() == 0 => {}
            Err(error) if may_wait && error.kind() == io::ErrorKind::AddrInUse => return Ok(None),
            Err(error) => return Err(about(error)),
        }
    }
    Err(about(io::ErrorKind::AddrInUse.into()))
}

/// The status that the node announces at its start.
pub(super) fn initial_status(
    config: &config::Fleet,
    clients: &TcpListener,
    admin: Option<&TcpListener>,
) -> io::Result<NodeInfo> {
    // The digest is left empty if the program's file can't be read any more.
    let program = std::env::current_exe().and_then(std::fs::read);
    Ok(NodeInfo {
        zone: config.zone.clone(),
        clients: clients.local_addr()?.to_string(),
        admin: admin.map(TcpListener::local_addr).transpose()?.map_or_else(String::new, |at| at.to_string()),
        program: program.map_or_else(|_| Vec::new(), |program| node_info::digest([program.as_slice()])),
        config: digest(&config.files).unwrap_or_default(),
        ..NodeInfo::default()
    })
}

/// The digest of the configuration files' contents.
fn digest(files: &[PathBuf]) -> io::Result<Vec<u8>> {
    let contents: Vec<Vec<u8>> = files.iter().map(std::fs::read).collect::<io::Result<_>>()?;
    Ok(node_info::digest(contents.iter().map(Vec::as_slice)))
}

/// Starts the link. If `ports` is `None`, it first waits until the port can be bound.
pub(super) fn spawn(
    node: &Rc<Node>,
    config: &config::Fleet,
    name: &str,
    ports: Option<Ports>,
    own_info: NodeInfo,
) {
    let (node, config, name) = (node.clone(), config.clone(), name.to_owned());
    tokio::task::spawn_local(async move {
        let ports = match ports {
            Some(ports) => ports,
            None => {
                info!(node.log, "waiting for the fleet port, which is in use"; "address" => %config.listen);
                loop {
                    tokio::time::sleep(BIND_RETRY_INTERVAL).await;
                    match bind(&config, true) {
                        Ok(Some(ports)) => break ports,
                        Ok(None) => {}
                        Err(error) => return warn!(node.log, "fleet link stopped"; "error" => %error),
                    }
                }
            }
        };
        if let Err(error) = run(&node, &config, &name, ports, own_info).await {
            warn!(node.log, "fleet link stopped"; "error" => %error);
            node.fleet.borrow_mut().take();
        }
    });
}

/// Runs the link until it is closed.
async fn run(
    node: &Rc<Node>,
    config: &config::Fleet,
    name: &str,
    ports: Ports,
    own_info: NodeInfo,
) -> io::Result<()> {
    let Ports { udp, tcp } = ports;
    let udp = Rc::new(udp);
    let address = udp.local_addr()?;
    let keys =
        operator::read_fleet_keys(&config.keys).map_err(|error| io::Error::other(error.to_string()))?;
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).map_err(|error| io::Error::other(error.to_string()))?;
    let now = node.clock.now() as u64;
    let incarnation = node.clock.incarnation();
    let id = Id::new(name, incarnation, config.advertise.unwrap_or(address));
    info!(node.log, "in a fleet"; "address" => %address, "advertise" => %id.address, "as" => incarnation);
    let setup = Setup { id, seeds: config.seeds.clone(), keys, seed };
    let agree = config.agree.as_ref().map(|config| agree::Agreement::new(config, name, &node.log));
    let agree = agree.transpose()?.map(Rc::new);
    let link = Rc::new(Link {
        fleet: RefCell::new(Fleet::new(now, setup, own_info.clone())),
        udp: Rc::downgrade(&udp),
        own_info: RefCell::new(own_info),
        keys: config.keys.clone(),
        files: config.files.clone(),
        from: address.ip(),
        exchanges: Cell::new(0),
        wake: Notify::new(),
        closed: Cell::new(false),
        refused: Cell::default(),
        sharing: Cell::new(None),
        agree,
    });
    *node.fleet.borrow_mut() = Some(link.clone());
    if let Some(agree) = &link.agree {
        tokio::task::spawn_local(agree::run(node.clone(), link.clone(), agree.clone()));
    }
    let mut announcements = tokio::time::interval(ANNOUNCE_INTERVAL);
    announcements.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = [0; RECEIVE_BUFFER_BYTES];
    while !link.closed.get() {
        execute_actions(node, &link);
        let due = link.fleet.borrow().next_due();
        let sleep = async {
            match due {
                Some(at) => tokio::time::sleep_until(node.clock.instant(at as f64)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            ready = udp.readable() => {
                ready?;
                read_datagrams(node, &link, &udp, &mut buffer, MAX_DATAGRAMS_PER_READ);
            }
            accepted = tcp.accept() => match accepted {
                Ok((stream, _)) => accept_exchange(node, &link, stream),
                Err(error) => {
                    warn!(node.log, "accept failed"; "error" => %error, "listener" => "fleet");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            },
            _ = announcements.tick() => announce(node, &link),
            () = sleep => {}
            () = link.wake.notified() => {}
        }
        let now = node.clock.now() as u64;
        if link.fleet.borrow().next_due().is_some_and(|due| due <= now) {
            read_datagrams(node, &link, &udp, &mut buffer, MAX_DATAGRAMS_BEFORE_TICK);
            link.fleet.borrow_mut().tick(now);
        }
        match &link.agree {
            Some(agree) if link.fleet.borrow().has_user_message() => agree.wake(),
            Some(_) => {}
            None => while link.next_user_message().is_some() {},
        }
        // Gives client tasks a turn, however many datagrams are queued.
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Reads up to `limit` queued datagrams.
fn read_datagrams(node: &Rc<Node>, link: &Link, udp: &UdpSocket, buffer: &mut [u8], limit: usize) {
    let now = node.clock.now() as u64;
    for _ in 0..limit {
        match udp.try_recv_from(buffer) {
            Ok((length, from)) => {
                let taken = link.fleet.borrow_mut().datagram(now, buffer.get(..length).unwrap_or_default());
                if let Err(why) = taken {
                    log_refused(node, link, from, why);
                }
            }
            // On Linux the ICMP error for an earlier datagram to a closed port is reported by the next call,
            // and says nothing about that call.
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(_) => return,
        }
    }
}

/// Logs a refused message, at most one per [`REFUSED_LOG_INTERVAL_MS`], with the number refused since the
/// previous line. Guards against floods that fill the log.
fn log_refused(node: &Node, link: &Link, from: SocketAddr, why: Refused) {
    let (last, held) = link.refused.get();
    let now = node.clock.now();
    if now - last < REFUSED_LOG_INTERVAL_MS {
        return link.refused.set((last, held + 1));
    }
    link.refused.set((now, 0));
    warn!(node.log, "fleet refused a message"; "from" => %from, "why" => %why, "before" => held);
}

/// Executes the queued actions of the fleet view and handles its events.
pub(super) fn execute_actions(node: &Rc<Node>, link: &Rc<Link>) {
    loop {
        let action = link.fleet.borrow_mut().action();
        match action {
            // A datagram that the socket does not take at once is lost, as any datagram may be.
            Some(Action::Send(to, bytes)) => {
                if let Some(udp) = link.udp.upgrade() {
                    let _ = udp.try_send_to(&bytes, to);
                }
            }
            Some(Action::Call(to)) => start_exchange(node, link, to),
            None => break,
        }
    }
    loop {
        let event = link.fleet.borrow_mut().event();
        match event {
            Some(event) => handle_event(node, event),
            None => break,
        }
    }
}

/// Logs an event of the fleet view and passes it to the broker.
fn handle_event(node: &Rc<Node>, event: Event) {
    let note = |id: &Id, state| {
        node.broker.borrow_mut().peer_state_changed(node.clock.now(), &id.name, state, id.incarnation);
    };
    match event {
        Event::Up(id) => {
            note(&id, NeighbourState::Alive);
            info!(node.log, "fleet node up";
                "name" => &*id.name, "as" => id.incarnation, "at" => %id.address);
        }
        Event::Down(id, state) => {
            let left = state == State::Left;
            note(&id, if left { NeighbourState::Left } else { NeighbourState::Dead });
            info!(node.log, "fleet node down"; "name" => &*id.name, "as" => id.incarnation,
                "state" => state.text());
        }
        Event::NewIncarnation(id) => {
            note(&id, NeighbourState::Alive);
            info!(node.log, "fleet node has a new incarnation"; "name" => &*id.name, "as" => id.incarnation,
                "at" => %id.address);
        }
        Event::Rejoined(id) => {
            warn!(node.log, "rejoined the fleet after other nodes declared this node dead";
                "as" => id.incarnation);
        }
        Event::NameTaken(id) => {
            warn!(node.log, "not ready: a newer process uses this node's name"; "as" => id.incarnation,
                "at" => %id.address);
            node.broker.borrow_mut().set_superseded(true);
        }
        Event::NameRegained(id) => {
            info!(node.log, "newer process with this node's name is gone"; "as" => id.incarnation);
            node.broker.borrow_mut().set_superseded(false);
        }
        Event::Stalled(ms) => warn!(node.log, "process was paused"; "ms" => ms),
        Event::Full => {
            warn!(node.log, "fleet view full, ignoring further nodes";
                "most" => hopmoor_fleet::MAX_KNOWN_NODES)
        }
    }
}

/// Announces this node's status if it has changed, and passes the number of nodes sharing the pool to the
/// broker.
pub(super) fn announce(node: &Rc<Node>, link: &Link) {
    let ready = match node.broker.borrow().readiness() {
        Ok(()) => Readiness::Serving,
        Err(Unready::Draining) => Readiness::Draining,
        Err(Unready::Ending) => Readiness::Ending,
        Err(Unready::NoList | Unready::NoMember | Unready::Superseded | Unready::Failing) => {
            Readiness::NotReady
        }
    };
    let (room, capacity) = node.descriptors.borrow().room();
    let mut own_info = link.own_info.borrow_mut();
    own_info.ready = ready;
    own_info.up_ms = node.clock.uptime_ms() as u64;
    own_info.room = node_info::room(own_info.room, room as u32, capacity as u32);
    link.fleet.borrow_mut().set_info(own_info.clone());
    let sharing = link.fleet.borrow().sharing(node.clock.now() as u64);
    if let Some(nodes) = sharing.filter(|_| sharing != link.sharing.replace(sharing)) {
        info!(node.log, "number of nodes sharing the pool changed"; "nodes" => nodes);
        node.with(|broker, now| broker.set_node_count(now, nodes));
    }
}

/// Reloads the fleet keys and updates the announced digest of the configuration.
pub(super) fn reload(node: &Rc<Node>) {
    let Some(link) = node.fleet.borrow().clone() else { return };
    match operator::read_fleet_keys(&link.keys) {
        Ok(keys) => {
            info!(node.log, "fleet keys reloaded");
            link.fleet.borrow_mut().set_keys(keys);
        }
        Err(error) => warn!(node.log, "fleet keys not reloaded"; "error" => %error),
    }
    match digest(&link.files) {
        Ok(digest) => link.own_info.borrow_mut().config = digest,
        Err(error) => warn!(node.log, "configuration digest not updated"; "error" => %error),
    }
    announce(node, &link);
    link.wake.notify_one();
}

/// Handles the start of shutdown. In an upgrade (`listener_passed`) the link is closed without a leave
/// message: the new process takes over port and name, so the node stays in the fleet. Otherwise the link
/// goes on, and its next periodic check announces the new status.
pub(super) fn begin_shutdown(node: &Rc<Node>, listener_passed: bool) {
    if listener_passed {
        if let Some(link) = node.fleet.borrow_mut().take() {
            link.closed.set(true);
            link.wake.notify_one();
        }
    } else if let Some(link) = node.fleet.borrow().clone() {
        link.wake.notify_one();
    }
}

/// Leaves the fleet at the end of shutdown.
pub(super) fn leave(node: &Rc<Node>) {
    if let Some(link) = node.fleet.borrow_mut().take() {
        link.fleet.borrow_mut().leave(node.clock.now() as u64);
        execute_actions(node, &link);
        link.closed.set(true);
    }
}

/// Counts one exchange against [`MAX_EXCHANGES`] until it is dropped, however the exchange ends.
struct ExchangeSlot(Rc<Link>);

impl ExchangeSlot {
    fn take(link: &Rc<Link>) -> Option<ExchangeSlot> {
        let taken = link.exchanges.get();
        (taken < MAX_EXCHANGES).then(|| {
            link.exchanges.set(taken + 1);
            ExchangeSlot(link.clone())
        })
    }
}

impl Drop for ExchangeSlot {
    fn drop(&mut self) {
        self.0.exchanges.set(self.0.exchanges.get().saturating_sub(1));
    }
}

/// Starts an exchange with the node at `to`.
fn start_exchange(node: &Rc<Node>, link: &Rc<Link>, to: SocketAddr) {
    let Some(slot) = ExchangeSlot::take(link) else { return };
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let link = &slot.0;
        let _ = tokio::time::timeout(EXCHANGE_TIMEOUT, async {
            let socket = if to.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
            if !link.from.is_unspecified() && link.from.is_ipv4() == to.is_ipv4() {
                // Lets a proxy between the nodes identify the caller by its address.
                socket.bind(SocketAddr::new(link.from, 0))?;
            }
            let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(to)).await??;
            let Some((exchange, hello)) = link.fleet.borrow_mut().call() else { return Ok(()) };
            write_frame(&mut stream, &hello).await?;
            run_exchange(&node, link, stream, exchange).await
        })
        .await;
    });
}

/// Handles an exchange that another node has started.
fn accept_exchange(node: &Rc<Node>, link: &Rc<Link>, stream: TcpStream) {
    let Some(slot) = ExchangeSlot::take(link) else { return };
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let exchange = slot.0.fleet.borrow_mut().answer();
        let _ = tokio::time::timeout(EXCHANGE_TIMEOUT, run_exchange(&node, &slot.0, stream, exchange)).await;
    });
}

/// Reads and writes frames until the exchange is complete.
async fn run_exchange(
    node: &Rc<Node>,
    link: &Rc<Link>,
    mut stream: TcpStream,
    mut on: Exchange,
) -> io::Result<()> {
    let _ = stream.set_nodelay(true);
    let from = stream.peer_addr()?;
    while !on.is_done() {
        let length = stream.read_u32_le().await? as usize;
        if length > MAX_FRAME_BYTES + hopmoor_seal::OVERHEAD_BYTES {
            log_refused(node, link, from, Refused::Malformed);
            break;
        }
        // The buffer grows with the bytes received, not with the length announced.
        let mut frame = Vec::new();
        (&mut stream).take(length as u64).read_to_end(&mut frame).await?;
        if frame.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let taken = link.fleet.borrow_mut().frame(node.clock.now() as u64, &mut on, &frame);
        link.wake.notify_one();
        match taken {
            Ok(Some(reply)) => write_frame(&mut stream, &reply).await?,
            Ok(None) => {}
            Err(why) => {
                log_refused(node, link, from, why);
                break;
            }
        }
    }
    stream.shutdown().await
}

/// Writes a frame after its length.
async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    stream.write_u32_le(frame.len() as u32).await?;
    stream.write_all(frame).await
}
