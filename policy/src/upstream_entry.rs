use std::time::Duration;

use laburnumdeal_model::WHOLE_PERMILLE;
use tokio::time::Instant;

use crate::UpstreamState;
use crate::assumed_slots::AssumedSlots;
use crate::availability::{Availability, SlotPurpose};
use crate::ejection::Ejection;
use crate::latency_average::LatencyAverage;
use crate::lingering_slots::LingeringSlots;
use crate::reported_load::ReportedLoad;
use crate::shed_limit::ShedLimit;
use crate::slow_start::SlowStart;
use crate::{AttemptOutcome, CandidateReason, LoadReport, OwnedUpstream, PoolSettings, SlotGrant};

/// Divisor of the slots that an unhealthy upstream keeps open when no upstream of its service is
/// healthy.
const LAST_RESORT_DIVISOR: u16 = 4;

/// State of one upstream: its settings, its requests in flight and the limits on new ones.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamEntry {
    pub owned: Option<OwnedUpstream>,
    pub in_flight: u32,
    pub latency: LatencyAverage,
    pub slow_start: SlowStart,
    pub shed: ShedLimit,
    pub ejection: Ejection,
    pub reports: ReportedLoad,
    pub assumed: AssumedSlots,
    lingering: LingeringSlots,
    unanswered_since: Option<Instant>,
}

impl UpstreamEntry {
    /// Creates the entry of an upstream that this instance doesn't own and knows nothing about.
    pub fn unknown(now: Instant) -> Self {
        Self {
            owned: None,
            in_flight: 0,
            latency: LatencyAverage::default(),
            slow_start: SlowStart::cold(now),
            shed: ShedLimit::default(),
            ejection: Ejection::default(),
            reports: ReportedLoad::default(),
            assumed: AssumedSlots::default(),
            lingering: LingeringSlots::default(),
            unanswered_since: None,
        }
    }

    /// Replaces the settings of the upstream. A new one starts cold.
    pub fn configure(&mut self, owned: Option<OwnedUpstream>, now: Instant) {
        if self.owned.is_none() && owned.is_some() {
            self.slow_start = SlowStart::cold(now);
        }
        self.owned = owned;
    }

    /// Returns the slots that are open and free now, with the reason for the limit.
    pub fn availability(&self, settings: &PoolSettings, now: Instant) -> Availability {
        let Some(owned) = &self.owned else {
            return Availability::closed(CandidateReason::NotAllowed);
        };
        if let Some(reason) = self.closed_reason(owned, settings, now) {
            return Availability::closed(reason);
        }
        if self.ejection.is_suspect() {
            return self.probe_availability(owned, now);
        }
        let (open, reason) = self.open_slots(owned, settings, now);
        let reserved = self.reserved_slots(now);
        let in_flight = self.own_in_flight();
        let free = open
            .saturating_sub(in_flight)
            .min(capacity(owned).saturating_sub(in_flight + reserved));
        if free == 0 {
            let reason = match (in_flight < open, reason) {
                (true, _) => CandidateReason::Assumed,
                (false, CandidateReason::HasRoom) => CandidateReason::Full,
                (false, reason) => reason,
            };
            return Availability {
                free,
                open,
                purpose: SlotPurpose::Work,
                reason,
            };
        }
        self.limit_by_reports(
            owned,
            Availability {
                free,
                open,
                purpose: SlotPurpose::Work,
                reason,
            },
            settings,
            now,
        )
    }

    /// Returns whether the upstream is unhealthy but may still take a request when its service has
    /// no healthy one.
    pub fn is_last_resort(&self, settings: &PoolSettings, now: Instant) -> bool {
        let Some(owned) = &self.owned else {
            return false;
        };
        let limit = (capacity(owned) / LAST_RESORT_DIVISOR).max(1);
        let taken = self.own_in_flight() + self.reserved_slots(now);
        self.ejection.is_suspect() && !self.refuses_requests(owned, settings, now) && taken < limit
    }

    /// Returns whether the upstream accepts new requests and its last requests did not fail.
    pub fn is_healthy(&self, settings: &PoolSettings, now: Instant) -> bool {
        !self.is_closed(settings, now) && !self.ejection.is_suspect()
    }

    /// Returns the fraction of the slots that requests of this instance use.
    pub fn load(&self) -> f64 {
        let slots = self.owned.map_or(1, |owned| owned.slots.max(1));
        f64::from(self.in_flight) / f64::from(slots)
    }

    /// Returns whether the upstream accepts no new requests because of a drain or because it is
    /// leaving or not owned.
    pub fn is_closed(&self, settings: &PoolSettings, now: Instant) -> bool {
        match &self.owned {
            Some(owned) => self.refuses_requests(owned, settings, now),
            None => true,
        }
    }

    /// Returns whether the upstream accepts no new requests and all earlier ones have ended.
    pub fn is_drained(&self, settings: &PoolSettings, now: Instant) -> bool {
        self.in_flight == 0 && self.reserved_slots(now) == 0 && self.is_closed(settings, now)
    }

    /// Takes a slot and records what the request on it may find out.
    pub fn take(&mut self, purpose: SlotPurpose, settings: &PoolSettings, now: Instant) {
        if self.in_flight == 0 {
            self.unanswered_since = Some(now);
        }
        self.in_flight += 1;
        self.reports.record_in_flight(self.in_flight);
        self.shed.sent(self.own_in_flight(), now);
        match purpose {
            SlotPurpose::Work => {}
            SlotPurpose::RecoveryProbe => self.ejection.set_probe(true),
            SlotPurpose::ReportProbe => self.reports.probe_started(settings, now),
        }
    }

    /// Frees a slot and updates the limits by the outcome of its request.
    pub fn release(
        &mut self,
        grant: &SlotGrant,
        outcome: AttemptOutcome,
        reference_s: f64,
        settings: &PoolSettings,
        now: Instant,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.reports.record_in_flight(self.in_flight);
        self.end_probe(grant, outcome, settings, now);
        match outcome {
            AttemptOutcome::Answered { latency } => {
                self.record_answer(grant, latency, reference_s, settings, now)
            }
            AttemptOutcome::Shed => self.record_shed(settings, now),
            AttemptOutcome::Refused | AttemptOutcome::Failed | AttemptOutcome::TimedOut => {
                self.ejection
                    .record_failure(outcome, grant.granted_at, settings, now);
            }
            AttemptOutcome::Aborted | AttemptOutcome::Cancelled => {}
        }
        if matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Aborted) {
            let period = Duration::from_millis(settings.abort_linger_ms);
            self.lingering.add(period, now);
        }
    }

    /// Records a load report that was made at `at`.
    pub fn report(
        &mut self,
        report: LoadReport,
        at: Instant,
        settings: &PoolSettings,
        now: Instant,
    ) {
        let before = self.reports.state(settings, now);
        let Some(max_others) = self.reports.record(report, at, self.in_flight) else {
            return;
        };
        self.assumed.limit_to_report(max_others, at);
        let became_cold =
            report.state == UpstreamState::Cold && before != Some(UpstreamState::Cold);
        if became_cold {
            self.slow_start = SlowStart::cold(now);
        }
    }

    /// Returns the latency in seconds that is expected of a new request. While requests are in
    /// flight, it is at least the time since the last answer or, after an idle time, since a request
    /// was sent.
    pub fn expected_s(&self, reference_s: f64, settings: &PoolSettings, now: Instant) -> f64 {
        let decay = Duration::from_millis(settings.latency_decay_ms);
        let expected_s = self.latency.expected_s(reference_s, decay, now);
        match self.unanswered_since {
            Some(since) if self.in_flight > 0 => {
                expected_s.max(now.saturating_duration_since(since).as_secs_f64())
            }
            _ => expected_s,
        }
    }

    /// Returns the next time at which a slot may open although no request ends.
    pub fn next_change(&self, settings: &PoolSettings, now: Instant) -> Option<Instant> {
        let owned = self.owned.as_ref()?;
        let slow_start_step = self
            .slow_start
            .next_step(owned.slots, cold_period(settings), now);
        let times = [
            self.shed.next_slot_at(),
            self.ejection.until(),
            self.assumed.until(),
            self.lingering.next_free(now),
            self.reports.probe_at(),
            slow_start_step,
        ];
        times.into_iter().flatten().filter(|at| *at > now).min()
    }

    /// Returns the slots that count as taken in addition to those of this instance's requests in
    /// flight: assumed slots of a former owner and slots of aborted requests.
    fn reserved_slots(&self, now: Instant) -> u16 {
        self.assumed
            .taken(now)
            .saturating_add(self.lingering.taken(now))
    }

    fn own_in_flight(&self) -> u16 {
        u16::try_from(self.in_flight).unwrap_or(u16::MAX)
    }

    fn refuses_requests(
        &self,
        owned: &OwnedUpstream,
        settings: &PoolSettings,
        now: Instant,
    ) -> bool {
        owned.leaving
            || owned.moved_permille >= WHOLE_PERMILLE
            || self.reports.state(settings, now) == Some(UpstreamState::Leaving)
    }

    fn closed_reason(
        &self,
        owned: &OwnedUpstream,
        settings: &PoolSettings,
        now: Instant,
    ) -> Option<CandidateReason> {
        if owned.moved_permille >= WHOLE_PERMILLE {
            return Some(CandidateReason::Draining);
        }
        if self.refuses_requests(owned, settings, now) {
            return Some(CandidateReason::Leaving);
        }
        if self.ejection.is_ejected(now) {
            return Some(CandidateReason::Failing);
        }
        let is_paused = self.shed.limit(now) == Some(0);
        is_paused.then_some(CandidateReason::Shed)
    }

    fn probe_availability(&self, owned: &OwnedUpstream, now: Instant) -> Availability {
        let taken = self.own_in_flight() + self.reserved_slots(now);
        let is_free = !self.ejection.has_probe() && taken < capacity(owned);
        Availability {
            free: u16::from(is_free),
            open: 1,
            purpose: SlotPurpose::RecoveryProbe,
            reason: CandidateReason::Probing,
        }
    }

    /// Returns the slots that are open to requests of this instance, with the reason for the limit.
    fn open_slots(
        &self,
        owned: &OwnedUpstream,
        settings: &PoolSettings,
        now: Instant,
    ) -> (u16, CandidateReason) {
        let slots = capacity(owned);
        let mut open = slots;
        let mut reason = CandidateReason::HasRoom;
        if let Some(limit) = self.slow_start.limit(slots, cold_period(settings), now) {
            open = limit;
            reason = CandidateReason::Cold { open, slots };
        }
        if let Some(limit) = self.shed.limit(now).filter(|limit| *limit < open) {
            open = limit;
            reason = CandidateReason::ShedLately { open, slots };
        }
        let remaining_permille = u32::from(WHOLE_PERMILLE - owned.moved_permille);
        let remaining =
            (u32::from(slots) * remaining_permille).div_ceil(u32::from(WHOLE_PERMILLE)) as u16;
        if remaining < open {
            open = remaining;
            reason = CandidateReason::Draining;
        }
        (open, reason)
    }

    /// Limits the availability to the slots that the load reports and the observed answers leave.
    fn limit_by_reports(
        &self,
        owned: &OwnedUpstream,
        availability: Availability,
        settings: &PoolSettings,
        now: Instant,
    ) -> Availability {
        let reported_free = self.reports.free_slots(capacity(owned), settings, now);
        let proven_slots = self.reports.proven_slots(settings, now);
        let free = (reported_free + proven_slots).saturating_sub(self.own_in_flight());
        if free > 0 {
            return Availability {
                free: availability.free.min(free),
                ..availability
            };
        }
        Availability {
            free: u16::from(self.reports.may_probe(now)),
            purpose: SlotPurpose::ReportProbe,
            reason: CandidateReason::Reported,
            ..availability
        }
    }

    fn end_probe(
        &mut self,
        grant: &SlotGrant,
        outcome: AttemptOutcome,
        settings: &PoolSettings,
        now: Instant,
    ) {
        match grant.purpose {
            SlotPurpose::Work => {}
            SlotPurpose::RecoveryProbe => self.ejection.set_probe(false),
            SlotPurpose::ReportProbe => {
                let answered = matches!(outcome, AttemptOutcome::Answered { .. });
                self.reports.probe_ended(answered, settings, now);
            }
        }
    }

    fn record_answer(
        &mut self,
        grant: &SlotGrant,
        latency: Duration,
        reference_s: f64,
        settings: &PoolSettings,
        now: Instant,
    ) {
        self.latency.record(latency, now);
        self.unanswered_since = Some(now);
        if self.ejection.record_answer() {
            self.slow_start = SlowStart::cold(now);
        }
        if let Some(owned) = &self.owned {
            let slots = capacity(owned);
            let backoff = Duration::from_millis(settings.shed_backoff_ms);
            self.shed.answered(grant.granted_at, slots, backoff, now);
            self.slow_start.answered(latency.as_secs_f64(), reference_s);
            self.slow_start
                .end_if_open(slots, cold_period(settings), now);
        }
    }

    fn record_shed(&mut self, settings: &PoolSettings, now: Instant) {
        let backoff = Duration::from_millis(settings.shed_backoff_ms);
        let max_backoff = Duration::from_millis(settings.max_shed_backoff_ms);
        self.shed
            .shed(self.own_in_flight(), backoff, max_backoff, now);
        self.ejection.record_answer();
    }
}

fn capacity(owned: &OwnedUpstream) -> u16 {
    owned.slots.min(owned.connections)
}

fn cold_period(settings: &PoolSettings) -> Duration {
    Duration::from_millis(settings.cold_start_ms)
}
