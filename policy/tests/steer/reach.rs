use std::time::Duration;

use laburnumdeal_policy::steer::{
    AttemptOutcome, ReachChange, Selection, UpstreamKey, UpstreamReach,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::setup::{instance, load_balancer, request, upstream};

#[test]
fn record_failed_same_upstream_again_probes_no_others() {
    let now = Instant::now();
    let mut reach = UpstreamReach::default();
    for _ in 0..10 {
        assert!(!reach.record_failed(UpstreamKey(1), now));
    }
}

#[test]
fn record_failed_after_a_connection_starts_anew() {
    let now = Instant::now();
    let mut reach = UpstreamReach::default();
    assert!(!reach.record_failed(UpstreamKey(1), now));
    reach.record_opened();
    assert!(!reach.record_failed(UpstreamKey(2), now));
    assert!(reach.record_failed(UpstreamKey(3), now));
}

#[test]
fn record_failed_long_after_the_last_probes_no_others() {
    let now = Instant::now();
    let mut reach = UpstreamReach::default();
    assert!(!reach.record_failed(UpstreamKey(1), now));
    assert!(!reach.record_failed(UpstreamKey(2), now + Duration::from_secs(3)));
}

#[test]
fn record_failed_while_probing_starts_no_second_probe() {
    let now = Instant::now();
    let mut reach = UpstreamReach::default();
    reach.record_failed(UpstreamKey(1), now);
    assert!(reach.record_failed(UpstreamKey(2), now));
    assert!(!reach.record_failed(UpstreamKey(3), now));
}

#[test]
fn record_probe_that_reaches_one_is_no_partition() {
    let now = Instant::now();
    let mut reach = UpstreamReach::default();
    reach.record_failed(UpstreamKey(1), now);
    reach.record_failed(UpstreamKey(2), now);
    assert_eq!(reach.record_probe(8, 1, now), ReachChange::Unchanged);
    assert!(!reach.is_lost());
    // Upstreams that are down for long cost one probe a second.
    for ms in (0..1_000).step_by(100) {
        let later = now + Duration::from_millis(ms);
        assert!(!reach.record_failed(UpstreamKey(ms as u32), later));
    }
    assert!(reach.record_failed(UpstreamKey(1), now + Duration::from_secs(1)));
}

#[test]
fn record_probe_of_a_single_upstream_tells_nothing() {
    let now = Instant::now();
    let mut reach = UpstreamReach::default();
    assert_eq!(reach.record_probe(1, 0, now), ReachChange::Unchanged);
    assert!(!reach.is_lost());
}

#[test]
fn record_probe_on_and_off_in_turn_follows() {
    let mut now = Instant::now();
    let mut reach = UpstreamReach::default();
    for _ in 0..5 {
        reach.record_failed(UpstreamKey(1), now);
        assert!(reach.record_failed(UpstreamKey(2), now));
        assert_eq!(reach.record_probe(8, 0, now), ReachChange::Lost);
        now += Duration::from_millis(250);
        assert_eq!(reach.record_probe(8, 0, now), ReachChange::Unchanged);
        assert_eq!(reach.lost_for(now), Some(Duration::from_millis(250)));
        assert_eq!(reach.record_probe(8, 3, now), ReachChange::Regained);
        assert!(!reach.is_lost());
    }
}

#[test]
fn neighbors_in_a_zone_with_several_are_of_that_zone() {
    let now = Instant::now();
    let zones = ["a1", "a1", "a1", "b1", "c1"];
    let upstreams = zones.iter().enumerate();
    let records: Vec<_> = upstreams
        .map(|(number, zone)| upstream(number, zone, 4))
        .collect();
    let balancer = load_balancer("e-1", "a", &records, now);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut near = balancer.neighbors(UpstreamKey(0), &mut rng);
    near.sort();
    assert_eq!(near, [UpstreamKey(1), UpstreamKey(2)]);
    assert_eq!(balancer.neighbors(UpstreamKey(3), &mut rng).len(), 4);
    assert_eq!(balancer.sample(&mut rng).len(), 5);
}

// Guards against: an instance whose partition ended takes all upstreams for cold, and refuses most
// requests until they have warmed up.
#[test]
fn end_partition_upstreams_that_were_unreachable_are_not_cold() {
    let now = Instant::now();
    let records: Vec<_> = (0..4).map(|number| upstream(number, "a1", 4)).collect();
    let mut balancer = load_balancer("e-1", "a", &records, now);
    balancer.update_instances((2..40).map(|number| instance(number, "a")).collect());
    for object in 0..40 {
        if let Selection::Send(decision) = balancer.choose(&request(object), now) {
            balancer.begin_attempt(&decision, now);
            let outcome = AttemptOutcome::ConnectFailed;
            balancer.end_attempt(&decision, "all", object, outcome, now);
        }
    }
    assert_eq!(balancer.service_reach("catalog", now).unreached, 4);
    balancer.end_partition();
    assert_eq!(balancer.service_reach("catalog", now).avoided, 0);
    for object in 0..40 {
        let Selection::Send(decision) = balancer.choose(&request(object), now) else {
            panic!("request {object} is refused");
        };
        balancer.begin_attempt(&decision, now);
        let outcome = AttemptOutcome::Answered {
            took_ms: 20.0,
            failed: false,
        };
        balancer.end_attempt(&decision, "all", object, outcome, now);
    }
}
