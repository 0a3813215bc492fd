use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error};
use laburnumdeal_model::Digest;

/// Reports the first record of an audit trail that is not as it was written.
#[derive(Debug, Display, Error)]
pub enum AuditError {
    /// A record, or one before it, was changed or removed.
    #[display("audit record {index} breaks the chain: it holds {found}, expected {expected}")]
    HashMismatch {
        /// Log index of the record.
        index: u64,
        /// Hash that the record holds.
        found: Digest,
        /// Hash over the record before it and its own fields.
        expected: Digest,
    },
    /// The first record is not the trail's first; all after it are as they were written.
    #[display(
        "audit records {first} to {last} follow each other, but those before {first} are missing \
         or it was altered; check the records saved since the start"
    )]
    Incomplete {
        /// Log index of the first record.
        first: u64,
        /// Log index of the last record.
        last: u64,
    },
    /// A record does not follow the one before it.
    #[display("audit record {index} does not follow record {previous}")]
    OutOfOrder {
        /// Log index of the record.
        index: u64,
        /// Log index of the record before it.
        previous: u64,
    },
    /// The file could not be read.
    #[display("audit file {}: {source}", file.display())]
    Read {
        /// File as given.
        file: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// A line of the file is no record.
    #[display("audit file {} line {line}: {source}", file.display())]
    InvalidRecord {
        /// File as given.
        file: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Error of the record.
        source: serde_json::Error,
    },
}
