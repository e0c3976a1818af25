//! Tokens: what a stream was and how far it had come, sealed by XChaCha20-Poly1305 (RFC 8439 with the nonce of
//! draft-irtf-cfrg-xchacha-03), so that any node with the key can go on from it and nobody else can make or read one.
//!
//! ```text
//! token:  base64url of (version u8 | key id u32 | nonce 24 bytes | sealed claims | tag 16 bytes)
//! ```
//!
//! Version and key id are authenticated as well. Who presents a token hears one refusal whatever is wrong with it, and a
//! token under a key that is not there costs the same work as a forged one.

use crate::keys::{KEY_BYTES, Keys};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use chacha20poly1305::aead::{Aead, Payload};
use chacha20poly1305::{Key, KeyInit, XChaCha20Poly1305, XNonce};
use serde::{Deserialize, Serialize};
use std::fmt;

const VERSION: u8 = 1;
/// Bytes of a nonce: enough that random ones never meet.
pub const NONCE_BYTES: usize = 24;
const HEAD: usize = 1 + 4;
/// Characters of a token, at most: longer ones are not looked at.
pub const LONGEST: usize = 1_024;

/// What a token says of its stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// The site that it belongs to: no other takes it.
    pub realm: String,
    /// The stream's number.
    pub stream: u128,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: String,
    /// Its service.
    pub service: String,
    /// The group whose streams share work.
    pub group: Option<u64>,
    /// The client's messages that the member has acknowledged.
    pub from_client: u64,
    /// The member's messages that the client has acknowledged.
    pub from_member: u64,
    /// The member that it stood at.
    pub member: String,
    /// Counts its hand-overs: of two that present a token the member takes the newer epoch.
    pub epoch: u64,
    /// When it was issued, in Unix milliseconds.
    pub issued_ms: u64,
    /// From when on it is void.
    pub expires_ms: u64,
}

/// Claims that can't be sealed: longer than a token may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenError;

/// Why a token was refused: for counters and the log, never for who presented it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is no token.
    Malformed,
    /// It is sealed under a key that is not there.
    UnknownKey,
    /// It was altered, or made by somebody without the key.
    Forged,
    /// Its time is over.
    Expired,
    /// It is of another site.
    Foreign,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refused::Malformed => "malformed",
            Refused::UnknownKey => "unknown key",
            Refused::Forged => "forged",
            Refused::Expired => "expired",
            Refused::Foreign => "foreign",
        })
    }
}

fn cipher(key: [u8; KEY_BYTES]) -> XChaCha20Poly1305 {
    XChaCha20Poly1305::new(&Key::from(key))
}

/// Seals claims. The nonce must be random and new each time.
///
/// # Errors
/// If the token would be over [`LONGEST`] characters.
pub fn seal(keys: &Keys, claims: &Claims, nonce: [u8; NONCE_BYTES]) -> Result<String, TokenError> {
    let (id, key) = keys.sealing();
    let mut token = vec![VERSION];
    token.extend_from_slice(&id.to_le_bytes());
    let plain = postcard::to_stdvec(claims).map_err(|_| TokenError)?;
    let payload = Payload { msg: &plain, aad: &token };
    let sealed = cipher(key).encrypt(&XNonce::from(nonce), payload).map_err(|_| TokenError)?;
    token.extend_from_slice(&nonce);
    token.extend_from_slice(&sealed);
    let text = URL_SAFE_NO_PAD.encode(token);
    if text.len() <= LONGEST { Ok(text) } else { Err(TokenError) }
}

/// Reads a token at `now_ms`, for this site.
///
/// # Errors
/// Why it is refused.
pub fn open(keys: &Keys, realm: &str, now_ms: u64, token: &str) -> Result<Claims, Refused> {
    if token.len() > LONGEST {
        return Err(Refused::Malformed);
    }
    let bytes = URL_SAFE_NO_PAD.decode(token).map_err(|_| Refused::Malformed)?;
    let Some((&[VERSION, a, b, c, d], rest)) = bytes.split_first_chunk::<HEAD>() else {
        return Err(Refused::Malformed);
    };
    let (nonce, sealed) = rest.split_first_chunk::<NONCE_BYTES>().ok_or(Refused::Malformed)?;
    let known = keys.named(u32::from_le_bytes([a, b, c, d]));
    // A key that is not there costs the same work: what is missing can't be told by the clock.
    let payload = Payload { msg: sealed, aad: &bytes[..HEAD] };
    let plain = cipher(known.unwrap_or_default()).decrypt(&XNonce::from(*nonce), payload);
    if known.is_none() {
        return Err(Refused::UnknownKey);
    }
    let claims: Claims =
        postcard::from_bytes(&plain.map_err(|_| Refused::Forged)?).map_err(|_| Refused::Malformed)?;
    if claims.realm != realm {
        return Err(Refused::Foreign);
    }
    if now_ms >= claims.expires_ms {
        return Err(Refused::Expired);
    }
    Ok(claims)
}
