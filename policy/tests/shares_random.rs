//! Random runs with fixed seeds of several instances that share a cap under faults. The last tests
//! inject bugs to show that the checker detects them.

mod support;

use support::share_run::{InjectedBug, ShareRun};

const RUN_MS: u64 = 60_000;

/// Returns the largest excess over the cap and the number of grants that were used.
fn run_seeds(seeds: impl Iterator<Item = u64>, bug: InjectedBug) -> (u64, u64) {
    let mut worst = 0;
    let mut grants = 0;
    for seed in seeds {
        let mut run = ShareRun::new(seed, bug);
        let excess = run.run(RUN_MS);
        if bug == InjectedBug::None {
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
    let (_, grants) = run_seeds((0..40).chain(1_020..1_025), InjectedBug::None);
    assert!(grants > 100, "only {grants} grants were used");
}

#[test]
fn checker_detects_early_reclaim() {
    let (worst, _) = run_seeds(0..20, InjectedBug::EarlyReclaim);
    assert!(worst > 0);
}

#[test]
fn checker_detects_expiry_from_arrival() {
    let (worst, _) = run_seeds(0..40, InjectedBug::ExpiryFromArrival);
    assert!(worst > 0);
}

#[test]
fn checker_detects_missing_restart_reserve() {
    let (worst, _) = run_seeds(0..20, InjectedBug::NoRestartReserve);
    assert!(worst > 0);
}
