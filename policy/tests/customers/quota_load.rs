use crate::quota_run::{Outcomes, QuotaRun};
use laburnumdeal_policy::customers::QuotaLimit;

/// 77 requests in a window.
const LIMIT: QuotaLimit = QuotaLimit {
    milli_per_s: 10_000,
    burst: 20,
};

const INSTANCES: usize = 88;

fn play(rate_per_s: impl Fn(usize) -> f64, ms: u64) -> (Outcomes, QuotaRun) {
    let mut run = QuotaRun::new(5, INSTANCES, LIMIT);
    run.set_rates(&rate_per_s);
    run.run(10_000);
    run.take_outcomes();
    run.run(ms);
    let outcomes = run.take_outcomes();
    println!("{outcomes:?}");
    assert_eq!(run.checker.excess, 0);
    (outcomes, run)
}

fn assert_within_quota_is_served(outcomes: &Outcomes) {
    let refused = outcomes.over_limit + outcomes.unknown;
    assert!(refused * 100 <= outcomes.arrived, "{outcomes:?}");
    assert!(
        outcomes.waited_ms / u64::from(outcomes.admitted) < 100,
        "{outcomes:?}"
    );
}

// Guards against: a customer whose callers all arrive at three of 88 instances gets three shares of
// 88 of its quota.
#[test]
fn decide_with_callers_at_three_instances_serves_the_whole_quota() {
    let (outcomes, _) = play(|number| if number < 3 { 3.3 } else { 0.0 }, 30_000);
    assert_within_quota_is_served(&outcomes);
}

// Guards against: the quota of a customer whose callers arrive at all instances is tied up in
// headroom of instances that have one request in some seconds.
#[test]
fn decide_with_callers_at_all_instances_serves_the_whole_quota() {
    let (outcomes, _) = play(|_| 9.0 / INSTANCES as f64, 30_000);
    assert_within_quota_is_served(&outcomes);
}

// Guards against: a customer that sends seven times its usual gets less than its quota, or one of
// its instances gets all of it.
#[test]
fn decide_at_seven_times_the_usual_serves_the_quota_to_all_instances() {
    let mut run = QuotaRun::new(6, 5, LIMIT);
    run.set_rates(|_| 1.6);
    run.run(10_000);
    run.set_rates(|_| 1.6 * 7.0);
    run.run(10_000);
    run.take_outcomes();
    run.run(30_000);
    let served: Vec<u32> = run.instances.iter().map(|i| i.outcomes.admitted).collect();
    let total: u32 = served.iter().sum();
    println!("served {served:?}");
    // 70 in each window are owed, and 77 allowed.
    assert!(total >= 6 * 70, "{served:?}");
    let fair = total / 5;
    assert!(
        served.iter().all(|served| *served * 3 > fair * 2),
        "{served:?}"
    );
    assert_eq!(run.checker.excess, 0);
}

// Guards against: with more instances than requests in a window, some stay without for good.
#[test]
fn decide_at_seven_times_the_usual_starves_no_instance_of_many() {
    let mut run = QuotaRun::new(8, INSTANCES, LIMIT);
    run.set_rates(|_| 70.0 / INSTANCES as f64);
    run.run(60_000);
    let served: Vec<u32> = run.instances.iter().map(|i| i.outcomes.admitted).collect();
    let total: u32 = served.iter().sum();
    println!("{total} served in 12 windows");
    assert!(served.iter().all(|served| *served > 0), "{served:?}");
    assert_eq!(run.checker.excess, 0);
}

// Guards against: an instance that has just started refuses for longer than it takes to ask.
#[test]
fn decide_at_an_instance_that_has_just_started_serves_at_once() {
    let mut run = QuotaRun::new(7, 3, LIMIT);
    run.set_rates(|number| if number == 2 { 0.0 } else { 2.0 });
    run.run(10_000);
    run.take_outcomes();
    run.restart(2);
    run.set_rates(|_| 2.0);
    run.run(2_000);
    let fresh = run.instances[2].outcomes;
    assert_eq!((fresh.over_limit, fresh.unknown), (0, 0), "{fresh:?}");
    assert!(
        fresh.waited_ms / u64::from(fresh.admitted) < 250,
        "{fresh:?}"
    );
}
