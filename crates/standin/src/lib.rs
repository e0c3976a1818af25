//! Scripted stand-ins for the environment of a hopmoor node, with a ground truth to check the nodes against.
//!
//! - [`random`]: random schedules of faults, generated from a seed.
//! - [`faults`]: schedules of faults in the nodes of a fleet and on the links between them.
//! - [`history`]: what the nodes of a fleet reported during a schedule, and checks of it.
//! - [`plan`]: scripted sites: nodes, members, client load and faults.
//! - [`truth`]: what really happened at a scripted site.
//! - [`sockets`]: members, discovery and clients on loopback, for tests with the real program.

pub mod faults;
pub mod history;
pub mod plan;
pub mod random;
pub mod sockets;
pub mod truth;
