use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Crashes after which every entry instance refuses a request.
const CRASHES_TO_BLOCK: usize = 2;

/// Time for which a crash report is kept.
const RETENTION: Duration = Duration::from_secs(60);

/// Limit on the fingerprints in one log line.
const MAX_LOGGED: usize = 8;

/// Limit on the reports that are kept.
const MAX_REPORTS: usize = 4_096;

/// Report that an upstream crashed while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of the caller's address, the method, the path and the beginning of the body.
    pub fingerprint: u64,
    /// Random number that distinguishes this crash from others.
    pub crash: u64,
}

/// Crash reports that an instance knows. Requests that crash upstreams repeatedly are blocked.
#[derive(Debug, Default)]
pub struct CrashReports {
    reports: HashMap<CrashReport, Instant>,
}

impl CrashReports {
    /// Adds reports and drops expired ones; returns the fingerprints of those that are new.
    pub fn add(&mut self, reports: &[CrashReport], now: Instant) -> Vec<u64> {
        self.reports.retain(|_, at| now - *at < RETENTION);
        let before = self.reports.len();
        let mut new = Vec::new();
        for report in reports.iter().take(MAX_REPORTS.saturating_sub(before)) {
            if let Entry::Vacant(vacant) = self.reports.entry(*report) {
                vacant.insert(now);
                new.push(report.fingerprint);
            }
        }
        new
    }

    /// Returns the number of reports.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns the number of reports of a request, and the time since the newest one was added.
    pub fn known(&self, fingerprint: u64, now: Instant) -> (usize, Duration) {
        let of_request = |(report, _): &(&CrashReport, &Instant)| report.fingerprint == fingerprint;
        let added_at = self
            .reports
            .iter()
            .filter(of_request)
            .map(|(_, added_at)| now - *added_at);
        let ages: Vec<Duration> = added_at.collect();
        (ages.len(), ages.into_iter().min().unwrap_or_default())
    }

    /// Returns whether a request crashed so many upstreams that it is no longer forwarded.
    pub fn is_blocked(&self, fingerprint: u64) -> bool {
        let crashes = self.reports.keys();
        let crashes = crashes.filter(|report| report.fingerprint == fingerprint);
        crashes.count() >= CRASHES_TO_BLOCK
    }

    /// Returns all reports.
    pub fn to_vec(&self) -> Vec<CrashReport> {
        self.reports.keys().copied().collect()
    }
}

/// Returns the first fingerprints, for a log line.
pub fn fingerprints_text(fingerprints: &[u64]) -> String {
    let logged = fingerprints.iter().take(MAX_LOGGED);
    let texts: Vec<String> = logged.map(|hash| format!("{hash:016x}")).collect();
    texts.join(",")
}
