//! The drivers: thin, and the only ones that know sockets, clocks and signals. One thread runs them all.

mod admin;
mod agree;
mod descriptors;
mod fleet;
mod log;
mod probe;
mod recorder;
mod reload;
mod session;
mod watch;

pub use log::{LogFormat, logger};

use crate::api::{BackendId, ClassId, Millis, Outcome};
use crate::broker::{Broker, Command, DriverCommand, FrontEvent, LogLine, TransactionId};
use crate::config::Config;
use crate::front::{Front, Input};
use crate::xmpp::XmppSettings;
use crate::{platform, xmpp};
use descriptors::{DescriptorBudget, FULL_MS, GaveWay};
use recorder::Recorder;
use reload::Source;
use slog::{Logger, debug, info, warn};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc};
use tokio::task::LocalSet;

/// New connections still come for a while after SIGTERM, so that a node without any waits for them.
const LINGER_MS: Millis = 600.0;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// While discovery is down the node goes by the list it was given after this.
const READY_MS: u64 = 2_000;
/// A node that still waits for discovery then is ready all the same, as nine in ten have to be within 6 s; what comes waits.
const READY_LATEST_MS: u64 = 5_000;
/// Between these it looks so often whether discovery has turned out to be down.
const READY_STEP_MS: u64 = 100;

/// Unix time in milliseconds that only goes forward, from the start of the process on.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    base: Millis,
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), base: unix.as_secs_f64() * 1_000.0 }
    }

    /// The process among those of its node: Unix milliseconds at its start.
    pub fn incarnation(&self) -> u64 {
        self.base as u64
    }

    fn now(&self) -> Millis {
        self.base + self.started.elapsed().as_secs_f64() * 1_000.0
    }

    fn instant(&self, at: Millis) -> tokio::time::Instant {
        let after = ((at - self.base) / 1_000.0).clamp(0.0, 1e9);
        (self.started + Duration::from_secs_f64(after)).into()
    }
}

/// What all drivers of a node share.
struct Node {
    clock: Clock,
    log: Logger,
    broker: RefCell<Broker>,
    descriptors: RefCell<DescriptorBudget>,
    /// Descriptors that are not in the budget: those of operators' calls.
    kept_back: usize,
    /// Holds the lines about bad input to a rate.
    gate: RefCell<log::Gate>,
    probes: RefCell<HashMap<BackendId, mpsc::Sender<SocketAddr>>>,
    /// Where discovery answers.
    discovery: std::cell::Cell<Option<SocketAddr>>,
    /// Discovery is to be asked at another address.
    redirected: Notify,
    watch: Notify,
    /// The node is ready, and has been told to end.
    opened: Notify,
    closed: Notify,
    watching: std::cell::Cell<bool>,
    /// Wakes the timer driver when an earlier time was set.
    timers: Notify,
    keepalive: Duration,
    recorder: Option<Recorder>,
    /// The link to the fleet, once its port is this process's.
    fleet: RefCell<Option<Rc<fleet::Link>>>,
    in_fleet: bool,
    /// Drains are asked of the fleet.
    agrees: bool,
}

impl Node {
    /// Lets the broker do something, and carries out what it orders.
    fn with<T>(self: &Rc<Self>, act: impl FnOnce(&mut Broker, Millis) -> T) -> T {
        let now = self.clock.now();
        let (done, driver_commands, earlier) = {
            let mut broker = self.broker.borrow_mut();
            let before = broker.next_due();
            let done = act(&mut broker, now);
            let driver_commands: Vec<DriverCommand> =
                std::iter::from_fn(|| broker.driver_command()).collect();
            (done, driver_commands, broker.next_due() != before)
        };
        if earlier {
            self.timers.notify_one();
        }
        for driver_command in driver_commands {
            self.carry_out(driver_command);
        }
        done
    }

    fn on_front_event(self: &Rc<Self>, id: TransactionId, said: FrontEvent) {
        self.with(|broker, now| broker.on_front_event(now, id, said));
    }

    fn carry_out(self: &Rc<Self>, driver_command: DriverCommand) {
        match driver_command {
            DriverCommand::Front(id, command) => {
                self.descriptors.borrow().send(id, command);
            }
            DriverCommand::Probe { member, dial } => probe::probe(self, member, &dial),
            DriverCommand::Watch(on) => {
                self.watching.set(on);
                self.watch.notify_one();
            }
            DriverCommand::Fetch => self.watch.notify_one(),
            DriverCommand::Opened => self.opened.notify_one(),
            DriverCommand::Log(line) => self.write(line),
        }
    }

    fn write(&self, line: LogLine) {
        match line {
            LogLine::Module(what) => info!(self.log, "module"; "what" => what),
            LogLine::Fault(what) => slog::error!(self.log, "module fault"; "what" => what),
            LogLine::Overdue(id) => slog::error!(self.log, "answer overdue"; "transaction" => id.0),
            LogLine::Members { changed, listed } => {
                info!(self.log, "pool members"; "changed" => changed, "listed" => listed)
            }
            LogLine::AdoptionAwaitsList(id) => {
                info!(self.log, "connection waits for the list that names its member"; "transaction" => id.0)
            }
            LogLine::AdoptedMemberGone(id) => {
                warn!(self.log, "member of a connection is gone"; "transaction" => id.0)
            }
            LogLine::Parked(id) => debug!(self.log, "attempt waits for discovery"; "transaction" => id.0),
            LogLine::AttemptDenied(id, member) => {
                warn!(self.log, "send withheld"; "transaction" => id.0, "member" => member)
            }
            LogLine::Duplicate(id, name) => {
                if self.may_log() {
                    info!(self.log, "name in use"; "transaction" => id.0, "name" => &*name);
                }
            }
            LogLine::Member(member, phase) => {
                info!(self.log, "pool member"; "member" => member, "phase" => ?phase)
            }
            LogLine::SlowMessages(member, ms) => {
                info!(self.log, "messages slow"; "member" => member, "took_ms" => ms.round())
            }
            LogLine::List { seq, whole } => {
                debug!(self.log, "list taken"; "version" => seq, "whole" => whole)
            }
            LogLine::Attempt { id, name, member, attempt, started_ago_ms } => debug!(self.log, "attempt";
                "transaction" => id.0, "id" => name.as_deref().unwrap_or("-"), "member" => member,
                "attempt" => attempt, "started_ago_ms" => started_ago_ms.map(f64::round)),
            LogLine::Moved(id, member, reason) => {
                info!(self.log, "client moved"; "transaction" => id.0, "member" => member, "reason" => ?reason)
            }
            LogLine::Unserved { id, class, tenant, answer, flows, waited_ms } => info!(self.log,
                "transaction unserved"; "transaction" => id.0, "class" => class.0, "tenant" => tenant.0,
                "answer" => ?answer, "flows" => flows, "waited_ms" => waited_ms.round()),
            LogLine::Probed(member, Outcome::Ok, load, message) => {
                debug!(self.log, "probe answered"; "member" => member, "load" => ?load, "message_ms" => ?message)
            }
            LogLine::Probed(member, outcome, ..) => {
                info!(self.log, "probe failed"; "member" => member, "outcome" => ?outcome)
            }
            LogLine::Flow { id, member, outcome, took_ms, stood } => info!(self.log,
                "server-side flow ended"; "transaction" => id.0, "member" => member,
                "outcome" => ?outcome, "stood" => stood, "took_ms" => took_ms.round()),
        }
    }

    /// Clients without a first line were turned away, or probes given up, so that others find room.
    fn gave_way(self: &Rc<Self>, gave_way: GaveWay) {
        let GaveWay { clients, probes } = gave_way;
        for member in probes {
            self.probes.borrow_mut().remove(&member);
            self.with(|broker, now| broker.probe_evicted(now, member));
        }
        if clients > 0 {
            self.broker.borrow_mut().clients_evicted(clients);
            if self.may_log() {
                let held = self.descriptors.borrow().usage();
                info!(self.log, "silent clients gave way"; "clients" => clients, "held" => %held);
            }
        }
    }

    fn no_room(&self, id: TransactionId, peer: SocketAddr, asked: Option<ClassId>) {
        self.broker.borrow_mut().no_room(asked);
        if self.may_log() {
            let held = self.descriptors.borrow().usage();
            let (asked, client) = (asked.is_some(), peer);
            warn!(self.log, "too many connections"; "transaction" => id.0, "client" => %client,
                "asked" => asked, "held" => %held);
        }
    }

    /// Whether one more line about bad input may be written just now; says how many were held back before it.
    fn may_log(&self) -> bool {
        let (may, held) = self.gate.borrow_mut().pass(self.clock.now());
        if held > 0 {
            info!(self.log, "lines held back"; "lines" => held);
        }
        may
    }

    fn print_counters(&self, when: &str) {
        let counters = self.broker.borrow().counters();
        info!(self.log, "counters"; "when" => when, "all" => counters.to_string());
    }
}

/// Which front a node has.
pub enum Speaks {
    /// The platform's protocol, with the configuration that SIGHUP reads anew.
    Platform(PathBuf),
    /// XMPP, with an inventory that SIGHUP reads anew.
    Xmpp(XmppSettings, PathBuf),
}

/// Serves until SIGTERM or SIGINT.
///
/// # Errors
/// If the address can't be listened on, or the runtime can't be had.
pub fn serve(config: Config, speaks: Speaks, clock: Clock, log: Logger) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(async {
        let listener = match config.passed_socket {
            Some(number) => TcpListener::from_std(hopmoor_passed::listener(number)?)?,
            None => listen(config.listen)?,
        };
        let admin = config.admin.map(admin::bind).transpose()?;
        let ports = match &config.fleet {
            Some(fleet) => fleet::bind(fleet, config.passed_socket.is_some())?,
            None => None,
        };
        run_in(config, speaks, clock, listener, admin, ports, log).await
    }))
}

/// Guards against bursts of connections: with the usual backlog of 128 the kernel dropped what came on top, and
/// those clients tried again a second later.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // The address is free again at once after a restart.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves on listeners that are there already: the clients', and the operators' if there is one.
///
/// # Errors
/// If signals can't be had.
pub async fn run(
    config: Config,
    speaks: Speaks,
    listener: TcpListener,
    admin: Option<TcpListener>,
    log: Logger,
) -> io::Result<()> {
    run_in(config, speaks, Clock::new(), listener, admin, None, log).await
}

async fn run_in(
    config: Config,
    speaks: Speaks,
    clock: Clock,
    listener: TcpListener,
    admin: Option<TcpListener>,
    ports: Option<fleet::Ports>,
    log: Logger,
) -> io::Result<()> {
    let mut broker = Broker::new(clock.now(), &config.site, config.seed, config.known.clone());
    if config.discovery.is_some() {
        broker.enable_list_lease(config.site.stop_sending_ms);
    }
    let recorder = match &config.records {
        Some(records) => {
            broker.record(clock.now());
            Some(Recorder::start(records, &config, clock.now(), log.clone())?)
        }
        None => None,
    };
    let fleet_descriptors = if config.fleet.is_some() { fleet::DESCRIPTORS } else { 0 };
    let kept_back = if admin.is_some() { admin::DESCRIPTORS } else { 0 } + fleet_descriptors;
    let node = Rc::new(Node {
        clock,
        log,
        broker: RefCell::new(broker),
        descriptors: RefCell::new(DescriptorBudget::new(config.sockets.saturating_sub(kept_back))),
        kept_back,
        gate: RefCell::default(),
        probes: RefCell::default(),
        discovery: std::cell::Cell::new(config.discovery),
        redirected: Notify::new(),
        watch: Notify::new(),
        opened: Notify::new(),
        closed: Notify::new(),
        watching: std::cell::Cell::new(false),
        timers: Notify::new(),
        keepalive: Duration::from_secs_f64(config.site.keepalive_ms / 1_000.0),
        recorder,
        fleet: RefCell::default(),
        in_fleet: config.fleet.is_some(),
        agrees: config.fleet.as_ref().is_some_and(|fleet| fleet.agree.is_some()),
    });
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut usr1 = signal(SignalKind::user_defined1())?;
    let mut hangup = signal(SignalKind::hangup())?;
    info!(node.log, "listening"; "name" => &config.name, "address" => %listener.local_addr()?,
        "version" => env!("CARGO_PKG_VERSION"));
    if let Some(fleet) = &config.fleet {
        let said = fleet::first_word(fleet, &listener, admin.as_ref())?;
        fleet::begin(&node, fleet, &config.name, ports, said);
    }
    if let Some(admin) = admin {
        info!(node.log, "operators may call"; "address" => %admin.local_addr()?);
        tokio::task::spawn_local(admin::accept(node.clone(), admin, config.site.classes.clone()));
    }
    node.with(|_, _| ()); // what the known list brought about
    tokio::task::spawn_local(timers(node.clone()));
    if node.recorder.is_some() {
        tokio::task::spawn_local(recorder::feed(node.clone()));
    }
    match config.discovery {
        Some(_) => drop(tokio::task::spawn_local(watch::watch(node.clone(), config.site.zones.clone()))),
        None => node.with(|broker, _| broker.set_ready()),
    }
    let passed = config.passed_socket.is_some();
    let mut source;
    let front: Box<dyn Fn(Millis) -> Box<dyn Front>> = match speaks {
        Speaks::Platform(file) => {
            let names = Rc::new(platform::PlatformSettings::new(&config.site));
            source = Source::Config(file, Box::new(config));
            Box::new(move |now| Box::new(platform::Session::new(now, names.clone())))
        }
        Speaks::Xmpp(realm, file) => {
            source = Source::Inventory(file);
            let realm = Rc::new(realm);
            Box::new(move |now| Box::new(xmpp::Session::new(now, realm.clone())))
        }
    };
    tokio::task::spawn_local(accept(node.clone(), listener, front, passed));
    let late = node.clone();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(READY_MS)).await;
        let mut waited = READY_MS;
        while waited < READY_LATEST_MS && !late.with(|broker, now| broker.list_lease_valid(now)) {
            tokio::time::sleep(Duration::from_millis(READY_STEP_MS)).await;
            waited += READY_STEP_MS;
        }
        late.with(|broker, _| broker.set_ready());
    });
    loop {
        tokio::select! {
            _ = usr1.recv() => node.print_counters("asked"),
            _ = hangup.recv() => {
                source.reload(&node);
                fleet::reload(&node);
            }
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
        }
    }
    leave(&node, passed).await;
    recorder::finish(&node);
    node.print_counters("exit");
    Ok(())
}

/// Goes on serving while clients are moved, and ends when none is left.
async fn leave(node: &Rc<Node>, passed: bool) {
    let began = node.clock.now();
    fleet::leaving(node, passed);
    if passed {
        // Another process accepts on the same queue: what is not accepted yet is for that one.
        node.closed.notify_one();
    }
    // Nobody else takes new connections of a node that listens for itself.
    let linger = if passed { 0.0 } else { LINGER_MS };
    info!(node.log, "leaving"; "transactions" => node.broker.borrow().transactions());
    let over = began + node.with(|broker, now| broker.leave(now));
    while node.clock.now() < over {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let closed = node.clock.now() > began + linger;
        if closed && node.broker.borrow().transactions() == 0 && node.descriptors.borrow().is_empty() {
            break;
        }
    }
    let left = node.broker.borrow().transactions();
    if left > 0 {
        warn!(node.log, "left behind"; "transactions" => left);
    }
    fleet::leave(node);
}

async fn timers(node: Rc<Node>) {
    loop {
        let due = node.broker.borrow().next_due();
        let sleep = async {
            match due {
                Some(at) => tokio::time::sleep_until(node.clock.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = sleep => node.with(|broker, now| broker.tick(now)),
            () = node.timers.notified() => {}
        }
    }
}

/// Accepts clients; on a listener that was passed down only while this process is ready and does not end, as another
/// may accept on it as well.
async fn accept(
    node: Rc<Node>,
    listener: TcpListener,
    front: Box<dyn Fn(Millis) -> Box<dyn Front>>,
    passed: bool,
) {
    if passed {
        node.opened.notified().await;
    }
    loop {
        let accepted = tokio::select! {
            biased;
            () = node.closed.notified() => return,
            accepted = listener.accept() => accepted,
        };
        let (client, peer): (_, SocketAddr) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(node.log, "accept failed"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let id = node.broker.borrow_mut().next_id();
        let (send, commands) = mpsc::unbounded_channel();
        let (room, gave_way) = node.descriptors.borrow_mut().enter(node.clock.now(), id, send);
        node.gave_way(gave_way);
        let mut front = front(node.clock.now());
        if !room {
            // Not even silent ones are left to give way: the client is turned away at once.
            node.no_room(id, peer, None);
            front.take(node.clock.now(), Input::Command(Command::Reject(FULL_MS)));
            let _ = client.try_write(front.to_client());
            continue;
        }
        tokio::task::spawn_local(session::run(node.clone(), id, peer, client, front, commands));
        // Those just taken in are read first: a client whose line has come must not pass for a silent one that
        // has to give way to the next.
        tokio::task::yield_now().await;
    }
}
