use derive_more::{Display, Error, From};
use laburnumdeal_model::{CommandId, Refusal};
use serde::{Deserialize, Serialize};

/// Reports that a submission has no committed answer.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitError {
    /// This submission appended nothing anywhere. An earlier one with the same id may have.
    #[display("command was not run: {_0}")]
    NotRun(NotRun),
    /// The command may be committed or not; the same id asks for its answer.
    #[display("outcome of command {command_id} is unknown: {reason}; ask again with the same id")]
    #[from(ignore)]
    Unknown {
        /// Command as given.
        command_id: CommandId,
        /// What went wrong.
        reason: String,
    },
}

/// Reason why a submission was not run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRun {
    /// No leader is known.
    #[display("no leader is known")]
    NoLeader,
    /// The replica that was taken for the leader does not lead.
    #[display("the replica does not lead")]
    NotLeader,
    /// The leader cannot reach a majority.
    #[display("the leader cannot reach a majority")]
    NoLease,
    /// The replica is stopping.
    #[display("the replica is stopping")]
    Stopping,
    /// The leader refuses it without a record.
    #[display("{_0}")]
    Refused(Refusal),
}
