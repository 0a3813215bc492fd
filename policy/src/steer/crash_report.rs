use serde::{Deserialize, Serialize};

/// Report that an upstream crashed while it ran a request, or completed it, as sent to other
/// instances. Ages are those at the time of sending, so that clocks of different instances are not
/// compared.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::{CrashReport, CrashReports};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut reports = CrashReports::default();
/// reports.merge(&[CrashReport::new(7, 1), CrashReport::new(7, 2)], now);
/// assert!(reports.is_blocked(7, now));
/// reports.merge(&[CrashReport::completed(7)], now);
/// assert!(!reports.is_blocked(7, now));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of the request, which its repeats share.
    pub fingerprint: u64,
    /// Hash of the ID of the upstream; 0 for a completed run.
    pub upstream: u64,
    /// Time since the crash or the completed run, in milliseconds.
    pub age_ms: u64,
    /// Time since the crash, or since the request was last refused because of it, in milliseconds.
    pub unused_ms: u64,
    /// Whether a run was completed, which clears the crashes before it.
    #[serde(default)]
    pub is_completed: bool,
}

impl CrashReport {
    /// Returns the report of a crash that happens now.
    pub fn new(fingerprint: u64, upstream: u64) -> Self {
        Self {
            fingerprint,
            upstream,
            age_ms: 0,
            unused_ms: 0,
            is_completed: false,
        }
    }

    /// Returns the report of a run that is completed now.
    pub fn completed(fingerprint: u64) -> Self {
        Self {
            is_completed: true,
            ..Self::new(fingerprint, 0)
        }
    }
}
