//! Keeps the set of upstreams that this instance owns up to date with membership and configuration.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use laburnumdeal_model::{InstanceId, UpstreamId, WHOLE_PERMILLE};
use laburnumdeal_policy::{OwnedUpstream, Ownership, TakeOver, UpstreamHandOver};
use slog::info;
use tokio::time::Instant;

use crate::configuration_view::ActiveConfiguration;
use crate::leaving_upstreams::LeavingUpstreams;
use crate::state::State;

/// Time between two checks of membership when no change is signalled.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a hand-over is kept for the membership change that it belongs to.
const HAND_OVER_RETENTION: Duration = Duration::from_secs(30);

/// Hand-overs received from instances that stop as planned. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct ReceivedHandOvers {
    list: Arc<Mutex<Vec<(UpstreamHandOver, Instant)>>>,
}

impl ReceivedHandOvers {
    /// Adds the hand-overs of an instance and drops expired ones.
    pub fn add(&self, from: InstanceId, list: Vec<UpstreamHandOver>) {
        let now = Instant::now();
        let mut hand_overs = self.list.lock().expect("no panic while locked");
        hand_overs.retain(|(_, at)| now.saturating_duration_since(*at) < HAND_OVER_RETENTION);
        hand_overs.extend(
            list.into_iter()
                .filter(|h| h.from == from)
                .map(|h| (h, now)),
        );
    }

    fn get(&self) -> Vec<UpstreamHandOver> {
        let hand_overs = self.list.lock().expect("no panic while locked");
        hand_overs.iter().map(|(hand_over, _)| *hand_over).collect()
    }
}

/// Updates the ownership after every change, for as long as the process runs.
pub async fn run(state: Arc<State>, hand_overs: ReceivedHandOvers, leaving: LeavingUpstreams) {
    let mut changes = state.membership.watch();
    let mut versions = state.configuration.watch();
    let mut ownership: Option<Ownership> = None;
    loop {
        let now = Instant::now();
        let has_resumed = state.membership.tick(now);
        if let Some(active) = state.configuration.active() {
            let next = match &ownership {
                None => Ownership::of(&state.membership, now),
                Some(known) => known.next(&state.membership, &hand_overs.get(), has_resumed, now),
            };
            apply(
                &state,
                &active,
                &next,
                &hand_overs,
                &leaving,
                ownership.as_ref(),
            );
            state.shares.configure(&active.configuration);
            ownership = Some(next);
        }
        tokio::select! {
            _ = changes.changed() => {}
            _ = versions.changed() => {}
            () = leaving.changed() => {}
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
    }
}

fn apply(
    state: &State,
    active: &ActiveConfiguration,
    next: &Ownership,
    hand_overs: &ReceivedHandOvers,
    leaving: &LeavingUpstreams,
    previous: Option<&Ownership>,
) {
    let owned: Vec<OwnedUpstream> = next
        .owned
        .iter()
        .map(|id| describe(state, active, leaving, *id))
        .collect();
    state.pool.configure(Instant::now(), &owned);
    for take_over in &next.taken_over {
        assume_all_slots_taken(state, take_over);
    }
    let by_upstream: HashMap<UpstreamId, UpstreamHandOver> = hand_overs
        .get()
        .into_iter()
        .map(|h| (h.upstream, h))
        .collect();
    for upstream in &next.owned {
        let is_new = previous.is_none_or(|previous| !previous.owns(*upstream));
        if let (true, Some(hand_over)) = (is_new, by_upstream.get(upstream)) {
            apply_hand_over(state, hand_over);
        }
    }
}

fn describe(
    state: &State,
    active: &ActiveConfiguration,
    leaving: &LeavingUpstreams,
    id: UpstreamId,
) -> OwnedUpstream {
    let upstream = state.topology.upstream(id);
    let configuration = &active.configuration;
    let service = &state.topology.service(upstream.service).name;
    let is_allowed = configuration.is_allowed(service, &upstream.name);
    // The router applies drains of zones and regions, which move callers. A drain of an upstream
    // is applied here, by the owner.
    let target = laburnumdeal_model::Target::Upstream(upstream.name.clone());
    let moved_permille = configuration
        .drains
        .get(&target)
        .map_or(0, |drain| drain.moved_permille);
    OwnedUpstream {
        id,
        service: upstream.service,
        slots: upstream.slots,
        connections: upstream.connections,
        moved_permille: if is_allowed {
            moved_permille
        } else {
            WHOLE_PERMILLE
        },
        leaving: leaving.is_leaving(id),
    }
}

/// Assumes that every slot is taken until the deadlines of the former owner's requests have passed.
fn assume_all_slots_taken(state: &State, take_over: &TakeOver) {
    let upstream = state.topology.upstream(take_over.upstream);
    let until = Instant::now() + Duration::from_millis(state.settings.stop_ms);
    state
        .pool
        .assume_taken(take_over.upstream, upstream.slots, until);
    info!(state.log, "took over upstream from instance"; "upstream" => &upstream.name,
        "from" => &state.topology.instance(take_over.from).name,
        "after" => take_over.departure.to_string());
}

fn apply_hand_over(state: &State, hand_over: &UpstreamHandOver) {
    let until = Instant::now() + Duration::from_millis(hand_over.longest_deadline_ms);
    let count = u16::try_from(hand_over.in_flight).unwrap_or(u16::MAX);
    state.pool.assume_warm(hand_over.upstream);
    state.pool.assume_taken(hand_over.upstream, count, until);
    info!(state.log, "applied hand-over of upstream from instance";
        "upstream" => &state.topology.upstream(hand_over.upstream).name,
        "from" => &state.topology.instance(hand_over.from).name, "in_flight" => count);
}
