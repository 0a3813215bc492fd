/// Maximum duration of any grant.
pub const MAX_GRANT_MS: u64 = 3_000;

/// Maximum drift of a clock from true time, in thousandths.
pub const MAX_CLOCK_DRIFT_PERMILLE: u64 = 10;

/// Settings of [`CapShares`](crate::CapShares).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareSettings {
    /// Duration of a grant, at most [`MAX_GRANT_MS`].
    pub grant_ms: u64,
    /// Time between the end of a grant and the moment at which the lender may spend it again, in
    /// addition to the drift of the clocks.
    pub reclaim_margin_ms: u64,
    /// Maximum part of a share that is lent at the same time, in thousandths. A restarted process
    /// reserves the same part, because its earlier run may have lent it.
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
    /// Returns the time from a grant with a duration of `grant_ms` until the lender may spend it
    /// again.
    pub fn reclaim_after_ms(&self, grant_ms: u64) -> u64 {
        grant_ms + drift_ms(grant_ms) + self.reclaim_margin_ms
    }
}

/// Returns the maximum difference of two clocks after `elapsed_ms` and the window that follows.
pub fn drift_ms(elapsed_ms: u64) -> u64 {
    (elapsed_ms + crate::WINDOW_MS) * 3 * MAX_CLOCK_DRIFT_PERMILLE / 1_000 + 1
}
