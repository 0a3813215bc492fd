use std::sync::Arc;

use laburnumdeal_model::{BootId, InstanceId};

use crate::answer_queue::PartitionId;
use crate::claim_partition::UnrecordedKey;
use crate::claim_records::ClaimRecords;
use crate::claim_state::ClaimState;
use crate::{ClaimTable, MirrorReply, RequestKey, StoredAnswer, UnknownReason};

impl ClaimTable {
    /// Claims a key on the mirror for a run of the home. A repeated message gets the same reply.
    pub fn mirror_claim(
        &self,
        key: &RequestKey,
        fingerprint: u64,
        home: InstanceId,
        home_boot: BootId,
    ) -> MirrorReply {
        let mut records = self.lock();
        records.expire_tokenless();
        let Some(partition) = records.mirror_partition(key) else {
            return MirrorReply::Unknown(UnknownReason::OtherRun);
        };
        if !records.is_home_of(key, home, home_boot) {
            return MirrorReply::Unknown(UnknownReason::OtherRun);
        }
        if let Some(entry) = records.partition(partition).and_then(|p| p.entry(key.id())) {
            return records.reply_to_repeated_claim(&entry.state, home_boot);
        }
        match records.unrecorded_key(partition, key) {
            Err(reason) => MirrorReply::Unknown(reason),
            Ok(UnrecordedKey::Claimable) if records.may_claim(partition, key) => {
                let state = ClaimState::Mirrored { home_boot };
                records.insert(partition, key, fingerprint, state);
                records.claimed_reply()
            }
            Ok(UnrecordedKey::Claimable) => {
                records.insert(partition, key, fingerprint, ClaimState::Fenced);
                MirrorReply::Fenced
            }
            Ok(_) => MirrorReply::Fenced,
        }
    }

    /// Stores the answer of a finished request that another instance ran.
    pub fn store_answer(&self, key: &RequestKey, answer: StoredAnswer) {
        let mut records = self.lock();
        let partitions = [records.home_partition(key), records.mirror_partition(key)];
        let answer = Arc::new(answer);
        for partition in partitions.into_iter().flatten() {
            if records.may_have_run_elsewhere(partition, key) {
                records.set_answer(partition, key.id(), Arc::clone(&answer));
            }
        }
    }

    /// Fences a key on the mirror after its home has abandoned the claim before the start.
    pub fn store_fence(&self, key: &RequestKey, home: InstanceId, home_boot: BootId) {
        let mut records = self.lock();
        let Some(partition) = records.mirror_partition(key) else {
            return;
        };
        let entry = records.partition(partition).and_then(|p| p.entry(key.id()));
        let is_claimed = entry.is_some_and(
            |e| matches!(e.state, ClaimState::Mirrored { home_boot: boot } if boot == home_boot),
        );
        if is_claimed && records.is_home_of(key, home, home_boot) {
            records.set_state(partition, key.id(), ClaimState::Fenced);
        }
    }
}

impl ClaimRecords {
    fn is_home_of(&self, key: &RequestKey, home: InstanceId, home_boot: BootId) -> bool {
        match key.token {
            Some(token) => token.is_home(home, home_boot),
            None => {
                let known_boot = self.partners.boot(home);
                self.tokenless_pair(key.id()).0 == home
                    && known_boot.is_none_or(|boot| boot == home_boot)
            }
        }
    }

    fn claimed_reply(&self) -> MirrorReply {
        MirrorReply::Claimed {
            mirror_boot: self.settings.boot,
        }
    }

    fn reply_to_repeated_claim(&self, state: &ClaimState, home_boot: BootId) -> MirrorReply {
        match state {
            ClaimState::Fenced => MirrorReply::Fenced,
            ClaimState::Mirrored { home_boot: boot } if *boot == home_boot => self.claimed_reply(),
            _ => MirrorReply::ClaimedByOther,
        }
    }

    fn may_have_run_elsewhere(&self, partition: PartitionId, key: &RequestKey) -> bool {
        self.partition(partition)
            .and_then(|p| p.entry(key.id()))
            .is_some_and(|e| matches!(e.state, ClaimState::Mirrored { .. } | ClaimState::Ran))
    }
}
