use std::time::Duration;

use tokio::time::Instant;

use crate::steer::load_balancer::hash_of;
use crate::steer::region_weights::LOCAL_WEIGHT;
use crate::steer::upstream_entry::UpstreamEntry;
use crate::steer::{
    Decision, EligibleWeight, InstanceShare, LoadBalancer, Places, RequestContext, RouteLatency,
    Selection, ServiceLatency, UpstreamKey,
};

/// Latency that a request to another region adds, in milliseconds.
const CROSS_REGION_MS: f64 = 60.0;

/// Number of priorities that are told apart; further ones count as the least urgent.
pub(crate) const PRIORITIES: usize = 3;

/// Highest expected latency that is accepted, as a fraction of the target latency, by priority.
const MAX_LATENCY_FRACTIONS: [f64; PRIORITIES] = [1.0, 0.95, 0.9];

/// Time in the queue, as a fraction of the target latency, that is accepted whatever the expected
/// latency.
const MIN_QUEUE_FRACTION: f64 = 0.15;

/// Upstreams that an object is sent to when none holds it in its cache: the first by rank and one
/// fallback. Each further one costs a slow cache miss, and evicts another object from a cache.
const MAX_UNCACHED_UPSTREAMS: usize = 2;

/// Fraction of the extra latency of a cache miss that counts in the cost of an upstream with idle
/// slots; the rest pays off, because later requests for the object hit the cache.
const MISS_COST_FRACTION: f64 = 0.7;

/// Highest fraction of its slots in use at which an upstream that is not the first for an object is
/// sent it without holding it. A cache miss takes several times as long as a hit, so it only pays
/// where slots would stay idle.
const MAX_UTILIZATION_FOR_MISS: f64 = 0.2;

/// Highest fraction of the slots in use at which a further one counts as spare.
const MAX_UTILIZATION_FOR_SPARE: f64 = 0.85;

/// Shortest time after which a caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Longest time after which a caller is told to retry that depends on an estimate.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Fraction of the request limit of a cold upstream that the quotas add up to. The rest is reserve,
/// because instances learn of each other with a delay.
const COLD_LIMIT_FRACTION: f64 = 0.8;

/// Upstreams that may serve a request.
#[derive(Debug, Default)]
struct Candidates {
    /// Those that it may be sent to now, with their score for its object.
    scored: Vec<(f64, UpstreamKey)>,
    /// Number of those at their limit.
    at_limit: usize,
    /// Shortest time until this instance may send to one of those at their limit.
    limit_wait: Option<Duration>,
    /// Shortest time until one of those that asked to wait accepts requests.
    wait: Option<Duration>,
    /// Shortest time until the backoff of one of the others ends.
    backoff: Option<Duration>,
}

impl Candidates {
    fn add_at_limit(&mut self, wait: Duration) {
        self.at_limit += 1;
        self.limit_wait = shorter(self.limit_wait, wait);
    }

    fn add_waiting(&mut self, wait: Duration) {
        self.wait = shorter(self.wait, wait);
    }

    fn add_backed_off(&mut self, backoff: Duration) {
        self.backoff = shorter(self.backoff, backoff);
    }

    /// Returns why the request is not sent, if there is no upstream that it may be sent to now.
    fn rejection(&self) -> Selection {
        match (self.wait, self.limit_wait) {
            (Some(wait), limit_wait) if limit_wait.is_none_or(|limit| wait < limit) => {
                let wait = self.backoff.map_or(wait, |backoff| wait.min(backoff));
                let retry_after = wait.max(MIN_RETRY_AFTER);
                Selection::Waiting { retry_after }
            }
            (_, Some(wait)) => Selection::AtLimit {
                retry_after: retry_after(wait),
            },
            _ => Selection::NoUpstream,
        }
    }
}

fn shorter(known: Option<Duration>, other: Duration) -> Option<Duration> {
    Some(known.map_or(other, |known| known.min(other)))
}

impl LoadBalancer {
    /// Chooses the upstream with the lowest cost. The cost is the expected latency, plus penalties
    /// for failures and missing answers, less the part of a cache miss that pays off later. Refuses
    /// the request if the answer of even this upstream would be too late, or its queue is too long.
    pub fn choose(&self, request: &RequestContext<'_>, now: Instant) -> Selection {
        let candidates = self.candidates(request, now);
        if candidates.scored.is_empty() {
            return candidates.rejection();
        }
        let Candidates {
            scored: mut candidates,
            at_limit,
            ..
        } = candidates;
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.leave_out_slow(request, &mut candidates, now);
        let estimate = |(rank, (_, key)): (usize, &(f64, UpstreamKey))| {
            let (decision, cost) = self.estimate(request, *key, rank, now);
            (
                Decision {
                    at_limit,
                    ..decision
                },
                cost,
            )
        };
        let ranked = candidates.iter().enumerate();
        let considered =
            ranked.filter(|(rank, (_, key))| self.is_considered(request, *key, *rank, now));
        let cost = |decision: &(Decision, f64)| decision.1;
        let best = considered
            .map(estimate)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)));
        match best {
            Some((decision, _)) if self.is_acceptable(request, &decision) => {
                match self.may_take(request, &decision, now) {
                    true => Selection::Send(decision),
                    false => Selection::Withheld { decision },
                }
            }
            Some((decision, _)) => self.busy(request, &decision),
            None => Selection::NoUpstream,
        }
    }

    /// Returns the upstreams that may serve the request.
    fn candidates(&self, request: &RequestContext<'_>, now: Instant) -> Candidates {
        let mut candidates = Candidates::default();
        let Some(keys) = self.by_service.get(request.service) else {
            return candidates;
        };
        let mut eligible = Vec::with_capacity(keys.len());
        let mut weights = vec![EligibleWeight::default(); self.regions.len()];
        for key in keys.iter().filter(|key| self.is_allowed(request, **key)) {
            let entry = self.entry(*key);
            let (wait, backoff) = (entry.wait.left(now), entry.backoff_left(now));
            if !wait.is_zero() {
                candidates.add_waiting(wait.max(backoff));
                continue;
            }
            if !backoff.is_zero() {
                candidates.add_backed_off(backoff);
                continue;
            }
            let (weight, sum) = (self.weight(entry), &mut weights[entry.region.0 as usize]);
            sum.open += weight * self.weight_fraction(entry, now);
            let limit_wait = self.limit_wait(entry, now);
            if !limit_wait.is_zero() {
                candidates.add_at_limit(limit_wait);
            } else if self.is_within_quota(entry, now) {
                sum.eligible += weight;
                eligible.push(*key);
            }
        }
        let factors = self.region_factors(request, &weights);
        let score = |key: UpstreamKey| {
            let region = self.entry(key).region.0 as usize;
            let factor = factors.get(region).copied().unwrap_or(1.0);
            (self.score(request.object, factor, key), key)
        };
        candidates.scored = eligible.into_iter().map(score).collect();
        candidates
    }

    /// Returns the time until this instance may send to an upstream within the limit that it named.
    fn limit_wait(&self, entry: &UpstreamEntry, now: Instant) -> Duration {
        let Some(limit) = &entry.limit else {
            return Duration::ZERO;
        };
        match self.instance_share(entry) {
            Some(share) => limit.wait(share, now),
            // The instances that share the limit are not known yet.
            None => MAX_RETRY_AFTER,
        }
    }

    /// Returns the factors on the weights of upstreams by region; none for requests that are bound
    /// to regions, which are not spread by the shares.
    fn region_factors(&self, request: &RequestContext<'_>, weights: &[EligibleWeight]) -> Vec<f64> {
        let service = self.service_keys.get(request.service);
        let service = service.filter(|_| request.regions.is_empty());
        service.map_or_else(Vec::new, |key| {
            self.region_shares[key.0 as usize].factors(weights)
        })
    }

    /// Returns whether a request may be sent to an upstream, apart from the times at which the
    /// upstream accepts requests, and from quotas.
    fn is_allowed(&self, request: &RequestContext<'_>, key: UpstreamKey) -> bool {
        let entry = self.entry(key);
        let zone = &entry.record.zone;
        let is_in_regions = |regions: &[String]| {
            let name = self.region_name(entry.region);
            regions.is_empty() || regions.iter().any(|region| region == name)
        };
        entry.is_in_service()
            && !request.tried.contains(&key)
            && !self.evacuated_zones.contains(zone)
            && is_in_regions(request.regions)
    }

    fn is_within_quota(&self, entry: &UpstreamEntry, now: Instant) -> bool {
        !entry.is_cold(now) || entry.cold_window.allows(self.cold_quota(entry), now)
    }

    /// Returns whether an upstream is considered for an object: the first by rank, any that holds
    /// the object in its cache, and the second if it has idle slots for a cache miss.
    fn is_considered(
        &self,
        request: &RequestContext<'_>,
        key: UpstreamKey,
        rank: usize,
        now: Instant,
    ) -> bool {
        let entry = self.entry(key);
        let is_cached = entry.cached_objects.contains(request.object, now);
        rank == 0
            || is_cached
            || (rank < MAX_UNCACHED_UPSTREAMS
                && has_room_for_miss(entry, self.knee(request.service, now), now))
    }

    /// Returns how many requests per second this instance may send to a cold upstream; none until
    /// the instances that share the limit are known.
    fn cold_quota(&self, entry: &UpstreamEntry) -> usize {
        let Some(share) = self.instance_share(entry) else {
            return 0;
        };
        let per_s = self.warm_up_of(&entry.record.service).1;
        let limit_per_s = per_s * self.settings.cold_overshoot + self.settings.cold_slack;
        share.quota(limit_per_s * COLD_LIMIT_FRACTION)
    }

    /// Returns the share of this instance in a limit on an upstream. Instances in the region of the
    /// upstream have larger ones, as they send it most of its requests. A hash orders the instances
    /// differently for each upstream, so that what rounding leaves over does not always go to the
    /// same ones.
    fn instance_share(&self, entry: &UpstreamEntry) -> Option<InstanceShare> {
        let order_of = |name: &str| hash_of(&[name.as_bytes(), entry.record.id.as_bytes()]);
        let region = self.region_name(entry.region);
        let weight = |region_of_instance: &str| match region_of_instance == region {
            true => LOCAL_WEIGHT,
            false => 1.0,
        };
        let own_order = order_of(&self.settings.instance);
        let mut share = InstanceShare {
            before: 0.0,
            own: weight(&self.settings.region),
            total: 0.0,
            instances: self.instances.len(),
        };
        for instance in &self.instances {
            let weight = weight(&instance.region);
            share.total += weight;
            if order_of(&instance.name) < own_order {
                share.before += weight;
            }
        }
        (share.total > 0.0).then_some(share)
    }

    /// Returns the score of weighted rendezvous hashing; the upstream with the lowest one is the
    /// first for an object.
    fn score(&self, object: u64, factor: f64, key: UpstreamKey) -> f64 {
        let entry = self.entry(key);
        let weight = self.weight(entry) * factor;
        let hash = mix_bits(entry.id_hash ^ object.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let uniform = ((hash >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
        -uniform.ln() / weight
    }

    /// Returns the estimates for an upstream, and the cost by which it is compared with others.
    fn estimate(
        &self,
        request: &RequestContext<'_>,
        key: UpstreamKey,
        rank: usize,
        now: Instant,
    ) -> (Decision, f64) {
        let entry = self.entry(key);
        let latency = self.service_latencies.get(request.service).copied();
        let latency = latency.unwrap_or_else(|| ServiceLatency::new(request.target_latency));
        let is_cold = entry.is_cold(now);
        let holds_object = entry.cached_objects.contains(request.object, now);
        let expects_cache_hit = holds_object || (rank == 0 && !is_cold);
        let slowdown = entry.slowdown(now) * if is_cold { 2.0 } else { 1.0 };
        let service_ms = latency.expected_ms(expects_cache_hit) * slowdown;
        let knee = self.knee(request.service, now);
        let queue_per_slot = entry.queue_per_slot(knee, now);
        let queue_ms = queue_per_slot * latency.expected_ms(true) * slowdown;
        let is_local = entry.region == self.own_region;
        let cross_region_ms = if is_local { 0.0 } else { CROSS_REGION_MS };
        let miss_penalty_ms = latency.expected_ms(false) - latency.expected_ms(true);
        let discount_ms = match !expects_cache_hit && has_room_for_miss(entry, knee, now) {
            true => miss_penalty_ms * (1.0 - MISS_COST_FRACTION),
            false => 0.0,
        };
        let target_ms = request.target_latency.as_secs_f64() * 1_000.0;
        let expected_ms = queue_ms + service_ms + cross_region_ms;
        let penalty_ms = entry.failure_rate(now) * 1.5 * target_ms + entry.overdue_ms(now);
        let decision = Decision {
            upstream: key,
            expected_ms,
            queue_ms,
            load: entry.load.estimated_requests(now),
            load_age: entry.load.report_age(now),
            expects_cache_hit,
            holds_object,
            rank,
            at_limit: 0,
            chosen_at: now,
        };
        (decision, expected_ms + penalty_ms - discount_ms)
    }

    /// Returns whether the queue is short enough, and the answer is expected before the deadline by
    /// at least one of two estimates: from the latency of the service, or from that of the route.
    fn is_acceptable(&self, request: &RequestContext<'_>, decision: &Decision) -> bool {
        let time_left_ms = request.time_left.as_secs_f64() * 1_000.0;
        let latency = self.route_latencies.get(request.route);
        let route_ms = latency.and_then(RouteLatency::mean_ms).unwrap_or(0.0);
        let route_expected_ms = decision.queue_ms + route_ms;
        decision.queue_ms <= queue_limit_ms(request, decision)
            && decision.expected_ms.min(route_expected_ms) <= time_left_ms
    }

    /// Returns whether the place at the upstream is one that the request may take.
    fn may_take(&self, request: &RequestContext<'_>, decision: &Decision, now: Instant) -> bool {
        match request.places {
            Places::All => true,
            Places::Idle => decision.queue_ms <= 0.0,
            Places::Spare => {
                let slots = f64::from(self.entry(decision.upstream).record.slots);
                decision.load <= slots * self.knee(request.service, now) * MAX_UTILIZATION_FOR_SPARE
            }
        }
    }

    /// Refuses a request; the longer the queue, the later it should be retried.
    fn busy(&self, request: &RequestContext<'_>, decision: &Decision) -> Selection {
        let excess_ms = decision.queue_ms - queue_limit_ms(request, decision) * 0.5;
        let excess = Duration::from_secs_f64(excess_ms.max(0.0) / 1_000.0);
        Selection::Busy {
            retry_after: retry_after(excess),
            decision: *decision,
        }
    }
}

/// Returns the time after which a caller is told to retry, for the time until there is room.
fn retry_after(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

fn has_room_for_miss(entry: &UpstreamEntry, knee: f64, now: Instant) -> bool {
    let room = f64::from(entry.record.slots) * knee * MAX_UTILIZATION_FOR_MISS;
    entry.load.estimated_requests(now) <= room
}

/// Returns the longest time in the queue with which the answer still meets the target latency.
fn queue_limit_ms(request: &RequestContext<'_>, decision: &Decision) -> f64 {
    let last = MAX_LATENCY_FRACTIONS.len() - 1;
    let fraction = MAX_LATENCY_FRACTIONS[(request.priority as usize).min(last)];
    let target_ms = request.target_latency.as_secs_f64() * 1_000.0;
    let elapsed_ms = request.elapsed.as_secs_f64() * 1_000.0;
    let other_ms = decision.expected_ms - decision.queue_ms + elapsed_ms;
    (target_ms * fraction - other_ms).max(target_ms * MIN_QUEUE_FRACTION)
}

/// Spreads the bits of a key over the whole word, with the finalizer of MurmurHash3.
fn mix_bits(mut word: u64) -> u64 {
    word ^= word >> 33;
    word = word.wrapping_mul(0xff51_afd7_ed55_8ccd);
    word ^= word >> 33;
    word = word.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    word ^ (word >> 33)
}
