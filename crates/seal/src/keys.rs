//! Keys, from a file as operators keep one:
//!
//! ```json
//! {"seal_with": 2, "keys": [{"id": 1, "secret": "BASE64 of 32 bytes"}, {"id": 2, "secret": "..."}]}
//! ```
//!
//! To rotate, a new key is added at all nodes, then `seal_with` is turned to it, and the old one is taken out once
//! nothing sealed under it is about any more.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;

/// Bytes of a key.
pub const KEY_BYTES: usize = 32;
/// Keys in a file, at most.
const MOST: usize = 64;

/// Keys by their numbers. Secrets are never shown.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    seal_with: u32,
    keys: BTreeMap<u32, [u8; KEY_BYTES]>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ids: Vec<u32> = self.keys.keys().copied().collect();
        f.debug_struct("Keys").field("seal_with", &self.seal_with).field("ids", &ids).finish()
    }
}

/// What is wrong with a file of keys; it names the field and no secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyError(pub String);

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for KeyError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    seal_with: u32,
    keys: Vec<RawKey>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKey {
    id: u32,
    secret: String,
}

impl Keys {
    /// One key, which seals.
    pub fn new(id: u32, secret: [u8; KEY_BYTES]) -> Keys {
        Keys { seal_with: id, keys: BTreeMap::from([(id, secret)]) }
    }

    /// The keys of several, one of which seals; `None` if that is not among them.
    pub fn merged(several: &[Keys], seal_with: u32) -> Option<Keys> {
        let keys: BTreeMap<u32, [u8; KEY_BYTES]> =
            several.iter().flat_map(|keys| keys.keys.clone()).collect();
        keys.contains_key(&seal_with).then_some(Keys { seal_with, keys })
    }

    /// The highest number.
    pub fn newest_key_id(&self) -> u32 {
        self.keys.keys().next_back().copied().unwrap_or_default()
    }

    /// The number of the key that seals.
    pub fn sealing_key_id(&self) -> u32 {
        self.seal_with
    }

    /// The same keys, of which another one seals; `None` if that is not among them.
    pub fn with_sealing_key(&self, id: u32) -> Option<Keys> {
        Keys::merged(std::slice::from_ref(self), id)
    }

    /// One of them alone.
    pub fn with_only_key(&self, id: u32) -> Option<Keys> {
        self.named(id).map(|secret| Keys::new(id, secret))
    }

    /// The file that says the same, as [`Keys::read`] takes it.
    pub fn file(&self) -> String {
        let keys: Vec<serde_json::Value> = self
            .keys
            .iter()
            .map(|(id, secret)| serde_json::json!({"id": id, "secret": STANDARD.encode(secret)}))
            .collect();
        serde_json::json!({"seal_with": self.seal_with, "keys": keys}).to_string() + "\n"
    }

    /// Reads a file's text.
    ///
    /// # Errors
    /// One line that names the field at fault.
    pub fn read(json: &[u8]) -> Result<Keys, KeyError> {
        // serde's own words may quote a secret: only where it went wrong is told.
        let raw: Raw = serde_json::from_slice(json).map_err(|error| {
            KeyError(format!("not a file of keys, at line {} column {}", error.line(), error.column()))
        })?;
        if raw.keys.len() > MOST {
            return Err(KeyError(format!("keys: more than {MOST}")));
        }
        let mut keys = BTreeMap::new();
        for (at, key) in raw.keys.iter().enumerate() {
            let bytes = STANDARD.decode(&key.secret).ok().and_then(|bytes| bytes.try_into().ok());
            let secret: [u8; KEY_BYTES] = bytes
                .ok_or_else(|| KeyError(format!("keys[{at}].secret: not the base64 of {KEY_BYTES} bytes")))?;
            if keys.insert(key.id, secret).is_some() {
                return Err(KeyError(format!("keys[{at}].id: {} stands there twice", key.id)));
            }
        }
        if !keys.contains_key(&raw.seal_with) {
            return Err(KeyError(format!("seal_with: no key {}", raw.seal_with)));
        }
        Ok(Keys { seal_with: raw.seal_with, keys })
    }

    /// The key that is sealed with, and its number.
    pub(crate) fn sealing(&self) -> (u32, [u8; KEY_BYTES]) {
        (self.seal_with, self.keys.get(&self.seal_with).copied().unwrap_or_default())
    }

    /// A key by its number.
    pub(crate) fn named(&self, id: u32) -> Option<[u8; KEY_BYTES]> {
        self.keys.get(&id).copied()
    }
}

#[cfg(test)]
mod tests;
