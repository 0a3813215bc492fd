use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use laburnumdeal_model::{ServiceId, UpstreamId};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::waiting::Waiting;
use crate::{Admission, AttemptOutcome, Candidate, NoSlot, OwnedUpstream, SlotGrant};
use crate::{PoolCore, PoolSettings, Slot, SlotCounts, Ticket};

/// Handle to the upstreams that this instance owns, with exact counts of its requests.
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

/// State behind the handle.
#[derive(Debug)]
pub(crate) struct Inner {
    pub core: PoolCore,
    senders: Vec<Option<oneshot::Sender<SlotGrant>>>,
}

impl Pool {
    /// Returns a pool that owns no upstreams.
    pub fn new(settings: PoolSettings) -> Self {
        let inner = Inner {
            core: PoolCore::new(settings),
            senders: Vec::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Replaces the set of upstreams. New ones start cold; removed ones get no new work, and
    /// their counts live on until their requests end.
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

    /// Returns a slot, at once or after a wait that leaves time for an answer by `deadline`.
    ///
    /// # Errors
    ///
    /// Refuses at once when the request could not finish in time or too many wait already.
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
        let begun = self.with(|inner| inner.admit(service, deadline, exclude, now));
        match begun {
            Begun::Granted(grant) => Ok(Slot::new(self.clone(), grant)),
            Begun::Refused(refusal) => Err(refusal),
            Begun::Queued(ticket, give_up_at, receiver) => {
                Waiting::new(self.clone(), service, ticket, give_up_at, receiver)
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

    /// Returns a slot if one is free now on an upstream that is no slower than a wait would be.
    /// Where peers own upstreams of the service too, ask for this first, then ask them.
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

    /// Returns the room of a service, as peers are told.
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

    /// Returns the requests of this instance that run on an upstream.
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

    /// Returns whether an upstream takes no new work and all that it had has ended.
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

    /// Returns the time within which nearly every request of a service ends once it runs; `None`
    /// before any has ended.
    pub fn tail_latency(&self, service: ServiceId) -> Option<Duration> {
        self.with(|inner| inner.core.tail_latency(service))
    }

    /// Returns how long to wait for an answer before sending a hedge.
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

    /// Returns every upstream of a service with the reason why it would or would not be chosen.
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

    /// Gives a slot back.
    pub(crate) fn release(&self, grant: SlotGrant, ending: AttemptOutcome) {
        let now = Instant::now();
        self.with(|inner| inner.core.release(grant, ending, now));
    }

    /// Runs a step on the state, then wakes the waiting requests that were given a slot.
    pub(crate) fn with<T>(&self, step: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.lock();
        let result = step(&mut inner);
        inner.deliver();
        result
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Start of a request for a slot.
enum Begun {
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
    ) -> Begun {
        match self.core.admit(service, deadline, exclude, now) {
            Admission::Granted(grant) => Begun::Granted(grant),
            Admission::Refused(refusal) => Begun::Refused(refusal),
            Admission::Queued { ticket, give_up_at } => {
                let (sender, receiver) = oneshot::channel();
                if ticket.index() >= self.senders.len() {
                    self.senders.resize_with(ticket.index() + 1, || None);
                }
                self.senders[ticket.index()] = Some(sender);
                Begun::Queued(ticket, give_up_at, receiver)
            }
        }
    }

    /// Sends every new grant to its waiting request, which takes itself off the queue under the
    /// same lock before it goes away.
    fn deliver(&mut self) {
        for (ticket, grant) in self.core.take_granted() {
            if let Some(sender) = self.senders[ticket.index()].take() {
                let sent = sender.send(grant);
                debug_assert!(sent.is_ok(), "a waiting request left without a word");
            }
        }
    }
}
