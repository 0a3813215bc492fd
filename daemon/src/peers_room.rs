use std::sync::Mutex;
use std::time::Duration;

use laburnumdeal_model::{InstanceId, ServiceId};
use laburnumdeal_policy::ServiceLoad;
use tokio::time::Instant;

/// Age from which what an instance said of its room counts as unknown.
const MAX_AGE: Duration = Duration::from_millis(2_000);

/// Room that other instances reported on the upstreams that they own.
#[derive(Debug)]
pub struct PeersRoom {
    latest: Mutex<Vec<Option<Reported>>>,
}

#[derive(Clone, Debug)]
struct Reported {
    rooms: Vec<ServiceLoad>,
    at: Instant,
}

impl PeersRoom {
    /// Returns a store in which every instance is unknown.
    pub fn new(instances: usize) -> Self {
        Self {
            latest: Mutex::new(vec![None; instances]),
        }
    }

    /// Takes in what an instance reported now.
    pub fn report(&self, from: InstanceId, rooms: Vec<ServiceLoad>) {
        let reported = Reported {
            rooms,
            at: Instant::now(),
        };
        self.latest.lock().expect("no panic while locked")[from.index()] = Some(reported);
    }

    /// Returns what an instance last reported of a service; `None` when that is missing or old.
    pub fn room(&self, of: InstanceId, service: ServiceId) -> Option<ServiceLoad> {
        let latest = self.latest.lock().expect("no panic while locked");
        let reported = latest[of.index()].as_ref()?;
        let is_fresh = reported.at.elapsed() < MAX_AGE;
        let mut rooms = reported.rooms.iter().filter(|_| is_fresh);
        rooms.find(|room| room.service == service).copied()
    }

    /// Returns everything that an instance last reported, with its age.
    pub fn all(&self, of: InstanceId) -> Option<(Vec<ServiceLoad>, Duration)> {
        let latest = self.latest.lock().expect("no panic while locked");
        let reported = latest[of.index()].as_ref()?;
        let age = reported.at.elapsed();
        (age < MAX_AGE).then(|| (reported.rooms.clone(), age))
    }
}
