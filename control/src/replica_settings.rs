use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use laburnumdeal_model::{InstanceId, Topology};

use crate::{AutoMembershipSettings, ControlError, InjectedFaults, InstanceNames, ReplicaIdentity};

/// Time between two heartbeats of a leader.
const HEARTBEAT_MS: u64 = 100;
/// Shortest silence after which a follower stands for election.
const ELECTION_MS: u64 = 1000;
/// Time that a leader may confirm reads after a majority answered.
const LEASE_MS: u64 = 800;
/// Entries between two snapshots.
const SNAPSHOT_EVERY: u64 = 4096;

/// Settings of a [`Replica`](crate::Replica).
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Instance that the replica runs on.
    pub me: InstanceId,
    /// Instances of the first members; the log itself says who the members are later.
    pub initial_members: Vec<InstanceId>,
    /// Data folder of the replica.
    pub folder: PathBuf,
    /// Everything that exists, which changes are checked against.
    pub topology: Arc<Topology>,
    /// Names of the instances that replicas run on.
    pub names: Arc<InstanceNames>,
    /// Region of this instance; voters are spread over regions. Empty where it does not matter.
    pub region: String,
    /// How the log grows; `None` keeps the first members until an operator replaces one.
    pub auto_membership: Option<AutoMembershipSettings>,
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval_ms: u64,
    /// Shortest silence after which a follower stands for election.
    pub election_timeout_ms: u64,
    /// Time that a leader may confirm reads after a majority answered; shorter than an election.
    pub lease_ms: u64,
    /// Seed of election timeouts.
    pub seed: u64,
    /// Entries between two snapshots; 0 takes none.
    pub entries_per_snapshot: u64,
    /// Returns the time in milliseconds since the Unix epoch.
    pub now_ms: fn() -> u64,
    /// Returns the identity of a blank folder, which no other may ever have had.
    pub new_identity: fn() -> ReplicaIdentity,
    /// Faults that tests inject.
    pub faults: InjectedFaults,
}

impl ReplicaSettings {
    /// Returns settings with the usual times. The seed comes from the system's generator.
    pub fn new(
        me: InstanceId,
        initial_members: Vec<InstanceId>,
        folder: &Path,
        topology: Arc<Topology>,
    ) -> Self {
        Self {
            me,
            initial_members,
            folder: folder.to_owned(),
            names: Arc::new(InstanceNames::from_topology(&topology)),
            region: String::new(),
            auto_membership: None,
            topology,
            heartbeat_interval_ms: HEARTBEAT_MS,
            election_timeout_ms: ELECTION_MS,
            lease_ms: LEASE_MS,
            seed: rand::random(),
            entries_per_snapshot: SNAPSHOT_EVERY,
            now_ms: unix_now_ms,
            new_identity: ReplicaIdentity::random,
            faults: InjectedFaults::default(),
        }
    }

    /// Checks that the times fit each other.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use laburnumdeal_control::ReplicaSettings;
    /// use laburnumdeal_model::{Topology, embedded_topology};
    ///
    /// let topology = Arc::new(Topology::build(&embedded_topology())?);
    /// let me = topology.instance_named("nasr-1").unwrap();
    /// let mut settings = ReplicaSettings::new(me, vec![me], "data".as_ref(), topology);
    /// assert!(settings.check().is_ok());
    /// settings.lease_ms = settings.election_timeout_ms;
    /// assert!(settings.check().is_err());
    /// # Ok::<(), laburnumdeal_model::TopologyError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns the field that does not fit.
    pub fn check(&self) -> Result<(), ControlError> {
        if self.heartbeat_interval_ms == 0 {
            return Err(ControlError::Settings(
                "heartbeat_interval_ms must be at least 1",
            ));
        }
        if self.lease_ms >= self.election_timeout_ms {
            return Err(ControlError::Settings(
                "lease_ms must be less than election_timeout_ms",
            ));
        }
        if self.heartbeat_interval_ms >= self.lease_ms {
            return Err(ControlError::Settings(
                "heartbeat_interval_ms must be less than lease_ms",
            ));
        }
        Ok(())
    }

    pub(crate) fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_interval_ms)
    }

    pub(crate) fn election(&self) -> Duration {
        Duration::from_millis(self.election_timeout_ms)
    }

    pub(crate) fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}

/// Returns the time of the system's clock in milliseconds since the Unix epoch.
pub fn unix_now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
