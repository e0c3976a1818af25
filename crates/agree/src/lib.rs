//! Drain permits that the nodes of a fleet agree on by Raft. This crate does no I/O and reads no clock: it is
//! fed entries, messages and ticks. Its only randomness is a seed handed in, and no grant depends on it.
//!
//! - [`state`]: budgets and permits, computed from the log; nothing else decides on a grant.
//! - [`entry`]: the entries of the log.
//! - [`voter`]: one voter of the log, on top of the `raft` crate.
//! - [`founding`]: the first start of the voters, and how a voter notices that its data folder was lost.
//! - [`asking`]: the node's side of a permit: requests it, drains when it is granted, releases it.
//! - [`part`]: all of a node's participation, as the real node and the simulated fleet run it.
//! - [`message`]: the messages between nodes.
//!
//! `docs/agree.md` has the design, the argument for its safety and the figures.

pub mod asking;
pub mod entry;
pub mod founding;
pub mod message;
pub mod part;
pub mod state;
pub mod voter;

pub use asking::Asking;
pub use entry::{Entry, Most, Request, Scope, SeenNode, Standing};
pub use founding::{Bootstrap, BootstrapOutcome};
pub use message::Message;
pub use part::{Note, Order, Part};
pub use state::{Answer, Change, Permit, State};
pub use voter::{Kept, Voter, Work};
