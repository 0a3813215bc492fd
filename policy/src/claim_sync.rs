use laburnumdeal_model::{BootId, InstanceId};

use crate::answer_queue::PartitionId;
use crate::claim_record::record_of;
use crate::claim_records::ClaimRecords;
use crate::{ClaimRecord, ClaimTable, RecordState, TokenlessSync};

impl ClaimTable {
    /// Returns whether every new tokenless key can be claimed here.
    ///
    /// After a planned restart, keys shared with a partner can be claimed once this run has synced from it.
    /// After a crash, new keys are fenced until all earlier records would have expired, because the partner
    /// has no record of a fence that only the earlier run had confirmed.
    pub fn accepts_tokenless_keys(&self) -> bool {
        let mut records = self.lock();
        records.expire_tokenless();
        let partners = records.tokenless_partners();
        let is_complete = !partners.is_empty()
            && partners
                .iter()
                .all(|p| records.partners.knows_fences(Some(*p)));
        !records.own.is_closed && (records.partners.knows_all() || is_complete)
    }

    /// Returns the records of tokenless keys that a restarted partner shares with this instance, or `None` if
    /// this run does not know all claims of those keys.
    ///
    /// From then on claims by earlier runs of the partner are refused.
    pub fn sync_records(&self, partner: InstanceId, partner_boot: BootId) -> Option<TokenlessSync> {
        let mut records = self.lock();
        records.expire_tokenless();
        let horizon_ms = records.settings.resend_horizon_ms;
        let oldest_ms = records.now_ms().saturating_sub(horizon_ms);
        let is_complete = records
            .partners
            .record_restart(partner, partner_boot, oldest_ms);
        let knows_claims = records.partners.knows_claims(Some(partner));
        knows_claims.then(|| TokenlessSync {
            records: records.shared_with(partner),
            is_complete,
        })
    }

    /// Adds the records that a partner returned from [`ClaimTable::sync_records`].
    ///
    /// Ignored if all earlier claims and fences of the shared keys are known here.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_model::{BootId, InstanceId};
    /// use laburnumdeal_policy::{ClaimSettings, ClaimTable, TokenlessHistory};
    ///
    /// let partner = ClaimTable::new(ClaimSettings {
    ///     tokenless_history: TokenlessHistory::Complete,
    ///     ..ClaimSettings::new(InstanceId(2), BootId(71))
    /// });
    /// let restarted = ClaimTable::new(ClaimSettings::new(InstanceId(1), BootId(72)));
    /// let sync = partner.sync_records(InstanceId(1), BootId(72)).unwrap();
    /// restarted.sync_from(InstanceId(2), sync);
    /// assert!(!restarted.accepts_tokenless_keys(), "the earlier run did not stop as planned");
    /// ```
    pub fn sync_from(&self, partner: InstanceId, sync: TokenlessSync) {
        let mut records = self.lock();
        if records.partners.knows_fences(Some(partner)) {
            return;
        }
        records.add_received_tokenless(sync.records);
        records.partners.record_sync(partner, sync.is_complete);
    }

    /// Returns all records of the tokenless keys that this instance shares with a partner.
    ///
    /// Returns `None` before [`ClaimTable::export`], or if records of earlier runs may be missing. The
    /// records must reach [`ClaimTable::import_tokenless`] of the partner within the resend horizon.
    pub fn export_tokenless(&self, partner: InstanceId) -> Option<Vec<ClaimRecord>> {
        let records = self.lock();
        let is_complete = records.own.is_closed && records.partners.knows_fences(Some(partner));
        is_complete.then(|| records.shared_with(partner))
    }

    /// Adds the records that a partner returned from [`ClaimTable::export_tokenless`] before it stopped.
    pub fn import_tokenless(
        &self,
        from: InstanceId,
        from_boot: BootId,
        received: Vec<ClaimRecord>,
    ) {
        let mut records = self.lock();
        records.add_received_tokenless(received);
        let now_ms = records.now_ms();
        records.partners.record_stop(from, from_boot, now_ms);
    }
}

impl ClaimRecords {
    fn add_received_tokenless(&mut self, received: Vec<ClaimRecord>) {
        let stamp_ms = self.now_ms();
        for received in received {
            // An earlier run may have fenced a key whose home has a claim that has not started. That claim
            // must not be confirmed, so the key is marked as possibly run.
            let state = match received.state {
                RecordState::Claimed { .. } => RecordState::Ran,
                state => state,
            };
            let record = ClaimRecord {
                stamp_ms,
                state,
                ..received
            };
            self.add_received(PartitionId::Tokenless, record);
        }
    }

    fn shared_with(&self, partner: InstanceId) -> Vec<ClaimRecord> {
        self.tokenless
            .entries()
            .filter(|(key, _)| self.tokenless_partner(*key) == Some(partner))
            .map(|(key, entry)| record_of(key, entry, self.settings.boot))
            .collect()
    }

    /// Returns the instances that can share a tokenless key with this one.
    fn tokenless_partners(&self) -> Vec<InstanceId> {
        let members = &self.settings.members;
        let me = self.settings.me;
        let my_zone = members.iter().find(|(id, _)| *id == me).map(|(_, z)| *z);
        let is_elsewhere = |zone| Some(zone) != my_zone;
        let has_elsewhere = members.iter().any(|(_, zone)| is_elsewhere(*zone));
        members
            .iter()
            .filter(|(id, zone)| *id != me && (!has_elsewhere || is_elsewhere(*zone)))
            .map(|(id, _)| *id)
            .collect()
    }
}
