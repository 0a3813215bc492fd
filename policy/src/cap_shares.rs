use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use laburnumdeal_model::{BootId, Configuration, InstanceId, Topology, Version};
use tokio::time::Instant;

use crate::share::{RestartReserve, Share};
use crate::{
    CapExceeded, CapKey, Caps, Grant, GrantId, GrantReturn, MAX_GRANT_MS, ShareSettings, WINDOW_MS,
};

/// Shares that this instance has of the caps that it may use. The shares of all instances of a cap
/// add up to the cap.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
///
/// use laburnumdeal_model::{BootId, Configuration, InstanceId, RegionId, Topology};
/// use laburnumdeal_policy::{CapKey, CapShares, ShareSettings};
/// use tokio::time::Instant;
///
/// let topology = Arc::new(Topology::build(&laburnumdeal_model::embedded_topology())?);
/// let settings = ShareSettings::default();
/// let now = Instant::now();
/// let shares = CapShares::new(InstanceId(0), BootId(1), topology, settings, now);
/// let later = now + Duration::from_secs(10);
/// assert!(shares.spend(CapKey::Region(RegionId(0)), 1, later).is_err());
/// shares.configure(&Configuration::default());
/// assert!(shares.spend(CapKey::Region(RegionId(0)), 1, later).is_ok());
/// # Ok::<(), laburnumdeal_model::TopologyError>(())
/// ```
#[derive(Clone, Debug)]
pub struct CapShares {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    me: InstanceId,
    boot: BootId,
    topology: Arc<Topology>,
    settings: ShareSettings,
    started: Instant,
    version: Mutex<Option<Version>>,
    next_grant: AtomicU64,
    /// Caps that this instance may use, in ascending order.
    keys: Vec<CapKey>,
    shares: Vec<Mutex<Share>>,
}

impl CapShares {
    /// Size of one share in memory, in bytes.
    pub const BYTES_PER_SHARE: usize = size_of::<Mutex<Share>>();

    /// Creates shares that refuse everything until [`CapShares::configure`] is called. They also
    /// refuse everything for one second after `started`, because an earlier run of the process may
    /// have spent its share in that second.
    pub fn new(
        me: InstanceId,
        boot: BootId,
        topology: Arc<Topology>,
        settings: ShareSettings,
        started: Instant,
    ) -> Self {
        let keys = Caps::keys_of(me, &topology);
        let shares = keys
            .iter()
            .map(|key| Mutex::new(Share::new(*key)))
            .collect();
        let inner = Inner {
            me,
            boot,
            topology,
            settings,
            started,
            version: Mutex::new(None),
            next_grant: AtomicU64::new(0),
            keys,
            shares,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Applies the caps of a configuration. Returns false for one that is older than the last
    /// applied.
    pub fn configure(&self, configuration: &Configuration) -> bool {
        let mut version = self.inner.version.lock().expect("no holder panics");
        if version.is_some_and(|version| version > configuration.version) {
            return false;
        }
        *version = Some(configuration.version);
        let caps = Caps::new(configuration, &self.inner.topology);
        for (key, share) in self.inner.keys.iter().zip(&self.inner.shares) {
            let mut share = share.lock().expect("no holder panics");
            share.set_cap(caps.cap_per_s(*key), caps.share_per_s(*key, self.inner.me));
        }
        true
    }

    /// Spends an amount from this instance's share.
    ///
    /// # Errors
    ///
    /// Returns the time after which the amount would fit. Nothing is spent in this case.
    pub fn spend(&self, key: CapKey, amount: u64, now: Instant) -> Result<(), CapExceeded> {
        let mut share = self.share(key).ok_or(foreign_cap(key))?;
        let now_us = self.elapsed_us(now);
        share.spend(amount, self.restart_reserve(now_us / 1_000), now_us)
    }

    /// Spends as much of an amount as fits and returns the amount that was spent. The rest is spent
    /// by further calls, as for a long request body.
    ///
    /// # Errors
    ///
    /// Returns the time after which the next part would fit. Nothing is spent in this case.
    pub fn spend_part(&self, key: CapKey, amount: u64, now: Instant) -> Result<u64, CapExceeded> {
        let mut share = self.share(key).ok_or(foreign_cap(key))?;
        let now_us = self.elapsed_us(now);
        share.spend_part(amount, self.restart_reserve(now_us / 1_000), now_us)
    }

    /// Refunds an amount that was spent at `spent_at` and then not used.
    pub fn refund(&self, key: CapKey, amount: u64, spent_at: Instant) {
        let spent_ms = self.elapsed_us(spent_at) / 1_000;
        if let Some(mut share) = self.share(key) {
            share.refund(amount, spent_ms);
        }
    }

    /// Returns the amount per second that this instance may spend now, or `None` without a cap.
    pub fn limit_per_s(&self, key: CapKey, now: Instant) -> Option<u64> {
        let now_ms = self.elapsed_us(now) / 1_000;
        let mut share = self.share(key)?;
        share.cap_per_s()?;
        Some(share.limit_per_s(self.restart_reserve(now_ms), now_ms))
    }

    /// Returns the amount that was refused in the last second, which other instances can be asked
    /// to lend.
    pub fn demand(&self, key: CapKey, now: Instant) -> u64 {
        let now_ms = self.elapsed_us(now) / 1_000;
        self.share(key).map_or(0, |mut share| share.demand(now_ms))
    }

    /// Returns the other instances that have a share of a cap and can lend a part of it.
    pub fn lenders(&self, key: CapKey) -> Vec<InstanceId> {
        let users = Caps::users(key, &self.inner.topology);
        users.filter(|user| *user != self.inner.me).collect()
    }

    /// Lends up to `amount_per_s` more to another instance and renews what it has borrowed already.
    /// The amount of the grant is the total that the borrower may use. Returns `None` when this
    /// instance needs its share itself.
    pub fn lend(
        &self,
        key: CapKey,
        to: InstanceId,
        amount_per_s: u64,
        now: Instant,
    ) -> Option<Grant> {
        let now_ms = self.elapsed_us(now) / 1_000;
        let settings = &self.inner.settings;
        if now_ms < self.restart_hold_ms() || !self.lenders(key).contains(&to) {
            return None;
        }
        let mut share = self.share(key)?;
        let id = self.next_id();
        let expires_after_ms = settings.grant_ms.min(MAX_GRANT_MS);
        let reclaim_at_ms = now_ms + settings.reclaim_after_ms(expires_after_ms);
        let lendable = settings.max_lent_permille.min(1_000);
        let amount_per_s = share.lend(id, to, amount_per_s, lendable, reclaim_at_ms, now_ms)?;
        Some(Grant {
            id,
            key,
            from: self.inner.me,
            to,
            amount_per_s,
            cap_per_s: share.cap_per_s()?,
            expires_after_ms,
        })
    }

    /// Starts to use a grant. `asked_at` is the time at which this instance sent the request for
    /// it; the grant expires counted from then. Returns false for a grant that is late, duplicated,
    /// meant for another instance or made under another cap.
    pub fn accept_grant(&self, grant: &Grant, asked_at: Instant, now: Instant) -> bool {
        let now_ms = self.elapsed_us(now) / 1_000;
        let asked_ms = self.elapsed_us(asked_at) / 1_000;
        let Some(mut share) = self.share(grant.key) else {
            return false;
        };
        if grant.to != self.inner.me || share.cap_per_s() != Some(grant.cap_per_s) {
            return false;
        }
        let until_ms = asked_ms + grant.expires_after_ms.min(MAX_GRANT_MS);
        share.borrow(grant.id, grant.amount_per_s, until_ms, now_ms)
    }

    /// Stops using what the lender of a grant has lent, and returns the message to the lender, or
    /// `None` when the loan has ended already.
    pub fn return_grant(&self, grant: &Grant, now: Instant) -> Option<GrantReturn> {
        let now_ms = self.elapsed_us(now) / 1_000;
        let forget_at_ms = now_ms + MAX_GRANT_MS;
        let id = self
            .share(grant.key)?
            .return_grant(grant.id, forget_at_ms, now_ms)?;
        Some(GrantReturn { id, key: grant.key })
    }

    /// Reclaims a part that its borrower returned. This instance may spend it again after a full
    /// window and a margin, because the borrower may have spent it just before the return. A part
    /// that was renewed meanwhile stays lent.
    pub fn reclaim(&self, message: &GrantReturn, now: Instant) {
        let now_ms = self.elapsed_us(now) / 1_000;
        if let Some(mut share) = self.share(message.key) {
            share.reclaim(message.id, now_ms + self.inner.settings.reclaim_after_ms(0));
        }
    }

    fn share(&self, key: CapKey) -> Option<MutexGuard<'_, Share>> {
        let position = self.inner.keys.binary_search(&key).ok()?;
        Some(
            self.inner.shares[position]
                .lock()
                .expect("no holder panics"),
        )
    }

    fn elapsed_us(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.inner.started)
            .as_micros() as u64
    }

    /// Time after the start during which grants of an earlier run may still be in use.
    fn restart_hold_ms(&self) -> u64 {
        self.inner.settings.reclaim_after_ms(MAX_GRANT_MS)
    }

    fn restart_reserve(&self, now_ms: u64) -> RestartReserve {
        let settings = &self.inner.settings;
        let permille = if now_ms < settings.reclaim_after_ms(0) {
            1_000
        } else if now_ms < self.restart_hold_ms() {
            settings.max_lent_permille.min(1_000)
        } else {
            0
        };
        RestartReserve { permille }
    }

    fn next_id(&self) -> GrantId {
        GrantId {
            lender: self.inner.me,
            boot: self.inner.boot,
            sequence: self.inner.next_grant.fetch_add(1, Ordering::Relaxed),
        }
    }
}

/// Error for a cap that only other instances may use.
fn foreign_cap(key: CapKey) -> CapExceeded {
    CapExceeded {
        key,
        retry_after_ms: WINDOW_MS,
        max_amount: 0,
    }
}
