use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Slots of requests that this instance aborted or that timed out. They count as taken for a short
/// period, because the upstream may continue to run the requests.
#[derive(Clone, Default, Debug)]
pub(crate) struct LingeringSlots {
    until: VecDeque<Instant>,
}

impl LingeringSlots {
    /// Counts one more slot as taken for `period`.
    pub fn add(&mut self, period: Duration, now: Instant) {
        while self.until.front().is_some_and(|until| *until <= now) {
            self.until.pop_front();
        }
        self.until.push_back(now + period);
    }

    /// Returns the number of slots that count as taken.
    pub fn taken(&self, now: Instant) -> u16 {
        let expired = self.until.partition_point(|until| *until <= now);
        u16::try_from(self.until.len() - expired).unwrap_or(u16::MAX)
    }

    /// Returns when the next of these slots becomes free.
    pub fn next_free(&self, now: Instant) -> Option<Instant> {
        let expired = self.until.partition_point(|until| *until <= now);
        self.until.get(expired).copied()
    }
}
