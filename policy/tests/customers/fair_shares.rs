use std::time::Duration;

use laburnumdeal_policy::customers::{FairClass, FairCustomer, FairRefusal, FairShares};
use laburnumdeal_policy::steer::Places;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fair_run::{FairRun, Load, ROOM_PER_S, Totals, boot_time};

/// Requests per second of each of ten customers, of which one sends six times as many: 1.6 times the
/// room in all.
const USUAL_PER_S: f64 = 1.6 * ROOM_PER_S / 15.0;

/// Requests per second that max-min gives each of the ten, as the nine alone leave less than that.
const FAIR_PER_S: f64 = ROOM_PER_S / 10.0;

/// Part of their requests that the nine lose by that: 6.25 %.
const FAIR_LOSS: f64 = 1.0 - FAIR_PER_S / USUAL_PER_S;

fn loads(first_per_s: f64) -> Vec<Load> {
    let per_s = |number: usize| {
        if number == 0 {
            first_per_s
        } else {
            USUAL_PER_S
        }
    };
    (0..10)
        .map(|number| Load::steady(1, per_s(number)))
        .collect()
}

/// Runs for 50 s after the first 10 s.
fn run(instances: usize, loads: Vec<Load>, seed: u64, is_fair: bool) -> FairRun {
    let mut run = FairRun::new(instances, loads, seed, is_fair);
    run.run(60_000, 10_000);
    run
}

fn sum(totals: &[Totals]) -> Totals {
    let plus = |a: Totals, b: &Totals| Totals {
        arrived: a.arrived + b.arrived,
        admitted: a.admitted + b.admitted,
        withheld: a.withheld + b.withheld,
        busy: a.busy + b.busy,
    };
    totals.iter().fold(Totals::default(), plus)
}

// Guards against: the decisions are not max-min. The room is ideal here: a place is free whenever one
// of the last 0.1 s is left, and nothing is lost to queues of single upstreams.
#[test]
fn arrive_one_at_six_times_with_ideal_room_costs_the_others_their_max_min_loss() {
    let mut shares = FairShares::default();
    let class = FairClass::new("catalog", 1);
    let most = ROOM_PER_S / 10.0;
    let mut places = most;
    let mut totals = [Totals::default(); 10];
    let mut generator = ChaCha8Rng::seed_from_u64(9);
    for now_ms in 0..40_000 {
        let now = boot_time(now_ms);
        places = (places + ROOM_PER_S / 1_000.0).min(most);
        for (number, totals) in totals.iter_mut().enumerate() {
            let per_s = USUAL_PER_S * if number == 0 { 6.0 } else { 1.0 };
            if generator.random::<f64>() >= per_s / 1_000.0 {
                continue;
            }
            let key = FairCustomer::new(&format!("customer-{number}"));
            let needed = match shares.arrive(class, key, now) {
                Places::All => 1.0,
                Places::Idle | Places::Spare => most * 0.9,
            };
            let is_counted = now_ms >= 10_000;
            totals.arrived += u32::from(is_counted);
            if places >= needed {
                places -= 1.0;
                shares.admit(class, key, now);
                totals.admitted += u32::from(is_counted);
            } else if needed > 1.0 && places >= 1.0 {
                shares.refuse(class, key, Places::Spare, now);
            } else {
                shares.run_short(class, now);
            }
        }
    }
    let nine = sum(&totals[1..]);
    let lost: Vec<f64> = totals.iter().map(Totals::lost).collect();
    println!("nine lost {:.3}: {lost:.3?}", nine.lost());
    assert!(nine.lost() <= FAIR_LOSS + 0.02, "{:.3}", nine.lost());
    let most_lost = lost[1..].iter().copied().fold(0.0, f64::max);
    assert!(most_lost <= FAIR_LOSS + 0.04, "{lost:?}");
    let all = sum(&totals);
    assert!(f64::from(all.admitted) / 30.0 >= 0.95 * ROOM_PER_S);
}

// Guards against: a customer that sends more takes the places of the others. The nine lose no more
// than if it sent just its fair share, apart from 5 %; without fair shares they lose a third more.
#[test]
fn arrive_one_at_six_times_costs_the_others_little_more_than_at_its_share() {
    for (instances, seed) in [(1, 1), (1, 2), (3, 1), (3, 2)] {
        let fair = run(instances, loads(6.0 * USUAL_PER_S), seed, true);
        let unfair = run(instances, loads(6.0 * USUAL_PER_S), seed, false);
        let at_share = run(instances, loads(FAIR_PER_S), seed, false);
        let lost = |run: &FairRun| sum(&run.totals[1..]).lost();
        let (of_fair, of_unfair, of_share) = (lost(&fair), lost(&unfair), lost(&at_share));
        println!(
            "{instances} {seed}: nine lost {of_fair:.3}, {of_unfair:.3} unfair, {of_share:.3} at share; one {:.3}; {} of {} completed, {:?}",
            fair.totals[0].lost(),
            fair.completed,
            unfair.completed,
            fair.retry_range
        );
        assert!(of_unfair > 0.33, "{of_unfair:.3}");
        assert!(of_fair <= of_share + 0.05, "{of_fair:.3} {of_share:.3}");
        for totals in &fair.totals[1..] {
            assert!(totals.lost() <= of_share + 0.08, "{totals:?}");
        }
        let mean = f64::from(sum(&fair.totals[1..]).admitted) / 9.0;
        assert!(
            f64::from(fair.totals[0].admitted) >= mean,
            "it has its share"
        );
        // No more than that stays empty.
        assert!(f64::from(fair.completed) >= 0.92 * f64::from(unfair.completed));
        let (shortest, longest) = fair.retry_range;
        assert!(shortest >= Duration::from_millis(60) && longest <= Duration::from_secs(3));
    }
}

// Guards against: what small customers do not use stays empty.
#[test]
fn arrive_one_beside_small_ones_gets_what_they_leave() {
    let loads = || {
        let small = (1..10).map(|_| Load::steady(1, ROOM_PER_S * 0.02));
        let large = Load::steady(1, ROOM_PER_S * 1.5);
        std::iter::once(large).chain(small).collect()
    };
    for instances in [1, 3] {
        let fair = run(instances, loads(), 3, true);
        let unfair = run(instances, loads(), 3, false);
        let (small, before) = (
            sum(&fair.totals[1..]).lost(),
            sum(&unfair.totals[1..]).lost(),
        );
        println!(
            "{instances}: small lost {small:.3}, {before:.3} unfair; {} of {}",
            fair.completed, unfair.completed
        );
        assert!(small < before * 0.7, "{small:.3} {before:.3}");
        assert!(f64::from(fair.completed) >= 0.92 * f64::from(unfair.completed));
    }
}

// Guards against: urgent requests of a customer beyond its share make room for less urgent ones.
#[test]
fn arrive_two_priorities_the_more_urgent_go_first() {
    let loads = || {
        let per_s = |number: usize| match number {
            0 => 0.6 * ROOM_PER_S,
            5 => 0.5 * ROOM_PER_S,
            1..5 => 0.07 * ROOM_PER_S,
            _ => 0.055 * ROOM_PER_S,
        };
        let load = |number: usize| Load::steady(if number < 5 { 0 } else { 2 }, per_s(number));
        (0..10).map(load).collect::<Vec<_>>()
    };
    for instances in [1, 3] {
        let fair = run(instances, loads(), 4, true);
        let unfair = run(instances, loads(), 4, false);
        let of = |run: &FairRun| (sum(&run.totals[..5]), sum(&run.totals[5..]));
        let ((urgent, other), (urgent_before, other_before)) = (of(&fair), of(&unfair));
        println!(
            "{instances}: {urgent:?} {:.3} {other:?} {:.3}; unfair {:.3} {:.3}",
            urgent.lost(),
            other.lost(),
            urgent_before.lost(),
            other_before.lost()
        );
        println!(
            "small urgent {:.3}, unfair {:.3}; small other {:.3}, unfair {:.3}",
            sum(&fair.totals[1..5]).lost(),
            sum(&unfair.totals[1..5]).lost(),
            sum(&fair.totals[6..]).lost(),
            sum(&unfair.totals[6..]).lost()
        );
        assert!(urgent.lost() <= urgent_before.lost() + 0.02);
        assert!(sum(&fair.totals[1..5]).lost() < sum(&unfair.totals[1..5]).lost());
        assert!(urgent.lost() < other.lost());
    }
}

#[test]
fn arrive_equal_customers_with_too_little_room_lose_alike() {
    let loads = || {
        let load = |_| Load::steady(1, 0.16 * ROOM_PER_S);
        (0..10).map(load).collect::<Vec<_>>()
    };
    for instances in [1, 3] {
        let fair = run(instances, loads(), 5, true);
        let unfair = run(instances, loads(), 5, false);
        let lost: Vec<f64> = fair.totals.iter().map(Totals::lost).collect();
        let least = lost.iter().copied().fold(1.0, f64::min);
        let most = lost.iter().copied().fold(0.0, f64::max);
        println!(
            "{instances}: {least:.3} to {most:.3}; {} of {}; {:?}",
            fair.completed,
            unfair.completed,
            sum(&fair.totals)
        );
        assert!(most - least <= 0.05, "{lost:?}");
        assert!(f64::from(fair.completed) >= 0.95 * f64::from(unfair.completed));
    }
}

#[test]
fn arrive_customer_alone_is_never_withheld() {
    let loads = || vec![Load::steady(1, 1.6 * ROOM_PER_S)];
    let fair = run(1, loads(), 6, true);
    let unfair = run(1, loads(), 6, false);
    assert_eq!(fair.totals[0].withheld, 0);
    assert_eq!(fair.totals[0].admitted, unfair.totals[0].admitted);
}

#[test]
fn arrive_room_for_all_nobody_is_refused() {
    let load = |number: usize| Load::steady(1, ROOM_PER_S * if number == 0 { 0.2 } else { 0.02 });
    for instances in [1, 3] {
        let run = run(instances, (0..10).map(load).collect(), 7, true);
        let all = sum(&run.totals);
        assert_eq!((all.withheld, all.busy), (0, 0), "{all:?}");
    }
}

// Guards against: shares of a burst bind after it.
#[test]
fn arrive_after_a_burst_nobody_is_refused_within_3_s() {
    for instances in [1, 3] {
        let load = |number: usize| Load {
            priority: 1,
            per_s: Box::new(move |now_ms| {
                let usual = 0.03 * ROOM_PER_S;
                let is_burst = number == 0 && (10_000..20_000).contains(&now_ms);
                if is_burst { 50.0 * usual } else { usual }
            }),
        };
        let mut run = FairRun::new(instances, (0..10).map(load).collect(), 8, true);
        run.run(40_000, 23_000);
        let all = sum(&run.totals);
        println!("last withheld at {} ms", run.last_withheld_ms);
        assert!(run.last_withheld_ms > 10_000, "the burst was withheld");
        assert_eq!((all.withheld, all.busy), (0, 0), "{all:?}");
    }
}

// Guards against: a leftover of requests long ago. One request is forgotten after about 9 s.
#[test]
fn len_grows_with_customers_seen_lately_only() {
    let mut shares = FairShares::default();
    let class = FairClass::new("catalog", 1);
    for number in 0..40_000 {
        let now = boot_time(number);
        let key = FairCustomer::new(&format!("customer-{number}"));
        assert_eq!(shares.arrive(class, key, now), Places::All, "{number}");
        match number % 4 {
            0 => shares.run_short(class, now),
            _ => shares.admit(class, key, now),
        }
        assert!(shares.len() <= 10_300, "{}", shares.len());
    }
    let key = FairCustomer::new("last");
    shares.arrive(class, key, boot_time(60_000));
    assert_eq!(shares.len(), 1);
}

// Guards against: a place that was given back counts on.
#[test]
fn give_back_frees_the_share() {
    let mut shares = FairShares::default();
    let class = FairClass::new("catalog", 1);
    let (large, small) = (FairCustomer::new("large"), FairCustomer::new("small"));
    let now = boot_time(0);
    for _ in 0..10 {
        shares.arrive(class, small, now);
    }
    for _ in 0..30 {
        shares.arrive(class, large, now);
        shares.admit(class, large, now);
    }
    shares.run_short(class, now);
    assert_eq!(shares.arrive(class, large, now), Places::Spare);
    let refusal = shares.refuse(class, large, Places::Spare, now);
    let FairRefusal::OverShare { standing, .. } = refusal else {
        panic!("{refusal:?}");
    };
    assert!(
        standing.admitted_per_s > standing.share_per_s,
        "{standing:?}"
    );
    assert_eq!(
        refusal.to_string(),
        "share 5.0, had 7.5, wanted 7.8 a second, decided 0 ms ago"
    );
    for _ in 0..30 {
        shares.give_back(class, large, now, now);
    }
    assert_eq!(shares.standing(large, now).unwrap().admitted_per_s, 0.0);
    assert_eq!(shares.arrive(class, large, now), Places::All);
}
