//! The link to the fleet: one port for datagrams and exchanges. What is known and decided is `hopmoor_fleet`'s; this
//! reads, writes and keeps the time.

use super::{Node, agree, listen};
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

/// Exchanges at once, begun here or by others; more are turned away: they come again. Guards against callers that
/// hold descriptors and memory.
const EXCHANGES: usize = 8;
/// Descriptors that the link may take: its two sockets and the exchanges.
pub(super) const DESCRIPTORS: usize = EXCHANGES + 2;
/// An exchange of the largest frames takes less on the slowest link that is still of use.
const EXCHANGE: Duration = Duration::from_secs(5);
/// Whoever does not take the connection by then is not there.
const CONNECT: Duration = Duration::from_secs(1);
/// Datagrams read in one go, so that a flood of them leaves time for clients.
const BATCH: usize = 64;
/// Datagrams that are read before time goes on: after a pause they tell who is alive. As many as a buffer holds.
const WAITING: usize = 1_024;
/// How often the node looks whether it has something new to say of itself.
const LOOK: Duration = Duration::from_millis(200);
/// One line about what was refused in so long.
const REFUSED_MS: f64 = 10_000.0;
/// A port that the old process of an upgrade still holds is tried this often.
const AGAIN: Duration = Duration::from_millis(100);
/// Ports tried for one that is free for datagrams and connections both, where the system picks.
const TRIES: usize = 16;
/// The largest datagram, and one byte to tell what is longer.
const BUFFER: usize = hopmoor_fleet::MAX_DATAGRAM_BYTES + 1;

/// Both sockets of the one port.
pub(super) struct Ports {
    udp: UdpSocket,
    tcp: TcpListener,
}

/// What the node and its link share.
pub(super) struct Link {
    fleet: RefCell<Fleet>,
    /// The driver's: when that ends the port is free, whatever exchanges are still under way.
    udp: Weak<UdpSocket>,
    own_info: RefCell<NodeInfo>,
    keys: PathBuf,
    files: Vec<PathBuf>,
    from: IpAddr,
    exchanges: Cell<usize>,
    wake: Notify,
    closed: Cell<bool>,
    refused: Cell<(f64, u64)>,
    /// How many nodes the broker was told to share with.
    sharing: Cell<Option<u32>>,
    /// Drains are asked of the fleet.
    pub(super) agree: Option<Rc<agree::Agree>>,
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

    /// Sends something that is not of the view; it goes out with the next orders that are carried out.
    pub(super) fn send_user_message(&self, to: &str, bytes: &[u8]) {
        self.fleet.borrow_mut().send_user_message(to, bytes);
    }

    pub(super) fn next_user_message(&self) -> Option<(Name, Vec<u8>)> {
        self.fleet.borrow_mut().next_user_message()
    }

    pub(super) fn metrics(&self) -> String {
        let fleet = self.fleet.borrow();
        admin::fleet_metrics(fleet.counts(), &fleet.stats())
    }
}

/// Takes the port. `None` if it is still the old process's and may be waited for.
pub(super) fn bind(config: &config::Fleet, waits: bool) -> io::Result<Option<Ports>> {
    let about =
        |error: io::Error| io::Error::new(error.kind(), format!("fleet.listen: {}: {error}", config.listen));
    for _ in 0..TRIES {
        let udp = match std::net::UdpSocket::bind(config.listen) {
            Ok(udp) => udp,
            Err(error) if waits && error.kind() == io::ErrorKind::AddrInUse => return Ok(None),
            Err(error) => return Err(about(error)),
        };
        udp.set_nonblocking(true).map_err(about)?;
        let address = udp.local_addr().map_err(about)?;
        match listen(address) {
            Ok(tcp) => return Ok(Some(Ports { udp: UdpSocket::from_std(udp).map_err(about)?, tcp })),
            // The system picked a port for datagrams that is taken for connections.
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && config.listen.port() == 0 => {}
            Err(error) if waits && error.kind() == io::ErrorKind::AddrInUse => return Ok(None),
            Err(error) => return Err(about(error)),
        }
    }
    Err(about(io::ErrorKind::AddrInUse.into()))
}

/// What the node says of itself before anything has happened.
pub(super) fn first_word(
    config: &config::Fleet,
    clients: &TcpListener,
    admin: Option<&TcpListener>,
) -> io::Result<NodeInfo> {
    // One whose file can't be read any more has no digest, and says none.
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

fn digest(files: &[PathBuf]) -> io::Result<Vec<u8>> {
    let read: Vec<Vec<u8>> = files.iter().map(std::fs::read).collect::<io::Result<_>>()?;
    Ok(node_info::digest(read.iter().map(Vec::as_slice)))
}

/// Begins to talk to the fleet, as soon as the port is this process's.
pub(super) fn begin(
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
                info!(node.log, "fleet waits for its port"; "address" => %config.listen);
                loop {
                    tokio::time::sleep(AGAIN).await;
                    match bind(&config, true) {
                        Ok(Some(ports)) => break ports,
                        Ok(None) => {}
                        Err(error) => return warn!(node.log, "fleet off"; "error" => %error),
                    }
                }
            }
        };
        if let Err(error) = run(&node, &config, &name, ports, own_info).await {
            warn!(node.log, "fleet off"; "error" => %error);
            node.fleet.borrow_mut().take();
        }
    });
}

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
    let keys = operator::fleet_keys(&config.keys).map_err(|error| io::Error::other(error.to_string()))?;
    let mut seed = [0; 32];
    getrandom::fill(&mut seed).map_err(|error| io::Error::other(error.to_string()))?;
    let now = node.clock.now() as u64;
    let incarnation = node.clock.incarnation();
    let id = Id::new(name, incarnation, config.advertise.unwrap_or(address));
    info!(node.log, "in a fleet"; "address" => %address, "advertise" => %id.address, "as" => incarnation);
    let setup = Setup { id, seeds: config.seeds.clone(), keys, seed };
    let agree = config.agree.as_ref().map(|config| agree::Agree::new(config, name, &node.log));
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
    let mut looks = tokio::time::interval(LOOK);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = [0; BUFFER];
    while !link.closed.get() {
        carry_out(node, &link);
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
                read(node, &link, &udp, &mut buffer, BATCH);
            }
            accepted = tcp.accept() => match accepted {
                Ok((stream, _)) => answer(node, &link, stream),
                Err(error) => {
                    warn!(node.log, "accept failed"; "error" => %error, "listener" => "fleet");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            },
            _ = looks.tick() => speak(node, &link),
            () = sleep => {}
            () = link.wake.notified() => {}
        }
        let now = node.clock.now() as u64;
        if link.fleet.borrow().next_due().is_some_and(|due| due <= now) {
            read(node, &link, &udp, &mut buffer, WAITING);
            link.fleet.borrow_mut().tick(now);
        }
        match &link.agree {
            Some(agree) if link.fleet.borrow().has_user_message() => agree.wake(),
            Some(_) => {}
            None => while link.next_user_message().is_some() {},
        }
        // Clients come in their turn, however many datagrams wait.
        tokio::task::yield_now().await;
    }
    Ok(())
}

fn read(node: &Rc<Node>, link: &Link, udp: &UdpSocket, buffer: &mut [u8], most: usize) {
    let now = node.clock.now() as u64;
    for _ in 0..most {
        match udp.try_recv_from(buffer) {
            Ok((length, from)) => {
                let taken = link.fleet.borrow_mut().datagram(now, buffer.get(..length).unwrap_or_default());
                if let Err(why) = taken {
                    refused(node, link, from, why);
                }
            }
            // On Linux a datagram that nobody took shows as an error on the next call: it is not about this one.
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(_) => return,
        }
    }
}

/// One line in a while, with how many there were: guards against floods that fill the log.
fn refused(node: &Node, link: &Link, from: SocketAddr, why: Refused) {
    let (last, held) = link.refused.get();
    let now = node.clock.now();
    if now - last < REFUSED_MS {
        return link.refused.set((last, held + 1));
    }
    link.refused.set((now, 0));
    warn!(node.log, "fleet refused a message"; "from" => %from, "why" => %why, "before" => held);
}

pub(super) fn carry_out(node: &Rc<Node>, link: &Rc<Link>) {
    loop {
        let action = link.fleet.borrow_mut().action();
        match action {
            // What the socket does not take at once is lost, as on any link.
            Some(Action::Send(to, bytes)) => {
                if let Some(udp) = link.udp.upgrade() {
                    let _ = udp.try_send_to(&bytes, to);
                }
            }
            Some(Action::Call(to)) => call(node, link, to),
            None => break,
        }
    }
    loop {
        let event = link.fleet.borrow_mut().event();
        match event {
            Some(event) => tell(node, event),
            None => break,
        }
    }
}

fn tell(node: &Rc<Node>, event: Event) {
    let note = |id: &Id, state| {
        node.broker.borrow_mut().peer_state_changed(node.clock.now(), &id.name, state, id.incarnation);
    };
    match event {
        Event::Up(id) => {
            note(&id, NeighbourState::Alive);
            info!(node.log, "fleet node up"; "name" => &*id.name, "as" => id.incarnation, "at" => %id.address);
        }
        Event::Down(id, state) => {
            let left = state == State::Left;
            note(&id, if left { NeighbourState::Left } else { NeighbourState::Dead });
            info!(node.log, "fleet node down"; "name" => &*id.name, "as" => id.incarnation,
                "state" => state.text());
        }
        Event::NewIncarnation(id) => {
            note(&id, NeighbourState::Alive);
            info!(node.log, "fleet node again"; "name" => &*id.name, "as" => id.incarnation,
                "at" => %id.address);
        }
        Event::Rejoined(id) => {
            warn!(node.log, "held dead by others, and back"; "as" => id.incarnation);
        }
        Event::NameTaken(id) => {
            warn!(node.log, "stepped back: a later process has this name"; "as" => id.incarnation,
                "at" => %id.address);
            node.broker.borrow_mut().set_superseded(true);
        }
        Event::NameRegained(id) => {
            info!(node.log, "has its name again"; "as" => id.incarnation);
            node.broker.borrow_mut().set_superseded(false);
        }
        Event::Stalled(ms) => warn!(node.log, "stood still"; "ms" => ms),
        Event::Full => warn!(node.log, "fleet view full"; "most" => hopmoor_fleet::MAX_KNOWN_NODES),
    }
}

/// Says what has changed of this node.
pub(super) fn speak(node: &Rc<Node>, link: &Link) {
    let ready = match node.broker.borrow().readiness() {
        Ok(()) => Readiness::Serving,
        Err(Unready::Draining) => Readiness::Draining,
        Err(Unready::Ending) => Readiness::Ending,
        Err(Unready::NoList | Unready::NoMember | Unready::Superseded) => Readiness::NotReady,
    };
    let (room, most) = node.descriptors.borrow().room();
    let mut own_info = link.own_info.borrow_mut();
    own_info.ready = ready;
    own_info.up_ms = (node.clock.now() - node.clock.base) as u64;
    own_info.room = node_info::room(own_info.room, room as u32, most as u32);
    link.fleet.borrow_mut().set_info(own_info.clone());
    let sharing = link.fleet.borrow().sharing(node.clock.now() as u64);
    if let Some(nodes) = sharing.filter(|_| sharing != link.sharing.replace(sharing)) {
        info!(node.log, "nodes share the pool"; "nodes" => nodes);
        node.with(|broker, now| broker.sharing(now, nodes));
    }
}

/// Keys and configuration were read anew.
pub(super) fn reload(node: &Rc<Node>) {
    let Some(link) = node.fleet.borrow().clone() else { return };
    match operator::fleet_keys(&link.keys) {
        Ok(keys) => {
            info!(node.log, "fleet keys taken");
            link.fleet.borrow_mut().set_keys(keys);
        }
        Err(error) => warn!(node.log, "fleet keys not taken"; "error" => %error),
    }
    match digest(&link.files) {
        Ok(digest) => link.own_info.borrow_mut().config = digest,
        Err(error) => warn!(node.log, "configuration has no digest"; "error" => %error),
    }
    speak(node, &link);
    link.wake.notify_one();
}

/// The node was told to end. In an upgrade the port is the new process's from now on, and nothing is said: the node
/// stays.
pub(super) fn leaving(node: &Rc<Node>, passed: bool) {
    if passed {
        if let Some(link) = node.fleet.borrow_mut().take() {
            link.closed.set(true);
            link.wake.notify_one();
        }
    } else if let Some(link) = node.fleet.borrow().clone() {
        link.wake.notify_one();
    }
}

/// The node ends now.
pub(super) fn leave(node: &Rc<Node>) {
    if let Some(link) = node.fleet.borrow_mut().take() {
        link.fleet.borrow_mut().leave(node.clock.now() as u64);
        carry_out(node, &link);
        link.closed.set(true);
    }
}

/// A descriptor of an exchange; it is given back however that ends.
struct ExchangeSlot(Rc<Link>);

impl ExchangeSlot {
    fn take(link: &Rc<Link>) -> Option<ExchangeSlot> {
        let taken = link.exchanges.get();
        (taken < EXCHANGES).then(|| {
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

fn call(node: &Rc<Node>, link: &Rc<Link>, to: SocketAddr) {
    let Some(slot) = ExchangeSlot::take(link) else { return };
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let link = &slot.0;
        let _ = tokio::time::timeout(EXCHANGE, async {
            let socket = if to.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
            if !link.from.is_unspecified() && link.from.is_ipv4() == to.is_ipv4() {
                // So that a relay between the nodes knows the caller.
                socket.bind(SocketAddr::new(link.from, 0))?;
            }
            let mut stream = tokio::time::timeout(CONNECT, socket.connect(to)).await??;
            let Some((exchange, hello)) = link.fleet.borrow_mut().call() else { return Ok(()) };
            write(&mut stream, &hello).await?;
            exchanged(&node, link, stream, exchange).await
        })
        .await;
    });
}

fn answer(node: &Rc<Node>, link: &Rc<Link>, stream: TcpStream) {
    let Some(slot) = ExchangeSlot::take(link) else { return };
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let exchange = slot.0.fleet.borrow_mut().answer();
        let _ = tokio::time::timeout(EXCHANGE, exchanged(&node, &slot.0, stream, exchange)).await;
    });
}

/// Reads and writes frames until both sides have what they need.
async fn exchanged(
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
            refused(node, link, from, Refused::Malformed);
            break;
        }
        // Grows with what comes, not with what is announced.
        let mut frame = Vec::new();
        (&mut stream).take(length as u64).read_to_end(&mut frame).await?;
        if frame.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let taken = link.fleet.borrow_mut().frame(node.clock.now() as u64, &mut on, &frame);
        link.wake.notify_one();
        match taken {
            Ok(Some(answer)) => write(&mut stream, &answer).await?,
            Ok(None) => {}
            Err(why) => {
                refused(node, link, from, why);
                break;
            }
        }
    }
    stream.shutdown().await
}

async fn write(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    stream.write_u32_le(frame.len() as u32).await?;
    stream.write_all(frame).await
}
