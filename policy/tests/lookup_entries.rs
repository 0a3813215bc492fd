//! Entry instances in the answer to a lookup, and their order.

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

struct Fixture {
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

/// Returns instance 0 of zone 0 as the local instance. All other instances are live.
fn fixture() -> Fixture {
    let topology = topology(SHAPE, 1_000);
    let settings = MembershipSettings::new(1_000);
    let membership = Membership::new(InstanceId(0), BootId(1), topology.clone(), settings);
    let now = Instant::now();
    for id in topology.instance_ids().skip(1) {
        membership.record_heartbeat(id, heartbeat(1, PeerState::Live), now);
    }
    Fixture {
        topology,
        membership,
        now,
    }
}

fn answer(fixture: &Fixture, configuration: &Configuration, address: IpAddr) -> Vec<InstanceId> {
    let table = LookupTable::build(configuration, &fixture.topology);
    answer_from(fixture, &table, address)
}

fn answer_from(fixture: &Fixture, table: &LookupTable, address: IpAddr) -> Vec<InstanceId> {
    let zone = ZoneId(0);
    entry_instances(
        table,
        &fixture.membership,
        ServiceId(0),
        address,
        zone,
        fixture.now,
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
fn entry_instances_closer_zones_come_first() {
    let fixture = fixture();
    let entries = answer(&fixture, &Configuration::default(), caller(1));
    let zones: Vec<u16> = entries
        .iter()
        .map(|id| fixture.topology.instance(*id).zone.0)
        .collect();
    assert_eq!(zones, [0, 0, 1, 1, 2, 2, 3, 3]);
    assert!(entries.len() <= MAX_ENTRY_INSTANCES);
}

#[test]
fn entry_instances_callers_are_spread_within_zone() {
    let fixture = fixture();
    let first = |number| answer(&fixture, &Configuration::default(), caller(number))[0];
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
    let fixture = fixture();
    fixture.membership.record_heartbeat(
        InstanceId(1),
        heartbeat(2, PeerState::Leaving),
        fixture.now,
    );
    let entries = answer(&fixture, &Configuration::default(), caller(1));
    assert!(!entries.contains(&InstanceId(1)));
}

#[test]
fn entry_instances_suspect_comes_after_live() {
    let fixture = fixture();
    fixture
        .membership
        .record_unreachable(InstanceId(1), fixture.now);
    for number in 0..50 {
        let entries = answer(&fixture, &Configuration::default(), caller(number));
        assert_eq!(entries[..2], [InstanceId(0), InstanceId(1)]);
    }
}

#[test]
fn entry_instances_isolated_instance_returns_itself() {
    let mut fixture = fixture();
    fixture.now += Duration::from_secs(5);
    let configuration = configured(&fixture.topology, &[steer("z3")]);
    assert_eq!(answer(&fixture, &configuration, caller(1)), [InstanceId(0)]);
}

#[test]
fn entry_instances_lost_instance_moves_only_its_callers() {
    let fixture = fixture();
    let first_instances = || {
        let first = |number| answer(&fixture, &Configuration::default(), caller(number))[0];
        (0..300).map(first).collect::<Vec<_>>()
    };
    let before = first_instances();
    fixture.membership.record_heartbeat(
        InstanceId(1),
        heartbeat(2, PeerState::Leaving),
        fixture.now,
    );
    for (before, after) in before.into_iter().zip(first_instances()) {
        assert!(before == after || before == InstanceId(1));
    }
}

#[test]
fn entry_instances_drained_zone_comes_last() {
    let fixture = fixture();
    let entries = answer(&fixture, &zone_drain(1_000), caller(1));
    let zone = fixture.topology.instance(entries[0]).zone;
    assert_eq!(zone, ZoneId(1));
}

#[test]
fn entry_instances_drain_keeps_caller_without_steering() {
    let fixture = fixture();
    let steered = zone_drain(1_000);
    let configuration = Configuration {
        steering: Default::default(),
        ..steered
    };
    let entries = answer(&fixture, &configuration, caller(1));
    let zone = fixture.topology.instance(entries[0]).zone;
    assert_eq!(zone, ZoneId(0));
}

#[test]
fn entry_instances_drain_step_moves_only_its_share() {
    let fixture = fixture();
    let mut moved_before = vec![false; 2_000];
    for moved_permille in [0, 100, 200, 300] {
        let configuration = zone_drain(moved_permille.max(1));
        let table = LookupTable::build(&configuration, &fixture.topology);
        let mut moved = Vec::new();
        for number in 0..2_000 {
            let first = answer_from(&fixture, &table, caller(number))[0];
            moved.push(fixture.topology.instance(first).zone != ZoneId(0));
        }
        let moved_back = moved_before
            .iter()
            .zip(&moved)
            .filter(|(old, new)| **old && !**new);
        assert_eq!(moved_back.count(), 0, "at {moved_permille}");
        let count = moved.iter().filter(|is_moved| **is_moved).count();
        let expected = usize::from(moved_permille) * 2;
        assert!(
            count.abs_diff(expected) < 60,
            "{count} moved at {moved_permille}"
        );
        moved_before = moved;
    }
}
