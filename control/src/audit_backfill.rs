use std::sync::Arc;

use laburnumdeal_model::{AuditRecord, InstanceId};
use slog::{info, warn};
use tokio::time::sleep;

use crate::audit_trail::{AuditRange, AuditTrail, continues, first_gap};
use crate::core::Core;
use crate::entry::{fitting_count, steered_block_count};
use crate::{ControlReply, ControlRequest, Disk, PeerLink};

/// Maximum number of audit records in one reply.
const MAX_RECORDS_PER_REPLY: usize = 512;

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Fetches from other members the audit records that are missing here because a snapshot was
    /// installed instead of the entries.
    pub async fn run_audit_backfill(self: Arc<Self>) {
        let mut round = 0;
        loop {
            sleep(self.settings.election_timeout()).await;
            while let Some(gap) = self.first_audit_gap() {
                let Some(to) = self.member_to_ask(round) else {
                    break;
                };
                round += 1;
                if !self.fill_gap(gap, to).await {
                    break;
                }
            }
        }
    }

    fn first_audit_gap(&self) -> Option<AuditRange> {
        let volatile = self.volatile();
        first_gap(&volatile.audit_files, volatile.snapshot_index)
    }

    /// Returns the member to ask in a round, in rotation.
    fn member_to_ask(&self, round: usize) -> Option<InstanceId> {
        let volatile = self.volatile();
        let members = volatile.members.list.iter();
        let others = members.filter(|member| member.identity != self.identity);
        let others: Vec<InstanceId> = others
            .filter_map(|m| self.instance_id(&m.instance))
            .collect();
        others.get(round % others.len().max(1)).copied()
    }

    /// Fetches records of a gap from a member and stores them; returns whether any part of the gap
    /// was filled.
    async fn fill_gap(&self, gap: AuditRange, to: InstanceId) -> bool {
        let request = ControlRequest::Records {
            from_index: gap.first,
        };
        let reply = self
            .call(to, request, self.settings.election_timeout())
            .await;
        let Ok(ControlReply::Records {
            mut records,
            through_index,
        }) = reply
        else {
            return false;
        };
        let last = through_index.min(gap.last);
        records.retain(|record| record.index <= last);
        if last < gap.first || !self.continues_chain(gap.first, &records).await {
            return false;
        }
        let range = AuditRange {
            first: gap.first,
            last,
        };
        let guard = self.lock_store().await;
        let save = move |store: &mut crate::Store<D>| store.save_audit(range, &records);
        let (_guard, saved) = self.with_store(guard, save).await;
        match saved {
            Ok(()) => {
                self.volatile().add_audit_file(range);
                info!(self.log, "fetched missing audit records from a member";
                    "first" => range.first, "last" => last);
                true
            }
            Err(error) => {
                warn!(self.log, "cannot store fetched audit records"; "error" => %error);
                false
            }
        }
    }

    /// Returns whether records continue the hash chain of the records before index `first`.
    async fn continues_chain(&self, first: u64, records: &[AuditRecord]) -> bool {
        let trail = AuditTrail::new(&self.volatile());
        let disk = self.disk.clone();
        let chain_before = move || trail.chain_before(&disk, first);
        let chain = self.disk.run_blocking(chain_before).await;
        let is_valid = chain.is_some_and(|chain| continues(chain, records));
        if !is_valid {
            warn!(self.log, "audit records fetched from a member do not continue the hash chain";
                "from" => first);
        }
        is_valid
    }

    /// Answers another member's request for audit records.
    pub async fn on_records(&self, from_index: u64) -> ControlReply {
        let trail = AuditTrail::new(&self.volatile());
        let disk = self.disk.clone();
        let read = move || trail.read(&disk, from_index, MAX_RECORDS_PER_REPLY);
        let mut records = self.disk.run_blocking(read).await;
        if let Some(error) = &records.error {
            warn!(self.log, "cannot read audit records"; "error" => %error);
        }
        let before = records.list.len();
        let fitting = fitting_count(records.list.iter(), |record| {
            steered_block_count(&record.change)
        });
        records.list.truncate(fitting);
        if records.list.len() < before {
            records.through_index = records.list.last().map_or(0, |record| record.index);
        }
        ControlReply::Records {
            records: records.list,
            through_index: records.through_index,
        }
    }
}
