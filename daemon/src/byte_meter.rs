use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Count of bytes that several tasks add to. Clones count together.
#[derive(Clone, Debug, Default)]
pub struct ByteMeter {
    total: Arc<AtomicU64>,
}

impl ByteMeter {
    /// Adds bytes.
    pub fn add(&self, bytes: u64) {
        self.total.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns all bytes that were added.
    pub fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }
}
