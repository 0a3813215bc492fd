//! Hedged requests: a second attempt is started when the first one is slow.

use laburnumdeal_model::InstanceId;
use laburnumdeal_policy::{Slot, ZoneChoice};
use tokio::time::Instant;

use crate::attempt::{self, Attempt};
use crate::prepared_request::PreparedRequest;
use crate::request_execution::RequestExecution;
use crate::role::Role;
use crate::state::State;

/// Destination of a hedge.
enum HedgeTarget {
    Upstream(Slot),
    Peer(InstanceId, Role),
}

impl HedgeTarget {
    fn name(&self, state: &State) -> String {
        match self {
            Self::Upstream(slot) => state.topology.upstream(slot.upstream()).name.clone(),
            Self::Peer(peer, _) => state.topology.instance(*peer).name.clone(),
        }
    }

    async fn attempt(self, state: &State, prepared: &PreparedRequest) -> Attempt {
        match self {
            Self::Upstream(slot) => attempt::send_to_upstream(state, prepared, slot).await,
            Self::Peer(peer, role) => attempt::send_to_peer(state, prepared, peer, role).await,
        }
    }
}

impl RequestExecution<'_> {
    /// Makes an attempt, and a concurrent second one when an idempotent request takes unusually
    /// long. Returns the first attempt that answered, or the one that ended last, with the name of
    /// its candidate.
    pub(crate) async fn attempt_with_hedge(&mut self, slot: Slot) -> (String, Attempt) {
        let (state, prepared) = (self.state, self.prepared);
        let first_candidate = state.topology.upstream(slot.upstream()).name.clone();
        let first = attempt::send_to_upstream(state, prepared, slot);
        tokio::pin!(first);
        let hedge_delay = state.pool.hedge_delay(prepared.service);
        if let Ok(attempt) = tokio::time::timeout(hedge_delay, first.as_mut()).await {
            return (first_candidate, attempt);
        }
        let Some(target) = self.hedge_target() else {
            return (first_candidate, first.await);
        };
        self.attempts += 1;
        let second_candidate = target.name(state);
        self.trace.record(
            &*second_candidate,
            format!("hedge after {} ms", hedge_delay.as_millis()),
        );
        let second = target.attempt(state, prepared);
        tokio::pin!(second);
        tokio::select! {
            attempt = first.as_mut() => match attempt {
                Attempt::Answered(_) => (first_candidate, attempt),
                _ => (second_candidate, second.await),
            },
            attempt = second.as_mut() => match attempt {
                Attempt::Answered(_) => (second_candidate, attempt),
                _ => (first_candidate, first.await),
            },
        }
    }

    /// Returns where a second attempt goes and takes it from the retry budget: another upstream of
    /// this instance, another owner of the zone, or another zone.
    fn hedge_target(&mut self) -> Option<HedgeTarget> {
        let is_hedgeable = self.prepared.idempotent
            && self.prepared.is_replayable()
            && !self.is_suspect
            && self.can_attempt_again();
        if !is_hedgeable {
            return None;
        }
        let target = self.available_target()?;
        if !self.state.retry_budget.withdraw() {
            return None;
        }
        let service = self.state.topology.service(self.prepared.service);
        self.state.metrics.record_hedge(&service.name);
        Some(target)
    }

    fn available_target(&mut self) -> Option<HedgeTarget> {
        if let Some(slot) = self
            .state
            .pool
            .try_acquire(self.prepared.service, &self.tried)
        {
            self.tried.push(slot.upstream());
            return Some(HedgeTarget::Upstream(slot));
        }
        if let Some(owner) = self.owners_with_free_slots().first() {
            return Some(HedgeTarget::Peer(*owner, Role::Owner));
        }
        let now = Instant::now();
        let is_other = |choice: &&ZoneChoice| choice.zone != self.state.own_zone;
        let choice = *self.choices.iter().find(is_other)?;
        self.try_admit_outgoing(&choice, now).ok()?;
        let peer = *self.state.membership.live_in(choice.zone, now).first()?;
        Some(HedgeTarget::Peer(peer, Role::Zone))
    }
}
