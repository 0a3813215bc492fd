use std::time::Duration;

use laburnumdeal_model::{ServiceId, UpstreamId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::choice::AvailableUpstream;
use crate::service_entry::ServiceEntry;
use crate::slow_start::SlowStart;
use crate::upstream_entry::UpstreamEntry;
use crate::{AttemptOutcome, Candidate, LoadReport, SlotGrant};
use crate::{OwnedUpstream, PoolSettings, SlotCounts, Ticket};

/// Minimum time between two checks of a queue.
const MIN_PERIOD: Duration = Duration::from_millis(5);

/// Quantile of the latency after which a hedged request is sent.
const HEDGE_QUANTILE: f64 = 0.95;

/// Counts, queues and latency estimates of a [`Pool`](crate::Pool). Its methods take the current
/// time as an argument and never wait.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{ServiceId, UpstreamId};
/// use laburnumdeal_policy::{Admission, AttemptOutcome, OwnedUpstream, PoolCore, PoolSettings};
/// use tokio::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let service = ServiceId(0);
/// let mut core = PoolCore::new(PoolSettings::default());
/// core.configure(now, &[OwnedUpstream {
///     id: UpstreamId(0), service, slots: 1, connections: 10, moved_permille: 0, leaving: false,
/// }]);
/// let deadline = now + Duration::from_secs(1);
/// let Admission::Granted(grant) = core.admit(service, deadline, &[], now) else { panic!() };
/// let Admission::Queued { ticket, .. } = core.admit(service, deadline, &[], now) else { panic!() };
/// core.release(grant, AttemptOutcome::Answered { latency: Duration::from_millis(9) }, now);
/// assert_eq!(core.take_granted()[0].0, ticket);
/// ```
#[derive(Clone, Debug)]
pub struct PoolCore {
    pub(crate) settings: PoolSettings,
    pub(crate) upstreams: Vec<UpstreamEntry>,
    pub(crate) services: Vec<ServiceEntry>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) next_ticket: u32,
    pub(crate) free_tickets: Vec<Ticket>,
    /// Upstreams with a free slot in the current choice; the memory is reused by the next one.
    pub(crate) preferred: Vec<AvailableUpstream>,
    /// Upstreams that a drain moves the request away from, chosen only if none is preferred.
    pub(crate) deferred: Vec<AvailableUpstream>,
    pub(crate) granted: Vec<(Ticket, SlotGrant)>,
}

impl PoolCore {
    /// Creates a core without upstreams.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            upstreams: Vec::new(),
            services: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            next_ticket: 0,
            free_tickets: Vec::new(),
            granted: Vec::new(),
            preferred: Vec::new(),
            deferred: Vec::new(),
        }
    }

    /// Replaces the set of upstreams. New ones start cold. Removed ones get no new requests, and
    /// their counts are kept until their requests end.
    pub fn configure(&mut self, now: Instant, upstreams: &[OwnedUpstream]) {
        for service in &mut self.services {
            service.members.clear();
        }
        let highest = upstreams.iter().map(|owned| owned.id.index() + 1).max();
        let mut owned_now = vec![None; highest.unwrap_or(0).max(self.upstreams.len())];
        for owned in upstreams {
            owned_now[owned.id.index()] = Some(*owned);
            self.service_mut(owned.service).members.push(owned.id);
        }
        for (index, owned) in owned_now.into_iter().enumerate() {
            self.entry_mut(UpstreamId(index as u32), now)
                .configure(owned, now);
        }
        self.dispatch_all(now);
    }

    /// Returns the tail latency of a service: the 95th percentile of its recent latencies, but at
    /// least their mean. `None` before the first answer.
    pub fn tail_latency(&self, service: ServiceId) -> Option<Duration> {
        let entry = self.services.get(service.index())?;
        entry.latency.is_measured().then(|| entry.tail_latency())
    }

    /// Returns whether this instance owns an upstream.
    pub fn owns(&self, upstream: UpstreamId) -> bool {
        let entry = self.upstreams.get(upstream.index());
        entry.is_some_and(|entry| entry.owned.is_some())
    }

    /// Frees a slot and grants it to the first waiting request that can use it.
    pub fn release(&mut self, grant: SlotGrant, outcome: AttemptOutcome, now: Instant) {
        let Some(owned) = self.upstreams[grant.upstream.index()].owned else {
            self.upstreams[grant.upstream.index()].release(
                &grant,
                outcome,
                0.0,
                &self.settings,
                now,
            );
            return;
        };
        let service = &mut self.services[owned.service.index()];
        let reference_s = match service.latency.is_measured() {
            true => service.latency.mean_s(),
            false => f64::INFINITY,
        };
        if let AttemptOutcome::Answered { latency } = outcome {
            service.latency.record(latency);
            service.recent_latencies.record(latency, now);
        }
        let entry = &mut self.upstreams[grant.upstream.index()];
        entry.release(&grant, outcome, reference_s, &self.settings, now);
        self.dispatch(owned.service, now);
    }

    /// Takes the tickets and grants of the waiting requests that got a slot since the last call.
    pub fn take_granted(&mut self) -> Vec<(Ticket, SlotGrant)> {
        let granted = std::mem::take(&mut self.granted);
        let free = granted.iter().map(|(ticket, _)| ticket.next());
        self.free_tickets.extend(free);
        granted
    }

    /// Records a load report that was made at `at`.
    pub fn report(&mut self, upstream: UpstreamId, report: LoadReport, at: Instant, now: Instant) {
        let settings = self.settings;
        self.entry_mut(upstream, now)
            .report(report, at, &settings, now);
        self.dispatch_for(upstream, now);
    }

    /// Records that a report was due at `at` and did not arrive.
    pub fn report_missing(&mut self, upstream: UpstreamId, at: Instant, now: Instant) {
        self.entry_mut(upstream, now).reports.record_missing(at);
        self.dispatch_for(upstream, now);
    }

    /// Counts slots as taken by requests of a former owner, until `until` or until load reports
    /// show that fewer are taken.
    pub fn assume_taken(&mut self, upstream: UpstreamId, count: u16, until: Instant, now: Instant) {
        self.entry_mut(upstream, now)
            .assumed
            .assume(count, until, now);
    }

    /// Opens every slot of an upstream that is warm because another owner has used it.
    pub fn assume_warm(&mut self, upstream: UpstreamId, now: Instant) {
        self.entry_mut(upstream, now).slow_start = SlowStart::warm();
        self.dispatch_for(upstream, now);
    }

    /// Returns the slot counts of a service.
    pub fn slot_counts(&self, service: ServiceId, now: Instant) -> SlotCounts {
        let mut counts = SlotCounts::default();
        let Some(entry) = self.services.get(service.index()) else {
            return counts;
        };
        counts.queued = entry.queue.len() as u32;
        for member in &entry.members {
            let availability = self.upstreams[member.index()].availability(&self.settings, now);
            counts.free += u32::from(availability.free);
            counts.total += u32::from(availability.open);
        }
        counts
    }

    /// Returns the number of this instance's requests in flight on an upstream.
    pub fn in_flight(&self, upstream: UpstreamId) -> u32 {
        let entry = self.upstreams.get(upstream.index());
        entry.map_or(0, |entry| entry.in_flight)
    }

    /// Returns whether an upstream accepts no new requests and all earlier ones have ended.
    pub fn is_drained(&self, upstream: UpstreamId, now: Instant) -> bool {
        let entry = self.upstreams.get(upstream.index());
        entry.is_none_or(|entry| entry.is_drained(&self.settings, now))
    }

    /// Returns how long to wait for an answer before sending a hedged request.
    pub fn hedge_delay(&self, service: ServiceId) -> Duration {
        let entry = self.services.get(service.index());
        entry
            .and_then(|entry| entry.recent_latencies.quantile(HEDGE_QUANTILE))
            .unwrap_or(Duration::from_millis(self.settings.initial_hedge_delay_ms))
            .max(Duration::from_millis(self.settings.min_hedge_delay_ms))
    }

    /// Returns every upstream of a service with the reason why it would or would not be chosen now.
    pub fn explain(&self, service: ServiceId, now: Instant) -> Vec<Candidate> {
        let Some(entry) = self.services.get(service.index()) else {
            return Vec::new();
        };
        let candidate = |upstream: &UpstreamId| self.candidate(*upstream, entry, now);
        entry.members.iter().map(candidate).collect()
    }

    /// Returns the next time at which a slot may open although no request ends.
    pub fn next_change(&self, service: ServiceId, now: Instant) -> Option<Instant> {
        let members = &self.services.get(service.index())?.members;
        let entries = members.iter().map(|member| &self.upstreams[member.index()]);
        let changes = entries.filter_map(|entry| entry.next_change(&self.settings, now));
        changes.min()
    }

    /// Returns when [`PoolCore::dispatch`] is due again for a queue of waiting requests.
    pub fn next_check(&self, service: ServiceId, now: Instant) -> Instant {
        let entry = self.services.get(service.index());
        let period = entry.map_or(MIN_PERIOD, |entry| entry.latency.mean().max(MIN_PERIOD));
        let check = now + period;
        let change = self.next_change(service, now);
        change.map_or(check, |at| at.min(check))
    }

    fn candidate(&self, upstream: UpstreamId, service: &ServiceEntry, now: Instant) -> Candidate {
        let entry = &self.upstreams[upstream.index()];
        let expected_s = entry.expected_s(service.latency.mean_s(), &self.settings, now);
        Candidate {
            upstream,
            latency: Duration::from_secs_f64(expected_s.max(0.0)),
            in_flight: entry.in_flight,
            slots: entry.owned.map_or(0, |owned| owned.slots),
            reason: entry.availability(&self.settings, now).reason,
        }
    }

    fn dispatch_for(&mut self, upstream: UpstreamId, now: Instant) {
        if let Some(owned) = self.upstreams[upstream.index()].owned {
            self.dispatch(owned.service, now);
        }
    }

    fn dispatch_all(&mut self, now: Instant) {
        for index in 0..self.services.len() {
            self.dispatch(ServiceId(index as u16), now);
        }
    }

    pub(crate) fn service_mut(&mut self, service: ServiceId) -> &mut ServiceEntry {
        if service.index() >= self.services.len() {
            let initial = Duration::from_millis(self.settings.initial_latency_ms);
            self.services
                .resize_with(service.index() + 1, || ServiceEntry::empty(initial));
        }
        &mut self.services[service.index()]
    }

    fn entry_mut(&mut self, upstream: UpstreamId, now: Instant) -> &mut UpstreamEntry {
        if upstream.index() >= self.upstreams.len() {
            self.upstreams
                .resize_with(upstream.index() + 1, || UpstreamEntry::unknown(now));
        }
        &mut self.upstreams[upstream.index()]
    }
}
