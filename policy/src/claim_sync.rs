use laburnumdeal_model::{BootId, InstanceId};

use crate::answer_shelf::DomainId;
use crate::claim_hand_over::record_of;
use crate::{ClaimRecord, ClaimTable};

impl ClaimTable {
    /// Returns whether new keys without a token are claimed here.
    ///
    /// A restarted run fences them instead, after it has synced, until all earlier records would have
    /// expired: a fence that the earlier run alone had told is not among the records of the partner.
    pub fn bare_ready(&self) -> bool {
        let mut records = self.lock();
        records.expire_bare();
        records.is_bare_ready && !records.own.closed
    }

    /// Returns the records of the keys without a token that this instance shares with a restarted partner,
    /// or `None` if this run does not know them all.
    ///
    /// From then on claims of earlier runs of the partner are refused.
    pub fn sync_records(
        &self,
        partner: InstanceId,
        partner_boot: BootId,
    ) -> Option<Vec<ClaimRecord>> {
        let mut records = self.lock();
        records.expire_bare();
        records.partner_boots.insert(partner, partner_boot);
        if !records.is_bare_ready && !records.synced_from.contains(&partner) {
            return None;
        }
        let boot = records.settings.boot;
        let common = records
            .bare
            .entries()
            .filter(|(key, _)| records.bare_partner(*key) == Some(partner))
            .map(|(key, entry)| record_of(key, entry, boot))
            .collect();
        Some(common)
    }

    /// Adopts the records that a partner returned from [`ClaimTable::sync_records`], all at once.
    pub fn sync_from(&self, partner: InstanceId, told: Vec<ClaimRecord>) {
        let mut records = self.lock();
        let stamp_ms = records.now_ms();
        for record in told {
            let record = ClaimRecord { stamp_ms, ..record };
            records.adopt(DomainId::Bare, record);
        }
        records.synced_from.insert(partner);
    }
}
