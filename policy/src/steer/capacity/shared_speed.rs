use serde::{Deserialize, Serialize};

/// How long answers of an upstream took, in a report to other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedSpeed {
    /// Hash of the upstream's identity.
    pub upstream: u64,
    /// Number of answers.
    pub answers: u32,
    /// Mean of their times, in percent of what is usual for the service.
    pub percent: u32,
    /// Time since the newest of them.
    pub age_ms: u32,
}
