use std::sync::Arc;

use laburnumdeal_model::{Digest, InstanceId, Term};
use slog::{debug, warn};
use tokio::time::{Instant, timeout};

use crate::core::Core;
use crate::entry::cut_to_message;
use crate::progress::Progress;
use crate::{ControlReply, ControlRequest, Disk, Entry, Member, PeerLink, ReplicaIdentity};

/// Most entries in one request.
const ENTRIES_PER_REQUEST: usize = 256;
/// Bytes of a snapshot in one request.
const SNAPSHOT_PART_BYTES: usize = 256 * 1024;

/// Snapshot that is being sent to a member.
struct Sending {
    index: u64,
    bytes: Vec<u8>,
    digest: Digest,
    offset: usize,
}

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Starts a task for each member that has none in this term.
    pub fn spawn_peers(self: &Arc<Self>) {
        let (term, members) = {
            let mut volatile = self.volatile();
            if !volatile.leads(volatile.vote.term) {
                return;
            }
            let next_index = volatile.last_index() + 1;
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
            let Some(instance) = self.instance(&member.instance) else {
                warn!(self.log, "a member is not in the topology"; "instance" => &member.instance);
                continue;
            };
            let mut peers = self.peers.lock().expect("no holder panics");
            if peers.insert((term, member.identity)) {
                self.spawn(self.clone().run_peer(instance, member.identity, term));
            }
        }
    }

    /// Sends entries and heartbeats to one member while this replica leads the term.
    async fn run_peer(self: Arc<Self>, to: InstanceId, identity: ReplicaIdentity, term: Term) {
        let mut changed = self.changed.subscribe();
        let mut sending = None;
        loop {
            changed.mark_unchanged();
            let Some(request) = self.next_request(identity, term, &mut sending).await else {
                break;
            };
            let sent_at = Instant::now();
            let within = self.settings.lease();
            let more = match self.call(to, request, within).await {
                Ok(reply) => {
                    self.on_reply(identity, term, sent_at, reply, &mut sending)
                        .await
                }
                Err(error) => {
                    debug!(self.log, "a member does not answer"; "to" => to.0, "error" => error);
                    false
                }
            };
            if !more {
                let rest = self.settings.heartbeat().saturating_sub(sent_at.elapsed());
                let _ = timeout(rest, self.wait_for_entries(identity, term, &mut changed)).await;
            }
        }
        let mut peers = self.peers.lock().expect("no holder panics");
        peers.remove(&(term, identity));
    }

    /// Returns once there are entries that the member lacks, or the replica no longer leads.
    async fn wait_for_entries(
        &self,
        identity: ReplicaIdentity,
        term: Term,
        changed: &mut tokio::sync::watch::Receiver<u64>,
    ) {
        loop {
            if changed.changed().await.is_err() {
                return;
            }
            let volatile = self.volatile();
            let next_index = volatile.progress.get(&identity).map(|p| p.next_index);
            let last_index = volatile.last_index();
            if !volatile.leads(term) || next_index.is_none_or(|next| next <= last_index) {
                return;
            }
        }
    }

    /// Returns what to send next; `None` when the task has to end.
    async fn next_request(
        &self,
        identity: ReplicaIdentity,
        term: Term,
        sending: &mut Option<Sending>,
    ) -> Option<ControlRequest> {
        let needs_snapshot = {
            let volatile = self.volatile();
            if !volatile.leads(term) || volatile.members.find(identity).is_none() {
                return None;
            }
            let progress = volatile.progress.get(&identity)?;
            let index = volatile.snapshot_index;
            (progress.next_index <= index).then_some(index)
        };
        let Some(index) = needs_snapshot else {
            *sending = None;
            return self.append_request(identity, term);
        };
        if sending
            .as_ref()
            .is_none_or(|sending| sending.index != index)
        {
            *sending = self.load_snapshot(index).await;
        }
        match sending {
            Some(sending) => self.snapshot_request(identity, term, sending),
            None => self.append_request(identity, term),
        }
    }

    fn append_request(&self, identity: ReplicaIdentity, term: Term) -> Option<ControlRequest> {
        let volatile = self.volatile();
        if !volatile.leads(term) {
            return None;
        }
        let next_index = volatile.progress.get(&identity)?.next_index;
        let next_index = next_index.max(volatile.snapshot_index + 1);
        let mut entries = volatile.entries_from(next_index, ENTRIES_PER_REQUEST);
        cut_to_message(&mut entries, Entry::steered_block_count);
        Some(ControlRequest::Append {
            header: self.header(&volatile, identity),
            previous_index: next_index - 1,
            previous_term: volatile.term_at(next_index - 1)?,
            entries,
            commit_index: volatile.commit_index,
        })
    }

    async fn load_snapshot(&self, index: u64) -> Option<Sending> {
        let guard = self.lock_store().await;
        let (_guard, read) = self
            .with_store(guard, move |store| store.read_snapshot(index))
            .await;
        match read {
            Ok(bytes) => Some(Sending {
                index,
                digest: Digest::of(&[&bytes]),
                bytes,
                offset: 0,
            }),
            Err(error) => {
                warn!(self.log, "the snapshot cannot be read"; "error" => %error);
                None
            }
        }
    }

    fn snapshot_request(
        &self,
        identity: ReplicaIdentity,
        term: Term,
        sending: &Sending,
    ) -> Option<ControlRequest> {
        let volatile = self.volatile();
        if !volatile.leads(term) {
            return None;
        }
        let end = sending
            .bytes
            .len()
            .min(sending.offset + SNAPSHOT_PART_BYTES);
        Some(ControlRequest::Snapshot {
            header: self.header(&volatile, identity),
            index: sending.index,
            total_bytes: sending.bytes.len() as u64,
            offset: sending.offset as u64,
            bytes: sending.bytes[sending.offset..end].to_vec(),
            digest: sending.digest,
        })
    }

    /// Takes a reply in, and returns whether to send again at once.
    async fn on_reply(
        &self,
        identity: ReplicaIdentity,
        term: Term,
        sent_at: Instant,
        reply: ControlReply,
        sending: &mut Option<Sending>,
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
                if !volatile.leads(term) {
                    return false;
                }
                let last_index = volatile.last_index();
                let Some(progress) = volatile.progress.get_mut(&identity) else {
                    return false;
                };
                let before = (progress.next_index, sending.as_ref().map(|s| s.offset));
                progress.answered_at = Some(sent_at);
                progress.storage_full = storage_full;
                progress.blank_identity = None;
                if success {
                    progress.matched_index = progress.matched_index.max(matched);
                    progress.next_index = progress.matched_index + 1;
                } else if let Some(sending) = sending {
                    sending.offset = usize::try_from(matched)
                        .unwrap_or(0)
                        .min(sending.bytes.len());
                } else {
                    progress.next_index = matched.min(progress.next_index - 1) + 1;
                    progress.next_index = progress.next_index.max(progress.matched_index + 1);
                }
                let after = (progress.next_index, sending.as_ref().map(|s| s.offset));
                let more = after != before && progress.next_index <= last_index;
                self.commit_majority(&mut volatile);
                more
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

    fn on_wrong_replica(&self, identity: ReplicaIdentity, other: ReplicaIdentity, blank: bool) {
        let mut volatile = self.volatile();
        let Some(progress) = volatile.progress.get_mut(&identity) else {
            return;
        };
        let found = (blank && other != identity).then_some(other);
        if progress.blank_identity != found || !blank {
            warn!(self.log, "another replica answers in the place of a member";
                "member" => %identity, "found" => %other, "blank" => blank);
        }
        progress.blank_identity = found;
    }
}
