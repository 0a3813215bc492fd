use laburnumdeal_model::{InstanceId, Term};
use slog::{error, info};
use tokio::time::Instant;

use crate::core::{Core, StoreGuard};
use crate::volatile_state::VolatileState;
use crate::{ControlReply, Disk, Entry, Header, PeerLink, Role, Vote};

/// Entries sent by a leader, with the entry that they follow and the leader's commit index.
pub(crate) struct AppendRequest {
    pub header: Header,
    pub previous_index: u64,
    pub previous_term: Term,
    pub entries: Vec<Entry>,
    pub commit_index: u64,
}

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Stores the entries sent by a leader. The reply tells how far the log agrees with the
    /// leader's.
    pub async fn on_append(&self, from: InstanceId, request: AppendRequest) -> ControlReply {
        let guard = self.lock_store().await;
        let guard = match self.follow_leader(guard, from, request.header).await {
            Ok(guard) => guard,
            Err(reply) => return reply,
        };
        let agreement = check_previous_entry(&self.volatile(), &request);
        if let Err(hint_index) = agreement {
            return self.append_reply(false, hint_index);
        }
        let matched = request.previous_index + request.entries.len() as u64;
        let missing = missing_entries(&self.volatile(), request.entries);
        let entries = match missing {
            Ok(entries) => entries,
            Err(index) => {
                error!(self.log, "the leader sent an entry that conflicts with a committed one";
                    "index" => index);
                return ControlReply::Failed;
            }
        };
        let mut guard = guard;
        if !entries.is_empty() {
            let (still_locked, appended) = self.append(guard, entries).await;
            guard = still_locked;
            if appended.is_err() {
                return self.append_reply(false, request.previous_index);
            }
        }
        let mut volatile = self.volatile();
        self.commit_up_to(&mut volatile, request.commit_index.min(matched));
        drop(volatile);
        drop(guard);
        self.append_reply(true, matched)
    }

    /// Accepts the sender of a request as leader, or returns the reply that rejects the request.
    pub async fn follow_leader(
        &self,
        guard: StoreGuard<D>,
        from: InstanceId,
        header: Header,
    ) -> Result<StoreGuard<D>, ControlReply> {
        self.check_header(&header)?;
        let term = self.volatile().vote.term;
        if header.term < term {
            return Err(self.append_reply(false, 0));
        }
        let mut guard = guard;
        if header.term > term {
            let vote = Vote {
                term: header.term,
                voted_for: None,
            };
            let (still_locked, saved) = self.save_vote(guard, vote).await;
            guard = still_locked;
            if saved.is_err() {
                return Err(ControlReply::Failed);
            }
        }
        let mut volatile = self.volatile();
        if matches!(volatile.role, Role::Leader | Role::Candidate) {
            volatile.step_down();
        }
        if volatile.leader != Some(from) {
            info!(self.log, "following a new leader"; "leader" => from.0, "term" => header.term.0);
            volatile.leader = Some(from);
            self.notify();
        }
        volatile.last_leader_contact = Instant::now();
        volatile.restart_election_timer();
        drop(volatile);
        Ok(guard)
    }

    /// Checks that a request is addressed to this replica and comes from a member of its cluster.
    pub fn check_header(&self, header: &Header) -> Result<(), ControlReply> {
        let volatile = self.volatile();
        if volatile.role == Role::Stopped {
            return Err(ControlReply::Failed);
        }
        let cluster = volatile.cluster();
        let is_same_cluster = cluster.is_none_or(|own| own == header.cluster);
        match is_same_cluster && header.receiver == self.identity {
            true => Ok(()),
            false => Err(ControlReply::WrongReplica {
                identity: self.identity,
                cluster,
            }),
        }
    }

    /// Returns the reply to appended entries or a snapshot chunk.
    pub fn append_reply(&self, success: bool, matched: u64) -> ControlReply {
        let volatile = self.volatile();
        ControlReply::Append {
            term: volatile.vote.term,
            success,
            matched,
            storage_full: volatile.storage_full,
        }
    }
}

/// Checks that the log holds the entry that precedes the ones sent. If it does not, returns the
/// last entry that may agree, from which the leader continues its search.
fn check_previous_entry(volatile: &VolatileState, request: &AppendRequest) -> Result<(), u64> {
    let index = request.previous_index;
    if index <= volatile.commit_index && index < volatile.snapshot_index {
        return Ok(());
    }
    match volatile.term_at(index) {
        Some(term) if term == request.previous_term => Ok(()),
        Some(term) => {
            let mut hint_index = index;
            while hint_index > volatile.commit_index && volatile.term_at(hint_index) == Some(term) {
                hint_index -= 1;
            }
            Err(hint_index)
        }
        None => Err(volatile.last_index().min(index)),
    }
}

/// Returns the entries that the log lacks, or the index of a committed entry that they conflict
/// with.
fn missing_entries(volatile: &VolatileState, entries: Vec<Entry>) -> Result<Vec<Entry>, u64> {
    let present = entries.iter().take_while(|entry| {
        entry.index <= volatile.snapshot_index || volatile.term_at(entry.index) == Some(entry.term)
    });
    let present = present.count();
    let missing = entries[present..].to_vec();
    match missing.first() {
        Some(first) if first.index <= volatile.commit_index => Err(first.index),
        _ => Ok(missing),
    }
}
