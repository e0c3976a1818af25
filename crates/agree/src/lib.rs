//! Drains that a fleet agrees on. No I/O, no clock and no randomness that matters: everything is fed entries, messages and
//! ticks.
//!
//! - [`state`]: budgets and permits, as computed from the log; nothing else decides a grant.
//! - [`entry`]: what stands in the log.
//! - [`voter`]: one voter of the log, by `raft`.
//! - [`bootstrap`]: the first start of the voters, and how one notices that its folder was lost.
//! - [`permit_client`]: a node's side: it asks, drains on a grant, gives back.
//! - [`participant`]: a node's part in it all, as the node and the virtual fleet run it.
//! - [`message`]: what goes between nodes.
//!
//! `docs/agree.md` has the design, the argument for its safety and the figures.

pub mod bootstrap;
pub mod entry;
pub mod message;
pub mod participant;
pub mod permit_client;
pub mod state;
pub mod voter;

pub use bootstrap::{Founding, Outcome};
pub use entry::{BudgetLimit, Entry, NodeStatus, Request, Scope, SeenNode};
pub use message::Message;
pub use participant::{Action, Participant, VoterStatus};
pub use permit_client::PermitClient;
pub use state::{Answer, Change, Permit, State};
pub use voter::{PendingWrite, PersistedState, Voter};
