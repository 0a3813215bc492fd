use std::time::Duration;

use crate::customers::QuotaLimit;

/// Window of quotas and what they tolerate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction by which the requests in a window may exceed the limit.
    pub overshoot: f64,
    /// Requests in a window by which they may exceed it in addition.
    pub slack: f64,
    /// Time from asking for a share to its end.
    pub share_length: Duration,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 0.0,
            share_length: Duration::from_secs(4),
        }
    }
}

impl QuotaSettings {
    /// Returns the largest number of requests of a customer in any window.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_policy::customers::{QuotaLimit, QuotaSettings};
    ///
    /// let limit = QuotaLimit { milli_per_s: 8_000, burst: 10 };
    /// assert_eq!(QuotaSettings::default().max_requests(limit), 55);
    /// ```
    pub fn max_requests(&self, limit: QuotaLimit) -> u32 {
        let of_rate = limit.milli_per_s as f64 / 1_000.0 * self.window.as_secs_f64();
        let tolerated = (of_rate + limit.burst as f64) * (1.0 + self.overshoot) + self.slack;
        tolerated.floor() as u32
    }

    /// Returns the time after a report was received at which nothing that its sender held counts
    /// any more: its shares have ended, and so has the window after their last request.
    pub fn charge_length(&self) -> Duration {
        self.share_length + self.window
    }
}
