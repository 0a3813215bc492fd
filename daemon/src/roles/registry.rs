use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use laburnumdeal_policy::steer::{InstanceRecord, hash_of};
use tokio::time::Instant;

use crate::roles::{Presence, PresenceState};

/// Time without a presence datagram after which callers are no longer sent to an entry instance.
const LIVE_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Time without a presence datagram after which an entry instance leaves the roster, whose size
/// sets the shares in system-wide limits. An instance that is partitioned from this one may still
/// send requests to upstreams, so this is longer than a partition is expected to last.
const ROSTER_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the start for which the roster may be incomplete, so that shares of it would be too
/// large: four presence intervals.
const ROSTER_WARM_UP: Duration = Duration::from_millis(2_000);

/// Time after the start for which too few instances have announced themselves to send callers to
/// them.
const RESOLVE_WARM_UP: Duration = Duration::from_millis(1_200);

/// Limit on the addresses returned to a caller.
const MAX_ADDRESSES: usize = 64;

/// Entry instances that announce themselves to a control instance.
///
/// # Examples
///
/// ```
/// use laburnumdeal_daemon::roles::Registry;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let registry = Registry::new(now);
/// assert!(registry.resolve("cairo", "nasr", now).is_empty());
/// ```
#[derive(Debug)]
pub struct Registry {
    started_at: Instant,
    entries: Mutex<BTreeMap<String, RegistryEntry>>,
}

#[derive(Debug)]
struct RegistryEntry {
    presence: Presence,
    received_at: Instant,
}

impl Registry {
    /// Creates an empty registry of a control instance that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            entries: Mutex::default(),
        }
    }

    /// Records the presence of an instance, unless the recorded one is newer and the instance is
    /// still live. Returns whether the state changed, or the instance was not live before.
    pub fn record(&self, presence: Presence, now: Instant) -> bool {
        let mut entries = self.entries.lock().expect("no holder panics");
        let earlier = entries.get(&presence.instance);
        let order = |presence: &Presence| (presence.boot_ms, presence.sequence);
        let is_newer = |entry: &RegistryEntry| {
            order(&entry.presence) > order(&presence) && now - entry.received_at < LIVE_TIMEOUT
        };
        if earlier.is_some_and(is_newer) {
            return false;
        }
        let has_changed = earlier.is_none_or(|entry| {
            entry.presence.state != presence.state || now - entry.received_at > LIVE_TIMEOUT
        });
        let entry = RegistryEntry {
            presence,
            received_at: now,
        };
        entries.insert(entry.presence.instance.clone(), entry);
        has_changed
    }

    /// Returns the addresses of ready instances for a caller: those in its region with its zone
    /// first, or those in other regions if its region has none.
    pub fn resolve(&self, region: &str, zone: &str, now: Instant) -> Vec<SocketAddr> {
        if now - self.started_at < RESOLVE_WARM_UP {
            return Vec::new();
        }
        let entries = self.entries.lock().expect("no holder panics");
        let ready = entries.values().filter(|entry| {
            entry.presence.state == PresenceState::Ready && now - entry.received_at < LIVE_TIMEOUT
        });
        let mut nearest: Vec<&Presence> = ready.map(|entry| &entry.presence).collect();
        if nearest.iter().any(|presence| presence.region == region) {
            nearest.retain(|presence| presence.region == region);
        }
        nearest.sort_by_key(|presence| presence.zone != zone);
        let addresses = nearest.iter().map(|presence| presence.caller_address);
        addresses.take(MAX_ADDRESSES).collect()
    }

    /// Returns the names of all instances that announced themselves within a time, or `None` until
    /// all have had time to announce themselves.
    pub fn known_names(&self, within: Duration, now: Instant) -> Option<Vec<String>> {
        if now - self.started_at < ROSTER_WARM_UP {
            return None;
        }
        let entries = self.entries.lock().expect("no holder panics");
        let known = entries
            .iter()
            .filter(|(_, entry)| now - entry.received_at < within);
        Some(known.map(|(name, _)| name.clone()).collect())
    }

    /// Returns the roster: a hash of the names and addresses of the entry instances, and the instances. Returns
    /// `None` until all have had time to announce themselves.
    pub fn roster(&self, now: Instant) -> Option<(u64, Vec<InstanceRecord>)> {
        if now - self.started_at < ROSTER_WARM_UP {
            return None;
        }
        let mut entries = self.entries.lock().expect("no holder panics");
        entries.retain(|_, entry| now - entry.received_at < ROSTER_TIMEOUT);
        let parts = entries.iter().map(|(name, entry)| {
            let address = entry.presence.caller_address.ip();
            format!("{name} {address}")
        });
        let parts: Vec<String> = parts.collect();
        let parts: Vec<&[u8]> = parts.iter().map(String::as_bytes).collect();
        let hash = hash_of(&parts);
        let record = |(name, entry): (&String, &RegistryEntry)| InstanceRecord {
            name: name.clone(),
            region: entry.presence.region.clone(),
            address: Some(entry.presence.caller_address.ip()),
        };
        Some((hash, entries.iter().map(record).collect()))
    }
}
