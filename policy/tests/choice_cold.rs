//! Slow start of cold upstreams: how answers, time and warm hand-overs open their slots.

mod choice_setup;

use choice_setup::*;
use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{CandidateReason, Pool, PoolSettings};

#[tokio::test(start_paused = true)]
async fn configure_new_upstream_starts_with_one_slot() {
    let pool = warm(&several(1, 9)).await;
    pool.configure(in_ms(0), &several(2, 9));
    assert_eq!(reason(&pool, 0), CandidateReason::HasRoom);
    assert_eq!(
        reason(&pool, 1),
        CandidateReason::Cold { open: 1, slots: 9 }
    );
    assert_eq!(take_all(&pool).len(), 10);
}

#[tokio::test(start_paused = true)]
async fn finish_fast_answers_open_slots() {
    let pool = Pool::new(PoolSettings::default());
    pool.configure(in_ms(0), &[owned(0, 9)]);
    let mut rounds = 0;
    while pool.slot_counts(SERVICE).total < 9 {
        take_all(&pool)
            .into_iter()
            .for_each(|slot| slot.finish(answered(10)));
        rounds += 1;
    }
    assert_eq!(rounds, 4);
}

#[tokio::test(start_paused = true)]
async fn finish_slow_answers_open_fewer_slots() {
    let pool = warm(&several(1, 9)).await;
    let other = [UpstreamId(0)];
    for _ in 0..50 {
        take(&pool).finish(answered(10));
    }
    pool.configure(in_ms(0), &several(2, 9));
    for _ in 0..3 {
        pool.try_acquire(SERVICE, &other)
            .unwrap()
            .finish(answered(60));
    }
    assert_eq!(
        reason(&pool, 1),
        CandidateReason::Cold { open: 1, slots: 9 }
    );
}

#[tokio::test(start_paused = true)]
async fn slot_counts_of_cold_upstream_grow_with_time() {
    let pool = Pool::new(PoolSettings::default());
    pool.configure(in_ms(0), &[owned(0, 9)]);
    advance_ms(5_000).await;
    assert_eq!(pool.slot_counts(SERVICE).total, 4);
    advance_ms(5_000).await;
    assert_eq!(pool.slot_counts(SERVICE).total, 9);
}

#[tokio::test(start_paused = true)]
async fn acquire_waits_until_time_opens_a_slot() {
    let pool = Pool::new(PoolSettings::default());
    pool.configure(in_ms(0), &[owned(0, 9)]);
    let _running = take(&pool);
    let slot = pool.acquire(SERVICE, in_ms(9_000), &[]).await.unwrap();
    assert_eq!(slot.upstream(), UpstreamId(0));
    assert_eq!(pool.in_flight(UpstreamId(0)), 2);
}

#[tokio::test(start_paused = true)]
async fn assume_warm_opens_every_slot() {
    let pool = Pool::new(PoolSettings::default());
    pool.configure(in_ms(0), &[owned(0, 9)]);
    pool.assume_warm(UpstreamId(0));
    assert_eq!(take_all(&pool).len(), 9);
}
