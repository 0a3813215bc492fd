//! Tests of what heartbeats, failures and the platform's list make of a peer.

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

fn open() -> (Membership, Instant) {
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
fn state_join_is_live_once_heard() {
    let (membership, now) = open();
    assert_eq!(membership.state(PEER, now), MemberState::Unknown);
    assert!(membership.record_heartbeat(PEER, heartbeat(1, 1), now));
    assert_eq!(membership.state(PEER, now), MemberState::Live);
    assert_eq!(membership.boot(PEER), Some(BootId(1)));
    assert_eq!(membership.live_in(ZoneId(0), now), [ME, PEER]);
}

#[test]
fn state_never_heard_is_out_of_reach_in_the_end() {
    let (membership, now) = open();
    assert_eq!(membership.owners_in(ZoneId(0), now).len(), 3);
    assert_eq!(
        membership.state(PEER, after(now, 1_100)),
        MemberState::OutOfReach
    );
    assert_eq!(membership.owners_in(ZoneId(0), after(now, 1_100)), [ME]);
}

#[test]
fn state_silence_is_suspect_then_out_of_reach() {
    let (membership, now) = open();
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
fn state_failure_is_suspect_until_heard() {
    let (membership, now) = open();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    membership.record_unreachable(PEER, now);
    assert_eq!(membership.state(PEER, now), MemberState::Suspect);
    membership.record_heartbeat(PEER, heartbeat(1, 2), now);
    assert_eq!(membership.state(PEER, now), MemberState::Live);
}

#[test]
fn state_planned_leave_ends_as_left() {
    let (membership, now) = open();
    membership.record_heartbeat(PEER, leaving(1, 1), now);
    assert_eq!(membership.state(PEER, now), MemberState::Leaving);
    assert_eq!(membership.live_in(ZoneId(0), now), [ME]);
    assert_eq!(membership.state(PEER, after(now, 1_000)), MemberState::Left);
}

#[test]
fn state_own_leave_is_told() {
    let (membership, now) = open();
    let generation = membership.generation();
    membership.leave();
    assert_eq!(membership.state(ME, now), MemberState::Leaving);
    assert_eq!(membership.own_state(), PeerState::Leaving);
    assert!(membership.generation() > generation);
}

#[test]
fn heard_return_with_other_boot_takes_its_place() {
    let (membership, now) = open();
    membership.record_heartbeat(PEER, leaving(1, 9), now);
    assert!(membership.record_heartbeat(PEER, heartbeat(2, 1), after(now, 100)));
    assert_eq!(membership.state(PEER, after(now, 100)), MemberState::Live);
    assert_eq!(membership.boot(PEER), Some(BootId(2)));
}

#[test]
fn heard_late_heartbeat_of_old_boot_is_ignored() {
    let (membership, now) = open();
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
fn heard_boots_taken_in_wrong_order_are_put_right() {
    let (membership, now) = open();
    membership.record_heartbeat(PEER, heartbeat(2, 1), now);
    membership.record_heartbeat(PEER, heartbeat(1, 8), after(now, 100));
    assert!(!membership.record_heartbeat(PEER, heartbeat(2, 2), after(now, 600)));
    assert!(membership.record_heartbeat(PEER, heartbeat(2, 3), after(now, 1_100)));
    assert_eq!(membership.boot(PEER), Some(BootId(2)));
}

#[test]
fn heard_doubled_heartbeat_does_not_refresh() {
    let (membership, now) = open();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    assert!(!membership.record_heartbeat(PEER, heartbeat(1, 1), after(now, 900)));
    assert_eq!(
        membership.state(PEER, after(now, 1_000)),
        MemberState::OutOfReach
    );
}

#[test]
fn heard_passed_on_later_does_not_age_the_peer() {
    let (membership, now) = open();
    membership.record_heartbeat(PEER, heartbeat(1, 1), after(now, 900));
    membership.record_heartbeat(PEER, heartbeat(1, 2), after(now, 100));
    assert_eq!(membership.state(PEER, after(now, 1_300)), MemberState::Live);
}

#[test]
fn heard_passed_on_of_older_run_is_ignored() {
    let (membership, now) = open();
    membership.record_heartbeat(PEER, heartbeat(2, 1), after(now, 900));
    assert!(!membership.record_heartbeat(PEER, heartbeat(1, 70), after(now, 100)));
    assert_eq!(membership.boot(PEER), Some(BootId(2)));
}

#[test]
fn platform_list_alone_makes_nobody_live() {
    let (membership, now) = open();
    membership.apply_platform_list(&[(PEER, PlatformState::Live)], now);
    assert_eq!(membership.state(PEER, now), MemberState::Unknown);
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    let late = after(now, 1_000);
    membership.apply_platform_list(&[(PEER, PlatformState::Live)], late);
    assert_eq!(membership.state(PEER, late), MemberState::OutOfReach);
}

#[test]
fn platform_leaving_hastens_leaving() {
    let (membership, now) = open();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    membership.apply_platform_list(&[(PEER, PlatformState::Leaving)], now);
    assert_eq!(membership.state(PEER, now), MemberState::Leaving);
}

#[test]
fn platform_leaving_of_old_boot_does_not_bind_new_one() {
    let (membership, now) = open();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    membership.apply_platform_list(&[(PEER, PlatformState::Leaving)], now);
    membership.record_heartbeat(PEER, heartbeat(2, 1), after(now, 100));
    membership.apply_platform_list(&[(PEER, PlatformState::Leaving)], after(now, 150));
    assert_eq!(membership.state(PEER, after(now, 200)), MemberState::Live);
}

#[test]
fn platform_gone_counts_only_with_silence() {
    let (membership, now) = open();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    membership.apply_platform_list(&[(PEER, PlatformState::Live)], now);
    membership.apply_platform_list(&[], now);
    assert_eq!(membership.state(PEER, now), MemberState::Live);
    assert_eq!(membership.state(PEER, after(now, 500)), MemberState::Left);
    membership.record_heartbeat(PEER, heartbeat(1, 2), after(now, 600));
    assert_eq!(membership.state(PEER, after(now, 600)), MemberState::Live);
}

#[test]
fn tick_after_freeze_counts_silence_anew() {
    let (membership, now) = open();
    membership.record_heartbeat(PEER, heartbeat(1, 1), now);
    assert!(!membership.tick(now));
    let thaw = after(now, 10_000);
    assert_eq!(membership.state(PEER, thaw), MemberState::Live);
    assert!(membership.tick(thaw));
    assert_eq!(membership.state(PEER, after(thaw, 400)), MemberState::Live);
    assert!(!membership.tick(after(thaw, 400)));
    assert!(!membership.tick(after(thaw, 800)));
    assert_eq!(
        membership.state(PEER, after(thaw, 1_000)),
        MemberState::OutOfReach
    );
}

#[test]
fn tick_silence_is_told_to_watchers() {
    let (membership, now) = open();
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
