use std::io;

use laburnumdeal_model::AuditRecord;

use crate::files::{
    BOOTSTRAPPING, LOCK, REPLICA, VOTE, damaged, decode_file, encode, log_name, read,
    read_single_frame, single_frame_file, snapshot_name, write_atomically,
};
use crate::folder::{
    SegmentStart, initialize_folder, load_audit_ranges, lock_error, read_identity, read_log,
    read_snapshot, remove_obsolete_files, remove_temporary_files, save_audit_file,
    save_snapshot_file,
};
use crate::frame::{self, push_frame};
use crate::{AuditRange, Disk, Entry, ReplicaIdentity, StorageError, Vote};

/// Persistent storage of one replica: its identity, its vote, a snapshot, the log after it and the
/// audit records before it.
///
/// A method that succeeds has synced its effect to disk. One that fails leaves what was stored
/// before, except as described for [`Store::append`].
#[derive(Debug)]
pub struct Store<D: Disk> {
    disk: D,
    lock: Option<D::Lock>,
    segment: Segment,
    segment_state: SegmentState,
}

/// Contents of a data folder when it was opened.
#[derive(Debug)]
pub struct StoreContents {
    /// Identity of the replica that owns the folder.
    pub identity: ReplicaIdentity,
    /// Last stored term and vote.
    pub vote: Vote,
    /// Whether the replica took part in a first start. This says nothing once it has a log.
    pub is_bootstrapping: bool,
    /// Encoded state of the newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// Entries of the log; the first of them may be covered by the snapshot as well.
    pub entries: Vec<Entry>,
    /// Ranges of the audit record files, in order.
    pub audit_files: Vec<AuditRange>,
    /// Number of bytes truncated from the end of the log, left there by an interrupted write.
    pub truncated_bytes: u64,
}

/// Log file that entries are appended to.
#[derive(Debug)]
pub(crate) struct Segment {
    pub number: u64,
    pub length_bytes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SegmentState {
    Clean,
    /// A write failed and may have left bytes past the segment's end.
    DirtyTail,
    /// A sync failed for lack of space. Later syncs of the same file may succeed without writing what
    /// this one did not, so the file has to be replaced.
    SyncFull,
    /// The next log file could not be started, but may exist. It would replace all entries of this
    /// one when the folder is opened.
    NextStarted,
    /// A sync failed for another reason, so it is unknown which writes are on disk.
    Unsynced,
}

impl<D: Disk> Store<D> {
    /// Opens the data folder of an instance. An empty folder is initialized with `new_identity`.
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
    /// Returns an error if the folder is in use, belongs to another instance, is corrupt or cannot
    /// be read or written; the error names the file, and the offset of corrupt data.
    pub fn open(
        disk: D,
        instance: &str,
        new_identity: ReplicaIdentity,
    ) -> Result<(Self, StoreContents), StorageError> {
        let lock = disk.lock(LOCK).map_err(lock_error)?;
        let names = disk.list().map_err(|e| StorageError::io("list", ".", e))?;
        remove_temporary_files(&disk, &names)?;
        let identity = match names.iter().any(|name| name == REPLICA) {
            true => read_identity(&disk, instance)?,
            false => initialize_folder(&disk, &names, instance, new_identity)?,
        };
        let vote = match names.iter().any(|name| name == VOTE) {
            true => decode_file(&disk, VOTE)?,
            false => Vote::default(),
        };
        let snapshot = read_snapshot(&disk, &names)?;
        let (entries, segment, truncated_bytes) = read_log(&disk, &names)?;
        let audit_files = load_audit_ranges(&disk, &names)?;
        let loaded = StoreContents {
            identity,
            vote,
            is_bootstrapping: names.iter().any(|name| name == BOOTSTRAPPING),
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
            segment_state: SegmentState::Clean,
        };
        if store.segment.length_bytes == 0 {
            store.start_segment(false, &[])?;
        }
        Ok((store, loaded))
    }

    /// Appends entries. An entry whose index is already stored replaces all entries from that index
    /// on.
    ///
    /// # Errors
    ///
    /// On [`StorageError::Full`] nothing was appended. After any other error the entries may turn
    /// out to be stored when the folder is opened again. If it [lacks
    /// space](StorageError::lacks_space), later entries can be appended once there is some.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        let file = log_name(self.segment.number);
        self.ensure_clean(&file)?;
        let mut bytes = Vec::new();
        push_frame(&mut bytes, &encode(&entries));
        let written = self
            .disk
            .write(&file, self.segment.length_bytes, &bytes)
            .map_err(|e| StorageError::io("write", &file, e));
        if let Err(error) = written {
            self.segment_state = SegmentState::DirtyTail;
            self.ensure_clean(&file)?;
            return Err(error);
        }
        if let Err(error) = self.disk.sync(&file) {
            return Err(self.sync_failed(&file, error));
        }
        self.segment.length_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Replaces the stored term and vote.
    ///
    /// # Errors
    ///
    /// Returns the file system's error; the earlier vote stays stored.
    pub fn save_vote(&mut self, vote: Vote) -> Result<(), StorageError> {
        write_atomically(&self.disk, VOTE, &[&single_frame_file(&encode(&vote))])
    }

    /// Stores that this replica takes part in a first start, so that it goes on with it after a
    /// restart with settings that no longer say so.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    pub fn save_bootstrapping(&mut self) -> Result<(), StorageError> {
        write_atomically(&self.disk, BOOTSTRAPPING, &[&frame::file_header()])
    }

    /// Stores a snapshot, then starts a new log file with the entries after it, and finally removes
    /// the older files. A crash between these steps leaves a folder that still opens.
    ///
    /// # Errors
    ///
    /// Returns the file system's error; the earlier snapshot and log stay unless only the removal
    /// of the older files failed.
    pub fn save_snapshot(
        &mut self,
        index: u64,
        snapshot: &[u8],
        later: &[Entry],
    ) -> Result<(), StorageError> {
        let file = log_name(self.segment.number);
        self.ensure_clean(&file)?;
        save_snapshot_file(&self.disk, index, snapshot)?;
        self.start_log_after_snapshot(later)?;
        remove_obsolete_files(&self.disk, self.segment.number, index)
    }

    /// Starts a new log file with the entries after a snapshot that is stored already. The entries
    /// before stay until the older files are removed.
    ///
    /// # Errors
    ///
    /// Returns the file system's error; the earlier log stays in use.
    pub fn start_log_after_snapshot(&mut self, later: &[Entry]) -> Result<(), StorageError> {
        let file = log_name(self.segment.number);
        self.ensure_clean(&file)?;
        self.segment.number += 1;
        if let Err(error) = self.start_segment(true, later) {
            self.segment.number -= 1;
            self.segment_state = SegmentState::NextStarted;
            return Err(error);
        }
        Ok(())
    }

    /// Returns the number of the log file that entries are appended to.
    pub(crate) fn log_number(&self) -> u64 {
        self.segment.number
    }

    /// Stores the audit records of a range of log entries in a file of their own.
    ///
    /// # Errors
    ///
    /// Returns the file system's error; the file may be missing then.
    pub fn save_audit(
        &mut self,
        range: AuditRange,
        records: &[AuditRecord],
    ) -> Result<(), StorageError> {
        save_audit_file(&self.disk, range, records)
    }

    /// Reads the encoded state of the snapshot taken at an index.
    ///
    /// # Errors
    ///
    /// Returns the file system's error, or where the file is corrupt.
    pub fn read_snapshot(&self, index: u64) -> Result<Vec<u8>, StorageError> {
        read_single_frame(&self.disk, &snapshot_name(index))
    }

    /// Releases the lock on the folder. Later writes to the log fail.
    pub fn close(&mut self) {
        self.segment_state = SegmentState::Unsynced;
        self.lock = None;
    }

    fn start_segment(
        &mut self,
        follows_snapshot: bool,
        later: &[Entry],
    ) -> Result<(), StorageError> {
        let mut bytes = single_frame_file(&encode(&SegmentStart { follows_snapshot }));
        if !later.is_empty() {
            push_frame(&mut bytes, &encode(&later));
        }
        write_atomically(&self.disk, &log_name(self.segment.number), &[&bytes])?;
        self.segment.length_bytes = bytes.len() as u64;
        Ok(())
    }

    /// Removes what a failed write or sync may have left in the log file; fails if a sync failed
    /// earlier for another reason than lack of space.
    fn ensure_clean(&mut self, file: &str) -> Result<(), StorageError> {
        match self.segment_state {
            SegmentState::Clean => return Ok(()),
            SegmentState::Unsynced => {
                return Err(StorageError::Unsynced {
                    file: file.to_owned(),
                });
            }
            SegmentState::DirtyTail => {
                self.disk
                    .truncate(file, self.segment.length_bytes)
                    .map_err(|e| StorageError::io("truncate", file, e))?;
                if let Err(error) = self.disk.sync(file) {
                    // What may be left is no whole entry.
                    return Err(match self.sync_failed(file, error) {
                        failed if failed.lacks_space() => StorageError::Full {
                            file: file.to_owned(),
                        },
                        failed => failed,
                    });
                }
            }
            SegmentState::SyncFull => self.replace_segment(file)?,
            SegmentState::NextStarted => self.remove_next_segment()?,
        }
        self.segment_state = SegmentState::Clean;
        Ok(())
    }

    /// Replaces the log file by a copy of what was synced in it.
    fn replace_segment(&mut self, file: &str) -> Result<(), StorageError> {
        let mut bytes = read(&self.disk, file)?;
        let synced = self.segment.length_bytes as usize;
        if frame::scan(file, &bytes)?.valid_bytes < synced {
            return Err(damaged(
                file,
                synced,
                "entries that were synced cannot be read",
            ));
        }
        bytes.truncate(synced);
        write_atomically(&self.disk, file, &[&bytes])
    }

    /// Removes the log file after the current one, if it exists.
    fn remove_next_segment(&self) -> Result<(), StorageError> {
        let next = log_name(self.segment.number + 1);
        match self.disk.remove(&next) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                return Err(StorageError::io("remove", &next, error));
            }
            _ => {}
        }
        self.disk
            .sync_folder()
            .map_err(|e| StorageError::io("sync folder of", &next, e))
    }

    fn sync_failed(&mut self, file: &str, error: io::Error) -> StorageError {
        let error = StorageError::sync(file, error);
        self.segment_state = match error.lacks_space() {
            true => SegmentState::SyncFull,
            false => SegmentState::Unsynced,
        };
        error
    }
}
