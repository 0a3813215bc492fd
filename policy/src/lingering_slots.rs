use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Slots of requests that this side cut off; the upstream may go on with them for a moment.
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

    /// Returns the slots that count as taken.
    pub fn taken(&self, now: Instant) -> u16 {
        let over = self.until.partition_point(|until| *until <= now);
        u16::try_from(self.until.len() - over).unwrap_or(u16::MAX)
    }

    /// Returns when the next of them is free.
    pub fn next_free(&self, now: Instant) -> Option<Instant> {
        let over = self.until.partition_point(|until| *until <= now);
        self.until.get(over).copied()
    }
}
