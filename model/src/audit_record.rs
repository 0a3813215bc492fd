use serde::{Deserialize, Serialize};

use crate::{Change, CommandId, Digest, Verdict, Version};

/// Audit record of one command, accepted or refused. Records are chained by hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Position in the replicated log.
    pub index: u64,
    /// Identity of the command.
    pub command_id: CommandId,
    /// Name of the operator.
    pub operator: String,
    /// Time of arrival at the leader, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Version that the operator looked at.
    pub base: Option<Version>,
    /// The change itself.
    pub change: Change,
    /// What became of it.
    pub verdict: Verdict,
    /// Hash over the previous record's hash and this record's other fields.
    pub chain: Digest,
}

impl AuditRecord {
    /// Returns the hash that [`AuditRecord::chain`] must hold when it follows `previous`.
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
