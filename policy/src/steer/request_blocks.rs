use std::time::Duration;

use tokio::time::Instant;

use crate::steer::{CompletedRequests, CrashReport, CrashReports, RequestFingerprints};

/// Decides which requests an entry instance refuses because they crashed upstreams.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::{RequestBlocks, RequestFingerprints};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let request = RequestFingerprints::new(b"10.0.0.1", &[b"GET", b"/1"]);
/// let mut blocks = RequestBlocks::default();
/// for upstream in [1, 2] {
///     assert!(!blocks.refuses(request, now));
///     blocks.reports.add_crash(request.by_caller, upstream, now);
/// }
/// assert!(blocks.refuses(request, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RequestBlocks {
    /// Crashes that are known, here or at other instances.
    pub reports: CrashReports,
    completed: CompletedRequests,
}

impl RequestBlocks {
    /// Returns whether a request is refused. A content that upstreams completed a short while ago is
    /// not refused for the crashes of several callers: many callers may send it, and run it on
    /// upstreams that end for another reason. A request that they completed for its caller is refused
    /// after a third crash only: it may have run beside another one that crashed two upstreams.
    pub fn refuses(&mut self, fingerprints: RequestFingerprints, now: Instant) -> bool {
        let RequestFingerprints {
            by_caller,
            by_content,
        } = fingerprints;
        let was_completed = self.completed.is_recent(by_caller, now);
        let blocked = if self.reports.is_blocked(by_caller, now)
            && (!was_completed || self.reports.is_proven(by_caller))
        {
            by_caller
        } else if self.reports.is_blocked(by_content, now)
            && !self.completed.is_recent(by_content, now)
        {
            by_content
        } else {
            return false;
        };
        self.reports.record_refusal(blocked, now);
        true
    }

    /// Records that an upstream completed a request. Returns a report for others if that clears
    /// crashes, so that all instances forward the request again.
    pub fn record_completed(
        &mut self,
        fingerprints: RequestFingerprints,
        now: Instant,
    ) -> Option<CrashReport> {
        for fingerprint in fingerprints.both() {
            self.completed.record(fingerprint, now);
        }
        let by_caller = fingerprints.by_caller;
        let is_cleared = self.reports.clear(by_caller, now);
        is_cleared.then(|| CrashReport::completed(by_caller))
    }

    /// Returns the number of crashes that are known for a request, and the time since the newest one
    /// or the last refusal.
    pub fn known(&self, fingerprints: RequestFingerprints, now: Instant) -> (usize, Duration) {
        let by_caller = self.reports.known(fingerprints.by_caller, now);
        by_caller.max(self.reports.known(fingerprints.by_content, now))
    }
}
