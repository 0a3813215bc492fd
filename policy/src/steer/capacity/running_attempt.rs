use tokio::time::Instant;

use crate::steer::Decision;

/// Attempt at an upstream that has not ended.
#[derive(Clone, Copy, Debug)]
pub(in crate::steer) struct RunningAttempt {
    pub chosen_at: Instant,
    pub holds_object: bool,
    /// Requests per slot that were ahead of it.
    pub queue: f64,
    /// Whether it counts as slow already.
    pub is_counted: bool,
}

impl RunningAttempt {
    /// Returns the attempt that a decision starts at an upstream with a number of slots.
    pub fn new(decision: &Decision, slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            chosen_at: decision.chosen_at,
            holds_object: decision.holds_object,
            queue: ((decision.load + 1.0 - slots) / slots).max(0.0),
            is_counted: false,
        }
    }

    /// Returns the time that it has run, without what was ahead of it. A queue is passed in steps of
    /// the time of one request.
    pub fn ran_ms(&self, now: Instant) -> f64 {
        let ran = now.saturating_duration_since(self.chosen_at);
        ran.as_secs_f64() * 1_000.0 / (1.0 + self.queue)
    }
}
