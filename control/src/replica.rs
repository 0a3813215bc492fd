use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use laburnumdeal_model::{Applied, Configuration, InstanceId, Refusal, Submission, Term, Version};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::core::Core;
use crate::decider::LEADER_OPERATOR;
use crate::install::Incoming;
use crate::proposals::{Command, Proposal, unknown};
use crate::start::{open, restore};
use crate::trail::Trail;
use crate::volatile::Volatile;
use crate::{
    Committed, ConfigurationRead, ControlError, ControlReply, ControlRequest, Disk, FileDisk,
    NotRun, PeerLink, ReplaceError, ReplicaSettings, ReplicaStatus, Role, Status, StorageError,
    SubmitError,
};

/// Proposals that wait for the leader's disk at most.
const PROPOSALS_WAITING: usize = 1024;

/// Handle of a running replica of the change log.
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
    /// Returns what is wrong with the settings or the folder.
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
    /// Starts a replica on a disk.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the settings or the folder.
    pub async fn spawn_on(
        disk: D,
        settings: ReplicaSettings,
        link: L,
        log: Logger,
    ) -> Result<Self, ControlError> {
        settings.check()?;
        let mut generator = ChaCha8Rng::seed_from_u64(settings.seed);
        let name = settings.names.name(settings.me);
        let (store, loaded) = open(&disk, &name, (settings.new_identity)()).await?;
        if loaded.truncated_bytes > 0 {
            warn!(log, "cut off what an interrupted write left at the end of the log";
                "bytes" => loaded.truncated_bytes);
        }
        let volatile = restore(loaded)?;
        let (proposals, waiting) = mpsc::channel(PROPOSALS_WAITING);
        let core = Arc::new(Core {
            name,
            identity: volatile.identity,
            link,
            disk,
            log,
            store: Arc::new(tokio::sync::Mutex::new(store)),
            changed: watch::Sender::new(0),
            configuration: watch::Sender::new(volatile.state.configuration.clone()),
            volatile: Mutex::new(volatile),
            proposals,
            drains_paused: AtomicBool::new(false),
            next_call: AtomicU64::new(generator.random()),
            stopped: watch::Sender::new(false),
            tasks: Mutex::new(JoinSet::new()),
            incoming: Mutex::new(Incoming::default()),
            candidates: Mutex::default(),
            peers: Mutex::new(BTreeSet::new()),
            settings,
        });
        core.spawn(
            core.clone()
                .run_formation(ChaCha8Rng::from_rng(&mut generator)),
        );
        core.spawn(core.clone().run_elections(generator));
        core.spawn(core.clone().run_proposals(waiting));
        core.spawn(core.clone().run_replacements());
        core.spawn(core.clone().run_joining());
        core.spawn(core.clone().run_drains());
        core.spawn(core.clone().run_snapshots());
        core.spawn(core.clone().run_backfill());
        Ok(Self { core })
    }

    /// Answers a request of another replica. It is carried out even when the answer is not
    /// waited for.
    pub async fn handle(&self, from: InstanceId, request: ControlRequest) -> ControlReply {
        let (reply, answer) = oneshot::channel();
        let replica = self.clone();
        self.core.spawn(async move {
            let _ = reply.send(replica.answer(from, request).await);
        });
        answer.await.unwrap_or(ControlReply::Failed)
    }

    /// Submits a change and returns its committed answer; a follower passes it on to the leader.
    ///
    /// # Errors
    ///
    /// [`SubmitError::NotRun`] says that this submission appended nothing anywhere.
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
            Some(leader) if leader == self.core.settings.me => self.submit_here(submission).await,
            Some(leader) => self.submit_there(leader, term, submission).await,
            None => Err(NotRun::NoLeader.into()),
        }
    }

    pub(crate) async fn submit_here(
        &self,
        submission: Submission,
    ) -> Result<Committed, SubmitError> {
        let unanswered = unknown(&submission, "the replica stopped");
        let (reply, answer) = oneshot::channel();
        let proposal = Proposal::Command(Command { submission, reply });
        if self.core.proposals.send(proposal).await.is_err() {
            return Err(NotRun::Stopping.into());
        }
        answer.await.unwrap_or(Err(unanswered))
    }

    async fn submit_there(
        &self,
        leader: InstanceId,
        term: Term,
        submission: Submission,
    ) -> Result<Committed, SubmitError> {
        let request = ControlRequest::Submit {
            term,
            call: self.core.next_call.fetch_add(1, Ordering::Relaxed),
            submission: submission.clone(),
        };
        match self.core.link.call(leader, request).await {
            Ok(ControlReply::Submitted(outcome)) => outcome,
            Ok(_) => Err(unknown(&submission, "the leader stopped")),
            Err(error) => Err(unknown(&submission, &error.to_string())),
        }
    }

    /// Returns the committed configuration, and whether it is proved to be the newest.
    pub async fn read_configuration(&self) -> ConfigurationRead {
        let leader = self.leader();
        let confirmed = match leader {
            Some(leader) if leader == self.core.settings.me => true,
            Some(leader) => self.catch_up_with(leader).await,
            None => false,
        };
        let volatile = self.core.volatile();
        let leads = leader == Some(self.core.settings.me);
        ConfigurationRead {
            configuration: volatile.state.configuration.clone(),
            is_confirmed: confirmed && (!leads || self.core.has_lease(&volatile)),
            leader: volatile.leader,
        }
    }

    /// Asks the leader what it has committed, and waits until this replica has as well.
    async fn catch_up_with(&self, leader: InstanceId) -> bool {
        let within = self.core.settings.election();
        let reply = self.core.call(leader, ControlRequest::ReadIndex, within);
        let Ok(ControlReply::ReadIndex(Some(index))) = reply.await else {
            return false;
        };
        let mut changed = self.core.changed.subscribe();
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

    /// Returns a receiver of the committed configuration; its versions only rise.
    pub fn watch(&self) -> watch::Receiver<Arc<Configuration>> {
        self.core.configuration.subscribe()
    }

    /// Returns audit records from an index on, in order. Records are missing only while a new
    /// replica still fetches what its snapshot skipped; their chain shows the gap.
    pub fn audit_records(&self, from_index: u64, limit: usize) -> Vec<Applied> {
        let trail = Trail::new(&self.core.volatile());
        let mut records = trail.read(&self.core.disk, from_index, limit);
        if let Some(error) = &records.error {
            warn!(self.core.log, "audit records cannot be read"; "error" => %error);
        }
        let (next, left) = (records.through_index + 1, limit - records.list.len());
        let kept = self.core.volatile().state.records_from(next, left);
        records.list.extend(kept);
        records.list
    }

    /// Returns the accepted changes after a version; `None` when a full copy is needed.
    pub fn changes_since(&self, version: Version) -> Option<Vec<Applied>> {
        self.core.volatile().state.changes_since(version)
    }

    /// Returns whether this replica is a member that leads or heard its leader of late.
    pub fn has_live_leader(&self) -> bool {
        self.core.is_led_member()
    }

    /// Returns the name of the leader, as far as this replica knows.
    pub fn leader_name(&self) -> Option<String> {
        Some(self.core.settings.names.name(self.leader()?))
    }

    /// Returns whether this replica leads and no other can lead at this moment.
    pub fn has_lease(&self) -> bool {
        self.core.has_lease(&self.core.volatile())
    }

    /// Returns the members.
    pub fn members(&self) -> Vec<crate::Member> {
        self.core.volatile().members.list.clone()
    }

    /// Returns what this replica knows about itself and the others.
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

    fn replica_status(&self, volatile: &Volatile, member: &crate::Member) -> ReplicaStatus {
        let election = self.core.settings.election();
        let progress = volatile.progress.get(&member.identity);
        ReplicaStatus {
            member: member.clone(),
            matched_index: progress.map(|progress| progress.matched_index),
            live: progress.map(|progress| progress.answered_within(election)),
        }
    }

    /// Replaces the voter on one instance by a replica on another, or by a blank one on the same.
    ///
    /// # Errors
    ///
    /// Returns why it was not started, or that its outcome is unknown.
    pub async fn replace(&self, old: InstanceId, new: InstanceId) -> Result<(), ReplaceError> {
        let Some(leader) = self.leader() else {
            return Err(ReplaceError::NoLeader);
        };
        if leader == self.core.settings.me {
            return self.core.replace_here(old, new).await;
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

    /// Holds drains where they are, or lets them go on. A leader that holds neither steps nor
    /// ends them.
    pub fn set_drains_paused(&self, hold: bool) {
        self.core.drains_paused.store(hold, Ordering::Relaxed);
    }

    /// Returns once this replica knows a leader that has committed an entry of its own.
    pub async fn wait_for_leader(&self) {
        let mut changed = self.core.changed.subscribe();
        loop {
            {
                let volatile = self.core.volatile();
                let leads = volatile.role == Role::Leader;
                if volatile.leader.is_some() && (!leads || volatile.leads_in_full()) {
                    return;
                }
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Hands leadership over, lets go of the folder and ends all tasks.
    pub async fn stop(&self) {
        self.core.hand_over().await;
        let mut guard = self.core.lock_store().await;
        self.abort();
        guard.close();
        info!(self.core.log, "stopped");
    }

    /// Ends all tasks at once, as a crash of the process does.
    pub fn abort(&self) {
        self.core.stopped.send_replace(true);
        self.core.volatile().role = Role::Stopped;
        let mut tasks = self.core.tasks.lock().expect("no holder panics");
        tasks.abort_all();
        drop(tasks);
        self.core.notify();
    }

    fn leader(&self) -> Option<InstanceId> {
        self.core.volatile().leader
    }
}
