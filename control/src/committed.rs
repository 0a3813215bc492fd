use laburnumdeal_model::{Verdict, Version};
use serde::{Deserialize, Serialize};

/// Final answer to a submission: committed, or given at once for a dry run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// Index of the command in the log; 0 for a dry run.
    pub index: u64,
    /// Time when the leader decided the command, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Version of the configuration after the command.
    pub version: Version,
    /// Whether the command was accepted, or why it was refused.
    pub verdict: Verdict,
    /// Whether the command had been answered before and this repeats its first answer.
    pub repeated: bool,
}
