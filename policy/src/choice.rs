use laburnumdeal_model::{ServiceId, UpstreamId, WHOLE_PERMILLE};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Duration, Instant};

use crate::PoolCore;
use crate::availability::SlotPurpose;

/// Weight of the load in the score: a full upstream counts as slower than an idle one by this
/// fraction.
const LOAD_WEIGHT: f64 = 0.25;

/// Ratio to the service's mean latency from which a chosen upstream counts as slow. All other
/// candidates and a wait for a faster upstream are considered then.
const SLOW_LATENCY_RATIO: f64 = 1.25;

/// Minimum ratio of the chosen upstream's latency to that of an upstream that is worth waiting for.
const MIN_LATENCY_RATIO: f64 = 2.0;

/// Maximum expected wait for a faster upstream, as a fraction of the latency that it would save.
const MAX_WAIT_TO_GAIN: f64 = 0.15;

/// An upstream with a free slot and the purpose that the slot may be used for.
pub(crate) type AvailableUpstream = (UpstreamId, SlotPurpose);

/// The upstream that a request would be sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub upstream: UpstreamId,
    pub purpose: SlotPurpose,
    pub expected_s: f64,
}

impl PoolCore {
    /// Chooses an upstream with a free slot: the better of two random candidates, or the best of
    /// all when that one is slow.
    pub(crate) fn choose(
        &mut self,
        service: ServiceId,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> Option<Choice> {
        let report_probe = self.collect(service, exclude, now);
        let candidates = match self.preferred.is_empty() {
            true => &self.deferred,
            false => &self.preferred,
        };
        if let Some((first, second)) = pick_two(candidates, &mut self.rng) {
            let first = self.choice(service, first.0, first.1, now);
            let second = self.choice(service, second.0, second.1, now);
            let second_is_better = self.score(&second) < self.score(&first);
            let better = if second_is_better { second } else { first };
            return match self.is_slow(service, &better) {
                true => self.best(service, candidates, now),
                false => Some(better),
            };
        }
        if let Some(upstream) = report_probe {
            return Some(self.choice(service, upstream, SlotPurpose::ReportProbe, now));
        }
        let upstream = self.last_resort(service, exclude, now)?;
        Some(self.choice(service, upstream, SlotPurpose::RecoveryProbe, now))
    }

    /// Returns until when to wait for a faster upstream, if the wait is expected to pay off.
    /// `ahead` is the number of requests that wait already.
    pub(crate) fn wait_until(
        &self,
        service: ServiceId,
        choice: &Choice,
        exclude: &[UpstreamId],
        ahead: usize,
        now: Instant,
    ) -> Option<Instant> {
        if !self.is_slow(service, choice) {
            return None;
        }
        let entry = &self.services[service.index()];
        let reference_s = entry.latency.mean_s();
        let (mut running, mut completions_per_s) = (0.0, 0.0);
        for member in entry.members.iter().filter(|m| !exclude.contains(m)) {
            let upstream = &self.upstreams[member.index()];
            let expected_s = upstream.expected_s(reference_s, &self.settings, now);
            let is_faster = expected_s * MIN_LATENCY_RATIO < choice.expected_s;
            if is_faster && upstream.is_healthy(&self.settings, now) {
                running += f64::from(upstream.in_flight);
                completions_per_s += f64::from(upstream.in_flight) / expected_s;
            }
        }
        if completions_per_s <= 0.0 {
            return None;
        }
        let faster_s = running / completions_per_s;
        let wait_s = (ahead as f64 + 1.0) / completions_per_s;
        let gain_s = choice.expected_s - faster_s;
        (wait_s < gain_s * MAX_WAIT_TO_GAIN).then(|| now + Duration::from_secs_f64(gain_s))
    }

    /// Collects the upstreams with a free slot. Returns one that is full only by its own reports,
    /// which a request may probe.
    fn collect(
        &mut self,
        service: ServiceId,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> Option<UpstreamId> {
        self.preferred.clear();
        self.deferred.clear();
        let mut report_probe = None;
        let entry = self.services.get(service.index())?;
        for member in entry.members.iter().filter(|m| !exclude.contains(m)) {
            let upstream = &self.upstreams[member.index()];
            let availability = upstream.availability(&self.settings, now);
            if availability.free == 0 {
                continue;
            }
            if availability.purpose == SlotPurpose::ReportProbe {
                report_probe = report_probe.or(Some(*member));
                continue;
            }
            let moved = upstream.owned.map_or(0, |owned| owned.moved_permille);
            match moved > 0 && self.rng.random_range(0..WHOLE_PERMILLE) < moved {
                true => self.deferred.push((*member, availability.purpose)),
                false => self.preferred.push((*member, availability.purpose)),
            }
        }
        report_probe
    }

    /// Returns the upstream whose last failure is the oldest, if no upstream is healthy.
    fn last_resort(
        &self,
        service: ServiceId,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> Option<UpstreamId> {
        let members = &self.services.get(service.index())?.members;
        let allowed = members.iter().filter(|m| !exclude.contains(m));
        let entries = allowed.map(|m| (*m, &self.upstreams[m.index()]));
        if entries
            .clone()
            .any(|(_, entry)| entry.is_healthy(&self.settings, now))
        {
            return None;
        }
        let usable = entries.filter(|(_, entry)| entry.is_last_resort(&self.settings, now));
        let (upstream, _) = usable.min_by_key(|(_, entry)| entry.ejection.last_failure_at())?;
        Some(upstream)
    }

    fn choice(
        &self,
        service: ServiceId,
        upstream: UpstreamId,
        purpose: SlotPurpose,
        now: Instant,
    ) -> Choice {
        let reference_s = self.services[service.index()].latency.mean_s();
        let entry = &self.upstreams[upstream.index()];
        Choice {
            upstream,
            purpose,
            expected_s: entry.expected_s(reference_s, &self.settings, now),
        }
    }

    /// Returns the candidate with the best score.
    fn best(
        &self,
        service: ServiceId,
        candidates: &[AvailableUpstream],
        now: Instant,
    ) -> Option<Choice> {
        let choices = candidates
            .iter()
            .map(|(upstream, purpose)| self.choice(service, *upstream, *purpose, now));
        choices.min_by(|a, b| self.score(a).total_cmp(&self.score(b)))
    }

    fn is_slow(&self, service: ServiceId, choice: &Choice) -> bool {
        let reference_s = self.services[service.index()].latency.mean_s();
        choice.expected_s >= reference_s * SLOW_LATENCY_RATIO
    }

    fn score(&self, choice: &Choice) -> f64 {
        let load = self.upstreams[choice.upstream.index()].load();
        choice.expected_s * (1.0 + LOAD_WEIGHT * load)
    }
}

/// Picks two different candidates at random, or the only one twice.
fn pick_two(
    candidates: &[AvailableUpstream],
    rng: &mut ChaCha8Rng,
) -> Option<(AvailableUpstream, AvailableUpstream)> {
    let count = candidates.len();
    match count {
        0 => None,
        1 => Some((candidates[0], candidates[0])),
        _ => {
            let first = rng.random_range(0..count);
            let second = (first + rng.random_range(1..count)) % count;
            Some((candidates[first], candidates[second]))
        }
    }
}
