use std::sync::{Arc, Mutex};

use laburnumdeal_model::UpstreamId;
use tokio::sync::watch;

/// Upstreams that the platform lists as leaving. Cheap to clone.
#[derive(Clone, Debug)]
pub struct LeavingUpstreams {
    flags: Arc<Mutex<Vec<bool>>>,
    generation: watch::Sender<u64>,
}

impl LeavingUpstreams {
    /// Returns a list in which no upstream leaves.
    pub fn new(upstreams: usize) -> Self {
        let flags = Arc::new(Mutex::new(vec![false; upstreams]));
        Self {
            flags,
            generation: watch::Sender::new(0),
        }
    }

    /// Returns whether an upstream is leaving.
    pub fn is_leaving(&self, upstream: UpstreamId) -> bool {
        self.flags.lock().expect("no panic while locked")[upstream.index()]
    }

    /// Replaces the whole list.
    pub fn replace(&self, next: Vec<bool>) {
        let mut flags = self.flags.lock().expect("no panic while locked");
        if *flags != next {
            *flags = next;
            self.generation.send_modify(|generation| *generation += 1);
        }
    }

    /// Returns at the next change after this call.
    pub async fn changed(&self) {
        let _ = self.generation.subscribe().changed().await;
    }
}
