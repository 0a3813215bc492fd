use std::time::Duration;

use tokio::time::Instant;

/// Age at which half of what others had at an upstream is taken to be gone.
const HALF_LIFE: Duration = Duration::from_millis(4_000);

/// Weight of a new report against the ones before.
const REPORT_WEIGHT: f64 = 0.6;

/// Load that an upstream tells in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
}

/// Requests at one upstream: this instance's own, counted exactly, and those of others as the
/// upstream told this instance or another last.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadEstimate {
    own: u32,
    others: f64,
    told_at: Option<Instant>,
    heard: Option<(u32, Instant)>,
}

impl LoadEstimate {
    /// Counts a request that is sent.
    pub fn sent(&mut self) {
        self.own += 1;
    }

    /// Counts a request that ended.
    pub fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Returns this instance's own requests in progress.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Takes in what the upstream told; the request that was just answered no longer counts.
    pub fn told(&mut self, load: UpstreamLoad, now: Instant) {
        let requests = load.running + load.waiting;
        self.heard = Some((requests, now));
        self.take(requests, now, now);
    }

    /// Takes in what the upstream told another instance at a time, unless newer is known.
    pub fn told_another(&mut self, requests: u32, at: Instant, now: Instant) {
        if self.told_at.is_none_or(|held| held < at) {
            self.take(requests, at, now);
        }
    }

    /// Returns what the upstream told this instance last, and when.
    pub fn heard(&self) -> Option<(u32, Instant)> {
        self.heard
    }

    fn take(&mut self, requests: u32, at: Instant, now: Instant) {
        let total = f64::from(requests);
        let others = (total - f64::from(self.own)).max(0.0);
        let earlier = self.others(now);
        let weight = if self.told_at.is_some() {
            REPORT_WEIGHT
        } else {
            1.0
        };
        self.others = weight * others + (1.0 - weight) * earlier;
        self.told_at = Some(at);
    }

    /// Returns the requests expected at the upstream now.
    pub fn expected(&self, now: Instant) -> f64 {
        f64::from(self.own) + self.others(now)
    }

    /// Returns the age of what the upstream told.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.told_at.map(|at| now - at)
    }

    /// Forgets what the upstream told.
    pub fn forget(&mut self) {
        self.others = 0.0;
        self.told_at = None;
        self.heard = None;
    }

    fn others(&self, now: Instant) -> f64 {
        let Some(told_at) = self.told_at else {
            return 0.0;
        };
        let age = (now - told_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.others * 0.5_f64.powf(age)
    }
}
