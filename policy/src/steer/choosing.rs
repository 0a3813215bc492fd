use std::time::Duration;

use tokio::time::Instant;

use crate::steer::load_balancer::hash_of;
use crate::steer::upstream_entry::UpstreamEntry;
use crate::steer::{
    ColdStartLimiter, Decision, LoadBalancer, RequestContext, RouteLatency, Selection,
    ServiceLatency, UpstreamKey,
};

/// How much more likely an upstream of the own region is the first for an object.
const NEAR_WEIGHT: f64 = 8.0;

/// Time that an answer from another region takes longer, in milliseconds.
const FAR_MS: f64 = 60.0;

/// Expected times, as part of the target latency, that are accepted for the ranks of priority.
const EXPECTED_BY_PRIORITY: [f64; 3] = [1.0, 0.95, 0.9];

/// Queue, as part of the target latency, that is accepted whatever the expected time.
const LEAST_QUEUE: f64 = 0.15;

/// Upstreams that an object is sent to when none has handled it: the first by rank and one to turn
/// to. Each further one costs a slow first run, and a place in what an upstream remembers.
const REACH: usize = 2;

/// Part of the extra time of a first run that counts against teaching an object to one more
/// upstream; the rest pays off with the next requests.
const TEACHING_SHARE: f64 = 0.7;

/// Part of its slots in use up to which an upstream that is not the first for an object is sent it
/// for the first time. A first run takes several times as long, so it only pays where slots would
/// stay free.
const TAUGHT_UP_TO: f64 = 0.2;

/// Shortest and longest time that a caller is told to stay away.
const RETRY_AFTER_MS: (f64, f64) = (60.0, 1_500.0);

/// Part of the bound on requests to a cold upstream that is handed out, because instances learn
/// of each other late.
const COLD_BOUND_USED: f64 = 0.8;

impl LoadBalancer {
    /// Chooses the upstream with the shortest expected time, or refuses the request.
    pub fn choose(&self, ask: &RequestContext<'_>, now: Instant) -> Selection {
        let mut candidates = self.candidates(ask, now);
        if candidates.is_empty() {
            return Selection::NoUpstream;
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let decide =
            |(rank, (_, key)): (usize, &(f64, UpstreamKey))| self.expect(ask, *key, rank, now);
        let ranked = candidates.iter().enumerate();
        let usable = ranked.filter(|(rank, (_, key))| self.is_worth(ask, *key, *rank, now));
        let cost = |decision: &(Decision, f64)| decision.1;
        let best = usable
            .map(decide)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)));
        match best {
            Some((decision, _)) if self.is_good(ask, &decision) => Selection::Send(decision),
            Some((decision, _)) => self.busy(ask, &decision),
            None => Selection::NoUpstream,
        }
    }

    /// Returns the upstreams that may take the request, with their score for its object.
    fn candidates(&self, ask: &RequestContext<'_>, now: Instant) -> Vec<(f64, UpstreamKey)> {
        let Some(keys) = self.by_service.get(ask.service) else {
            return Vec::new();
        };
        let eligible = keys.iter().filter(|key| self.is_eligible(ask, **key, now));
        eligible
            .map(|key| (self.score(ask.object, *key), *key))
            .collect()
    }

    fn is_eligible(&self, ask: &RequestContext<'_>, key: UpstreamKey, now: Instant) -> bool {
        let entry = self.entry(key);
        let zone = &entry.record.zone;
        let bound = |regions: &[String]| {
            regions.is_empty() || regions.iter().any(|region| region == self.region_of(zone))
        };
        entry.takes_work(now)
            && !ask.tried.contains(&key)
            && !self.evacuated.contains(zone)
            && bound(ask.regions)
            && (!entry.is_cold(now)
                || entry
                    .cold_start_limiter
                    .allows(self.cold_allowed(entry), now))
    }

    /// Returns whether an upstream is considered for an object: the first for it, any that knows
    /// it, and the next when it has slots to spare for a first run.
    fn is_worth(
        &self,
        ask: &RequestContext<'_>,
        key: UpstreamKey,
        rank: usize,
        now: Instant,
    ) -> bool {
        let entry = self.entry(key);
        let is_known = entry.cached_objects.contains(ask.object, now);
        rank == 0 || is_known || (rank < REACH && has_room_to_learn(entry, now))
    }

    /// Returns this instance's part of the requests that a cold upstream tolerates; nothing until it
    /// is known among how many they are shared.
    fn cold_allowed(&self, entry: &UpstreamEntry) -> usize {
        if self.instances.is_empty() {
            return 0;
        }
        let per_s = self.warm_up_of(&entry.record.service).1;
        let bound = per_s * self.settings.cold_overshoot + self.settings.cold_slack;
        let rank_of = |name: &str| hash_of(&[name.as_bytes(), entry.record.id.as_bytes()]);
        let mine = rank_of(&self.settings.instance);
        let before = self.instances.iter().filter(|name| rank_of(name) < mine);
        ColdStartLimiter::quota(
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
        ask: &RequestContext<'_>,
        key: UpstreamKey,
        rank: usize,
        now: Instant,
    ) -> (Decision, f64) {
        let entry = self.entry(key);
        let latency = self.service_latencies.get(ask.service).copied();
        let latency = latency.unwrap_or_else(|| ServiceLatency::new(ask.target_latency));
        let is_cold = entry.is_cold(now);
        let expects_cache_hit =
            entry.cached_objects.contains(ask.object, now) || (rank == 0 && !is_cold);
        let slow = entry.slowness(now) * if is_cold { 2.0 } else { 1.0 };
        let service_ms = latency.expected_ms(expects_cache_hit) * slow;
        let queue = entry.queue(now);
        let queue_ms = queue * latency.expected_ms(true) * slow;
        let near = self.region_of(&entry.record.zone) == self.settings.region;
        let far_ms = if near { 0.0 } else { FAR_MS };
        let teaching_ms = latency.expected_ms(false) - latency.expected_ms(true);
        let discount_ms = match !expects_cache_hit && has_room_to_learn(entry, now) {
            true => teaching_ms * (1.0 - TEACHING_SHARE),
            false => 0.0,
        };
        let target_ms = ask.target_latency.as_secs_f64() * 1_000.0;
        let expected_ms = queue_ms + service_ms + far_ms;
        let risk_ms = entry.failures(now) * 1.5 * target_ms + entry.silence_ms(now);
        let decision = Decision {
            upstream: key,
            expected_ms,
            queue_ms,
            load: entry.load.estimated_requests(now),
            load_age: entry.load.report_age(now),
            expects_cache_hit,
            rank,
        };
        (decision, expected_ms + risk_ms - discount_ms)
    }

    fn is_good(&self, ask: &RequestContext<'_>, decision: &Decision) -> bool {
        let left_ms = ask.time_left.as_secs_f64() * 1_000.0;
        let latency = self.route_latencies.get(ask.route);
        let route_ms = latency.and_then(RouteLatency::mean_ms).unwrap_or(0.0);
        let least_ms = decision.queue_ms + route_ms;
        decision.queue_ms <= queue_limit_ms(ask, decision)
            && decision.expected_ms.min(least_ms) <= left_ms
    }

    fn busy(&self, ask: &RequestContext<'_>, decision: &Decision) -> Selection {
        let (least, most) = RETRY_AFTER_MS;
        let over_ms = decision.queue_ms - queue_limit_ms(ask, decision) * 0.5;
        Selection::Busy {
            retry_after: Duration::from_secs_f64(over_ms.clamp(least, most) / 1_000.0),
            decision: *decision,
        }
    }
}

fn has_room_to_learn(entry: &UpstreamEntry, now: Instant) -> bool {
    entry.load.estimated_requests(now) <= f64::from(entry.record.slots) * TAUGHT_UP_TO
}

/// Returns the longest wait with which an answer still comes within the target latency.
fn queue_limit_ms(ask: &RequestContext<'_>, decision: &Decision) -> f64 {
    let last = EXPECTED_BY_PRIORITY.len() - 1;
    let share = EXPECTED_BY_PRIORITY[(ask.priority as usize).min(last)];
    let target_ms = ask.target_latency.as_secs_f64() * 1_000.0;
    let elapsed_ms = ask.elapsed.as_secs_f64() * 1_000.0;
    let beside_ms = decision.expected_ms - decision.queue_ms + elapsed_ms;
    (target_ms * share - beside_ms).max(target_ms * LEAST_QUEUE)
}

/// Spreads the bits of a key over the whole word.
fn mix(mut word: u64) -> u64 {
    word ^= word >> 33;
    word = word.wrapping_mul(0xff51_afd7_ed55_8ccd);
    word ^= word >> 33;
    word = word.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    word ^ (word >> 33)
}
