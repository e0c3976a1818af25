//! The interface of the decision module: settings, events, actions and typed ids.
//!
//! A node passes each [`Event`] and its current time to [`crate::Balancer::handle`], and carries out the
//! [`Action`]s in the order given. All times are milliseconds of one monotonic clock.

/// Milliseconds: a clock reading or a duration.
pub type Millis = f64;

/// Largest sum of all tenants' quotas that is reckoned with.
const MAX_QUOTA: f64 = 1e9;

/// A client request, or the connection it became. The node picks the number and never reuses it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A backend. All nodes should use the same number for the same backend (for example a hash of its name), so
/// that they agree without communication on where a group of connections belongs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u64);

/// A tenant, as its index in [`Settings::tenants`]; unknown numbers are accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u32);

/// A request class, as its index in [`Settings::classes`]; unknown numbers get [`Class::default`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u32);

/// A zone of the deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A key that relates requests: a group of connections that share work, or the subject of a request. It is
/// the same at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AffinityKey(pub u64);

/// A timer, returned in [`Event::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Whether a request may be repeated after an attempt that may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Effect {
    /// Idempotent: repeats are harmless.
    #[default]
    Free,
    /// Deduplicated: the backends of one group drop repeats for a while after the first send.
    Guarded {
        /// The backends that drop each other's repeats.
        within: RepeatGroup,
        /// Duration from the send of the first attempt that may have run.
        window_ms: Millis,
    },
    /// At most once: must not be repeated unless every earlier attempt is known not to have run.
    SingleShot,
}

/// The backends that share their record of requests already seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// Every backend.
    All,
    /// Backends of one zone.
    Zone,
    /// Backends of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Target time within which a connection should be established.
    pub aim_ms: Millis,
    /// Value of one request, or of one second of its connection.
    pub worth: f64,
    /// Whether its requests may be repeated.
    pub effect: Effect,
    /// Target duration of one message on the open connection; 0 if not stated.
    pub message_aim_ms: Millis,
}

impl Default for Class {
    fn default() -> Self {
        Class { aim_ms: 500.0, worth: 1.0, effect: Effect::Free, message_aim_ms: 0.0 }
    }
}

/// The configuration of a tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Quota of open connections over all nodes; 0 if not stated.
    pub quota_connections: f64,
    /// Quota of new connections a second over all nodes; 0 if not stated.
    pub quota_rate: f64,
    /// Its contract. Without one the tenant is guaranteed an equal part, its priority is the highest worth of
    /// the classes it uses, and it has no maximum.
    pub contract: Option<Contract>,
}

/// A tenant's contract. Loads count each connection by its load hint, or as 1 without a hint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contract {
    /// Load that the tenant always gets on demand.
    pub guarantee: f64,
    /// Load that the tenant never exceeds; infinite if none was agreed.
    pub maximum: f64,
    /// Tenants with higher priority get spare capacity first.
    pub priority: f64,
}

/// How connections pass through the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// The node terminates connections.
    #[default]
    Proxy,
    /// The node forwards packets; those of an open connection may arrive at another node later.
    PassThrough,
}

/// The meaning of listed weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedWeight {
    /// None: all backends count the same.
    #[default]
    Silent,
    /// Size of the machine, exact or approximate.
    Size,
    /// Size, already reduced by the load that the backend carries.
    Live,
}

/// The settings of one node, which the field names call a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of nodes that share the pool, this one included.
    pub balancers: u32,
    /// Shortest time between batches of events.
    pub tick_ms: Millis,
    /// This node's zone.
    pub zone: ZoneId,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// How connections pass through the node.
    pub mode: Mode,
    /// Meaning of listed weights.
    pub listed_weight: ListedWeight,
    /// Whether discovery sends the backend list only on request.
    pub discovery_on_request: bool,
    /// Longest time between discovery calls while there is no subscription.
    pub discovery_poll_ms: Millis,
    /// Whether probes are allowed.
    pub probing: bool,
    /// Cost of one probe for each request, in points of the overall result.
    pub probe_price: f64,
    /// Whether attempts can be cancelled.
    pub cancel: bool,
    /// Whether [`Event::MessageDelay`] comes while messages at a backend take long.
    pub reports_message_delay: bool,
    /// Whether probes or outcomes carry reports of load over capacity.
    pub reports: bool,
    /// Largest number of attempts for one request.
    pub max_attempts: u32,
    /// Longest retry-after that a refusal may carry; 0 if refusals carry none.
    pub max_retry_after_ms: Millis,
    /// Time after which a connection that is not established has failed.
    pub connect_timeout_ms: Millis,
    /// Smallest fraction of its capacity that a backend has when it starts.
    pub start_capacity: f64,
    /// Longest warm-up: after this time a backend has its full capacity.
    pub warm_up_ms: Millis,
    /// A cold backend fails if it is sent more than this multiple of its current capacity ...
    pub overload_factor: f64,
    /// ... over a time span of this length.
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
    /// Returns the shortest message target of any class, or infinity if none states one.
    pub fn shortest_message_aim(&self) -> Millis {
        let aims = self.classes.iter().map(|class| class.message_aim_ms).filter(|aim| *aim > 0.0);
        aims.fold(f64::INFINITY, f64::min)
    }

    /// Returns the class with this number, or the default one.
    pub fn class(&self, class: ClassId) -> Class {
        self.classes.get(class.0 as usize).copied().unwrap_or_default()
    }

    /// Returns the contract of the tenant with this number.
    pub fn contract(&self, tenant: TenantId) -> Option<Contract> {
        self.tenants.get(tenant.0 as usize).and_then(|tenant| tenant.contract)
    }

    /// Returns the time over which the nodes spread their first calls to discovery.
    pub fn first_call_spread_ms(&self) -> Millis {
        (f64::from(self.balancers) * 50.0).min(self.discovery_poll_ms / 2.0)
    }

    /// Returns one node's part of all tenants' quotas of open connections; 0 if none is stated.
    pub fn quota_per_node(&self) -> f64 {
        let all: f64 = self.tenants.iter().map(|tenant| tenant.quota_connections).sum();
        all.clamp(0.0, MAX_QUOTA) / f64::from(self.balancers.max(1))
    }

    /// Returns one node's part of all tenants' quotas of new connections, per millisecond; `None` if none is
    /// stated.
    pub fn quota_rate_per_node(&self) -> Option<f64> {
        let all: f64 = self.tenants.iter().map(|tenant| tenant.quota_rate).sum();
        (all > 0.0).then(|| all.min(MAX_QUOTA) / 1_000.0 / f64::from(self.balancers.max(1)))
    }
}

/// The state of a listed backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Takes new work.
    #[default]
    Serving,
    /// Finishes its current work; no new work may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the backend list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendInfo {
    /// Which backend.
    pub id: BackendId,
    /// Its phase.
    pub phase: Phase,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell: the backends that share their record of requests already seen.
    pub cell: u32,
    /// Listed weight.
    pub weight: f64,
    /// When it last started; `None` if long ago.
    pub started_at: Option<Millis>,
}

/// What a backend list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the changed entries.
    Patch,
    /// All entries: backends missing from it are gone.
    Whole,
    /// All entries as last known, possibly outdated.
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
    /// The group of connections that share work if they are on one backend.
    pub group: Option<AffinityKey>,
    /// The subject of the request.
    pub key: Option<AffinityKey>,
    /// Time until the client gives up on this request.
    pub grace_ms: Millis,
    /// Expected load of the connection.
    pub load_hint: Option<f64>,
    /// Whether it stands for packets of a connection that is already open and now reaches this node.
    pub mid_flow: bool,
}

impl Request {
    /// Returns its load: the hint, or 1 without a valid one.
    pub fn load(&self) -> f64 {
        self.load_hint.filter(|hint| hint.is_finite() && *hint > 0.0).unwrap_or(1.0)
    }
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served; for a connection, ended normally.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Rejected before any processing.
    Full,
    /// No answer in time; may have run.
    TimedOut,
    /// The connection could not be established.
    Unreachable,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// A load report. Values that a deployment does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Load requested of the backend divided by its capacity.
    pub load_over_capacity: Option<f64>,
}

/// An input of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The backend list, or changes to it.
    Backends {
        /// What `entries` contains.
        scope: ListScope,
        /// The list entries.
        entries: Vec<BackendInfo>,
    },
    /// A call to discovery failed or the subscription broke.
    DiscoveryFailed,
    /// The number of nodes that share the pool has changed; it includes this one and replaces the setting.
    NodeCount(u32),
    /// A client asks for a connection.
    Request(Request),
    /// A connection that was open through this node when the node started.
    Adopted {
        /// The request that it came from.
        request: Request,
        /// The backend that holds it.
        backend: BackendId,
    },
    /// The connection is established.
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
        /// How it ended.
        outcome: Outcome,
        /// Whether the request needs no further answer.
        closed: bool,
        /// The load report that came with it.
        report: Option<Report>,
    },
    /// A probe ended.
    ProbeEnded {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came with it.
        report: Option<Report>,
    },
    /// The client has left and needs no answer any more.
    ClientGone {
        /// Which request.
        id: RequestId,
    },
    /// The node is shutting down: all waiting requests must be answered by the given time.
    ShuttingDown {
        /// Latest time of the answers.
        by: Millis,
    },
    /// The load of an open connection has changed.
    LoadChanged {
        /// Which connection.
        id: RequestId,
        /// Its new load, in microseconds of work a second.
        load: f64,
    },
    /// Messages at a backend take this long at present.
    MessageDelay {
        /// The backend.
        backend: BackendId,
        /// Duration of a message.
        took_ms: Millis,
    },
    /// A message from another node.
    PeerMessage {
        /// The sender's number.
        from: u32,
        /// The message.
        body: Vec<u8>,
    },
    /// A timer has expired.
    Timer(TimerId),
}

/// An output of the decision module, for the node to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a backend.
    Attempt {
        /// Which request.
        id: RequestId,
        /// Where to.
        backend: BackendId,
        /// Time after which the attempt has failed.
        timeout_ms: Millis,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// Which request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// Close an open connection gracefully, so that its client reconnects.
    Move {
        /// Which connection.
        id: RequestId,
    },
    /// Final answer: refused; a retry is harmless.
    Refuse {
        /// Which request.
        id: RequestId,
        /// Time after which the client should retry; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// Final answer: failed; the request may or may not have run.
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
        /// Whether to subscribe.
        on: bool,
    },
    /// Fetch the whole backend list once.
    FetchList,
    /// Close the idle connections to a backend.
    CloseIdle {
        /// The backend.
        backend: BackendId,
    },
    /// Send a message to one other node, or to all.
    SendToPeer {
        /// Its number; `None` for all.
        peer: Option<u32>,
        /// At most 256 bytes.
        body: Vec<u8>,
    },
    /// Write a line to the node's log.
    Log(String),
    /// The decision module has failed.
    Fault(String),
    /// Request an [`Event::Timer`] at the given time.
    SetTimer {
        /// When it expires.
        at: Millis,
        /// Which timer.
        id: TimerId,
    },
}
