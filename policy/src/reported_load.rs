use std::time::Duration;

use tokio::time::Instant;

use crate::{LoadReport, PoolSettings, UpstreamState};

/// Load of an upstream by its own reports, corrected by what the requests of this instance show.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct ReportedLoad {
    last: Option<(LoadReport, Instant)>,
    is_missing: bool,
    /// Minimum number of requests from other senders, by the last report. Answered probes lower it
    /// once the report is too old or the next one is missing.
    others_in_flight: u16,
    /// Slots that answers have proven to exist beyond the reported ones.
    proven_slots: u16,
    proven_at: Option<Instant>,
    probe_at: Option<Instant>,
    is_probe_in_flight: bool,
    /// Range since the last report.
    own_in_flight: InFlightRange,
    /// Range between the last two reports.
    previous_in_flight: InFlightRange,
}

/// Minimum and maximum number of this instance's requests in flight between two reports.
#[derive(Clone, Copy, Default, Debug)]
struct InFlightRange {
    min: u32,
    max: u32,
}

impl ReportedLoad {
    /// Records a report that was made at `at`. Returns the maximum number of requests from
    /// other senders by the report, or `None` when a later report is known.
    pub fn record(&mut self, report: LoadReport, at: Instant, own_in_flight: u32) -> Option<u16> {
        if self.last.is_some_and(|(_, last_at)| at < last_at) {
            return None;
        }
        self.last = Some((report, at));
        self.is_missing = false;
        let max_own = self.own_in_flight.max.max(self.previous_in_flight.max);
        let min_own = self.own_in_flight.min.min(self.previous_in_flight.min);
        self.others_in_flight = saturating_u16(report.in_flight.saturating_sub(max_own));
        let max_others = saturating_u16(report.in_flight.saturating_sub(min_own));
        self.previous_in_flight = self.own_in_flight;
        self.own_in_flight = InFlightRange {
            min: own_in_flight,
            max: own_in_flight,
        };
        Some(max_others)
    }

    /// Records that a report was due at `at` and did not arrive.
    pub fn record_missing(&mut self, at: Instant) {
        self.is_missing |= self.last.is_some_and(|(_, last_at)| at >= last_at);
    }

    /// Records the number of this instance's requests that are in flight now.
    pub fn record_in_flight(&mut self, own_in_flight: u32) {
        self.own_in_flight.min = self.own_in_flight.min.min(own_in_flight);
        self.own_in_flight.max = self.own_in_flight.max.max(own_in_flight);
    }

    /// Returns the state that the upstream reported, or `None` when the report is too old.
    pub fn state(&self, settings: &PoolSettings, now: Instant) -> Option<UpstreamState> {
        let (report, at) = self.last?;
        let age = now.saturating_duration_since(at);
        if report.state == UpstreamState::Leaving {
            return (age < millis(settings.leaving_ttl_ms)).then_some(report.state);
        }
        self.is_fresh(settings, now).then_some(report.state)
    }

    /// Returns the number of slots that the reports alone leave to this instance.
    pub fn free_slots(&self, slots: u16, settings: &PoolSettings, now: Instant) -> u16 {
        let usable = match self.last {
            Some((report, _)) if self.is_fresh(settings, now) => match report.state {
                UpstreamState::Failing => 0,
                _ => slots.min(saturating_u16(report.slots)),
            },
            _ => slots,
        };
        usable.saturating_sub(self.others_in_flight)
    }

    /// Returns the number of slots that answers have proven to exist beyond the reported ones.
    pub fn proven_slots(&self, settings: &PoolSettings, now: Instant) -> u16 {
        let is_valid = self.proven_at.is_some_and(|at| {
            now.saturating_duration_since(at) < millis(settings.report_distrust_ms)
        });
        match is_valid {
            true => self.proven_slots,
            false => 0,
        }
    }

    /// Returns whether a request may probe now whether the reports are right.
    pub fn may_probe(&self, now: Instant) -> bool {
        !self.is_probe_in_flight && self.probe_at.is_none_or(|at| now >= at)
    }

    /// Returns when the next probe is due.
    pub fn probe_at(&self) -> Option<Instant> {
        self.probe_at
    }

    /// Records the start of a probe.
    pub fn probe_started(&mut self, settings: &PoolSettings, now: Instant) {
        self.is_probe_in_flight = true;
        self.probe_at = Some(now + millis(settings.probe_interval_ms));
    }

    /// Records the end of a probe.
    pub fn probe_ended(&mut self, is_answered: bool, settings: &PoolSettings, now: Instant) {
        self.is_probe_in_flight = false;
        if !is_answered {
            self.proven_slots = 0;
            return;
        }
        self.probe_at = None;
        if !self.is_fresh(settings, now) {
            self.others_in_flight = self.others_in_flight.saturating_sub(1);
            return;
        }
        self.proven_slots = self.proven_slots(settings, now).saturating_add(1);
        self.proven_at = Some(now);
    }

    fn is_fresh(&self, settings: &PoolSettings, now: Instant) -> bool {
        !self.is_missing
            && self.last.is_some_and(|(_, at)| {
                now.saturating_duration_since(at) < millis(settings.report_max_age_ms)
            })
    }
}

fn saturating_u16(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
