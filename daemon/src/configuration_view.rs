use std::sync::{Arc, Mutex};
use std::time::Duration;

use laburnumdeal_model::{AuditRecord, Configuration, Digest, Topology, Verdict, Version};
use laburnumdeal_policy::LookupTable;
use tokio::sync::watch;
use tokio::time::Instant;

/// Configuration in force on this instance. Its version never decreases.
pub struct ConfigurationView {
    topology: Arc<Topology>,
    lease: Duration,
    active: watch::Sender<Option<Arc<ActiveConfiguration>>>,
    confirmed_at: Mutex<Option<Instant>>,
}

/// Configuration in force with the tables that routing looks up.
pub struct ActiveConfiguration {
    /// The configuration itself.
    pub configuration: Arc<Configuration>,
    /// Steering and drains, indexed for look-up.
    pub table: LookupTable,
    /// Hash of the configuration.
    pub digest: Digest,
}

/// Result of installing a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstallResult {
    /// The configuration is in force now.
    Installed,
    /// This version or a later one was already in force.
    Stale,
    /// It has the version in force but different contents.
    Conflict,
    /// The changes do not follow from the version in force, or do not lead to the expected hash.
    Gap,
}

impl ConfigurationView {
    /// Creates a view without a configuration.
    pub fn new(topology: Arc<Topology>, lease: Duration) -> Self {
        Self {
            topology,
            lease,
            active: watch::Sender::new(None),
            confirmed_at: Mutex::new(None),
        }
    }

    /// Returns the configuration in force with its tables, if there is one.
    pub fn active(&self) -> Option<Arc<ActiveConfiguration>> {
        self.active.borrow().clone()
    }

    /// Returns a receiver that is notified of every version.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<ActiveConfiguration>>> {
        self.active.subscribe()
    }

    /// Returns whether any configuration is in force.
    pub fn is_known(&self) -> bool {
        self.active.borrow().is_some()
    }

    /// Returns the version in force, or 0 when there is none.
    pub fn version(&self) -> Version {
        self.active
            .borrow()
            .as_ref()
            .map_or(Version(0), |active| active.configuration.version)
    }

    /// Returns the hash of the configuration in force.
    pub fn digest(&self) -> Option<Digest> {
        self.active.borrow().as_ref().map(|active| active.digest)
    }

    /// Installs a whole configuration if its version is later than the one in force.
    pub fn install(&self, candidate: Arc<Configuration>) -> InstallResult {
        let version = candidate.version;
        let digest = candidate.digest();
        if let Some(active) = self.active()
            && version <= active.configuration.version
        {
            let is_same = version < active.configuration.version || digest == active.digest;
            return if is_same {
                InstallResult::Stale
            } else {
                InstallResult::Conflict
            };
        }
        let table = LookupTable::build(&candidate, &self.topology);
        let next = Arc::new(ActiveConfiguration {
            configuration: candidate,
            table,
            digest,
        });
        self.replace_if_newer(next)
    }

    /// Applies changes that follow from the version in force; `digest` is the hash they lead to.
    pub fn install_changes(&self, changes: &[AuditRecord], digest: Digest) -> InstallResult {
        let Some(active) = self.active() else {
            return InstallResult::Gap;
        };
        let mut configuration = (*active.configuration).clone();
        for record in changes {
            let Verdict::Accepted { version } = record.verdict else {
                continue;
            };
            if version <= configuration.version {
                continue;
            }
            match configuration.apply(&record.change, &self.topology, record.at_ms, true) {
                Ok(next) if next.version == version => configuration = next,
                _ => return InstallResult::Gap,
            }
        }
        if configuration.version > active.configuration.version && configuration.digest() != digest
        {
            return InstallResult::Gap;
        }
        self.install(Arc::new(configuration))
    }

    /// Records that the leader confirmed the configuration in force `age` ago.
    pub fn confirm(&self, age: Duration) {
        let Some(at) = Instant::now().checked_sub(age) else {
            return;
        };
        let mut confirmed = self.confirmed_at.lock().expect("no panic while locked");
        *confirmed = Some(confirmed.map_or(at, |previous| previous.max(at)));
    }

    /// Returns the time since the leader last confirmed the configuration in force.
    pub fn confirmed_age(&self) -> Option<Duration> {
        let confirmed = *self.confirmed_at.lock().expect("no panic while locked");
        confirmed.map(|at| at.elapsed())
    }

    /// Returns whether the configuration lease has expired, so that no shift may start.
    pub fn is_fenced(&self) -> bool {
        self.confirmed_age().is_none_or(|age| age >= self.lease)
    }

    fn replace_if_newer(&self, next: Arc<ActiveConfiguration>) -> InstallResult {
        let version = next.configuration.version;
        let is_installed = self.active.send_if_modified(|current| {
            let is_newer = current
                .as_ref()
                .is_none_or(|c| c.configuration.version < version);
            if is_newer {
                *current = Some(next);
            }
            is_newer
        });
        if is_installed {
            InstallResult::Installed
        } else {
            InstallResult::Stale
        }
    }
}
