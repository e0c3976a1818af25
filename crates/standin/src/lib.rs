//! Stand-ins for what a hopmoor node meets, scripted, with a truth of their own to check against.
//!
//! - [`random`]: schedules of faults drawn from a seed.
//! - [`faults`]: what goes wrong between and in the nodes of a fleet.
//! - [`history`]: what observers saw of a fleet, and its judges.
//! - [`plan`]: who is there, what clients want, and what goes wrong when.
//! - [`truth`]: what really happened, as no node can know it.
//! - [`sockets`]: members and discovery on loopback, for tests with the real program.

pub mod faults;
pub mod history;
pub mod plan;
pub mod random;
pub mod sockets;
pub mod truth;
