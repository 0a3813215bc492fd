use laburnumdeal_model::InstanceId;

use crate::{CapExceeded, CapKey, GrantId, SlidingWindow, TokenBucket, WINDOW_MS};

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
    spent: SlidingWindow,
    refused: SlidingWindow,
    bucket: TokenBucket,
}

/// Smallest piece of an amount that is spent in pieces.
const MIN_PIECE: u64 = 4 * 1024;

/// Part that is out at a borrower; there is one a borrower and cap, however often it is renewed.
#[derive(Clone, Copy, Debug)]
struct Lent {
    /// Latest grant of it.
    id: GrantId,
    to: InstanceId,
    /// Cap that it was lent under.
    cap_per_s: u64,
    amount_per_s: u64,
    reclaim_at_ms: u64,
}

/// Part that a lender granted. It stays listed once its use ended, so that a late copy of
/// its grant is known.
#[derive(Clone, Copy, Debug)]
struct Borrowed {
    /// Latest grant of it.
    id: GrantId,
    amount_per_s: u64,
    until_ms: u64,
    /// End of the time in which a copy of the grant may arrive.
    forget_ms: u64,
}

impl Borrowed {
    fn is_of(&self, id: GrantId) -> bool {
        self.id.lender == id.lender && self.id.boot == id.boot
    }
}

/// Part of the own share that may not be used: a process that has just started holds back what its
/// earlier run may have spent or lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldBack {
    /// Thousandths of the own share.
    pub permille: u64,
}

impl HeldBack {
    /// Nothing is held back.
    pub const NOTHING: Self = Self { permille: 0 };
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
            spent: SlidingWindow::default(),
            refused: SlidingWindow::default(),
            bucket: TokenBucket::default(),
        }
    }

    /// Sets the cap. What was borrowed under another cap is given up at once.
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

    /// Returns the whole cap.
    pub fn cap_per_s(&self) -> Option<u64> {
        self.cap_per_s
    }

    /// Returns what may be spent in a second: the own part without what is lent, and what is borrowed.
    pub fn limit_per_s(&mut self, held: HeldBack, now_ms: u64) -> u64 {
        self.drop_ended(now_ms);
        let in_use = self.borrowed.iter().filter(|b| b.until_ms > now_ms);
        let borrowed: u64 = in_use.map(|b| b.amount_per_s).sum();
        self.unlent_per_s(held) + borrowed
    }

    /// Spends an amount, or returns when it would fit.
    pub fn spend(&mut self, amount: u64, held: HeldBack, now_us: u64) -> Result<(), CapExceeded> {
        let now_ms = now_us / 1_000;
        if self.cap_per_s.is_none() {
            self.spent.add(amount, now_ms);
            return Ok(());
        }
        let limit = self.limit_per_s(held, now_ms);
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

    /// Spends as much of an amount as fits, and returns how much that was. Pieces smaller than
    /// [`MIN_PIECE`] are spent only when no larger one ever fits.
    pub fn spend_part(
        &mut self,
        amount: u64,
        held: HeldBack,
        now_us: u64,
    ) -> Result<u64, CapExceeded> {
        let mut part = amount;
        if self.cap_per_s.is_some() {
            let limit = self.limit_per_s(held, now_us / 1_000);
            let max_amount = self.burst(limit);
            self.bucket.refill(limit, max_amount, now_us);
            let unspent = limit.saturating_sub(self.spent.sum(now_us / 1_000));
            let fitting = amount.min(unspent).min(self.bucket.amount());
            part = fitting.max(amount.min(MIN_PIECE).min(max_amount.max(1)));
        }
        self.spend(part, held, now_us).map(|()| part)
    }

    /// Takes back an amount that was spent at a time and not used.
    pub fn refund(&mut self, amount: u64, spent_ms: u64) {
        self.spent.take_back(amount, spent_ms);
        self.bucket.put_back(amount);
    }

    /// Returns the amount that was refused in the last second.
    pub fn demand(&mut self, now_ms: u64) -> u64 {
        self.refused.sum(now_ms)
    }

    /// Lends up to `asked_per_s` more to an instance and renews what it has, until `reclaim_at_ms`.
    /// Returns what the instance has in all; `None` when there is nothing, or this one needs it.
    ///
    /// What is lent comes from the unspent part, half of it at a time, within `lendable_permille` of
    /// the share. A part that was lent under another cap runs out before more is lent.
    pub fn lend(
        &mut self,
        id: GrantId,
        to: InstanceId,
        asked_per_s: u64,
        lendable_permille: u64,
        reclaim_at_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        self.drop_ended(now_ms);
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

    /// Brings the end of a lent part forward, unless its grant was renewed meanwhile.
    pub fn reclaim(&mut self, id: GrantId, reclaim_at_ms: u64) {
        for lent in self.lent.iter_mut().filter(|lent| lent.id == id) {
            lent.reclaim_at_ms = lent.reclaim_at_ms.min(reclaim_at_ms);
        }
    }

    /// Takes in a grant that may be used until `until_ms`. Returns false for a doubled or late one.
    pub fn borrow(&mut self, id: GrantId, amount_per_s: u64, until_ms: u64, now_ms: u64) -> bool {
        self.drop_ended(now_ms);
        if until_ms <= now_ms {
            return false;
        }
        match self.borrowed.iter_mut().find(|known| known.is_of(id)) {
            Some(known) if known.id.sequence >= id.sequence => return false,
            Some(known) => {
                known.id = id;
                known.amount_per_s = amount_per_s;
                known.until_ms = known.until_ms.max(until_ms);
                known.forget_ms = known.forget_ms.max(until_ms);
            }
            None => self.borrowed.push(Borrowed {
                id,
                amount_per_s,
                until_ms,
                forget_ms: until_ms,
            }),
        }
        true
    }

    /// Stops using what a lender granted, and returns its latest grant; `None` when nothing is in
    /// use. Copies of the grant are known until `forget_ms`.
    pub fn return_grant(&mut self, id: GrantId, forget_ms: u64, now_ms: u64) -> Option<GrantId> {
        self.drop_ended(now_ms);
        let is_it = |known: &&mut Borrowed| known.is_of(id) && known.until_ms > now_ms;
        let known = self.borrowed.iter_mut().find(is_it)?;
        known.until_ms = now_ms;
        known.forget_ms = known.forget_ms.max(forget_ms);
        Some(known.id)
    }

    fn spare_per_s(&mut self, lendable_permille: u64, now_ms: u64) -> u64 {
        let limit = self.limit_per_s(HeldBack::NOTHING, now_ms);
        let lent: u64 = self.lent.iter().map(|lent| lent.amount_per_s).sum();
        let lendable = self.part(lendable_permille).saturating_sub(lent);
        let unspent = limit.saturating_sub(self.spent.sum(now_ms));
        let unlent = self.unlent_per_s(HeldBack::NOTHING);
        unspent.min(unlent).div_ceil(2).min(lendable)
    }

    fn unlent_per_s(&self, held: HeldBack) -> u64 {
        let lent: u64 = self.lent.iter().map(|lent| lent.amount_per_s).sum();
        self.own_per_s
            .saturating_sub(self.part(held.permille) + lent)
    }

    /// Thousandths of the own share, rounded up.
    fn part(&self, permille: u64) -> u64 {
        (self.own_per_s * permille).div_ceil(1_000)
    }

    fn drop_ended(&mut self, now_ms: u64) {
        self.lent.retain(|lent| lent.reclaim_at_ms > now_ms);
        self.borrowed.retain(|borrowed| borrowed.forget_ms > now_ms);
    }

    fn burst(&self, limit: u64) -> u64 {
        let least = match self.key {
            CapKey::Link(..) => MIN_BURST_BYTES,
            CapKey::Region(_) | CapKey::Shift(_) => MIN_BURST_REQUESTS,
        };
        (limit * BURST_PERMILLE / 1_000).max(least).min(limit)
    }

    fn wait_ms(&mut self, amount: u64, limit: u64, max_amount: u64, now_ms: u64) -> u64 {
        if amount > max_amount {
            return WINDOW_MS;
        }
        let of_window = self.spent.wait_ms(limit - amount, now_ms);
        let of_bucket = self.bucket.wait_us(amount, limit).div_ceil(1_000);
        of_window.max(of_bucket)
    }
}
