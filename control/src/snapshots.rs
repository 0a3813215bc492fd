use std::sync::Arc;

use slog::{info, warn};
use tokio::time::sleep;

use crate::core::Core;
use crate::trail::commands;
use crate::{AuditRange, Disk, PeerLink, Store};

/// Steered blocks in entries after which a snapshot is taken, however few the entries are.
const SNAPSHOT_BLOCKS: usize = 100_000;

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Takes a snapshot whenever enough entries were committed since the last one.
    pub async fn run_snapshots(self: Arc<Self>) {
        let mut changed = self.changed.subscribe();
        while changed.changed().await.is_ok() {
            if self.snapshot_is_due() && !self.take_snapshot().await {
                sleep(self.settings.election()).await;
            }
        }
    }

    fn snapshot_is_due(&self) -> bool {
        let volatile = self.volatile();
        let since = volatile.commit_index - volatile.snapshot_index;
        let every = self.settings.entries_per_snapshot;
        every > 0 && (since >= every || volatile.entry_blocks >= SNAPSHOT_BLOCKS)
    }

    /// Stores a snapshot of the committed state; returns false when it could not be stored.
    async fn take_snapshot(&self) -> bool {
        let state = self.volatile().state.clone();
        let (index, term) = (state.index, state.term);
        let encode = move || rmp_serde::to_vec(&state).expect("plain data encodes");
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
            (later, range, commands(&covered, first))
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
                info!(self.log, "took a snapshot"; "index" => index, "bytes" => length_bytes);
                true
            }
            Err(error) => {
                warn!(self.log, "a snapshot cannot be stored"; "error" => %error);
                false
            }
        }
    }
}
