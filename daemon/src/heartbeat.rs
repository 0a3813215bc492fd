//! Heartbeats between instances: liveness, configuration version and load.

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::{InstanceId, ZoneId};
use laburnumdeal_policy::{Heartbeat, PoisonCheck, ZoneLoad};
use slog::warn;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::configuration_puller;
use crate::heartbeat_message::{HeartbeatMessage, MemberReport};
use crate::peer_message::{PeerReply, PeerRequest};
use crate::state::State;

/// Time between two heartbeats to the same instance of this availability zone.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Number of instances of each other availability zone that get a heartbeat per interval.
const HEARTBEATS_PER_OTHER_ZONE: usize = 2;

/// Limit on the poison marks, those of requests that were in flight at a crash, in one message.
const MAX_POISON_MARKS: usize = 1_000;

/// Sends heartbeats for as long as the process runs, each from its own task.
pub async fn run(state: Arc<State>) {
    let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut round = 0;
    loop {
        ticks.tick().await;
        confirm_from_log(&state).await;
        for peer in next_peers(&state, round) {
            tokio::spawn(send_heartbeat(state.clone(), peer));
        }
        update_own_zone_load(&state);
        state.claims.tick();
        round += 1;
    }
}

/// Sends one heartbeat to an instance and processes its reply.
pub async fn send_heartbeat(state: Arc<State>, peer: InstanceId) {
    let boot = state.membership.boot(peer);
    let told_until_ms = state.in_flight_requests.now_ms();
    let message = PeerRequest::Beat(Box::new(message_for(&state, peer)));
    match state.peer_client.call(peer, &message).await {
        Ok(PeerReply::Beat(reply)) => {
            let replied = reply.heartbeat.boot;
            // A run that started since the message was made has not been told older marks.
            if boot.is_none_or(|boot| boot == replied) {
                state.told_marks.record(peer, replied, told_until_ms);
            }
            receive(&state, peer, *reply);
        }
        Ok(PeerReply::Failed { reason }) => {
            let name = &state.topology.instance(peer).name;
            warn!(state.log, "peer refused the heartbeat"; "peer" => name, "reason" => reason);
        }
        Ok(_) => {}
        Err(_) => state.membership.record_unreachable(peer, Instant::now()),
    }
}

/// Sends a heartbeat to every other instance immediately, and returns when all have replied or
/// after `timeout`.
pub async fn broadcast(state: &Arc<State>, timeout: Duration) {
    let mut exchanges = JoinSet::new();
    for peer in state
        .topology
        .instance_ids()
        .filter(|id| *id != state.own_id)
    {
        exchanges.spawn(send_heartbeat(state.clone(), peer));
    }
    let _ = tokio::time::timeout(timeout, async {
        while exchanges.join_next().await.is_some() {}
    })
    .await;
    exchanges.detach_all();
}

/// Tells every other instance of a request that was in flight at a crash.
pub async fn broadcast_crash(state: Arc<State>, fingerprint: u64) {
    if state.in_flight_requests.check(fingerprint) != PoisonCheck::Clear {
        broadcast(&state, HEARTBEAT_INTERVAL).await;
    }
}

/// Returns the current heartbeat message for a peer.
pub fn message_for(state: &State, peer: InstanceId) -> HeartbeatMessage {
    let now = Instant::now();
    let is_same_zone = state.topology.instance(peer).zone == state.own_zone;
    let marks_since_ms = state
        .told_marks
        .next_since_ms(peer, state.membership.boot(peer));
    HeartbeatMessage {
        from: state.own_id,
        topology: state.topology.digest,
        heartbeat: own_heartbeat(state),
        configuration: state.configuration.digest(),
        confirmed_age_ms: state
            .configuration
            .confirmed_age()
            .map(|age| age.as_millis() as u64),
        own_room: if is_same_zone {
            state.own_loads()
        } else {
            Vec::new()
        },
        zones: if is_same_zone {
            other_zone_loads(state, now)
        } else {
            vec![own_zone_load(state)]
        },
        poison: state
            .in_flight_requests
            .marks_since(marks_since_ms, MAX_POISON_MARKS),
        members: if is_same_zone {
            Vec::new()
        } else {
            own_members(state, now)
        },
    }
}

/// Processes the heartbeat message of a peer.
pub fn receive(state: &Arc<State>, from: InstanceId, message: HeartbeatMessage) {
    let now = Instant::now();
    if message.topology != state.topology.digest || message.from != from {
        return;
    }
    let is_newer = state
        .membership
        .record_heartbeat(from, message.heartbeat, now);
    for report in &message.members {
        let at = now.checked_sub(Duration::from_millis(report.age_ms));
        let exists = report.instance.index() < state.topology.instances.len();
        if let (Some(at), true, true) = (at, exists, report.instance != state.own_id) {
            state
                .membership
                .record_heartbeat(report.instance, report.heartbeat, at);
        }
    }
    if !is_newer {
        return;
    }
    state.peer_loads.store_report(from, message.own_room);
    let mut zone_loads = state.zone_loads.write().expect("no panic while locked");
    for load in message
        .zones
        .into_iter()
        .filter(|load| load.zone != state.own_zone)
    {
        zone_loads.receive(load, now);
    }
    drop(zone_loads);
    state.in_flight_requests.merge(&message.poison);
    configuration_puller::pull_if_newer(
        state,
        from,
        message.heartbeat.version,
        message.configuration,
    );
    if message.heartbeat.version == state.configuration.version()
        && let Some(age_ms) = message.confirmed_age_ms
    {
        state.configuration.confirm(Duration::from_millis(age_ms));
    }
}

fn own_heartbeat(state: &State) -> Heartbeat {
    Heartbeat {
        boot: state.boot,
        sequence: state.next_heartbeat_sequence(),
        state: state.membership.own_state(),
        version: state.configuration.version(),
        in_flight: state.in_progress() as u32,
    }
}

/// On a control instance, asks the change log whether the configuration is confirmed.
async fn confirm_from_log(state: &Arc<State>) {
    let Some(replica) = state.replica.clone() else {
        return;
    };
    let state = state.clone();
    tokio::spawn(async move {
        let asked_at = Instant::now();
        let log_state = replica.read_configuration().await;
        if log_state.is_confirmed
            && log_state.configuration.version <= state.configuration.version()
        {
            state.configuration.confirm(asked_at.elapsed());
        }
    });
}

fn update_own_zone_load(state: &State) {
    let load = own_zone_load(state);
    state
        .zone_loads
        .write()
        .expect("no panic while locked")
        .receive(load, Instant::now());
}

/// Returns the load of this zone, summed over its owners.
fn own_zone_load(state: &State) -> ZoneLoad {
    let own = zone_load(state, state.own_loads(), 0);
    let owners = state.membership.owners_in(state.own_zone, Instant::now());
    let others = owners
        .into_iter()
        .filter(|id| *id != state.own_id)
        .filter_map(|id| {
            let (services, age) = state.peer_loads.latest_report(id)?;
            Some(zone_load(state, services, age.as_millis() as u64))
        });
    ZoneLoad::sum(state.own_zone, std::iter::once(own).chain(others))
}

fn zone_load(
    state: &State,
    services: Vec<laburnumdeal_policy::ServiceLoad>,
    age_ms: u64,
) -> ZoneLoad {
    ZoneLoad {
        zone: state.own_zone,
        members: 1,
        age_ms,
        services,
    }
}

fn other_zone_loads(state: &State, now: Instant) -> Vec<ZoneLoad> {
    let zone_loads = state.zone_loads.read().expect("no panic while locked");
    let others = state
        .topology
        .zone_ids()
        .filter(|zone| *zone != state.own_zone);
    let fresh = others.filter_map(|zone| {
        let mut load = zone_loads.fresh(zone, now)?.clone();
        load.age_ms = zone_loads.age(zone, now)?.as_millis() as u64;
        Some(load)
    });
    fresh.collect()
}

/// Returns the last heartbeats of the members of this zone, for an instance of another zone.
fn own_members(state: &State, now: Instant) -> Vec<MemberReport> {
    let others = state
        .topology
        .instances_in(state.own_zone)
        .filter(|id| *id != state.own_id);
    let timeout_ms = state.settings.peer_timeout_ms;
    let reports = others.filter_map(|instance| {
        let heartbeat = state.membership.last_heartbeat(instance)?;
        let heard_at = state.membership.last_heard_at(instance)?;
        let age_ms = now.saturating_duration_since(heard_at).as_millis() as u64;
        (age_ms < timeout_ms).then_some(MemberReport {
            instance,
            heartbeat,
            age_ms,
        })
    });
    reports.collect()
}

/// Returns every other instance of this zone, and a few of each other zone in rotation.
fn next_peers(state: &State, round: usize) -> Vec<InstanceId> {
    let mut peers = Vec::new();
    for zone in state.topology.zone_ids() {
        let members = other_instances_in(state, zone);
        match zone == state.own_zone {
            true => peers.extend(members),
            false => peers.extend(rotate(&members, round)),
        }
    }
    peers
}

fn other_instances_in(state: &State, zone: ZoneId) -> Vec<InstanceId> {
    state
        .topology
        .instances_in(zone)
        .filter(|id| *id != state.own_id)
        .collect()
}

fn rotate(members: &[InstanceId], round: usize) -> impl Iterator<Item = InstanceId> + '_ {
    let start = round * HEARTBEATS_PER_OTHER_ZONE;
    let count = members.len().min(HEARTBEATS_PER_OTHER_ZONE);
    (start..start + count).map(move |position| members[position % members.len()])
}
