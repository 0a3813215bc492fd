use std::sync::Arc;

use laburnumdeal_model::{Refusal, Submission, Term};
use slog::{debug, info, warn};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::core::{Core, StoreGuard};
use crate::decider::{Decider, Decision};
use crate::volatile_state::VolatileState;
use crate::{
    Candidate, Committed, Disk, Entry, Member, MemberRole, Members, NotRun, Payload, PeerLink,
    ReplicaIdentity, StorageError, SubmitError,
};

/// Maximum number of submissions appended in one batch.
const MAX_BATCH_SUBMISSIONS: usize = 256;

/// Request to the leader to append to the log.
pub(crate) enum Proposal {
    /// A change of the configuration.
    Command(Command),
    /// A change of the members; the channel reports whether it was committed.
    Members(MembershipChange, oneshot::Sender<bool>),
}

/// Submitted change and the channel for its answer.
pub(crate) struct Command {
    pub submission: Submission,
    pub reply: oneshot::Sender<Result<Committed, SubmitError>>,
}

/// Single-step change of the members. Log messages contain its `Debug` form, and so the names of
/// the variants and fields.
#[derive(Clone, Debug)]
pub(crate) enum MembershipChange {
    AddLearner {
        instance: String,
        region: String,
        identity: ReplicaIdentity,
        replaces: ReplicaIdentity,
    },
    RemoveVoter(ReplicaIdentity),
    Promote(ReplicaIdentity),
    AddObserver(Candidate),
    /// Removes a learner or observer.
    RemoveFollower(ReplicaIdentity),
    /// Removes a voter that no longer responds or is one too many. Its successor, an observer that
    /// has caught up, becomes a voter before that, so that the members tolerate no fewer lost disks
    /// in between.
    RetireVoter {
        voter: ReplicaIdentity,
        successor: Option<ReplicaIdentity>,
    },
    /// Makes an observer that has caught up a voter.
    PromoteObserver(ReplicaIdentity),
}

impl MembershipChange {
    /// Returns the changes of a single member that this one consists of, in order.
    fn steps(self) -> Vec<Self> {
        match self {
            Self::RetireVoter {
                voter,
                successor: Some(successor),
            } => {
                let successor_joins = Self::PromoteObserver(successor);
                let voter_leaves = Self::RetireVoter {
                    voter,
                    successor: None,
                };
                vec![successor_joins, voter_leaves]
            }
            single => vec![single],
        }
    }
}

/// Batch of commands with their answers, which are sent once the batch is committed.
struct DecidedBatch {
    term: Term,
    entries: Vec<Entry>,
    pending: Vec<(Command, Committed)>,
    /// Proposal taken from the queue that must wait until the batch is committed.
    next: Option<Proposal>,
}

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Appends proposals in batches; a batch is committed before the next one starts.
    pub async fn run_proposals(self: Arc<Self>, mut proposals: mpsc::Receiver<Proposal>) {
        let mut next = None;
        loop {
            let first = match next.take() {
                Some(first) => first,
                None => match proposals.recv().await {
                    Some(first) => first,
                    None => return,
                },
            };
            next = match first {
                Proposal::Command(first) => self.propose_commands(first, &mut proposals).await,
                Proposal::Members(change, reply) => {
                    let changed = self.propose_membership_change(change).await;
                    let _ = reply.send(changed);
                    None
                }
            };
        }
    }

    /// Decides, appends and commits a batch that starts with `first`. Returns the proposal that was
    /// taken from the queue but must wait until the batch is committed.
    async fn propose_commands(
        &self,
        first: Command,
        proposals: &mut mpsc::Receiver<Proposal>,
    ) -> Option<Proposal> {
        let guard = self.lock_store().await;
        if let Err(not_run) = self.check_may_propose_command() {
            let _ = first.reply.send(Err(not_run.into()));
            return None;
        }
        let mut batch = self.decide_batch(first, proposals);
        let next = batch.next.take();
        if batch.entries.is_empty() {
            return next;
        }
        let last_index = batch.entries.last().map_or(0, |entry| entry.index);
        let entries = std::mem::take(&mut batch.entries);
        if let Err(error) = self.append_proposed(guard, entries).await {
            self.fail_batch(batch.pending, &error);
            if error.is_full() {
                self.transfer_leadership().await;
            }
            return next;
        }
        let acknowledge_early = self.settings.faults.acknowledge_before_majority;
        if acknowledge_early || self.wait_for_commit(batch.term, last_index).await {
            for (command, committed) in batch.pending {
                let _ = command.reply.send(Ok(committed));
            }
        } else {
            for (command, _) in batch.pending {
                let error = unknown_outcome(&command.submission, "the leader stopped leading");
                let _ = command.reply.send(Err(error));
            }
        }
        next
    }

    /// Checks that this replica is the established leader with a valid lease, that a majority has
    /// disk space, and that no earlier entry is still uncommitted.
    fn check_may_propose(&self) -> Result<(), NotRun> {
        let volatile = self.volatile();
        if !volatile.is_established_leader() || volatile.commit_index < volatile.last_index() {
            return Err(NotRun::NotLeader);
        }
        if !self.has_lease(&volatile) {
            return Err(NotRun::NoLease);
        }
        if !volatile.majority_has_space() {
            return Err(NotRun::Refused(self.storage_full_refusal()));
        }
        Ok(())
    }

    /// Checks, in addition, that an acknowledgement would outlast the lost disks that the settings
    /// promise to bear.
    fn check_may_propose_command(&self) -> Result<(), NotRun> {
        self.check_may_propose()?;
        match self.may_acknowledge(&self.volatile()) {
            true => Ok(()),
            false => Err(NotRun::NoLease),
        }
    }

    /// Waits until this replica may acknowledge changes, as while the group grows after its first
    /// start; at most for an election timeout, and not at all where it does not lead.
    pub async fn wait_until_acknowledgeable(&self) {
        let mut changed = self.change_count.subscribe();
        let may_acknowledge = async {
            loop {
                {
                    let volatile = self.volatile();
                    if !volatile.is_established_leader() || self.may_acknowledge(&volatile) {
                        return;
                    }
                }
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        if timeout(self.settings.election_timeout(), may_acknowledge)
            .await
            .is_err()
        {
            let volatile = self.volatile();
            warn!(self.log, "too few voters to acknowledge a change";
                "voters" => volatile.members.voters().count(),
                "tolerated_disk_losses" => volatile.members.tolerated_disk_losses());
        }
    }

    fn decide_batch(
        &self,
        first: Command,
        proposals: &mut mpsc::Receiver<Proposal>,
    ) -> DecidedBatch {
        let volatile = self.volatile();
        let term = volatile.vote.term;
        let now_ms = (self.settings.now_ms)();
        let mut decider = Decider::new(&volatile.state, &self.settings.topology, term, now_ms);
        let (mut pending, mut next) = (Vec::new(), None);
        let mut command = Some(first);
        while let Some(current) = command.take() {
            match decider.decide(&current.submission) {
                Decision::AfterCommit(committed) => pending.push((current, committed)),
                Decision::Immediate(committed) => {
                    let _ = current.reply.send(Ok(committed));
                }
            }
            if decider.entries.len() >= MAX_BATCH_SUBMISSIONS {
                break;
            }
            match proposals.try_recv() {
                Ok(Proposal::Command(other)) if !decider.must_wait(&other.submission) => {
                    command = Some(other);
                }
                Ok(other) => next = Some(other),
                Err(_) => {}
            }
        }
        DecidedBatch {
            term,
            entries: decider.entries,
            pending,
            next,
        }
    }

    async fn append_proposed(
        &self,
        guard: StoreGuard<D>,
        entries: Vec<Entry>,
    ) -> Result<(), StorageError> {
        let (_guard, appended) = self.append(guard, entries).await;
        match &appended {
            Ok(()) => {
                let mut volatile = self.volatile();
                self.advance_commit_index(&mut volatile);
            }
            Err(error) if error.is_full() => {}
            Err(_) => self.step_down("a write to the data folder failed"),
        }
        appended
    }

    /// Waits until an entry is committed; returns false when this replica stops leading the term
    /// before that.
    async fn wait_for_commit(&self, term: Term, index: u64) -> bool {
        let mut changed = self.change_count.subscribe();
        loop {
            {
                let volatile = self.volatile();
                if !volatile.leads_term(term) {
                    return false;
                }
                if volatile.commit_index >= index {
                    return true;
                }
            }
            if changed.changed().await.is_err() {
                return false;
            }
        }
    }

    /// Answers the commands of a batch that could not be stored.
    fn fail_batch(&self, pending: Vec<(Command, Committed)>, error: &StorageError) {
        for (command, _) in pending {
            let answer = match error.is_full() {
                true => NotRun::Refused(self.storage_full_refusal()).into(),
                false => unknown_outcome(&command.submission, &error.to_string()),
            };
            let _ = command.reply.send(Err(answer));
        }
    }

    fn storage_full_refusal(&self) -> Refusal {
        Refusal::StorageFull {
            instance: self.name.clone(),
        }
    }

    /// Appends a change of the members, one entry for each of its steps; returns whether all were
    /// committed. A leader that ends in between leaves an additional voter, which the next one
    /// retires.
    async fn propose_membership_change(self: &Arc<Self>, change: MembershipChange) -> bool {
        if self.members_after(&self.volatile(), &change).is_none() {
            return false;
        }
        info!(self.log, "changing the members of the change log";
            "change" => format!("{change:?}"));
        for step in change.steps() {
            if !self.propose_membership_step(&step).await {
                return false;
            }
        }
        true
    }

    /// Returns the members after a change, or `None` when it does not apply to the current members, or
    /// when they would tolerate fewer lost disks than promised with each acknowledgement.
    pub(crate) fn members_after(
        &self,
        volatile: &VolatileState,
        change: &MembershipChange,
    ) -> Option<Members> {
        let tolerated = volatile.members.tolerated_disk_losses();
        let kept = match self.settings.auto_membership {
            Some(settings) => tolerated.min(settings.machines_lost),
            None => tolerated,
        };
        let changed = changed_members(&volatile.members, change)?;
        (changed.tolerated_disk_losses() >= kept).then_some(changed)
    }

    async fn propose_membership_step(self: &Arc<Self>, step: &MembershipChange) -> bool {
        let guard = self.lock_store().await;
        if self.check_may_propose().is_err() {
            return false;
        }
        let (entry, term) = {
            let volatile = self.volatile();
            let Some(members) = self.members_after(&volatile, step) else {
                return false;
            };
            debug!(self.log, "appending members of the change log";
                "voters" => members.voters().count(),
                "tolerated_disk_losses" => members.tolerated_disk_losses());
            let entry = Entry {
                index: volatile.last_index() + 1,
                term: volatile.vote.term,
                payload: Payload::Members(members),
            };
            (entry, volatile.vote.term)
        };
        let index = entry.index;
        if self.append_proposed(guard, vec![entry]).await.is_err() {
            return false;
        }
        self.spawn_replication_tasks();
        self.wait_for_commit(term, index).await
    }
}

/// Returns the members after a change, or `None` when the change does not apply to the
/// current members.
fn changed_members(members: &Members, change: &MembershipChange) -> Option<Members> {
    let learner = members.learner();
    match change {
        MembershipChange::AddLearner {
            instance,
            region,
            identity,
            replaces,
        } => {
            let no_other_learner = learner.is_none_or(|(member, _)| member.instance == *instance);
            // The voter is already removed when the learner that replaces it loses its disk too.
            let continues = learner.is_some_and(|(_, replaced)| replaced == *replaces);
            let is_valid = no_other_learner
                && (members.is_voter(*replaces) || continues)
                && members.find(*identity).is_none();
            let replaces = *replaces;
            is_valid.then(|| {
                members.with_member(Member {
                    instance: instance.clone(),
                    region: region.clone(),
                    identity: *identity,
                    role: MemberRole::Learner { replaces },
                })
            })
        }
        MembershipChange::RemoveVoter(identity) => {
            let is_valid = learner.is_some_and(|(_, replaces)| replaces == *identity);
            (is_valid && members.is_voter(*identity)).then(|| members.without_member(*identity))
        }
        MembershipChange::Promote(identity) => {
            let is_valid = learner.is_some_and(|(member, _)| member.identity == *identity);
            is_valid.then(|| members.with_promoted_learner(*identity))
        }
        MembershipChange::AddObserver(candidate) => {
            let is_valid = members.find(candidate.identity).is_none()
                && members
                    .voters()
                    .all(|voter| voter.instance != candidate.instance);
            is_valid.then(|| {
                members.with_member(Member {
                    instance: candidate.instance.clone(),
                    region: candidate.region.clone(),
                    identity: candidate.identity,
                    role: MemberRole::Observer,
                })
            })
        }
        MembershipChange::RemoveFollower(identity) => {
            let is_valid = members.find(*identity).is_some() && !members.is_voter(*identity);
            is_valid.then(|| members.without_member(*identity))
        }
        MembershipChange::RetireVoter {
            voter,
            successor: None,
        } => {
            let is_valid = learner.is_none() && members.is_voter(*voter);
            is_valid.then(|| members.without_member(*voter))
        }
        MembershipChange::RetireVoter {
            voter,
            successor: Some(successor),
        } => {
            let is_valid =
                learner.is_none() && members.is_voter(*voter) && is_observer(members, *successor);
            let grown = members.with_promoted(*successor);
            is_valid.then(|| grown.without_member(*voter))
        }
        MembershipChange::PromoteObserver(identity) => {
            is_observer(members, *identity).then(|| members.with_promoted(*identity))
        }
    }
}

fn is_observer(members: &Members, identity: ReplicaIdentity) -> bool {
    members
        .observers()
        .any(|observer| observer.identity == identity)
}

/// Returns the error for a submission that may or may not be committed.
pub(crate) fn unknown_outcome(submission: &Submission, reason: &str) -> SubmitError {
    SubmitError::Unknown {
        command_id: submission.command_id.clone(),
        reason: reason.to_owned(),
    }
}
