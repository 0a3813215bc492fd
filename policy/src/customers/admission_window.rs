use std::collections::VecDeque;
use std::time::Duration;

use crate::customers::BootTime;

/// Length of one count, in milliseconds.
const COUNT_MS: u64 = 10;

/// Number of requests in a sliding window, never counted too low.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use laburnumdeal_policy::customers::{AdmissionWindow, BootTime};
///
/// let mut window = AdmissionWindow::default();
/// let (start, length) = (BootTime::default(), Duration::from_secs(5));
/// window.add(start);
/// assert_eq!(window.count(start + length, length), 1);
/// assert_eq!(window.count(start + length + Duration::from_millis(10), length), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct AdmissionWindow {
    /// Requests by the number of the 10 ms in which they came.
    counts: VecDeque<(u64, u32)>,
    total: u32,
}

impl AdmissionWindow {
    /// Counts a request.
    pub fn add(&mut self, now: BootTime) {
        let number = now.as_millis() / COUNT_MS;
        match self.counts.back_mut() {
            Some((last, count)) if *last >= number => *count += 1,
            _ => self.counts.push_back((number, 1)),
        }
        self.total += 1;
    }

    /// Takes back a request that was counted at a time. Does nothing if it has left the window, or
    /// counts as later than it came.
    pub fn remove(&mut self, counted_at: BootTime) {
        let number = counted_at.as_millis() / COUNT_MS;
        let mut counts = self.counts.iter_mut().rev();
        if let Some((_, count)) = counts.find(|(other, count)| *other == number && *count > 0) {
            *count -= 1;
            self.total -= 1;
        }
    }

    /// Returns the number of requests in the window of a length that ends now.
    pub fn count(&mut self, now: BootTime, length: Duration) -> u32 {
        let oldest = now.as_millis().saturating_sub(length.as_millis() as u64) / COUNT_MS;
        while let Some((number, count)) = self.counts.front().copied()
            && number < oldest
        {
            self.counts.pop_front();
            self.total -= count;
        }
        self.total
    }

    /// Returns the time until the `index`-th oldest request has left the window.
    pub fn time_to_leave(&self, index: u32, now: BootTime, length: Duration) -> Option<Duration> {
        let mut skipped = 0;
        let found = self.counts.iter().find(|(_, count)| {
            skipped += count;
            skipped > index
        });
        let (number, _) = found?;
        let leaves_at = Duration::from_millis((number + 1) * COUNT_MS) + length;
        Some(BootTime::from(leaves_at).since(now))
    }
}
