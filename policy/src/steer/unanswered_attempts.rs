use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::steer::UpstreamKey;

/// Time after an attempt in which the list of upstreams shows that its upstream ended.
const RETENTION: Duration = Duration::from_secs(10);

/// Limit on the attempts remembered for one upstream.
const MAX_PER_UPSTREAM: usize = 64;

/// Attempts that ended without an answer at upstreams whose address accepted connections
/// afterwards: the upstream was slow, or it crashed and another start of it has the address.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::{UnansweredAttempts, UpstreamKey};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut attempts = UnansweredAttempts::default();
/// attempts.record(UpstreamKey(1), 7, now);
/// assert_eq!(attempts.take_crashed(UpstreamKey(1), None, now), [7]);
/// assert!(attempts.take_crashed(UpstreamKey(1), None, now).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct UnansweredAttempts {
    by_upstream: HashMap<UpstreamKey, Vec<Attempt>>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    fingerprint: u64,
    ended_at: Instant,
}

impl UnansweredAttempts {
    /// Records an attempt of the request with a fingerprint.
    pub fn record(&mut self, upstream: UpstreamKey, fingerprint: u64, ended_at: Instant) {
        let is_recent =
            |attempt: &Attempt| ended_at.saturating_duration_since(attempt.ended_at) < RETENTION;
        self.by_upstream.retain(|_, attempts| {
            attempts.retain(is_recent);
            !attempts.is_empty()
        });
        let attempts = self.by_upstream.entry(upstream).or_default();
        if attempts.len() < MAX_PER_UPSTREAM {
            attempts.push(Attempt {
                fingerprint,
                ended_at,
            });
        }
    }

    /// Returns the upstreams of the recorded attempts.
    pub fn upstreams(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.by_upstream.keys().copied()
    }

    /// Removes the attempts at an upstream that has ended, and returns the fingerprints of those
    /// that it did not outlive: the recent ones after which it answered no request.
    pub fn take_crashed(
        &mut self,
        upstream: UpstreamKey,
        answered_at: Option<Instant>,
        now: Instant,
    ) -> Vec<u64> {
        let attempts = self.by_upstream.remove(&upstream).unwrap_or_default();
        let is_crashed = |attempt: &Attempt| {
            now.saturating_duration_since(attempt.ended_at) < RETENTION
                && answered_at.is_none_or(|at| at <= attempt.ended_at)
        };
        let crashed = attempts.into_iter().filter(is_crashed);
        crashed.map(|attempt| attempt.fingerprint).collect()
    }
}
