use std::io;

use laburnumdeal_model::AuditRecord;
use serde::{Deserialize, Serialize};

use crate::files::{
    LOCK, LOG_PREFIX, REPLICA, SNAPSHOT_PREFIX, TEMPORARY_SUFFIX, audit_name, damaged, decode,
    decode_file, encode, log_name, log_number, read, read_single_frame, single_frame_file,
    snapshot_name, write_atomically,
};
use crate::store::Segment;
use crate::{AuditRange, Disk, Entry, ReplicaIdentity, StorageError, frame};

/// Folder that file systems such as ext4 create in an empty volume.
const LOST_AND_FOUND: &str = "lost+found";

/// Contents of the first frame of a log file.
#[derive(Serialize, Deserialize)]
pub(crate) struct SegmentStart {
    /// Whether the log file starts after a snapshot, which makes earlier log files obsolete.
    pub follows_snapshot: bool,
}

/// Contents of the file that identifies the replica which owns the folder.
#[derive(Serialize, Deserialize)]
struct FolderOwner {
    identity: ReplicaIdentity,
    instance: String,
}

pub(crate) fn lock_error(error: io::Error) -> StorageError {
    match error.kind() {
        io::ErrorKind::WouldBlock => StorageError::InUse {
            file: LOCK.to_owned(),
        },
        _ => StorageError::io("lock", LOCK, error),
    }
}

/// Removes files whose write was interrupted before they were renamed into place.
pub(crate) fn remove_temporary_files<D: Disk>(
    disk: &D,
    names: &[String],
) -> Result<(), StorageError> {
    for name in names.iter().filter(|name| name.ends_with(TEMPORARY_SUFFIX)) {
        disk.remove(name)
            .map_err(|e| StorageError::io("remove", name, e))?;
    }
    Ok(())
}

/// Reads the identity of the folder's replica, and checks that the folder belongs to `instance`.
pub(crate) fn read_identity<D: Disk>(
    disk: &D,
    instance: &str,
) -> Result<ReplicaIdentity, StorageError> {
    let owner: FolderOwner = decode_file(disk, REPLICA)?;
    match owner.instance == instance {
        true => Ok(owner.identity),
        false => Err(StorageError::Foreign {
            file: REPLICA.to_owned(),
            reason: format!(
                "it belongs to instance {:?}, expected {instance:?}",
                owner.instance
            ),
        }),
    }
}

/// Writes the identity of a new replica into an empty folder; refuses a folder with other files.
pub(crate) fn initialize_folder<D: Disk>(
    disk: &D,
    names: &[String],
    instance: &str,
    identity: ReplicaIdentity,
) -> Result<ReplicaIdentity, StorageError> {
    let unexpected = names.iter().find(|name| {
        let is_allowed = [LOCK, LOST_AND_FOUND].contains(&name.as_str());
        !is_allowed && !name.ends_with(TEMPORARY_SUFFIX)
    });
    if let Some(name) = unexpected {
        return Err(StorageError::Foreign {
            file: name.clone(),
            reason: format!("the folder is not empty, but has no file {REPLICA:?}"),
        });
    }
    let owner = FolderOwner {
        identity,
        instance: instance.to_owned(),
    };
    write_atomically(disk, REPLICA, &[&single_frame_file(&encode(&owner))])?;
    Ok(owner.identity)
}

/// Stores the audit records of a range of log entries in a file of their own.
pub(crate) fn save_audit_file<D: Disk>(
    disk: &D,
    range: AuditRange,
    records: &[AuditRecord],
) -> Result<(), StorageError> {
    let contents = single_frame_file(&encode(&records));
    write_atomically(disk, &audit_name(range), &[&contents])
}

/// Stores the encoded state at an index.
pub(crate) fn save_snapshot_file<D: Disk>(
    disk: &D,
    index: u64,
    snapshot: &[u8],
) -> Result<(), StorageError> {
    let mut start = frame::file_header();
    frame::push_frame_header(&mut start, snapshot);
    write_atomically(disk, &snapshot_name(index), &[&start, snapshot])
}

/// Removes the log files and snapshots other than these.
pub(crate) fn remove_obsolete_files<D: Disk>(
    disk: &D,
    log_number: u64,
    snapshot_index: u64,
) -> Result<(), StorageError> {
    let (log, snapshot) = (log_name(log_number), snapshot_name(snapshot_index));
    let names = disk.list().map_err(|e| StorageError::io("list", ".", e))?;
    let obsolete = names.iter().filter(|name| {
        (name.starts_with(LOG_PREFIX) && **name != log)
            || (name.starts_with(SNAPSHOT_PREFIX) && **name != snapshot)
    });
    for name in obsolete {
        disk.remove(name)
            .map_err(|e| StorageError::io("remove", name, e))?;
    }
    Ok(())
}

pub(crate) fn read_snapshot<D: Disk>(
    disk: &D,
    names: &[String],
) -> Result<Option<Vec<u8>>, StorageError> {
    let newest = newest_snapshot(names);
    newest.map(|name| read_single_frame(disk, name)).transpose()
}

fn newest_snapshot(names: &[String]) -> Option<&String> {
    let snapshots = names.iter();
    snapshots
        .filter(|name| name.starts_with(SNAPSHOT_PREFIX) && !name.ends_with(TEMPORARY_SUFFIX))
        .max()
}

/// Returns the ranges of the audit record files. Removes files left by an interrupted snapshot:
/// their records are still in the log, or in a file that starts at the same index and is longer.
pub(crate) fn load_audit_ranges<D: Disk>(
    disk: &D,
    names: &[String],
) -> Result<Vec<AuditRange>, StorageError> {
    let newest = newest_snapshot(names).and_then(|name| name.strip_prefix(SNAPSHOT_PREFIX));
    let snapshot_index = newest.and_then(|digits| digits.parse().ok()).unwrap_or(0);
    let mut ranges: Vec<AuditRange> = names.iter().filter_map(|n| AuditRange::parse(n)).collect();
    ranges.sort();
    let mut kept: Vec<AuditRange> = Vec::new();
    for range in ranges {
        let redundant = match kept.last().copied() {
            _ if range.last > snapshot_index => Some(range),
            Some(earlier) if earlier.first == range.first => kept.pop(),
            _ => None,
        };
        if let Some(redundant) = redundant {
            let name = audit_name(redundant);
            disk.remove(&name)
                .map_err(|e| StorageError::io("remove", &name, e))?;
        }
        if redundant != Some(range) {
            kept.push(range);
        }
    }
    Ok(kept)
}

/// Entries, the last segment, and the number of bytes truncated from its end.
type RecoveredLog = (Vec<Entry>, Option<Segment>, u64);

/// Reads all log files in order. Truncates an incomplete frame at the end of the last one, which an
/// interrupted write leaves; anywhere else it is corruption.
pub(crate) fn read_log<D: Disk>(disk: &D, names: &[String]) -> Result<RecoveredLog, StorageError> {
    let mut files: Vec<&String> = names
        .iter()
        .filter(|name| name.starts_with(LOG_PREFIX) && !name.ends_with(TEMPORARY_SUFFIX))
        .collect();
    files.sort();
    let (mut entries, mut segment, mut truncated_bytes) = (Vec::new(), None, 0);
    for (position, file) in files.iter().enumerate() {
        let bytes = read(disk, file)?;
        let frames = frame::scan(file, &bytes)?;
        let trailing = bytes.len() - frames.valid_bytes;
        if trailing > 0 {
            if position + 1 < files.len() {
                return Err(damaged(
                    file,
                    frames.valid_bytes,
                    "the file ends within a frame, but a later log file exists",
                ));
            }
            truncated_bytes = trailing as u64;
            truncate_log(disk, file, frames.valid_bytes as u64)?;
        }
        read_frames(file, &bytes, &frames, &mut entries)?;
        segment = Some(Segment {
            number: log_number(file)?,
            length_bytes: frames.valid_bytes as u64,
        });
    }
    Ok((entries, segment, truncated_bytes))
}

/// Appends the entries of a log file to `entries`; an entry replaces those from its index on.
fn read_frames(
    file: &str,
    bytes: &[u8],
    frames: &frame::Frames,
    entries: &mut Vec<Entry>,
) -> Result<(), StorageError> {
    let Some((first, rest)) = frames.contents.split_first() else {
        return Err(damaged(
            file,
            frames.valid_bytes,
            "expected a first frame that describes the log file",
        ));
    };
    let start: SegmentStart = decode(file, first.start, &bytes[first.clone()])?;
    if start.follows_snapshot {
        entries.clear();
    }
    for contents in rest {
        let added: Vec<Entry> = decode(file, contents.start, &bytes[contents.clone()])?;
        for entry in added {
            let next = entries.last().map(|last| last.index + 1);
            if next.is_some_and(|next| entry.index > next) {
                let reason = format!("entry {} follows a gap in the log", entry.index);
                return Err(damaged(file, contents.start, &reason));
            }
            while entries.last().is_some_and(|last| last.index >= entry.index) {
                entries.pop();
            }
            entries.push(entry);
        }
    }
    Ok(())
}

fn truncate_log<D: Disk>(disk: &D, file: &str, length_bytes: u64) -> Result<(), StorageError> {
    disk.truncate(file, length_bytes)
        .map_err(|e| StorageError::io("truncate", file, e))?;
    disk.sync(file)
        .map_err(|e| StorageError::io("sync", file, e))
}
