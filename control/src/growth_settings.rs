/// How a log grows beyond its first members and replaces those that are gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrowthSettings {
    /// Whether the first members may be written down; false once the log exists somewhere.
    pub may_form: bool,
    /// Voters that are aimed at.
    pub voters: usize,
    /// Synced copies that a change needs beside the majority before it is answered.
    pub copies: usize,
    /// Silence after which a voter gives way to a learner that has caught up.
    pub voter_gone_ms: u64,
    /// Silence after which a learner is no longer a member.
    pub learner_gone_ms: u64,
    /// Time between two requests to be taken in as a member.
    pub join_ms: u64,
}

impl Default for GrowthSettings {
    fn default() -> Self {
        Self {
            may_form: true,
            voters: 5,
            copies: 3,
            voter_gone_ms: 2_500,
            learner_gone_ms: 8_000,
            join_ms: 400,
        }
    }
}
