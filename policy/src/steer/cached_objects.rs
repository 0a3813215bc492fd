use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// Most objects that are tracked per upstream; beyond it the one handled longest ago is dropped.
const MAX_OBJECTS: usize = 256;

/// Time after which an object that was not handled again counts as evicted from the upstream.
const TIME_TO_LIVE: Duration = Duration::from_secs(20);

/// Time after which an object that is still handled is reported to other instances again.
const REPORT_INTERVAL: Duration = Duration::from_secs(8);

/// Objects that one upstream is likely to hold in its cache, because it answered a request for them
/// of this instance or of another one that reported so.
#[derive(Clone, Debug, Default)]
pub struct CachedObjects {
    by_hash: HashMap<u64, CachedObject>,
}

/// Times of one object: its last request, and its last report to or from other instances.
#[derive(Clone, Copy, Debug)]
struct CachedObject {
    handled_at: Instant,
    reported_at: Instant,
}

impl CachedObjects {
    /// Returns whether the upstream is likely to hold the object.
    pub fn contains(&self, object: u64, now: Instant) -> bool {
        let cached = self.by_hash.get(&object);
        cached.is_some_and(|cached| now - cached.handled_at < TIME_TO_LIVE)
    }

    /// Records that the upstream handled the object for this instance; returns whether this should
    /// be reported to other instances.
    pub fn record_handled(&mut self, object: u64, now: Instant) -> bool {
        let reported_at = self.by_hash.get(&object).map(|cached| cached.reported_at);
        let reported_at = reported_at.filter(|at| now - *at < REPORT_INTERVAL);
        self.insert(object, now, reported_at.unwrap_or(now));
        reported_at.is_none()
    }

    /// Records that the upstream handled the object for another instance.
    pub fn record_shared(&mut self, object: u64, now: Instant) {
        self.insert(object, now, now);
    }

    /// Drops all objects, as a restart empties the cache of the upstream.
    pub fn clear(&mut self) {
        self.by_hash.clear();
    }

    fn insert(&mut self, object: u64, handled_at: Instant, reported_at: Instant) {
        if self.by_hash.len() >= MAX_OBJECTS && !self.by_hash.contains_key(&object) {
            let oldest = self
                .by_hash
                .iter()
                .min_by_key(|(_, cached)| cached.handled_at);
            let oldest = oldest.map(|(object, _)| *object);
            oldest.map(|object| self.by_hash.remove(&object));
        }
        self.by_hash.insert(
            object,
            CachedObject {
                handled_at,
                reported_at,
            },
        );
    }
}
