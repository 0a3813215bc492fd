use std::time::Duration;

use laburnumdeal_model::{ServiceId, ZoneId};
use tokio::time::Instant;

use crate::{ServiceLoad, ZoneLoad};

/// Age from which a digest counts as unknown.
pub const MAX_ZONE_LOAD_AGE_MS: u64 = 5_000;

/// Latest digest of every availability zone.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{ServiceId, ZoneId};
/// use laburnumdeal_policy::ZoneLoads;
/// use tokio::time::Instant;
///
/// let digests = ZoneLoads::new(2);
/// assert_eq!(digests.service_load(ZoneId(1), ServiceId(0), Instant::now()), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ZoneLoads {
    latest: Vec<Option<Received>>,
}

#[derive(Clone, Debug)]
struct Received {
    digest: ZoneLoad,
    at: Instant,
}

impl Received {
    fn age(&self, now: Instant) -> Duration {
        Duration::from_millis(self.digest.age_ms) + now.saturating_duration_since(self.at)
    }
}

impl ZoneLoads {
    /// Returns a store in which every zone is unknown.
    pub fn new(zones: usize) -> Self {
        Self {
            latest: vec![None; zones],
        }
    }

    /// Takes in a digest. Returns false when a younger one is known or the zone does not exist.
    pub fn receive(&mut self, digest: ZoneLoad, now: Instant) -> bool {
        let Some(latest) = self.latest.get_mut(digest.zone.index()) else {
            return false;
        };
        let received = Received { digest, at: now };
        let is_older = |known: &Received| known.age(now) < received.age(now);
        if latest.as_ref().is_some_and(is_older) {
            return false;
        }
        *latest = Some(received);
        true
    }

    /// Returns the room of a service in a zone; `None` when it is missing or too old.
    pub fn service_load(
        &self,
        zone: ZoneId,
        service: ServiceId,
        now: Instant,
    ) -> Option<ServiceLoad> {
        self.fresh(zone, now)?.service(service)
    }

    /// Returns the digest of a zone; `None` when it is missing or too old.
    pub fn fresh(&self, zone: ZoneId, now: Instant) -> Option<&ZoneLoad> {
        let received = self.latest.get(zone.index())?.as_ref()?;
        let is_fresh = received.age(now) < Duration::from_millis(MAX_ZONE_LOAD_AGE_MS);
        is_fresh.then_some(&received.digest)
    }

    /// Returns the age of a zone's digest, however old it is.
    pub fn age(&self, zone: ZoneId, now: Instant) -> Option<Duration> {
        Some(self.latest.get(zone.index())?.as_ref()?.age(now))
    }
}
