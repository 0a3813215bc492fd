use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

/// Time for which a completed run shows that a request does not crash upstreams.
const RETENTION: Duration = Duration::from_secs(60);

/// Limit on the requests that are remembered.
const MAX_REQUESTS: usize = 4_096;

/// Requests that upstreams completed a short while ago, by their fingerprints.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::CompletedRequests;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut completed = CompletedRequests::default();
/// completed.record(7, now);
/// assert!(completed.is_recent(7, now) && !completed.is_recent(8, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CompletedRequests {
    completed_at: HashMap<u64, Instant>,
    /// Fingerprints in the order in which they were first recorded.
    order: VecDeque<u64>,
}

impl CompletedRequests {
    /// Records a run that was completed.
    pub fn record(&mut self, fingerprint: u64, now: Instant) {
        if self.completed_at.insert(fingerprint, now).is_some() {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.completed_at.remove(&oldest);
        }
    }

    /// Returns whether a run of the request was completed a short while ago.
    pub fn is_recent(&self, fingerprint: u64, now: Instant) -> bool {
        let completed_at = self.completed_at.get(&fingerprint);
        completed_at.is_some_and(|at| now.saturating_duration_since(*at) < RETENTION)
    }
}
