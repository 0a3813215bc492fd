use std::time::Duration;

use tokio::time::Instant;

use crate::steer::load_balancer::hash_of;
use crate::steer::{
    AttemptOutcome, CachedObjects, ColdStartLimiter, Decision, LoadEstimate, UpstreamRecord,
};

/// Weight of one measurement of slowness against the ones before.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// Bounds on a single measurement of slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.3, 12.0);

/// Age at which half of a measured slowness is taken to be over.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_millis(2_500);

/// Weight of one outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.25;

/// Age at which half of the share of failures is taken to be over.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(2_000);

/// First and longest pause after an upstream could not be reached.
const PAUSES: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(2_000));

/// Pause after another upstream answered at the address.
const REPLACED_PAUSE: Duration = Duration::from_secs(5);

/// Pause after an upstream refused a request for want of room.
const SHED_PAUSE: Duration = Duration::from_millis(100);

/// Silence, as a multiple of the time expected, that is no cause for distrust.
const SILENCE_ACCEPTED_MS: f64 = 600.0;

/// What is known of one upstream.
#[derive(Debug)]
pub(super) struct UpstreamEntry {
    pub record: UpstreamRecord,
    pub id_hash: u64,
    pub present: bool,
    pub load: LoadEstimate,
    pub cached_objects: CachedObjects,
    pub cold_start_limiter: ColdStartLimiter,
    cold_until: Option<Instant>,
    /// Set while the upstream may have started again without a word.
    unreached: u32,
    paused_until: Option<Instant>,
    slowness: f64,
    slowness_at: Option<Instant>,
    failures: f64,
    failures_at: Option<Instant>,
    quiet_since: Option<Instant>,
}

impl UpstreamEntry {
    pub fn new(record: UpstreamRecord) -> Self {
        Self {
            id_hash: hash_of(&[record.id.as_bytes()]),
            record,
            present: true,
            load: LoadEstimate::default(),
            cached_objects: CachedObjects::default(),
            cold_start_limiter: ColdStartLimiter::default(),
            cold_until: None,
            unreached: 0,
            paused_until: None,
            slowness: 1.0,
            slowness_at: None,
            failures: 0.0,
            failures_at: None,
            quiet_since: None,
        }
    }

    /// Returns whether a record describes this start of the upstream.
    pub fn is_same(&self, record: &UpstreamRecord) -> bool {
        self.record.address == record.address && self.record.service == record.service
    }

    /// Takes over what the list says.
    pub fn listed(&mut self, record: &UpstreamRecord, now: Instant) {
        if record.cold_ms > 0 {
            self.cold_until(now + Duration::from_millis(record.cold_ms));
        }
        self.record = record.clone();
    }

    /// Counts the upstream as cold until a time, unless it already does for longer.
    pub fn cold_until(&mut self, until: Instant) {
        if self.cold_until.is_none_or(|held| held < until) {
            self.cold_until = Some(until);
        }
    }

    pub fn is_cold(&self, now: Instant) -> bool {
        self.unreached > 0 || self.cold_until.is_some_and(|until| now < until)
    }

    pub fn takes_work(&self, now: Instant) -> bool {
        self.present && !self.record.leaving && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Returns the requests ahead of a new one, in parts of the slots.
    pub fn queue(&self, now: Instant) -> f64 {
        let slots = f64::from(self.record.slots.max(1));
        ((self.load.estimated_requests(now) + 1.0 - slots) / slots).max(0.0)
    }

    pub fn slowness(&self, now: Instant) -> f64 {
        let left = faded(self.slowness_at, now, SLOWNESS_HALF_LIFE);
        1.0 + (self.slowness - 1.0) * left
    }

    /// Returns the share of requests that failed of late.
    pub fn failures(&self, now: Instant) -> f64 {
        self.failures * faded(self.failures_at, now, FAILURE_HALF_LIFE)
    }

    /// Returns how much longer than usual nothing has come back.
    pub fn silence_ms(&self, now: Instant) -> f64 {
        let Some(since) = self.quiet_since else {
            return 0.0;
        };
        let quiet_ms = (now - since).as_secs_f64() * 1_000.0;
        (quiet_ms - SILENCE_ACCEPTED_MS).max(0.0)
    }

    pub fn begin(&mut self, now: Instant) {
        self.load.begin_request();
        self.quiet_since.get_or_insert(now);
    }

    /// Counts the end of a request; returns whether others should be told of its object.
    pub fn end(
        &mut self,
        object: u64,
        decision: &Decision,
        outcome: AttemptOutcome,
        warm_up: Duration,
        now: Instant,
    ) -> bool {
        let mut should_report = false;
        self.load.end_request();
        let heard = matches!(
            outcome,
            AttemptOutcome::Answered { .. } | AttemptOutcome::Shed | AttemptOutcome::WrongUpstream
        );
        if self.load.own_in_flight() == 0 {
            self.quiet_since = None;
        } else if heard {
            self.quiet_since = Some(now);
        }
        match outcome {
            AttemptOutcome::Answered { took_ms, failed } => {
                if self.unreached > 0 {
                    self.unreached = 0;
                    self.cached_objects.clear();
                    self.cold_until(now + warm_up);
                }
                self.note_failure(f64::from(u8::from(failed)), now);
                if !failed {
                    should_report = self.cached_objects.record_handled(object, now);
                    self.note_slowness(took_ms / decision.expected_ms.max(1.0), now);
                }
            }
            AttemptOutcome::Shed => self.pause(SHED_PAUSE, now),
            AttemptOutcome::ConnectFailed => {
                self.unreached += 1;
                let pause = PAUSES.0 * (1 << self.unreached.min(4)) / 2;
                self.pause(pause.min(PAUSES.1), now);
                self.load.clear_reports();
            }
            AttemptOutcome::Broken => self.note_failure(1.0, now),
            AttemptOutcome::TimedOut => {
                self.note_failure(1.0, now);
                self.note_slowness(SLOWNESS_BOUNDS.1, now);
            }
            AttemptOutcome::Cancelled => {}
            AttemptOutcome::WrongUpstream => self.pause(REPLACED_PAUSE, now),
        }
        should_report
    }

    fn pause(&mut self, pause: Duration, now: Instant) {
        let until = now + pause;
        if self.paused_until.is_none_or(|held| held < until) {
            self.paused_until = Some(until);
        }
    }

    fn note_slowness(&mut self, ratio: f64, now: Instant) {
        let held = self.slowness(now);
        let ratio = (ratio * held).clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        self.slowness = held + SLOWNESS_WEIGHT * (ratio - held);
        self.slowness_at = Some(now);
    }

    fn note_failure(&mut self, share: f64, now: Instant) {
        let held = self.failures(now);
        self.failures = held + FAILURE_WEIGHT * (share - held);
        self.failures_at = Some(now);
    }
}

/// Returns the part of a measurement that is left at its age.
fn faded(at: Option<Instant>, now: Instant, half_life: Duration) -> f64 {
    let Some(at) = at else {
        return 0.0;
    };
    0.5_f64.powf((now - at).as_secs_f64() / half_life.as_secs_f64())
}
