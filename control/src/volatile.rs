use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use laburnumdeal_model::{InstanceId, Term};
use tokio::time::{Duration, Instant};

use crate::calls_seen::CallsSeen;
use crate::progress::Progress;
use crate::{AuditRange, ClusterId, Entry, Members, Payload, ReplicaIdentity, Role, State, Vote};

/// What a replica keeps in memory. Everything in it that others rely on is on the disk before.
#[derive(Debug)]
pub(crate) struct Volatile {
    pub identity: ReplicaIdentity,
    pub vote: Vote,
    pub role: Role,
    pub leader: Option<InstanceId>,
    /// Time when a leader was last heard; votes wait until it is long ago.
    pub leader_heard_at: Instant,
    /// Time from which the silence of leaders and candidates is counted.
    pub silent_since: Instant,
    /// Members as of the last entry of the log, committed or not.
    pub members: Members,
    pub snapshot_index: u64,
    pub snapshot_term: Term,
    /// Entries after the snapshot.
    pub entries: VecDeque<Arc<Entry>>,
    /// Steered blocks that the entries name.
    pub entry_blocks: usize,
    pub commit_index: u64,
    pub state: State,
    /// Other members, on a leader.
    pub progress: BTreeMap<ReplicaIdentity, Progress>,
    /// First entry of this leader; it leads in full once this is committed.
    pub first_index: u64,
    /// Time when this replica became leader.
    pub leading_since: Instant,
    pub storage_full: bool,
    /// Files of audit records, in order.
    pub audit_files: Vec<AuditRange>,
    /// Submissions passed on to this replica as leader.
    pub calls_seen: CallsSeen,
}

impl Volatile {
    /// Starts from what was on the disk.
    pub fn new(identity: ReplicaIdentity, vote: Vote, state: State, entries: Vec<Entry>) -> Self {
        let now = Instant::now();
        let mut volatile = Self {
            identity,
            vote,
            role: Role::Blank,
            leader: None,
            leader_heard_at: now,
            silent_since: now,
            members: Members::default(),
            snapshot_index: state.index,
            snapshot_term: state.term,
            entries: entries.into_iter().map(Arc::new).collect(),
            entry_blocks: 0,
            commit_index: state.index,
            state,
            progress: BTreeMap::new(),
            first_index: 0,
            leading_since: now,
            storage_full: false,
            audit_files: Vec::new(),
            calls_seen: CallsSeen::default(),
        };
        volatile.count_blocks();
        volatile.update_members();
        volatile
    }

    pub fn last_index(&self) -> u64 {
        self.snapshot_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot_term, |e| e.term)
    }

    /// Returns the term of an entry; `None` when it is absent or only in the snapshot.
    pub fn term_at(&self, index: u64) -> Option<Term> {
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub fn entry(&self, index: u64) -> Option<&Arc<Entry>> {
        let position = index.checked_sub(self.snapshot_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Returns at most `limit` entries from an index on.
    pub fn entries_from(&self, index: u64, limit: usize) -> Vec<Entry> {
        let skipped = index.saturating_sub(self.snapshot_index + 1);
        let later = self.entries.iter().skip(skipped as usize).take(limit);
        later.map(|entry| Entry::clone(entry)).collect()
    }

    /// Puts stored entries at the end of the log, over those that they replace.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else {
            return;
        };
        let kept = (first.index - self.snapshot_index - 1) as usize;
        let replaces = kept < self.entries.len();
        let has_members = |entry: &Entry| matches!(entry.payload, Payload::Members(_));
        if replaces {
            self.entries.truncate(kept);
            self.count_blocks();
        }
        self.entry_blocks += entries
            .iter()
            .map(Entry::steered_block_count)
            .sum::<usize>();
        self.entries.extend(entries.iter().cloned().map(Arc::new));
        if replaces || entries.iter().any(has_members) {
            self.update_members();
        }
    }

    /// Replaces the state and the log by a snapshot; entries after it stay where they follow it.
    pub fn install(&mut self, state: State) {
        let follows = self.term_at(state.index) == Some(state.term);
        let later = match follows {
            true => self.entries_from(state.index + 1, usize::MAX),
            false => Vec::new(),
        };
        self.snapshot_index = state.index;
        self.snapshot_term = state.term;
        self.commit_index = self.commit_index.max(state.index);
        self.entries = later.into_iter().map(Arc::new).collect();
        self.state = state;
        self.count_blocks();
        self.update_members();
    }

    /// Adds a file of audit records in its place.
    pub fn add_audit_file(&mut self, range: AuditRange) {
        self.audit_files.push(range);
        self.audit_files.sort();
    }

    /// Drops the entries that a snapshot of this replica's own state covers.
    pub fn compact(&mut self, index: u64, term: Term) {
        let covered = index.saturating_sub(self.snapshot_index) as usize;
        self.entries.drain(..covered.min(self.entries.len()));
        self.snapshot_index = index;
        self.snapshot_term = term;
        self.count_blocks();
    }

    /// Returns the log that this replica belongs to; `None` while it is blank.
    pub fn cluster(&self) -> Option<ClusterId> {
        (!self.members.list.is_empty()).then_some(self.members.cluster)
    }

    pub fn is_voter(&self) -> bool {
        self.members.is_voter(self.identity)
    }

    /// Returns whether this replica leads `term`.
    pub fn leads(&self, term: Term) -> bool {
        self.role == Role::Leader && self.vote.term == term
    }

    /// Returns whether this replica leads and its own first entry is committed.
    pub fn leads_in_full(&self) -> bool {
        self.role == Role::Leader && self.commit_index >= self.first_index
    }

    /// Returns whether a majority answered requests that were sent less than `within` ago.
    pub fn heard_majority_within(&self, within: Duration) -> bool {
        self.members.has_majority(|member| {
            let progress = self.progress.get(&member.identity);
            member.identity == self.identity
                || progress.is_some_and(|progress| progress.answered_within(within))
        })
    }

    /// Returns whether a majority has room for changes, as far as it told.
    pub fn majority_has_room(&self) -> bool {
        self.members.has_majority(|member| {
            let progress = self.progress.get(&member.identity);
            member.identity == self.identity || !progress.is_some_and(|p| p.storage_full)
        })
    }

    /// Returns the last entry that a majority, and `copies` voters where there are so many, have
    /// synced.
    pub fn majority_index(&self, copies: usize) -> u64 {
        let matched = self
            .members
            .voters()
            .map(|member| match member.identity == self.identity {
                true => self.last_index(),
                false => self
                    .progress
                    .get(&member.identity)
                    .map_or(0, |p| p.matched_index),
            });
        let mut matched: Vec<u64> = matched.collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.members.majority().max(copies.min(matched.len()));
        matched.get(needed - 1).copied().unwrap_or(0)
    }

    /// Gives up leading or standing for election.
    pub fn step_down(&mut self) {
        self.progress.clear();
        self.leader = None;
        self.silent_since = Instant::now();
        self.role = self.resting_role();
    }

    fn count_blocks(&mut self) {
        self.entry_blocks = self
            .entries
            .iter()
            .map(|entry| entry.steered_block_count())
            .sum();
    }

    fn resting_role(&self) -> Role {
        match (self.members.list.is_empty(), self.is_voter()) {
            (true, _) => Role::Blank,
            (false, true) => Role::Follower,
            (false, false) => Role::Learner,
        }
    }

    fn update_members(&mut self) {
        let newest = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Members(members) => Some(members),
                _ => None,
            });
        self.members = newest.unwrap_or(&self.state.members).clone();
        if matches!(self.role, Role::Blank | Role::Follower | Role::Learner) {
            self.role = self.resting_role();
        }
    }
}
