use std::io;

use rand::Rng;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::frame::{self, push_frame};
use crate::{Disk, Entry, ReplicaIdentity, StorageError, Vote};

const LOCK: &str = "lock";
const REPLICA: &str = "replica";
const VOTE: &str = "vote";
const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const UNFINISHED_SUFFIX: &str = ".tmp";
/// Folder that some file systems keep in an empty volume.
const LOST_AND_FOUND: &str = "lost+found";

/// Files of one replica: its identity, its vote, a snapshot and the log after it.
///
/// Every method returns once its effect lasts, or leaves what was stored before.
#[derive(Debug)]
pub struct Store<D: Disk> {
    disk: D,
    lock: Option<D::Lock>,
    segment: Segment,
    condition: Condition,
}

/// What a folder held when it was opened.
#[derive(Debug)]
pub struct Loaded {
    /// Identity of the folder.
    pub identity: ReplicaIdentity,
    /// Newest term and vote.
    pub vote: Vote,
    /// Newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// Entries of the log, some of which the snapshot may cover.
    pub entries: Vec<Entry>,
    /// Bytes that an interrupted write had left at the end of the log, and that were cut off.
    pub cut_bytes: u64,
}

/// File that entries are appended to.
#[derive(Debug)]
struct Segment {
    number: u64,
    length_bytes: u64,
}

/// First frame of a segment.
#[derive(Serialize, Deserialize)]
struct SegmentStart {
    /// Drops all entries of earlier segments when it follows a snapshot.
    follows_snapshot: bool,
}

/// Contents of the file that names a folder's replica.
#[derive(Serialize, Deserialize)]
struct FolderOwner {
    identity: ReplicaIdentity,
    instance: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    Whole,
    /// Bytes may stand after the segment's end.
    TailLeft,
    /// A sync failed, so the file's contents are not known.
    Unsynced,
}

impl<D: Disk> Store<D> {
    /// Opens the folder of an instance, and prepares an empty one with a new identity.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the folder, naming file and offset.
    pub fn open(
        disk: D,
        instance: &str,
        generator: &mut impl Rng,
    ) -> Result<(Self, Loaded), StorageError> {
        let lock = disk.lock(LOCK).map_err(lock_error)?;
        let names = disk.list().map_err(|e| StorageError::io("list", ".", e))?;
        remove_unfinished(&disk, &names)?;
        let identity = match names.iter().any(|name| name == REPLICA) {
            true => read_owner(&disk, instance)?,
            false => prepare(&disk, &names, instance, generator)?,
        };
        let vote = match names.iter().any(|name| name == VOTE) {
            true => decode_one(&disk, VOTE)?,
            false => Vote::default(),
        };
        let snapshot = read_snapshot(&disk, &names)?;
        let (entries, segment, cut_bytes) = read_log(&disk, &names)?;
        let loaded = Loaded {
            identity,
            vote,
            snapshot,
            entries,
            cut_bytes,
        };
        let mut store = Self {
            disk,
            lock: Some(lock),
            segment: segment.unwrap_or(Segment {
                number: 0,
                length_bytes: 0,
            }),
            condition: Condition::Whole,
        };
        if store.segment.length_bytes == 0 {
            store.start_segment(false, &[])?;
        }
        Ok((store, loaded))
    }

    /// Appends entries; one whose index is taken replaces all from that index on.
    ///
    /// # Errors
    ///
    /// [`StorageError::Full`] says that nothing was appended; after any other error the entries
    /// may be there when the folder is next opened.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        let file = log_name(self.segment.number);
        self.repair(&file)?;
        let mut bytes = Vec::new();
        push_frame(&mut bytes, &encode(&entries));
        let written = self
            .disk
            .write(&file, self.segment.length_bytes, &bytes)
            .map_err(|e| StorageError::io("write", &file, e));
        if let Err(error) = written {
            self.condition = Condition::TailLeft;
            self.repair(&file)?;
            return Err(error);
        }
        if let Err(error) = self.disk.sync(&file) {
            return Err(self.sync_failed(&file, error));
        }
        self.segment.length_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Stores a vote.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system; the earlier vote stays.
    pub fn save_vote(&mut self, vote: Vote) -> Result<(), StorageError> {
        write_whole(&self.disk, VOTE, &one_frame(&encode(&vote)))
    }

    /// Stores a snapshot beside the log, then a log of the entries after it, then removes what
    /// both replace.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system; the earlier snapshot and log stay.
    pub fn save_snapshot(
        &mut self,
        index: u64,
        snapshot: &[u8],
        later: &[Entry],
    ) -> Result<(), StorageError> {
        let file = log_name(self.segment.number);
        self.repair(&file)?;
        let name = snapshot_name(index);
        write_whole(&self.disk, &name, &one_frame(snapshot))?;
        self.segment.number += 1;
        if let Err(error) = self.start_segment(true, later) {
            self.segment.number -= 1;
            return Err(error);
        }
        self.remove_replaced(&name)
    }

    /// Returns the contents of the snapshot at an index.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system, or the damage.
    pub fn read_snapshot(&self, index: u64) -> Result<Vec<u8>, StorageError> {
        read_one(&self.disk, &snapshot_name(index))
    }

    /// Lets go of the folder; later writes fail.
    pub fn close(&mut self) {
        self.condition = Condition::Unsynced;
        self.lock = None;
    }

    fn start_segment(
        &mut self,
        follows_snapshot: bool,
        later: &[Entry],
    ) -> Result<(), StorageError> {
        let mut bytes = one_frame(&encode(&SegmentStart { follows_snapshot }));
        if !later.is_empty() {
            push_frame(&mut bytes, &encode(&later));
        }
        write_whole(&self.disk, &log_name(self.segment.number), &bytes)?;
        self.segment.length_bytes = bytes.len() as u64;
        Ok(())
    }

    fn remove_replaced(&self, newest_snapshot: &str) -> Result<(), StorageError> {
        let names = self
            .disk
            .list()
            .map_err(|e| StorageError::io("list", ".", e))?;
        let log = log_name(self.segment.number);
        let replaced = names.iter().filter(|name| {
            (name.starts_with(LOG_PREFIX) && **name != log)
                || (name.starts_with(SNAPSHOT_PREFIX) && *name != newest_snapshot)
        });
        for name in replaced {
            self.disk
                .remove(name)
                .map_err(|e| StorageError::io("remove", name, e))?;
        }
        Ok(())
    }

    fn repair(&mut self, file: &str) -> Result<(), StorageError> {
        match self.condition {
            Condition::Whole => Ok(()),
            Condition::Unsynced => Err(StorageError::Unsynced {
                file: file.to_owned(),
            }),
            Condition::TailLeft => {
                let cut = self.disk.truncate(file, self.segment.length_bytes);
                match cut.and_then(|()| self.disk.sync(file)) {
                    Ok(()) => {
                        self.condition = Condition::Whole;
                        Ok(())
                    }
                    Err(error) => Err(self.sync_failed(file, error)),
                }
            }
        }
    }

    fn sync_failed(&mut self, file: &str, error: io::Error) -> StorageError {
        self.condition = Condition::Unsynced;
        StorageError::Io {
            operation: "sync",
            file: file.to_owned(),
            source: error,
        }
    }
}

fn lock_error(error: io::Error) -> StorageError {
    match error.kind() {
        io::ErrorKind::WouldBlock => StorageError::InUse {
            file: LOCK.to_owned(),
        },
        _ => StorageError::io("lock", LOCK, error),
    }
}

fn remove_unfinished<D: Disk>(disk: &D, names: &[String]) -> Result<(), StorageError> {
    for name in names
        .iter()
        .filter(|name| name.ends_with(UNFINISHED_SUFFIX))
    {
        disk.remove(name)
            .map_err(|e| StorageError::io("remove", name, e))?;
    }
    Ok(())
}

fn read_owner<D: Disk>(disk: &D, instance: &str) -> Result<ReplicaIdentity, StorageError> {
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

fn prepare<D: Disk>(
    disk: &D,
    names: &[String],
    instance: &str,
    generator: &mut impl Rng,
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
        identity: ReplicaIdentity::random(generator),
        instance: instance.to_owned(),
    };
    write_whole(disk, REPLICA, &one_frame(&encode(&owner)))?;
    Ok(owner.identity)
}

fn read_snapshot<D: Disk>(disk: &D, names: &[String]) -> Result<Option<Vec<u8>>, StorageError> {
    let newest = names
        .iter()
        .filter(|name| name.starts_with(SNAPSHOT_PREFIX) && !name.ends_with(UNFINISHED_SUFFIX))
        .max();
    newest.map(|name| read_one(disk, name)).transpose()
}

type Log = (Vec<Entry>, Option<Segment>, u64);

fn read_log<D: Disk>(disk: &D, names: &[String]) -> Result<Log, StorageError> {
    let mut files: Vec<&String> = names
        .iter()
        .filter(|name| name.starts_with(LOG_PREFIX) && !name.ends_with(UNFINISHED_SUFFIX))
        .collect();
    files.sort();
    let (mut entries, mut segment, mut cut_bytes) = (Vec::new(), None, 0);
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
            cut_bytes = left as u64;
            cut_tail(disk, file, frames.whole_bytes as u64)?;
        }
        read_frames(file, &bytes, &frames, &mut entries)?;
        segment = Some(Segment {
            number: log_number(file)?,
            length_bytes: frames.whole_bytes as u64,
        });
    }
    Ok((entries, segment, cut_bytes))
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

fn log_number(file: &str) -> Result<u64, StorageError> {
    let digits = file.strip_prefix(LOG_PREFIX).unwrap_or(file);
    digits.parse().map_err(|_| StorageError::Foreign {
        file: file.to_owned(),
        reason: "expected a number after \"log-\"".to_owned(),
    })
}

fn log_name(number: u64) -> String {
    format!("{LOG_PREFIX}{number:020}")
}

fn snapshot_name(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:020}")
}

fn one_frame(contents: &[u8]) -> Vec<u8> {
    let mut bytes = frame::file_header();
    push_frame(&mut bytes, contents);
    bytes
}

/// Writes a file beside, syncs it, renames it and syncs the folder.
fn write_whole<D: Disk>(disk: &D, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
    let unfinished = format!("{file}{UNFINISHED_SUFFIX}");
    let written = write_renamed(disk, &unfinished, file, bytes);
    if written.is_err() {
        // The name is removed when the folder is next opened if it cannot be removed now.
        let _ = disk.remove(&unfinished);
    }
    written
}

fn write_renamed<D: Disk>(
    disk: &D,
    unfinished: &str,
    file: &str,
    bytes: &[u8],
) -> Result<(), StorageError> {
    disk.truncate(unfinished, 0)
        .map_err(|e| StorageError::io("truncate", unfinished, e))?;
    disk.write(unfinished, 0, bytes)
        .map_err(|e| StorageError::io("write", unfinished, e))?;
    disk.sync(unfinished)
        .map_err(|e| StorageError::io("sync", unfinished, e))?;
    disk.rename(unfinished, file)
        .map_err(|e| StorageError::io("rename", unfinished, e))?;
    disk.sync_folder()
        .map_err(|e| StorageError::io("sync folder of", file, e))
}

fn read<D: Disk>(disk: &D, file: &str) -> Result<Vec<u8>, StorageError> {
    disk.read(file)
        .map_err(|e| StorageError::io("read", file, e))
}

fn read_one<D: Disk>(disk: &D, file: &str) -> Result<Vec<u8>, StorageError> {
    let mut bytes = read(disk, file)?;
    let contents = frame::scan_one(file, &bytes)?;
    bytes.truncate(contents.end);
    bytes.drain(..contents.start);
    Ok(bytes)
}

fn decode_one<D: Disk, T: DeserializeOwned>(disk: &D, file: &str) -> Result<T, StorageError> {
    decode(file, 0, &read_one(disk, file)?)
}

fn decode<T: DeserializeOwned>(file: &str, offset: usize, bytes: &[u8]) -> Result<T, StorageError> {
    rmp_serde::from_slice(bytes).map_err(|error| damaged(file, offset, &error.to_string()))
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("plain data encodes")
}

fn damaged(file: &str, offset: usize, reason: &str) -> StorageError {
    StorageError::Damaged {
        file: file.to_owned(),
        offset: offset as u64,
        reason: reason.to_owned(),
    }
}
