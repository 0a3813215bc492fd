use crate::{Bucket, CapKey, GrantId, OverCap, WINDOW_MS, Window};

/// Thousandths of a share that may be spent at once.
const BURST_PERMILLE: u64 = 250;

/// Requests that may be spent at once from a small share.
const MIN_BURST_REQUESTS: u64 = 16;

/// Bytes that may be spent at once from a small share.
const MIN_BURST_BYTES: u64 = 64 * 1024;

/// This instance's part of one cap.
#[derive(Clone, Debug)]
pub struct Share {
    key: CapKey,
    /// The whole cap; `None` when nothing is capped.
    cap_per_s: Option<u64>,
    /// Part of the cap that this instance owns.
    own_per_s: u64,
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
    spent: Window,
    refused: Window,
    bucket: Bucket,
}

/// Part that is out at a borrower.
#[derive(Clone, Copy, Debug)]
struct Lent {
    id: GrantId,
    amount_per_s: u64,
    back_at_ms: u64,
}

/// Part that a lender granted. It stays listed with amount 0 once it was given back.
#[derive(Clone, Copy, Debug)]
struct Borrowed {
    id: GrantId,
    amount_per_s: u64,
    until_ms: u64,
}

/// Part of the own share that may be used; a process that has just started may use less, because
/// its earlier run may have spent or lent the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usable {
    /// Thousandths of the own share that may be used.
    pub permille: u64,
}

impl Share {
    /// Returns a share of nothing, until the cap is known.
    pub fn new(key: CapKey) -> Self {
        Self {
            key,
            cap_per_s: Some(0),
            own_per_s: 0,
            lent: Vec::new(),
            borrowed: Vec::new(),
            spent: Window::default(),
            refused: Window::default(),
            bucket: Bucket::default(),
        }
    }

    /// Sets the cap. What was borrowed under another cap is given up at once.
    pub fn set_cap(&mut self, cap_per_s: Option<u64>, own_per_s: u64) {
        if self.cap_per_s != cap_per_s {
            for borrowed in &mut self.borrowed {
                borrowed.amount_per_s = 0;
            }
            self.bucket = Bucket::full();
        }
        self.cap_per_s = cap_per_s;
        self.own_per_s = own_per_s;
    }

    /// Returns the whole cap.
    pub fn cap_per_s(&self) -> Option<u64> {
        self.cap_per_s
    }

    /// Returns what may be spent in a second: the own part without what is lent, and what is borrowed.
    pub fn limit_per_s(&mut self, usable: Usable, now_ms: u64) -> u64 {
        self.drop_ended(now_ms);
        let borrowed: u64 = self.borrowed.iter().map(|b| b.amount_per_s).sum();
        self.unlent_per_s(usable) + borrowed
    }

    /// Spends an amount, or returns when it would fit.
    pub fn spend(&mut self, amount: u64, usable: Usable, now_us: u64) -> Result<(), OverCap> {
        let now_ms = now_us / 1_000;
        if self.cap_per_s.is_none() {
            self.spent.add(amount, now_ms);
            return Ok(());
        }
        let limit = self.limit_per_s(usable, now_ms);
        let most = self.burst(limit);
        self.bucket.refill(limit, most, now_us);
        let wait_ms = self.wait_ms(amount, limit, most, now_ms);
        if wait_ms > 0 {
            self.refused.add(amount, now_ms);
            return Err(OverCap {
                key: self.key,
                retry_after_ms: wait_ms,
                most,
            });
        }
        self.spent.add(amount, now_ms);
        self.bucket.take(amount);
        Ok(())
    }

    /// Returns the amount that was refused in the last second.
    pub fn demand(&mut self, now_ms: u64) -> u64 {
        self.refused.sum(now_ms)
    }

    /// Returns how much of `asked_per_s` this instance can do without: half of what it leaves
    /// unspent, within the part that may be lent.
    pub fn spare_per_s(&mut self, asked_per_s: u64, max_lent_permille: u64, now_ms: u64) -> u64 {
        let usable = Usable { permille: 1_000 };
        let limit = self.limit_per_s(usable, now_ms);
        if self.cap_per_s.is_none() || self.demand(now_ms) > 0 {
            return 0;
        }
        let lent: u64 = self.lent.iter().map(|lent| lent.amount_per_s).sum();
        let lendable = (self.own_per_s * max_lent_permille / 1_000).saturating_sub(lent);
        let unspent = limit.saturating_sub(self.spent.sum(now_ms));
        let spare = unspent.min(self.unlent_per_s(usable)) / 2;
        asked_per_s.min(lendable).min(spare)
    }

    /// Takes a part out until `back_at_ms`.
    pub fn lend(&mut self, id: GrantId, amount_per_s: u64, back_at_ms: u64) {
        self.lent.push(Lent {
            id,
            amount_per_s,
            back_at_ms,
        });
    }

    /// Brings the end of a lent part forward to `back_at_ms`.
    pub fn returned(&mut self, id: GrantId, back_at_ms: u64) {
        for lent in self.lent.iter_mut().filter(|lent| lent.id == id) {
            lent.back_at_ms = lent.back_at_ms.min(back_at_ms);
        }
    }

    /// Adds a borrowed part until `until_ms`. Returns false when it was added before or has ended.
    pub fn borrow(&mut self, id: GrantId, amount_per_s: u64, until_ms: u64, now_ms: u64) -> bool {
        self.drop_ended(now_ms);
        let is_known = self.borrowed.iter().any(|borrowed| borrowed.id == id);
        if is_known || until_ms <= now_ms {
            return false;
        }
        self.borrowed.push(Borrowed {
            id,
            amount_per_s,
            until_ms,
        });
        true
    }

    /// Stops using a borrowed part. Returns false when it has ended already.
    pub fn give_back(&mut self, id: GrantId, now_ms: u64) -> bool {
        self.drop_ended(now_ms);
        let is_it = |borrowed: &&mut Borrowed| borrowed.id == id && borrowed.amount_per_s > 0;
        match self.borrowed.iter_mut().find(is_it) {
            Some(borrowed) => {
                borrowed.amount_per_s = 0;
                true
            }
            None => false,
        }
    }

    fn unlent_per_s(&self, usable: Usable) -> u64 {
        let lent: u64 = self.lent.iter().map(|lent| lent.amount_per_s).sum();
        (self.own_per_s * usable.permille / 1_000).saturating_sub(lent)
    }

    fn drop_ended(&mut self, now_ms: u64) {
        self.lent.retain(|lent| lent.back_at_ms > now_ms);
        self.borrowed.retain(|borrowed| borrowed.until_ms > now_ms);
    }

    fn burst(&self, limit: u64) -> u64 {
        let least = match self.key {
            CapKey::Link(..) => MIN_BURST_BYTES,
            CapKey::Region(_) | CapKey::Shift(_) => MIN_BURST_REQUESTS,
        };
        (limit * BURST_PERMILLE / 1_000).max(least).min(limit)
    }

    fn wait_ms(&mut self, amount: u64, limit: u64, most: u64, now_ms: u64) -> u64 {
        if amount > most {
            return WINDOW_MS;
        }
        let of_window = self.spent.wait_ms(limit - amount, now_ms);
        let of_bucket = self.bucket.wait_us(amount, limit).div_ceil(1_000);
        of_window.max(of_bucket)
    }
}
