use std::sync::Arc;

use tokio::sync::watch;

use crate::answer_shelf::DomainId;
use crate::claim_domain::Vacancy;
use crate::claim_records::ClaimRecords;
use crate::claim_state::{ClaimEntry, ClaimState};
use crate::{BeginReply, Claim, ClaimTable, RequestKey, RunningClaim, UnknownReason};

impl ClaimTable {
    /// Claims a key on the home, or returns what became of it.
    ///
    /// The fingerprint is a hash of method, path and body; a key with another fingerprint is refused.
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
        records.expire_bare();
        let Some(domain) = records.home_domain(key) else {
            return BeginReply::Unknown(UnknownReason::OtherRun);
        };
        if let Some(entry) = records.domain(domain).and_then(|d| d.entry(key.id())) {
            return begin_again(entry, fingerprint);
        }
        match records.vacancy(domain, key) {
            Err(reason) => BeginReply::Unknown(reason),
            Ok(Vacancy::Open) if records.may_claim(domain, key) => {
                BeginReply::Claimed(self.claim(&mut records, domain, key, fingerprint))
            }
            Ok(Vacancy::Open) => {
                records.insert(domain, key, fingerprint, ClaimState::Fenced);
                BeginReply::Fenced
            }
            Ok(_) => BeginReply::Fenced,
        }
    }

    fn claim(
        &self,
        records: &mut ClaimRecords,
        domain: DomainId,
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
        records.insert(domain, key, fingerprint, state);
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
    /// Returns whether a new key may be claimed; without a token, not while earlier fences may be lost.
    pub fn may_claim(&self, domain: DomainId, key: &RequestKey) -> bool {
        let partner = || self.bare_partner(key.id());
        domain != DomainId::Bare || self.partners.knows_fences(partner())
    }
}

fn begin_again(entry: &ClaimEntry, fingerprint: u64) -> BeginReply {
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
