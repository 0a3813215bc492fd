use std::collections::{HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Crashes after which every entry instance refuses a request.
const CRASHES_TO_BLOCK: usize = 2;

/// Limit on the crashes that are remembered for one request.
const MAX_CRASHES: usize = 4;

/// Time for which a request is remembered after a crash, if it is not blocked.
const SUSPECT_RETENTION: Duration = Duration::from_secs(60);

/// Time for which a blocked request is remembered after a crash or its last refusal.
const BLOCK_RETENTION: Duration = Duration::from_secs(600);

/// Limit on the requests that are remembered.
const MAX_REQUESTS: usize = 2_048;

/// Report that an upstream crashed while it ran a request, as sent to other instances. Its age is
/// that at the time of sending, so that clocks of different instances are not compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of the request, which its repeats share.
    pub fingerprint: u64,
    /// Random number that distinguishes this crash from others.
    pub crash: u64,
    /// Time since the crash, or since the request was last refused because of it, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// Crashes of upstreams that an instance knows of, by the request that they ran. A request that two
/// crashes are known for is blocked until it has not come for 10 minutes.
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
    requests: HashMap<u64, Vec<Crash>>,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    id: u64,
    /// Time of the crash, or of the last refusal because of it.
    used_at: Instant,
}

impl CrashReports {
    /// Adds a crash under a request; returns whether it is new.
    pub fn add_crash(&mut self, fingerprint: u64, crash: u64, now: Instant) -> bool {
        let crash = Crash {
            id: crash,
            used_at: now,
        };
        let is_new = self.add(fingerprint, crash);
        self.evict();
        is_new
    }

    /// Adds the reports of another instance, and returns the fingerprints of those that are new.
    /// Expired reports are not added, so that instances do not remind each other of them for ever.
    pub fn merge(&mut self, reports: &[CrashReport], now: Instant) -> Vec<u64> {
        self.drop_expired(now);
        let mut new = Vec::new();
        for report in reports {
            let age = Duration::from_millis(report.age_ms);
            let Some(used_at) = now.checked_sub(age).filter(|_| age < BLOCK_RETENTION) else {
                continue;
            };
            let crash = Crash {
                id: report.crash,
                used_at,
            };
            if self.add(report.fingerprint, crash) {
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
        let crashes = self.requests.get(&fingerprint);
        crashes.is_some_and(|crashes| is_block(crashes) && !is_expired(crashes, now))
    }

    /// Records that a request was refused, so that it stays blocked while it keeps coming.
    pub fn record_refusal(&mut self, fingerprint: u64, now: Instant) {
        let crashes = self.requests.get_mut(&fingerprint).into_iter().flatten();
        crashes.for_each(|crash| crash.used_at = now);
    }

    /// Returns the number of crashes that are known for a request, and the time since the newest
    /// one or the last refusal.
    pub fn known(&self, fingerprint: u64, now: Instant) -> (usize, Duration) {
        let crashes = self.requests.get(&fingerprint).map_or(&[][..], |c| c);
        let age = last_use(crashes).map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (crashes.len(), age)
    }

    /// Returns all reports that have not expired.
    pub fn to_vec(&self, now: Instant) -> Vec<CrashReport> {
        let requests = self.requests.iter();
        let current = requests.filter(|(_, crashes)| !is_expired(crashes, now));
        let report = |fingerprint: u64, crash: &Crash| CrashReport {
            fingerprint,
            crash: crash.id,
            age_ms: now.saturating_duration_since(crash.used_at).as_millis() as u64,
        };
        let reports = current.flat_map(|(fingerprint, crashes)| {
            crashes.iter().map(move |crash| report(*fingerprint, crash))
        });
        reports.collect()
    }

    /// Returns whether it contains a report that is not in `known`.
    pub fn has_other_than(&self, known: &[CrashReport], now: Instant) -> bool {
        let key = |report: &CrashReport| (report.fingerprint, report.crash);
        let known: HashSet<(u64, u64)> = known.iter().map(key).collect();
        let reports = self.to_vec(now);
        reports.iter().any(|report| !known.contains(&key(report)))
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
        let crashes = self.requests.entry(fingerprint).or_default();
        if let Some(known) = crashes.iter_mut().find(|known| known.id == crash.id) {
            known.used_at = known.used_at.max(crash.used_at);
            return false;
        }
        let is_new = crashes.len() < MAX_CRASHES;
        if is_new {
            crashes.push(crash);
        }
        is_new
    }

    fn drop_expired(&mut self, now: Instant) {
        self.requests
            .retain(|_, crashes| !crashes.is_empty() && !is_expired(crashes, now));
    }

    /// Drops requests beyond the limit: those that are not blocked first, and the oldest of them.
    fn evict(&mut self) {
        let excess = self.requests.len().saturating_sub(MAX_REQUESTS);
        if excess == 0 {
            return;
        }
        let order = |(fingerprint, crashes): (&u64, &Vec<Crash>)| {
            (is_block(crashes), last_use(crashes), *fingerprint)
        };
        let mut ordered: Vec<_> = self.requests.iter().map(order).collect();
        ordered.sort_unstable();
        for (_, _, fingerprint) in &ordered[..excess] {
            self.requests.remove(fingerprint);
        }
    }
}

fn is_block(crashes: &[Crash]) -> bool {
    crashes.len() >= CRASHES_TO_BLOCK
}

fn last_use(crashes: &[Crash]) -> Option<Instant> {
    crashes.iter().map(|crash| crash.used_at).max()
}

fn is_expired(crashes: &[Crash], now: Instant) -> bool {
    let retention = match is_block(crashes) {
        true => BLOCK_RETENTION,
        false => SUSPECT_RETENTION,
    };
    last_use(crashes).is_none_or(|at| now.saturating_duration_since(at) >= retention)
}
