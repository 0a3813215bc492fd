use std::sync::Arc;

use laburnumdeal_model::{BootId, InstanceId};
use tokio::time::Instant;

use crate::answer_queue::{AnswerQueue, PartitionId};
use crate::claim_import::ClaimImport;
use crate::claim_partition::{ClaimPartition, UnrecordedKey};
use crate::claim_state::{ClaimEntry, ClaimState};
use crate::tokenless_partners::TokenlessPartners;
use crate::{ClaimResult, ClaimSettings, KeyId, RequestKey, StoredAnswer, UnknownReason};

/// Resend horizons for which records of tokenless keys are kept: one until the last resend, and one for the
/// longest time between a claim and its start.
pub(crate) const TOKENLESS_RETENTION_HORIZONS: u64 = 2;

/// State of a [`crate::ClaimTable`], behind its lock.
#[derive(Debug)]
pub(crate) struct ClaimRecords {
    pub settings: ClaimSettings,
    pub own: ClaimPartition,
    pub tokenless: ClaimPartition,
    pub imports: Vec<ClaimImport>,
    pub answers: AnswerQueue,
    /// State of the exchange of tokenless keys with the partners.
    pub partners: TokenlessPartners,
    pub next_serial: u64,
    started_at: Instant,
    /// Tokenless keys from before this time are unknown, except those received from partners.
    unknown_before_ms: u64,
    last_tick_ms: Option<u64>,
}

impl ClaimRecords {
    pub fn new(settings: ClaimSettings) -> Self {
        let partners = TokenlessPartners::new(settings.tokenless_history);
        Self {
            settings,
            own: ClaimPartition::default(),
            tokenless: ClaimPartition::default(),
            imports: Vec::new(),
            answers: AnswerQueue::default(),
            partners,
            next_serial: 0,
            started_at: Instant::now(),
            unknown_before_ms: 0,
            last_tick_ms: None,
        }
    }

    /// Returns the age of this table, which is the stamp of a new tokenless key.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Returns the stamp of a new record for the key: the issue time of its token, or the current time.
    pub fn stamp_ms(&self, key: &RequestKey) -> u64 {
        key.token.map_or_else(|| self.now_ms(), |t| t.issued_ms)
    }

    pub fn partition(&self, id: PartitionId) -> Option<&ClaimPartition> {
        match id {
            PartitionId::Own => Some(&self.own),
            PartitionId::Tokenless => Some(&self.tokenless),
            PartitionId::Imported(from, boot) => self
                .imports
                .iter()
                .find(|i| i.is_of(from, boot))
                .map(|i| &i.partition),
        }
    }

    pub fn partition_mut(&mut self, id: PartitionId) -> Option<&mut ClaimPartition> {
        match id {
            PartitionId::Own => Some(&mut self.own),
            PartitionId::Tokenless => Some(&mut self.tokenless),
            PartitionId::Imported(from, boot) => self
                .imports
                .iter_mut()
                .find(|i| i.is_of(from, boot))
                .map(|i| &mut i.partition),
        }
    }

    /// Returns the partition of a run of an instance, if this instance is responsible for that run.
    pub fn partition_of_run(&self, instance: InstanceId, boot: BootId) -> Option<PartitionId> {
        if (instance, boot) == (self.settings.me, self.settings.boot) {
            return Some(PartitionId::Own);
        }
        self.imports
            .iter()
            .any(|i| i.is_of(instance, boot) && i.is_complete())
            .then_some(PartitionId::Imported(instance, boot))
    }

    /// Returns the state of a key without a record.
    ///
    /// # Errors
    ///
    /// Returns the reason why the state is unknown.
    pub fn unrecorded_key(
        &self,
        id: PartitionId,
        key: &RequestKey,
    ) -> Result<UnrecordedKey, UnknownReason> {
        if id == PartitionId::Tokenless {
            return self.unrecorded_tokenless_key(key.id());
        }
        let partition = self.partition(id).ok_or(UnknownReason::OtherRun)?;
        match partition.unrecorded_key(key.token.map_or(0, |t| t.issued_ms)) {
            UnrecordedKey::MaybeEvicted => Err(UnknownReason::BelowFloor),
            unrecorded => Ok(unrecorded),
        }
    }

    fn unrecorded_tokenless_key(&self, key: KeyId) -> Result<UnrecordedKey, UnknownReason> {
        if self.own.is_closed {
            Err(UnknownReason::Stopped)
        } else if !self.partners.knows_claims(self.tokenless_partner(key)) {
            Err(UnknownReason::NotSynced)
        } else if self.tokenless.len() >= self.settings.tokenless_record_limit {
            Err(UnknownReason::Full)
        } else {
            Ok(UnrecordedKey::Claimable)
        }
    }

    /// Adds a record, and evicts the oldest records with a token beyond the limit.
    pub fn insert(
        &mut self,
        id: PartitionId,
        key: &RequestKey,
        fingerprint: u64,
        state: ClaimState,
    ) {
        let entry = ClaimEntry {
            fingerprint,
            stamp_ms: self.stamp_ms(key),
            state,
        };
        if let Some(partition) = self.partition_mut(id) {
            partition.insert(key.id(), entry);
        }
        self.evict_records();
    }

    /// Evicts records of keys with a token, lowest stamp first, down to the limit.
    pub fn evict_records(&mut self) {
        while self.token_record_count() > self.settings.record_limit {
            let state = self.oldest_partition_mut().evict_oldest();
            self.release(state);
        }
    }

    /// Removes expired records of tokenless keys, and accepts new ones once all unknown records have expired.
    ///
    /// If the last tick is more than a resend horizon ago, the process was frozen and may have been
    /// replaced: all that is known of earlier tokenless keys is discarded.
    pub fn expire_tokenless(&mut self) {
        let now_ms = self.now_ms();
        let horizon_ms = self.settings.resend_horizon_ms;
        let retention_ms = TOKENLESS_RETENTION_HORIZONS * horizon_ms;
        if self
            .last_tick_ms
            .is_some_and(|at_ms| now_ms > at_ms + horizon_ms)
        {
            self.partners.invalidate();
            self.unknown_before_ms = now_ms;
            self.last_tick_ms = Some(now_ms);
        }
        if now_ms >= self.unknown_before_ms + retention_ms {
            self.partners.set_all_known();
        }
        if now_ms < retention_ms {
            return;
        }
        while let Some(state) = self.tokenless.expire_one(now_ms - retention_ms) {
            self.release(Some(state));
        }
    }

    /// Records that this process is running, after a check for a freeze since the last tick.
    pub fn tick(&mut self) {
        self.expire_tokenless();
        self.last_tick_ms = Some(self.now_ms());
    }

    /// Returns the number of records of keys with a token.
    pub fn token_record_count(&self) -> usize {
        let imported: usize = self.imports.iter().map(|i| i.partition.len()).sum();
        self.own.len() + imported
    }

    fn oldest_partition_mut(&mut self) -> &mut ClaimPartition {
        let imported = self.imports.iter_mut().map(|i| &mut i.partition);
        let own = &mut self.own;
        imported
            .chain([own])
            .filter(|partition| partition.len() > 0)
            .min_by_key(|partition| partition.oldest_stamp_ms())
            .expect("a table over its limit has a record")
    }

    /// Removes the stored answer of a removed record, and reports "not run" to requests that wait for it.
    pub fn release(&mut self, state: Option<ClaimState>) {
        match state {
            Some(ClaimState::Finished { order, .. }) => self.answers.remove(order),
            Some(ClaimState::Pending { sender, .. }) => {
                sender.send_replace(Some(ClaimResult::NotRun));
            }
            _ => {}
        }
    }

    /// Stores an answer in a record, and evicts the oldest answers beyond the memory limit.
    pub fn set_answer(&mut self, id: PartitionId, key: KeyId, answer: Arc<StoredAnswer>) {
        let len_bytes = answer.len_bytes();
        let order = self.answers.add(id, key, len_bytes);
        let state = ClaimState::Finished { answer, order };
        self.set_state(id, key, state);
        while self.answers.len_bytes() > self.settings.answer_budget_bytes {
            let Some((partition, key)) = self.answers.pop_oldest() else {
                break;
            };
            let entry = self.partition_mut(partition).and_then(|p| p.entry_mut(key));
            if let Some(entry) = entry {
                entry.state = ClaimState::Ran;
            }
        }
    }

    /// Replaces the state of a record, if it exists.
    pub fn set_state(&mut self, id: PartitionId, key: KeyId, state: ClaimState) {
        let entry = self.partition_mut(id).and_then(|p| p.entry_mut(key));
        let old = entry.map(|entry| std::mem::replace(&mut entry.state, state));
        if let Some(ClaimState::Finished { order, .. }) = old {
            self.answers.remove(order);
        }
    }
}
