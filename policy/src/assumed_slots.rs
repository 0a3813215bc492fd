use tokio::time::Instant;

/// Slots that requests of a former owner may still hold.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct AssumedSlots {
    count: u16,
    assumed_at: Option<Instant>,
    until: Option<Instant>,
}

impl AssumedSlots {
    /// Counts `count` slots as taken until `until`.
    pub fn assume(&mut self, count: u16, until: Instant, now: Instant) {
        self.count = self.taken(now).max(count);
        self.assumed_at = Some(now);
        self.until = self.until.max(Some(until));
    }

    /// Lowers the count to `max_others`, the maximum by a load report that was made at `at`. An older
    /// report has no effect.
    pub fn limit_to_report(&mut self, max_others: u16, at: Instant) {
        if self.assumed_at.is_some_and(|assumed_at| at >= assumed_at) {
            self.count = self.count.min(max_others);
        }
    }

    /// Returns the number of slots that count as taken.
    pub fn taken(&self, now: Instant) -> u16 {
        match self.until {
            Some(until) if now < until => self.count,
            _ => 0,
        }
    }

    /// Returns when the slots stop counting as taken.
    pub fn until(&self) -> Option<Instant> {
        self.until
    }
}
