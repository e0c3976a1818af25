//! What it takes to move a stream and lose nothing, as values: no I/O, no clock, no source of random numbers.
//!
//! - [`token`]: what a stream was and how far it had come, sealed so that any node can read it and nobody forge it.
//! - [`positions`]: messages numbered in one direction, and what of them has to be kept until it is acknowledged.
//!
//! `docs/resume.md` tells how they will be put together. Leases, pacing and the hand-over itself are not here yet.

pub mod positions;
pub mod token;

pub use hopmoor_seal::{KeyError, Keys};
pub use positions::{AckError, Full, Gap, Positions};
pub use token::{Claims, Refused, TokenError};
