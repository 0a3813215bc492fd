//! Routing of a request between availability zones: the router's order of zones, caps, and attempts
//! in the own and in other zones.

use std::time::Duration;

use laburnumdeal_model::{InstanceId, ZoneId};
use laburnumdeal_policy::{self as policy, RouteInput, RouteRefusal, ZoneChoice};
use tokio::time::Instant;

use crate::configuration_view::ActiveConfiguration;
use crate::final_outcome::FinalOutcome;
use crate::link_throttle;
use crate::queueing::Queueing;
use crate::request_execution::RequestExecution;
use crate::role::Role;

/// Divisor of the remaining time that gives the longest wait for bytes on a link.
const LINK_WAIT_DIVISOR: u32 = 4;

/// Maximum number of instances of another zone that are tried for one request.
const MAX_PEERS_PER_ZONE: usize = 2;

impl RequestExecution<'_> {
    /// Tries every zone in the router's order where there are free slots, then queues in the own
    /// zone.
    pub(crate) async fn try_zones(
        &mut self,
        configuration: &ActiveConfiguration,
    ) -> Option<FinalOutcome> {
        self.choices = self.route(configuration);
        let choices = self.choices.clone();
        let home = configuration.table.home_zone(
            self.prepared.service,
            self.prepared.caller,
            self.state.own_zone,
        );
        for choice in &choices {
            let final_outcome = match choice.zone == self.state.own_zone {
                true => self.try_own_zone(choice, home, Queueing::Refused).await,
                false => self.try_other_zone(choice).await,
            };
            if final_outcome.is_some() || !self.can_attempt_again() {
                return final_outcome;
            }
        }
        let own = choices
            .iter()
            .find(|choice| choice.zone == self.state.own_zone)?;
        self.try_own_zone(own, home, Queueing::Allowed).await
    }

    fn route(&self, configuration: &ActiveConfiguration) -> Vec<ZoneChoice> {
        let zone_loads = self.state.zone_loads.read().expect("no panic while locked");
        let input = RouteInput {
            service: self.prepared.service,
            caller: self.prepared.caller,
            hash: self.prepared.fingerprint,
            table: &configuration.table,
            membership: &self.state.membership,
            zone_loads: &zone_loads,
            now: Instant::now(),
        };
        self.state.router.route(&input)
    }

    async fn try_own_zone(
        &mut self,
        choice: &ZoneChoice,
        home: ZoneId,
        queueing: Queueing,
    ) -> Option<FinalOutcome> {
        if !self.has_free_slots_in_own_zone(queueing) {
            self.record_failure("own zone has no room", None);
            return None;
        }
        let now = Instant::now();
        if let Err(refusal) = self.admit(choice, home, now) {
            let retry_after = Duration::from_millis(refusal.retry_after_ms());
            self.record_failure(&refusal.to_string(), Some(retry_after));
            return self.forward_within_zone().await;
        }
        let final_outcome = self.try_own_zone_owners(queueing).await;
        if final_outcome.is_none() && !self.may_have_run {
            let (router, service) = (&self.state.router, self.prepared.service);
            router.refund_incoming(service, home, now);
            router.refund_outgoing(service, choice, now);
        }
        final_outcome
    }

    /// Consumes the shares of caps that serving the request here takes, or none of them when one is
    /// exhausted.
    fn admit(&self, choice: &ZoneChoice, home: ZoneId, now: Instant) -> Result<(), RouteRefusal> {
        let (router, service) = (&self.state.router, self.prepared.service);
        router.admit_outgoing(service, choice, now)?;
        let admitted = router.admit_incoming(service, home, now);
        if admitted.is_err() {
            router.refund_outgoing(service, choice, now);
        }
        admitted
    }

    /// Forwards the request to another instance of this zone, which has its own shares of the caps.
    async fn forward_within_zone(&mut self) -> Option<FinalOutcome> {
        let mut live = self
            .state
            .membership
            .live_in(self.state.own_zone, Instant::now());
        live.retain(|id| *id != self.state.own_id);
        if live.is_empty() || !self.can_attempt_again() {
            return None;
        }
        let peer = live[self.state.random_below(live.len())];
        self.forward_to(peer, Role::Zone).await
    }

    /// Serves a request that another instance has forwarded to this zone.
    pub(crate) async fn try_own_zone_for_peer(
        &mut self,
        configuration: &ActiveConfiguration,
    ) -> Option<FinalOutcome> {
        if !self.has_free_slots_in_own_zone(Queueing::Refused) {
            self.record_failure("the zone has no room", None);
            return None;
        }
        let home = configuration.table.home_zone(
            self.prepared.service,
            self.prepared.caller,
            self.state.own_zone,
        );
        let now = Instant::now();
        if let Err(refusal) = self
            .state
            .router
            .admit_incoming(self.prepared.service, home, now)
        {
            let retry_after = Duration::from_millis(refusal.retry_after_ms());
            self.record_failure(&refusal.to_string(), Some(retry_after));
            return None;
        }
        self.try_own_zone_owners(Queueing::Allowed).await
    }

    /// Tries the upstreams that this instance owns, then those of other owners in the zone.
    async fn try_own_zone_owners(&mut self, queueing: Queueing) -> Option<FinalOutcome> {
        if let Some(final_outcome) = self.try_own_upstreams(Queueing::Refused).await {
            return Some(final_outcome);
        }
        for owner in self.owners_with_free_slots() {
            if !self.can_attempt_again() {
                return None;
            }
            if let Some(final_outcome) = self.forward_to(owner, Role::Owner).await {
                return Some(final_outcome);
            }
        }
        match queueing {
            Queueing::Refused => None,
            Queueing::Allowed => self.queue_in_own_zone().await,
        }
    }

    /// Waits for a slot here, or at another owner when this instance owns no upstream of the
    /// service, for example after it has handed them over.
    async fn queue_in_own_zone(&mut self) -> Option<FinalOutcome> {
        if let Some(final_outcome) = self.try_own_upstreams(Queueing::Allowed).await {
            return Some(final_outcome);
        }
        for owner in self.other_owners() {
            if !self.can_attempt_again() {
                return None;
            }
            if let Some(final_outcome) = self.forward_to(owner, Role::Owner).await {
                return Some(final_outcome);
            }
        }
        None
    }

    async fn try_other_zone(&mut self, choice: &ZoneChoice) -> Option<FinalOutcome> {
        let now = Instant::now();
        if let Err(refusal) = self.admit_outgoing(choice, now).await {
            let retry_after = Duration::from_millis(refusal.retry_after_ms());
            self.record_failure(&refusal.to_string(), Some(retry_after));
            return None;
        }
        let mut live = self.state.membership.live_in(choice.zone, now);
        for _ in 0..MAX_PEERS_PER_ZONE {
            if live.is_empty() || !self.can_attempt_again() {
                break;
            }
            let peer = live.swap_remove(self.state.random_below(live.len()));
            if let Some(final_outcome) = self.forward_to(peer, Role::Zone).await {
                return Some(final_outcome);
            }
        }
        if !self.may_have_run {
            self.state
                .router
                .refund_outgoing(self.prepared.service, choice, now);
        }
        None
    }

    /// Consumes the caps that forwarding the request to another zone counts against: one request of
    /// the shift cap, and its bytes on the link, for which it may wait.
    async fn admit_outgoing(&self, choice: &ZoneChoice, now: Instant) -> Result<(), RouteRefusal> {
        let (router, service) = (&self.state.router, self.prepared.service);
        router.admit_outgoing(service, choice, now)?;
        let Some(link) = choice.link else {
            return Ok(());
        };
        let bytes = self.prepared.request_bytes();
        let wait_until = now + self.prepared.remaining() / LINK_WAIT_DIVISOR;
        let reserved = link_throttle::reserve_bytes(self.state, link, bytes, wait_until).await;
        if reserved.is_err() {
            router.refund_outgoing(service, choice, now);
        }
        Ok(reserved?)
    }

    /// Like [`RequestExecution::admit_outgoing`], but fails instead of waiting for the link.
    pub(crate) fn try_admit_outgoing(
        &self,
        choice: &ZoneChoice,
        now: Instant,
    ) -> Result<(), RouteRefusal> {
        let (router, service) = (&self.state.router, self.prepared.service);
        router.admit_outgoing(service, choice, now)?;
        let bytes = self.prepared.request_bytes();
        let reserved = choice
            .link
            .map_or(Ok(()), |link| self.state.shares.spend(link, bytes, now));
        if reserved.is_err() {
            router.refund_outgoing(service, choice, now);
        }
        Ok(reserved?)
    }

    /// Returns whether this zone has free slots, or none are needed because the request may queue.
    fn has_free_slots_in_own_zone(&self, queueing: Queueing) -> bool {
        queueing == Queueing::Allowed
            || self.state.pool.slot_counts(self.prepared.service).free > 0
            || !self.owners_with_free_slots().is_empty()
    }

    /// Returns the other owners of this zone whose last report shows free slots, most free first.
    pub(crate) fn owners_with_free_slots(&self) -> Vec<InstanceId> {
        let live = self
            .state
            .membership
            .live_in(self.state.own_zone, Instant::now());
        let free_slots = |id: &InstanceId| {
            let load = self
                .state
                .peer_loads
                .service_load(*id, self.prepared.service);
            load.map_or(0, |load| load.free())
        };
        let mut owners: Vec<InstanceId> = live
            .into_iter()
            .filter(|id| *id != self.state.own_id && free_slots(id) > 0)
            .collect();
        owners.sort_by_key(|id| std::cmp::Reverse(free_slots(id)));
        owners
    }

    /// Returns the other instances of this zone that own upstreams of the service.
    pub(crate) fn other_owners(&self) -> Vec<InstanceId> {
        let members = self
            .state
            .membership
            .owners_in(self.state.own_zone, Instant::now());
        let upstreams = self
            .state
            .topology
            .upstreams_in(self.state.own_zone, self.prepared.service);
        let mut owners: Vec<InstanceId> = upstreams
            .filter_map(|upstream| policy::owner(upstream, &members))
            .collect();
        owners.sort();
        owners.dedup();
        owners.retain(|id| *id != self.state.own_id);
        owners
    }
}
