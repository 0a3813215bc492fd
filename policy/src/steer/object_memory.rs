use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// Objects that are remembered for one upstream at most.
const OBJECTS_KEPT: usize = 256;

/// Time after which an upstream counts as having forgotten an object.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// Time after which other instances are told again of an object that is still handled.
const TOLD_EVERY: Duration = Duration::from_secs(8);

/// Objects that one upstream handled a short while ago, as far as this instance sent them or others
/// told.
#[derive(Clone, Debug, Default)]
pub struct ObjectMemory {
    handled: HashMap<u64, Handled>,
}

/// Times of one object.
#[derive(Clone, Copy, Debug)]
struct Handled {
    at: Instant,
    told_at: Instant,
}

impl ObjectMemory {
    /// Returns whether the upstream is likely to know the object.
    pub fn knows(&self, object: u64, now: Instant) -> bool {
        let handled = self.handled.get(&object);
        handled.is_some_and(|handled| now - handled.at < FORGOTTEN_AFTER)
    }

    /// Notes that the upstream handled the object; returns whether others should be told.
    pub fn handled(&mut self, object: u64, now: Instant) -> bool {
        let told_at = self.handled.get(&object).map(|handled| handled.told_at);
        let told_at = told_at.filter(|at| now - *at < TOLD_EVERY);
        self.insert(object, now, told_at.unwrap_or(now));
        told_at.is_none()
    }

    /// Notes that the upstream handled the object for another instance.
    pub fn told(&mut self, object: u64, now: Instant) {
        self.insert(object, now, now);
    }

    /// Forgets everything, as an upstream that starts again does.
    pub fn clear(&mut self) {
        self.handled.clear();
    }

    fn insert(&mut self, object: u64, at: Instant, told_at: Instant) {
        if self.handled.len() >= OBJECTS_KEPT && !self.handled.contains_key(&object) {
            let oldest = self.handled.iter().min_by_key(|(_, handled)| handled.at);
            let oldest = oldest.map(|(object, _)| *object);
            oldest.map(|object| self.handled.remove(&object));
        }
        self.handled.insert(object, Handled { at, told_at });
    }
}
