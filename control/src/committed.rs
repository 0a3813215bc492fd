use laburnumdeal_model::{Verdict, Version};
use serde::{Deserialize, Serialize};

/// Final answer to a submission that a majority has stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// Position of the command in the log; 0 for a dry run.
    pub index: u64,
    /// Time of arrival at the leader, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Version in force after the command.
    pub version: Version,
    /// What became of the command.
    pub verdict: Verdict,
    /// Whether this is the first answer, given again to a resend.
    pub repeated: bool,
}
