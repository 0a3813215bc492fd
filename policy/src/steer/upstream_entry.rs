use std::time::Duration;

use tokio::time::Instant;

use crate::steer::capacity::UpstreamSpeed;
use crate::steer::load_balancer::{ServiceKey, hash_of};
use crate::steer::{
    AttemptOutcome, CachedObjects, Decision, LoadEstimate, RegionKey, RequestWindow, UpstreamLimit,
    UpstreamRecord, UpstreamWait,
};

/// Weight of a new measurement in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.3;

/// Lowest and highest value of a single measurement of the slowdown.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.3, 12.0);

/// Time in which a measured slowdown decays by half towards 1.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(2_500);

/// Weight of a new outcome in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.25;

/// Time in which a failure rate decays by half.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_millis(2_000);

/// First and longest backoff after failures to connect; each further failure doubles it.
const CONNECT_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(2_000));

/// Backoff after another upstream answered at the address.
const WRONG_UPSTREAM_BACKOFF: Duration = Duration::from_secs(5);

/// Backoff after an upstream rejected a request because it was overloaded.
const SHED_BACKOFF: Duration = Duration::from_millis(100);

/// Time without any answer to in-flight requests that adds no cost, in milliseconds.
const MAX_SILENCE_MS: f64 = 600.0;

/// Age up to which a report of its load tells the utilization of an upstream.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Highest utilization of an upstream that counts in that of its region.
const MAX_UTILIZATION: f64 = 2.0;

/// Window that the limit on cold upstreams refers to.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// State of one upstream, as far as this instance knows it.
#[derive(Debug)]
pub(super) struct UpstreamEntry {
    pub record: UpstreamRecord,
    pub id_hash: u64,
    pub is_listed: bool,
    pub load: LoadEstimate,
    pub cached_objects: CachedObjects,
    /// Requests that were sent while the upstream was cold.
    pub cold_window: RequestWindow,
    pub service: ServiceKey,
    pub region: RegionKey,
    /// Weight with which the upstream counts in the weight of its region.
    pub counted_weight: f64,
    /// Whether the upstream failed or was evacuated, and has not been counted whole since.
    pub is_released: bool,
    pub limit: Option<UpstreamLimit>,
    /// Limit in requests per second, or its end, in the last answer to this instance that named one
    /// or ended one, for reports to other instances.
    pub own_limit: Option<(Option<f64>, Instant)>,
    /// Time of the newest answer to any instance that is known to have named or ended a limit.
    limit_changed_at: Option<Instant>,
    /// Time for which the upstream wants no requests from this instance.
    pub wait: UpstreamWait,
    /// Whether an answer to this instance announced that the upstream leaves.
    has_announced_leaving: bool,
    cold_until: Option<Instant>,
    /// Failures to connect since the last answer. Above 0 the upstream may have restarted
    /// unnoticed, so that it counts as cold.
    connect_failures: u32,
    backoff_until: Option<Instant>,
    /// Moving average of the measured latency as a multiple of the expected one.
    slowdown: f64,
    slowdown_at: Option<Instant>,
    failure_rate: f64,
    failure_rate_at: Option<Instant>,
    unanswered_since: Option<Instant>,
    /// Time of the last answer.
    pub answered_at: Option<Instant>,
    /// Speed against its service, where it is learned.
    pub speed: UpstreamSpeed,
}

impl UpstreamEntry {
    pub fn new(record: UpstreamRecord, service: ServiceKey, region: RegionKey) -> Self {
        Self {
            id_hash: hash_of(&[record.id.as_bytes()]),
            record,
            is_listed: true,
            load: LoadEstimate::default(),
            cached_objects: CachedObjects::default(),
            cold_window: RequestWindow::new(COLD_WINDOW),
            service,
            region,
            counted_weight: 0.0,
            is_released: false,
            limit: None,
            own_limit: None,
            limit_changed_at: None,
            wait: UpstreamWait::default(),
            has_announced_leaving: false,
            cold_until: None,
            connect_failures: 0,
            backoff_until: None,
            slowdown: 1.0,
            slowdown_at: None,
            failure_rate: 0.0,
            failure_rate_at: None,
            unanswered_since: None,
            answered_at: None,
            speed: UpstreamSpeed::default(),
        }
    }

    /// Updates the entry from its record in the list of upstreams.
    pub fn update_record(&mut self, record: &UpstreamRecord, now: Instant) {
        let has_returned = !self.is_listed || (self.record.leaving && !record.leaving);
        if has_returned {
            self.has_announced_leaving = false;
        }
        // A new start under the same ID is cold; it has not asked for anything.
        if !self.is_listed && record.cold_ms > 0 {
            self.wait = UpstreamWait::default();
        }
        let is_start = self.record.cold_ms == 0 || !self.is_listed || !self.speed.has_start();
        if record.cold_ms > 0 && is_start {
            self.speed = UpstreamSpeed::of_start(now);
        }
        if record.cold_ms > 0 {
            self.mark_cold_until(now + Duration::from_millis(record.cold_ms));
        }
        self.record = record.clone();
    }

    /// Treats the upstream as cold until a time, unless it is already cold for longer.
    pub fn mark_cold_until(&mut self, until: Instant) {
        if self.cold_until.is_none_or(|current| current < until) {
            self.cold_until = Some(until);
        }
    }

    pub fn is_cold(&self, now: Instant) -> bool {
        self.connect_failures > 0 || self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns whether the upstream could not be reached since its last answer, or left the list
    /// without notice.
    pub fn has_failed(&self) -> bool {
        self.connect_failures > 0 || (!self.is_listed && !self.is_leaving())
    }

    /// Returns whether the upstream could not be reached since its last answer.
    pub fn is_unreached(&self) -> bool {
        self.connect_failures > 0
    }

    /// Forgets failures to connect whose cause was a partition of this instance: the upstream did
    /// not restart, so it is not cold.
    pub fn forget_connect_failures(&mut self) {
        if self.connect_failures > 0 {
            self.connect_failures = 0;
            self.backoff_until = None;
        }
    }

    /// Returns whether the upstream is listed and stays.
    pub fn is_in_service(&self) -> bool {
        self.is_listed && !self.is_leaving()
    }

    /// Returns whether the list shows the upstream as leaving, or it announced that in an answer.
    pub fn is_leaving(&self) -> bool {
        self.record.leaving || self.has_announced_leaving
    }

    /// Records that an answer announced that the upstream leaves; returns whether it was not known.
    pub fn announce_leaving(&mut self) -> bool {
        let was_known = self.is_leaving();
        self.has_announced_leaving = true;
        !was_known
    }

    pub fn accepts_requests(&self, now: Instant) -> bool {
        self.is_in_service() && self.backoff_left(now).is_zero() && self.wait.left(now).is_zero()
    }

    /// Returns the time until the backoff after failures and rejections ends.
    pub fn backoff_left(&self, now: Instant) -> Duration {
        self.backoff_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns how many requests the upstream takes well, if those of its service do so up to a
    /// fraction of their slots.
    pub fn slots_taken_well(&self, knee: f64) -> f64 {
        (f64::from(self.record.slots) * knee).max(1.0)
    }

    /// Returns how many requests per slot are queued ahead of a new one.
    pub fn queue_per_slot(&self, knee: f64, now: Instant) -> f64 {
        let slots = self.slots_taken_well(knee);
        ((self.load.estimated_requests(now) + 1.0 - slots) / slots).max(0.0)
    }

    /// Returns the fraction in use of the slots that it takes well, if its load is known. What is
    /// queued beyond as many again is no sign of the load of its region.
    pub fn utilization(&self, knee: f64, now: Instant) -> Option<f64> {
        let report_age = self.load.report_age(now);
        let is_known = report_age.is_some_and(|age| age <= MAX_REPORT_AGE);
        let utilization = self.load.estimated_requests(now) / self.slots_taken_well(knee);
        is_known.then_some(utilization.min(MAX_UTILIZATION))
    }

    pub fn slowdown(&self, now: Instant) -> f64 {
        let weight = decay(self.slowdown_at, now, SLOWDOWN_HALF_LIFE);
        1.0 + (self.slowdown - 1.0) * weight
    }

    /// Returns the fraction of recent requests that failed.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failure_rate * decay(self.failure_rate_at, now, FAILURE_RATE_HALF_LIFE)
    }

    /// Returns for how long beyond [`MAX_SILENCE_MS`] in-flight requests have had no answer.
    pub fn overdue_ms(&self, now: Instant) -> f64 {
        let Some(since) = self.unanswered_since else {
            return 0.0;
        };
        let silence_ms = (now - since).as_secs_f64() * 1_000.0;
        (silence_ms - MAX_SILENCE_MS).max(0.0)
    }

    /// Records the limit in an answer to this instance, or that it names none.
    pub fn record_limit(&mut self, per_s: Option<f64>, now: Instant) {
        if per_s.is_some() || self.limit.is_some() {
            self.own_limit = Some((per_s, now));
            self.set_limit(per_s, now);
        }
    }

    /// Records the limit in an answer to another instance, unless a newer answer is known.
    pub fn record_shared_limit(&mut self, per_s: Option<f64>, answered_at: Instant) {
        if self
            .limit_changed_at
            .is_none_or(|known| known < answered_at)
        {
            self.set_limit(per_s, answered_at);
        }
    }

    fn set_limit(&mut self, per_s: Option<f64>, answered_at: Instant) {
        self.limit_changed_at = Some(answered_at);
        match (per_s, &mut self.limit) {
            (Some(per_s), Some(limit)) => limit.update(per_s, answered_at),
            (Some(per_s), None) => self.limit = Some(UpstreamLimit::new(per_s, answered_at)),
            (None, _) => self.limit = None,
        }
    }

    pub fn begin_attempt(&mut self, now: Instant) {
        self.load.begin_request();
        if let Some(limit) = &mut self.limit {
            limit.record_request(now);
        }
        self.unanswered_since.get_or_insert(now);
    }

    /// Records the end of an attempt; returns whether its object should be reported to other
    /// instances.
    pub fn end_attempt(
        &mut self,
        object: u64,
        decision: &Decision,
        outcome: AttemptOutcome,
        warm_up: Duration,
        now: Instant,
    ) -> bool {
        let mut should_report = false;
        self.load.end_request();
        let is_answered = matches!(
            outcome,
            AttemptOutcome::Answered { .. } | AttemptOutcome::Shed | AttemptOutcome::WrongUpstream
        );
        if is_answered && outcome != AttemptOutcome::WrongUpstream {
            self.answered_at = Some(now);
        }
        if self.load.own_in_flight() == 0 {
            self.unanswered_since = None;
        } else if is_answered {
            self.unanswered_since = Some(now);
        }
        match outcome {
            AttemptOutcome::Answered { took_ms, failed } => {
                if self.connect_failures > 0 {
                    self.connect_failures = 0;
                    self.cached_objects.clear();
                    self.speed = UpstreamSpeed::of_start(now);
                    self.mark_cold_until(now + warm_up);
                }
                self.update_failure_rate(f64::from(u8::from(failed)), now);
                if !failed {
                    should_report = self.cached_objects.record_handled(object, now);
                    let noise = self
                        .load
                        .load_of_answer(now)
                        .map_or(1.0, |load| load.noise());
                    let ratio = took_ms / decision.expected_ms.max(1.0);
                    // What noise explains does not count as slow, and is not counted as fast either.
                    let ratio = match ratio > 1.0 {
                        true => (ratio / noise).max(1.0),
                        false => ratio,
                    };
                    self.update_slowdown(ratio, now);
                }
            }
            AttemptOutcome::Shed => self.back_off(SHED_BACKOFF, now),
            AttemptOutcome::ConnectFailed => {
                self.connect_failures += 1;
                let backoff = CONNECT_BACKOFF.0 * (1 << self.connect_failures.min(4)) / 2;
                self.back_off(backoff.min(CONNECT_BACKOFF.1), now);
                self.load.clear_reports();
            }
            AttemptOutcome::Broken => self.update_failure_rate(1.0, now),
            AttemptOutcome::TimedOut => {
                self.update_failure_rate(1.0, now);
                self.update_slowdown(SLOWDOWN_BOUNDS.1, now);
            }
            AttemptOutcome::Cancelled => {}
            AttemptOutcome::WrongUpstream => self.back_off(WRONG_UPSTREAM_BACKOFF, now),
        }
        should_report
    }

    fn back_off(&mut self, backoff: Duration, now: Instant) {
        let until = now + backoff;
        if self.backoff_until.is_none_or(|current| current < until) {
            self.backoff_until = Some(until);
        }
    }

    fn update_slowdown(&mut self, ratio: f64, now: Instant) {
        let current = self.slowdown(now);
        let ratio = (ratio * current).clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        self.slowdown = current + SLOWDOWN_WEIGHT * (ratio - current);
        self.slowdown_at = Some(now);
    }

    fn update_failure_rate(&mut self, failed: f64, now: Instant) {
        let current = self.failure_rate(now);
        self.failure_rate = current + FAILURE_RATE_WEIGHT * (failed - current);
        self.failure_rate_at = Some(now);
    }
}

/// Returns the weight that a measurement still has at its age; 0 without one.
fn decay(measured_at: Option<Instant>, now: Instant, half_life: Duration) -> f64 {
    let Some(measured_at) = measured_at else {
        return 0.0;
    };
    0.5_f64.powf((now - measured_at).as_secs_f64() / half_life.as_secs_f64())
}
