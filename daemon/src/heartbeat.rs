//! Heartbeats between instances: who is live, which configuration is in force, where there is room.

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::{InstanceId, ZoneId};
use laburnumdeal_policy::{Heartbeat, PoisonCheck, ZoneLoad};
use slog::warn;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::beat::{Beat, MemberReport};
use crate::configuration_puller;
use crate::peer_message::{PeerReply, PeerRequest};
use crate::state::State;

/// Time between two heartbeats to the same instance of the own availability zone.
pub const BEAT_EVERY: Duration = Duration::from_millis(200);

/// Instances of each other availability zone that get a heartbeat at a time.
const BEATS_PER_OTHER_ZONE: usize = 2;

/// Age up to which marks of poison are passed on.
const POISON_MS: u64 = 2_000;

/// Sends heartbeats for as long as the process runs, one task for each exchange.
pub async fn run(state: Arc<State>) {
    let mut ticks = tokio::time::interval(BEAT_EVERY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut turn = 0;
    loop {
        ticks.tick().await;
        confirm_own(&state).await;
        for peer in partners(&state, turn) {
            tokio::spawn(exchange(state.clone(), peer));
        }
        receive_own(&state);
        state.claims.tick();
        turn += 1;
    }
}

/// Sends one heartbeat to an instance and takes in its reply.
pub async fn exchange(state: Arc<State>, peer: InstanceId) {
    let beat = PeerRequest::Beat(Box::new(beat_for(&state, peer)));
    match state.peers.call(peer, &beat).await {
        Ok(PeerReply::Beat(reply)) => take(&state, peer, *reply),
        Ok(PeerReply::Failed { reason }) => {
            let name = &state.topology.instance(peer).name;
            warn!(state.log, "heartbeat refused"; "peer" => name, "reason" => reason);
        }
        Ok(_) => {}
        Err(_) => state.membership.record_unreachable(peer, Instant::now()),
    }
}

/// Sends a heartbeat to every other instance out of turn, and returns when all have replied or
/// after `most`.
pub async fn tell_all(state: &Arc<State>, most: Duration) {
    let mut exchanges = JoinSet::new();
    for peer in state.topology.instance_ids().filter(|id| *id != state.me) {
        exchanges.spawn(exchange(state.clone(), peer));
    }
    let _ = tokio::time::timeout(most, async {
        while exchanges.join_next().await.is_some() {}
    })
    .await;
    exchanges.detach_all();
}

/// Tells every other instance of a request if it was in flight at a crash.
pub async fn tell_crash(state: Arc<State>, fingerprint: u64) {
    if state.flights.check(fingerprint) != PoisonCheck::Clear {
        tell_all(&state, BEAT_EVERY).await;
    }
}

/// Returns what this instance tells another one now.
pub fn beat_for(state: &State, peer: InstanceId) -> Beat {
    let now = Instant::now();
    let is_same_zone = state.topology.instance(peer).zone == state.my_zone;
    Beat {
        from: state.me,
        topology: state.topology.digest,
        heartbeat: own_heartbeat(state),
        configuration: state.configuration.digest(),
        confirmed_age_ms: state
            .configuration
            .confirmed_age()
            .map(|age| age.as_millis() as u64),
        own_room: if is_same_zone {
            state.own_room()
        } else {
            Vec::new()
        },
        zones: if is_same_zone {
            other_zones(state, now)
        } else {
            vec![own_zone(state)]
        },
        poison: state.flights.marks(POISON_MS),
        members: if is_same_zone {
            Vec::new()
        } else {
            own_members(state, now)
        },
    }
}

/// Takes in what another instance told.
pub fn take(state: &Arc<State>, from: InstanceId, beat: Beat) {
    let now = Instant::now();
    if beat.topology != state.topology.digest || beat.from != from {
        return;
    }
    let is_news = state.membership.record_heartbeat(from, beat.heartbeat, now);
    for report in &beat.members {
        let at = now.checked_sub(Duration::from_millis(report.age_ms));
        let exists = report.instance.index() < state.topology.instances.len();
        if let (Some(at), true, true) = (at, exists, report.instance != state.me) {
            state
                .membership
                .record_heartbeat(report.instance, report.heartbeat, at);
        }
    }
    if !is_news {
        return;
    }
    state.peers_room.report(from, beat.own_room);
    let mut digests = state.digests.write().expect("no panic while locked");
    for digest in beat
        .zones
        .into_iter()
        .filter(|digest| digest.zone != state.my_zone)
    {
        digests.receive(digest, now);
    }
    drop(digests);
    state.flights.merge(&beat.poison);
    configuration_puller::compare(state, from, beat.heartbeat.version, beat.configuration);
    if beat.heartbeat.version == state.configuration.version()
        && let Some(age_ms) = beat.confirmed_age_ms
    {
        state.configuration.confirm(Duration::from_millis(age_ms));
    }
}

fn own_heartbeat(state: &State) -> Heartbeat {
    Heartbeat {
        boot: state.boot,
        sequence: state.next_sequence(),
        state: state.membership.own_state(),
        version: state.configuration.version(),
        in_flight: state.in_progress() as u32,
    }
}

/// On a control replica, asks the change log whether the configuration is confirmed.
async fn confirm_own(state: &Arc<State>) {
    let Some(replica) = state.replica.clone() else {
        return;
    };
    let state = state.clone();
    tokio::spawn(async move {
        let asked_at = Instant::now();
        let known = replica.read_configuration().await;
        if known.is_confirmed && known.configuration.version <= state.configuration.version() {
            state.configuration.confirm(asked_at.elapsed());
        }
    });
}

fn receive_own(state: &State) {
    let digest = own_zone(state);
    state
        .digests
        .write()
        .expect("no panic while locked")
        .receive(digest, Instant::now());
}

/// Returns the load of the own zone, summed over its owners.
fn own_zone(state: &State) -> ZoneLoad {
    let own = part(state, state.own_room(), 0);
    let owners = state.membership.owners_in(state.my_zone, Instant::now());
    let others = owners
        .into_iter()
        .filter(|id| *id != state.me)
        .filter_map(|id| {
            let (rooms, age) = state.peers_room.all(id)?;
            Some(part(state, rooms, age.as_millis() as u64))
        });
    ZoneLoad::sum(state.my_zone, std::iter::once(own).chain(others))
}

fn part(state: &State, services: Vec<laburnumdeal_policy::ServiceLoad>, age_ms: u64) -> ZoneLoad {
    ZoneLoad {
        zone: state.my_zone,
        members: 1,
        age_ms,
        services,
    }
}

fn other_zones(state: &State, now: Instant) -> Vec<ZoneLoad> {
    let digests = state.digests.read().expect("no panic while locked");
    let others = state
        .topology
        .zone_ids()
        .filter(|zone| *zone != state.my_zone);
    let fresh = others.filter_map(|zone| {
        let mut digest = digests.fresh(zone, now)?.clone();
        digest.age_ms = digests.age(zone, now)?.as_millis() as u64;
        Some(digest)
    });
    fresh.collect()
}

/// Returns what the members of the own zone last said, for an instance of another zone.
fn own_members(state: &State, now: Instant) -> Vec<MemberReport> {
    let others = state
        .topology
        .instances_in(state.my_zone)
        .filter(|id| *id != state.me);
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

/// Returns every other instance of the own zone, and a few of each other zone in turn.
fn partners(state: &State, turn: usize) -> Vec<InstanceId> {
    let mut partners = Vec::new();
    for zone in state.topology.zone_ids() {
        let members = others_in(state, zone);
        match zone == state.my_zone {
            true => partners.extend(members),
            false => partners.extend(in_turn(&members, turn)),
        }
    }
    partners
}

fn others_in(state: &State, zone: ZoneId) -> Vec<InstanceId> {
    state
        .topology
        .instances_in(zone)
        .filter(|id| *id != state.me)
        .collect()
}

fn in_turn(members: &[InstanceId], turn: usize) -> impl Iterator<Item = InstanceId> + '_ {
    let start = turn * BEATS_PER_OTHER_ZONE;
    let count = members.len().min(BEATS_PER_OTHER_ZONE);
    (start..start + count).map(move |position| members[position % members.len()])
}
