use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Mutex;
use std::time::Duration;

use laburnumdeal_policy::steer::{CallerSpread, InstanceRecord, hash_of};
use tokio::time::Instant;

use crate::roles::{Announcement, Presence, PresenceState};

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

/// Shortest time between two changes of the spread of callers over regions.
const SPREAD_INTERVAL: Duration = Duration::from_millis(100);

/// Largest part of the requests of one region that may change the region in which they run within
/// 2 s, if it is not set.
const DEFAULT_MAX_REGION_SHIFT: f64 = 1.0;

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
/// let caller = [100, 64, 0, 1].into();
/// assert!(registry.resolve("cairo", "nasr", caller, now).is_empty());
/// ```
#[derive(Debug)]
pub struct Registry {
    started_at: Instant,
    max_region_shift: f64,
    entries: Mutex<BTreeMap<String, RegistryEntry>>,
    spreads: Mutex<RegionSpreads>,
}

/// Spread of the callers of each region over the others.
#[derive(Debug, Default)]
struct RegionSpreads {
    by_region: BTreeMap<String, CallerSpread>,
    updated_at: Option<Instant>,
}

#[derive(Debug)]
struct RegistryEntry {
    presence: Presence,
    link_use_percent: Option<u32>,
    received_at: Instant,
}

impl RegistryEntry {
    fn is_ready(&self, now: Instant) -> bool {
        self.presence.state == PresenceState::Ready && now - self.received_at < LIVE_TIMEOUT
    }
}

impl Registry {
    /// Creates an empty registry of a control instance that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            max_region_shift: DEFAULT_MAX_REGION_SHIFT,
            entries: Mutex::default(),
            spreads: Mutex::default(),
        }
    }

    /// Bounds the part of the requests of one region that may change the region in which they run
    /// within 2 s.
    pub fn with_max_region_shift(mut self, max_region_shift: f64) -> Self {
        self.max_region_shift = max_region_shift;
        self
    }

    /// Records the presence of an instance, unless the recorded one is newer and the instance is
    /// still live. Returns whether the state changed, or the instance was not live before.
    pub fn record(&self, announcement: Announcement, now: Instant) -> bool {
        let Announcement {
            presence,
            link_use_percent,
        } = announcement;
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
            link_use_percent,
            received_at: now,
        };
        entries.insert(entry.presence.instance.clone(), entry);
        has_changed
    }

    /// Returns the addresses of ready instances for a caller: those in its region with its zone
    /// first, or those in other regions if its region has none. While the links of the instances of
    /// its region are busier than those of others, some of these follow; callers choose one of all
    /// addresses at random.
    pub fn resolve(
        &self,
        region: &str,
        zone: &str,
        caller: IpAddr,
        now: Instant,
    ) -> Vec<SocketAddr> {
        if now - self.started_at < RESOLVE_WARM_UP {
            return Vec::new();
        }
        let entries = self.entries.lock().expect("no holder panics");
        let ready = entries.values().filter(|entry| entry.is_ready(now));
        let ready: Vec<&Presence> = ready.map(|entry| &entry.presence).collect();
        let is_own = |presence: &&&Presence| presence.region == region;
        let mut own: Vec<&Presence> = ready.iter().filter(is_own).copied().collect();
        let has_own = !own.is_empty();
        if !has_own {
            own.clone_from(&ready);
        }
        own.sort_by_key(|presence| presence.zone != zone);
        let parts = match has_own {
            true => self.parts_away(region, &entries, now),
            false => Vec::new(),
        };
        let stay: f64 = 1.0 - parts.iter().map(|(_, part)| part).sum::<f64>();
        own.truncate(((MAX_ADDRESSES as f64 * stay).round() as usize).max(1));
        let per_part = own.len() as f64 / stay;
        for (other, part) in parts {
            own.extend(spread_over(&ready, &other, per_part * part, caller));
        }
        let addresses = own.iter().map(|presence| presence.caller_address);
        addresses.take(MAX_ADDRESSES).collect()
    }

    /// Returns the part of the callers of all regions that are sent to others, by their region.
    pub fn spread(&self) -> Vec<(String, f64)> {
        let spreads = self.spreads.lock().expect("no holder panics");
        let totals = spreads.by_region.iter();
        totals
            .map(|(region, spread)| (region.clone(), spread.total()))
            .collect()
    }

    /// Returns the other regions that callers of a region are sent to, with the part of them.
    fn parts_away(
        &self,
        region: &str,
        entries: &BTreeMap<String, RegistryEntry>,
        now: Instant,
    ) -> Vec<(String, f64)> {
        let mut spreads = self.spreads.lock().expect("no holder panics");
        let is_due = spreads
            .updated_at
            .is_none_or(|at| now.saturating_duration_since(at) >= SPREAD_INTERVAL);
        if is_due {
            spreads.updated_at = Some(now);
            let uses = uses_by_region(entries, now);
            for own in uses.keys() {
                let spread = spreads.by_region.entry(own.clone());
                spread
                    .or_insert_with(|| CallerSpread::new(self.max_region_shift))
                    .update(own, &uses, now);
            }
        }
        let Some(spread) = spreads.by_region.get(region) else {
            return Vec::new();
        };
        let parts = spread.parts().filter(|(_, part)| *part > 0.0);
        parts
            .map(|(other, part)| (other.to_owned(), part))
            .collect()
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

/// Returns the mean use of the links of the ready instances that tell it, by region.
fn uses_by_region(
    entries: &BTreeMap<String, RegistryEntry>,
    now: Instant,
) -> BTreeMap<String, f64> {
    let mut sums: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    for entry in entries.values().filter(|entry| entry.is_ready(now)) {
        let Some(percent) = entry.link_use_percent else {
            continue;
        };
        let sum = sums.entry(entry.presence.region.clone()).or_default();
        sum.0 += f64::from(percent) / 100.0;
        sum.1 += 1.0;
    }
    let means = sums.into_iter();
    means
        .map(|(region, (sum, count))| (region, sum / count))
        .collect()
}

/// Returns `count` instances of a region. Each caller gets others, and mostly the same ones as
/// before, so that its connections stay in use.
fn spread_over<'a>(
    ready: &[&'a Presence],
    region: &str,
    count: f64,
    caller: IpAddr,
) -> Vec<&'a Presence> {
    let caller = caller.to_string();
    let order = |presence: &&Presence| hash_of(&[caller.as_bytes(), presence.instance.as_bytes()]);
    let is_there = |presence: &&&Presence| presence.region == region;
    let mut others: Vec<&Presence> = ready.iter().filter(is_there).copied().collect();
    others.sort_by_key(order);
    // The caller decides how a part of an instance is rounded, so that the parts add up over callers.
    let rounding = (hash_of(&[caller.as_bytes()]) >> 11) as f64 / (1_u64 << 53) as f64;
    others.truncate((count + rounding) as usize);
    others
}
