//! The process rig: many real `hopmoor` processes on loopback, between relays that break what goes from one to another.
//!
//! - [`relay`]: one place a process, where the others reach it; it knows who sends, and treats that by the schedule.
//! - [`process`]: a node's process: its files, its start, its signals, what it tells of its addresses.
//! - [`mod@play`]: plays a schedule, samples what every node says of the fleet, and writes one history.
//!
//! Schedules, histories and their judges are `hopmoor_standin`'s, the same as in virtual time. Every process is ended by
//! its id when its handle is dropped, also when a test panics.

pub mod play;
pub mod plot;
pub mod process;
pub mod relay;

pub use play::{Options, play};
