use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Window in which the requests to a cold upstream are counted.
const WINDOW: Duration = Duration::from_millis(1_050);

/// Part of the requests that a cold upstream tolerates which one instance may send by itself.
#[derive(Clone, Debug, Default)]
pub struct ColdShare {
    sent: VecDeque<Instant>,
}

impl ColdShare {
    /// Returns how many requests an instance may send to a cold upstream within a second, when
    /// `bound` is the sum over `instances` and this one is number `rank` of them for that upstream.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_policy::steer::ColdShare;
    ///
    /// assert_eq!(ColdShare::allowed(27.0, 9, 0), 3);
    /// assert_eq!(ColdShare::allowed(20.0, 60, 19), 1);
    /// assert_eq!(ColdShare::allowed(20.0, 60, 20), 0);
    /// ```
    pub fn allowed(bound: f64, instances: usize, rank: usize) -> usize {
        let whole = bound.max(0.0) as usize;
        let instances = instances.max(1);
        whole / instances + usize::from(rank < whole % instances)
    }

    /// Returns whether one more request fits now.
    pub fn fits(&self, allowed: usize, now: Instant) -> bool {
        let recent = self.sent.iter().filter(|at| now - **at < WINDOW);
        recent.count() < allowed
    }

    /// Counts a request that is sent now.
    pub fn count(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| now - *at >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
