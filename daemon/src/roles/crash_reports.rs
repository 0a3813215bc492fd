use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Crashes after which every entry instance refuses a request.
const CRASHES_TO_BLOCK: usize = 2;

/// Time for which a crash report is kept.
const RETENTION: Duration = Duration::from_secs(60);

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
    /// Adds reports and drops expired ones; returns whether any report is new.
    pub fn add(&mut self, reports: &[CrashReport], now: Instant) -> bool {
        self.reports.retain(|_, at| now - *at < RETENTION);
        let before = self.reports.len();
        for report in reports.iter().take(MAX_REPORTS.saturating_sub(before)) {
            self.reports.entry(*report).or_insert(now);
        }
        self.reports.len() > before
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
