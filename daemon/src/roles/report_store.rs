use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use laburnumdeal_policy::steer::{SharedLimit, SharedLoad, SharedObject, SharedReport};
use tokio::time::Instant;

/// Age at which reports are dropped. Load estimates have discounted most of a report by then.
const RETENTION: Duration = Duration::from_secs(8);

/// Limit on the entries of each kind in one message, so that it fits a link of 2 Mbit/s.
const MAX_ENTRIES: usize = 1_024;

/// Reports of entry instances on upstreams, for the other entry instances. Each control instance
/// has a store of its own, and makes no decisions based on it.
#[derive(Debug, Default)]
pub(super) struct ReportStore {
    limits: HashMap<u64, StoredLimit>,
    loads: HashMap<u64, StoredLoad>,
    objects: VecDeque<(SharedObject, Instant)>,
}

/// Newest load of one upstream.
#[derive(Clone, Copy, Debug)]
struct StoredLoad {
    requests: u32,
    measured_at: Instant,
    received_at: Instant,
}

/// Newest limit that one upstream named, or that it ended.
#[derive(Clone, Copy, Debug)]
struct StoredLimit {
    per_s: Option<f64>,
    answered_at: Instant,
    received_at: Instant,
}

impl ReportStore {
    /// Merges a report: keeps the newest load of each upstream, and drops expired entries.
    pub fn merge(&mut self, report: &SharedReport, now: Instant) {
        for limit in &report.limits {
            let age = Duration::from_millis(u64::from(limit.age_ms));
            let Some(answered_at) = now.checked_sub(age) else {
                continue;
            };
            let stored = StoredLimit {
                per_s: limit.per_s,
                answered_at,
                received_at: now,
            };
            let earlier = self.limits.entry(limit.upstream).or_insert(stored);
            if earlier.answered_at < answered_at {
                *earlier = stored;
            }
        }
        self.limits
            .retain(|_, stored| now - stored.answered_at < RETENTION);
        for load in &report.loads {
            let age = Duration::from_millis(u64::from(load.age_ms));
            let Some(measured_at) = now.checked_sub(age) else {
                continue;
            };
            let stored = StoredLoad {
                requests: load.requests,
                measured_at,
                received_at: now,
            };
            let earlier = self.loads.entry(load.upstream).or_insert(stored);
            if earlier.measured_at < measured_at {
                *earlier = stored;
            }
        }
        self.loads
            .retain(|_, stored| now - stored.measured_at < RETENTION);
        let objects = report.objects.iter().map(|object| (*object, now));
        self.objects.extend(objects);
        let is_expired =
            |(_, received_at): &(SharedObject, Instant)| now - *received_at >= RETENTION;
        while self.objects.front().is_some_and(is_expired) {
            self.objects.pop_front();
        }
    }

    /// Returns what was received within `window`, the newest objects first.
    pub fn received_within(&self, window: Duration, now: Instant) -> SharedReport {
        let loads = self
            .loads
            .iter()
            .filter(|(_, stored)| now - stored.received_at <= window);
        let load = |(upstream, stored): (&u64, &StoredLoad)| SharedLoad {
            upstream: *upstream,
            requests: stored.requests,
            age_ms: (now - stored.measured_at).as_millis() as u32,
        };
        let limits = self
            .limits
            .iter()
            .filter(|(_, stored)| now - stored.received_at <= window);
        let limit = |(upstream, stored): (&u64, &StoredLimit)| SharedLimit {
            upstream: *upstream,
            per_s: stored.per_s,
            age_ms: (now - stored.answered_at).as_millis() as u32,
        };
        let objects = self.objects.iter().rev();
        let objects = objects.take_while(|(_, received_at)| now - *received_at <= window);
        SharedReport {
            limits: limits.map(limit).take(MAX_ENTRIES).collect(),
            loads: loads.map(load).take(MAX_ENTRIES).collect(),
            objects: objects
                .map(|(object, _)| *object)
                .take(MAX_ENTRIES)
                .collect(),
        }
    }
}
