use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use laburnumdeal_model::{
    AuditRecord, Configuration, InstanceId, Refusal, Submission, Term, Version,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::audit_trail::AuditTrail;
use crate::core::Core;
use crate::decider::LEADER_OPERATOR;
use crate::proposals::{Command, Proposal, unknown_outcome};
use crate::recovery::{open_store, recover, save_bootstrapping};
use crate::snapshot_install::IncomingSnapshot;
use crate::volatile_state::VolatileState;
use crate::{
    Committed, ConfigurationRead, ControlError, ControlReply, ControlRequest, Disk, FileDisk,
    LeaderProof, NotRun, PeerLink, ReplaceError, ReplicaSettings, ReplicaStatus, Role, Status,
    StorageError, SubmitError,
};

/// Maximum number of proposals that are queued while the leader commits a batch.
const PROPOSAL_QUEUE_LENGTH: usize = 1024;

/// Handle to a running replica of the change log. Clones refer to the same replica.
pub struct Replica<L: PeerLink, D: Disk = FileDisk> {
    pub(crate) core: Arc<Core<L, D>>,
}

impl<L: PeerLink, D: Disk> Clone for Replica<L, D> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
        }
    }
}

impl<L: PeerLink> Replica<L> {
    /// Opens the data folder and starts a replica on it.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are inconsistent or the folder cannot be used.
    pub async fn spawn(
        settings: ReplicaSettings,
        link: L,
        log: Logger,
    ) -> Result<Self, ControlError> {
        let disk = FileDisk::open(&settings.folder)
            .map_err(|e| StorageError::io("open", &settings.folder.to_string_lossy(), e))?;
        Self::spawn_on(disk, settings, link, log).await
    }
}

impl<L: PeerLink, D: Disk> Replica<L, D> {
    /// Starts a replica on a [`Disk`].
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are inconsistent or the folder cannot be used.
    pub async fn spawn_on(
        disk: D,
        settings: ReplicaSettings,
        link: L,
        log: Logger,
    ) -> Result<Self, ControlError> {
        settings.check()?;
        let mut generator = ChaCha8Rng::seed_from_u64(settings.seed);
        let name = settings.names.name(settings.me);
        let (store, loaded) = open_store(&disk, &name, (settings.new_identity)()).await?;
        if loaded.truncated_bytes > 0 {
            warn!(log, "truncated an incomplete write at the end of the log";
                "bytes" => loaded.truncated_bytes);
        }
        let is_blank = loaded.snapshot.is_none() && loaded.entries.is_empty();
        let is_bootstrapping = loaded.is_bootstrapping;
        let volatile = recover(loaded)?;
        let may_bootstrap = settings
            .auto_membership
            .is_none_or(|settings| settings.may_bootstrap || is_bootstrapping);
        let mut store = store;
        if is_blank && may_bootstrap && !is_bootstrapping && settings.auto_membership.is_some() {
            let (returned, saved) = save_bootstrapping(&disk, store).await;
            store = returned;
            saved?;
        }
        let (proposals, queued) = mpsc::channel(PROPOSAL_QUEUE_LENGTH);
        let core = Arc::new(Core {
            name,
            identity: volatile.identity,
            link,
            disk,
            log,
            store: Arc::new(tokio::sync::Mutex::new(store)),
            change_count: watch::Sender::new(0),
            configuration: watch::Sender::new(volatile.state.configuration.clone()),
            volatile: Mutex::new(volatile),
            proposals,
            drains_paused: AtomicBool::new(false),
            next_call_number: AtomicU64::new(generator.random()),
            stopped: watch::Sender::new(false),
            tasks: Mutex::new(JoinSet::new()),
            snapshot_storing: tokio::sync::Mutex::default(),
            incoming_snapshot: Mutex::new(IncomingSnapshot::default()),
            join_candidates: Mutex::default(),
            replication_tasks: Mutex::new(BTreeSet::new()),
            settings,
        });
        core.spawn(core.clone().run_bootstrap(may_bootstrap));
        core.spawn(core.clone().run_elections(generator));
        core.spawn(core.clone().run_proposals(queued));
        core.spawn(core.clone().run_replacements());
        core.spawn(core.clone().run_joining());
        core.spawn(core.clone().run_drains());
        core.spawn(core.clone().run_snapshots());
        core.spawn(core.clone().run_audit_backfill());
        Ok(Self { core })
    }

    /// Handles a request from another replica. The request is completed even if the returned future
    /// is dropped.
    pub async fn handle(&self, from: InstanceId, request: ControlRequest) -> ControlReply {
        let (sender, receiver) = oneshot::channel();
        let replica = self.clone();
        self.core.spawn(async move {
            let _ = sender.send(replica.dispatch(from, request).await);
        });
        receiver.await.unwrap_or(ControlReply::Failed)
    }

    /// Submits a change and returns its committed answer. A follower forwards it to the leader.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError::NotRun`] if this submission was not appended to any replica's log,
    /// and [`SubmitError::Unknown`] if it may have been.
    pub async fn submit(&self, submission: Submission) -> Result<Committed, SubmitError> {
        if submission.operator == LEADER_OPERATOR {
            let operator = submission.operator;
            return Err(NotRun::Refused(Refusal::NotAllowed { operator }).into());
        }
        let (leader, term) = {
            let volatile = self.core.volatile();
            (volatile.leader, volatile.vote.term)
        };
        match leader {
            Some(leader) if leader == self.core.settings.me => {
                self.submit_locally(submission).await
            }
            Some(leader) => self.forward_to_leader(leader, term, submission).await,
            None => Err(NotRun::NoLeader.into()),
        }
    }

    pub(crate) async fn submit_locally(
        &self,
        submission: Submission,
    ) -> Result<Committed, SubmitError> {
        self.core.wait_until_acknowledgeable().await;
        let no_answer = unknown_outcome(&submission, "the replica stopped");
        let (reply, answer) = oneshot::channel();
        let proposal = Proposal::Command(Command { submission, reply });
        if self.core.proposals.send(proposal).await.is_err() {
            return Err(NotRun::Stopping.into());
        }
        answer.await.unwrap_or(Err(no_answer))
    }

    async fn forward_to_leader(
        &self,
        leader: InstanceId,
        term: Term,
        submission: Submission,
    ) -> Result<Committed, SubmitError> {
        let request = ControlRequest::Submit {
            term,
            call: self.core.next_call_number.fetch_add(1, Ordering::Relaxed),
            submission: submission.clone(),
        };
        let calling = self.core.link.call(leader, request);
        match self.core.unless_stopped(calling).await {
            Some(Ok(ControlReply::Submitted(outcome))) => outcome,
            Some(Ok(_)) => Err(unknown_outcome(&submission, "the leader stopped")),
            Some(Err(error)) => Err(unknown_outcome(&submission, &error.to_string())),
            None => Err(unknown_outcome(&submission, "the replica stopped")),
        }
    }

    /// Reads the committed configuration, and confirms with the leader that it is the newest.
    pub async fn read_configuration(&self) -> ConfigurationRead {
        let leader = self.leader();
        let confirmed = match leader {
            Some(leader) if leader == self.core.settings.me => true,
            Some(leader) => {
                let catching_up = self.catch_up_with(leader);
                self.core.unless_stopped(catching_up).await == Some(true)
            }
            None => false,
        };
        let volatile = self.core.volatile();
        let is_leader = leader == Some(self.core.settings.me);
        ConfigurationRead {
            configuration: volatile.state.configuration.clone(),
            is_confirmed: confirmed && (!is_leader || self.core.has_lease(&volatile)),
            leader: volatile.leader,
        }
    }

    /// Asks the leader for its commit index and waits until this replica has committed as much;
    /// returns false if either takes longer than an election timeout.
    async fn catch_up_with(&self, leader: InstanceId) -> bool {
        let within = self.core.settings.election_timeout();
        let reply = self.core.call(leader, ControlRequest::ReadIndex, within);
        let Ok(ControlReply::ReadIndex(Some(index))) = reply.await else {
            return false;
        };
        let mut changed = self.core.change_count.subscribe();
        let caught_up = async {
            while self.core.volatile().commit_index < index {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        timeout(within, caught_up).await.is_ok()
    }

    /// Returns the link to the other replicas.
    pub fn link(&self) -> &L {
        &self.core.link
    }

    /// Returns a receiver of the committed configuration. The versions that it observes never
    /// decrease.
    pub fn watch(&self) -> watch::Receiver<Arc<Configuration>> {
        self.core.configuration.subscribe()
    }

    /// Returns at most `limit` audit records starting at an index, in order. Records are missing
    /// only while a replica that installed a snapshot still fetches the ones before it; the hash
    /// chain reveals such a gap.
    pub fn audit_records(&self, from_index: u64, limit: usize) -> Vec<AuditRecord> {
        let trail = AuditTrail::new(&self.core.volatile());
        let mut records = trail.read(&self.core.disk, from_index, limit);
        if let Some(error) = &records.error {
            warn!(self.core.log, "cannot read audit records"; "error" => %error);
        }
        let (next, remaining) = (records.through_index + 1, limit - records.list.len());
        let recent = self.core.volatile().state.records_from(next, remaining);
        records.list.extend(recent);
        records.list
    }

    /// Returns the accepted changes after a version, or `None` if the requester needs the whole
    /// configuration instead.
    pub fn changes_since(&self, version: Version) -> Option<Vec<AuditRecord>> {
        self.core.volatile().state.changes_since(version)
    }

    /// Returns whether this replica leads, or is a member that heard from its leader within the
    /// last election timeout.
    pub fn has_live_leader(&self) -> bool {
        self.core.has_live_leader()
    }

    /// Returns the instance name of the leader known to this replica.
    pub fn leader_name(&self) -> Option<String> {
        Some(self.core.settings.names.name(self.leader()?))
    }

    /// Returns whether this replica leads with a valid lease, so that no other can lead at this
    /// moment.
    pub fn has_lease(&self) -> bool {
        self.core.has_lease(&self.core.volatile())
    }

    /// Returns what is committed if this replica leads with a valid lease.
    pub fn leader_proof(&self) -> Option<LeaderProof> {
        let volatile = self.core.volatile();
        self.core.has_lease(&volatile).then(|| LeaderProof {
            term: volatile.vote.term,
            version: volatile.state.configuration.version,
        })
    }

    /// Returns the members as of the last log entry.
    pub fn members(&self) -> Vec<crate::Member> {
        self.core.volatile().members.list.clone()
    }

    /// Returns a snapshot of the status of this replica and, if it leads, of the other members.
    pub fn status(&self) -> Status {
        let volatile = self.core.volatile();
        let members = volatile.members.list.iter();
        let replicas = members.map(|member| self.replica_status(&volatile, member));
        Status {
            me: self.core.settings.me,
            identity: self.core.identity,
            term: volatile.vote.term,
            leader: volatile.leader,
            role: volatile.role,
            has_lease: self.core.has_lease(&volatile),
            commit_index: volatile.commit_index,
            last_index: volatile.last_index(),
            snapshot_index: volatile.snapshot_index,
            version: volatile.state.configuration.version,
            storage_full: volatile.storage_full,
            replicas: replicas.collect(),
        }
    }

    fn replica_status(&self, volatile: &VolatileState, member: &crate::Member) -> ReplicaStatus {
        let election = self.core.settings.election_timeout();
        let progress = volatile.progress.get(&member.identity);
        ReplicaStatus {
            member: member.clone(),
            matched_index: progress.map(|progress| progress.matched_index),
            live: progress.map(|progress| progress.responded_within(election)),
        }
    }

    /// Replaces the voter on instance `old` by a replica on instance `new`, or by a blank replica
    /// on the same instance.
    ///
    /// # Errors
    ///
    /// Returns why the replacement was not started, or that its outcome is unknown.
    pub async fn replace(&self, old: InstanceId, new: InstanceId) -> Result<(), ReplaceError> {
        let Some(leader) = self.leader() else {
            return Err(ReplaceError::NoLeader);
        };
        if leader == self.core.settings.me {
            return self.core.replace_as_leader(old, new).await;
        }
        let request = ControlRequest::Replace { old, new };
        match self.core.link.call(leader, request).await {
            Ok(ControlReply::Replaced(outcome)) => outcome,
            Ok(_) => Err(ReplaceError::NoLeader),
            Err(error) => Err(ReplaceError::Unknown {
                reason: error.to_string(),
            }),
        }
    }

    /// Pauses or resumes drains. While drains are paused, this replica as leader neither advances
    /// nor ends them.
    pub fn set_drains_paused(&self, paused: bool) {
        self.core.drains_paused.store(paused, Ordering::Relaxed);
    }

    /// Waits until this replica knows a leader; if it leads itself, until the first entry of its
    /// term is committed.
    pub async fn wait_for_leader(&self) {
        let mut changed = self.core.change_count.subscribe();
        loop {
            {
                let volatile = self.core.volatile();
                let is_leader = volatile.role == Role::Leader;
                if volatile.leader.is_some() && (!is_leader || volatile.is_established_leader()) {
                    return;
                }
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Transfers leadership to another voter, ends all tasks and releases the data folder.
    pub async fn stop(&self) {
        self.core.transfer_leadership().await;
        let mut guard = self.core.lock_store().await;
        self.abort();
        guard.close();
        info!(self.core.log, "replica stopped");
    }

    /// Ends all tasks immediately, as a crash of the process would.
    pub fn abort(&self) {
        self.core.stopped.send_replace(true);
        self.core.volatile().role = Role::Stopped;
        let mut tasks = self.core.tasks.lock().expect("the lock is not poisoned");
        tasks.abort_all();
        drop(tasks);
        self.core.notify();
    }

    fn leader(&self) -> Option<InstanceId> {
        self.core.volatile().leader
    }
}
