//! The drivers: the only code that uses sockets, clocks and signals. They contain no decisions, and all run
//! as tasks of one thread.

mod admin;
mod agree;
mod broker_log;
mod clock;
mod descriptors;
mod fleet;
mod listener;
mod log;
mod probe;
mod recorder;
mod reload;
mod session;
mod shutdown;
mod supervisor;
mod watch;

pub use clock::Clock;
pub use log::{LogFormat, logger};

use crate::api::{BackendId, ClassId, Millis};
use crate::broker::{Broker, DriverCommand, FrontEvent, TransactionId};
use crate::config::Config;
use crate::restart::Restart;
use crate::xmpp::XmppSettings;
use crate::{platform, xmpp};
use descriptors::{DescriptorBudget, Evicted};
use recorder::Recorder;
use reload::Source;
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use supervisor::Part;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc};
use tokio::task::LocalSet;

/// Time after the start from which the node uses its configured member list if discovery turns out to be
/// down.
const CONFIGURED_LIST_AFTER_MS: u64 = 2_000;
/// Time after the start at which the node becomes ready even while it still waits for discovery, as nine in
/// ten nodes have to be ready within 6 s. Requests that need the list wait for it.
const READY_DEADLINE_MS: u64 = 5_000;
/// Interval between checks for a usable list from [`CONFIGURED_LIST_AFTER_MS`] to [`READY_DEADLINE_MS`].
const READY_POLL_MS: u64 = 100;

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
                    // The call may have set a timer before it panicked.
                    self.timer_changed.notify_one();
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

/// Runs a node until SIGTERM or SIGINT.
///
/// # Errors
/// An address can't be listened on, the records folder can't be written to, or the runtime can't be created.
pub fn serve(config: Config, front_config: FrontConfig, clock: Clock, log: Logger) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(async {
        let listener = match config.passed_socket {
            Some(number) => TcpListener::from_std(hopmoor_passed::listener(number)?)?,
            None => listener::listen(config.listen)?,
        };
        let admin = config.admin.map(admin::bind).transpose()?;
        let ports = match &config.fleet {
            Some(fleet) => fleet::bind(fleet, config.passed_socket.is_some())?,
            None => None,
        };
        run_with_ports(config, front_config, clock, listener, admin, ports, log).await
    }))
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
    let front: listener::FrontFactory = match front_config {
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
        listener::accept(clients.clone(), listener.clone(), front.clone(), listener_passed)
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
    shutdown::shut_down(&node, listener_passed).await;
    recorder::finish(&node);
    node.print_counters("exit");
    Ok(())
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
