//! Drain permits that the nodes of a fleet agree on by Raft. This crate does no I/O and reads no clock: it is
//! fed entries, messages and ticks. Its only randomness is a seed handed in, and no grant depends on it.
//!
//! - [`state`]: budgets and permits, computed from the log; nothing else decides on a grant.
//! - [`entry`]: the entries of the log.
//! - [`voter`]: one voter of the log, on top of the `raft` crate.
//! - [`bootstrap`]: the first start of the voters, and how a voter notices that its data folder was lost.
//! - [`permit_client`]: the node's side of a permit: requests it, drains when it is granted, releases it.
//! - [`participant`]: all of a node's participation, as the real node and the simulated fleet run it.
//! - [`message`]: the messages between nodes.
//!
//! `docs/agree.md` has the design, the argument for its safety and the figures.

pub mod bootstrap;
pub mod entry;
pub mod message;
pub mod participant;
pub mod permit_client;
pub mod state;
pub mod voter;

pub use bootstrap::{Bootstrap, BootstrapOutcome};
pub use entry::{BudgetLimit, Entry, NodeStatus, Request, Scope, SeenNode};
pub use message::Message;
pub use participant::{Action, Participant, VoterStatus};
pub use permit_client::PermitClient;
pub use state::{Answer, Change, Permit, State};
pub use voter::{PendingWrite, PersistedState, Voter};
