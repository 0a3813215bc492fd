use std::io;

use derive_more::{Display, Error};

/// Reports why the data folder could not be read or written.
#[derive(Debug, Display, Error)]
pub enum StorageError {
    /// There is no room for a write; what was stored before is whole.
    #[display("no room to write {file:?} in the data folder")]
    Full {
        /// File that was written.
        file: String,
    },
    /// An operation on a file failed.
    #[display("cannot {operation} {file:?} in the data folder: {source}")]
    Io {
        /// What was tried.
        operation: &'static str,
        /// File that it was tried on.
        file: String,
        /// Error of the system.
        source: io::Error,
    },
    /// A file is damaged where no interrupted write can have damaged it.
    #[display("file {file:?} in the data folder is damaged at offset {offset}: {reason}")]
    Damaged {
        /// Damaged file.
        file: String,
        /// Place of the damage, in bytes.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// The folder holds files that are not of a replica of this instance.
    #[display("the data folder is not of this replica: file {file:?}: {reason}")]
    Foreign {
        /// File that shows it.
        file: String,
        /// What is wrong.
        reason: String,
    },
    /// A newer release wrote the folder.
    #[display(
        "file {file:?} has format {found} at offset {offset}; this release reads up to {known}"
    )]
    NewerFormat {
        /// File that shows it.
        file: String,
        /// Place of the format number, in bytes.
        offset: u64,
        /// Format of the file.
        found: u16,
        /// Newest format that can be read.
        known: u16,
    },
    /// Another process uses the folder.
    #[display("another process uses the data folder: it holds the lock on {file:?}")]
    InUse {
        /// File that is locked.
        file: String,
    },
    /// An earlier write failed in a way that leaves the file's state unknown.
    #[display("file {file:?} could not be synced before; restart the replica to read it again")]
    Unsynced {
        /// File that could not be synced.
        file: String,
    },
}

impl StorageError {
    pub(crate) fn io(operation: &'static str, file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { file },
            _ => Self::Io {
                operation,
                file,
                source,
            },
        }
    }

    /// Returns whether room on the disk would have let the write pass.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }
}
