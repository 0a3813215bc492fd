use std::io;

use laburnumdeal_model::Applied;

use crate::files::{
    LOCK, LOG_PREFIX, REPLICA, SNAPSHOT_PREFIX, VOTE, audit_name, decode_one, encode, log_name,
    one_frame, read_one, snapshot_name, write_whole,
};
use crate::folder::{
    SegmentStart, audit_files, lock_error, prepare, read_log, read_owner, read_snapshot,
    remove_unfinished,
};
use crate::frame::{self, push_frame};
use crate::{AuditRange, Disk, Entry, ReplicaIdentity, StorageError, Vote};

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
pub struct StoreContents {
    /// Identity of the folder.
    pub identity: ReplicaIdentity,
    /// Newest term and vote.
    pub vote: Vote,
    /// Newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// Entries of the log, some of which the snapshot may cover.
    pub entries: Vec<Entry>,
    /// Files of audit records, in order.
    pub audit_files: Vec<AuditRange>,
    /// Bytes that an interrupted write had left at the end of the log, and that were cut off.
    pub truncated_bytes: u64,
}

/// File that entries are appended to.
#[derive(Debug)]
pub(crate) struct Segment {
    pub number: u64,
    pub length_bytes: u64,
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
    /// Opens the folder of an instance, and prepares an empty one under `new_identity`.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_control::{Entry, FileDisk, Payload, ReplicaIdentity, Store};
    /// use laburnumdeal_model::Term;
    ///
    /// let folder = tempfile::tempdir()?;
    /// let disk = FileDisk::open(folder.path())?;
    /// let (mut store, _) = Store::open(disk.clone(), "nasr-1", ReplicaIdentity::random())?;
    /// store.append(&[Entry { index: 1, term: Term(1), payload: Payload::Noop }])?;
    /// assert!(Store::open(disk.clone(), "nasr-1", ReplicaIdentity::random()).is_err());
    /// drop(store);
    /// let (_, loaded) = Store::open(disk, "nasr-1", ReplicaIdentity::random())?;
    /// assert_eq!(loaded.entries.len(), 1);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the folder, naming file and offset.
    pub fn open(
        disk: D,
        instance: &str,
        new_identity: ReplicaIdentity,
    ) -> Result<(Self, StoreContents), StorageError> {
        let lock = disk.lock(LOCK).map_err(lock_error)?;
        let names = disk.list().map_err(|e| StorageError::io("list", ".", e))?;
        remove_unfinished(&disk, &names)?;
        let identity = match names.iter().any(|name| name == REPLICA) {
            true => read_owner(&disk, instance)?,
            false => prepare(&disk, &names, instance, new_identity)?,
        };
        let vote = match names.iter().any(|name| name == VOTE) {
            true => decode_one(&disk, VOTE)?,
            false => Vote::default(),
        };
        let snapshot = read_snapshot(&disk, &names)?;
        let (entries, segment, truncated_bytes) = read_log(&disk, &names)?;
        let audit_files = audit_files(&disk, &names)?;
        let loaded = StoreContents {
            identity,
            vote,
            snapshot,
            entries,
            audit_files,
            truncated_bytes,
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
        write_whole(&self.disk, VOTE, &[&one_frame(&encode(&vote))])
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
        let mut start = frame::file_header();
        frame::push_frame_header(&mut start, snapshot);
        write_whole(&self.disk, &name, &[&start, snapshot])?;
        self.segment.number += 1;
        if let Err(error) = self.start_segment(true, later) {
            self.segment.number -= 1;
            return Err(error);
        }
        self.remove_replaced(&name)
    }

    /// Stores the audit records of a range of entries.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system; nothing is stored then.
    pub fn save_audit(
        &mut self,
        range: AuditRange,
        records: &[Applied],
    ) -> Result<(), StorageError> {
        let contents = one_frame(&encode(&records));
        write_whole(&self.disk, &audit_name(range), &[&contents])
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
        write_whole(&self.disk, &log_name(self.segment.number), &[&bytes])?;
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
