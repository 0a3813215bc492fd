use laburnumdeal_model::{CommandId, Verdict, Version};
use serde::{Deserialize, Serialize};

/// Outcome of a change and how far it has spread.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// Final outcome.
    pub verdict: Verdict,
    /// Identity of the command.
    pub command_id: CommandId,
    /// Version in force where the command was answered.
    pub version: Version,
    /// Instances that hold the version.
    pub in_force: Vec<String>,
    /// Instances whose lease has run out; they start no shift.
    pub fenced: Vec<String>,
    /// Instances that could not be asked.
    pub unreachable: Vec<String>,
    /// Time from the arrival of the command to the answer.
    pub took_ms: u64,
}
