//! Ejection and recovery of upstreams whose requests fail.

mod choice_setup;

use choice_setup::*;
use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{AttemptOutcome, CandidateReason, Pool, UpstreamState};

const FAILING: UpstreamId = UpstreamId(0);
const HEALTHY: UpstreamId = UpstreamId(1);

fn finish_on_failing(pool: &Pool, outcome: AttemptOutcome) {
    pool.try_acquire(SERVICE, &[HEALTHY])
        .unwrap()
        .finish(outcome);
}

#[tokio::test(start_paused = true)]
async fn finish_refused_ejects_immediately() {
    let pool = warm(&several(2, 2)).await;
    finish_on_failing(&pool, AttemptOutcome::Refused);
    assert_eq!(reason(&pool, 0), CandidateReason::Failing);
    assert!(
        take_all(&pool)
            .iter()
            .all(|slot| slot.upstream() == HEALTHY)
    );
}

#[tokio::test(start_paused = true)]
async fn finish_failed_once_does_not_eject() {
    let pool = warm(&several(2, 2)).await;
    finish_on_failing(&pool, AttemptOutcome::Failed);
    assert_eq!(reason(&pool, 0), CandidateReason::HasRoom);
    finish_on_failing(&pool, answered(10));
    finish_on_failing(&pool, AttemptOutcome::Failed);
    assert_eq!(reason(&pool, 0), CandidateReason::HasRoom);
    finish_on_failing(&pool, AttemptOutcome::Failed);
    assert_eq!(reason(&pool, 0), CandidateReason::Failing);
}

#[tokio::test(start_paused = true)]
async fn finish_timed_out_three_times_ejects() {
    // The slot of a request that timed out stays taken for a short time.
    let pool = warm(&several(2, 4)).await;
    for _ in 0..2 {
        finish_on_failing(&pool, AttemptOutcome::TimedOut);
        assert_eq!(reason(&pool, 0), CandidateReason::HasRoom);
    }
    finish_on_failing(&pool, AttemptOutcome::TimedOut);
    assert_eq!(reason(&pool, 0), CandidateReason::Failing);
}

#[tokio::test(start_paused = true)]
async fn finish_failed_requests_of_one_crash_eject_once() {
    let pool = warm(&several(2, 5)).await;
    let running: Vec<_> = (0..5)
        .map(|_| pool.try_acquire(SERVICE, &[HEALTHY]).unwrap())
        .collect();
    running
        .into_iter()
        .for_each(|slot| slot.finish(AttemptOutcome::Failed));
    advance_ms(250).await;
    assert_eq!(reason(&pool, 0), CandidateReason::Probing);
}

#[tokio::test(start_paused = true)]
async fn acquire_after_ejection_sends_one_probe() {
    let pool = warm(&several(2, 4)).await;
    finish_on_failing(&pool, AttemptOutcome::Refused);
    advance_ms(250).await;
    let slots = take_all(&pool);
    let probes = slots
        .iter()
        .filter(|slot| slot.upstream() == FAILING)
        .count();
    assert_eq!((slots.len(), probes), (5, 1));
    assert!(
        slots
            .iter()
            .all(|slot| slot.is_probe() == (slot.upstream() == FAILING))
    );
    slots.into_iter().for_each(|slot| slot.finish(answered(10)));
    assert_eq!(
        reason(&pool, 0),
        CandidateReason::Cold { open: 2, slots: 4 }
    );
}

#[tokio::test(start_paused = true)]
async fn finish_failed_probe_doubles_ejection() {
    let pool = warm(&several(2, 4)).await;
    finish_on_failing(&pool, AttemptOutcome::Refused);
    for period_ms in [250, 500, 1_000] {
        advance_ms(period_ms - 1).await;
        assert_eq!(reason(&pool, 0), CandidateReason::Failing);
        advance_ms(1).await;
        finish_on_failing(&pool, AttemptOutcome::Refused);
    }
    advance_ms(1_999).await;
    assert_eq!(reason(&pool, 0), CandidateReason::Failing);
}

#[tokio::test(start_paused = true)]
async fn drop_of_probe_allows_next_probe() {
    let pool = warm(&several(2, 4)).await;
    finish_on_failing(&pool, AttemptOutcome::Refused);
    advance_ms(250).await;
    drop(pool.try_acquire(SERVICE, &[HEALTHY]).unwrap());
    assert!(pool.try_acquire(SERVICE, &[HEALTHY]).is_some());
}

#[tokio::test(start_paused = true)]
async fn try_acquire_all_failing_uses_least_recently_failed() {
    let pool = warm(&several(2, 8)).await;
    finish_on_failing(&pool, AttemptOutcome::Refused);
    advance_ms(10).await;
    pool.try_acquire(SERVICE, &[FAILING])
        .unwrap()
        .finish(AttemptOutcome::Refused);
    assert_eq!(take(&pool).upstream(), FAILING);
    assert_eq!(take_all(&pool).len(), 4);
}

#[tokio::test(start_paused = true)]
async fn report_ready_does_not_undo_ejection() {
    let pool = warm(&several(2, 4)).await;
    finish_on_failing(&pool, AttemptOutcome::Refused);
    pool.report(FAILING, report(0, 4, UpstreamState::Ready), in_ms(0));
    assert_eq!(reason(&pool, 0), CandidateReason::Failing);
}
