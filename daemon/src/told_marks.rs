use std::sync::{Mutex, MutexGuard};

use laburnumdeal_model::{BootId, InstanceId};

/// Up to when each other instance has been told of the requests that crashed upstreams.
#[derive(Debug)]
pub struct ToldMarks {
    by_peer: Mutex<Vec<Option<Told>>>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    boot: BootId,
    until_ms: u64,
}

impl ToldMarks {
    /// Creates the register for this many instances, none of which has been told anything.
    pub fn new(instances: usize) -> Self {
        Self {
            by_peer: Mutex::new(vec![None; instances]),
        }
    }

    /// Returns the time from which on changes must be told to a run of an instance; 0 for a run
    /// that has not been told anything.
    pub fn next_since_ms(&self, peer: InstanceId, boot: Option<BootId>) -> u64 {
        let told = self.lock()[peer.index()];
        let of_run = told.filter(|told| Some(told.boot) == boot);
        of_run.map_or(0, |told| told.until_ms)
    }

    /// Records that a run of an instance has been told all changes before a time.
    pub fn record(&self, peer: InstanceId, boot: BootId, until_ms: u64) {
        self.lock()[peer.index()] = Some(Told { boot, until_ms });
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Option<Told>>> {
        self.by_peer.lock().expect("no panic while locked")
    }
}
