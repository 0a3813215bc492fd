//! Queue of the requests that wait for a slot.

mod choice_setup;

use std::time::Duration;

use choice_setup::*;
use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{Admission, AttemptOutcome, NoSlotReason, Pool, PoolCore, PoolSettings};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};

#[tokio::test(start_paused = true)]
async fn acquire_waits_in_order_of_arrival() {
    let pool = warm(&[owned(0, 1)]).await;
    let first = take(&pool);
    let mut waiting = Vec::new();
    let (sender, mut order) = tokio::sync::mpsc::unbounded_channel();
    for number in 0..2 {
        let (pool, sender) = (pool.clone(), sender.clone());
        waiting.push(tokio::spawn(async move {
            let slot = pool.acquire(SERVICE, in_ms(1_000), &[]).await.unwrap();
            sender.send(number).unwrap();
            slot.finish(answered(10));
        }));
        yield_now().await;
    }
    first.finish(answered(10));
    for handle in waiting {
        handle.await.unwrap();
    }
    assert_eq!((order.recv().await, order.recv().await), (Some(0), Some(1)));
}

#[tokio::test(start_paused = true)]
async fn acquire_that_cannot_finish_is_refused_immediately() {
    let pool = warm(&[owned(0, 1)]).await;
    let _slot = take(&pool);
    let before = in_ms(0);
    let refused = pool.acquire(SERVICE, in_ms(60), &[]).await.unwrap_err();
    assert_eq!(refused.reason, NoSlotReason::Deadline);
    assert!(refused.retry_after > Duration::ZERO);
    assert_eq!(in_ms(0), before);
}

#[tokio::test(start_paused = true)]
async fn acquire_gives_up_before_time_for_answer_is_over() {
    let pool = warm(&[owned(0, 1)]).await;
    let _slot = take(&pool);
    let before = in_ms(0);
    assert_eq!(
        refusal(&pool, in_ms(400), &[]).await,
        NoSlotReason::Deadline
    );
    assert_eq!(in_ms(0) - before, Duration::from_millis(350));
    assert_eq!(pool.slot_counts(SERVICE).queued, 0);
}

#[tokio::test(start_paused = true)]
async fn acquire_with_full_queue_is_refused_immediately() {
    let pool = warm(&[owned(0, 1)]).await;
    let _slot = take(&pool);
    for _ in 0..PoolSettings::default().queue_per_slot {
        let pool = pool.clone();
        tokio::spawn(async move { pool.acquire(SERVICE, in_ms(60_000), &[]).await });
        yield_now().await;
    }
    let refused = pool.acquire(SERVICE, in_ms(60_000), &[]).await.unwrap_err();
    assert_eq!(refused.reason, NoSlotReason::QueueFull);
    assert_eq!(
        refused.retry_after,
        Duration::from_millis(150),
        "three service times"
    );
}

#[tokio::test(start_paused = true)]
async fn acquire_without_upstream_is_refused_immediately() {
    let pool = Pool::new(PoolSettings::default());
    assert_eq!(
        refusal(&pool, in_ms(900), &[]).await,
        NoSlotReason::NoUpstream
    );
    let pool = warm(&[owned(0, 1)]).await;
    let excluded = [UpstreamId(0)];
    assert_eq!(
        refusal(&pool, in_ms(900), &excluded).await,
        NoSlotReason::NoUpstream
    );
}

#[tokio::test(start_paused = true)]
async fn acquire_dropped_while_waiting_leaves_queue() {
    let pool = warm(&[owned(0, 1)]).await;
    let slot = take(&pool);
    let waiting = pool.acquire(SERVICE, in_ms(900), &[]);
    assert!(timeout(Duration::from_millis(5), waiting).await.is_err());
    assert_eq!(pool.slot_counts(SERVICE).queued, 0);
    slot.finish(answered(10));
    assert_eq!(pool.slot_counts(SERVICE).free, 1);
}

#[tokio::test(start_paused = true)]
async fn acquire_dropped_after_grant_frees_slot() {
    let pool = warm(&[owned(0, 1)]).await;
    let slot = take(&pool);
    let other = pool.clone();
    let waiting = tokio::spawn(async move { other.acquire(SERVICE, in_ms(900), &[]).await });
    yield_now().await;
    slot.finish(answered(10));
    assert_eq!(pool.in_flight(UpstreamId(0)), 1);
    waiting.abort();
    assert!(waiting.await.unwrap_err().is_cancelled());
    assert_eq!(pool.in_flight(UpstreamId(0)), 0);
}

#[tokio::test(start_paused = true)]
async fn acquire_with_exclusion_does_not_block_later_requests() {
    let pool = warm(&several(2, 1)).await;
    let slots = take_all(&pool);
    let other = pool.clone();
    let head = tokio::spawn(async move {
        let exclude = [UpstreamId(0)];
        other
            .acquire(SERVICE, in_ms(900), &exclude)
            .await
            .unwrap()
            .upstream()
    });
    yield_now().await;
    let other = pool.clone();
    let next = tokio::spawn(async move { other.acquire(SERVICE, in_ms(900), &[]).await });
    yield_now().await;
    let (zero, one): (Vec<_>, Vec<_>) = slots.into_iter().partition(|s| s.upstream().0 == 0);
    drop(zero);
    assert_eq!(next.await.unwrap().unwrap().upstream(), UpstreamId(0));
    one.into_iter()
        .for_each(|slot| slot.finish(AttemptOutcome::Cancelled));
    assert_eq!(head.await.unwrap(), UpstreamId(1));
}

#[tokio::test(start_paused = true)]
async fn acquire_wakes_when_assumed_slots_expire() {
    let pool = warm(&[owned(0, 1)]).await;
    pool.assume_taken(UpstreamId(0), 1, in_ms(300));
    let before = in_ms(0);
    assert!(pool.acquire(SERVICE, in_ms(900), &[]).await.is_ok());
    let waited = in_ms(0) - before;
    assert!((300..=301).contains(&waited.as_millis()), "{waited:?}");
}

#[tokio::test(start_paused = true)]
async fn acquire_wakes_when_ejection_ends() {
    let pool = warm(&[owned(0, 4)]).await;
    let running = [take(&pool)];
    take(&pool).finish(AttemptOutcome::Refused);
    let before = in_ms(0);
    assert!(pool.acquire(SERVICE, in_ms(900), &[]).await.is_ok());
    assert!((in_ms(0) - before).as_millis() <= 251);
    drop(running);
}

#[test]
fn admit_that_dispatches_queue_keeps_tickets_distinct() {
    let start = Instant::now();
    let mut core = PoolCore::new(PoolSettings::default());
    core.configure(start, &[owned(0, 1)]);
    core.assume_taken(UpstreamId(0), 1, start + Duration::from_millis(100), start);
    let deadline = start + Duration::from_secs(2);
    let mut queue_at = |after_ms| {
        let now = start + Duration::from_millis(after_ms);
        match core.admit(SERVICE, deadline, &[], now) {
            Admission::Queued { ticket, .. } => ticket,
            other => panic!("{other:?}"),
        }
    };
    let (first, second) = (queue_at(0), queue_at(100));
    assert_ne!(first.index(), second.index());
    assert_eq!(core.take_granted()[0].0, first);
}

/// Half of the answers take longer than the mean. A request that has only the mean left would be
/// cut off every second time, which costs a slot and leaves the outcome unknown.
#[tokio::test(start_paused = true)]
async fn acquire_with_time_for_mean_only_is_refused_immediately() {
    let pool = warm(&[owned(0, 2)]).await;
    for number in 0..40 {
        take(&pool).finish(answered(190 + 20 * (number % 2)));
    }
    let slots = take_all(&pool);
    let before = in_ms(0);
    let deadline = in_ms(100 + 205);
    assert_eq!(refusal(&pool, deadline, &[]).await, NoSlotReason::Deadline);
    assert_eq!(in_ms(0), before);
    assert_eq!(slots.len(), 2);
}
