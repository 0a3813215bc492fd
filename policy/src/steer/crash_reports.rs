use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::steer::request_fingerprints::is_of_content;

/// Crashes after which every entry instance refuses a request of one caller.
const CRASHES_TO_BLOCK: usize = 2;

/// Crashes after which every entry instance refuses requests with a content, whoever sends them.
const CRASHES_TO_BLOCK_CONTENT: usize = 3;

/// Crashes that are kept for a request.
const MAX_CRASHES: usize = 3;

/// Time within which reports of crashes of one upstream are of the same crash: instances, and
/// several attempts of one instance, notice it at different times.
const SAME_CRASH_TIME: Duration = Duration::from_secs(5);

/// Time for which a request is remembered after a crash, if it is not blocked.
const SUSPECT_RETENTION: Duration = Duration::from_secs(60);

/// Time for which a blocked request is remembered after a crash or its last refusal.
const BLOCK_RETENTION: Duration = Duration::from_secs(600);

/// Minimum interval at which other instances are told that a blocked request still comes.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(60);

/// Limit on the requests that are remembered.
const MAX_REQUESTS: usize = 2_048;

/// Report that an upstream crashed while it ran a request, or completed it, as sent to other
/// instances. Ages are those at the time of sending, so that clocks of different instances are not
/// compared.
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

/// Crashes of upstreams that an instance knows of, by the request that they ran. A request of one
/// caller that two crashes are known for is blocked until it has not come for 10 minutes, and so is
/// a content that three are known for (see [`RequestFingerprints`]). A completed run clears the
/// crashes before it.
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

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct SuspectRequest {
    crashes: Vec<Crash>,
    completed: Option<CompletedRun>,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    upstream: u64,
    at: Instant,
    /// Time of the crash, or of the last refusal because of it.
    used_at: Instant,
    /// Revision of the last change of this report.
    revision: u64,
}

/// Newest completed run, which older crashes are told after without effect.
#[derive(Clone, Copy, Debug)]
struct CompletedRun {
    at: Instant,
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
            request.is_block(fingerprint) && !request.is_expired(fingerprint, now)
        })
    }

    /// Returns whether no further crash is kept for a request, so that also a request that used to be
    /// completed is no longer forwarded.
    pub fn is_proven(&self, fingerprint: u64) -> bool {
        let request = self.requests.get(&fingerprint);
        request.is_some_and(|request| request.crashes.len() >= MAX_CRASHES)
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
        if request.completed.is_some_and(|run| run.at >= crash.at) {
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
        let before = request.crashes.len();
        request.crashes.retain(|crash| crash.at > at);
        if is_known && request.crashes.len() == before {
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

impl SuspectRequest {
    fn is_block(&self, fingerprint: u64) -> bool {
        let crashes_to_block = match is_of_content(fingerprint) {
            true => CRASHES_TO_BLOCK_CONTENT,
            false => CRASHES_TO_BLOCK,
        };
        self.crashes.len() >= crashes_to_block
    }

    fn last_use(&self) -> Option<Instant> {
        let crashes = self.crashes.iter().map(|crash| crash.used_at);
        crashes.chain(self.completed.map(|run| run.at)).max()
    }

    fn is_expired(&self, fingerprint: u64, now: Instant) -> bool {
        let retention = match self.is_block(fingerprint) {
            true => BLOCK_RETENTION,
            false => SUSPECT_RETENTION,
        };
        self.last_use()
            .is_none_or(|at| now.saturating_duration_since(at) >= retention)
    }

    /// Returns the reports that changed after a revision.
    fn changed_after(
        &self,
        revision: u64,
        fingerprint: u64,
        now: Instant,
    ) -> impl Iterator<Item = CrashReport> {
        let age_ms = move |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let crashes = self.crashes.iter();
        let crashes = crashes.filter(move |crash| crash.revision > revision);
        let crashes = crashes.map(move |crash| CrashReport {
            age_ms: age_ms(crash.at),
            unused_ms: age_ms(crash.used_at),
            ..CrashReport::new(fingerprint, crash.upstream)
        });
        let completed = self.completed.filter(|run| run.revision > revision);
        let completed = completed.map(|run| CrashReport {
            age_ms: age_ms(run.at),
            unused_ms: age_ms(run.at),
            ..CrashReport::completed(fingerprint)
        });
        completed.into_iter().chain(crashes)
    }
}

impl Crash {
    fn renew(&mut self, used_at: Instant, revision: u64) {
        self.used_at = used_at;
        self.revision = revision;
    }

    fn is_same(&self, other: &Crash) -> bool {
        let apart = self.at.max(other.at) - self.at.min(other.at);
        self.upstream == other.upstream && apart < SAME_CRASH_TIME
    }
}
