use laburnumdeal_model::Term;
use serde::{Deserialize, Serialize};

use crate::ReplicaIdentity;

/// Newest term of a replica and its vote in it; synced before either is told to anyone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Newest term.
    pub term: Term,
    /// Replica that has the vote in this term.
    pub voted_for: Option<ReplicaIdentity>,
}
