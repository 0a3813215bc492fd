use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Outcome, StoredAnswer, UnknownReason};

/// Reply of home or mirror to a fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceReply {
    /// The request did not run and will never run under this key.
    Fenced,
    /// The request may have run.
    Claimed,
    /// The request ran and its answer is stored.
    Finished(Arc<StoredAnswer>),
    /// The key was used for a request with another fingerprint.
    KeyReused,
    /// This instance does not know whether the request ran.
    Unknown(UnknownReason),
}

impl FenceReply {
    /// Returns the outcome to report to the caller; `None` if the key was used for another request.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Fenced => Some(Outcome::NotRun),
            Self::Finished(_) => Some(Outcome::Answer),
            Self::Claimed | Self::Unknown(_) => Some(Outcome::Unknown),
            Self::KeyReused => None,
        }
    }
}
