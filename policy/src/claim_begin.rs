use std::sync::Arc;

use tokio::sync::watch;

use crate::answer_queue::PartitionId;
use crate::claim_partition::UnrecordedKey;
use crate::claim_records::ClaimRecords;
use crate::claim_state::{ClaimEntry, ClaimState};
use crate::{BeginReply, Claim, ClaimTable, RequestKey, RunningClaim, UnknownReason};

impl ClaimTable {
    /// Claims a new key on the home, or returns the state of a known one.
    ///
    /// The fingerprint is a hash of method, path and body. A known key with another fingerprint is refused.
    ///
    /// # Examples
    ///
    /// ```
    /// # use laburnumdeal_model::{BootId, InstanceId};
    /// # use laburnumdeal_policy::{BeginReply, ClaimSettings, ClaimTable, RequestKey, TokenSealer, TokenlessHistory};
    /// # let home = ClaimSettings {
    /// #     tokenless_history: TokenlessHistory::Complete,
    /// #     ..ClaimSettings::new(InstanceId(1), BootId(70))
    /// # };
    /// let home = ClaimTable::new(home);
    /// # let sealer = TokenSealer::new(b"secret of the cluster");
    /// let key = RequestKey::parse("rent-7", &sealer)?;
    /// let BeginReply::Claimed(claim) = home.begin(&key, 5) else { unreachable!() };
    /// assert!(matches!(home.begin(&key, 5), BeginReply::Running(_)));
    /// claim.abandon();
    /// assert!(matches!(home.begin(&key, 5), BeginReply::Fenced));
    /// assert!(matches!(home.begin(&key, 6), BeginReply::KeyReused));
    /// # Ok::<(), laburnumdeal_policy::KeyError>(())
    /// ```
    pub fn begin(&self, key: &RequestKey, fingerprint: u64) -> BeginReply {
        let mut records = self.lock();
        records.expire_tokenless();
        let Some(partition) = records.home_partition(key) else {
            return BeginReply::Unknown(UnknownReason::OtherRun);
        };
        if let Some(entry) = records.partition(partition).and_then(|p| p.entry(key.id())) {
            return reply_to_resend(entry, fingerprint);
        }
        match records.unrecorded_key(partition, key) {
            Err(reason) => BeginReply::Unknown(reason),
            Ok(UnrecordedKey::Claimable) if records.may_claim(partition, key) => {
                BeginReply::Claimed(self.claim(&mut records, partition, key, fingerprint))
            }
            Ok(UnrecordedKey::Claimable) => {
                records.insert(partition, key, fingerprint, ClaimState::Fenced);
                BeginReply::Fenced
            }
            Ok(_) => BeginReply::Fenced,
        }
    }

    fn claim(
        &self,
        records: &mut ClaimRecords,
        partition: PartitionId,
        key: &RequestKey,
        fingerprint: u64,
    ) -> Claim {
        let serial = records.next_serial;
        records.next_serial += 1;
        let sender = Arc::new(watch::Sender::new(None));
        let state = ClaimState::Pending {
            serial,
            sender: Arc::clone(&sender),
        };
        records.insert(partition, key, fingerprint, state);
        Claim::new(
            self.clone(),
            *key,
            serial,
            sender,
            records.mirror_of(key),
            records.now_ms(),
        )
    }
}

impl ClaimRecords {
    /// Returns whether a new key may be claimed. A tokenless key may not while earlier fences may be unknown.
    pub fn may_claim(&self, partition: PartitionId, key: &RequestKey) -> bool {
        let partner = || self.tokenless_partner(key.id());
        partition != PartitionId::Tokenless || self.partners.knows_fences(partner())
    }
}

fn reply_to_resend(entry: &ClaimEntry, fingerprint: u64) -> BeginReply {
    if entry.fingerprint != fingerprint {
        return BeginReply::KeyReused;
    }
    match &entry.state {
        ClaimState::Pending { sender, .. } | ClaimState::Started { sender, .. } => {
            BeginReply::Running(RunningClaim {
                result: sender.subscribe(),
            })
        }
        ClaimState::Finished { answer, .. } => BeginReply::Finished(Arc::clone(answer)),
        ClaimState::Fenced => BeginReply::Fenced,
        ClaimState::Ran | ClaimState::Mirrored { .. } => BeginReply::AlreadyRan,
    }
}
