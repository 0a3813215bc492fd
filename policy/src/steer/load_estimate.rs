use std::time::Duration;

use tokio::time::Instant;

/// Age at which half of the requests that other instances had at an upstream count as completed.
const HALF_LIFE: Duration = Duration::from_millis(4_000);

/// Longest time from the head of an answer, which reports a load, to its end.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Weight of a new load report in the moving average of the requests of other instances.
const REPORT_WEIGHT: f64 = 0.6;

/// Pace of a machine on which work takes as long as usual.
const USUAL_PACE_PERCENT: u32 = 100;

/// Slowest pace that counts as noise. An upstream that always names a higher one is slow.
const MAX_PACE_PERCENT: u32 = 400;

/// Load that an upstream reports in the headers of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests queued for a slot.
    pub waiting: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// How long work takes on its machine at this moment, in percent of the usual time; `None` if it
    /// does not say. It changes many times a second, so that it explains the answer it comes with,
    /// and says nothing of the next one.
    pub pace_percent: Option<u32>,
}

impl UpstreamLoad {
    /// Returns by which factor work took longer than usual for a reason that passes at once.
    pub fn noise(&self) -> f64 {
        let percent = self.pace_percent.unwrap_or(USUAL_PACE_PERCENT);
        let percent = percent.clamp(USUAL_PACE_PERCENT, MAX_PACE_PERCENT);
        f64::from(percent) / f64::from(USUAL_PACE_PERCENT)
    }
}

/// Estimate of the requests at one upstream: this instance's own, counted exactly, and those of
/// other instances, taken from the upstream's load reports to this instance or another one.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadEstimate {
    own_in_flight: u32,
    others_in_flight: f64,
    reported_at: Option<Instant>,
    direct_report: Option<(u32, Instant)>,
    /// Load in the last answer to this instance.
    last: Option<(UpstreamLoad, Instant)>,
}

impl LoadEstimate {
    /// Counts a request of this instance that is about to be sent.
    pub fn begin_request(&mut self) {
        self.own_in_flight += 1;
    }

    /// Counts the end of a request of this instance.
    pub fn end_request(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
    }

    /// Returns this instance's own in-flight requests.
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Records a load report to this instance. The report leaves out the request that it answers.
    pub fn record_report(&mut self, load: UpstreamLoad, now: Instant) {
        let requests = load.running.saturating_add(load.waiting);
        self.direct_report = Some((requests, now));
        self.last = Some((load, now));
        self.update(requests, now, now);
    }

    /// Records a load report to another instance, unless a newer report is known.
    pub fn record_shared_report(&mut self, requests: u32, reported_at: Instant, now: Instant) {
        if self.reported_at.is_none_or(|newest| newest < reported_at) {
            self.update(requests, reported_at, now);
        }
    }

    /// Returns the requests and the time of the last load report to this instance.
    pub fn direct_report(&self) -> Option<(u32, Instant)> {
        self.direct_report
    }

    /// Returns whether the last load report to this instance names the pace of the machine.
    pub fn names_pace(&self) -> bool {
        self.last
            .is_some_and(|(load, _)| load.pace_percent.is_some())
    }

    /// Returns the load that came with an answer which has just arrived.
    pub fn load_of_answer(&self, now: Instant) -> Option<UpstreamLoad> {
        let (load, reported_at) = self.last?;
        (now.saturating_duration_since(reported_at) <= ANSWER_TIME).then_some(load)
    }

    fn update(&mut self, requests: u32, reported_at: Instant, now: Instant) {
        let total = f64::from(requests);
        let others = (total - f64::from(self.own_in_flight)).max(0.0);
        let earlier = self.others_in_flight(now);
        let weight = if self.reported_at.is_some() {
            REPORT_WEIGHT
        } else {
            1.0
        };
        self.others_in_flight = weight * others + (1.0 - weight) * earlier;
        self.reported_at = Some(reported_at);
    }

    /// Returns the estimate of the requests that the upstream runs or queues now.
    pub fn estimated_requests(&self, now: Instant) -> f64 {
        f64::from(self.own_in_flight) + self.others_in_flight(now)
    }

    /// Returns the age of the newest load report.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.reported_at.map(|at| now - at)
    }

    /// Discards all load reports, so that only this instance's own requests count.
    pub fn clear_reports(&mut self) {
        self.others_in_flight = 0.0;
        self.reported_at = None;
        self.direct_report = None;
        self.last = None;
    }

    fn others_in_flight(&self, now: Instant) -> f64 {
        let Some(reported_at) = self.reported_at else {
            return 0.0;
        };
        let age = (now - reported_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.others_in_flight * 0.5_f64.powf(age)
    }
}
