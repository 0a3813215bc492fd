use std::sync::Arc;

use laburnumdeal_model::{BootId, InstanceId};
use tokio::time::Instant;

use crate::answer_shelf::{AnswerShelf, DomainId};
use crate::bare_partners::BarePartners;
use crate::claim_domain::{ClaimDomain, Vacancy};
use crate::claim_import::ClaimImport;
use crate::claim_state::{ClaimEntry, ClaimState};
use crate::{ClaimResult, ClaimSettings, KeyId, RequestKey, StoredAnswer, UnknownReason};

/// How many resend horizons records of keys without a token are kept: one for the last resend, one for
/// the longest time between a claim and its start.
pub(crate) const BARE_KEPT_HORIZONS: u64 = 2;

/// All records of one instance; callers hold the lock of the table.
#[derive(Debug)]
pub(crate) struct ClaimRecords {
    pub settings: ClaimSettings,
    pub own: ClaimDomain,
    pub bare: ClaimDomain,
    pub imports: Vec<ClaimImport>,
    pub answers: AnswerShelf,
    /// What this run and its partners know of each other's keys without a token.
    pub partners: BarePartners,
    pub next_serial: u64,
    started_at: Instant,
    /// Time from which on earlier keys without a token are unknown, unless partners tell them.
    blank_since_ms: u64,
    last_tick_ms: Option<u64>,
}

impl ClaimRecords {
    pub fn new(settings: ClaimSettings) -> Self {
        let partners = BarePartners::new(settings.tokenless_history);
        Self {
            settings,
            own: ClaimDomain::default(),
            bare: ClaimDomain::default(),
            imports: Vec::new(),
            answers: AnswerShelf::default(),
            partners,
            next_serial: 0,
            started_at: Instant::now(),
            blank_since_ms: 0,
            last_tick_ms: None,
        }
    }

    /// Returns the time since this table was made, which stamps keys without a token.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Returns the stamp that orders the record of a key.
    pub fn stamp_ms(&self, key: &RequestKey) -> u64 {
        key.token.map_or_else(|| self.now_ms(), |t| t.issued_ms)
    }

    pub fn domain(&self, id: DomainId) -> Option<&ClaimDomain> {
        match id {
            DomainId::Own => Some(&self.own),
            DomainId::Bare => Some(&self.bare),
            DomainId::Imported(from, boot) => self
                .imports
                .iter()
                .find(|i| i.is_of(from, boot))
                .map(|i| &i.domain),
        }
    }

    pub fn domain_mut(&mut self, id: DomainId) -> Option<&mut ClaimDomain> {
        match id {
            DomainId::Own => Some(&mut self.own),
            DomainId::Bare => Some(&mut self.bare),
            DomainId::Imported(from, boot) => self
                .imports
                .iter_mut()
                .find(|i| i.is_of(from, boot))
                .map(|i| &mut i.domain),
        }
    }

    /// Returns the domain of a run that a token names, if this instance answers for it.
    pub fn domain_of_run(&self, instance: InstanceId, boot: BootId) -> Option<DomainId> {
        if (instance, boot) == (self.settings.me, self.settings.boot) {
            return Some(DomainId::Own);
        }
        self.imports
            .iter()
            .any(|i| i.is_of(instance, boot) && i.is_complete())
            .then_some(DomainId::Imported(instance, boot))
    }

    /// Returns what the absence of a record of the key means.
    pub fn vacancy(&self, id: DomainId, key: &RequestKey) -> Result<Vacancy, UnknownReason> {
        if id == DomainId::Bare {
            return self.bare_vacancy(key.id());
        }
        let domain = self.domain(id).ok_or(UnknownReason::OtherRun)?;
        match domain.vacancy(key.token.map_or(0, |t| t.issued_ms)) {
            Vacancy::BelowFloor => Err(UnknownReason::BelowFloor),
            vacancy => Ok(vacancy),
        }
    }

    fn bare_vacancy(&self, key: KeyId) -> Result<Vacancy, UnknownReason> {
        if self.own.closed {
            Err(UnknownReason::Stopped)
        } else if !self.partners.knows_claims(self.bare_partner(key)) {
            Err(UnknownReason::NotSynced)
        } else if self.bare.len() >= self.settings.tokenless_record_limit {
            Err(UnknownReason::Full)
        } else {
            Ok(Vacancy::Open)
        }
    }

    /// Adds a record and evicts the oldest beyond the limits.
    pub fn insert(&mut self, id: DomainId, key: &RequestKey, fingerprint: u64, state: ClaimState) {
        let entry = ClaimEntry {
            fingerprint,
            stamp_ms: self.stamp_ms(key),
            state,
        };
        if let Some(domain) = self.domain_mut(id) {
            domain.insert(key.id(), entry);
        }
        self.evict_records();
    }

    /// Evicts records of keys with a token, lowest stamp first, until the limit holds.
    pub fn evict_records(&mut self) {
        while self.token_records() > self.settings.record_limit {
            let state = self.oldest_domain_mut().evict_oldest();
            self.release(state);
        }
    }

    /// Removes expired records of keys without a token, and opens the table once all have expired.
    pub fn expire_bare(&mut self) {
        let now_ms = self.now_ms();
        let horizon_ms = self.settings.resend_horizon_ms;
        let kept_ms = BARE_KEPT_HORIZONS * horizon_ms;
        if self
            .last_tick_ms
            .is_some_and(|at_ms| now_ms > at_ms + horizon_ms)
        {
            self.partners.lapse();
            self.blank_since_ms = now_ms;
            self.last_tick_ms = Some(now_ms);
        }
        if now_ms >= self.blank_since_ms + kept_ms {
            self.partners.know_all();
        }
        if now_ms < kept_ms {
            return;
        }
        while let Some(state) = self.bare.expire_one(now_ms - kept_ms) {
            self.release(Some(state));
        }
    }

    /// Notes that this process is running, after it has checked that it was not frozen for long.
    pub fn tick(&mut self) {
        self.expire_bare();
        self.last_tick_ms = Some(self.now_ms());
    }

    /// Returns how many records of keys with a token there are.
    pub fn token_records(&self) -> usize {
        let imported: usize = self.imports.iter().map(|i| i.domain.len()).sum();
        self.own.len() + imported
    }

    fn oldest_domain_mut(&mut self) -> &mut ClaimDomain {
        let imported = self.imports.iter_mut().map(|i| &mut i.domain);
        let own = &mut self.own;
        imported
            .chain([own])
            .filter(|domain| domain.len() > 0)
            .min_by_key(|domain| domain.oldest_stamp_ms())
            .expect("a table over its limit has a record")
    }

    /// Gives back what the state of a removed record held.
    pub fn release(&mut self, state: Option<ClaimState>) {
        match state {
            Some(ClaimState::Finished { order, .. }) => self.answers.remove(order),
            Some(ClaimState::Pending { sender, .. }) => {
                sender.send_replace(Some(ClaimResult::NotRun));
            }
            _ => {}
        }
    }

    /// Keeps an answer on a record, evicting the oldest answers beyond the budget.
    pub fn keep_answer(&mut self, id: DomainId, key: KeyId, answer: Arc<StoredAnswer>) {
        let len_bytes = answer.len_bytes();
        let order = self.answers.add(id, key, len_bytes);
        let state = ClaimState::Finished { answer, order };
        self.set_state(id, key, state);
        while self.answers.len_bytes() > self.settings.answer_budget_bytes {
            let Some((domain, key)) = self.answers.pop_oldest() else {
                break;
            };
            let entry = self.domain_mut(domain).and_then(|d| d.entry_mut(key));
            if let Some(entry) = entry {
                entry.state = ClaimState::Ran;
            }
        }
    }

    /// Replaces the state of a record that exists.
    pub fn set_state(&mut self, id: DomainId, key: KeyId, state: ClaimState) {
        let entry = self.domain_mut(id).and_then(|d| d.entry_mut(key));
        let old = entry.map(|entry| std::mem::replace(&mut entry.state, state));
        if let Some(ClaimState::Finished { order, .. }) = old {
            self.answers.remove(order);
        }
    }
}
