use std::collections::BTreeSet;
use std::time::Duration;

use laburnumdeal_policy::steer::{
    AttemptOutcome, LoadBalancer, Places, RequestContext, Selection, SharedLoad, SharedReport,
    UpstreamLoad, hash_of,
};
use tokio::time::Instant;

use crate::setup::{chosen_upstream, instance, load_balancer, request, upstream};

fn upstreams_of_four_zones() -> Vec<laburnumdeal_policy::steer::UpstreamRecord> {
    ["a1", "a2", "b1", "c1"]
        .iter()
        .enumerate()
        .map(|(number, zone)| upstream(number, zone, 9))
        .collect()
}

#[test]
fn choose_same_object_on_two_instances_yields_the_same_upstream() {
    let now = Instant::now();
    let one = load_balancer("e-1", "a", &upstreams_of_four_zones(), now);
    let mut reversed = upstreams_of_four_zones();
    reversed.reverse();
    let other = load_balancer("e-2", "a", &reversed, now);
    for object in 0..200 {
        let first = chosen_upstream(&one, object, now).map(|key| one.endpoint(key).0.to_owned());
        let second =
            chosen_upstream(&other, object, now).map(|key| other.endpoint(key).0.to_owned());
        assert_eq!(first, second);
    }
}

#[test]
fn choose_uncached_object_with_full_queues_uses_two_upstreams() {
    let now = Instant::now();
    let records: Vec<_> = (0..9).map(|number| upstream(number, "a1", 4)).collect();
    let mut balancer = load_balancer("e-1", "a", &records, now);
    let mut used = BTreeSet::new();
    for _ in 0..400 {
        if let Selection::Send(decision) = balancer.choose(&request(7), now) {
            balancer.begin_attempt(&decision, now);
            used.insert(decision.upstream);
        }
    }
    assert_eq!(
        used.len(),
        2,
        "further upstreams would miss their caches and evict objects"
    );
}

#[test]
fn choose_leaving_unlisted_and_evacuated_upstreams_get_no_requests() {
    let now = Instant::now();
    let mut records = upstreams_of_four_zones();
    records[0].leaving = true;
    let mut balancer = load_balancer("e-1", "a", &records, now);
    balancer.update_evacuated_zones(BTreeSet::from(["b1".to_owned()]), now);
    records.remove(3);
    balancer.update_upstreams(&records, now);
    for object in 0..200 {
        let key = chosen_upstream(&balancer, object, now).unwrap();
        assert_eq!(balancer.endpoint(key).0, "u-1");
    }
}

#[test]
fn choose_only_upstreams_in_regions_of_the_request() {
    let now = Instant::now();
    let balancer = load_balancer("e-1", "a", &upstreams_of_four_zones(), now);
    let regions = ["c".to_owned()];
    for object in 0..100 {
        let restricted = laburnumdeal_policy::steer::RequestContext {
            regions: &regions,
            ..request(object)
        };
        let Selection::Send(decision) = balancer.choose(&restricted, now) else {
            panic!("an upstream of the region accepts requests");
        };
        assert_eq!(balancer.endpoint(decision.upstream).0, "u-3");
    }
}

#[test]
fn choose_address_reused_by_another_upstream_is_a_new_key() {
    let now = Instant::now();
    let mut records = vec![upstream(0, "a1", 9)];
    let mut balancer = load_balancer("e-1", "a", &records, now);
    let before = chosen_upstream(&balancer, 1, now).unwrap();
    records[0].id = "u-new".into();
    balancer.update_upstreams(&records, now);
    let after = chosen_upstream(&balancer, 1, now).unwrap();
    assert_ne!(before, after);
    assert_eq!(
        balancer.endpoint(before).0,
        "u-0",
        "an in-flight request keeps its upstream"
    );
    assert_eq!(balancer.endpoint(after).0, "u-new");
}

#[test]
fn choose_queue_beyond_the_target_latency_is_refused_with_retry_after() {
    let now = Instant::now();
    let mut balancer = load_balancer("e-1", "a", &[upstream(0, "a1", 2)], now);
    let key = chosen_upstream(&balancer, 1, now).unwrap();
    let load = UpstreamLoad {
        running: 2,
        waiting: 12,
        slots: 2,
        pace_percent: None,
    };
    balancer.record_load(key, load, now);
    match balancer.choose(&request(1), now) {
        Selection::Busy { retry_after, .. } => assert!(retry_after > Duration::ZERO),
        other => panic!("{other:?}"),
    }
}

// Guards against: a request takes a place that is not left to it, or is refused for its share although
// there is no room at all.
#[test]
fn choose_places_left_to_the_request_are_by_load() {
    let now = Instant::now();
    let mut balancer = load_balancer("e-1", "a", &[upstream(0, "a1", 10)], now);
    let key = chosen_upstream(&balancer, 1, now).unwrap();
    let cases = [
        (8, 0, [true, true, true]),
        (9, 0, [true, true, false]),
        (10, 1, [true, false, false]),
    ];
    for (running, waiting, is_sent) in cases {
        let load = UpstreamLoad {
            running,
            waiting,
            slots: 10,
            pace_percent: None,
        };
        balancer.record_load(key, load, now);
        for (places, is_sent) in [Places::All, Places::Idle, Places::Spare]
            .into_iter()
            .zip(is_sent)
        {
            let context = RequestContext {
                places,
                ..request(1)
            };
            match balancer.choose(&context, now) {
                Selection::Send(_) => assert!(is_sent, "{load:?} {places:?}"),
                Selection::Withheld { .. } => assert!(!is_sent, "{load:?} {places:?}"),
                other => panic!("{other:?}"),
            }
        }
    }
    let load = UpstreamLoad {
        running: 10,
        waiting: 90,
        slots: 10,
        pace_percent: None,
    };
    balancer.record_load(key, load, now);
    for places in [Places::All, Places::Idle, Places::Spare] {
        let context = RequestContext {
            places,
            ..request(1)
        };
        let selection = balancer.choose(&context, now);
        assert!(matches!(selection, Selection::Busy { .. }), "{selection:?}");
    }
}

#[test]
fn choose_unreachable_upstream_backs_off_and_is_cold_afterwards() {
    let now = Instant::now();
    let mut balancer = load_balancer("e-1", "a", &[upstream(0, "a1", 9)], now);
    let Selection::Send(decision) = balancer.choose(&request(1), now) else {
        panic!("the upstream accepts requests");
    };
    balancer.begin_attempt(&decision, now);
    balancer.end_attempt(&decision, "all", 1, AttemptOutcome::ConnectFailed, now);
    assert_eq!(balancer.choose(&request(1), now), Selection::NoUpstream);
    let later = now + Duration::from_secs(3);
    balancer.update_instances((0..9).map(|number| instance(number, "a")).collect());
    let mut sent = 0;
    while let Selection::Send(decision) = balancer.choose(&request(1), later) {
        balancer.begin_attempt(&decision, later);
        balancer.end_attempt(&decision, "all", 1, AttemptOutcome::Cancelled, later);
        sent += 1;
        assert!(
            sent < 10,
            "a cold upstream gets only the quota of this instance"
        );
    }
    assert!(sent > 0, "the upstream is used again after the backoff");
}

/// Guards against refusing a route with a short timeout because other routes of its service are
/// slow: until the route has latencies of its own, the mean of the service does not count against
/// it.
#[test]
fn choose_route_with_a_short_timeout_is_not_refused_for_slow_routes_of_its_service() {
    let mut now = Instant::now();
    let mut balancer = load_balancer("e-1", "a", &[upstream(0, "a1", 9)], now);
    for _ in 0..200 {
        now += Duration::from_millis(500);
        let Selection::Send(decision) = balancer.choose(&request(1), now) else {
            panic!("the upstream accepts requests");
        };
        balancer.begin_attempt(&decision, now);
        let answered = AttemptOutcome::Answered {
            took_ms: 700.0,
            failed: false,
        };
        balancer.end_attempt(&decision, "all", 1, answered, now);
    }
    let quick = laburnumdeal_policy::steer::RequestContext {
        route: "added later",
        time_left: Duration::from_millis(300),
        target_latency: Duration::from_millis(200),
        ..request(1)
    };
    let later = now + Duration::from_secs(20);
    assert!(matches!(balancer.choose(&quick, later), Selection::Send(_)));
}

#[test]
fn choose_avoids_upstream_that_reported_full_load_to_another_instance() {
    let start = Instant::now();
    let records: Vec<_> = (0..2).map(|number| upstream(number, "a1", 9)).collect();
    let mut other = load_balancer("e-1", "a", &records, start);
    let mut balancer = load_balancer("e-0", "a", &records, start);
    let first = chosen_upstream(&balancer, 7, start).unwrap();
    let load = UpstreamLoad {
        running: 9,
        waiting: 18,
        slots: 9,
        pace_percent: None,
    };
    other.record_load(first, load, start);
    let later = start + Duration::from_millis(200);
    let report = other.take_report(start, later);
    let loads = &report.loads;
    assert_eq!(
        (loads.len(), loads[0].requests, loads[0].age_ms),
        (1, 27, 200)
    );
    balancer.merge_report(&report, later);
    assert_ne!(chosen_upstream(&balancer, 7, later), Some(first));
}

#[test]
fn merge_report_load_older_than_known_changes_nothing() {
    let start = Instant::now();
    let records = [upstream(0, "a1", 9)];
    let mut balancer = load_balancer("e-0", "a", &records, start);
    let key = chosen_upstream(&balancer, 7, start).unwrap();
    let load = UpstreamLoad {
        running: 1,
        waiting: 0,
        slots: 9,
        pace_percent: None,
    };
    let later = start + Duration::from_millis(500);
    balancer.record_load(key, load, later);
    let old = SharedLoad {
        upstream: hash_of(&[b"u-0"]),
        requests: 90,
        age_ms: 400,
    };
    let report = SharedReport {
        loads: vec![old],
        ..SharedReport::default()
    };
    balancer.merge_report(&report, later);
    assert_eq!(chosen_upstream(&balancer, 7, later), Some(key));
}

/// An object that an upstream handled for another instance counts as cached there.
#[test]
fn merge_report_object_of_another_instance_counts_as_cached() {
    let start = Instant::now();
    let records: Vec<_> = (0..4).map(|number| upstream(number, "a1", 9)).collect();
    let mut other = load_balancer("e-1", "a", &records, start);
    let mut balancer = load_balancer("e-0", "a", &records, start);
    let Selection::Send(first) = other.choose(&request(7), start) else {
        panic!("an upstream is free");
    };
    other.begin_attempt(&first, start);
    let tried = [first.upstream];
    let second = RequestContext {
        tried: &tried,
        ..request(7)
    };
    let Selection::Send(decision) = other.choose(&second, start) else {
        panic!("an upstream is free");
    };
    other.begin_attempt(&decision, start);
    let failed = false;
    let took_ms = 480.0;
    let outcome = AttemptOutcome::Answered { took_ms, failed };
    other.end_attempt(&decision, "all", 7, outcome, start);
    let hits_cache = |balancer: &LoadBalancer| match balancer.choose(&second, start) {
        Selection::Send(again) => again.upstream == decision.upstream && again.expects_cache_hit,
        Selection::Busy { .. }
        | Selection::Withheld { .. }
        | Selection::AtLimit { .. }
        | Selection::Waiting { .. }
        | Selection::NoUpstream => false,
    };
    let report = other.take_report(start, start);
    assert_eq!(report.objects.len(), 1);
    balancer.merge_report(&report, start);
    assert!(hits_cache(&balancer));
    assert_eq!(
        other.take_report(start, start).objects.len(),
        0,
        "each object is reported once"
    );
}

/// With equal capacity in three regions most objects stay in the region of their callers, so that
/// links between regions carry only the rest. Some go elsewhere, so that other regions cache them.
#[test]
fn choose_most_objects_stay_in_their_region() {
    let now = Instant::now();
    let zones = ["a1", "b1", "c1"];
    let records: Vec<_> = (0..30)
        .map(|number| upstream(number, zones[number % 3], 9))
        .collect();
    let balancer = load_balancer("e-1", "a", &records, now);
    let is_local = |object: &u64| {
        let key = chosen_upstream(&balancer, *object, now).expect("an upstream is free");
        records
            .iter()
            .any(|record| record.zone == "a1" && record.id == balancer.endpoint(key).0)
    };
    let local = (0..1_000).filter(is_local).count();
    assert!((700..950).contains(&local), "{local} of 1000");
}

#[test]
fn service_reach_upstream_without_a_connection_is_unreached_and_avoided() {
    let now = Instant::now();
    let mut records = upstreams_of_four_zones();
    records[0].leaving = true;
    let mut balancer = load_balancer("e-1", "a", &records, now);
    let Selection::Send(decision) = balancer.choose(&request(1), now) else {
        panic!("all upstreams are idle");
    };
    balancer.begin_attempt(&decision, now);
    balancer.end_attempt(&decision, "all", 1, AttemptOutcome::ConnectFailed, now);
    let reach = balancer.service_reach("catalog", now);
    assert_eq!((reach.listed, reach.avoided, reach.unreached), (3, 1, 1));
    let later = balancer.service_reach("catalog", now + Duration::from_secs(10));
    assert_eq!((later.listed, later.avoided, later.unreached), (3, 0, 1));
}

// Guards against an upstream that is lost, or entries that grow with each list, because another entry
// of the list has its ID.
#[test]
fn update_upstreams_id_listed_twice_keeps_both() {
    let start = Instant::now();
    let mut odd = upstream(1, "a1", 9);
    odd.id = "u-0".into();
    for records in [
        [upstream(0, "a1", 9), odd.clone()],
        [odd.clone(), upstream(0, "a1", 9)],
    ] {
        let mut balancer = load_balancer("e-0", "a", &records, start);
        for _ in 0..3 {
            balancer.update_upstreams(&records, start);
        }
        assert_eq!(balancer.service_reach("catalog", start).listed, 2);
        assert_eq!(balancer.removed().count(), 0);
        let key = chosen_upstream(&balancer, 1, start).unwrap();
        let Selection::Send(decision) = balancer.choose(&request(1), start) else {
            panic!("both have room");
        };
        balancer.begin_attempt(&decision, start);
        let outcome = AttemptOutcome::WrongUpstream;
        balancer.end_attempt(&decision, "all", 1, outcome, start);
        let other = chosen_upstream(&balancer, 1, start).unwrap();
        assert_ne!(other, key, "the one with the wrong address is passed over");
    }
}
