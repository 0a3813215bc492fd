use std::sync::Arc;

use laburnumdeal_model::{BootId, InstanceId};

use crate::answer_shelf::DomainId;
use crate::claim_domain::Vacancy;
use crate::claim_records::ClaimRecords;
use crate::claim_state::ClaimState;
use crate::{ClaimTable, MirrorReply, RequestKey, StoredAnswer, UnknownReason};

impl ClaimTable {
    /// Claims a key on the mirror for a run of the home; a repeated message gets the same reply.
    pub fn mirror_claim(
        &self,
        key: &RequestKey,
        fingerprint: u64,
        home: InstanceId,
        home_boot: BootId,
    ) -> MirrorReply {
        let mut records = self.lock();
        records.expire_bare();
        let Some(domain) = records.mirror_domain(key) else {
            return MirrorReply::Unknown(UnknownReason::OtherRun);
        };
        if !records.is_home_of(key, home, home_boot) {
            return MirrorReply::Unknown(UnknownReason::OtherRun);
        }
        if let Some(entry) = records.domain(domain).and_then(|d| d.entry(key.id())) {
            return records.claimed_before(&entry.state, home_boot);
        }
        match records.vacancy(domain, key) {
            Err(reason) => MirrorReply::Unknown(reason),
            Ok(Vacancy::Open) if records.may_claim(domain, key) => {
                let state = ClaimState::Mirrored { home_boot };
                records.insert(domain, key, fingerprint, state);
                records.claimed()
            }
            Ok(Vacancy::Open) => {
                records.insert(domain, key, fingerprint, ClaimState::Fenced);
                MirrorReply::Fenced
            }
            Ok(_) => MirrorReply::Fenced,
        }
    }

    /// Keeps the answer of a finished request that another instance ran.
    pub fn store_answer(&self, key: &RequestKey, answer: StoredAnswer) {
        let mut records = self.lock();
        let domains = [records.home_domain(key), records.mirror_domain(key)];
        let answer = Arc::new(answer);
        for domain in domains.into_iter().flatten() {
            if records.ran_elsewhere(domain, key) {
                records.keep_answer(domain, key.id(), Arc::clone(&answer));
            }
        }
    }

    /// Fences a key on the mirror that its home has abandoned before the start.
    pub fn store_fence(&self, key: &RequestKey, home: InstanceId, home_boot: BootId) {
        let mut records = self.lock();
        let Some(domain) = records.mirror_domain(key) else {
            return;
        };
        let entry = records.domain(domain).and_then(|d| d.entry(key.id()));
        let is_claimed = entry.is_some_and(
            |e| matches!(e.state, ClaimState::Mirrored { home_boot: boot } if boot == home_boot),
        );
        if is_claimed && records.is_home_of(key, home, home_boot) {
            records.set_state(domain, key.id(), ClaimState::Fenced);
        }
    }
}

impl ClaimRecords {
    fn is_home_of(&self, key: &RequestKey, home: InstanceId, home_boot: BootId) -> bool {
        match key.token {
            Some(token) => token.is_home(home, home_boot),
            None => {
                let synced = self.partners.boot(home);
                self.bare_pair(key.id()).0 == home && synced.is_none_or(|boot| boot == home_boot)
            }
        }
    }

    fn claimed(&self) -> MirrorReply {
        MirrorReply::Claimed {
            mirror_boot: self.settings.boot,
        }
    }

    fn claimed_before(&self, state: &ClaimState, home_boot: BootId) -> MirrorReply {
        match state {
            ClaimState::Fenced => MirrorReply::Fenced,
            ClaimState::Mirrored { home_boot: boot } if *boot == home_boot => self.claimed(),
            _ => MirrorReply::ClaimedByOther,
        }
    }

    fn ran_elsewhere(&self, domain: DomainId, key: &RequestKey) -> bool {
        self.domain(domain)
            .and_then(|d| d.entry(key.id()))
            .is_some_and(|e| matches!(e.state, ClaimState::Mirrored { .. } | ClaimState::Ran))
    }
}
