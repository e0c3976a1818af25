//! The drivers: the only code that uses sockets, clocks and signals. They contain no decisions, and all run
//! as tasks of one thread.

mod admin;
mod agree;
mod descriptors;
mod fleet;
mod log;
mod probe;
mod recorder;
mod reload;
mod session;
mod supervisor;
mod watch;

pub use log::{LogFormat, logger};

use crate::api::{BackendId, ClassId, Millis, Outcome};
use crate::broker::{Broker, Command, DriverCommand, FrontEvent, LogLine, TransactionId};
use crate::config::Config;
use crate::front::{Front, Input};
use crate::restart::Restart;
use crate::xmpp::XmppSettings;
use crate::{platform, xmpp};
use descriptors::{DescriptorBudget, Evicted, NO_ROOM_RETRY_MS};
use recorder::Recorder;
use reload::Source;
use slog::{Logger, debug, info, warn};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use supervisor::Part;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc};
use tokio::task::LocalSet;

/// Minimum time that a node goes on accepting connections after SIGTERM, as new ones still arrive for a
/// while.
const MIN_SHUTDOWN_MS: Millis = 600.0;
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Time after the start from which the node uses its configured member list if discovery turns out to be
/// down.
const CONFIGURED_LIST_AFTER_MS: u64 = 2_000;
/// Time after the start at which the node becomes ready even while it still waits for discovery, as nine in
/// ten nodes have to be ready within 6 s. Requests that need the list wait for it.
const READY_DEADLINE_MS: u64 = 5_000;
/// Interval between checks for a usable list from [`CONFIGURED_LIST_AFTER_MS`] to [`READY_DEADLINE_MS`].
const READY_POLL_MS: u64 = 100;

/// Longest time after the start that a timer can be set to; a later one, or none at all, counts as this.
const MAX_TIMER_SECONDS: f64 = 1e9;

/// Monotonic clock in Unix milliseconds: the Unix time of the process's start plus the time elapsed since.
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
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), base: unix.as_secs_f64() * 1_000.0 }
    }

    /// The incarnation, which tells a node's successive processes apart: Unix milliseconds at the process's
    /// start.
    pub fn incarnation(&self) -> u64 {
        self.base as u64
    }

    fn now(&self) -> Millis {
        self.base + self.started.elapsed().as_secs_f64() * 1_000.0
    }

    /// Returns the instant of a time of the broker. A time that is not a number counts as past, so that
    /// whoever set it looks again.
    fn instant(&self, at: Millis) -> tokio::time::Instant {
        let after = (at - self.base) / 1_000.0;
        let after = if after.is_nan() { 0.0 } else { after.clamp(0.0, MAX_TIMER_SECONDS) };
        (self.started + Duration::from_secs_f64(after)).into()
    }
}

/// The state that a node's drivers share.
struct Node {
    clock: Clock,
    log: Logger,
    broker: RefCell<Broker>,
    descriptors: RefCell<DescriptorBudget>,
    /// Descriptors that are not in the budget: those of the admin endpoint and the fleet link.
    reserved_descriptors: usize,
    /// Rate limit of log lines about bad input.
    log_limit: RefCell<log::LogRateLimit>,
    /// Running probe tasks: each receives the addresses at which its member is to be probed.
    probes: RefCell<HashMap<BackendId, mpsc::Sender<SocketAddr>>>,
    /// Address of discovery.
    discovery: std::cell::Cell<Option<SocketAddr>>,
    /// Signals that the address of discovery has changed.
    redirected: Notify,
    /// Signals that [`Node::watching`] was set, or that discovery is to be called.
    watch_changed: Notify,
    /// Signals that the node is ready to accept clients.
    ready_to_accept: Notify,
    /// Signals that shutdown has begun and another process accepts clients on the passed listener.
    stop_accepting: Notify,
    /// Whether the broker wants discovery watched.
    watching: std::cell::Cell<bool>,
    /// Signals that the time of the broker's next timer has changed.
    timer_changed: Notify,
    keepalive: Duration,
    /// Parts that keep failing and without which clients are not served.
    failing_parts: RefCell<BTreeSet<Part>>,
    recorder: Option<Recorder>,
    /// The link to the fleet, once its port is bound.
    fleet: RefCell<Option<Rc<fleet::Link>>>,
    /// Whether the configuration has a fleet.
    in_fleet: bool,
    /// Whether drains need the fleet's permit.
    needs_permit: bool,
}

impl Node {
    /// Runs `act` on the broker, then executes the commands that it has queued. If `act` panics, the broker
    /// is made fit for the next call before the panic goes on.
    fn with<T>(self: &Rc<Self>, act: impl FnOnce(&mut Broker, Millis) -> T) -> T {
        let now = self.clock.now();
        let (done, driver_commands, due_changed) = {
            let mut broker = self.broker.borrow_mut();
            let before = broker.next_due();
            let done = match catch_unwind(AssertUnwindSafe(|| act(&mut broker, now))) {
                Ok(done) => done,
                Err(panic) => {
                    broker.recover_from_panic();
                    resume_unwind(panic)
                }
            };
            let driver_commands: Vec<DriverCommand> =
                std::iter::from_fn(|| broker.driver_command()).collect();
            (done, driver_commands, broker.next_due() != before)
        };
        if due_changed {
            self.timer_changed.notify_one();
        }
        for driver_command in driver_commands {
            self.execute(driver_command);
        }
        done
    }

    fn on_front_event(self: &Rc<Self>, id: TransactionId, event: FrontEvent) {
        self.with(|broker, now| broker.on_front_event(now, id, event));
    }

    fn execute(self: &Rc<Self>, driver_command: DriverCommand) {
        match driver_command {
            DriverCommand::Front(id, command) => {
                self.descriptors.borrow().send(id, command);
            }
            DriverCommand::Probe { member, dial } => probe::probe(self, member, &dial),
            DriverCommand::Watch(on) => {
                self.watching.set(on);
                self.watch_changed.notify_one();
            }
            DriverCommand::Fetch => self.watch_changed.notify_one(),
            DriverCommand::Opened => self.ready_to_accept.notify_one(),
            DriverCommand::Log(line) => self.log_line(line),
        }
    }

    fn log_line(&self, line: LogLine) {
        match line {
            LogLine::Module(what) => info!(self.log, "decision module"; "what" => what),
            LogLine::Fault(what) => slog::error!(self.log, "decision module fault"; "what" => what),
            LogLine::Overdue(id) => {
                slog::error!(self.log, "no final answer by the deadline, transaction failed";
                    "transaction" => id.0)
            }
            LogLine::Members { changed, listed } => {
                info!(self.log, "pool members changed"; "changed" => changed, "listed" => listed)
            }
            LogLine::AdoptionAwaitsList(id) => {
                info!(self.log, "adopted connection waits for a list that names its member";
                    "transaction" => id.0)
            }
            LogLine::AdoptedMemberGone(id) => {
                warn!(self.log, "member of an adopted connection is gone, placing it anew";
                    "transaction" => id.0)
            }
            LogLine::Parked(id) => {
                debug!(self.log, "attempt waits for an answer of discovery"; "transaction" => id.0)
            }
            LogLine::AttemptDenied(id, member) => {
                warn!(self.log, "attempt denied, member may not be sent to";
                    "transaction" => id.0, "member" => member)
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
                info!(self.log, "message latency at member changed";
                    "member" => member, "took_ms" => ms.round())
            }
            LogLine::List { seq, whole } => {
                debug!(self.log, "member list updated"; "version" => seq, "whole" => whole)
            }
            LogLine::Attempt { id, name, member, attempt, started_ago_ms } => debug!(self.log, "attempt";
                "transaction" => id.0, "id" => name.as_deref().unwrap_or("-"), "member" => member,
                "attempt" => attempt, "started_ago_ms" => started_ago_ms.map(f64::round)),
            LogLine::Moved(id, member, reason) => {
                info!(self.log, "client moved";
                    "transaction" => id.0, "member" => member, "reason" => ?reason)
            }
            LogLine::Unserved { id, class, tenant, answer, flows, waited_ms } => info!(self.log,
                "transaction unserved"; "transaction" => id.0, "class" => class.0, "tenant" => tenant.0,
                "answer" => ?answer, "flows" => flows, "waited_ms" => waited_ms.round()),
            LogLine::Probed(member, Outcome::Ok, load, message) => {
                debug!(self.log, "probe answered";
                    "member" => member, "load" => ?load, "message_ms" => ?message)
            }
            LogLine::Probed(member, outcome, ..) => {
                info!(self.log, "probe failed"; "member" => member, "outcome" => ?outcome)
            }
            LogLine::Flow { id, member, outcome, took_ms, stood } => info!(self.log,
                "server-side flow ended"; "transaction" => id.0, "member" => member,
                "outcome" => ?outcome, "stood" => stood, "took_ms" => took_ms.round()),
        }
    }

    /// Logs that a part has panicked and is started again. While it keeps failing the node is not ready.
    fn part_failed(self: &Rc<Self>, part: Part, restart: Restart) {
        slog::error!(self.log, "part of the node panicked, starting it again";
            "part" => %part, "delay_ms" => restart.delay_ms, "keeps_failing" => restart.keeps_failing);
        if restart.keeps_failing && part.is_needed_by_clients() {
            self.failing_parts.borrow_mut().insert(part);
        }
        let failing = !self.failing_parts.borrow().is_empty();
        self.with(|broker, _| broker.part_panicked(failing));
    }

    /// Takes note that a part has worked for some time since its last start.
    fn part_works(self: &Rc<Self>, part: Part) {
        if self.failing_parts.borrow_mut().remove(&part) {
            info!(self.log, "part of the node works again"; "part" => %part);
            let failing = !self.failing_parts.borrow().is_empty();
            self.with(|broker, _| broker.set_failing(failing));
        }
    }

    /// Ends what a client's session left behind when it panicked.
    fn session_panicked(self: &Rc<Self>, id: TransactionId) {
        slog::error!(self.log, "session panicked, its client is cut off"; "transaction" => id.0);
        self.descriptors.borrow_mut().release(id);
        self.with(|broker, now| broker.session_panicked(now, id));
    }

    /// Reports evicted clients and probes to the broker and the log.
    fn report_evicted(self: &Rc<Self>, evicted: Evicted) {
        let Evicted { clients, probes } = evicted;
        for member in probes {
            self.probes.borrow_mut().remove(&member);
            self.with(|broker, now| broker.probe_evicted(now, member));
        }
        if clients > 0 {
            self.broker.borrow_mut().clients_evicted(clients);
            if self.may_log() {
                let held = self.descriptors.borrow().usage();
                info!(self.log, "silent clients evicted to make room"; "clients" => clients, "held" => %held);
            }
        }
    }

    /// Counts and logs a client that is rejected for lack of descriptors; `asked` is the class it requested,
    /// if any.
    fn no_room(&self, id: TransactionId, peer: SocketAddr, asked: Option<ClassId>) {
        self.broker.borrow_mut().descriptors_exhausted(asked);
        if self.may_log() {
            let held = self.descriptors.borrow().usage();
            let (asked, client) = (asked.is_some(), peer);
            warn!(self.log, "client rejected, descriptor limit reached";
                "transaction" => id.0, "client" => %client,
                "asked" => asked, "held" => %held);
        }
    }

    /// Whether the rate limit allows another line about bad input now. Logs how many were suppressed before
    /// it.
    fn may_log(&self) -> bool {
        let (may, held) = self.log_limit.borrow_mut().allow(self.clock.now());
        if held > 0 {
            info!(self.log, "log lines suppressed"; "lines" => held);
        }
        may
    }

    fn print_counters(&self, when: &str) {
        let counters = self.broker.borrow().counters();
        info!(self.log, "counters"; "when" => when, "all" => counters.to_string());
    }
}

/// The front that a node serves, with the file to reload on SIGHUP.
pub enum FrontConfig {
    /// The platform's protocol, and the configuration file.
    Platform(PathBuf),
    /// XMPP, and the inventory file.
    Xmpp(XmppSettings, PathBuf),
}

/// Creates the front of a client that connects at the given time.
type FrontFactory = Box<dyn Fn(Millis) -> Box<dyn Front>>;

/// Runs a node until SIGTERM or SIGINT.
///
/// # Errors
/// An address can't be listened on, the records folder can't be written to, or the runtime can't be created.
pub fn serve(config: Config, front_config: FrontConfig, clock: Clock, log: Logger) -> io::Result<()> {
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
        run_with_ports(config, front_config, clock, listener, admin, ports, log).await
    }))
}

/// Listens with a backlog sized for bursts of connections: with the usual 128 the kernel dropped the excess,
/// and those clients tried again a second later.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // Lets the node bind its address again immediately after a restart.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Runs a node on bound listeners: the clients', and the admin endpoint's if there is one.
///
/// # Errors
/// Signal handlers can't be installed, or the records folder can't be written to.
pub async fn run(
    config: Config,
    front_config: FrontConfig,
    listener: TcpListener,
    admin: Option<TcpListener>,
    log: Logger,
) -> io::Result<()> {
    run_with_ports(config, front_config, Clock::new(), listener, admin, None, log).await
}

async fn run_with_ports(
    config: Config,
    front_config: FrontConfig,
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
            broker.start_recording(clock.now());
            Some(Recorder::start(records, &config, clock.now(), log.clone())?)
        }
        None => None,
    };
    let fleet_descriptors = if config.fleet.is_some() { fleet::RESERVED_DESCRIPTORS } else { 0 };
    let reserved_descriptors =
        if admin.is_some() { admin::RESERVED_DESCRIPTORS } else { 0 } + fleet_descriptors;
    let node = Rc::new(Node {
        clock,
        log,
        broker: RefCell::new(broker),
        descriptors: RefCell::new(DescriptorBudget::new(config.sockets.saturating_sub(reserved_descriptors))),
        reserved_descriptors,
        log_limit: RefCell::default(),
        probes: RefCell::default(),
        discovery: std::cell::Cell::new(config.discovery),
        redirected: Notify::new(),
        watch_changed: Notify::new(),
        ready_to_accept: Notify::new(),
        stop_accepting: Notify::new(),
        watching: std::cell::Cell::new(false),
        timer_changed: Notify::new(),
        keepalive: Duration::from_secs_f64(config.site.keepalive_ms / 1_000.0),
        failing_parts: RefCell::default(),
        recorder,
        fleet: RefCell::default(),
        in_fleet: config.fleet.is_some(),
        needs_permit: config.fleet.as_ref().is_some_and(|fleet| fleet.agree.is_some()),
    });
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut usr1 = signal(SignalKind::user_defined1())?;
    let mut hangup = signal(SignalKind::hangup())?;
    info!(node.log, "listening"; "name" => &config.name, "address" => %listener.local_addr()?,
        "version" => env!("CARGO_PKG_VERSION"));
    if let Some(fleet) = &config.fleet {
        let said = fleet::initial_status(fleet, &listener, admin.as_ref())?;
        fleet::spawn(&node, fleet, &config.name, ports, said);
    }
    if let Some(admin) = admin {
        info!(node.log, "operators may call"; "address" => %admin.local_addr()?);
        let (calls, admin, classes) = (node.clone(), Rc::new(admin), config.site.classes.clone());
        supervisor::spawn(&node, Part::AdminListener, move || {
            admin::accept(calls.clone(), admin.clone(), classes.clone())
        });
    }
    node.with(|_, _| ()); // executes the commands that the configured member list has queued
    let timers = node.clone();
    supervisor::spawn(&node, Part::Timers, move || run_timers(timers.clone()));
    if node.recorder.is_some() {
        let records = node.clone();
        supervisor::spawn(&node, Part::Recorder, move || recorder::flush_periodically(records.clone()));
    }
    match config.discovery {
        Some(_) => {
            let (watched, zones) = (node.clone(), config.site.zones.clone());
            supervisor::spawn(&node, Part::Discovery, move || watch::watch(watched.clone(), zones.clone()));
        }
        None => node.with(|broker, _| broker.set_ready()),
    }
    let listener_passed = config.passed_socket.is_some();
    let mut source;
    let front: FrontFactory = match front_config {
        FrontConfig::Platform(file) => {
            let platform_settings = Rc::new(platform::PlatformSettings::new(&config.site));
            source = Source::Config(file, Box::new(config));
            Box::new(move |now| Box::new(platform::Session::new(now, platform_settings.clone())))
        }
        FrontConfig::Xmpp(xmpp_settings, file) => {
            source = Source::Inventory(file);
            let xmpp_settings = Rc::new(xmpp_settings);
            Box::new(move |now| Box::new(xmpp::Session::new(now, xmpp_settings.clone())))
        }
    };
    let (clients, listener, front) = (node.clone(), Rc::new(listener), Rc::new(front));
    supervisor::spawn(&node, Part::ClientListener, move || {
        accept(clients.clone(), listener.clone(), front.clone(), listener_passed)
    });
    let waiting = node.clone();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(CONFIGURED_LIST_AFTER_MS)).await;
        let mut waited = CONFIGURED_LIST_AFTER_MS;
        while waited < READY_DEADLINE_MS && !waiting.with(|broker, now| broker.list_lease_valid(now)) {
            tokio::time::sleep(Duration::from_millis(READY_POLL_MS)).await;
            waited += READY_POLL_MS;
        }
        waiting.with(|broker, _| broker.set_ready());
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
    shut_down(&node, listener_passed).await;
    recorder::finish(&node);
    node.print_counters("exit");
    Ok(())
}

/// Shuts down gracefully: serves on while clients are moved, until none is left or the time given by the
/// broker is over.
async fn shut_down(node: &Rc<Node>, listener_passed: bool) {
    let began = node.clock.now();
    fleet::begin_shutdown(node, listener_passed);
    if listener_passed {
        // Another process accepts on the same queue and takes the connections not accepted yet.
        node.stop_accepting.notify_one();
    }
    // Without a passed listener no other process would take the connections that still arrive.
    let min_ms = if listener_passed { 0.0 } else { MIN_SHUTDOWN_MS };
    info!(node.log, "shutting down"; "transactions" => node.broker.borrow().transactions());
    let deadline = began + node.with(|broker, now| broker.leave(now));
    while node.clock.now() < deadline {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let closed = node.clock.now() > began + min_ms;
        if closed && node.broker.borrow().transactions() == 0 && node.descriptors.borrow().is_empty() {
            break;
        }
    }
    let left = node.broker.borrow().transactions();
    if left > 0 {
        warn!(node.log, "shutdown time is over, closing open transactions"; "transactions" => left);
    }
    fleet::leave(node);
}

/// Fires the broker's timers.
async fn run_timers(node: Rc<Node>) {
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
            () = node.timer_changed.notified() => {}
        }
    }
}

/// Accepts clients. On a passed listener it does so only while this process is ready and not shutting down,
/// as another process may accept on it as well.
async fn accept(node: Rc<Node>, listener: Rc<TcpListener>, front: Rc<FrontFactory>, listener_passed: bool) {
    if listener_passed {
        node.ready_to_accept.notified().await;
        // Kept for this task's next start, should it be started again.
        node.ready_to_accept.notify_one();
    }
    loop {
        let accepted = tokio::select! {
            biased;
            () = node.stop_accepting.notified() => return,
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
        let (room, evicted) = node.descriptors.borrow_mut().admit(node.clock.now(), id, send);
        node.report_evicted(evicted);
        let mut front = front(node.clock.now());
        if !room {
            // No evictable connection is left, so the client is rejected at once.
            node.no_room(id, peer, None);
            front.take(node.clock.now(), Input::Command(Command::Reject(NO_ROOM_RETRY_MS)));
            let _ = client.try_write(front.to_client());
            continue;
        }
        tokio::task::spawn_local(session::run(node.clone(), id, peer, client, front, commands));
        // Lets sessions read first: a client whose line has arrived must not be evicted as silent for the
        // next one.
        tokio::task::yield_now().await;
    }
}
