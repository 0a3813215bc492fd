use laburnumdeal_model::{BootId, InstanceId};

use crate::answer_shelf::DomainId;
use crate::claim_record::record_of;
use crate::claim_records::ClaimRecords;
use crate::{ClaimRecord, ClaimTable, RecordState, TokenlessSync};

impl ClaimTable {
    /// Returns whether every new key without a token is claimed here.
    ///
    /// After a planned restart that is so for the keys shared with each partner that this run has synced
    /// from. After a crash, new keys are fenced until all earlier records would have expired: a fence that
    /// the earlier run alone had told is not among the records of the partner.
    pub fn accepts_tokenless_keys(&self) -> bool {
        let mut records = self.lock();
        records.expire_bare();
        let partners = records.bare_partners();
        let is_complete = !partners.is_empty()
            && partners
                .iter()
                .all(|p| records.partners.knows_fences(Some(*p)));
        !records.own.closed && (records.partners.knows_all() || is_complete)
    }

    /// Returns what a restarted partner must know of the keys without a token that it shares with this
    /// instance, or `None` if this run does not know all of their claims.
    ///
    /// From then on claims of earlier runs of the partner are refused.
    pub fn sync_records(&self, partner: InstanceId, partner_boot: BootId) -> Option<TokenlessSync> {
        let mut records = self.lock();
        records.expire_bare();
        let horizon_ms = records.settings.resend_horizon_ms;
        let oldest_ms = records.now_ms().saturating_sub(horizon_ms);
        let is_complete = records.partners.restarted(partner, partner_boot, oldest_ms);
        let knows_claims = records.partners.knows_claims(Some(partner));
        knows_claims.then(|| TokenlessSync {
            records: records.shared_with(partner),
            is_complete,
        })
    }

    /// Adopts what a partner returned from [`ClaimTable::sync_records`], unless all of it is known here.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_model::{BootId, InstanceId};
    /// use laburnumdeal_policy::{TokenlessHistory, ClaimSettings, ClaimTable};
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
        records.adopt_bare(sync.records);
        records.partners.synced_from(partner, sync.is_complete);
    }

    /// Returns, after [`ClaimTable::export`], all records of the keys without a token that this instance
    /// shares with a partner; `None` before, or if earlier records are not known.
    ///
    /// They must reach [`ClaimTable::import_tokenless`] of the partner within the resend horizon.
    pub fn export_tokenless(&self, partner: InstanceId) -> Option<Vec<ClaimRecord>> {
        let records = self.lock();
        let is_whole = records.own.closed && records.partners.knows_fences(Some(partner));
        is_whole.then(|| records.shared_with(partner))
    }

    /// Adopts all records that a partner returned from [`ClaimTable::export_tokenless`] before it stopped.
    pub fn import_tokenless(&self, from: InstanceId, from_boot: BootId, told: Vec<ClaimRecord>) {
        let mut records = self.lock();
        records.adopt_bare(told);
        let now_ms = records.now_ms();
        records.partners.stopped(from, from_boot, now_ms);
    }
}

impl ClaimRecords {
    fn adopt_bare(&mut self, told: Vec<ClaimRecord>) {
        let stamp_ms = self.now_ms();
        for told in told {
            // An earlier run may have fenced a key that its home still waits with: it may not be confirmed.
            let state = match told.state {
                RecordState::Claimed { .. } => RecordState::Ran,
                state => state,
            };
            let record = ClaimRecord {
                stamp_ms,
                state,
                ..told
            };
            self.adopt(DomainId::Bare, record);
        }
    }

    fn shared_with(&self, partner: InstanceId) -> Vec<ClaimRecord> {
        self.bare
            .entries()
            .filter(|(key, _)| self.bare_partner(*key) == Some(partner))
            .map(|(key, entry)| record_of(key, entry, self.settings.boot))
            .collect()
    }

    /// Returns the instances that this one can share a key without a token with.
    fn bare_partners(&self) -> Vec<InstanceId> {
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
