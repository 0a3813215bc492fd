use std::time::Duration;

use laburnumdeal_model::{ServiceId, ZoneId};
use tokio::time::Instant;

use crate::{ServiceRoom, ZoneDigest};

/// Age from which a digest counts as unknown.
pub const MAX_DIGEST_AGE_MS: u64 = 5_000;

/// Latest digest of every availability zone.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{ServiceId, ZoneId};
/// use laburnumdeal_policy::ZoneDigests;
/// use tokio::time::Instant;
///
/// let digests = ZoneDigests::new(2);
/// assert_eq!(digests.room(ZoneId(1), ServiceId(0), Instant::now()), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ZoneDigests {
    latest: Vec<Option<Received>>,
}

#[derive(Clone, Debug)]
struct Received {
    digest: ZoneDigest,
    at: Instant,
}

impl Received {
    fn age(&self, now: Instant) -> Duration {
        Duration::from_millis(self.digest.age_ms) + now.saturating_duration_since(self.at)
    }
}

impl ZoneDigests {
    /// Returns a store in which every zone is unknown.
    pub fn new(zones: usize) -> Self {
        Self {
            latest: vec![None; zones],
        }
    }

    /// Takes in a digest. Returns false when a younger one is known or the zone does not exist.
    pub fn receive(&mut self, digest: ZoneDigest, now: Instant) -> bool {
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
    pub fn room(&self, zone: ZoneId, service: ServiceId, now: Instant) -> Option<ServiceRoom> {
        self.fresh(zone, now)?.room(service)
    }

    /// Returns the digest of a zone; `None` when it is missing or too old.
    pub fn fresh(&self, zone: ZoneId, now: Instant) -> Option<&ZoneDigest> {
        let received = self.latest.get(zone.index())?.as_ref()?;
        let is_fresh = received.age(now) < Duration::from_millis(MAX_DIGEST_AGE_MS);
        is_fresh.then_some(&received.digest)
    }

    /// Returns the age of a zone's digest, however old it is.
    pub fn age(&self, zone: ZoneId, now: Instant) -> Option<Duration> {
        Some(self.latest.get(zone.index())?.as_ref()?.age(now))
    }
}
