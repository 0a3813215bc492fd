//! Drained and leaving upstreams: they get fewer or no new requests and finish the earlier ones.

mod choice_setup;

use choice_setup::*;
use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{CandidateReason, NoSlotReason, OwnedUpstream};
use tokio::task::yield_now;

const DRAINED: UpstreamId = UpstreamId(0);

fn moved(id: u32, slots: u16, moved_permille: u16) -> OwnedUpstream {
    OwnedUpstream {
        moved_permille,
        ..owned(id, slots)
    }
}

#[tokio::test(start_paused = true)]
async fn configure_fully_moved_accepts_no_requests() {
    let pool = warm(&[owned(0, 3)]).await;
    let running = take(&pool);
    pool.configure(in_ms(0), &[moved(0, 3, 1_000)]);
    assert_eq!(reason(&pool, 0), CandidateReason::Draining);
    assert_eq!(
        refusal(&pool, in_ms(900), &[]).await,
        NoSlotReason::NoUpstream
    );
    assert!(!pool.is_drained(DRAINED));
    running.finish(answered(10));
    assert!(pool.is_drained(DRAINED));
}

#[tokio::test(start_paused = true)]
async fn configure_partly_moved_moves_that_share() {
    let pool = warm(&[owned(0, 10), owned(1, 10)]).await;
    pool.configure(in_ms(0), &[moved(0, 10, 500), owned(1, 10)]);
    let count = (0..4_000)
        .filter(|_| take(&pool).upstream() == DRAINED)
        .count();
    assert!((900..1_100).contains(&count), "{count} of 4000");
    let slots = take_all(&pool);
    assert_eq!(
        slots
            .iter()
            .filter(|slot| slot.upstream() == DRAINED)
            .count(),
        5
    );
}

#[tokio::test(start_paused = true)]
async fn configure_leaving_accepts_no_requests() {
    let pool = warm(&several(2, 2)).await;
    let leaving = OwnedUpstream {
        leaving: true,
        ..owned(0, 2)
    };
    pool.configure(in_ms(0), &[leaving, owned(1, 2)]);
    assert!(
        take_all(&pool)
            .iter()
            .all(|slot| slot.upstream() != DRAINED)
    );
    assert!(pool.is_drained(DRAINED));
}

#[tokio::test(start_paused = true)]
async fn configure_undrained_serves_the_queue() {
    let pool = warm(&[owned(0, 1), owned(1, 1)]).await;
    pool.configure(in_ms(0), &[moved(0, 1, 1_000), owned(1, 1)]);
    let _running = take(&pool);
    let other = pool.clone();
    let waiting = tokio::spawn(async move { other.acquire(SERVICE, in_ms(900), &[]).await });
    yield_now().await;
    pool.configure(in_ms(0), &[owned(0, 1), owned(1, 1)]);
    assert_eq!(waiting.await.unwrap().unwrap().upstream(), DRAINED);
}
