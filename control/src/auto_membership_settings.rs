/// Settings for members that join automatically and replace those that stopped responding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AutoMembershipSettings {
    /// Whether this replica may bootstrap a cluster; must be false once one exists. It is stored, so
    /// that a restart with `false` goes on with a bootstrap that was not completed.
    pub may_bootstrap: bool,
    /// Number of voters to reach.
    pub target_voters: usize,
    /// Number of disks that may be lost at the same time. A change is acknowledged only while the
    /// members [tolerate](crate::Members::tolerated_disk_losses) that many.
    pub machines_lost: usize,
    /// Time without a response after which a voter is removed if an observer has caught up to take
    /// its place. A learner that replaces a voter is removed after the same time.
    pub voter_timeout_ms: u64,
    /// Time without a response after which an observer is removed.
    pub observer_timeout_ms: u64,
    /// Interval between two requests to join the cluster.
    pub join_interval_ms: u64,
}

impl Default for AutoMembershipSettings {
    fn default() -> Self {
        Self {
            may_bootstrap: true,
            target_voters: 5,
            machines_lost: 2,
            voter_timeout_ms: 2_500,
            observer_timeout_ms: 8_000,
            join_interval_ms: 400,
        }
    }
}
