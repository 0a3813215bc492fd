//! Tests of the speed of each upstream, which instances learn together.

use std::time::Duration;

use laburnumdeal_policy::steer::{
    AttemptOutcome, LoadBalancer, LoadBalancerSettings, Selection, SharedSpeed, SpeedSample,
    SpeedStore, UsualTime, hash_of,
};
use tokio::time::Instant;

use crate::setup::{chosen_upstream, instance, load_balancer_with, request, settings, upstream};
use crate::simulation::Simulation;

const UPSTREAMS: usize = 40;
const SLOTS: u32 = 9;
/// So many that each hears of an upstream once in 5 s at 400 requests a second.
const INSTANCES: usize = 50;
const OBJECTS: u64 = 600;
const CACHE_SIZE: usize = 60;

/// Factor on the service time by upstream, requests that it runs, and time.
type Slowdown = fn(usize, usize, u64) -> f64;

/// Factor on it by upstream and time, which the upstream reports.
type Noise = fn(usize, u64) -> f64;

/// Half of a service twice as slow.
fn half_twice_as_slow(upstream: usize, _running: usize, _now_ms: u64) -> f64 {
    if upstream.is_multiple_of(2) { 2.0 } else { 1.0 }
}

/// 40 % of the upstreams 12 times as slow for 9 s.
fn many_slow_for_9_s(upstream: usize, _running: usize, now_ms: u64) -> f64 {
    let is_slow = upstream % 5 < 2 && (14_000..23_000).contains(&now_ms);
    if is_slow { 12.0 } else { 1.0 }
}

/// One that slows fourfold at second 10 and recovers at 20.
fn one_slow_for_10_s(upstream: usize, _running: usize, now_ms: u64) -> f64 {
    let is_slow = upstream == 3 && (10_000..20_000).contains(&now_ms);
    if is_slow { 4.0 } else { 1.0 }
}

/// All three times as slow for 6 s.
fn all_slow_for_6_s(_upstream: usize, _running: usize, now_ms: u64) -> f64 {
    let is_slow = (14_000..20_000).contains(&now_ms);
    if is_slow { 3.0 } else { 1.0 }
}

fn steady(_upstream: usize, _running: usize, _now_ms: u64) -> f64 {
    1.0
}

fn quiet(_upstream: usize, _now_ms: u64) -> f64 {
    1.0
}

/// Machines that are shared: 15 of 100 take 2.5 times as long, drawn anew each 0.6 s.
fn shared_machines(upstream: usize, now_ms: u64) -> f64 {
    let draw = (upstream as u64 * 7_919 + now_ms / 600 * 104_729) % 1_000;
    if draw < 150 { 2.5 } else { 1.0 }
}

/// The same, which upstreams do not tell.
fn untold_noise(upstream: usize, _running: usize, now_ms: u64) -> f64 {
    shared_machines(upstream, now_ms)
}

/// Returns a simulation of many instances that know of each other.
fn simulation(shares_speed: bool, slowdown: Slowdown, noise: Noise) -> Simulation {
    let records = (0..UPSTREAMS).map(|number| upstream(number, "a1", SLOTS));
    let records: Vec<_> = records.collect();
    let adapt = |settings| LoadBalancerSettings {
        shares_speed,
        ..settings
    };
    let mut simulation = Simulation::with_settings(&records, INSTANCES, OBJECTS, CACHE_SIZE, adapt);
    simulation.report_interval_ms = Some(500);
    simulation.introduce_instances();
    simulation.slowdown = slowdown;
    simulation.noise = noise;
    simulation
}

/// Returns the share in target and the time that 99 of 100 requests stay below, over 20 s after
/// caches have filled.
fn run(shares_speed: bool, per_s: f64, slowdown: Slowdown, noise: Noise) -> (f64, u64) {
    let mut simulation = simulation(shares_speed, slowdown, noise);
    simulation.run(30_000, 10_000, |_| per_s);
    (simulation.totals.fraction_in_target(), simulation.p99_ms())
}

/// Runs a load with the setting and without it, and checks what the first gains in target.
fn assert_gain(least: f64, per_s: f64, slowdown: Slowdown, noise: Noise) {
    let (with, p99_ms) = run(true, per_s, slowdown, noise);
    let (without, p99_ms_before) = run(false, per_s, slowdown, noise);
    println!("{per_s}/s: {with:.3}, p99 {p99_ms} ms; before {without:.3}, {p99_ms_before} ms");
    assert!(with >= without + least, "{with:.3}, before {without:.3}");
    assert!(
        p99_ms <= p99_ms_before,
        "{p99_ms} ms, before {p99_ms_before} ms"
    );
}

/// Load: equal upstreams on shared machines that tell of it, and on some that do not.
#[test]
fn choose_noise_of_shared_machines_is_not_chased() {
    for (slowdown, noise) in [
        (steady as Slowdown, shared_machines as Noise),
        (untold_noise, quiet),
    ] {
        assert_gain(-0.002, 400.0, slowdown, noise);
    }
}

/// Load: half of a service twice as slow, which still is in target.
#[test]
fn choose_half_of_a_service_twice_as_slow_loses_nothing() {
    assert_gain(-0.002, 400.0, half_twice_as_slow, quiet);
    assert_gain(-0.002, 900.0, half_twice_as_slow, quiet);
}

/// Load: 40 % of the upstreams 12 times as slow for 9 s.
#[test]
fn choose_many_slow_upstreams_are_passed_over() {
    assert_gain(0.06, 400.0, many_slow_for_9_s, quiet);
    assert_gain(0.06, 900.0, many_slow_for_9_s, quiet);
}

/// Load: one that slows fourfold at second 10 and recovers at 20.
#[test]
fn choose_one_slow_upstream_is_passed_over() {
    assert_gain(0.004, 400.0, one_slow_for_10_s, quiet);
    assert_gain(0.004, 900.0, one_slow_for_10_s, quiet);
}

/// Load: all upstreams three times as slow together.
#[test]
fn choose_all_slow_together_none_is_blamed() {
    assert_gain(0.0, 400.0, all_slow_for_6_s, quiet);
    let mut simulation = simulation(true, all_slow_for_6_s, quiet);
    for second in 0..24 {
        simulation.run_between(second * 1_000..(second + 1) * 1_000, 0, |_| 400.0);
        assert_eq!(simulation.slow_count(0), 0, "at {second} s");
    }
}

/// Load: 40 % of the upstreams 12 times as slow for 9 s. All instances notice, send them little, and
/// use them again.
#[test]
fn slow_upstreams_follow_a_change_in_both_directions() {
    let mut simulation = simulation(true, many_slow_for_9_s, quiet);
    let slow = UPSTREAMS * 2 / 5;
    let instances = 0..INSTANCES;
    simulation.run(17_500, 0, |_| 400.0);
    let counts: Vec<_> = instances
        .clone()
        .map(|number| simulation.slow_count(number))
        .collect();
    assert_eq!(counts, [16; INSTANCES], "of {slow}, 3.5 s after the change");
    simulation.run_between(17_500..23_000, 0, |_| 400.0);
    let is_slow = |upstream: &usize| upstream % 5 < 2;
    let shares = (0..UPSTREAMS).filter(is_slow);
    let shares = shares.map(|upstream| simulation.share_of(upstream..upstream + 1, 18_000..23_000));
    let share: f64 = shares.sum();
    assert!(
        (0.005..0.06).contains(&share),
        "tried again at a bounded cost: {share:.3}"
    );
    simulation.run_between(23_000..33_000, 0, |_| 400.0);
    let counts: Vec<_> = instances
        .map(|number| simulation.slow_count(number))
        .collect();
    assert!(
        counts.iter().all(|count| *count <= 1),
        "10 s after the end: {counts:?}"
    );
}

/// Guards against an estimate for an address or a name: a new start is of unknown speed.
#[test]
fn update_upstreams_new_start_inherits_nothing() {
    let now = Instant::now();
    let records: Vec<_> = (0..4).map(|number| upstream(number, "a1", SLOTS)).collect();
    let mut settings = settings("e-1", "a");
    settings.shares_speed = true;
    let mut balancer = load_balancer_with(settings, &records, now);
    let reports = |percent: u32| {
        let slow = |number: usize| if number == 0 { percent } else { 100 };
        let shared = |number: usize| SharedSpeed {
            upstream: hash_of(&[records[number].id.as_bytes()]),
            answers: 8,
            percent: slow(number),
            age_ms: 10,
        };
        (0..4).map(shared).collect::<Vec<_>>()
    };
    balancer.merge_speeds(&reports(900), now);
    send(&mut balancer, now);
    assert_eq!(balancer.slow_upstreams().len(), 1);
    let mut restarted = records.clone();
    restarted[0].cold_ms = 1_000;
    balancer.update_upstreams(&restarted, now);
    let later = now + Duration::from_millis(200);
    send(&mut balancer, later);
    assert_eq!(balancer.slow_upstreams(), [], "the start has no answers");
    let mut stale = reports(900);
    stale[0].age_ms = 500;
    balancer.merge_speeds(&stale, later);
    send(&mut balancer, later + Duration::from_millis(200));
    assert_eq!(
        balancer.slow_upstreams(),
        [],
        "they are of the start before"
    );
}

/// Guards against shares of regions that speeds move: what a slow upstream loses stays in its region.
#[test]
fn choose_next_of_a_slow_upstream_is_in_its_region() {
    let start = Instant::now();
    let zone = |number| if number < 8 { "a1" } else { "b1" };
    let records: Vec<_> = (0..16)
        .map(|number| upstream(number, zone(number), SLOTS))
        .collect();
    let mut settings = settings("e-1", "a");
    settings.shares_speed = true;
    let mut balancer = load_balancer_with(settings, &records, start);
    let is_near = |object: &u64| {
        let key = chosen_upstream(&balancer, *object, start).unwrap();
        balancer.region(key) == "a"
    };
    let object = (0..100).find(is_near).unwrap();
    for number in 0..100 {
        let now = start + Duration::from_millis(number);
        answer(&mut balancer, object, now);
    }
    let now = start + Duration::from_millis(100);
    let chosen = |balancer: &LoadBalancer| {
        let chosen = (100..2_000).map(|object| chosen_upstream(balancer, object, now).unwrap());
        chosen.collect::<Vec<_>>()
    };
    let before = chosen(&balancer);
    let speed = |number: usize| SharedSpeed {
        upstream: hash_of(&[records[number].id.as_bytes()]),
        answers: 8,
        percent: if number < 3 { 1_200 } else { 100 },
        age_ms: 0,
    };
    balancer.merge_speeds(&(0..16).map(speed).collect::<Vec<_>>(), now);
    // The probes of one instance that knows no other begin within a second.
    balancer.update_instances((0..1_000).map(|number| instance(number, "a")).collect());
    send(&mut balancer, now + Duration::from_millis(100));
    let after = chosen(&balancer);
    let mut moved = 0;
    for (before, after) in before.iter().zip(&after) {
        assert_eq!(balancer.region(*before), balancer.region(*after));
        let is_slow = before.0 < 3;
        assert!(is_slow || before == after, "{before:?} is not slow");
        moved += usize::from(is_slow && after.0 >= 3);
    }
    let slow = before.iter().filter(|key| key.0 < 3).count();
    assert!(slow > 300 && moved == slow, "{moved} of {slow} were moved");
}

/// Sends a request for an object that upstreams hold after the first answer, and records its answer.
fn answer(balancer: &mut LoadBalancer, object: u64, now: Instant) {
    let Selection::Send(decision) = balancer.choose(&request(object), now) else {
        panic!("upstreams are idle");
    };
    balancer.begin_attempt(&decision, now);
    let outcome = AttemptOutcome::Answered {
        took_ms: 100.0,
        failed: false,
    };
    balancer.end_attempt(&decision, "all", object, outcome, now);
}

/// Sends a request, with which upstreams are compared.
fn send(balancer: &mut LoadBalancer, now: Instant) {
    let Selection::Send(decision) = balancer.choose(&request(1), now) else {
        panic!("upstreams are idle");
    };
    balancer.begin_attempt(&decision, now);
    balancer.end_attempt(&decision, "all", 1, AttemptOutcome::Cancelled, now);
}

#[test]
fn merge_answers_that_are_old_count_for_less() {
    let start = Instant::now();
    let mut sample = SpeedSample::default();
    (0..20).for_each(|_| sample.record(2.0, start));
    let later = start + Duration::from_secs(8);
    assert!(sample.answers(later) < 1.0, "{sample:?}");
    (0..4).for_each(|_| sample.record(1.2, later));
    assert!(sample.log_ratio().exp() < 1.35, "{sample:?}");
}

/// Guards against misses that are taken for slow upstreams, and hits for fast ones.
#[test]
fn ratio_hit_or_miss_is_no_speed() {
    let mut usual = UsualTime::default();
    (0..60).for_each(|number| {
        usual.record(number % 2 == 0, if number % 2 == 0 { 100.0 } else { 330.0 })
    });
    let ratio = |is_known, took_ms| usual.ratio(is_known, took_ms).unwrap();
    for took_ms in [100.0, 200.0, 330.0] {
        assert!((0.95..1.05).contains(&ratio(false, took_ms)));
    }
    assert!((1.9..2.1).contains(&ratio(true, 200.0)));
    assert!((1.9..2.1).contains(&ratio(false, 660.0)));
}

/// The store tells what changed, once, in bounded length.
#[test]
fn told_within_names_changes_only() {
    let now = Instant::now();
    let mut store = SpeedStore::default();
    let report = |percent| {
        (0..2_000).map(move |upstream| SharedSpeed {
            upstream,
            answers: 1,
            percent,
            age_ms: 0,
        })
    };
    let window = Duration::from_millis(400);
    store.merge(&report(100).collect::<Vec<_>>(), now);
    assert_eq!(store.told_within(window, now).len(), 1_024);
    let later = now + Duration::from_millis(500);
    store.merge(&report(105).take(5).collect::<Vec<_>>(), later);
    assert_eq!(store.told_within(window, later), []);
    store.merge(&report(900).take(5).collect::<Vec<_>>(), later);
    assert_eq!(store.told_within(window, later).len(), 5);
}

/// Load: equal upstreams on shared machines that do not tell of it. None is ever taken for slow.
#[test]
fn slow_upstreams_noise_of_shared_machines_is_none() {
    let mut simulation = simulation(true, untold_noise, quiet);
    for step in 0..100 {
        simulation.run_between(step * 200..(step + 1) * 200, 0, |_| 400.0);
        assert_eq!(simulation.slow_count(0), 0, "at {} ms", step * 200);
    }
}
