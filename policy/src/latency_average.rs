use std::time::Duration;

use tokio::time::Instant;

/// Weight of one sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.03;

/// Moving average of one upstream's latency. Without new samples it decays towards a reference
/// latency, the mean of its service.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct LatencyAverage {
    average_s: f64,
    sampled_at: Option<Instant>,
    samples: u32,
}

impl LatencyAverage {
    /// Adds a latency sample.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        let sample_s = latency.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.average_s += weight * (sample_s - self.average_s);
        self.sampled_at = Some(now);
    }

    /// Returns the expected latency in seconds.
    pub fn expected_s(&self, reference_s: f64, decay: Duration, now: Instant) -> f64 {
        let Some(sampled_at) = self.sampled_at else {
            return reference_s;
        };
        let age_s = now.saturating_duration_since(sampled_at).as_secs_f64();
        let remaining = (-age_s / decay.as_secs_f64()).exp();
        reference_s + (self.average_s - reference_s) * remaining
    }
}
