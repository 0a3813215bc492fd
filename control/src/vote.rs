use laburnumdeal_model::Term;
use serde::{Deserialize, Serialize};

use crate::ReplicaIdentity;

/// Newest term known to a replica and its vote in that term. It is synced to disk before any other
/// replica learns of either.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Newest term that the replica knows.
    pub term: Term,
    /// Replica that was granted the vote in this term.
    pub voted_for: Option<ReplicaIdentity>,
}
