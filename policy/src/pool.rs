use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use laburnumdeal_model::{ServiceId, UpstreamId};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::pending_slot::PendingSlot;
use crate::{Admission, AttemptOutcome, Candidate, NoSlot, OwnedUpstream, SlotGrant};
use crate::{PoolCore, PoolSettings, Slot, SlotCounts, Ticket};

/// Pool of the upstreams that this instance owns, with exact counts of the requests in flight on
/// them. Clones share the same state.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{ServiceId, UpstreamId};
/// use laburnumdeal_policy::{AttemptOutcome, OwnedUpstream, Pool, PoolSettings};
/// use tokio::time::{Duration, Instant};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let pool = Pool::new(PoolSettings::default());
/// let service = ServiceId(0);
/// pool.configure(Instant::now(), &[OwnedUpstream {
///     id: UpstreamId(3), service, slots: 2, connections: 10, moved_permille: 0, leaving: false,
/// }]);
/// let deadline = Instant::now() + Duration::from_secs(1);
/// let slot = pool.acquire(service, deadline, &[]).await.unwrap();
/// assert_eq!(slot.upstream(), UpstreamId(3));
/// slot.finish(AttemptOutcome::Answered { latency: Duration::from_millis(8) });
/// assert_eq!(pool.in_flight(UpstreamId(3)), 0);
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Pool {
    inner: Arc<Mutex<Inner>>,
}

/// State that the clones of a pool share.
#[derive(Debug)]
pub(crate) struct Inner {
    pub core: PoolCore,
    /// Sender for each waiting request, by the index of its ticket.
    senders: Vec<Option<oneshot::Sender<SlotGrant>>>,
}

impl Pool {
    /// Creates a pool without upstreams.
    pub fn new(settings: PoolSettings) -> Self {
        let inner = Inner {
            core: PoolCore::new(settings),
            senders: Vec::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Replaces the set of upstreams. New ones start cold. Removed ones get no new requests, and
    /// their counts are kept until their requests end.
    ///
    /// # Examples
    ///
    /// ```
    /// # use laburnumdeal_model::{ServiceId, UpstreamId};
    /// # use laburnumdeal_policy::*;
    /// # use tokio::time::{Duration, Instant};
    /// # let (service, upstream) = (ServiceId(0), UpstreamId(0));
    /// # let owned = OwnedUpstream {
    /// #     id: upstream, service, slots: 3, connections: 9, moved_permille: 0, leaving: false,
    /// # };
    /// # let pool = Pool::new(PoolSettings::default());
    /// pool.configure(Instant::now(), &[owned]);
    /// assert_eq!(pool.slot_counts(service).total, 1, "it starts cold");
    /// ```
    pub fn configure(&self, now: Instant, upstreams: &[OwnedUpstream]) {
        self.with(|inner| inner.core.configure(now, upstreams));
    }

    /// Returns a slot, immediately or after a wait that leaves enough time for an answer before
    /// `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an error without waiting when the request could not finish in time or when the queue
    /// is full.
    ///
    /// # Examples
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// # use laburnumdeal_model::{ServiceId, UpstreamId};
    /// # use laburnumdeal_policy::*;
    /// # use tokio::time::{Duration, Instant};
    /// # let (service, upstream) = (ServiceId(0), UpstreamId(0));
    /// # let owned = OwnedUpstream {
    /// #     id: upstream, service, slots: 3, connections: 9, moved_permille: 0, leaving: false,
    /// # };
    /// # let pool = Pool::new(PoolSettings::default());
    /// # pool.configure(Instant::now(), &[owned]);
    /// # pool.assume_warm(upstream);
    /// let deadline = Instant::now() + Duration::from_secs(1);
    /// let slot = pool.acquire(service, deadline, &[]).await.unwrap();
    /// assert_eq!(slot.upstream(), upstream);
    /// # }
    /// ```
    pub async fn acquire(
        &self,
        service: ServiceId,
        deadline: Instant,
        exclude: &[UpstreamId],
    ) -> Result<Slot, NoSlot> {
        let now = Instant::now();
        let admitted = self.with(|inner| inner.admit(service, deadline, exclude, now));
        match admitted {
            AdmitResult::Granted(grant) => Ok(Slot::new(self.clone(), grant)),
            AdmitResult::Refused(refusal) => Err(refusal),
            AdmitResult::Queued(ticket, give_up_at, receiver) => {
                PendingSlot::new(self.clone(), service, ticket, give_up_at, receiver)
                    .slot()
                    .await
            }
        }
    }

    /// Returns a slot if one is free now.
    ///
    /// # Examples
    ///
    /// ```
    /// # use laburnumdeal_model::{ServiceId, UpstreamId};
    /// # use laburnumdeal_policy::*;
    /// # use tokio::time::{Duration, Instant};
    /// # let (service, upstream) = (ServiceId(0), UpstreamId(0));
    /// # let owned = OwnedUpstream {
    /// #     id: upstream, service, slots: 3, connections: 9, moved_permille: 0, leaving: false,
    /// # };
    /// # let pool = Pool::new(PoolSettings::default());
    /// # pool.configure(Instant::now(), &[owned]);
    /// # pool.assume_warm(upstream);
    /// let slots: Vec<Slot> = std::iter::from_fn(|| pool.try_acquire(service, &[])).collect();
    /// assert_eq!(slots.len(), 3);
    /// ```
    pub fn try_acquire(&self, service: ServiceId, exclude: &[UpstreamId]) -> Option<Slot> {
        let now = Instant::now();
        let grant = self.with(|inner| inner.core.try_admit(service, exclude, now))?;
        Some(Slot::new(self.clone(), grant))
    }

    /// Returns a slot if one is free now, unless a wait for a faster upstream is expected to pay
    /// off. Where peers own upstreams of the service too, call this first, then ask the peers.
    ///
    /// # Examples
    ///
    /// ```
    /// # use laburnumdeal_model::{ServiceId, UpstreamId};
    /// # use laburnumdeal_policy::*;
    /// # use tokio::time::{Duration, Instant};
    /// # let (service, upstream) = (ServiceId(0), UpstreamId(0));
    /// # let owned = OwnedUpstream {
    /// #     id: upstream, service, slots: 3, connections: 9, moved_permille: 0, leaving: false,
    /// # };
    /// # let pool = Pool::new(PoolSettings::default());
    /// # pool.configure(Instant::now(), &[owned]);
    /// # pool.assume_warm(upstream);
    /// assert!(pool.try_acquire_fast(service, &[]).is_some());
    /// ```
    pub fn try_acquire_fast(&self, service: ServiceId, exclude: &[UpstreamId]) -> Option<Slot> {
        let now = Instant::now();
        let grant = self.with(|inner| inner.core.try_admit_fast(service, exclude, now))?;
        Some(Slot::new(self.clone(), grant))
    }

    /// Returns the slot counts of a service, which are also reported to peers.
    ///
    /// # Examples
    ///
    /// ```
    /// # use laburnumdeal_model::{ServiceId, UpstreamId};
    /// # use laburnumdeal_policy::*;
    /// # use tokio::time::{Duration, Instant};
    /// # let (service, upstream) = (ServiceId(0), UpstreamId(0));
    /// # let owned = OwnedUpstream {
    /// #     id: upstream, service, slots: 3, connections: 9, moved_permille: 0, leaving: false,
    /// # };
    /// # let pool = Pool::new(PoolSettings::default());
    /// # pool.configure(Instant::now(), &[owned]);
    /// # pool.assume_warm(upstream);
    /// let _slot = pool.try_acquire(service, &[]);
    /// assert_eq!(pool.slot_counts(service), SlotCounts { free: 2, total: 3, queued: 0 });
    /// ```
    pub fn slot_counts(&self, service: ServiceId) -> SlotCounts {
        self.with(|inner| inner.core.slot_counts(service, Instant::now()))
    }

    /// Returns the number of this instance's requests in flight on an upstream.
    ///
    /// # Examples
    ///
    /// ```
    /// # use laburnumdeal_model::{ServiceId, UpstreamId};
    /// # use laburnumdeal_policy::*;
    /// # use tokio::time::{Duration, Instant};
    /// # let (service, upstream) = (ServiceId(0), UpstreamId(0));
    /// # let owned = OwnedUpstream {
    /// #     id: upstream, service, slots: 3, connections: 9, moved_permille: 0, leaving: false,
    /// # };
    /// # let pool = Pool::new(PoolSettings::default());
    /// # pool.configure(Instant::now(), &[owned]);
    /// # pool.assume_warm(upstream);
    /// let _slot = pool.try_acquire(service, &[]);
    /// assert_eq!(pool.in_flight(upstream), 1);
    /// ```
    pub fn in_flight(&self, upstream: UpstreamId) -> u32 {
        self.with(|inner| inner.core.in_flight(upstream))
    }

    /// Returns whether this instance owns an upstream.
    pub fn owns(&self, upstream: UpstreamId) -> bool {
        self.with(|inner| inner.core.owns(upstream))
    }

    /// Returns whether an upstream accepts no new requests and all earlier ones have ended.
    ///
    /// # Examples
    ///
    /// ```
    /// # use laburnumdeal_model::{ServiceId, UpstreamId};
    /// # use laburnumdeal_policy::*;
    /// # use tokio::time::{Duration, Instant};
    /// # let (service, upstream) = (ServiceId(0), UpstreamId(0));
    /// # let owned = OwnedUpstream {
    /// #     id: upstream, service, slots: 3, connections: 9, moved_permille: 0, leaving: false,
    /// # };
    /// # let pool = Pool::new(PoolSettings::default());
    /// # pool.configure(Instant::now(), &[owned]);
    /// # pool.assume_warm(upstream);
    /// pool.configure(Instant::now(), &[OwnedUpstream { moved_permille: 1000, ..owned }]);
    /// assert!(pool.is_drained(upstream));
    /// ```
    pub fn is_drained(&self, upstream: UpstreamId) -> bool {
        self.with(|inner| inner.core.is_drained(upstream, Instant::now()))
    }

    /// Returns the tail latency of a service: the 95th percentile of its recent latencies, but at
    /// least their mean. `None` before the first answer.
    pub fn tail_latency(&self, service: ServiceId) -> Option<Duration> {
        self.with(|inner| inner.core.tail_latency(service))
    }

    /// Returns how long to wait for an answer before sending a hedged request.
    ///
    /// # Examples
    ///
    /// ```
    /// # use laburnumdeal_model::{ServiceId, UpstreamId};
    /// # use laburnumdeal_policy::*;
    /// # use tokio::time::{Duration, Instant};
    /// # let (service, upstream) = (ServiceId(0), UpstreamId(0));
    /// # let owned = OwnedUpstream {
    /// #     id: upstream, service, slots: 3, connections: 9, moved_permille: 0, leaving: false,
    /// # };
    /// # let pool = Pool::new(PoolSettings::default());
    /// # pool.configure(Instant::now(), &[owned]);
    /// # pool.assume_warm(upstream);
    /// let settings = PoolSettings::default();
    /// assert_eq!(pool.hedge_delay(service), Duration::from_millis(settings.initial_hedge_delay_ms));
    /// ```
    pub fn hedge_delay(&self, service: ServiceId) -> Duration {
        self.with(|inner| inner.core.hedge_delay(service))
    }

    /// Returns every upstream of a service with the reason why it would or would not be chosen now.
    ///
    /// # Examples
    ///
    /// ```
    /// # use laburnumdeal_model::{ServiceId, UpstreamId};
    /// # use laburnumdeal_policy::*;
    /// # use tokio::time::{Duration, Instant};
    /// # let (service, upstream) = (ServiceId(0), UpstreamId(0));
    /// # let owned = OwnedUpstream {
    /// #     id: upstream, service, slots: 3, connections: 9, moved_permille: 0, leaving: false,
    /// # };
    /// # let pool = Pool::new(PoolSettings::default());
    /// # pool.configure(Instant::now(), &[owned]);
    /// # pool.assume_warm(upstream);
    /// assert_eq!(pool.explain(service)[0].reason.to_string(), "has room");
    /// ```
    pub fn explain(&self, service: ServiceId) -> Vec<Candidate> {
        self.with(|inner| inner.core.explain(service, Instant::now()))
    }

    /// Frees a slot.
    pub(crate) fn release(&self, grant: SlotGrant, outcome: AttemptOutcome) {
        let now = Instant::now();
        self.with(|inner| inner.core.release(grant, outcome, now));
    }

    /// Runs an operation on the state, then wakes the waiting requests that got a slot.
    pub(crate) fn with<T>(&self, operation: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.lock();
        let result = operation(&mut inner);
        inner.send_grants();
        result
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Result of a request for a slot, with the receiver of a later grant.
enum AdmitResult {
    Granted(SlotGrant),
    Queued(Ticket, Instant, oneshot::Receiver<SlotGrant>),
    Refused(NoSlot),
}

impl Inner {
    fn admit(
        &mut self,
        service: ServiceId,
        deadline: Instant,
        exclude: &[UpstreamId],
        now: Instant,
    ) -> AdmitResult {
        match self.core.admit(service, deadline, exclude, now) {
            Admission::Granted(grant) => AdmitResult::Granted(grant),
            Admission::Refused(refusal) => AdmitResult::Refused(refusal),
            Admission::Queued { ticket, give_up_at } => {
                let (sender, receiver) = oneshot::channel();
                if ticket.index() >= self.senders.len() {
                    self.senders.resize_with(ticket.index() + 1, || None);
                }
                self.senders[ticket.index()] = Some(sender);
                AdmitResult::Queued(ticket, give_up_at, receiver)
            }
        }
    }

    /// Sends every new grant to the request that waits for it. A waiting request is always removed
    /// from the queue under the same lock before its receiver is dropped, so the send cannot fail.
    fn send_grants(&mut self) {
        for (ticket, grant) in self.core.take_granted() {
            if let Some(sender) = self.senders[ticket.index()].take() {
                let sent = sender.send(grant);
                debug_assert!(sent.is_ok(), "receiver of a queued request is closed");
            }
        }
    }
}
