use std::time::Duration;

use tokio::time::Instant;

use crate::{AttemptOutcome, PoolSettings};

/// Broken exchanges in a row that eject an upstream.
const FAILED_MAX: u32 = 2;

/// Unanswered requests in a row that eject an upstream.
const SILENT_MAX: u32 = 3;

/// Ejection of an upstream whose requests fail, with a return that is put off further each time.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct Ejection {
    failed: u32,
    silent: u32,
    ejections: u32,
    until: Option<Instant>,
    ejected_at: Option<Instant>,
    last_failure_at: Option<Instant>,
    probe_in_flight: bool,
}

impl Ejection {
    /// Takes in a failure of a request that was sent at `sent_at`; returns whether it ejects.
    pub fn failed(
        &mut self,
        ending: AttemptOutcome,
        sent_at: Instant,
        settings: &PoolSettings,
        now: Instant,
    ) -> bool {
        self.last_failure_at = Some(now);
        if self.ejected_at.is_some_and(|at| sent_at <= at) {
            return false;
        }
        match ending {
            AttemptOutcome::Refused => self.failed = FAILED_MAX,
            AttemptOutcome::TimedOut => self.silent += 1,
            _ => self.failed += 1,
        }
        let ejects = self.until.is_some() || self.failed >= FAILED_MAX || self.silent >= SILENT_MAX;
        if ejects {
            self.eject(settings, now);
        }
        ejects
    }

    /// Takes in an answer; returns whether it ends an ejection.
    pub fn answered(&mut self) -> bool {
        self.failed = 0;
        self.silent = 0;
        if self.until.take().is_some() {
            return true;
        }
        self.ejections = self.ejections.saturating_sub(1);
        false
    }

    /// Returns whether the upstream gets no work now.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether only single probes may go there.
    pub fn is_suspect(&self) -> bool {
        self.until.is_some()
    }

    /// Returns whether a probe runs.
    pub fn has_probe(&self) -> bool {
        self.probe_in_flight
    }

    /// Notes that a probe starts or ends.
    pub fn set_probe(&mut self, running: bool) {
        self.probe_in_flight = running;
    }

    /// Returns the end of the ejection.
    pub fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Returns the time of the last failure.
    pub fn last_failure_at(&self) -> Option<Instant> {
        self.last_failure_at
    }

    fn eject(&mut self, settings: &PoolSettings, now: Instant) {
        let doublings = self.ejections.min(16);
        let period = Duration::from_millis(settings.base_ejection_ms)
            .saturating_mul(1 << doublings)
            .min(Duration::from_millis(settings.max_ejection_ms));
        self.until = Some(now + period);
        self.ejected_at = Some(now);
        self.ejections += 1;
        self.failed = 0;
        self.silent = 0;
    }
}
