//! What is found: plain values, also as JSON.

use serde::Serialize;

/// Everything found in the records of a site. Times are Unix milliseconds; lost service is in worth-seconds, and in
/// parts of all that was asked for.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Findings {
    /// The first record's time.
    pub from: f64,
    /// The last record's time.
    pub until: f64,
    /// Records read.
    pub records: u64,
    /// Totals.
    pub service: Service,
    /// What the clients of each class asked and got.
    pub classes: Vec<ServiceTotals>,
    /// What the clients of each tenant asked and got.
    pub tenants: Vec<ServiceTotals>,
    /// Budgets, limits and use of each tenant over time, summed over the nodes.
    pub budgets: Vec<Budget>,
    /// The nodes, in the order in which their records were given.
    pub nodes: Vec<Node>,
    /// Members, by name.
    pub members: Vec<Member>,
    /// What went wrong, in the order of its beginning.
    pub incidents: Vec<Incident>,
    /// Figures over time.
    pub curves: Curves,
    /// What could not be read, or was read with doubt.
    pub doubts: Vec<Doubt>,
}

/// Service asked for, given and lost, in worth-seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    /// Worth of the seconds asked for.
    pub asked: f64,
    /// Worth of those served in time.
    pub served: f64,
    /// Worth of those lost.
    pub lost: f64,
    /// Lost over asked.
    pub share_lost: f64,
    /// The part of the lost share that no incident explains.
    pub unexplained: f64,
}

/// What a class or a tenant asked and got.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceTotals {
    /// Its name.
    pub name: String,
    /// Transactions.
    pub transactions: u64,
    /// Of which served.
    pub served: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Left before their answer.
    pub left: u64,
    /// Connections moved.
    pub moved: u64,
    /// Connections that broke.
    pub broken: u64,
    /// Mean wait for the answer of those served.
    pub wait_ms: f64,
    /// Worth-seconds asked for.
    pub asked: f64,
    /// Worth-seconds lost.
    pub lost: f64,
}

/// A tenant's figures over time, one value a step of [`Curves::step_ms`].
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Budget {
    /// Its name.
    pub name: String,
    /// What it may have.
    pub budget: Vec<f32>,
    /// What it has.
    pub open: Vec<f32>,
    /// What waits.
    pub queued: Vec<f32>,
}

/// A node's runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// From when to when it ran, and how each run ended.
    pub runs: Vec<Run>,
    /// Spans from which records were lost.
    pub gaps: Vec<Gap>,
    /// Transactions.
    pub transactions: u64,
    /// Of which rejected or failed.
    pub turned_away: u64,
    /// Clients moved.
    pub moved: u64,
}

/// One run of a node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Run {
    /// Its first record.
    pub from: f64,
    /// Its last record.
    pub until: f64,
    /// How its records end.
    pub end: RunEnd,
    /// When it was told to end.
    pub leaving: Option<f64>,
}

/// How the records of a run end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The node ended in good order.
    Stopped,
    /// Records end without a word, and a later run of the node follows.
    Cut,
    /// Records end here, without a word: what came after is not known.
    RecordsEnd,
}

/// Records that were lost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Gap {
    /// When the first was.
    pub from: f64,
    /// When they went on.
    pub until: f64,
    /// How many.
    pub lost: u64,
}

/// A member over time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone's name.
    pub zone: String,
    /// Its states: they may overlap.
    pub spans: Vec<Span>,
    /// Attempts sent there.
    pub attempts: u64,
    /// Of which answered with service.
    pub served: u64,
    /// Mean and greatest load over capacity that it reported.
    pub load: Option<(f64, f64)>,
    /// Worth-seconds lost there.
    pub lost: f64,
    /// Worth standing there over time, one value a step of [`Curves::step_ms`].
    pub standing: Vec<f32>,
}

/// A state of a member, from when to when.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Span {
    /// What.
    pub state: MemberState,
    /// From when.
    pub from: f64,
    /// Until when; none if it had not ended when the records did.
    pub until: Option<f64>,
    /// What it was seen by.
    pub evidence: u64,
}

/// What can be the matter with a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It was sent work and answered nothing.
    Silent,
    /// Its process ended: connections there broke at once, or none can be made.
    Dead,
    /// It turned work away, or answered with errors.
    Refusing,
    /// Messages there took longer than a class wants.
    Slow,
    /// It is listed as draining.
    Draining,
    /// It is listed no more.
    Gone,
    /// It has started and is not warm yet.
    Cold,
    /// A node sends it nothing new for its failures.
    Avoided,
}

impl MemberState {
    /// A word for it.
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

    /// Whether it is a trouble, or the ordinary course of things.
    pub fn is_fault(self) -> bool {
        matches!(self, MemberState::Silent | MemberState::Dead | MemberState::Refusing | MemberState::Slow)
    }
}

/// Something that went on for a time and cost service, or may have.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Incident {
    /// Its place in the list, from 1 on.
    pub number: usize,
    /// What.
    pub kind: IncidentKind,
    /// Which member, node or tenant; empty for the site.
    pub subject: String,
    /// From when.
    pub from: f64,
    /// Until when; none if it had not ended when the records did.
    pub until: Option<f64>,
    /// One line that says what was seen.
    pub cause: String,
    /// Worth-seconds lost by it.
    pub lost: f64,
    /// Part of all worth-seconds asked for.
    pub share: f64,
    /// The same by class, as in [`Findings::classes`].
    pub by_class: Vec<f64>,
}

/// Kinds of incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind", content = "state")]
pub enum IncidentKind {
    /// Something about a member.
    Member(MemberState),
    /// A node was told to end.
    NodeLeft,
    /// A node's records end without a word.
    NodeCut,
    /// Records of a node were lost.
    RecordsLost,
    /// Transactions were turned away, or served late, for want of room.
    NoRoom,
    /// A node could not ask discovery.
    Blind,
    /// A node was held dead by others of its fleet.
    HeldDead,
}

impl IncidentKind {
    /// A word or two for it.
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

/// Figures over time, one value a step.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Curves {
    /// A step's length.
    pub step_ms: f64,
    /// Worth asked for, a second.
    pub asked: Vec<f32>,
    /// Worth served in time, a second.
    pub served: Vec<f32>,
    /// Transactions that arrived, in the step.
    pub arrivals: Vec<f32>,
    /// Rejected or failed, by class, in the step.
    pub turned_away: Vec<Vec<f32>>,
    /// Clients moved, in the step.
    pub moved: Vec<f32>,
}

/// Something that could not be read, or was read with doubt.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Doubt {
    /// At what time the folder's records stood.
    pub at: f64,
    /// Whose records.
    pub node: String,
    /// What.
    pub what: String,
}
