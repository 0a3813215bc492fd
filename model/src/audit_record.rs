use serde::{Deserialize, Serialize};

use crate::{Change, CommandId, Digest, Verdict, Version};

/// Audit record of an operator's command, accepted or refused. The hash of each record covers
/// the hash of the one before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Position in the replicated log.
    pub index: u64,
    /// Identifier of the command.
    pub command_id: CommandId,
    /// Name of the operator.
    pub operator: String,
    /// Time of arrival at the leader, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Version that the operator based the change on; `None` accepted any.
    pub base: Option<Version>,
    /// Change that was submitted.
    pub change: Change,
    /// Verdict on the change.
    pub verdict: Verdict,
    /// Hash of the previous record's hash and this record's other fields.
    pub chain: Digest,
}

impl AuditRecord {
    /// Returns the value that [`AuditRecord::chain`] must have after a record whose hash is
    /// `previous`.
    pub fn expected_chain(&self, previous: Digest) -> Digest {
        let fields = (
            self.index,
            &self.command_id,
            &self.operator,
            self.at_ms,
            self.base,
            &self.change,
            &self.verdict,
        );
        let bytes = rmp_serde::to_vec(&fields).expect("plain data encodes");
        Digest::of(&[&previous.0, &bytes])
    }
}
