//! Exact counts of requests against the slots of an upstream.

mod choice_setup;

use choice_setup::*;
use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{AttemptOutcome, CandidateReason, PoolSettings};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn try_acquire_stops_at_slots() {
    let pool = warm(&several(3, 4)).await;
    let slots = take_all(&pool);
    assert_eq!(slots.len(), 12);
    for id in 0..3 {
        assert_eq!(pool.in_flight(UpstreamId(id)), 4);
        assert_eq!(reason(&pool, id), CandidateReason::Full);
    }
}

#[tokio::test(start_paused = true)]
async fn try_acquire_stops_at_connections() {
    let mut upstream = owned(0, 9);
    upstream.connections = 2;
    assert_eq!(take_all(&warm(&[upstream]).await).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn try_acquire_skips_excluded() {
    let pool = warm(&several(2, 1)).await;
    let slot = pool.try_acquire(SERVICE, &[UpstreamId(0)]).unwrap();
    assert_eq!(slot.upstream(), UpstreamId(1));
    assert!(pool.try_acquire(SERVICE, &[UpstreamId(0)]).is_none());
}

#[tokio::test(start_paused = true)]
async fn drop_frees_slot() {
    let pool = warm(&[owned(0, 1)]).await;
    drop(take(&pool));
    assert_eq!(pool.in_flight(UpstreamId(0)), 0);
    assert_eq!(pool.slot_counts(SERVICE).free, 1);
}

#[tokio::test(start_paused = true)]
async fn configure_removed_keeps_count_until_requests_end() {
    let pool = warm(&several(2, 1)).await;
    let slots = take_all(&pool);
    pool.configure(in_ms(0), &[owned(1, 1)]);
    assert_eq!(pool.in_flight(UpstreamId(0)), 1);
    assert!(!pool.is_drained(UpstreamId(0)));
    drop(slots);
    assert!(pool.is_drained(UpstreamId(0)));
    assert_eq!(take(&pool).upstream(), UpstreamId(1));
}

#[tokio::test(start_paused = true)]
async fn assume_taken_counts_until_given_time() {
    let pool = warm(&[owned(0, 5)]).await;
    pool.assume_taken(UpstreamId(0), 3, in_ms(400));
    assert_eq!(take_all(&pool).len(), 2);
    advance_ms(400).await;
    assert_eq!(take_all(&pool).len(), 5);
}

#[tokio::test(start_paused = true)]
async fn drop_after_send_keeps_slot_for_linger_time() {
    let pool = warm(&[owned(0, 3)]).await;
    let mut slots = take_all(&pool);
    let mut aborted = slots.pop().unwrap();
    aborted.mark_sent();
    drop(aborted);
    assert!(pool.try_acquire(SERVICE, &[]).is_none());
    assert_eq!(reason(&pool, 0), CandidateReason::Assumed);
    advance_ms(PoolSettings::default().abort_linger_ms).await;
    assert_eq!(take_all(&pool).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn finish_timed_out_keeps_slot_for_linger_time() {
    let pool = warm(&several(2, 2)).await;
    let mut slots = take_all(&pool);
    slots.pop().unwrap().finish(AttemptOutcome::TimedOut);
    assert_eq!(take_all(&pool).len(), 0);
}

#[tokio::test(start_paused = true)]
async fn acquire_waits_for_slot_of_aborted_request() {
    let pool = warm(&[owned(0, 1)]).await;
    let mut aborted = take(&pool);
    aborted.mark_sent();
    drop(aborted);
    let asked_at = Instant::now();
    let slot = pool.acquire(SERVICE, in_ms(5_000), &[]).await;
    assert!(slot.is_ok());
    let waited = asked_at.elapsed().as_millis() as u64;
    let abort_linger_ms = PoolSettings::default().abort_linger_ms;
    assert!(
        (abort_linger_ms..abort_linger_ms + 10).contains(&waited),
        "{waited} ms"
    );
}
