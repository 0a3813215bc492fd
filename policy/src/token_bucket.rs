/// Number of parts per unit. With this number, a rate per second refills by whole parts in every
/// microsecond.
const PARTS_PER_UNIT: u64 = 1_000_000;

/// Token bucket that limits the bursts in which a share is spent.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::TokenBucket;
///
/// let mut bucket = TokenBucket::default();
/// bucket.refill(100, 10, 1_000_000);
/// assert_eq!(bucket.wait_us(10, 100), 0);
/// bucket.take(10);
/// assert_eq!(bucket.wait_us(1, 100), 10_000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    parts: u64,
    refilled_us: u64,
}

impl TokenBucket {
    /// Creates a full bucket. The next refill reduces its contents to the maximum burst.
    pub fn full() -> Self {
        Self {
            parts: u64::MAX,
            refilled_us: 0,
        }
    }

    /// Adds the amount that a rate yields since the last refill, up to the maximum burst.
    pub fn refill(&mut self, rate_per_s: u64, max_amount: u64, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_us);
        let added = rate_per_s.saturating_mul(elapsed_us);
        self.parts = self
            .parts
            .saturating_add(added)
            .min(max_amount.saturating_mul(PARTS_PER_UNIT));
        self.refilled_us = self.refilled_us.max(now_us);
    }

    /// Returns the time until an amount is available.
    pub fn wait_us(&self, amount: u64, rate_per_s: u64) -> u64 {
        let missing = amount
            .saturating_mul(PARTS_PER_UNIT)
            .saturating_sub(self.parts);
        match missing {
            0 => 0,
            _ => missing.div_ceil(rate_per_s.max(1)),
        }
    }

    /// Refunds an amount. The next refill reduces the contents to the maximum burst.
    pub fn refund(&mut self, amount: u64) {
        self.parts = self
            .parts
            .saturating_add(amount.saturating_mul(PARTS_PER_UNIT));
    }

    /// Returns the available amount.
    pub fn amount(&self) -> u64 {
        self.parts / PARTS_PER_UNIT
    }

    /// Removes an amount.
    pub fn take(&mut self, amount: u64) {
        self.parts = self
            .parts
            .saturating_sub(amount.saturating_mul(PARTS_PER_UNIT));
    }
}
