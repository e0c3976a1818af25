//! Drains that a fleet agrees on. No I/O, no clock and no randomness that matters: everything is fed entries, messages and
//! ticks.
//!
//! - [`state`]: budgets and permits, as computed from the log; nothing else decides a grant.
//! - [`entry`]: what stands in the log.
//! - [`voter`]: one voter of the log, by `raft`.
//! - [`founding`]: the first start of the voters, and how one notices that its folder was lost.
//! - [`asking`]: a node's side: it asks, drains on a grant, gives back.
//! - [`part`]: a node's part in it all, as the node and the virtual fleet run it.
//! - [`message`]: what goes between nodes.
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
pub use founding::{Founding, Outcome};
pub use message::Message;
pub use part::{Note, Order, Part};
pub use state::{Answer, Change, Permit, State};
pub use voter::{Kept, Voter, Work};
