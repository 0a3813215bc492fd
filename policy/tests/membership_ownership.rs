//! Ownership of the upstreams of a zone while members start, stop, die and freeze.

mod support;

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::{BootId, InstanceId, Topology, UpstreamId, Version};
use laburnumdeal_policy::{
    Departure, Heartbeat, Membership, MembershipSettings, Ownership, PeerState, UpstreamHandOver,
    owner,
};
use support::{Shape, topology};
use tokio::time::Instant;

const ME: InstanceId = InstanceId(0);
const PEER: InstanceId = InstanceId(1);
const SHAPE: Shape = Shape {
    regions: 2,
    zones: 1,
    instances: 2,
    upstreams: 40,
};

fn heartbeat(sequence: u64, state: PeerState) -> Heartbeat {
    Heartbeat {
        boot: BootId(1),
        sequence,
        state,
        version: Version(0),
        in_flight: 0,
    }
}

/// Returns the memberships of two instances of a zone that are live to each other, and the time.
fn pair() -> (Arc<Topology>, Membership, Membership, Instant) {
    let topology = topology(SHAPE, 1_000);
    let settings = MembershipSettings::new(1_000);
    let open = |id| Membership::new(id, BootId(1), topology.clone(), settings);
    let (mine, theirs) = (open(ME), open(PEER));
    let now = Instant::now();
    mine.record_heartbeat(PEER, heartbeat(1, PeerState::Live), now);
    theirs.record_heartbeat(ME, heartbeat(1, PeerState::Live), now);
    (topology, mine, theirs, now)
}

#[test]
fn owner_lost_member_moves_only_its_upstreams() {
    let members: Vec<InstanceId> = (0..5).map(InstanceId).collect();
    for upstream in (0..500).map(UpstreamId) {
        let before = owner(upstream, &members).unwrap();
        let after = owner(upstream, &members[1..]).unwrap();
        assert!(before == after || before == members[0]);
    }
    assert_eq!(owner(UpstreamId(0), &[]), None);
}

#[test]
fn ownership_live_pair_splits_zone() {
    let (topology, mine, theirs, now) = pair();
    let (mine, theirs) = (Ownership::of(&mine, now), Ownership::of(&theirs, now));
    assert_eq!(mine.owned.len() + theirs.owned.len(), 40);
    assert!(mine.owned.iter().all(|upstream| !theirs.owns(*upstream)));
    assert!((10..=30).contains(&mine.owned.len()));
    let in_zone = |upstream: &UpstreamId| topology.upstream(*upstream).zone.0 == 0;
    assert!(mine.owned.iter().all(in_zone));
}

#[test]
fn ownership_start_assumes_slots_taken() {
    let (_, mine, _, now) = pair();
    let ownership = Ownership::of(&mine, now);
    assert_eq!(ownership.taken_over.len(), ownership.owned.len());
    assert_eq!(ownership.taken_over[0].departure, Departure::Restart);
}

#[test]
fn ownership_start_keeps_upstreams_of_unknown_peer() {
    let topology = topology(SHAPE, 1_000);
    let settings = MembershipSettings::new(1_000);
    let membership = Membership::new(ME, BootId(1), topology, settings);
    let now = Instant::now();
    assert!(Ownership::of(&membership, now).owned.len() < 40);
    let later = now + Duration::from_millis(1_100);
    assert_eq!(Ownership::of(&membership, later).owned.len(), 40);
}

#[test]
fn next_death_takes_over_with_slots_taken() {
    let (_, mine, theirs, now) = pair();
    let before = Ownership::of(&mine, now);
    let lost = Ownership::of(&theirs, now).owned;
    let after = before.next(&mine, &[], false, now + Duration::from_secs(2));
    assert_eq!(after.owned.len(), 40);
    let taken: Vec<UpstreamId> = after.taken_over.iter().map(|t| t.upstream).collect();
    assert_eq!(taken, lost);
    assert!(
        after
            .taken_over
            .iter()
            .all(|t| t.from == PEER && t.departure == Departure::Death)
    );
}

#[test]
fn next_planned_stop_hands_over_with_counts() {
    let (_, mine, theirs, now) = pair();
    let mine_before = Ownership::of(&mine, now);
    let theirs_before = Ownership::of(&theirs, now);
    theirs.leave();
    mine.record_heartbeat(PEER, heartbeat(2, PeerState::Leaving), now);
    let theirs_after = theirs_before.next(&theirs, &[], false, now);
    assert!(theirs_after.owned.is_empty());
    let handed_over: Vec<UpstreamHandOver> = theirs_after
        .to_hand_over
        .iter()
        .map(|(upstream, to)| UpstreamHandOver {
            upstream: *upstream,
            from: PEER,
            to: *to,
            in_flight: 3,
            longest_deadline_ms: 500,
        })
        .collect();
    assert_eq!(handed_over.len(), theirs_before.owned.len());
    let mine_after = mine_before.next(&mine, &handed_over, false, now);
    assert_eq!(mine_after.owned.len(), 40);
    assert!(mine_after.taken_over.is_empty());
}

#[test]
fn next_planned_stop_without_hand_over_assumes_slots_taken() {
    let (_, mine, _, now) = pair();
    let before = Ownership::of(&mine, now);
    mine.record_heartbeat(PEER, heartbeat(2, PeerState::Leaving), now);
    let after = before.next(&mine, &[], false, now);
    assert_eq!(after.taken_over.len(), 40 - before.owned.len());
}

#[test]
fn next_after_freeze_assumes_own_slots_taken() {
    let (_, mine, _, now) = pair();
    let before = Ownership::of(&mine, now);
    mine.tick(now);
    let resumed_at = now + Duration::from_secs(10);
    let was_frozen = mine.tick(resumed_at);
    let after = before.next(&mine, &[], was_frozen, resumed_at);
    assert_eq!(after.owned, before.owned);
    assert_eq!(after.taken_over.len(), before.owned.len());
    assert!(
        after
            .taken_over
            .iter()
            .all(|t| t.departure == Departure::Freeze)
    );
}

#[test]
fn next_after_return_of_peer_hands_over_its_upstreams() {
    let (_, mine, _, now) = pair();
    let start = Ownership::of(&mine, now);
    let death = now + Duration::from_secs(2);
    let alone = start.next(&mine, &[], false, death);
    mine.record_heartbeat(PEER, heartbeat(2, PeerState::Live), death);
    let after_return = alone.next(&mine, &[], false, death);
    assert_eq!(after_return.owned, start.owned);
    assert_eq!(after_return.to_hand_over.len(), 40 - start.owned.len());
    assert!(after_return.to_hand_over.iter().all(|(_, to)| *to == PEER));
}
