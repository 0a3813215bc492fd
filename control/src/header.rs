use laburnumdeal_model::Term;
use serde::{Deserialize, Serialize};

use crate::{ClusterId, ReplicaIdentity};

/// Common header of the requests that may change what a replica stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Cluster that the sender belongs to.
    pub cluster: ClusterId,
    /// Term of the request; a pre-vote names the term that would follow.
    pub term: Term,
    /// Identity of the sender.
    pub sender: ReplicaIdentity,
    /// Identity that the sender expects the receiver to have.
    pub receiver: ReplicaIdentity,
}
