//! Event log of a hopmoor node, for the analysis of incidents.
//!
//! - [`record`]: the records, as values; no I/O.
//! - [`codec`]: encoding and decoding of headers and frames; no I/O, and no panic on any input.
//! - [`disk`]: the file system calls that a folder needs, as a trait so that tests can make them fail.
//! - [`folder`]: writes, seals, removes and reads the segments of a folder.
//! - [`merge`]: merges the records of several nodes by time.
//!
//! The crate does not interpret records; its readers do. `docs/records.md` describes the format and the
//! reasons for it.

pub mod codec;
pub mod disk;
pub mod folder;
pub mod merge;
pub mod record;

pub use codec::{Damage, Decoder, Encoder, FORMAT_VERSION, Header};
pub use disk::{Disk, RealDisk};
pub use folder::{Folder, Retention, Tail, Writer};
pub use merge::{Merged, Origin};
pub use record::*;
