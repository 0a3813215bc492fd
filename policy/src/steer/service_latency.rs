use std::time::Duration;

/// Weight of a new measurement in the moving averages.
const WEIGHT: f64 = 0.05;

/// Initial estimate for a request that hits the upstream's cache, as a fraction of the target
/// latency.
const INITIAL_HIT_FRACTION: f64 = 0.4;

/// Mean latencies of the requests of one service at an upstream without a queue.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLatency {
    hit_ms: f64,
    miss_ms: f64,
}

impl ServiceLatency {
    /// Returns initial estimates from the target latency of a route.
    pub fn new(target_latency: Duration) -> Self {
        let target_ms = target_latency.as_secs_f64() * 1_000.0;
        Self {
            hit_ms: target_ms * INITIAL_HIT_FRACTION,
            miss_ms: target_ms,
        }
    }

    /// Returns the expected latency of a request that hits or misses the upstream's cache.
    pub fn expected_ms(&self, is_hit: bool) -> f64 {
        if is_hit { self.hit_ms } else { self.miss_ms }
    }

    /// Records the latency of an answered request. A miss never counts as faster than a hit.
    pub fn record(&mut self, is_hit: bool, latency_ms: f64) {
        let mean_ms = if is_hit {
            &mut self.hit_ms
        } else {
            &mut self.miss_ms
        };
        *mean_ms += WEIGHT * (latency_ms - *mean_ms);
        self.miss_ms = self.miss_ms.max(self.hit_ms);
    }
}
