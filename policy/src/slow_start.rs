use std::time::Duration;

use tokio::time::Instant;

/// Number of slots that a cold upstream starts with.
const INITIAL_SLOTS: f64 = 1.0;

/// Number of slots that a fast answer opens.
const FAST_ANSWER_STEP: f64 = 1.0;

/// Number of slots that a slow answer opens.
const SLOW_ANSWER_STEP: f64 = 0.25;

/// Ratio to the reference latency above which an answer counts as slow.
const SLOW_LATENCY_RATIO: f64 = 2.0;

/// Slow start of a cold upstream. Each answer opens slots, a slow one fewer than a fast one, and
/// all slots are open after a fixed period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStart {
    started_at: Option<Instant>,
    open_slots: f64,
}

impl SlowStart {
    /// Starts the slow start of a cold upstream.
    pub fn cold(now: Instant) -> Self {
        Self {
            started_at: Some(now),
            open_slots: INITIAL_SLOTS,
        }
    }

    /// Returns the state of a warm upstream, with every slot open.
    pub fn warm() -> Self {
        Self {
            started_at: None,
            open_slots: INITIAL_SLOTS,
        }
    }

    /// Returns the number of open slots, or `None` once all are open.
    pub fn limit(&self, slots: u16, period: Duration, now: Instant) -> Option<u16> {
        let elapsed = now.saturating_duration_since(self.started_at?);
        if elapsed >= period {
            return None;
        }
        let by_time = f64::from(slots) * elapsed.as_secs_f64() / period.as_secs_f64();
        let open_slots = self.open_slots.max(by_time) as u16;
        (open_slots < slots).then_some(open_slots.max(1))
    }

    /// Records an answer, which opens slots.
    pub fn answered(&mut self, latency_s: f64, reference_s: f64) {
        if self.started_at.is_none() {
            return;
        }
        match latency_s > reference_s * SLOW_LATENCY_RATIO {
            true => self.open_slots += SLOW_ANSWER_STEP,
            false => self.open_slots += FAST_ANSWER_STEP,
        }
    }

    /// Ends the slow start when all slots are open.
    pub fn end_if_open(&mut self, slots: u16, period: Duration, now: Instant) {
        if self.limit(slots, period, now).is_none() {
            self.started_at = None;
        }
    }

    /// Returns when the next slot opens even without an answer.
    pub fn next_step(&self, slots: u16, period: Duration, now: Instant) -> Option<Instant> {
        let open_slots = self.limit(slots, period, now)?;
        let fraction = f64::from(open_slots + 1) / f64::from(slots);
        Some(self.started_at? + period.mul_f64(fraction.min(1.0)))
    }
}
