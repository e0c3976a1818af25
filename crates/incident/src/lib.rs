//! What went wrong at a site, when, and what it cost, from the records of its nodes.
//!
//! The crate does no I/O: it takes [`hopmoor_record::merge::Step`]s in time order and returns [`Findings`].
//! `docs/records.md` defines the terms, above all the share of service lost.
//!
//! - [`member`]: states of a member, inferred from what the nodes observed.
//! - [`accounting`]: the service that clients asked for, and the part of it that was lost.
//! - [`series`]: time series with bounded memory.
//! - `dead_peers`: periods in which a node was held dead by other nodes.
//! - [`dashboard`]: current state of a site, for the console.
//! - [`analysis`]: reads all records and builds the findings.

pub mod accounting;
pub mod analysis;
pub mod dashboard;
pub mod member;
pub mod series;

mod dead_peers;
mod findings;

pub use analysis::{Analysis, analyse};
pub use dashboard::Dashboard;
pub use findings::*;
