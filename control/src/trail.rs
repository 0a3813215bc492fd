use std::sync::Arc;

use laburnumdeal_model::{Applied, Digest};

use crate::files::{AUDIT_PREFIX, audit_name, decode_one};
use crate::volatile::Volatile;
use crate::{Disk, Entry, Payload, StorageError};

/// Indexes of log entries whose audit records are in one file, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AuditRange {
    /// First index.
    pub first: u64,
    /// Last index.
    pub last: u64,
}

/// Where the audit records of a replica are: in files up to its snapshot, in the log after it.
pub(crate) struct Trail {
    files: Vec<AuditRange>,
    snapshot_index: u64,
    commit_index: u64,
    recent: Vec<Arc<Entry>>,
}

/// Audit records without a gap.
pub(crate) struct Records {
    /// Records in order.
    pub list: Vec<Applied>,
    /// Last index that they cover.
    pub through_index: u64,
    /// File that could not be read.
    pub error: Option<StorageError>,
}

impl Trail {
    /// Returns the trail as of now.
    pub fn new(volatile: &Volatile) -> Self {
        let committed = volatile.commit_index - volatile.snapshot_index;
        let recent = volatile.entries.iter().take(committed as usize);
        Self {
            files: volatile.audit_files.clone(),
            snapshot_index: volatile.snapshot_index,
            commit_index: volatile.commit_index,
            recent: recent.cloned().collect(),
        }
    }

    /// Reads at most `limit` records from an index on, up to the first gap.
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
            match decode_one::<D, Vec<Applied>>(disk, &audit_name(*range)) {
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
            records.list.extend(commands(&self.recent, next));
            records.through_index = records.through_index.max(self.commit_index);
        }
        if records.list.len() > limit {
            records.list.truncate(limit);
            records.through_index = records.list.last().map_or(0, |record| record.index);
        }
        records
    }
}

impl AuditRange {
    /// Returns the range that a file's name tells.
    pub(crate) fn parse(name: &str) -> Option<Self> {
        let (first, last) = name.strip_prefix(AUDIT_PREFIX)?.split_once('-')?;
        Some(Self {
            first: first.parse().ok()?,
            last: last.parse().ok()?,
        })
    }
}

/// Returns the first indexes up to the snapshot whose records are in no file.
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

/// Returns the audit records of entries from an index on.
pub(crate) fn commands(entries: &[Arc<Entry>], from_index: u64) -> Vec<Applied> {
    let later = entries.iter().filter(|entry| entry.index >= from_index);
    let records = later.filter_map(|entry| match &entry.payload {
        Payload::Command(applied) => Some(Applied::clone(applied)),
        _ => None,
    });
    records.collect()
}

/// Returns whether records continue a chain.
pub(crate) fn continues(mut chain: Digest, records: &[Applied]) -> bool {
    records.iter().all(|record| {
        let fits = record.expected_chain(chain) == record.chain;
        chain = record.chain;
        fits
    })
}
