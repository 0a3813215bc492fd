use std::io;

use derive_more::{Display, Error};

/// Error from reading or writing the data folder.
#[derive(Debug, Display, Error)]
pub enum StorageError {
    /// There is no disk space for a write. What was stored before is intact.
    #[display("no room to write {file:?} in the data folder")]
    Full {
        /// Name of the file that was written.
        file: String,
    },
    /// A file operation failed.
    #[display("cannot {operation} {file:?} in the data folder: {source}")]
    Io {
        /// Operation that failed, as a verb.
        operation: &'static str,
        /// Name of the file.
        file: String,
        /// Error returned by the file system.
        source: io::Error,
    },
    /// A file is corrupt in a way that an interrupted write cannot explain.
    #[display("file {file:?} in the data folder is damaged at offset {offset}: {reason}")]
    Damaged {
        /// Name of the file.
        file: String,
        /// Offset of the corrupt data, in bytes.
        offset: u64,
        /// What was found or expected.
        reason: String,
    },
    /// The folder holds files that do not belong to a replica of this instance.
    #[display("the data folder does not belong to this replica: file {file:?}: {reason}")]
    Foreign {
        /// Name of the unexpected file.
        file: String,
        /// Why the file does not belong.
        reason: String,
    },
    /// A newer release wrote the folder, in a format that this one cannot read.
    #[display(
        "file {file:?} has format {found} at offset {offset}; this release reads up to {known}"
    )]
    NewerFormat {
        /// Name of the file.
        file: String,
        /// Offset of the format number, in bytes.
        offset: u64,
        /// Format number of the file.
        found: u16,
        /// Newest format number that this release reads.
        known: u16,
    },
    /// Another process has locked the folder.
    #[display("another process uses the data folder: it holds the lock on {file:?}")]
    InUse {
        /// Name of the lock file.
        file: String,
    },
    /// An earlier sync failed, so it is unknown which writes are on disk.
    #[display("file {file:?} could not be synced before; restart the replica to read it again")]
    Unsynced {
        /// Name of the file that could not be synced.
        file: String,
    },
}

impl StorageError {
    /// Wraps an error of the file system; a full disk or an exceeded quota becomes [`Self::Full`].
    pub(crate) fn io(operation: &'static str, file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        match is_out_of_space(&source) {
            true => Self::Full { file },
            false => Self::Io {
                operation,
                file,
                source,
            },
        }
    }

    /// Wraps the error of a sync, after which it is unknown what is on disk.
    pub(crate) fn sync(file: &str, source: io::Error) -> Self {
        Self::Io {
            operation: "sync",
            file: file.to_owned(),
            source,
        }
    }

    /// Returns whether the write failed only for lack of disk space, and had no effect.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }

    /// Returns whether the cause is a lack of disk space. The write may have had an effect.
    pub fn lacks_space(&self) -> bool {
        match self {
            Self::Full { .. } => true,
            Self::Io { source, .. } => is_out_of_space(source),
            _ => false,
        }
    }
}

fn is_out_of_space(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}
