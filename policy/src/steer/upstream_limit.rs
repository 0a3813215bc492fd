use std::time::Duration;

use tokio::time::Instant;

use crate::steer::{InstanceShare, RequestWindow};

/// Window in which requests to a limited upstream are counted. A limit of less than one request a
/// second for each instance would round to none in a shorter one.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests per second that instances without a quota send together, to notice that the limit has
/// ended: this rate, and this fraction of the limit.
const PROBES_PER_S: (f64, f64) = (0.25, 0.25);

/// Shortest time between two such requests of one instance.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Limit on the requests per second that an upstream takes from all instances together, as it named
/// it in its answers, and what this instance has sent of its quota. The limit holds until an answer
/// does not name it.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::{InstanceShare, UpstreamLimit};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut limit = UpstreamLimit::new(1.0, now);
/// let share = InstanceShare { before: 0.0, own: 1.0, total: 2.0, instances: 2 };
/// for _ in 0..2 {
///     assert!(limit.allows(share, now));
///     limit.record_request(now);
/// }
/// assert!(!limit.allows(share, now));
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamLimit {
    per_s: f64,
    window: RequestWindow,
    /// Time of the last request, or of the answer that last named the limit.
    used_at: Instant,
}

impl UpstreamLimit {
    /// Returns a limit in requests per second that an answer named at a time.
    pub fn new(per_s: f64, now: Instant) -> Self {
        Self {
            per_s,
            window: RequestWindow::new(WINDOW),
            used_at: now,
        }
    }

    /// Replaces the limit by the one in a later answer.
    pub fn update(&mut self, per_s: f64, now: Instant) {
        self.per_s = per_s;
        self.used_at = now;
    }

    /// Returns the limit in requests per second.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Returns whether this instance may send one more request with its share. Without a quota it
    /// sends one from time to time, since only an answer tells that the limit has ended.
    pub fn allows(&self, share: InstanceShare, now: Instant) -> bool {
        self.wait(share, now).is_zero()
    }

    /// Returns the time until this instance may send one more request with its share.
    pub fn wait(&self, share: InstanceShare, now: Instant) -> Duration {
        match self.quota(share) {
            0 => {
                let probe_at = self.used_at + self.probe_interval(share);
                probe_at.saturating_duration_since(now)
            }
            quota => self.window.wait(quota, now),
        }
    }

    /// Records a request that is sent now.
    pub fn record_request(&mut self, now: Instant) {
        self.window.record(now);
        self.used_at = now;
    }

    fn quota(&self, share: InstanceShare) -> usize {
        share.quota(self.per_s * WINDOW.as_secs_f64())
    }

    /// Returns the time between two probes of this instance. It differs from one instance to the
    /// next, because all learn of a limit at the same time.
    fn probe_interval(&self, share: InstanceShare) -> Duration {
        let (base_per_s, fraction) = PROBES_PER_S;
        let probes_per_s = base_per_s + fraction * self.per_s;
        let spread = 0.5 + share.before / share.total;
        let interval_s = share.instances as f64 / probes_per_s * spread;
        Duration::from_secs_f64(interval_s).max(MIN_PROBE_INTERVAL)
    }
}
