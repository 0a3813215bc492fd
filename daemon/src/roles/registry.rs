use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use laburnumdeal_policy::steer::hash_of;
use tokio::time::Instant;

use crate::roles::{Presence, PresenceState};

/// Silence after which an entry instance is no longer named to callers.
const LIVE_FOR: Duration = Duration::from_millis(1_900);

/// Silence after which an entry instance no longer counts for shares. An instance that is cut off
/// from here may still send, so this is longer than a cut that is expected to heal.
const COUNTED_FOR: Duration = Duration::from_secs(30);

/// Time after the start in which the count of instances may be too low to share by: four presences.
const COUNTING: Duration = Duration::from_millis(2_000);

/// Time after the start in which too few instances have been heard to name any.
const SETTLING: Duration = Duration::from_millis(1_200);

/// Most instances that are named to a caller.
const NAMED: usize = 64;

/// Entry instances that a control instance hears.
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
    heard: Mutex<BTreeMap<String, Heard>>,
}

#[derive(Debug)]
struct Heard {
    presence: Presence,
    at: Instant,
}

impl Registry {
    /// Returns a registry that has heard none.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            heard: Mutex::default(),
        }
    }

    /// Takes in what an instance told of itself; returns whether its state changed.
    pub fn record(&self, presence: Presence, now: Instant) -> bool {
        let mut heard = self.heard.lock().expect("no holder panics");
        let earlier = heard.get(&presence.instance);
        let order = |presence: &Presence| (presence.boot_ms, presence.sequence);
        let is_old =
            |held: &Heard| order(&held.presence) > order(&presence) && now - held.at < LIVE_FOR;
        if earlier.is_some_and(is_old) {
            return false;
        }
        let is_new = earlier
            .is_none_or(|held| held.presence.state != presence.state || now - held.at > LIVE_FOR);
        let held = Heard { presence, at: now };
        heard.insert(held.presence.instance.clone(), held);
        is_new
    }

    /// Returns the addresses to name to a caller: those of its region, its zone first, or others
    /// when the region has none.
    pub fn resolve(&self, region: &str, zone: &str, now: Instant) -> Vec<SocketAddr> {
        if now - self.started_at < SETTLING {
            return Vec::new();
        }
        let heard = self.heard.lock().expect("no holder panics");
        let ready = heard
            .values()
            .filter(|held| held.presence.state == PresenceState::Ready && now - held.at < LIVE_FOR);
        let mut near: Vec<&Presence> = ready.map(|held| &held.presence).collect();
        if near.iter().any(|presence| presence.region == region) {
            near.retain(|presence| presence.region == region);
        }
        near.sort_by_key(|presence| presence.zone != zone);
        let addresses = near.iter().map(|presence| presence.caller_address);
        addresses.take(NAMED).collect()
    }

    /// Returns the names of the instances that count for shares, and a hash of the list; `None` until
    /// all have had time to be heard.
    pub fn roster(&self, now: Instant) -> Option<(u64, Vec<String>)> {
        if now - self.started_at < COUNTING {
            return None;
        }
        let mut heard = self.heard.lock().expect("no holder panics");
        heard.retain(|_, held| now - held.at < COUNTED_FOR);
        let names: Vec<String> = heard.keys().cloned().collect();
        let parts: Vec<&[u8]> = names.iter().map(String::as_bytes).collect();
        Some((hash_of(&parts), names))
    }
}
