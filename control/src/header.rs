use laburnumdeal_model::Term;
use serde::{Deserialize, Serialize};

use crate::{ClusterId, ReplicaIdentity};

/// Fields of every request that changes what a replica stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Replicated log that the sender belongs to.
    pub cluster: ClusterId,
    /// Term of the sender.
    pub term: Term,
    /// Identity of the sender.
    pub sender: ReplicaIdentity,
    /// Identity that the sender knows the receiver by.
    pub receiver: ReplicaIdentity,
}
