use laburnumdeal_model::UpstreamId;

use crate::{AttemptOutcome, Pool, SlotGrant};

/// A slot of an upstream, held for one request. Dropping it frees the slot for the next queued
/// request: immediately if the request was not sent, otherwise after a short delay as for an
/// aborted attempt.
///
/// # Examples
///
/// ```
/// # use laburnumdeal_model::{ServiceId, UpstreamId};
/// # use laburnumdeal_policy::*;
/// # use tokio::time::{Duration, Instant};
/// # let (service, id) = (ServiceId(0), UpstreamId(0));
/// # let owned = OwnedUpstream {
/// #     id, service, slots: 3, connections: 9, moved_permille: 0, leaving: false,
/// # };
/// # let pool = Pool::new(PoolSettings::default());
/// # pool.configure(Instant::now(), &[owned]);
/// let slot = pool.try_acquire(service, &[]).unwrap();
/// assert_eq!((slot.upstream(), slot.is_probe()), (id, false));
/// slot.finish(AttemptOutcome::Answered { latency: Duration::from_millis(12) });
/// assert_eq!(pool.in_flight(id), 0);
/// ```
#[derive(Debug)]
pub struct Slot {
    pool: Pool,
    grant: Option<SlotGrant>,
    upstream: UpstreamId,
    on_drop: AttemptOutcome,
}

impl Slot {
    pub(crate) fn new(pool: Pool, grant: SlotGrant) -> Self {
        Self {
            pool,
            grant: Some(grant),
            upstream: grant.upstream,
            on_drop: AttemptOutcome::Cancelled,
        }
    }

    /// Marks the request as sent. Dropping the slot from now on counts as an aborted attempt.
    pub fn mark_sent(&mut self) {
        self.on_drop = AttemptOutcome::Aborted;
    }

    /// Returns the upstream that the slot belongs to.
    pub fn upstream(&self) -> UpstreamId {
        self.upstream
    }

    /// Returns whether the request probes an upstream whose last requests failed, or that is full
    /// or failing by its own reports. A request that may not be repeated is better sent elsewhere.
    pub fn is_probe(&self) -> bool {
        self.grant.is_some_and(|grant| grant.is_probe())
    }

    /// Frees the slot and records the outcome of the attempt.
    pub fn finish(mut self, outcome: AttemptOutcome) {
        self.free(outcome);
    }

    fn free(&mut self, outcome: AttemptOutcome) {
        if let Some(grant) = self.grant.take() {
            self.pool.release(grant, outcome);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.free(self.on_drop);
    }
}
