use std::time::Duration;

use tokio::time::Instant;

use super::running_attempt::RunningAttempt;
use super::speed_store::MAX_ENTRIES;
use crate::steer::load_balancer::hash_of;
use crate::steer::upstream_entry::UpstreamEntry;
use crate::steer::{
    AttemptOutcome, Decision, LoadBalancer, RequestContext, SharedSpeed, SlowUpstream, UpstreamKey,
};

/// Interval at which upstreams are compared with their service.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);

/// Fewest upstreams whose speed must be known to tell what is usual for their service now.
const MIN_KNOWN: usize = 3;

/// Fewest answers with which the speed of an upstream counts in what is usual.
const MIN_ANSWERS: f64 = 1.0;

/// Ratio from which an attempt that was given up says that the upstream is slow.
const MIN_CANCELLED_RATIO: f64 = 2.0;

/// Lowest ratio that a timeout counts as.
const MIN_TIMEOUT_RATIO: f64 = 3.0;

/// Most upstreams after the first of an object that are tried in its place.
const MAX_REPLACEMENTS: usize = 4;

impl LoadBalancer {
    /// Returns the upstreams that are slow against their service, by service and identity.
    pub fn slow_upstreams(&self) -> Vec<SlowUpstream> {
        let entries = self.entries().iter();
        let slow = entries.filter(|entry| entry.is_listed && entry.speed.is_slow());
        let slow = slow.map(|entry| SlowUpstream {
            service: entry.record.service.clone(),
            upstream: entry.record.id.clone(),
            percent: (entry.speed.ratio() * 100.0).round() as u32,
        });
        let mut slow: Vec<_> = slow.collect();
        slow.sort_by(|a, b| (&a.service, &a.upstream).cmp(&(&b.service, &b.upstream)));
        slow
    }

    /// Returns a report on the speed of upstreams since the last one. Its fate must be told with
    /// [`Self::merge_speeds`] or [`Self::restore_speeds`].
    pub fn take_speeds(&mut self, now: Instant) -> Vec<SharedSpeed> {
        if !self.settings.shares_speed {
            return Vec::new();
        }
        let usual_times = self.usual_times.clone();
        let own_region = self.own_region;
        let listed = self.entries_mut().iter_mut();
        let listed = listed.filter(|entry| entry.is_listed);
        let report = |entry: &mut UpstreamEntry| {
            if entry.region == own_region && !entry.is_cold(now) {
                let usual = &usual_times[entry.service.0 as usize];
                entry.speed.record_running(usual, now);
            }
            entry.speed.take_report(entry.id_hash, now)
        };
        listed.filter_map(report).take(MAX_ENTRIES).collect()
    }

    /// Keeps the answers of a report that was lost, for the next one.
    pub fn restore_speeds(&mut self) {
        let entries = self.entries_mut().iter_mut();
        entries.for_each(|entry| entry.speed.restore_report());
    }

    /// Takes the reply of the store to a report.
    pub fn merge_speeds(&mut self, speeds: &[SharedSpeed], now: Instant) {
        for shared in speeds {
            if let Some(key) = self.key_of_hash(shared.upstream) {
                self.entry_mut(key).speed.update_shared(shared, now);
            }
        }
        let entries = self.entries_mut().iter_mut();
        entries.for_each(|entry| entry.speed.settle_report());
    }

    /// Learns from the end of an attempt how fast an upstream of this region is.
    pub(in crate::steer) fn record_speed(
        &mut self,
        decision: &Decision,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        if !self.settings.shares_speed {
            return;
        }
        let own_region = self.own_region;
        let entry = self.entry_mut(decision.upstream);
        let attempt = entry.speed.end_attempt(decision.chosen_at);
        let is_comparable = entry.region == own_region && !entry.is_cold(now);
        let Some(attempt) = attempt.filter(|_| is_comparable) else {
            return;
        };
        let service = entry.service.0 as usize;
        let load = entry.load.load_of_answer(now);
        let usual = &mut self.usual_times[service];
        let ratio = match outcome {
            AttemptOutcome::Answered {
                took_ms,
                failed: false,
            } => {
                let waiting = load.map_or(0.0, |load| {
                    f64::from(load.waiting) / f64::from(load.slots.max(1))
                });
                let queue = attempt.queue.max(waiting);
                let noise = load.map_or(1.0, |load| load.noise());
                if queue <= 0.0 && noise <= 1.0 {
                    usual.record(attempt.holds_object, took_ms);
                }
                let ratio = usual.ratio(attempt.holds_object, took_ms / (1.0 + queue));
                // What noise explains is neither slow nor fast.
                ratio.map(|ratio| (ratio / noise).max(ratio.min(1.0)))
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                let ratio = usual.ratio(attempt.holds_object, attempt.ran_ms(now));
                unanswered_ratio(ratio, outcome == AttemptOutcome::TimedOut)
            }
            _ => None,
        };
        if let Some(ratio) = ratio {
            self.entry_mut(decision.upstream).speed.record(ratio, now);
        }
    }

    /// Compares all upstreams with their services, unless that was done a short while ago.
    pub(in crate::steer) fn compare_speeds_if_due(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < COMPARE_INTERVAL;
        if !self.settings.shares_speed || self.speeds_compared_at.is_some_and(is_recent) {
            return;
        }
        self.speeds_compared_at = Some(now);
        let mut ratios = vec![Vec::new(); self.usual_times.len()];
        for entry in self.entries().iter().filter(|entry| entry.is_listed) {
            let sample = entry.speed.sample();
            if sample.answers(now) >= MIN_ANSWERS {
                ratios[entry.service.0 as usize].push(sample.log_ratio());
            }
        }
        let levels: Vec<f64> = ratios.iter_mut().map(|ratios| level(ratios)).collect();
        let (instances, name) = (self.instance_count(), self.settings.instance.clone());
        self.slow_counts.iter_mut().for_each(|count| *count = 0);
        for index in 0..self.entries().len() {
            let entry = &mut self.entries_mut()[index];
            if !entry.is_listed {
                continue;
            }
            let order = hash_of(&[name.as_bytes(), entry.record.id.as_bytes()]);
            let order = order as f64 / u64::MAX as f64;
            let service = entry.service.0 as usize;
            entry.speed.compare(levels[service], instances, order, now);
            let is_slow = entry.speed.is_slow();
            self.slow_counts[service] += usize::from(is_slow);
        }
    }

    /// Leaves out slow upstreams that would answer after the target, and puts the next one by rank in
    /// the region of the first in its place if that would not. Candidates are in the order of rank.
    pub(in crate::steer) fn leave_out_slow(
        &self,
        request: &RequestContext<'_>,
        candidates: &mut Vec<(f64, UpstreamKey)>,
        now: Instant,
    ) {
        let service = self.service_keys.get(request.service);
        let service = service.filter(|key| self.slow_counts[key.0 as usize] > 0);
        let (Some(service), Some((_, first))) = (service, candidates.first().copied()) else {
            return;
        };
        // An instance that has just started knows the time that the service begins with.
        let begins_with = self.service_latencies.get(request.service);
        let usual = self.usual_times[service.0 as usize].hit_ms();
        let Some(usual_ms) = usual.or(begins_with.map(|latency| latency.expected_ms(true))) else {
            return;
        };
        let target_ms = request.target_latency.as_secs_f64() * 1_000.0;
        let knee = self.knee(request.service, now);
        let misses = |key: UpstreamKey| {
            let entry = self.entry(key);
            let queue = entry.queue_per_slot(knee, now);
            usual_ms * entry.speed.ratio() * (1.0 + queue) > target_ms
        };
        let is_left_out = |key: UpstreamKey| {
            let speed = &self.entry(key).speed;
            speed.is_slow() && !speed.is_probe_due(now) && misses(key)
        };
        if is_left_out(first) {
            let region = self.entry(first).region;
            let others = candidates.iter().enumerate().skip(1);
            let mut near = others.filter(|(_, (_, key))| self.entry(*key).region == region);
            let is_better = |key: UpstreamKey| !self.entry(key).speed.is_slow() && !misses(key);
            let next = near
                .by_ref()
                .take(MAX_REPLACEMENTS)
                .find(|(_, (_, key))| is_better(*key));
            let Some((index, _)) = next else {
                return;
            };
            let replacement = candidates.remove(index);
            candidates.insert(0, replacement);
        }
        let mut is_first = true;
        candidates.retain(|(_, key)| std::mem::take(&mut is_first) || !is_left_out(*key));
    }

    /// Records the start of an attempt at an upstream, which may be slow.
    pub(in crate::steer) fn begin_speed(&mut self, decision: &Decision, now: Instant) {
        if !self.settings.shares_speed {
            return;
        }
        let instances = self.instance_count();
        let entry = self.entry_mut(decision.upstream);
        let attempt = RunningAttempt::new(decision, entry.record.slots);
        entry.speed.begin_attempt(attempt);
        entry.speed.probe_if_due(instances, now);
    }
}

/// Returns the median of the logarithms of ratios; that of the usual time while few are known.
fn level(log_ratios: &mut [f64]) -> f64 {
    if log_ratios.len() < MIN_KNOWN {
        return 0.0;
    }
    log_ratios.sort_by(f64::total_cmp);
    log_ratios[(log_ratios.len() - 1) / 2]
}

/// Returns what an attempt without an answer says of an upstream, from the time that it ran. One
/// that was given up early says nothing.
fn unanswered_ratio(ran: Option<f64>, is_timeout: bool) -> Option<f64> {
    match is_timeout {
        true => ran
            .filter(|ratio| *ratio > 1.0)
            .map(|ratio| ratio.max(MIN_TIMEOUT_RATIO)),
        false => ran.filter(|ratio| *ratio >= MIN_CANCELLED_RATIO),
    }
}
