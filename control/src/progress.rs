use tokio::time::{Duration, Instant};

use crate::ReplicaIdentity;

/// What a leader knows of another member.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Next entry to send.
    pub next_index: u64,
    /// Last entry that the member has synced.
    pub matched_index: u64,
    /// Time when the newest request was sent that the member answered.
    pub answered_at: Option<Instant>,
    /// Whether the member's storage is full.
    pub storage_full: bool,
    /// Identity of the blank replica that answers in the member's place.
    pub blank_identity: Option<ReplicaIdentity>,
}

impl Progress {
    /// Starts after the last entry of the leader.
    pub fn new(next_index: u64) -> Self {
        Self {
            next_index,
            matched_index: 0,
            answered_at: None,
            storage_full: false,
            blank_identity: None,
        }
    }

    /// Returns whether the member answered a request that was sent less than `within` ago.
    pub fn answered_within(&self, within: Duration) -> bool {
        self.answered_at.is_some_and(|at| at.elapsed() < within)
    }
}
