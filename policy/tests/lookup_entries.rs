//! Tests of the entry instances that a look-up answers with.

mod support;

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::{
    BootId, Change, Configuration, InstanceId, ServiceId, Target, Topology, Version, ZoneId,
};
use laburnumdeal_policy::{
    Heartbeat, LookupTable, MAX_ENTRY_INSTANCES, Membership, MembershipSettings, PeerState,
    entry_instances,
};
use support::{Shape, configured, topology};
use tokio::time::Instant;

const SHAPE: Shape = Shape {
    regions: 2,
    zones: 2,
    instances: 2,
    upstreams: 1,
};

struct Site {
    topology: Arc<Topology>,
    membership: Membership,
    now: Instant,
}

fn heartbeat(sequence: u64, state: PeerState) -> Heartbeat {
    Heartbeat {
        boot: BootId(1),
        sequence,
        state,
        version: Version(0),
        in_flight: 0,
    }
}

/// Instance 0 of zone 0, to which all others are live.
fn site() -> Site {
    let topology = topology(SHAPE, 1_000);
    let settings = MembershipSettings::new(1_000);
    let membership = Membership::new(InstanceId(0), BootId(1), topology.clone(), settings);
    let now = Instant::now();
    for id in topology.instance_ids().skip(1) {
        membership.record_heartbeat(id, heartbeat(1, PeerState::Live), now);
    }
    Site {
        topology,
        membership,
        now,
    }
}

fn answer(site: &Site, configuration: &Configuration, address: IpAddr) -> Vec<InstanceId> {
    let table = LookupTable::build(configuration, &site.topology);
    answer_from(site, &table, address)
}

fn answer_from(site: &Site, table: &LookupTable, address: IpAddr) -> Vec<InstanceId> {
    let zone = ZoneId(0);
    entry_instances(
        table,
        &site.membership,
        ServiceId(0),
        address,
        zone,
        site.now,
    )
}

fn caller(number: u32) -> IpAddr {
    Ipv4Addr::from_bits(number << 8).into()
}

fn zone_drain(moved_permille: u16) -> Configuration {
    let target = Target::Zone("z0".into());
    let drain = Change::Drain {
        target: target.clone(),
        at_ms: 0,
        for_ms: 0,
        step_permille: moved_permille,
        every_ms: 0,
    };
    let step = Change::DrainStep {
        target,
        moved_permille,
    };
    configured(&topology(SHAPE, 1_000), &[steer("z0"), drain, step])
}

fn steer(zone: &str) -> Change {
    Change::Steer {
        blocks: vec!["0.0.0.0/0".parse().unwrap()],
        zones: vec![zone.to_owned()],
    }
}

#[test]
fn entry_instances_near_zones_come_first() {
    let site = site();
    let entries = answer(&site, &Configuration::default(), caller(1));
    let zones: Vec<u16> = entries
        .iter()
        .map(|id| site.topology.instance(*id).zone.0)
        .collect();
    assert_eq!(zones, [0, 0, 1, 1, 2, 2, 3, 3]);
    assert!(entries.len() <= MAX_ENTRY_INSTANCES);
}

#[test]
fn entry_instances_callers_are_spread_within_zone() {
    let site = site();
    let first = |number| answer(&site, &Configuration::default(), caller(number))[0];
    let count = (0..1_000)
        .filter(|number| first(*number) == InstanceId(0))
        .count();
    assert!(
        (400..600).contains(&count),
        "{count} of 1000 start at instance 0"
    );
}

#[test]
fn entry_instances_leaving_is_left_out() {
    let site = site();
    site.membership
        .record_heartbeat(InstanceId(1), heartbeat(2, PeerState::Leaving), site.now);
    let entries = answer(&site, &Configuration::default(), caller(1));
    assert!(!entries.contains(&InstanceId(1)));
}

#[test]
fn entry_instances_suspect_comes_after_live() {
    let site = site();
    site.membership.record_unreachable(InstanceId(1), site.now);
    for number in 0..50 {
        let entries = answer(&site, &Configuration::default(), caller(number));
        assert_eq!(entries[..2], [InstanceId(0), InstanceId(1)]);
    }
}

#[test]
fn entry_instances_cut_off_instance_names_itself() {
    let mut site = site();
    site.now += Duration::from_secs(5);
    let configuration = configured(&site.topology, &[steer("z3")]);
    assert_eq!(answer(&site, &configuration, caller(1)), [InstanceId(0)]);
}

#[test]
fn entry_instances_lost_instance_moves_only_its_callers() {
    let site = site();
    let firsts = || {
        let first = |number| answer(&site, &Configuration::default(), caller(number))[0];
        (0..300).map(first).collect::<Vec<_>>()
    };
    let before = firsts();
    site.membership
        .record_heartbeat(InstanceId(1), heartbeat(2, PeerState::Leaving), site.now);
    for (before, after) in before.into_iter().zip(firsts()) {
        assert!(before == after || before == InstanceId(1));
    }
}

#[test]
fn entry_instances_drained_zone_comes_last() {
    let site = site();
    let entries = answer(&site, &zone_drain(1_000), caller(1));
    let zone = site.topology.instance(entries[0]).zone;
    assert_eq!(zone, ZoneId(1));
}

#[test]
fn entry_instances_drain_leaves_caller_without_steering() {
    let site = site();
    let steered = zone_drain(1_000);
    let configuration = Configuration {
        steering: Default::default(),
        ..steered
    };
    let entries = answer(&site, &configuration, caller(1));
    let zone = site.topology.instance(entries[0]).zone;
    assert_eq!(zone, ZoneId(0));
}

#[test]
fn entry_instances_drain_steps_move_only_a_step() {
    let site = site();
    let mut moved_before = vec![false; 2_000];
    for moved_permille in [0, 100, 200, 300] {
        let configuration = zone_drain(moved_permille.max(1));
        let table = LookupTable::build(&configuration, &site.topology);
        let mut moved = Vec::new();
        for number in 0..2_000 {
            let first = answer_from(&site, &table, caller(number))[0];
            moved.push(site.topology.instance(first).zone != ZoneId(0));
        }
        let came_back = moved_before
            .iter()
            .zip(&moved)
            .filter(|(old, new)| **old && !**new);
        assert_eq!(came_back.count(), 0, "at {moved_permille}");
        let count = moved.iter().filter(|is_moved| **is_moved).count();
        let expected = usize::from(moved_permille) * 2;
        assert!(
            count.abs_diff(expected) < 60,
            "{count} moved at {moved_permille}"
        );
        moved_before = moved;
    }
}
