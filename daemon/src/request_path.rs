//! Life of one request after its key is claimed: zones, upstreams, retries.

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::{InstanceId, UpstreamId};
use laburnumdeal_policy::{
    self as policy, PoisonCheck, RetryRequest, RouteInput, RouteRefusal, Slot, ZoneChoice,
    may_retry,
};
use tokio::time::Instant;

use crate::attempt::{self, Attempt};
use crate::configuration_view::InForce;
use crate::fault_points::Step;
use crate::heartbeat;
use crate::prepared::Prepared;
use crate::role::Role;
use crate::served::Served;
use crate::state::State;
use crate::trace::TraceBuilder;

/// Most attempts for one request on one instance.
const MAX_ATTEMPTS: u32 = 4;

/// Most instances of another zone that are tried for one request.
const MAX_PEERS_PER_ZONE: usize = 2;

/// Shortest time in which an attempt is worth starting.
const LEAST_ATTEMPT: Duration = Duration::from_millis(2);

/// Pause before a suspect of a crash looks again for an upstream on which no other runs.
const SUSPECT_PAUSE: Duration = Duration::from_millis(10);

/// Longest time for telling other instances of a request that was in flight at a crash.
const CRASH_TOLD: Duration = Duration::from_millis(150);

/// Time to come back when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Serves a request as far as `role` allows and returns its final outcome.
pub async fn serve(
    state: &Arc<State>,
    prepared: &Prepared,
    role: Role,
    trace: &TraceBuilder,
) -> Served {
    let Some(in_force) = state.configuration.in_force() else {
        return Served::not_run(
            "this instance has no configuration yet",
            DEFAULT_RETRY_AFTER,
        );
    };
    state.budget.deposit();
    let mut path = RequestPath::new(state, prepared, trace);
    if let Some(refused) = path.check_poison() {
        return refused;
    }
    let ended = match role {
        Role::Entry | Role::Home => path.in_any_zone(&in_force).await,
        Role::Zone => path.in_own_zone_for_peer(&in_force).await,
        Role::Owner => path.on_own_upstreams(Queueing::Allowed).await,
    };
    ended.unwrap_or_else(|| path.given_up())
}

/// Whether a request may wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queueing {
    Allowed,
    Refused,
}

/// Where a second attempt beside a slow first one goes.
enum HedgePlace {
    Upstream(Slot),
    Peer(InstanceId, Role),
}

impl HedgePlace {
    fn name(&self, state: &State) -> String {
        match self {
            Self::Upstream(slot) => state.topology.upstream(slot.upstream()).name.clone(),
            Self::Peer(peer, _) => state.topology.instance(*peer).name.clone(),
        }
    }

    async fn attempt(self, state: &State, prepared: &Prepared) -> Attempt {
        match self {
            Self::Upstream(slot) => attempt::at_upstream(state, prepared, slot).await,
            Self::Peer(peer, role) => attempt::at_peer(state, prepared, peer, role).await,
        }
    }
}

/// What has been tried for one request.
struct RequestPath<'a> {
    state: &'a Arc<State>,
    prepared: &'a Prepared,
    trace: &'a TraceBuilder,
    attempts: u32,
    tried: Vec<UpstreamId>,
    choices: Vec<ZoneChoice>,
    reason: String,
    soonest: Option<Duration>,
    is_suspect: bool,
    may_have_run: bool,
}

impl<'a> RequestPath<'a> {
    fn new(state: &'a Arc<State>, prepared: &'a Prepared, trace: &'a TraceBuilder) -> Self {
        Self {
            state,
            prepared,
            trace,
            attempts: 0,
            tried: Vec::new(),
            choices: Vec::new(),
            reason: "no upstream takes work".to_owned(),
            soonest: None,
            is_suspect: false,
            may_have_run: false,
        }
    }

    fn check_poison(&mut self) -> Option<Served> {
        match self.state.flights.check(self.prepared.fingerprint) {
            PoisonCheck::Clear => None,
            PoisonCheck::Suspect => {
                self.is_suspect = true;
                self.trace
                    .step("request", "was in flight at a crash: runs alone");
                None
            }
            PoisonCheck::Refused { retry_after_ms } => {
                let reason = "the request was in flight at two crashes of upstreams";
                self.trace.step("request", reason);
                Some(Served::not_run(
                    reason,
                    Duration::from_millis(retry_after_ms),
                ))
            }
        }
    }

    /// Tries every zone in the router's order: first where there is room, then in a queue.
    async fn in_any_zone(&mut self, in_force: &InForce) -> Option<Served> {
        self.choices = self.choose(in_force);
        let choices = self.choices.clone();
        let home = in_force.table.home(
            self.prepared.service,
            self.prepared.caller,
            self.state.my_zone,
        );
        for choice in &choices {
            let served = match choice.zone == self.state.my_zone {
                true => self.in_own_zone(choice, home, Queueing::Refused).await,
                false => self.in_other_zone(choice).await,
            };
            if served.is_some() || !self.may_go_on() {
                return served;
            }
        }
        let own = choices
            .iter()
            .find(|choice| choice.zone == self.state.my_zone)?;
        self.in_own_zone(own, home, Queueing::Allowed).await
    }

    fn choose(&self, in_force: &InForce) -> Vec<ZoneChoice> {
        let digests = self.state.digests.read().expect("no panic while locked");
        let input = RouteInput {
            service: self.prepared.service,
            caller: self.prepared.caller,
            hash: self.prepared.fingerprint,
            table: &in_force.table,
            membership: &self.state.membership,
            digests: &digests,
            now: Instant::now(),
        };
        self.state.router.route(&input)
    }

    async fn in_own_zone(
        &mut self,
        choice: &ZoneChoice,
        home: laburnumdeal_model::ZoneId,
        queueing: Queueing,
    ) -> Option<Served> {
        if !self.has_room_in_own_zone(queueing) {
            self.note("own zone has no room", None);
            return None;
        }
        let now = Instant::now();
        let departed = self.state.router.depart(self.prepared.service, choice, now);
        let admitted =
            departed.and_then(|()| self.state.router.arrive(self.prepared.service, home, now));
        if let Err(refusal) = admitted {
            let after = Duration::from_millis(refusal.retry_after_ms());
            self.note(&refusal.to_string(), Some(after));
            return self.through_own_zone().await;
        }
        let served = self.in_own_zone_admitted(queueing).await;
        if served.is_none() && !self.may_have_run {
            self.state
                .router
                .cancel_arrival(self.prepared.service, home, now);
            self.state
                .router
                .cancel_departure(self.prepared.service, choice, now);
        }
        served
    }

    /// Passes the request to another instance of this zone, which has shares of its own.
    async fn through_own_zone(&mut self) -> Option<Served> {
        let mut live = self
            .state
            .membership
            .live_in(self.state.my_zone, Instant::now());
        live.retain(|id| *id != self.state.me);
        if live.is_empty() || !self.may_go_on() {
            return None;
        }
        let peer = live[self.state.random_below(live.len())];
        self.through(peer, Role::Zone).await
    }

    /// Serves a request that an instance of another zone forwarded.
    async fn in_own_zone_for_peer(&mut self, in_force: &InForce) -> Option<Served> {
        if !self.has_room_in_own_zone(Queueing::Refused) {
            self.note("the zone has no room", None);
            return None;
        }
        let home = in_force.table.home(
            self.prepared.service,
            self.prepared.caller,
            self.state.my_zone,
        );
        let now = Instant::now();
        if let Err(refusal) = self.state.router.arrive(self.prepared.service, home, now) {
            let after = Duration::from_millis(refusal.retry_after_ms());
            self.note(&refusal.to_string(), Some(after));
            return None;
        }
        self.in_own_zone_admitted(Queueing::Allowed).await
    }

    /// Tries own upstreams, then those of other owners in the zone.
    async fn in_own_zone_admitted(&mut self, queueing: Queueing) -> Option<Served> {
        if let Some(served) = self.on_own_upstreams(Queueing::Refused).await {
            return Some(served);
        }
        for owner in self.owners_with_room() {
            if !self.may_go_on() {
                return None;
            }
            if let Some(served) = self.through(owner, Role::Owner).await {
                return Some(served);
            }
        }
        match queueing {
            Queueing::Refused => None,
            Queueing::Allowed => self.in_queues_of_own_zone().await,
        }
    }

    /// Waits for a slot here, or with another owner when this instance owns no upstream of the
    /// service, as after it has handed them over.
    async fn in_queues_of_own_zone(&mut self) -> Option<Served> {
        if let Some(served) = self.on_own_upstreams(Queueing::Allowed).await {
            return Some(served);
        }
        for owner in self.owners() {
            if !self.may_go_on() {
                return None;
            }
            if let Some(served) = self.through(owner, Role::Owner).await {
                return Some(served);
            }
        }
        None
    }

    /// Tries upstreams that this instance owns until one answers or none is left.
    async fn on_own_upstreams(&mut self, queueing: Queueing) -> Option<Served> {
        while self.may_go_on() {
            let slot = self.slot(queueing).await?;
            let upstream = slot.upstream();
            if self.would_be_cut_off() {
                self.note("the request cannot finish before its deadline", None);
                return None;
            }
            if !self.may_run_here(upstream) {
                drop(slot);
                self.note(
                    "another suspect of a crash runs there",
                    Some(DEFAULT_RETRY_AFTER),
                );
                tokio::time::sleep(SUSPECT_PAUSE).await;
                continue;
            }
            self.tried.push(upstream);
            self.attempts += 1;
            self.state.faults.at(Step::Chosen).await;
            let (name, attempt) = self.with_hedge(slot).await;
            let may_have_run = matches!(attempt, Attempt::Unknown { .. });
            if let Some(served) = self.judge(&name, attempt) {
                return Some(served);
            }
            if may_have_run && let Some(refused) = self.tell_crash().await {
                return Some(refused);
            }
        }
        None
    }

    /// After a crash, tells every instance of the request before it runs again, so that nobody
    /// else tries it unawares. Returns the final outcome when it may not run again.
    async fn tell_crash(&mut self) -> Option<Served> {
        if self.state.flights.check(self.prepared.fingerprint) == PoisonCheck::Clear {
            return None;
        }
        heartbeat::tell_all(self.state, CRASH_TOLD).await;
        self.check_poison()
            .map(|_| Served::unknown("the request was in flight at two crashes of upstreams"))
    }

    /// Makes an attempt, and a second one beside it when an idempotent request takes unusually
    /// long. Returns the attempt that answered, or the one that ended last, with its candidate.
    async fn with_hedge(&mut self, slot: Slot) -> (String, Attempt) {
        let (state, prepared) = (self.state, self.prepared);
        let name = state.topology.upstream(slot.upstream()).name.clone();
        let first = attempt::at_upstream(state, prepared, slot);
        tokio::pin!(first);
        let patience = state.pool.hedge_after(prepared.service);
        if let Ok(attempt) = tokio::time::timeout(patience, first.as_mut()).await {
            return (name, attempt);
        }
        let Some(place) = self.hedge_place() else {
            return (name, first.await);
        };
        self.attempts += 1;
        let other = place.name(state);
        self.trace
            .step(&*other, format!("hedge after {} ms", patience.as_millis()));
        let second = place.attempt(state, prepared);
        tokio::pin!(second);
        tokio::select! {
            attempt = first.as_mut() => match attempt {
                Attempt::Answered(_) => (name, attempt),
                _ => (other, second.await),
            },
            attempt = second.as_mut() => match attempt {
                Attempt::Answered(_) => (other, attempt),
                _ => (name, first.await),
            },
        }
    }

    /// Returns where a second attempt goes, paid from the budget of retries: another upstream of
    /// this instance, another owner of the zone, or another zone.
    fn hedge_place(&mut self) -> Option<HedgePlace> {
        let may_hedge = self.prepared.idempotent
            && self.prepared.is_replayable()
            && !self.is_suspect
            && self.may_go_on();
        if !may_hedge {
            return None;
        }
        let place = self.free_place()?;
        if !self.state.budget.withdraw() {
            return None;
        }
        let service = self.state.topology.service(self.prepared.service);
        self.state.metrics.hedged(&service.name);
        Some(place)
    }

    fn free_place(&mut self) -> Option<HedgePlace> {
        if let Some(slot) = self
            .state
            .pool
            .try_acquire(self.prepared.service, &self.tried)
        {
            self.tried.push(slot.upstream());
            return Some(HedgePlace::Upstream(slot));
        }
        if let Some(owner) = self.owners_with_room().first() {
            return Some(HedgePlace::Peer(*owner, Role::Owner));
        }
        let now = Instant::now();
        let is_other = |choice: &&ZoneChoice| choice.zone != self.state.my_zone;
        let choice = *self.choices.iter().find(is_other)?;
        self.spend_departure(&choice, now).ok()?;
        let peer = *self.state.membership.live_in(choice.zone, now).first()?;
        Some(HedgePlace::Peer(peer, Role::Zone))
    }

    async fn slot(&mut self, queueing: Queueing) -> Option<Slot> {
        let (pool, service) = (&self.state.pool, self.prepared.service);
        if queueing == Queueing::Refused {
            let slot = pool.try_acquire(service, &self.tried);
            if slot.is_none() {
                self.note("own upstreams have no room", None);
            }
            return slot;
        }
        let acquired = tokio::select! {
            acquired = pool.acquire(service, self.prepared.deadline, &self.tried) => acquired,
            // Whoever takes the upstreams over has a queue too.
            () = self.state.left(), if !self.owners().is_empty() => {
                self.note("this instance is leaving", None);
                return None;
            }
        };
        match acquired {
            Ok(slot) => Some(slot),
            Err(refused) => {
                self.note(&refused.reason.to_string(), Some(refused.retry_after));
                None
            }
        }
    }

    /// Returns whether the request would most likely be cut off by its deadline: it would take a
    /// slot from others for nothing, and its outcome would be unknown.
    fn would_be_cut_off(&self) -> bool {
        let service_time = self.state.pool.service_time(self.prepared.service);
        service_time.is_some_and(|time| time > self.prepared.remaining())
    }

    fn may_run_here(&self, upstream: UpstreamId) -> bool {
        !self.is_suspect
            || self
                .state
                .flights
                .start_suspect(self.prepared.fingerprint, upstream)
    }

    async fn in_other_zone(&mut self, choice: &ZoneChoice) -> Option<Served> {
        let now = Instant::now();
        if let Err(refusal) = self.spend_departure(choice, now) {
            let after = Duration::from_millis(refusal.retry_after_ms());
            self.note(&refusal.to_string(), Some(after));
            return None;
        }
        let mut live = self.state.membership.live_in(choice.zone, now);
        for _ in 0..MAX_PEERS_PER_ZONE {
            if live.is_empty() || !self.may_go_on() {
                break;
            }
            let peer = live.swap_remove(self.state.random_below(live.len()));
            if let Some(served) = self.through(peer, Role::Zone).await {
                return Some(served);
            }
        }
        if !self.may_have_run {
            self.state
                .router
                .cancel_departure(self.prepared.service, choice, now);
        }
        None
    }

    /// Spends what it takes to send the request to another zone: a part of the shift cap, and the
    /// bytes on the link.
    fn spend_departure(&self, choice: &ZoneChoice, now: Instant) -> Result<(), RouteRefusal> {
        self.state
            .router
            .depart(self.prepared.service, choice, now)?;
        if let Some(link) = choice.link {
            self.state
                .shares
                .spend(link, self.prepared.request_bytes(), now)?;
        }
        Ok(())
    }

    async fn through(&mut self, peer: InstanceId, role: Role) -> Option<Served> {
        self.attempts += 1;
        let name = self.state.topology.instance(peer).name.clone();
        let attempt = attempt::at_peer(self.state, self.prepared, peer, role).await;
        self.judge(&name, attempt)
    }

    /// Returns the final outcome that an attempt leads to, or `None` when another may follow.
    fn judge(&mut self, candidate: &str, attempt: Attempt) -> Option<Served> {
        match attempt {
            Attempt::Rejected(response) => {
                self.trace.step(candidate, "rejected the request");
                Some(Served::Rejected(response))
            }
            Attempt::Answered(response) => {
                self.trace.step(candidate, "answered");
                Some(Served::Answer(response))
            }
            Attempt::NotRun {
                reason,
                retry_after,
                ..
            } => {
                self.trace.step(candidate, format!("did not run: {reason}"));
                self.note(&reason, Some(retry_after));
                None
            }
            Attempt::Unknown { reason } => {
                self.may_have_run = true;
                self.trace
                    .step(candidate, format!("may have run: {reason}"));
                if self.may_repeat() {
                    self.note(&reason, None);
                    return None;
                }
                tokio::spawn(heartbeat::tell_crash(
                    self.state.clone(),
                    self.prepared.fingerprint,
                ));
                Some(Served::Unknown { reason })
            }
        }
    }

    /// Returns whether a request that may have run may be sent again, and pays for it.
    fn may_repeat(&self) -> bool {
        let request = RetryRequest {
            idempotent: self.prepared.idempotent && self.prepared.is_replayable(),
            proof: None,
            attempts: self.attempts,
            max_attempts: MAX_ATTEMPTS,
            deadline: self.prepared.deadline,
            least: LEAST_ATTEMPT,
        };
        let may = may_retry(&request, Instant::now()) && self.state.budget.withdraw();
        if may {
            let service = self.state.topology.service(self.prepared.service);
            self.state.metrics.retried(&service.name);
        }
        may
    }

    fn may_go_on(&self) -> bool {
        self.attempts < MAX_ATTEMPTS && self.prepared.remaining() > LEAST_ATTEMPT
    }

    fn has_room_in_own_zone(&self, queueing: Queueing) -> bool {
        queueing == Queueing::Allowed
            || self.state.pool.room(self.prepared.service).free > 0
            || !self.owners_with_room().is_empty()
    }

    /// Returns the other owners of this zone that last reported room, the roomiest first.
    fn owners_with_room(&self) -> Vec<InstanceId> {
        let live = self
            .state
            .membership
            .live_in(self.state.my_zone, Instant::now());
        let free = |id: &InstanceId| {
            let room = self.state.peers_room.room(*id, self.prepared.service);
            room.map_or(0, |room| room.free())
        };
        let mut owners: Vec<InstanceId> = live
            .into_iter()
            .filter(|id| *id != self.state.me && free(id) > 0)
            .collect();
        owners.sort_by_key(|id| std::cmp::Reverse(free(id)));
        owners
    }

    /// Returns the other instances of this zone that own upstreams of the service.
    fn owners(&self) -> Vec<InstanceId> {
        let members = self
            .state
            .membership
            .owners_in(self.state.my_zone, Instant::now());
        let upstreams = self
            .state
            .topology
            .upstreams_in(self.state.my_zone, self.prepared.service);
        let mut owners: Vec<InstanceId> = upstreams
            .filter_map(|upstream| policy::owner(upstream, &members))
            .collect();
        owners.sort();
        owners.dedup();
        owners.retain(|id| *id != self.state.me);
        owners
    }

    fn note(&mut self, reason: &str, retry_after: Option<Duration>) {
        self.trace.step("path", reason);
        self.reason = reason.to_owned();
        if let Some(after) = retry_after {
            self.soonest = Some(self.soonest.map_or(after, |soonest| soonest.min(after)));
        }
    }

    fn given_up(self) -> Served {
        Served::not_run(self.reason, self.soonest.unwrap_or(DEFAULT_RETRY_AFTER))
    }
}
