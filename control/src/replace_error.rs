use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Error of a replacement of a replica that was not completed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplaceError {
    /// No leader with a valid lease is known.
    #[display("no leader can replace a replica now")]
    NoLeader,
    /// The instance to replace runs no voter.
    #[display("instance {instance:?} runs no replica that votes")]
    NotAVoter {
        /// Name of the requested instance.
        instance: String,
    },
    /// The new instance already runs a voter.
    #[display("instance {instance:?} runs a replica that votes already")]
    AlreadyAVoter {
        /// Name of the requested instance.
        instance: String,
    },
    /// Another replacement is in progress.
    #[display(
        "the replica on instance {instance:?} is being brought in; one replacement at a time"
    )]
    UnderWay {
        /// Name of the instance whose replica is being added.
        instance: String,
    },
    /// Without the old replica, too few voters respond to form a majority.
    #[display(
        "only {live} of the other voters answer, but {needed} must; replacing would endanger the majority"
    )]
    Endangered {
        /// Number of other voters that respond.
        live: usize,
        /// Number of other voters that must respond.
        needed: usize,
    },
    /// The new instance does not respond.
    #[display("instance {instance:?} gives no answer")]
    Unreachable {
        /// Name of the requested instance.
        instance: String,
    },
    /// The replacement may or may not be completed.
    #[display("outcome of the replacement is unknown: {reason}")]
    Unknown {
        /// Why the outcome is unknown.
        reason: String,
    },
}
