use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, MutexGuard};

use laburnumdeal_model::{Configuration, InstanceId, Term};
use slog::{Logger, error, info, warn};
use tokio::sync::{OwnedMutexGuard, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Duration, timeout};

use crate::joining::JoinCandidates;
use crate::proposals::Proposal;
use crate::snapshot_install::IncomingSnapshot;
use crate::volatile_state::VolatileState;
use crate::{
    ControlReply, ControlRequest, Disk, Entry, Header, PeerLink, ReplicaIdentity, ReplicaSettings,
    Role, StorageError, Store, Vote,
};

/// State shared by the tasks of one replica.
///
/// A task that changes the term, the vote or the log must hold the store's lock from the moment it
/// checks its preconditions until the change is in [`VolatileState`].
pub(crate) struct Core<L: PeerLink, D: Disk> {
    pub settings: ReplicaSettings,
    pub name: String,
    pub identity: ReplicaIdentity,
    pub link: L,
    pub disk: D,
    pub log: Logger,
    pub store: Arc<tokio::sync::Mutex<Store<D>>>,
    pub volatile: Mutex<VolatileState>,
    /// Incremented on every change of the role, the log or the commit index.
    pub change_count: watch::Sender<u64>,
    pub configuration: watch::Sender<Arc<Configuration>>,
    pub proposals: mpsc::Sender<Proposal>,
    pub drains_paused: AtomicBool,
    /// Number of the next submission forwarded to a leader.
    pub next_call_number: AtomicU64,
    pub stopped: watch::Sender<bool>,
    pub tasks: Mutex<JoinSet<()>>,
    /// Held while a snapshot is stored, whether this replica took or received it. A task that also
    /// locks the store takes this lock first.
    pub snapshot_storing: tokio::sync::Mutex<()>,
    /// Snapshot that is being received from a leader.
    pub incoming_snapshot: Mutex<IncomingSnapshot>,
    /// Replicas that asked to join as members.
    pub join_candidates: Mutex<JoinCandidates>,
    /// Members that a replication task of this leader serves, with the term of the task.
    pub replication_tasks: Mutex<BTreeSet<(Term, ReplicaIdentity)>>,
}

/// Exclusive access to the store of a replica.
pub(crate) type StoreGuard<D> = OwnedMutexGuard<Store<D>>;

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Locks the in-memory state.
    pub fn volatile(&self) -> MutexGuard<'_, VolatileState> {
        self.volatile.lock().expect("the lock is not poisoned")
    }

    /// Waits for exclusive access to the store.
    pub async fn lock_store(&self) -> StoreGuard<D> {
        self.store.clone().lock_owned().await
    }

    /// Runs blocking work on the locked store off the async executor.
    pub async fn with_store<T: Send + 'static>(
        &self,
        mut guard: StoreGuard<D>,
        work: impl FnOnce(&mut Store<D>) -> T + Send + 'static,
    ) -> (StoreGuard<D>, T) {
        let run = move || {
            let outcome = work(&mut guard);
            (guard, outcome)
        };
        self.disk.run_blocking(run).await
    }

    /// Persists a vote, then updates it in memory.
    pub async fn save_vote(
        &self,
        guard: StoreGuard<D>,
        vote: Vote,
    ) -> (StoreGuard<D>, Result<(), StorageError>) {
        let (guard, saved) = self
            .with_store(guard, move |store| store.save_vote(vote))
            .await;
        if let Err(error) = &saved {
            self.log_storage_error(error);
            return (guard, saved);
        }
        let mut volatile = self.volatile();
        volatile.vote = vote;
        drop(volatile);
        (guard, saved)
    }

    /// Persists entries, then appends them in memory.
    pub async fn append(
        &self,
        guard: StoreGuard<D>,
        entries: Vec<Entry>,
    ) -> (StoreGuard<D>, Result<(), StorageError>) {
        let (guard, (entries, appended)) = self
            .with_store(guard, move |store| {
                let appended = store.append(&entries);
                (entries, appended)
            })
            .await;
        let mut volatile = self.volatile();
        match &appended {
            Ok(()) => {
                if std::mem::take(&mut volatile.storage_full) {
                    info!(self.log, "the data folder has space again");
                }
                volatile.append(&entries);
            }
            Err(error) => {
                volatile.storage_full = error.lacks_space();
                self.log_storage_error(error);
            }
        }
        drop(volatile);
        self.notify();
        (guard, appended)
    }

    /// Adopts a newer term reported by another replica.
    pub async fn adopt_term(&self, term: Term) {
        let guard = self.lock_store().await;
        if self.volatile().vote.term >= term {
            return;
        }
        let vote = Vote {
            term,
            voted_for: None,
        };
        let (_guard, saved) = self.save_vote(guard, vote).await;
        self.step_down("another replica reported a newer term");
        if saved.is_ok() {
            info!(self.log, "adopted a newer term"; "term" => term.0);
        }
    }

    /// Stops leading or campaigning, if this replica does either.
    pub fn step_down(&self, reason: &'static str) {
        let mut volatile = self.volatile();
        if volatile.role == Role::Leader {
            info!(self.log, "stopped leading"; "term" => volatile.vote.term.0, "reason" => reason);
        }
        if volatile.role != Role::Stopped {
            volatile.step_down();
        }
        drop(volatile);
        self.notify();
    }

    /// Commits and applies the entries up to `index`, then publishes the configuration.
    pub fn commit_up_to(&self, volatile: &mut VolatileState, index: u64) {
        if index <= volatile.commit_index {
            return;
        }
        while volatile.commit_index < index {
            let next = volatile.commit_index + 1;
            let Some(entry) = volatile.entry(next).cloned() else {
                break;
            };
            if !volatile.state.apply(&entry) {
                error!(self.log, "cannot apply a committed entry; stopping the replica";
                    "index" => next);
                volatile.step_down();
                volatile.role = Role::Stopped;
                break;
            }
            volatile.commit_index = next;
        }
        self.publish_configuration(volatile);
        self.notify();
    }

    /// Publishes the configuration to its watchers if its version has increased.
    pub fn publish_configuration(&self, volatile: &VolatileState) {
        let newest = &volatile.state.configuration;
        self.configuration.send_if_modified(|published| {
            let is_newer = newest.version > published.version;
            if is_newer {
                *published = newest.clone();
            }
            is_newer
        });
    }

    /// Commits the entries that a majority has synced, if this replica leads. An entry of an
    /// earlier term is committed only together with one of the current term.
    pub fn advance_commit_index(&self, volatile: &mut VolatileState) {
        if volatile.role != Role::Leader {
            return;
        }
        let index = volatile.committable_index();
        if volatile.term_at(index) == Some(volatile.vote.term) {
            self.commit_up_to(volatile, index);
        }
    }

    /// Wakes the tasks that wait for a change of the role, the log or the commit index.
    pub fn notify(&self) {
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Returns whether this replica is the established leader and holds a valid lease, so that no
    /// other replica can lead at this moment.
    pub fn has_lease(&self, volatile: &VolatileState) -> bool {
        let since_boot = (self.settings.since_boot)();
        volatile.is_established_leader()
            && volatile.majority_supports_lease(self.settings.lease_duration(), since_boot)
    }

    /// Returns whether the members tolerate as many lost disks as the settings promise, so that what
    /// they commit may be acknowledged.
    pub fn may_acknowledge(&self, volatile: &VolatileState) -> bool {
        let promised = self
            .settings
            .auto_membership
            .map_or(0, |settings| settings.machines_lost);
        volatile.members.tolerated_disk_losses() >= promised
    }

    /// Returns the header for a request to the replica `receiver`.
    pub fn header(&self, volatile: &VolatileState, receiver: ReplicaIdentity) -> Header {
        Header {
            cluster: volatile.members.cluster,
            term: volatile.vote.term,
            sender: self.identity,
            receiver,
        }
    }

    /// Returns the id of the instance with this name, if it is known.
    pub fn instance_id(&self, name: &str) -> Option<InstanceId> {
        self.settings.names.id(name)
    }

    /// Sends a request and waits at most `within` for the reply.
    pub async fn call(
        &self,
        to: InstanceId,
        request: ControlRequest,
        within: Duration,
    ) -> Result<ControlReply, String> {
        match timeout(within, self.link.call(to, request)).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err(format!("no reply within {} ms", within.as_millis())),
        }
    }

    /// Runs `work` for as long as the replica does; returns `None` if that stops before.
    pub async fn unless_stopped<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut stopped = self.stopped.subscribe();
        tokio::select! {
            result = work => Some(result),
            _ = stopped.wait_for(|stopped| *stopped) => None,
        }
    }

    /// Spawns a task that is aborted when the replica stops.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if *self.stopped.borrow() {
            return;
        }
        let mut tasks = self.tasks.lock().expect("the lock is not poisoned");
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    fn log_storage_error(&self, error: &StorageError) {
        match error.lacks_space() {
            true => warn!(self.log, "the data folder is full"; "error" => %error),
            false => error!(self.log, "a write to the data folder failed"; "error" => %error),
        }
    }
}
