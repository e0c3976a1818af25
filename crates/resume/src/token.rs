//! Tokens: what a stream was and how far it had come, sealed so that any node with the key can go on from it and nobody
//! else can make or read one: base64url of what `hopmoor_seal` makes of the claims. Who presents a token hears one refusal whatever is wrong with it, and a
//! token under a key that is not there costs the same work as a forged one.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hopmoor_seal::{Keys, Kind, UnsealError};
use serde::{Deserialize, Serialize};
use std::fmt;

pub use hopmoor_seal::NONCE_BYTES;

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

/// Seals claims. The nonce must be random and new each time.
///
/// # Errors
/// If the token would be over [`LONGEST`] characters.
pub fn seal(keys: &Keys, claims: &Claims, nonce: [u8; NONCE_BYTES]) -> Result<String, TokenError> {
    let plain = postcard::to_stdvec(claims).map_err(|_| TokenError)?;
    let sealed = hopmoor_seal::seal(keys, Kind::Token, &plain, nonce).ok_or(TokenError)?;
    let text = URL_SAFE_NO_PAD.encode(sealed);
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
    let plain = hopmoor_seal::open(keys, Kind::Token, &bytes).map_err(|why| match why {
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
