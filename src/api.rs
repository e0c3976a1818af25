//! The interface of the decision module: settings, events, actions and typed ids.
//!
//! A relay hands each [`Event`] to [`crate::Balancer::handle`] together with its clock and carries out the
//! [`Action`]s in the order given. All times are milliseconds of one clock that only goes forward.

/// Milliseconds, as a clock reading or a duration.
pub type Millis = f64;

/// A client request, or the connection it became. The relay picks the number and never reuses it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A backend. All relays should use the same number for the same backend (a hash of its address, say), so
/// that they agree, without talking, on where a group of connections belongs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u64);

/// A tenant, as its place in [`Settings::tenants`]; unknown numbers are accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u32);

/// A request class, as its place in [`Settings::classes`]; unknown numbers get [`Class::default`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u32);

/// A zone of the deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A key that relates requests: a group of connections that share work, or what a request is about. Equal at
/// all relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AffinityKey(pub u64);

/// A timer, given back in [`Event::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Whether a request's work may be done twice.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Effect {
    /// Repeats are harmless.
    #[default]
    Free,
    /// Repeats are dropped by the backends of one group for a while after the first send.
    Guarded {
        /// Which backends drop each other's repeats.
        within: RepeatGroup,
        /// For how long, from the send of the first attempt that may have run.
        window_ms: Millis,
    },
    /// Must not be repeated unless every earlier attempt is known not to have run.
    SingleShot,
}

/// The backends that share their memory of repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// Every backend.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// A connection should stand within this time.
    pub aim_ms: Millis,
    /// What one request, or one second of its connection, is worth.
    pub worth: f64,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// Wanted duration of one message on the open connection; 0 if not stated.
    pub message_aim_ms: Millis,
}

impl Default for Class {
    fn default() -> Self {
        Class { aim_ms: 500.0, worth: 1.0, effect: Effect::Free, message_aim_ms: 0.0 }
    }
}

/// A tenant, as configured.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Open connections, over all relays, inside its share; 0 if not stated.
    pub quota_connections: f64,
    /// New connections a second, over all relays, inside its share; 0 if not stated.
    pub quota_rate: f64,
    /// What was agreed with it; without one it is guaranteed an equal part, has the priority of its highest
    /// class worth, and no maximum.
    pub contract: Option<Contract>,
}

/// What a tenant's contract states, in load: a connection's hint, else one for each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contract {
    /// Load that it gets whenever it asks for it.
    pub guarantee: f64,
    /// Load that it never goes beyond; infinite if none was agreed.
    pub maximum: f64,
    /// The higher ones are met first from spare capacity.
    pub priority: f64,
}

/// How connections pass the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Connections end at the relay.
    #[default]
    Proxy,
    /// Packets pass through; open connections may reach another relay.
    PassThrough,
}

/// What listed weights stand for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedWeight {
    /// Nothing: all are alike.
    #[default]
    Silent,
    /// The size of the machine, exact or rough.
    Size,
    /// The size, already lowered by the load the backend carries.
    Live,
}

/// The settings of one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Gateways in this tier, this one included.
    pub balancers: u32,
    /// Batches of events come at most this often.
    pub tick_ms: Millis,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// How connections pass.
    pub mode: Mode,
    /// What listed weights mean.
    pub listed_weight: ListedWeight,
    /// The backend list answers only when asked.
    pub discovery_on_request: bool,
    /// Ask at least this often while there is no subscription.
    pub discovery_poll_ms: Millis,
    /// Probes are allowed.
    pub probing: bool,
    /// Points of the result that a probe for each request costs.
    pub probe_price: f64,
    /// Attempts may be called off.
    pub cancel: bool,
    /// [`Event::MessageDelay`] comes while messages at a backend take long.
    pub reports_message_delay: bool,
    /// Probes, or outcomes, bring load reports with load over capacity.
    pub reports: bool,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Refusals may carry a retry-after, up to this; 0 if not.
    pub max_retry_after_ms: Millis,
    /// A connection not established by then has failed.
    pub connect_timeout_ms: Millis,
    /// A backend starts at this fraction of its capacity or above.
    pub start_capacity: f64,
    /// A backend is warm after this at the latest.
    pub warm_up_ms: Millis,
    /// A cold backend sent more than this multiple of its present capacity falls over ...
    pub overload_factor: f64,
    /// ... when it lasts for this long.
    pub overload_span_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            tick_ms: 1.0,
            zone: ZoneId(0),
            classes: Vec::new(),
            tenants: Vec::new(),
            mode: Mode::Proxy,
            listed_weight: ListedWeight::Silent,
            discovery_on_request: false,
            discovery_poll_ms: 10_000.0,
            probing: false,
            probe_price: 0.0,
            cancel: false,
            reports_message_delay: false,
            reports: false,
            max_attempts: 3,
            max_retry_after_ms: 0.0,
            connect_timeout_ms: 250.0,
            start_capacity: 0.1,
            warm_up_ms: 30_000.0,
            overload_factor: 2.0,
            overload_span_ms: 1_000.0,
        }
    }
}

impl Settings {
    /// The shortest message aim that any class states, else infinite.
    pub fn shortest_message_aim(&self) -> Millis {
        let aims = self.classes.iter().map(|class| class.message_aim_ms).filter(|aim| *aim > 0.0);
        aims.fold(f64::INFINITY, f64::min)
    }

    /// The class with this number, or the default one.
    pub fn class(&self, class: ClassId) -> Class {
        self.classes.get(class.0 as usize).copied().unwrap_or_default()
    }

    /// The contract of the tenant with this number.
    pub fn contract(&self, tenant: TenantId) -> Option<Contract> {
        self.tenants.get(tenant.0 as usize).and_then(|tenant| tenant.contract)
    }

    /// First calls to discovery are spread over this.
    pub fn first_ask_ms(&self) -> Millis {
        (f64::from(self.balancers) * 50.0).min(self.discovery_poll_ms / 2.0)
    }

    /// One gateway's part of the connections that all tenants may have open inside their shares; 0 if unstated.
    pub fn quota_per_node(&self) -> f64 {
        let all: f64 = self.tenants.iter().map(|tenant| tenant.quota_connections).sum();
        all / f64::from(self.balancers.max(1))
    }

    /// One gateway's part of the new connections in a millisecond that all tenants may ask for inside their shares.
    pub fn rate_part(&self) -> Option<f64> {
        let all: f64 = self.tenants.iter().map(|tenant| tenant.quota_rate).sum();
        (all > 0.0).then(|| all / 1_000.0 / f64::from(self.balancers.max(1)))
    }
}

/// The state of a listed backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Takes new work.
    #[default]
    Serving,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the backend list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendInfo {
    /// Which backend.
    pub id: BackendId,
    /// Its state.
    pub phase: Phase,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell: backends that share what keys they have seen.
    pub cell: u32,
    /// Listed weight.
    pub weight: f64,
    /// When it last started; `None` if long past.
    pub started_at: Option<Millis>,
}

/// What a list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only changed lines.
    Patch,
    /// All lines: backends missing from it are gone.
    Whole,
    /// All lines as last known, maybe old.
    Stale,
}

/// A client request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Its class.
    pub class: ClassId,
    /// The group whose connections share work on a backend.
    pub group: Option<AffinityKey>,
    /// What it is about.
    pub key: Option<AffinityKey>,
    /// Time until the client gives up on this try.
    pub grace_ms: Millis,
    /// Expected load of the connection.
    pub load_hint: Option<f64>,
    /// Packets of a connection that is open already and now reach this gateway.
    pub mid_flow: bool,
}

impl Request {
    /// Its load: the hint, else one.
    pub fn load(&self) -> f64 {
        self.load_hint.filter(|hint| hint.is_finite() && *hint > 0.0).unwrap_or(1.0)
    }
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served; for a connection, it ended in good order.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; may have run.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

/// A load report. Fields a deployment does not report are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Load asked of the backend over what it can do.
    pub load_over_capacity: Option<f64>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The backend list, or changes to it.
    Backends {
        /// What `entries` holds.
        scope: ListScope,
        /// The lines.
        entries: Vec<BackendInfo>,
    },
    /// A call to discovery failed or the subscription broke.
    DiscoveryFailed,
    /// So many gateways share the pool, this one included: what the settings say of it is overtaken.
    NodeCount(u32),
    /// A client asks for a connection.
    Request(Request),
    /// A connection that was open through this gateway when it started.
    Adopted {
        /// The request it was.
        request: Request,
        /// The backend that holds it.
        backend: BackendId,
    },
    /// The connection stands.
    Established {
        /// Which request.
        id: RequestId,
        /// Time since it was sent.
        took_ms: Millis,
    },
    /// An attempt, or the connection it became, ended.
    Ended {
        /// Which request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The backend.
        backend: BackendId,
        /// How.
        outcome: Outcome,
        /// The request needs no further answer.
        closed: bool,
        /// The load report that came along.
        report: Option<Report>,
    },
    /// A probe ended.
    ProbeEnded {
        /// The backend.
        backend: BackendId,
        /// How.
        outcome: Outcome,
        /// The load report that came along.
        report: Option<Report>,
    },
    /// The client left; no answer is owed any more.
    ClientGone {
        /// Which request.
        id: RequestId,
    },
    /// The gateway ends: whoever waits is to be answered by then.
    ShuttingDown {
        /// When.
        by: Millis,
    },
    /// The load of an open connection has changed.
    LoadChanged {
        /// Which connection.
        id: RequestId,
        /// Its load now: microseconds of work a second.
        load: f64,
    },
    /// Messages at a backend take this long now.
    MessageDelay {
        /// The backend.
        backend: BackendId,
        /// Duration of a message.
        took_ms: Millis,
    },
    /// A message from another gateway.
    PeerMessage {
        /// Sender's number.
        from: u32,
        /// Its bytes.
        body: Vec<u8>,
    },
    /// A timer fell due.
    Timer(TimerId),
}

/// What the relay is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a backend.
    Attempt {
        /// Which request.
        id: RequestId,
        /// Where to.
        backend: BackendId,
        /// Give up the attempt after this.
        timeout_ms: Millis,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// Which request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// End an open connection in good order; its client comes again.
    Move {
        /// Which connection.
        id: RequestId,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// Which request.
        id: RequestId,
        /// How long the client should stay away; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail {
        /// Which request.
        id: RequestId,
    },
    /// Ask a backend for its health and load.
    Probe {
        /// The backend.
        backend: BackendId,
    },
    /// Subscribe to the backend list, or end the subscription.
    Subscribe {
        /// Whether changes are wanted from now on.
        on: bool,
    },
    /// Ask for the whole backend list once.
    FetchList,
    /// Close the idle connections to a backend.
    CloseIdle {
        /// The backend.
        backend: BackendId,
    },
    /// Send bytes to one other gateway, or to all.
    SendToPeer {
        /// Its number; `None` for all.
        peer: Option<u32>,
        /// At most 256 bytes.
        body: Vec<u8>,
    },
    /// A line for the relay's log.
    Log(String),
    /// The decision code has failed.
    Fault(String),
    /// Ask for [`Event::Timer`] at a time.
    SetTimer {
        /// When.
        at: Millis,
        /// Which.
        id: TimerId,
    },
}
