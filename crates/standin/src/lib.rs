//! Stand-ins for what a hopmoor node meets, scripted, with a truth of their own to check against.
//!
//! - [`plan`]: who is there, what clients want, and what goes wrong when.
//! - [`truth`]: what really happened, as no node can know it.
//! - [`site`]: a whole site in virtual time: real brokers and decision modules, made-up members and clients.
//! - [`sockets`]: members and discovery on loopback, for tests with the real program.

pub mod plan;
pub mod site;
pub mod sockets;
pub mod truth;
