use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Crashes after which a request is refused everywhere.
const CRASHES_ACCEPTED: usize = 2;

/// Time for which a crash is remembered.
const REMEMBERED: Duration = Duration::from_secs(60);

/// Requests that are remembered at most.
const MARKS_KEPT: usize = 4_096;

/// Crash of an upstream while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of the caller, the path and the body.
    pub fingerprint: u64,
    /// Number that tells this crash from others.
    pub crash: u64,
}

/// Crashes by the requests that were running.
#[derive(Debug, Default)]
pub struct CrashReports {
    marks: HashMap<CrashReport, Instant>,
}

impl CrashReports {
    /// Takes marks in; returns whether one is new.
    pub fn add(&mut self, marks: &[CrashReport], now: Instant) -> bool {
        self.marks.retain(|_, at| now - *at < REMEMBERED);
        let before = self.marks.len();
        for mark in marks.iter().take(MARKS_KEPT.saturating_sub(before)) {
            self.marks.entry(*mark).or_insert(now);
        }
        self.marks.len() > before
    }

    /// Returns whether a request crashed so many upstreams that it is refused.
    pub fn refuses(&self, fingerprint: u64) -> bool {
        let crashes = self.marks.keys();
        let crashes = crashes.filter(|mark| mark.fingerprint == fingerprint);
        crashes.count() >= CRASHES_ACCEPTED
    }

    /// Returns every mark.
    pub fn list(&self) -> Vec<CrashReport> {
        self.marks.keys().copied().collect()
    }
}
