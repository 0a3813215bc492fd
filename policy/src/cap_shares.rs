use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use laburnumdeal_model::{BootId, Configuration, InstanceId, Topology, Version};
use tokio::time::Instant;

use crate::share::{HeldBack, Share};
use crate::{
    CapExceeded, CapKey, Caps, Grant, GrantId, GrantReturn, MAX_GRANT_MS, ShareSettings, WINDOW_MS,
};

/// This instance's shares of every cap that it may use. The shares of all instances sum to the cap.
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
/// let book = CapShares::new(InstanceId(0), BootId(1), topology, settings, now);
/// let later = now + Duration::from_secs(10);
/// assert!(book.spend(CapKey::Region(RegionId(0)), 1, later).is_err());
/// book.configure(&Configuration::default());
/// assert!(book.spend(CapKey::Region(RegionId(0)), 1, later).is_ok());
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
    /// Caps that this instance may use, sorted.
    keys: Vec<CapKey>,
    shares: Vec<Mutex<Share>>,
}

impl CapShares {
    /// Bytes of one share.
    pub const BYTES_PER_SHARE: usize = size_of::<Mutex<Share>>();

    /// Returns a book that refuses everything until [`CapShares::configure`], and for a second after
    /// `started`, because an earlier run of the process may have spent its share in that second.
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

    /// Puts the caps of a configuration in force. Returns false for one that is older than the last.
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

    /// Spends an amount of this instance's share.
    ///
    /// # Errors
    ///
    /// Returns when the amount would fit; nothing is spent then.
    pub fn spend(&self, key: CapKey, amount: u64, now: Instant) -> Result<(), CapExceeded> {
        let mut share = self.share(key).ok_or(not_mine(key))?;
        let now_us = self.micros(now);
        share.spend(amount, self.held_back(now_us / 1_000), now_us)
    }

    /// Spends as much of an amount as fits and returns how much that was; the rest of a body is
    /// spent by further calls.
    ///
    /// # Errors
    ///
    /// Returns when the next piece would fit; nothing is spent then.
    pub fn spend_part(&self, key: CapKey, amount: u64, now: Instant) -> Result<u64, CapExceeded> {
        let mut share = self.share(key).ok_or(not_mine(key))?;
        let now_us = self.micros(now);
        share.spend_part(amount, self.held_back(now_us / 1_000), now_us)
    }

    /// Takes back an amount that was spent at `spent_at` for something that then did not happen.
    pub fn refund(&self, key: CapKey, amount: u64, spent_at: Instant) {
        let spent_ms = self.micros(spent_at) / 1_000;
        if let Some(mut share) = self.share(key) {
            share.refund(amount, spent_ms);
        }
    }

    /// Returns what this instance may spend in a second now; `None` when nothing is capped.
    pub fn limit_per_s(&self, key: CapKey, now: Instant) -> Option<u64> {
        let now_ms = self.micros(now) / 1_000;
        let mut share = self.share(key)?;
        share.cap_per_s()?;
        Some(share.limit_per_s(self.held_back(now_ms), now_ms))
    }

    /// Returns the amount that was refused here in the last second, to be asked of others.
    pub fn demand(&self, key: CapKey, now: Instant) -> u64 {
        let now_ms = self.micros(now) / 1_000;
        self.share(key).map_or(0, |mut share| share.demand(now_ms))
    }

    /// Returns the other instances with a share of a cap, which can be asked for a part of it.
    pub fn lenders(&self, key: CapKey) -> Vec<InstanceId> {
        let users = Caps::users(key, &self.inner.topology);
        users.filter(|user| *user != self.inner.me).collect()
    }

    /// Lends up to `amount_per_s` more to another instance and renews what it has; `None` when this
    /// instance needs its share. The grant's amount is what the other one has in all.
    pub fn lend(
        &self,
        key: CapKey,
        to: InstanceId,
        amount_per_s: u64,
        now: Instant,
    ) -> Option<Grant> {
        let now_ms = self.micros(now) / 1_000;
        let settings = &self.inner.settings;
        if now_ms < self.fence_ms() || !self.lenders(key).contains(&to) {
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

    /// Starts to use a grant. `asked_at` is when this instance sent the ask that it answers; the
    /// grant's time counts from then. Returns false for one that is late, doubled, meant for
    /// another, or made under another cap.
    pub fn accept_grant(&self, grant: &Grant, asked_at: Instant, now: Instant) -> bool {
        let now_ms = self.micros(now) / 1_000;
        let asked_ms = self.micros(asked_at) / 1_000;
        let Some(mut share) = self.share(grant.key) else {
            return false;
        };
        if grant.to != self.inner.me || share.cap_per_s() != Some(grant.cap_per_s) {
            return false;
        }
        let until_ms = asked_ms + grant.expires_after_ms.min(MAX_GRANT_MS);
        share.borrow(grant.id, grant.amount_per_s, until_ms, now_ms)
    }

    /// Stops using what the lender of a grant lent, and returns the message to it; `None` when it
    /// has ended already.
    pub fn return_grant(&self, grant: &Grant, now: Instant) -> Option<GrantReturn> {
        let now_ms = self.micros(now) / 1_000;
        let forget_ms = now_ms + MAX_GRANT_MS;
        let id = self
            .share(grant.key)?
            .return_grant(grant.id, forget_ms, now_ms)?;
        Some(GrantReturn { id, key: grant.key })
    }

    /// Takes back a part that its borrower gave back. It counts again once the borrower's last
    /// second has passed; a part that was renewed meanwhile stays out.
    pub fn reclaim(&self, message: &GrantReturn, now: Instant) {
        let now_ms = self.micros(now) / 1_000;
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

    fn micros(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.inner.started)
            .as_micros() as u64
    }

    /// Time after the start within which grants of an earlier run may be out.
    fn fence_ms(&self) -> u64 {
        self.inner.settings.reclaim_after_ms(MAX_GRANT_MS)
    }

    fn held_back(&self, now_ms: u64) -> HeldBack {
        let settings = &self.inner.settings;
        let permille = if now_ms < settings.reclaim_after_ms(0) {
            1_000
        } else if now_ms < self.fence_ms() {
            settings.max_lent_permille.min(1_000)
        } else {
            0
        };
        HeldBack { permille }
    }

    fn next_id(&self) -> GrantId {
        GrantId {
            lender: self.inner.me,
            boot: self.inner.boot,
            sequence: self.inner.next_grant.fetch_add(1, Ordering::Relaxed),
        }
    }
}

/// A cap that other instances use.
fn not_mine(key: CapKey) -> CapExceeded {
    CapExceeded {
        key,
        retry_after_ms: WINDOW_MS,
        max_amount: 0,
    }
}
