use std::time::Duration;

use laburnumdeal_model::{ServiceId, UpstreamId};
use laburnumdeal_policy::{
    Admission, AttemptOutcome, LoadReport, OwnedUpstream, PoolCore, SlotGrant,
};
use laburnumdeal_policy::{PoolSettings, Ticket, UpstreamState};
use tokio::time::Instant;

use crate::router::Router;
use crate::scenario::Scenario;
use crate::simulation::{Event, Simulation};

const SERVICE: ServiceId = ServiceId(0);

/// Maximum number of upstreams that a request is sent to before it is refused.
const MAX_TRIES: usize = 3;

/// Router that uses [`PoolCore`], with one owner of all upstreams or several that divide them.
#[derive(Debug)]
pub struct PoolRouter {
    owners: Vec<Owner>,
    started_at: Instant,
    in_flight: Vec<Option<(SlotGrant, u64)>>,
    tickets: Vec<Option<(usize, Ticket)>>,
    excluded: Vec<Vec<UpstreamId>>,
    reports: Vec<LoadReport>,
}

/// One instance that owns some of the upstreams.
#[derive(Debug)]
struct Owner {
    core: PoolCore,
    waiting: Vec<usize>,
    tick_at_us: Option<u64>,
    reported_free: u32,
}

impl PoolRouter {
    /// Creates a router with warm upstreams and those that join cold at the start of the scenario.
    pub fn new(scenario: &Scenario, requests: usize, owners: u32) -> Self {
        let warmed_up_from = Instant::now();
        let started_at =
            warmed_up_from + Duration::from_millis(PoolSettings::default().cold_start_ms);
        let owner = |number| Owner::new(scenario, number, owners, warmed_up_from, started_at);
        Self {
            owners: (0..owners).map(owner).collect(),
            started_at,
            in_flight: vec![None; requests],
            tickets: vec![None; requests],
            excluded: vec![Vec::new(); requests],
            reports: Vec::new(),
        }
    }

    fn owner_of(&mut self, upstream: UpstreamId) -> &mut Owner {
        let count = self.owners.len();
        &mut self.owners[upstream.index() % count]
    }

    fn at(&self, us: u64) -> Instant {
        self.started_at + Duration::from_micros(us)
    }

    fn elapsed_us(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.started_at).as_micros() as u64
    }

    fn admit(&mut self, request: usize, simulation: &mut Simulation) {
        let home = request % self.owners.len();
        let exclude = std::mem::take(&mut self.excluded[request]);
        let admission = self.admit_anywhere(home, request, &exclude, simulation);
        self.excluded[request] = exclude;
        match admission {
            (_, Admission::Granted(grant)) => self.send(request, grant, simulation),
            (number, Admission::Queued { ticket, give_up_at }) => {
                self.tickets[request] = Some((number, ticket));
                self.owners[number].wait(request, ticket);
                simulation.schedule(self.elapsed_us(give_up_at) + 1, Event::GiveUp { request });
            }
            (_, Admission::Refused(_)) => {
                let now = self.at(simulation.now_us);
                let is_free = |owner: &Owner| owner.core.slot_counts(SERVICE, now).free > 0;
                let is_comparable = self.excluded[request].is_empty();
                simulation.refuse(is_comparable && self.owners.iter().any(is_free));
            }
        }
    }

    /// Tries to get a free slot of the home owner, then of the peer that reported the most free
    /// slots. Otherwise queues the request at the home owner or, if that refuses it, at another
    /// owner.
    fn admit_anywhere(
        &mut self,
        home: usize,
        request: usize,
        exclude: &[UpstreamId],
        simulation: &Simulation,
    ) -> (usize, Admission) {
        let (now, deadline) = (
            self.at(simulation.now_us),
            self.at(simulation.deadline_us(request)),
        );
        let count = self.owners.len();
        let least_loaded = (0..count).max_by_key(|number| self.owners[*number].reported_free);
        for number in [Some(home), least_loaded].into_iter().flatten() {
            let owner = &mut self.owners[number];
            let may_take = count > 1 && owner.core.slot_counts(SERVICE, now).queued == 0;
            if may_take && let Some(grant) = owner.core.try_admit_fast(SERVICE, exclude, now) {
                owner.reported_free = owner.reported_free.saturating_sub(1);
                return (number, Admission::Granted(grant));
            }
        }
        let mut last = None;
        for number in (0..count).map(|step| (home + step) % count) {
            let admission = self.owners[number]
                .core
                .admit(SERVICE, deadline, exclude, now);
            last = Some((number, admission));
            if !matches!(admission, Admission::Refused(_)) {
                break;
            }
        }
        last.expect("there is an owner")
    }

    fn send(&mut self, request: usize, grant: SlotGrant, simulation: &mut Simulation) {
        if simulation.start(request, grant.upstream.index()) {
            self.in_flight[request] = Some((grant, simulation.now_us));
            return;
        }
        let now = self.at(simulation.now_us);
        self.owner_of(grant.upstream)
            .core
            .release(grant, AttemptOutcome::Shed, now);
        self.excluded[request].push(grant.upstream);
        match self.excluded[request].len() < MAX_TRIES {
            true => self.admit(request, simulation),
            false => simulation.refuse(false),
        }
    }

    fn end(&mut self, request: usize, answered: bool, simulation: &Simulation) {
        let (grant, sent_us) = self.in_flight[request]
            .take()
            .expect("the request was sent");
        let latency = Duration::from_micros(simulation.now_us - sent_us);
        let outcome = match answered {
            true => AttemptOutcome::Answered { latency },
            false => AttemptOutcome::TimedOut,
        };
        let now = self.at(simulation.now_us);
        self.owner_of(grant.upstream)
            .core
            .release(grant, outcome, now);
    }

    fn give_up(&mut self, request: usize, simulation: &mut Simulation) {
        if let Some((number, ticket)) = self.tickets[request].take()
            && self.owners[number].core.cancel(SERVICE, ticket)
        {
            simulation.expire();
        }
    }

    fn report(&mut self, simulation: &Simulation) {
        let now = self.at(simulation.now_us);
        let made_at = self.at(simulation.now_us.saturating_sub(1_000_000));
        for (id, report) in std::mem::take(&mut self.reports).into_iter().enumerate() {
            let upstream = UpstreamId(id as u32);
            self.owner_of(upstream)
                .core
                .report(upstream, report, made_at, now);
        }
        let reports = simulation.upstreams.iter().map(|upstream| LoadReport {
            in_flight: u32::from(upstream.running),
            slots: u32::from(upstream.slots),
            state: UpstreamState::Ready,
        });
        self.reports = reports.collect();
    }

    fn send_granted(&mut self, simulation: &mut Simulation) {
        loop {
            let sent: Vec<(usize, SlotGrant)> = self
                .owners
                .iter_mut()
                .flat_map(Owner::take_granted)
                .collect();
            if sent.is_empty() {
                return;
            }
            for (request, grant) in sent {
                self.tickets[request] = None;
                self.send(request, grant, simulation);
            }
        }
    }

    fn plan_ticks(&mut self, simulation: &mut Simulation) {
        let now = self.at(simulation.now_us);
        for number in 0..self.owners.len() {
            let owner = &self.owners[number];
            if owner.tick_at_us.is_some() || owner.core.slot_counts(SERVICE, now).queued == 0 {
                continue;
            }
            let at_us = self.elapsed_us(owner.core.next_check(SERVICE, now));
            self.owners[number].tick_at_us = Some(at_us);
            simulation.schedule(at_us, Event::Tick);
        }
    }

    fn tick(&mut self, now_us: u64) {
        let now = self.at(now_us);
        for owner in &mut self.owners {
            if owner.tick_at_us.take_if(|at_us| *at_us <= now_us).is_some() {
                owner.core.dispatch(SERVICE, now);
            }
        }
    }

    fn exchange_load(&mut self, now_us: u64) {
        let now = self.at(now_us);
        for owner in &mut self.owners {
            owner.reported_free = owner.core.slot_counts(SERVICE, now).free;
        }
    }
}

impl Owner {
    fn new(
        scenario: &Scenario,
        number: u32,
        owners: u32,
        warmed_up_from: Instant,
        started_at: Instant,
    ) -> Self {
        let mut core = PoolCore::new(PoolSettings {
            seed: scenario.seed,
            ..PoolSettings::default()
        });
        let upstream = |id: u32| OwnedUpstream {
            id: UpstreamId(id),
            service: SERVICE,
            slots: scenario.fleet.slots,
            connections: 330,
            moved_permille: 0,
            leaving: false,
        };
        let own = (0..scenario.fleet.upstreams).filter(|id| id % owners == number);
        let all: Vec<OwnedUpstream> = own.map(upstream).collect();
        let is_cold = |owned: &OwnedUpstream| owned.id.0 < scenario.cold();
        let warm: Vec<OwnedUpstream> = all.iter().copied().filter(|o| !is_cold(o)).collect();
        core.configure(warmed_up_from, &warm);
        core.configure(started_at, &all);
        Self {
            core,
            waiting: Vec::new(),
            tick_at_us: None,
            reported_free: 0,
        }
    }

    fn wait(&mut self, request: usize, ticket: Ticket) {
        if ticket.index() >= self.waiting.len() {
            self.waiting.resize(ticket.index() + 1, 0);
        }
        self.waiting[ticket.index()] = request;
    }

    /// Returns the waiting requests that have got a slot.
    fn take_granted(&mut self) -> Vec<(usize, SlotGrant)> {
        let granted = self.core.take_granted().into_iter();
        granted
            .map(|(ticket, grant)| (self.waiting[ticket.index()], grant))
            .collect()
    }
}

impl Router for PoolRouter {
    fn on(&mut self, event: Event, simulation: &mut Simulation) {
        match event {
            Event::Arrival { request } => self.admit(request, simulation),
            Event::End {
                request, answered, ..
            } => self.end(request, answered, simulation),
            Event::GiveUp { request } => self.give_up(request, simulation),
            Event::Tick => self.tick(simulation.now_us),
            Event::Report => self.report(simulation),
            Event::LoadExchange => self.exchange_load(simulation.now_us),
            Event::Fault => {}
        }
        self.send_granted(simulation);
        self.plan_ticks(simulation);
    }
}
