//! Failover of a whole region. The other region is offered twice the load of its intake cap. It
//! must hold all caps and still serve at least 95 % of its intake cap.

mod support;

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::{BootId, Change, InstanceId, ServiceId, Topology, ZoneId};
use laburnumdeal_policy::{
    CapShares, LookupTable, Membership, MembershipSettings, RampSettings, RouteInput, Router,
    ShareSettings, ZoneLoads,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::cap_checker::CapChecker;
use support::{Shape, configured, topology};
use tokio::time::Instant;

const SERVICE: ServiceId = ServiceId(0);
const INTAKE_PER_S: u64 = 400;
const SHIFT_CAP_PER_S: u64 = 900;
const ROUND_MS: u64 = 5;

/// Entry instance of region 1. Region 0 is dead.
struct Survivor {
    router: Router,
    membership: Membership,
    zone: ZoneId,
}

struct Failover {
    survivors: Vec<Survivor>,
    table: LookupTable,
    started: Instant,
    intake: CapChecker,
    shifted: CapChecker,
    refused: u64,
}

fn failover() -> Failover {
    let shape = Shape {
        regions: 2,
        zones: 2,
        instances: 2,
        upstreams: 2,
    };
    let topology = topology(shape, INTAKE_PER_S);
    let steer = |block: &str, zones: &[&str]| Change::Steer {
        blocks: vec![block.parse().unwrap()],
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
    };
    let cap = Change::CapShift {
        service: "s0".into(),
        requests_per_s: SHIFT_CAP_PER_S,
    };
    let changes = [
        steer("10.0.0.0/8", &["z0"]),
        steer("20.0.0.0/8", &["z2", "z3"]),
        cap,
    ];
    let configuration = configured(&topology, &changes);
    let started = Instant::now();
    let survivor = |id: u16| {
        let me = InstanceId(id);
        let zone = topology.instance(me).zone;
        let shares = CapShares::new(
            me,
            BootId(1),
            topology.clone(),
            ShareSettings::default(),
            started,
        );
        shares.configure(&configuration);
        Survivor {
            router: router(zone, &topology, shares, started),
            membership: Membership::new(
                me,
                BootId(1),
                topology.clone(),
                MembershipSettings::new(1_000),
            ),
            zone,
        }
    };
    Failover {
        survivors: (4..8).map(survivor).collect(),
        table: LookupTable::build(&configuration, &topology),
        started,
        intake: CapChecker::default(),
        shifted: CapChecker::default(),
        refused: 0,
    }
}

fn router(zone: ZoneId, topology: &Arc<Topology>, shares: CapShares, started: Instant) -> Router {
    Router::new(
        zone,
        topology.clone(),
        shares,
        RampSettings::default(),
        started,
    )
}

impl Failover {
    /// Offers one request to an instance and returns whether it was served.
    fn offer(&mut self, at: usize, caller: &str, now: Instant) -> bool {
        let survivor = &self.survivors[at];
        let input = RouteInput {
            service: SERVICE,
            caller: caller.parse().unwrap(),
            hash: 1,
            table: &self.table,
            membership: &survivor.membership,
            zone_loads: &ZoneLoads::new(4),
            now,
        };
        let choices = survivor.router.route(&input);
        let own = choices
            .iter()
            .find(|choice| choice.zone == survivor.zone)
            .unwrap();
        let home = self.table.home_zone(SERVICE, input.caller, survivor.zone);
        let outgoing = survivor.router.admit_outgoing(SERVICE, own, now);
        let at_us = now.duration_since(self.started).as_micros() as u64;
        if outgoing.is_ok() && own.is_shift {
            self.shifted.spent(1, at_us);
        }
        match outgoing.and_then(|()| survivor.router.admit_incoming(SERVICE, home, now)) {
            Ok(()) => self.intake.spent(1, at_us),
            Err(refusal) => {
                assert!((1..=1_020).contains(&refusal.retry_after_ms()), "{refusal}");
                self.refused += 1;
                return false;
            }
        }
        true
    }
}

#[test]
fn admit_region_failover_at_twice_the_load_holds_caps_and_goodput() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut failover = failover();
    failover.intake.in_force(INTAKE_PER_S, 0);
    failover.shifted.in_force(SHIFT_CAP_PER_S, 0);
    let mut late_served = 0;
    for round in 0..(30_000 / ROUND_MS) {
        let ms = 5_000 + round * ROUND_MS;
        let now = failover.started + Duration::from_millis(ms);
        for _ in 0..4 {
            let at = rng.random_range(0..4);
            let caller = if rng.random() { "10.0.0.1" } else { "20.0.0.1" };
            let is_served = failover.offer(at, caller, now);
            late_served += u64::from(is_served && round >= 20_000 / ROUND_MS);
        }
    }
    assert_eq!(failover.intake.excess, 0);
    assert_eq!(failover.shifted.excess, 0);
    assert!(failover.refused > 0);
    assert!(
        late_served * 100 >= INTAKE_PER_S * 10 * 95,
        "{late_served} served in 10 s"
    );
}
