use std::fmt;

use serde::{Deserialize, Serialize};

/// Random identity of a replica, stored in its data folder. A replica that lost its disk gets a new
/// one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaIdentity(pub u128);

/// Identity of a cluster of replicas, chosen when it is bootstrapped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterId(pub u64);

impl ReplicaIdentity {
    /// Returns a new identity from the system's random number generator.
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
