//! What a hopmoor node records of itself, so that an incident can be read afterwards.
//!
//! - [`record`]: the records, as values; no I/O.
//! - [`codec`]: header and frames, to bytes and back; no I/O, and no panic on any bytes.
//! - [`disk`]: the little of a file system that a folder needs, so that tests can let it fail.
//! - [`folder`]: segments written, sealed, kept and read again.
//! - [`merge`]: the records of several nodes in the order of their times.
//!
//! It does not decide what a record means; that is for who reads them. `docs/records.md` tells the format and why
//! it is so.

pub mod codec;
pub mod disk;
pub mod folder;
pub mod merge;
pub mod record;

pub use codec::{Damage, Decoder, Encoder, FORMAT, Header};
pub use disk::{Disk, RealDisk};
pub use folder::{Folder, Retention, Tail, Writer};
pub use merge::{Merged, Origin};
pub use record::*;
