//! State for moving a stream to another node without losing messages. The types do no I/O and read neither a
//! clock nor a source of random numbers.
//!
//! - [`token`]: resume tokens, which hold a stream's identity and positions. They are sealed, so that any
//!   node can read them and nobody without the key can forge one.
//! - [`positions`]: numbers the messages of one direction and keeps them until they are acknowledged.
//!
//! `docs/resume.md` describes the design. Leases, pacing and the hand-over itself are not implemented yet.

pub mod positions;
pub mod token;

pub use hopmoor_seal::{KeyError, Keys};
pub use positions::{AckError, Full, Gap, Positions};
pub use token::{Claims, Refused, TokenError};
