use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Reports why a replacement of a replica was not finished.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplaceError {
    /// No leader with a lease could be asked.
    #[display("no leader can replace a replica now")]
    NoLeader,
    /// The instance runs no voter.
    #[display("instance {instance:?} runs no replica that votes")]
    NotAVoter {
        /// Instance as given.
        instance: String,
    },
    /// The new instance runs a voter already.
    #[display("instance {instance:?} runs a replica that votes already")]
    AlreadyAVoter {
        /// Instance as given.
        instance: String,
    },
    /// Another replacement is under way.
    #[display(
        "the replica on instance {instance:?} is being brought in; one replacement at a time"
    )]
    UnderWay {
        /// Instance that is being brought in.
        instance: String,
    },
    /// Without the old replica too few voters answer.
    #[display(
        "only {live} of the other voters answer, but {needed} must; replacing would endanger the majority"
    )]
    Endangered {
        /// Other voters that answer.
        live: usize,
        /// Other voters that must.
        needed: usize,
    },
    /// The new instance gives no answer.
    #[display("instance {instance:?} gives no answer")]
    Unreachable {
        /// Instance as given.
        instance: String,
    },
    /// The outcome is not known.
    #[display("outcome of the replacement is unknown: {reason}")]
    Unknown {
        /// What went wrong.
        reason: String,
    },
}
