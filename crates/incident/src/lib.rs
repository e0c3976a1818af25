//! What went wrong at a site, when, and what it cost, from the records of its nodes.
//!
//! Nothing here reads or writes: records go in as [`hopmoor_record::merge::Step`]s in the order of their times, and
//! [`Findings`] come out. `docs/records.md` defines the words used, above all the share of service lost.
//!
//! - [`member`]: what is wrong with a member, from what nodes saw of it.
//! - [`accounting`]: who wanted a connection when, and who had one: the share of service lost.
//! - [`series`]: figures over time, at a resolution that stays within bounds.
//! - `dead_peers`: nodes that others held dead.
//! - [`dashboard`]: how things stand at one moment, for a console.
//! - [`analysis`]: all of them fed together, and the findings drawn up.

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
