use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Outcome, StoredAnswer, UnknownReason};

/// Answer of either of the pair to a fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceReply {
    /// The request did not run and never will.
    Fenced,
    /// The request may have run.
    Claimed,
    /// The request ran; this is its answer.
    Finished(Arc<StoredAnswer>),
    /// The key belongs to another request.
    KeyReused,
    /// This instance cannot tell.
    Unknown(UnknownReason),
}

impl FenceReply {
    /// Returns what the caller may be told; `None` for a key of another request.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Fenced => Some(Outcome::NotRun),
            Self::Finished(_) => Some(Outcome::Answer),
            Self::Claimed | Self::Unknown(_) => Some(Outcome::Unknown),
            Self::KeyReused => None,
        }
    }
}
