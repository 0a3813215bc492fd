/// Answers that must be measured before the mean latency of a route is used.
const MIN_ANSWERS: u32 = 3;

/// Weight of a new measurement in the moving average.
const WEIGHT: f64 = 0.2;

/// Mean latency of the requests of one route, which may differ from that of its service.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteLatency {
    answers: u32,
    mean_ms: f64,
}

impl RouteLatency {
    /// Returns the mean latency, once enough answers have been measured.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.answers >= MIN_ANSWERS).then_some(self.mean_ms)
    }

    /// Records the latency of an answered request.
    pub fn record(&mut self, latency_ms: f64) {
        let weight = WEIGHT.max(1.0 / f64::from(self.answers + 1));
        self.mean_ms += weight * (latency_ms - self.mean_ms);
        self.answers = self.answers.saturating_add(1);
    }
}
