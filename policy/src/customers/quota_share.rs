use std::time::Duration;

use crate::customers::{
    AdmissionWindow, BootTime, QuotaDecision, QuotaLimit, QuotaRefusal, QuotaReport, QuotaSettings,
    QuotaStanding,
};

/// Time for which an answer that gave less than was wanted is relied on, so that requests are
/// refused at once instead of asking again.
const SCARCE_TIME: Duration = Duration::from_millis(1_000);

/// Range of the times to come back while no share is known.
const RETRY_RANGE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_300));

/// Step of the golden ratio: its multiples are spread evenly over the unit interval.
const SPREAD_STEP: f64 = 0.618_033_988_749_895;

/// Share of this instance in the quota of one customer: the requests that it may admit in any
/// window.
///
/// An admission needs fewer than `share` admissions in the window before it. So the share may be
/// lowered at any moment: a window that ends later holds the new share at most, or what had been
/// admitted when it was lowered. The larger of these is what the instance reports to hold.
#[derive(Clone, Debug, Default)]
pub struct QuotaShare {
    limit: QuotaLimit,
    share: u32,
    ends_at: BootTime,
    answer: Option<Answer>,
    arrivals: AdmissionWindow,
    admitted: AdmissionWindow,
    refusals: u32,
}

/// Last answer of the bank.
#[derive(Clone, Copy, Debug)]
struct Answer {
    asked_at: BootTime,
    gave_less: bool,
    is_settled: bool,
}

impl QuotaShare {
    /// Counts a request that has just arrived, under the limit of the active configuration.
    pub fn add_arrival(&mut self, limit: QuotaLimit, settings: &QuotaSettings, now: BootTime) {
        self.set_limit(limit, settings);
        self.arrivals.add(now);
    }

    /// Decides on a request that arrived at `arrived_at`.
    pub fn decide(
        &mut self,
        settings: &QuotaSettings,
        arrived_at: BootTime,
        now: BootTime,
    ) -> QuotaDecision {
        if self.admitted.count(now, settings.window) < self.live_share(now) {
            self.admitted.add(now);
            return QuotaDecision::Admitted;
        }
        let Some(answer) = self.answer else {
            return QuotaDecision::Ask;
        };
        let is_scarce = answer.gave_less && now.since(answer.asked_at) < SCARCE_TIME;
        if answer.asked_at <= arrived_at && !(answer.is_settled && is_scarce) {
            return QuotaDecision::Ask;
        }
        QuotaDecision::Refused(match answer.is_settled {
            true => self.over_limit(settings, now),
            false => self.unknown(now),
        })
    }

    /// Gives back what a request took that was admitted at a time, and then did not run.
    pub fn give_back(&mut self, admitted_at: BootTime) {
        self.admitted.remove(admitted_at);
    }

    /// Refuses a request for which no answer came in time.
    pub fn unknown(&mut self, now: BootTime) -> QuotaRefusal {
        let (shortest, longest) = RETRY_RANGE;
        QuotaRefusal::Unknown {
            retry_after: shortest + (longest - shortest).mul_f64(self.spread()),
            share_age: self.share_age(now),
        }
    }

    /// Refuses a request beyond the share. Successive refusals name the times at which the admitted
    /// requests leave the window one after the other.
    fn over_limit(&mut self, settings: &QuotaSettings, now: BootTime) -> QuotaRefusal {
        let (count, share) = (
            self.admitted.count(now, settings.window),
            self.live_share(now),
        );
        let index = count.saturating_sub(share) + self.refusals % share.max(1);
        let leaves = self.admitted.time_to_leave(index, now, settings.window);
        let spread = self.spread();
        QuotaRefusal::OverLimit {
            retry_after: leaves.unwrap_or_else(|| settings.window.mul_f64(spread.max(0.1))),
            share_age: self.share_age(now),
        }
    }

    /// Returns what the instance holds and wants. Wanted is what arrived in the window, up to the
    /// limit.
    pub fn report(
        &mut self,
        customer: &str,
        settings: &QuotaSettings,
        now: BootTime,
    ) -> QuotaReport {
        let admitted = self.admitted.count(now, settings.window);
        let arrived = self.arrivals.count(now, settings.window);
        let share = self.live_share(now);
        QuotaReport {
            customer: customer.to_owned(),
            limit: self.limit,
            share,
            held: share.max(admitted),
            wanted: arrived.min(settings.max_requests(self.limit)),
        }
    }

    /// Returns what the instance has of the quota.
    pub fn standing(&mut self, settings: &QuotaSettings, now: BootTime) -> QuotaStanding {
        let report = self.report("", settings, now);
        QuotaStanding {
            limit: settings.max_requests(report.limit),
            share: report.share,
            held: report.held,
            wanted: report.wanted,
            age: self.share_age(now),
        }
    }

    /// Returns whether nothing has arrived in the window, so that the share need not be kept.
    pub fn is_idle(&mut self, settings: &QuotaSettings, now: BootTime) -> bool {
        self.arrivals.count(now, settings.window) == 0
            && self.admitted.count(now, settings.window) == 0
    }

    /// Sets the share that the bank gave in answer to a report that was made at `asked_at`.
    pub fn grant(
        &mut self,
        granted: u32,
        is_settled: bool,
        (report, asked_at): (&QuotaReport, BootTime),
        settings: &QuotaSettings,
    ) {
        self.share = scaled(granted, report.limit, self.limit, settings);
        self.ends_at = asked_at + settings.share_length;
        self.answer = Some(Answer {
            asked_at,
            gave_less: granted < report.wanted,
            is_settled,
        });
    }

    fn set_limit(&mut self, limit: QuotaLimit, settings: &QuotaSettings) {
        self.share = scaled(self.share, self.limit, limit, settings);
        self.limit = limit;
    }

    fn live_share(&self, now: BootTime) -> u32 {
        if now < self.ends_at { self.share } else { 0 }
    }

    fn share_age(&self, now: BootTime) -> Option<Duration> {
        self.answer.map(|answer| now.since(answer.asked_at))
    }

    /// Returns the next number of a sequence that is spread evenly over the unit interval.
    fn spread(&mut self) -> f64 {
        self.refusals = self.refusals.wrapping_add(1);
        (f64::from(self.refusals) * SPREAD_STEP).fract()
    }
}

/// Returns the share under a limit of one that was given under another: less under a lower limit.
fn scaled(share: u32, from: QuotaLimit, to: QuotaLimit, settings: &QuotaSettings) -> u32 {
    let (from, to) = (settings.max_requests(from), settings.max_requests(to));
    if to >= from {
        return share;
    }
    (u64::from(share) * u64::from(to) / u64::from(from)) as u32
}
