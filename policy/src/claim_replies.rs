use std::sync::Arc;

use derive_more::Display;
use laburnumdeal_model::BootId;
use serde::{Deserialize, Serialize};

use crate::{Claim, Outcome, RunningClaim, StoredAnswer};

/// Answer of the home to a request with a key.
#[derive(Debug)]
pub enum Begin {
    /// The key is new and claimed on the home; the mirror comes next.
    Claimed(Claim),
    /// The key is in flight here; the handle resolves to its finish.
    Running(RunningClaim),
    /// The request ran; this is its answer.
    Finished(Arc<StoredAnswer>),
    /// The request may have run, and its answer is not kept.
    AlreadyRan,
    /// The request did not run and never will.
    Fenced,
    /// This instance cannot tell.
    Unknown(UnknownReason),
    /// The key belongs to another request.
    KeyReused,
}

/// Reason why an instance cannot tell what became of a key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The key belongs to another instance, or to another run of this one.
    #[display("the key belongs to another instance or to an earlier run of it")]
    OtherRun,
    /// Records as old as the token were evicted.
    #[display("records as old as the token were evicted")]
    BelowFloor,
    /// This run does not know the earlier keys without a token yet.
    #[display("this run does not know the earlier keys yet")]
    NotSynced,
    /// The instance has handed its claims over and stops.
    #[display("the instance has handed its claims over and stops")]
    Stopped,
    /// No room for a further key without a token.
    #[display("no room for a further key without a token")]
    Full,
}

/// Answer of the mirror to a claim by the home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MirrorReply {
    /// The key is claimed here for this run of the home.
    Claimed {
        /// Run of the instance that claimed.
        mirror_boot: BootId,
    },
    /// The key is fenced here and never runs.
    Fenced,
    /// Another run of the home claimed the key here.
    ClaimedByOther,
    /// This instance cannot claim for the pair.
    Unknown(UnknownReason),
}

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
