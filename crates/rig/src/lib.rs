//! The process rig: runs many real `hopmoor` processes on loopback, connected through relays that inject
//! faults into the traffic between them.
//!
//! - [`relay`]: the relay in front of each process, which the other nodes connect to. It identifies the
//!   sending node by its source address and applies the link condition that the schedule has for that link.
//! - [`process`]: starts a node's process with its files, sends it signals, and reads its addresses from its
//!   log.
//! - [`mod@play`]: plays a schedule, samples every node's view of the fleet, and records one history.
//! - [`plot`]: draws a history as an HTML page.
//!
//! The schedules, the histories and the functions that judge them are those of `hopmoor_standin`, which the
//! simulation in virtual time uses too. Each process is killed by its process id when its handle is dropped,
//! also when a test panics.

pub mod play;
pub mod plot;
pub mod process;
pub mod relay;

pub use play::{Options, play};
