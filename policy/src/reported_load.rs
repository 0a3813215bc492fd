use std::time::Duration;

use tokio::time::Instant;

use crate::{LoadReport, PoolSettings, UpstreamState};

/// What is believed of an upstream's reports. It yields to what own requests show.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct ReportedLoad {
    last: Option<(LoadReport, Instant)>,
    missing: bool,
    others: u16,
    credit: u16,
    credited_at: Option<Instant>,
    probe_at: Option<Instant>,
    probe_in_flight: bool,
    own: OwnRange,
    own_before: OwnRange,
}

/// Least and most own requests in flight between two reports.
#[derive(Clone, Copy, Default, Debug)]
struct OwnRange {
    least: u32,
    most: u32,
}

impl ReportedLoad {
    /// Takes in a report that was made at `at`; returns the most slots that others may hold.
    pub fn report(&mut self, report: LoadReport, at: Instant, own: u32) -> Option<u16> {
        if self.last.is_some_and(|(_, last_at)| at < last_at) {
            return None;
        }
        self.last = Some((report, at));
        self.missing = false;
        let own_most = self.own.most.max(self.own_before.most);
        let own_least = self.own.least.min(self.own_before.least);
        self.others = clamp(report.in_flight.saturating_sub(own_most));
        let others_max = clamp(report.in_flight.saturating_sub(own_least));
        self.own_before = self.own;
        self.own = OwnRange {
            least: own,
            most: own,
        };
        Some(others_max)
    }

    /// Notes that a report was due at `at` and did not come.
    pub fn missing(&mut self, at: Instant) {
        self.missing |= self.last.is_some_and(|(_, last_at)| at >= last_at);
    }

    /// Notes how many own requests run now.
    pub fn own_changed(&mut self, own: u32) {
        self.own.least = self.own.least.min(own);
        self.own.most = self.own.most.max(own);
    }

    /// Returns the state that the upstream reported, unless that is unknown by now.
    pub fn state(&self, settings: &PoolSettings, now: Instant) -> Option<UpstreamState> {
        let (report, at) = self.last?;
        let age = now.saturating_duration_since(at);
        if report.state == UpstreamState::Leaving {
            return (age < millis(settings.leaving_ttl_ms)).then_some(report.state);
        }
        self.is_fresh(settings, now).then_some(report.state)
    }

    /// Returns the own requests that the reports alone leave room for.
    pub fn room(&self, slots: u16, settings: &PoolSettings, now: Instant) -> u16 {
        let usable = match self.last {
            Some((report, _)) if self.is_fresh(settings, now) => match report.state {
                UpstreamState::Failing => 0,
                _ => slots.min(clamp(report.slots)),
            },
            _ => slots,
        };
        usable.saturating_sub(self.others)
    }

    /// Returns the slots that own requests have shown beyond the reports.
    pub fn credit(&self, settings: &PoolSettings, now: Instant) -> u16 {
        let valid = self.credited_at.is_some_and(|at| {
            now.saturating_duration_since(at) < millis(settings.report_distrust_ms)
        });
        match valid {
            true => self.credit,
            false => 0,
        }
    }

    /// Returns whether a request may find out now if the reports are right.
    pub fn may_probe(&self, now: Instant) -> bool {
        !self.probe_in_flight && self.probe_at.is_none_or(|at| now >= at)
    }

    /// Returns when the next probe is due.
    pub fn probe_at(&self) -> Option<Instant> {
        self.probe_at
    }

    /// Notes that a probe starts.
    pub fn probe_started(&mut self, settings: &PoolSettings, now: Instant) {
        self.probe_in_flight = true;
        self.probe_at = Some(now + millis(settings.probe_interval_ms));
    }

    /// Takes in the end of a probe.
    pub fn probe_ended(&mut self, answered: bool, settings: &PoolSettings, now: Instant) {
        self.probe_in_flight = false;
        if !answered {
            self.credit = 0;
            return;
        }
        self.probe_at = None;
        if !self.is_fresh(settings, now) {
            self.others = self.others.saturating_sub(1);
            return;
        }
        self.credit = self.credit(settings, now).saturating_add(1);
        self.credited_at = Some(now);
    }

    fn is_fresh(&self, settings: &PoolSettings, now: Instant) -> bool {
        !self.missing
            && self.last.is_some_and(|(_, at)| {
                now.saturating_duration_since(at) < millis(settings.report_max_age_ms)
            })
    }
}

fn clamp(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
