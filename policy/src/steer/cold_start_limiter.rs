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
