use laburnumdeal_model::{InstanceId, Term};
use slog::{error, info};
use tokio::time::Instant;

use crate::core::{Core, StoreGuard};
use crate::volatile::Volatile;
use crate::{ControlReply, Disk, Entry, Header, PeerLink, Role, Vote};

/// Entries of a leader and the place where they belong.
pub(crate) struct Appending {
    pub header: Header,
    pub previous_index: u64,
    pub previous_term: Term,
    pub entries: Vec<Entry>,
    pub commit_index: u64,
}

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Stores what a leader sends and returns how far the log agrees with the leader's.
    pub async fn on_append(&self, from: InstanceId, appending: Appending) -> ControlReply {
        let guard = self.lock_store().await;
        let guard = match self.follow(guard, from, appending.header).await {
            Ok(guard) => guard,
            Err(reply) => return reply,
        };
        let agreement = agrees(&self.volatile(), &appending);
        if let Err(hint) = agreement {
            return self.append_reply(false, hint);
        }
        let matched = appending.previous_index + appending.entries.len() as u64;
        let missing = missing(&self.volatile(), appending.entries);
        let entries = match missing {
            Ok(entries) => entries,
            Err(index) => {
                error!(self.log, "a leader contradicts a committed entry"; "index" => index);
                return ControlReply::Failed;
            }
        };
        let mut guard = guard;
        if !entries.is_empty() {
            let (still_locked, appended) = self.append(guard, entries).await;
            guard = still_locked;
            if appended.is_err() {
                return self.append_reply(false, appending.previous_index);
            }
        }
        let mut volatile = self.volatile();
        self.commit(&mut volatile, appending.commit_index.min(matched));
        drop(volatile);
        drop(guard);
        self.append_reply(true, matched)
    }

    /// Follows the sender of a request as leader, or returns the reply that turns it down.
    pub async fn follow(
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
            info!(self.log, "follows a leader"; "leader" => from.0, "term" => header.term.0);
            volatile.leader = Some(from);
            self.notify();
        }
        volatile.leader_heard_at = Instant::now();
        volatile.silent_since = volatile.leader_heard_at;
        drop(volatile);
        Ok(guard)
    }

    /// Checks that a request is meant for this replica and comes from its own log.
    pub fn check_header(&self, header: &Header) -> Result<(), ControlReply> {
        let volatile = self.volatile();
        if volatile.role == Role::Stopped {
            return Err(ControlReply::Failed);
        }
        let cluster = volatile.cluster();
        let same_log = cluster.is_none_or(|own| own == header.cluster);
        match same_log && header.receiver == self.identity {
            true => Ok(()),
            false => Err(ControlReply::WrongReplica {
                identity: self.identity,
                cluster,
            }),
        }
    }

    /// Returns the reply to entries or a part of a snapshot.
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

/// Checks that the log holds the entry before the first one sent; otherwise returns the last
/// entry that may agree.
fn agrees(volatile: &Volatile, appending: &Appending) -> Result<(), u64> {
    let index = appending.previous_index;
    if index <= volatile.commit_index && index < volatile.snapshot_index {
        return Ok(());
    }
    match volatile.term_at(index) {
        Some(term) if term == appending.previous_term => Ok(()),
        Some(term) => {
            let mut hint = index;
            while hint > volatile.commit_index && volatile.term_at(hint) == Some(term) {
                hint -= 1;
            }
            Err(hint)
        }
        None => Err(volatile.last_index().min(index)),
    }
}

/// Returns the entries that the log does not hold, or the committed one that they contradict.
fn missing(volatile: &Volatile, entries: Vec<Entry>) -> Result<Vec<Entry>, u64> {
    let held = entries.iter().take_while(|entry| {
        entry.index <= volatile.snapshot_index || volatile.term_at(entry.index) == Some(entry.term)
    });
    let held = held.count();
    let missing = entries[held..].to_vec();
    match missing.first() {
        Some(first) if first.index <= volatile.commit_index => Err(first.index),
        _ => Ok(missing),
    }
}
