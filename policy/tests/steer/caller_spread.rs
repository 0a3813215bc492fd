//! Spread of callers over regions by the use of the links of their entry instances. The pattern: the
//! callers of three regions come in waves one after the other, so that the links of one region are
//! full while those of another are idle.

use std::collections::BTreeMap;
use std::f64::consts::TAU;
use std::time::Duration;

use laburnumdeal_policy::steer::{CallerSpread, LinkCapacity, LinkUse};
use tokio::time::Instant;

const REGIONS: [&str; 3] = ["cairo", "alex", "delta"];

/// Largest part of the requests of a region that may change their region within 2 s.
const MAX_REGION_SHIFT: f64 = 0.15;

const STEP: Duration = Duration::from_millis(100);

/// Steps after which callers use what they are told: they keep answers.
const DELAY_STEPS: usize = 25;

/// Time of one wave.
const PERIOD_S: f64 = 36.0;

/// Runs waves of callers for two periods. Returns the highest use of a region's links, the same
/// without the spread, and the largest change of a part within 2 s.
fn run_waves(mean_use: f64, swing: f64) -> (f64, f64, f64) {
    let start = Instant::now();
    let mut spreads = REGIONS.map(|_| CallerSpread::new(MAX_REGION_SHIFT));
    let mut history: Vec<[[f64; 3]; 3]> = Vec::new();
    let (mut highest, mut highest_alone, mut largest_change) = (0.0_f64, 0.0_f64, 0.0_f64);
    for step in 0..720 {
        let now = start + STEP * step;
        let seconds = STEP.as_secs_f64() * f64::from(step);
        let demand: Vec<f64> = (0..3)
            .map(|region| {
                let phase = f64::from(region) / 3.0 + seconds / PERIOD_S;
                mean_use * (1.0 + swing * (TAU * phase).sin())
            })
            .collect();
        let parts = history.len().checked_sub(DELAY_STEPS);
        let parts = parts.map_or([[0.0; 3]; 3], |index| history[index]);
        let mut uses = [0.0; 3];
        for (own, demand) in demand.iter().enumerate() {
            let away: f64 = parts[own].iter().sum();
            uses[own] += demand * (1.0 - away);
            for (other, part) in parts[own].iter().enumerate() {
                uses[other] += demand * part;
            }
        }
        let by_region: BTreeMap<String, f64> = REGIONS
            .iter()
            .zip(uses)
            .map(|(region, link_use)| ((*region).to_owned(), link_use))
            .collect();
        for (own, spread) in REGIONS.iter().zip(&mut spreads) {
            spread.update(own, &by_region, now);
        }
        let parts_of = |spread: &CallerSpread| REGIONS.map(|region| spread.part(region));
        history.push(std::array::from_fn(|own| parts_of(&spreads[own])));
        if let Some(earlier) = history.len().checked_sub(21) {
            for own in 0..3 {
                let before: f64 = history[earlier][own].iter().sum();
                largest_change = largest_change.max((spreads[own].total() - before).abs());
            }
        }
        // The first wave meets a spread that has not begun.
        if seconds >= PERIOD_S {
            highest = uses.iter().copied().fold(highest, f64::max);
            highest_alone = demand.iter().copied().fold(highest_alone, f64::max);
        }
    }
    (highest, highest_alone, largest_change)
}

#[test]
fn update_waves_that_go_round_are_flattened() {
    let (highest, highest_alone, largest_change) = run_waves(0.4, 0.55);
    println!("highest use {highest:.3}, without {highest_alone:.3}, change {largest_change:.3}");
    assert!(highest_alone > 0.61);
    assert!(highest < 0.55, "highest use {highest}");
    assert!(
        largest_change < MAX_REGION_SHIFT,
        "change {largest_change} in 2 s"
    );
}

#[test]
fn update_links_with_room_keep_all_callers() {
    let start = Instant::now();
    let mut spread = CallerSpread::new(MAX_REGION_SHIFT);
    let uses = BTreeMap::from([("cairo".to_owned(), 0.35), ("delta".to_owned(), 0.0)]);
    for step in 0..600 {
        spread.update("cairo", &uses, start + STEP * step);
    }
    assert_eq!(spread.total(), 0.0);
}

/// Where all links are busy, the callers of the other region would pay: none is pushed past what it
/// carries for those of another.
#[test]
fn update_links_that_are_all_busy_keep_all_callers() {
    let start = Instant::now();
    let mut spread = CallerSpread::new(MAX_REGION_SHIFT);
    let uses = BTreeMap::from([("cairo".to_owned(), 0.95), ("delta".to_owned(), 0.5)]);
    for step in 0..600 {
        spread.update("cairo", &uses, start + STEP * step);
    }
    assert_eq!(spread.total(), 0.0);
}

#[test]
fn update_bound_that_is_no_part_keeps_all_callers() {
    let start = Instant::now();
    let uses = BTreeMap::from([("cairo".to_owned(), 0.9), ("delta".to_owned(), 0.1)]);
    for bound in [-0.15, f64::NAN] {
        let mut spread = CallerSpread::new(bound);
        for step in 0..100 {
            spread.update("cairo", &uses, start + STEP * step);
        }
        assert_eq!(spread.total(), 0.0);
    }
}

#[test]
fn update_region_that_falls_silent_loses_its_callers() {
    let start = Instant::now();
    let mut spread = CallerSpread::new(MAX_REGION_SHIFT);
    let both = BTreeMap::from([("cairo".to_owned(), 0.9), ("delta".to_owned(), 0.1)]);
    let own_only = BTreeMap::from([("cairo".to_owned(), 0.9)]);
    for step in 0..200 {
        spread.update("cairo", &both, start + STEP * step);
    }
    let before = spread.part("delta");
    assert!(before > 0.2, "part {before}");
    for step in 200..800 {
        spread.update("cairo", &own_only, start + STEP * step);
    }
    assert_eq!(spread.total(), 0.0);
}

#[test]
fn fraction_steady_requests_take_their_part_of_the_link() {
    let (link, start) = (LinkCapacity::new(4.0), Instant::now());
    let mut link_use = LinkUse::default();
    // 25 requests a second with 9 kB and their heads on a link of 500 kB/s.
    for half_seconds in 0..40_u32 {
        let total_bytes = u64::from(half_seconds) * 125_000;
        link_use.update(
            total_bytes,
            start + Duration::from_millis(500) * half_seconds,
        );
    }
    let fraction = link_use.fraction(&link).unwrap();
    assert!((0.49..0.51).contains(&fraction), "{fraction}");
    link_use.update(39 * 125_000, start + Duration::from_secs(30));
    assert!(link_use.fraction(&link).unwrap() < 0.01);
}

#[test]
fn fraction_wide_link_is_no_limit() {
    let start = Instant::now();
    let mut link_use = LinkUse::default();
    link_use.update(0, start);
    link_use.update(1_000_000_000, start + Duration::from_secs(1));
    assert_eq!(link_use.fraction(&LinkCapacity::new(1_000.0)), None);
}
