use laburnumdeal_model::InstanceId;

use crate::{CapExceeded, CapKey, GrantId, SlidingWindow, TokenBucket, WINDOW_MS};

/// Burst limit of a share, in thousandths of its amount per second.
const BURST_PERMILLE: u64 = 250;

/// Minimum burst limit of a share of requests.
const MIN_BURST_REQUESTS: u64 = 16;

/// Minimum burst limit of a share of bytes.
const MIN_BURST_BYTES: u64 = 64 * 1024;

/// This instance's part of one cap.
#[derive(Clone, Debug)]
pub struct Share {
    key: CapKey,
    /// The whole cap, or `None` without a cap.
    cap_per_s: Option<u64>,
    /// Share of this instance before loans.
    own_per_s: u64,
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
    spent: SlidingWindow,
    refused: SlidingWindow,
    bucket: TokenBucket,
}

/// Minimum part of an amount that is spent in parts.
const MIN_PART: u64 = 4 * 1024;

/// Part of the share that is lent to one borrower. There is one entry per borrower and cap, however
/// often the loan is renewed.
#[derive(Clone, Copy, Debug)]
struct Lent {
    /// Latest grant of the loan.
    id: GrantId,
    to: InstanceId,
    /// Cap at the time of the loan.
    cap_per_s: u64,
    amount_per_s: u64,
    reclaim_at_ms: u64,
}

/// Part of a share that one lender has granted. The entry is kept after its end, so that a late
/// copy of the grant is recognized.
#[derive(Clone, Copy, Debug)]
struct Borrowed {
    /// Latest grant of the loan.
    id: GrantId,
    amount_per_s: u64,
    until_ms: u64,
    /// Time after which no copy of the grant may arrive any more.
    forget_at_ms: u64,
}

impl Borrowed {
    fn is_same_loan(&self, id: GrantId) -> bool {
        self.id.lender == id.lender && self.id.boot == id.boot
    }
}

/// Part of the share that may not be used after a restart, because an earlier run of the process
/// may have spent or lent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartReserve {
    /// Size in thousandths of the share.
    pub permille: u64,
}

impl RestartReserve {
    /// Nothing is reserved.
    pub const NONE: Self = Self { permille: 0 };
}

impl Share {
    /// Creates an empty share, which refuses everything until the cap is known.
    pub fn new(key: CapKey) -> Self {
        Self {
            key,
            cap_per_s: Some(0),
            own_per_s: 0,
            lent: Vec::new(),
            borrowed: Vec::new(),
            spent: SlidingWindow::default(),
            refused: SlidingWindow::default(),
            bucket: TokenBucket::default(),
        }
    }

    /// Sets the cap. What was borrowed under another cap ends immediately.
    pub fn set_cap(&mut self, cap_per_s: Option<u64>, own_per_s: u64) {
        if self.cap_per_s != cap_per_s {
            for borrowed in &mut self.borrowed {
                borrowed.until_ms = 0;
            }
            self.bucket = TokenBucket::full();
        }
        self.cap_per_s = cap_per_s;
        self.own_per_s = own_per_s;
    }

    /// Returns the whole cap, or `None` without a cap.
    pub fn cap_per_s(&self) -> Option<u64> {
        self.cap_per_s
    }

    /// Returns the amount that may be spent per second: the own share without the lent parts, plus
    /// the borrowed parts.
    pub fn limit_per_s(&mut self, reserve: RestartReserve, now_ms: u64) -> u64 {
        self.drop_expired(now_ms);
        let in_use = self.borrowed.iter().filter(|b| b.until_ms > now_ms);
        let borrowed: u64 = in_use.map(|b| b.amount_per_s).sum();
        self.unlent_per_s(reserve) + borrowed
    }

    /// Spends an amount, or returns the time after which it would fit.
    pub fn spend(
        &mut self,
        amount: u64,
        reserve: RestartReserve,
        now_us: u64,
    ) -> Result<(), CapExceeded> {
        let now_ms = now_us / 1_000;
        if self.cap_per_s.is_none() {
            self.spent.add(amount, now_ms);
            return Ok(());
        }
        let limit = self.limit_per_s(reserve, now_ms);
        let max_amount = self.burst(limit);
        self.bucket.refill(limit, max_amount, now_us);
        let wait_ms = self.wait_ms(amount, limit, max_amount, now_ms);
        if wait_ms > 0 {
            self.refused.add(amount, now_ms);
            return Err(CapExceeded {
                key: self.key,
                retry_after_ms: wait_ms,
                max_amount,
            });
        }
        self.spent.add(amount, now_ms);
        self.bucket.take(amount);
        Ok(())
    }

    /// Spends as much of an amount as fits and returns the amount that was spent. Parts smaller
    /// than [`MIN_PART`] are spent only when no larger one ever fits.
    pub fn spend_part(
        &mut self,
        amount: u64,
        reserve: RestartReserve,
        now_us: u64,
    ) -> Result<u64, CapExceeded> {
        let mut part = amount;
        if self.cap_per_s.is_some() {
            let limit = self.limit_per_s(reserve, now_us / 1_000);
            let max_amount = self.burst(limit);
            self.bucket.refill(limit, max_amount, now_us);
            let unspent = limit.saturating_sub(self.spent.sum(now_us / 1_000));
            let fitting = amount.min(unspent).min(self.bucket.amount());
            part = fitting.max(amount.min(MIN_PART).min(max_amount.max(1)));
        }
        self.spend(part, reserve, now_us).map(|()| part)
    }

    /// Refunds an amount that was spent at `spent_ms` and not used.
    pub fn refund(&mut self, amount: u64, spent_ms: u64) {
        self.spent.refund(amount, spent_ms);
        self.bucket.refund(amount);
    }

    /// Returns the amount that was refused in the last second.
    pub fn demand(&mut self, now_ms: u64) -> u64 {
        self.refused.sum(now_ms)
    }

    /// Lends up to `asked_per_s` more to an instance and renews what it has borrowed, until
    /// `reclaim_at_ms`. Returns the total that the instance has borrowed, or `None` when there is
    /// nothing to lend or this instance needs its share itself.
    ///
    /// Half of the unspent part is lent at a time, up to `lendable_permille` of the share. A loan
    /// that was made under another cap must expire before more is lent to its borrower.
    pub fn lend(
        &mut self,
        id: GrantId,
        to: InstanceId,
        asked_per_s: u64,
        lendable_permille: u64,
        reclaim_at_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        self.drop_expired(now_ms);
        let cap_per_s = self.cap_per_s?;
        if self.demand(now_ms) > 0 {
            return None;
        }
        let more = asked_per_s.min(self.spare_per_s(lendable_permille, now_ms));
        let is_known = self.lent.iter().any(|lent| lent.to == to);
        if !is_known && more > 0 {
            self.lent.push(Lent {
                id,
                to,
                cap_per_s,
                amount_per_s: 0,
                reclaim_at_ms,
            });
        }
        let lent = self.lent.iter_mut().find(|lent| lent.to == to)?;
        if lent.cap_per_s != cap_per_s {
            return None;
        }
        lent.id = id;
        lent.amount_per_s += more;
        lent.reclaim_at_ms = lent.reclaim_at_ms.max(reclaim_at_ms);
        Some(lent.amount_per_s)
    }

    /// Brings the end of a loan forward, unless its grant was renewed meanwhile.
    pub fn reclaim(&mut self, id: GrantId, reclaim_at_ms: u64) {
        for lent in self.lent.iter_mut().filter(|lent| lent.id == id) {
            lent.reclaim_at_ms = lent.reclaim_at_ms.min(reclaim_at_ms);
        }
    }

    /// Adds a grant that may be used until `until_ms`. Returns false for a duplicate or late one.
    pub fn borrow(&mut self, id: GrantId, amount_per_s: u64, until_ms: u64, now_ms: u64) -> bool {
        self.drop_expired(now_ms);
        if until_ms <= now_ms {
            return false;
        }
        match self.borrowed.iter_mut().find(|loan| loan.is_same_loan(id)) {
            Some(loan) if loan.id.sequence >= id.sequence => return false,
            Some(loan) => {
                loan.id = id;
                loan.amount_per_s = amount_per_s;
                loan.until_ms = loan.until_ms.max(until_ms);
                loan.forget_at_ms = loan.forget_at_ms.max(until_ms);
            }
            None => self.borrowed.push(Borrowed {
                id,
                amount_per_s,
                until_ms,
                forget_at_ms: until_ms,
            }),
        }
        true
    }

    /// Stops using what a lender has granted and returns the latest grant, or `None` when none is
    /// in use. Copies of the grant are recognized until `forget_at_ms`.
    pub fn return_grant(&mut self, id: GrantId, forget_at_ms: u64, now_ms: u64) -> Option<GrantId> {
        self.drop_expired(now_ms);
        let is_active = |loan: &&mut Borrowed| loan.is_same_loan(id) && loan.until_ms > now_ms;
        let loan = self.borrowed.iter_mut().find(is_active)?;
        loan.until_ms = now_ms;
        loan.forget_at_ms = loan.forget_at_ms.max(forget_at_ms);
        Some(loan.id)
    }

    fn spare_per_s(&mut self, lendable_permille: u64, now_ms: u64) -> u64 {
        let limit = self.limit_per_s(RestartReserve::NONE, now_ms);
        let lent: u64 = self.lent.iter().map(|lent| lent.amount_per_s).sum();
        let lendable = self.part(lendable_permille).saturating_sub(lent);
        let unspent = limit.saturating_sub(self.spent.sum(now_ms));
        let unlent = self.unlent_per_s(RestartReserve::NONE);
        unspent.min(unlent).div_ceil(2).min(lendable)
    }

    fn unlent_per_s(&self, reserve: RestartReserve) -> u64 {
        let lent: u64 = self.lent.iter().map(|lent| lent.amount_per_s).sum();
        self.own_per_s
            .saturating_sub(self.part(reserve.permille) + lent)
    }

    /// Returns a part of the own share in thousandths, rounded up.
    fn part(&self, permille: u64) -> u64 {
        (self.own_per_s * permille).div_ceil(1_000)
    }

    fn drop_expired(&mut self, now_ms: u64) {
        self.lent.retain(|lent| lent.reclaim_at_ms > now_ms);
        self.borrowed
            .retain(|borrowed| borrowed.forget_at_ms > now_ms);
    }

    fn burst(&self, limit: u64) -> u64 {
        let min_burst = match self.key {
            CapKey::Link(..) => MIN_BURST_BYTES,
            CapKey::Region(_) | CapKey::Shift(_) => MIN_BURST_REQUESTS,
        };
        (limit * BURST_PERMILLE / 1_000).max(min_burst).min(limit)
    }

    fn wait_ms(&mut self, amount: u64, limit: u64, max_amount: u64, now_ms: u64) -> u64 {
        if amount > max_amount {
            return WINDOW_MS;
        }
        let window_wait_ms = self.spent.wait_ms(limit - amount, now_ms);
        let bucket_wait_ms = self.bucket.wait_us(amount, limit).div_ceil(1_000);
        window_wait_ms.max(bucket_wait_ms)
    }
}
