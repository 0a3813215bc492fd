use laburnumdeal_model::{Digest, InstanceId};
use slog::{info, warn};

use crate::core::Core;
use crate::{ControlReply, Disk, Header, PeerLink, State};

/// Chunk of a snapshot sent by a leader.
pub(crate) struct SnapshotChunk {
    pub header: Header,
    pub index: u64,
    pub total_bytes: u64,
    pub offset: u64,
    pub bytes: Vec<u8>,
    pub digest: Digest,
}

/// Snapshot that is being received: the hash of the whole, and the bytes received so far.
#[derive(Debug, Default)]
pub(crate) struct IncomingSnapshot {
    pub digest: Digest,
    pub bytes: Vec<u8>,
}

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Receives a chunk of a snapshot and installs the snapshot once it is complete. `matched` in
    /// the reply is the number of bytes received, or the snapshot's index once it is installed.
    pub async fn on_snapshot(&self, from: InstanceId, chunk: SnapshotChunk) -> ControlReply {
        let _storing = self.snapshot_storing.lock().await;
        let guard = self.lock_store().await;
        let guard = match self.follow_leader(guard, from, chunk.header).await {
            Ok(guard) => guard,
            Err(reply) => return reply,
        };
        if chunk.index <= self.volatile().commit_index {
            return self.append_reply(true, chunk.index);
        }
        let (received, complete) = self.receive_chunk(&chunk);
        let Some(bytes) = complete else {
            return self.append_reply(false, received);
        };
        let Ok(state) = rmp_serde::from_slice::<State>(&bytes) else {
            warn!(self.log, "cannot decode a snapshot received from the leader";
                "index" => chunk.index);
            return ControlReply::Failed;
        };
        let later = {
            let volatile = self.volatile();
            match volatile.term_at(state.index) == Some(state.term) {
                true => volatile.entries_from(state.index + 1, usize::MAX),
                false => Vec::new(),
            }
        };
        let index = state.index;
        let (_guard, saved) = self
            .with_store(guard, move |store| {
                store.save_snapshot(index, &bytes, &later)
            })
            .await;
        let mut volatile = self.volatile();
        if let Err(error) = saved {
            warn!(self.log, "cannot store a snapshot received from the leader"; "error" => %error);
            volatile.storage_full = error.lacks_space();
            drop(volatile);
            return self.append_reply(false, 0);
        }
        volatile.storage_full = false;
        volatile.install_snapshot(state);
        self.publish_configuration(&volatile);
        drop(volatile);
        self.notify();
        info!(self.log, "installed a snapshot received from the leader"; "index" => index);
        self.append_reply(true, index)
    }

    /// Adds a chunk; returns the number of bytes received so far, and the whole snapshot once it is
    /// complete. A chunk at another offset is ignored, and a complete snapshot that does not match
    /// the digest is dropped.
    fn receive_chunk(&self, chunk: &SnapshotChunk) -> (u64, Option<Vec<u8>>) {
        let mut incoming = self
            .incoming_snapshot
            .lock()
            .expect("the lock is not poisoned");
        if incoming.digest != chunk.digest {
            *incoming = IncomingSnapshot {
                digest: chunk.digest,
                bytes: Vec::new(),
            };
        }
        if chunk.offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(&chunk.bytes);
        }
        let received = incoming.bytes.len() as u64;
        if received < chunk.total_bytes {
            return (received, None);
        }
        let complete = std::mem::take(&mut *incoming);
        match Digest::of(&[&complete.bytes]) == complete.digest {
            true => (received, Some(complete.bytes)),
            false => (0, None),
        }
    }
}
