use std::fmt;

use serde::{Deserialize, Serialize};

/// Random identity of one replica's folder. A replica that lost its disk has another one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaIdentity(pub u128);

/// Identity of one replicated log, fixed when its first members were written down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterId(pub u64);

impl ReplicaIdentity {
    /// Returns an identity that no other folder has, from the system's generator.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for ReplicaIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for ReplicaIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ReplicaIdentity({:08x})", self.0 >> 96)
    }
}
