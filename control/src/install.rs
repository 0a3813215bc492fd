use laburnumdeal_model::{Digest, InstanceId};
use slog::{info, warn};

use crate::core::Core;
use crate::{ControlReply, Disk, Header, PeerLink, State};

/// One part of a snapshot that a leader sends.
pub(crate) struct SnapshotPart {
    pub header: Header,
    pub index: u64,
    pub total_bytes: u64,
    pub offset: u64,
    pub bytes: Vec<u8>,
    pub digest: Digest,
}

/// Snapshot of which some parts have arrived.
#[derive(Debug, Default)]
pub(crate) struct Incoming {
    pub digest: Digest,
    pub bytes: Vec<u8>,
}

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Takes one part of a snapshot, and installs the snapshot once it is whole. The reply tells
    /// the bytes that have arrived, and the snapshot's index in the end.
    pub async fn on_snapshot(&self, from: InstanceId, part: SnapshotPart) -> ControlReply {
        let guard = self.lock_store().await;
        let guard = match self.follow(guard, from, part.header).await {
            Ok(guard) => guard,
            Err(reply) => return reply,
        };
        if part.index <= self.volatile().commit_index {
            return self.append_reply(true, part.index);
        }
        let (held, whole) = self.collect(&part);
        let Some(bytes) = whole else {
            return self.append_reply(false, held);
        };
        let Ok(state) = rmp_serde::from_slice::<State>(&bytes) else {
            warn!(self.log, "a snapshot cannot be read"; "index" => part.index);
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
            warn!(self.log, "a snapshot cannot be stored"; "error" => %error);
            volatile.storage_full = error.is_full();
            drop(volatile);
            return self.append_reply(false, 0);
        }
        volatile.storage_full = false;
        volatile.install(state);
        self.publish(&volatile);
        drop(volatile);
        self.notify();
        info!(self.log, "installed a snapshot"; "index" => index);
        self.append_reply(true, index)
    }

    /// Adds a part; returns how many bytes are held, and the snapshot when it is whole.
    fn collect(&self, part: &SnapshotPart) -> (u64, Option<Vec<u8>>) {
        let mut incoming = self.incoming.lock().expect("no holder panics");
        if incoming.digest != part.digest {
            *incoming = Incoming {
                digest: part.digest,
                bytes: Vec::new(),
            };
        }
        if part.offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(&part.bytes);
        }
        let held = incoming.bytes.len() as u64;
        if held < part.total_bytes {
            return (held, None);
        }
        let whole = std::mem::take(&mut *incoming);
        match Digest::of(&[&whole.bytes]) == whole.digest {
            true => (held, Some(whole.bytes)),
            false => (0, None),
        }
    }
}
