use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use laburnumdeal_model::{InstanceId, Topology};

use crate::{
    AutoMembershipSettings, ControlError, InjectedFaults, InstanceNames, ReplicaIdentity,
    boot_clock,
};

/// Default interval between two heartbeats of a leader.
const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// Default minimum of the randomized election timeout.
const ELECTION_TIMEOUT_MS: u64 = 1000;
/// Default duration of a leader's lease.
const LEASE_MS: u64 = 800;
/// Default number of entries between two snapshots.
const ENTRIES_PER_SNAPSHOT: u64 = 4096;

/// Settings of a [`Replica`](crate::Replica).
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Instance that the replica runs on.
    pub me: InstanceId,
    /// Instances that bootstrap the cluster; afterwards the members are recorded in the log.
    pub initial_members: Vec<InstanceId>,
    /// Data folder of the replica.
    pub folder: PathBuf,
    /// Topology that changes are validated against.
    pub topology: Arc<Topology>,
    /// Names of the instances that replicas run on, by id.
    pub names: Arc<InstanceNames>,
    /// Region of this instance, used to spread voters over regions. Empty if unused.
    pub region: String,
    /// How members join and are replaced automatically; with `None` the initial members stay until
    /// an operator replaces one.
    pub auto_membership: Option<AutoMembershipSettings>,
    /// Interval between two heartbeats of a leader.
    pub heartbeat_interval_ms: u64,
    /// Minimum time without contact to a leader after which a voter starts an election. The actual
    /// timeout is random, up to twice as long.
    pub election_timeout_ms: u64,
    /// Duration of a leader's lease, counted from sending the requests that a majority responded
    /// to. Must be shorter than the election timeout, so that the lease ends before another can
    /// lead.
    pub lease_ms: u64,
    /// Seed of the randomized election timeouts.
    pub seed: u64,
    /// Number of committed entries after which a snapshot is taken; 0 disables snapshots.
    pub entries_per_snapshot: u64,
    /// Returns the time in milliseconds since the Unix epoch.
    pub now_ms: fn() -> u64,
    /// Returns the time since the machine started, including the time for which it was suspended.
    pub since_boot: fn() -> Duration,
    /// Returns an identity for a blank folder, which must differ from all earlier ones.
    pub new_identity: fn() -> ReplicaIdentity,
    /// Faults that tests inject.
    pub faults: InjectedFaults,
}

impl ReplicaSettings {
    /// Creates settings with default intervals and timeouts and a random seed.
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
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            election_timeout_ms: ELECTION_TIMEOUT_MS,
            lease_ms: LEASE_MS,
            seed: rand::random(),
            entries_per_snapshot: ENTRIES_PER_SNAPSHOT,
            now_ms: unix_now_ms,
            since_boot: boot_clock::since_boot,
            new_identity: ReplicaIdentity::random,
            faults: InjectedFaults::default(),
        }
    }

    /// Checks that the intervals and timeouts are consistent.
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
    /// Returns [`ControlError::Settings`], which names the first field that violates its bound.
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

    pub(crate) fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_interval_ms)
    }

    pub(crate) fn election_timeout(&self) -> Duration {
        Duration::from_millis(self.election_timeout_ms)
    }

    pub(crate) fn lease_duration(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}

/// Returns the system time in milliseconds since the Unix epoch.
pub fn unix_now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
