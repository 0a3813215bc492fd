use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use laburnumdeal_model::{InstanceId, Term};
use tokio::time::{Duration, Instant};

use crate::call_deduplicator::CallDeduplicator;
use crate::entry::fitting_count;
use crate::progress::Progress;
use crate::{
    AuditRange, ClusterId, Entry, Members, Payload, ReplicaIdentity, Role, State, Vote,
    encoded_bytes,
};

/// In-memory state of a replica. Whatever other replicas rely on is synced to disk before it is
/// reflected here.
#[derive(Debug)]
pub(crate) struct VolatileState {
    pub identity: ReplicaIdentity,
    pub vote: Vote,
    pub role: Role,
    pub leader: Option<InstanceId>,
    /// Time of the last message from a leader. The replica grants no vote until an election timeout
    /// has passed since, so that the leader's lease holds.
    pub last_leader_contact: Instant,
    /// Start of the running election timeout; reset by a leader's message or a granted vote.
    pub election_timer_start: Instant,
    /// Number of pre-votes that this replica asked for since the election timeout was last reset.
    pub election_attempts: u32,
    /// Candidate that the last pre-vote held for it went to, and when.
    pub held_pre_vote: Option<(ReplicaIdentity, Instant)>,
    /// Members as of the last log entry, whether or not it is committed.
    pub members: Members,
    pub snapshot_index: u64,
    pub snapshot_term: Term,
    /// Entries after the snapshot.
    pub entries: VecDeque<Arc<Entry>>,
    /// Number of steered blocks named by `entries`.
    pub entry_blocks: usize,
    /// Encoded length of `entries`.
    pub entry_bytes: u64,
    pub commit_index: u64,
    pub state: State,
    /// Replication progress of the other members; empty unless this replica leads.
    pub progress: BTreeMap<ReplicaIdentity, Progress>,
    /// First entry that this leader appended in its term; it serves requests once this is
    /// committed.
    pub term_start_index: u64,
    /// Time when this replica became leader.
    pub leading_since: Instant,
    pub storage_full: bool,
    /// Ranges of the audit record files, in order.
    pub audit_files: Vec<AuditRange>,
    /// Submissions that other replicas forwarded to this one as leader.
    pub call_deduplicator: CallDeduplicator,
}

impl VolatileState {
    /// Creates the state from what was recovered from disk.
    pub fn new(identity: ReplicaIdentity, vote: Vote, state: State, entries: Vec<Entry>) -> Self {
        let now = Instant::now();
        let mut volatile = Self {
            identity,
            vote,
            role: Role::Blank,
            leader: None,
            last_leader_contact: now,
            election_timer_start: now,
            election_attempts: 0,
            held_pre_vote: None,
            members: Members::default(),
            snapshot_index: state.index,
            snapshot_term: state.term,
            entries: entries.into_iter().map(Arc::new).collect(),
            entry_blocks: 0,
            entry_bytes: 0,
            commit_index: state.index,
            state,
            progress: BTreeMap::new(),
            term_start_index: 0,
            leading_since: now,
            storage_full: false,
            audit_files: Vec::new(),
            call_deduplicator: CallDeduplicator::default(),
        };
        volatile.recount();
        volatile.update_members();
        volatile
    }

    pub fn last_index(&self) -> u64 {
        self.snapshot_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot_term, |e| e.term)
    }

    /// Returns the term of an entry; `None` when the entry is absent, or covered by the snapshot
    /// and not the last one it covers.
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

    /// Returns at most `limit` entries starting at an index.
    pub fn entries_from(&self, index: u64, limit: usize) -> Vec<Entry> {
        let skipped = index.saturating_sub(self.snapshot_index + 1);
        let later = self.entries.iter().skip(skipped as usize).take(limit);
        later.map(|entry| Entry::clone(entry)).collect()
    }

    /// Returns the entries starting at an index that fit into one message, at most `limit`.
    pub fn message_from(&self, index: u64, limit: usize) -> Vec<Entry> {
        let skipped = index.saturating_sub(self.snapshot_index + 1);
        let later = self.entries.iter().skip(skipped as usize).take(limit);
        let count = fitting_count(later.map(|entry| &**entry), Entry::steered_block_count);
        self.entries_from(index, count)
    }

    /// Appends stored entries to the log, replacing the entries from the first one's index on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else {
            return;
        };
        let kept = (first.index - self.snapshot_index - 1) as usize;
        let replaces = kept < self.entries.len();
        let has_members = |entry: &Entry| matches!(entry.payload, Payload::Members(_));
        if replaces {
            self.entries.truncate(kept);
            self.recount();
        }
        for entry in entries {
            self.entry_blocks += entry.steered_block_count();
            self.entry_bytes += encoded_bytes(entry);
        }
        self.entries.extend(entries.iter().cloned().map(Arc::new));
        if replaces || entries.iter().any(has_members) {
            self.update_members();
        }
    }

    /// Replaces the state by a snapshot. Later entries are kept if the log agrees with the
    /// snapshot's last entry, and dropped otherwise.
    pub fn install_snapshot(&mut self, state: State) {
        let agrees = self.term_at(state.index) == Some(state.term);
        let later = match agrees {
            true => self.entries_from(state.index + 1, usize::MAX),
            false => Vec::new(),
        };
        self.snapshot_index = state.index;
        self.snapshot_term = state.term;
        self.commit_index = self.commit_index.max(state.index);
        self.entries = later.into_iter().map(Arc::new).collect();
        self.state = state;
        self.recount();
        self.update_members();
    }

    /// Adds the range of an audit record file, keeping the ranges sorted.
    pub fn add_audit_file(&mut self, range: AuditRange) {
        self.audit_files.push(range);
        self.audit_files.sort();
    }

    /// Takes away the entries that a snapshot of this replica's own state covers, which have this
    /// encoded length. They are returned because it takes milliseconds to free many long ones.
    #[must_use]
    pub fn compact(&mut self, index: u64, term: Term, covered_bytes: u64) -> Vec<Arc<Entry>> {
        let covered_count = index.saturating_sub(self.snapshot_index) as usize;
        let covered_count = covered_count.min(self.entries.len());
        let covered: Vec<Arc<Entry>> = self.entries.drain(..covered_count).collect();
        self.snapshot_index = index;
        self.snapshot_term = term;
        self.entry_bytes -= covered_bytes;
        self.entry_blocks -= covered
            .iter()
            .map(|entry| entry.steered_block_count())
            .sum::<usize>();
        covered
    }

    /// Returns the cluster that this replica belongs to; `None` while it is blank.
    pub fn cluster(&self) -> Option<ClusterId> {
        (!self.members.list.is_empty()).then_some(self.members.cluster)
    }

    pub fn is_voter(&self) -> bool {
        self.members.is_voter(self.identity)
    }

    /// Returns whether this replica leads `term`.
    pub fn leads_term(&self, term: Term) -> bool {
        self.role == Role::Leader && self.vote.term == term
    }

    /// Returns whether this replica leads and the first entry of its term is committed.
    pub fn is_established_leader(&self) -> bool {
        self.role == Role::Leader && self.commit_index >= self.term_start_index
    }

    /// Returns whether a majority responded to requests that were sent less than `within` ago.
    pub fn majority_responded_within(&self, within: Duration) -> bool {
        self.members.has_majority(|member| {
            let progress = self.progress.get(&member.identity);
            member.identity == self.identity
                || progress.is_some_and(|progress| progress.responded_within(within))
        })
    }

    /// Returns whether a majority responded to requests that were sent less than `within` ago, also
    /// if the machine was suspended meanwhile. `since_boot` is the time of the boot clock.
    pub fn majority_supports_lease(&self, within: Duration, since_boot: Duration) -> bool {
        self.members.has_majority(|member| {
            let progress = self.progress.get(&member.identity);
            member.identity == self.identity
                || progress.is_some_and(|progress| progress.supports_lease(within, since_boot))
        })
    }

    /// Returns whether a majority has disk space for changes, as last reported by each member.
    pub fn majority_has_space(&self) -> bool {
        self.members.has_majority(|member| {
            let progress = self.progress.get(&member.identity);
            member.identity == self.identity || !progress.is_some_and(|p| p.storage_full)
        })
    }

    /// Returns the last entry that is synced by a majority of the voters.
    pub fn committable_index(&self) -> u64 {
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
        let needed = self.members.majority();
        matched.get(needed - 1).copied().unwrap_or(0)
    }

    /// Restarts the election timeout, as there is a leader or may soon be one.
    pub fn restart_election_timer(&mut self) {
        self.election_timer_start = Instant::now();
        self.election_attempts = 0;
    }

    /// Counts a pre-vote that this replica asks for; returns the term.
    pub fn begin_election_attempt(&mut self) -> Term {
        self.election_timer_start = Instant::now();
        self.election_attempts = self.election_attempts.saturating_add(1);
        self.vote.term
    }

    /// Keeps pre-votes from others for a while after one was granted, so that the candidate can
    /// campaign before another does. One that repeats its requests is not served again within
    /// `pause`, so that it cannot keep the others from campaigning.
    pub fn hold_pre_vote(&mut self, candidate: ReplicaIdentity, pause: Duration) {
        let is_repeated = self
            .held_pre_vote
            .is_some_and(|(last, at)| last == candidate && at.elapsed() < pause);
        if !is_repeated {
            self.held_pre_vote = Some((candidate, Instant::now()));
        }
    }

    /// Returns whether a pre-vote that was granted to another candidate less than `hold` ago keeps
    /// this one from getting one.
    pub fn holds_pre_vote(&self, candidate: ReplicaIdentity, hold: Duration) -> bool {
        self.held_pre_vote
            .is_some_and(|(last, at)| last != candidate && at.elapsed() < hold)
    }

    /// Stops leading or campaigning and restarts the election timeout.
    pub fn step_down(&mut self) {
        self.progress.clear();
        self.leader = None;
        self.restart_election_timer();
        self.role = self.non_leader_role();
    }

    fn recount(&mut self) {
        let entries = || self.entries.iter().map(|entry| &**entry);
        self.entry_blocks = entries().map(Entry::steered_block_count).sum();
        self.entry_bytes = entries().map(encoded_bytes).sum();
    }

    fn non_leader_role(&self) -> Role {
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
            self.role = self.non_leader_role();
        }
    }
}
