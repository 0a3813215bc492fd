//! Choice by latency: fast upstreams are preferred, and waited for when that pays off.

mod choice_setup;

use std::time::Duration;

use choice_setup::*;
use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{Pool, PoolSettings};
use tokio::task::yield_now;

const SLOW: UpstreamId = UpstreamId(0);
const FAST: UpstreamId = UpstreamId(1);

async fn pool_with_slow_upstream() -> Pool {
    let pool = warm(&several(2, 2)).await;
    for _ in 0..30 {
        pool.try_acquire(SERVICE, &[FAST])
            .unwrap()
            .finish(answered(200));
        pool.try_acquire(SERVICE, &[SLOW])
            .unwrap()
            .finish(answered(10));
    }
    pool
}

#[tokio::test(start_paused = true)]
async fn try_acquire_prefers_fast_upstream() {
    let pool = pool_with_slow_upstream().await;
    let chosen: Vec<_> = take_all(&pool).iter().map(|slot| slot.upstream()).collect();
    assert_eq!(chosen, [FAST, FAST, SLOW, SLOW]);
}

#[tokio::test(start_paused = true)]
async fn explain_latency_of_slow_upstream_decays() {
    let pool = pool_with_slow_upstream().await;
    let latency = |pool: &Pool| pool.explain(SERVICE)[0].latency;
    assert_eq!(latency(&pool), Duration::from_millis(200));
    advance_ms(60_000).await;
    assert!(latency(&pool) < Duration::from_millis(120));
}

#[tokio::test(start_paused = true)]
async fn acquire_waits_for_fast_upstream() {
    let pool = pool_with_slow_upstream().await;
    let mut running = vec![take(&pool), take(&pool)];
    let other = pool.clone();
    let waiting = tokio::spawn(async move { other.acquire(SERVICE, in_ms(2_000), &[]).await });
    yield_now().await;
    assert_eq!(pool.slot_counts(SERVICE).queued, 1);
    running.pop().unwrap().finish(answered(10));
    assert_eq!(waiting.await.unwrap().unwrap().upstream(), FAST);
}

#[tokio::test(start_paused = true)]
async fn acquire_takes_slow_upstream_if_fast_one_hangs() {
    let pool = pool_with_slow_upstream().await;
    let _hanging = [take(&pool), take(&pool)];
    let before = in_ms(0);
    let slot = pool.acquire(SERVICE, in_ms(2_000), &[]).await.unwrap();
    assert_eq!(slot.upstream(), SLOW);
    assert!(in_ms(0) - before < Duration::from_millis(400));
}

#[tokio::test(start_paused = true)]
async fn try_acquire_fast_skips_slow_upstream() {
    let pool = pool_with_slow_upstream().await;
    let _running = [take(&pool), take(&pool)];
    assert!(pool.try_acquire_fast(SERVICE, &[]).is_none());
    assert_eq!(take(&pool).upstream(), SLOW);
}

#[tokio::test(start_paused = true)]
async fn try_acquire_finds_fast_upstreams_among_slow_ones() {
    let pool = warm(&several(4, 2)).await;
    for _ in 0..30 {
        for id in 0..4 {
            let others: Vec<_> = (0..4).filter(|o| *o != id).map(UpstreamId).collect();
            let ms = if id < 2 { 200 } else { 10 };
            let slot = pool.try_acquire(SERVICE, &others).unwrap();
            slot.finish(answered(ms));
        }
    }
    let chosen: Vec<_> = take_all(&pool).iter().map(|s| s.upstream().0).collect();
    assert!(chosen[..4].iter().all(|id| *id >= 2), "{chosen:?}");
}

#[tokio::test(start_paused = true)]
async fn try_acquire_avoids_upstream_that_stopped_answering() {
    let pool = warm(&several(2, 4)).await;
    let unanswered = pool.try_acquire(SERVICE, &[FAST]).unwrap();
    advance_ms(500).await;
    let chosen: Vec<_> = (0..4).map(|_| take(&pool)).collect();
    assert!(chosen.iter().all(|slot| slot.upstream() == FAST));
    drop((unanswered, chosen));
}

#[tokio::test(start_paused = true)]
async fn hedge_delay_follows_slowest_answers() {
    let pool = warm(&[owned(0, 2)]).await;
    let initial = Duration::from_millis(PoolSettings::default().initial_hedge_delay_ms);
    assert_eq!(pool.hedge_delay(SERVICE), initial);
    for number in 0..100 {
        let ms = if number < 90 { 10 } else { 80 };
        take(&pool).finish(answered(ms));
    }
    let delay = pool.hedge_delay(SERVICE);
    assert!(delay >= Duration::from_millis(79) && delay <= Duration::from_millis(82));
}
