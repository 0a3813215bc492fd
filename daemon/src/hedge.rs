//! Second attempts beside a slow first one.

use laburnumdeal_model::InstanceId;
use laburnumdeal_policy::{Slot, ZoneChoice};
use tokio::time::Instant;

use crate::attempt::{self, Attempt};
use crate::prepared::Prepared;
use crate::request_path::RequestPath;
use crate::role::Role;
use crate::state::State;

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

impl RequestPath<'_> {
    /// Makes an attempt, and a second one beside it when an idempotent request takes unusually
    /// long. Returns the attempt that answered, or the one that ended last, with its candidate.
    pub(crate) async fn with_hedge(&mut self, slot: Slot) -> (String, Attempt) {
        let (state, prepared) = (self.state, self.prepared);
        let name = state.topology.upstream(slot.upstream()).name.clone();
        let first = attempt::at_upstream(state, prepared, slot);
        tokio::pin!(first);
        let patience = state.pool.hedge_delay(prepared.service);
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
}
