use std::collections::BTreeSet;
use std::time::Duration;

use laburnumdeal_policy::steer::{
    AttemptOutcome, InstanceRecord, InstanceShare, LoadBalancer, Selection,
};
use tokio::time::Instant;

use crate::setup::{instance, items, load_balancer, request, settings, upstream};

/// Requests per second that a cold upstream may get from all instances: 15 x 1.5 + 5, rounded down.
const LIMIT_PER_S: usize = 27;

fn instances(count: usize) -> Vec<InstanceRecord> {
    (0..count).map(|number| instance(number, "a")).collect()
}

/// Requests after which an upstream counts as not limited.
const UNLIMITED: usize = 100;

/// Sends as many requests as the load balancer allows at one time; returns their number.
fn send_all(balancer: &mut LoadBalancer, now: Instant) -> usize {
    let mut sent = 0;
    while let Selection::Send(decision) = balancer.choose(&request(1), now) {
        balancer.begin_attempt(&decision, now);
        balancer.end_attempt(&decision, "all", 1, AttemptOutcome::Cancelled, now);
        sent += 1;
        if sent == UNLIMITED {
            break;
        }
    }
    sent
}

#[test]
fn quota_of_all_instances_adds_up_to_the_limit() {
    for instances in 1..80 {
        for local_weight in [1.0, 8.0] {
            // Every third instance is in the region of the upstream.
            let weight = |rank: usize| {
                if rank.is_multiple_of(3) {
                    local_weight
                } else {
                    1.0
                }
            };
            let total: f64 = (0..instances).map(weight).sum();
            let quota = |rank: usize| {
                let before = (0..rank).map(weight).sum();
                let own = weight(rank);
                let share = InstanceShare {
                    before,
                    own,
                    total,
                    instances,
                };
                share.quota(27.0)
            };
            let sum: usize = (0..instances).map(quota).sum();
            assert_eq!(sum, 27, "{instances} instances");
        }
    }
}

#[test]
fn choose_cold_upstream_gets_at_most_its_limit_from_all_instances() {
    for count in [1, 2, 9, 15, 60] {
        let now = Instant::now();
        let mut record = upstream(0, "a1", 9);
        record.cold_ms = 3_000;
        let mut sum = 0;
        for record_of_instance in instances(count) {
            let name = &record_of_instance.name;
            let mut balancer = load_balancer(name, "a", std::slice::from_ref(&record), now);
            balancer.update_instances(instances(count));
            sum += send_all(&mut balancer, now);
        }
        assert!(
            (1..=LIMIT_PER_S).contains(&sum),
            "{count} instances sent {sum}"
        );
    }
}

/// Guards against a burst on a cold upstream after all instances restart, when each of them would
/// take itself for the only one.
#[test]
fn choose_cold_upstream_gets_nothing_before_the_instances_are_known() {
    let now = Instant::now();
    let mut record = upstream(0, "a1", 9);
    record.cold_ms = 3_000;
    let mut balancer = LoadBalancer::new(settings("e-1", "a"));
    balancer.update_items(&items());
    balancer.update_upstreams(&[record], now);
    assert_eq!(send_all(&mut balancer, now), 0);
    balancer.update_instances(instances(9));
    assert!((1..=LIMIT_PER_S).contains(&send_all(&mut balancer, now)));
}

#[test]
fn update_evacuated_zones_upstreams_of_a_returning_zone_are_cold() {
    let start = Instant::now();
    let mut balancer = load_balancer("e-0", "a", &[upstream(0, "a1", 9)], start);
    balancer.update_instances(instances(9));
    balancer.update_evacuated_zones(BTreeSet::from(["a1".to_owned()]), start);
    let returned_at = start + Duration::from_secs(8);
    balancer.update_evacuated_zones(BTreeSet::new(), returned_at);
    assert!(send_all(&mut balancer, returned_at) <= 3);
    let warm_at = returned_at + Duration::from_secs(5);
    assert_eq!(send_all(&mut balancer, warm_at), UNLIMITED);
}
