use std::sync::Arc;

use laburnumdeal_model::{AuditRecord, Digest};

use crate::files::{AUDIT_PREFIX, audit_name, decode_file};
use crate::volatile_state::VolatileState;
use crate::{Disk, Entry, Payload, StorageError};

/// Inclusive range of log entries whose audit records are stored in one file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AuditRange {
    /// First index.
    pub first: u64,
    /// Last index.
    pub last: u64,
}

/// Audit records of a replica as of one moment: stored in files up to the snapshot, and taken from
/// the log after it.
pub(crate) struct AuditTrail {
    files: Vec<AuditRange>,
    snapshot_index: u64,
    commit_index: u64,
    recent: Vec<Arc<Entry>>,
}

/// Contiguous audit records.
pub(crate) struct Records {
    /// Records by ascending index.
    pub list: Vec<AuditRecord>,
    /// Last log index covered; the entries up to it that have no record are not commands.
    pub through_index: u64,
    /// Why reading ended early, if a file could not be read.
    pub error: Option<StorageError>,
}

impl AuditTrail {
    /// Captures the audit trail of the current state.
    pub fn new(volatile: &VolatileState) -> Self {
        let committed = volatile.commit_index - volatile.snapshot_index;
        let recent = volatile.entries.iter().take(committed as usize);
        Self {
            files: volatile.audit_files.clone(),
            snapshot_index: volatile.snapshot_index,
            commit_index: volatile.commit_index,
            recent: recent.cloned().collect(),
        }
    }

    /// Reads at most `limit` records starting at an index, stopping at the first gap.
    pub fn read<D: Disk>(&self, disk: &D, from_index: u64, limit: usize) -> Records {
        let mut records = Records {
            list: Vec::new(),
            through_index: from_index.max(1) - 1,
            error: None,
        };
        for range in &self.files {
            let next = records.through_index + 1;
            if range.last < next {
                continue;
            }
            if range.first > next || records.list.len() >= limit {
                break;
            }
            match decode_file::<D, Vec<AuditRecord>>(disk, &audit_name(*range)) {
                Ok(list) => {
                    let wanted = list.into_iter().filter(|record| record.index >= next);
                    records.list.extend(wanted);
                    records.through_index = range.last;
                }
                Err(error) => {
                    records.error = Some(error);
                    break;
                }
            }
        }
        if records.through_index >= self.snapshot_index {
            let next = records.through_index + 1;
            records.list.extend(audit_records_of(&self.recent, next));
            records.through_index = records.through_index.max(self.commit_index);
        }
        if records.list.len() > limit {
            records.list.truncate(limit);
            records.through_index = records.list.last().map_or(0, |record| record.index);
        }
        records
    }

    /// Returns the chain hash of the last stored record before an index, or the default digest if
    /// there is no such record; `None` when a file cannot be read.
    pub fn chain_before<D: Disk>(&self, disk: &D, index: u64) -> Option<Digest> {
        let earlier = self.files.iter().rev().filter(|range| range.last < index);
        for range in earlier {
            let list: Vec<AuditRecord> = decode_file(disk, &audit_name(*range)).ok()?;
            if let Some(last) = list.last() {
                return Some(last.chain);
            }
        }
        Some(Digest::default())
    }
}

impl AuditRange {
    /// Parses the range from the name of an audit record file.
    pub(crate) fn parse(name: &str) -> Option<Self> {
        let (first, last) = name.strip_prefix(AUDIT_PREFIX)?.split_once('-')?;
        Some(Self {
            first: first.parse().ok()?,
            last: last.parse().ok()?,
        })
    }
}

/// Returns the first range of indexes up to the snapshot whose records are not in any file.
pub(crate) fn first_gap(files: &[AuditRange], snapshot_index: u64) -> Option<AuditRange> {
    let mut first = 1;
    for range in files {
        if range.first > first {
            let last = range.first - 1;
            return Some(AuditRange { first, last });
        }
        first = first.max(range.last + 1);
    }
    let last = snapshot_index;
    (first <= last).then_some(AuditRange { first, last })
}

/// Returns the audit records of the command entries starting at an index.
pub(crate) fn audit_records_of(entries: &[Arc<Entry>], from_index: u64) -> Vec<AuditRecord> {
    let later = entries.iter().filter(|entry| entry.index >= from_index);
    let records = later.filter_map(|entry| match &entry.payload {
        Payload::Command(applied) => Some(AuditRecord::clone(applied)),
        _ => None,
    });
    records.collect()
}

/// Returns whether records continue a hash chain that ends with `chain`.
pub(crate) fn continues(mut chain: Digest, records: &[AuditRecord]) -> bool {
    records.iter().all(|record| {
        let is_valid = record.expected_chain(chain) == record.chain;
        chain = record.chain;
        is_valid
    })
}
