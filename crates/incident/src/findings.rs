//! Findings of the analysis as plain values that serialise to JSON.

use serde::Serialize;

/// Findings from the records of a site.
///
/// Times are Unix milliseconds. Service is in worth-seconds: seconds in which a client wanted a connection,
/// weighted by the worth of its class. Shares are parts of all service asked for.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Findings {
    /// Time of the first record.
    pub from: f64,
    /// Time of the last record.
    pub until: f64,
    /// Number of records read.
    pub records: u64,
    /// Service asked for, served and lost in total.
    pub service: Service,
    /// Transactions and service of each class.
    pub classes: Vec<ServiceTotals>,
    /// Transactions and service of each tenant.
    pub tenants: Vec<ServiceTotals>,
    /// Budget and use of each tenant over time, summed over the nodes.
    pub budgets: Vec<TenantSeries>,
    /// Nodes, in the order in which their records were given.
    pub nodes: Vec<Node>,
    /// Members, ordered by name.
    pub members: Vec<Member>,
    /// Incidents, ordered by their start.
    pub incidents: Vec<Incident>,
    /// Time series of the whole site.
    pub curves: SiteSeries,
    /// Records that could not be read or are not reliable, and faults that nodes reported of themselves.
    pub doubts: Vec<DataIssue>,
}

/// Service asked for, served and lost, in worth-seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    /// Worth-seconds in which clients wanted a connection.
    pub asked: f64,
    /// Worth-seconds in which clients were connected to a member that was neither silent nor slow.
    pub served: f64,
    /// Worth-seconds lost.
    pub lost: f64,
    /// Lost as a part of asked.
    pub share_lost: f64,
    /// The part of `share_lost` that no incident explains.
    pub unexplained: f64,
}

/// Transactions and service of a class or tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceTotals {
    /// Name of the class or tenant.
    pub name: String,
    /// Transactions that arrived.
    pub transactions: u64,
    /// Transactions served.
    pub served: u64,
    /// Transactions rejected.
    pub rejected: u64,
    /// Transactions that failed.
    pub failed: u64,
    /// Transactions whose client left before the answer.
    pub left: u64,
    /// Clients told to move.
    pub moved: u64,
    /// Connections that broke.
    pub broken: u64,
    /// Mean wait for the answer, over the transactions served.
    pub wait_ms: f64,
    /// Worth-seconds asked for.
    pub asked: f64,
    /// Worth-seconds lost.
    pub lost: f64,
}

/// Budget and use of a tenant over time, one mean value for each step of [`SiteSeries::step_ms`].
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TenantSeries {
    /// Name of the tenant.
    pub name: String,
    /// Load that the tenant may use.
    pub budget: Vec<f32>,
    /// Open connections.
    pub open: Vec<f32>,
    /// Transactions waiting in the queue.
    pub queued: Vec<f32>,
}

/// Runs and totals of a node.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Node {
    /// Name of the node.
    pub name: String,
    /// Runs, oldest first.
    pub runs: Vec<Run>,
    /// Periods from which records were lost.
    pub gaps: Vec<Gap>,
    /// Transactions that arrived.
    pub transactions: u64,
    /// Transactions rejected or failed.
    pub turned_away: u64,
    /// Clients told to move.
    pub moved: u64,
}

/// One run of a node, from its start to its end.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Run {
    /// Time of the first record.
    pub from: f64,
    /// Time of the last record.
    pub until: f64,
    /// How the records of the run end.
    pub end: RunEnd,
    /// Time at which the node was told to shut down.
    pub leaving: Option<f64>,
}

/// How the records of a run end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The node shut down in good order.
    Stopped,
    /// The records end without a shutdown, and a later run of the node follows.
    Cut,
    /// The records end without a shutdown and no later run follows: what came after is not known.
    RecordsEnd,
}

/// A period from which records were lost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Gap {
    /// Time of the first lost record.
    pub from: f64,
    /// Time at which the records go on.
    pub until: f64,
    /// Number of records lost.
    pub lost: u64,
}

/// States, attempts and service of a member over time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Member {
    /// Name of the member.
    pub name: String,
    /// Name of its zone; empty if the zone is not configured.
    pub zone: String,
    /// Periods in which the member was in a state; they may overlap.
    pub spans: Vec<Span>,
    /// Attempts sent to the member that have ended.
    pub attempts: u64,
    /// Attempts served.
    pub served: u64,
    /// Mean and maximum of the reported load, as a part of capacity.
    pub load: Option<(f64, f64)>,
    /// Worth-seconds lost because of the member.
    pub lost: f64,
    /// Worth of the clients connected to the member over time, one value for each step of
    /// [`SiteSeries::step_ms`].
    pub standing: Vec<f32>,
}

/// A period in which a member was in a state.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Span {
    /// State that the member was in.
    pub state: MemberState,
    /// Start of the period.
    pub from: f64,
    /// End of the period; none if it lasts beyond the records.
    pub until: Option<f64>,
    /// Number of observations that show the state.
    pub evidence: u64,
}

/// Observed state of a member other than normal service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member was sent attempts or probes and answered none.
    Silent,
    /// The member's process ended: several connections broke at about the same time, or none can be made.
    Dead,
    /// The member turned attempts away or answered with errors.
    Refusing,
    /// Messages at the member took longer than the message time target of a class.
    Slow,
    /// The member is listed as draining.
    Draining,
    /// The member is no longer listed.
    Gone,
    /// The member has started recently and is not warmed up yet.
    Cold,
    /// A node sends the member nothing new because of failures.
    Avoided,
}

impl MemberState {
    /// Name of the state in reports.
    pub fn word(self) -> &'static str {
        match self {
            MemberState::Silent => "silent",
            MemberState::Dead => "dead",
            MemberState::Refusing => "refusing",
            MemberState::Slow => "slow",
            MemberState::Draining => "draining",
            MemberState::Gone => "gone",
            MemberState::Cold => "cold",
            MemberState::Avoided => "avoided",
        }
    }

    /// Whether the state is a fault rather than part of normal operation.
    pub fn is_fault(self) -> bool {
        matches!(self, MemberState::Silent | MemberState::Dead | MemberState::Refusing | MemberState::Slow)
    }
}

/// A period in which something cost service or may have.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Incident {
    /// Number in the list, from 1 on.
    pub number: usize,
    /// Kind of incident.
    pub kind: IncidentKind,
    /// Name of the member or node concerned; empty for the whole site.
    pub subject: String,
    /// Start of the incident.
    pub from: f64,
    /// End of the incident; none if it lasts beyond the records.
    pub until: Option<f64>,
    /// One line that describes what was observed.
    pub cause: String,
    /// Worth-seconds lost because of it.
    pub lost: f64,
    /// The loss as a part of all worth-seconds asked for.
    pub share: f64,
    /// Worth-seconds lost in each class, in the order of [`Findings::classes`].
    pub by_class: Vec<f64>,
}

/// Kinds of incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind", content = "state")]
pub enum IncidentKind {
    /// A member was in this state.
    Member(MemberState),
    /// A node was told to shut down.
    NodeLeft,
    /// A node's records end without a shutdown.
    NodeCut,
    /// Records of a node were lost.
    RecordsLost,
    /// Transactions were rejected, failed or served late for lack of capacity.
    NoRoom,
    /// A node's calls to discovery failed.
    Blind,
    /// A node was held dead by other nodes of its fleet.
    HeldDead,
}

impl IncidentKind {
    /// Name of the kind in reports.
    pub fn word(self) -> &'static str {
        match self {
            IncidentKind::Member(state) => state.word(),
            IncidentKind::NodeLeft => "node left",
            IncidentKind::NodeCut => "node cut off",
            IncidentKind::RecordsLost => "records lost",
            IncidentKind::NoRoom => "no room",
            IncidentKind::Blind => "discovery silent",
            IncidentKind::HeldDead => "held dead",
        }
    }
}

/// Time series of the whole site, one value for each step.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SiteSeries {
    /// Length of a step.
    pub step_ms: f64,
    /// Worth-seconds asked for, per second.
    pub asked: Vec<f32>,
    /// Worth-seconds served, per second.
    pub served: Vec<f32>,
    /// Transactions that arrived in the step.
    pub arrivals: Vec<f32>,
    /// Transactions of each class that were rejected or failed in the step.
    pub turned_away: Vec<Vec<f32>>,
    /// Clients told to move in the step.
    pub moved: Vec<f32>,
}

/// An issue with a node's records, or a fault that the node reported of itself.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DataIssue {
    /// Time that the records had reached.
    pub at: f64,
    /// Name of the node whose records they are; empty for a remark on the list itself.
    pub node: String,
    /// Description of the issue.
    pub what: String,
}
