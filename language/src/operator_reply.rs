use derive_more::From;
use laburnumdeal_model::{Applied, CommandId};
use serde::{Deserialize, Serialize};

use crate::{ChangeReply, ErrorReply, Table};

/// Answer of an instance to an operator's command, in JSON with the kind in the field `kind`.
#[derive(Clone, Debug, From, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OperatorReply {
    /// Answer to a query.
    Table(Table),
    /// Outcome of a change.
    Verdict(ChangeReply),
    /// The change may or may not have been accepted; a resend under the same id tells.
    #[from(skip)]
    Unknown {
        /// Identity of the change.
        command_id: CommandId,
        /// Why the outcome is not known.
        reason: String,
    },
    /// The command did not run and never will by itself.
    #[from(skip)]
    NotRun {
        /// Why it did not run.
        reason: String,
        /// Time after which another attempt makes sense.
        retry_after_ms: u64,
    },
    /// The command is not valid or not allowed; it did not run.
    Error(ErrorReply),
    /// Page of audit records; an empty one ends the trail.
    #[from(skip)]
    Audit {
        /// Records in the order of the log.
        records: Vec<Applied>,
    },
}
