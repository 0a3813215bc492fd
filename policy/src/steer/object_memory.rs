use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// Objects that are remembered for one upstream at most.
const OBJECTS_KEPT: usize = 256;

/// Time after which an upstream counts as having forgotten an object.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// Objects that one upstream handled a short while ago, as far as this instance sent them.
#[derive(Clone, Debug, Default)]
pub struct ObjectMemory {
    handled: HashMap<u64, Instant>,
}

impl ObjectMemory {
    /// Returns whether the upstream is likely to know the object.
    pub fn knows(&self, object: u64, now: Instant) -> bool {
        let at = self.handled.get(&object);
        at.is_some_and(|at| now - *at < FORGOTTEN_AFTER)
    }

    /// Notes that the upstream handled the object.
    pub fn handled(&mut self, object: u64, now: Instant) {
        if self.handled.len() >= OBJECTS_KEPT && !self.handled.contains_key(&object) {
            let oldest = self.handled.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(object, _)| *object);
            oldest.map(|object| self.handled.remove(&object));
        }
        self.handled.insert(object, now);
    }

    /// Forgets everything, as an upstream that starts again does.
    pub fn clear(&mut self) {
        self.handled.clear();
    }
}
