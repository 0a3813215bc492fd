use tokio::time::{Duration, Instant};

use crate::ReplicaIdentity;
use crate::sent_at::SentAt;

/// Replication progress of another member, as its leader knows it.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Last entry known to be synced by the member and equal to the leader's.
    pub matched_index: u64,
    /// Time since when the leader has sent to the member.
    pub started_at: Instant,
    /// Time when the latest request that the member responded to was sent.
    pub last_acked_sent_at: Option<SentAt>,
    /// Whether the member last reported that its data folder is full.
    pub storage_full: bool,
    /// Identity of a blank replica that answers on the member's instance instead of the member.
    pub blank_identity: Option<ReplicaIdentity>,
}

impl Progress {
    /// Creates the progress of a member from which nothing has been heard; the leader first probes
    /// it from `next_index`.
    pub fn new(next_index: u64) -> Self {
        Self {
            next_index,
            matched_index: 0,
            started_at: Instant::now(),
            last_acked_sent_at: None,
            storage_full: false,
            blank_identity: None,
        }
    }

    /// Returns whether the member responded to a request that was sent less than `within` ago.
    pub fn responded_within(&self, within: Duration) -> bool {
        self.last_acked_sent_at
            .is_some_and(|at| at.instant.elapsed() < within)
    }

    /// Returns whether the member has not responded for `timeout`. One to which nothing was sent for so
    /// long is not silent: it may just have been added.
    pub fn is_silent(&self, timeout: Duration) -> bool {
        self.started_at.elapsed() > timeout && !self.responded_within(timeout)
    }

    /// Returns whether the member responded to a request that was sent less than `within` ago by
    /// both clocks. `since_boot` is the time of the boot clock.
    pub fn supports_lease(&self, within: Duration, since_boot: Duration) -> bool {
        self.last_acked_sent_at
            .is_some_and(|at| at.is_within(within, since_boot))
    }
}
