//! State of a peer by its heartbeats, failed connections and the platform's list.

mod support;

use std::time::Duration;

use laburnumdeal_model::{BootId, InstanceId, Version, ZoneId};
use laburnumdeal_policy::{
    Heartbeat, MemberState, Membership, MembershipSettings, PeerState, PlatformState,
};
use support::{Shape, topology};
use tokio::time::Instant;

const ME: InstanceId = InstanceId(0);
const PEER: InstanceId = InstanceId(1);
const SHAPE: Shape = Shape {
    regions: 1,
    zones: 1,
    instances: 3,
    upstreams: 4,
};

fn membership_at_start() -> (Membership, Instant) {
    let settings = MembershipSettings::new(1_000);
    let membership = Membership::new(ME, BootId(1), topology(SHAPE, 1_000), settings);
    (membership, Instant::now())
}

fn heartbeat(boot: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        boot: BootId(boot),
        sequence,
        state: PeerState::Live,
        version: Version(0),
        in_flight: 0,
    }
}

fn leaving(boot: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        state: PeerState::Leaving,
        ..heartbeat(boot, sequence)
    }
}

fn after(now: Instant, ms: u64) -> Instant {
    now + Duration::from_millis(ms)
}

#[test]
fn state_joined_peer_is_live_after_first_heartbeat() {
    let (membership, now) = membership_at_start();
    assert_eq!(membership.state(PEER, now), MemberState::Unknown);
    assert!(membership.record_heartbeat(PEER, heartbeat(1, 1), now));
    assert_eq!(membership.state(PEER, now), MemberState::Live);
    assert_eq!(membership.boot(PEER), Some(BootId(1)));
    assert_eq!(membership.live_in(ZoneId(0), now), [ME, PEER]);
}

#[test]
fn state_without_heartbeat_becomes_out_of_reach() {
    let (membership, now) = membership_at_start();
    assert_eq!(membership.owners_in(ZoneId(0), now).len(), 3);
    assert_eq!(
        membership.state(PEER, after(now, 1_100)),
        MemberState::OutOfReach
    );
    assert_eq!(membership.owners_in(ZoneId(0), after(now, 1_100)), [ME]);
}

#[test]
fn state_without_heartbeats_is_suspect_then_out_of_reach() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    assert_eq!(membership.state(PEER, after(now, 499)), MemberState::Live);
    assert_eq!(
        membership.state(PEER, after(now, 500)),
        MemberState::Suspect
    );
    assert_eq!(
        membership.state(PEER, after(now, 1_000)),
        MemberState::OutOfReach
    );
    membership.record_heartbeat(PEER, heartbeat(1, 2), after(now, 2_000));
    assert_eq!(membership.state(PEER, after(now, 2_000)), MemberState::Live);
}

#[test]
fn state_unreachable_is_suspect_until_heartbeat() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    membership.record_unreachable(PEER, now);
    assert_eq!(membership.state(PEER, now), MemberState::Suspect);
    membership.record_heartbeat(PEER, heartbeat(1, 2), now);
    assert_eq!(membership.state(PEER, now), MemberState::Live);
}

#[test]
fn state_planned_leave_ends_as_left() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, leaving(1, 1), now);
    assert_eq!(membership.state(PEER, now), MemberState::Leaving);
    assert_eq!(membership.live_in(ZoneId(0), now), [ME]);
    assert_eq!(membership.state(PEER, after(now, 1_000)), MemberState::Left);
}

#[test]
fn state_own_leave_notifies_watchers() {
    let (membership, now) = membership_at_start();
    let generation = membership.generation();
    membership.leave();
    assert_eq!(membership.state(ME, now), MemberState::Leaving);
    assert_eq!(membership.own_state(), PeerState::Leaving);
    assert!(membership.generation() > generation);
}

#[test]
fn record_heartbeat_of_new_run_replaces_old_run() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, leaving(1, 9), now);
    assert!(membership.record_heartbeat(PEER, heartbeat(2, 1), after(now, 100)));
    assert_eq!(membership.state(PEER, after(now, 100)), MemberState::Live);
    assert_eq!(membership.boot(PEER), Some(BootId(2)));
}

#[test]
fn record_heartbeat_of_earlier_run_is_ignored() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, heartbeat(1, 8), now);
    membership.record_heartbeat(PEER, heartbeat(2, 1), after(now, 100));
    assert!(!membership.record_heartbeat(PEER, heartbeat(1, 9), after(now, 200)));
    assert_eq!(membership.boot(PEER), Some(BootId(2)));
    assert_eq!(
        membership.state(PEER, after(now, 1_100)),
        MemberState::OutOfReach
    );
}

#[test]
fn record_heartbeat_corrects_wrong_order_of_runs() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, heartbeat(2, 1), now);
    membership.record_heartbeat(PEER, heartbeat(1, 8), after(now, 100));
    assert!(!membership.record_heartbeat(PEER, heartbeat(2, 2), after(now, 600)));
    assert!(membership.record_heartbeat(PEER, heartbeat(2, 3), after(now, 1_100)));
    assert_eq!(membership.boot(PEER), Some(BootId(2)));
}

#[test]
fn record_heartbeat_duplicate_does_not_refresh() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    assert!(!membership.record_heartbeat(PEER, heartbeat(1, 1), after(now, 900)));
    assert_eq!(
        membership.state(PEER, after(now, 1_000)),
        MemberState::OutOfReach
    );
}

#[test]
fn record_heartbeat_forwarded_late_does_not_age_peer() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, heartbeat(1, 1), after(now, 900));
    membership.record_heartbeat(PEER, heartbeat(1, 2), after(now, 100));
    assert_eq!(membership.state(PEER, after(now, 1_300)), MemberState::Live);
}

#[test]
fn record_heartbeat_forwarded_from_older_run_is_ignored() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, heartbeat(2, 1), after(now, 900));
    assert!(!membership.record_heartbeat(PEER, heartbeat(1, 70), after(now, 100)));
    assert_eq!(membership.boot(PEER), Some(BootId(2)));
}

#[test]
fn apply_platform_list_alone_makes_no_peer_live() {
    let (membership, now) = membership_at_start();
    membership.apply_platform_list(&[(PEER, PlatformState::Live)], now);
    assert_eq!(membership.state(PEER, now), MemberState::Unknown);
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    let late = after(now, 1_000);
    membership.apply_platform_list(&[(PEER, PlatformState::Live)], late);
    assert_eq!(membership.state(PEER, late), MemberState::OutOfReach);
}

#[test]
fn apply_platform_list_leaving_marks_peer_leaving() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    membership.apply_platform_list(&[(PEER, PlatformState::Leaving)], now);
    assert_eq!(membership.state(PEER, now), MemberState::Leaving);
}

#[test]
fn apply_platform_list_leaving_of_old_run_does_not_affect_new_run() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    membership.apply_platform_list(&[(PEER, PlatformState::Leaving)], now);
    membership.record_heartbeat(PEER, heartbeat(2, 1), after(now, 100));
    membership.apply_platform_list(&[(PEER, PlatformState::Leaving)], after(now, 150));
    assert_eq!(membership.state(PEER, after(now, 200)), MemberState::Live);
}

#[test]
fn apply_platform_list_gone_counts_only_without_heartbeats() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    membership.apply_platform_list(&[(PEER, PlatformState::Live)], now);
    membership.apply_platform_list(&[], now);
    assert_eq!(membership.state(PEER, now), MemberState::Live);
    assert_eq!(membership.state(PEER, after(now, 500)), MemberState::Left);
    membership.record_heartbeat(PEER, heartbeat(1, 2), after(now, 600));
    assert_eq!(membership.state(PEER, after(now, 600)), MemberState::Live);
}

#[test]
fn tick_after_freeze_restarts_timeouts() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    assert!(!membership.tick(now));
    let resumed_at = after(now, 10_000);
    assert_eq!(membership.state(PEER, resumed_at), MemberState::Live);
    assert!(membership.tick(resumed_at));
    assert_eq!(
        membership.state(PEER, after(resumed_at, 400)),
        MemberState::Live
    );
    assert!(!membership.tick(after(resumed_at, 400)));
    assert!(!membership.tick(after(resumed_at, 800)));
    assert_eq!(
        membership.state(PEER, after(resumed_at, 1_000)),
        MemberState::OutOfReach
    );
}

#[test]
fn tick_missing_heartbeats_notify_watchers() {
    let (membership, now) = membership_at_start();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    let mut watch = membership.watch();
    watch.mark_unchanged();
    for step in 1..=4 {
        membership.tick(after(now, step * 100));
    }
    assert!(!watch.has_changed().unwrap());
    membership.tick(after(now, 500));
    assert!(watch.has_changed().unwrap());
}
