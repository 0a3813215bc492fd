use derive_more::{Display, Error, From};
use laburnumdeal_model::{CommandId, Refusal};
use serde::{Deserialize, Serialize};

/// Error of a submission that has no committed answer.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitError {
    /// This submission was not appended to any replica's log. An earlier one with the same id may
    /// have been.
    #[display("command was not run: {_0}")]
    NotRun(NotRun),
    /// The command may or may not be committed. Submitting it again with the same id returns its
    /// answer, or runs it if it was not committed.
    #[display("outcome of command {command_id} is unknown: {reason}; ask again with the same id")]
    #[from(ignore)]
    Unknown {
        /// Id of the submitted command.
        command_id: CommandId,
        /// Why the answer did not arrive.
        reason: String,
    },
}

/// Reason why a submission was not appended to the log.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRun {
    /// This replica knows no leader.
    #[display("no leader is known")]
    NoLeader,
    /// The replica that received the submission is not the established leader.
    #[display("the replica does not lead")]
    NotLeader,
    /// The leader has too few voters: no majority responds, so that it holds no valid lease, or the
    /// members tolerate fewer lost disks than the settings promise.
    #[display("the leader has too few voters")]
    NoLease,
    /// The replica is stopping.
    #[display("the replica is stopping")]
    Stopping,
    /// The leader refused the submission without recording it in the log.
    #[display("{_0}")]
    Refused(Refusal),
}
