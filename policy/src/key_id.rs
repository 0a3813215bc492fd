use std::fmt;

use serde::{Deserialize, Serialize};

/// 128-bit hash of the complete text of a request key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyId([u64; 2]);

impl KeyId {
    /// Returns the id of a key text.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_policy::KeyId;
    ///
    /// assert_eq!(KeyId::of("rent-7"), KeyId::of("rent-7"));
    /// assert_ne!(KeyId::of("rent-7"), KeyId::of("rent-8"));
    /// ```
    pub fn of(text: &str) -> Self {
        let hash = blake3::hash(text.as_bytes());
        let mut halves = [[0; 8]; 2];
        halves[0].copy_from_slice(&hash.as_bytes()[..8]);
        halves[1].copy_from_slice(&hash.as_bytes()[8..16]);
        Self(halves.map(u64::from_be_bytes))
    }

    /// Returns the hash as bytes.
    pub fn to_bytes(self) -> [u8; 16] {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.0[0].to_be_bytes());
        bytes[8..].copy_from_slice(&self.0[1].to_be_bytes());
        bytes
    }
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0[0], self.0[1])
    }
}

impl fmt::Debug for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyId({:08x})", self.0[0] >> 32)
    }
}
