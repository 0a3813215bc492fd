/// Answers after which the time of a route is known.
const ANSWERS_NEEDED: u32 = 3;

/// Weight of one measurement against the ones before.
const WEIGHT: f64 = 0.2;

/// Time that the requests of one route take, whatever the others of its service take.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteTime {
    answers: u32,
    mean_ms: f64,
}

impl RouteTime {
    /// Returns the time, once enough answers have been measured.
    pub fn known_ms(&self) -> Option<f64> {
        (self.answers >= ANSWERS_NEEDED).then_some(self.mean_ms)
    }

    /// Takes in the time of an answered request.
    pub fn measured(&mut self, took_ms: f64) {
        let weight = WEIGHT.max(1.0 / f64::from(self.answers + 1));
        self.mean_ms += weight * (took_ms - self.mean_ms);
        self.answers = self.answers.saturating_add(1);
    }
}
