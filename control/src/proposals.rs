use std::sync::Arc;

use laburnumdeal_model::{Refusal, Submission, Term};
use slog::info;
use tokio::sync::{mpsc, oneshot};

use crate::core::{Core, StoreGuard};
use crate::decider::{Decider, Decision};
use crate::volatile::Volatile;
use crate::{
    Candidate, Committed, Disk, Entry, Member, MemberRole, Members, NotRun, Payload, PeerLink,
    ReplicaIdentity, StorageError, SubmitError,
};

/// Submissions that are stored together at most.
const BATCH_SUBMISSIONS: usize = 256;

/// Something that a leader is asked to append.
pub(crate) enum Proposal {
    /// A change.
    Command(Command),
    /// A change of the members.
    Members(MembersChange, oneshot::Sender<bool>),
}

/// A change and where its answer goes.
pub(crate) struct Command {
    pub submission: Submission,
    pub reply: oneshot::Sender<Result<Committed, SubmitError>>,
}

/// One step of a replacement.
#[derive(Clone, Debug)]
pub(crate) enum MembersChange {
    AddLearner {
        instance: String,
        region: String,
        identity: ReplicaIdentity,
        replaces: ReplicaIdentity,
    },
    RemoveVoter(ReplicaIdentity),
    Promote(ReplicaIdentity),
    AddObserver(Candidate),
    /// Drops a member without a vote.
    RemoveFollower(ReplicaIdentity),
    /// Takes the vote of one that is gone, while observers wait for its place.
    RetireVoter(ReplicaIdentity),
    /// Gives a vote to an observer that has caught up.
    PromoteObserver(ReplicaIdentity),
}

/// Batch that is decided but not yet committed.
struct Decided {
    term: Term,
    entries: Vec<Entry>,
    waiting: Vec<(Command, Committed)>,
    next: Option<Proposal>,
}

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Appends proposals in batches, one batch after the other.
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
                    let changed = self.propose_members(change).await;
                    let _ = reply.send(changed);
                    None
                }
            };
        }
    }

    /// Decides, stores and commits a batch; returns a proposal that has to wait for it.
    async fn propose_commands(
        &self,
        first: Command,
        proposals: &mut mpsc::Receiver<Proposal>,
    ) -> Option<Proposal> {
        let guard = self.lock_store().await;
        if let Err(not_run) = self.may_propose() {
            let _ = first.reply.send(Err(not_run.into()));
            return None;
        }
        let mut decided = self.decide(first, proposals);
        let next = decided.next.take();
        if decided.entries.is_empty() {
            return next;
        }
        let last_index = decided.entries.last().map_or(0, |entry| entry.index);
        let entries = std::mem::take(&mut decided.entries);
        if let Err(error) = self.store_proposed(guard, entries).await {
            self.refuse(decided.waiting, &error);
            if error.is_full() {
                self.hand_over().await;
            }
            return next;
        }
        let acknowledge_early = self.settings.faults.acknowledge_before_majority;
        if acknowledge_early || self.wait_for_commit(decided.term, last_index).await {
            for (command, committed) in decided.waiting {
                let _ = command.reply.send(Ok(committed));
            }
        } else {
            for (command, _) in decided.waiting {
                let error = unknown(&command.submission, "the leader stopped leading");
                let _ = command.reply.send(Err(error));
            }
        }
        next
    }

    /// Checks that this replica leads, with a lease, room, and nothing left to commit.
    fn may_propose(&self) -> Result<(), NotRun> {
        let volatile = self.volatile();
        if !volatile.leads_in_full() || volatile.commit_index < volatile.last_index() {
            return Err(NotRun::NotLeader);
        }
        if !self.has_lease(&volatile) {
            return Err(NotRun::NoLease);
        }
        if !volatile.majority_has_room() {
            return Err(NotRun::Refused(self.storage_full()));
        }
        Ok(())
    }

    fn decide(&self, first: Command, proposals: &mut mpsc::Receiver<Proposal>) -> Decided {
        let volatile = self.volatile();
        let term = volatile.vote.term;
        let now_ms = (self.settings.now_ms)();
        let mut decider = Decider::new(&volatile.state, &self.settings.topology, term, now_ms);
        let (mut waiting, mut next) = (Vec::new(), None);
        let mut command = Some(first);
        while let Some(current) = command.take() {
            match decider.decide(&current.submission) {
                Decision::AfterCommit(committed) => waiting.push((current, committed)),
                Decision::Now(committed) => {
                    let _ = current.reply.send(Ok(committed));
                }
            }
            if decider.entries.len() >= BATCH_SUBMISSIONS {
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
        Decided {
            term,
            entries: decider.entries,
            waiting,
            next,
        }
    }

    async fn store_proposed(
        &self,
        guard: StoreGuard<D>,
        entries: Vec<Entry>,
    ) -> Result<(), StorageError> {
        let (_guard, appended) = self.append(guard, entries).await;
        match &appended {
            Ok(()) => {
                let mut volatile = self.volatile();
                self.commit_majority(&mut volatile);
            }
            Err(error) if error.is_full() => {}
            Err(_) => self.step_down("storage failed"),
        }
        appended
    }

    /// Returns whether an entry of this leader was committed; false when it stopped leading.
    async fn wait_for_commit(&self, term: Term, index: u64) -> bool {
        let mut changed = self.changed.subscribe();
        loop {
            {
                let volatile = self.volatile();
                if !volatile.leads(term) {
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

    fn refuse(&self, waiting: Vec<(Command, Committed)>, error: &StorageError) {
        for (command, _) in waiting {
            let answer = match error.is_full() {
                true => NotRun::Refused(self.storage_full()).into(),
                false => unknown(&command.submission, &error.to_string()),
            };
            let _ = command.reply.send(Err(answer));
        }
    }

    fn storage_full(&self) -> Refusal {
        Refusal::StorageFull {
            instance: self.name.clone(),
        }
    }

    /// Appends a change of the members, and returns whether it was committed.
    async fn propose_members(self: &Arc<Self>, change: MembersChange) -> bool {
        let guard = self.lock_store().await;
        if self.may_propose().is_err() {
            return false;
        }
        let (entry, term) = {
            let volatile = self.volatile();
            let Some(members) = next_members(&volatile, &change) else {
                return false;
            };
            let entry = Entry {
                index: volatile.last_index() + 1,
                term: volatile.vote.term,
                payload: Payload::Members(members),
            };
            (entry, volatile.vote.term)
        };
        info!(self.log, "changes the members"; "change" => format!("{change:?}"));
        let index = entry.index;
        if self.store_proposed(guard, vec![entry]).await.is_err() {
            return false;
        }
        self.spawn_peers();
        self.wait_for_commit(term, index).await
    }
}

/// Returns the members after a step, or `None` when the step does not fit the members any more.
fn next_members(volatile: &Volatile, change: &MembersChange) -> Option<Members> {
    let members = &volatile.members;
    let learner = members.learner();
    match change {
        MembersChange::AddLearner {
            instance,
            region,
            identity,
            replaces,
        } => {
            let free = learner.is_none_or(|(member, _)| member.instance == *instance);
            let fits = free && members.is_voter(*replaces) && members.find(*identity).is_none();
            let replaces = *replaces;
            fits.then(|| {
                members.with_member(Member {
                    instance: instance.clone(),
                    region: region.clone(),
                    identity: *identity,
                    role: MemberRole::Learner { replaces },
                })
            })
        }
        MembersChange::RemoveVoter(identity) => {
            let fits = learner.is_some_and(|(_, replaces)| replaces == *identity);
            (fits && members.is_voter(*identity)).then(|| members.without_member(*identity))
        }
        MembersChange::Promote(identity) => {
            let fits = learner.is_some_and(|(member, replaces)| {
                member.identity == *identity && !members.is_voter(replaces)
            });
            fits.then(|| members.with_promoted(*identity))
        }
        MembersChange::AddObserver(candidate) => {
            let fits = members.find(candidate.identity).is_none()
                && members
                    .voters()
                    .all(|voter| voter.instance != candidate.instance);
            fits.then(|| {
                members.with_member(Member {
                    instance: candidate.instance.clone(),
                    region: candidate.region.clone(),
                    identity: candidate.identity,
                    role: MemberRole::Observer,
                })
            })
        }
        MembersChange::RemoveFollower(identity) => {
            let fits = members.find(*identity).is_some() && !members.is_voter(*identity);
            fits.then(|| members.without_member(*identity))
        }
        MembersChange::RetireVoter(identity) => {
            let fits = learner.is_none() && members.is_voter(*identity);
            fits.then(|| members.without_member(*identity))
        }
        MembersChange::PromoteObserver(identity) => {
            is_observer(members, *identity).then(|| members.with_promoted(*identity))
        }
    }
}

fn is_observer(members: &Members, identity: ReplicaIdentity) -> bool {
    members
        .observers()
        .any(|observer| observer.identity == identity)
}

/// Returns the answer to a submission that may be committed or not.
pub(crate) fn unknown(submission: &Submission, reason: &str) -> SubmitError {
    SubmitError::Unknown {
        command_id: submission.command_id.clone(),
        reason: reason.to_owned(),
    }
}
