use std::io;

use serde::{Deserialize, Serialize};

use crate::files::{
    LOCK, LOG_PREFIX, REPLICA, SNAPSHOT_PREFIX, UNFINISHED_SUFFIX, audit_name, damaged, decode,
    decode_one, encode, log_number, one_frame, read, read_one, write_whole,
};
use crate::store::Segment;
use crate::{AuditRange, Disk, Entry, ReplicaIdentity, StorageError, frame};

/// Folder that some file systems keep in an empty volume.
const LOST_AND_FOUND: &str = "lost+found";

/// First frame of a segment.
#[derive(Serialize, Deserialize)]
pub(crate) struct SegmentStart {
    /// Drops all entries of earlier segments when it follows a snapshot.
    pub follows_snapshot: bool,
}

/// Contents of the file that names a folder's replica.
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

pub(crate) fn remove_unfinished<D: Disk>(disk: &D, names: &[String]) -> Result<(), StorageError> {
    for name in names
        .iter()
        .filter(|name| name.ends_with(UNFINISHED_SUFFIX))
    {
        disk.remove(name)
            .map_err(|e| StorageError::io("remove", name, e))?;
    }
    Ok(())
}

pub(crate) fn read_owner<D: Disk>(
    disk: &D,
    instance: &str,
) -> Result<ReplicaIdentity, StorageError> {
    let owner: FolderOwner = decode_one(disk, REPLICA)?;
    match owner.instance == instance {
        true => Ok(owner.identity),
        false => Err(StorageError::Foreign {
            file: REPLICA.to_owned(),
            reason: format!(
                "it belongs to instance {:?}, not {instance:?}",
                owner.instance
            ),
        }),
    }
}

pub(crate) fn prepare<D: Disk>(
    disk: &D,
    names: &[String],
    instance: &str,
    identity: ReplicaIdentity,
) -> Result<ReplicaIdentity, StorageError> {
    let other = names.iter().find(|name| {
        let ours = [LOCK, LOST_AND_FOUND].contains(&name.as_str());
        !ours && !name.ends_with(UNFINISHED_SUFFIX)
    });
    if let Some(name) = other {
        return Err(StorageError::Foreign {
            file: name.clone(),
            reason: format!("the folder is not empty, but has no file {REPLICA:?}"),
        });
    }
    let owner = FolderOwner {
        identity,
        instance: instance.to_owned(),
    };
    write_whole(disk, REPLICA, &[&one_frame(&encode(&owner))])?;
    Ok(owner.identity)
}

pub(crate) fn read_snapshot<D: Disk>(
    disk: &D,
    names: &[String],
) -> Result<Option<Vec<u8>>, StorageError> {
    let newest = newest_snapshot(names);
    newest.map(|name| read_one(disk, name)).transpose()
}

fn newest_snapshot(names: &[String]) -> Option<&String> {
    let snapshots = names.iter();
    snapshots
        .filter(|name| name.starts_with(SNAPSHOT_PREFIX) && !name.ends_with(UNFINISHED_SUFFIX))
        .max()
}

/// Returns the files of audit records, and removes those that an interrupted snapshot left: the
/// log still has their records, or a longer file of the same start has.
pub(crate) fn audit_files<D: Disk>(
    disk: &D,
    names: &[String],
) -> Result<Vec<AuditRange>, StorageError> {
    let newest = newest_snapshot(names).and_then(|name| name.strip_prefix(SNAPSHOT_PREFIX));
    let snapshot_index = newest.and_then(|digits| digits.parse().ok()).unwrap_or(0);
    let mut ranges: Vec<AuditRange> = names.iter().filter_map(|n| AuditRange::parse(n)).collect();
    ranges.sort();
    let mut kept: Vec<AuditRange> = Vec::new();
    for range in ranges {
        let replaced = match kept.last().copied() {
            _ if range.last > snapshot_index => Some(range),
            Some(earlier) if earlier.first == range.first => kept.pop(),
            _ => None,
        };
        if let Some(replaced) = replaced {
            let name = audit_name(replaced);
            disk.remove(&name)
                .map_err(|e| StorageError::io("remove", &name, e))?;
        }
        if replaced != Some(range) {
            kept.push(range);
        }
    }
    Ok(kept)
}

/// Entries, the last segment, and the bytes that were cut off.
type Log = (Vec<Entry>, Option<Segment>, u64);

pub(crate) fn read_log<D: Disk>(disk: &D, names: &[String]) -> Result<Log, StorageError> {
    let mut files: Vec<&String> = names
        .iter()
        .filter(|name| name.starts_with(LOG_PREFIX) && !name.ends_with(UNFINISHED_SUFFIX))
        .collect();
    files.sort();
    let (mut entries, mut segment, mut truncated_bytes) = (Vec::new(), None, 0);
    for (position, file) in files.iter().enumerate() {
        let bytes = read(disk, file)?;
        let frames = frame::scan(file, &bytes)?;
        let left = bytes.len() - frames.whole_bytes;
        if left > 0 {
            if position + 1 < files.len() {
                return Err(damaged(
                    file,
                    frames.whole_bytes,
                    "the file ends within a frame",
                ));
            }
            truncated_bytes = left as u64;
            cut_tail(disk, file, frames.whole_bytes as u64)?;
        }
        read_frames(file, &bytes, &frames, &mut entries)?;
        segment = Some(Segment {
            number: log_number(file)?,
            length_bytes: frames.whole_bytes as u64,
        });
    }
    Ok((entries, segment, truncated_bytes))
}

fn read_frames(
    file: &str,
    bytes: &[u8],
    frames: &frame::Frames,
    entries: &mut Vec<Entry>,
) -> Result<(), StorageError> {
    let Some((first, rest)) = frames.contents.split_first() else {
        return Err(damaged(
            file,
            frames.whole_bytes,
            "the first frame is missing",
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
                let reason = format!("entry {} follows a gap", entry.index);
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

fn cut_tail<D: Disk>(disk: &D, file: &str, length_bytes: u64) -> Result<(), StorageError> {
    disk.truncate(file, length_bytes)
        .map_err(|e| StorageError::io("truncate", file, e))?;
    disk.sync(file)
        .map_err(|e| StorageError::io("sync", file, e))
}
