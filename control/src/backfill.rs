use std::sync::Arc;

use laburnumdeal_model::{Applied, InstanceId};
use slog::{info, warn};
use tokio::time::sleep;

use crate::core::Core;
use crate::entry::{cut_to_message, steered_block_count};
use crate::trail::{AuditRange, Trail, continues, first_gap};
use crate::{ControlReply, ControlRequest, Disk, PeerLink};

/// Audit records in one reply.
const RECORDS_PER_REPLY: usize = 512;

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Fetches from the other members the audit records that a snapshot of theirs skipped.
    pub async fn run_backfill(self: Arc<Self>) {
        let mut turn = 0;
        loop {
            sleep(self.settings.election()).await;
            while let Some(gap) = self.gap() {
                let Some(to) = self.member_to_ask(turn) else {
                    break;
                };
                turn += 1;
                if !self.fill(gap, to).await {
                    break;
                }
            }
        }
    }

    fn gap(&self) -> Option<AuditRange> {
        let volatile = self.volatile();
        first_gap(&volatile.audit_files, volatile.snapshot_index)
    }

    fn member_to_ask(&self, turn: usize) -> Option<InstanceId> {
        let volatile = self.volatile();
        let members = volatile.members.list.iter();
        let others = members.filter(|member| member.identity != self.identity);
        let others: Vec<InstanceId> = others.filter_map(|m| self.instance(&m.instance)).collect();
        others.get(turn % others.len().max(1)).copied()
    }

    /// Stores the records of a member in a gap; returns whether that made progress.
    async fn fill(&self, gap: AuditRange, to: InstanceId) -> bool {
        let request = ControlRequest::Records {
            from_index: gap.first,
        };
        let reply = self.call(to, request, self.settings.election()).await;
        let Ok(ControlReply::Records {
            mut records,
            through_index,
        }) = reply
        else {
            return false;
        };
        let last = through_index.min(gap.last);
        records.retain(|record| record.index <= last);
        if last < gap.first || !self.follows(gap.first, &records).await {
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
                info!(self.log, "fetched audit records"; "first" => range.first, "last" => last);
                true
            }
            Err(error) => {
                warn!(self.log, "audit records cannot be stored"; "error" => %error);
                false
            }
        }
    }

    /// Returns whether records continue the chain of those before an index.
    async fn follows(&self, first: u64, records: &[Applied]) -> bool {
        let trail = Trail::new(&self.volatile());
        let disk = self.disk.clone();
        let chain_before = move || trail.chain_before(&disk, first);
        let chain = self.disk.run_blocking(chain_before).await;
        let fits = chain.is_some_and(|chain| continues(chain, records));
        if !fits {
            warn!(self.log, "audit records of a member break the chain"; "from" => first);
        }
        fits
    }

    /// Returns audit records for another member.
    pub async fn on_records(&self, from_index: u64) -> ControlReply {
        let trail = Trail::new(&self.volatile());
        let disk = self.disk.clone();
        let read = move || trail.read(&disk, from_index, RECORDS_PER_REPLY);
        let mut records = self.disk.run_blocking(read).await;
        if let Some(error) = &records.error {
            warn!(self.log, "audit records cannot be read"; "error" => %error);
        }
        let before = records.list.len();
        cut_to_message(&mut records.list, |record| {
            steered_block_count(&record.change)
        });
        if records.list.len() < before {
            records.through_index = records.list.last().map_or(0, |record| record.index);
        }
        ControlReply::Records {
            records: records.list,
            through_index: records.through_index,
        }
    }
}
