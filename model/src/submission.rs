use serde::{Deserialize, Serialize};

use crate::{Change, CommandId, Version};

/// A change that an operator submits, with the conditions for accepting it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Identifier of the command.
    pub command_id: CommandId,
    /// Name of the operator.
    pub operator: String,
    /// Version that the operator based the change on; `None` accepts any.
    pub base: Option<Version>,
    /// Time of arrival at the leader, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Whether to accept consequences that are refused otherwise, such as a service without usable
    /// upstreams.
    pub force: bool,
    /// Whether to report the outcome without making the change.
    pub dry_run: bool,
    /// Change to make.
    pub change: Change,
}
