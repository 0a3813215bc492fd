//! Seeded runs of several instances that share a cap under faults.

mod support;

use support::share_run::{Planted, ShareRun};

const RUN_MS: u64 = 60_000;

/// Returns the largest excess over the cap and the number of grants that were used.
fn run_seeds(seeds: impl Iterator<Item = u64>, planted: Planted) -> (u64, u64) {
    let mut worst = 0;
    let mut grants = 0;
    for seed in seeds {
        let mut run = ShareRun::new(seed, planted);
        let excess = run.run(RUN_MS);
        if planted == Planted::Nothing {
            assert_eq!(excess, 0, "seed {seed}");
            assert!(run.checker.total > 0, "seed {seed} spent nothing");
        }
        println!(
            "seed {seed}: {} spent, {excess} too many",
            run.checker.total
        );
        worst = worst.max(excess);
        grants += run.grants_used;
    }
    (worst, grants)
}

#[test]
fn spend_random_faults_never_exceeds_cap() {
    let (_, grants) = run_seeds((0..40).chain(1_020..1_025), Planted::Nothing);
    assert!(grants > 100, "only {grants} grants were used");
}

#[test]
fn checker_lender_counts_back_early_is_caught() {
    let (worst, _) = run_seeds(0..20, Planted::CountedBackEarly);
    assert!(worst > 0);
}

#[test]
fn checker_borrower_times_from_arrival_is_caught() {
    let (worst, _) = run_seeds(0..40, Planted::TimedFromArrival);
    assert!(worst > 0);
}

#[test]
fn checker_restart_without_fence_is_caught() {
    let (worst, _) = run_seeds(0..20, Planted::RestartedUnfenced);
    assert!(worst > 0);
}
