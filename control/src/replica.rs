use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use laburnumdeal_model::{Applied, Configuration, InstanceId, Submission, Term, Version};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::append::Appending;
use crate::calls_seen::Seen;
use crate::core::Core;
use crate::election::VoteRequest;
use crate::install::{Incoming, SnapshotPart};
use crate::proposals::{Command, Proposal, unknown};
use crate::volatile::Volatile;
use crate::{
    Committed, Confirmed, ControlError, ControlReply, ControlRequest, Disk, FileDisk, Loaded,
    NotRun, PeerLink, ReplaceError, ReplicaSettings, ReplicaStatus, Role, State, Status,
    StorageError, Store, SubmitError,
};

/// Proposals that wait for the leader's disk at most.
const PROPOSALS_WAITING: usize = 1024;

/// Handle of a running replica of the change log.
pub struct Replica<L: PeerLink, D: Disk = FileDisk> {
    core: Arc<Core<L, D>>,
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
        let name = settings.topology.instance(settings.me).name.clone();
        let (store, loaded) = open(&disk, &name, &mut generator).await?;
        if loaded.cut_bytes > 0 {
            warn!(log, "cut off what an interrupted write left at the end of the log";
                "bytes" => loaded.cut_bytes);
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
            drains_held: AtomicBool::new(false),
            next_call: AtomicU64::new(generator.random()),
            stopped: watch::Sender::new(false),
            tasks: Mutex::new(JoinSet::new()),
            incoming: Mutex::new(Incoming::default()),
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
        core.spawn(core.clone().run_drains());
        core.spawn(core.clone().run_snapshots());
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

    async fn answer(&self, from: InstanceId, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::Identify => ControlReply::Identity {
                identity: self.core.identity,
                cluster: self.core.volatile().cluster(),
            },
            ControlRequest::Vote {
                header,
                pre_vote,
                transfer,
                last_index,
                last_term,
            } => {
                let request = VoteRequest {
                    header,
                    pre_vote,
                    transfer,
                    last_index,
                    last_term,
                };
                self.core.on_vote(request).await
            }
            ControlRequest::Append {
                header,
                previous_index,
                previous_term,
                entries,
                commit_index,
            } => {
                let appending = Appending {
                    header,
                    previous_index,
                    previous_term,
                    entries,
                    commit_index,
                };
                self.core.on_append(from, appending).await
            }
            ControlRequest::Snapshot {
                header,
                index,
                total_bytes,
                offset,
                bytes,
                digest,
            } => {
                let part = SnapshotPart {
                    header,
                    index,
                    total_bytes,
                    offset,
                    bytes,
                    digest,
                };
                self.core.on_snapshot(from, part).await
            }
            ControlRequest::TakeOver { header } => self.core.on_take_over(header).await,
            ControlRequest::Submit {
                term,
                call,
                submission,
            } => ControlReply::Submitted(self.on_submit(term, (from, call), submission).await),
            ControlRequest::ReadIndex => {
                let volatile = self.core.volatile();
                let index = volatile.commit_index;
                ControlReply::ReadIndex(self.core.has_lease(&volatile).then_some(index))
            }
            ControlRequest::Replace { old, new } => {
                ControlReply::Replaced(self.core.replace_here(old, new).await)
            }
        }
    }

    /// Submits a change and returns its committed answer; a follower passes it on to the leader.
    ///
    /// # Errors
    ///
    /// [`SubmitError::NotRun`] says that this submission appended nothing anywhere.
    pub async fn submit(&self, submission: Submission) -> Result<Committed, SubmitError> {
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

    /// Submits what another replica passed on.
    async fn on_submit(
        &self,
        term: Term,
        call: (InstanceId, u64),
        submission: Submission,
    ) -> Result<Committed, SubmitError> {
        let seen = {
            let mut volatile = self.core.volatile();
            let leads = volatile.leads(term);
            volatile.calls_seen.note(term, leads, call)
        };
        match seen {
            Seen::New => self.submit_here(submission).await,
            Seen::Never => Err(NotRun::NotLeader.into()),
            Seen::Perhaps => Err(unknown(&submission, "the message may have come twice")),
        }
    }

    async fn submit_here(&self, submission: Submission) -> Result<Committed, SubmitError> {
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
    pub async fn confirmed(&self) -> Confirmed {
        let leader = self.leader();
        let confirmed = match leader {
            Some(leader) if leader == self.core.settings.me => true,
            Some(leader) => self.catch_up_with(leader).await,
            None => false,
        };
        let volatile = self.core.volatile();
        let leads = leader == Some(self.core.settings.me);
        Confirmed {
            configuration: volatile.state.configuration.clone(),
            confirmed: confirmed && (!leads || self.core.has_lease(&volatile)),
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

    /// Returns a receiver of the committed configuration; its versions only rise.
    pub fn watch(&self) -> watch::Receiver<Arc<Configuration>> {
        self.core.configuration.subscribe()
    }

    /// Returns audit records from an index on, in order.
    pub fn history(&self, from_index: u64, limit: usize) -> Vec<Applied> {
        self.core.volatile().state.records_from(from_index, limit)
    }

    /// Returns the accepted changes after a version; `None` when a full copy is needed.
    pub fn changes_since(&self, version: Version) -> Option<Vec<Applied>> {
        self.core.volatile().state.changes_since(version)
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
    pub fn hold_drains(&self, hold: bool) {
        self.core.drains_held.store(hold, Ordering::Relaxed);
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

async fn open<D: Disk>(
    disk: &D,
    name: &str,
    generator: &mut ChaCha8Rng,
) -> Result<(Store<D>, Loaded), StorageError> {
    let (files, name, mut own) = (disk.clone(), name.to_owned(), generator.clone());
    let opened = disk.run(move || Store::open(files, &name, &mut own)).await;
    *generator = ChaCha8Rng::from_rng(generator);
    opened
}

fn restore(loaded: Loaded) -> Result<Volatile, StorageError> {
    let state = match &loaded.snapshot {
        Some(bytes) => {
            rmp_serde::from_slice::<State>(bytes).map_err(|error| StorageError::Damaged {
                file: "snapshot".to_owned(),
                offset: 0,
                reason: error.to_string(),
            })?
        }
        None => State::default(),
    };
    let later = loaded.entries.into_iter();
    let later = later.filter(|entry| entry.index > state.index && entry.term >= state.term);
    let later: Vec<_> = later.collect();
    match later.first() {
        Some(first) if first.index != state.index + 1 => Err(StorageError::Damaged {
            file: "log".to_owned(),
            offset: 0,
            reason: format!("entry {} is missing", state.index + 1),
        }),
        _ => Ok(Volatile::new(loaded.identity, loaded.vote, state, later)),
    }
}
