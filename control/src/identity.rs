use std::fmt;

use laburnumdeal_model::Digest;
use serde::{Deserialize, Serialize};

/// Random identity of a replica, stored in its data folder. A replica that lost its disk gets a new
/// one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaIdentity(pub u128);

/// Identity of a cluster of replicas, which follows from those of its initial members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterId(pub u64);

impl ReplicaIdentity {
    /// Returns a new identity from the system's random number generator.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl ClusterId {
    /// Returns the identity of the cluster that these replicas bootstrap, given in the order of
    /// their names.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_control::{ClusterId, ReplicaIdentity};
    ///
    /// let members = [ReplicaIdentity(1), ReplicaIdentity(2)];
    /// assert_eq!(ClusterId::of(members), ClusterId::of(members));
    /// assert_ne!(ClusterId::of(members), ClusterId::of([ReplicaIdentity(1)]));
    /// ```
    pub fn of(initial_members: impl IntoIterator<Item = ReplicaIdentity>) -> Self {
        let identities = initial_members.into_iter();
        let bytes: Vec<[u8; 16]> = identities.map(|member| member.0.to_be_bytes()).collect();
        let Digest([a, b, c, d, e, f, g, h, ..]) = Digest::of(&[bytes.as_flattened()]);
        Self(u64::from_be_bytes([a, b, c, d, e, f, g, h]))
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
