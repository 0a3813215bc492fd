//! Random runs with fixed seeds: instances are cut off, suspended and restarted, messages are lost,
//! doubled and late, the bank changes its place, the limit is lowered. The last tests show that the
//! checker finds faults.

use std::time::Duration;

use laburnumdeal_model::Version;
use laburnumdeal_policy::customers::{QuotaBank, QuotaLimit, QuotaSettings};
use rand::Rng;

use crate::checker::Checker;
use crate::quota_run::{Link, QuotaRun};

const RUN_MS: u64 = 60_000;
const STEP_MS: u64 = 250;

/// Plays one run.
fn play(seed: u64, prepare: impl Fn(&mut QuotaRun)) -> Checker {
    let limit = QuotaLimit {
        milli_per_s: 1_000 * (5 + seed % 40),
        burst: seed % 30,
    };
    let count = 2 + (seed % 9) as usize;
    let mut run = QuotaRun::new(seed, count, limit);
    run.lost = 0.1;
    run.doubled = 0.1;
    run.late = 0.02;
    prepare(&mut run);
    let mut newest = (limit, Version(1));
    let mut lowered_at_ms = None;
    while run.now_ms < RUN_MS {
        upset(&mut run);
        if run.generator.random_bool(0.01) && lowered_at_ms.is_none() {
            run.commit();
            if run.committed() > newest.1 {
                newest.0.milli_per_s = newest.0.milli_per_s * 6 / 10;
                lowered_at_ms = Some(u64::MAX);
            }
        }
        if run.generator.random_bool(0.05) {
            run.commit();
        }
        newest.1 = run.committed();
        for number in 0..count {
            let Link {
                loses_asks,
                loses_replies,
            } = run.instances[number].link;
            if !loses_asks && !loses_replies && run.generator.random_bool(0.3) {
                run.instances[number].limit = newest;
            }
        }
        let all_know = run
            .instances
            .iter()
            .all(|instance| instance.limit.0 == newest.0);
        let window_ms = run.settings.window.as_millis() as u64;
        match lowered_at_ms {
            Some(u64::MAX) if all_know => lowered_at_ms = Some(run.now_ms),
            Some(at) if at != u64::MAX && run.now_ms > at + window_ms => {
                run.allowed = run.settings.max_requests(newest.0);
                lowered_at_ms = None;
            }
            _ => {}
        }
        run.run(STEP_MS);
    }
    run.checker
}

fn upset(run: &mut QuotaRun) {
    let number = run.generator.random_range(0..run.instances.len());
    let now_ms = run.now_ms;
    let until = now_ms + run.generator.random_range(100..7_000);
    match run.generator.random_range(0..30) {
        0..4 => run.instances[number].rate_per_s = run.generator.random_range(0.0..60.0),
        4 => run.instances[number].rate_per_s = 0.0,
        5 => run.instances[number].link.loses_asks = true,
        6 => run.instances[number].link.loses_replies = true,
        7..11 => run.instances[number].link = Link::default(),
        11 => run.instances[number].suspended_until_ms = until,
        12 => run.restart(number),
        13 => run.bank_suspended_until_ms = until,
        14 => run.leader = None,
        15..18 if run.leader.is_none() || run.generator.random_bool(0.1) => {
            let bank = run.generator.random_range(0..3);
            run.elect(bank, false);
        }
        _ => {}
    }
}

// Guards against: any window of 5 s with more requests of a customer than its limit, whatever is
// cut, lost, late, suspended, restarted or replaced; and a lease on keys that holds although a change
// that was confirmed 4 s ago has not arrived.
#[test]
fn admit_random_faults_never_exceeds_the_limit() {
    let (mut total, mut leases) = (0, 0);
    for seed in 0..100 {
        let checker = play(seed, |_| {});
        assert_eq!((checker.excess, checker.stale), (0, 0), "seed {seed}");
        total += checker.total;
        leases += checker.leases;
    }
    println!("{total} admitted, {leases} leases held");
    assert!(leases > 10_000, "only {leases} leases held");
    assert!(total > 10_000, "only {total} admitted");
}

fn worst(prepare: impl Fn(&mut QuotaRun)) -> usize {
    (0..40)
        .map(|seed| play(seed, &prepare).excess)
        .max()
        .unwrap()
}

// Shows that the checker finds a bank that gives a silent instance's share away too early.
#[test]
fn checker_detects_early_expiry() {
    let settings = QuotaSettings {
        share_length: Duration::ZERO,
        window: Duration::from_secs(5),
        ..QuotaSettings::default()
    };
    assert!(
        worst(|run| {
            run.banks = vec![QuotaBank::new(settings); 3];
            run.elect(0, true);
        }) > 0
    );
}

// Shows that the checker finds a new bank that takes nothing to be held.
#[test]
fn checker_detects_a_new_bank_that_raises_at_once() {
    assert!(worst(|run| run.forgets = true) > 0);
}

// Shows that the checker finds leases that count from the arrival of a proof.
#[test]
fn checker_detects_a_proof_from_its_arrival() {
    let stale = |seed| play(seed, |run| run.proves_from_arrival = true).stale;
    assert!((0..40).map(stale).sum::<usize>() > 0);
}
