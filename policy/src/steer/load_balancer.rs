use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use laburnumdeal_model::Items;
use tokio::time::Instant;

use crate::steer::upstream_entry::UpstreamEntry;
use crate::steer::{
    Decision, RouteLatency, ServiceLatency, SharedLoad, SharedObject, SharedReport, UpstreamLoad,
    UpstreamRecord,
};

/// Bound on requests to a cold upstream whose service is not known, per second.
const COLD_PER_S: f64 = 10.0;

/// Time that an upstream stays cold when its service does not say.
const WARM_UP: Duration = Duration::from_millis(3_000);

/// Extra time for which an upstream counts as cold, because its start is learnt late.
const WARM_UP_SLACK: Duration = Duration::from_millis(700);

/// Objects that wait to be told at most; one beyond is told when it is handled again later.
const MAX_UNREPORTED_OBJECTS: usize = 1_024;

/// Key of an upstream in an [`LoadBalancer`]; it stays valid when the upstream goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// What does not change while the process runs.
#[derive(Clone, Debug)]
pub struct LoadBalancerSettings {
    /// Name of this instance.
    pub instance: String,
    /// Region of this instance.
    pub region: String,
    /// Region of each availability zone.
    pub zone_regions: HashMap<String, String>,
    /// Factor by which requests to a cold upstream may exceed what it tolerates.
    pub cold_overshoot: f64,
    /// Requests a second by which they may exceed it beside that.
    pub cold_slack: f64,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream answered.
    Answered {
        /// Time from the start of the attempt.
        took_ms: f64,
        /// Whether the answer tells of a failure of the upstream.
        failed: bool,
    },
    /// The upstream refused the request for want of room.
    Shed,
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The connection broke, or what came was no answer to the request.
    Broken,
    /// Nothing came in time.
    TimedOut,
    /// The caller left first.
    Cancelled,
    /// Another upstream answers at the address; nothing ran.
    WrongUpstream,
}

/// Everything that an instance knows about upstreams. Entries are never reused, so keys that a
/// request holds stay valid.
#[derive(Debug)]
pub struct LoadBalancer {
    pub(super) settings: LoadBalancerSettings,
    entries: Vec<UpstreamEntry>,
    by_id: HashMap<String, UpstreamKey>,
    by_hash: HashMap<u64, UpstreamKey>,
    pub(super) by_service: HashMap<String, Vec<UpstreamKey>>,
    pub(super) service_latencies: HashMap<String, ServiceLatency>,
    pub(super) route_latencies: HashMap<String, RouteLatency>,
    warm_up: HashMap<String, (Duration, f64)>,
    pub(super) evacuated: BTreeSet<String>,
    /// Instances that may send to upstreams; empty until they are known.
    pub(super) instances: Vec<String>,
    unreported_objects: Vec<SharedObject>,
}

impl LoadBalancer {
    /// Returns a book without upstreams.
    pub fn new(settings: LoadBalancerSettings) -> Self {
        Self {
            settings,
            entries: Vec::new(),
            by_id: HashMap::new(),
            by_hash: HashMap::new(),
            by_service: HashMap::new(),
            service_latencies: HashMap::new(),
            route_latencies: HashMap::new(),
            warm_up: HashMap::new(),
            evacuated: BTreeSet::new(),
            instances: Vec::new(),
            unreported_objects: Vec::new(),
        }
    }

    /// Takes over a list of upstreams. One that is missing takes no more work.
    pub fn update_upstreams(&mut self, records: &[UpstreamRecord], now: Instant) {
        let mut listed = vec![false; self.entries.len()];
        for record in records {
            let known = self.by_id.get(&record.id).copied();
            let known = known.filter(|key| self.entry(*key).is_same(record));
            let key = known.unwrap_or_else(|| self.add(record));
            if key.0 as usize >= listed.len() {
                listed.resize(self.entries.len(), false);
            }
            listed[key.0 as usize] = true;
            self.entry_mut(key).listed(record, now);
        }
        for (entry, listed) in self.entries.iter_mut().zip(listed) {
            entry.present = listed;
        }
        let entries = &self.entries;
        for keys in self.by_service.values_mut() {
            keys.retain(|key| entries[key.0 as usize].present);
        }
        for record in records {
            let Some(key) = self.by_id.get(&record.id).copied() else {
                continue;
            };
            let keys = self.by_service.entry(record.service.clone()).or_default();
            if !keys.contains(&key) {
                keys.push(key);
            }
        }
    }

    /// Takes over the services and routes in force.
    pub fn update_items(&mut self, items: &Items) {
        for (_, _, route) in items.routes() {
            let target = Duration::from_millis(route.target_latency_ms);
            for (service, _) in &route.services {
                let latency = self.service_latencies.entry(service.clone());
                latency.or_insert_with(|| ServiceLatency::new(target));
            }
        }
        self.warm_up = items
            .services()
            .map(|(name, service)| {
                let period = Duration::from_millis(service.warm_up_ms);
                let per_s = service.warm_up_milli_per_s as f64 / 1_000.0;
                (name.to_owned(), (period, per_s))
            })
            .collect();
    }

    /// Takes over the evacuated availability zones. Upstreams that come back may be cold.
    pub fn update_evacuated_zones(&mut self, zones: BTreeSet<String>, now: Instant) {
        let back = self.evacuated.difference(&zones);
        let back: BTreeSet<String> = back.cloned().collect();
        self.evacuated = zones;
        for index in 0..self.entries.len() {
            if back.contains(&self.entries[index].record.zone) {
                let until = now + self.warm_up_of(&self.entries[index].record.service).0;
                self.entries[index].cold_until(until + WARM_UP_SLACK);
            }
        }
    }

    /// Takes over the names of the instances that may send to upstreams.
    pub fn update_instances(&mut self, mut names: Vec<String>) {
        if !names.contains(&self.settings.instance) {
            names.push(self.settings.instance.clone());
        }
        names.sort();
        self.instances = names;
    }

    /// Returns the number of instances that may send to upstreams, as far as it is known.
    pub fn instance_count(&self) -> usize {
        self.instances.len().max(1)
    }

    /// Returns an upstream's identity and address.
    pub fn endpoint(&self, key: UpstreamKey) -> (&str, SocketAddr) {
        let record = &self.entry(key).record;
        (&record.id, record.address)
    }

    /// Returns the keys of upstreams that have left the list.
    pub fn removed(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        let entries = self.entries.iter().enumerate();
        let gone = entries.filter(|(_, entry)| !entry.present);
        gone.map(|(index, _)| UpstreamKey(index as u32))
    }

    /// Counts a request that is about to be sent.
    pub fn begin_attempt(&mut self, decision: &Decision, now: Instant) {
        let is_cold = self.entry(decision.upstream).is_cold(now);
        let entry = self.entry_mut(decision.upstream);
        entry.begin(now);
        if is_cold {
            entry.cold_start_limiter.record(now);
        }
    }

    /// Takes in the load that an upstream told.
    pub fn record_load(&mut self, key: UpstreamKey, load: UpstreamLoad, now: Instant) {
        self.entry_mut(key).load.record_report(load, now);
    }

    /// Returns what upstreams told this instance since a time, and the objects that they handled
    /// since the last call, for other instances.
    pub fn take_report(&mut self, since: Instant, now: Instant) -> SharedReport {
        let listed = self.entries.iter().filter(|entry| entry.present);
        let load = |entry: &UpstreamEntry| {
            let (requests, at) = entry.load.direct_report()?;
            (at >= since).then(|| SharedLoad {
                upstream: entry.id_hash,
                requests,
                age_ms: (now - at).as_millis() as u32,
            })
        };
        SharedReport {
            loads: listed.filter_map(load).collect(),
            objects: std::mem::take(&mut self.unreported_objects),
        }
    }

    /// Takes in what upstreams told other instances.
    pub fn merge_report(&mut self, report: &SharedReport, now: Instant) {
        for load in &report.loads {
            let age = Duration::from_millis(u64::from(load.age_ms));
            let known = self.by_hash.get(&load.upstream).copied();
            if let (Some(key), Some(at)) = (known, now.checked_sub(age)) {
                let entry = self.entry_mut(key);
                entry.load.record_shared_report(load.requests, at, now);
            }
        }
        for shared in &report.objects {
            if let Some(key) = self.by_hash.get(&shared.upstream).copied() {
                self.entry_mut(key)
                    .cached_objects
                    .record_shared(shared.object, now);
            }
        }
    }

    /// Counts the end of a request that came by a route.
    pub fn end_attempt(
        &mut self,
        decision: &Decision,
        route: &str,
        object: u64,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let key = decision.upstream;
        let warm_up = self.warm_up_of(&self.entry(key).record.service).0 + WARM_UP_SLACK;
        let entry = self.entry_mut(key);
        let should_report = entry.end(object, decision, outcome, warm_up, now);
        let upstream = entry.id_hash;
        let service = entry.record.service.clone();
        if should_report && self.unreported_objects.len() < MAX_UNREPORTED_OBJECTS {
            self.unreported_objects
                .push(SharedObject { upstream, object });
        }
        let AttemptOutcome::Answered {
            took_ms,
            failed: false,
        } = outcome
        else {
            return;
        };
        match self.route_latencies.get_mut(route) {
            Some(latency) => latency.record(took_ms),
            None => {
                let mut latency = RouteLatency::default();
                latency.record(took_ms);
                self.route_latencies.insert(route.to_owned(), latency);
            }
        }
        if decision.queue_ms <= 0.0
            && let Some(latency) = self.service_latencies.get_mut(&service)
        {
            latency.record(decision.expects_cache_hit, took_ms);
        }
    }

    fn add(&mut self, record: &UpstreamRecord) -> UpstreamKey {
        let key = UpstreamKey(self.entries.len() as u32);
        let entry = UpstreamEntry::new(record.clone());
        self.by_hash.insert(entry.id_hash, key);
        self.entries.push(entry);
        self.by_id.insert(record.id.clone(), key);
        key
    }

    pub(super) fn entry(&self, key: UpstreamKey) -> &UpstreamEntry {
        &self.entries[key.0 as usize]
    }

    fn entry_mut(&mut self, key: UpstreamKey) -> &mut UpstreamEntry {
        &mut self.entries[key.0 as usize]
    }

    pub(super) fn region_of(&self, zone: &str) -> &str {
        self.settings
            .zone_regions
            .get(zone)
            .map_or("", String::as_str)
    }

    pub(super) fn warm_up_of(&self, service: &str) -> (Duration, f64) {
        let configured = self.warm_up.get(service).copied();
        configured.unwrap_or((WARM_UP, COLD_PER_S))
    }
}

/// Returns a hash of several texts that is equal on all instances.
pub fn hash_of(parts: &[&[u8]]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    for part in parts {
        hasher.write(part);
        hasher.write_u8(0xff);
    }
    hasher.finish()
}
