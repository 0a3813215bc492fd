use std::time::Duration;

use laburnumdeal_model::{ServiceId, UpstreamId};
use laburnumdeal_policy::{
    Admission, AttemptOutcome, LoadReport, OwnedUpstream, PoolCore, SlotGrant,
};
use laburnumdeal_policy::{PoolSettings, Ticket, UpstreamState};
use tokio::time::Instant;

use crate::router::Router;
use crate::scenario::Scenario;
use crate::world::{Event, World};

const SERVICE: ServiceId = ServiceId(0);

/// Upstreams that a request may be sent to before it is refused.
const TRIES_MAX: usize = 3;

/// The product's choice, in one owner of all upstreams or split between several.
#[derive(Debug)]
pub struct Ours {
    owners: Vec<Owner>,
    zero: Instant,
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
    told_free: u32,
}

impl Ours {
    /// Returns the choice over warm upstreams and, from the start of the scenario, cold ones.
    pub fn new(scenario: &Scenario, requests: usize, owners: u32) -> Self {
        let before = Instant::now();
        let zero = before + Duration::from_millis(PoolSettings::default().cold_start_ms);
        let owner = |number| Owner::new(scenario, number, owners, before, zero);
        Self {
            owners: (0..owners).map(owner).collect(),
            zero,
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
        self.zero + Duration::from_micros(us)
    }

    fn micros(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.zero).as_micros() as u64
    }

    fn admit(&mut self, request: usize, world: &mut World) {
        let home = request % self.owners.len();
        let exclude = std::mem::take(&mut self.excluded[request]);
        let admission = self.admit_anywhere(home, request, &exclude, world);
        self.excluded[request] = exclude;
        match admission {
            (_, Admission::Granted(grant)) => self.send(request, grant, world),
            (number, Admission::Queued { ticket, give_up_at }) => {
                self.tickets[request] = Some((number, ticket));
                self.owners[number].wait(request, ticket);
                world.schedule(self.micros(give_up_at) + 1, Event::GiveUp { request });
            }
            (_, Admission::Refused(_)) => {
                let now = self.at(world.now_us);
                let is_free = |owner: &Owner| owner.core.slot_counts(SERVICE, now).free > 0;
                let can_tell = self.excluded[request].is_empty();
                world.refuse(can_tell && self.owners.iter().any(is_free));
            }
        }
    }

    /// Asks the home for a free slot, then the peer that told of most room, then the home's
    /// queue, then the other queues.
    fn admit_anywhere(
        &mut self,
        home: usize,
        request: usize,
        exclude: &[UpstreamId],
        world: &World,
    ) -> (usize, Admission) {
        let (now, deadline) = (self.at(world.now_us), self.at(world.deadline_us(request)));
        let count = self.owners.len();
        let roomiest = (0..count).max_by_key(|number| self.owners[*number].told_free);
        for number in [Some(home), roomiest].into_iter().flatten() {
            let owner = &mut self.owners[number];
            let may_take = count > 1 && owner.core.slot_counts(SERVICE, now).queued == 0;
            if may_take && let Some(grant) = owner.core.try_admit_fast(SERVICE, exclude, now) {
                owner.told_free = owner.told_free.saturating_sub(1);
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

    fn send(&mut self, request: usize, grant: SlotGrant, world: &mut World) {
        if world.start(request, grant.upstream.index()) {
            self.in_flight[request] = Some((grant, world.now_us));
            return;
        }
        let now = self.at(world.now_us);
        self.owner_of(grant.upstream)
            .core
            .release(grant, AttemptOutcome::Shed, now);
        self.excluded[request].push(grant.upstream);
        match self.excluded[request].len() < TRIES_MAX {
            true => self.admit(request, world),
            false => world.refuse(false),
        }
    }

    fn end(&mut self, request: usize, answered: bool, world: &World) {
        let (grant, sent_us) = self.in_flight[request]
            .take()
            .expect("the request was sent");
        let latency = Duration::from_micros(world.now_us - sent_us);
        let ending = match answered {
            true => AttemptOutcome::Answered { latency },
            false => AttemptOutcome::TimedOut,
        };
        let now = self.at(world.now_us);
        self.owner_of(grant.upstream)
            .core
            .release(grant, ending, now);
    }

    fn give_up(&mut self, request: usize, world: &mut World) {
        if let Some((number, ticket)) = self.tickets[request].take()
            && self.owners[number].core.cancel(SERVICE, ticket)
        {
            world.expire();
        }
    }

    fn report(&mut self, world: &World) {
        let now = self.at(world.now_us);
        let made_at = self.at(world.now_us.saturating_sub(1_000_000));
        for (id, report) in std::mem::take(&mut self.reports).into_iter().enumerate() {
            let upstream = UpstreamId(id as u32);
            self.owner_of(upstream)
                .core
                .report(upstream, report, made_at, now);
        }
        let reports = world.upstreams.iter().map(|upstream| LoadReport {
            in_flight: u32::from(upstream.running),
            slots: u32::from(upstream.slots),
            state: UpstreamState::Ready,
        });
        self.reports = reports.collect();
    }

    fn deliver(&mut self, world: &mut World) {
        loop {
            let sent: Vec<(usize, SlotGrant)> =
                self.owners.iter_mut().flat_map(Owner::granted).collect();
            if sent.is_empty() {
                return;
            }
            for (request, grant) in sent {
                self.tickets[request] = None;
                self.send(request, grant, world);
            }
        }
    }

    fn plan_ticks(&mut self, world: &mut World) {
        let now = self.at(world.now_us);
        for number in 0..self.owners.len() {
            let owner = &self.owners[number];
            if owner.tick_at_us.is_some() || owner.core.slot_counts(SERVICE, now).queued == 0 {
                continue;
            }
            let at_us = self.micros(owner.core.next_check(SERVICE, now));
            self.owners[number].tick_at_us = Some(at_us);
            world.schedule(at_us, Event::Tick);
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

    fn tell_room(&mut self, now_us: u64) {
        let now = self.at(now_us);
        for owner in &mut self.owners {
            owner.told_free = owner.core.slot_counts(SERVICE, now).free;
        }
    }
}

impl Owner {
    fn new(scenario: &Scenario, number: u32, owners: u32, before: Instant, zero: Instant) -> Self {
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
        core.configure(before, &warm);
        core.configure(zero, &all);
        Self {
            core,
            waiting: Vec::new(),
            tick_at_us: None,
            told_free: 0,
        }
    }

    fn wait(&mut self, request: usize, ticket: Ticket) {
        if ticket.index() >= self.waiting.len() {
            self.waiting.resize(ticket.index() + 1, 0);
        }
        self.waiting[ticket.index()] = request;
    }

    /// Returns the waiting requests that have a slot now.
    fn granted(&mut self) -> Vec<(usize, SlotGrant)> {
        let granted = self.core.take_granted().into_iter();
        granted
            .map(|(ticket, grant)| (self.waiting[ticket.index()], grant))
            .collect()
    }
}

impl Router for Ours {
    fn on(&mut self, event: Event, world: &mut World) {
        match event {
            Event::Arrival { request } => self.admit(request, world),
            Event::End {
                request, answered, ..
            } => self.end(request, answered, world),
            Event::GiveUp { request } => self.give_up(request, world),
            Event::Tick => self.tick(world.now_us),
            Event::Report => self.report(world),
            Event::Tell => self.tell_room(world.now_us),
            Event::Fault => {}
        }
        self.deliver(world);
        self.plan_ticks(world);
    }
}
