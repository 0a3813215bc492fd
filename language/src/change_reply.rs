use laburnumdeal_model::{CommandId, Verdict, Version};
use serde::{Deserialize, Serialize};

/// Outcome of a change and its rollout to the instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// Final outcome: accepted, refused, or what a dry run predicts.
    pub verdict: Verdict,
    /// Identifier of the command.
    pub command_id: CommandId,
    /// Version in force where the command was decided.
    pub version: Version,
    /// Instances on which the accepted version or a later one is in force.
    pub in_force: Vec<String>,
    /// Instances whose configuration lease has expired; they start no shift to other zones.
    pub fenced: Vec<String>,
    /// Instances that have not reported the version and are not fenced yet.
    pub unreachable: Vec<String>,
    /// Time from the arrival of the command to the answer.
    pub took_ms: u64,
}
