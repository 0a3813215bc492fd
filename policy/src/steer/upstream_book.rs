use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use laburnumdeal_model::Items;
use tokio::time::Instant;

use crate::steer::upstream_entry::UpstreamEntry;
use crate::steer::{
    Ask, ColdShare, Decision, RouteTime, ServiceTimes, UpstreamLoad, UpstreamRecord, Verdict,
};

/// Upstreams that an object is sent to. More would know more objects than they remember.
const RANKS: usize = 3;

/// How much more likely an upstream of the own region is the first for an object.
const NEAR_WEIGHT: f64 = 3.0;

/// Time that an answer from another region takes longer, in milliseconds.
const FAR_MS: f64 = 60.0;

/// Part of the extra time of an unknown object that counts against teaching one more upstream.
const TEACHING_SHARE: f64 = 0.5;

/// Expected times, as part of the target latency, that are accepted for the ranks of priority.
const EXPECTED_BY_PRIORITY: [f64; 3] = [1.0, 0.95, 0.9];

/// Queue, as part of the target latency, that is accepted whatever the expected time.
const LEAST_QUEUE: f64 = 0.15;

/// Part of its slots up to which an upstream is taught objects that it does not know.
const TAUGHT_UP_TO: f64 = 0.7;

/// Shortest and longest time that a caller is told to stay away.
const RETRY_AFTER_MS: (f64, f64) = (60.0, 1_500.0);

/// Part of the bound on requests to a cold upstream that is handed out, because instances learn
/// of each other late.
const COLD_BOUND_USED: f64 = 0.8;

/// Bound on requests to a cold upstream whose service is not known, per second.
const COLD_PER_S: f64 = 10.0;

/// Time that an upstream stays cold when its service does not say.
const WARM_UP: Duration = Duration::from_millis(3_000);

/// Extra time for which an upstream counts as cold, because its start is learnt late.
const WARM_UP_SLACK: Duration = Duration::from_millis(700);

/// Key of an upstream in an [`UpstreamBook`]; it stays valid when the upstream goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamKey(pub u32);

/// What does not change while the process runs.
#[derive(Clone, Debug)]
pub struct BookSettings {
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
pub enum Outcome {
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
    Unreached,
    /// The connection broke, or what came was no answer to the request.
    Broken,
    /// Nothing came in time.
    Silent,
    /// The caller left first.
    Cancelled,
    /// Another upstream answers at the address; nothing ran.
    Replaced,
}

/// Everything that an instance knows about upstreams. Entries are never reused, so keys that a
/// request holds stay valid.
#[derive(Debug)]
pub struct UpstreamBook {
    settings: BookSettings,
    entries: Vec<UpstreamEntry>,
    by_id: HashMap<String, UpstreamKey>,
    by_service: HashMap<String, Vec<UpstreamKey>>,
    times: HashMap<String, ServiceTimes>,
    route_times: HashMap<String, RouteTime>,
    warm_up: HashMap<String, (Duration, f64)>,
    evacuated: BTreeSet<String>,
    instances: Vec<String>,
}

impl UpstreamBook {
    /// Returns a book without upstreams.
    pub fn new(settings: BookSettings) -> Self {
        let instances = vec![settings.instance.clone()];
        Self {
            settings,
            entries: Vec::new(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            times: HashMap::new(),
            route_times: HashMap::new(),
            warm_up: HashMap::new(),
            evacuated: BTreeSet::new(),
            instances,
        }
    }

    /// Takes over a list of upstreams. One that is missing takes no more work.
    pub fn take_list(&mut self, records: &[UpstreamRecord], now: Instant) {
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
    pub fn take_items(&mut self, items: &Items) {
        for (_, _, route) in items.routes() {
            let target = Duration::from_millis(route.target_latency_ms);
            for (service, _) in &route.services {
                let times = self.times.entry(service.clone());
                times.or_insert_with(|| ServiceTimes::new(target));
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
    pub fn take_evacuated(&mut self, zones: BTreeSet<String>, now: Instant) {
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
    pub fn take_instances(&mut self, mut names: Vec<String>) {
        if !names.contains(&self.settings.instance) {
            names.push(self.settings.instance.clone());
        }
        names.sort();
        self.instances = names;
    }

    /// Returns the number of instances that may send to upstreams.
    pub fn instances(&self) -> usize {
        self.instances.len()
    }

    /// Returns an upstream's identity and address.
    pub fn target(&self, key: UpstreamKey) -> (&str, SocketAddr) {
        let record = &self.entry(key).record;
        (&record.id, record.address)
    }

    /// Returns the keys of upstreams that have left the list.
    pub fn gone(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        let entries = self.entries.iter().enumerate();
        let gone = entries.filter(|(_, entry)| !entry.present);
        gone.map(|(index, _)| UpstreamKey(index as u32))
    }

    /// Chooses the upstream with the shortest expected time, or refuses the request.
    pub fn choose(&self, ask: &Ask<'_>, now: Instant) -> Verdict {
        let mut candidates = self.candidates(ask, now);
        if candidates.is_empty() {
            return Verdict::NoUpstream;
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let decide =
            |(rank, (_, key)): (usize, &(f64, UpstreamKey))| self.expect(ask, *key, rank, now);
        let ranked = || candidates.iter().enumerate().map(decide);
        let cost = |decision: &(Decision, f64)| decision.1;
        let best = ranked()
            .take(RANKS)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)));
        match best {
            Some((decision, _)) if self.is_good(ask, &decision) => Verdict::Send(decision),
            Some((decision, _)) => self.busy(ask, &decision),
            None => Verdict::NoUpstream,
        }
    }

    /// Counts a request that is about to be sent.
    pub fn begin(&mut self, decision: &Decision, now: Instant) {
        let is_cold = self.entry(decision.upstream).is_cold(now);
        let entry = self.entry_mut(decision.upstream);
        entry.begin(now);
        if is_cold {
            entry.cold_share.count(now);
        }
    }

    /// Takes in the load that an upstream told.
    pub fn told(&mut self, key: UpstreamKey, load: UpstreamLoad, now: Instant) {
        self.entry_mut(key).load.told(load, now);
    }

    /// Counts the end of a request that came by a route.
    pub fn end(
        &mut self,
        decision: &Decision,
        route: &str,
        object: u64,
        outcome: Outcome,
        now: Instant,
    ) {
        let key = decision.upstream;
        let warm_up = self.warm_up_of(&self.entry(key).record.service).0 + WARM_UP_SLACK;
        let entry = self.entry_mut(key);
        entry.end(object, decision, outcome, warm_up, now);
        let service = entry.record.service.clone();
        let Outcome::Answered {
            took_ms,
            failed: false,
        } = outcome
        else {
            return;
        };
        match self.route_times.get_mut(route) {
            Some(time) => time.measured(took_ms),
            None => {
                let mut time = RouteTime::default();
                time.measured(took_ms);
                self.route_times.insert(route.to_owned(), time);
            }
        }
        if decision.wait_ms <= 0.0
            && let Some(times) = self.times.get_mut(&service)
        {
            times.measured(decision.warm, took_ms);
        }
    }

    fn add(&mut self, record: &UpstreamRecord) -> UpstreamKey {
        let key = UpstreamKey(self.entries.len() as u32);
        self.entries.push(UpstreamEntry::new(record.clone()));
        self.by_id.insert(record.id.clone(), key);
        key
    }

    fn entry(&self, key: UpstreamKey) -> &UpstreamEntry {
        &self.entries[key.0 as usize]
    }

    fn entry_mut(&mut self, key: UpstreamKey) -> &mut UpstreamEntry {
        &mut self.entries[key.0 as usize]
    }

    fn region_of(&self, zone: &str) -> &str {
        self.settings
            .zone_regions
            .get(zone)
            .map_or("", String::as_str)
    }

    fn warm_up_of(&self, service: &str) -> (Duration, f64) {
        let told = self.warm_up.get(service).copied();
        told.unwrap_or((WARM_UP, COLD_PER_S))
    }

    /// Returns the upstreams that may take the request, with their score for its object.
    fn candidates(&self, ask: &Ask<'_>, now: Instant) -> Vec<(f64, UpstreamKey)> {
        let Some(keys) = self.by_service.get(ask.service) else {
            return Vec::new();
        };
        let eligible = keys.iter().filter(|key| self.is_eligible(ask, **key, now));
        eligible
            .map(|key| (self.score(ask.object, *key), *key))
            .collect()
    }

    fn is_eligible(&self, ask: &Ask<'_>, key: UpstreamKey, now: Instant) -> bool {
        let entry = self.entry(key);
        let zone = &entry.record.zone;
        let bound = |regions: &[String]| {
            regions.is_empty() || regions.iter().any(|region| region == self.region_of(zone))
        };
        entry.takes_work(now)
            && !ask.tried.contains(&key)
            && !self.evacuated.contains(zone)
            && bound(ask.regions)
            && (!entry.is_cold(now) || entry.cold_share.fits(self.cold_allowed(entry), now))
    }

    fn cold_allowed(&self, entry: &UpstreamEntry) -> usize {
        let per_s = self.warm_up_of(&entry.record.service).1;
        let bound = per_s * self.settings.cold_overshoot + self.settings.cold_slack;
        let rank_of = |name: &str| hash_of(&[name.as_bytes(), entry.record.id.as_bytes()]);
        let mine = rank_of(&self.settings.instance);
        let before = self.instances.iter().filter(|name| rank_of(name) < mine);
        ColdShare::allowed(
            bound * COLD_BOUND_USED,
            self.instances.len(),
            before.count(),
        )
    }

    /// Returns the weighted rendezvous score; the lowest is the first for an object.
    fn score(&self, object: u64, key: UpstreamKey) -> f64 {
        let entry = self.entry(key);
        let near = self.region_of(&entry.record.zone) == self.settings.region;
        let weight = f64::from(entry.record.slots.max(1)) * if near { NEAR_WEIGHT } else { 1.0 };
        let hash = mix(entry.id_hash ^ object.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let uniform = ((hash >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
        -uniform.ln() / weight
    }

    /// Returns the expected times at an upstream, and the cost by which it is weighed.
    fn expect(
        &self,
        ask: &Ask<'_>,
        key: UpstreamKey,
        rank: usize,
        now: Instant,
    ) -> (Decision, f64) {
        let entry = self.entry(key);
        let times = self.times.get(ask.service).copied();
        let times = times.unwrap_or_else(|| ServiceTimes::new(ask.target_latency));
        let is_cold = entry.is_cold(now);
        let warm = entry.objects.knows(ask.object, now) || (rank == 0 && !is_cold);
        let slow = entry.slowness(now) * if is_cold { 2.0 } else { 1.0 };
        let service_ms = times.expected_ms(warm) * slow;
        let queue = entry.queue(now);
        let wait_ms = queue * times.expected_ms(true) * slow;
        let near = self.region_of(&entry.record.zone) == self.settings.region;
        let far_ms = if near { 0.0 } else { FAR_MS };
        let teaching_ms = times.expected_ms(false) - times.expected_ms(true);
        let has_room =
            entry.load.expected(now) + 1.0 <= f64::from(entry.record.slots) * TAUGHT_UP_TO;
        let discount_ms = match !warm && has_room {
            true => teaching_ms * (1.0 - TEACHING_SHARE),
            false => 0.0,
        };
        let target_ms = ask.target_latency.as_secs_f64() * 1_000.0;
        let expected_ms = wait_ms + service_ms + far_ms;
        let risk_ms = entry.failures(now) * 1.5 * target_ms + entry.silence_ms(now);
        let decision = Decision {
            upstream: key,
            expected_ms,
            wait_ms,
            load: entry.load.expected(now),
            told_age: entry.load.told_age(now),
            warm,
            rank,
        };
        (decision, expected_ms + risk_ms - discount_ms)
    }

    fn is_good(&self, ask: &Ask<'_>, decision: &Decision) -> bool {
        let left_ms = ask.left.as_secs_f64() * 1_000.0;
        let time = self.route_times.get(ask.route);
        let route_ms = time.and_then(RouteTime::known_ms).unwrap_or(0.0);
        let least_ms = decision.wait_ms + route_ms;
        decision.wait_ms <= queue_limit_ms(ask, decision)
            && decision.expected_ms.min(least_ms) <= left_ms
    }

    fn busy(&self, ask: &Ask<'_>, decision: &Decision) -> Verdict {
        let (least, most) = RETRY_AFTER_MS;
        let over_ms = decision.wait_ms - queue_limit_ms(ask, decision) * 0.5;
        Verdict::Busy {
            retry_after: Duration::from_secs_f64(over_ms.clamp(least, most) / 1_000.0),
            expected_ms: decision.expected_ms,
        }
    }
}

/// Returns the longest wait with which an answer still comes within the target latency.
fn queue_limit_ms(ask: &Ask<'_>, decision: &Decision) -> f64 {
    let last = EXPECTED_BY_PRIORITY.len() - 1;
    let share = EXPECTED_BY_PRIORITY[(ask.priority as usize).min(last)];
    let target_ms = ask.target_latency.as_secs_f64() * 1_000.0;
    let elapsed_ms = ask.elapsed.as_secs_f64() * 1_000.0;
    let beside_ms = decision.expected_ms - decision.wait_ms + elapsed_ms;
    (target_ms * share - beside_ms).max(target_ms * LEAST_QUEUE)
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

/// Spreads the bits of a key over the whole word.
fn mix(mut word: u64) -> u64 {
    word ^= word >> 33;
    word = word.wrapping_mul(0xff51_afd7_ed55_8ccd);
    word ^= word >> 33;
    word = word.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    word ^ (word >> 33)
}
