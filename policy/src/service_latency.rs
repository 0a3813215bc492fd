use std::time::Duration;

/// Weight of one sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Moving average of a service's latency.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceLatency {
    mean_s: f64,
    samples: u32,
}

impl ServiceLatency {
    /// Creates an average that is `initial` until the first sample.
    pub fn new(initial: Duration) -> Self {
        Self {
            mean_s: initial.as_secs_f64(),
            samples: 0,
        }
    }

    /// Adds a latency sample.
    pub fn record(&mut self, latency: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean_s += weight * (latency.as_secs_f64() - self.mean_s);
    }

    /// Returns the mean in seconds.
    pub fn mean_s(&self) -> f64 {
        self.mean_s
    }

    /// Returns the mean.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns whether there is at least one sample.
    pub fn is_measured(&self) -> bool {
        self.samples > 0
    }
}
