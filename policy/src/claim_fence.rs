use std::sync::Arc;

use crate::answer_queue::PartitionId;
use crate::claim_partition::UnrecordedKey;
use crate::claim_records::ClaimRecords;
use crate::claim_state::ClaimState;
use crate::{ClaimResult, ClaimTable, FenceReply, RequestKey, UnknownReason};

impl ClaimTable {
    /// Fences a key so that its request never runs, unless it may have run already.
    ///
    /// A fence succeeds on the home until the request starts, and on the mirror until the mirror has
    /// claimed the key. Otherwise the reply is the state of the key.
    ///
    /// # Examples
    ///
    /// ```
    /// # use laburnumdeal_model::{BootId, InstanceId};
    /// # use laburnumdeal_policy::{BeginReply, ClaimSettings, ClaimTable, FenceReply, RequestKey, TokenSealer, TokenlessHistory};
    /// # let home = ClaimSettings {
    /// #     tokenless_history: TokenlessHistory::Complete,
    /// #     ..ClaimSettings::new(InstanceId(1), BootId(70))
    /// # };
    /// let home = ClaimTable::new(home);
    /// # let sealer = TokenSealer::new(b"secret of the cluster");
    /// let key = RequestKey::parse("rent-7", &sealer)?;
    /// assert_eq!(home.fence(&key, 5), FenceReply::Fenced);
    /// assert!(matches!(home.begin(&key, 5), BeginReply::Fenced));
    /// # Ok::<(), laburnumdeal_policy::KeyError>(())
    /// ```
    pub fn fence(&self, key: &RequestKey, fingerprint: u64) -> FenceReply {
        let mut records = self.lock();
        records.expire_tokenless();
        let partitions = [records.home_partition(key), records.mirror_partition(key)];
        let mut reply = FenceReply::Unknown(UnknownReason::OtherRun);
        for partition in partitions.into_iter().flatten() {
            reply = records.fence_in_partition(partition, key, fingerprint);
            if !matches!(reply, FenceReply::Unknown(_)) {
                break;
            }
        }
        reply
    }
}

impl ClaimRecords {
    fn fence_in_partition(
        &mut self,
        partition: PartitionId,
        key: &RequestKey,
        fingerprint: u64,
    ) -> FenceReply {
        if let Some(entry) = self.partition(partition).and_then(|p| p.entry(key.id())) {
            if entry.fingerprint != fingerprint {
                return FenceReply::KeyReused;
            }
            return match &entry.state {
                ClaimState::Finished { answer, .. } => FenceReply::Finished(Arc::clone(answer)),
                ClaimState::Fenced => FenceReply::Fenced,
                ClaimState::Pending { .. } => self.fence_pending(partition, key),
                ClaimState::Started { .. } | ClaimState::Mirrored { .. } | ClaimState::Ran => {
                    FenceReply::Claimed
                }
            };
        }
        match self.unrecorded_key(partition, key) {
            Err(reason) => FenceReply::Unknown(reason),
            Ok(UnrecordedKey::Claimable) => {
                self.insert(partition, key, fingerprint, ClaimState::Fenced);
                FenceReply::Fenced
            }
            Ok(_) => FenceReply::Fenced,
        }
    }

    fn fence_pending(&mut self, partition: PartitionId, key: &RequestKey) -> FenceReply {
        let entry = self.partition(partition).and_then(|p| p.entry(key.id()));
        if let Some(ClaimState::Pending { sender, .. }) = entry.map(|e| &e.state) {
            sender.send_replace(Some(ClaimResult::NotRun));
        }
        self.set_state(partition, key.id(), ClaimState::Fenced);
        FenceReply::Fenced
    }
}
