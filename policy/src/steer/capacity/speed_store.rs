use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::steer::{SharedSpeed, SpeedSample};

/// Most upstreams that are kept.
const MAX_UPSTREAMS: usize = 4_096;

/// Most upstreams in one message, so that it fits a link of 2 Mbit/s.
pub(super) const MAX_ENTRIES: usize = 1_024;

/// Age at which a speed is dropped. Nothing is left of its weight by then.
const RETENTION: Duration = Duration::from_secs(10);

/// Change of the logarithm of a ratio that instances are told at once.
const TOLD_CHANGE: f64 = 0.18;

/// Time after which they are told a speed that has not changed, since it fades at the instances.
const TOLD_INTERVAL: Duration = Duration::from_millis(2_000);

/// Speeds of upstreams as all instances that use one store report them, for these instances. It
/// makes no decisions.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use laburnumdeal_policy::steer::{SharedSpeed, SpeedStore};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut store = SpeedStore::default();
/// let slow = SharedSpeed { upstream: 7, answers: 2, percent: 400, age_ms: 0 };
/// store.merge(&[slow], now);
/// assert_eq!(store.told_within(Duration::from_secs(1), now), [slow]);
/// ```
#[derive(Debug, Default)]
pub struct SpeedStore {
    by_upstream: HashMap<u64, StoredSpeed>,
}

#[derive(Clone, Copy, Debug)]
struct StoredSpeed {
    sample: SpeedSample,
    /// Logarithm of the ratio that instances were told, and since when.
    told: (f64, Instant),
}

impl SpeedStore {
    /// Merges the report of one instance, and drops what is too old.
    pub fn merge(&mut self, report: &[SharedSpeed], now: Instant) {
        let is_kept = |stored: &mut StoredSpeed| {
            let newest_at = stored.sample.newest_at();
            newest_at.is_some_and(|at| now.saturating_duration_since(at) < RETENTION)
        };
        self.by_upstream.retain(|_, stored| is_kept(stored));
        for shared in report.iter().take(MAX_ENTRIES) {
            let Some(sample) = SpeedSample::from_shared(shared, now) else {
                continue;
            };
            if let Some(stored) = self.by_upstream.get_mut(&shared.upstream) {
                stored.merge(&sample, now);
            } else if self.by_upstream.len() < MAX_UPSTREAMS {
                let told = (sample.log_ratio(), now);
                let stored = StoredSpeed { sample, told };
                self.by_upstream.insert(shared.upstream, stored);
            }
        }
    }

    /// Returns what instances have to be told since a time ago, the slowest upstreams first.
    pub fn told_within(&self, window: Duration, now: Instant) -> Vec<SharedSpeed> {
        let stored = self.by_upstream.iter();
        let told =
            stored.filter(|(_, stored)| now.saturating_duration_since(stored.told.1) <= window);
        let shared = told.filter_map(|(upstream, stored)| stored.sample.to_shared(*upstream, now));
        let mut shared: Vec<_> = shared.collect();
        shared.sort_by_key(|shared| (std::cmp::Reverse(shared.percent), shared.upstream));
        shared.truncate(MAX_ENTRIES);
        shared
    }
}

impl StoredSpeed {
    fn merge(&mut self, sample: &SpeedSample, now: Instant) {
        self.sample.merge(sample);
        let log_ratio = self.sample.log_ratio();
        let has_changed = (log_ratio - self.told.0).abs() >= TOLD_CHANGE;
        if has_changed || now.saturating_duration_since(self.told.1) >= TOLD_INTERVAL {
            self.told = (log_ratio, now);
        }
    }
}
