use std::sync::Arc;

use crate::{Claim, RunningClaim, StoredAnswer, UnknownReason};

/// Reply of the home to a request with a key.
#[derive(Debug)]
pub enum BeginReply {
    /// The key was new and is now claimed on the home; the mirror must claim it next.
    Claimed(Claim),
    /// A request with the key is in flight here; the handle waits for its result.
    Running(RunningClaim),
    /// The request ran and its answer is stored.
    Finished(Arc<StoredAnswer>),
    /// The request may have run and no answer is stored.
    AlreadyRan,
    /// The request did not run and will never run under this key.
    Fenced,
    /// This instance does not know whether the request ran.
    Unknown(UnknownReason),
    /// The key was used for a request with another fingerprint.
    KeyReused,
}
