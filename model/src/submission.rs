use serde::{Deserialize, Serialize};

use crate::{Change, CommandId, Version};

/// A change as an operator submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Identity of the command.
    pub command_id: CommandId,
    /// Name of the operator.
    pub operator: String,
    /// Version that the operator looked at; `None` accepts any.
    pub base: Option<Version>,
    /// Time of arrival at the leader, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Accepts consequences that are refused otherwise, such as a service without room.
    pub force: bool,
    /// Reports the outcome without making the change.
    pub dry_run: bool,
    /// The change itself.
    pub change: Change,
}
