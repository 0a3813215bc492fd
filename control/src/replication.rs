use std::sync::Arc;

use laburnumdeal_model::{Digest, InstanceId, Term};
use slog::{debug, warn};
use tokio::time::{Instant, timeout};

use crate::core::Core;
use crate::progress::Progress;
use crate::sent_at::SentAt;
use crate::{ControlReply, ControlRequest, Disk, Member, PeerLink, ReplicaIdentity};

/// Maximum number of entries in one request.
const MAX_ENTRIES_PER_REQUEST: usize = 256;
/// Maximum size of a snapshot chunk in one request.
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// Snapshot that is being sent to a member, chunk by chunk.
struct OutgoingSnapshot {
    index: u64,
    bytes: Vec<u8>,
    digest: Digest,
    offset: usize,
}

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Starts a replication task for each member that has none in this term, and forgets the progress of
    /// those that are no members any more.
    pub fn spawn_replication_tasks(self: &Arc<Self>) {
        let (term, members) = {
            let mut volatile = self.volatile();
            if !volatile.leads_term(volatile.vote.term) {
                return;
            }
            // The others lack the first entry of a new leader, and most lack nothing else.
            let next_index = match volatile.is_established_leader() {
                true => volatile.last_index() + 1,
                false => volatile.term_start_index,
            };
            let current = volatile.members.clone();
            volatile
                .progress
                .retain(|identity, _| current.find(*identity).is_some());
            let others = volatile
                .members
                .list
                .iter()
                .filter(|m| m.identity != self.identity);
            let members: Vec<Member> = others.cloned().collect();
            for member in &members {
                let progress = volatile.progress.entry(member.identity);
                progress.or_insert_with(|| Progress::new(next_index));
            }
            (volatile.vote.term, members)
        };
        for member in members {
            let Some(instance) = self.instance_id(&member.instance) else {
                warn!(self.log, "cannot replicate to a member that is not in the topology";
                    "instance" => &member.instance);
                continue;
            };
            let mut tasks = self
                .replication_tasks
                .lock()
                .expect("the lock is not poisoned");
            if tasks.insert((term, member.identity)) {
                self.spawn(
                    self.clone()
                        .replicate_to_member(instance, member.identity, term),
                );
            }
        }
    }

    /// Sends entries, snapshots and heartbeats to one member for as long as this replica leads the
    /// term.
    async fn replicate_to_member(
        self: Arc<Self>,
        to: InstanceId,
        identity: ReplicaIdentity,
        term: Term,
    ) {
        let mut changed = self.change_count.subscribe();
        let mut outgoing = None;
        loop {
            changed.mark_unchanged();
            let Some(request) = self.next_request(identity, term, &mut outgoing).await else {
                break;
            };
            let sent_at = SentAt {
                instant: Instant::now(),
                since_boot: (self.settings.since_boot)(),
            };
            let told_commit_index = match &request {
                ControlRequest::Append { commit_index, .. } => *commit_index,
                _ => 0,
            };
            let within = self.settings.lease_duration();
            let has_more = match self.call(to, request, within).await {
                Ok(reply) => {
                    self.on_reply(identity, term, sent_at, reply, &mut outgoing)
                        .await
                }
                Err(error) => {
                    debug!(self.log, "no reply from a member"; "to" => to.0, "error" => error);
                    false
                }
            };
            if !has_more {
                let pause = self
                    .settings
                    .heartbeat_interval()
                    .saturating_sub(sent_at.instant.elapsed());
                let news = self.wait_for_news(identity, term, told_commit_index, &mut changed);
                let _ = timeout(pause, news).await;
            }
        }
        let mut tasks = self
            .replication_tasks
            .lock()
            .expect("the lock is not poisoned");
        tasks.remove(&(term, identity));
    }

    /// Waits until there are entries to send to the member, the first entry of the term is committed
    /// and the member was told less, or this replica no longer leads the term.
    async fn wait_for_news(
        &self,
        identity: ReplicaIdentity,
        term: Term,
        told_commit_index: u64,
        changed: &mut tokio::sync::watch::Receiver<u64>,
    ) {
        loop {
            if changed.changed().await.is_err() {
                return;
            }
            let volatile = self.volatile();
            let next_index = volatile.progress.get(&identity).map(|p| p.next_index);
            let last_index = volatile.last_index();
            let is_newly_established =
                volatile.is_established_leader() && told_commit_index < volatile.term_start_index;
            if !volatile.leads_term(term)
                || is_newly_established
                || next_index.is_none_or(|next| next <= last_index)
            {
                return;
            }
        }
    }

    /// Returns the next request to send, or `None` if the replication task has to end.
    async fn next_request(
        &self,
        identity: ReplicaIdentity,
        term: Term,
        outgoing: &mut Option<OutgoingSnapshot>,
    ) -> Option<ControlRequest> {
        let needs_snapshot = {
            let volatile = self.volatile();
            if !volatile.leads_term(term) || volatile.members.find(identity).is_none() {
                return None;
            }
            let progress = volatile.progress.get(&identity)?;
            let index = volatile.snapshot_index;
            (progress.next_index <= index).then_some(index)
        };
        let Some(index) = needs_snapshot else {
            *outgoing = None;
            return self.append_request(identity, term);
        };
        if outgoing
            .as_ref()
            .is_none_or(|outgoing| outgoing.index != index)
        {
            *outgoing = self.load_snapshot(index).await;
        }
        match outgoing {
            Some(outgoing) => self.snapshot_request(identity, term, outgoing),
            None => self.append_request(identity, term),
        }
    }

    fn append_request(&self, identity: ReplicaIdentity, term: Term) -> Option<ControlRequest> {
        let volatile = self.volatile();
        if !volatile.leads_term(term) {
            return None;
        }
        let next_index = volatile.progress.get(&identity)?.next_index;
        let next_index = next_index.max(volatile.snapshot_index + 1);
        let entries = volatile.message_from(next_index, MAX_ENTRIES_PER_REQUEST);
        Some(ControlRequest::Append {
            header: self.header(&volatile, identity),
            previous_index: next_index - 1,
            previous_term: volatile.term_at(next_index - 1)?,
            entries,
            commit_index: volatile.commit_index,
        })
    }

    async fn load_snapshot(&self, index: u64) -> Option<OutgoingSnapshot> {
        let guard = self.lock_store().await;
        let (_guard, read) = self
            .with_store(guard, move |store| store.read_snapshot(index))
            .await;
        match read {
            Ok(bytes) => Some(OutgoingSnapshot {
                index,
                digest: Digest::of(&[&bytes]),
                bytes,
                offset: 0,
            }),
            Err(error) => {
                warn!(self.log, "cannot read the snapshot to send to a member"; "error" => %error);
                None
            }
        }
    }

    fn snapshot_request(
        &self,
        identity: ReplicaIdentity,
        term: Term,
        outgoing: &OutgoingSnapshot,
    ) -> Option<ControlRequest> {
        let volatile = self.volatile();
        if !volatile.leads_term(term) {
            return None;
        }
        let end = outgoing
            .bytes
            .len()
            .min(outgoing.offset + SNAPSHOT_CHUNK_BYTES);
        Some(ControlRequest::Snapshot {
            header: self.header(&volatile, identity),
            index: outgoing.index,
            total_bytes: outgoing.bytes.len() as u64,
            offset: outgoing.offset as u64,
            bytes: outgoing.bytes[outgoing.offset..end].to_vec(),
            digest: outgoing.digest,
        })
    }

    /// Processes a reply; returns whether there is more to send at once.
    async fn on_reply(
        &self,
        identity: ReplicaIdentity,
        term: Term,
        sent_at: SentAt,
        reply: ControlReply,
        outgoing: &mut Option<OutgoingSnapshot>,
    ) -> bool {
        match reply {
            ControlReply::Append { term: newer, .. } if newer > term => {
                self.adopt_term(newer).await;
                false
            }
            ControlReply::Append {
                term: same,
                success,
                matched,
                storage_full,
            } if same == term => {
                let mut volatile = self.volatile();
                if !volatile.leads_term(term) {
                    return false;
                }
                let last_index = volatile.last_index();
                let Some(progress) = volatile.progress.get_mut(&identity) else {
                    return false;
                };
                let before = (
                    progress.next_index,
                    outgoing.as_ref().map(|snapshot| snapshot.offset),
                );
                progress.last_acked_sent_at = Some(sent_at);
                progress.storage_full = storage_full;
                progress.blank_identity = None;
                if success {
                    progress.matched_index = progress.matched_index.max(matched);
                    progress.next_index = progress.matched_index + 1;
                } else if let Some(outgoing) = outgoing {
                    outgoing.offset = usize::try_from(matched)
                        .unwrap_or(0)
                        .min(outgoing.bytes.len());
                } else {
                    progress.next_index = matched.min(progress.next_index - 1) + 1;
                    progress.next_index = progress.next_index.max(progress.matched_index + 1);
                }
                let after = (
                    progress.next_index,
                    outgoing.as_ref().map(|snapshot| snapshot.offset),
                );
                let has_more = after != before && progress.next_index <= last_index;
                self.advance_commit_index(&mut volatile);
                has_more
            }
            ControlReply::WrongReplica {
                identity: other,
                cluster,
            } => {
                self.on_wrong_replica(identity, other, cluster.is_none());
                false
            }
            _ => false,
        }
    }

    /// Records that the member's instance answered with another identity. A blank replica can be
    /// brought in as a learner in place of the member.
    fn on_wrong_replica(&self, identity: ReplicaIdentity, other: ReplicaIdentity, blank: bool) {
        let mut volatile = self.volatile();
        let Some(progress) = volatile.progress.get_mut(&identity) else {
            return;
        };
        let found = (blank && other != identity).then_some(other);
        if progress.blank_identity != found || !blank {
            warn!(self.log, "a member's instance answered with another replica identity";
                "member" => %identity, "found" => %other, "blank" => blank);
        }
        progress.blank_identity = found;
    }
}
