use laburnumdeal_model::{Term, Version};

/// Proof by a leader with a valid lease of what is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderProof {
    /// Term in which the replica leads.
    pub term: Term,
    /// Committed version; it includes every change that was confirmed before the proof was asked
    /// for.
    pub version: Version,
}
