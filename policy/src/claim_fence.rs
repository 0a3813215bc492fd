use std::sync::Arc;

use crate::answer_shelf::DomainId;
use crate::claim_domain::Vacancy;
use crate::claim_records::ClaimRecords;
use crate::claim_state::ClaimState;
use crate::{ClaimResult, ClaimTable, FenceReply, RequestKey, UnknownReason};

impl ClaimTable {
    /// Fences a key that this instance, as home or mirror, has not claimed, or returns what became of it.
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
        records.expire_bare();
        let domains = [records.home_domain(key), records.mirror_domain(key)];
        let mut reply = FenceReply::Unknown(UnknownReason::OtherRun);
        for domain in domains.into_iter().flatten() {
            reply = records.fence_in(domain, key, fingerprint);
            if !matches!(reply, FenceReply::Unknown(_)) {
                break;
            }
        }
        reply
    }
}

impl ClaimRecords {
    fn fence_in(&mut self, domain: DomainId, key: &RequestKey, fingerprint: u64) -> FenceReply {
        if let Some(entry) = self.domain(domain).and_then(|d| d.entry(key.id())) {
            if entry.fingerprint != fingerprint {
                return FenceReply::KeyReused;
            }
            return match &entry.state {
                ClaimState::Finished { answer, .. } => FenceReply::Finished(Arc::clone(answer)),
                ClaimState::Fenced => FenceReply::Fenced,
                ClaimState::Pending { .. } => self.fence_pending(domain, key),
                ClaimState::Started { .. } | ClaimState::Mirrored { .. } | ClaimState::Ran => {
                    FenceReply::Claimed
                }
            };
        }
        match self.vacancy(domain, key) {
            Err(reason) => FenceReply::Unknown(reason),
            Ok(Vacancy::Open) => {
                self.insert(domain, key, fingerprint, ClaimState::Fenced);
                FenceReply::Fenced
            }
            Ok(_) => FenceReply::Fenced,
        }
    }

    fn fence_pending(&mut self, domain: DomainId, key: &RequestKey) -> FenceReply {
        let entry = self.domain(domain).and_then(|d| d.entry(key.id()));
        if let Some(ClaimState::Pending { sender, .. }) = entry.map(|e| &e.state) {
            sender.send_replace(Some(ClaimResult::NotRun));
        }
        self.set_state(domain, key.id(), ClaimState::Fenced);
        FenceReply::Fenced
    }
}
