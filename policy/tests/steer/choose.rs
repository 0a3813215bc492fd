use std::collections::BTreeSet;
use std::time::Duration;

use laburnumdeal_policy::steer::{
    AttemptOutcome, LoadBalancer, RequestContext, Selection, SharedLoad, SharedReport,
    UpstreamLoad, hash_of,
};
use tokio::time::Instant;

use crate::setup::{ask, book, chosen, upstream};

fn four() -> Vec<laburnumdeal_policy::steer::UpstreamRecord> {
    ["a1", "a2", "b1", "c1"]
        .iter()
        .enumerate()
        .map(|(number, zone)| upstream(number, zone, 9))
        .collect()
}

#[test]
fn choose_same_object_on_two_instances_is_the_same_upstream() {
    let now = Instant::now();
    let one = book("e-1", "a", &four(), now);
    let mut reversed = four();
    reversed.reverse();
    let other = book("e-2", "a", &reversed, now);
    for object in 0..200 {
        let first = chosen(&one, object, now).map(|key| one.endpoint(key).0.to_owned());
        let second = chosen(&other, object, now).map(|key| other.endpoint(key).0.to_owned());
        assert_eq!(first, second);
    }
}

#[test]
fn choose_full_queues_reach_two_upstreams_of_an_object_at_first() {
    let now = Instant::now();
    let records: Vec<_> = (0..9).map(|number| upstream(number, "a1", 4)).collect();
    let mut book = book("e-1", "a", &records, now);
    let mut used = BTreeSet::new();
    for _ in 0..400 {
        if let Selection::Send(decision) = book.choose(&ask(7), now) {
            book.begin_attempt(&decision, now);
            used.insert(decision.upstream);
        }
    }
    assert_eq!(
        used.len(),
        2,
        "more upstreams would learn and forget objects"
    );
}

#[test]
fn choose_leaving_missing_and_evacuated_get_nothing() {
    let now = Instant::now();
    let mut records = four();
    records[0].leaving = true;
    let mut book = book("e-1", "a", &records, now);
    book.update_evacuated_zones(BTreeSet::from(["b1".to_owned()]), now);
    records.remove(3);
    book.update_upstreams(&records, now);
    for object in 0..200 {
        let key = chosen(&book, object, now).unwrap();
        assert_eq!(book.endpoint(key).0, "u-1");
    }
}

#[test]
fn choose_bound_regions_are_kept() {
    let now = Instant::now();
    let book = book("e-1", "a", &four(), now);
    let regions = ["c".to_owned()];
    for object in 0..100 {
        let bound = laburnumdeal_policy::steer::RequestContext {
            regions: &regions,
            ..ask(object)
        };
        let Selection::Send(decision) = book.choose(&bound, now) else {
            panic!("an upstream of the region takes work");
        };
        assert_eq!(book.endpoint(decision.upstream).0, "u-3");
    }
}

#[test]
fn choose_address_taken_over_by_another_upstream_is_a_new_key() {
    let now = Instant::now();
    let mut records = vec![upstream(0, "a1", 9)];
    let mut book = book("e-1", "a", &records, now);
    let before = chosen(&book, 1, now).unwrap();
    records[0].id = "u-new".into();
    book.update_upstreams(&records, now);
    let after = chosen(&book, 1, now).unwrap();
    assert_ne!(before, after);
    assert_eq!(
        book.endpoint(before).0,
        "u-0",
        "a request in flight keeps its own"
    );
    assert_eq!(book.endpoint(after).0, "u-new");
}

#[test]
fn choose_queue_beyond_the_target_is_refused_with_a_time_to_return() {
    let now = Instant::now();
    let mut book = book("e-1", "a", &[upstream(0, "a1", 2)], now);
    let key = chosen(&book, 1, now).unwrap();
    let load = UpstreamLoad {
        running: 2,
        waiting: 12,
        slots: 2,
    };
    book.record_load(key, load, now);
    match book.choose(&ask(1), now) {
        Selection::Busy { retry_after, .. } => assert!(retry_after > Duration::ZERO),
        other => panic!("{other:?}"),
    }
}

#[test]
fn choose_unreached_upstream_rests_and_comes_back_cold() {
    let now = Instant::now();
    let mut book = book("e-1", "a", &[upstream(0, "a1", 9)], now);
    let Selection::Send(decision) = book.choose(&ask(1), now) else {
        panic!("it takes work");
    };
    book.begin_attempt(&decision, now);
    book.end_attempt(&decision, "all", 1, AttemptOutcome::ConnectFailed, now);
    assert_eq!(book.choose(&ask(1), now), Selection::NoUpstream);
    let later = now + Duration::from_secs(3);
    book.update_instances((0..9).map(|number| format!("e-{number}")).collect());
    let mut sent = 0;
    while let Selection::Send(decision) = book.choose(&ask(1), later) {
        book.begin_attempt(&decision, later);
        book.end_attempt(&decision, "all", 1, AttemptOutcome::Cancelled, later);
        sent += 1;
        assert!(sent < 10, "a cold upstream is sent its share only");
    }
    assert!(sent > 0, "it is tried again");
}

/// The requests of one route take long, those of another that was added later are quick.
#[test]
fn choose_route_with_a_short_time_is_not_judged_by_the_long_ones_of_its_service() {
    let mut now = Instant::now();
    let mut book = book("e-1", "a", &[upstream(0, "a1", 9)], now);
    for _ in 0..200 {
        now += Duration::from_millis(500);
        let Selection::Send(decision) = book.choose(&ask(1), now) else {
            panic!("it takes work");
        };
        book.begin_attempt(&decision, now);
        let answered = AttemptOutcome::Answered {
            took_ms: 700.0,
            failed: false,
        };
        book.end_attempt(&decision, "all", 1, answered, now);
    }
    let quick = laburnumdeal_policy::steer::RequestContext {
        route: "added later",
        time_left: Duration::from_millis(300),
        target_latency: Duration::from_millis(200),
        ..ask(1)
    };
    let later = now + Duration::from_secs(20);
    assert!(matches!(book.choose(&quick, later), Selection::Send(_)));
}

#[test]
fn choose_avoids_upstream_that_told_another_instance_it_is_full() {
    let start = Instant::now();
    let records: Vec<_> = (0..2).map(|number| upstream(number, "a1", 9)).collect();
    let mut other = book("e-1", "a", &records, start);
    let mut book = book("e-0", "a", &records, start);
    let first = chosen(&book, 7, start).unwrap();
    let load = UpstreamLoad {
        running: 9,
        waiting: 18,
        slots: 9,
    };
    other.record_load(first, load, start);
    let later = start + Duration::from_millis(200);
    let report = other.take_report(start, later);
    let loads = &report.loads;
    assert_eq!(
        (loads.len(), loads[0].requests, loads[0].age_ms),
        (1, 27, 200)
    );
    book.merge_report(&report, later);
    assert_ne!(chosen(&book, 7, later), Some(first));
}

#[test]
fn hear_load_older_than_known_changes_nothing() {
    let start = Instant::now();
    let records = [upstream(0, "a1", 9)];
    let mut book = book("e-0", "a", &records, start);
    let key = chosen(&book, 7, start).unwrap();
    let load = UpstreamLoad {
        running: 1,
        waiting: 0,
        slots: 9,
    };
    let later = start + Duration::from_millis(500);
    book.record_load(key, load, later);
    let old = SharedLoad {
        upstream: hash_of(&[b"u-0"]),
        requests: 90,
        age_ms: 400,
    };
    let report = SharedReport {
        loads: vec![old],
        ..SharedReport::default()
    };
    book.merge_report(&report, later);
    assert_eq!(chosen(&book, 7, later), Some(key));
}

/// An object that another instance has taught an upstream counts as known there.
#[test]
fn hear_object_of_another_instance_makes_it_known() {
    let start = Instant::now();
    let records: Vec<_> = (0..4).map(|number| upstream(number, "a1", 9)).collect();
    let mut other = book("e-1", "a", &records, start);
    let mut book = book("e-0", "a", &records, start);
    let Selection::Send(first) = other.choose(&ask(7), start) else {
        panic!("an upstream is free");
    };
    other.begin_attempt(&first, start);
    let tried = [first.upstream];
    let second = RequestContext {
        tried: &tried,
        ..ask(7)
    };
    let Selection::Send(decision) = other.choose(&second, start) else {
        panic!("an upstream is free");
    };
    other.begin_attempt(&decision, start);
    let failed = false;
    let took_ms = 480.0;
    let outcome = AttemptOutcome::Answered { took_ms, failed };
    other.end_attempt(&decision, "all", 7, outcome, start);
    let is_warm = |book: &LoadBalancer| match book.choose(&second, start) {
        Selection::Send(again) => again.upstream == decision.upstream && again.expects_cache_hit,
        Selection::Busy { .. } | Selection::NoUpstream => false,
    };
    let report = other.take_report(start, start);
    assert_eq!(report.objects.len(), 1);
    book.merge_report(&report, start);
    assert!(is_warm(&book));
    assert_eq!(
        other.take_report(start, start).objects.len(),
        0,
        "told once"
    );
}

/// With equal room in three regions most objects stay in the region of their callers, so that links
/// between regions carry the rest only, and some go elsewhere, so that other regions know them.
#[test]
fn choose_most_objects_stay_in_their_region() {
    let now = Instant::now();
    let zones = ["a1", "b1", "c1"];
    let records: Vec<_> = (0..30)
        .map(|number| upstream(number, zones[number % 3], 9))
        .collect();
    let book = book("e-1", "a", &records, now);
    let is_near = |object: &u64| {
        let key = chosen(&book, *object, now).expect("an upstream is free");
        records
            .iter()
            .any(|record| record.zone == "a1" && record.id == book.endpoint(key).0)
    };
    let near = (0..1_000).filter(is_near).count();
    assert!((700..950).contains(&near), "{near} of 1000");
}
