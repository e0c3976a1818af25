//! Authenticated encryption ("sealing") with keys from an operator's key file, by XChaCha20-Poly1305 (RFC
//! 8439 with the extended nonce of draft-irtf-cfrg-xchacha-03). This crate does no I/O and draws no random
//! numbers.
//!
//! ```text
//! sealed:  kind u8 | key id u32 | nonce 24 bytes | ciphertext | tag 16 bytes
//! ```
//!
//! Kind and key id are authenticated as associated data: bytes sealed as one kind never open as another.

pub mod keys;

pub use keys::{KEY_BYTES, KeyError, Keys};

use chacha20poly1305::aead::{Aead, Payload};
use chacha20poly1305::{Key, KeyInit, XChaCha20Poly1305, XNonce};
use std::fmt;

/// Length of a nonce in bytes: long enough that random nonces do not repeat.
pub const NONCE_BYTES: usize = 24;
const HEADER_BYTES: usize = 1 + 4;
const TAG_BYTES: usize = 16;
/// Bytes that sealing adds to the plaintext.
pub const OVERHEAD_BYTES: usize = HEADER_BYTES + NONCE_BYTES + TAG_BYTES;

/// The purpose of sealed bytes. The values are part of the format: a value is never reused for another
/// purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// A token that resumes a stream.
    Token = 1,
    /// A gossip datagram between nodes of the fleet.
    Datagram = b'd',
    /// A frame of a state exchange between two nodes of the fleet.
    Frame = b'f',
}

/// Why sealed bytes were refused. For counters and the log only; the sender is never told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsealError {
    /// Too short, or of another kind.
    Malformed,
    /// Sealed under a key that is not in the key file.
    UnknownKey,
    /// Altered, or sealed without the key.
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

/// Seals the plaintext with the sealing key. The nonce must be random and new each time. `None` if the
/// plaintext is too long for the cipher.
pub fn seal(keys: &Keys, kind: Kind, plaintext: &[u8], nonce: [u8; NONCE_BYTES]) -> Option<Vec<u8>> {
    let (id, key) = keys.sealing_key();
    let mut sealed = Vec::with_capacity(plaintext.len() + OVERHEAD_BYTES);
    sealed.push(kind as u8);
    sealed.extend_from_slice(&id.to_le_bytes());
    let payload = Payload { msg: plaintext, aad: &sealed };
    let ciphertext = cipher(key).encrypt(&XNonce::from(nonce), payload).ok()?;
    sealed.extend_from_slice(&nonce);
    sealed.extend_from_slice(&ciphertext);
    Some(sealed)
}

/// Opens sealed bytes. An unknown key id costs the same work as a wrong key, so that timing does not show
/// which key ids exist.
///
/// # Errors
/// If the bytes are malformed or of another kind, sealed under an unknown key, or not authentic.
pub fn open(keys: &Keys, kind: Kind, bytes: &[u8]) -> Result<Vec<u8>, UnsealError> {
    let Some((&[first, a, b, c, d], rest)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
        return Err(UnsealError::Malformed);
    };
    if first != kind as u8 {
        return Err(UnsealError::Malformed);
    }
    let (nonce, ciphertext) = rest.split_first_chunk::<NONCE_BYTES>().ok_or(UnsealError::Malformed)?;
    let secret = keys.secret(u32::from_le_bytes([a, b, c, d]));
    let payload = Payload { msg: ciphertext, aad: &bytes[..HEADER_BYTES] };
    let plaintext = cipher(secret.unwrap_or_default()).decrypt(&XNonce::from(*nonce), payload);
    if secret.is_none() {
        return Err(UnsealError::UnknownKey);
    }
    plaintext.map_err(|_| UnsealError::Forged)
}

#[cfg(test)]
mod tests;
