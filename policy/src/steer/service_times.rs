use std::time::Duration;

/// Weight of one measurement against the ones before.
const WEIGHT: f64 = 0.05;

/// Part of the target latency that a request takes at an upstream that knows the object, until
/// measured.
const FIRST_WARM: f64 = 0.4;

/// Times that requests of one service take on an upstream without a queue.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimes {
    warm_ms: f64,
    cold_ms: f64,
}

impl ServiceTimes {
    /// Returns first estimates from the target latency of a route.
    pub fn new(target_latency: Duration) -> Self {
        let target_ms = target_latency.as_secs_f64() * 1_000.0;
        Self {
            warm_ms: target_ms * FIRST_WARM,
            cold_ms: target_ms,
        }
    }

    /// Returns the time of a request whose object the upstream knows, or does not know.
    pub fn expected_ms(&self, warm: bool) -> f64 {
        if warm { self.warm_ms } else { self.cold_ms }
    }

    /// Takes in the time of an answered request.
    pub fn measured(&mut self, warm: bool, took_ms: f64) {
        let held = if warm {
            &mut self.warm_ms
        } else {
            &mut self.cold_ms
        };
        *held += WEIGHT * (took_ms - *held);
        self.cold_ms = self.cold_ms.max(self.warm_ms);
    }
}
