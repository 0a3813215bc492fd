use std::sync::Arc;

use slog::{info, warn};
use tokio::time::sleep;

use crate::audit_trail::audit_records_of;
use crate::core::Core;
use crate::folder::{remove_obsolete_files, save_audit_file, save_snapshot_file};
use crate::volatile_state::VolatileState;
use crate::{AuditRange, Disk, Entry, PeerLink, State, StorageError, encoded_bytes};

/// Number of steered blocks named by log entries that triggers a snapshot, however few the entries.
const MAX_BLOCKS_BETWEEN_SNAPSHOTS: usize = 100_000;

/// Encoded length of log entries that triggers a snapshot, however few they are. Entries take more than
/// twice as much memory as their encoding.
const MAX_BYTES_BETWEEN_SNAPSHOTS: u64 = 8 * 1024 * 1024;

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Takes a snapshot whenever enough entries have been committed since the last one, and retries
    /// after an election timeout if it cannot be stored.
    pub async fn run_snapshots(self: Arc<Self>) {
        let mut changed = self.change_count.subscribe();
        while changed.changed().await.is_ok() {
            if self.snapshot_is_due() && !self.take_snapshot().await {
                sleep(self.settings.election_timeout()).await;
            }
        }
    }

    fn snapshot_is_due(&self) -> bool {
        let volatile = self.volatile();
        let entries = volatile.commit_index - volatile.snapshot_index;
        let limit = self.settings.entries_per_snapshot;
        limit > 0
            && (entries >= limit
                || volatile.entry_blocks >= MAX_BLOCKS_BETWEEN_SNAPSHOTS
                || volatile.entry_bytes >= MAX_BYTES_BETWEEN_SNAPSHOTS)
    }

    /// Stores a snapshot of the committed state and the audit records that it covers; returns false
    /// when they could not be stored. Entries are appended meanwhile: only the start of the next log
    /// file takes the store.
    async fn take_snapshot(&self) -> bool {
        let _storing = self.snapshot_storing.lock().await;
        let snapshot = TakenSnapshot::of(&self.volatile());
        let (index, term, range) = (snapshot.state.index, snapshot.state.term, snapshot.range);
        if snapshot.covered.is_empty() {
            return true;
        }
        let disk = self.disk.clone();
        let stored = self.disk.run_blocking(move || snapshot.store(&disk)).await;
        let stored = match stored {
            Ok(stored) => stored,
            Err(error) => return self.log_unstored_snapshot(&error),
        };
        let guard = self.lock_store().await;
        let later = self.volatile().entries_from(index + 1, usize::MAX);
        let (guard, started) = self
            .with_store(guard, move |store| store.start_log_after_snapshot(&later))
            .await;
        if let Err(error) = started {
            return self.log_unstored_snapshot(&error);
        }
        let covered = {
            let mut volatile = self.volatile();
            volatile.add_audit_file(range);
            volatile.compact(index, term, stored.covered_bytes)
        };
        let log_number = guard.log_number();
        drop(guard);
        let disk = self.disk.clone();
        let remove = move || {
            drop(covered);
            remove_obsolete_files(&disk, log_number, index)
        };
        if let Err(error) = self.disk.run_blocking(remove).await {
            warn!(self.log, "cannot remove the files that a snapshot made obsolete";
                "error" => %error);
        }
        info!(self.log, "stored a snapshot of the committed state";
            "index" => index, "bytes" => stored.length_bytes);
        true
    }

    fn log_unstored_snapshot(&self, error: &StorageError) -> bool {
        warn!(self.log, "cannot store a snapshot of the committed state"; "error" => %error);
        false
    }
}

/// Committed state that is about to be stored, with the entries that it covers since the last
/// snapshot.
struct TakenSnapshot {
    state: State,
    range: AuditRange,
    covered: Vec<Arc<Entry>>,
}

/// Lengths of what was stored.
struct StoredSnapshot {
    /// Length of the encoded state.
    length_bytes: usize,
    /// Encoded length of the entries that it covers since the last snapshot.
    covered_bytes: u64,
}

impl TakenSnapshot {
    fn of(volatile: &VolatileState) -> Self {
        let range = AuditRange {
            first: volatile.snapshot_index + 1,
            last: volatile.state.index,
        };
        let covered = volatile.entries.iter();
        let covered = covered.take_while(|entry| entry.index <= range.last);
        Self {
            state: volatile.state.clone(),
            range,
            covered: covered.cloned().collect(),
        }
    }

    /// Stores the audit records, then the state.
    fn store<D: Disk>(self, disk: &D) -> Result<StoredSnapshot, StorageError> {
        save_audit_file(
            disk,
            self.range,
            &audit_records_of(&self.covered, self.range.first),
        )?;
        let bytes = rmp_serde::to_vec(&self.state).expect("the value encodes as MessagePack");
        save_snapshot_file(disk, self.state.index, &bytes)?;
        let covered = self.covered.iter();
        Ok(StoredSnapshot {
            length_bytes: bytes.len(),
            covered_bytes: covered.map(|entry| encoded_bytes(&**entry)).sum(),
        })
    }
}
