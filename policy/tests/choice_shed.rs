//! Upstreams that shed requests: they get fewer requests, and probes raise the limit again.

mod choice_setup;

use choice_setup::*;
use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{AttemptOutcome, CandidateReason};

#[tokio::test(start_paused = true)]
async fn finish_shed_limits_upstream_to_its_running_requests() {
    let pool = warm(&[owned(0, 9)]).await;
    let mut running: Vec<_> = (0..5).map(|_| take(&pool)).collect();
    running.pop().unwrap().finish(AttemptOutcome::Shed);
    let expected = CandidateReason::ShedLately { open: 4, slots: 9 };
    assert_eq!(reason(&pool, 0), expected);
    assert!(pool.try_acquire(SERVICE, &[]).is_none());
    running.pop().unwrap().finish(answered(10));
    assert_eq!(take_all(&pool).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn finish_shed_again_halves_limit() {
    let pool = warm(&[owned(0, 9)]).await;
    let mut running: Vec<_> = (0..9).map(|_| take(&pool)).collect();
    running.pop().unwrap().finish(AttemptOutcome::Shed);
    running.pop().unwrap().finish(AttemptOutcome::Shed);
    drop(running);
    assert_eq!(take_all(&pool).len(), 4);
}

#[tokio::test(start_paused = true)]
async fn finish_shed_of_only_request_starts_backoff() {
    let pool = warm(&several(2, 3)).await;
    let other = [UpstreamId(1)];
    pool.try_acquire(SERVICE, &other)
        .unwrap()
        .finish(AttemptOutcome::Shed);
    assert_eq!(reason(&pool, 0), CandidateReason::Shed);
    assert!(pool.try_acquire(SERVICE, &other).is_none());
    advance_ms(100).await;
    let _probe = pool.try_acquire(SERVICE, &other).unwrap();
    assert!(pool.try_acquire(SERVICE, &other).is_none());
}

#[tokio::test(start_paused = true)]
async fn finish_answered_probes_raise_limit() {
    let pool = warm(&[owned(0, 6)]).await;
    let mut running: Vec<_> = (0..4).map(|_| take(&pool)).collect();
    running.pop().unwrap().finish(AttemptOutcome::Shed);
    for open in [4, 5] {
        assert_eq!(pool.slot_counts(SERVICE).free, 0);
        advance_ms(100).await;
        running.push(take(&pool));
        running.pop().unwrap().finish(answered(10));
        running.push(take(&pool));
        assert_eq!(running.len(), open);
    }
    drop(running);
    advance_ms(100).await;
    assert_eq!(take_all(&pool).len(), 6);
}

#[tokio::test(start_paused = true)]
async fn finish_shed_of_probe_doubles_backoff() {
    let pool = warm(&[owned(0, 6)]).await;
    let _running = [take(&pool), take(&pool)];
    take(&pool).finish(AttemptOutcome::Shed);
    for backoff_ms in [100, 200, 400] {
        advance_ms(backoff_ms - 1).await;
        assert!(pool.try_acquire(SERVICE, &[]).is_none());
        advance_ms(1).await;
        take(&pool).finish(AttemptOutcome::Shed);
    }
}

#[tokio::test(start_paused = true)]
async fn finish_shed_does_not_eject() {
    let pool = warm(&[owned(0, 6)]).await;
    for _ in 0..4 {
        take(&pool).finish(AttemptOutcome::Shed);
        advance_ms(2_000).await;
    }
    let expected = CandidateReason::ShedLately { open: 1, slots: 6 };
    assert_eq!(reason(&pool, 0), expected);
}
