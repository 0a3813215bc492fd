use tokio::time::{Duration, Instant};

/// Time when a request was sent, by the steady clock and by the boot clock. Only the latter goes on
/// while the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAt {
    /// Time by the steady clock.
    pub instant: Instant,
    /// Time since the machine started.
    pub since_boot: Duration,
}

impl SentAt {
    /// Returns whether less than `within` has passed by both clocks, with the boot clock at
    /// `since_boot`.
    pub fn is_within(&self, within: Duration, since_boot: Duration) -> bool {
        self.instant.elapsed() < within && since_boot.saturating_sub(self.since_boot) < within
    }
}
