use std::sync::Arc;

use crate::{Outcome, StoredAnswer};

/// Result of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The request ran and was answered.
    Answer(Arc<StoredAnswer>),
    /// The request did not run and will never run under its key.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl ClaimResult {
    /// Returns the outcome to report to the caller.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Answer(_) => Outcome::Answer,
            Self::NotRun => Outcome::NotRun,
            Self::Unknown => Outcome::Unknown,
        }
    }
}
