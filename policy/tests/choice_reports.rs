//! Load reports of upstreams that are late, wrong or missing.

mod choice_setup;

use choice_setup::*;
use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{CandidateReason, UpstreamState};

const UPSTREAM: UpstreamId = UpstreamId(0);

#[tokio::test(start_paused = true)]
async fn report_of_other_requests_reduces_free_slots() {
    let pool = warm(&[owned(0, 9)]).await;
    pool.report(UPSTREAM, report(4, 9, UpstreamState::Ready), in_ms(0));
    assert_eq!(pool.slot_counts(SERVICE).free, 5);
    let running: Vec<_> = std::iter::repeat_with(|| take(&pool)).take(5).collect();
    assert_eq!(reason(&pool, 0), CandidateReason::Reported);
    drop(running);
}

#[tokio::test(start_paused = true)]
async fn report_of_own_requests_keeps_slots_free() {
    let pool = warm(&[owned(0, 9)]).await;
    let running: Vec<_> = (0..6).map(|_| take(&pool)).collect();
    drop(running);
    pool.report(UPSTREAM, report(6, 9, UpstreamState::Ready), in_ms(0));
    assert_eq!(pool.slot_counts(SERVICE).free, 9);
}

#[tokio::test(start_paused = true)]
async fn report_missing_keeps_last_count() {
    let pool = warm(&[owned(0, 9)]).await;
    pool.report(UPSTREAM, report(4, 9, UpstreamState::Ready), in_ms(0));
    pool.report_missing(UPSTREAM, in_ms(0));
    assert_eq!(pool.slot_counts(SERVICE).free, 5);
    advance_ms(60_000).await;
    assert_eq!(pool.slot_counts(SERVICE).free, 5);
}

#[tokio::test(start_paused = true)]
async fn report_failing_expires() {
    let pool = warm(&[owned(0, 9)]).await;
    pool.report(UPSTREAM, report(0, 9, UpstreamState::Failing), in_ms(0));
    assert_eq!(reason(&pool, 0), CandidateReason::Reported);
    advance_ms(3_000).await;
    assert_eq!(reason(&pool, 0), CandidateReason::HasRoom);
}

#[tokio::test(start_paused = true)]
async fn report_late_does_not_replace_newer() {
    let pool = warm(&[owned(0, 9)]).await;
    let earlier = in_ms(0);
    pool.report(UPSTREAM, report(4, 9, UpstreamState::Ready), in_ms(10));
    pool.report(UPSTREAM, report(9, 9, UpstreamState::Leaving), earlier);
    assert_eq!(pool.slot_counts(SERVICE).free, 5);
}

#[tokio::test(start_paused = true)]
async fn report_leaving_accepts_no_requests() {
    let pool = warm(&several(2, 3)).await;
    let running = pool.try_acquire(SERVICE, &[UpstreamId(1)]).unwrap();
    pool.report(UPSTREAM, report(1, 3, UpstreamState::Leaving), in_ms(0));
    assert_eq!(reason(&pool, 0), CandidateReason::Leaving);
    advance_ms(5_000).await;
    assert!(
        take_all(&pool)
            .iter()
            .all(|slot| slot.upstream() != UPSTREAM)
    );
    assert!(!pool.is_drained(UPSTREAM));
    running.finish(answered(10));
    assert!(pool.is_drained(UPSTREAM));
}

#[tokio::test(start_paused = true)]
async fn report_full_is_overruled_by_answers() {
    for state in [UpstreamState::Ready, UpstreamState::Failing] {
        let pool = warm(&[owned(0, 4)]).await;
        pool.report(UPSTREAM, report(4, 4, state), in_ms(0));
        let mut running = vec![take(&pool)];
        assert!(
            pool.try_acquire(SERVICE, &[]).is_none(),
            "one probe at a time"
        );
        while let Some(probe) = running.pop() {
            probe.finish(answered(10));
            running.extend(take_all(&pool));
            if running.len() == 4 {
                break;
            }
        }
        assert_eq!(running.len(), 4);
    }
}

#[tokio::test(start_paused = true)]
async fn report_full_is_probed_only_as_last_resort() {
    let pool = warm(&several(2, 2)).await;
    pool.report(UPSTREAM, report(2, 2, UpstreamState::Ready), in_ms(0));
    let chosen: Vec<u32> = take_all(&pool)
        .iter()
        .map(|slot| slot.upstream().0)
        .collect();
    assert_eq!(chosen, [1, 1, 0]);
}

#[tokio::test(start_paused = true)]
async fn report_cold_closes_slots_once() {
    let pool = warm(&[owned(0, 9)]).await;
    pool.report(UPSTREAM, report(0, 9, UpstreamState::Cold), in_ms(0));
    assert_eq!(
        reason(&pool, 0),
        CandidateReason::Cold { open: 1, slots: 9 }
    );
    take(&pool).finish(answered(10));
    pool.report(UPSTREAM, report(0, 9, UpstreamState::Cold), in_ms(1));
    assert_eq!(
        reason(&pool, 0),
        CandidateReason::Cold { open: 2, slots: 9 }
    );
}

#[tokio::test(start_paused = true)]
async fn report_after_take_over_frees_assumed_slots() {
    let pool = warm(&[owned(0, 9)]).await;
    pool.assume_taken(UPSTREAM, 8, in_ms(30_000));
    assert_eq!(pool.slot_counts(SERVICE).free, 1);
    advance_ms(10).await;
    pool.report(UPSTREAM, report(2, 9, UpstreamState::Ready), in_ms(0));
    assert_eq!(pool.slot_counts(SERVICE).free, 7);
}
