use std::time::Duration;

use laburnumdeal_policy::steer::{
    ConnectionChecks, LimitNotice, UpstreamKey, UpstreamLoad, WaitNotice,
};
use tokio::time::Instant;

use crate::setup::{load_balancer, upstream};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn is_on_only_where_it_is_called_for() {
    let now = Instant::now();
    for (checks_all, names_pace) in [(false, false), (false, true), (true, false), (true, true)] {
        let is_on = ConnectionChecks::new(checks_all).is_on("catalog", names_pace, now);
        assert_eq!(is_on, checks_all || names_pace);
    }
}

/// Guards against callers that wait for checks time after time.
#[test]
fn record_late_twice_ends_checks_of_that_service_for_a_while() {
    let now = Instant::now();
    let mut checks = ConnectionChecks::new(true);
    assert!(!checks.record_late("catalog", now));
    assert!(checks.is_on("catalog", true, now), "one may be forgotten");
    assert!(checks.record_late("catalog", now + SECOND));
    assert!(!checks.is_on("catalog", true, now + 4 * SECOND));
    assert!(checks.is_on("orders", false, now + SECOND));
    assert!(checks.is_on("catalog", false, now + 20 * SECOND));
    assert!(!checks.record_late("catalog", now + 20 * SECOND));
}

#[test]
fn record_late_long_ago_is_forgotten() {
    let now = Instant::now();
    let mut checks = ConnectionChecks::new(true);
    for seconds in [0, 6, 12] {
        assert!(!checks.record_late("catalog", now + seconds * SECOND));
    }
}

/// Guards against FAILBACK and BUDGET: checks at upstreams that are cold, leave, wait or have a limit.
#[test]
fn takes_checks_only_an_upstream_without_reservations() {
    let now = Instant::now();
    let mut records: Vec<_> = (0..5).map(|number| upstream(number, "a1", 8)).collect();
    records[1].cold_ms = 3_000;
    records[2].leaving = true;
    let mut balancer = load_balancer("e-1", "a", &records, now);
    let keys = records.iter().map(|record| {
        let mut all = (0..5).map(UpstreamKey);
        all.find(|key| balancer.endpoint(*key).0 == record.id)
            .unwrap()
    });
    let keys: Vec<UpstreamKey> = keys.collect();
    balancer.record_wait(keys[3], WaitNotice::For(SECOND), now);
    balancer.record_limit(keys[4], LimitNotice::PerSecond(5.0), now);
    let takes = keys.iter().map(|key| balancer.takes_checks(*key, now));
    let takes: Vec<bool> = takes.collect();
    assert_eq!(takes, [true, false, false, false, false]);
}

#[test]
fn names_pace_by_the_last_load() {
    let now = Instant::now();
    let mut balancer = load_balancer("e-1", "a", &[upstream(0, "a1", 8)], now);
    let key = UpstreamKey(0);
    assert!(!balancer.names_pace(key));
    for pace_percent in [Some(130), None] {
        let load = UpstreamLoad {
            running: 1,
            waiting: 0,
            slots: 8,
            pace_percent,
        };
        balancer.record_load(key, load, now);
        assert_eq!(balancer.names_pace(key), pace_percent.is_some());
    }
}
