use std::sync::{Arc, Mutex};

use laburnumdeal_model::UpstreamId;
use tokio::sync::watch;

/// Upstreams that the platform lists as leaving. Cheap to clone.
#[derive(Clone, Debug)]
pub struct LeavingUpstreams {
    leaving_flags: Arc<Mutex<Vec<bool>>>,
    generation: watch::Sender<u64>,
}

impl LeavingUpstreams {
    /// Creates a list in which no upstream is leaving.
    pub fn new(upstreams: usize) -> Self {
        let leaving_flags = Arc::new(Mutex::new(vec![false; upstreams]));
        Self {
            leaving_flags,
            generation: watch::Sender::new(0),
        }
    }

    /// Returns whether an upstream is leaving.
    pub fn is_leaving(&self, upstream: UpstreamId) -> bool {
        self.leaving_flags.lock().expect("no panic while locked")[upstream.index()]
    }

    /// Replaces the whole list and wakes the waiting tasks if it differs.
    pub fn replace(&self, next: Vec<bool>) {
        let mut leaving_flags = self.leaving_flags.lock().expect("no panic while locked");
        if *leaving_flags != next {
            *leaving_flags = next;
            self.generation.send_modify(|generation| *generation += 1);
        }
    }

    /// Waits for the next change of the list.
    pub async fn changed(&self) {
        let _ = self.generation.subscribe().changed().await;
    }
}
