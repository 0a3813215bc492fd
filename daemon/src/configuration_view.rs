use std::sync::{Arc, Mutex};
use std::time::Duration;

use laburnumdeal_model::{Applied, Configuration, Digest, Topology, Verdict, Version};
use laburnumdeal_policy::LookupTable;
use tokio::sync::watch;
use tokio::time::Instant;

/// Configuration in force on this instance. Its version only rises.
pub struct ConfigurationView {
    topology: Arc<Topology>,
    lease: Duration,
    in_force: watch::Sender<Option<Arc<InForce>>>,
    confirmed_at: Mutex<Option<Instant>>,
}

/// One version of the configuration, compiled for decisions.
pub struct InForce {
    /// The configuration itself.
    pub configuration: Arc<Configuration>,
    /// Steering and drains by key.
    pub table: LookupTable,
    /// Hash of the configuration.
    pub digest: Digest,
}

/// What became of a configuration that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It is in force now.
    Taken,
    /// This version or a later one was in force already.
    Old,
    /// It has the version in force but other contents.
    Conflict,
    /// The changes do not follow from the version in force.
    Gap,
}

impl ConfigurationView {
    /// Returns a view without a configuration.
    pub fn new(topology: Arc<Topology>, lease: Duration) -> Self {
        Self {
            topology,
            lease,
            in_force: watch::Sender::new(None),
            confirmed_at: Mutex::new(None),
        }
    }

    /// Returns the version in force with its tables; `None` before the first.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.borrow().clone()
    }

    /// Returns a receiver that is told of every version.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<InForce>>> {
        self.in_force.subscribe()
    }

    /// Returns whether any configuration is in force.
    pub fn is_known(&self) -> bool {
        self.in_force.borrow().is_some()
    }

    /// Returns the version in force, 0 when there is none.
    pub fn version(&self) -> Version {
        self.in_force
            .borrow()
            .as_ref()
            .map_or(Version(0), |known| known.configuration.version)
    }

    /// Returns the hash of the configuration in force.
    pub fn digest(&self) -> Option<Digest> {
        self.in_force.borrow().as_ref().map(|known| known.digest)
    }

    /// Puts a whole configuration in force if its version is later than the one in force.
    pub fn offer(&self, offered: Arc<Configuration>) -> Offered {
        let version = offered.version;
        let digest = offered.digest();
        if let Some(known) = self.in_force()
            && version <= known.configuration.version
        {
            let is_same = version < known.configuration.version || digest == known.digest;
            return if is_same {
                Offered::Old
            } else {
                Offered::Conflict
            };
        }
        let table = LookupTable::build(&offered, &self.topology);
        let next = Arc::new(InForce {
            configuration: offered,
            table,
            digest,
        });
        self.put(next)
    }

    /// Applies changes that follow from the version in force; `digest` is the hash they lead to.
    pub fn offer_changes(&self, changes: &[Applied], digest: Digest) -> Offered {
        let Some(known) = self.in_force() else {
            return Offered::Gap;
        };
        let mut configuration = (*known.configuration).clone();
        for record in changes {
            let Verdict::Accepted { version } = record.verdict else {
                continue;
            };
            if version <= configuration.version {
                continue;
            }
            match configuration.apply(&record.change, &self.topology, record.at_ms, true) {
                Ok(next) if next.version == version => configuration = next,
                _ => return Offered::Gap,
            }
        }
        if configuration.version > known.configuration.version && configuration.digest() != digest {
            return Offered::Gap;
        }
        self.offer(Arc::new(configuration))
    }

    /// Notes that the configuration in force was confirmed by the leader `age` ago.
    pub fn confirm(&self, age: Duration) {
        let Some(at) = Instant::now().checked_sub(age) else {
            return;
        };
        let mut confirmed = self.confirmed_at.lock().expect("no panic while locked");
        *confirmed = Some(confirmed.map_or(at, |known| known.max(at)));
    }

    /// Returns the time since the leader last confirmed the configuration in force.
    pub fn confirmed_age(&self) -> Option<Duration> {
        let confirmed = *self.confirmed_at.lock().expect("no panic while locked");
        confirmed.map(|at| at.elapsed())
    }

    /// Returns whether the configuration lease has run out: no shift may start.
    pub fn is_fenced(&self) -> bool {
        self.confirmed_age().is_none_or(|age| age >= self.lease)
    }

    fn put(&self, next: Arc<InForce>) -> Offered {
        let version = next.configuration.version;
        let is_taken = self.in_force.send_if_modified(|current| {
            let is_later = current
                .as_ref()
                .is_none_or(|c| c.configuration.version < version);
            if is_later {
                *current = Some(next);
            }
            is_later
        });
        if is_taken {
            Offered::Taken
        } else {
            Offered::Old
        }
    }
}
