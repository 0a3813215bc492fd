use std::collections::VecDeque;
use std::sync::Arc;

use laburnumdeal_model::{AuditRecord, Change, Configuration, Digest, Term, Verdict, Version};
use serde::{Deserialize, Serialize};

use crate::answers::{Answers, short_text};
use crate::entry::steered_block_count;
use crate::undo::UndoHistory;
use crate::{Entry, Members, Payload, encoded_bytes, replay};

/// Maximum number of audit records kept in memory and in snapshots.
const MAX_RECORDS: usize = 4096;
/// Maximum number of steered blocks named by the audit records kept in memory and in snapshots.
const MAX_RECORD_BLOCKS: usize = 100_000;
/// Maximum encoded length of the audit records kept in memory and in snapshots, in bytes.
const MAX_RECORD_BYTES: u64 = 4 * 1024 * 1024;

/// State machine of the change log. Replicas that applied the same entries have equal states.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// Index of the last applied entry.
    pub index: u64,
    /// Term of the last applied entry.
    pub term: Term,
    /// Members as of the last applied entry.
    pub members: Members,
    /// Configuration in force.
    pub configuration: Arc<Configuration>,
    /// Chain hash of the last audit record.
    pub chain: Digest,
    /// Time of the last command, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Latest accepted change; named the winner in the refusal of a change that it superseded.
    pub winner: Option<LatestChange>,
    pub(crate) answers: Answers,
    pub(crate) undo: UndoHistory,
    records: VecDeque<Arc<AuditRecord>>,
    record_blocks: usize,
    /// Encoded length of `records`; `None` until it is needed after a snapshot was read. It is no part
    /// of the stored form, which older builds read too.
    #[serde(skip)]
    record_bytes: Option<u64>,
}

/// Latest accepted change, as shown to an operator whose change it superseded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatestChange {
    /// Text of the change, truncated when it is long.
    pub text: String,
    /// Operator who submitted it.
    pub operator: String,
}

impl State {
    /// Applies the next entry. Returns false if the entry does not continue the state: its index or
    /// version is out of order, or its audit record does not continue the hash chain.
    #[must_use]
    pub fn apply(&mut self, entry: &Entry) -> bool {
        if entry.index != self.index + 1 {
            return false;
        }
        match &entry.payload {
            Payload::Noop => {}
            Payload::Members(members) => self.members = members.clone(),
            Payload::Command(applied) => {
                if !self.apply_command(applied) {
                    return false;
                }
            }
        }
        self.index = entry.index;
        self.term = entry.term;
        true
    }

    /// Returns the next version with the contents of an earlier one, or `None` if those are no
    /// longer kept.
    pub fn reverted_to(&self, to: Version) -> Option<Configuration> {
        let earlier = self.undo.configuration_at(&self.configuration, to)?;
        Some(self.configuration.restore(&earlier))
    }

    /// Returns at most `limit` of the kept audit records starting at an index.
    pub fn records_from(&self, index: u64, limit: usize) -> Vec<AuditRecord> {
        let start = self.records.partition_point(|record| record.index < index);
        let records = self.records.iter().skip(start).take(limit);
        records.map(|record| AuditRecord::clone(record)).collect()
    }

    /// Returns the accepted changes after a version, or `None` if some are no longer kept or one of
    /// them is a revert, which cannot be replayed without the earlier versions.
    pub fn changes_since(&self, version: Version) -> Option<Vec<AuditRecord>> {
        let current = self.configuration.version;
        let missing = current.0.checked_sub(version.0)?;
        let mut changes = Vec::new();
        for record in self.records.iter().rev() {
            if changes.len() as u64 == missing {
                break;
            }
            if !matches!(record.verdict, Verdict::Accepted { .. }) {
                continue;
            }
            if matches!(record.change, Change::Revert { .. }) {
                return None;
            }
            changes.push(AuditRecord::clone(record));
        }
        changes.reverse();
        (changes.len() as u64 == missing).then_some(changes)
    }

    fn apply_command(&mut self, applied: &AuditRecord) -> bool {
        if applied.expected_chain(self.chain) != applied.chain {
            return false;
        }
        if let Verdict::Accepted { version } = applied.verdict {
            if version != self.configuration.version.next() {
                return false;
            }
            if !self.accept(applied, version) {
                return false;
            }
        }
        self.chain = applied.chain;
        self.at_ms = applied.at_ms;
        self.answers.insert(applied, self.configuration.version);
        self.keep_record(applied);
        true
    }

    fn accept(&mut self, applied: &AuditRecord, version: Version) -> bool {
        let next = match applied.change {
            Change::Revert { to } => match self.reverted_to(to) {
                Some(next) => next,
                None => return false,
            },
            ref change => {
                let mut next = Configuration::clone(&self.configuration);
                replay(&mut next, change, applied.at_ms, version);
                next
            }
        };
        self.undo.push(&self.configuration, &applied.change, &next);
        self.configuration = Arc::new(next);
        self.winner = Some(LatestChange {
            text: short_text(&applied.change),
            operator: applied.operator.clone(),
        });
        true
    }

    fn keep_record(&mut self, applied: &AuditRecord) {
        let kept_bytes = match self.record_bytes {
            Some(bytes) => bytes,
            None => self
                .records
                .iter()
                .map(|record| encoded_bytes(&**record))
                .sum(),
        };
        let mut record_bytes = kept_bytes + encoded_bytes(applied);
        self.record_blocks += steered_block_count(&applied.change);
        self.records.push_back(Arc::new(applied.clone()));
        while self.records.len() > MAX_RECORDS
            || self.record_blocks > MAX_RECORD_BLOCKS
            || record_bytes > MAX_RECORD_BYTES
        {
            let Some(oldest) = self.records.pop_front() else {
                break;
            };
            self.record_blocks -= steered_block_count(&oldest.change);
            record_bytes -= encoded_bytes(&*oldest);
        }
        self.record_bytes = Some(record_bytes);
    }
}
