//! The way of a request through availability zones: the router's order, caps, own and other zones.

use std::time::Duration;

use laburnumdeal_model::{InstanceId, ZoneId};
use laburnumdeal_policy::{self as policy, RouteInput, RouteRefusal, ZoneChoice};
use tokio::time::Instant;

use crate::configuration_view::InForce;
use crate::link_payment;
use crate::queueing::Queueing;
use crate::request_path::RequestPath;
use crate::role::Role;
use crate::served::Served;

/// Part of the time left in which a request waits for its turn on a link, as a divisor.
const LINK_PATIENCE_PART: u32 = 4;

/// Most instances of another zone that are tried for one request.
const MAX_PEERS_PER_ZONE: usize = 2;

impl RequestPath<'_> {
    /// Tries every zone in the router's order: first where there is room, then in a queue.
    pub(crate) async fn in_any_zone(&mut self, in_force: &InForce) -> Option<Served> {
        self.choices = self.choose(in_force);
        let choices = self.choices.clone();
        let home = in_force.table.home_zone(
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
            zone_loads: &digests,
            now: Instant::now(),
        };
        self.state.router.route(&input)
    }

    async fn in_own_zone(
        &mut self,
        choice: &ZoneChoice,
        home: ZoneId,
        queueing: Queueing,
    ) -> Option<Served> {
        if !self.has_room_in_own_zone(queueing) {
            self.note("own zone has no room", None);
            return None;
        }
        let now = Instant::now();
        if let Err(refusal) = self.admit(choice, home, now) {
            let after = Duration::from_millis(refusal.retry_after_ms());
            self.note(&refusal.to_string(), Some(after));
            return self.through_own_zone().await;
        }
        let served = self.in_own_zone_admitted(queueing).await;
        if served.is_none() && !self.may_have_run {
            let (router, service) = (&self.state.router, self.prepared.service);
            router.refund_incoming(service, home, now);
            router.refund_outgoing(service, choice, now);
        }
        served
    }

    /// Spends what it takes to serve the request here, or nothing when any of it is used up.
    fn admit(&self, choice: &ZoneChoice, home: ZoneId, now: Instant) -> Result<(), RouteRefusal> {
        let (router, service) = (&self.state.router, self.prepared.service);
        router.admit_outgoing(service, choice, now)?;
        let arrived = router.admit_incoming(service, home, now);
        if arrived.is_err() {
            router.refund_outgoing(service, choice, now);
        }
        arrived
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
    pub(crate) async fn in_own_zone_for_peer(&mut self, in_force: &InForce) -> Option<Served> {
        if !self.has_room_in_own_zone(Queueing::Refused) {
            self.note("the zone has no room", None);
            return None;
        }
        let home = in_force.table.home_zone(
            self.prepared.service,
            self.prepared.caller,
            self.state.my_zone,
        );
        let now = Instant::now();
        if let Err(refusal) = self
            .state
            .router
            .admit_incoming(self.prepared.service, home, now)
        {
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

    async fn in_other_zone(&mut self, choice: &ZoneChoice) -> Option<Served> {
        let now = Instant::now();
        if let Err(refusal) = self.pay_departure(choice, now).await {
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
                .refund_outgoing(self.prepared.service, choice, now);
        }
        None
    }

    /// Pays for sending the request to another zone: a part of the shift cap, and the bytes on the
    /// link, which may have to wait for their turn.
    async fn pay_departure(&self, choice: &ZoneChoice, now: Instant) -> Result<(), RouteRefusal> {
        let (router, service) = (&self.state.router, self.prepared.service);
        router.admit_outgoing(service, choice, now)?;
        let Some(link) = choice.link else {
            return Ok(());
        };
        let bytes = self.prepared.request_bytes();
        let until = now + self.prepared.remaining() / LINK_PATIENCE_PART;
        let paid = link_payment::spend(self.state, link, bytes, until).await;
        if paid.is_err() {
            router.refund_outgoing(service, choice, now);
        }
        Ok(paid?)
    }

    /// Pays like [`RequestPath::pay_departure`], but only when all of it fits at once.
    pub(crate) fn spend_departure(
        &self,
        choice: &ZoneChoice,
        now: Instant,
    ) -> Result<(), RouteRefusal> {
        let (router, service) = (&self.state.router, self.prepared.service);
        router.admit_outgoing(service, choice, now)?;
        let bytes = self.prepared.request_bytes();
        let spent = choice
            .link
            .map_or(Ok(()), |link| self.state.shares.spend(link, bytes, now));
        if spent.is_err() {
            router.refund_outgoing(service, choice, now);
        }
        Ok(spent?)
    }

    fn has_room_in_own_zone(&self, queueing: Queueing) -> bool {
        queueing == Queueing::Allowed
            || self.state.pool.slot_counts(self.prepared.service).free > 0
            || !self.owners_with_room().is_empty()
    }

    /// Returns the other owners of this zone that last reported room, the roomiest first.
    pub(crate) fn owners_with_room(&self) -> Vec<InstanceId> {
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
    pub(crate) fn owners(&self) -> Vec<InstanceId> {
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
}
