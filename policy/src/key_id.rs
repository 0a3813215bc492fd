use std::fmt;

use serde::{Deserialize, Serialize};

/// 128-bit hash of the whole text of a request key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyId(pub u128);

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
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.as_bytes()[..16]);
        Self(u128::from_le_bytes(bytes))
    }
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyId({:08x})", self.0 >> 96)
    }
}
