use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;

/// Length of each of the two windows.
const WINDOW: Duration = Duration::from_secs(10);

/// Minimum number of samples for a quantile.
const MIN_SAMPLES: u64 = 20;

/// Highest latency that the histogram distinguishes, in microseconds.
const MAX_US: u64 = 60_000_000;

/// Significant digits of the histogram.
const DIGITS: u8 = 2;

/// Histograms of the recent latencies of one service, for quantiles.
#[derive(Clone, Debug)]
pub(crate) struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    started_at: Option<Instant>,
}

impl LatencyWindow {
    /// Creates a window without samples.
    pub fn new() -> Self {
        let empty = Histogram::new_with_bounds(1, MAX_US, DIGITS).expect("the bounds are in order");
        Self {
            current: empty.clone(),
            previous: empty,
            started_at: None,
        }
    }

    /// Adds a latency sample.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        let started_at = *self.started_at.get_or_insert(now);
        if now.saturating_duration_since(started_at) >= WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.started_at = Some(now);
        }
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(MAX_US);
        self.current.saturating_record(latency_us.max(1));
    }

    /// Returns a quantile of the recent latencies, or `None` when there are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let fuller = match self.previous.len() > self.current.len() {
            true => &self.previous,
            false => &self.current,
        };
        (fuller.len() >= MIN_SAMPLES)
            .then(|| Duration::from_micros(fuller.value_at_quantile(quantile)))
    }
}
