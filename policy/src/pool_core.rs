use std::time::Duration;

use laburnumdeal_model::{ServiceId, UpstreamId, WHOLE_PERMILLE};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::service_entry::ServiceEntry;
use crate::standing::SlotUse;
use crate::upstream_entry::UpstreamEntry;
use crate::waiter::Waiter;
use crate::{Admission, Candidate, Ending, LoadReport, NoSlot, NoSlotReason, SlotGrant};
use crate::{OwnedUpstream, PoolSettings, Room, Ticket};

/// Shortest time that a refused caller is told to stay away.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Longest time that a refused caller is told to stay away.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Share of answers that come before a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.95;

/// Counts, queues and estimates behind a [`Pool`](crate::Pool). It takes the time as an argument
/// and never waits.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{ServiceId, UpstreamId, WHOLE_PERMILLE};
/// use laburnumdeal_policy::{Admission, Ending, OwnedUpstream, PoolCore, PoolSettings};
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
/// core.release(grant, Ending::Answered { latency: Duration::from_millis(9) }, now);
/// assert_eq!(core.granted().map(|(waiting, _)| waiting).collect::<Vec<_>>(), [ticket]);
/// ```
#[derive(Clone, Debug)]
pub struct PoolCore {
    settings: PoolSettings,
    upstreams: Vec<UpstreamEntry>,
    services: Vec<ServiceEntry>,
    rng: ChaCha8Rng,
    next_ticket: u32,
    free_tickets: Vec<Ticket>,
    granted: Vec<(Ticket, SlotGrant)>,
    preferred: Vec<UpstreamId>,
    deferred: Vec<UpstreamId>,
}

impl PoolCore {
    /// Returns a core that owns no upstreams.
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

    /// Replaces the set of upstreams. New ones start cold; removed ones get no new work, and
    /// their counts live on until their requests end.
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

    /// Returns whether this instance owns an upstream.
    pub fn owns(&self, upstream: UpstreamId) -> bool {
        let mut members = self.services.iter().flat_map(|service| &service.members);
        members.any(|member| *member == upstream)
    }

    /// Returns a slot, a place in the queue or a refusal.
    pub fn admit(
        &mut self,
        service: ServiceId,
        deadline: Instant,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> Admission {
        if !self.service_mut(service).queue.is_empty() {
            self.dispatch(service, now);
        }
        if now < deadline
            && let Some(grant) = self.try_admit(service, exclude, now)
        {
            return Admission::Granted(grant);
        }
        match self.check_queue(service, deadline, exclude, now) {
            Ok(give_up_at) => {
                let ticket = self.enqueue(service, give_up_at, exclude);
                Admission::Queued { ticket, give_up_at }
            }
            Err(reason) => Admission::Refused(NoSlot {
                reason,
                retry_after: self.retry_after(service, now),
            }),
        }
    }

    /// Returns a slot if one is free now.
    pub fn try_admit(
        &mut self,
        service: ServiceId,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> Option<SlotGrant> {
        let (upstream, use_of) = self.choose(service, exclude, now)?;
        self.upstreams[upstream.index()].take(use_of, &self.settings, now);
        Some(SlotGrant {
            upstream,
            at: now,
            use_of,
        })
    }

    /// Gives a slot back and hands it to the first waiting request that can use it.
    pub fn release(&mut self, grant: SlotGrant, ending: Ending, now: Instant) {
        let Some(owned) = self.upstreams[grant.upstream.index()].owned else {
            self.upstreams[grant.upstream.index()].release(
                &grant,
                ending,
                0.0,
                &self.settings,
                now,
            );
            return;
        };
        let service = &mut self.services[owned.service.index()];
        let reference_s = match service.time.is_measured() {
            true => service.time.mean_s(),
            false => f64::INFINITY,
        };
        if let Ending::Answered { latency } = ending {
            service.time.record(latency);
            service.window.record(latency, now);
        }
        let entry = &mut self.upstreams[grant.upstream.index()];
        entry.release(&grant, ending, reference_s, &self.settings, now);
        self.dispatch(owned.service, now);
    }

    /// Removes a request from the queue; returns whether it was there.
    pub fn cancel(&mut self, service: ServiceId, ticket: Ticket) -> bool {
        let queue = &mut self.service_mut(service).queue;
        let Some(position) = queue.iter().position(|waiter| waiter.ticket == ticket) else {
            return false;
        };
        queue.remove(position);
        self.free_tickets.push(ticket);
        true
    }

    /// Hands free slots to waiting requests, in order of arrival.
    pub fn dispatch(&mut self, service: ServiceId, now: Instant) {
        let mut queue = std::mem::take(&mut self.service_mut(service).queue);
        let mut position = 0;
        while position < queue.len() {
            let waiter = &queue[position];
            if waiter.give_up_at < now {
                position += 1;
                continue;
            }
            match self.try_admit(service, &waiter.exclude, now) {
                Some(grant) => {
                    let ticket = waiter.ticket;
                    queue.remove(position);
                    self.free_tickets.push(ticket);
                    self.granted.push((ticket, grant));
                }
                None if waiter.exclude.is_empty() => break,
                None => position += 1,
            }
        }
        self.service_mut(service).queue = queue;
    }

    /// Returns the waiting requests that were given a slot since the last call.
    pub fn granted(&mut self) -> impl Iterator<Item = (Ticket, SlotGrant)> + '_ {
        self.granted.drain(..)
    }

    /// Takes in a load report that was made at `at`.
    pub fn report(&mut self, upstream: UpstreamId, report: LoadReport, at: Instant, now: Instant) {
        let settings = self.settings;
        self.entry_mut(upstream, now)
            .report(report, at, &settings, now);
        self.dispatch_for(upstream, now);
    }

    /// Notes that a report was due at `at` and did not come.
    pub fn report_missing(&mut self, upstream: UpstreamId, at: Instant, now: Instant) {
        self.entry_mut(upstream, now).reports.missing(at);
        self.dispatch_for(upstream, now);
    }

    /// Counts slots as taken by requests of a dead owner until `until` or until reports say less.
    pub fn assume_taken(&mut self, upstream: UpstreamId, count: u16, until: Instant, now: Instant) {
        self.entry_mut(upstream, now)
            .assumed
            .assume(count, until, now);
    }

    /// Returns the room of a service.
    pub fn room(&self, service: ServiceId, now: Instant) -> Room {
        let mut room = Room::default();
        let Some(entry) = self.services.get(service.index()) else {
            return room;
        };
        room.queued = entry.queue.len() as u32;
        for member in &entry.members {
            let standing = self.upstreams[member.index()].standing(&self.settings, now);
            room.free += u32::from(standing.free);
            room.total += u32::from(standing.open);
        }
        room
    }

    /// Returns the requests of this instance that run on an upstream.
    pub fn in_flight(&self, upstream: UpstreamId) -> u32 {
        let entry = self.upstreams.get(upstream.index());
        entry.map_or(0, |entry| entry.in_flight)
    }

    /// Returns whether an upstream takes no new work and all that it had has ended.
    pub fn drained(&self, upstream: UpstreamId, now: Instant) -> bool {
        let entry = self.upstreams.get(upstream.index());
        entry.is_none_or(|entry| entry.is_drained(&self.settings, now))
    }

    /// Returns how long to wait for an answer before sending a hedge.
    pub fn hedge_after(&self, service: ServiceId) -> Duration {
        let entry = self.services.get(service.index());
        entry
            .and_then(|entry| entry.window.quantile(HEDGE_QUANTILE))
            .unwrap_or(Duration::from_millis(self.settings.hedge_ms))
            .max(Duration::from_millis(self.settings.hedge_min_ms))
    }

    /// Returns every upstream of a service with the reason why it would or would not be chosen.
    pub fn explain(&self, service: ServiceId, now: Instant) -> Vec<Candidate> {
        let Some(entry) = self.services.get(service.index()) else {
            return Vec::new();
        };
        let candidate = |upstream: &UpstreamId| self.candidate(*upstream, entry, now);
        entry.members.iter().map(candidate).collect()
    }

    /// Returns the next time at which room may open without any request ending.
    pub fn next_change(&self, service: ServiceId, now: Instant) -> Option<Instant> {
        let members = &self.services.get(service.index())?.members;
        let entries = members.iter().map(|member| &self.upstreams[member.index()]);
        entries
            .filter_map(|entry| entry.next_change(&self.settings, now))
            .min()
    }

    fn candidate(&self, upstream: UpstreamId, service: &ServiceEntry, now: Instant) -> Candidate {
        let entry = &self.upstreams[upstream.index()];
        let expected_s = entry.expected_s(service.time.mean_s(), &self.settings, now);
        Candidate {
            upstream,
            latency: Duration::from_secs_f64(expected_s.max(0.0)),
            in_flight: entry.in_flight,
            slots: entry.owned.map_or(0, |owned| owned.slots),
            reason: entry.standing(&self.settings, now).reason,
        }
    }

    fn choose(
        &mut self,
        service: ServiceId,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> Option<(UpstreamId, SlotUse)> {
        let entry = self.services.get(service.index())?;
        let reference_s = entry.time.mean_s();
        self.preferred.clear();
        self.deferred.clear();
        let mut report_probe = None;
        let mut is_any_trusted = false;
        for member in entry
            .members
            .iter()
            .filter(|member| !exclude.contains(member))
        {
            let entry = &self.upstreams[member.index()];
            is_any_trusted |= !entry.is_closed(&self.settings, now) && !entry.ejection.is_suspect();
            let standing = entry.standing(&self.settings, now);
            if standing.free == 0 {
                continue;
            }
            if standing.use_of == SlotUse::ReportProbe {
                report_probe = report_probe.or(Some(*member));
                continue;
            }
            let moved = entry.owned.map_or(0, |owned| owned.moved_permille);
            match moved > 0 && self.rng.random_range(0..WHOLE_PERMILLE) < moved {
                true => self.deferred.push(*member),
                false => self.preferred.push(*member),
            }
        }
        let candidates = match self.preferred.is_empty() {
            true => &self.deferred,
            false => &self.preferred,
        };
        if let Some(chosen) = pick_two(candidates, &mut self.rng).map(|(first, second)| {
            let score = |id: UpstreamId| {
                let entry = &self.upstreams[id.index()];
                entry.expected_s(reference_s, &self.settings, now) * f64::from(entry.in_flight + 1)
            };
            if score(second) < score(first) {
                second
            } else {
                first
            }
        }) {
            let use_of = self.upstreams[chosen.index()]
                .standing(&self.settings, now)
                .use_of;
            return Some((chosen, use_of));
        }
        if let Some(chosen) = report_probe {
            return Some((chosen, SlotUse::ReportProbe));
        }
        if is_any_trusted {
            return None;
        }
        let chosen = self.last_resort(service, exclude, now)?;
        Some((chosen, SlotUse::ReturnProbe))
    }

    fn last_resort(
        &self,
        service: ServiceId,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> Option<UpstreamId> {
        let members = &self.services.get(service.index())?.members;
        let usable = members.iter().filter(|member| {
            !exclude.contains(member)
                && self.upstreams[member.index()].is_last_resort(&self.settings, now)
        });
        let chosen =
            usable.min_by_key(|member| self.upstreams[member.index()].ejection.last_failure_at());
        chosen.copied()
    }

    /// Returns until when a request may wait, or why it may not.
    fn check_queue(
        &mut self,
        service: ServiceId,
        deadline: Instant,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> Result<Instant, NoSlotReason> {
        let entry = &self.services[service.index()];
        let mut slots = 0;
        for member in entry
            .members
            .iter()
            .filter(|member| !exclude.contains(member))
        {
            let upstream = &self.upstreams[member.index()];
            if !upstream.is_closed(&self.settings, now) {
                slots += upstream.owned.map_or(0, |owned| u32::from(owned.slots));
            }
        }
        if slots == 0 {
            return Err(NoSlotReason::NoUpstream);
        }
        let service_time = entry.time.mean();
        let wait = self.expected_wait(service, now);
        if now + wait + service_time > deadline {
            return Err(NoSlotReason::Deadline);
        }
        if entry.queue.len() as u64 >= u64::from(slots) * u64::from(self.settings.queue_per_slot) {
            return Err(NoSlotReason::QueueFull);
        }
        Ok(deadline - service_time)
    }

    /// Returns the time that a request would wait behind those that wait already.
    fn expected_wait(&self, service: ServiceId, now: Instant) -> Duration {
        let entry = &self.services[service.index()];
        let open = self.room(service, now).total;
        let ahead = entry.queue.len() as f64 + 1.0;
        if open > 0 {
            return Duration::from_secs_f64(ahead * entry.time.mean_s() / f64::from(open));
        }
        let opens_at = self.next_change(service, now).unwrap_or(now);
        opens_at - now + Duration::from_secs_f64(ahead * entry.time.mean_s())
    }

    pub(crate) fn retry_after(&self, service: ServiceId, now: Instant) -> Duration {
        let wait = self.expected_wait(service, now);
        wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    fn enqueue(
        &mut self,
        service: ServiceId,
        give_up_at: Instant,
        exclude: &[UpstreamId],
    ) -> Ticket {
        let ticket = self.free_tickets.pop().unwrap_or_else(|| {
            self.next_ticket += 1;
            Ticket(self.next_ticket - 1)
        });
        self.service_mut(service).queue.push_back(Waiter {
            ticket,
            give_up_at,
            exclude: exclude.into(),
        });
        ticket
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

    fn service_mut(&mut self, service: ServiceId) -> &mut ServiceEntry {
        if service.index() >= self.services.len() {
            let initial = Duration::from_millis(self.settings.service_time_ms);
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

/// Returns two different candidates at random, or the only one twice.
fn pick_two(candidates: &[UpstreamId], rng: &mut ChaCha8Rng) -> Option<(UpstreamId, UpstreamId)> {
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
