use std::collections::BTreeSet;
use std::time::Duration;

use laburnumdeal_policy::steer::{AttemptOutcome, ColdStartLimiter, LoadBalancer, Selection};
use tokio::time::Instant;

use crate::setup::{ask, book, items, settings, upstream};

/// Requests a second that a cold upstream may get: 15 x 1.5 + 5.
const BOUND: usize = 27;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("e-{number}")).collect()
}

/// Requests after which an upstream counts as unbounded.
const UNBOUNDED: usize = 100;

/// Sends as much as the book lets through at a moment.
fn fill(book: &mut LoadBalancer, now: Instant) -> usize {
    let mut sent = 0;
    while let Selection::Send(decision) = book.choose(&ask(1), now) {
        book.begin_attempt(&decision, now);
        book.end_attempt(&decision, "all", 1, AttemptOutcome::Cancelled, now);
        sent += 1;
        if sent == UNBOUNDED {
            break;
        }
    }
    sent
}

#[test]
fn allowed_shares_add_up_to_the_bound() {
    for instances in 1..80 {
        let sum: usize = (0..instances)
            .map(|rank| ColdStartLimiter::quota(27.0, instances, rank))
            .sum();
        assert_eq!(sum, 27, "{instances} instances");
    }
}

#[test]
fn choose_cold_upstream_gets_its_bound_from_all_instances_together() {
    for count in [1, 2, 9, 15, 60] {
        let now = Instant::now();
        let mut record = upstream(0, "a1", 9);
        record.cold_ms = 3_000;
        let mut sum = 0;
        for name in names(count) {
            let mut book = book(&name, "a", std::slice::from_ref(&record), now);
            book.update_instances(names(count));
            sum += fill(&mut book, now);
        }
        assert!((1..=BOUND).contains(&sum), "{count} instances sent {sum}");
    }
}

/// After a start of all instances each would take itself for the only one.
#[test]
fn choose_cold_upstream_gets_nothing_before_the_instances_are_known() {
    let now = Instant::now();
    let mut record = upstream(0, "a1", 9);
    record.cold_ms = 3_000;
    let mut book = LoadBalancer::new(settings("e-1", "a"));
    book.update_items(&items());
    book.update_upstreams(&[record], now);
    assert_eq!(fill(&mut book, now), 0);
    book.update_instances(names(9));
    assert!((1..=BOUND).contains(&fill(&mut book, now)));
}

#[test]
fn take_evacuated_zone_that_comes_back_is_cold() {
    let start = Instant::now();
    let mut book = book("e-0", "a", &[upstream(0, "a1", 9)], start);
    book.update_instances(names(9));
    book.update_evacuated_zones(BTreeSet::from(["a1".to_owned()]), start);
    let back = start + Duration::from_secs(8);
    book.update_evacuated_zones(BTreeSet::new(), back);
    assert!(fill(&mut book, back) <= 3);
    let warm = back + Duration::from_secs(5);
    assert_eq!(fill(&mut book, warm), UNBOUNDED);
}
