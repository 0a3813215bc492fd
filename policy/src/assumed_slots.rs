use tokio::time::Instant;

/// Slots that requests of a dead owner may still hold.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct AssumedSlots {
    count: u16,
    since: Option<Instant>,
    until: Option<Instant>,
}

impl AssumedSlots {
    /// Assumes that `count` slots are taken until `until`.
    pub fn assume(&mut self, count: u16, until: Instant, now: Instant) {
        self.count = self.taken(now).max(count);
        self.since = Some(now);
        self.until = self.until.max(Some(until));
    }

    /// Lowers the count to what a report made at `at` says at most.
    pub fn reported(&mut self, others_max: u16, at: Instant) {
        if self.since.is_some_and(|since| at >= since) {
            self.count = self.count.min(others_max);
        }
    }

    /// Returns the slots that count as taken.
    pub fn taken(&self, now: Instant) -> u16 {
        match self.until {
            Some(until) if now < until => self.count,
            _ => 0,
        }
    }

    /// Returns when they stop counting.
    pub fn until(&self) -> Option<Instant> {
        self.until
    }
}
