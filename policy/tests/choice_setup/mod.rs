//! Pools and helpers shared by the tests of the choice of upstreams.
#![expect(dead_code, reason = "no test file uses every function")]

use std::time::Duration;

use laburnumdeal_model::{ServiceId, UpstreamId};
use laburnumdeal_policy::{
    AttemptOutcome, CandidateReason, LoadReport, NoSlotReason, OwnedUpstream, Pool, PoolSettings,
    Slot, UpstreamState,
};
use tokio::time::{Instant, advance};

pub const SERVICE: ServiceId = ServiceId(0);

pub fn owned(id: u32, slots: u16) -> OwnedUpstream {
    OwnedUpstream {
        id: UpstreamId(id),
        service: SERVICE,
        slots,
        connections: 330,
        moved_permille: 0,
        leaving: false,
    }
}

/// Returns `count` upstreams with `slots` slots each.
pub fn several(count: u32, slots: u16) -> Vec<OwnedUpstream> {
    (0..count).map(|id| owned(id, slots)).collect()
}

/// Returns a pool whose upstreams have every slot open.
pub async fn warm(upstreams: &[OwnedUpstream]) -> Pool {
    let pool = Pool::new(PoolSettings::default());
    pool.configure(Instant::now(), upstreams);
    advance_ms(PoolSettings::default().cold_start_ms).await;
    pool
}

pub async fn advance_ms(ms: u64) {
    advance(Duration::from_millis(ms)).await;
}

pub fn in_ms(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

pub fn take(pool: &Pool) -> Slot {
    pool.try_acquire(SERVICE, &[])
        .expect("an upstream has a free slot")
}

/// Takes slots until none is free.
pub fn take_all(pool: &Pool) -> Vec<Slot> {
    std::iter::from_fn(|| pool.try_acquire(SERVICE, &[])).collect()
}

pub fn answered(ms: u64) -> AttemptOutcome {
    AttemptOutcome::Answered {
        latency: Duration::from_millis(ms),
    }
}

pub fn report(in_flight: u32, slots: u32, state: UpstreamState) -> LoadReport {
    LoadReport {
        in_flight,
        slots,
        state,
    }
}

pub fn reason(pool: &Pool, id: u32) -> CandidateReason {
    let candidates = pool.explain(SERVICE);
    let candidate = candidates.iter().find(|c| c.upstream == UpstreamId(id));
    candidate.expect("the upstream is owned").reason
}

pub async fn refusal(pool: &Pool, deadline: Instant, exclude: &[UpstreamId]) -> NoSlotReason {
    let refused = pool.acquire(SERVICE, deadline, exclude).await;
    refused.expect_err("no slot is free").reason
}
