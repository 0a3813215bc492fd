use std::collections::VecDeque;

/// Counts the admissions of one customer over all instances in every window, and the leases that
/// held.
#[derive(Debug, Default)]
pub struct Checker {
    times_ms: VecDeque<u64>,
    /// Largest number by which a window exceeded what was allowed.
    pub excess: usize,
    pub total: usize,
    /// Number of times that a lease held, and held wrongly.
    pub leases: usize,
    pub stale: usize,
}

impl Checker {
    /// Records an admission; `allowed` requests may lie in the window that ends now.
    pub fn admit(&mut self, now_ms: u64, window_ms: u64, allowed: u32) {
        self.total += 1;
        self.times_ms.push_back(now_ms);
        while self
            .times_ms
            .front()
            .is_some_and(|at| at + window_ms < now_ms)
        {
            self.times_ms.pop_front();
        }
        self.excess = self
            .excess
            .max(self.times_ms.len().saturating_sub(allowed as usize));
    }
}
