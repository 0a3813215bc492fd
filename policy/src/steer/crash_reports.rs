use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::steer::CrashReport;
use crate::steer::request_fingerprints::is_of_content;
use crate::steer::suspect_request::{
    BLOCK_RETENTION, CompletedRun, Crash, SuspectRequest, crashes_to_block,
};

/// Crashes after which a request is blocked even if upstreams used to complete it.
const CRASHES_TO_PROVE: usize = 3;

/// Crashes that are kept for a request; more than requests beside it can share by chance.
const MAX_CRASHES: usize = 8;

/// Minimum interval at which other instances are told that a blocked request still comes.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(60);

/// Limit on the requests that are remembered.
const MAX_REQUESTS: usize = 2_048;

/// Crashes of upstreams that an instance knows of, by the request that they ran. A request of one
/// caller that two crashes are known for is blocked until it has not come for 10 minutes, and so is
/// a content that three are known for (see [`RequestFingerprints`]). A completed run clears the
/// crashes before it, and crashes that a request shares with one that crashed more upstreams do not
/// count for it.
///
/// [`RequestFingerprints`]: crate::steer::RequestFingerprints
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::CrashReports;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let (mut here, mut there) = (CrashReports::default(), CrashReports::default());
/// here.add_crash(7, 1, now);
/// there.add_crash(7, 2, now);
/// assert!(!here.is_blocked(7, now));
/// assert_eq!(here.merge(&there.to_vec(now), now), [7]);
/// assert!(here.is_blocked(7, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashReports {
    requests: HashMap<u64, SuspectRequest>,
    /// Number of changes that other instances need to know of.
    revision: u64,
}

impl CrashReports {
    /// Adds a crash of an upstream under a request; returns whether it is new.
    pub fn add_crash(&mut self, fingerprint: u64, upstream: u64, now: Instant) -> bool {
        let crash = Crash {
            upstream,
            at: now,
            used_at: now,
            revision: 0,
        };
        let is_new = self.add(fingerprint, crash);
        self.evict();
        is_new
    }

    /// Records that a run of a request was completed, which clears its crashes. Returns whether there
    /// were any, so that others need to know.
    pub fn clear(&mut self, fingerprint: u64, now: Instant) -> bool {
        let request = self.requests.get(&fingerprint);
        request.is_some_and(|request| !request.crashes.is_empty())
            && self.add_completed(fingerprint, now)
    }

    /// Adds the reports of another instance, and returns the fingerprints of those that are new.
    /// Expired reports are not added, so that instances do not remind each other of them for ever.
    pub fn merge(&mut self, reports: &[CrashReport], now: Instant) -> Vec<u64> {
        self.drop_expired(now);
        let mut new = Vec::new();
        for report in reports {
            if report.unused_ms as u128 >= BLOCK_RETENTION.as_millis() {
                continue;
            }
            let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
            let at = ago(report.age_ms);
            let is_new = if report.is_completed {
                self.add_completed(report.fingerprint, at)
            } else {
                let crash = Crash {
                    upstream: report.upstream,
                    at,
                    used_at: ago(report.unused_ms),
                    revision: 0,
                };
                self.add(report.fingerprint, crash)
            };
            if is_new {
                new.push(report.fingerprint);
            }
        }
        self.drop_expired(now);
        self.evict();
        new.retain(|fingerprint| self.requests.contains_key(fingerprint));
        new
    }

    /// Returns whether a request crashed so many upstreams that it is no longer forwarded.
    pub fn is_blocked(&self, fingerprint: u64, now: Instant) -> bool {
        let request = self.requests.get(&fingerprint);
        request.is_some_and(|request| {
            request.is_block(fingerprint)
                && !request.is_expired(fingerprint, now)
                && crashes_to_block(fingerprint) <= self.own_crashes(fingerprint, request)
        })
    }

    /// Returns whether so many crashes are known for a request that it is blocked even if upstreams
    /// used to complete it.
    pub fn is_proven(&self, fingerprint: u64) -> bool {
        let request = self.requests.get(&fingerprint);
        request.is_some_and(|request| self.own_crashes(fingerprint, request) >= CRASHES_TO_PROVE)
    }

    /// Returns the number of crashes of a request that no other one accounts for, which ran beside it
    /// and crashed more upstreams. Contents are not compared: one that many callers send runs beside
    /// most others.
    fn own_crashes(&self, fingerprint: u64, request: &SuspectRequest) -> usize {
        if is_of_content(fingerprint) {
            return request.crashes.len();
        }
        let others = self.requests.iter().filter(|(other, suspect)| {
            !is_of_content(**other) && suspect.crashes.len() > request.crashes.len()
        });
        let others: Vec<&SuspectRequest> = others.map(|(_, suspect)| suspect).collect();
        let is_own = |crash: &&Crash| !others.iter().any(|other| other.has_crash(crash));
        request.crashes.iter().filter(is_own).count()
    }

    /// Records that a request was refused, so that it stays blocked while it keeps coming.
    pub fn record_refusal(&mut self, fingerprint: u64, now: Instant) {
        let Some(request) = self.requests.get_mut(&fingerprint) else {
            return;
        };
        for crash in &mut request.crashes {
            if now.saturating_duration_since(crash.used_at) >= RENEWAL_INTERVAL {
                self.revision += 1;
                crash.renew(now, self.revision);
            }
        }
    }

    /// Returns the number of crashes that are known for a request, and the time since the newest
    /// one or the last refusal.
    pub fn known(&self, fingerprint: u64, now: Instant) -> (usize, Duration) {
        let Some(request) = self.requests.get(&fingerprint) else {
            return (0, Duration::ZERO);
        };
        let used_at = request.crashes.iter().map(|crash| crash.used_at).max();
        let age = used_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (request.crashes.len(), age)
    }

    /// Returns the number of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all reports that have not expired.
    pub fn to_vec(&self, now: Instant) -> Vec<CrashReport> {
        self.changed_after(0, now)
    }

    /// Returns the reports that changed after a revision and have not expired.
    pub fn changed_after(&self, revision: u64, now: Instant) -> Vec<CrashReport> {
        if revision >= self.revision {
            return Vec::new();
        }
        let requests = self.requests.iter();
        let current = requests.filter(|(key, request)| !request.is_expired(**key, now));
        let reports = current.flat_map(|(key, request)| request.changed_after(revision, *key, now));
        reports.collect()
    }

    /// Returns the number of requests remembered.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn add(&mut self, fingerprint: u64, crash: Crash) -> bool {
        let request = self.requests.entry(fingerprint).or_default();
        if request.has_cleared(&crash) {
            return false;
        }
        let revision = self.revision + 1;
        let is_full = request.crashes.len() >= MAX_CRASHES;
        let known = request
            .crashes
            .iter_mut()
            .find(|known| is_full || known.is_same(&crash));
        if let Some(known) = known {
            if crash.used_at.saturating_duration_since(known.used_at) >= RENEWAL_INTERVAL / 2 {
                known.renew(crash.used_at, revision);
                self.revision = revision;
            }
            return false;
        }
        request.crashes.push(Crash { revision, ..crash });
        self.revision = revision;
        true
    }

    /// Records a completed run; returns whether it is newer than the one known.
    fn add_completed(&mut self, fingerprint: u64, at: Instant) -> bool {
        let request = self.requests.entry(fingerprint).or_default();
        let is_known = request
            .completed
            .is_some_and(|run| at.saturating_duration_since(run.at) < RENEWAL_INTERVAL / 2);
        let has_cleared = request.clear_until(at);
        if is_known && !has_cleared {
            return false;
        }
        self.revision += 1;
        let revision = self.revision;
        request.completed = Some(CompletedRun { at, revision });
        true
    }

    fn drop_expired(&mut self, now: Instant) {
        self.requests
            .retain(|key, request| !request.is_expired(*key, now));
    }

    /// Drops requests beyond the limit: those that are not blocked first, and the oldest of them.
    fn evict(&mut self) {
        let excess = self.requests.len().saturating_sub(MAX_REQUESTS);
        if excess == 0 {
            return;
        }
        let order = |(fingerprint, request): (&u64, &SuspectRequest)| {
            let is_block = request.is_block(*fingerprint);
            (is_block, request.last_use(), *fingerprint)
        };
        let mut ordered: Vec<_> = self.requests.iter().map(order).collect();
        ordered.sort_unstable();
        for (_, _, fingerprint) in &ordered[..excess] {
            self.requests.remove(fingerprint);
        }
    }
}
