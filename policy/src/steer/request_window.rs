use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Extra length of a window, because requests arrive with delays of different lengths.
const SLACK: Duration = Duration::from_millis(50);

/// Requests that one instance sent to an upstream within a sliding window. Every instance limits
/// itself to its quota, so all of them together stay within a limit on the upstream.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use laburnumdeal_policy::steer::RequestWindow;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut window = RequestWindow::new(Duration::from_secs(1));
/// window.record(now);
/// assert!(window.allows(2, now));
/// assert!(!window.allows(1, now));
/// assert!(window.allows(1, now + Duration::from_secs(2)));
/// ```
#[derive(Clone, Debug)]
pub struct RequestWindow {
    length: Duration,
    sent_at: VecDeque<Instant>,
}

impl RequestWindow {
    /// Returns an empty window of a length.
    pub fn new(length: Duration) -> Self {
        Self {
            length: length + SLACK,
            sent_at: VecDeque::new(),
        }
    }

    /// Returns whether one more request keeps within `quota` in the current window.
    pub fn allows(&self, quota: usize, now: Instant) -> bool {
        quota > 0 && self.wait(quota, now).is_zero()
    }

    /// Returns the time until one more request keeps within `quota`, which must be above 0.
    pub fn wait(&self, quota: usize, now: Instant) -> Duration {
        // The newest of the requests that have to leave the window first.
        let blocking = self.sent_at.len().checked_sub(quota);
        let blocking = blocking.and_then(|index| self.sent_at.get(index));
        blocking.map_or(Duration::ZERO, |at| {
            (*at + self.length).saturating_duration_since(now)
        })
    }

    /// Records a request that is sent now.
    pub fn record(&mut self, now: Instant) {
        while self
            .sent_at
            .front()
            .is_some_and(|at| now - *at >= self.length)
        {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }
}
