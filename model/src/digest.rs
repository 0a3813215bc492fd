use std::fmt;

use serde::{Deserialize, Serialize};

/// BLAKE3 hash, used to compare the state of instances and to chain audit records.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Hashes the concatenation of byte strings.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_model::Digest;
    ///
    /// assert_eq!(Digest::of(&[b"ab", b"c"]), Digest::of(&[b"abc"]));
    /// ```
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({})", hex::encode(&self.0[..4]))
    }
}
