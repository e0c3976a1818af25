//! Keys from an operator's file, and bytes sealed under them by XChaCha20-Poly1305 (RFC 8439 with the nonce of
//! draft-irtf-cfrg-xchacha-03). No I/O and no source of random numbers.
//!
//! ```text
//! sealed:  kind u8 | key id u32 | nonce 24 bytes | ciphertext | tag 16 bytes
//! ```
//!
//! Kind and key id are authenticated as well, so that what was sealed as one kind is never taken for another.

pub mod keys;

pub use keys::{KEY_BYTES, KeyError, Keys};

use chacha20poly1305::aead::{Aead, Payload};
use chacha20poly1305::{Key, KeyInit, XChaCha20Poly1305, XNonce};
use std::fmt;

/// Bytes of a nonce: enough that random ones never meet.
pub const NONCE_BYTES: usize = 24;
const HEAD: usize = 1 + 4;
const TAG: usize = 16;
/// Bytes that sealing adds.
pub const OVERHEAD_BYTES: usize = HEAD + NONCE_BYTES + TAG;

/// What was sealed. The bytes are the format: none is used again for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// A stream's token.
    Token = 1,
    /// A datagram of the fleet.
    Datagram = b'd',
    /// A frame of the fleet's exchanges.
    Frame = b'f',
}

/// Why sealed bytes were refused: for counters and the log, never for who sent them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsealError {
    /// Too short, or of another kind.
    Malformed,
    /// Sealed under a key that is not there.
    UnknownKey,
    /// Altered, or made by somebody without the key.
    Forged,
}

impl fmt::Display for UnsealError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnsealError::Malformed => "malformed",
            UnsealError::UnknownKey => "unknown key",
            UnsealError::Forged => "forged",
        })
    }
}

fn cipher(key: [u8; KEY_BYTES]) -> XChaCha20Poly1305 {
    XChaCha20Poly1305::new(&Key::from(key))
}

/// Seals bytes. The nonce must be random and new each time. `None` if they are too many to be sealed at all.
pub fn seal(keys: &Keys, kind: Kind, plain: &[u8], nonce: [u8; NONCE_BYTES]) -> Option<Vec<u8>> {
    let (id, key) = keys.sealing();
    let mut sealed = Vec::with_capacity(plain.len() + OVERHEAD_BYTES);
    sealed.push(kind as u8);
    sealed.extend_from_slice(&id.to_le_bytes());
    let payload = Payload { msg: plain, aad: &sealed };
    let text = cipher(key).encrypt(&XNonce::from(nonce), payload).ok()?;
    sealed.extend_from_slice(&nonce);
    sealed.extend_from_slice(&text);
    Some(sealed)
}

/// Opens sealed bytes. A key that is not there costs the same work as a wrong one: what is missing can't be told by
/// the clock.
///
/// # Errors
/// Why they are refused.
pub fn open(keys: &Keys, kind: Kind, bytes: &[u8]) -> Result<Vec<u8>, UnsealError> {
    let Some((&[first, a, b, c, d], rest)) = bytes.split_first_chunk::<HEAD>() else {
        return Err(UnsealError::Malformed);
    };
    if first != kind as u8 {
        return Err(UnsealError::Malformed);
    }
    let (nonce, sealed) = rest.split_first_chunk::<NONCE_BYTES>().ok_or(UnsealError::Malformed)?;
    let known = keys.named(u32::from_le_bytes([a, b, c, d]));
    let payload = Payload { msg: sealed, aad: &bytes[..HEAD] };
    let plain = cipher(known.unwrap_or_default()).decrypt(&XNonce::from(*nonce), payload);
    if known.is_none() {
        return Err(UnsealError::UnknownKey);
    }
    plain.map_err(|_| UnsealError::Forged)
}

#[cfg(test)]
mod tests;
