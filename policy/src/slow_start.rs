use std::time::Duration;

use tokio::time::Instant;

/// Slots that a cold upstream starts with.
const FIRST_SLOTS: f64 = 1.0;

/// Slots that an answer in good time opens.
const GOOD_STEP: f64 = 1.0;

/// Slots that a slow answer opens.
const SLOW_STEP: f64 = 0.25;

/// Multiple of the reference latency above which an answer counts as slow.
const SLOW_FACTOR: f64 = 2.0;

/// Ramp of the slots of a cold upstream. Answers open it, slow ones more slowly, and after a
/// bounded time it is open.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStart {
    started_at: Option<Instant>,
    open: f64,
}

impl SlowStart {
    /// Returns a ramp at its foot.
    pub fn cold(now: Instant) -> Self {
        Self {
            started_at: Some(now),
            open: FIRST_SLOTS,
        }
    }

    /// Returns a ramp that is over.
    pub fn warm() -> Self {
        Self {
            started_at: None,
            open: FIRST_SLOTS,
        }
    }

    /// Returns the open slots, or nothing once all are open.
    pub fn limit(&self, slots: u16, period: Duration, now: Instant) -> Option<u16> {
        let elapsed = now.saturating_duration_since(self.started_at?);
        if elapsed >= period {
            return None;
        }
        let by_time = f64::from(slots) * elapsed.as_secs_f64() / period.as_secs_f64();
        let open = self.open.max(by_time) as u16;
        (open < slots).then_some(open.max(1))
    }

    /// Takes in an answer and opens the ramp by it.
    pub fn answered(&mut self, latency_s: f64, reference_s: f64) {
        if self.started_at.is_none() {
            return;
        }
        match latency_s > reference_s * SLOW_FACTOR {
            true => self.open += SLOW_STEP,
            false => self.open += GOOD_STEP,
        }
    }

    /// Ends the ramp when all slots are open.
    pub fn settle(&mut self, slots: u16, period: Duration, now: Instant) {
        if self.limit(slots, period, now).is_none() {
            self.started_at = None;
        }
    }

    /// Returns when time alone opens the next slot.
    pub fn next_step(&self, slots: u16, period: Duration, now: Instant) -> Option<Instant> {
        let open = self.limit(slots, period, now)?;
        let share = f64::from(open + 1) / f64::from(slots);
        Some(self.started_at? + period.mul_f64(share.min(1.0)))
    }
}
