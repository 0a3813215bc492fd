use std::sync::Arc;

use crate::{Outcome, StoredAnswer};

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// It ran; this is its answer.
    Answer(Arc<StoredAnswer>),
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl ClaimResult {
    /// Returns what the caller may be told.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Answer(_) => Outcome::Answer,
            Self::NotRun => Outcome::NotRun,
            Self::Unknown => Outcome::Unknown,
        }
    }
}
