use std::time::Duration;

use laburnumdeal_model::WHOLE_PERMILLE;
use tokio::time::Instant;

use crate::UpstreamState;
use crate::assumed_slots::AssumedSlots;
use crate::ejection::Ejection;
use crate::latency::Latency;
use crate::lingering_slots::LingeringSlots;
use crate::reported_load::ReportedLoad;
use crate::shed_limit::ShedLimit;
use crate::slow_start::SlowStart;
use crate::standing::{SlotUse, Standing};
use crate::{AttemptOutcome, CandidateReason, LoadReport, OwnedUpstream, PoolSettings, SlotGrant};

/// Divisor of the slots that stay open when every upstream of a service is suspect.
const LAST_RESORT_DIVISOR: u16 = 4;

/// Everything that is known about one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamEntry {
    pub owned: Option<OwnedUpstream>,
    pub in_flight: u32,
    pub latency: Latency,
    pub slow_start: SlowStart,
    pub shed: ShedLimit,
    pub ejection: Ejection,
    pub reports: ReportedLoad,
    pub assumed: AssumedSlots,
    lingering: LingeringSlots,
    quiet_since: Option<Instant>,
}

impl UpstreamEntry {
    /// Returns an entry that nothing is known about.
    pub fn unknown(now: Instant) -> Self {
        Self {
            owned: None,
            in_flight: 0,
            latency: Latency::default(),
            slow_start: SlowStart::cold(now),
            shed: ShedLimit::default(),
            ejection: Ejection::default(),
            reports: ReportedLoad::default(),
            assumed: AssumedSlots::default(),
            lingering: LingeringSlots::default(),
            quiet_since: None,
        }
    }

    /// Replaces the settings of the upstream; one that is new starts cold.
    pub fn configure(&mut self, owned: Option<OwnedUpstream>, now: Instant) {
        if self.owned.is_none() && owned.is_some() {
            self.slow_start = SlowStart::cold(now);
        }
        self.owned = owned;
    }

    /// Returns the room that the upstream has now.
    pub fn standing(&self, settings: &PoolSettings, now: Instant) -> Standing {
        let Some(owned) = &self.owned else {
            return Standing::closed(CandidateReason::NotAllowed);
        };
        if let Some(reason) = self.closed(owned, settings, now) {
            return Standing::closed(reason);
        }
        if self.ejection.is_suspect() {
            return self.probing(owned, now);
        }
        let (open, reason) = self.open_slots(owned, settings, now);
        let assumed = self.uncounted(now);
        let in_flight = self.own();
        let free = open
            .saturating_sub(in_flight)
            .min(capacity(owned).saturating_sub(in_flight + assumed));
        if free == 0 {
            let reason = match (in_flight < open, reason) {
                (true, _) => CandidateReason::Assumed,
                (false, CandidateReason::HasRoom) => CandidateReason::Full,
                (false, reason) => reason,
            };
            return Standing {
                free,
                open,
                use_of: SlotUse::Work,
                reason,
            };
        }
        self.within_reports(
            owned,
            Standing {
                free,
                open,
                use_of: SlotUse::Work,
                reason,
            },
            settings,
            now,
        )
    }

    /// Returns whether the upstream may serve as the last resort of a service that has no other.
    pub fn is_last_resort(&self, settings: &PoolSettings, now: Instant) -> bool {
        let Some(owned) = &self.owned else {
            return false;
        };
        let bound = (capacity(owned) / LAST_RESORT_DIVISOR).max(1);
        let taken = self.own() + self.uncounted(now);
        self.ejection.is_suspect() && !self.takes_nothing(owned, settings, now) && taken < bound
    }

    /// Returns whether the upstream takes new work and its last requests did not fail.
    pub fn is_trusted(&self, settings: &PoolSettings, now: Instant) -> bool {
        !self.is_closed(settings, now) && !self.ejection.is_suspect()
    }

    /// Returns the share of the slots that own requests use.
    pub fn load(&self) -> f64 {
        let slots = self.owned.map_or(1, |owned| owned.slots.max(1));
        f64::from(self.in_flight) / f64::from(slots)
    }

    /// Returns whether the upstream takes no new work until an operator or itself says otherwise.
    pub fn is_closed(&self, settings: &PoolSettings, now: Instant) -> bool {
        match &self.owned {
            Some(owned) => self.takes_nothing(owned, settings, now),
            None => true,
        }
    }

    /// Returns whether the upstream takes no new work and all that it had has ended.
    pub fn is_drained(&self, settings: &PoolSettings, now: Instant) -> bool {
        self.in_flight == 0 && self.uncounted(now) == 0 && self.is_closed(settings, now)
    }

    /// Takes a slot.
    pub fn take(&mut self, use_of: SlotUse, settings: &PoolSettings, now: Instant) {
        if self.in_flight == 0 {
            self.quiet_since = Some(now);
        }
        self.in_flight += 1;
        self.reports.own_changed(self.in_flight);
        self.shed.sent(self.own(), now);
        match use_of {
            SlotUse::Work => {}
            SlotUse::ReturnProbe => self.ejection.set_probe(true),
            SlotUse::ReportProbe => self.reports.probe_started(settings, now),
        }
    }

    /// Gives a slot back and learns from how its request ended.
    pub fn release(
        &mut self,
        grant: &SlotGrant,
        ending: AttemptOutcome,
        reference_s: f64,
        settings: &PoolSettings,
        now: Instant,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.reports.own_changed(self.in_flight);
        self.end_probe(grant, ending, settings, now);
        match ending {
            AttemptOutcome::Answered { latency } => {
                self.answered(grant, latency, reference_s, settings, now)
            }
            AttemptOutcome::Shed => self.was_shed(settings, now),
            AttemptOutcome::Refused | AttemptOutcome::Failed | AttemptOutcome::TimedOut => {
                self.ejection
                    .failed(ending, grant.granted_at, settings, now);
            }
            AttemptOutcome::Aborted | AttemptOutcome::Cancelled => {}
        }
        if matches!(ending, AttemptOutcome::TimedOut | AttemptOutcome::Aborted) {
            let period = Duration::from_millis(settings.abort_linger_ms);
            self.lingering.add(period, now);
        }
    }

    /// Takes in a load report.
    pub fn report(
        &mut self,
        report: LoadReport,
        at: Instant,
        settings: &PoolSettings,
        now: Instant,
    ) {
        let before = self.reports.state(settings, now);
        let Some(others_max) = self.reports.report(report, at, self.in_flight) else {
            return;
        };
        self.assumed.reported(others_max, at);
        let turned_cold =
            report.state == UpstreamState::Cold && before != Some(UpstreamState::Cold);
        if turned_cold {
            self.slow_start = SlowStart::cold(now);
        }
    }

    /// Returns the latency in seconds that a new request is expected to see. It is no shorter
    /// than the time that the running requests have gone without an answer.
    pub fn expected_s(&self, reference_s: f64, settings: &PoolSettings, now: Instant) -> f64 {
        let decay = Duration::from_millis(settings.latency_decay_ms);
        let expected_s = self.latency.expected_s(reference_s, decay, now);
        match self.quiet_since {
            Some(since) if self.in_flight > 0 => {
                expected_s.max(now.saturating_duration_since(since).as_secs_f64())
            }
            _ => expected_s,
        }
    }

    /// Returns the next time at which room may open without any request ending.
    pub fn next_change(&self, settings: &PoolSettings, now: Instant) -> Option<Instant> {
        let owned = self.owned.as_ref()?;
        let ramp = self
            .slow_start
            .next_step(owned.slots, cold_period(settings), now);
        let times = [
            self.shed.grows_at(),
            self.ejection.until(),
            self.assumed.until(),
            self.lingering.next_free(now),
            self.reports.probe_at(),
            ramp,
        ];
        times.into_iter().flatten().filter(|at| *at > now).min()
    }

    /// Returns the slots that may be taken beside those of own requests in flight.
    fn uncounted(&self, now: Instant) -> u16 {
        self.assumed
            .taken(now)
            .saturating_add(self.lingering.taken(now))
    }

    fn own(&self) -> u16 {
        u16::try_from(self.in_flight).unwrap_or(u16::MAX)
    }

    fn takes_nothing(&self, owned: &OwnedUpstream, settings: &PoolSettings, now: Instant) -> bool {
        owned.leaving
            || owned.moved_permille >= WHOLE_PERMILLE
            || self.reports.state(settings, now) == Some(UpstreamState::Leaving)
    }

    fn closed(
        &self,
        owned: &OwnedUpstream,
        settings: &PoolSettings,
        now: Instant,
    ) -> Option<CandidateReason> {
        if owned.moved_permille >= WHOLE_PERMILLE {
            return Some(CandidateReason::Draining);
        }
        if self.takes_nothing(owned, settings, now) {
            return Some(CandidateReason::Leaving);
        }
        if self.ejection.is_ejected(now) {
            return Some(CandidateReason::Failing);
        }
        let is_paused = self.shed.limit(now) == Some(0);
        is_paused.then_some(CandidateReason::Shed)
    }

    fn probing(&self, owned: &OwnedUpstream, now: Instant) -> Standing {
        let taken = self.own() + self.uncounted(now);
        let is_free = !self.ejection.has_probe() && taken < capacity(owned);
        Standing {
            free: u16::from(is_free),
            open: 1,
            use_of: SlotUse::ReturnProbe,
            reason: CandidateReason::Probing,
        }
    }

    /// Returns the slots that are open to own requests and what limits them.
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
        let kept = u32::from(WHOLE_PERMILLE - owned.moved_permille);
        let left = (u32::from(slots) * kept).div_ceil(u32::from(WHOLE_PERMILLE)) as u16;
        if left < open {
            open = left;
            reason = CandidateReason::Draining;
        }
        (open, reason)
    }

    /// Narrows a standing to what the reports and own observations leave.
    fn within_reports(
        &self,
        owned: &OwnedUpstream,
        standing: Standing,
        settings: &PoolSettings,
        now: Instant,
    ) -> Standing {
        let reported = self.reports.room(capacity(owned), settings, now);
        let credit = self.reports.credit(settings, now);
        let room = (reported + credit).saturating_sub(self.own());
        if room > 0 {
            return Standing {
                free: standing.free.min(room),
                ..standing
            };
        }
        Standing {
            free: u16::from(self.reports.may_probe(now)),
            use_of: SlotUse::ReportProbe,
            reason: CandidateReason::Reported,
            ..standing
        }
    }

    fn end_probe(
        &mut self,
        grant: &SlotGrant,
        ending: AttemptOutcome,
        settings: &PoolSettings,
        now: Instant,
    ) {
        match grant.use_of {
            SlotUse::Work => {}
            SlotUse::ReturnProbe => self.ejection.set_probe(false),
            SlotUse::ReportProbe => {
                let answered = matches!(ending, AttemptOutcome::Answered { .. });
                self.reports.probe_ended(answered, settings, now);
            }
        }
    }

    fn answered(
        &mut self,
        grant: &SlotGrant,
        latency: Duration,
        reference_s: f64,
        settings: &PoolSettings,
        now: Instant,
    ) {
        self.latency.record(latency, now);
        self.quiet_since = Some(now);
        if self.ejection.answered() {
            self.slow_start = SlowStart::cold(now);
        }
        if let Some(owned) = &self.owned {
            let slots = capacity(owned);
            let pause = Duration::from_millis(settings.shed_backoff_ms);
            self.shed.answered(grant.granted_at, slots, pause, now);
            self.slow_start.answered(latency.as_secs_f64(), reference_s);
            self.slow_start.settle(slots, cold_period(settings), now);
        }
    }

    fn was_shed(&mut self, settings: &PoolSettings, now: Instant) {
        let pause = Duration::from_millis(settings.shed_backoff_ms);
        let pause_max = Duration::from_millis(settings.max_shed_backoff_ms);
        self.shed.shed(self.own(), pause, pause_max, now);
        self.ejection.answered();
    }
}

fn capacity(owned: &OwnedUpstream) -> u16 {
    owned.slots.min(owned.connections)
}

fn cold_period(settings: &PoolSettings) -> Duration {
    Duration::from_millis(settings.cold_start_ms)
}
