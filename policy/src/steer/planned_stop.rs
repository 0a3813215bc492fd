use std::time::Duration;

use tokio::time::Instant;

/// Planned stop of an instance, which decides until when it takes requests. One that is still running
/// at the end is cut off, so a request is taken only if it has its whole time before. A request with a
/// time limit longer than half of the stop is taken in the first half, with less time: most need far
/// less than their limit, and would otherwise be refused from the beginning on.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use laburnumdeal_policy::steer::PlannedStop;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let stop = PlannedStop::begin(Duration::from_secs(6), now);
/// let late = now + Duration::from_secs(4);
/// let deadline = late + Duration::from_secs(2);
/// assert_eq!(stop.admit(deadline, late), Some(deadline));
/// assert_eq!(stop.admit(late + Duration::from_millis(2_500), late), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    ends_at: Instant,
    /// Longest time for which the stop has to last when a request is taken.
    max_wait: Duration,
}

impl PlannedStop {
    /// Begins a stop after whose `length` no request is answered any more.
    pub fn begin(length: Duration, now: Instant) -> Self {
        Self {
            ends_at: now + length,
            max_wait: length / 2,
        }
    }

    /// Returns the time by which a request has to end that could last until `deadline`, or `None` if
    /// it comes too late.
    pub fn admit(&self, deadline: Instant, now: Instant) -> Option<Instant> {
        let needed = deadline.saturating_duration_since(now).min(self.max_wait);
        (now + needed <= self.ends_at).then(|| deadline.min(self.ends_at))
    }
}
