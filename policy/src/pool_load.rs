use laburnumdeal_model::UpstreamId;
use tokio::time::Instant;

use crate::{LoadReport, Pool};

impl Pool {
    /// Opens every slot of an upstream that is warm because another owner has used it.
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
    /// pool.assume_warm(upstream);
    /// assert_eq!(pool.slot_counts(service).total, 3);
    /// ```
    pub fn assume_warm(&self, upstream: UpstreamId) {
        let now = Instant::now();
        self.with(|inner| inner.core.assume_warm(upstream, now));
    }

    /// Records a load report that was made at `at`.
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
    /// let load = LoadReport { in_flight: 2, slots: 3, state: UpstreamState::Ready };
    /// pool.report(upstream, load, Instant::now());
    /// assert_eq!(pool.slot_counts(service).free, 1);
    /// ```
    pub fn report(&self, upstream: UpstreamId, report: LoadReport, at: Instant) {
        let now = Instant::now();
        self.with(|inner| inner.core.report(upstream, report, at, now));
    }

    /// Records that a report was due at `at` and did not arrive.
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
    /// pool.report_missing(upstream, Instant::now());
    /// assert_eq!(pool.slot_counts(service).free, 3);
    /// ```
    pub fn report_missing(&self, upstream: UpstreamId, at: Instant) {
        let now = Instant::now();
        self.with(|inner| inner.core.report_missing(upstream, at, now));
    }

    /// Counts slots as taken by requests of a former owner, until `until` or until load reports
    /// show that fewer are taken.
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
    /// pool.assume_taken(upstream, 2, Instant::now() + Duration::from_secs(5));
    /// assert_eq!(pool.slot_counts(service).free, 1);
    /// ```
    pub fn assume_taken(&self, upstream: UpstreamId, count: u16, until: Instant) {
        let now = Instant::now();
        self.with(|inner| inner.core.assume_taken(upstream, count, until, now));
    }
}
