use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use laburnumdeal_policy::steer::{SharedLoad, SharedObject, SharedReport};
use tokio::time::Instant;

/// Age at which news is dropped; estimates of load have let most of it fade by then.
const KEPT: Duration = Duration::from_secs(8);

/// Entries of each kind in one message at most; they fit a link of 2 Mbit/s.
const MAX_ENTRIES: usize = 1_024;

/// What entry instances have heard of upstreams, for the other entry instances. Each control
/// instance has a board of its own; nothing is decided by it.
#[derive(Debug, Default)]
pub(super) struct ReportStore {
    loads: HashMap<u64, HeldLoad>,
    objects: VecDeque<(SharedObject, Instant)>,
}

/// One load.
#[derive(Clone, Copy, Debug)]
struct HeldLoad {
    requests: u32,
    told_at: Instant,
    heard_at: Instant,
}

impl ReportStore {
    /// Takes over what is newer than what is held.
    pub fn take(&mut self, news: &SharedReport, now: Instant) {
        for load in &news.loads {
            let age = Duration::from_millis(u64::from(load.age_ms));
            let Some(told_at) = now.checked_sub(age) else {
                continue;
            };
            let held = HeldLoad {
                requests: load.requests,
                told_at,
                heard_at: now,
            };
            let earlier = self.loads.entry(load.upstream).or_insert(held);
            if earlier.told_at < told_at {
                *earlier = held;
            }
        }
        self.loads.retain(|_, held| now - held.told_at < KEPT);
        let objects = news.objects.iter().map(|object| (*object, now));
        self.objects.extend(objects);
        let is_old = |(_, heard_at): &(SharedObject, Instant)| now - *heard_at >= KEPT;
        while self.objects.front().is_some_and(is_old) {
            self.objects.pop_front();
        }
    }

    /// Returns what was heard within `window`, the newest objects first.
    pub fn heard_within(&self, window: Duration, now: Instant) -> SharedReport {
        let loads = self
            .loads
            .iter()
            .filter(|(_, held)| now - held.heard_at <= window);
        let load = |(upstream, held): (&u64, &HeldLoad)| SharedLoad {
            upstream: *upstream,
            requests: held.requests,
            age_ms: (now - held.told_at).as_millis() as u32,
        };
        let objects = self.objects.iter().rev();
        let objects = objects.take_while(|(_, heard_at)| now - *heard_at <= window);
        SharedReport {
            loads: loads.map(load).take(MAX_ENTRIES).collect(),
            objects: objects
                .map(|(object, _)| *object)
                .take(MAX_ENTRIES)
                .collect(),
        }
    }
}
