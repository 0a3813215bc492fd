use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, MutexGuard};

use laburnumdeal_model::{Configuration, InstanceId, Term};
use slog::{Logger, error, info, warn};
use tokio::sync::{OwnedMutexGuard, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Duration, timeout};

use crate::install::Incoming;
use crate::joining::Candidates;
use crate::proposals::Proposal;
use crate::volatile::Volatile;
use crate::{
    ControlReply, ControlRequest, Disk, Entry, Header, PeerLink, ReplicaIdentity, ReplicaSettings,
    Role, StorageError, Store, Vote,
};

/// What the tasks of one replica share.
///
/// Whoever changes the term, the vote or the log holds the store's lock from its checks until the
/// change is in [`Volatile`].
pub(crate) struct Core<L: PeerLink, D: Disk> {
    pub settings: ReplicaSettings,
    pub name: String,
    pub identity: ReplicaIdentity,
    pub link: L,
    pub disk: D,
    pub log: Logger,
    pub store: Arc<tokio::sync::Mutex<Store<D>>>,
    pub volatile: Mutex<Volatile>,
    /// Counts changes of the role, the log and what is committed.
    pub changed: watch::Sender<u64>,
    pub configuration: watch::Sender<Arc<Configuration>>,
    pub proposals: mpsc::Sender<Proposal>,
    pub drains_paused: AtomicBool,
    /// Number of the next submission that is passed on.
    pub next_call: AtomicU64,
    pub stopped: watch::Sender<bool>,
    pub tasks: Mutex<JoinSet<()>>,
    /// Snapshot that a leader is sending.
    pub incoming: Mutex<Incoming>,
    /// Replicas that asked to be taken in as members.
    pub candidates: Mutex<Candidates>,
    /// Members that a task sends to, by term.
    pub peers: Mutex<BTreeSet<(Term, ReplicaIdentity)>>,
}

/// Store of a replica, locked against other writers.
pub(crate) type StoreGuard<D> = OwnedMutexGuard<Store<D>>;

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Returns the memory of the replica, locked.
    pub fn volatile(&self) -> MutexGuard<'_, Volatile> {
        self.volatile.lock().expect("no holder panics")
    }

    /// Waits for the store.
    pub async fn lock_store(&self) -> StoreGuard<D> {
        self.store.clone().lock_owned().await
    }

    /// Runs work on the locked store where it holds up no other task.
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

    /// Stores a vote, and takes it over in memory.
    pub async fn save_vote(
        &self,
        guard: StoreGuard<D>,
        vote: Vote,
    ) -> (StoreGuard<D>, Result<(), StorageError>) {
        let (guard, saved) = self
            .with_store(guard, move |store| store.save_vote(vote))
            .await;
        if let Err(error) = &saved {
            self.report(error);
            return (guard, saved);
        }
        let mut volatile = self.volatile();
        volatile.vote = vote;
        drop(volatile);
        (guard, saved)
    }

    /// Stores entries, and takes them over in memory.
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
                volatile.storage_full = false;
                volatile.append(&entries);
            }
            Err(error) => {
                volatile.storage_full = error.is_full();
                self.report(error);
            }
        }
        drop(volatile);
        self.notify();
        (guard, appended)
    }

    /// Takes over a newer term that another replica told.
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
        self.step_down("a newer term was told");
        if saved.is_ok() {
            info!(self.log, "adopted a newer term"; "term" => term.0);
        }
    }

    /// Gives up leading or standing for election, if it does.
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

    /// Applies entries up to `index`, and publishes the configuration.
    pub fn commit(&self, volatile: &mut Volatile, index: u64) {
        if index <= volatile.commit_index {
            return;
        }
        while volatile.commit_index < index {
            let next = volatile.commit_index + 1;
            let Some(entry) = volatile.entry(next).cloned() else {
                break;
            };
            if !volatile.state.apply(&entry) {
                error!(self.log, "an entry does not follow the ones before it, so the replica stops";
                    "index" => next);
                volatile.step_down();
                volatile.role = Role::Stopped;
                break;
            }
            volatile.commit_index = next;
        }
        self.publish(volatile);
        self.notify();
    }

    /// Shows the configuration to those who watch it, when its version rose.
    pub fn publish(&self, volatile: &Volatile) {
        let newest = &volatile.state.configuration;
        self.configuration.send_if_modified(|shown| {
            let rises = newest.version > shown.version;
            if rises {
                *shown = newest.clone();
            }
            rises
        });
    }

    /// Commits what a majority has synced, when this replica leads.
    pub fn commit_majority(&self, volatile: &mut Volatile) {
        if volatile.role != Role::Leader {
            return;
        }
        let copies = self
            .settings
            .auto_membership
            .map_or(0, |auto| auto.min_copies);
        let index = volatile.majority_index(copies);
        if volatile.term_at(index) == Some(volatile.vote.term) {
            self.commit(volatile, index);
        }
    }

    /// Wakes the tasks that wait for a change.
    pub fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns whether this replica leads in full and no other can lead at this moment.
    pub fn has_lease(&self, volatile: &Volatile) -> bool {
        volatile.leads_in_full() && volatile.heard_majority_within(self.settings.lease())
    }

    /// Returns the header of a request to a replica.
    pub fn header(&self, volatile: &Volatile, receiver: ReplicaIdentity) -> Header {
        Header {
            cluster: volatile.members.cluster,
            term: volatile.vote.term,
            sender: self.identity,
            receiver,
        }
    }

    /// Returns the key of an instance of the members.
    pub fn instance(&self, name: &str) -> Option<InstanceId> {
        self.settings.names.key(name)
    }

    /// Sends a request; a reply that takes longer than `within` counts as lost.
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

    /// Runs a task until it ends or the replica does.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if *self.stopped.borrow() {
            return;
        }
        let mut tasks = self.tasks.lock().expect("no holder panics");
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    fn report(&self, error: &StorageError) {
        match error.is_full() {
            true => warn!(self.log, "storage is full"; "error" => %error),
            false => error!(self.log, "storage failed"; "error" => %error),
        }
    }
}
