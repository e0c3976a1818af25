//! What went wrong at a site, when, and what it cost, from the records of its nodes.
//!
//! The crate does no I/O: it takes [`hopmoor_record::merge::Step`]s in time order and returns [`Findings`].
//! `docs/records.md` defines the terms, above all the share of service lost.
//!
//! - [`member`]: states of a member, inferred from what the nodes observed.
//! - [`wants`]: accounts for the time in which clients wanted a connection, and for the part of it that was
//!   lost.
//! - [`curve`]: time series with bounded memory.
//! - `fleet`: periods in which a node was held dead by other nodes.
//! - [`board`]: current state of a site, for the console.
//! - [`analysis`]: reads all records and builds the findings.

pub mod analysis;
pub mod board;
pub mod curve;
pub mod member;
pub mod wants;

mod findings;
mod fleet;

pub use analysis::{Analysis, analyse};
pub use board::Board;
pub use findings::*;
