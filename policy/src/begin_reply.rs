use std::sync::Arc;

use crate::{Claim, RunningClaim, StoredAnswer, UnknownReason};

/// Answer of the home to a request with a key.
#[derive(Debug)]
pub enum BeginReply {
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
