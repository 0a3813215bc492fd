//! Upstreams that reject requests and ask an instance for a time without any: one, half, and all of
//! the upstreams of a service at the same moment.

use std::time::Duration;

use laburnumdeal_policy::steer::{
    AttemptOutcome, LoadBalancer, Selection, UpstreamKey, WaitNotice, spread_delay,
};
use tokio::time::Instant;

use crate::setup::{chosen_upstream, load_balancer, request, upstream};
use crate::simulation::Simulation;

const WAIT_MS: u64 = 5_000;

/// Requests of one instance that may reach an upstream within a wait; the platform's rule.
const ALLOWED: u32 = 2;

/// Time at which upstreams ask to wait, after the caches are filled.
const ASKED_MS: u64 = 12_000;

const UPSTREAMS: usize = 14;

fn simulation() -> Simulation {
    let records: Vec<_> = (0..UPSTREAMS)
        .map(|number| upstream(number, "a1", 9))
        .collect();
    Simulation::new(&records, 9, 252, 75)
}

fn two_upstreams(now: Instant) -> LoadBalancer {
    let records = [upstream(0, "a1", 9), upstream(1, "a1", 9)];
    load_balancer("e-0", "a", &records, now)
}

fn wait(seconds: f64) -> WaitNotice {
    WaitNotice::For(Duration::from_secs_f64(seconds))
}

/// Guards against BUDGET: half of the upstreams ask for 5 s at the same moment, and get the requests
/// of each instance all the same; or their requests are refused while the others have room.
#[test]
fn choose_half_of_the_upstreams_wait_and_the_others_serve() {
    let mut simulation = simulation();
    let per_s = |_| 120.0;
    simulation.run(ASKED_MS, 0, per_s);
    let before: u32 = (0..UPSTREAMS)
        .map(|number| simulation.take_served(number))
        .sum();
    for number in 0..UPSTREAMS / 2 {
        simulation.reject(number, ASKED_MS + WAIT_MS);
    }
    let ended_ms = ASKED_MS + WAIT_MS;
    simulation.run_between(ASKED_MS..ended_ms, ASKED_MS, per_s);
    let most = simulation.rejections.values().max().copied().unwrap_or(0);
    assert!(most <= ALLOWED, "{most} requests of one instance in a wait");
    let totals = simulation.totals;
    assert!(totals.refused * 20 <= totals.arrived, "{totals:?}");
    // Each gets its usual part again: a fourteenth of the requests, in the caches' favour or not.
    simulation.run_between(ended_ms..ended_ms + WAIT_MS, ended_ms, per_s);
    let usual = f64::from(before) / UPSTREAMS as f64 / ASKED_MS as f64 * WAIT_MS as f64;
    for number in 0..UPSTREAMS / 2 {
        let served = f64::from(simulation.take_served(number));
        assert!(served >= usual / 4.0, "{served} of {usual:.0} at {number}");
    }
    let fraction = simulation.totals.fraction_in_target();
    assert!(fraction >= 0.85, "{fraction:.3}: {:?}", simulation.totals);
}

/// Guards against BUDGET: all upstreams ask for 5 s within a second. Requests are refused at once,
/// with the time until the first wait ends, and served again afterwards.
#[test]
fn choose_all_upstreams_wait_and_requests_are_refused_until_the_end() {
    let mut simulation = simulation();
    let per_s = |_| 120.0;
    simulation.run(ASKED_MS, 0, per_s);
    for number in 0..UPSTREAMS / 2 {
        simulation.reject(number, ASKED_MS + WAIT_MS);
    }
    simulation.run_between(ASKED_MS..ASKED_MS + 1_000, ASKED_MS, per_s);
    for number in UPSTREAMS / 2..UPSTREAMS {
        simulation.reject(number, ASKED_MS + 1_000 + WAIT_MS);
    }
    let first_end_ms = ASKED_MS + WAIT_MS;
    simulation.run_between(ASKED_MS + 1_000..first_end_ms, ASKED_MS + 1_000, per_s);
    let most = simulation.rejections.values().max().copied().unwrap_or(0);
    assert!(most <= ALLOWED, "{most} requests of one instance in a wait");
    let totals = simulation.totals;
    assert_eq!(totals.refused, totals.arrived, "{totals:?}");
    assert!(simulation.longest_delay <= Duration::from_millis(WAIT_MS));
    let longest = simulation.longest_delay;
    assert!(
        longest >= Duration::from_millis(WAIT_MS - 1_500),
        "{longest:?} {totals:?}"
    );
    let settled_ms = first_end_ms + 1_500;
    simulation.run_between(first_end_ms..settled_ms + 5_000, settled_ms, per_s);
    let fraction = simulation.totals.fraction_in_target();
    assert!(fraction >= 0.85, "{fraction:.3}: {:?}", simulation.totals);
}

#[test]
fn record_wait_upstream_is_passed_over_until_the_end() {
    let start = Instant::now();
    let mut balancer = two_upstreams(start);
    let first = chosen_upstream(&balancer, 1, start).unwrap();
    balancer.record_wait(first, wait(2.0), start);
    let Selection::Send(decision) = balancer.choose(&request(1), start) else {
        panic!("the other upstream has room");
    };
    assert_ne!(decision.upstream, first);
    let end = start + Duration::from_secs(2);
    let before = end - Duration::from_millis(1);
    assert_ne!(chosen_upstream(&balancer, 1, before), Some(first));
    assert_eq!(chosen_upstream(&balancer, 1, end), Some(first));
}

/// An answer to a request that was sent before says nothing of the wait that was asked for since.
#[test]
fn record_wait_later_answers_do_not_shorten_it() {
    let start = Instant::now();
    let key = UpstreamKey(0);
    for later in [
        WaitNotice::Absent,
        WaitNotice::Unreadable,
        wait(0.0),
        wait(0.5),
    ] {
        let mut balancer = two_upstreams(start);
        balancer.record_wait(key, wait(3.0), start);
        balancer.record_wait(key, later, start + Duration::from_secs(1));
        let left = balancer.wait_left(key, start + Duration::from_secs(1));
        assert_eq!(left, Duration::from_secs(2), "{later:?}");
    }
}

/// Guards against a wait that shuts an upstream out for good.
#[test]
fn record_wait_without_end_is_bounded() {
    let start = Instant::now();
    let mut balancer = two_upstreams(start);
    for notice in [wait(1e9), WaitNotice::For(Duration::MAX)] {
        balancer.record_wait(UpstreamKey(0), notice, start);
        let left = balancer.wait_left(UpstreamKey(0), start);
        assert_eq!(left, Duration::from_secs(600));
    }
}

#[test]
fn choose_all_upstreams_wait_names_the_first_end() {
    let start = Instant::now();
    let mut balancer = two_upstreams(start);
    balancer.record_wait(UpstreamKey(0), wait(5.0), start);
    balancer.record_wait(UpstreamKey(1), wait(3.0), start);
    let retry_after = Duration::from_secs(3);
    let selection = balancer.choose(&request(1), start);
    assert_eq!(selection, Selection::Waiting { retry_after });
    let reach = balancer.service_reach("catalog", start);
    assert_eq!((reach.listed, reach.waiting), (2, 2));
}

/// Guards against a time that is too long: the other upstream accepts requests again before.
#[test]
fn choose_upstream_backs_off_beside_a_wait_names_the_end_of_the_backoff() {
    let start = Instant::now();
    let mut balancer = two_upstreams(start);
    let Selection::Send(decision) = balancer.choose(&request(1), start) else {
        panic!("both have room");
    };
    balancer.begin_attempt(&decision, start);
    balancer.end_attempt(&decision, "all", 1, AttemptOutcome::Shed, start);
    let other = UpstreamKey(1 - decision.upstream.0);
    balancer.record_wait(other, wait(5.0), start);
    let retry_after = Duration::from_millis(100);
    let selection = balancer.choose(&request(1), start);
    assert_eq!(selection, Selection::Waiting { retry_after });
}

/// Guards against a wait that another upstream inherits with the address.
#[test]
fn update_upstreams_other_upstream_at_the_address_does_not_wait() {
    let start = Instant::now();
    let mut balancer = two_upstreams(start);
    balancer.record_wait(UpstreamKey(0), wait(5.0), start);
    let mut successor = upstream(0, "a1", 9);
    successor.id = "u-2".into();
    balancer.update_upstreams(&[successor, upstream(1, "a1", 9)], start);
    assert_eq!(balancer.service_reach("catalog", start).waiting, 0);
}

/// Guards against callers that all return at the end of a wait.
#[test]
fn spread_delay_callers_return_at_different_times_and_never_early() {
    let delay = Duration::from_secs(4);
    let delays = [0.0, 0.25, 0.5, 1.0].map(|position| spread_delay(delay, position));
    assert!(delays.is_sorted() && delays[0] == delay);
    assert_eq!(delays[3], Duration::from_secs(5));
    assert_eq!(spread_delay(Duration::from_secs(600), 1.0).as_secs(), 601);
}

/// Guards against DRAIN: requests go to an upstream that announced that it leaves, until the list
/// shows it; and against one that gets none after it has returned.
#[test]
fn record_leaving_holds_until_the_list_shows_that_it_returned() {
    let start = Instant::now();
    let key = UpstreamKey(0);
    let records = |leaving| {
        let mut first = upstream(0, "a1", 9);
        first.leaving = leaving;
        [first, upstream(1, "a1", 9)]
    };
    let mut balancer = two_upstreams(start);
    assert!(balancer.record_leaving(key));
    assert!(!balancer.record_leaving(key), "it is known");
    balancer.update_upstreams(&records(false), start);
    assert!(balancer.is_withdrawn(key), "the list is late");
    balancer.update_upstreams(&records(true), start);
    balancer.update_upstreams(&records(false), start);
    assert!(!balancer.is_withdrawn(key));
    balancer.record_leaving(key);
    balancer.update_upstreams(&records(false)[1..], start);
    assert!(!balancer.left_unannounced(key), "it is no crash");
    balancer.update_upstreams(&records(false), start);
    assert!(!balancer.is_withdrawn(key));
}

/// Guards against a wait of an earlier start under the same ID, and against one that a gap in the
/// list ends early.
#[test]
fn update_upstreams_new_start_under_the_id_does_not_wait() {
    let start = Instant::now();
    let key = UpstreamKey(0);
    for (cold_ms, left_s) in [(2_000, 0), (0, 5)] {
        let mut balancer = two_upstreams(start);
        balancer.record_wait(key, wait(5.0), start);
        balancer.update_upstreams(&[upstream(1, "a1", 9)], start);
        let mut returned = upstream(0, "a1", 9);
        returned.cold_ms = cold_ms;
        balancer.update_upstreams(&[returned, upstream(1, "a1", 9)], start);
        assert_eq!(balancer.wait_left(key, start), Duration::from_secs(left_s));
    }
}
