/// Longest time of a grant that any instance gives.
pub const MAX_GRANT_MS: u64 = 3_000;

/// Thousandths by which two clocks may run apart from true time.
pub const MAX_CLOCK_DRIFT_PERMILLE: u64 = 10;

/// Settings of [`CapShares`](crate::CapShares).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareSettings {
    /// Time of a grant, at most [`MAX_GRANT_MS`].
    pub grant_ms: u64,
    /// Time after a grant's end at which the lender counts it back, beside the clocks' drift.
    pub reclaim_margin_ms: u64,
    /// Thousandths of a share that may be lent at the same time; a restarted process holds as much back.
    pub max_lent_permille: u64,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            grant_ms: 2_000,
            reclaim_margin_ms: crate::WINDOW_MS + 2 * crate::WINDOW_STEP_MS,
            max_lent_permille: 800,
        }
    }
}

impl ShareSettings {
    /// Returns the time from a grant of `grant_ms` until the lender may spend it again.
    pub fn reclaim_after_ms(&self, grant_ms: u64) -> u64 {
        grant_ms + drift_ms(grant_ms) + self.reclaim_margin_ms
    }
}

/// Returns the time that two clocks may differ by after `elapsed_ms`, with the drift of the
/// window that follows.
pub fn drift_ms(elapsed_ms: u64) -> u64 {
    (elapsed_ms + crate::WINDOW_MS) * 3 * MAX_CLOCK_DRIFT_PERMILLE / 1_000 + 1
}
