/// How a log grows beyond its first members and replaces those that are gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AutoMembershipSettings {
    /// Whether the first members may be written down; false once the log exists somewhere.
    pub may_bootstrap: bool,
    /// Voters that are aimed at.
    pub target_voters: usize,
    /// Synced copies that a change needs beside the majority before it is answered.
    pub min_copies: usize,
    /// Silence after which a voter gives way to a learner that has caught up.
    pub voter_timeout_ms: u64,
    /// Silence after which a learner is no longer a member.
    pub observer_timeout_ms: u64,
    /// Time between two requests to be taken in as a member.
    pub join_interval_ms: u64,
}

impl Default for AutoMembershipSettings {
    fn default() -> Self {
        Self {
            may_bootstrap: true,
            target_voters: 5,
            min_copies: 3,
            voter_timeout_ms: 2_500,
            observer_timeout_ms: 8_000,
            join_interval_ms: 400,
        }
    }
}
