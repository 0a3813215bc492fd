use std::time::Duration;

use laburnumdeal_model::{ServiceId, ZoneId};
use tokio::time::Instant;

use crate::{ServiceLoad, ZoneLoad};

/// Age from which the load of a zone counts as unknown.
pub const MAX_ZONE_LOAD_AGE_MS: u64 = 5_000;

/// Latest reported load of every availability zone.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{ServiceId, ZoneId};
/// use laburnumdeal_policy::ZoneLoads;
/// use tokio::time::Instant;
///
/// let loads = ZoneLoads::new(2);
/// assert_eq!(loads.service_load(ZoneId(1), ServiceId(0), Instant::now()), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ZoneLoads {
    latest: Vec<Option<Received>>,
}

#[derive(Clone, Debug)]
struct Received {
    load: ZoneLoad,
    at: Instant,
}

impl Received {
    fn age(&self, now: Instant) -> Duration {
        Duration::from_millis(self.load.age_ms) + now.saturating_duration_since(self.at)
    }
}

impl ZoneLoads {
    /// Creates a table in which the load of every zone is unknown.
    pub fn new(zones: usize) -> Self {
        Self {
            latest: vec![None; zones],
        }
    }

    /// Records the load of a zone. Returns false when a more recent one is known or the zone does
    /// not exist.
    pub fn receive(&mut self, load: ZoneLoad, now: Instant) -> bool {
        let Some(latest) = self.latest.get_mut(load.zone.index()) else {
            return false;
        };
        let received = Received { load, at: now };
        let is_newer = |known: &Received| known.age(now) < received.age(now);
        if latest.as_ref().is_some_and(is_newer) {
            return false;
        }
        *latest = Some(received);
        true
    }

    /// Returns the load of a service in a zone, or `None` when it is missing or too old.
    pub fn service_load(
        &self,
        zone: ZoneId,
        service: ServiceId,
        now: Instant,
    ) -> Option<ServiceLoad> {
        self.fresh(zone, now)?.service(service)
    }

    /// Returns the load of a zone, or `None` when it is missing or too old.
    pub fn fresh(&self, zone: ZoneId, now: Instant) -> Option<&ZoneLoad> {
        let received = self.latest.get(zone.index())?.as_ref()?;
        let is_fresh = received.age(now) < Duration::from_millis(MAX_ZONE_LOAD_AGE_MS);
        is_fresh.then_some(&received.load)
    }

    /// Returns the age of a zone's load, however old it is.
    pub fn age(&self, zone: ZoneId, now: Instant) -> Option<Duration> {
        Some(self.latest.get(zone.index())?.as_ref()?.age(now))
    }
}
