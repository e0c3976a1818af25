//! Sealing keys, read from an operator's key file:
//!
//! ```json
//! {"seal_with": 2, "keys": [{"id": 1, "secret": "BASE64 of 32 bytes"}, {"id": 2, "secret": "..."}]}
//! ```
//!
//! To rotate: add a new key at all nodes, then set `seal_with` to it at all nodes, and remove the old key
//! once nothing sealed under it is in use.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;

/// Length of a key in bytes.
pub const KEY_BYTES: usize = 32;
/// Upper bound on the keys in a file.
const MAX_KEYS: usize = 64;

/// Keys by id, one of which seals. `Debug` shows the ids and no secret.
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

/// Why a key file is invalid. The text names the field at fault and contains no secret.
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
struct KeyFile {
    seal_with: u32,
    keys: Vec<KeyEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyEntry {
    id: u32,
    secret: String,
}

impl Keys {
    /// A single key, which is also the sealing key.
    pub fn new(id: u32, secret: [u8; KEY_BYTES]) -> Keys {
        Keys { seal_with: id, keys: BTreeMap::from([(id, secret)]) }
    }

    /// All keys of these sets, sealing with the key of this id; `None` if no set has it.
    pub fn merged(key_sets: &[Keys], seal_with: u32) -> Option<Keys> {
        let keys: BTreeMap<u32, [u8; KEY_BYTES]> =
            key_sets.iter().flat_map(|keys| keys.keys.clone()).collect();
        keys.contains_key(&seal_with).then_some(Keys { seal_with, keys })
    }

    /// The highest key id.
    pub fn newest_key_id(&self) -> u32 {
        self.keys.keys().next_back().copied().unwrap_or_default()
    }

    /// The id of the sealing key.
    pub fn sealing_key_id(&self) -> u32 {
        self.seal_with
    }

    /// The same keys, sealing with the key of this id; `None` if it is not among them.
    pub fn with_sealing_key(&self, id: u32) -> Option<Keys> {
        Keys::merged(std::slice::from_ref(self), id)
    }

    /// Only the key with this id, which seals; `None` if it is not among the keys.
    pub fn with_only_key(&self, id: u32) -> Option<Keys> {
        self.secret(id).map(|secret| Keys::new(id, secret))
    }

    /// The contents of a key file with these keys, as [`Keys::read`] takes them.
    pub fn file(&self) -> String {
        let keys: Vec<serde_json::Value> = self
            .keys
            .iter()
            .map(|(id, secret)| serde_json::json!({"id": id, "secret": STANDARD.encode(secret)}))
            .collect();
        serde_json::json!({"seal_with": self.seal_with, "keys": keys}).to_string() + "\n"
    }

    /// Parses the contents of a key file.
    ///
    /// # Errors
    /// If the file is invalid: one line that names the field at fault, or the position of a JSON error.
    pub fn read(json: &[u8]) -> Result<Keys, KeyError> {
        // serde's error text may quote a secret, so only the position is reported.
        let file: KeyFile = serde_json::from_slice(json).map_err(|error| {
            KeyError(format!("not a valid key file, at line {} column {}", error.line(), error.column()))
        })?;
        if file.keys.len() > MAX_KEYS {
            return Err(KeyError(format!("keys: more than {MAX_KEYS}")));
        }
        let mut keys = BTreeMap::new();
        for (at, key) in file.keys.iter().enumerate() {
            let bytes = STANDARD.decode(&key.secret).ok().and_then(|bytes| bytes.try_into().ok());
            let secret: [u8; KEY_BYTES] = bytes
                .ok_or_else(|| KeyError(format!("keys[{at}].secret: not the base64 of {KEY_BYTES} bytes")))?;
            if keys.insert(key.id, secret).is_some() {
                return Err(KeyError(format!("keys[{at}].id: {} is used twice", key.id)));
            }
        }
        if !keys.contains_key(&file.seal_with) {
            return Err(KeyError(format!("seal_with: no key {}", file.seal_with)));
        }
        Ok(Keys { seal_with: file.seal_with, keys })
    }

    /// The id and the secret of the sealing key.
    pub(crate) fn sealing_key(&self) -> (u32, [u8; KEY_BYTES]) {
        (self.seal_with, self.keys.get(&self.seal_with).copied().unwrap_or_default())
    }

    /// The secret of the key with this id.
    pub(crate) fn secret(&self, id: u32) -> Option<[u8; KEY_BYTES]> {
        self.keys.get(&id).copied()
    }
}

#[cfg(test)]
mod tests;
