use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Sliding window in which requests to a cold upstream are counted; a little more than the second
/// that the rate limit refers to.
const WINDOW: Duration = Duration::from_millis(1_050);

/// Limits how many requests one instance sends to an upstream that has not warmed up. Every
/// instance limits itself to its quota, so all of them together stay within the upstream's limit.
#[derive(Clone, Debug, Default)]
pub struct ColdStartLimiter {
    sent_at: VecDeque<Instant>,
}

impl ColdStartLimiter {
    /// Returns how many requests per second one instance may send to a cold upstream that may get
    /// `limit_per_s` from all `instances`. The remainder of the division goes to the instances with
    /// the lowest `rank`, which starts at 0.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_policy::steer::ColdStartLimiter;
    ///
    /// assert_eq!(ColdStartLimiter::quota(27.0, 9, 0), 3);
    /// assert_eq!(ColdStartLimiter::quota(20.0, 60, 19), 1);
    /// assert_eq!(ColdStartLimiter::quota(20.0, 60, 20), 0);
    /// ```
    pub fn quota(limit_per_s: f64, instances: usize, rank: usize) -> usize {
        let limit = limit_per_s.max(0.0) as usize;
        let instances = instances.max(1);
        limit / instances + usize::from(rank < limit % instances)
    }

    /// Returns whether one more request keeps within `quota` in the current window.
    pub fn allows(&self, quota: usize, now: Instant) -> bool {
        let recent = self.sent_at.iter().filter(|at| now - **at < WINDOW);
        recent.count() < quota
    }

    /// Records a request that is sent now.
    pub fn record(&mut self, now: Instant) {
        while self.sent_at.front().is_some_and(|at| now - *at >= WINDOW) {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }
}
