use std::sync::Arc;

use slog::{info, warn};
use tokio::time::sleep;

use crate::audit_trail::audit_records_of;
use crate::core::Core;
use crate::{AuditRange, Disk, PeerLink, Store};

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
    /// when they could not be stored.
    async fn take_snapshot(&self) -> bool {
        let state = self.volatile().state.clone();
        let (index, term) = (state.index, state.term);
        let encode = move || rmp_serde::to_vec(&state).expect("the value encodes as MessagePack");
        let bytes = self.disk.run_blocking(encode).await;
        let length_bytes = bytes.len();
        let guard = self.lock_store().await;
        let (later, range, records) = {
            let volatile = self.volatile();
            if volatile.snapshot_index >= index {
                return true;
            }
            let first = volatile.snapshot_index + 1;
            let covered = volatile.entries.iter().take((index + 1 - first) as usize);
            let covered: Vec<_> = covered.cloned().collect();
            let range = AuditRange { first, last: index };
            let later = volatile.entries_from(index + 1, usize::MAX);
            (later, range, audit_records_of(&covered, first))
        };
        let save = move |store: &mut Store<D>| {
            store.save_audit(range, &records)?;
            store.save_snapshot(index, &bytes, &later)
        };
        let (_guard, saved) = self.with_store(guard, save).await;
        let mut volatile = self.volatile();
        match saved {
            Ok(()) => {
                volatile.add_audit_file(range);
                volatile.compact(index, term);
                info!(self.log, "stored a snapshot of the committed state";
                    "index" => index, "bytes" => length_bytes);
                true
            }
            Err(error) => {
                warn!(self.log, "cannot store a snapshot of the committed state";
                    "error" => %error);
                false
            }
        }
    }
}
