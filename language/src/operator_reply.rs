use derive_more::From;
use laburnumdeal_model::{AuditRecord, CommandId};
use serde::{Deserialize, Serialize};

use crate::{ChangeReply, ErrorReply, Table};

/// Reply of an instance to an operator's command. In JSON, the field `kind` names the variant.
#[derive(Clone, Debug, From, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OperatorReply {
    /// Result of a query.
    Table(Table),
    /// Outcome of a change.
    Verdict(ChangeReply),
    /// The change may or may not have been accepted; resending it under the same id returns the
    /// outcome.
    #[from(skip)]
    Unknown {
        /// Identifier of the change.
        command_id: CommandId,
        /// Why the outcome is unknown.
        reason: String,
    },
    /// The command did not run and will not run unless it is sent again.
    #[from(skip)]
    NotRun {
        /// Why it did not run.
        reason: String,
        /// Time to wait before sending the command again.
        retry_after_ms: u64,
    },
    /// The command is not valid or not allowed; it did not run.
    Error(ErrorReply),
    /// Page of audit records; an empty page marks the end of the trail.
    #[from(skip)]
    Audit {
        /// Records in the order of the log.
        records: Vec<AuditRecord>,
    },
}
