use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::frame::{self, push_frame};
use crate::{AuditRange, Disk, StorageError};

pub(crate) const LOCK: &str = "lock";
pub(crate) const REPLICA: &str = "replica";
pub(crate) const VOTE: &str = "vote";
pub(crate) const BOOTSTRAPPING: &str = "bootstrapping";
pub(crate) const LOG_PREFIX: &str = "log-";
pub(crate) const AUDIT_PREFIX: &str = "audit-";
pub(crate) const SNAPSHOT_PREFIX: &str = "snapshot-";
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";

pub(crate) fn log_number(file: &str) -> Result<u64, StorageError> {
    let digits = file.strip_prefix(LOG_PREFIX).unwrap_or(file);
    digits.parse().map_err(|_| StorageError::Foreign {
        file: file.to_owned(),
        reason: "expected a number after \"log-\"".to_owned(),
    })
}

pub(crate) fn log_name(number: u64) -> String {
    format!("{LOG_PREFIX}{number:020}")
}

pub(crate) fn snapshot_name(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:020}")
}

pub(crate) fn audit_name(range: AuditRange) -> String {
    format!("{AUDIT_PREFIX}{:020}-{:020}", range.first, range.last)
}

/// Returns the bytes of a file with a single frame.
pub(crate) fn single_frame_file(contents: &[u8]) -> Vec<u8> {
    let mut bytes = frame::file_header();
    push_frame(&mut bytes, contents);
    bytes
}

/// Writes a file atomically: writes and syncs a temporary file, renames it and syncs the folder.
pub(crate) fn write_atomically<D: Disk>(
    disk: &D,
    file: &str,
    parts: &[&[u8]],
) -> Result<(), StorageError> {
    let temporary = format!("{file}{TEMPORARY_SUFFIX}");
    let written = write_renamed(disk, &temporary, file, parts);
    if written.is_err() {
        // If the temporary file cannot be removed now, it is removed when the folder is next
        // opened.
        let _ = disk.remove(&temporary);
    }
    written
}

fn write_renamed<D: Disk>(
    disk: &D,
    temporary: &str,
    file: &str,
    parts: &[&[u8]],
) -> Result<(), StorageError> {
    disk.truncate(temporary, 0)
        .map_err(|e| StorageError::io("truncate", temporary, e))?;
    let mut offset = 0;
    for part in parts {
        disk.write(temporary, offset, part)
            .map_err(|e| StorageError::io("write", temporary, e))?;
        offset += part.len() as u64;
    }
    disk.sync(temporary)
        .map_err(|e| StorageError::io("sync", temporary, e))?;
    disk.rename(temporary, file)
        .map_err(|e| StorageError::io("rename", temporary, e))?;
    disk.sync_folder()
        .map_err(|e| StorageError::io("sync folder of", file, e))
}

pub(crate) fn read<D: Disk>(disk: &D, file: &str) -> Result<Vec<u8>, StorageError> {
    disk.read(file)
        .map_err(|e| StorageError::io("read", file, e))
}

/// Reads the contents of a file with a single frame.
pub(crate) fn read_single_frame<D: Disk>(disk: &D, file: &str) -> Result<Vec<u8>, StorageError> {
    let mut bytes = read(disk, file)?;
    let contents = frame::scan_single(file, &bytes)?;
    bytes.truncate(contents.end);
    bytes.drain(..contents.start);
    Ok(bytes)
}

/// Decodes the contents of a file with a single frame.
pub(crate) fn decode_file<D: Disk, T: DeserializeOwned>(
    disk: &D,
    file: &str,
) -> Result<T, StorageError> {
    decode(file, 0, &read_single_frame(disk, file)?)
}

pub(crate) fn decode<T: DeserializeOwned>(
    file: &str,
    offset: usize,
    bytes: &[u8],
) -> Result<T, StorageError> {
    rmp_serde::from_slice(bytes).map_err(|error| damaged(file, offset, &error.to_string()))
}

pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("the value encodes as MessagePack")
}

pub(crate) fn damaged(file: &str, offset: usize, reason: &str) -> StorageError {
    StorageError::Damaged {
        file: file.to_owned(),
        offset: offset as u64,
        reason: reason.to_owned(),
    }
}
