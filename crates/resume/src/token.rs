//! Resume tokens, which hold a stream's identity and positions.
//!
//! A token is the base64url encoding of claims sealed by `hopmoor_seal`. Any node with the key can continue
//! the stream from it; without the key a token can be neither read nor made. A client that presents a bad
//! token gets the same refusal whatever the reason, and a token sealed under an unknown key costs as much
//! work as a forged one.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hopmoor_seal::{Keys, Kind, UnsealError};
use serde::{Deserialize, Serialize};
use std::fmt;

pub use hopmoor_seal::NONCE_BYTES;

/// Maximum length of a token, in characters. Longer tokens are refused without being decoded.
pub const MAX_TOKEN_CHARS: usize = 1_024;

/// The contents of a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Site that issued the token; other sites refuse it.
    pub realm: String,
    /// Number of the stream.
    pub stream: u128,
    /// Class of the stream.
    pub class: String,
    /// Tenant of the stream.
    pub tenant: String,
    /// Service of the stream.
    pub service: String,
    /// Group of streams that share work, if the stream belongs to one.
    pub group: Option<u64>,
    /// Position up to which the member has acknowledged the client's messages.
    pub from_client: u64,
    /// Position up to which the client has acknowledged the member's messages.
    pub from_member: u64,
    /// Pool member that the stream was on.
    pub member: String,
    /// Number of hand-overs of the stream so far. If two clients present a token of the stream, the member
    /// accepts the one with the higher epoch.
    pub epoch: u64,
    /// When the token was issued, in Unix milliseconds.
    pub issued_ms: u64,
    /// When the token expires, in Unix milliseconds; it is refused from that millisecond on.
    pub expires_ms: u64,
}

/// The claims can't be sealed, because the token would exceed [`MAX_TOKEN_CHARS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenError;

/// Why a token was refused. For metrics and the log only; never sent to the client that presented the token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is not a token.
    Malformed,
    /// It is sealed under a key that this node does not have.
    UnknownKey,
    /// It was altered, or made without the key.
    Forged,
    /// It has expired.
    Expired,
    /// It belongs to another site.
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

/// Seals claims into a token. The nonce must be random and must never be reused.
///
/// # Errors
/// If the token would be longer than [`MAX_TOKEN_CHARS`].
pub fn seal(keys: &Keys, claims: &Claims, nonce: [u8; NONCE_BYTES]) -> Result<String, TokenError> {
    let plain = postcard::to_stdvec(claims).map_err(|_| TokenError)?;
    let sealed = hopmoor_seal::seal(keys, Kind::Token, &plain, nonce).ok_or(TokenError)?;
    let text = URL_SAFE_NO_PAD.encode(sealed);
    if text.len() <= MAX_TOKEN_CHARS { Ok(text) } else { Err(TokenError) }
}

/// Unseals a token and checks that it belongs to the site `realm` and has not expired at `now_ms`, in Unix
/// milliseconds.
///
/// # Errors
/// The reason for which the token is refused.
pub fn open(keys: &Keys, realm: &str, now_ms: u64, token: &str) -> Result<Claims, Refused> {
    if token.len() > MAX_TOKEN_CHARS {
        return Err(Refused::Malformed);
    }
    let bytes = URL_SAFE_NO_PAD.decode(token).map_err(|_| Refused::Malformed)?;
    let plain = hopmoor_seal::open(keys, Kind::Token, &bytes).map_err(|error| match error {
        UnsealError::Malformed => Refused::Malformed,
        UnsealError::UnknownKey => Refused::UnknownKey,
        UnsealError::Forged => Refused::Forged,
    })?;
    let claims: Claims = postcard::from_bytes(&plain).map_err(|_| Refused::Malformed)?;
    if claims.realm != realm {
        return Err(Refused::Foreign);
    }
    if now_ms >= claims.expires_ms {
        return Err(Refused::Expired);
    }
    Ok(claims)
}
