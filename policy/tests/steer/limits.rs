//! Limits that upstreams name on their requests, over all instances.

use std::time::Duration;

use laburnumdeal_policy::steer::{
    AttemptOutcome, InstanceRecord, LimitNotice, LoadBalancer, Selection, SharedReport, UpstreamKey,
};
use tokio::time::Instant;

use crate::setup::{instance, load_balancer, request, settings, upstream};

/// Key of the only upstream of most tests.
const UPSTREAM: UpstreamKey = UpstreamKey(0);

/// Window in which requests to a limited upstream are counted; the platform's rule.
const WINDOW_MS: u64 = 4_000;

/// Interval at which each instance tries to send.
const STEP_MS: u64 = 50;

const DURATION_MS: u64 = 30_000;

/// Requests that a limited upstream may get in one window; the platform's rule.
fn allowed(limit_per_s: f64) -> f64 {
    1.5 * limit_per_s * WINDOW_MS as f64 / 1_000.0 + 5.0
}

fn instances(count: usize) -> Vec<InstanceRecord> {
    // A third of the instances are in the region of the upstream.
    let region = |number: usize| if number.is_multiple_of(3) { "a" } else { "b" };
    (0..count)
        .map(|number| instance(number, region(number)))
        .collect()
}

/// Returns load balancers of `count` instances with one upstream, which has named a limit to all.
fn limited_balancers(count: usize, limit_per_s: f64, now: Instant) -> Vec<LoadBalancer> {
    let balancer = |record: &InstanceRecord| {
        let records = [upstream(0, "a1", 9)];
        let mut balancer = load_balancer(&record.name, &record.region, &records, now);
        balancer.update_instances(instances(count));
        balancer.record_limit(UPSTREAM, LimitNotice::PerSecond(limit_per_s), now);
        balancer
    };
    instances(count).iter().map(balancer).collect()
}

/// Sends one request, which is answered at once; returns whether it was allowed.
fn send(balancer: &mut LoadBalancer, answer: LimitNotice, now: Instant) -> bool {
    let Selection::Send(decision) = balancer.choose(&request(1), now) else {
        return false;
    };
    balancer.begin_attempt(&decision, now);
    balancer.record_limit(decision.upstream, answer, now);
    let answered = AttemptOutcome::Answered {
        took_ms: 100.0,
        failed: false,
    };
    balancer.end_attempt(&decision, "all", 1, answered, now);
    true
}

/// Lets instances send as much as they may; returns the times of all requests.
fn send_all(balancers: &mut [LoadBalancer], limit_per_s: f64, start: Instant) -> Vec<u64> {
    let mut sent = Vec::new();
    for now_ms in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let now = start + Duration::from_millis(now_ms);
        for balancer in balancers.iter_mut() {
            while send(balancer, LimitNotice::PerSecond(limit_per_s), now) {
                sent.push(now_ms);
            }
        }
    }
    sent
}

fn most_in_window(sent: &[u64]) -> usize {
    let in_window = |start: &u64| {
        let inside = |at: &&u64| **at >= *start && **at < *start + WINDOW_MS;
        sent.iter().filter(inside).count()
    };
    sent.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against LIMIT: instances that each take the limit, or too large a part of it.
#[test]
fn choose_limited_upstream_gets_at_most_its_limit_from_all_instances() {
    for count in [1, 2, 9, 63] {
        for limit_per_s in [0.3, 1.0, 3.9, 5.1, 40.0] {
            let start = Instant::now();
            let mut balancers = limited_balancers(count, limit_per_s, start);
            let sent = send_all(&mut balancers, limit_per_s, start);
            let most = most_in_window(&sent) as f64;
            let what = format!("{count} instances, {limit_per_s} per s: {most}");
            assert!(most <= allowed(limit_per_s), "{what}");
            let total = limit_per_s * DURATION_MS as f64 / 1_000.0;
            assert!(
                sent.len() as f64 >= total * 0.5,
                "{what}, {} in all",
                sent.len()
            );
        }
    }
}

#[test]
fn choose_upstream_that_takes_nothing_gets_only_probes() {
    let start = Instant::now();
    let mut balancers = limited_balancers(9, 0.0, start);
    let sent = send_all(&mut balancers, 0.0, start);
    let most = most_in_window(&sent) as f64;
    assert!(most <= allowed(0.0), "{most} requests in 4 s");
}

/// Guards against a limit that grows with the part of an instance that others do not use.
#[test]
fn choose_limited_upstream_with_all_demand_at_one_instance_keeps_its_share() {
    let start = Instant::now();
    let mut balancers = limited_balancers(9, 9.0, start);
    let sent = send_all(&mut balancers[..1], 9.0, start);
    // It is one of three instances that count 8, beside six that count 1: 8 in 30 of 36.
    assert!((8..=10).contains(&most_in_window(&sent)), "{sent:?}");
}

#[test]
fn choose_limited_upstream_gets_nothing_before_the_instances_are_known() {
    let now = Instant::now();
    let mut balancer = LoadBalancer::new(settings("e-1", "a"));
    balancer.update_upstreams(&[upstream(0, "a1", 9)], now);
    balancer.record_limit(UPSTREAM, LimitNotice::PerSecond(40.0), now);
    let selection = balancer.choose(&request(1), now);
    assert!(
        matches!(selection, Selection::AtLimit { .. }),
        "{selection:?}"
    );
}

#[test]
fn choose_limit_that_changes_is_kept_from_the_next_request() {
    let start = Instant::now();
    let mut balancers = limited_balancers(1, 40.0, start);
    let balancer = &mut balancers[0];
    while send(balancer, LimitNotice::PerSecond(40.0), start) {}
    let later = start + Duration::from_millis(4_100);
    assert!(send(balancer, LimitNotice::PerSecond(0.25), later));
    assert!(!send(balancer, LimitNotice::PerSecond(0.25), later));
}

#[test]
fn record_limit_answer_without_one_ends_it() {
    let start = Instant::now();
    let mut balancers = limited_balancers(9, 1.0, start);
    let balancer = &mut balancers[0];
    while send(balancer, LimitNotice::PerSecond(1.0), start) {}
    let later = start + Duration::from_secs(5);
    assert!(send(balancer, LimitNotice::Unlimited, later));
    assert!((0..20).all(|_| send(balancer, LimitNotice::Unlimited, later)));
    assert_eq!(balancer.limit_per_s(UPSTREAM), None);
}

#[test]
fn record_limit_unreadable_one_changes_nothing() {
    let start = Instant::now();
    let mut balancers = limited_balancers(1, 1.0, start);
    assert!(!balancers[0].record_limit(UPSTREAM, LimitNotice::Unreadable, start));
    assert_eq!(balancers[0].limit_per_s(UPSTREAM), Some(1.0));
}

/// An upstream that gets nothing cannot tell that it takes requests again.
#[test]
fn choose_instance_without_a_quota_notices_the_end_of_a_limit() {
    let start = Instant::now();
    let mut balancers = limited_balancers(63, 1.0, start);
    for balancer in &mut balancers {
        let mut now = start;
        while balancer.limit_per_s(UPSTREAM).is_some() {
            now += Duration::from_secs(1);
            send(balancer, LimitNotice::Unlimited, now);
            assert!(now - start <= Duration::from_secs(190), "it probes");
        }
    }
}

fn exchange(from: &mut LoadBalancer, to: &mut LoadBalancer, since: Instant, now: Instant) {
    let report: SharedReport = from.take_report(since, now);
    to.merge_report(&report, now);
}

#[test]
fn merge_report_limit_of_another_instance_is_kept_until_it_ends() {
    let start = Instant::now();
    let records = [upstream(0, "a1", 9)];
    let mut told = load_balancer("e-0", "a", &records, start);
    let mut other = load_balancer("e-1", "a", &records, start);
    told.record_limit(UPSTREAM, LimitNotice::PerSecond(2.0), start);
    let later = start + Duration::from_millis(200);
    exchange(&mut told, &mut other, start, later);
    assert_eq!(other.limit_per_s(UPSTREAM), Some(2.0));
    let ended = start + Duration::from_millis(400);
    told.record_limit(UPSTREAM, LimitNotice::Unlimited, ended);
    exchange(
        &mut told,
        &mut other,
        start,
        ended + Duration::from_millis(200),
    );
    assert_eq!(other.limit_per_s(UPSTREAM), None);
}

/// Guards against limits that instances remind each other of for ever.
#[test]
fn merge_report_limit_is_not_told_on() {
    let start = Instant::now();
    let records = [upstream(0, "a1", 9)];
    let mut told = load_balancer("e-0", "a", &records, start);
    let mut other = load_balancer("e-1", "a", &records, start);
    told.record_limit(UPSTREAM, LimitNotice::PerSecond(2.0), start);
    exchange(&mut told, &mut other, start, start);
    assert!(other.take_report(start, start).limits.is_empty());
    // An answer to this instance is newer than what it hears of an earlier one.
    let later = start + Duration::from_millis(100);
    other.record_limit(UPSTREAM, LimitNotice::Unlimited, later);
    let report = told.take_report(start, later);
    other.merge_report(&report, later);
    assert_eq!(other.limit_per_s(UPSTREAM), None);
}

#[test]
fn choose_upstreams_at_their_limits_refuse_until_the_next_request_is_allowed() {
    let start = Instant::now();
    let mut balancers = limited_balancers(1, 0.25, start);
    assert!(send(&mut balancers[0], LimitNotice::PerSecond(0.25), start));
    let later = start + Duration::from_millis(3_500);
    let Selection::AtLimit { retry_after } = balancers[0].choose(&request(1), later) else {
        panic!("the only request of the window was sent");
    };
    assert_eq!(retry_after.as_millis(), 550);
    assert!(send(
        &mut balancers[0],
        LimitNotice::PerSecond(0.25),
        later + retry_after
    ));
}

#[test]
fn choose_upstream_at_its_limit_is_passed_over_for_another() {
    let start = Instant::now();
    let records = [upstream(0, "a1", 9), upstream(1, "a1", 9)];
    let mut balancer = load_balancer("e-0", "a", &records, start);
    balancer.record_limit(UPSTREAM, LimitNotice::PerSecond(0.0), start);
    let Selection::Send(decision) = balancer.choose(&request(1), start) else {
        panic!("the other upstream has room");
    };
    assert_eq!((decision.upstream, decision.at_limit), (UpstreamKey(1), 1));
}

// Guards against an upstream that gets next to nothing because it names a limit beyond any demand.
#[test]
fn choose_upstream_with_a_huge_limit_gets_all_requests() {
    for limit_per_s in [1e18, 1e300, f64::MAX] {
        let start = Instant::now();
        for balancer in &mut limited_balancers(9, limit_per_s, start) {
            let mut sent =
                (0..50).map(|_| send(balancer, LimitNotice::PerSecond(limit_per_s), start));
            assert!(sent.all(|is_sent| is_sent), "{limit_per_s}");
        }
    }
}
