use std::time::Duration;

use tokio::time::Instant;

use super::running_attempt::RunningAttempt;
use crate::steer::{SharedSpeed, SpeedSample, UsualTime};

/// Answers at the usual speed that every estimate begins with, as doubt.
const DOUBT_ANSWERS: f64 = 2.0;

/// Ratios to the usual speed of a service from which an upstream counts as slow, and below which it
/// does so no longer.
const SLOW_RATIOS: (f64, f64) = (1.8, 1.35);

/// Interval of requests that all instances together send to an upstream that counts as slow, to see
/// whether it still is.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Ratio to the usual time from which an attempt that still runs counts as slow.
const MIN_RUNNING_RATIO: f64 = 3.0;

/// Speed of one start of an upstream against what is usual for its service, from the answers to this
/// instance and to others.
#[derive(Clone, Debug, Default)]
pub(in crate::steer) struct UpstreamSpeed {
    /// Answers to this instance that no other knows.
    own: SpeedSample,
    /// Answers in a report that is on its way.
    sent: SpeedSample,
    /// Answers to all instances, as the store has told.
    shared: SpeedSample,
    /// Time of the start, if it was seen. Answers before it say nothing of the upstream.
    started_at: Option<Instant>,
    /// Multiple of the usual time that is expected.
    ratio: Option<f64>,
    /// Whether it is slow against the service, with the doubt in its favor.
    is_slow: bool,
    next_probe_at: Option<Instant>,
    /// Attempts of this instance that have not ended.
    running: Vec<RunningAttempt>,
}

impl UpstreamSpeed {
    /// Returns the unknown speed of an upstream that has just started.
    pub fn of_start(now: Instant) -> Self {
        Self {
            started_at: Some(now),
            ..Self::default()
        }
    }

    /// Returns whether the start of the upstream was seen.
    pub fn has_start(&self) -> bool {
        self.started_at.is_some()
    }

    /// Records an answer to this instance.
    pub fn record(&mut self, ratio: f64, now: Instant) {
        self.own.record(ratio, now);
    }

    /// Records the start of an attempt.
    pub fn begin_attempt(&mut self, attempt: RunningAttempt) {
        self.running.push(attempt);
    }

    /// Records the end of the attempt that was chosen at a time; returns it, if it is known.
    pub fn end_attempt(&mut self, chosen_at: Instant) -> Option<RunningAttempt> {
        let is_it = |attempt: &RunningAttempt| attempt.chosen_at == chosen_at;
        let index = self.running.iter().position(is_it)?;
        Some(self.running.swap_remove(index))
    }

    /// Counts attempts that have run for long as slow answers, once each.
    pub fn record_running(&mut self, usual: &UsualTime, now: Instant) {
        for attempt in self
            .running
            .iter_mut()
            .filter(|attempt| !attempt.is_counted)
        {
            let ratio = usual.ratio(attempt.holds_object, attempt.ran_ms(now));
            if let Some(ratio) = ratio.filter(|ratio| *ratio >= MIN_RUNNING_RATIO) {
                attempt.is_counted = true;
                self.own.record(ratio, now);
            }
        }
    }

    /// Returns the answers since the last report, for the next one.
    pub fn take_report(&mut self, upstream: u64, now: Instant) -> Option<SharedSpeed> {
        let report = self.own.to_shared(upstream, now)?;
        self.sent.merge(&self.own);
        self.own = SpeedSample::default();
        Some(report)
    }

    /// Keeps the answers of a report that was lost, for the next one.
    pub fn restore_report(&mut self) {
        self.own.merge(&self.sent);
        self.sent = SpeedSample::default();
    }

    /// Notes that the store has the answers of the last report.
    pub fn settle_report(&mut self) {
        self.shared.merge(&self.sent);
        self.sent = SpeedSample::default();
    }

    /// Takes what the store tells, which includes the answers of the last report.
    pub fn update_shared(&mut self, shared: &SharedSpeed, now: Instant) {
        let Some(sample) = SpeedSample::from_shared(shared, now) else {
            return;
        };
        if self
            .started_at
            .is_none_or(|at| sample.newest_at() > Some(at))
        {
            self.shared = sample;
            self.sent = SpeedSample::default();
        }
    }

    /// Returns all answers that are known.
    pub fn sample(&self) -> SpeedSample {
        let mut sample = self.shared;
        sample.merge(&self.sent);
        sample.merge(&self.own);
        sample
    }

    /// Compares the upstream with the current level of its service, the logarithm of a ratio.
    /// `probe_order` is a number from 0 to 1 that differs by instance.
    pub fn compare(&mut self, log_level: f64, instances: usize, probe_order: f64, now: Instant) {
        let sample = self.sample();
        let answers = sample.answers(now);
        let certainty = answers / (answers + DOUBT_ANSWERS);
        let log_relative = certainty * (sample.log_ratio() - log_level);
        let bound = if self.is_slow {
            SLOW_RATIOS.1
        } else {
            SLOW_RATIOS.0
        };
        let was_slow = std::mem::replace(&mut self.is_slow, log_relative >= bound.ln());
        let log_ratio = match self.is_slow {
            true => sample.log_ratio(),
            false => log_level + log_relative,
        };
        self.ratio = Some(log_ratio.exp());
        if self.is_slow && !was_slow {
            let wait = probe_interval(instances).mul_f64(probe_order.clamp(0.0, 1.0));
            self.next_probe_at = Some(now + wait);
        }
    }

    /// Returns whether the upstream is slow against its service.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Returns the multiple of the usual time that an answer is expected to take.
    pub fn ratio(&self) -> f64 {
        self.ratio.unwrap_or(1.0)
    }

    /// Returns whether it is this instance's turn to see whether the upstream is still slow.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.next_probe_at.is_none_or(|at| at <= now)
    }

    /// Notes that a request is sent to the upstream, and sets the time of the next probe.
    pub fn probe_if_due(&mut self, instances: usize, now: Instant) {
        if self.is_slow && self.is_probe_due(now) {
            self.next_probe_at = Some(now + probe_interval(instances));
        }
    }
}

/// Returns the interval of probes of one of several instances.
fn probe_interval(instances: usize) -> Duration {
    PROBE_INTERVAL * instances.clamp(1, 10_000) as u32
}
