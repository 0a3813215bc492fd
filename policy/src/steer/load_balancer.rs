use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use laburnumdeal_model::Items;
use rand::Rng;
use rand::seq::SliceRandom;
use tokio::time::Instant;

use crate::steer::upstream_entry::UpstreamEntry;
use crate::steer::{
    Decision, InstanceRecord, LimitNotice, LoadCurve, RegionRoom, RegionShares, RouteLatency,
    ServiceLatency, ServiceReach, SharedLimit, SharedLoad, SharedObject, SharedReport,
    UpstreamLimit, UpstreamLoad, UpstreamRecord, UsualTime, WaitNotice,
};

/// Requests per second that a cold upstream tolerates, if the configuration does not name its
/// service.
const DEFAULT_WARM_UP_PER_S: f64 = 10.0;

/// Time that an upstream takes to warm up, if the configuration does not name its service.
const DEFAULT_WARM_UP: Duration = Duration::from_millis(3_000);

/// Extra time for which an upstream counts as cold, because instances learn of its start with a
/// delay.
const WARM_UP_SLACK: Duration = Duration::from_millis(700);

/// Fewest other upstreams of a zone that tell whether one of it failed alone.
const MIN_NEIGHBORS: usize = 2;

/// Most cached objects that wait for the next report. An object beyond them is reported when it is
/// handled again later.
const MAX_UNREPORTED_OBJECTS: usize = 1_024;

/// Key of an upstream in a [`LoadBalancer`]; it stays valid after the upstream has left the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// Key of a region in a [`LoadBalancer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RegionKey(pub u16);

/// Key of a service in a [`LoadBalancer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct ServiceKey(pub u16);

/// Settings of a [`LoadBalancer`], which stay the same while the process runs.
#[derive(Clone, Debug)]
pub struct LoadBalancerSettings {
    /// Name of this instance.
    pub instance: String,
    /// Region of this instance.
    pub region: String,
    /// Region of each availability zone.
    pub zone_regions: HashMap<String, String>,
    /// Factor on the requests per second that a cold upstream tolerates, by which all instances
    /// together may exceed them.
    pub cold_overshoot: f64,
    /// Requests per second that are allowed on top of that.
    pub cold_slack: f64,
    /// Largest part of the requests of one region that may change the region in which they run from
    /// one window of 2 s to the next; 1 for no bound.
    pub max_region_shift: f64,
    /// Whether objects are placed by the room of upstreams and regions.
    pub places_by_room: bool,
    /// Whether the load that upstreams take well is learned from their answers.
    pub learns_capacity: bool,
    /// Whether the speed of upstreams is learned together with other instances, and slow ones are
    /// passed over.
    pub shares_speed: bool,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream answered.
    Answered {
        /// Time since the start of the attempt, in milliseconds.
        took_ms: f64,
        /// Whether the answer reports a server error.
        failed: bool,
    },
    /// The upstream rejected the request because it was overloaded.
    Shed,
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The connection broke, or the response belonged to another request.
    Broken,
    /// The answer did not arrive in time.
    TimedOut,
    /// The attempt was given up before its outcome was known, for example by its caller.
    Cancelled,
    /// Another upstream answered at the address, without running the request.
    WrongUpstream,
}

/// What tells the entries of upstreams apart. An ID that is listed with another address or service
/// has an entry of its own, also while the list has both.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Endpoint {
    id: String,
    address: SocketAddr,
    service: String,
}

impl Endpoint {
    fn of(record: &UpstreamRecord) -> Self {
        Self {
            id: record.id.clone(),
            address: record.address,
            service: record.service.clone(),
        }
    }
}

/// Tracks the state of all upstreams and chooses one for each request. Entries are never reused, so
/// that keys held by requests stay valid.
#[derive(Debug)]
pub struct LoadBalancer {
    pub(super) settings: LoadBalancerSettings,
    entries: Vec<UpstreamEntry>,
    by_endpoint: HashMap<Endpoint, UpstreamKey>,
    by_hash: HashMap<u64, UpstreamKey>,
    pub(super) by_service: HashMap<String, Vec<UpstreamKey>>,
    pub(super) service_latencies: HashMap<String, ServiceLatency>,
    pub(super) route_latencies: HashMap<String, RouteLatency>,
    /// Time that an upstream takes to warm up, and requests per second that it tolerates while
    /// cold, by service.
    warm_ups: HashMap<String, (Duration, f64)>,
    /// Availability zones whose upstreams get no requests, because a drain moves all of their
    /// traffic in one step.
    pub(super) evacuated_zones: BTreeSet<String>,
    /// Instances that may send requests to upstreams; empty until they are known.
    pub(super) instances: Vec<InstanceRecord>,
    unreported_objects: Vec<SharedObject>,
    /// Names of the regions; the first one has no name and holds unknown zones.
    pub(super) regions: Vec<String>,
    pub(super) own_region: RegionKey,
    /// Keys of all services that upstreams were listed for.
    pub(super) service_keys: HashMap<String, ServiceKey>,
    /// Shares of the regions, by the key of the service.
    pub(super) region_shares: Vec<RegionShares>,
    pub(super) region_shares_at: Option<Instant>,
    /// Times of answers while more of the slots are in use, by service and route.
    load_curves: HashMap<String, HashMap<String, LoadCurve>>,
    /// Factors on the weights of regions by their room, by the key of the service.
    pub(super) region_rooms: Vec<Vec<RegionRoom>>,
    /// Usual times of answers, by the key of the service.
    pub(super) usual_times: Vec<UsualTime>,
    /// Number of upstreams that are slow against their service, by its key.
    pub(super) slow_counts: Vec<usize>,
    pub(super) speeds_compared_at: Option<Instant>,
}

impl LoadBalancer {
    /// Returns a load balancer without upstreams.
    pub fn new(settings: LoadBalancerSettings) -> Self {
        let mut regions: Vec<String> = settings.zone_regions.values().cloned().collect();
        regions.extend([String::new(), settings.region.clone()]);
        regions.sort();
        regions.dedup();
        let own_region = region_key(&regions, &settings.region);
        Self {
            settings,
            regions,
            own_region,
            service_keys: HashMap::new(),
            region_shares: Vec::new(),
            region_shares_at: None,
            load_curves: HashMap::new(),
            region_rooms: Vec::new(),
            usual_times: Vec::new(),
            slow_counts: Vec::new(),
            speeds_compared_at: None,
            entries: Vec::new(),
            by_endpoint: HashMap::new(),
            by_hash: HashMap::new(),
            by_service: HashMap::new(),
            service_latencies: HashMap::new(),
            route_latencies: HashMap::new(),
            warm_ups: HashMap::new(),
            evacuated_zones: BTreeSet::new(),
            instances: Vec::new(),
            unreported_objects: Vec::new(),
        }
    }

    /// Replaces the list of upstreams. One that is missing from it gets no more requests.
    pub fn update_upstreams(&mut self, records: &[UpstreamRecord], now: Instant) {
        let mut listed = vec![false; self.entries.len()];
        for record in records {
            let known = self.by_endpoint.get(&Endpoint::of(record)).copied();
            let key = known.unwrap_or_else(|| self.add(record));
            if key.0 as usize >= listed.len() {
                listed.resize(self.entries.len(), false);
            }
            listed[key.0 as usize] = true;
            self.entry_mut(key).update_record(record, now);
        }
        for (entry, listed) in self.entries.iter_mut().zip(listed) {
            entry.is_listed = listed;
        }
        let entries = &self.entries;
        for keys in self.by_service.values_mut() {
            keys.retain(|key| entries[key.0 as usize].is_listed);
        }
        for record in records {
            let Some(key) = self.by_endpoint.get(&Endpoint::of(record)).copied() else {
                continue;
            };
            let keys = self.by_service.entry(record.service.clone()).or_default();
            if !keys.contains(&key) {
                keys.push(key);
            }
        }
        self.update_region_shares(now);
    }

    /// Applies the routes and services of the configuration in force.
    pub fn update_items(&mut self, items: &Items) {
        for (_, _, route) in items.routes() {
            let target_latency = Duration::from_millis(route.target_latency_ms);
            for (service, _) in &route.services {
                let latency = self.service_latencies.entry(service.clone());
                latency.or_insert_with(|| ServiceLatency::new(target_latency));
            }
        }
        let is_route = |name: &String| items.routes().any(|(known, _, _)| known == name);
        for curves in self.load_curves.values_mut() {
            curves.retain(|name, _| is_route(name));
        }
        self.warm_ups = items
            .services()
            .map(|(name, service)| {
                let period = Duration::from_millis(service.warm_up_ms);
                let per_s = service.warm_up_milli_per_s as f64 / 1_000.0;
                (name.to_owned(), (period, per_s))
            })
            .collect();
    }

    /// Replaces the evacuated availability zones. Upstreams of a zone that is no longer evacuated
    /// may be cold, so they count as cold for their warm-up period.
    pub fn update_evacuated_zones(&mut self, zones: BTreeSet<String>, now: Instant) {
        let returned = self.evacuated_zones.difference(&zones);
        let returned: BTreeSet<String> = returned.cloned().collect();
        self.evacuated_zones = zones;
        for index in 0..self.entries.len() {
            if returned.contains(&self.entries[index].record.zone) {
                let until = now + self.warm_up_of(&self.entries[index].record.service).0;
                self.entries[index].mark_cold_until(until + WARM_UP_SLACK);
            }
        }
        self.update_region_shares(now);
    }

    /// Replaces the instances that may send requests to upstreams, and adds this one.
    pub fn update_instances(&mut self, mut instances: Vec<InstanceRecord>) {
        let own = InstanceRecord {
            name: self.settings.instance.clone(),
            region: self.settings.region.clone(),
            address: None,
        };
        if !instances.iter().any(|known| known.name == own.name) {
            instances.push(own);
        }
        instances.sort();
        self.instances = instances;
    }

    /// Returns the number of instances that may send requests to upstreams; 1 until they are known.
    pub fn instance_count(&self) -> usize {
        self.instances.len().max(1)
    }

    /// Returns the identity and the address of an upstream.
    pub fn endpoint(&self, key: UpstreamKey) -> (&str, SocketAddr) {
        let record = &self.entry(key).record;
        (&record.id, record.address)
    }

    /// Returns the region of an upstream.
    pub fn region(&self, key: UpstreamKey) -> &str {
        self.region_name(self.entry(key).region)
    }

    /// Returns the service of an upstream.
    pub fn service(&self, key: UpstreamKey) -> &str {
        &self.entry(key).record.service
    }

    /// Returns whether the last load that an upstream reported to this instance names the pace of its
    /// machine.
    pub fn names_pace(&self, key: UpstreamKey) -> bool {
        self.entry(key).load.names_pace()
    }

    /// Returns whether an upstream may be asked for its status: it stays and is warm, wants requests,
    /// and has named no limit, against which a check might count.
    pub fn takes_checks(&self, key: UpstreamKey, now: Instant) -> bool {
        let entry = self.entry(key);
        let is_free = entry.wait.left(now).is_zero() && entry.limit.is_none();
        !self.is_withdrawn(key) && !entry.is_cold(now) && is_free
    }

    /// Returns when an upstream last answered this instance.
    pub fn answered_at(&self, key: UpstreamKey) -> Option<Instant> {
        self.entry(key).answered_at
    }

    /// Returns whether an upstream has left the list without notice.
    pub fn left_unannounced(&self, key: UpstreamKey) -> bool {
        let entry = self.entry(key);
        !entry.is_listed && !entry.is_leaving()
    }

    /// Returns whether an upstream must get no further request: it left or leaves, or its availability
    /// zone is evacuated.
    pub fn is_withdrawn(&self, key: UpstreamKey) -> bool {
        let entry = self.entry(key);
        let is_evacuated = self.evacuated_zones.contains(&entry.record.zone);
        !entry.is_in_service() || is_evacuated
    }

    /// Returns how many upstreams of a service are listed, and how many of them get no requests.
    pub fn service_reach(&self, service: &str, now: Instant) -> ServiceReach {
        let keys = self.by_service.get(service).map_or(&[][..], |keys| keys);
        let entries = keys.iter().map(|key| self.entry(*key));
        let listed = entries.filter(|entry| entry.is_in_service());
        let mut reach = ServiceReach::default();
        for entry in listed {
            reach.listed += 1;
            reach.avoided += usize::from(!entry.accepts_requests(now));
            reach.waiting += usize::from(!entry.wait.left(now).is_zero());
            reach.unreached += usize::from(entry.is_unreached());
        }
        reach
    }

    /// Records that this instance was partitioned from all upstreams until now, which is why they
    /// could not be connected to.
    pub fn end_partition(&mut self) {
        self.entries
            .iter_mut()
            .for_each(UpstreamEntry::forget_connect_failures);
    }

    /// Returns all listed upstreams in random order.
    pub fn sample(&self, rng: &mut impl Rng) -> Vec<UpstreamKey> {
        let entries = self.entries.iter().enumerate();
        let listed = entries.filter(|(_, entry)| entry.is_listed);
        let mut keys: Vec<_> = listed.map(|(index, _)| UpstreamKey(index as u32)).collect();
        keys.shuffle(rng);
        keys
    }

    /// Returns the other listed upstreams in the availability zone of one, in random order; all
    /// others if its zone has fewer than two.
    pub fn neighbors(&self, key: UpstreamKey, rng: &mut impl Rng) -> Vec<UpstreamKey> {
        let mut others = self.sample(rng);
        others.retain(|other| *other != key);
        let zone = &self.entry(key).record.zone;
        let is_near = |other: &UpstreamKey| self.entry(*other).record.zone == *zone;
        if others.iter().filter(|other| is_near(other)).count() >= MIN_NEIGHBORS {
            others.retain(is_near);
        }
        others
    }

    /// Returns the keys of upstreams that have left the list.
    pub fn removed(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        let entries = self.entries.iter().enumerate();
        let removed = entries.filter(|(_, entry)| !entry.is_listed);
        removed.map(|(index, _)| UpstreamKey(index as u32))
    }

    /// Records the start of an attempt, before the request is sent.
    pub fn begin_attempt(&mut self, decision: &Decision, now: Instant) {
        self.update_region_shares_if_due(now);
        self.compare_speeds_if_due(now);
        self.begin_speed(decision, now);
        let entry = self.entry(decision.upstream);
        let (is_cold, service) = (entry.is_cold(now), entry.service);
        self.region_shares[service.0 as usize].record_request(now);
        let entry = self.entry_mut(decision.upstream);
        entry.begin_attempt(now);
        if is_cold {
            entry.cold_window.record(now);
        }
    }

    /// Records the load that an upstream reported in an answer.
    pub fn record_load(&mut self, key: UpstreamKey, load: UpstreamLoad, now: Instant) {
        self.entry_mut(key).load.record_report(load, now);
    }

    /// Records what an answer says of the requests that the upstream takes. Returns whether the
    /// limit started, changed or ended.
    pub fn record_limit(&mut self, key: UpstreamKey, notice: LimitNotice, now: Instant) -> bool {
        let per_s = match notice {
            LimitNotice::Unlimited => None,
            LimitNotice::PerSecond(per_s) => Some(per_s),
            LimitNotice::Unreadable => return false,
        };
        let before = self.limit_per_s(key);
        self.entry_mut(key).record_limit(per_s, now);
        before != per_s
    }

    /// Returns the limit that an upstream has named, in requests per second.
    pub fn limit_per_s(&self, key: UpstreamKey) -> Option<f64> {
        self.entry(key).limit.as_ref().map(UpstreamLimit::per_s)
    }

    /// Returns the number of listed upstreams that have named a limit.
    pub fn limited_upstreams(&self) -> usize {
        let listed = self.entries.iter().filter(|entry| entry.is_listed);
        listed.filter(|entry| entry.limit.is_some()).count()
    }

    /// Records what an answer says of the time for which the upstream wants no requests from this
    /// instance.
    pub fn record_wait(&mut self, key: UpstreamKey, notice: WaitNotice, now: Instant) {
        if let WaitNotice::For(time) = notice {
            self.entry_mut(key).wait.extend(time, now);
        }
    }

    /// Records that an answer announced that the upstream leaves; returns whether it was not known.
    /// That holds until the list shows that the upstream has returned.
    pub fn record_leaving(&mut self, key: UpstreamKey) -> bool {
        self.entry_mut(key).announce_leaving()
    }

    /// Returns the time for which an upstream still wants no requests from this instance.
    pub fn wait_left(&self, key: UpstreamKey, now: Instant) -> Duration {
        self.entry(key).wait.left(now)
    }

    /// Returns a report for other instances: the limits and loads that upstreams reported to this instance
    /// since a time, and the cached objects that have become known since the last call.
    pub fn take_report(&mut self, since: Instant, now: Instant) -> SharedReport {
        let listed = self.entries.iter().filter(|entry| entry.is_listed);
        let load = |entry: &UpstreamEntry| {
            let (requests, reported_at) = entry.load.direct_report()?;
            (reported_at >= since).then(|| SharedLoad {
                upstream: entry.id_hash,
                requests,
                age_ms: (now - reported_at).as_millis() as u32,
            })
        };
        let limit = |entry: &UpstreamEntry| {
            let (per_s, answered_at) = entry.own_limit?;
            (answered_at >= since).then(|| SharedLimit {
                upstream: entry.id_hash,
                per_s,
                age_ms: (now - answered_at).as_millis() as u32,
            })
        };
        SharedReport {
            limits: listed.clone().filter_map(limit).collect(),
            loads: listed.filter_map(load).collect(),
            objects: std::mem::take(&mut self.unreported_objects),
        }
    }

    /// Merges a report of other instances.
    pub fn merge_report(&mut self, report: &SharedReport, now: Instant) {
        for load in &report.loads {
            let age = Duration::from_millis(u64::from(load.age_ms));
            let known = self.by_hash.get(&load.upstream).copied();
            if let (Some(key), Some(reported_at)) = (known, now.checked_sub(age)) {
                let entry = self.entry_mut(key);
                entry
                    .load
                    .record_shared_report(load.requests, reported_at, now);
            }
        }
        for limit in &report.limits {
            let age = Duration::from_millis(u64::from(limit.age_ms));
            let known = self.by_hash.get(&limit.upstream).copied();
            if let (Some(key), Some(answered_at)) = (known, now.checked_sub(age)) {
                self.entry_mut(key)
                    .record_shared_limit(limit.per_s, answered_at);
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

    /// Records the end of an attempt for a request of a route.
    pub fn end_attempt(
        &mut self,
        decision: &Decision,
        route: &str,
        object: u64,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        self.record_speed(decision, outcome, now);
        let key = decision.upstream;
        let warm_up = self.warm_up_of(&self.entry(key).record.service).0 + WARM_UP_SLACK;
        let entry = self.entry_mut(key);
        let should_report = entry.end_attempt(object, decision, outcome, warm_up, now);
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
        self.record_capacity(decision, (&service, route), took_ms, now);
        if decision.queue_ms <= 0.0
            && let Some(latency) = self.service_latencies.get_mut(&service)
        {
            latency.record(decision.expects_cache_hit, took_ms);
        }
    }

    /// Returns the services whose answers have been measured under load, with the fraction of the
    /// slots up to which their upstreams take load well.
    pub fn knees(&self, now: Instant) -> Vec<(String, f64)> {
        let services = self.load_curves.keys();
        let mut knees: Vec<_> = services
            .map(|service| (service.clone(), self.knee(service, now)))
            .collect();
        knees.sort_by(|a, b| a.0.cmp(&b.0));
        knees
    }

    /// Returns the fraction of the slots up to which the upstreams of a service take load well, by
    /// the route that notices first.
    pub(super) fn knee(&self, service: &str, now: Instant) -> f64 {
        let curves = self.load_curves.get(service);
        let knees = curves.into_iter().flat_map(HashMap::values);
        knees.map(|curve| curve.knee(now)).fold(1.0, f64::min)
    }

    /// Learns from an answer how long upstreams take under load. Only answers from the cache of an
    /// upstream in this region without a queue are compared, and none that noise has slowed.
    fn record_capacity(
        &mut self,
        decision: &Decision,
        (service, route): (&str, &str),
        took_ms: f64,
        now: Instant,
    ) {
        let entry = self.entry(decision.upstream);
        let Some(load) = entry.load.load_of_answer(now) else {
            return;
        };
        let is_comparable = decision.expects_cache_hit
            && load.waiting == 0
            && load.noise() <= 1.0
            && entry.region == self.own_region
            && !entry.is_cold(now);
        if !self.settings.learns_capacity || !is_comparable {
            return;
        }
        // The report leaves out the request that was answered.
        let utilization = (f64::from(load.running) + 1.0) / f64::from(load.slots.max(1));
        let curves = self.load_curves.entry(service.to_owned()).or_default();
        let curve = curves.entry(route.to_owned()).or_default();
        curve.record(utilization, took_ms, now);
    }

    fn add(&mut self, record: &UpstreamRecord) -> UpstreamKey {
        let key = UpstreamKey(self.entries.len() as u32);
        let region = self.settings.zone_regions.get(&record.zone);
        let region = region_key(&self.regions, region.map_or("", String::as_str));
        let service = self.service_key(&record.service);
        let entry = UpstreamEntry::new(record.clone(), service, region);
        self.by_hash.insert(entry.id_hash, key);
        self.entries.push(entry);
        self.by_endpoint.insert(Endpoint::of(record), key);
        key
    }

    fn service_key(&mut self, service: &str) -> ServiceKey {
        if let Some(key) = self.service_keys.get(service) {
            return *key;
        }
        let key = ServiceKey(self.region_shares.len() as u16);
        self.service_keys.insert(service.to_owned(), key);
        let shares = RegionShares::new(self.settings.max_region_shift);
        self.region_shares.push(shares);
        self.usual_times.push(UsualTime::default());
        self.slow_counts.push(0);
        self.region_rooms
            .push(vec![RegionRoom::default(); self.regions.len()]);
        key
    }

    pub(super) fn entry(&self, key: UpstreamKey) -> &UpstreamEntry {
        &self.entries[key.0 as usize]
    }

    pub(super) fn entry_mut(&mut self, key: UpstreamKey) -> &mut UpstreamEntry {
        &mut self.entries[key.0 as usize]
    }

    pub(super) fn key_of_hash(&self, id_hash: u64) -> Option<UpstreamKey> {
        self.by_hash.get(&id_hash).copied()
    }

    pub(super) fn entries(&self) -> &[UpstreamEntry] {
        &self.entries
    }

    pub(super) fn entries_mut(&mut self) -> &mut [UpstreamEntry] {
        &mut self.entries
    }

    pub(super) fn region_name(&self, key: RegionKey) -> &str {
        &self.regions[key.0 as usize]
    }

    /// Returns the time that an upstream of a service takes to warm up, and the requests per second
    /// that it tolerates while cold.
    pub(super) fn warm_up_of(&self, service: &str) -> (Duration, f64) {
        let configured = self.warm_ups.get(service).copied();
        configured.unwrap_or((DEFAULT_WARM_UP, DEFAULT_WARM_UP_PER_S))
    }
}

fn region_key(regions: &[String], name: &str) -> RegionKey {
    let index = regions.iter().position(|region| region == name);
    RegionKey(index.unwrap_or(0) as u16)
}

/// Returns a hash of byte strings that is the same on all instances. A separator after each part
/// keeps, for example, `["ab", "c"]` and `["a", "bc"]` apart.
pub fn hash_of(parts: &[&[u8]]) -> u64 {
    use std::hash::Hasher;
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    for part in parts {
        hasher.write(part);
        hasher.write_u8(0xff);
    }
    hasher.finish()
}
