use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error};
use laburnumdeal_model::Digest;

/// Reports why the verification of an audit trail failed.
#[derive(Debug, Display, Error)]
pub enum AuditError {
    /// The hash of a record does not match: it or a record before it was altered or removed.
    #[display("audit record {index} breaks the chain: it holds {found}, expected {expected}")]
    HashMismatch {
        /// Log index of the record.
        index: u64,
        /// Hash stored in the record.
        found: Digest,
        /// Hash computed from the previous record's hash and this record's fields.
        expected: Digest,
    },
    /// The first record does not begin the trail or was altered; the hashes of all later records
    /// match.
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
    /// The log index of a record is not greater than that of the previous record.
    #[display("audit record {index} does not follow record {previous}")]
    OutOfOrder {
        /// Log index of the record.
        index: u64,
        /// Log index of the previous record.
        previous: u64,
    },
    /// The file could not be read.
    #[display("audit file {}: {source}", file.display())]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A line of the file is not a valid record.
    #[display("audit file {} line {line}: {source}", file.display())]
    InvalidRecord {
        /// Path of the file.
        file: PathBuf,
        /// Line number, starting at 1.
        line: usize,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}
