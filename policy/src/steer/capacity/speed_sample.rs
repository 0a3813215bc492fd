use std::time::Duration;

use tokio::time::Instant;

use crate::steer::SharedSpeed;

/// Age at which an answer counts half.
const HALF_LIFE: Duration = Duration::from_millis(2_000);

/// Most answers that a sample counts for, so that new ones show a change within a second or two.
const MAX_ANSWERS: f64 = 8.0;

/// Lowest and highest ratio of one answer.
const RATIO_BOUNDS: (f64, f64) = (0.2, 16.0);

/// Ratios of newer answers to older ones outside which the older ones lose weight at once. A slow
/// machine does not answer fast by chance, and noise makes none slower by more than fourfold.
const CHANGE_RATIOS: (f64, f64) = (0.5, 4.0);

/// Times of answers of one upstream as multiples of what is usual, from one or several instances.
/// Older answers count for less.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::SpeedSample;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut sample = SpeedSample::default();
/// sample.record(4.0, now);
/// sample.record(4.0, now);
/// assert!((3.9..4.1).contains(&sample.log_ratio().exp()));
/// assert_eq!(sample.answers(now), 2.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedSample {
    /// Answers that it counts for at the time of the newest.
    answers: f64,
    /// Mean of the logarithms of the ratios, which single late answers move little.
    log_ratio: f64,
    newest_at: Option<Instant>,
}

impl SpeedSample {
    /// Returns the sample in a report; `None` if it is older than the clock.
    pub fn from_shared(shared: &SharedSpeed, now: Instant) -> Option<Self> {
        let age = Duration::from_millis(u64::from(shared.age_ms));
        let ratio = f64::from(shared.percent) / 100.0;
        Some(Self {
            answers: f64::from(shared.answers).min(MAX_ANSWERS),
            log_ratio: log_ratio(ratio),
            newest_at: Some(now.checked_sub(age)?),
        })
    }

    /// Returns the sample for a report on an upstream; `None` without an answer.
    pub fn to_shared(&self, upstream: u64, now: Instant) -> Option<SharedSpeed> {
        let age = now.saturating_duration_since(self.newest_at?);
        Some(SharedSpeed {
            upstream,
            answers: self.answers.round().max(1.0) as u32,
            percent: (self.log_ratio.exp() * 100.0).round() as u32,
            age_ms: age.as_millis().min(u128::from(u32::MAX)) as u32,
        })
    }

    /// Returns the number of answers that it counts for at a time.
    pub fn answers(&self, now: Instant) -> f64 {
        let Some(newest_at) = self.newest_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(newest_at);
        self.answers * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Returns the logarithm of the mean ratio; 0 without an answer.
    pub fn log_ratio(&self) -> f64 {
        self.log_ratio
    }

    /// Returns the time of the newest answer.
    pub fn newest_at(&self) -> Option<Instant> {
        self.newest_at
    }

    /// Records an answer that took a multiple of the usual time.
    pub fn record(&mut self, ratio: f64, now: Instant) {
        self.merge(&Self {
            answers: 1.0,
            log_ratio: log_ratio(ratio),
            newest_at: Some(now),
        });
    }

    /// Adds the answers of another sample.
    pub fn merge(&mut self, other: &Self) {
        let (older, newer) = match self.newest_at <= other.newest_at {
            true => (*self, *other),
            false => (*other, *self),
        };
        let Some(newest_at) = newer.newest_at else {
            return;
        };
        let mut before = older.answers(newest_at);
        let change = newer.log_ratio - older.log_ratio;
        if change < CHANGE_RATIOS.0.ln() || change > CHANGE_RATIOS.1.ln() {
            before *= 0.5_f64.powf(newer.answers);
        }
        let answers = before + newer.answers;
        let log_sum = before * older.log_ratio + newer.answers * newer.log_ratio;
        *self = Self {
            answers: answers.min(MAX_ANSWERS),
            log_ratio: log_sum / answers.max(f64::MIN_POSITIVE),
            newest_at: Some(newest_at),
        };
    }
}

fn log_ratio(ratio: f64) -> f64 {
    ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1).ln()
}
