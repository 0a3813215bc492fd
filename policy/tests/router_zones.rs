//! Ranking of zones, and the caps and ramp that admit a request.

mod support;

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::{
    BootId, Change, Configuration, InstanceId, RegionId, ServiceId, Target, Topology, Version,
    ZoneId,
};
use laburnumdeal_policy::{
    CapKey, CapShares, Heartbeat, LookupTable, Membership, MembershipSettings, PeerState,
    RampSettings, RouteInput, RouteRefusal, Router, ServiceLoad, ShareSettings, ZoneChoice,
    ZoneLoad, ZoneLoads, ZoneReason,
};
use support::{Shape, configured, topology};
use tokio::time::Instant;

const SERVICE: ServiceId = ServiceId(0);
const SHAPE: Shape = Shape {
    regions: 2,
    zones: 2,
    instances: 1,
    upstreams: 2,
};

/// State of instance 0 in zone 0 of region 0. Zones 2 and 3 lie in region 1.
struct Fixture {
    topology: Arc<Topology>,
    membership: Membership,
    zone_loads: ZoneLoads,
    table: LookupTable,
    router: Router,
    now: Instant,
}

fn fixture(changes: &[Change]) -> Fixture {
    let topology = topology(SHAPE, 400);
    let configuration = configured(&topology, changes);
    let (me, boot, started) = (InstanceId(0), BootId(1), Instant::now());
    let settings = MembershipSettings::new(1_000);
    let membership = Membership::new(me, boot, topology.clone(), settings);
    let shares = CapShares::new(
        me,
        boot,
        topology.clone(),
        ShareSettings::default(),
        started,
    );
    shares.configure(&configuration);
    let ramp = RampSettings {
        min_per_step: 4,
        ..RampSettings::default()
    };
    let now = started + Duration::from_secs(10);
    let fixture = Fixture {
        zone_loads: ZoneLoads::new(topology.zones.len()),
        table: LookupTable::build(&configuration, &topology),
        router: Router::new(ZoneId(0), topology.clone(), shares, ramp, started),
        membership,
        topology,
        now,
    };
    for id in fixture.topology.instance_ids().skip(1) {
        fixture.membership.record_heartbeat(id, heartbeat(), now);
    }
    fixture
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        boot: BootId(1),
        sequence: 1,
        state: PeerState::Live,
        version: Version(0),
        in_flight: 0,
    }
}

impl Fixture {
    fn report(&mut self, zone: u16, slots: u32, in_flight: u32) {
        let load = ServiceLoad {
            service: SERVICE,
            slots,
            in_flight,
            queued: 0,
        };
        let zone_load = ZoneLoad {
            zone: ZoneId(zone),
            members: 1,
            age_ms: 100,
            services: vec![load],
        };
        self.zone_loads.receive(zone_load, self.now);
    }

    fn input(&self, caller: IpAddr, hash: u64) -> RouteInput<'_> {
        RouteInput {
            service: SERVICE,
            caller,
            hash,
            table: &self.table,
            membership: &self.membership,
            zone_loads: &self.zone_loads,
            now: self.now,
        }
    }

    fn route(&self, caller: IpAddr, hash: u64) -> Vec<ZoneChoice> {
        self.router.route(&self.input(caller, hash))
    }

    fn explain(&self, zone: u16) -> ZoneReason {
        let reasons = self.router.explain(&self.input(caller(1), 1));
        reasons
            .into_iter()
            .find(|(id, _)| *id == ZoneId(zone))
            .unwrap()
            .1
    }

    fn with_table(mut self, configuration: &Configuration) -> Self {
        self.table = LookupTable::build(configuration, &self.topology);
        self
    }
}

fn caller(number: u32) -> IpAddr {
    Ipv4Addr::from_bits(number << 8).into()
}

fn zones(choices: &[ZoneChoice]) -> Vec<u16> {
    choices.iter().map(|choice| choice.zone.0).collect()
}

fn drain(target: Target, moved_permille: u16) -> [Change; 2] {
    let start = Change::Drain {
        target: target.clone(),
        at_ms: 0,
        for_ms: 0,
        step_permille: 1_000,
        every_ms: 0,
    };
    let step = Change::DrainStep {
        target,
        moved_permille,
    };
    [start, step]
}

fn steer(zones: &[&str]) -> Change {
    Change::Steer {
        blocks: vec!["0.0.0.0/0".parse().unwrap()],
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
    }
}

#[test]
fn route_home_zone_comes_first_then_zone_of_region() {
    let mut fixture = fixture(&[]);
    fixture.report(2, 100, 0);
    let choices = fixture.route(caller(1), 1);
    assert_eq!(zones(&choices)[..3], [0, 1, 2]);
    assert!(!choices[0].is_shift && choices[0].link.is_none());
    assert!(choices[1].is_shift && choices[1].link.is_none());
    assert_eq!(
        choices[2].link,
        Some(CapKey::Link(RegionId(0), RegionId(1)))
    );
}

#[test]
fn route_steered_caller_goes_to_its_home() {
    let fixture = fixture(&[steer(&["z3", "z0"])]);
    let choices = fixture.route(caller(1), 1);
    assert_eq!(zones(&choices)[..2], [3, 0]);
    assert!(!choices[0].is_shift && choices[1].is_shift);
}

#[test]
fn route_full_zone_comes_last() {
    let mut fixture = fixture(&[]);
    fixture.report(1, 9, 9);
    assert_eq!(zones(&fixture.route(caller(1), 1))[3], 1);
    assert_eq!(fixture.explain(1), ZoneReason::Full { age_ms: 100 });
}

#[test]
fn route_old_zone_load_counts_as_unknown() {
    let mut fixture = fixture(&[]);
    fixture.report(1, 9, 9);
    fixture.now += Duration::from_secs(5);
    for id in fixture.topology.instance_ids().skip(1) {
        let heartbeat = Heartbeat {
            sequence: 2,
            ..heartbeat()
        };
        fixture
            .membership
            .record_heartbeat(id, heartbeat, fixture.now);
    }
    assert_eq!(fixture.explain(1), ZoneReason::RoomUnknown);
}

#[test]
fn route_overflow_spreads_by_free_slots() {
    let mut fixture = fixture(&[]);
    fixture.report(2, 100, 25);
    fixture.report(3, 100, 75);
    let second = |hash| {
        let choices = fixture.route(caller(1), hash);
        choices
            .iter()
            .find(|choice| choice.zone.0 >= 2)
            .unwrap()
            .zone
    };
    let count = (0..2_000).filter(|hash| second(*hash) == ZoneId(2)).count();
    assert!(
        (1_400..1_600).contains(&count),
        "{count} of 2000 for three quarters of the free slots"
    );
}

#[test]
fn route_isolated_zone_serves_its_callers() {
    let mut fixture = fixture(&[steer(&["z2"])]);
    fixture.now += Duration::from_secs(5);
    assert_eq!(zones(&fixture.route(caller(1), 1)), [0]);
    assert_eq!(fixture.explain(2), ZoneReason::OutOfReach);
    assert_eq!(
        fixture
            .router
            .admit_incoming(SERVICE, ZoneId(0), fixture.now),
        Ok(())
    );
}

#[test]
fn route_drain_step_moves_only_its_share_and_to_one_zone() {
    let mut fixture = fixture(&[]);
    fixture.report(2, 90, 0);
    fixture.report(3, 60, 0);
    let mut before: Vec<u16> = vec![0; 2_000];
    for moved_permille in [100, 200, 300, 900] {
        let changes = drain(Target::Region("r0".into()), moved_permille);
        let configuration = configured(&fixture.topology, &changes);
        fixture = fixture.with_table(&configuration);
        let first = |number| zones(&fixture.route(caller(number), u64::from(moved_permille)))[0];
        let after: Vec<u16> = (0..2_000).map(first).collect();
        let changed = before.iter().zip(&after).filter(|(old, new)| old != new);
        assert!(
            changed.clone().all(|(old, _)| *old == 0),
            "a caller moved twice at {moved_permille}"
        );
        let moved = after.iter().filter(|zone| **zone != 0).count();
        assert!(
            moved.abs_diff(usize::from(moved_permille) * 2) < 60,
            "{moved} moved"
        );
        before = after;
    }
}

#[test]
fn route_drained_zone_is_no_candidate() {
    let changes = drain(Target::Zone("z0".into()), 1_000);
    let fixture = fixture(&changes);
    assert!(!zones(&fixture.route(caller(1), 1)).contains(&0));
    assert_eq!(fixture.explain(0), ZoneReason::Drained);
}

#[test]
fn route_disallowed_upstreams_are_no_candidates() {
    let upstreams = vec!["u1-0".into()];
    let service = "s0".into();
    let fixture = fixture(&[Change::Allow { service, upstreams }]);
    assert_eq!(zones(&fixture.route(caller(1), 1)), [1]);
    assert_eq!(fixture.explain(0), ZoneReason::NotRunning);
}

#[test]
fn explain_returns_every_zone_in_order() {
    let mut fixture = fixture(&[steer(&["z1", "z0"])]);
    fixture.report(2, 9, 3);
    let reasons = fixture.router.explain(&fixture.input(caller(1), 1));
    let lines: Vec<String> = reasons
        .iter()
        .map(|(zone, reason)| format!("{}: {reason}", fixture.topology.zone(*zone).name))
        .collect();
    let expected = [
        "z1: home zone",
        "z0: own zone, room known exactly",
        "z2: 6 slots free 100 ms ago",
        "z3: room unknown",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn admit_outgoing_shift_stays_within_cap() {
    let service = "s0".into();
    let requests_per_s = 8;
    let fixture = fixture(&[Change::CapShift {
        service,
        requests_per_s,
    }]);
    let choices = fixture.route(caller(1), 1);
    let admit = |choice: &ZoneChoice| fixture.router.admit_outgoing(SERVICE, choice, fixture.now);
    assert!((0..100).all(|_| admit(&choices[0]).is_ok()));
    let admitted = (0..100).filter(|_| admit(&choices[1]).is_ok()).count();
    assert_eq!(admitted, 2);
    let refusal = admit(&choices[1]).unwrap_err();
    assert!((1..=1_020).contains(&refusal.retry_after_ms()));
}

#[test]
fn admit_incoming_new_traffic_grows_by_steps() {
    let fixture = fixture(&[]);
    let mut served = Vec::new();
    for step in 0..6 {
        let now = fixture.now + Duration::from_secs(step);
        let at = |ms: u64| now + Duration::from_millis(ms * 10);
        let admitted = (0..100).filter(|ms| {
            let result = fixture.router.admit_incoming(SERVICE, ZoneId(2), at(*ms));
            assert!(!matches!(result, Err(RouteRefusal::CapExceeded(_))));
            result.is_ok()
        });
        served.push(admitted.count());
    }
    assert_eq!(served, [4, 6, 9, 13, 19, 28]);
}

#[test]
fn refund_of_request_that_did_not_run_restores_caps() {
    let service = "s0".into();
    let requests_per_s = 8;
    let fixture = fixture(&[Change::CapShift {
        service,
        requests_per_s,
    }]);
    let choice = fixture.route(caller(1), 1)[1];
    for _ in 0..500 {
        fixture
            .router
            .admit_outgoing(SERVICE, &choice, fixture.now)
            .unwrap();
        fixture
            .router
            .refund_outgoing(SERVICE, &choice, fixture.now);
        fixture
            .router
            .admit_incoming(SERVICE, ZoneId(2), fixture.now)
            .unwrap();
        fixture
            .router
            .refund_incoming(SERVICE, ZoneId(2), fixture.now);
    }
}

#[test]
fn admit_incoming_own_traffic_is_not_limited_by_ramp() {
    let fixture = fixture(&[]);
    let at = |ms: u64| fixture.now + Duration::from_millis(ms * 10);
    assert!((0..100).all(|ms| {
        fixture
            .router
            .admit_incoming(SERVICE, ZoneId(0), at(ms))
            .is_ok()
    }));
}

#[test]
fn admit_incoming_stays_within_intake_share() {
    let fixture = fixture(&[]);
    let at = |ms: u64| fixture.now + Duration::from_millis(ms);
    let tries = (0..1_000).filter(|ms| {
        fixture
            .router
            .admit_incoming(SERVICE, ZoneId(0), at(*ms))
            .is_ok()
    });
    let admitted = tries.count();
    assert!(
        (190..=200).contains(&admitted),
        "{admitted} of a share of 200"
    );
}

#[test]
fn receive_older_zone_load_is_ignored() {
    let mut fixture = fixture(&[]);
    fixture.report(1, 9, 1);
    let old = ZoneLoad {
        zone: ZoneId(1),
        members: 1,
        age_ms: 900,
        services: Vec::new(),
    };
    assert!(!fixture.zone_loads.receive(old, fixture.now));
    assert_eq!(
        fixture
            .zone_loads
            .service_load(ZoneId(1), SERVICE, fixture.now)
            .unwrap()
            .free(),
        8
    );
}
