use std::time::Duration;

use tokio::time::Instant;

use crate::{AttemptOutcome, PoolSettings};

/// Consecutive broken attempts that eject an upstream.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;

/// Consecutive timeouts that eject an upstream.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 3;

/// Ejection of an upstream whose requests fail. Each further ejection lasts twice as long.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct Ejection {
    consecutive_failures: u32,
    consecutive_timeouts: u32,
    recent_ejections: u32,
    until: Option<Instant>,
    ejected_at: Option<Instant>,
    last_failure_at: Option<Instant>,
    probe_in_flight: bool,
}

impl Ejection {
    /// Records the failure of a request that was sent at `sent_at`. Returns whether it ejects the
    /// upstream. Failures of requests sent before the last ejection don't eject it again.
    pub fn record_failure(
        &mut self,
        outcome: AttemptOutcome,
        sent_at: Instant,
        settings: &PoolSettings,
        now: Instant,
    ) -> bool {
        self.last_failure_at = Some(now);
        if self.ejected_at.is_some_and(|at| sent_at <= at) {
            return false;
        }
        match outcome {
            AttemptOutcome::Refused => self.consecutive_failures = MAX_CONSECUTIVE_FAILURES,
            AttemptOutcome::TimedOut => self.consecutive_timeouts += 1,
            _ => self.consecutive_failures += 1,
        }
        let ejects = self.until.is_some()
            || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            || self.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS;
        if ejects {
            self.eject(settings, now);
        }
        ejects
    }

    /// Records an answer and returns whether it ends an ejection.
    pub fn record_answer(&mut self) -> bool {
        self.consecutive_failures = 0;
        self.consecutive_timeouts = 0;
        if self.until.take().is_some() {
            return true;
        }
        self.recent_ejections = self.recent_ejections.saturating_sub(1);
        false
    }

    /// Returns whether the upstream gets no requests now.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether the upstream gets only one probe request at a time.
    pub fn is_suspect(&self) -> bool {
        self.until.is_some()
    }

    /// Returns whether a probe is in flight.
    pub fn has_probe(&self) -> bool {
        self.probe_in_flight
    }

    /// Records the start or end of a probe.
    pub fn set_probe(&mut self, running: bool) {
        self.probe_in_flight = running;
    }

    /// Returns the end of the current ejection.
    pub fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Returns the time of the last failure.
    pub fn last_failure_at(&self) -> Option<Instant> {
        self.last_failure_at
    }

    fn eject(&mut self, settings: &PoolSettings, now: Instant) {
        let doublings = self.recent_ejections.min(16);
        let period = Duration::from_millis(settings.base_ejection_ms)
            .saturating_mul(1 << doublings)
            .min(Duration::from_millis(settings.max_ejection_ms));
        self.until = Some(now + period);
        self.ejected_at = Some(now);
        self.recent_ejections += 1;
        self.consecutive_failures = 0;
        self.consecutive_timeouts = 0;
    }
}
