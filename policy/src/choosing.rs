use laburnumdeal_model::{ServiceId, UpstreamId, WHOLE_PERMILLE};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Duration, Instant};

use crate::PoolCore;
use crate::standing::SlotUse;

/// Share by which a full upstream counts as slower than an idle one.
const LOAD_WEIGHT: f64 = 0.25;

/// Multiple of the service's latency from which on faster upstreams are looked for.
const CONSIDER_FACTOR: f64 = 1.25;

/// Multiple of a faster upstream's latency from which on a wait for it is considered.
const HOLD_FACTOR: f64 = 2.0;

/// Share of the gain that a wait may cost.
const HOLD_SHARE: f64 = 0.15;

/// An upstream with room and what the room is for.
pub(crate) type RoomAt = (UpstreamId, SlotUse);

/// An upstream that a request could be sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    pub upstream: UpstreamId,
    pub use_of: SlotUse,
    pub expected_s: f64,
}

impl PoolCore {
    /// Returns the upstream that a request should go to among those that have room.
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
            return Some(self.choice(service, upstream, SlotUse::ReportProbe, now));
        }
        let upstream = self.last_resort(service, exclude, now)?;
        Some(self.choice(service, upstream, SlotUse::ReturnProbe, now))
    }

    /// Returns until when to wait for a faster upstream instead, if that is expected to be sooner.
    pub(crate) fn hold_until(
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
        let reference_s = entry.time.mean_s();
        let (mut running, mut ends_per_s) = (0.0, 0.0);
        for member in entry.members.iter().filter(|m| !exclude.contains(m)) {
            let upstream = &self.upstreams[member.index()];
            let expected_s = upstream.expected_s(reference_s, &self.settings, now);
            let is_faster = expected_s * HOLD_FACTOR < choice.expected_s;
            if is_faster && upstream.is_trusted(&self.settings, now) {
                running += f64::from(upstream.in_flight);
                ends_per_s += f64::from(upstream.in_flight) / expected_s;
            }
        }
        if ends_per_s <= 0.0 {
            return None;
        }
        let faster_s = running / ends_per_s;
        let wait_s = (ahead as f64 + 1.0) / ends_per_s;
        let gain_s = choice.expected_s - faster_s;
        (wait_s < gain_s * HOLD_SHARE).then(|| now + Duration::from_secs_f64(gain_s))
    }

    /// Collects the upstreams with room; returns one that only its reports call full.
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
            let standing = upstream.standing(&self.settings, now);
            if standing.free == 0 {
                continue;
            }
            if standing.use_of == SlotUse::ReportProbe {
                report_probe = report_probe.or(Some(*member));
                continue;
            }
            let moved = upstream.owned.map_or(0, |owned| owned.moved_permille);
            match moved > 0 && self.rng.random_range(0..WHOLE_PERMILLE) < moved {
                true => self.deferred.push((*member, standing.use_of)),
                false => self.preferred.push((*member, standing.use_of)),
            }
        }
        report_probe
    }

    /// Returns the least recently failed upstream when none is trusted.
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
            .any(|(_, entry)| entry.is_trusted(&self.settings, now))
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
        use_of: SlotUse,
        now: Instant,
    ) -> Choice {
        let reference_s = self.services[service.index()].time.mean_s();
        let entry = &self.upstreams[upstream.index()];
        Choice {
            upstream,
            use_of,
            expected_s: entry.expected_s(reference_s, &self.settings, now),
        }
    }

    /// Returns the best of all candidates.
    fn best(&self, service: ServiceId, candidates: &[RoomAt], now: Instant) -> Option<Choice> {
        let choices = candidates
            .iter()
            .map(|(upstream, use_of)| self.choice(service, *upstream, *use_of, now));
        choices.min_by(|a, b| self.score(a).total_cmp(&self.score(b)))
    }

    fn is_slow(&self, service: ServiceId, choice: &Choice) -> bool {
        let reference_s = self.services[service.index()].time.mean_s();
        choice.expected_s >= reference_s * CONSIDER_FACTOR
    }

    fn score(&self, choice: &Choice) -> f64 {
        let load = self.upstreams[choice.upstream.index()].load();
        choice.expected_s * (1.0 + LOAD_WEIGHT * load)
    }
}

/// Returns two different candidates at random, or the only one twice.
fn pick_two(candidates: &[RoomAt], rng: &mut ChaCha8Rng) -> Option<(RoomAt, RoomAt)> {
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
